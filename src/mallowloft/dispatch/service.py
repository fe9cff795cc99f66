"""Plug-in that dispatches work to the replicas of this instance."""

import asyncio
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import model
from mallowloft.dispatch import queue as queue_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.upstream import protocol

_log = logs.get("dispatch")

_QUEUE_LIMIT = 512
# Several dispatchers may exist for a replica while membership views differ;
# each one uses at most this fraction of the connection limit.
_CONNECTION_DIVISOR = 4

_OUTCOMES = {
    protocol.CallOutcome.OK: messages.Outcome.OK,
    protocol.CallOutcome.WRONG_VERSION: messages.Outcome.WRONG_VERSION,
    protocol.CallOutcome.SHED: messages.Outcome.SHED,
    protocol.CallOutcome.DRAINING: messages.Outcome.DRAINING,
    protocol.CallOutcome.UNSENT: messages.Outcome.UNREACHABLE,
    protocol.CallOutcome.FAILED: messages.Outcome.FAILED,
}


class ReplicaDispatcher:
    """Queue, slots and connections of one replica."""

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        replica: model.Replica,
        upstream: protocol.Upstream,
    ) -> None:
        self.replica = replica
        self._kernel = kernel
        self._upstream = upstream
        self._queue = queue_lib.PriorityQueue(_QUEUE_LIMIT)
        self._running: dict[Any, asyncio.Task] = {}
        self._versions: tuple[int, ...] = ()
        self._service_ms = 1.0

    def add(self, sender: str, request: messages.SubRequest) -> None:
        """Queues a sub-request."""
        now_s = self._kernel.clock.now()
        item = queue_lib.Item(
            key=(sender, request.attempt),
            rank=request.rank,
            deadline_s=now_s + request.remaining_ms / 1000,
            queued_s=now_s,
            work=request,
        )
        refused = self._queue.push(item)
        if refused is not None:
            self._answer(refused, messages.Outcome.REFUSED)
        self._start_waiting()

    def cancel(self, sender: str, attempt: int) -> None:
        """Drops a sub-request that waits or runs."""
        key = (sender, attempt)
        self._queue.remove(key)
        task = self._running.get(key)
        if task is not None:
            task.cancel()

    def queue_delay_ms(self, rank: int) -> float:
        """Returns the expected wait of a new item of a rank."""
        waiting = self._queue.ahead_of(rank)
        return waiting * self._service_ms / self.replica.slots

    async def close(self) -> None:
        """Waits for running calls and closes the connections."""
        await asyncio.gather(*self._running.values(), return_exceptions=True)
        await self._upstream.close()

    def dump(self) -> dict[str, Any]:
        """Returns queue length, running calls and known versions."""
        return {
            "waiting": len(self._queue),
            "running": len(self._running),
            "versions": self._versions,
            "service_ms": self._service_ms,
        }

    def _start_waiting(self) -> None:
        while len(self._running) < self.replica.slots:
            item = self._queue.pop()
            if item is None:
                return
            if item.deadline_s <= self._kernel.clock.now():
                self._answer(item, messages.Outcome.EXPIRED)
                continue
            task = asyncio.create_task(self._run(item))
            self._running[item.key] = task

    async def _run(self, item: queue_lib.Item) -> None:
        started_s = self._kernel.clock.now()
        request: messages.SubRequest = item.work
        call_id = f"{request.request}.{item.key[0]}.{request.attempt}"
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
            self._start_waiting()
        service_ms = (self._kernel.clock.now() - started_s) * 1000
        self._service_ms += (service_ms - self._service_ms) / 8
        self._versions = reply.versions or self._versions
        self._answer(item, _OUTCOMES[reply.outcome], reply, service_ms)

    def _answer(
        self,
        item: queue_lib.Item,
        outcome: messages.Outcome,
        reply: protocol.CallReply | None = None,
        service_ms: float = 0.0,
    ) -> None:
        self._kernel.plugin("peers").send(
            item.key[0],
            messages.SubReply(
                attempt=item.work.attempt,
                replica=self.replica.id,
                outcome=outcome,
                index_version=reply.index_version if reply else 0,
                results=reply.results if reply else {},
                versions=self._versions,
                queue_delay_ms=self.queue_delay_ms(item.rank),
                service_ms=service_ms,
                retry_after_ms=reply.retry_after_ms if reply else 0.0,
            ),
        )


@registry.plugins.register("dispatch")
class DispatchService:
    """Queues of the replicas for which this instance dispatches."""

    requires = ("peers", "configuration", "membership", "upstream")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._dispatchers_by_replica: dict[str, ReplicaDispatcher] = {}

    async def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.SubRequest, self._on_request)
        peers.on(messages.Cancel, self._on_cancel)

    async def stop(self, grace_s: float) -> None:
        """Finishes running calls."""
        del grace_s
        for dispatcher in self._dispatchers_by_replica.values():
            await dispatcher.close()

    def ready(self) -> bool:
        """Always ready; dispatchers are created on demand."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the state of each replica's dispatcher."""
        return {
            replica: dispatcher.dump()
            for replica, dispatcher in self._dispatchers_by_replica.items()
        }

    def _dispatcher(self, replica_id: str) -> ReplicaDispatcher | None:
        if replica_id in self._dispatchers_by_replica:
            return self._dispatchers_by_replica[replica_id]
        store = self._kernel.plugin("configuration").store
        replica = store.current.replicas_by_id.get(replica_id)
        if replica is None:
            return None
        upstream = self._kernel.plugin("upstream").open(
            "http", replica.url, replica.connections // _CONNECTION_DIVISOR
        )
        dispatcher = ReplicaDispatcher(self._kernel, replica, upstream)
        self._dispatchers_by_replica[replica_id] = dispatcher
        return dispatcher

    def _on_request(
        self, sender: peers_lib.Sender, request: messages.SubRequest
    ) -> None:
        dispatcher = self._dispatcher(request.replica)
        if dispatcher is not None:
            dispatcher.add(sender.instance, request)
            return
        self._kernel.plugin("peers").send(
            sender.instance,
            messages.SubReply(
                attempt=request.attempt,
                replica=request.replica,
                outcome=messages.Outcome.UNREACHABLE,
                index_version=0,
                results={},
                versions=(),
                queue_delay_ms=0.0,
                service_ms=0.0,
                retry_after_ms=0.0,
            ),
        )

    def _on_cancel(
        self, sender: peers_lib.Sender, message: messages.Cancel
    ) -> None:
        for attempt in message.attempts:
            for dispatcher in self._dispatchers_by_replica.values():
                dispatcher.cancel(sender.instance, attempt)
