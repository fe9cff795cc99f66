"""What one instance knows of the speed and faults of a replica.

Answers the load of replicas that pause for moments, are several times slower
than others for seconds, fail fast, or fall silent: a replica is left alone from
the first late reply on, longer the more often it was late, and tried again
when that knowledge has aged.
"""

import math

# Weight of a new duration. Large, because one replica gets only a few requests
# a second from one instance.
_SLOWER_WEIGHT = 0.3
_FASTER_WEIGHT = 0.5
# One late reply raises the estimate only so far above the present one: a pause
# ends at once, while a slow replica goes on being slow.
_JUMP_FACTOR = 2.0
_JUMP_EXTRA = 1.0
_MAX_SLOWNESS = 20.0
# An estimate that is not renewed approaches 1 at this rate.
_FORGET_S = 2.0
# Smaller deviations are not worth the time to age them.
_NEGLIGIBLE = 0.1
# An attempt that takes this many usual durations shows that the replica does
# not answer at the moment.
_STALL_FACTOR = 3.0
_STALL_MIN_S = 0.015
# An estimate above this makes a replica suspect to other instances.
_SUSPECT_SLOWNESS = 2.5
# How long a warning of other instances holds, and how recent an own reply must
# be to count for more.
_WARNED_S = 3.0
_OWN_REPLY_S = 1.0
# Costs in usual durations of a request, for the choice of a replica.
_COLD_COST = 0.6
_WARNED_COST = 3.0
_STALLED_COST = 10.0
_EJECTED_COST = 30.0
# Doubled for each failure in a row.
_EJECT_S = 0.2
_EJECT_MAX_S = 2.0


class ReplicaHealth:
    """Estimates of one replica from this instance's own attempts."""

    __slots__ = (
        "_cold_until_s",
        "_ejected_until_s",
        "_failures",
        "_pending",
        "_sampled_s",
        "_slowness",
        "_warned_until_s",
        "waiting",
    )

    def __init__(self, cold_until_s: float = -math.inf) -> None:
        self._slowness = 1.0
        self._sampled_s = 0.0
        self._failures = 0
        self._ejected_until_s = -math.inf
        self._cold_until_s = cold_until_s
        self._warned_until_s = -math.inf
        # Start and usual duration by attempt.
        self._pending: dict[object, tuple[float, float]] = {}
        self.waiting = 0

    @property
    def in_flight(self) -> int:
        """Attempts without a reply."""
        return len(self._pending)

    def started(self, attempt: object, now_s: float, usual_s: float) -> None:
        """Notes that an attempt was sent."""
        self._pending[attempt] = (now_s, usual_s)

    def dropped(self, attempt: object) -> None:
        """Forgets an attempt that says nothing about the replica."""
        self._pending.pop(attempt, None)

    def replied(self, attempt: object, now_s: float) -> None:
        """Takes the duration of an attempt that got its reply."""
        self._failures = 0
        self._ejected_until_s = -math.inf
        pending = self._pending.pop(attempt, None)
        if pending is None:
            return
        started_s, usual_s = pending
        self._sample((now_s - started_s) / usual_s, now_s)

    def late(self, attempt: object, now_s: float) -> None:
        """Notes that an attempt has no reply when it should have one."""
        pending = self._pending.get(attempt)
        if pending is None:
            return
        started_s, usual_s = pending
        ratio = min((now_s - started_s) / usual_s, self._ceiling(now_s))
        self._slowness = max(self.slowness(now_s), ratio)
        self._sampled_s = now_s

    def failed(self, attempt: object, now_s: float) -> None:
        """Ejects the replica for a while, longer after each failure."""
        self._pending.pop(attempt, None)
        eject_s = min(_EJECT_MAX_S, _EJECT_S * 2 ** min(self._failures, 10))
        self._failures += 1
        self._ejected_until_s = now_s + eject_s

    def slowness(self, now_s: float) -> float:
        """Returns recent durations as a multiple of the usual ones."""
        excess = self._slowness - 1.0
        if -_NEGLIGIBLE < excess < _NEGLIGIBLE:
            return self._slowness
        age_s = max(0.0, now_s - self._sampled_s)
        return 1.0 + excess * math.exp(-age_s / _FORGET_S)

    def fault_cost(self, now_s: float) -> float:
        """Returns what known faults cost, 0 for a sound replica."""
        cost = 0.0
        if self._pending and self.stalled(now_s):
            cost += _STALLED_COST
        if now_s < self._ejected_until_s:
            cost += _EJECTED_COST
        return cost

    def caution_cost(self, now_s: float) -> float:
        """Returns what a recent start or a warning of others costs."""
        cost = 0.0
        if now_s < self._cold_until_s:
            cost += _COLD_COST
        if now_s < self._warned_until_s and self.warned(now_s):
            cost += _WARNED_COST
        return cost

    def ejected(self, now_s: float) -> bool:
        """Whether the replica failed lately."""
        return now_s < self._ejected_until_s

    def stalled(self, now_s: float) -> bool:
        """Whether attempts in flight show that it does not answer."""
        for started_s, usual_s in self._pending.values():
            limit_s = max(_STALL_MIN_S, _STALL_FACTOR * usual_s)
            if now_s - started_s > limit_s:
                return True
        return False

    def suspect(self, now_s: float) -> bool:
        """Whether other instances should know how it fares."""
        if self._failures > 1 and self.ejected(now_s):
            return True
        return self.slowness(now_s) > _SUSPECT_SLOWNESS

    def warn(self, now_s: float) -> None:
        """Takes the warning of several other instances that it fares badly."""
        self._warned_until_s = now_s + _WARNED_S

    def warned(self, now_s: float) -> bool:
        """Whether others found it slow and no reply here says otherwise."""
        if now_s >= self._warned_until_s:
            return False
        return now_s - self._sampled_s > _OWN_REPLY_S

    def cold(self, now_s: float) -> bool:
        """Whether the replica started a moment ago."""
        return now_s < self._cold_until_s

    def set_cold(self, until_s: float) -> None:
        """Takes over how long the replica says to be slow."""
        self._cold_until_s = until_s

    def _ceiling(self, now_s: float) -> float:
        return _JUMP_FACTOR * self.slowness(now_s) + _JUMP_EXTRA

    def _sample(self, ratio: float, now_s: float) -> None:
        known = self.slowness(now_s)
        ratio = min(ratio, self._ceiling(now_s), _MAX_SLOWNESS)
        weight = _SLOWER_WEIGHT if ratio > known else _FASTER_WEIGHT
        self._slowness = known + weight * (ratio - known)
        self._sampled_s = now_s
