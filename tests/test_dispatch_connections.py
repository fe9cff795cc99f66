"""Ownership of replicas, their connections and calls in flight."""

import asyncio

from mallowloft import messages
from mallowloft.dispatch import limits
from mallowloft.membership import view as view_lib
from tests.support import dispatch_client
from tests.support import world as world_lib

OK = messages.Outcome.OK


def _publish(world, replicas, **options):
    options.setdefault("service_s", lambda rng: 0.003)
    world.publish_service("svc", dict.fromkeys(replicas, "d1"), **options)


async def _start(instances=("i1",), replicas=("r1",), **options):
    world = world_lib.World()
    _publish(world, replicas, **options)
    await world.start(dict.fromkeys(instances, "d1"))
    # Other instances are learned from the list after the own start.
    await asyncio.sleep(2.5)
    return world


def _service(world, instance):
    return world.kernels_by_id[instance].plugin("dispatch")


def _owner(world, replica):
    """Returns the owner of a replica and the other instances."""
    owners = [
        name
        for name in world.kernels_by_id
        if replica in _service(world, name).dump()["owned"]
    ]
    (owner,) = owners
    return owner, [name for name in world.kernels_by_id if name != owner]


def _forget(world, instance, gone):
    """Drops an instance from the view of another one until the list is read."""
    world.kernels_by_id[instance].plugin("membership").view.remove(gone)


class TestTakeOver:
    """Connections are opened ahead of need by the responsible instance."""

    async def test_first_query_finds_open_connections(self):
        """Guards against a first query that pays for the connection."""
        world = await _start()
        replica = world.replicas_by_id["r1"]
        opened = replica.open_connections
        client = dispatch_client.Client(world, "i1")
        asked_s = asyncio.get_running_loop().time()
        client.ask(1, "r1")
        await client.wait_for(messages.SubReply)
        assert opened == 4
        assert (client.times_s[0] - asked_s) < 0.005

    async def test_one_instance_owns_a_replica(self):
        """Guards against every instance connecting to every replica."""
        world = await _start(("i1", "i2", "i3"))
        _owner(world, "r1")
        assert world.replicas_by_id["r1"].open_connections == 4

    async def test_new_replica_is_taken_over(self):
        """Guards against ownership that is computed once at the start."""
        world = await _start()
        _publish(world, ("r1", "r2"))
        await asyncio.sleep(0.1)
        assert world.replicas_by_id["r2"].open_connections == 4

    async def test_lost_owner_is_replaced_before_any_query(self):
        """Guards against a take-over that waits for the first query."""
        world = await _start(("i1", "i2"))
        owner, (other,) = _owner(world, "r1")
        _forget(world, other, owner)
        await asyncio.sleep(0.02)
        assert ("r1" in _service(world, other).dump()["replicas"]) is True

    async def test_failure_domain_without_instances_is_served(self):
        """Guards against replicas that no instance dispatches for."""
        world = world_lib.World()
        world.publish_service(
            "svc", {"r1": "d1", "r2": "d2"}, service_s=lambda rng: 0.003
        )
        await world.start({"i1": "d1"})
        await asyncio.sleep(0.1)
        assert _service(world, "i1").dump()["owned"] == ["r1", "r2"]

    async def test_replicas_of_served_failure_domains_are_not_hashed(self):
        """Guards against a view change that costs a hash of the fleet."""
        world = world_lib.World()
        replicas = {f"r{number}": f"d{1 + number % 2}" for number in range(20)}
        world.publish_service("svc", replicas)
        await world.start({"i1": "d1", "i2": "d2"})
        await asyncio.sleep(2.5)
        view = world.kernels_by_id["i1"].plugin("membership").view
        asked = []
        choose = view.dispatcher_for

        def counted(replica, failure_domain):
            asked.append(failure_domain)
            return choose(replica, failure_domain)

        view.dispatcher_for = counted
        await _service(world, "i1")._take_over()
        assert asked == ["d1"] * 10

    async def test_large_configuration_does_not_stop_the_loop(self):
        """Guards against one long turn when the view changes."""
        names = tuple(f"r{number}" for number in range(1000))
        world = await _start(("i1", "i2"), names)
        service = _service(world, "i1")
        turns = 0
        task = asyncio.create_task(service._take_over())
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
        assert turns >= 1000 // 64


