"""Health of one replica as seen by one instance.

Replicas may pause for moments, be several times slower than others for seconds,
fail fast or stop replying. A replica is avoided from its first late reply on,
for longer the more often it was late, and is tried again once the slowness
estimate has decayed.
"""

from collections.abc import Callable
import dataclasses
import math

# Weights of a new sample in the moving average of the slowness. They are large
# because one replica gets only a few requests a second from one instance.
_INCREASE_WEIGHT = 0.3
_DECREASE_WEIGHT = 0.5
# Upper bound of one sample: this factor times the current slowness, plus this
# offset. It keeps the effect of one late reply after a short pause small, while
# the repeated late replies of a slow replica still raise the slowness.
_MAX_INCREASE_FACTOR = 2.0
_MAX_INCREASE_OFFSET = 1.0
# Upper bound of a sample from a reply. Samples from late attempts may be
# larger.
_MAX_REPLY_SAMPLE = 20.0
# Time constant of the exponential decay to 1 without new samples.
_DECAY_TIME_S = 2.0
# Smaller deviations from 1 are not decayed, which saves computing time.
_NEGLIGIBLE_EXCESS = 0.1
# A replica is stalled if an attempt has been in flight for longer than both
# this multiple of the median duration and the minimum.
_STALL_FACTOR = 3.0
_STALL_MIN_S = 0.015
# Replicas with a higher estimate are reported to other instances as suspects.
_SUSPECT_SLOWNESS = 2.5
# A replica stays suspected for this long after a report of other instances,
# unless this instance recently recorded a reply.
_SUSPECTED_S = 3.0
_RECENT_SAMPLE_S = 1.0
# Costs for replica selection, as multiples of the median duration.
_COLD_COST = 0.6
_SUSPECTED_COST = 3.0
_STALLED_COST = 10.0
_EJECTED_COST = 30.0
# The ejection time doubles with each consecutive failure.
_MIN_EJECTION_S = 0.2
_MAX_EJECTION_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """An attempt without an outcome.

    Attributes:
        stalls_s: Loop time from which it shows that the replica is stalled.
    """

    started_s: float
    median_s: float
    stalls_s: float


