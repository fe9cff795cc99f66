"""Merging, hedge limits, health and partial answers of routed requests."""

import random

import pytest

from mallowloft.routes import fleet as fleet_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import limits
from mallowloft.routes import merge
from mallowloft.routes import model
from mallowloft.routes import timing
from tests.support import replicas as replicas_lib


def _record(number: int) -> bytes:
    return number.to_bytes(merge.RECORD_BYTES, "big")


class TestMerge:
    """A merge keeps the greatest records in descending order."""

    def test_greatest_of_all_parts(self):
        rng = random.Random(5)
        numbers = [rng.randrange(1 << 60) for _ in range(60)]
        parts = [
            b"".join(map(_record, numbers[start::3])) for start in range(3)
        ]
        expected = sorted(numbers, reverse=True)[:20]
        assert merge.greatest(parts, 20) == b"".join(map(_record, expected))

    def test_equal_records_are_all_kept(self):
        part = _record(9) + _record(1)
        assert merge.greatest([part, part], 3) == (
            _record(9) + _record(9) + _record(1)
        )

    def test_incomplete_record_is_ignored(self):
        assert merge.greatest([_record(1) + b"\xff" * 15], 5) == _record(1)


class TestExtraAttempts:
    """Extra attempts of all instances together stay within the limit."""

    # The users' limit for one service: share, allowance, window.
    _SHARE, _ALLOWANCE, _WINDOW_S = 0.2, 54, 10.0

    def _limit(self, instances: int) -> limits.ExtraAttemptLimit:
        return limits.ExtraAttemptLimit.for_instance(
            self._SHARE, self._ALLOWANCE, self._WINDOW_S, instances
        )

    @pytest.mark.parametrize("instances", [1, 3, 7, 10, 40])
    def test_all_instances_together_stay_within_limit(self, instances):
        limit = self._limit(instances)
        fleet = [
            limits.ExtraAttemptBucket(limit, 0.0) for _ in range(instances)
        ]
        for bucket in fleet:
            # A long time with few requests fills the bucket.
            for second in range(1000):
                bucket.refill(float(second))
        rng = random.Random(2)
        requests, extra = 450, 0
        for number in range(requests):
            bucket = rng.choice(fleet)
            bucket.refill(1000.0 + self._WINDOW_S * number / requests)
            while bucket.take_hedge() or bucket.take_retry():
                extra += 1
        assert extra <= self._SHARE * requests + self._ALLOWANCE

    def test_hedges_wait_until_overdraft_of_retries_is_refilled(self):
        bucket = limits.ExtraAttemptBucket(self._limit(7), 0.0)
        while bucket.take_hedge():
            pass
        assert bucket.take_retry()
        assert not bucket.take_hedge()
        for _ in range(30):
            bucket.refill(0.0)
        assert bucket.take_hedge()

    def test_instances_with_few_requests_may_hedge(self):
        # Guards against a reserve that exceeds the capacity of the bucket.
        limit = limits.ExtraAttemptLimit.for_instance(0.2, 158, 10.0, 59)
        bucket = limits.ExtraAttemptBucket(limit, 0.0)
        for second in range(60):
            bucket.refill(float(second))
        assert bucket.take_hedge()


