"""Delay after which an attempt is hedged."""

from collections.abc import Iterable

from mallowloft.gather import model
from mallowloft.kernel import quantile as quantile_lib

_HEDGE_QUANTILE = 0.95
# Used until a shard has enough samples.
_DEFAULT_DELAY_MS = 25.0


class HedgeDelays:
    """The p95 latency of attempts by shard, without faulty replicas."""

    def __init__(self) -> None:
        self._quantiles: dict[model.Shard, quantile_lib.QuantileEstimator] = {}

    def record(self, shards: Iterable[model.Shard], latency_ms: float) -> None:
        """Records the latency of a successful attempt for its shards."""
        for shard in shards:
            quantile = self._quantiles.get(shard)
            if quantile is None:
                quantile = self._quantiles[shard] = (
                    quantile_lib.QuantileEstimator(_HEDGE_QUANTILE)
                )
            quantile.record(latency_ms)

    def delay_ms(self, shards: Iterable[model.Shard]) -> float:
        """Returns the time after which an attempt for the shards is late."""
        longest_ms = 0.0
        for shard in shards:
            quantile = self._quantiles.get(shard)
            delay_ms = quantile.estimate_ms() if quantile else None
            if delay_ms is None:
                return _DEFAULT_DELAY_MS
            longest_ms = max(longest_ms, delay_ms)
        return longest_ms

    def retain(self, shards: Iterable[model.Shard]) -> None:
        """Drops the estimates of shards that are not given."""
        published = set(shards)
        self._quantiles = {
            shard: quantile
            for shard, quantile in self._quantiles.items()
            if shard in published
        }
