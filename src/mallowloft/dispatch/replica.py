"""Queue, slots and connections of one replica."""

import asyncio
from typing import Any

from mallowloft import messages
from mallowloft.configuration import model
from mallowloft.dispatch import queue as queue_lib
from mallowloft.dispatch import reservations as reservations_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.upstream import protocol

_log = logs.get("dispatch")

_QUEUE_LIMIT = 512
_POLL_S = 0.005

_OUTCOMES = {
    protocol.CallOutcome.OK: messages.Outcome.OK,
    protocol.CallOutcome.WRONG_VERSION: messages.Outcome.WRONG_VERSION,
    protocol.CallOutcome.SHED: messages.Outcome.SHED,
    protocol.CallOutcome.DRAINING: messages.Outcome.DRAINING,
    protocol.CallOutcome.UNSENT: messages.Outcome.UNREACHABLE,
    protocol.CallOutcome.FAILED: messages.Outcome.FAILED,
}
# WRONG_VERSION cannot answer a submission; nothing says that it did not run.
_SLOT_STATES = {
    protocol.CallOutcome.OK: messages.SlotState.DONE,
    protocol.CallOutcome.WRONG_VERSION: messages.SlotState.MAYBE_RUN,
    protocol.CallOutcome.SHED: messages.SlotState.SHED,
    protocol.CallOutcome.DRAINING: messages.SlotState.SHED,
    protocol.CallOutcome.UNSENT: messages.SlotState.NOT_SENT,
    protocol.CallOutcome.FAILED: messages.SlotState.MAYBE_RUN,
}

Key = reservations_lib.Key


