"""Execution of one query on one pinned index version."""

import asyncio
from collections.abc import Iterable
import dataclasses
import math
from typing import Protocol

from mallowloft import messages
from mallowloft.configuration import model as config_model
from mallowloft.gather import budget as budget_lib
from mallowloft.gather import hedging
from mallowloft.gather import merge as merge_lib
from mallowloft.gather import model
from mallowloft.gather import pinning
from mallowloft.gather import selection

# Timers that are closer together than this are handled in one pass over the
# attempts.
_TIMER_RESOLUTION_S = 0.0005
_RETRY_POLL_S = 0.002
# A hedge that the budget denies is tried again soon. After the query has
# detected a fault, its hedges may use the reserved tokens.
_HEDGE_RETRY_MIN_S = 0.001
# A query detects a fault when at least this fraction of its attempts is late,
# and at least this many. Without a fault, 5% of attempts exceed their p95.
_FAULT_LATE_RATIO = 0.15
_FAULT_MIN_LATE_ATTEMPTS = 3
# An attempt that has run for this many times its hedge delay is presumed to
# have failed. It may be hedged to an avoided replica if no other is left.
_PRESUMED_FAILED_FACTOR = 3.0
# With `prefer=time`, a shard is given up when each of its attempts has run for
# this many times its hedge delay, and at least for the minimum.
_STRAGGLER_FACTOR = 8.0
_STRAGGLER_MIN_S = 0.05
# A dispatcher that sends no reply or `SubQueued` for at least this long after
# an attempt is treated as silent.
_DISPATCHER_SILENCE_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A sub-request in flight.

    Attributes:
        number: Attempt number, which the reply repeats.
        dispatcher: Instance that the sub-request was sent to.
        incarnation: Incarnation of that instance, 0 if unknown.
        shards: Requested shards.
        sent_s: When the sub-request was sent.
        hedge_delay_s: Time after which the attempt is late, the p95 of earlier
            attempts for its shards.
        hedge_due_s: When a hedge is considered, infinity if never.
        silence_check_s: When to check whether the dispatcher is silent,
            infinity if the check is done.
        queue_delay_s: Announced delay in the dispatcher's queue.
    """

    number: int
    service: str
    replica: str
    dispatcher: str
    incarnation: int
    shards: tuple[model.Shard, ...]
    sent_s: float
    hedge_delay_s: float
    hedge_due_s: float = math.inf
    silence_check_s: float = math.inf
    queue_delay_s: float = 0.0


class Coordinator(Protocol):
    """The part of the gather service that a run uses."""

    budget: budget_lib.ExtraRequestBudget
    delays: hedging.HedgeDelays
    health: selection.ReplicaStatistics
    selector: selection.Selector
    hedging: bool

    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def dispatcher_for(self, run: "Run", replica: str) -> str | None:
        """Returns the instance that dispatches for a replica."""

    def is_leaving(self, replica: str) -> bool:
        """Whether a replica is leaving and must get no new work."""

    def is_dispatcher_gone(self, attempt: Attempt) -> bool:
        """Whether the dispatcher was removed, suspected or restarted."""

    def is_dispatcher_silent(self, attempt: Attempt) -> bool:
        """Whether the dispatcher has been silent since the attempt.

        It is silent if it has sent no reply or queue notice.
        """

    def send_attempt(
        self,
        run: "Run",
        service: str,
        replica: str,
        dispatcher: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> Attempt | None:
        """Sends a sub-request; returns None if it cannot be sent."""

    def send_probe(self, run: "Run", shard: model.Shard, replica: str) -> None:
        """Sends a sub-request that only tests whether a replica is healthy."""

    def record_late_attempt(self, attempt: Attempt, decisive: bool) -> None:
        """Records that an attempt was overtaken or has not ended in time."""

    def may_restart(self, run: "Run") -> bool:
        """Whether another version may serve every shard in time."""

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Drops attempts and cancels them at their dispatchers."""


