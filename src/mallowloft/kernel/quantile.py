"""Estimate of a quantile of a stream of values, in constant memory."""

# A value above the estimate raises it by this share times the quantile; any
# other value lowers it by this share times (1 - quantile). The estimate follows
# a change by a factor of two within about 30 values above the estimate, and
# stays within about 10% of a steady 0.95 quantile.
_RELATIVE_STEP = 0.03
# Number of values from which the initial estimate is computed. If the first
# value were the initial estimate, it could take hundreds of values to fall to
# the 0.95 quantile, because each value below the estimate lowers it by only
# 0.15%.
_INITIAL_VALUES = 20
_MIN_ESTIMATE_MS = 0.5


class QuantileEstimator:
    """Estimates one quantile of a stream of values.

    After the initial values, each value changes the estimate by a few percent
    at most, and the object holds only two floats. A histogram like those of the
    metrics takes tens of kilobytes, and an instance may track thousands of
    shards.
    """

    __slots__ = ("_initial_ms", "_quantile", "_value_ms")

    def __init__(
        self, quantile: float, assumed_ms: float | None = None
    ) -> None:
        """Creates an estimator.

        Args:
            quantile: The quantile, between 0 and 1.
            assumed_ms: Estimate before the first value. If it is not given,
                there is no estimate until enough values were recorded.
        """
        self._quantile = quantile
        self._initial_ms: list[float] | None = (
            [] if assumed_ms is None else None
        )
        self._value_ms = assumed_ms or 0.0

    def record(self, value_ms: float) -> None:
        """Records one latency."""
        if self._initial_ms is not None:
            self._record_initial(value_ms)
        elif value_ms > self._value_ms:
            self._value_ms *= 1 + _RELATIVE_STEP * self._quantile
        else:
            self._value_ms *= 1 - _RELATIVE_STEP * (1 - self._quantile)

    def estimate_ms(self) -> float | None:
        """Returns the estimate, or None if too few values were recorded."""
        if self._initial_ms is not None:
            return None
        return max(_MIN_ESTIMATE_MS, self._value_ms)

    def _record_initial(self, value_ms: float) -> None:
        self._initial_ms.append(value_ms)
        if len(self._initial_ms) < _INITIAL_VALUES:
            return
        # The largest value often includes the setup of a new connection, so it
        # is left out.
        ordered = sorted(self._initial_ms)[:-1]
        self._value_ms = ordered[int(self._quantile * len(ordered))]
        self._initial_ms = None
