"""Tests ejection, ramp-up, stalls and draining of replicas."""

import asyncio

from mallowloft import messages
from mallowloft.dispatch import health as health_lib
from mallowloft.dispatch import leaving as leaving_lib
from tests.support import dispatch_client

OK = messages.Outcome.OK
FAILED = messages.Outcome.FAILED
DRAINING = messages.Outcome.DRAINING
UNREACHABLE = messages.Outcome.UNREACHABLE
_start = dispatch_client.start
_publish = dispatch_client.publish
_dump = dispatch_client.dump


def _service(world, instance):
    return world.kernels_by_id[instance].plugin("dispatch")


def _state(world, replica="r1"):
    return _dump(world, replica)["state"]


async def _start_failing():
    """Starts a world whose replica fails ten calls fast."""
    world, replica, client = await _start()
    replica.failing = True
    await client.ask_paced(range(10))
    return world, replica, client


async def _start_hanging(remaining_ms, pause_s):
    """Starts a world whose replica does not answer three calls."""
    world, replica, client = await _start()
    await client.ask_paced(range(10))
    replica.frozen = True
    await client.ask_paced(range(10, 13), remaining_ms=remaining_ms)
    await asyncio.sleep(pause_s)
    return world, replica, client


class TestEjection:
    """The outcomes of calls decide, not the health endpoint."""

    async def test_fast_failing_replica_reports_a_long_delay(self):
        """Guards against a replica that attracts queries by failing fast."""
        world, replica, client = await _start()
        await client.ask_paced(range(10))
        replica.failing = True
        replica.health_state = "ok"
        await client.ask_paced(range(10, 20))
        (reply,) = client.of(messages.SubReply, 19)
        assert _state(world) == "ejected"
        assert reply.outcome is FAILED
        assert reply.queue_delay_ms > 500
        assert reply.retry_after_ms > 500

    async def test_wrong_health_answer_does_not_eject(self):
        """Guards against an endpoint that reports a good replica as failing."""
        world, replica, client = await _start()
        replica.health_state = "failing"
        await asyncio.sleep(2.0)
        await client.ask_paced(range(10))
        assert _state(world) == "healthy"
        assert client.of(messages.SubReply)[-1].queue_delay_ms < 10

    async def test_ejected_replica_still_serves_calls(self):
        """Guards against lost coverage of shards without another replica."""
        world, replica, client = await _start_failing()
        assert _state(world) == "ejected"
        replica.failing = False
        assert (await client.answer(50)).outcome is OK

    async def test_ejected_replica_gets_one_call_at_a_time(self):
        """Guards against full load on a replica that has just failed."""
        _, replica, client = await _start_failing()
        replica.failing = False
        replica.service_s = lambda rng: 0.02
        client.ask_all(range(50, 54))
        peak = 0
        for _ in range(50):
            await asyncio.sleep(0.001)
            peak = max(peak, replica.running)
        assert peak == 1

    def test_low_error_rate_does_not_eject(self):
        """Guards against ejection because of random errors."""
        health = health_lib.CallHealth(0.0)
        for number in range(100):
            if number % 3 == 0:
                health.on_error(0.01 * number)
            else:
                health.on_success(0.003, 0.01 * number)
        assert health.state is health_lib.State.HEALTHY

    async def test_short_deadlines_do_not_eject(self):
        """Guards against counting short deadlines as replica errors."""
        world, _, client = await _start(service_s=lambda rng: 0.02)
        await client.ask_paced(range(10), pause_s=0.03)
        await client.ask_paced(range(10, 40), pause_s=0.03, remaining_ms=8.0)
        assert _state(world) == "healthy"

    def test_ejection_duration_doubles_and_resets(self):
        """Guards against retrying a failing replica every second for ever."""
        health = health_lib.CallHealth(0.0)
        lengths = []
        now_s = 0.0
        for _ in range(5):
            for _ in range(5):
                health.on_error(now_s)
            lengths.append(health.avoidance_remaining_s(now_s))
            now_s += lengths[-1]
            health.update(now_s)
        assert lengths == [1.0, 2.0, 4.0, 8.0, 8.0]
        now_s += 60.0
        health.update(now_s)
        for _ in range(5):
            health.on_error(now_s)
        assert health.avoidance_remaining_s(now_s) == 1.0

    def test_ramp_up_after_ejection(self):
        """Guards against full load as soon as an ejection ends."""
        health = health_lib.CallHealth(0.0)
        for _ in range(5):
            health.on_error(0.0)
        shares = [health.in_flight_share(t) for t in (0.5, 1.0, 3.5, 5.9, 6.0)]
        assert shares[0] == 0.0
        assert 0.09 < shares[1] < 0.11
        assert 0.5 < shares[2] < 0.6
        assert shares[3] < 1.0
        assert shares[4] == 1.0

    async def test_recovers_without_an_operator(self):
        """Guards against a replica that stays ejected after its recovery."""
        world, replica, client = await _start_failing()
        replica.failing = False
        await client.ask_paced(range(100, 900))
        assert _state(world) == "healthy"