class Run:
    """Gathers the shards of one query from one index version.

    Attributes:
        query: The query.
        version: Number of the pinned version.
        tried_versions: Versions that runs of the query have been pinned to,
            including this one.
        started_s: When the run started.
        end_s: When the run ends at the latest.
        merge: The results gathered so far.
        version_unavailable: Whether a shard cannot be served in this version
            and the query should be restarted with another one.
        sent: All sub-requests sent, including hedges, retries and resent ones.
        hedges: Sub-requests sent because an attempt was late.
        retries: Sub-requests sent because an earlier one failed.
        resent: Sub-requests sent because a dispatcher was gone or silent.
        retry_after_ms: Longest retry delay of any refusal.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        query: model.Query,
        index: config_model.Index,
        version: config_model.IndexVersion,
        end_s: float,
        tried_versions: frozenset[int] = frozenset(),
    ) -> None:
        self.query = query
        self.version = version.version
        self.tried_versions = tried_versions | {version.version}
        self.started_s = coordinator.now()
        self.end_s = end_s
        self.version_unavailable = False
        self.sent = 0
        self.hedges = 0
        self.retries = 0
        self.resent = 0
        self.retry_after_ms = 0.0
        self._coordinator = coordinator
        self._finished = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = math.inf
        self._attempts_by_number: dict[int, Attempt] = {}
        self._services = query.snapshot.services_of(query.target)
        mapped, unmapped = pinning.shards_of(index, version, self._services)
        self.merge = merge_lib.Merge(self.version, [*mapped, *unmapped])
        self._untried_replicas = {
            shard: self._candidates(replicas)
            for shard, replicas in mapped.items()
        }
        self._attempts_by_shard: dict[model.Shard, list[Attempt]] = {
            shard: [] for shard in mapped
        }
        self._wrong_version_shards: set[model.Shard] = set()
        self._refused_shards: set[model.Shard] = set()
        self._pending_retries: dict[model.Shard, str] = {}
        self._late_attempt_numbers: set[int] = set()
        self._fault_detected = False
        for shard in unmapped:
            self.merge.give_up(shard, merge_lib.LackingReason.NO_SHARD_MAP)

    @property
    def refused(self) -> bool:
        """Whether every shard was refused."""
        lacking = self.merge.lacking.keys()
        return (
            bool(lacking)
            and self._refused_shards >= lacking == self._untried_replicas.keys()
        )

    async def execute(self) -> None:
        """Queries all shards until each is settled or the time is up.

        The run also ends when the minimum coverage cannot be reached, or the
        version is unavailable.
        """
        try:
            self._send_probes()
            self._send_attempts(list(self._untried_replicas), hedge=False)
            self._refill_budget()
            self._check_completion()
            self._on_timer()
            await self._finished
        finally:
            self._stop()
        reason = merge_lib.LackingReason.GIVEN_UP
        if self._coordinator.now() >= self.end_s:
            reason = merge_lib.LackingReason.DEADLINE
        for shard in self.merge.open_shards:
            self.merge.give_up(shard, reason)

    def on_reply(self, number: int, reply: messages.SubReply) -> None:
        """Handles the reply that ends an attempt; ignores unknown numbers."""
        attempt = self._remove(number)
        if attempt is None:
            return
        outcome = reply.outcome
        if outcome is messages.Outcome.OK:
            missing = self.merge.accept(reply, attempt.shards)
            self._cancel_redundant(attempt)
            self._retry(missing, merge_lib.LackingReason.INVALID_ROWS)
        elif outcome in selection.REFUSALS:
            self.retry_after_ms = max(self.retry_after_ms, reply.retry_after_ms)
            self._retry(attempt.shards, outcome.value, refused=True)
        else:
            if outcome is messages.Outcome.WRONG_VERSION:
                self._wrong_version_shards.update(attempt.shards)
            self._retry(attempt.shards, outcome.value)
        self._check_completion()
        self._set_timer()

    def on_queued(self, number: int, delay_ms: float) -> None:
        """Postpones the hedge of an attempt that is queued at its dispatcher.

        The hedge becomes due after the announced delay plus the p95. If there
        is no answer by then, the queue alone does not explain the lateness.
        """
        attempt = self._attempts_by_number.get(number)
        if attempt is None or attempt.hedge_due_s == math.inf:
            return
        if not self._coordinator.health.is_delay_due_to_load(
            attempt.replica, self.query.rank, delay_ms, self._coordinator.now()
        ):
            return
        attempt.queue_delay_s = delay_ms / 1000
        attempt.hedge_due_s = (
            self._coordinator.now()
            + attempt.queue_delay_s
            + attempt.hedge_delay_s
        )

    def on_replica_avoided(self, replica: str) -> None:
        """Makes hedges due at once for attempts on a newly avoided replica."""
        now_s = self._coordinator.now()
        for attempt in self._attempts_by_number.values():
            if attempt.replica == replica and attempt.hedge_due_s < math.inf:
                attempt.hedge_due_s = min(attempt.hedge_due_s, now_s)
        self._set_timer()

    def on_view_change(self) -> None:
        """Resends attempts to other instances if their dispatchers are gone."""
        for attempt in list(self._attempts_by_number.values()):
            if self._coordinator.is_dispatcher_gone(attempt):
                self._resend(attempt)
        self._check_completion()
        self._set_timer()

    def _candidates(self, replicas: Iterable[str]) -> list[str]:
        known = self.query.snapshot.replicas_by_id
        return [
            replica
            for replica in dict.fromkeys(replicas)
            if replica in known
            and not known[replica].leaving
            and not self._coordinator.is_leaving(replica)
        ]

    def _refill_budget(self) -> None:
        fleet = self.query.snapshot.fleet
        share = fleet.hedge_share
        if self._coordinator.health.has_avoided_replica(self._services):
            share = max(share, fleet.hedge_share_fault)
        self._coordinator.budget.refill(self.sent, share, fleet.hedge_share)

    def _send_probes(self) -> None:
        """Sends due probes to avoided replicas.

        Probes are sent in addition to the query's own attempts. The query does
        not wait for them, so probing a straggler adds no latency.
        """
        health = self._coordinator.health
        if not health.has_avoided_replica(self._services):
            return
        now_s = self._coordinator.now()
        for shard, replicas in self._untried_replicas.items():
            for replica in replicas:
                if (
                    health.is_probe_due(replica, now_s)
                    and self._coordinator.budget.take_probe()
                ):
                    health.record_probe(replica, now_s)
                    self._coordinator.send_probe(self, shard, replica)

    def _send_attempts(
        self,
        shards: Iterable[model.Shard],
        hedge: bool,
        targets: dict[model.Shard, list[str]] | None = None,
    ) -> int:
        """Requests shards from untried replicas, with one attempt per replica.

        Returns:
            The number of sub-requests sent.
        """
        by_replica: dict[tuple[str, str], list[model.Shard]] = {}
        chosen_by_service: dict[str, set[str]] = {}
        now_s = self._coordinator.now()
        for shard in shards:
            candidates = (targets or self._untried_replicas)[shard]
            if not candidates:
                self._give_up(shard, merge_lib.LackingReason.NO_REPLICA)
                continue
            chosen = chosen_by_service.setdefault(shard.service, set())
            replica = self._coordinator.selector.choose(
                self.query.snapshot,
                self.version,
                self.query.rank,
                candidates,
                now_s,
                chosen,
            )
            chosen.add(replica)
            self._untried_replicas[shard].remove(replica)
            by_replica.setdefault((shard.service, replica), []).append(shard)
        count = 0
        for (service, replica), wanted in by_replica.items():
            if self._send_attempt(service, replica, tuple(wanted), hedge):
                count += 1
            else:
                self._retry(wanted, merge_lib.LackingReason.NO_DISPATCHER)
        return count

    def _send_attempt(
        self,
        service: str,
        replica: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> Attempt | None:
        dispatcher = self._coordinator.dispatcher_for(self, replica)
        if dispatcher is None:
            return None
        attempt = self._coordinator.send_attempt(
            self, service, replica, dispatcher, shards, hedge
        )
        if attempt is None:
            return None
        if self._coordinator.hedging:
            attempt.hedge_due_s = attempt.sent_s + attempt.hedge_delay_s
        attempt.silence_check_s = attempt.sent_s + max(
            _DISPATCHER_SILENCE_S,
            _PRESUMED_FAILED_FACTOR * attempt.hedge_delay_s,
        )
        self.sent += 1
        self._attempts_by_number[attempt.number] = attempt
        for shard in shards:
            self._attempts_by_shard[shard].append(attempt)
        return attempt

    def _remove(self, number: int) -> Attempt | None:
        attempt = self._attempts_by_number.pop(number, None)
        if attempt is not None:
            for shard in attempt.shards:
                self._attempts_by_shard[shard].remove(attempt)
        return attempt

    def _cancel_redundant(self, winner: Attempt) -> None:
        redundant = {
            attempt.number: attempt
            for shard in winner.shards
            for attempt in self._attempts_by_shard[shard]
            if not any(self.merge.is_open(item) for item in attempt.shards)
        }
        for number, attempt in redundant.items():
            self._remove(number)
            if attempt.sent_s < winner.sent_s:
                self._coordinator.record_late_attempt(
                    attempt, self._fault_detected
                )
        if redundant:
            self._coordinator.cancel(redundant.values())

    def _retry(
        self, shards: Iterable[model.Shard], reason: str, refused: bool = False
    ) -> None:
        """Retries open shards that have no other attempt in flight.

        Shards that cannot be retried are given up for the reason.
        """
        for shard in shards:
            if not self.merge.is_open(shard) or self._attempts_by_shard[shard]:
                continue
            if not self._untried_replicas[shard]:
                if refused:
                    self._refused_shards.add(shard)
                self._give_up(shard, reason)
            elif refused and not self._has_free_slot(shard):
                # The service is overloaded; another attempt would add load.
                self._refused_shards.add(shard)
                self._give_up(shard, reason)
            else:
                self._pending_retries[shard] = reason
        self._send_pending_retries()

    def _has_free_slot(self, shard: model.Shard) -> bool:
        """Whether an untried replica is known to have a free slot."""
        health = self._coordinator.health
        rank = self.query.rank
        now_s = self._coordinator.now()
        return any(
            health.has_free_slot(replica, rank, now_s)
            and not health.is_avoided(replica, now_s)
            for replica in self._untried_replicas[shard]
        )

    def _send_pending_retries(self) -> None:
        """Sends as many pending retries as the budget allows."""
        while self._pending_retries and self._coordinator.budget.take_retry():
            shard = next(iter(self._pending_retries))
            batch = [
                item
                for item in self._pending_retries
                if item.service == shard.service
                and self._untried_replicas[item]
                == self._untried_replicas[shard]
            ]
            for item in batch:
                del self._pending_retries[item]
            self.retries += self._send_attempts(batch, hedge=False)

    def _give_up(self, shard: model.Shard, reason: str) -> None:
        if shard in self._wrong_version_shards:
            # Setting the flag ends the run. A restart is expected to cover
            # every shard, so further answers for this version would probably
            # not be used.
            self.version_unavailable = (
                self.version_unavailable or self._coordinator.may_restart(self)
            )
            reason = messages.Outcome.WRONG_VERSION.value
        self.merge.give_up(shard, reason)

    def _resend(self, attempt: Attempt) -> None:
        dispatcher = self._coordinator.dispatcher_for(self, attempt.replica)
        if dispatcher in (None, attempt.dispatcher):
            return
        self._remove(attempt.number)
        self._coordinator.cancel([attempt])
        shards = tuple(
            shard for shard in attempt.shards if self.merge.is_open(shard)
        )
        if not shards:
            return
        if self._send_attempt(
            attempt.service, attempt.replica, shards, hedge=False
        ):
            self.resent += 1
        else:
            self._retry(shards, merge_lib.LackingReason.NO_DISPATCHER)

    def _on_timer(self) -> None:
        """Performs the actions that are due and sets the next timer."""
        self._timer = None
        self._timer_s = math.inf
        if self._finished.done():
            return
        now_s = self._coordinator.now()
        if now_s >= self.end_s:
            self._finished.set_result(None)
            return
        self._send_pending_retries()
        self._hedge_late(now_s)
        self._resend_silent(now_s)
        self._give_up_stragglers(now_s)
        self._check_completion()
        self._set_timer()

    def _set_timer(self) -> None:
        """Sets the timer to the next time at which something is due."""
        if self._finished.done():
            return
        now_s = self._coordinator.now()
        next_s = self.end_s
        if self._pending_retries:
            next_s = min(next_s, now_s + _RETRY_POLL_S)
        prefers_time = self.query.prefer == "time"
        for attempt in self._attempts_by_number.values():
            next_s = min(next_s, attempt.hedge_due_s, attempt.silence_check_s)
            if prefers_time and attempt.hedge_due_s == math.inf:
                straggler_time_s = self._straggler_time_s(attempt)
                if straggler_time_s > now_s:
                    next_s = min(next_s, straggler_time_s)
        if self._timer is not None and self._timer_s <= next_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        # Within the timer resolution before the end, the timer is set to the
        # end itself. An earlier timer would be set again and again.
        delay_s = max(
            next_s - now_s, min(_TIMER_RESOLUTION_S, self.end_s - now_s)
        )
        self._timer_s = now_s + delay_s
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, delay_s), self._on_timer
        )

    def _hedge_late(self, now_s: float) -> None:
        late = [
            attempt
            for attempt in self._attempts_by_number.values()
            if attempt.hedge_due_s <= now_s
        ]
        if not late:
            return
        # Attempts that have been hedged still count as late. Otherwise a fault
        # would be detected only if enough attempts without a hedge were late at
        # the same time.
        self._late_attempt_numbers.update(attempt.number for attempt in late)
        if len(self._late_attempt_numbers) >= max(
            _FAULT_MIN_LATE_ATTEMPTS, _FAULT_LATE_RATIO * self.sent
        ):
            self._fault_detected = True
        health = self._coordinator.health
        fault = self._fault_detected or health.has_avoided_replica(
            self._services
        )
        for attempt in late:
            self._hedge(attempt, now_s, fault)

    def _hedge(self, attempt: Attempt, now_s: float, fault: bool) -> None:
        """Hedges a late attempt if a replica and the budget allow it.

        Only shards whose newest attempt is this one are hedged.
        """
        attempt.hedge_due_s = now_s + max(
            _TIMER_RESOLUTION_S, attempt.hedge_delay_s / 2
        )
        pending = [
            shard
            for shard in attempt.shards
            if self.merge.is_open(shard)
            and self._attempts_by_shard[shard][-1] is attempt
        ]
        if not any(self._untried_replicas[shard] for shard in pending):
            attempt.hedge_due_s = math.inf
            return
        waited_s = now_s - attempt.sent_s - attempt.queue_delay_s
        presumed_failed = (
            waited_s > _PRESUMED_FAILED_FACTOR * attempt.hedge_delay_s
        )
        if presumed_failed:
            self._coordinator.record_late_attempt(attempt, decisive=True)
        if self._coordinator.health.is_avoided(attempt.replica, now_s):
            presumed_failed = True
        targets = {}
        for shard in pending:
            eligible = self._hedge_targets(
                attempt, shard, now_s, presumed_failed
            )
            if eligible:
                targets[shard] = eligible
        if not targets:
            return
        budget = self._coordinator.budget
        # A hedge of an attempt that is presumed failed may use the token of a
        # retry.
        if budget.take_hedge(fault) or (
            presumed_failed and budget.take_retry()
        ):
            self.hedges += self._send_attempts(list(targets), True, targets)
            attempt.hedge_due_s = math.inf
        else:
            attempt.hedge_due_s = now_s + max(
                _HEDGE_RETRY_MIN_S, attempt.hedge_delay_s / 4
            )

    def _hedge_targets(
        self,
        attempt: Attempt,
        shard: model.Shard,
        now_s: float,
        presumed_failed: bool,
    ) -> list[str]:
        selector = self._coordinator.selector
        health = self._coordinator.health
        rank = self.query.rank
        if health.has_long_queue_due_to_load(attempt.replica, rank, now_s):
            return []
        if health.refused_recently(
            attempt.replica, now_s
        ) and not health.is_avoided(attempt.replica, now_s):
            # The attempt is late because of load.
            return []
        untried = [
            replica
            for replica in self._untried_replicas[shard]
            if not health.refused_recently(replica, now_s)
        ]
        targets = selector.eligible(
            self.query.snapshot, self.version, untried, now_s
        )
        if not targets and presumed_failed:
            targets = untried
        return selector.without_long_queue(targets, rank, now_s)

    def _resend_silent(self, now_s: float) -> None:
        for attempt in list(self._attempts_by_number.values()):
            if attempt.silence_check_s > now_s:
                continue
            attempt.silence_check_s = math.inf
            if (
                self._coordinator.is_dispatcher_silent(attempt)
                and self._coordinator.budget.take_retry()
            ):
                self._resend(attempt)

    def _straggler_time_s(self, attempt: Attempt) -> float:
        return (
            attempt.sent_s
            + attempt.queue_delay_s
            + max(_STRAGGLER_MIN_S, _STRAGGLER_FACTOR * attempt.hedge_delay_s)
        )

    def _give_up_stragglers(self, now_s: float) -> None:
        """Gives up the remaining shards if time is preferred over coverage.

        This is done only if the minimum coverage is met, every replica of every
        open shard has been tried, and every remaining attempt is a straggler.
        The announced queue delay of an attempt is not counted.
        """
        if self.query.prefer != "time" or self._pending_retries:
            return
        covered = len(self.merge.results)
        if not covered or covered < self.query.min_coverage * self.merge.total:
            return
        for shard in self.merge.open_shards:
            if self._untried_replicas[shard] or any(
                self._straggler_time_s(attempt) > now_s
                for attempt in self._attempts_by_shard[shard]
            ):
                return
        for shard in self.merge.open_shards:
            self.merge.give_up(shard, merge_lib.LackingReason.STRAGGLER)

    def _check_completion(self) -> None:
        if self._finished.done():
            return
        below_minimum = self.merge.max_coverage < self.query.min_coverage
        if self.merge.settled or self.version_unavailable or below_minimum:
            self._finished.set_result(None)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        attempts = list(self._attempts_by_number.values())
        self._attempts_by_number.clear()
        for attempt in attempts:
            self._coordinator.record_late_attempt(attempt, decisive=False)
        self._coordinator.cancel(attempts)
