"""Scatter-gather of one request over all shards of a route."""

import collections
from collections.abc import Sequence
import dataclasses
import math
from typing import Protocol

from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import batching
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import merge
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.routes import selection
from mallowloft.routes.placement import outcomes

# If more shards are late at once than the larger of these two limits, this
# instance's own link or processor is assumed to be congested. Hedges are then
# postponed until _CONGESTION_DELAY_FACTOR hedge delays after the request
# started: the link of a small instance needs that long to receive 90 parts.
_CONGESTION_MIN_LATE_SHARDS = 3
_CONGESTION_LATE_SHARE = 0.15
_CONGESTION_DELAY_FACTOR = 2.0
# The delay before a hedge is at most this share of the time until a partial
# answer is due, so that the hedge has as much time as the first attempt.
_MAX_HEDGE_DELAY_SHARE = 0.5
# If this many attempts are cut off before any part arrives, the request may
# crash replicas. Further retries wait until this time has shown whether the
# replicas have ended.
_MAX_CUT_OFF = 3
_CRASH_CHECK_S = 0.005
# A rejection by a full replica takes about a round trip. This share of the
# objective leaves room for it, also at replicas in other failure domains.
_MAX_REJECTION_WAIT_SHARE = 0.1
# Sending one attempt takes some 30 us of processor time.
_SENDS_PER_ITERATION = 24
_CONTENT_TYPE = (b"content-type", b"application/octet-stream")


_Attempt = attempts_lib.Attempt | batching.Attempt


@dataclasses.dataclass(slots=True)
class _ShardState:
    """Attempts for one shard whose part has not arrived.

    Attributes:
        service: Service that holds the shard.
        tried: Replicas that were chosen for attempts.
        unsent: How many of these attempts ended before they were sent. They
            have not run, so the limit of the route does not count them.
        in_flight: Attempts in flight.
        hedge_due_s: Loop time at which a hedge is considered next.
        failure: Why the last attempt failed or no first attempt was sent; empty
            if neither is the case.
        exhausted: Whether no further attempt follows the ones in flight.
    """

    service: str
    tried: list[directory_lib.ReplicaEntry] = dataclasses.field(
        default_factory=list
    )
    unsent: int = 0
    in_flight: list[_Attempt] = dataclasses.field(default_factory=list)
    hedge_due_s: float = math.inf
    failure: str = ""
    exhausted: bool = False

    @property
    def used_attempts(self) -> int:
        """Number of replicas that may have run the request."""
        return len(self.tried) - self.unsent


class ExtraGuard(Protocol):
    """Decides whether a request that was passed on still may be extended.

    Its sender cancels it and asks another instance if it is not acknowledged
    in time. Until then this instance sends only the first attempt for a shard,
    so that the attempts of all instances stay within the limit of the route.
    """

    allowed_from_s: float

    def allows_extra(self) -> bool:
        """Whether hedges and retries may be sent now."""


