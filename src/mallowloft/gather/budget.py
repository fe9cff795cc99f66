"""Budget of extra sub-requests: hedges, retries and probes."""

# An average query's worth of tokens may be saved, at least this many.
_MIN_BURST = 10.0
_SIZE_WEIGHT = 0.1
# Share of the burst that only a known fault may use. Without it the p95
# hedges of the steady state would have spent the tokens when a fault begins.
_RESERVE_SHARE = 0.75
# Retries may run into debt by this many average queries: without a retry a
# shard that another replica has would be lacking. Income repays the debt
# before the next hedge.
_DEBT_QUERIES = 4.0


class Budget:
    """Tokens earned by sub-requests and spent on extra ones."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._size = 0.0

    @property
    def tokens(self) -> float:
        """Tokens left, negative in debt."""
        return self._tokens

    @property
    def burst(self) -> float:
        """Tokens that are saved at most."""
        return max(_MIN_BURST, self._size)

    def earn(self, sub_requests: int, share: float) -> None:
        """Adds the tokens of one query's first sub-requests."""
        self._size += _SIZE_WEIGHT * (sub_requests - self._size)
        self._tokens = min(self.burst, self._tokens + sub_requests * share)

    def take_hedge(self, fault: bool) -> bool:
        """Takes a token for a hedge or probe.

        Args:
            fault: Whether a replica of the query is at fault.
        """
        floor = 0.0 if fault else self.burst * _RESERVE_SHARE
        return self._take(floor + 1.0)

    def take_retry(self) -> bool:
        """Takes a token for a retry."""
        return self._take(1.0 - self.burst * _DEBT_QUERIES)

    def _take(self, needed: float) -> bool:
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True
