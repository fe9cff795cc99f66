"""Ejection, ramp-up, stalls, cold and leaving replicas."""

import asyncio

from mallowloft import messages
from mallowloft.dispatch import health as health_lib
from mallowloft.dispatch import leaving as leaving_lib
from tests.support import dispatch_client
from tests.support import virtual
from tests.support import world as world_lib

OK = messages.Outcome.OK
FAILED = messages.Outcome.FAILED
DRAINING = messages.Outcome.DRAINING
UNREACHABLE = messages.Outcome.UNREACHABLE


def _publish(world, replicas, **options):
    options.setdefault("service_s", lambda rng: 0.003)
    world.publish_service("svc", dict.fromkeys(replicas, "d1"), **options)


async def _start(instances=("i1",), replicas=("r1",), **options):
    world = world_lib.World()
    _publish(world, replicas, **options)
    await world.start(dict.fromkeys(instances, "d1"))
    await asyncio.sleep(2.5)
    return world, world.replicas_by_id["r1"]


def _service(world, instance="i1"):
    return world.kernels_by_id[instance].plugin("dispatch")


def _state(world, replica="r1"):
    return _service(world).dump()["replicas"][replica]["state"]


async def _ask(client, attempts, pause_s=0.01, **options):
    for attempt in attempts:
        client.ask(attempt, "r1", **options)
        await asyncio.sleep(pause_s)


class TestEjection:
    """The outcomes of calls decide, not the health endpoint."""

    async def test_fast_failing_replica_is_reported_as_to_be_avoided(self):
        """Guards against a replica that attracts work by failing fast."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.failing = True
        replica.health_state = "ok"
        await _ask(client, range(10, 20))
        (reply,), state = client.of(messages.SubReply, 19), _state(world)
        assert state == "ejected"
        assert reply.outcome is FAILED
        assert reply.queue_delay_ms > 500
        assert reply.retry_after_ms > 500

    async def test_misleading_health_answer_ejects_nothing(self):
        """Guards against an endpoint that calls a good replica bad."""
        world, replica = await _start()
        replica.health_state = "failing"
        client = dispatch_client.Client(world, "i1")
        await asyncio.sleep(2.0)
        await _ask(client, range(10))
        assert _state(world) == "healthy"
        assert client.of(messages.SubReply)[-1].queue_delay_ms < 10

    async def test_ejected_replica_serves_who_has_no_other(self):
        """Guards against lost coverage by an ejection."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        replica.failing = True
        await _ask(client, range(10))
        ejected = _state(world)
        replica.failing = False
        client.ask(50, "r1")
        reply = await client.wait_for(messages.SubReply, 50)
        assert (ejected, reply.outcome) == ("ejected", OK)

    async def test_ejected_replica_gets_one_call_at_a_time(self):
        """Guards against full load on a replica that was just bad."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        replica.failing = True
        await _ask(client, range(10))
        replica.failing = False
        replica.service_s = lambda rng: 0.02
        for attempt in range(50, 54):
            client.ask(attempt, "r1")
        peak = 0
        for _ in range(50):
            await asyncio.sleep(0.001)
            peak = max(peak, replica.running)
        assert peak == 1

    def test_some_errors_eject_nothing(self):
        """Guards against ejection by chance."""
        health = health_lib.ReplicaHealth(0.0)
        for number in range(100):
            if number % 3 == 0:
                health.on_error(0.01 * number)
            else:
                health.on_ok(0.003, 0.01 * number)
        assert health.state is health_lib.State.HEALTHY

    async def test_short_deadlines_eject_nothing(self):
        """Guards against callers whose deadlines look like bad replicas."""
        world, _ = await _start(service_s=lambda rng: 0.02)
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10), pause_s=0.03)
        await _ask(client, range(10, 40), pause_s=0.03, remaining_ms=8.0)
        assert _state(world) == "healthy"

    def test_ejections_get_longer_and_are_forgiven(self):
        """Guards against a bad replica that is tried every second for ever."""
        health = health_lib.ReplicaHealth(0.0)
        lengths = []
        now_s = 0.0
        for _ in range(5):
            for _ in range(5):
                health.on_error(now_s)
            lengths.append(health.avoid_s(now_s))
            now_s += lengths[-1]
            health.update(now_s)
        assert lengths == [1.0, 2.0, 4.0, 8.0, 8.0]
        now_s += 60.0
        health.update(now_s)
        for _ in range(5):
            health.on_error(now_s)
        assert health.avoid_s(now_s) == 1.0

    def test_ramp_up_after_ejection(self):
        """Guards against full load at the moment an ejection ends."""
        health = health_lib.ReplicaHealth(0.0)
        for _ in range(5):
            health.on_error(0.0)
        shares = [health.allowance(t) for t in (0.5, 1.0, 3.5, 5.9, 6.0)]
        assert shares[0] == 0.0
        assert 0.09 < shares[1] < 0.11
        assert 0.5 < shares[2] < 0.6
        assert shares[3] < 1.0
        assert shares[4] == 1.0

    async def test_recovers_without_an_operator(self):
        """Guards against a replica that stays ejected."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        replica.failing = True
        await _ask(client, range(10))
        replica.failing = False
        await _ask(client, range(100, 900))
        assert _state(world) == "healthy"


