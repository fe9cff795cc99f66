"""When the steps of an instance's stop end, and what is still accepted.

Every request that an instance has read gets an answer before the process ends.
All steps of a stop share one time limit; requests that still run shortly before
it are answered then. A request that is not likely to end by then is refused
when it arrives, so that its caller can send it to another instance at once.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses

from mallowloft.kernel import quantile
from mallowloft.routes import model

# Part of the grace period in which the last answers are written and the
# connections are closed, and its largest share of a short grace period.
_CLOSE_S = 0.3
_MAX_CLOSE_SHARE = 0.25
_TAIL_QUANTILE = 0.99
# A request that may run once has an unknown outcome if it is answered before
# its replica replies, so it needs this multiple of the usual longest duration.
_RUN_ONCE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Loop times of the steps of a stop.

    Attributes:
        started_s: The beginning of the stop.
        drained_s: New connections are accepted until then.
        answered_s: Requests that still run get their final answer then.
        closed_s: All connections are closed by then.
    """

    started_s: float
    drained_s: float
    answered_s: float
    closed_s: float

    @classmethod
    def plan(
        cls, started_s: float, grace_s: float, drain_s: float
    ) -> "Schedule":
        """Returns the schedule of a stop.

        Args:
            started_s: Loop time at which it begins.
            grace_s: Time until the process must have ended.
            drain_s: Time for which new connections are accepted.
        """
        closed_s = started_s + grace_s
        answered_s = closed_s - min(_CLOSE_S, _MAX_CLOSE_SHARE * grace_s)
        return cls(
            started_s,
            min(started_s + drain_s, answered_s),
            answered_s,
            closed_s,
        )


class DurationTail:
    """Estimates how long the longest requests of a route take.

    Requests in progress count with their age, since a request that lasts
    unusually long is recorded only when it ends.
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
        oldest_s = next(iter(self._running.values()), now_s)
        return max(tail_ms / 1000, now_s - oldest_s)


def can_finish(
    route: model.Route,
    tail_s: float | None,
    allowed_s: float,
    schedule: Schedule,
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
            # Load balancers send a refused caller to another instance by now.
            return allowed_s <= schedule.answered_s - now_s
    return min(needed_s, allowed_s) <= schedule.answered_s - now_s
