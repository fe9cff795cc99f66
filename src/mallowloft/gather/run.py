"""One query over one pinned index version."""

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

# Timers closer together than this are served in one pass over the attempts.
_TICK_S = 0.0005
_RETRY_WAIT_S = 0.002
# A hedge that the budget denies is tried again soon: a moment later the query
# may show a fault, which frees saved tokens.
_DENIED_S = 0.001
# A query that itself shows this share of late attempts meets a fault: without
# one, 5% of attempts pass their p95.
_FAULT_SHARE = 0.15
_FAULT_MIN_LATE = 3
# An attempt this many times later than its p95 may go to a replica that is
# avoided, when no other is left.
_DESPERATE_FACTOR = 3.0
# `prefer=time` gives up a shard whose last attempt is this late.
_STRAGGLER_FACTOR = 8.0
_STRAGGLER_MIN_S = 0.05
# A live dispatcher answers something within this time.
_SILENCE_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A sub-request in flight.

    Attributes:
        dispatcher: Instance it was sent to.
        incarnation: That instance's incarnation, 0 if unknown.
        shards: Shards asked for.
        sent_s: When it was sent.
        late_s: After how long it is late.
        due_s: When a hedge is considered.
        silence_s: When the dispatcher's silence is considered.
        queue_s: Announced time in the dispatcher's queue.
    """

    number: int
    service: str
    replica: str
    dispatcher: str
    incarnation: int
    shards: tuple[model.Shard, ...]
    sent_s: float
    late_s: float
    due_s: float = math.inf
    silence_s: float = math.inf
    queue_s: float = 0.0


class Entry(Protocol):
    """What a run uses of the instance that accepted the query."""

    budget: budget_lib.Budget
    delays: hedging.HedgeDelays
    health: selection.ReplicaHealth
    selector: selection.Selector
    hedging: bool

    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def dispatcher_for(self, run: "Run", replica: str) -> str | None:
        """Returns the instance that dispatches for a replica."""

    def is_leaving(self, replica: str) -> bool:
        """Whether a replica must get no new work."""

    def is_gone(self, attempt: Attempt) -> bool:
        """Whether an attempt's dispatcher no longer exists."""

    def is_silent(self, attempt: Attempt) -> bool:
        """Whether its dispatcher has sent nothing since the attempt."""

    def post(
        self,
        run: "Run",
        service: str,
        replica: str,
        dispatcher: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> Attempt | None:
        """Sends a sub-request under a new attempt number."""

    def probe(self, run: "Run", shard: model.Shard, replica: str) -> None:
        """Sends a sub-request only to learn whether a replica is sound."""

    def lost_race(self, attempt: Attempt, decisive: bool) -> None:
        """Learns that an attempt was overtaken or never ended."""

    def may_restart(self, run: "Run") -> bool:
        """Whether another version may serve every shard in time."""

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Forgets attempts and cancels them at their dispatchers."""


class Run:
    """Gathers the shards of one query from one index version.

    Attributes:
        merge: What has been gathered.
        tried_versions: Versions that runs of the query have been pinned to,
            with this one.
        version_lost: Whether a shard cannot be served in this version.
        sent: Sub-requests sent, with hedges, retries and resent ones.
        hedges: Those sent because an attempt was late.
        retries: Those sent because an earlier one had failed.
        resent: Those sent because a dispatcher was gone.
        retry_after_ms: Longest time that a refusal names.
    """

    def __init__(
        self,
        entry: Entry,
        query: model.Query,
        index: config_model.Index,
        version: config_model.IndexVersion,
        end_s: float,
        tried_versions: frozenset[int] = frozenset(),
    ) -> None:
        self.query = query
        self.version = version.version
        self.tried_versions = tried_versions | {version.version}
        self.started_s = entry.now()
        self.end_s = end_s
        self.version_lost = False
        self.sent = 0
        self.hedges = 0
        self.retries = 0
        self.resent = 0
        self.retry_after_ms = 0.0
        self._entry = entry
        self._finished = asyncio.get_running_loop().create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = math.inf
        self._attempts_by_number: dict[int, Attempt] = {}
        self._services = query.snapshot.services_of(query.target)
        mapped, unmapped = pinning.shards_of(index, version, self._services)
        self.merge = merge_lib.Merge(self.version, [*mapped, *unmapped])
        self._untried = {
            shard: self._candidates(replicas)
            for shard, replicas in mapped.items()
        }
        self._attempts_by_shard: dict[model.Shard, list[Attempt]] = {
            shard: [] for shard in mapped
        }
        self._denied: set[model.Shard] = set()
        self._refused: set[model.Shard] = set()
        self._waiting: dict[model.Shard, str] = {}
        self._late_numbers: set[int] = set()
        self._met_fault = False
        for shard in unmapped:
            self.merge.give_up(shard, merge_lib.Lack.NO_SHARD_MAP)

    @property
    def refused(self) -> bool:
        """Whether every shard was refused."""
        lacking = self.merge.lacking.keys()
        return (
            bool(lacking) and self._refused >= lacking == self._untried.keys()
        )

    async def execute(self) -> None:
        """Queries every shard until all are settled or time is up."""
        try:
            self._probe()
            self._send(list(self._untried), hedge=False)
            self._earn()
            self._settle()
            self._tick()
            await self._finished
        finally:
            self._stop()
        reason = merge_lib.Lack.GIVEN_UP
        if self._entry.now() >= self.end_s:
            reason = merge_lib.Lack.DEADLINE
        for shard in self.merge.open_shards:
            self.merge.give_up(shard, reason)

    def on_reply(self, number: int, reply: messages.SubReply) -> None:
        """Takes the end of one attempt; unknown numbers are dropped."""
        attempt = self._remove(number)
        if attempt is None:
            return
        outcome = reply.outcome
        if outcome is messages.Outcome.OK:
            missing = self.merge.accept(reply, attempt.shards)
            self._cancel_losers(attempt)
            self._retry(missing, merge_lib.Lack.INVALID_ROWS)
        elif outcome in selection.REFUSALS:
            self.retry_after_ms = max(self.retry_after_ms, reply.retry_after_ms)
            self._retry(attempt.shards, outcome.value, refused=True)
        else:
            if outcome is messages.Outcome.WRONG_VERSION:
                self._denied.update(attempt.shards)
            self._retry(attempt.shards, outcome.value)
        self._settle()
        self._schedule()

    def on_queued(self, number: int, delay_ms: float) -> None:
        """Postpones the hedge of an attempt that waits at its dispatcher.

        When the announced delay and the p95 have passed and the attempt is
        still not answered, the queue alone does not explain it.
        """
        attempt = self._attempts_by_number.get(number)
        if attempt is None or attempt.due_s == math.inf:
            return
        if not self._entry.health.load_explains(
            attempt.replica, self.query.rank, delay_ms, self._entry.now()
        ):
            return
        attempt.queue_s = delay_ms / 1000
        attempt.due_s = self._entry.now() + attempt.queue_s + attempt.late_s

    def on_avoided(self, replica: str) -> None:
        """Makes the hedges of attempts due whose replica is avoided now."""
        now_s = self._entry.now()
        for attempt in self._attempts_by_number.values():
            if attempt.replica == replica and attempt.due_s < math.inf:
                attempt.due_s = min(attempt.due_s, now_s)
        self._schedule()

    def on_view_change(self) -> None:
        """Sends the attempts of dispatchers that are gone to the next ones."""
        for attempt in list(self._attempts_by_number.values()):
            if self._entry.is_gone(attempt):
                self._resend(attempt)
        self._settle()
        self._schedule()

    def _candidates(self, replicas: Iterable[str]) -> list[str]:
        known = self.query.snapshot.replicas_by_id
        return [
            replica
            for replica in dict.fromkeys(replicas)
            if replica in known
            and not known[replica].leaving
            and not self._entry.is_leaving(replica)
        ]

    def _earn(self) -> None:
        fleet = self.query.snapshot.fleet
        share = fleet.hedge_share
        if self._entry.health.at_fault(self._services):
            share = max(share, fleet.hedge_share_fault)
        self._entry.budget.earn(self.sent, share, fleet.hedge_share)

    def _probe(self) -> None:
        """Sends probes to avoided replicas beside the query's own attempts.

        The query does not wait for them, so that a probe of a straggler costs
        no latency.
        """
        health = self._entry.health
        if not health.at_fault(self._services):
            return
        now_s = self._entry.now()
        for shard, replicas in self._untried.items():
            for replica in replicas:
                if (
                    health.probe_due(replica, now_s)
                    and self._entry.budget.take_probe()
                ):
                    health.probe_sent(replica, now_s)
                    self._entry.probe(self, shard, replica)

    def _send(
        self,
        shards: Iterable[model.Shard],
        hedge: bool,
        targets: dict[model.Shard, list[str]] | None = None,
    ) -> int:
        """Sends shards to untried replicas, one sub-request per replica."""
        by_replica: dict[tuple[str, str], list[model.Shard]] = {}
        chosen_by_service: dict[str, set[str]] = {}
        now_s = self._entry.now()
        for shard in shards:
            candidates = (targets or self._untried)[shard]
            if not candidates:
                self._fail(shard, merge_lib.Lack.NO_REPLICA)
                continue
            chosen = chosen_by_service.setdefault(shard.service, set())
            replica = self._entry.selector.choose(
                self.query.snapshot,
                self.version,
                self.query.rank,
                candidates,
                now_s,
                chosen,
            )
            chosen.add(replica)
            self._untried[shard].remove(replica)
            by_replica.setdefault((shard.service, replica), []).append(shard)
        count = 0
        for (service, replica), wanted in by_replica.items():
            if self._post(service, replica, tuple(wanted), hedge):
                count += 1
            else:
                self._retry(wanted, merge_lib.Lack.NO_DISPATCHER)
        return count

    def _post(
        self,
        service: str,
        replica: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> Attempt | None:
        dispatcher = self._entry.dispatcher_for(self, replica)
        if dispatcher is None:
            return None
        attempt = self._entry.post(
            self, service, replica, dispatcher, shards, hedge
        )
        if attempt is None:
            return None
        if self._entry.hedging:
            attempt.due_s = attempt.sent_s + attempt.late_s
        attempt.silence_s = attempt.sent_s + max(
            _SILENCE_S, _DESPERATE_FACTOR * attempt.late_s
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

    def _cancel_losers(self, winner: Attempt) -> None:
        losers = {
            attempt.number: attempt
            for shard in winner.shards
            for attempt in self._attempts_by_shard[shard]
            if not any(self.merge.is_open(item) for item in attempt.shards)
        }
        for number, attempt in losers.items():
            self._remove(number)
            if attempt.sent_s < winner.sent_s:
                self._entry.lost_race(attempt, self._met_fault)
        if losers:
            self._entry.cancel(losers.values())

    def _retry(
        self, shards: Iterable[model.Shard], reason: str, refused: bool = False
    ) -> None:
        """Sends open shards without an attempt in flight elsewhere."""
        for shard in shards:
            if not self.merge.is_open(shard) or self._attempts_by_shard[shard]:
                continue
            if not self._untried[shard]:
                if refused:
                    self._refused.add(shard)
                self._fail(shard, reason)
            elif refused and not self._has_room(shard):
                # Another attempt would only add to the overload.
                self._refused.add(shard)
                self._fail(shard, reason)
            else:
                self._waiting[shard] = reason
        self._send_waiting()

    def _has_room(self, shard: model.Shard) -> bool:
        """Whether an untried replica is known to have a free slot."""
        health = self._entry.health
        rank = self.query.rank
        now_s = self._entry.now()
        return any(
            health.has_room(replica, rank, now_s)
            and not health.avoided(replica, now_s)
            for replica in self._untried[shard]
        )

    def _send_waiting(self) -> None:
        """Retries as many shards as the budget allows."""
        while self._waiting and self._entry.budget.take_retry():
            shard = next(iter(self._waiting))
            same = [
                item
                for item in self._waiting
                if item.service == shard.service
                and self._untried[item] == self._untried[shard]
            ]
            for item in same:
                del self._waiting[item]
            self.retries += self._send(same, hedge=False)

    def _fail(self, shard: model.Shard, reason: str) -> None:
        if shard in self._denied:
            # Stops the run: what the other shards still answer would not be
            # used after a restart.
            self.version_lost = self.version_lost or self._entry.may_restart(
                self
            )
            reason = messages.Outcome.WRONG_VERSION.value
        self.merge.give_up(shard, reason)

    def _resend(self, attempt: Attempt) -> None:
        dispatcher = self._entry.dispatcher_for(self, attempt.replica)
        if dispatcher in (None, attempt.dispatcher):
            return
        self._remove(attempt.number)
        self._entry.cancel([attempt])
        shards = tuple(
            shard for shard in attempt.shards if self.merge.is_open(shard)
        )
        if not shards:
            return
        if self._post(attempt.service, attempt.replica, shards, hedge=False):
            self.resent += 1
        else:
            self._retry(shards, merge_lib.Lack.NO_DISPATCHER)

    def _tick(self) -> None:
        """Does what has become due."""
        self._timer = None
        self._timer_s = math.inf
        if self._finished.done():
            return
        now_s = self._entry.now()
        if now_s >= self.end_s:
            self._finished.set_result(None)
            return
        self._send_waiting()
        self._hedge_late(now_s)
        self._leave_silent(now_s)
        self._give_up_stragglers(now_s)
        self._settle()
        self._schedule()

    def _schedule(self) -> None:
        """Sets the timer to the next time at which something is due."""
        if self._finished.done():
            return
        now_s = self._entry.now()
        next_s = self.end_s
        if self._waiting:
            next_s = min(next_s, now_s + _RETRY_WAIT_S)
        by_time = self.query.prefer == "time"
        for attempt in self._attempts_by_number.values():
            next_s = min(next_s, attempt.due_s, attempt.silence_s)
            if by_time and attempt.due_s == math.inf:
                straggler_s = self._straggler_s(attempt)
                if straggler_s > now_s:
                    next_s = min(next_s, straggler_s)
        if self._timer is not None and self._timer_s <= next_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        # Never earlier than the end: a timer that fires short of it would
        # spin.
        delay_s = max(next_s - now_s, min(_TICK_S, self.end_s - now_s))
        self._timer_s = now_s + delay_s
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, delay_s), self._tick
        )

    def _hedge_late(self, now_s: float) -> None:
        late = [
            attempt
            for attempt in self._attempts_by_number.values()
            if attempt.due_s <= now_s
        ]
        if not late:
            return
        # Attempts that have been hedged stay counted: without them only the
        # first ones of a query that meets a fault could use saved tokens.
        self._late_numbers.update(attempt.number for attempt in late)
        if len(self._late_numbers) >= max(
            _FAULT_MIN_LATE, _FAULT_SHARE * self.sent
        ):
            self._met_fault = True
        health = self._entry.health
        fault = self._met_fault or health.at_fault(self._services)
        for attempt in late:
            self._hedge(attempt, now_s, fault)

    def _hedge(self, attempt: Attempt, now_s: float, fault: bool) -> None:
        """Hedges a late attempt if a replica and the budget allow it."""
        attempt.due_s = now_s + max(_TICK_S, attempt.late_s / 2)
        pending = [
            shard
            for shard in attempt.shards
            if self.merge.is_open(shard)
            and self._attempts_by_shard[shard][-1] is attempt
        ]
        if not any(self._untried[shard] for shard in pending):
            attempt.due_s = math.inf
            return
        waited_s = now_s - attempt.sent_s - attempt.queue_s
        desperate = waited_s > _DESPERATE_FACTOR * attempt.late_s
        if desperate:
            self._entry.lost_race(attempt, decisive=True)
        if self._entry.health.avoided(attempt.replica, now_s):
            desperate = True
        targets = {}
        for shard in pending:
            able = self._hedge_targets(attempt, shard, now_s, desperate)
            if able:
                targets[shard] = able
        if not targets:
            return
        budget = self._entry.budget
        # An attempt that is several times too late counts as failed.
        if budget.take_hedge(fault) or (desperate and budget.take_retry()):
            self.hedges += self._send(list(targets), True, targets)
            attempt.due_s = math.inf
        else:
            attempt.due_s = now_s + max(_DENIED_S, attempt.late_s / 4)

    def _hedge_targets(
        self,
        attempt: Attempt,
        shard: model.Shard,
        now_s: float,
        desperate: bool,
    ) -> list[str]:
        selector = self._entry.selector
        health = self._entry.health
        rank = self.query.rank
        if health.is_crowded(attempt.replica, rank, now_s):
            return []
        if health.refused_lately(attempt.replica, now_s) and not health.avoided(
            attempt.replica, now_s
        ):
            # Load explains the lateness.
            return []
        untried = [
            replica
            for replica in self._untried[shard]
            if not health.refused_lately(replica, now_s)
        ]
        targets = selector.able(
            self.query.snapshot, self.version, untried, now_s
        )
        if not targets and desperate:
            targets = untried
        return selector.unhurried(targets, rank, now_s)

    def _leave_silent(self, now_s: float) -> None:
        for attempt in list(self._attempts_by_number.values()):
            if attempt.silence_s > now_s:
                continue
            attempt.silence_s = math.inf
            if (
                self._entry.is_silent(attempt)
                and self._entry.budget.take_retry()
            ):
                self._resend(attempt)

    def _straggler_s(self, attempt: Attempt) -> float:
        return (
            attempt.sent_s
            + attempt.queue_s
            + max(_STRAGGLER_MIN_S, _STRAGGLER_FACTOR * attempt.late_s)
        )

    def _give_up_stragglers(self, now_s: float) -> None:
        """Answers without stragglers if time is preferred.

        Only when every replica of every open shard has been tried and the
        minimum coverage is met; a shard that waits in a queue is no straggler.
        """
        if self.query.prefer != "time" or self._waiting:
            return
        covered = len(self.merge.results)
        if not covered or covered < self.query.min_coverage * self.merge.total:
            return
        for shard in self.merge.open_shards:
            if self._untried[shard] or any(
                self._straggler_s(attempt) > now_s
                for attempt in self._attempts_by_shard[shard]
            ):
                return
        for shard in self.merge.open_shards:
            self.merge.give_up(shard, merge_lib.Lack.STRAGGLER)

    def _settle(self) -> None:
        if self._finished.done():
            return
        hopeless = self.merge.best_coverage < self.query.min_coverage
        if self.merge.settled or self.version_lost or hopeless:
            self._finished.set_result(None)

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        attempts = list(self._attempts_by_number.values())
        self._attempts_by_number.clear()
        for attempt in attempts:
            self._entry.lost_race(attempt, decisive=False)
        self._entry.cancel(attempts)
