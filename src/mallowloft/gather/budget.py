"""Token bucket for extra sub-requests: hedges, retries and probes."""

# Capacity of the bucket, in multiples of the mean number of sub-requests per
# query, and its minimum. When every service has a straggler, the first queries
# need a hedge for half of their sub-requests until this instance avoids the
# stragglers.
_BURST_QUERIES = 2.0
_MIN_BURST_TOKENS = 20.0
# Smoothing factor of the mean number of sub-requests per query.
_MEAN_WEIGHT = 0.1
# This fraction of the bucket is reserved for queries that meet a fault. Without
# the reserve, hedges at the p95 would use up the tokens before a fault occurs.
_FAULT_RESERVE_SHARE = 0.75
# Maximum debt of the bucket, in multiples of the mean number of sub-requests
# per query; a mean below `_MIN_BURST_TOKENS` counts as `_MIN_BURST_TOKENS`.
# Retries may overdraw the bucket, because without a retry, a shard that another
# replica holds would be lacking. So may hedges of attempts that are presumed to
# have failed. Other hedges and probes wait until refills have repaid the debt.
_MAX_DEBT_QUERIES = 4.0


class ExtraRequestBudget:
    """Token bucket that first sub-requests refill and extra ones draw from."""

    def __init__(self) -> None:
        self._tokens = 0.0
        # Limits the hedges of queries that meet no fault to the steady-state
        # share, even while faults of other queries raise the refill.
        self._baseline_tokens = 0.0
        self._mean_sub_requests = 0.0

    @property
    def tokens(self) -> float:
        """Tokens left, negative if the bucket is overdrawn."""
        return self._tokens

    @property
    def burst(self) -> float:
        """Maximum number of tokens."""
        return max(_MIN_BURST_TOKENS, _BURST_QUERIES * self._mean_sub_requests)

    def refill(
        self, sub_requests: int, share: float, baseline_share: float
    ) -> None:
        """Adds the tokens for the first sub-requests of one query.

        Args:
            sub_requests: Number of sub-requests sent.
            share: Extra sub-requests allowed per sub-request.
            baseline_share: The same in the steady state, without a fault.
        """
        self._mean_sub_requests += _MEAN_WEIGHT * (
            sub_requests - self._mean_sub_requests
        )
        refill = sub_requests * share
        self._tokens = min(self.burst, self._tokens + refill)
        baseline_refill = sub_requests * baseline_share
        self._baseline_tokens = min(
            _MIN_BURST_TOKENS, self._baseline_tokens + baseline_refill
        )

    def take_hedge(self, fault: bool) -> bool:
        """Takes a token for the hedges of one late attempt, if one is left.

        Args:
            fault: Whether the query is affected by a fault. If not, the
                baseline limit and the fault reserve apply as well.

        Returns:
            Whether a token was taken.
        """
        if fault:
            return self._take(1.0)
        if self._baseline_tokens < 1.0:
            return False
        if not self._take(1.0 + self.burst * _FAULT_RESERVE_SHARE):
            return False
        self._baseline_tokens -= 1.0
        return True

    def take_probe(self) -> bool:
        """Takes a token for a probe if one is left.

        Returns:
            Whether a token was taken.
        """
        return self._take(1.0)

    def take_retry(self) -> bool:
        """Takes a token for a retry if the debt stays within its limit.

        Returns:
            Whether a token was taken.
        """
        return self._take(
            1.0
            - _MAX_DEBT_QUERIES
            * max(_MIN_BURST_TOKENS, self._mean_sub_requests)
        )

    def _take(self, min_tokens: float) -> bool:
        if self._tokens < min_tokens:
            return False
        self._tokens -= 1.0
        return True
