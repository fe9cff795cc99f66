"""Budget of extra sub-requests: hedges, retries and probes."""

# Tokens for this many average queries may be saved, at least the minimum. The
# first queries that meet a straggler in every service need a hedge for half
# of their sub-requests before the entry has learnt to avoid it.
_BURST_QUERIES = 2.0
_MIN_BURST = 20.0
_SIZE_WEIGHT = 0.1
# Share of the burst that only a fault may use. Without it the p95 hedges of
# the steady state would have spent the tokens when a fault begins.
_RESERVE_SHARE = 0.75
# Retries may run into debt by this many average queries: without a retry a
# shard that another replica has would be lacking. Income repays the debt
# before the next hedge.
_DEBT_QUERIES = 4.0


class Budget:
    """Tokens earned by sub-requests and spent on extra ones."""

    def __init__(self) -> None:
        self._tokens = 0.0
        # Hedges of queries that meet no fault stay within the share of the
        # steady state while the fault of another query raises the income.
        self._ordinary = 0.0
        self._size = 0.0

    @property
    def tokens(self) -> float:
        """Tokens left, negative in debt."""
        return self._tokens

    @property
    def burst(self) -> float:
        """Tokens that are saved at most."""
        return max(_MIN_BURST, _BURST_QUERIES * self._size)

    def earn(
        self, sub_requests: int, share: float, ordinary_share: float
    ) -> None:
        """Adds the tokens of one query's first sub-requests.

        Args:
            sub_requests: How many were sent.
            share: Extra ones allowed for each.
            ordinary_share: The same in the steady state.
        """
        self._size += _SIZE_WEIGHT * (sub_requests - self._size)
        income = sub_requests * share
        self._tokens = min(self.burst, self._tokens + income)
        ordinary = sub_requests * ordinary_share
        self._ordinary = min(_MIN_BURST, self._ordinary + ordinary)

    def take_hedge(self, fault: bool) -> bool:
        """Takes a token for a hedge.

        Args:
            fault: Whether the query itself meets a fault.
        """
        if fault:
            return self._take(1.0)
        if self._ordinary < 1.0:
            return False
        if not self._take(1.0 + self.burst * _RESERVE_SHARE):
            return False
        self._ordinary -= 1.0
        return True

    def take_probe(self) -> bool:
        """Takes a token for a probe."""
        return self._take(1.0)

    def take_retry(self) -> bool:
        """Takes a token for a retry."""
        return self._take(1.0 - _DEBT_QUERIES * max(_MIN_BURST, self._size))

    def _take(self, needed: float) -> bool:
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True
