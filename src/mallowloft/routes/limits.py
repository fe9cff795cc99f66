"""Limits on extra attempts, and the delay before a hedge."""

import dataclasses
import math

from mallowloft.kernel import quantile

# Parts of the operators' limit that the instances use. All instances together
# stay below the limit in every window, except in fleets so large that
# _MIN_BURST_TOKENS applies (above about 22 instances at an allowance of 50).

# Part of the allowed share of extra attempts per request.
_REQUEST_PART = 0.9
# Part of the allowance that can be saved up for a burst.
_BURST_PART = 0.45
# Part of the allowance that is refilled within one window.
_REFILL_PART = 0.4
# Part of the allowance by which retries may overdraw the bucket.
_DEBT_PART = 0.1
# Tokens that hedges of late attempts leave for stalled ones, as far as the
# capacity of the bucket allows.
_STALL_RESERVE_TOKENS = 1.5
# Even in a large fleet an instance can send one extra attempt.
_MIN_BURST_TOKENS = 1.0

# Attempts slower than this quantile of their route are hedged. Pauses and long
# tails of replicas make 5 to 6% of the attempts late.
_HEDGE_QUANTILE = 0.9
# Margin on the estimate of the quantile, which varies by about a tenth.
_HEDGE_DELAY_FACTOR = 1.1
# Maximum hedge delay as a share of the objective, so that two attempts in
# sequence fit into it.
_MAX_HEDGE_DELAY_SHARE = 0.4
# Replicas with a higher slowness are left out of the route's latency.
MAX_SAMPLED_SLOWNESS = 3.0
# Time constant and least number of values of the mean duration without a
# queue.
_SERVICE_TIME_S = 60.0
_MIN_SERVICE_COUNT = 20
_MIN_SERVICE_S = 0.0005
# Weight of a new value in the mean size of requests and replies.
_BYTES_WEIGHT = 0.05
# Share of the objective that is used until a route has samples.
_DEFAULT_DELAY_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraAttemptLimit:
    """Token bucket parameters of one instance for one service.

    One token pays for one extra attempt.

    Attributes:
        tokens_per_request: Tokens added with each request.
        max_tokens: Capacity of the bucket.
        tokens_per_s: Tokens added per second.
        max_debt: Tokens by which retries may overdraw the bucket.
    """

    tokens_per_request: float
    max_tokens: float
    tokens_per_s: float
    max_debt: float

    @classmethod
    def for_instance(
        cls, share: float, allowance: float, window_s: float, divisor: float
    ) -> "ExtraAttemptLimit":
        """Returns the part of the operators' limit for one instance.

        Args:
            share: Extra attempts of all instances per request.
            allowance: Further extra attempts of all instances per window.
            window_s: Length of the window in seconds.
            divisor: Number by which the allowance is divided: the number of
                instances, or the result of `Hubs.shard_limit_divisor` for
                shards.
        """
        instance_allowance = allowance / max(1, divisor)
        return cls(
            tokens_per_request=_REQUEST_PART * share,
            max_tokens=max(_MIN_BURST_TOKENS, _BURST_PART * instance_allowance),
            tokens_per_s=_REFILL_PART * instance_allowance / max(1.0, window_s),
            max_debt=_DEBT_PART * instance_allowance,
        )


class ExtraAttemptBucket:
    """Token bucket for the hedges and retries of one instance at one service.

    Replicas that pause, are slow or stop replying make a few attempts late.
    Without a limit, a second attempt for each late one would double the load
    when all attempts are late.
    """

    __slots__ = ("_tokens", "_updated_s", "limit")

    def __init__(self, limit: ExtraAttemptLimit, now_s: float) -> None:
        self.limit = limit
        self._tokens = limit.max_tokens / 2
        self._updated_s = now_s

    @property
    def tokens(self) -> float:
        """Tokens in the bucket; negative after an overdraft."""
        return self._tokens

    def refill(self, now_s: float) -> None:
        """Adds tokens for a request and for the time since the last request."""
        refill = (now_s - self._updated_s) * self.limit.tokens_per_s
        self._updated_s = now_s
        self._tokens = min(
            self.limit.max_tokens,
            self._tokens + refill + self.limit.tokens_per_request,
        )

    def take_hedge(self) -> bool:
        """Takes a token for a hedge of a late attempt.

        Returns:
            Whether a token was available beyond the reserve.
        """
        reserve = max(
            0.0, min(_STALL_RESERVE_TOKENS, self.limit.max_tokens - 1.5)
        )
        return self._withdraw(1.0 + reserve)

    def take_retry(self) -> bool:
        """Takes a token for a retry, or for a hedge of a stalled attempt.

        Returns:
            Whether a token was available; retries may overdraw the bucket.
        """
        return self._withdraw(1.0 - self.limit.max_debt)

    def _withdraw(self, min_tokens: float) -> bool:
        if self._tokens < min_tokens:
            return False
        self._tokens -= 1.0
        return True


class RouteLatency:
    """Latency statistics of the attempts on one route.

    Attributes:
        exchange_bytes: Mean size of a request and its reply; 0 if unknown.
    """

    def __init__(self, objective_s: float) -> None:
        self._objective_s = objective_s
        self._hedge_quantile = quantile.QuantileEstimator(_HEDGE_QUANTILE)
        self._median = quantile.QuantileEstimator(0.5)
        self.exchange_bytes = 0.0
        self._service_mean_s = 0.0
        self._service_weight = 0.0
        self._service_count = 0
        self._service_updated_s = -math.inf

    def record_service(self, duration_s: float, now_s: float) -> None:
        """Records how long an attempt took without a queue at the replica."""
        age_s = now_s - self._service_updated_s
        self._service_updated_s = now_s
        self._service_weight *= math.exp(-max(0.0, age_s) / _SERVICE_TIME_S)
        self._service_weight += 1.0
        self._service_mean_s += (
            duration_s - self._service_mean_s
        ) / self._service_weight
        self._service_count += 1

    def record_bytes(self, size: int) -> None:
        """Records the size of a request and its reply."""
        if not self.exchange_bytes:
            self.exchange_bytes = float(size)
        self.exchange_bytes += _BYTES_WEIGHT * (size - self.exchange_bytes)

    @property
    def service_s(self) -> float | None:
        """Mean duration of an attempt without a queue, None if unknown.

        Its time constant is far longer than that of an overload, so that the
        two can be told apart.
        """
        if self._service_count < _MIN_SERVICE_COUNT:
            return None
        return max(_MIN_SERVICE_S, self._service_mean_s)

    def record(self, duration_s: float) -> None:
        """Records the duration of an attempt.

        For replicas, the caller leaves out those with a slowness of
        `MAX_SAMPLED_SLOWNESS` or more.
        """
        self._hedge_quantile.record(duration_s * 1000)
        self._median.record(duration_s * 1000)

    @property
    def median_s(self) -> float:
        """Median duration of an attempt."""
        median_ms = self._median.estimate_ms()
        if median_ms is None:
            return self._objective_s * _DEFAULT_DELAY_SHARE
        return median_ms / 1000

    @property
    def hedge_delay_s(self) -> float:
        """Duration after which an attempt is late and is hedged."""
        hedge_quantile_ms = self._hedge_quantile.estimate_ms()
        if hedge_quantile_ms is None:
            return self._objective_s * _DEFAULT_DELAY_SHARE
        return min(
            hedge_quantile_ms / 1000 * _HEDGE_DELAY_FACTOR,
            self._objective_s * _MAX_HEDGE_DELAY_SHARE,
        )
