"""When the steps of a stop end.

Every request that an instance has read gets an answer before the process ends.
All steps of a stop share one time limit; requests that still run shortly before
it are answered then.
"""

import dataclasses

# Part of the grace period in which the last answers are written and the
# connections are closed, and its largest share of a short grace period.
_CLOSE_S = 0.3
_MAX_CLOSE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of the steps of a stop, on one clock.

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
    ) -> "StopSchedule":
        """Returns the schedule of a stop.

        Args:
            started_s: Time at which it begins.
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
