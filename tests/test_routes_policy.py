"""Merging, allowances, health and leave times of routed requests."""

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
    """The greatest records of all parts, falling."""

    def test_greatest_of_all_parts(self):
        rng = random.Random(5)
        numbers = [rng.randrange(1 << 60) for _ in range(60)]
        parts = [
            b"".join(map(_record, numbers[start::3])) for start in range(3)
        ]
        expected = sorted(numbers, reverse=True)[:20]
        assert merge.greatest(parts, 20) == b"".join(map(_record, expected))

    def test_equal_records_all_count(self):
        part = _record(9) + _record(1)
        assert merge.greatest([part, part], 3) == (
            _record(9) + _record(9) + _record(1)
        )

    def test_shorter_remainder_is_no_record(self):
        assert merge.greatest([_record(1) + b"\xff" * 15], 5) == _record(1)


class TestExtraAttempts:
    """Extra attempts of all instances together stay within the limit."""

    # The users' bounds on one service: share, allowance, window.
    _SHARE, _ALLOWANCE, _WINDOW_S = 0.2, 54, 10.0

    def _limit(self, instances: int) -> limits.ExtraLimit:
        return limits.ExtraLimit.part_of(
            self._SHARE, self._ALLOWANCE, self._WINDOW_S, instances
        )

    @pytest.mark.parametrize("instances", [1, 3, 7, 10, 40])
    def test_all_instances_together_keep_the_limit(self, instances):
        limit = self._limit(instances)
        fleet = [limits.ExtraAttempts(limit, 0.0) for _ in range(instances)]
        for allowance in fleet:
            # Long quiet before: everything that can be saved is saved.
            for second in range(1000):
                allowance.earn(float(second))
        rng = random.Random(2)
        requests, extra = 450, 0
        for number in range(requests):
            allowance = rng.choice(fleet)
            allowance.earn(1000.0 + self._WINDOW_S * number / requests)
            while allowance.take_hedge() or allowance.take_retry():
                extra += 1
        assert extra <= self._SHARE * requests + self._ALLOWANCE

    def test_retries_may_overdraw_and_hedges_pay_back(self):
        allowance = limits.ExtraAttempts(self._limit(7), 0.0)
        while allowance.take_hedge():
            pass
        assert allowance.take_retry()
        assert not allowance.take_hedge()
        for _ in range(30):
            allowance.earn(0.0)
        assert allowance.take_hedge()

    def test_instances_with_few_requests_may_hedge(self):
        # Guards against a reserve that is larger than what can be saved.
        limit = limits.ExtraLimit.part_of(0.2, 158, 10.0, 59)
        allowance = limits.ExtraAttempts(limit, 0.0)
        for second in range(60):
            allowance.earn(float(second))
        assert allowance.take_hedge()


class TestCensus:
    """The count follows the fleet and outlasts short cuts."""

    def test_counts_each_instance_once(self):
        census = fleet_lib.Census()
        for now_s in range(3):
            for number in range(59):
                report = fleet_lib.Report(f"i{number}")
                summary = census.report(report, float(now_s))
        assert summary.instances == 59

    def test_forgets_instances_that_are_gone(self):
        census = fleet_lib.Census()
        for number in range(59):
            census.report(fleet_lib.Report(f"i{number}"), 0.0)
        assert census.report(fleet_lib.Report("i1"), 60.0).instances == 1

    def test_passes_on_what_several_instances_suspect(self):
        census = fleet_lib.Census()
        census.report(fleet_lib.Report("a", ("r1", "r2")), 0.0)
        summary = census.report(fleet_lib.Report("b", ("r2",)), 1.0)
        assert summary.suspects == ("r2",)
        # Old reports no longer count.
        summary = census.report(fleet_lib.Report("b", ("r2",)), 9.0)
        assert summary.suspects == ()

    def test_keeps_the_largest_count_for_a_while(self):
        # Guards against a cut-off part of the fleet taking the whole limit.
        census = fleet_lib.Census()
        census.hear(7, 0.0)
        census.hear(3, 2.0)
        assert census.instances == 7
        for now_s in range(4, 40, 2):
            census.hear(3, float(now_s))
        assert census.instances == 3


class TestRouteLatency:
    """Hedges leave room for a second attempt within the objective."""

    def test_late_follows_the_attempts(self):
        latency = limits.RouteLatency(0.1)
        for number in range(200):
            latency.record(0.010 if number % 10 else 0.016)
        assert 0.010 <= latency.late_s <= 0.020
        assert 0.009 <= latency.usual_s <= 0.012

    def test_late_is_never_too_late_for_a_second_attempt(self):
        latency = limits.RouteLatency(0.1)
        for _ in range(200):
            latency.record(0.5)
        assert latency.late_s <= 0.04 + 1e-9


class TestReplicaHealth:
    """Pauses are forgotten soon, slowness and failures later."""

    def _reply(self, health, start_s: float, duration_s: float) -> None:
        attempt = object()
        health.started(attempt, start_s, 0.01)
        health.replied(attempt, start_s + duration_s)

    def test_one_pause_is_forgotten_soon(self):
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
        # Half a minute later it is tried again.
        assert health.slowness(30.0) < 1.05

    def test_unanswered_attempt_shows_a_stall_until_the_reply(self):
        health = health_lib.ReplicaHealth()
        attempt = object()
        health.started(attempt, 0.0, 0.01)
        assert not health.stalled(0.02)
        assert health.stalled(0.04)
        health.replied(attempt, 0.1)
        assert not health.stalled(0.1)

    def test_ejected_longer_after_each_failure(self):
        health = health_lib.ReplicaHealth()
        lengths = []
        now_s = 0.0
        for _ in range(8):
            health.failed(object(), now_s)
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
            health.failed(object(), 0.0)
        self._reply(health, 0.1, 0.01)
        assert not health.ejected(0.2)


class TestWarnings:
    """The word of others holds until an own reply says otherwise."""

    def test_holds_for_a_while(self):
        health = health_lib.ReplicaHealth()
        health.warn(10.0)
        assert health.warned(10.5)
        assert not health.warned(20.0)

    def test_an_own_reply_counts_for_more(self):
        health = health_lib.ReplicaHealth()
        health.warn(10.0)
        attempt = object()
        health.started(attempt, 10.1, 0.01)
        health.replied(attempt, 10.11)
        assert not health.warned(10.2)


class TestLeaveTime:
    """Answers leave shortly before the objective of the caller."""

    _ROUTE = replicas_lib.route()

    def test_before_the_objective(self):
        leave_s = gathering.leave_time(self._ROUTE, 10.0, 0.0, 10.4)
        assert 10.07 < leave_s < 10.092

    def test_earlier_for_a_caller_that_has_waited(self):
        first = gathering.leave_time(self._ROUTE, 10.0, 0.0, 10.4)
        again = gathering.leave_time(self._ROUTE, 10.0, 0.03, 10.37)
        assert abs((first - again) - 0.03) < 1e-9

    def test_whole_objective_once_it_is_missed(self):
        leave_s = gathering.leave_time(self._ROUTE, 10.0, 0.2, 10.2)
        assert leave_s > 10.05

    def test_never_after_the_end(self):
        assert gathering.leave_time(self._ROUTE, 10.0, 0.0, 10.03) == 10.03