class TestInstanceRegistry:
    """The number of instances is counted and survives short partitions."""

    def test_counts_each_instance_once(self):
        registry = fleet_lib.InstanceRegistry()
        for now_s in range(3):
            for number in range(59):
                report = fleet_lib.Report(f"i{number}")
                summary = registry.record_report(report, float(now_s))
        assert summary.instances == 59

    def test_count_is_unknown_until_no_new_instance_reports(self):
        # Guards against a seed that has just started and returns a low count:
        # each instance would use a large part of the limits of the fleet.
        registry = fleet_lib.InstanceRegistry()
        for number in range(100):
            report = fleet_lib.Report(f"i{number}")
            summary = registry.record_report(report, 0.1 * number)
            assert summary.instances == 0
            assert summary.hub_digest == ""
        assert registry.record_report(report, 10.5).instances == 100

    def test_a_large_fleet_is_assumed_if_no_seed_answers(self):
        registry = fleet_lib.InstanceRegistry(started_s=10.0)
        assert registry.instances(10.5) == 8
        limit = limits.ExtraAttemptLimit.for_instance(
            0.2, 430, 10.0, registry.instances(13.0)
        )
        # All of 195 instances together stay within the allowance.
        assert 195 * limit.max_tokens <= 430
        assert limit.max_tokens >= 1

    def test_instances_without_reports_expire(self):
        registry = fleet_lib.InstanceRegistry()
        for now_s in (0.0, 1.0):
            for number in range(59):
                summary = registry.record_report(
                    fleet_lib.Report(f"i{number}"), now_s
                )
        assert summary.instances == 59
        assert (
            registry.record_report(fleet_lib.Report("i1"), 60.0).instances == 1
        )

    def test_suspects_of_several_instances_are_returned(self):
        registry = fleet_lib.InstanceRegistry()
        registry.record_report(fleet_lib.Report("a", ("r1", "r2")), 0.0)
        summary = registry.record_report(fleet_lib.Report("b", ("r2",)), 1.0)
        assert summary.suspects == ("r2",)
        # Old reports no longer count.
        summary = registry.record_report(fleet_lib.Report("b", ("r2",)), 9.0)
        assert summary.suspects == ()

    def test_largest_count_holds_until_it_expires(self):
        # Guards against a partitioned part of the fleet using the whole limit.
        registry = fleet_lib.InstanceRegistry()
        registry.record_count(7, 0.0)
        registry.record_count(3, 2.0)
        assert registry.instances(2.0) == 7
        for now_s in range(4, 40, 2):
            registry.record_count(3, float(now_s))
        assert registry.instances(40.0) == 3


class TestRouteLatency:
    """Hedges leave room for a second attempt within the objective."""

    def test_hedge_delay_follows_the_attempts(self):
        latency = limits.RouteLatency(0.1)
        for number in range(200):
            latency.record(0.010 if number % 10 else 0.016)
        assert 0.010 <= latency.hedge_delay_s <= 0.020
        assert 0.009 <= latency.median_s <= 0.012

    def test_hedge_delay_leaves_time_for_a_second_attempt(self):
        latency = limits.RouteLatency(0.1)
        for _ in range(200):
            latency.record(0.5)
        assert latency.hedge_delay_s <= 0.04 + 1e-9


class TestReplicaHealth:
    """Pauses affect the estimates briefly, slowness and failures longer."""

    def _reply(self, health, start_s: float, duration_s: float) -> None:
        attempt = object()
        health.record_start(attempt, start_s, 0.01)
        health.record_reply(attempt, start_s + duration_s)

    def test_slowness_after_one_pause_decays_soon(self):
        health = health_lib.ReplicaHealth()
        self._reply(health, 0.0, 0.1)
        assert health.slowness(0.1) > 1.3
        assert health.slowness(3.1) < 1.2

    def test_slowness_grows_with_each_slow_reply(self):
        health = health_lib.ReplicaHealth()
        self._reply(health, 0.0, 0.09)
        once = health.slowness(0.1)
        for number in range(1, 6):
            self._reply(health, number * 0.1, 0.09)
        assert health.slowness(0.6) > 2 * once
        # After 30 s the replica is tried again.
        assert health.slowness(30.0) < 1.05

    def test_stalled_from_overdue_attempt_until_reply(self):
        health = health_lib.ReplicaHealth()
        attempt = object()
        health.record_start(attempt, 0.0, 0.01)
        assert not health.stalled(0.02)
        assert health.stalled(0.04)
        health.record_reply(attempt, 0.1)
        assert not health.stalled(0.1)

    def test_ejected_longer_after_each_failure(self):
        health = health_lib.ReplicaHealth()
        lengths = []
        now_s = 0.0
        for _ in range(8):
            health.record_failure(object(), now_s)
            until_s = now_s
            while health.ejected(until_s):
                until_s += 0.01
            lengths.append(round(until_s - now_s, 1))
            now_s = until_s + 1.0
        assert lengths == sorted(lengths)
        assert lengths[0] < 0.25
        assert lengths[-1] < 2.1

    def test_a_reply_ends_the_ejection(self):
        health = health_lib.ReplicaHealth()
        for _ in range(5):
            health.record_failure(object(), 0.0)
        self._reply(health, 0.1, 0.01)
        assert not health.ejected(0.2)


