"""Tests the ownership of replicas, connections and calls in flight."""

import asyncio

from mallowloft import messages
from mallowloft.dispatch import limits
from mallowloft.membership import view as view_lib
from tests.support import dispatch_client
from tests.support import world as world_lib

OK = messages.Outcome.OK
_start = dispatch_client.start
_publish = dispatch_client.publish
_dump = dispatch_client.dump
_owner = dispatch_client.owner


def _service(world, instance):
    return world.kernels_by_id[instance].plugin("dispatch")


def _remove_member(world, instance, gone):
    """Removes an instance from another's view until the next list read."""
    world.kernels_by_id[instance].plugin("membership").view.remove(gone)


class TestTakeOver:
    """The owner of a replica opens connections before they are needed."""

    async def test_first_query_finds_open_connections(self):
        """Guards against a first query that waits for a new connection."""
        _, replica, client = await _start()
        assert replica.open_connections == 4
        asked_s = asyncio.get_running_loop().time()
        client.ask(1)
        await client.wait_for(messages.SubReply)
        assert client.times_s[0] - asked_s < 0.005

    async def test_one_instance_owns_a_replica(self):
        """Guards against every instance connecting to every replica."""
        world, replica, _ = await _start(("i1", "i2", "i3"))
        _owner(world)
        assert replica.open_connections == 4

    async def test_new_replica_is_taken_over(self):
        """Guards against ownership that is computed only at the start."""
        world, _, _ = await _start()
        _publish(world, ("r1", "r2"))
        await asyncio.sleep(0.1)
        assert world.replicas_by_id["r2"].open_connections == 4

    async def test_lost_owner_is_replaced_before_any_query(self):
        """Guards against a change of owner that waits for the first query."""
        world, _, _ = await _start(("i1", "i2"))
        owner, (other,) = _owner(world)
        _remove_member(world, other, owner)
        await asyncio.sleep(0.02)
        assert ("r1" in _service(world, other).dump()["replicas"]) is True

    async def test_failure_domain_without_instances_is_served(self):
        """Guards against replicas that no instance owns."""
        world = world_lib.World()
        world.publish_service(
            "svc", {"r1": "d1", "r2": "d2"}, service_s=lambda rng: 0.003
        )
        await world.start({"i1": "d1"})
        await asyncio.sleep(0.1)
        assert _service(world, "i1").dump()["owned"] == ["r1", "r2"]

    async def test_replicas_of_served_failure_domains_are_not_hashed(self):
        """Guards against hashing all replicas after a change of the view."""
        world = world_lib.World()
        replicas = {f"r{number}": f"d{1 + number % 2}" for number in range(20)}
        world.publish_service("svc", replicas)
        await world.start({"i1": "d1", "i2": "d2"})
        await asyncio.sleep(2.5)
        view = world.kernels_by_id["i1"].plugin("membership").view
        asked = []
        original_dispatcher_for = view.dispatcher_for

        def recorded_dispatcher_for(replica, failure_domain):
            asked.append(failure_domain)
            return original_dispatcher_for(replica, failure_domain)

        view.dispatcher_for = recorded_dispatcher_for
        await _service(world, "i1")._update_ownership()
        assert asked == ["d1"] * 10

    async def test_large_configuration_does_not_block_the_loop(self):
        """Guards against blocking the event loop when the view changes."""
        names = tuple(f"r{number}" for number in range(1000))
        world, _, _ = await _start(("i1", "i2"), names)
        service = _service(world, "i1")
        turns = 0
        task = asyncio.create_task(service._update_ownership())
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        assert turns >= 1000 // 64


class TestRelease:
    """An instance closes its connections to replicas it does not own."""

    async def test_former_owner_closes_when_its_work_is_done(self):
        """Guards against connections that accumulate with each view change."""
        world, replica, _ = await _start(("i1", "i2"))
        owner, (other,) = _owner(world)
        _remove_member(world, other, owner)
        await asyncio.sleep(0.1)
        assert replica.open_connections == 8
        # The next read of the platform's list restores the member.
        await asyncio.sleep(6.0)
        dumps = [_service(world, name).dump() for name in (owner, other)]
        assert replica.open_connections == 4
        assert ["r1" in dump["replicas"] for dump in dumps] == [True, False]

    async def test_work_of_a_former_owner_is_finished(self):
        """Guards against calls that are aborted by a change of the view."""
        world, replica, client = await _start(
            ("i1", "i2"), service_s=lambda rng: 0.9
        )
        owner, (other,) = _owner(world)
        client.to = owner
        client.ask_all(range(10), remaining_ms=20_000.0)
        view = world.kernels_by_id[owner].plugin("membership").view
        peak = 0
        for round_number in range(60):
            view.set_state(owner, view_lib.LEAVING)
            if round_number == 30:
                client.ask(99, remaining_ms=20_000.0)
            await asyncio.sleep(0.1)
            peak = max(peak, replica.open_connections)
        assert client.outcomes() == [OK] * 11
        # The former owner must not open a second set of connections.
        assert peak <= 25 // 4

    async def test_removed_replica_is_closed(self):
        """Guards against connections to a replica that no longer exists."""
        world, replica, _ = await _start(replicas=("r1", "r2"))
        _publish(world, ("r2",))
        await asyncio.sleep(0.2)
        assert replica.open_connections == 0

    async def test_changed_slots_keep_the_queue(self):
        """Guards against queued work lost by a configuration change."""
        world, replica, client = await _start(service_s=lambda rng: 0.05)
        client.ask_all(range(10))
        _publish(world, ("r1",), slots=4)
        world.replicas_by_id["r1"] = replica
        await asyncio.sleep(0.5)
        assert len(client.outcomes()) == 10
        # Six connections, of which two are left for cancellations and probes.
        assert _dump(world)["limit"] == 4

    async def test_stop_completes_queued_work(self):
        """Guards against a planned stop that aborts requests."""
        world, _, client = await _start(service_s=lambda rng: 0.05)
        client.ask_all(range(10))
        await asyncio.sleep(0.01)
        await _service(world, "i1").stop(5.0)
        await asyncio.sleep(0.01)
        assert client.outcomes() == [OK] * 10


