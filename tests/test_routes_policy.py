"""Merging, allowances, health and leave times of routed requests."""

import random

import pytest

from mallowloft.routes import gathering
from mallowloft.routes import health as health_lib
from mallowloft.routes import limits
from mallowloft.routes import merge
from mallowloft.routes import model


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
    """Extra attempts stay within the share of the requests."""

    # The users' bound on one service over all instances.
    _RATIO, _SLACK = 0.2, 54

    @pytest.mark.parametrize("instances", [3, 7, 10])
    def test_all_instances_together_keep_the_bound(self, instances):
        fleet = [limits.ExtraAttempts() for _ in range(instances)]
        for allowance in fleet:
            # Long quiet before: everything that can be saved is saved.
            for _ in range(100):
                allowance.earn()
        rng = random.Random(2)
        requests, extra = 450, 0
        for _ in range(requests):
            allowance = rng.choice(fleet)
            allowance.earn()
            while allowance.take_hedge() or allowance.take_retry():
                extra += 1
        assert extra <= self._RATIO * requests + self._SLACK

    def test_retries_may_overdraw_and_hedges_pay_back(self):
        allowance = limits.ExtraAttempts()
        while allowance.take_hedge():
            pass
        assert allowance.take_retry()
        assert not allowance.take_hedge()
        for _ in range(30):
            allowance.earn()
        assert allowance.take_hedge()


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


class TestLeaveTime:
    """Answers leave shortly before the objective of the caller."""

    _ROUTE = model.Route(
        name="r",
        host="h",
        prefix="/",
        idempotent=True,
        timeout_s=0.4,
        objective_s=0.092,
        max_attempts=2,
    )

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
