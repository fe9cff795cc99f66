"""Runs reserved submissions through the replicas' dispatchers."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.submissions import ledger as ledger_lib

_log = logs.get("submissions")

# After this long without an answer a further reservation is made at another
# replica: the message may be lost, the dispatcher dead or its queue long. The
# time doubles with each further reservation.
RESERVE_TRY_S = 0.25
# Each reservation may hold a slot for one round trip, so few are open at once.
MAX_RESERVATIONS = 3
# After that many refusals per replica the submission is not run.
MAX_REFUSALS_PER_REPLICA = 2
REFUSAL_PAUSE_S = 0.02
# The upstream may take this much longer than the caller waits: the caller's
# repeat then gets the reply instead of "unknown".
EXTRA_RUN_S = 1.0
# Beyond the upstream's deadline, time for the dispatcher's answer to arrive.
OUTCOME_MARGIN_S = 0.5
# How long a late answer to a sent attempt still settles an unknown outcome.
LATE_OUTCOME_S = 60.0
# A replica whose call ended without a known outcome is used only if there is
# no other for this long: each further call could cost one more "unknown".
AVOID_S = 5.0
# The same holds for a replica that has not answered a call for this long.
SLOW_CALL_S = 0.3
RETRY_AFTER_MS = 100.0
# Timers fire slightly early; shorter waits would only spin.
MIN_WAIT_S = 0.001

_ATTEMPT_BITS = 62


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What is sent to the upstream.

    Attributes:
        end_s: After this time the submission is not started any more.
    """

    request: str
    service: str
    shard: str
    body: bytes
    rank: int
    end_s: float


@dataclasses.dataclass(slots=True)
class _Reservation:
    replica: str
    dispatcher: str
    # Incarnation that sent the ticket that was used, 0 before.
    incarnation: int = 0


class _Run:
    """One submission between its reservation and its final outcome."""

    def __init__(self, record: ledger_lib.Record, work: Work) -> None:
        self.record = record
        self.work = work
        self.reservations_by_attempt: dict[int, _Reservation] = {}
        self.sent_attempt: int | None = None
        self.sent_s = 0.0
        self.changed = asyncio.Event()
        self.tries = 0
        self.next_try_s = 0.0
        self.refusals_by_replica: dict[str, int] = {}
        self.retry_after_ms = RETRY_AFTER_MS


