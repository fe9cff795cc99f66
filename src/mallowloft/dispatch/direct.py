"""Baseline without dispatchers: every instance calls replicas itself.

Kept runnable with `--dispatch=direct` to measure what one dispatcher per
replica is worth. Each instance has its own priority queue for each replica
and adapts its calls in flight to the latency it sees.
"""

from collections.abc import Iterable
import math

from mallowloft.configuration import model
from mallowloft.dispatch import limits
from mallowloft.dispatch import replica as replica_lib
from mallowloft.kernel import lifecycle

# A latency above this multiple of the lowest one shows a queue at the replica.
_QUEUE_FACTOR = 2.0
# The lowest latency is forgotten at this rate, so that a replica that has
# become slower is measured against itself again.
_LOWEST_GROWTH = 1.001


class LatencyLimit(limits.AimdLimit):
    """Calls in flight: halved when latency shows a queue at the replica."""

    def __init__(self, maximum: float) -> None:
        super().__init__(maximum)
        self._value = 1.0
        self._lowest_s = math.inf

    def on_success(self, took_s: float, now_s: float) -> None:
        """Takes the latency of one call."""
        self._lowest_s = min(took_s, self._lowest_s * _LOWEST_GROWTH)
        if took_s > _QUEUE_FACTOR * self._lowest_s:
            self.on_shed(now_s, took_s)
        else:
            super().on_success(took_s, now_s)


class DirectReplica(replica_lib.ReplicaDispatcher):
    """One instance's own queue and calls for one replica."""

    def _new_limit(self) -> limits.AimdLimit:
        return LatencyLimit(self._max_connections)

    # Other instances' calls hold slots as well, so that this one cannot tell
    # which of its calls has begun and what a cancellation would make free.

    def _preempt_below(self, rank: int) -> None:
        pass

    def _recall_below(self, rank: int) -> None:
        pass


class DirectCalls:
    """Every instance serves every replica for itself."""

    dispatcher_class = DirectReplica

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel

    def receiver_for(self, replica: model.Replica) -> str | None:
        """Returns this instance."""
        del replica
        return self._kernel.settings.instance_id

    def candidates(
        self, replicas: Iterable[model.Replica]
    ) -> list[model.Replica]:
        """Returns all replicas."""
        return list(replicas)

    def max_connections(self, replica: model.Replica) -> int:
        """Divides the limit among the instances that are known now."""
        view = self._kernel.plugin("membership").view
        return max(1, replica.connections // max(1, len(view.live())))
