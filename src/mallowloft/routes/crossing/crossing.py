"""Decides which attempts go to another failure domain.

The load it answers: a failure domain whose own replicas are too few, too slow
or lost, while those of another one are idle. Traffic between failure domains is
slower and costs money, so attempts cross only where it is worth it, and only as
many as the other domain can take. docs/design/crossing.md has the reasons.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import math
import random
from typing import Any

from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import limits
from mallowloft.routes.crossing import estimates
from mallowloft.routes.crossing import share as share_lib

_log = logs.get_logger("crossing")

# Cost of another failure domain, in medians, until its round trip is measured.
ASSUMED_COST = 0.4
# Lower bound of the cost. Twice the random cost of the selection, so that
# chance alone does not prefer another domain to an equal replica here.
_MIN_COST = 0.1
# Weight of a new measurement of a round trip, and the time between two. Reading
# it is a system call.
_ROUND_TRIP_WEIGHT = 0.2
_ROUND_TRIP_INTERVAL_S = 0.5
# Older statements of a replica about its load are not used.
_STATEMENT_AGE_S = 1.0
# An estimate without an observation for longer than this has decayed.
_MAX_AGE_S = 3.0


class _RoundTrip:
    """Round trip to one failure domain."""

    __slots__ = ("_due_s", "value_s")

    def __init__(self) -> None:
        self.value_s: float | None = None
        self._due_s = -math.inf

    def measure(self, read: Callable[[], float | None], now_s: float) -> None:
        """Takes a measurement if one is due."""
        if now_s < self._due_s:
            return
        self._due_s = now_s + _ROUND_TRIP_INTERVAL_S
        measured_s = read()
        if measured_s is None:
            return
        if self.value_s is None:
            self.value_s = measured_s
        else:
            self.value_s += _ROUND_TRIP_WEIGHT * (measured_s - self.value_s)


class _Group:
    """State of one service group.

    Attributes:
        estimate_by_domain: Recent load by failure domain.
        controller_by_domain: Shares by other failure domain.
        attempts: First attempts.
        counts_by_domain: First attempts that asked to cross by share, and those
            that did, by other failure domain.
        service_s: Usual duration of an attempt, averaged over the routes.
        exchange_bytes: Bytes of a request and its reply.
    """

    __slots__ = (
        "attempts",
        "controller_by_domain",
        "counts_by_domain",
        "estimate_by_domain",
        "exchange_bytes",
        "service_s",
    )

    def __init__(self) -> None:
        self.estimate_by_domain: dict[str, estimates.DomainEstimate] = {}
        self.controller_by_domain: dict[str, share_lib.ShareController] = {}
        self.attempts = estimates.RankCounts()
        self.counts_by_domain: dict[
            str, tuple[estimates.RankCounts, estimates.RankCounts]
        ] = {}
        self.service_s: float | None = None
        self.exchange_bytes = 0.0

    def estimate(self, failure_domain: str) -> estimates.DomainEstimate:
        """Returns the recent load of the group's replicas in a domain."""
        estimate = self.estimate_by_domain.get(failure_domain)
        if estimate is None:
            estimate = estimates.DomainEstimate()
            self.estimate_by_domain[failure_domain] = estimate
        return estimate

    def counts(
        self, failure_domain: str
    ) -> tuple[estimates.RankCounts, estimates.RankCounts]:
        """Returns the attempts that asked to cross, and those that did."""
        counts = self.counts_by_domain.get(failure_domain)
        if counts is None:
            counts = (estimates.RankCounts(), estimates.RankCounts())
            self.counts_by_domain[failure_domain] = counts
        return counts


