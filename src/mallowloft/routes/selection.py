"""Selects the replica of a service for an attempt.

A shard has two or three replicas, some of which may pause, be slow, fail or
not reply at all. A round trip between failure domains takes a large part of a
short latency objective, so local replicas are preferred.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
import random

from mallowloft.routes import directory as directory_lib

# Costs as multiples of the route's median attempt duration.
_REMOTE_COST = 0.4
_NO_CONNECTION_COST = 0.4
_OUTSIDE_SUBSET_COST = 2.0
_LOAD_COST = 0.5
_CONNECT_FAILURE_COST = 60.0
# Advantage of a replica whose pause has ended and that has not replied since.
# Estimates of the durations at the replicas that served meanwhile vary by about
# half a median; without it, a low one kept all requests away from the replica.
_TRIAL_ADVANTAGE = 0.5
# Above all other costs: the replica is chosen only if there is no other.
_IF_ALONE_COST = 1000.0
# Random cost, so that instances do not all pick the same one of several equal
# replicas.
_MAX_JITTER = 0.05


class Selector:
    """Chooses the replica with the lowest expected duration."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        entries: Iterable[directory_lib.ReplicaEntry],
        now_s: float,
        tried: Collection[directory_lib.ReplicaEntry] = (),
        healthy_only: bool = False,
    ) -> directory_lib.ReplicaEntry | None:
        """Returns the best replica for the next attempt, None if there is none.

        Args:
            entries: Replicas of the service.
            now_s: Current loop time.
            tried: Replicas that already got an attempt of this request.
            healthy_only: Whether to consider only replicas without a known
                fault.
        """
        best = None
        best_cost = math.inf
        for entry in entries:
            if entry in tried or not entry.connectable:
                continue
            cost = 0.0
            if not entry.admits(now_s):
                if healthy_only or not entry.admits_if_alone(now_s):
                    continue
                cost = _IF_ALONE_COST
            cost += self._cost(entry, now_s, healthy_only)
            if cost < best_cost:
                best, best_cost = entry, cost
        return best

    def _cost(
        self,
        entry: directory_lib.ReplicaEntry,
        now_s: float,
        healthy_only: bool,
    ) -> float:
        """Returns the expected duration, infinite for an excluded replica.

        The duration is a multiple of the median duration, plus jitter.
        """
        health = entry.health
        faults = health.fault_cost(now_s)
        if entry.pool.failing:
            faults += _CONNECT_FAILURE_COST
        if faults and healthy_only:
            return math.inf
        cost = (
            faults + health.slowness(now_s) + self._rng.random() * _MAX_JITTER
        )
        load = health.in_flight + health.waiting
        if load:
            cost += _LOAD_COST * load / entry.replica.slots
        if entry.remote:
            cost += _REMOTE_COST
        if not entry.in_subset:
            cost += _OUTSIDE_SUBSET_COST
        if not entry.pool.open_count:
            cost += _NO_CONNECTION_COST
        if entry.signals.returning:
            cost -= _TRIAL_ADVANTAGE
        return cost + health.uncertainty_cost(now_s)