class TestSlowReplica:
    """A replica slower than it used to be is reported as such."""

    async def test_slow_replica_reports_its_excess(self):
        """Guards against a straggler that looks as good as the others."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(100))
        replica.slow_factor = 10.0
        await _ask(client, range(100, 130), pause_s=0.05)
        slow = client.of(messages.SubReply)[-1].queue_delay_ms
        replica.slow_factor = 1.0
        await _ask(client, range(200, 260), pause_s=0.05)
        assert 20 < slow < 40
        assert client.of(messages.SubReply)[-1].queue_delay_ms < 1

    def test_excess_fades_without_calls(self):
        """Guards against avoiding a recovered replica for ever."""
        health = health_lib.ReplicaHealth(0.0)
        for _ in range(100):
            health.on_ok(0.003, 1.0)
        for _ in range(30):
            health.on_ok(0.03, 1.0)
        assert health.excess_s(1.0) > 0.02
        assert health.excess_s(11.0) < 0.001

    def test_lasting_change_becomes_the_baseline(self):
        """Guards against a slower release that counts as slow for ever."""
        health = health_lib.ReplicaHealth(0.0)
        for _ in range(10):
            health.on_ok(0.003, 0.0)
        for _ in range(3000):
            health.on_ok(0.012, 0.0)
        assert health.excess_s(0.0) == 0.0


class TestFrozenReplica:
    """Calls to a frozen replica end; what waits is given back."""

    async def test_waiting_work_is_given_back_at_once(self):
        """Guards against work that waits behind a call that hangs."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        asked_s = asyncio.get_running_loop().time()
        for attempt in range(10, 20):
            client.ask(attempt, "r1", remaining_ms=2000.0)
        reply = await client.wait_for(messages.SubReply, 19)
        took_s = asyncio.get_running_loop().time() - asked_s
        assert took_s < 0.15
        assert reply.outcome is UNREACHABLE
        assert reply.retry_after_ms > 0
        assert _state(world) == "stalled"

    async def test_new_work_is_refused_while_it_hangs(self):
        """Guards against slots and time spent on a hanging replica."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        await _ask(client, range(10, 13), remaining_ms=2000.0)
        await asyncio.sleep(0.2)
        client.ask(50, "r1")
        reply = await client.wait_for(messages.SubReply, 50, timeout_s=0.01)
        assert reply.outcome is UNREACHABLE

    async def test_running_calls_end_at_their_deadline(self):
        """Guards against slots that a frozen replica keeps for ever."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        await _ask(client, range(10, 13), remaining_ms=300.0)
        await asyncio.sleep(0.4)
        replies = client.of(messages.SubReply)[10:]
        running = _service(world).dump()["replicas"]["r1"]["running"]
        assert [reply.outcome for reply in replies] == [FAILED] * 3
        assert running == 0

    async def test_recovery_is_noticed(self):
        """Guards against a replica that stays stalled after its pause."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        await _ask(client, range(10, 13), remaining_ms=300.0)
        await asyncio.sleep(1.0)
        replica.frozen = False
        await asyncio.sleep(0.6)
        await _ask(client, range(50, 60))
        outcomes = [
            reply.outcome
            for reply in client.of(messages.SubReply)
            if reply.attempt >= 50
        ]
        assert outcomes == [OK] * 10
        assert _state(world) == "ramping"

    async def test_probe_makes_the_next_trial_due(self):
        """Guards against a recovered replica that waits for the interval."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        await _ask(client, range(10, 13), remaining_ms=300.0)
        await asyncio.sleep(0.35)
        replica.frozen = False
        await asyncio.sleep(0.4)
        client.ask(50, "r1")
        assert (await client.wait_for(messages.SubReply, 50)).outcome is OK

    async def test_no_trial_while_calls_hang(self):
        """Guards against a trial that waits behind calls that hang."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        await _ask(client, range(10, 13), remaining_ms=5000.0)
        await asyncio.sleep(2.5)
        asked_s = asyncio.get_running_loop().time()
        client.ask(50, "r1")
        reply = await client.wait_for(messages.SubReply, 50)
        assert reply.outcome is UNREACHABLE
        assert (client.times_s[-1] - asked_s) < 0.001

    async def test_trials_are_single_while_it_hangs(self):
        """Guards against a stalled replica that takes every call again."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.frozen = True
        await _ask(client, range(10, 13), remaining_ms=300.0)
        await asyncio.sleep(1.0)
        before = replica.count("query_started")
        await _ask(client, range(50, 350), remaining_ms=500.0)
        # One trial a second, over three seconds.
        assert (replica.count("query_started") - before) <= 4

    async def test_own_pause_is_no_stall(self):
        """Guards against blaming replicas after a pause of this process."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        await _ask(client, range(10))
        replica.service_s = lambda rng: 0.03
        for attempt in range(10, 16):
            client.ask(attempt, "r1", remaining_ms=9000.0)
        await asyncio.sleep(0.004)
        asyncio.get_running_loop().advance(2.0)
        await asyncio.sleep(0.2)
        assert [
            reply.outcome
            for reply in client.of(messages.SubReply)
            if reply.attempt >= 10
        ] == [OK] * 6


class TestColdReplica:
    """A replica that has just started is ramped up."""

    async def test_added_replica_starts_slowly(self):
        """Guards against full load on empty caches."""
        world, _ = await _start()
        _publish(world, ("r1", "r2"))
        await asyncio.sleep(0.1)
        replica = world.replicas_by_id["r2"]
        replica.service_s = lambda rng: 0.02
        client = dispatch_client.Client(world, "i1")
        for attempt in range(10):
            client.ask(attempt, "r2")
        await asyncio.sleep(0.01)
        early = replica.running
        await asyncio.sleep(6.0)
        assert (early, _state(world, "r2"), _state(world, "r1")) == (
            1,
            "healthy",
            "healthy",
        )

    async def test_fresh_instance_ramps_nothing(self):
        """Guards against a restart that throttles the whole fleet."""
        world, _ = await _start()
        assert _state(world) == "healthy"


class TestVersions:
    """Versions come from replies before the health endpoint."""

    async def test_denied_version_is_not_taken_from_the_endpoint(self):
        """Guards against an endpoint that lags behind a flip."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        client.ask(1, "r1")
        await client.wait_for(messages.SubReply, 1)
        replica.health_versions = (1,)
        replica.versions = (2,)
        client.ask(2, "r1")
        reply = await client.wait_for(messages.SubReply, 2)
        await asyncio.sleep(1.1)
        replica.failing = True
        client.ask(3, "r1")
        later = await client.wait_for(messages.SubReply, 3)
        later = later.versions
        assert reply.outcome is messages.Outcome.WRONG_VERSION
        assert reply.versions == (2,)
        assert later == (2,)

    async def test_changed_endpoint_is_believed_after_a_denial(self):
        """Guards against old versions while an index flips often."""
        world, replica = await _start()
        client = dispatch_client.Client(world, "i1")
        replica.versions = (2,)
        client.ask(1, "r1")
        await client.wait_for(messages.SubReply, 1)
        replica.versions = (3,)
        await asyncio.sleep(1.1)
        replica.failing = True
        client.ask(2, "r1")
        assert (await client.wait_for(messages.SubReply, 2)).versions == (3,)

    async def test_endpoint_tells_versions_without_calls(self):
        """Guards against versions that only a failed query reveals."""
        world, replica = await _start()
        replica.versions = (1, 2)
        await asyncio.sleep(1.5)
        client = dispatch_client.Client(world, "i1")
        client.ask(1, "r1")
        assert (await client.wait_for(messages.SubReply, 1)).versions == (1, 2)