class ScatterGather(running.RequestTask):
    """Queries one replica of each shard and merges the parts.

    Hedges late attempts and retries failed attempts.
    """

    def __init__(
        self,
        context: running.Context,
        request_context: running.RequestContext,
        previous_attempts: int = 0,
        extra_guard: ExtraGuard | None = None,
    ) -> None:
        """Creates a scatter-gather request that has not been started.

        Args:
            context: Parts of the service that all running requests share.
            request_context: The request.
            previous_attempts: How many attempts for each shard other instances
                may have sent already. If there are any, first attempts also
                take a token for an extra attempt.
            extra_guard: Decides when hedges and retries may be sent; by
                default always.
        """
        super().__init__(context, request_context)
        self._repeated = previous_attempts > 0
        self._extra_guard = extra_guard
        self._max_attempts = max(
            1, request_context.route.max_attempts - previous_attempts
        )
        self._parts: dict[str, model.Reply] = {}
        # Parts that collectors merged; a shard is in one group or in `_parts`.
        self._groups: list[batching.Group] = []
        self._batches: list[batching.Batch] = []
        # Retries that wait until the request may be extended.
        self._postponed_count = 0
        self._cut_off_count = 0
        # Retries that wait for a part, which shows that the request crashes no
        # replicas.
        self._held: list[tuple[_ShardState, attempts_lib.Outcome]] = []
        # First attempts that are still to be sent.
        self._unsent: list[batching.Choice] = []
        self._pending_shards: dict[str, _ShardState] = {}
        objective_s = request_context.route.objective_s
        # Loop time from which a partial answer is sent.
        self._partial_answer_s = min(
            request_context.end_s,
            request_context.answer_by_s
            - context.response_delays.merge_s(objective_s)
            - context.response_delays.write_s(objective_s),
        )
        self._timer_due_s = math.inf
        self._hedge_delay_s = min(
            request_context.latency.hedge_delay_s,
            _MAX_HEDGE_DELAY_SHARE
            * (self._partial_answer_s - request_context.started_s),
        )
        # More late shards than this at once indicate a local delay.
        self._congestion_threshold = max(
            _CONGESTION_MIN_LATE_SHARDS,
            int(_CONGESTION_LATE_SHARE * len(request_context.route.shards)),
        )
        self._congestion_end_s = (
            request_context.started_s
            + _CONGESTION_DELAY_FACTOR * self._hedge_delay_s
        )
        # Attempts in flight for pending shards.
        self._in_flight_count = 0
        # Shards whose parts cannot arrive any more.
        self._exhausted_count = 0
        # Loop time by which the request fails, once too few parts can arrive.
        self._give_up_s = math.inf
        # Whether an attempt that has ended may have run at a replica.
        self._may_have_run = False
        # Number of shards with a reachable, usable replica.
        self._coverable_shards = 0
        self._unreachable_domains: frozenset[str] = frozenset()
        self.sent = 0

    def _start(self) -> None:
        now_s = self._loop.time()
        directory = self._context.directory
        self._unreachable_domains = directory.reach.unreachable_domains()
        coverable_in_s = reach.coverable_in_s(
            self._route, directory, self._unreachable_domains, now_s
        )
        self._coverable_shards = coverable_in_s.count(0.0)
        if self._coverable_shards < self._route.needed_shards:
            evacuated = reach.count_evacuated(
                self._route.shards, directory, now_s, self._unreachable_domains
            )
            covered = len(coverable_in_s) - coverable_in_s.count(math.inf)
            self._finish(
                running.refuse_unusable(
                    coverable_in_s[self._route.needed_shards - 1],
                    running.EVACUATED
                    if covered + evacuated >= self._route.needed_shards
                    else "not_coverable",
                )
            )
            return
        for service in self._route.shards:
            if not self._repeated:
                self._context.extra_attempts(service).refill(now_s)
            self._pending_shards[service] = _ShardState(service)
        choices = [
            choice
            for shard in self._pending_shards.values()
            if (choice := self._choose_first(shard, now_s)) is not None
        ]
        plan = batching.plan(
            choices, self._context.collect_above, self._choose_collectors, now_s
        )
        for collector, members in plan.batches:
            self._send_batch(collector, members, now_s)
        self._unsent = list(plan.direct[::-1])
        self._send_unsent()

    def _send_unsent(self) -> None:
        """Sends first attempts, some in each iteration of the event loop.

        So acknowledgements and replies of other requests are not delayed by
        the time that it takes to send all.
        """
        now_s = self._loop.time()
        for _ in range(min(_SENDS_PER_ITERATION, len(self._unsent))):
            # An attempt that ends at once may end the request.
            if self.done.done():
                return
            if not self._unsent:
                break
            choice = self._unsent.pop()
            shard = self._pending_shards[choice.service]
            entry = choice.entry
            if not entry.admits(now_s):
                # This became so after the replica was chosen.
                entry = self._choose_next(
                    shard, now_s, healthy_only=False, extra=False
                )
            if entry is None:
                shard.failure = "no_replica"
                self._mark_exhausted(shard)
            else:
                self._send(shard, entry, now_s, choice.reason)
        if self.done.done():
            return
        if self._unsent:
            self._loop.call_soon(self._send_unsent)
        else:
            self._finish_if_decided(now_s)
        if self._timer is None and not self.done.done():
            self._schedule_timer(now_s)

    def _choose_first(
        self, shard: _ShardState, now_s: float
    ) -> batching.Choice | None:
        """Returns the replica for a first attempt, None to send none."""
        entry = self._context.selector.choose(
            self._context.directory.entries_for(self._route, shard.service),
            now_s,
            latency=self._request_context.latency,
            first_rank=self._route.rank,
        )
        reason = self._context.selector.reason
        if entry is None:
            shard.failure = "no_replica"
            self._mark_exhausted(shard)
            return None
        if self._repeated:
            if not self._context.extra_attempts(shard.service).take_retry():
                self.denied += 1
                shard.failure = "denied"
                self._mark_exhausted(shard)
                return None
            self.retries += 1
        return batching.Choice(shard.service, entry, reason)

    def _choose_collectors(
        self, failure_domain: str, count: int
    ) -> Sequence[directory_lib.ReplicaEntry]:
        """Returns collectors if batches leave enough of the objective."""
        if not self._context.batch_overheads.acceptable(
            failure_domain, self._route.objective_s
        ):
            return ()
        homes = self._context.directory.homes
        if not homes.allows_instance(self._route, failure_domain):
            return ()
        return self._context.choose_collectors(failure_domain, count)

    def _send_batch(
        self,
        collector: directory_lib.ReplicaEntry,
        choices: Sequence[batching.Choice],
        now_s: float,
    ) -> None:
        context = self._context
        latency = self._request_context.latency
        batch = batching.Batch(
            collector,
            choices,
            self._route.objective_s,
            self._request_context.end_s,
            self,
            lambda attempt, outcome, duration_s: context.sender.record(
                attempt, outcome, duration_s, latency, is_direct=False
            ),
            context.directory.reach,
            context.batch_overheads,
            context.sender.record_signals,
            self._allows,
        )
        self._batches.append(batch)
        hedge_due_s = self._earliest_hedge_s(
            now_s
            + self._hedge_delay_s
            + context.batch_overheads.overhead_s(
                collector.replica.failure_domain
            )
        )
        for attempt in batch.attempts:
            shard = self._pending_shards[attempt.service]
            shard.tried.append(attempt.entry)
            shard.in_flight.append(attempt)
            shard.hedge_due_s = hedge_due_s
        self._in_flight_count += len(batch.attempts)
        self.sent += len(batch.attempts)
        batch.send(
            self._request_context.outgoing.request,
            self._route,
            self._hedge_delay_s,
            latency.median_s,
        )

    def _earliest_hedge_s(self, due_s: float) -> float:
        """Returns the time of a hedge, which the guard may postpone."""
        if self._extra_guard is None:
            return due_s
        return max(due_s, self._extra_guard.allowed_from_s)

    def on_group(self, group: batching.Group) -> None:
        """Takes parts that a collector merged.

        If a hedge was faster for one of the shards, its part is discarded,
        because the merged records cannot be separated.
        """
        self._may_have_run = True
        if self.done.done():
            return
        for service in group.services:
            shard = self._pending_shards.pop(service, None)
            if shard is None:
                self._parts.pop(service, None)
            else:
                self._release_attempts(shard)
        self._groups.append(group)
        self._send_held()
        self._finish_if_decided(self._loop.time())

    def on_attempt_failed(
        self, attempt: batching.Attempt, outcome: attempts_lib.Outcome
    ) -> None:
        """Retries an attempt that failed at a collector."""
        shard = self._pending_shards.get(attempt.service)
        if shard is None:
            return
        if outcome is model.Failure.UNSENT and attempt.entry.signals.restricted(
            self._loop.time()
        ):
            # The collector knew that the replica wants fewer requests.
            shard.tried.remove(attempt.entry)
        self._on_replica_end(shard, attempt, outcome)

    def on_batch_failed(
        self, attempts: Sequence[batching.Attempt], may_have_run: bool
    ) -> None:
        """Sends the attempts that a failed collector owes to replicas."""
        outcome = model.Failure.UNSENT
        if may_have_run:
            outcome = model.Failure.BROKEN
        for attempt in attempts:
            shard = self._pending_shards.get(attempt.service)
            if shard is None:
                continue
            if not may_have_run and not running.was_withheld(attempt, outcome):
                shard.tried.remove(attempt.entry)
            self._on_end(shard, attempt, outcome)

    def _release_attempts(self, shard: _ShardState) -> None:
        """Stops waiting for the attempts of a shard whose part has arrived."""
        in_flight, shard.in_flight = shard.in_flight, []
        self._in_flight_count -= len(in_flight)
        for attempt in in_flight:
            attempt.release()

    def _send(
        self,
        shard: _ShardState,
        entry: directory_lib.ReplicaEntry,
        now_s: float,
        reason: str,
    ) -> None:
        shard.tried.append(entry)
        shard.hedge_due_s = self._earliest_hedge_s(now_s + self._hedge_delay_s)
        self.sent += 1
        attempt = self._context.sender.start(
            entry,
            self._request_context.outgoing,
            self._request_context.end_s,
            self._request_context.latency,
            lambda attempt, outcome: self._on_replica_end(
                shard, attempt, outcome
            ),
            reason,
            self._allows,
        )
        if attempt.pending:
            shard.in_flight.append(attempt)
            self._in_flight_count += 1

    def _on_replica_end(
        self,
        shard: _ShardState,
        attempt: _Attempt,
        outcome: attempts_lib.Outcome,
    ) -> None:
        """Handles the outcome of an attempt that a replica has caused."""
        self._cut_off_count += outcome is model.Failure.BROKEN
        self._on_end(shard, attempt, outcome)

    def _on_end(
        self,
        shard: _ShardState,
        attempt: _Attempt,
        outcome: attempts_lib.Outcome,
    ) -> None:
        self._may_have_run = self._may_have_run or outcomes.may_have_run(
            outcome
        )
        if attempt in shard.in_flight:
            shard.in_flight.remove(attempt)
            self._in_flight_count -= 1
        if running.was_withheld(attempt, outcome):
            self._discard_unsent(shard, attempt)
        if self.done.done() or shard.service not in self._pending_shards:
            return
        if isinstance(outcome, model.Reply) and outcome.success:
            self._parts[shard.service] = outcome
            del self._pending_shards[shard.service]
            self._release_attempts(shard)
            self._send_held()
        else:
            self._on_failure(shard, attempt, outcome)
        self._finish_if_decided(self._loop.time())

    def _is_exhausted(self, shard: _ShardState) -> bool:
        """Whether the route allows no further attempt for a shard."""
        return shard.used_attempts >= self._max_attempts

    def _discard_unsent(self, shard: _ShardState, attempt: _Attempt) -> None:
        """Makes an attempt not count that was not allowed any more."""
        self.sent -= 1
        if attempt.entry in shard.tried:
            shard.tried.remove(attempt.entry)

    def _on_failure(
        self,
        shard: _ShardState,
        attempt: _Attempt,
        outcome: attempts_lib.Outcome,
    ) -> None:
        shard.failure = running.outcome_label(outcome)
        if outcome is model.Failure.UNSENT and attempt.entry in shard.tried:
            shard.unsent += 1
        if attempt.entry.evacuated and outcome is model.Failure.UNSENT:
            shard.failure = running.EVACUATED
        # A hedge that was withheld is replaced, since it has taken its token.
        if shard.in_flight and not running.was_withheld(attempt, outcome):
            return
        if not self._covered and self._cut_off_count >= _MAX_CUT_OFF:
            due_s = self._loop.time() + _CRASH_CHECK_S
            self._postpone_retry(shard, outcome, due_s)
        else:
            self._retry(shard, outcome)

    def _retry(self, shard: _ShardState, outcome: attempts_lib.Outcome) -> None:
        """Sends a further attempt for a shard if the request may have one."""
        now_s = self._loop.time()
        unsent = outcome is model.Failure.UNSENT
        guard = self._extra_guard
        if not unsent and guard is not None and now_s < guard.allowed_from_s:
            self._postpone_retry(shard, outcome, guard.allowed_from_s)
            return
        entry = self._choose_next(
            shard, now_s, healthy_only=False, extra=not unsent
        )
        if entry is None:
            self._mark_exhausted(shard)
            return
        if unsent or self._context.extra_attempts(shard.service).take_retry():
            self.retries += 1
            self._send(shard, entry, now_s, selection.RETRY)
        else:
            self.denied += 1
            self._mark_exhausted(shard)

    def _mark_exhausted(self, shard: _ShardState) -> None:
        """Records that no part of a shard can arrive any more.

        A replaced hedge may leave another attempt in flight.
        """
        if not shard.exhausted and not shard.in_flight:
            shard.exhausted = True
            self._exhausted_count += 1

    def _is_out_of_reach(self) -> bool:
        """Whether too many shards have used all their attempts."""
        reachable = len(self._route.shards) - self._exhausted_count
        return reachable < self._route.needed_shards

    def _gives_up(self, now_s: float) -> bool:
        """Whether the request ends because too few parts can arrive.

        If no attempt is known to have run, the replies to those that were
        written are awaited for a moment: when all replicas are full, all of
        them say that the request was not run, and the caller may repeat it.
        """
        if not self._is_out_of_reach():
            return False
        if self._may_have_run:
            return True
        if math.isinf(self._give_up_s):
            self._give_up_s = now_s + min(
                self._request_context.latency.median_s,
                _MAX_REJECTION_WAIT_SHARE * self._route.objective_s,
            )
            self._drop_unsent()
            if self._timer is not None:
                self._timer.cancel()
                self._schedule_timer(now_s)
        return not self._in_flight_count or now_s >= self._give_up_s

    def _drop_unsent(self) -> None:
        """Cancels the attempts that no connection has taken."""
        self._unsent.clear()
        for shard in self._pending_shards.values():
            for attempt in list(shard.in_flight):
                if not attempt.sent:
                    shard.in_flight.remove(attempt)
                    self._in_flight_count -= 1
                    attempt.release()

    def _postpone_retry(
        self, shard: _ShardState, outcome: attempts_lib.Outcome, due_s: float
    ) -> None:
        """Retries a shard once its request may be extended."""
        self._postponed_count += 1

        def retry() -> None:
            self._postponed_count -= 1
            if self.done.done() or shard.service not in self._pending_shards:
                return
            if self._may_crash_replicas():
                shard.failure = "held"
                self._held.append((shard, outcome))
            elif not shard.in_flight:
                self._retry(shard, outcome)
            self._finish_if_decided(self._loop.time())

        self._loop.call_at(due_s, retry)

    def _may_crash_replicas(self) -> bool:
        """Whether replicas ended under the request and none gave a part."""
        crashes = self._context.crashes
        fingerprint = self._request_context.outgoing.fingerprint
        return not self._covered and (
            crashes.count_crashes(fingerprint) >= _MAX_CUT_OFF
        )

    def _send_held(self) -> None:
        held, self._held = self._held, []
        for shard, outcome in held:
            if shard.service in self._pending_shards and not shard.in_flight:
                self._retry(shard, outcome)

    def _choose_next(
        self,
        shard: _ShardState,
        now_s: float,
        healthy_only: bool,
        extra: bool = True,
    ) -> directory_lib.ReplicaEntry | None:
        """Returns the replica for a further attempt, None to send none.

        Args:
            shard: The shard.
            now_s: Current loop time.
            healthy_only: Whether only healthy replicas are considered.
            extra: Whether an earlier attempt may have reached a replica.
        """
        if self._is_exhausted(shard) or self._refused_for_s():
            return None
        if now_s >= self._request_context.end_s:
            return None
        if not math.isinf(self._give_up_s):
            return None
        guard = self._extra_guard
        if extra and guard is not None and not guard.allows_extra():
            return None
        entries = self._context.directory.entries_for(
            self._route, shard.service
        )
        return self._context.selector.choose(
            entries,
            now_s,
            shard.tried,
            healthy_only,
            self._request_context.latency,
        )

    def _on_timer(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        for batch in self._batches:
            if batch.awaits_ack and now_s >= batch.ack_due_s:
                self._replace_batch(batch, now_s)
        if self.done.done():
            return
        late = [
            shard
            for shard in self._pending_shards.values()
            if shard.hedge_due_s <= now_s and shard.in_flight
        ]
        if (
            self._count_causes(late) > self._congestion_threshold
            and now_s < self._congestion_end_s
        ):
            # The delay is on this instance's link or processor, and hedges
            # would prolong it.
            for shard in late:
                shard.hedge_due_s = now_s + self._hedge_delay_s / 4
        else:
            for shard in late:
                self._hedge(shard, now_s)
        self._finish_if_decided(now_s)
        if not self.done.done():
            self._schedule_timer(now_s)
        elif self._timer_due_s == self._partial_answer_s:
            self._context.response_delays.record_merge(
                self._loop.time() - self._partial_answer_s
            )

    def _count_causes(self, late: Sequence[_ShardState]) -> int:
        """Returns how many replicas and collectors make shards late."""
        collectors = {
            attempt.batch.collector
            for shard in late
            for attempt in shard.in_flight
            if isinstance(attempt, batching.Attempt)
            and not attempt.batch.replied
        }
        direct = sum(
            not any(
                isinstance(attempt, batching.Attempt)
                and not attempt.batch.replied
                for attempt in shard.in_flight
            )
            for shard in late
        )
        return direct + len(collectors)

    def _replace_batch(self, batch: batching.Batch, now_s: float) -> None:
        """Hedges all attempts of a batch that its collector has not read.

        Parts that the collector still returns count.
        """
        if batch.withdraw_if_withheld():
            return
        batch.mark_unresponsive(now_s)
        for attempt in batch.attempts:
            shard = self._pending_shards.get(attempt.service)
            if shard is not None and attempt.pending:
                self._send_hedge(shard, now_s, urgent=True)

    def _hedge(self, shard: _ShardState, now_s: float) -> None:
        for attempt in shard.in_flight:
            attempt.mark_late(now_s)
        self._send_hedge(shard, now_s)

    def _send_hedge(
        self, shard: _ShardState, now_s: float, urgent: bool = False
    ) -> None:
        """Sends a hedge if there are a healthy replica and a token.

        Args:
            shard: The shard whose attempts are late.
            now_s: Current loop time.
            urgent: Whether no reply is expected, so that the hedge may use
                tokens that are reserved for retries.
        """
        shard.hedge_due_s = now_s + self._hedge_delay_s / 2
        entry = self._choose_next(shard, now_s, healthy_only=True)
        if entry is None:
            if self._is_exhausted(shard):
                shard.hedge_due_s = math.inf
            return
        extra = self._context.extra_attempts(shard.service)
        if urgent:
            allowed = extra.take_retry()
        else:
            allowed = running.take_hedge(extra, shard.in_flight, now_s)
        if allowed:
            self.hedges += 1
            self._send(shard, entry, now_s, selection.HEDGE)
        else:
            self.denied += 1

    def _schedule_timer(self, now_s: float) -> None:
        due_s = min(
            (
                shard.hedge_due_s
                for shard in self._pending_shards.values()
                if shard.in_flight
            ),
            default=math.inf,
        )
        for batch in self._batches:
            if batch.awaits_ack:
                due_s = min(due_s, batch.ack_due_s)
        if now_s < self._partial_answer_s:
            due_s = min(due_s, self._partial_answer_s)
        due_s = min(due_s, self._request_context.end_s, self._give_up_s)
        self._timer_due_s = due_s
        self._timer = self._loop.call_at(due_s, self._on_timer)

    def _finish_if_decided(self, now_s: float) -> None:
        """Finishes the request if no further part is awaited.

        This is the case if no part can still arrive, if enough parts have
        arrived and the partial answer is due, if enough parts cannot arrive any
        more, or at the deadline.
        """
        if self.done.done():
            return
        # Without an attempt in flight no further part can arrive.
        none_in_flight = not (
            self._in_flight_count or self._unsent or self._postponed_count
        )
        sufficient = self._covered >= self._route.needed_shards
        timed_out = now_s >= self._request_context.end_s
        if sufficient and (
            none_in_flight or now_s >= self._partial_answer_s or timed_out
        ):
            self._finish(self._merged_answer())
        elif none_in_flight or timed_out or self._gives_up(now_s):
            self._finish(self._failure_answer(timed_out))

    @property
    def _covered(self) -> int:
        """Number of shards whose parts have arrived."""
        return len(self._parts) + sum(
            len(group.services) for group in self._groups
        )

    def _merged_answer(self) -> model.Answer:
        names = self._context.names
        signatures = [reply.signature for reply in self._parts.values()]
        bodies = [reply.body for reply in self._parts.values()]
        for group in self._groups:
            signatures += group.signatures
            bodies.append(group.records)
        body = merge.greatest(bodies, self._route.top_records)
        missing = len(self._pending_shards)
        return model.Answer(
            200,
            (
                (names.signatures, b", ".join(signatures)),
                (names.missing, b"%d" % missing),
                _CONTENT_TYPE,
            ),
            body,
            missing=missing,
        )

    def _expired_answer(self) -> model.Answer:
        if self._covered >= self._route.needed_shards:
            return self._merged_answer()
        return self._failure_answer(timed_out=True)

    def _failure_answer(self, timed_out: bool) -> model.Answer:
        if self._cannot_have_run():
            return self._refusal()
        if timed_out:
            return model.failure(504, "parts_late")
        return model.failure(502, "parts_failed")

    def _cannot_have_run(self) -> bool:
        """Whether no replica has run or will run the request."""
        return not self._may_have_run and not outcomes.any_sent(
            self._attempts()
        )

    def _refusal(self) -> model.Answer:
        """Returns the refusal of a request that no replica can have run."""
        if any(
            shard.failure == running.EVACUATED
            for shard in self._pending_shards.values()
        ):
            # The end of the evacuation is unknown.
            return model.refusal(
                running.EVACUATED, running.NO_REPLICA_RETRY_AFTER_S
            )
        retry_after_s = outcomes.retry_after_s(
            self._context.directory,
            self._route.shards,
            self._route.needed_shards,
            self._request_context.latency.median_s,
            self._loop.time(),
        )
        reason = "not_run" if self.sent else "no_replica"
        return model.refusal(reason, retry_after_s)

    def _attempts(self) -> list[_Attempt]:
        return [
            attempt
            for shard in self._pending_shards.values()
            for attempt in shard.in_flight
        ]

    def _count_reasons(self) -> collections.Counter[str]:
        """Returns why parts are missing, with the numbers of shards.

        `late_2` is a shard that two replicas were asked for.
        """
        return collections.Counter(
            shard.failure or f"late_{len(shard.tried)}"
            for shard in self._pending_shards.values()
        )

    def describe(self) -> dict[str, object]:
        """Returns the log fields that explain the answer."""
        pending_shards = list(self._pending_shards.values())
        return {
            "parts": self._covered,
            "shards": len(self._route.shards),
            "needed": self._route.needed_shards,
            "coverable": self._coverable_shards,
            "lost": ",".join(sorted(self._unreachable_domains)),
            "sent": self.sent,
            "hedges": self.hedges,
            "retries": self.retries,
            "denied": self.denied,
            "reasons": ",".join(
                f"{reason}:{count}"
                for reason, count in self._count_reasons().items()
            ),
            "batches": ",".join(batch.describe() for batch in self._batches),
            "lacking": ",".join(
                f"{shard.service}:{shard.failure or 'late'}"
                f"@{'+'.join(item.replica.id for item in shard.tried)}"
                for shard in pending_shards[:_MAX_LOGGED_SHARDS]
            ),
        }


# Maximum number of missing shards listed in one log line.
_MAX_LOGGED_SHARDS = 4