class TestRelease:
    """Connections are closed by the instance that is not responsible."""

    async def test_former_owner_closes_when_its_work_is_done(self):
        """Guards against connections that pile up with each view change."""
        world = await _start(("i1", "i2"))
        owner, (other,) = _owner(world, "r1")
        replica = world.replicas_by_id["r1"]
        _forget(world, other, owner)
        await asyncio.sleep(0.1)
        during = replica.open_connections
        # The list restores the view of the other instance.
        await asyncio.sleep(6.0)
        dumps = [_service(world, name).dump() for name in (owner, other)]
        assert during == 8
        assert replica.open_connections == 4
        assert ["r1" in dump["replicas"] for dump in dumps] == [True, False]

    async def test_work_of_a_former_owner_is_finished(self):
        """Guards against calls cut off by a change of the view."""
        world = await _start(("i1", "i2"), service_s=lambda rng: 0.9)
        replica = world.replicas_by_id["r1"]
        owner, (other,) = _owner(world, "r1")
        client = dispatch_client.Client(world, owner)
        for attempt in range(10):
            client.ask(attempt, "r1", remaining_ms=20_000.0)
        view = world.kernels_by_id[owner].plugin("membership").view
        peak = 0
        for round_number in range(60):
            view.set_state(owner, view_lib.LEAVING)
            if round_number == 30:
                client.ask(99, "r1", remaining_ms=20_000.0)
            await asyncio.sleep(0.1)
            peak = max(peak, replica.open_connections)
        assert [r.outcome for r in client.of(messages.SubReply)] == [OK] * 11
        # The former owner must not open a second set of connections.
        assert peak <= 25 // 4

    async def test_removed_replica_is_closed(self):
        """Guards against connections to a replica that no longer exists."""
        world = await _start(replicas=("r1", "r2"))
        replica = world.replicas_by_id["r1"]
        _publish(world, ("r2",))
        await asyncio.sleep(0.2)
        assert replica.open_connections == 0

    async def test_changed_slots_keep_the_queue(self):
        """Guards against work lost by a change of the configuration."""
        world = await _start(service_s=lambda rng: 0.05)
        client = dispatch_client.Client(world, "i1")
        for attempt in range(10):
            client.ask(attempt, "r1")
        fake = world.replicas_by_id["r1"]
        _publish(world, ("r1",), slots=4)
        world.replicas_by_id["r1"] = fake
        await asyncio.sleep(0.5)
        limit = _service(world, "i1").dump()["replicas"]["r1"]["limit"]
        # Four calls in flight, with two of six connections to spare.
        assert (len(client.of(messages.SubReply)), limit) == (10, 4)

    async def test_stop_finishes_what_waits(self):
        """Guards against a planned stop that cuts off requests."""
        world = await _start(service_s=lambda rng: 0.05)
        client = dispatch_client.Client(world, "i1")
        for attempt in range(10):
            client.ask(attempt, "r1")
        await asyncio.sleep(0.01)
        await _service(world, "i1").stop(5.0)
        await asyncio.sleep(0.01)
        assert [reply.outcome for reply in client.of(messages.SubReply)] == [
            OK
        ] * 10


