"""Limits on calls in flight and estimates of slot utilization; no I/O."""

import math

_DECREASE_FACTOR = 0.5
_INCREASE_STEP = 0.25
# Time constant of the moving average of slot utilization. Estimates of the
# queue delay must react to a burst of a higher class within a few hundred
# milliseconds.
_UTILIZATION_TIME_CONSTANT_S = 0.5
# Keeps the wait estimate finite when higher classes use all slots.
_MIN_FREE_SHARE = 0.02


class AimdLimit:
    """Limit of calls in flight that is halved when the replica sheds a call.

    Each success raises it by a small step.
    """

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self._value = float(maximum)
        self._decreased_s = -math.inf

    @property
    def value(self) -> float:
        """The current limit, at least 1."""
        return self._value

    def on_success(self, duration_s: float, now_s: float) -> None:
        """Raises the limit by `_INCREASE_STEP` divided by the limit.

        The limit does not exceed the maximum.
        """
        del duration_s, now_s
        raised = self._value + _INCREASE_STEP / self._value
        self._value = min(self.maximum, raised)

    def on_shed(self, now_s: float, min_interval_s: float) -> bool:
        """Halves the limit, at most once per `min_interval_s`.

        Calls sent before the decrease may still be shed after it, but do not
        show that the new limit is too high.

        Returns:
            Whether the limit was halved.
        """
        if now_s - self._decreased_s < min_interval_s:
            return False
        self._decreased_s = now_s
        self._value = max(1.0, self._value * _DECREASE_FACTOR)
        return True


class TokenBudget:
    """Token bucket that limits extra work to a share of regular work."""

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def refill(self) -> None:
        """Adds tokens for one unit of regular work."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Removes one token; returns False if less than one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SlotUtilization:
    """Mean service time and slot utilization of a replica.

    The utilization is estimated by priority class.
    """

    def __init__(self, slots: int) -> None:
        self.mean_service_s = 0.001
        self._slots = slots
        self._has_sample = False
        self._utilization_by_rank: dict[int, float] = {}
        self._updated_s = 0.0

    def record(self, rank: int, service_s: float, now_s: float) -> None:
        """Records that a call of a class has used a slot."""
        if not self._has_sample:
            self.mean_service_s = service_s
            self._has_sample = True
        self.mean_service_s += (service_s - self.mean_service_s) / 16
        self._decay(now_s)
        utilization = service_s / (self._slots * _UTILIZATION_TIME_CONSTANT_S)
        self._utilization_by_rank[rank] = (
            self._utilization_by_rank.get(rank, 0.0) + utilization
        )

    def free_share(self, rank: int, now_s: float) -> float:
        """Returns the share of slots that higher classes do not use."""
        self._decay(now_s)
        used = sum(
            utilization
            for other, utilization in self._utilization_by_rank.items()
            if other < rank
        )
        return max(_MIN_FREE_SHARE, 1.0 - used)

    def _decay(self, now_s: float) -> None:
        factor = math.exp(
            (self._updated_s - now_s) / _UTILIZATION_TIME_CONSTANT_S
        )
        self._updated_s = now_s
        for rank in self._utilization_by_rank:
            self._utilization_by_rank[rank] *= factor
