"""Baseline mode in which every instance calls the replicas directly.

The mode is enabled by `--dispatch=direct` and serves to measure the benefit of
one dispatcher per replica. Each instance has its own priority queue for each
replica and adapts its number of calls in flight to the observed latency.
"""

from collections.abc import Iterable
import math

from mallowloft.configuration import model
from mallowloft.dispatch import limits
from mallowloft.dispatch import replica as replica_lib
from mallowloft.kernel import lifecycle

# A latency above this multiple of the lowest one indicates a queue at the
# replica.
_QUEUEING_LATENCY_FACTOR = 2.0
# The recorded lowest latency grows by this factor with each call. When a
# replica has become permanently slower, the lowest latency adapts to it.
_LOWEST_LATENCY_GROWTH = 1.001


class LatencyLimit(limits.AimdLimit):
    """Limit of calls in flight that is halved when latency shows a queue."""

    def __init__(self, maximum: float) -> None:
        super().__init__(maximum)
        self._value = 1.0
        self._lowest_latency_s = math.inf

    def on_success(self, duration_s: float, now_s: float) -> None:
        """Adjusts the limit to the latency of one call."""
        self._lowest_latency_s = min(
            duration_s, self._lowest_latency_s * _LOWEST_LATENCY_GROWTH
        )
        if duration_s > _QUEUEING_LATENCY_FACTOR * self._lowest_latency_s:
            self.on_shed(now_s, duration_s)
        else:
            super().on_success(duration_s, now_s)


class DirectReplicaDispatcher(replica_lib.ReplicaDispatcher):
    """Dispatches the calls of one instance to one replica."""

    def _new_in_flight_limit(self) -> limits.AimdLimit:
        return LatencyLimit(self._max_connections)

    # Calls of other instances use slots as well. An instance therefore cannot
    # know which of its calls are running or whether a cancellation would free
    # a slot.

    def _preempt_lower_class_query(self, rank: int) -> None:
        pass

    def _requeue_waiting_calls(self, rank: int) -> None:
        pass


class DirectMode:
    """Mode in which every instance calls all replicas directly."""

    dispatcher_class = DirectReplicaDispatcher

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel

    def dispatcher_for(self, replica: model.Replica) -> str | None:
        """Returns this instance."""
        del replica
        return self._kernel.settings.instance_id

    def candidates(
        self, replicas: Iterable[model.Replica]
    ) -> list[model.Replica]:
        """Returns all replicas."""
        return list(replicas)

    def max_connections(self, replica: model.Replica) -> int:
        """Returns this instance's share of the replica's connection limit.

        Returns:
            The replica's connection limit divided by the number of live
            instances, at least 1.
        """
        view = self._kernel.plugin("membership").view
        return max(1, replica.connections // max(1, len(view.live())))