class TestSlowReplica:
    """A replica that has become slower reports a longer queue delay."""

    async def test_slow_replica_reports_its_excess(self):
        """Guards against a straggler that reports the same delay as others."""
        _, replica, client = await _start()
        await client.ask_paced(range(100))
        replica.slow_factor = 10.0
        await client.ask_paced(range(100, 130), pause_s=0.05)
        slow = client.of(messages.SubReply)[-1].queue_delay_ms
        replica.slow_factor = 1.0
        await client.ask_paced(range(200, 260), pause_s=0.05)
        assert 20 < slow < 40
        assert client.of(messages.SubReply)[-1].queue_delay_ms < 1

    def test_excess_decays_without_calls(self):
        """Guards against avoiding a recovered replica for ever."""
        health = health_lib.CallHealth(0.0)
        for _ in range(100):
            health.on_success(0.003, 1.0)
        for _ in range(30):
            health.on_success(0.03, 1.0)
        assert health.excess_service_s(1.0) > 0.02
        assert health.excess_service_s(11.0) < 0.001

    def test_lasting_change_becomes_the_baseline(self):
        """Guards against counting a slower release as slow for ever."""
        health = health_lib.CallHealth(0.0)
        for _ in range(10):
            health.on_success(0.003, 0.0)
        for _ in range(3000):
            health.on_success(0.012, 0.0)
        assert health.excess_service_s(0.0) == 0.0


class TestFrozenReplica:
    """Calls to a frozen replica end, and queued work is refused."""

    async def test_queued_work_is_refused_immediately(self):
        """Guards against work queued behind a call that hangs."""
        world, replica, client = await _start()
        await client.ask_paced(range(10))
        replica.frozen = True
        asked_s = asyncio.get_running_loop().time()
        client.ask_all(range(10, 20), remaining_ms=2000.0)
        reply = await client.wait_for(messages.SubReply, 19)
        took_s = asyncio.get_running_loop().time() - asked_s
        assert took_s < 0.15
        assert reply.outcome is UNREACHABLE
        assert reply.retry_after_ms > 0
        assert _state(world) == "stalled"

    async def test_new_work_is_refused_while_the_replica_hangs(self):
        """Guards against sending work to a replica that hangs."""
        _, replica, client = await _start_hanging(2000.0, 0.2)
        answer = await client.answer(50, timeout_s=0.01)
        assert answer.outcome is UNREACHABLE

    async def test_running_calls_end_at_their_deadline(self):
        """Guards against slots that a frozen replica occupies for ever."""
        world, replica, client = await _start_hanging(300.0, 0.4)
        assert client.outcomes()[10:] == [FAILED] * 3
        assert _dump(world)["running"] == 0

    async def test_recovery_is_detected(self):
        """Guards against a replica that stays stalled after its recovery."""
        world, replica, client = await _start_hanging(300.0, 1.0)
        replica.frozen = False
        await asyncio.sleep(0.6)
        await client.ask_paced(range(50, 60))
        assert client.outcomes(50) == [OK] * 10
        assert _state(world) == "ramping"

    async def test_health_answer_allows_the_next_trial(self):
        """Guards against waiting for the trial interval after a recovery."""
        _, replica, client = await _start_hanging(300.0, 0.35)
        replica.frozen = False
        await asyncio.sleep(0.4)
        assert (await client.answer(50)).outcome is OK

    async def test_no_trial_while_calls_hang(self):
        """Guards against a trial call queued behind calls that hang."""
        _, replica, client = await _start_hanging(5000.0, 2.5)
        asked_s = asyncio.get_running_loop().time()
        reply = await client.answer(50)
        assert reply.outcome is UNREACHABLE
        assert client.times_s[-1] - asked_s < 0.001

    async def test_trials_are_limited_while_the_replica_hangs(self):
        """Guards against a stalled replica that gets all calls again."""
        _, replica, client = await _start_hanging(300.0, 1.0)
        before = replica.count("query_started")
        await client.ask_paced(range(50, 350), remaining_ms=500.0)
        # Trials are one second apart, over three seconds.
        assert replica.count("query_started") - before <= 4

    async def test_pause_of_this_process_is_not_a_stall(self):
        """Guards against reporting a stall after a pause of this process."""
        _, replica, client = await _start()
        await client.ask_paced(range(10))
        replica.service_s = lambda rng: 0.03
        client.ask_all(range(10, 16), remaining_ms=9000.0)
        await asyncio.sleep(0.004)
        asyncio.get_running_loop().advance(2.0)
        await asyncio.sleep(0.2)
        assert client.outcomes(10) == [OK] * 6