class TestConnectionLimit:
    """A dispatcher stays within a quarter of the replica's limit."""

    async def _send_mixed_load(self, world, clients):
        """Sends queries of all classes, cancellations and reservations."""
        for round_number in range(60):
            for client in clients:
                for offset in range(6):
                    attempt = round_number * 6 + offset
                    client.ask(attempt, rank=attempt % 3)
                client.cancel(round_number * 6, round_number * 6 + 1)
                client.reserve(round_number)
                for ready in client.of(messages.SlotReady):
                    client.go(ready.attempt, ready.ticket)
            await asyncio.sleep(0.004)

    async def test_one_dispatcher(self):
        """Guards against cancelled calls that open more connections."""
        world, replica, client = await _start()
        await self._send_mixed_load(world, [client])
        assert replica.peak_connections <= 25 // 4

    async def test_two_views_at_once(self):
        """Guards against exceeding the limit while views differ."""
        names = ("i1", "i2", "i3", "i4")
        world, replica, _ = await _start(names)
        clients = [
            dispatch_client.Client(world, name, f"c-{name}") for name in names
        ]
        await self._send_mixed_load(world, clients)
        assert replica.peak_connections <= 25


class TestSlotUse:
    """All slots are in use while work waits."""

    async def test_slots_stay_busy(self):
        """Guards against a slot that is idle for a network round trip."""
        _, replica, client = await _start(
            service_s=lambda rng: 0.003 * rng.lognormvariate(-0.125, 0.5)
        )
        client.ask_all(range(500), remaining_ms=9000.0)
        await asyncio.sleep(0.02)
        before_s = replica.busy_s
        await asyncio.sleep(0.6)
        assert ((replica.busy_s - before_s) / (2 * 0.6)) >= 0.97


class TestAdaptiveLimit:
    """The limit of calls in flight falls on sheds and recovers later."""

    def test_halves_once_in_a_round_trip_and_recovers(self):
        """Guards against a burst of sheds that reduces the limit repeatedly."""
        limit = limits.AimdLimit(8)
        assert limit.on_shed(1.0, 0.01)
        assert not limit.on_shed(1.005, 0.01)
        assert limit.value == 4
        for step in range(10):
            limit.on_shed(2.0 + step, 0.01)
        assert limit.value == 1
        for _ in range(150):
            limit.on_success(0.003, 3.0)
        assert limit.value == 8

    async def test_shed_calls_are_retried(self):
        """Guards against passing sheds to the sender while slots get free."""
        world, replica, client = await _start(("i1", "i2"))
        replica.max_queue = 1
        clients = [
            dispatch_client.Client(world, name, f"c-{name}")
            for name in ("i1", "i2")
        ]
        for attempt in range(200):
            for client in clients:
                client.ask(attempt, remaining_ms=5000.0)
        await asyncio.sleep(1.5)
        outcomes = [item for client in clients for item in client.outcomes()]
        assert len(outcomes) == 400
        assert outcomes.count(OK) >= 0.98 * 400
        assert 0 < replica.count("query_refused") < 200
        # 400 calls of 3 ms in two slots: 0.6 s.
        assert replica.busy_s >= 1.17

    async def test_limit_recovers_when_the_other_dispatcher_ends(self):
        """Guards against a limit that stays low after views differed."""
        world, replica, client = await _start()
        replica.max_queue = 0
        client.ask_all(range(20))
        await asyncio.sleep(0.2)
        assert _dump(world)["limit"] < 3
        replica.max_queue = 10
        client.ask_all(range(100, 150))
        await asyncio.sleep(0.5)
        assert _dump(world)["limit"] == 3

    async def test_a_replica_that_sheds_everything_is_reported(self):
        """Guards against a query that is retried until its deadline."""
        _, replica, client = await _start()
        replica.max_queue = 0
        client.ask(1)
        reply = await client.wait_for(messages.SubReply, timeout_s=0.1)
        assert reply.outcome is messages.Outcome.SHED
