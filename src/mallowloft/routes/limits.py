"""Limits on extra attempts, and when an attempt is late."""

from mallowloft.kernel import quantile

# Share of the requests for a service that its replicas may get again. The
# operators' bound is 0.2 over all instances and callers' uneven shares.
EXTRA_SHARE = 0.18
# Extra attempts that one instance may save for a fault. Ten instances with
# full savings stay near the allowance of small fleets (54 in 10 s).
_MAX_SAVED = 5.0
_INITIAL = 2.0
# Hedges of attempts that are only somewhat late leave this much for those
# that get no reply at all.
_RESERVE = 1.5
# Retries of failed attempts and hedges of stalled ones may overdraw; the next
# requests pay them back before the next hedge.
_DEBT = 2.0

# Attempts slower than this quantile of their route are hedged. Pauses and
# long tails of replicas make 5 to 6% of the attempts late.
_LATE_QUANTILE = 0.9
# The estimate varies by about a tenth.
_LATE_FACTOR = 1.1
# Two attempts one after the other fit into the objective.
_LATEST_SHARE = 0.4
# Attempts at replicas that are slower than this are not usual ones.
SLOW_FACTOR = 3.0
# Until a route has been used.
_DEFAULT_SHARE = 0.25


class ExtraAttempts:
    """Allowance of one service for hedges and retries of one instance.

    Earned in proportion to the requests, so that instances that share no
    state keep a common bound together.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = _INITIAL

    @property
    def tokens(self) -> float:
        """Extra attempts that are allowed now."""
        return self._tokens

    def earn(self) -> None:
        """Counts one request of a caller."""
        self._tokens = min(_MAX_SAVED, self._tokens + EXTRA_SHARE)

    def take_hedge(self) -> bool:
        """Takes an extra attempt while a late one is still running."""
        return self._take(1.0 + _RESERVE)

    def take_retry(self) -> bool:
        """Takes an extra attempt after one that failed or is stalled."""
        return self._take(1.0 - _DEBT)

    def _take(self, needed: float) -> bool:
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True


class RouteLatency:
    """Usual and late durations of attempts on one route."""

    def __init__(self, objective_s: float) -> None:
        self._objective_s = objective_s
        self._late = quantile.Quantile(_LATE_QUANTILE)
        self._usual = quantile.Quantile(0.5)

    def record(self, duration_s: float) -> None:
        """Records an attempt at a replica that was not known to be slow."""
        self._late.record(duration_s * 1000)
        self._usual.record(duration_s * 1000)

    @property
    def usual_s(self) -> float:
        """Median of the attempts."""
        usual_ms = self._usual.read_ms()
        if usual_ms is None:
            return self._objective_s * _DEFAULT_SHARE
        return usual_ms / 1000

    @property
    def late_s(self) -> float:
        """Duration after which an attempt is hedged."""
        late_ms = self._late.read_ms()
        if late_ms is None:
            return self._objective_s * _DEFAULT_SHARE
        return min(
            late_ms / 1000 * _LATE_FACTOR, self._objective_s * _LATEST_SHARE
        )