class TestLeaving:
    """Any of four signals ends new work within 2 s, everywhere."""

    _DOMAINS = ("i1", "i2", "i3")

    async def _world(self, **options):
        world, replica = await _start(self._DOMAINS, **options)
        (owner,) = [
            name
            for name in self._DOMAINS
            if "r1" in _service(world, name).dump()["owned"]
        ]
        return world, replica, owner

    def _everywhere(self, world):
        return [
            _service(world, name).is_leaving("r1") for name in self._DOMAINS
        ]

    def _signal(self, apply):
        """Returns who knows after 2 s and what new work is answered."""

        async def scenario():
            world, replica, owner = await self._world()
            client = dispatch_client.Client(world, owner)
            apply(world, replica, client)
            await asyncio.sleep(2.0)
            before = replica.count("query_started")
            client.ask(50, "r1")
            reply = await client.wait_for(messages.SubReply, 50)
            started = replica.count("query_started") - before
            return self._everywhere(world), reply.outcome, started

        return virtual.run(scenario())

    def _leaves(self, apply):
        assert self._signal(apply) == ([True] * 3, DRAINING, 0)

    def test_configuration(self):
        """Guards against a flag that the dispatcher does not read."""

        def apply(world, replica, client):
            document = world.documents_by_path["/operator/services/svc"]
            value = document.value
            (item,) = value["replicas"]
            value = {**value, "replicas": [{**item, "leaving": True}]}
            world.publish({"/operator/services/svc": value})

        self._leaves(apply)

    def test_list(self):
        """Guards against a platform list that only one instance reads."""

        def apply(world, replica, client):
            for name in self._DOMAINS:
                if name != client.to:
                    _service(world, name).note_listed({"r1": "leaving"})
                    return

        self._leaves(apply)

    def test_health_endpoint(self):
        """Guards against a replica that says so and gets work."""

        def apply(world, replica, client):
            replica.health_state = "draining"

        self._leaves(apply)

    def test_own_reply(self):
        """Guards against a health endpoint that lags behind the replies."""

        def apply(world, replica, client):
            replica.draining = True
            replica.health_state = "ok"
            client.ask(1, "r1")

        self._leaves(apply)

    async def test_queued_work_is_given_back_and_running_work_ends(self):
        """Guards against queued work lost and running work cut off."""
        world, replica, owner = await self._world(service_s=lambda rng: 0.05)
        client = dispatch_client.Client(world, owner)
        for attempt in range(8):
            client.ask(attempt, "r1")
        client.reserve(1, "r1")
        await asyncio.sleep(0.01)
        _service(world, owner).note_listed({"r1": "leaving"})
        await asyncio.sleep(0.002)
        early = [reply.outcome for reply in client.of(messages.SubReply)]
        await asyncio.sleep(0.3)
        outcomes = [reply.outcome for reply in client.of(messages.SubReply)]
        slots = client.of(messages.SlotOutcome)
        assert early == [DRAINING] * 5
        assert outcomes == [DRAINING] * 5 + [OK] * 3
        assert [slot.state for slot in slots] == [messages.SlotState.NOT_SENT]

    async def test_notice_reaches_each_peer_without_a_flood(self):
        """Guards against every instance telling every other one."""
        world, _, _ = await self._world()
        for name in self._DOMAINS:
            _service(world, name).note_listed({"r1": "leaving"})
        await asyncio.sleep(0.1)
        # Two others tell the owner; the owner tells two others.
        assert world.network.messages_by_type.get("UpstreamLeaving", 0) <= 4

    async def test_notice_lasts_as_long_as_the_reason(self):
        """Guards against peers that forget what only the owner knows."""
        world, replica, owner = await self._world()
        replica.health_state = "draining"
        await asyncio.sleep(3 * leaving_lib.PEER_LIFETIME_S)
        assert self._everywhere(world) == [True] * 3

    async def test_return_of_the_replica_is_noticed_and_ramped(self):
        """Guards against a replica that is lost after maintenance."""
        world, _, owner = await self._world()
        for name in self._DOMAINS:
            _service(world, name).note_listed({"r1": "leaving"})
        await asyncio.sleep(30.0)
        during = self._everywhere(world)
        for name in self._DOMAINS:
            _service(world, name).note_listed({"r1": "live"})
        await asyncio.sleep(leaving_lib.PEER_LIFETIME_S + 5.0)
        dump = _service(world, owner).dump()["replicas"]["r1"]
        assert (during, self._everywhere(world), dump["leaving"]) == (
            [True] * 3,
            [False] * 3,
            False,
        )

    async def test_drained_replica_that_hides_it_stays_out(self):
        """Guards against new work after the first good health answer."""
        world, replica, owner = await self._world()
        replica.draining = True
        replica.health_state = "ok"
        client = dispatch_client.Client(world, owner)
        client.ask(1, "r1")
        await asyncio.sleep(5.0)
        await _ask(client, range(10, 20))
        assert replica.count("query_refused") == 1

    async def test_replica_that_admits_draining_is_back_when_it_says_so(self):
        """Guards against waiting a minute for a replica that is back."""
        world, replica, owner = await self._world()
        replica.draining = True
        client = dispatch_client.Client(world, owner)
        client.ask(1, "r1")
        await asyncio.sleep(2.0)
        replica.draining = False
        await asyncio.sleep(2.0)
        client.ask(2, "r1")
        assert (await client.wait_for(messages.SubReply, 2)).outcome is OK

    async def test_new_owner_knows(self):
        """Guards against a take-over that gives a leaving replica work."""
        world, replica, owner = await self._world()
        _service(world, owner).note_listed({"r1": "leaving"})
        await asyncio.sleep(0.1)
        (other, _) = [name for name in self._DOMAINS if name != owner]
        client = dispatch_client.Client(world, other)
        client.ask(1, "r1")
        assert (await client.wait_for(messages.SubReply, 1)).outcome is DRAINING
