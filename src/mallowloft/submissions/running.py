"""Runs submissions through the dispatchers of replicas.

The key of each submission is reserved in the ledger before its run starts.
"""

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

_log = logs.get_logger("submissions")

# If a reservation is not answered within this time, another replica is tried.
# The message may be lost, the dispatcher may have failed, or its queue may be
# long. The interval doubles with each further try, up to 8 times its initial
# value.
RESERVE_RETRY_S = 0.25
# Maximum number of open reservations of one submission. It is low because each
# may keep a slot unused for one round trip.
MAX_RESERVATIONS = 3
# A submission fails as not run once every replica has refused it this often.
MAX_REFUSALS_PER_REPLICA = 2
REFUSAL_BACKOFF_S = 0.02
# The upstream gets this much more time than the caller's deadline allows, so
# that a retry by the caller gets the reply instead of an unknown outcome.
UPSTREAM_GRACE_S = 1.0
# Time for the dispatcher's answer to arrive after the upstream's deadline.
OUTCOME_MARGIN_S = 0.5
# An unknown outcome can still be resolved by an answer that arrives within
# this time after the outcome became unknown.
LATE_OUTCOME_WINDOW_S = 60.0
# A replica is avoided for this long after a call to it ended as unknown or its
# dispatcher reported it as doubtful, as each further call could end as unknown,
# too. An avoided replica is used only if no other can be reserved or all others
# are at the refusal limit.
AVOIDANCE_S = 5.0
# A replica that has not answered a call within this time is avoided as well.
SLOW_CALL_THRESHOLD_S = 0.3
RETRY_AFTER_MS = 100.0
# Timers may fire slightly early; shorter waits would be a busy loop.
MIN_WAIT_S = 0.001

_ATTEMPT_BITS = 62


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """The call to make to the upstream.

    Attributes:
        request_id: Request id, for logs and for the upstream.
        rank: Priority rank in the dispatcher's queue.
        end_s: Deadline for starting the call.
    """

    request_id: str
    service: str
    shard: str
    body: bytes
    rank: int
    end_s: float


@dataclasses.dataclass(slots=True)
class _Reservation:
    replica: str
    dispatcher: str
    # Incarnation of the dispatcher to which `SlotGo` was sent; 0 before.
    incarnation: int = 0


class _Run:
    """State of one submission from reserving its key to its outcome."""

    def __init__(self, record: ledger_lib.Record, call: UpstreamCall) -> None:
        self.record = record
        self.call = call
        self.reservations_by_attempt: dict[int, _Reservation] = {}
        self.sent_attempt: int | None = None
        self.sent_s = 0.0
        self.changed = asyncio.Event()
        self.reserve_tries = 0
        self.next_reserve_s = 0.0
        self.refusals_by_replica: dict[str, int] = {}
        self.retry_after_ms = RETRY_AFTER_MS