class Runner:
    """Takes each reserved record to a final state.

    Before `SlotGo` a run may hold several reservations. The step to `sent`
    and the sending of `SlotGo` happen in one handler, so that no run has two.
    """

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        ledger: ledger_lib.Ledger,
        on_final: Callable[[ledger_lib.Record], None],
    ) -> None:
        self._kernel = kernel
        self._ledger = ledger
        self._on_final = on_final
        # A random start keeps answers to an earlier process with the same
        # instance id from matching an attempt of this one.
        self._attempts = itertools.count(kernel.rng.getrandbits(_ATTEMPT_BITS))
        self._runs_by_attempt: dict[int, _Run] = {}
        self._tasks_by_run: dict[_Run, asyncio.Task] = {}
        self._avoided_until_s: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Number of submissions without a final outcome."""
        return len(self._tasks_by_run)

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.SlotReady, self._on_ready)
        peers.on(messages.SlotOutcome, self._on_outcome)
        self._kernel.plugin("membership").view.subscribe(self._on_view)

    def run(self, record: ledger_lib.Record, work: Work) -> None:
        """Begins to run a reserved record."""
        run = _Run(record, work)
        self._tasks_by_run[run] = asyncio.create_task(self._drive(run))

    def stop(self) -> None:
        """Gives all reservations back and ends all runs."""
        for run, task in list(self._tasks_by_run.items()):
            task.cancel()
            self._release_others(run, None)
        self._tasks_by_run.clear()

    def dump(self) -> dict[str, Any]:
        """Returns the numbers of runs and reservations."""
        return {
            "runs": len(self._tasks_by_run),
            "attempts": len(self._runs_by_attempt),
        }

    async def _drive(self, run: _Run) -> None:
        try:
            while run.record.running:
                run.changed.clear()
                if run.record.state is ledger_lib.State.RESERVED:
                    wait_s = self._reserve(run)
                else:
                    wait_s = self._await_outcome(run)
                if run.record.running:
                    await self._wait(run, wait_s)
        finally:
            self._tasks_by_run.pop(run, None)

    async def _wait(self, run: _Run, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await run.changed.wait()
        except TimeoutError:
            pass

    def _await_outcome(self, run: _Run) -> float:
        """Returns how long to wait for the outcome of a sent run."""
        now_s = self._kernel.clock.now()
        end_s = run.work.end_s + EXTRA_RUN_S + OUTCOME_MARGIN_S
        if now_s >= end_s:
            reason = "the dispatcher's answer is missing"
            self._settle(run, ledger_lib.State.UNKNOWN, reason)
            return 0.0
        slow_s = run.sent_s + SLOW_CALL_S
        if now_s >= slow_s:
            self._avoid(run)
            return max(MIN_WAIT_S, end_s - now_s)
        return max(MIN_WAIT_S, min(slow_s, end_s) - now_s)

    def _reserve(self, run: _Run) -> float:
        """Reserves where it is due and returns how long to wait then."""
        now_s = self._kernel.clock.now()
        if now_s >= run.work.end_s:
            reason = "no slot was free before the deadline"
            self._settle(run, ledger_lib.State.NOT_RUN, reason)
            return 0.0
        replicas = self._replicas(run.work)
        if self._refused_everywhere(run, replicas):
            reason = "every replica refused the submission"
            if not replicas:
                reason = "no replica serves the shard"
            self._settle(run, ledger_lib.State.NOT_RUN, reason)
            return 0.0
        if now_s >= run.next_try_s:
            if len(run.reservations_by_attempt) < MAX_RESERVATIONS:
                self._reserve_next(run, replicas)
            try_s = RESERVE_TRY_S * 2 ** min(run.tries, MAX_RESERVATIONS)
            if not run.reservations_by_attempt:
                try_s = REFUSAL_PAUSE_S
            run.tries += 1
            run.next_try_s = now_s + try_s
        return max(MIN_WAIT_S, min(run.next_try_s, run.work.end_s) - now_s)

    def _replicas(self, work: Work) -> list[str]:
        """Returns the replicas of the shard, the preferred ones first."""
        snapshot = self._kernel.plugin("configuration").store.current
        service = snapshot.services_by_name.get(work.service)
        if service is None or service.index not in snapshot.indexes_by_name:
            return []
        index = snapshot.indexes_by_name[service.index]
        newest = max(index.versions, key=lambda item: item.version)
        listed = newest.shards.get(work.service, {}).get(work.shard, ())
        replicas = [
            snapshot.replicas_by_id[name]
            for name in listed
            if name in snapshot.replicas_by_id
            and not snapshot.replicas_by_id[name].leaving
        ]
        own_domain = self._kernel.settings.failure_domain
        self._kernel.rng.shuffle(replicas)
        replicas.sort(key=lambda item: item.failure_domain != own_domain)
        return [replica.id for replica in replicas]

    def _refused_everywhere(self, run: _Run, replicas: list[str]) -> bool:
        return all(
            run.refusals_by_replica.get(replica, 0) >= MAX_REFUSALS_PER_REPLICA
            for replica in replicas
        )

    def _reserve_next(self, run: _Run, replicas: list[str]) -> None:
        """Reserves at the least used replica that can be reached."""
        now_s = self._kernel.clock.now()
        used = [item.replica for item in run.reservations_by_attempt.values()]
        refusals = run.refusals_by_replica
        by_use = sorted(
            replicas,
            key=lambda replica: (
                refusals.get(replica, 0) >= MAX_REFUSALS_PER_REPLICA,
                self._avoided_until_s.get(replica, 0.0) > now_s,
                used.count(replica),
                refusals.get(replica, 0),
            ),
        )
        for replica in by_use:
            dispatcher = self._dispatcher(replica)
            attempt = next(self._attempts)
            message = messages.SlotReserve(
                attempt=attempt,
                request=run.work.request,
                replica=replica,
                rank=run.work.rank,
                remaining_ms=(run.work.end_s - now_s) * 1000,
            )
            if dispatcher is not None and self._send(dispatcher, message):
                self._kernel.plugin("membership").expect(dispatcher)
                self._runs_by_attempt[attempt] = run
                run.reservations_by_attempt[attempt] = _Reservation(
                    replica, dispatcher
                )
                return

    def _dispatcher(self, replica: str) -> str | None:
        return self._kernel.plugin("dispatch").receiver_for(replica)

    def _on_view(self) -> None:
        """Leaves the queues of instances that no longer dispatch."""
        for run in self._tasks_by_run:
            if run.record.state is not ledger_lib.State.RESERVED:
                continue
            for attempt, item in list(run.reservations_by_attempt.items()):
                if self._dispatcher(item.replica) != item.dispatcher:
                    self._release(run, attempt)
                    run.next_try_s = 0.0
                    run.changed.set()

    def _on_ready(
        self, sender: peers_lib.Sender, message: messages.SlotReady
    ) -> None:
        self._kernel.pauses.check()
        run = self._runs_by_attempt.get(message.attempt)
        if run is None:
            self._send(sender.instance, messages.SlotRelease(message.attempt))
            return
        reservation = run.reservations_by_attempt.get(message.attempt)
        if (
            reservation is None
            or reservation.dispatcher != sender.instance
            or run.record.state is not ledger_lib.State.RESERVED
        ):
            # A repeated message; the attempt was sent or has ended.
            return
        remaining_s = run.work.end_s - self._kernel.clock.now()
        if remaining_s <= 0 or self._ledger.closed:
            self._release(run, message.attempt)
            run.changed.set()
            return
        if message.doubtful and self._has_better(run, reservation.replica):
            until_s = self._kernel.clock.now() + AVOID_S
            self._avoided_until_s[reservation.replica] = until_s
            self._release(run, message.attempt)
            run.next_try_s = 0.0
            run.changed.set()
            return
        self._ledger.move(run.record, ledger_lib.State.SENT)
        reservation.incarnation = sender.incarnation
        run.sent_attempt = message.attempt
        run.sent_s = self._kernel.clock.now()
        go = messages.SlotGo(
            attempt=message.attempt,
            ticket=message.ticket,
            request=run.work.request,
            shard=run.work.shard,
            body=run.work.body,
            remaining_ms=(remaining_s + EXTRA_RUN_S) * 1000,
        )
        if self._send(sender.instance, go):
            self._kernel.plugin("membership").expect(sender.instance)
            self._release_others(run, message.attempt)
        else:
            # The message was not even queued, so nothing can have run.
            run.sent_attempt = None
            self._ledger.move(run.record, ledger_lib.State.RESERVED)
            self._forget(run, message.attempt)
        run.changed.set()

    def _has_better(self, run: _Run, replica: str) -> bool:
        """Whether to try another replica before a doubtful one.

        A replica that is avoided already was reserved for lack of another.
        """
        now_s = self._kernel.clock.now()
        if self._avoided_until_s.get(replica, 0.0) > now_s:
            return False
        return any(
            other != replica
            and self._avoided_until_s.get(other, 0.0) <= now_s
            and other not in run.refusals_by_replica
            for other in self._replicas(run.work)
        )

    def _on_outcome(
        self, sender: peers_lib.Sender, message: messages.SlotOutcome
    ) -> None:
        self._kernel.pauses.check()
        run = self._runs_by_attempt.get(message.attempt)
        if run is None or self._ledger.closed:
            return
        reservation = run.reservations_by_attempt.get(message.attempt)
        if reservation is None or reservation.dispatcher != sender.instance:
            return
        if run.sent_attempt != message.attempt:
            self._on_refusal(run, message)
        elif reservation.incarnation == sender.incarnation:
            # Another incarnation of the dispatcher cannot know what became
            # of the ticket, whatever it says.
            self._on_sent_outcome(run, message)

    def _on_refusal(self, run: _Run, message: messages.SlotOutcome) -> None:
        if message.state in (
            messages.SlotState.DONE,
            messages.SlotState.MAYBE_RUN,
        ):
            _log.error(
                "slot_outcome_without_go",
                request=run.work.request,
                state=message.state.value,
            )
            return
        self._count_refusal(run, message)
        run.changed.set()

    def _count_refusal(self, run: _Run, message: messages.SlotOutcome) -> None:
        reservation = run.reservations_by_attempt[message.attempt]
        self._forget(run, message.attempt)
        refusals = run.refusals_by_replica
        count = refusals.get(reservation.replica, 0)
        refusals[reservation.replica] = count + 1
        run.retry_after_ms = max(run.retry_after_ms, message.retry_after_ms)
        if not run.reservations_by_attempt:
            pause_s = 0.0 if count == 0 else REFUSAL_PAUSE_S
            run.next_try_s = self._kernel.clock.now() + pause_s

    def _on_sent_outcome(
        self, run: _Run, message: messages.SlotOutcome
    ) -> None:
        if message.state is messages.SlotState.DONE:
            self._settle(run, ledger_lib.State.DONE, reply=message.reply)
        elif message.state is messages.SlotState.MAYBE_RUN:
            if run.record.state is ledger_lib.State.SENT:
                self._settle(run, ledger_lib.State.UNKNOWN, message.reason)
            # This answer is final, so no later one may replace it.
            self._forget_all(run)
        elif run.record.state is ledger_lib.State.SENT:
            # Neither the upstream nor the dispatcher has run it.
            run.sent_attempt = None
            self._ledger.move(run.record, ledger_lib.State.RESERVED)
            self._count_refusal(run, message)
            run.changed.set()
        else:
            self._settle(run, ledger_lib.State.NOT_RUN, message.reason)

    def _settle(
        self,
        run: _Run,
        state: ledger_lib.State,
        reason: str = "",
        reply: bytes = b"",
    ) -> None:
        self._ledger.move(run.record, state, reason, reply, run.retry_after_ms)
        if state is ledger_lib.State.UNKNOWN:
            self._avoid(run)
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_OUTCOME_S, self._forget_all, run)
        else:
            self._release_others(run, run.sent_attempt)
            self._forget_all(run)
        run.changed.set()
        self._on_final(run.record)

    def _avoid(self, run: _Run) -> None:
        reservation = run.reservations_by_attempt[run.sent_attempt]
        until_s = self._kernel.clock.now() + AVOID_S
        self._avoided_until_s[reservation.replica] = until_s

    def _release(self, run: _Run, attempt: int) -> None:
        reservation = run.reservations_by_attempt[attempt]
        self._forget(run, attempt)
        self._send(reservation.dispatcher, messages.SlotRelease(attempt))

    def _release_others(self, run: _Run, kept: int | None) -> None:
        for attempt in list(run.reservations_by_attempt):
            if attempt not in (kept, run.sent_attempt):
                self._release(run, attempt)

    def _forget(self, run: _Run, attempt: int) -> None:
        run.reservations_by_attempt.pop(attempt, None)
        self._runs_by_attempt.pop(attempt, None)

    def _forget_all(self, run: _Run) -> None:
        for attempt in list(run.reservations_by_attempt):
            self._forget(run, attempt)

    def _send(self, to: str, message: messages.Message) -> bool:
        return self._kernel.plugin("peers").send(to, message)
