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
from mallowloft.routes import limits
from mallowloft.routes.crossing import crossing as crossing_lib
from mallowloft.routes.evacuation import ramp as ramp_lib

# Costs as multiples of the route's median attempt duration.
# Of another failure domain, if the round trip is not measured.
_REMOTE_COST = crossing_lib.ASSUMED_COST
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


# Why an attempt goes to another failure domain.
NO_LOCAL = "no_local"
LOCAL_FAULT = "local_fault"
SHARE = "share"
HEDGE = "hedge"
RETRY = "retry"


class Selector:
    """Chooses the replica with the lowest expected duration.

    Attributes:
        crossing: Decides which first attempts go to another failure domain;
            None if the cost alone decides.
        reason: Why the replica chosen last is in another failure domain; empty
            if it is not, or if the attempt is no first one.
    """

    def __init__(
        self,
        rng: random.Random,
        on_cold_denied: Callable[[], None] = lambda: None,
        crossing: crossing_lib.Crossing | None = None,
    ) -> None:
        """Creates a selector.

        Args:
            rng: Draws the random part of the cost.
            on_cold_denied: Called for each cold replica that is skipped
                because this instance has no permit for it.
            crossing: Decides which first attempts go to another failure
                domain; None if the cost alone decides.
        """
        self._rng = rng
        self._on_cold_denied = on_cold_denied
        self.crossing = crossing
        self.reason = ""

    def choose(
        self,
        entries: Iterable[directory_lib.ReplicaEntry],
        now_s: float,
        tried: Collection[directory_lib.ReplicaEntry] = (),
        healthy_only: bool = False,
        latency: limits.RouteLatency | None = None,
        first_rank: int | None = None,
    ) -> directory_lib.ReplicaEntry | None:
        """Returns the best replica for the next attempt, None if there is none.

        Args:
            entries: Replicas of the service.
            now_s: Current loop time.
            tried: Replicas that already got an attempt of this request.
            healthy_only: Whether to consider only replicas without a known
                fault.
            latency: Latency statistics of the route, None if unknown.
            first_rank: Rank of the request if this is its first attempt at the
                service; None for hedges, retries and other instances.
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
        local = None
        local_cost = math.inf
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
            cost += self._cost(entry, now_s, healthy_only, latency)
            if entry.ramp is not None and self._is_held(
                entry.ramp, held_by_ramp
            ):
                if cost < held_cost:
                    held, held_cost = entry, cost
                continue
            if cost < best_cost:
                best, best_cost = entry, cost
                best_healthy = healthy
            if not entry.remote and cost < local_cost:
                local, local_cost = entry, cost
        self.reason = ""
        if (
            held is not None
            and held_cost < best_cost
            and not (best_healthy and self._is_healthy(best, now_s))
        ):
            best = held
        if best is None or first_rank is None or self.crossing is None:
            return best
        self.crossing.count_first(best.replica.service, first_rank, now_s)
        if not best.remote:
            return best
        self.reason = self._reason_to_cross(
            best, local, now_s, latency, first_rank
        )
        return best if self.reason else local

    def _reason_to_cross(
        self,
        best: directory_lib.ReplicaEntry,
        local: directory_lib.ReplicaEntry | None,
        now_s: float,
        latency: limits.RouteLatency | None,
        rank: int,
    ) -> str:
        """Returns why a first attempt goes to another failure domain.

        Args:
            best: The cheapest replica; it is in another failure domain.
            local: The cheapest replica in this one, None if there is none.
            now_s: Current loop time.
            latency: Latency statistics of the route, None if unknown.
            rank: Rank of the request.

        Returns:
            The reason, empty if the attempt must stay in this domain.
        """
        if local is None or not local.admits(now_s) or local.pool.failing:
            return NO_LOCAL
        if local.health.ejected(now_s):
            # A replica that rejects because its queue is full is ejected by
            # all instances at about the same time. If all of them crossed,
            # they would fill the queue in the other domain, too.
            is_full = local.health.waiting > 0
            if is_full and not self.crossing.has_free_slot(best, now_s):
                return ""
            return NO_LOCAL
        if not local.health.waiting and not best.health.waiting:
            # Without a stated queue, a slow replica is not overloaded but
            # pauses or has a fault.
            excess = self._quality_cost(local, now_s) - self._quality_cost(
                best, now_s
            )
            cost = self.crossing.cost_medians(best, latency)
            if excess > max(_REMOTE_COST, cost):
                return LOCAL_FAULT
        if self.crossing.allows(best, rank, now_s):
            return SHARE
        return ""

    def _quality_cost(
        self, entry: directory_lib.ReplicaEntry, now_s: float
    ) -> float:
        """Returns the part of the cost that load does not cause."""
        health = entry.health
        cost = health.fault_cost(now_s) + health.slowness(now_s)
        if entry.pool.failing:
            cost += _CONNECT_FAILURE_COST
        if not entry.pool.open_count:
            cost += _NO_CONNECTION_COST
        return cost + health.uncertainty_cost(now_s)

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
        latency: limits.RouteLatency | None = None,
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
            cost += self._remote_cost(entry, latency)
        if not entry.in_subset:
            cost += _OUTSIDE_SUBSET_COST
        if not entry.pool.open_count:
            cost += _NO_CONNECTION_COST
        if entry.signals.returning:
            cost -= _TRIAL_ADVANTAGE
        return cost + health.uncertainty_cost(now_s)

    def _remote_cost(
        self,
        entry: directory_lib.ReplicaEntry,
        latency: limits.RouteLatency | None,
    ) -> float:
        """Returns the cost of a replica in another failure domain.

        One in a domain that is cut off is chosen only if there is no other.
        """
        if self.crossing is None:
            return _REMOTE_COST
        cost = self.crossing.cost_medians(entry, latency)
        if self.crossing.is_cut_off(entry):
            cost += _IF_ALONE_COST
        return cost
