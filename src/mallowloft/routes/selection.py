"""Selects the replica of a service for an attempt.

A shard has two or three replicas, some of which may pause, be slow, fail or
not reply at all. A round trip between failure domains takes a large part of a
short latency objective, so local replicas are preferred.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
import random

from mallowloft.routes import directory as directory_lib
from mallowloft.routes.evacuation import ramp as ramp_lib

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

    def __init__(
        self,
        rng: random.Random,
        on_cold_denied: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a selector.

        Args:
            rng: Draws the random part of the cost.
            on_cold_denied: Called for each cold replica that is skipped
                because this instance has no permit for it.
        """
        self._rng = rng
        self._on_cold_denied = on_cold_denied

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
        best_healthy = False
        # The best replica of failure domains to which load returns, beyond
        # their share.
        held = None
        held_cost = math.inf
        # Draws of this choice, by the ramp of a returning failure domain.
        held_by_ramp: dict[ramp_lib.ReturnRamp, bool] = {}
        for entry in entries:
            if entry in tried or not entry.connectable:
                continue
            cost = 0.0
            healthy = True
            if not entry.admits(now_s):
                if entry.signals.lacks_cold_permit(now_s):
                    self._on_cold_denied()
                    continue
                if healthy_only or not entry.admits_if_alone(now_s):
                    continue
                cost = _IF_ALONE_COST
                healthy = False
            cost += self._cost(entry, now_s, healthy_only)
            if entry.ramp is not None and self._is_held(
                entry.ramp, held_by_ramp
            ):
                if cost < held_cost:
                    held, held_cost = entry, cost
            elif cost < best_cost:
                best, best_cost = entry, cost
                best_healthy = healthy
        if held is None or (best_healthy and self._is_healthy(best, now_s)):
            return best
        return held if held_cost < best_cost else best

    def _is_held(
        self,
        ramp: ramp_lib.ReturnRamp,
        held_by_ramp: dict[ramp_lib.ReturnRamp, bool],
    ) -> bool:
        """Whether a choice is beyond the share of a returning domain.

        The draw applies to all replicas of the domain. Instances draw at
        random, so that they do not return in step.
        """
        if ramp not in held_by_ramp:
            held_by_ramp[ramp] = self._rng.random() >= ramp.share
        return held_by_ramp[ramp]

    def _is_healthy(
        self, entry: directory_lib.ReplicaEntry, now_s: float
    ) -> bool:
        health = entry.health
        return not (
            health.fault_cost(now_s)
            or health.should_report_suspect(now_s)
            or health.suspected_by_others(now_s)
            or entry.pool.failing
        )

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
