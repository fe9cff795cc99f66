"""What a replica has asked of this instance in its replies.

A replica that is about to end says so, and gets no further attempts while
another replica can serve them. A replica that refuses requests may ask for a
pause, in which it gets none at all. A replica in need states how many requests
it accepts from all instances (`rate_limits`).

The load that the pauses answer: a replica with a long queue refuses requests of
many instances at about the same time. If all of them came back at the end of
the pause, its queue would be full again at once. So each instance adds a random
time to its pause, and then sends one request and awaits its reply before it
sends others.
"""

import math
import random
import re

from mallowloft.routes import rate_limits
from mallowloft.routes.cold import limit as cold_limit

# An instance comes back up to this share of the pause later, at most the longer
# time below. Objectives of requests are tenths of seconds.
_MAX_RETURN_DELAY_SHARE = 0.25
_MAX_RETURN_DELAY_S = 0.5
# Bound of a value with very many digits, also in messages between instances.
# As a pause it is 30 years.
_MAX_VALUE = 1e9
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]+)?|\.[0-9]+")


def parse_decimal(value: bytes) -> float | None:
    """Returns the value of a pause or a rate limit, None if it is malformed.

    Dates in Retry-After are malformed, too: clocks of instances and replicas
    may differ.
    """
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    return min(float(value), _MAX_VALUE)


class ReplicaSignals:
    """What one start of a replica has asked for.

    The caller passes the current loop time in seconds.

    Attributes:
        limit: Rate of the requests that it accepts; None if it states none.
        limit_ended_s: Loop time at which it last stated no limit any more.
        cold: Rate of the requests that it tolerates while it is cold; None if
            it was not cold or its service has no such rate.
    """

    __slots__ = (
        "_is_returning",
        "_leaving_since_s",
        "_paused_until_s",
        "cold",
        "limit",
        "limit_ended_s",
    )

    def __init__(self) -> None:
        self._leaving_since_s = math.inf
        self._paused_until_s = -math.inf
        # Whether the replica has replied nothing useful since its pause.
        self._is_returning = False
        self.limit: rate_limits.RateLimit | None = None
        self.limit_ended_s = -math.inf
        self.cold: cold_limit.ColdLimit | None = None

    @property
    def leaving(self) -> bool:
        """Whether the replica has said that it is about to end."""
        return self._leaving_since_s < math.inf

    @property
    def returning(self) -> bool:
        """Whether the replica has replied nothing useful since its pause."""
        return self._is_returning

    def record_leaving(self, now_s: float) -> bool:
        """Records that a reply says that the replica is about to end.

        Returns:
            Whether it is the first such reply.
        """
        is_first = not self.leaving
        self._leaving_since_s = min(self._leaving_since_s, now_s)
        return is_first

    def left_for_s(self, now_s: float) -> float:
        """Returns the time since the first such reply; negative if none."""
        return now_s - self._leaving_since_s

    def record_pause(
        self, pause_s: float, now_s: float, rng: random.Random
    ) -> None:
        """Records that the replica wants no request for a time.

        A shorter pause does not end a longer one.
        """
        max_delay_s = min(
            _MAX_RETURN_DELAY_SHARE * pause_s, _MAX_RETURN_DELAY_S
        )
        until_s = now_s + pause_s + rng.uniform(0.0, max_delay_s)
        self._paused_until_s = max(self._paused_until_s, until_s)
        self._is_returning = True

    def record_reply(self) -> None:
        """Records that the replica has run a request."""
        self._is_returning = False

    def pause_left_s(self, now_s: float) -> float:
        """Returns for how long the replica wants no requests; 0 if it does."""
        return max(0.0, self._paused_until_s - now_s)

    def wait_s(self, now_s: float) -> float:
        """Returns the time until the replica accepts a request; 0 if it does.

        A request is accepted after a pause and within the rate limit.
        """
        limit_s = self.limit.wait_s(now_s) if self.limit else 0.0
        cold_s = self.cold.wait_s(now_s) if self.cold else 0.0
        return max(limit_s, cold_s, self.pause_left_s(now_s))

    def limited_while_cold(self, now_s: float) -> bool:
        """Whether the replica is cold and tolerates only a rate."""
        return self.cold is not None and self.cold.active(now_s)

    def lacks_cold_permit(self, now_s: float) -> bool:
        """Whether the replica gets no request now because it is cold."""
        return self.cold is not None and self.cold.wait_s(now_s) > 0

    def restricted(self, now_s: float) -> bool:
        """Whether the replica has asked for fewer requests."""
        return (
            self.limit is not None
            or now_s < self._paused_until_s
            or self.limited_while_cold(now_s)
        )

    def admits(self, now_s: float, in_flight: int) -> bool:
        """Whether a request may be sent, whether or not the replica leaves.

        Args:
            now_s: Current loop time.
            in_flight: Requests that the replica has not replied to.
        """
        if self.wait_s(now_s):
            return False
        return not self._is_returning or in_flight == 0