class TestSuspectedByOthers:
    """A report of other instances holds until it expires or a reply arrives."""

    def test_report_expires(self):
        health = health_lib.ReplicaHealth()
        health.mark_suspected(10.0)
        assert health.suspected_by_others(10.5)
        assert not health.suspected_by_others(20.0)

    def test_own_reply_overrides_report(self):
        health = health_lib.ReplicaHealth()
        health.mark_suspected(10.0)
        attempt = object()
        health.record_start(attempt, 10.1, 0.01)
        health.record_reply(attempt, 10.11)
        assert not health.suspected_by_others(10.2)

    def test_late_attempt_does_not_override_report(self):
        # An attempt that is late agrees with the report.
        health = health_lib.ReplicaHealth()
        health.mark_suspected(10.0)
        attempt = object()
        health.record_start(attempt, 10.1, 0.01)
        health.record_late(attempt, 10.15)
        assert health.suspected_by_others(10.2)


class TestAnswerTime:
    """Answers leave early enough to reach the caller within the objective."""

    _OBJECTIVE_S = 0.074
    _FAR_S = 0.0064
    _NEAR_S = 0.0008

    def _answer_in(
        self,
        waited_s: float = 0.0,
        round_trip_s: float = 0.0,
        transfer_s: float = 0.0,
    ) -> float:
        answer_s = timing.answer_by(
            self._OBJECTIVE_S, 10.0, waited_s, round_trip_s, transfer_s, 0.02
        )
        return answer_s - 10.0

    def test_distant_caller_with_a_new_connection(self):
        # Connecting takes a round trip, and so do request and answer together.
        path = timing.CallerPath(self._FAR_S, reused=False)
        answer_s = self._answer_in(path.setup_s, path.round_trip_s)
        arrival_s = 1.5 * self._FAR_S + answer_s + 0.5 * self._FAR_S
        assert self._OBJECTIVE_S - 0.004 < arrival_s < self._OBJECTIVE_S

    def test_near_caller_gets_more_time_for_parts(self):
        near = self._answer_in(0.0, self._NEAR_S)
        far = self._answer_in(0.0, self._FAR_S)
        assert abs((near - far) - (self._FAR_S - self._NEAR_S)) < 1e-9

    def test_reused_connection_needs_no_setup(self):
        assert timing.CallerPath(self._FAR_S, reused=True).setup_s == 0.0

    def test_transfer_over_a_small_link_is_deducted(self):
        shards = tuple(f"s{number}" for number in range(135))
        route = replicas_lib.route(shards=shards, top_records=5)
        transfer_s = timing.AnswerSize(route).transfer_s(7.0)
        assert 0.004 < transfer_s < 0.006
        saved_s = self._answer_in() - self._answer_in(transfer_s=transfer_s)
        assert abs(saved_s - transfer_s) < 1e-9

    def test_size_follows_the_answers(self):
        size = timing.AnswerSize(replicas_lib.route(shards=("s1", "s2")))
        for _ in range(30):
            size.record(model.Answer(200, ((b"a", b"b" * 999),), b"c" * 800))
        assert abs(size.bytes - 2000) < 20

    def test_earlier_for_a_caller_that_has_waited(self):
        saved_s = self._answer_in() - self._answer_in(waited_s=0.03)
        assert abs(saved_s - 0.03) < 1e-9

    def test_whole_objective_if_it_cannot_be_met(self):
        # Half a part's time would remain, so no part would arrive.
        assert self._answer_in(waited_s=0.063) == self._answer_in()

    def test_congested_connection_does_not_use_up_the_objective(self):
        assert self._answer_in(round_trip_s=0.5) > 0.7 * self._OBJECTIVE_S


class TestResponseDelays:
    """Reserved times follow the measured delays."""

    def test_assumed_until_measured(self):
        delays = timing.ResponseDelays()
        assert 0 < delays.merge_s(0.1) < 0.005
        assert 0 < delays.write_s(0.1) < 0.005

    def test_rise_with_slow_merges(self):
        delays = timing.ResponseDelays()
        for _ in range(100):
            delays.record_merge(0.006)
        assert 0.005 < delays.merge_s(0.1) < 0.007
        assert delays.write_s(0.1) < 0.002

    def test_are_bounded_by_a_share_of_the_objective(self):
        delays = timing.ResponseDelays()
        for _ in range(500):
            delays.record_write(0.5)
        assert delays.write_s(0.044) <= 0.1 * 0.044 + 1e-9
