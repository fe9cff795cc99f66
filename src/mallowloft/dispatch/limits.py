"""Limits on calls in flight and estimates of slot use; no I/O."""

import math

_DECREASE = 0.5
_INCREASE = 0.25
# Slot use is averaged over this time; a queue estimate has to follow a burst
# of a higher class within a few hundred milliseconds.
_USE_WINDOW_S = 0.5
_LOWEST_SHARE = 0.02


class AimdLimit:
    """Calls in flight: halved when the replica sheds, then recovering."""

    def __init__(self, maximum: float) -> None:
        self.maximum = maximum
        self._value = float(maximum)
        self._decreased_s = -math.inf

    @property
    def value(self) -> float:
        """The limit, at least 1."""
        return self._value

    def on_success(self, took_s: float, now_s: float) -> None:
        """Raises the limit a little."""
        del took_s, now_s
        raised = self._value + _INCREASE / self._value
        self._value = min(self.maximum, raised)

    def on_shed(self, now_s: float, round_trip_s: float) -> bool:
        """Halves the limit, at most once in a round trip.

        Calls sent before the decrease may still be shed after it; they say
        nothing about the new limit.
        """
        if now_s - self._decreased_s < round_trip_s:
            return False
        self._decreased_s = now_s
        self._value = max(1.0, self._value * _DECREASE)
        return True


class TokenBudget:
    """Extra work in proportion to the regular work."""

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Notes one unit of regular work."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Takes a token, False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SlotUse:
    """Service time of one replica and the share of its slots by class."""

    def __init__(self, slots: int) -> None:
        self.service_s = 0.001
        self._slots = slots
        self._measured = False
        self._use_by_rank: dict[int, float] = {}
        self._updated_s = 0.0

    def record(self, rank: int, service_s: float, now_s: float) -> None:
        """Notes that a call of a class has held a slot."""
        if not self._measured:
            self.service_s = service_s
            self._measured = True
        self.service_s += (service_s - self.service_s) / 16
        self._decay(now_s)
        use = service_s / (self._slots * _USE_WINDOW_S)
        self._use_by_rank[rank] = self._use_by_rank.get(rank, 0.0) + use

    def share_left(self, rank: int, now_s: float) -> float:
        """Returns the share of the slots that higher classes leave."""
        self._decay(now_s)
        used = sum(
            use for other, use in self._use_by_rank.items() if other < rank
        )
        return max(_LOWEST_SHARE, 1.0 - used)

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._updated_s - now_s) / _USE_WINDOW_S)
        self._updated_s = now_s
        for rank in self._use_by_rank:
            self._use_by_rank[rank] *= factor
