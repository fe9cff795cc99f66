"""Which requests a stopping instance accepts.

One that is not likely to end in time is refused when it arrives, so that its
caller can send it to another instance at once.
"""

import asyncio
from collections.abc import Iterator
import contextlib

from mallowloft.kernel import quantile
from mallowloft.kernel import stop_schedule
from mallowloft.routes import model

_TAIL_QUANTILE = 0.99
# A request that may run once has an unknown outcome if it is answered before
# its replica replies, so it needs this multiple of the usual longest duration.
_RUN_ONCE_FACTOR = 2.0


class DurationTail:
    """Estimates how long the longest requests of a route take.

    Requests in progress and the one that asks count with the age that half of
    them exceed: when all become slow, the first are recorded only at their end.
    """

    __slots__ = ("_running", "_tail")

    def __init__(self) -> None:
        self._tail = quantile.QuantileEstimator(_TAIL_QUANTILE)
        # Start times by request, in order.
        self._running: dict[object, float] = {}

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Records a request that runs within the context."""
        loop = asyncio.get_running_loop()
        request = object()
        self._running[request] = started_s = loop.time()
        try:
            yield
        finally:
            del self._running[request]
            self._tail.record((loop.time() - started_s) * 1000)

    def estimate_s(self, now_s: float) -> float | None:
        """Returns the estimate, None if too few requests have ended."""
        tail_ms = self._tail.estimate_ms()
        if tail_ms is None:
            return None
        started_s = [*self._running.values(), now_s]
        median_age_s = now_s - started_s[len(started_s) // 2]
        return max(tail_ms / 1000, median_age_s)


def can_finish(
    route: model.Route,
    tail_s: float | None,
    allowed_s: float,
    schedule: stop_schedule.StopSchedule,
    now_s: float,
) -> bool:
    """Whether a request is likely to end before the instance stops.

    Args:
        route: Its route.
        tail_s: How long the longest requests of the route take, None if
            unknown.
        allowed_s: Time that the caller and the route allow.
        schedule: The stop.
        now_s: Current loop time.
    """
    needed_s = route.objective_s if tail_s is None else tail_s
    if not route.idempotent:
        needed_s *= _RUN_ONCE_FACTOR
        if tail_s is None and now_s >= schedule.drained_s:
            # A refused caller that connects again reaches another instance.
            return allowed_s <= schedule.answered_s - now_s
    return min(needed_s, allowed_s) <= schedule.answered_s - now_s