class TestNewReplica:
    """A replica that has just started is ramped up."""

    async def test_added_replica_is_ramped_up(self):
        """Guards against full load on a replica with empty caches."""
        world, _, client = await _start()
        _publish(world, ("r1", "r2"))
        await asyncio.sleep(0.1)
        replica = world.replicas_by_id["r2"]
        replica.service_s = lambda rng: 0.02
        client.ask_all(range(10), replica="r2")
        await asyncio.sleep(0.01)
        assert replica.running == 1
        await asyncio.sleep(6.0)
        assert _state(world, "r2") == _state(world, "r1") == "healthy"

    async def test_new_instance_does_not_ramp_up_replicas(self):
        """Guards against a restart that throttles all replicas."""
        world, _, _ = await _start()
        assert _state(world) == "healthy"


class TestVersions:
    """Versions in replies take precedence over those in health answers."""

    async def test_wrong_version_reply_overrides_a_stale_health_answer(self):
        """Guards against a health endpoint that lags after a version change."""
        _, replica, client = await _start()
        await client.answer(1)
        replica.health_versions = (1,)
        replica.versions = (2,)
        reply = await client.answer(2)
        await asyncio.sleep(1.1)
        replica.failing = True
        later = await client.answer(3)
        assert reply.outcome is messages.Outcome.WRONG_VERSION
        assert reply.versions == (2,)
        assert later.versions == (2,)

    async def test_changed_health_answer_overrides_a_wrong_version_reply(self):
        """Guards against outdated versions while an index changes often."""
        _, replica, client = await _start()
        replica.versions = (2,)
        await client.answer(1)
        replica.versions = (3,)
        await asyncio.sleep(1.1)
        replica.failing = True
        assert (await client.answer(2)).versions == (3,)

    async def test_health_endpoint_reports_versions_without_calls(self):
        """Guards against versions that become known only by failed queries."""
        _, replica, client = await _start()
        replica.versions = (1, 2)
        await asyncio.sleep(1.5)
        assert (await client.answer(1)).versions == (1, 2)


