"""Switches single mechanisms of routing off, to measure what they are worth.

A process loads this module only if its environment names a switch. The switches
replace functions for the whole process, so the mechanisms themselves need no
conditions. docs/further.md has the measurements.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random
from typing import Any

from mallowloft.kernel import findings as findings_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.routes import batching
from mallowloft.routes import directory
from mallowloft.routes import gathering
from mallowloft.routes import health
from mallowloft.routes import homes
from mallowloft.routes import hubs
from mallowloft.routes import limits
from mallowloft.routes import mirror
from mallowloft.routes import reach
from mallowloft.routes import relaying
from mallowloft.routes import running
from mallowloft.routes import selection
from mallowloft.routes import timing
from mallowloft.routes import warming
from mallowloft.routes.admission import gate
from mallowloft.routes.cold import replicas as cold_replicas
from mallowloft.routes.crossing import crossing
from mallowloft.routes.evacuation import ramp
from mallowloft.routes.placement import connections
from mallowloft.routes.placement import gatherers
from mallowloft.upstream import http1

_log = logs.get_logger("ablation")

# Functions that switch a mechanism off.
switches: registry.Registry[Callable[[], None]] = registry.Registry("switch")

# Margin of the answer time before it followed the caller's distance.
_FIXED_MARGIN_S = 0.006
_FIXED_MARGIN_SHARE = 0.08


def _ignore(*arguments: object) -> None:
    del arguments


@switches.register("hedges")
def _send_no_hedges() -> None:
    running.take_hedge = lambda extra, late, now_s: False


@switches.register("retries")
def _send_no_retries() -> None:
    limits.ExtraAttemptBucket.take_retry = lambda self: False


@switches.register("congestion_wait")
def _hedge_many_late_shards_at_once() -> None:
    gathering.ScatterGather._count_causes = lambda self, late: 0


@switches.register("ejection")
def _use_failing_replicas() -> None:
    def record_failure(self, attempt: object, now_s: float) -> None:
        del now_s
        self.discard(attempt)

    health.ReplicaHealth.record_failure = record_failure


@switches.register("late_evidence")
def _ignore_late_attempts() -> None:
    health.ReplicaHealth.record_late = _ignore


@switches.register("shared_suspects")
def _ignore_suspects_of_others() -> None:
    directory.Directory.mark_suspects = _ignore


@switches.register("placing")
def _choose_replicas_at_random() -> None:
    selection.Selector._cost = lambda self, *arguments: random.random()


@switches.register("local_first")
def _choose_regardless_of_domain() -> None:
    selection._REMOTE_COST = 0.0
    crossing.Crossing.cost_medians = lambda self, *arguments: 0.0
    crossing.Crossing.allows = lambda self, *arguments: True


@switches.register("crossing")
def _cross_by_constant_cost() -> None:
    crossing.Crossing.cost_medians = lambda self, *arguments: (
        selection._REMOTE_COST
    )
    crossing.Crossing.allows = lambda self, *arguments: True


@switches.register("caller_distance")
def _use_fixed_margins() -> None:
    def answer_by(
        objective_s: float, started_s: float, waited_s: float, *others: float
    ) -> float:
        needed_s = others[-1]
        usable_s = objective_s * (1 - _FIXED_MARGIN_SHARE) - _FIXED_MARGIN_S
        remaining_s = usable_s - waited_s
        return started_s + (remaining_s if remaining_s > needed_s else usable_s)

    timing.answer_by = answer_by


@switches.register("partial_answers")
def _wait_for_all_parts() -> None:
    initialize = gathering.ScatterGather.__init__

    def initialize_without_partial_answer(
        self, context, request_context, *arguments, **options
    ) -> None:
        initialize(self, context, request_context, *arguments, **options)
        self._partial_answer_s = request_context.end_s

    gathering.ScatterGather.__init__ = initialize_without_partial_answer


@switches.register("accurate_outcomes")
def _fail_requests_that_were_not_run() -> None:
    gathering.ScatterGather._cannot_have_run = lambda self: not self.sent


@switches.register("early_end")
def _wait_for_parts_that_are_too_few() -> None:
    gathering.ScatterGather._is_out_of_reach = lambda self: False


@switches.register("connection_allotment")
def _connect_to_all_replicas() -> None:
    connections.Population.max_connected = lambda self, *arguments: math.inf


@switches.register("gatherer_load")
def _choose_gatherers_without_their_load() -> None:
    gatherers.LoadReports.better_of_two = lambda self, *arguments: None


@switches.register("second_gatherer")
def _ask_no_other_overloaded_gatherer() -> None:
    gatherers.OverloadRefusal.take_other = lambda self: False


@switches.register("held_removals")
def _apply_removals_at_once() -> None:
    mirror.Mirror.hold_removals = _ignore


@switches.register("paced_connections")
def _open_connections_at_once() -> None:
    warming._INITIAL_RATE_PER_S = warming._RATE_PER_S = math.inf


@switches.register("kept_connections")
def _open_connections_on_demand() -> None:
    warming.Warmer.keep_open = _ignore


@switches.register("domain_reach")
def _use_unreachable_domains() -> None:
    reach.DomainReachability.unreachable_domains = lambda self: frozenset()


@switches.register("evacuation")
def _ignore_evacuations() -> None:
    directory.Directory.set_evacuated = _ignore


@switches.register("return_ramp")
def _return_at_once() -> None:
    ramp._INITIAL_SHARE = 1.0


@switches.register("subset")
def _use_all_replicas() -> None:
    directory._SUBSET_SIZE = 1_000_000


@switches.register("ranks")
def _ignore_ranks() -> None:
    submit = http1.Pool.submit

    def submit_unranked(self, exchange: http1.Exchange) -> None:
        exchange.rank = 0
        submit(self, exchange)

    http1.Pool.submit = submit_unranked


@switches.register("batches")
def _send_all_attempts_directly() -> None:
    batching.plan = lambda choices, *others: batching.Plan(tuple(choices))


@switches.register("delegation")
def _gather_all_requests_locally() -> None:
    hubs.Hubs.should_gather = lambda self, route: False
    directory.Directory.may_hedge = lambda self, service: True


@switches.register("admission")
def _start_all_requests_at_once() -> None:
    gate.Gate.admit = lambda self, task, *others: task


@switches.register("relays")
def _read_the_source_everywhere() -> None:
    relaying.HubClient._choose_hub = _ignore
    relaying.may_call_source = lambda *arguments: True


@switches.register("cold_limits")
def _send_to_cold_replicas_without_limit() -> None:
    cold_replicas.ColdReplicas.refresh = _ignore


@switches.register("homes")
def _ignore_home_regions() -> None:
    homes.HomePolicy.allows = lambda self, route, failure_domain: True


def check(
    names: Iterable[str], place: str, findings: findings_lib.Findings
) -> None:
    """Adds a finding for each name that is no switch."""
    for name in names:
        if name not in switches.by_name:
            known = ", ".join(sorted(switches.by_name))
            findings.add(place, f"{name!r} is none of {known}")


def switch_off(names: Iterable[str]) -> None:
    """Switches mechanisms off for the rest of the process."""
    for name in names:
        switches.by_name[name]()
    Ablation.names = tuple(names)
    _log.warning("mechanisms_switched_off", names=",".join(names))


@registry.plugins.register("ablation")
class Ablation:
    """Shows in the state which mechanisms are switched off."""

    requires: tuple[str, ...] = ()
    names: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        del kernel

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self, grace_s: float) -> None:
        """Does nothing."""

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the names of the switches."""
        return {"switched_off": self.names}
