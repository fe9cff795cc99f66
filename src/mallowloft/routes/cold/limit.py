"""This instance's part of the request rate that a cold replica tolerates.

The load it answers: a replica that has started recently crashes if all
instances together send it more requests than it tolerates while it is cold.
"""

import functools
import math

from mallowloft.routes import rate_limits

# Share of the tolerated rate that is used, so that instances may differ in
# their view of the number of instances.
_USED_SHARE = 0.8
# A permit that is not used within this time lapses.
LAPSE_S = 0.25
# An attempt that waits longer for a connection is not sent. Attempts that were
# held up would otherwise be sent together with later ones.
MAX_WAIT_S = 0.1
# By how much more permits there may be than expected, because instances know a
# smaller number of instances than there are.
_VIEW_FACTOR = 1.25
# Most permits that are expected in one second, as a multiple of the rate: those
# that fall into it, and earlier ones that have not lapsed.
_EXPECTED_FACTOR = _VIEW_FACTOR * (1.0 + LAPSE_S)
# Probability with which more permits than the bound fall into one second if
# every instance uses all of its permits.
_MAX_EXCESS_PROBABILITY = 1e-5
_SEARCH_STEPS = 40


@functools.lru_cache(maxsize=64)
def used_per_s(per_s: float, overshoot: float, slack: float) -> float:
    """Returns the rate that all instances together use at most.

    Permits of instances fall at independent random times. For low rates, a
    fixed share of the tolerated rate would exceed the bound of one second too
    often.

    Args:
        per_s: Requests per second that a cold replica tolerates.
        overshoot: Factor of this rate in the bound of one second.
        slack: Requests in the bound in addition.
    """
    bound = per_s * overshoot + slack
    if not math.isfinite(bound):
        # Numbers that are not finite come from a faulty configuration.
        return 0.0
    bound = math.floor(bound)
    low, high = 0.0, _USED_SHARE * per_s
    if _keeps_bound(high, bound):
        return high
    for _ in range(_SEARCH_STEPS):
        middle = (low + high) / 2
        if _keeps_bound(middle, bound):
            low = middle
        else:
            high = middle
    return low


def _keeps_bound(per_s: float, bound: int) -> bool:
    """Whether a Poisson variable of this rate hardly ever exceeds a bound."""
    mean = _EXPECTED_FACTOR * per_s
    if mean <= 0.0:
        return True
    if bound <= mean:
        return False
    # The terms above the bound fall faster than a geometric series.
    log_term = (bound + 1) * math.log(mean) - mean - math.lgamma(bound + 2)
    excess_probability = math.exp(log_term) / (1.0 - mean / (bound + 2))
    return excess_probability <= _MAX_EXCESS_PROBABILITY


class ColdLimit:
    """Permits of this instance for requests to one replica while it is cold.

    Attributes:
        until_s: Loop time at which the replica stops being cold.
        per_s: Requests per second that the replica tolerates.
    """

    __slots__ = ("_permits", "per_s", "until_s")

    def __init__(
        self, per_s: float, permits: rate_limits.RateLimit, until_s: float
    ) -> None:
        self.per_s = per_s
        self._permits = permits
        self.until_s = until_s

    @property
    def generation(self) -> int:
        """Number of times that the rate has fallen."""
        return self._permits.generation

    def active(self, now_s: float) -> bool:
        """Whether the replica is cold."""
        return now_s < self.until_s

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent, 0 if it may now."""
        if not self.active(now_s):
            return 0.0
        return min(self._permits.wait_s(now_s), self.until_s - now_s)

    def take(self, now_s: float) -> bool:
        """Takes a permit; returns False if none is available."""
        if not self.active(now_s):
            return True
        if self._permits.wait_s(now_s):
            return False
        self._permits.take(now_s)
        return True

    def update(
        self, per_s: float, used_per_s: float, divisor: float, now_s: float
    ) -> None:
        """Changes the rates or the divisor."""
        self.per_s = per_s
        self._permits.update(used_per_s, divisor, now_s)