class TestLeaving:
    """Each of four signals stops new work on all instances within 2 s."""

    _INSTANCES = ("i1", "i2", "i3")

    async def _world(self, **options):
        world, replica, client = await _start(self._INSTANCES, **options)
        client.to, _ = dispatch_client.owner(world)
        return world, replica, client

    def _others(self, client):
        return [name for name in self._INSTANCES if name != client.to]

    def _leaving_by_instance(self, world):
        return [_service(world, n).is_leaving("r1") for n in self._INSTANCES]

    def _apply_list(self, world, state):
        for name in self._INSTANCES:
            _service(world, name).on_platform_list({"r1": state})

    async def _check_leaving(self, world, replica, client):
        """Checks that all instances know and refuse new work after 2 s."""
        await asyncio.sleep(2.0)
        before = replica.count("query_started")
        assert (await client.answer(50)).outcome is DRAINING
        assert replica.count("query_started") == before
        assert self._leaving_by_instance(world) == [True] * 3

    async def test_configuration(self):
        """Guards against a configured flag that the dispatcher ignores."""
        world, replica, client = await self._world()
        path = "/operator/services/svc"
        value = world.documents_by_path[path].value
        (item,) = value["replicas"]
        world.publish(
            {path: {**value, "replicas": [{**item, "leaving": True}]}}
        )
        await self._check_leaving(world, replica, client)

    async def test_platform_list(self):
        """Guards against a signal that stays on the instance that got it."""
        world, replica, client = await self._world()
        other, _ = self._others(client)
        _service(world, other).on_platform_list({"r1": "leaving"})
        await self._check_leaving(world, replica, client)

    async def test_health_endpoint(self):
        """Guards against new work for a replica that reports draining."""
        world, replica, client = await self._world()
        replica.health_state = "draining"
        await self._check_leaving(world, replica, client)

    async def test_reply_of_the_replica(self):
        """Guards against a health endpoint that lags behind the replies."""
        world, replica, client = await self._world()
        replica.draining = True
        replica.health_state = "ok"
        client.ask(1)
        await self._check_leaving(world, replica, client)

    async def test_queued_work_is_refused_and_running_work_completes(self):
        """Guards against lost queued work and aborted running work."""
        world, _, client = await self._world(service_s=lambda rng: 0.05)
        client.ask_all(range(8))
        client.reserve(1)
        await asyncio.sleep(0.01)
        _service(world, client.to).on_platform_list({"r1": "leaving"})
        await asyncio.sleep(0.002)
        assert client.outcomes() == [DRAINING] * 5
        await asyncio.sleep(0.3)
        slots = client.of(messages.SlotOutcome)
        assert client.outcomes() == [DRAINING] * 5 + [OK] * 3
        assert [slot.state for slot in slots] == [messages.SlotState.NOT_SENT]

    async def test_number_of_notices_is_limited(self):
        """Guards against every instance notifying every other instance."""
        world, _, _ = await self._world()
        self._apply_list(world, "leaving")
        await asyncio.sleep(0.1)
        # Two instances notify the owner, which notifies both of them.
        assert world.network.messages_by_type.get("UpstreamLeaving", 0) <= 4

    async def test_notice_is_repeated_while_the_replica_drains(self):
        """Guards against a notice that expires while the replica drains."""
        world, replica, _ = await self._world()
        replica.health_state = "draining"
        await asyncio.sleep(3 * leaving_lib.PEER_SIGNAL_LIFETIME_S)
        assert self._leaving_by_instance(world) == [True] * 3

    async def test_return_of_the_replica_is_detected(self):
        """Guards against a replica that stays unused after maintenance."""
        world, _, client = await self._world()
        self._apply_list(world, "leaving")
        await asyncio.sleep(30.0)
        assert self._leaving_by_instance(world) == [True] * 3
        self._apply_list(world, "live")
        await asyncio.sleep(leaving_lib.PEER_SIGNAL_LIFETIME_S + 5.0)
        assert self._leaving_by_instance(world) == [False] * 3
        assert _dump(world, instance=client.to)["leaving"] is False

    async def test_draining_replica_with_a_wrong_health_answer_gets_no_work(
        self,
    ):
        """Guards against new work after a health answer of "ok"."""
        _, replica, client = await self._world()
        replica.draining = True
        replica.health_state = "ok"
        client.ask(1)
        await asyncio.sleep(5.0)
        await client.ask_paced(range(10, 20))
        assert replica.count("query_refused") == 1

    async def test_end_of_draining_in_the_health_answer_restores_the_replica(
        self,
    ):
        """Guards against waiting a minute for a replica that has returned."""
        _, replica, client = await self._world()
        replica.draining = True
        client.ask(1)
        await asyncio.sleep(2.0)
        replica.draining = False
        await asyncio.sleep(2.0)
        assert (await client.answer(2)).outcome is OK

    async def test_new_owner_knows_that_a_replica_is_leaving(self):
        """Guards against a new owner that sends work to a leaving replica."""
        world, _, client = await self._world()
        _service(world, client.to).on_platform_list({"r1": "leaving"})
        await asyncio.sleep(0.1)
        client.to, _ = self._others(client)
        assert (await client.answer(1)).outcome is DRAINING