class ReplicaHealth:
    """Health of one replica, estimated from this instance's attempts.

    Attributes:
        on_sample: Is told of each attempt whether it was answered in about the
            usual time; None if nobody wants to know.
        waiting: Number of waiting requests that the replica stated last.
        foreign_load: Running and waiting requests that it stated last, without
            those of this instance.
        load_stated_s: Loop time of that statement.
    """

    __slots__ = (
        "_cold_until_s",
        "_ejected_until_s",
        "_failures",
        "_pending",
        "_replied_s",
        "_updated_s",
        "_slowness",
        "_suspected_until_s",
        "on_sample",
        "foreign_load",
        "load_stated_s",
        "waiting",
    )

    def __init__(self, cold_until_s: float = -math.inf) -> None:
        self._slowness = 1.0
        self._updated_s = 0.0
        self._replied_s = -math.inf
        self._failures = 0
        self._ejected_until_s = -math.inf
        self._cold_until_s = cold_until_s
        self._suspected_until_s = -math.inf
        self._pending: dict[object, _Pending] = {}
        self.waiting = 0
        self.on_sample: Callable[[bool], None] | None = None
        self.foreign_load = 0
        self.load_stated_s = -math.inf

    @property
    def in_flight(self) -> int:
        """Number of attempts without an outcome."""
        return len(self._pending)

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Records the load that the replica states in a reply.

        Call it before the outcome of the attempt is recorded.
        """
        self.waiting = waiting
        own = max(0, len(self._pending) - 1)
        self.foreign_load = max(0, running + waiting - own)
        self.load_stated_s = now_s

    def record_start(
        self,
        attempt: object,
        now_s: float,
        median_s: float,
        reply_delay_s: float = 0.0,
    ) -> None:
        """Records that an attempt was started.

        Args:
            attempt: Identifies the attempt.
            now_s: Current loop time.
            median_s: Median duration of such attempts.
            reply_delay_s: How much later than from the replica itself a reply
                may arrive.
        """
        stall_s = max(_STALL_MIN_S, _STALL_FACTOR * median_s) + reply_delay_s
        self._pending[attempt] = _Pending(now_s, median_s, now_s + stall_s)

    def discard(self, attempt: object) -> None:
        """Removes an attempt whose outcome says nothing about the replica."""
        self._pending.pop(attempt, None)

    def record_reply(
        self, attempt: object, now_s: float, duration_s: float | None = None
    ) -> None:
        """Updates the slowness with the duration and ends an ejection.

        Args:
            attempt: The attempt that was replied to.
            now_s: Current loop time.
            duration_s: Time from the start to the reply; by default it ends
                now.
        """
        self._failures = 0
        self._ejected_until_s = -math.inf
        self._replied_s = now_s
        pending = self._pending.pop(attempt, None)
        if pending is None:
            return
        if duration_s is None:
            duration_s = now_s - pending.started_s
        ratio = duration_s / pending.median_s
        if self.on_sample is not None:
            self.on_sample(ratio < _SUSPECT_SLOWNESS)
        self._add_sample(ratio, now_s)

    def record_late(self, attempt: object, now_s: float) -> None:
        """Raises the slowness because the reply to an attempt is overdue."""
        pending = self._pending.get(attempt)
        if pending is None:
            return
        if self.on_sample is not None:
            self.on_sample(False)
        ratio = (now_s - pending.started_s) / pending.median_s
        ratio = min(ratio, self._max_sample(now_s))
        self._slowness = max(self.slowness(now_s), ratio)
        self._updated_s = now_s

    def record_failure(self, attempt: object, now_s: float) -> None:
        """Ejects the replica, for longer after each consecutive failure."""
        self._pending.pop(attempt, None)
        if self.on_sample is not None:
            self.on_sample(False)
        eject_s = min(
            _MAX_EJECTION_S, _MIN_EJECTION_S * 2 ** min(self._failures, 10)
        )
        self._failures += 1
        self._ejected_until_s = now_s + eject_s

    def slowness(self, now_s: float) -> float:
        """Returns the moving average of durations, decayed towards 1.

        The durations are multiples of the median duration.
        """
        excess = self._slowness - 1.0
        if -_NEGLIGIBLE_EXCESS < excess < _NEGLIGIBLE_EXCESS:
            return self._slowness
        age_s = max(0.0, now_s - self._updated_s)
        return 1.0 + excess * math.exp(-age_s / _DECAY_TIME_S)

    def fault_cost(self, now_s: float) -> float:
        """Returns the cost of known faults, 0 for a healthy replica."""
        cost = 0.0
        if self._pending and self.stalled(now_s):
            cost += _STALLED_COST
        if now_s < self._ejected_until_s:
            cost += _EJECTED_COST
        return cost

    def uncertainty_cost(self, now_s: float) -> float:
        """Returns the cost of a recent start or a report of other instances."""
        cost = 0.0
        if now_s < self._cold_until_s:
            cost += _COLD_COST
        if now_s < self._suspected_until_s and self.suspected_by_others(now_s):
            cost += _SUSPECTED_COST
        return cost

    def ejected(self, now_s: float) -> bool:
        """Whether the replica is ejected because of recent failures."""
        return now_s < self._ejected_until_s

    def stalled(self, now_s: float) -> bool:
        """Whether an attempt in flight shows that the replica is stalled."""
        return any(
            now_s > pending.stalls_s for pending in self._pending.values()
        )

    def should_report_suspect(self, now_s: float) -> bool:
        """Whether to report the replica to other instances as a suspect."""
        if self._failures > 1 and self.ejected(now_s):
            return True
        return self.slowness(now_s) > _SUSPECT_SLOWNESS

    def mark_suspected(self, now_s: float) -> None:
        """Records that several instances reported the replica.

        This instance may be one of them.
        """
        self._suspected_until_s = now_s + _SUSPECTED_S

    def suspected_by_others(self, now_s: float) -> bool:
        """Whether other instances suspect the replica.

        A reply that this instance recorded recently overrides their report.
        """
        if now_s >= self._suspected_until_s:
            return False
        return now_s - self._replied_s > _RECENT_SAMPLE_S

    @property
    def cold_until_s(self) -> float:
        """Loop time until which the replica counts as cold."""
        return self._cold_until_s

    def cold(self, now_s: float) -> bool:
        """Whether the replica is still slow because it started recently."""
        return now_s < self._cold_until_s

    def set_cold(self, until_s: float) -> None:
        """Sets the loop time until which the replica counts as cold."""
        self._cold_until_s = until_s

    def _max_sample(self, now_s: float) -> float:
        return (
            _MAX_INCREASE_FACTOR * self.slowness(now_s) + _MAX_INCREASE_OFFSET
        )

    def _add_sample(self, ratio: float, now_s: float) -> None:
        previous = self.slowness(now_s)
        ratio = min(ratio, self._max_sample(now_s), _MAX_REPLY_SAMPLE)
        weight = _INCREASE_WEIGHT if ratio > previous else _DECREASE_WEIGHT
        self._slowness = previous + weight * (ratio - previous)
        self._updated_s = now_s
