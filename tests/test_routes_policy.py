"""Merging, hedge limits, health and partial answers of routed requests."""

import random

import pytest

from mallowloft.routes import fleet as fleet_lib
from mallowloft.routes import gathering
from mallowloft.routes import health as health_lib
from mallowloft.routes import limits
from mallowloft.routes import merge
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

    def test_instances_without_reports_expire(self):
        registry = fleet_lib.InstanceRegistry()
        for number in range(59):
            registry.record_report(fleet_lib.Report(f"i{number}"), 0.0)
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
        assert registry.instances == 7
        for now_s in range(4, 40, 2):
            registry.record_count(3, float(now_s))
        assert registry.instances == 3


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


class TestPartialAnswerTime:
    """Partial answers are sent shortly before the caller's objective."""

    _ROUTE = replicas_lib.route()

    def test_before_the_objective(self):
        answer_s = gathering.partial_answer_time(self._ROUTE, 10.0, 0.0, 10.4)
        assert 10.07 < answer_s < 10.092

    def test_earlier_for_a_caller_that_has_waited(self):
        first = gathering.partial_answer_time(self._ROUTE, 10.0, 0.0, 10.4)
        again = gathering.partial_answer_time(self._ROUTE, 10.0, 0.03, 10.37)
        assert abs((first - again) - 0.03) < 1e-9

    def test_whole_objective_if_already_missed(self):
        answer_s = gathering.partial_answer_time(self._ROUTE, 10.0, 0.2, 10.2)
        assert answer_s > 10.05

    def test_never_after_the_deadline(self):
        assert (
            gathering.partial_answer_time(self._ROUTE, 10.0, 0.0, 10.03)
            == 10.03
        )