class Runner:
    """Runs submissions whose key is reserved in the ledger.

    A run lasts until the outcome is set. It may hold reservations at several
    replicas until it sends `SlotGo`. The record is moved to `sent` and `SlotGo`
    is sent without an await in between, so that no run has two `SlotGo`
    messages in flight.
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
        # Attempt numbers start at a random value, so that answers to an
        # earlier process with the same instance id match no attempt of this
        # process.
        self._attempts = itertools.count(kernel.rng.getrandbits(_ATTEMPT_BITS))
        self._runs_by_attempt: dict[int, _Run] = {}
        self._tasks_by_run: dict[_Run, asyncio.Task] = {}
        self._avoided_until_s: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Number of submissions that are still running."""
        return len(self._tasks_by_run)

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.add_handler(messages.SlotReady, self._on_slot_ready)
        peers.add_handler(messages.SlotOutcome, self._on_slot_outcome)
        self._kernel.plugin("membership").view.subscribe(
            self._on_membership_change
        )

    def run(self, record: ledger_lib.Record, call: UpstreamCall) -> None:
        """Starts a task that runs a submission whose key is reserved."""
        run = _Run(record, call)
        self._tasks_by_run[run] = asyncio.create_task(
            self._run_until_outcome(run)
        )

    def stop(self) -> None:
        """Cancels all runs and releases their unused reservations."""
        for run, task in list(self._tasks_by_run.items()):
            task.cancel()
            self._release_others(run, None)
        self._tasks_by_run.clear()

    def dump(self) -> dict[str, Any]:
        """Returns the numbers of running submissions and of attempts."""
        return {
            "runs": len(self._tasks_by_run),
            "attempts": len(self._runs_by_attempt),
        }

    async def _run_until_outcome(self, run: _Run) -> None:
        try:
            while run.record.running:
                run.changed.clear()
                if run.record.state is ledger_lib.State.RESERVED:
                    wait_s = self._reserve_if_due(run)
                else:
                    wait_s = self._check_timeouts(run)
                if run.record.running:
                    await self._wait_for_change(run, wait_s)
        finally:
            self._tasks_by_run.pop(run, None)

    async def _wait_for_change(self, run: _Run, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await run.changed.wait()
        except TimeoutError:
            pass

    def _check_timeouts(self, run: _Run) -> float:
        """Applies the timeouts of a sent run.

        Returns:
            Time until the next timeout.
        """
        now_s = self._kernel.clock.now()
        end_s = run.call.end_s + UPSTREAM_GRACE_S + OUTCOME_MARGIN_S
        if now_s >= end_s:
            reason = "no answer from the dispatcher before the deadline"
            self._set_outcome(run, ledger_lib.State.UNKNOWN, reason)
            return 0.0
        slow_at_s = run.sent_s + SLOW_CALL_THRESHOLD_S
        if now_s >= slow_at_s:
            self._avoid_replica_of(run)
            return max(MIN_WAIT_S, end_s - now_s)
        return max(MIN_WAIT_S, min(slow_at_s, end_s) - now_s)

    def _reserve_if_due(self, run: _Run) -> float:
        """Makes a reservation if one is due.

        Sets the outcome to not run after the deadline or if all replicas
        refused.

        Returns:
            Time until the next reservation is due.
        """
        now_s = self._kernel.clock.now()
        if now_s >= run.call.end_s:
            reason = "no slot was free before the deadline"
            self._set_outcome(run, ledger_lib.State.NOT_RUN, reason)
            return 0.0
        replicas = self._ranked_replicas(run.call)
        if self._all_refused(run, replicas):
            reason = "all replicas of the shard refused the submission"
            if not replicas:
                reason = "no replica serves the shard"
            self._set_outcome(run, ledger_lib.State.NOT_RUN, reason)
            return 0.0
        if now_s >= run.next_reserve_s:
            if len(run.reservations_by_attempt) < MAX_RESERVATIONS:
                self._reserve_at_best_replica(run, replicas)
            retry_s = RESERVE_RETRY_S * 2 ** min(
                run.reserve_tries, MAX_RESERVATIONS
            )
            if not run.reservations_by_attempt:
                retry_s = REFUSAL_BACKOFF_S
            run.reserve_tries += 1
            run.next_reserve_s = now_s + retry_s
        return max(MIN_WAIT_S, min(run.next_reserve_s, run.call.end_s) - now_s)

    def _ranked_replicas(self, call: UpstreamCall) -> list[str]:
        """Returns ids of the shard's replicas in the newest index version.

        Replicas that the configuration marks as leaving are left out. Replicas
        in this instance's own failure domain come first. The order is random
        otherwise.
        """
        snapshot = self._kernel.plugin("configuration").store.current
        service = snapshot.services_by_name.get(call.service)
        if service is None or service.index not in snapshot.indexes_by_name:
            return []
        index = snapshot.indexes_by_name[service.index]
        newest = max(index.versions, key=lambda item: item.version)
        listed = newest.shards.get(call.service, {}).get(call.shard, ())
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

    def _all_refused(self, run: _Run, replicas: list[str]) -> bool:
        """Whether all replicas are at the refusal limit.

        True also for no replicas.
        """
        return all(
            run.refusals_by_replica.get(replica, 0) >= MAX_REFUSALS_PER_REPLICA
            for replica in replicas
        )

    def _reserve_at_best_replica(self, run: _Run, replicas: list[str]) -> None:
        """Reserves a slot at the best replica with a reachable dispatcher.

        Replicas with the fewest open reservations and the fewest refusals are
        preferred. Avoided replicas come next; replicas at the refusal limit
        come last.
        """
        now_s = self._kernel.clock.now()
        reserved_replicas = [
            item.replica for item in run.reservations_by_attempt.values()
        ]
        refusals = run.refusals_by_replica
        ranked = sorted(
            replicas,
            key=lambda replica: (
                refusals.get(replica, 0) >= MAX_REFUSALS_PER_REPLICA,
                self._avoided_until_s.get(replica, 0.0) > now_s,
                reserved_replicas.count(replica),
                refusals.get(replica, 0),
            ),
        )
        for replica in ranked:
            dispatcher = self._dispatcher_of(replica)
            attempt = next(self._attempts)
            message = messages.SlotReserve(
                attempt=attempt,
                request=run.call.request_id,
                replica=replica,
                rank=run.call.rank,
                remaining_ms=(run.call.end_s - now_s) * 1000,
            )
            if dispatcher is not None and self._send(dispatcher, message):
                self._kernel.plugin("membership").monitor(dispatcher)
                self._runs_by_attempt[attempt] = run
                run.reservations_by_attempt[attempt] = _Reservation(
                    replica, dispatcher
                )
                return

    def _dispatcher_of(self, replica: str) -> str | None:
        return self._kernel.plugin("dispatch").dispatcher_for(replica)

    def _on_membership_change(self) -> None:
        """Releases reservations whose replica has a new dispatcher or none."""
        for run in self._tasks_by_run:
            if run.record.state is not ledger_lib.State.RESERVED:
                continue
            for attempt, item in list(run.reservations_by_attempt.items()):
                if self._dispatcher_of(item.replica) != item.dispatcher:
                    self._release(run, attempt)
                    run.next_reserve_s = 0.0
                    run.changed.set()

    def _on_slot_ready(
        self, sender: peers_lib.Sender, message: messages.SlotReady
    ) -> None:
        self._kernel.pause_detector.check()
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
            # The message is a duplicate (`SlotGo` was already sent for this
            # attempt), or its sender is not the dispatcher at which the slot
            # was reserved.
            return
        remaining_s = run.call.end_s - self._kernel.clock.now()
        if remaining_s <= 0 or self._ledger.closed:
            self._release(run, message.attempt)
            run.changed.set()
            return
        if message.doubtful and self._has_alternative(run, reservation.replica):
            until_s = self._kernel.clock.now() + AVOIDANCE_S
            self._avoided_until_s[reservation.replica] = until_s
            self._release(run, message.attempt)
            run.next_reserve_s = 0.0
            run.changed.set()
            return
        self._ledger.transition(run.record, ledger_lib.State.SENT)
        reservation.incarnation = sender.incarnation
        run.sent_attempt = message.attempt
        run.sent_s = self._kernel.clock.now()
        go = messages.SlotGo(
            attempt=message.attempt,
            ticket=message.ticket,
            request=run.call.request_id,
            shard=run.call.shard,
            body=run.call.body,
            remaining_ms=(remaining_s + UPSTREAM_GRACE_S) * 1000,
        )
        if self._send(sender.instance, go):
            self._kernel.plugin("membership").monitor(sender.instance)
            self._release_others(run, message.attempt)
        else:
            # The message was not queued for sending, so nothing can have run.
            run.sent_attempt = None
            self._ledger.transition(run.record, ledger_lib.State.RESERVED)
            self._discard_attempt(run, message.attempt)
        run.changed.set()

    def _has_alternative(self, run: _Run, replica: str) -> bool:
        """Whether another replica should be tried before a doubtful one.

        An avoided replica is not avoided again, because it is normally reserved
        only if there is no other.
        """
        now_s = self._kernel.clock.now()
        if self._avoided_until_s.get(replica, 0.0) > now_s:
            return False
        return any(
            other != replica
            and self._avoided_until_s.get(other, 0.0) <= now_s
            and other not in run.refusals_by_replica
            for other in self._ranked_replicas(run.call)
        )

    def _on_slot_outcome(
        self, sender: peers_lib.Sender, message: messages.SlotOutcome
    ) -> None:
        self._kernel.pause_detector.check()
        run = self._runs_by_attempt.get(message.attempt)
        if run is None or self._ledger.closed:
            return
        reservation = run.reservations_by_attempt.get(message.attempt)
        if reservation is None or reservation.dispatcher != sender.instance:
            return
        if run.sent_attempt != message.attempt:
            self._on_outcome_before_go(run, message)
        elif reservation.incarnation == sender.incarnation:
            # Only the incarnation that issued the ticket knows its outcome; a
            # restarted dispatcher does not.
            self._on_outcome_after_go(run, message)

    def _on_outcome_before_go(
        self, run: _Run, message: messages.SlotOutcome
    ) -> None:
        if message.state in (
            messages.SlotState.DONE,
            messages.SlotState.MAYBE_RUN,
        ):
            _log.error(
                "slot_outcome_without_go",
                request=run.call.request_id,
                state=message.state.value,
            )
            return
        self._add_refusal(run, message)
        run.changed.set()

    def _add_refusal(self, run: _Run, message: messages.SlotOutcome) -> None:
        reservation = run.reservations_by_attempt[message.attempt]
        self._discard_attempt(run, message.attempt)
        refusals = run.refusals_by_replica
        count = refusals.get(reservation.replica, 0)
        refusals[reservation.replica] = count + 1
        run.retry_after_ms = max(run.retry_after_ms, message.retry_after_ms)
        if not run.reservations_by_attempt:
            backoff_s = 0.0 if count == 0 else REFUSAL_BACKOFF_S
            run.next_reserve_s = self._kernel.clock.now() + backoff_s

    def _on_outcome_after_go(
        self, run: _Run, message: messages.SlotOutcome
    ) -> None:
        if message.state is messages.SlotState.DONE:
            self._set_outcome(run, ledger_lib.State.DONE, reply=message.reply)
        elif message.state is messages.SlotState.MAYBE_RUN:
            if run.record.state is ledger_lib.State.SENT:
                self._set_outcome(run, ledger_lib.State.UNKNOWN, message.reason)
            # This answer is final: discarding the attempts makes the runner
            # ignore later answers.
            self._discard_attempts(run)
        elif run.record.state is ledger_lib.State.SENT:
            # The submission was not run, so another replica can be tried.
            run.sent_attempt = None
            self._ledger.transition(run.record, ledger_lib.State.RESERVED)
            self._add_refusal(run, message)
            run.changed.set()
        else:
            self._set_outcome(run, ledger_lib.State.NOT_RUN, message.reason)

    def _set_outcome(
        self,
        run: _Run,
        state: ledger_lib.State,
        reason: str = "",
        reply: bytes = b"",
    ) -> None:
        self._ledger.transition(
            run.record, state, reason, reply, run.retry_after_ms
        )
        if state is ledger_lib.State.UNKNOWN:
            self._avoid_replica_of(run)
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_OUTCOME_WINDOW_S, self._discard_attempts, run)
        else:
            self._release_others(run, run.sent_attempt)
            self._discard_attempts(run)
        run.changed.set()
        self._on_final(run.record)

    def _avoid_replica_of(self, run: _Run) -> None:
        reservation = run.reservations_by_attempt[run.sent_attempt]
        until_s = self._kernel.clock.now() + AVOIDANCE_S
        self._avoided_until_s[reservation.replica] = until_s

    def _release(self, run: _Run, attempt: int) -> None:
        reservation = run.reservations_by_attempt[attempt]
        self._discard_attempt(run, attempt)
        self._send(reservation.dispatcher, messages.SlotRelease(attempt))

    def _release_others(self, run: _Run, except_attempt: int | None) -> None:
        for attempt in list(run.reservations_by_attempt):
            if attempt not in (except_attempt, run.sent_attempt):
                self._release(run, attempt)

    def _discard_attempt(self, run: _Run, attempt: int) -> None:
        run.reservations_by_attempt.pop(attempt, None)
        self._runs_by_attempt.pop(attempt, None)

    def _discard_attempts(self, run: _Run) -> None:
        for attempt in list(run.reservations_by_attempt):
            self._discard_attempt(run, attempt)

    def _send(self, dispatcher: str, message: messages.Message) -> bool:
        return self._kernel.plugin("peers").send(dispatcher, message)
