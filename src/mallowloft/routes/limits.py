"""Limits on extra attempts, and when an attempt is late."""

import dataclasses

from mallowloft.kernel import quantile

# Parts of the operators' limit that an instance uses: of the share of the
# requests, and of the allowance as savings, as income in a window, and as debt.
# Their sum over all instances stays below the limit in every window.
_SHARE_PART = 0.9
_SAVED_PART = 0.45
_INCOME_PART = 0.4
_DEBT_PART = 0.1
# Hedges of attempts that are only somewhat late leave this much for those
# that get no reply at all, as far as the savings allow.
_RESERVE = 1.5
_MIN_SAVED = 1.0

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


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraLimit:
    """One instance's part of the limit on extra attempts at a service.

    Attributes:
        share: Extra attempts earned with each request.
        saved: Extra attempts that may be saved.
        income_per_s: Extra attempts earned with time.
        debt: Extra attempts that retries may overdraw.
    """

    share: float
    saved: float
    income_per_s: float
    debt: float

    @classmethod
    def part_of(
        cls, share: float, allowance: float, window_s: float, instances: int
    ) -> "ExtraLimit":
        """Divides the operators' limit among the instances.

        Args:
            share: Extra attempts over all instances by requests.
            allowance: Further ones in a window.
            window_s: Length of the window in seconds.
            instances: Number of instances.
        """
        part = allowance / max(1, instances)
        return cls(
            share=_SHARE_PART * share,
            saved=max(_MIN_SAVED, _SAVED_PART * part),
            income_per_s=_INCOME_PART * part / max(1.0, window_s),
            debt=_DEBT_PART * part,
        )


class ExtraAttempts:
    """Allowance of one service for hedges and retries of one instance.

    Replicas that pause, are slow or go dark make a few attempts late; a second
    attempt for each late one would double the load when all are.
    """

    __slots__ = ("_tokens", "_updated_s", "limit")

    def __init__(self, limit: ExtraLimit, now_s: float) -> None:
        self.limit = limit
        self._tokens = limit.saved / 2
        self._updated_s = now_s

    @property
    def tokens(self) -> float:
        """Extra attempts that are allowed now."""
        return self._tokens

    def earn(self, now_s: float) -> None:
        """Counts one request of a caller."""
        income = (now_s - self._updated_s) * self.limit.income_per_s
        self._updated_s = now_s
        self._tokens = min(
            self.limit.saved, self._tokens + income + self.limit.share
        )

    def take_hedge(self) -> bool:
        """Takes an extra attempt while a late one is still running."""
        reserve = max(0.0, min(_RESERVE, self.limit.saved - 1.5))
        return self._take(1.0 + reserve)

    def take_retry(self) -> bool:
        """Takes an extra attempt after one that failed or is stalled."""
        return self._take(1.0 - self.limit.debt)

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
