"""The number of instances by which the limits of cold replicas are divided."""

import math

from mallowloft.routes import message_types

# Assumed until the number is known, and shortly after that. Instances that are
# started together hear of each other only with their next reports.
ASSUMED_INSTANCES = 200
_SETTLE_S = 5.0
# Counts are kept for this long. Parts of a fleet that are cut off from each
# other count only themselves, but may reach the same replicas.
_RETENTION_S = 1_800.0
# Larger counts are not plausible. They would keep replicas from being used.
_MAX_COUNT = 20_000

Statement = tuple[message_types.Count, message_types.Seconds]


class LargestCount:
    """The largest number of instances that was recently known to the fleet."""

    def __init__(self) -> None:
        # Loop time at which a seed counted, and the count. Older counts that
        # are not larger are dropped.
        self._counts: list[tuple[float, int]] = []
        self._first_s = math.inf

    def record(self, count: int, age_s: float, now_s: float) -> None:
        """Records a count.

        Args:
            count: Number of instances, 0 if unknown.
            age_s: How long ago a seed counted them.
            now_s: Current loop time.
        """
        if not 0 < count <= _MAX_COUNT or age_s >= _RETENTION_S:
            return
        self._first_s = min(self._first_s, now_s)
        counted_s = now_s - age_s
        if any(
            known_s >= counted_s and known >= count
            for known_s, known in self._counts
        ):
            return
        self._counts = [
            (known_s, known)
            for known_s, known in self._counts
            if now_s - known_s < _RETENTION_S
            and (known > count or known_s > counted_s)
        ]
        self._counts.append((counted_s, count))

    def divisor(self, now_s: float) -> int:
        """Returns the number of instances to assume for cold replicas."""
        count, _ = self.statement(now_s)
        if now_s - self._first_s < _SETTLE_S or not count:
            return max(count, ASSUMED_INSTANCES)
        return count

    def statement(self, now_s: float) -> Statement:
        """Returns the largest count and its age, zeros if there is none."""
        recent = [
            (known, known_s)
            for known_s, known in self._counts
            if now_s - known_s < _RETENTION_S
        ]
        if not recent:
            return (0, 0.0)
        count, counted_s = max(recent)
        return (count, max(0.0, now_s - counted_s))
