"""Recent load of the replicas of one service group in one failure domain."""

import math

# Time constant of the exponential decay of observations. Shares move every
# 0.5 s, so most of what a step compares was observed since the one before.
_DECAY_TIME_S = 0.7
# Weight of the assumption that a replica needs its usual time. Without it, one
# slow reply at a service with few requests would look like overload.
_PRIOR_WEIGHT = 4.0
# Upper bound of one sample, so that a single hung replica does not make its
# domain look slow. A rejected attempt counts as such a sample.
_MAX_RATIO = 4.0


class DomainEstimate:
    """Time-decayed means of what attempts at a group's replicas showed.

    Durations are multiples of the time that an attempt of the same route takes
    without a queue, so that routes with different work can be averaged.
    """

    __slots__ = (
        "_queue",
        "_ratio",
        "_rejected",
        "_updated_s",
        "_waiting",
        "_weight",
    )

    def __init__(self) -> None:
        self._weight = 0.0
        self._ratio = 0.0
        self._queue = 0.0
        self._waiting = 0.0
        self._rejected = 0.0
        self._updated_s = -math.inf

    def record(
        self,
        ratio: float,
        waiting_per_slot: float,
        queue_per_slot: float,
        now_s: float,
    ) -> None:
        """Records a reply.

        Args:
            ratio: Duration as a multiple of the usual duration.
            waiting_per_slot: Number of waiting requests that the replica
                states, per slot.
            queue_per_slot: Requests in flight from this instance and stated as
                waiting in excess of the slots, per slot.
            now_s: Current loop time.
        """
        self._decay(now_s)
        self._weight += 1.0
        self._ratio += min(_MAX_RATIO, ratio)
        self._waiting += waiting_per_slot
        self._queue += queue_per_slot

    def record_rejection(self, now_s: float) -> None:
        """Records an attempt that a full replica rejected."""
        self._decay(now_s)
        self._weight += 1.0
        self._ratio += _MAX_RATIO
        self._rejected += 1.0

    def weight(self, now_s: float) -> float:
        """Returns the number of observations, decayed."""
        return self._weight * self._factor(now_s)

    def age_s(self, now_s: float) -> float:
        """Returns the age of the newest observation, infinite without one."""
        return now_s - self._updated_s

    def expected_ratio(self, now_s: float) -> float:
        """Returns the expected duration as a multiple of the usual one.

        It is the larger of what was measured and of what the queues mean.
        Without recent observations it approaches 1.
        """
        factor = self._factor(now_s)
        weight = self._weight * factor + _PRIOR_WEIGHT
        measured = (self._ratio * factor + _PRIOR_WEIGHT) / weight
        return max(measured, 1.0 + self._queue * factor / weight)

    def waiting_per_slot(self, now_s: float) -> float:
        """Returns the stated number of waiting requests per slot."""
        return self._mean(self._waiting, now_s)

    def rejected_share(self, now_s: float) -> float:
        """Returns the share of the attempts that were rejected."""
        return self._mean(self._rejected, now_s)

    def _mean(self, total: float, now_s: float) -> float:
        factor = self._factor(now_s)
        return total * factor / (self._weight * factor + 1.0)

    def _factor(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._updated_s)
        return math.exp(-age_s / _DECAY_TIME_S)

    def _decay(self, now_s: float) -> None:
        factor = self._factor(now_s)
        self._updated_s = max(self._updated_s, now_s)
        self._weight *= factor
        self._ratio *= factor
        self._queue *= factor
        self._waiting *= factor
        self._rejected *= factor


class RankCounts:
    """Time-decayed numbers of first attempts of one service group by rank."""

    __slots__ = ("_count_by_rank", "_updated_s")

    def __init__(self) -> None:
        self._count_by_rank: dict[int, float] = {}
        self._updated_s = -math.inf

    def add(self, rank: int, now_s: float) -> None:
        """Counts a first attempt."""
        if now_s > self._updated_s:
            factor = math.exp((self._updated_s - now_s) / _DECAY_TIME_S)
            for other in self._count_by_rank:
                self._count_by_rank[other] *= factor
            self._updated_s = now_s
        self._count_by_rank[rank] = self._count_by_rank.get(rank, 0.0) + 1.0

    def count(self, rank: int, now_s: float) -> float:
        """Returns the number of a rank."""
        return self._count_by_rank.get(rank, 0.0) * self._factor(now_s)

    def total(self, now_s: float) -> float:
        """Returns the number of all ranks."""
        return sum(self._count_by_rank.values()) * self._factor(now_s)

    def more_urgent(self, rank: int, now_s: float) -> float:
        """Returns the number of the ranks that are more urgent than one."""
        total = sum(
            count
            for other, count in self._count_by_rank.items()
            if other < rank
        )
        return total * self._factor(now_s)

    def _factor(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._updated_s)
        return math.exp(-age_s / _DECAY_TIME_S)