class TestConnectionLimit:
    """A dispatcher stays within a quarter of the replica's limit."""

    async def _storm(self, world, clients):
        """Mixes classes, cancellations and reservations."""
        for round_number in range(60):
            for client in clients:
                for offset in range(6):
                    attempt = round_number * 6 + offset
                    client.ask(attempt, "r1", rank=attempt % 3)
                client.cancel(round_number * 6, round_number * 6 + 1)
                client.reserve(round_number, "r1")
                for ready in client.of(messages.SlotReady):
                    client.go(ready.attempt, ready.ticket)
            await asyncio.sleep(0.004)

    async def test_one_dispatcher(self):
        """Guards against cancelled calls that open more connections."""
        world = await _start()
        await self._storm(world, [dispatch_client.Client(world, "i1")])
        assert world.replicas_by_id["r1"].peak_connections <= 25 // 4

    async def test_two_views_at_once(self):
        """Guards against exceeding the limit while views differ."""
        names = ("i1", "i2", "i3", "i4")
        world = await _start(names)
        clients = [
            dispatch_client.Client(world, name, f"c-{name}") for name in names
        ]
        await self._storm(world, clients)
        assert world.replicas_by_id["r1"].peak_connections <= 25


class TestSlotUse:
    """Slots are in use as long as anything waits."""

    async def test_slots_stay_busy(self):
        """Guards against a slot that is idle for a network round trip."""
        world = await _start(
            service_s=lambda rng: 0.003 * rng.lognormvariate(-0.125, 0.5)
        )
        client = dispatch_client.Client(world, "i1")
        replica = world.replicas_by_id["r1"]
        for attempt in range(500):
            client.ask(attempt, "r1", remaining_ms=9000.0)
        await asyncio.sleep(0.02)
        before_s = replica.busy_s
        await asyncio.sleep(0.6)
        assert ((replica.busy_s - before_s) / (2 * 0.6)) >= 0.97


class TestAdaptiveLimit:
    """What the replica sheds lowers the calls in flight for a while."""

    def test_halves_once_in_a_round_trip_and_recovers(self):
        """Guards against a burst of sheds that stops the replica."""
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

    async def test_shed_calls_are_tried_again(self):
        """Guards against refusals that the caller sees while slots free up."""
        world = await _start(("i1", "i2"))
        replica = world.replicas_by_id["r1"]
        replica.max_queue = 1
        clients = [
            dispatch_client.Client(world, name, f"c-{name}")
            for name in ("i1", "i2")
        ]
        for attempt in range(200):
            for client in clients:
                client.ask(attempt, "r1", remaining_ms=5000.0)
        await asyncio.sleep(1.5)
        outcomes = [
            reply.outcome
            for client in clients
            for reply in client.of(messages.SubReply)
        ]
        assert len(outcomes) == 400
        assert outcomes.count(OK) >= 0.98 * 400
        assert 0 < replica.count("query_refused") < 200
        # 400 calls of 3 ms in two slots: 0.6 s.
        assert replica.busy_s >= 1.17

    async def test_limit_recovers_when_the_other_dispatcher_ends(self):
        """Guards against a limit that stays low after two views."""
        world = await _start()
        client = dispatch_client.Client(world, "i1")
        world.replicas_by_id["r1"].max_queue = 0
        for attempt in range(20):
            client.ask(attempt, "r1")
        await asyncio.sleep(0.2)
        low = _service(world, "i1").dump()["replicas"]["r1"]["limit"]
        world.replicas_by_id["r1"].max_queue = 10
        for attempt in range(100, 150):
            client.ask(attempt, "r1")
        await asyncio.sleep(0.5)
        high = _service(world, "i1").dump()["replicas"]["r1"]["limit"]
        assert low < 3
        assert high == 3

    async def test_a_replica_that_sheds_everything_is_reported(self):
        """Guards against a query that is tried until its deadline."""
        world = await _start()
        client = dispatch_client.Client(world, "i1")
        world.replicas_by_id["r1"].max_queue = 0
        client.ask(1, "r1")
        reply = await client.wait_for(messages.SubReply, timeout_s=0.1)
        assert reply.outcome is messages.Outcome.SHED