class ReplicaDispatcher:
    """Queue, slots and connections of one replica.

    Queries and reservations for submissions wait in one priority queue. A
    reservation at its head holds a slot until its ticket is used, released or
    expired.
    """

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        replica: model.Replica,
        upstream: protocol.Upstream,
        reservations: reservations_lib.Reservations,
        queries: dict[Key, "ReplicaDispatcher"],
    ) -> None:
        """Creates the dispatcher without opening connections.

        Args:
            kernel: The instance.
            replica: The replica as configured.
            upstream: Connections to it.
            reservations: Reservations of all replicas of this instance.
            queries: Dispatcher of each query that waits or runs, shared by
                all dispatchers of this instance.
        """
        self.replica = replica
        self._kernel = kernel
        self._upstream = upstream
        self._reservations = reservations
        self._queries = queries
        self._queue = queue_lib.PriorityQueue(_QUEUE_LIMIT)
        self._running: dict[Key, asyncio.Task] = {}
        self._held: dict[Key, asyncio.TimerHandle] = {}
        self._versions: tuple[int, ...] = ()
        self._service_ms = 1.0

    def add(self, key: Key, request: messages.SubRequest) -> None:
        """Queues a sub-request; a duplicate of one in hand is ignored."""
        if key in self._queries:
            return
        self._queries[key] = self
        self._push(key, request)

    def reserve(self, key: Key, request: messages.SlotReserve) -> None:
        """Queues a reservation; a duplicate is ignored."""
        now_s = self._kernel.clock.now()
        if self._reservations.open(key, self.replica.id, now_s):
            self._push(key, request)

    def cancel(self, key: Key) -> None:
        """Drops a query that waits or runs."""
        if self._queue.remove(key) is not None:
            del self._queries[key]
        task = self._running.get(key)
        if task is not None:
            task.cancel()

    def abandon(self, key: Key, reason: str, answer: bool = True) -> None:
        """Ends a reservation that has not been used and frees its slot."""
        state = self._reservations.state(key)
        if state is reservations_lib.State.WAITING:
            self._queue.remove(key)
        elif state is not reservations_lib.State.HELD:
            return
        self._end_reservation(
            key, messages.SlotState.NOT_SENT, reason, answer=answer
        )

    def go(self, key: Key, message: messages.SlotGo) -> None:
        """Runs a submission in the slot held for it.

        The caller has used up the ticket, so this happens once for a key.
        """
        if message.remaining_ms <= 0:
            self._end_reservation(
                key, messages.SlotState.NOT_SENT, "deadline passed"
            )
            return
        self._held.pop(key).cancel()
        self._running[key] = asyncio.create_task(self._submit(key, message))

    def queue_delay_ms(self, rank: int) -> float:
        """Returns the expected wait of a new item of a rank."""
        waiting = self._queue.ahead_of(rank)
        return waiting * self._service_ms / self.replica.slots

    async def close(self, grace_s: float) -> None:
        """Finishes what waits and runs, then closes the connections."""
        end_s = self._kernel.clock.now() + grace_s
        while self._busy() and self._kernel.clock.now() < end_s:
            await asyncio.sleep(_POLL_S)
        for key in list(self._held):
            self.abandon(key, "stopping")
        await self._upstream.close()

    def dump(self) -> dict[str, Any]:
        """Returns queue length, slots in use and known versions."""
        return {
            "waiting": len(self._queue),
            "running": len(self._running),
            "held": len(self._held),
            "versions": self._versions,
            "service_ms": self._service_ms,
        }

    def _busy(self) -> bool:
        return bool(len(self._queue) or self._running or self._held)

    def _push(
        self, key: Key, work: messages.SubRequest | messages.SlotReserve
    ) -> None:
        now_s = self._kernel.clock.now()
        refused = self._queue.push(
            queue_lib.Item(
                key=key,
                rank=work.rank,
                deadline_s=now_s + work.remaining_ms / 1000,
                queued_s=now_s,
                work=work,
            )
        )
        if refused is not None:
            self._refuse(refused, messages.Outcome.REFUSED)
        self._start_waiting()

    def _refuse(
        self,
        item: queue_lib.Item,
        outcome: messages.Outcome,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Answers work that was never started."""
        if item.key.kind == reservations_lib.SLOT:
            self._end_reservation(
                item.key,
                messages.SlotState.NOT_SENT,
                outcome.value,
                retry_after_ms=retry_after_ms,
            )
            return
        self._answer(
            item,
            protocol.CallReply(
                protocol.CallOutcome.UNSENT, retry_after_ms=retry_after_ms
            ),
            outcome,
        )

    def _start_waiting(self) -> None:
        while len(self._running) + len(self._held) < self.replica.slots:
            item = self._queue.pop()
            if item is None:
                return
            if item.deadline_s <= self._kernel.clock.now():
                self._refuse(item, messages.Outcome.EXPIRED)
            elif item.key.kind == reservations_lib.SLOT:
                self._hold(item.key)
            else:
                self._running[item.key] = asyncio.create_task(self._run(item))

    def _hold(self, key: Key) -> None:
        ticket = self._reservations.hold(key, self._kernel.clock.now())
        self._held[key] = asyncio.get_running_loop().call_later(
            reservations_lib.TICKET_S,
            self.abandon,
            key,
            "ticket expired",
        )
        self._send(key, messages.SlotReady(key.attempt, ticket))

    async def _submit(self, key: Key, message: messages.SlotGo) -> None:
        call_id = f"{message.request}.{key.instance}.s{key.attempt}"
        try:
            reply = await self._upstream.submit(
                protocol.SubmitCall(
                    request=call_id,
                    shard=message.shard,
                    body=message.body,
                    deadline_ms=message.remaining_ms,
                )
            )
        except Exception as error:  # noqa: BLE001
            # A fault of a protocol plug-in leaves open what was written.
            _log.exception("upstream_client_failed", replica=self.replica.id)
            reply = protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=type(error).__name__
            )
        del self._running[key]
        self._end_reservation(
            key,
            _SLOT_STATES[reply.outcome],
            reply.reason or reply.outcome.value,
            reply=reply.body,
            retry_after_ms=reply.retry_after_ms,
        )

    def _end_reservation(
        self,
        key: Key,
        state: messages.SlotState,
        reason: str,
        reply: bytes = b"",
        retry_after_ms: float = 0.0,
        answer: bool = True,
    ) -> None:
        """Ends a reservation and frees its slot."""
        outcome = messages.SlotOutcome(
            attempt=key.attempt,
            state=state,
            reason=reason,
            reply=reply,
            retry_after_ms=retry_after_ms,
        )
        self._reservations.end(key, self._kernel.clock.now(), outcome)
        self._kernel.metrics.count("slot_outcomes", state=state.value)
        timer = self._held.pop(key, None)
        if timer is not None:
            timer.cancel()
        if answer:
            self._send(key, outcome)
        self._start_waiting()

    async def _run(self, item: queue_lib.Item) -> None:
        started_s = self._kernel.clock.now()
        request: messages.SubRequest = item.work
        call_id = f"{request.request}.{item.key.instance}.{item.key.attempt}"
        try:
            reply = await self._upstream.query(
                protocol.QueryCall(
                    request=call_id,
                    service=request.service,
                    index_version=request.index_version,
                    shards=request.shards,
                    query=request.query,
                    deadline_ms=(item.deadline_s - started_s) * 1000,
                )
            )
        except asyncio.CancelledError:
            await self._upstream.cancel(call_id)
            return
        finally:
            del self._running[item.key]
            self._queries.pop(item.key, None)
            self._start_waiting()
        service_ms = (self._kernel.clock.now() - started_s) * 1000
        self._service_ms += (service_ms - self._service_ms) / 8
        self._versions = reply.versions or self._versions
        self._answer(item, reply, _OUTCOMES[reply.outcome], service_ms)

    def _answer(
        self,
        item: queue_lib.Item,
        reply: protocol.CallReply,
        outcome: messages.Outcome,
        service_ms: float = 0.0,
    ) -> None:
        self._queries.pop(item.key, None)
        self._send(
            item.key,
            messages.SubReply(
                attempt=item.key.attempt,
                replica=self.replica.id,
                outcome=outcome,
                index_version=reply.index_version,
                results=reply.results,
                versions=self._versions,
                queue_delay_ms=self.queue_delay_ms(item.rank),
                service_ms=service_ms,
                retry_after_ms=reply.retry_after_ms,
            ),
        )

    def _send(self, key: Key, message: messages.Message) -> None:
        """Answers an attempt unless its incarnation is known to be gone.

        Attempt numbers start again in a new incarnation; an answer to the
        old one could be taken for the answer to an attempt of the new one.
        """
        view = self._kernel.plugin("membership").view
        member = view.members_by_id.get(key.instance)
        if member is not None and member.incarnation not in (
            0,
            key.incarnation,
        ):
            self._kernel.metrics.count("dispatch_answers_dropped")
            return
        self._kernel.plugin("peers").send(key.instance, message)
