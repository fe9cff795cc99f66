"""When an attempt is late enough for a hedge."""

from collections.abc import Iterable

from mallowloft.gather import model

_QUANTILE = 0.95
# The first values move the estimate by large steps, later ones by 3%: small
# enough to stay within about a tenth of a steady p95, large enough to follow
# a change by a factor of two within some 30 attempts.
_FIRST_STEP = 0.5
_STEP = 0.03
_MIN_SAMPLES = 10
# Used until a shard has been asked often enough.
_DEFAULT_DELAY_MS = 25.0
_FLOOR_MS = 0.5


class Quantile:
    """Streaming estimate of one quantile by steps in proportion to itself.

    One float and one count per shard. A histogram of the kind that the
    metrics use costs tens of kilobytes, and an entry of the future deployment
    follows thousands of shards.
    """

    __slots__ = ("_count", "_value_ms")

    def __init__(self) -> None:
        self._count = 0
        self._value_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Records one latency."""
        self._count += 1
        if self._count == 1:
            self._value_ms = 2 * value_ms
            return
        step = max(_STEP, _FIRST_STEP / self._count)
        if value_ms > self._value_ms:
            self._value_ms *= 1 + step * _QUANTILE
        else:
            self._value_ms *= 1 - step * (1 - _QUANTILE)

    def read_ms(self) -> float | None:
        """Returns the estimate, None after too few values."""
        if self._count < _MIN_SAMPLES:
            return None
        return max(_FLOOR_MS, self._value_ms)


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
