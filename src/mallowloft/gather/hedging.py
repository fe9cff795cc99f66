"""When an attempt is late enough for a hedge."""

from collections.abc import Iterable

from mallowloft.gather import model

_QUANTILE = 0.95
# Large enough to follow a change by a factor of two within some 30 late
# attempts, small enough to stay within about a tenth of a steady p95.
_STEP = 0.03
# The estimate starts from this many values; starting from the first one took
# hundreds of attempts to get down to the p95, because a value below it moves
# the estimate by 0.15% only.
_FIRST_VALUES = 20
# Used until a shard has been asked often enough.
_DEFAULT_DELAY_MS = 25.0
_FLOOR_MS = 0.5


class Quantile:
    """Streaming estimate of one quantile by steps in proportion to itself.

    One float and one count per shard. A histogram of the kind that the
    metrics use costs tens of kilobytes, and an entry of the future deployment
    follows thousands of shards.
    """

    __slots__ = ("_first_ms", "_value_ms")

    def __init__(self) -> None:
        self._first_ms: list[float] | None = []
        self._value_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Records one latency."""
        if self._first_ms is not None:
            self._record_first(value_ms)
        elif value_ms > self._value_ms:
            self._value_ms *= 1 + _STEP * _QUANTILE
        else:
            self._value_ms *= 1 - _STEP * (1 - _QUANTILE)

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
        self._value_ms = sorted(self._first_ms)[-2]
        self._first_ms = None


class HedgeDelays:
    """The p95 of attempts by shard, without those of replicas at fault."""

    def __init__(self) -> None:
        self._quantiles: dict[model.Shard, Quantile] = {}

    def record(self, shards: Iterable[model.Shard], latency_ms: float) -> None:
        """Records the latency of an attempt for its shards."""
        for shard in shards:
            quantile = self._quantiles.get(shard)
            if quantile is None:
                quantile = self._quantiles[shard] = Quantile()
            quantile.record(latency_ms)

    def delay_ms(self, shards: Iterable[model.Shard]) -> float:
        """Returns after how long an attempt for shards is late."""
        longest_ms = 0.0
        for shard in shards:
            quantile = self._quantiles.get(shard)
            delay_ms = quantile.read_ms() if quantile else None
            if delay_ms is None:
                return _DEFAULT_DELAY_MS
            longest_ms = max(longest_ms, delay_ms)
        return longest_ms

    def forget_unused(self, shards: Iterable[model.Shard]) -> None:
        """Keeps only the estimates of shards that are still published."""
        published = set(shards)
        self._quantiles = {
            shard: quantile
            for shard, quantile in self._quantiles.items()
            if shard in published
        }
