"""Streaming estimate of a quantile in constant memory."""

# Large enough to follow a change by a factor of two within some 30 late
# attempts, small enough to stay within about a tenth of a steady p95.
_STEP = 0.03
# The estimate starts from this many values; starting from the first one took
# hundreds of attempts to get down to the p95, because a value below it moves
# the estimate by 0.15% only.
_FIRST_VALUES = 20
_FLOOR_MS = 0.5


class Quantile:
    """Streaming estimate of one quantile by steps in proportion to itself.

    One float and one count per shard. A histogram of the kind that the
    metrics use costs tens of kilobytes, and an entry of the future deployment
    follows thousands of shards.
    """

    __slots__ = ("_first_ms", "_quantile", "_value_ms")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._first_ms: list[float] | None = []
        self._value_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Records one latency."""
        if self._first_ms is not None:
            self._record_first(value_ms)
        elif value_ms > self._value_ms:
            self._value_ms *= 1 + _STEP * self._quantile
        else:
            self._value_ms *= 1 - _STEP * (1 - self._quantile)

    def read_ms(self) -> float | None:
        """Returns the estimate, None after too few values."""
        if self._first_ms is not None:
            return None
        return max(_FLOOR_MS, self._value_ms)

    def _record_first(self, value_ms: float) -> None:
        self._first_ms.append(value_ms)
        if len(self._first_ms) < _FIRST_VALUES:
            return
        # The largest one often holds the cost of a new connection.
        ordered = sorted(self._first_ms)[:-1]
        self._value_ms = ordered[int(self._quantile * len(ordered))]
        self._first_ms = None