class Crossing:
    """The shares of one instance and what they are based on."""

    def __init__(
        self,
        failure_domain: str,
        price_ms_per_kb: float,
        unreachable_domains: Callable[[], Collection[str]],
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Creates the state of an instance that has seen nothing yet.

        Args:
            failure_domain: Failure domain of this instance.
            price_ms_per_kb: Delay in milliseconds that a kilobyte sent to
                another failure domain is worth.
            unreachable_domains: Returns the failure domains that are cut off.
            rng: Draws which attempts cross and when shares move.
            metrics: Metrics of the instance.
        """
        self._here = failure_domain
        self._price_s_per_byte = price_ms_per_kb / 1e6
        self._unreachable_domains = unreachable_domains
        self._rng = rng
        self._metrics = metrics
        self._group_by_service: Mapping[str, str] = {}
        self._groups: dict[str, _Group] = {}
        self._round_trips: dict[str, _RoundTrip] = {}

    def set_groups(
        self, group_by_service: Mapping[str, str], services: Collection[str]
    ) -> None:
        """Sets the service groups; drops the state of all others.

        Args:
            group_by_service: Names of the groups of the shards; any other
                service is a group of its own.
            services: All services that the routes use.
        """
        self._group_by_service = group_by_service
        names = {self._group_name(service) for service in services}
        self._groups = {
            name: group for name, group in self._groups.items() if name in names
        }

    def is_cut_off(self, entry: directory_lib.ReplicaEntry) -> bool:
        """Whether the failure domain of a replica is cut off."""
        return entry.replica.failure_domain in self._unreachable_domains()

    def cost_medians(
        self,
        entry: directory_lib.ReplicaEntry,
        latency: limits.RouteLatency | None,
    ) -> float:
        """Returns what it costs to ask a replica in another failure domain.

        It is the round trip and the price of the bytes, as a multiple of the
        median duration of an attempt.

        Args:
            entry: The replica.
            latency: Latency statistics of the route, None if unknown.
        """
        if latency is None:
            return ASSUMED_COST
        median_s = latency.median_s
        cost = self._price_s_per_byte * latency.exchange_bytes / median_s
        round_trip_s = self._round_trip_s(entry.replica.failure_domain)
        if round_trip_s is None:
            return ASSUMED_COST + cost
        return max(_MIN_COST, cost + round_trip_s / median_s)

    def has_free_slot(
        self, entry: directory_lib.ReplicaEntry, now_s: float
    ) -> bool:
        """Whether the replica's last statement leaves a slot free."""
        used = entry.health.in_flight
        if now_s - entry.health.load_stated_s <= _STATEMENT_AGE_S:
            used += entry.health.foreign_load
        return used < entry.replica.slots

    def count_first(self, service: str, rank: int, now_s: float) -> None:
        """Counts a first attempt, of which shares are parts."""
        self._group_of(service).attempts.add(rank, now_s)

    def allows(
        self, entry: directory_lib.ReplicaEntry, rank: int, now_s: float
    ) -> bool:
        """Whether a first attempt may cross although it could be served here.

        The caller has counted the attempt with `count_first`. An attempt that
        is allowed must be sent.

        Args:
            entry: The cheapest replica; it is in another failure domain.
            rank: Rank of the request.
            now_s: Current loop time.
        """
        domain = entry.replica.failure_domain
        name = self._group_name(entry.replica.service)
        group = self._group_of(entry.replica.service)
        controller = self._step_if_due(name, group, domain, now_s)
        if not controller.share or not self.has_free_slot(entry, now_s):
            return False
        # More urgent ranks come first, so a rank gets what they leave. Within
        # a rank it is spread over the attempts for which it is cheaper to
        # cross.
        asked, crossed = group.counts(domain)
        asked.add(rank, now_s)
        left = controller.share * group.attempts.total(now_s)
        left -= crossed.more_urgent(rank, now_s)
        chance = left / max(1.0, asked.count(rank, now_s))
        if self._rng.random() >= chance:
            return False
        crossed.add(rank, now_s)
        return True

    def record(
        self,
        entry: directory_lib.ReplicaEntry,
        latency: limits.RouteLatency,
        duration_s: float,
        exchange_bytes: int,
        now_s: float,
    ) -> None:
        """Records a reply.

        Args:
            entry: The replica; its health has the load that it states.
            latency: Latency statistics of the route.
            duration_s: Time from the start of the attempt to the reply.
            exchange_bytes: Size of request and reply; 0 if unknown.
            now_s: Current loop time.
        """
        domain = entry.replica.failure_domain
        if entry.remote:
            round_trip = self._round_trips.get(domain)
            if round_trip is None:
                round_trip = self._round_trips[domain] = _RoundTrip()
            round_trip.measure(entry.pool.round_trip_s, now_s)
            duration_s = max(0.0, duration_s - (round_trip.value_s or 0.0))
        slots = entry.replica.slots
        waiting = entry.health.waiting / slots
        queue = entry.health.in_flight + entry.health.waiting - slots
        group = self._group_of(entry.replica.service)
        if latency.service_s is not None:
            group.service_s = latency.service_s
            group.estimate(domain).record(
                duration_s / latency.service_s,
                waiting,
                max(0.0, queue / slots),
                now_s,
            )
        latency.record_service(duration_s / (1.0 + waiting), now_s)
        if exchange_bytes:
            latency.record_bytes(exchange_bytes)
        group.exchange_bytes = latency.exchange_bytes
        for other in list(group.controller_by_domain):
            self._step_if_due(
                self._group_name(entry.replica.service), group, other, now_s
            )

    def record_rejection(
        self, entry: directory_lib.ReplicaEntry, now_s: float
    ) -> None:
        """Records that a full replica rejected an attempt."""
        group = self._group_of(entry.replica.service)
        estimate = group.estimate(entry.replica.failure_domain)
        estimate.record_rejection(now_s)

    def shares(self) -> dict[tuple[str, str], float]:
        """Returns the largest share of all groups by pair of domains."""
        shares: dict[tuple[str, str], float] = {}
        for group in self._groups.values():
            for domain, controller in group.controller_by_domain.items():
                pair = (self._here, domain)
                shares[pair] = max(shares.get(pair, 0.0), controller.share)
        return shares

    def dump(self) -> dict[str, Any]:
        """Returns the shares with their inputs as JSON-ready data."""
        return {
            "round_trip_ms": {
                domain: round(item.value_s * 1000, 3)
                for domain, item in self._round_trips.items()
                if item.value_s is not None
            },
            "groups": {
                name: {
                    domain: _describe(controller)
                    for domain, controller in group.controller_by_domain.items()
                }
                for name, group in self._groups.items()
                if group.controller_by_domain
            },
        }

    def _group_name(self, service: str) -> str:
        return self._group_by_service.get(service, service)

    def _group_of(self, service: str) -> _Group:
        name = self._group_name(service)
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = _Group()
        return group

    def _round_trip_s(self, failure_domain: str) -> float | None:
        """Returns the round trip to a failure domain, None if unknown.

        One that is not measured counts as the mean of the others. Otherwise an
        instance without local replicas would prefer the first domain that it
        measured, and never measure another.
        """
        measured = self._round_trips.get(failure_domain)
        if measured is not None and measured.value_s is not None:
            return measured.value_s
        known = [
            item.value_s
            for item in self._round_trips.values()
            if item.value_s is not None
        ]
        return sum(known) / len(known) if known else None

    def _step_if_due(
        self, name: str, group: _Group, domain: str, now_s: float
    ) -> share_lib.ShareController:
        """Returns the share for a domain after a step that is due."""
        controller = group.controller_by_domain.get(domain)
        if controller is None:
            controller = group.controller_by_domain[domain] = (
                share_lib.ShareController(
                    now_s + self._rng.random() * share_lib.STEP_INTERVAL_S
                )
            )
        reachable = domain not in self._unreachable_domains()
        previous = controller.share
        if not reachable:
            if controller.cut_off():
                inputs = self._inputs(group, domain, now_s, reachable)
                reason = share_lib.Reason.CUT_OFF
                self._log_change(
                    name, domain, previous, controller, inputs, reason
                )
            return controller
        if not controller.due(now_s) or group.service_s is None:
            return controller
        inputs = self._inputs(group, domain, now_s, reachable)
        reason = controller.step(inputs, now_s)
        if reason is not None:
            self._log_change(name, domain, previous, controller, inputs, reason)
        return controller

    def _inputs(
        self, group: _Group, domain: str, now_s: float, reachable: bool
    ) -> share_lib.Inputs:
        here = group.estimate(self._here)
        there = group.estimate(domain)
        service_s = group.service_s or 0.0
        round_trip_s = self._round_trip_s(domain)
        if round_trip_s is None:
            round_trip_s = ASSUMED_COST * service_s
        there_s = (
            there.expected_ratio(now_s) * service_s
            + round_trip_s
            + self._price_s_per_byte * group.exchange_bytes
        )
        age_s = there.age_s(now_s)
        return share_lib.Inputs(
            here_ms=here.expected_ratio(now_s) * service_s * 1000,
            there_ms=there_s * 1000,
            age_ms=age_s * 1000 if age_s <= _MAX_AGE_S else -1.0,
            weight=here.weight(now_s),
            waiting_per_slot=there.waiting_per_slot(now_s),
            rejected_share=there.rejected_share(now_s),
            reachable=reachable,
        )

    def _log_change(
        self,
        name: str,
        domain: str,
        previous: float,
        controller: share_lib.ShareController,
        inputs: share_lib.Inputs,
        reason: share_lib.Reason,
    ) -> None:
        self._metrics.count("crossing_share_changes", reason=str(reason))
        _log.info(
            "crossing_share_changed",
            here=self._here,
            there=domain,
            group=name,
            previous=round(previous, 3),
            share=round(controller.share, 3),
            here_ms=round(inputs.here_ms, 2),
            there_ms=round(inputs.there_ms, 2),
            age_ms=round(inputs.age_ms),
            reason=str(reason),
        )


def _describe(controller: share_lib.ShareController) -> dict[str, Any]:
    """Returns a share and the inputs of its last step."""
    described: dict[str, Any] = {"share": round(controller.share, 3)}
    inputs = controller.inputs
    if inputs is not None:
        described |= {
            "here_ms": round(inputs.here_ms, 2),
            "there_ms": round(inputs.there_ms, 2),
            "age_ms": round(inputs.age_ms),
            "observations": round(inputs.weight, 1),
            "waiting_per_slot": round(inputs.waiting_per_slot, 3),
            "rejected_share": round(inputs.rejected_share, 3),
        }
    return described
