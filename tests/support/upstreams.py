"""In-memory upstream replicas with slots, a FIFO queue and an event journal."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import random
from typing import Any

from mallowloft.upstream import protocol
from tests.support import virtual


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event in the journal of a replica."""

    kind: str
    time_s: float
    replica: str
    request_id: str
    version: int = 0
    shards: tuple[str, ...] = ()
    body: bytes = b""


class FakeReplica:
    """One replica. Tests change its attributes while it runs.

    Attributes:
        service_s: Samples the time for which a call holds a slot.
        service_s_by_request: Returns the service time by request id, instead of
            `service_s`. Two runs then use the same service times for the same
            requests, independent of all other requests.
        slow_factor: Factor by which the service time is multiplied.
        frozen: Whether calls hold their slots forever.
        failing: Whether calls fail at once.
        draining: Whether calls are refused because of a shutdown.
        unreachable: Whether connections fail.
        losing_replies: Whether replies to submissions are lost after the
            submissions ran.
        max_queue: Number of waiting calls above which calls are refused.
        versions: Index versions that can be served.
        health_state: State in health responses, overrides the actual state.
        health_versions: Versions in health responses, override `versions`.
        journal: Events in the order of time.
        busy_s: Total time for which calls held slots.
        open_connections: Number of open connections of all instances.
        peak_connections: Highest number of open connections so far.
        running: Number of calls that hold a slot.
    """

    def __init__(
        self,
        replica_id: str,
        rng: random.Random,
        slots: int = 2,
        connections: int = 25,
        connect_s: float = 0.006,
        service_s: Callable[[random.Random], float] | None = None,
    ) -> None:
        self.id = replica_id
        self.rng = rng
        self.connections_limit = connections
        self.connect_s = connect_s
        self.service_s = service_s or (
            lambda rng: 0.003 * rng.lognormvariate(-0.125, 0.5)
        )
        self.service_s_by_request: Callable[[str], float] | None = None
        self.slow_factor = 1.0
        self.frozen = False
        self.failing = False
        self.draining = False
        self.unreachable = False
        self.losing_replies = False
        self.max_queue = 1000
        self.versions: tuple[int, ...] = (1,)
        self.health_state: str | None = None
        self.health_versions: tuple[int, ...] | None = None
        self.journal: list[Event] = []
        self.busy_s = 0.0
        self.open_connections = 0
        self.peak_connections = 0
        self.running = 0
        self._slots = asyncio.Semaphore(slots)
        self._queue_length = 0
        self._tasks_by_request: dict[str, asyncio.Task] = {}

    def count(self, kind: str) -> int:
        """Returns the number of journal events of a kind."""
        return sum(event.kind == kind for event in self.journal)

    def record(self, kind: str, request_id: str, **fields: Any) -> None:
        """Adds a journal event."""
        now_s = asyncio.get_running_loop().time()
        self.journal.append(Event(kind, now_s, self.id, request_id, **fields))

    async def run(
        self,
        kind: str,
        request_id: str,
        version: int,
        shards: tuple[str, ...],
        body: bytes = b"",
    ) -> protocol.CallReply:
        """Runs a call and returns its outcome without results."""
        if self.failing:
            self.record(f"{kind}_failed", request_id)
            return protocol.CallReply(protocol.CallOutcome.FAILED)
        if self.draining:
            self.record(f"{kind}_refused", request_id)
            return protocol.CallReply(protocol.CallOutcome.DRAINING)
        if self._queue_length >= self.max_queue:
            self.record(f"{kind}_refused", request_id)
            return protocol.CallReply(protocol.CallOutcome.SHED)
        if version and version not in self.versions:
            return protocol.CallReply(
                protocol.CallOutcome.WRONG_VERSION, versions=self.versions
            )
        task = asyncio.current_task()
        self._tasks_by_request[request_id] = task
        self._queue_length += 1
        is_waiting = True
        try:
            async with self._slots:
                self._queue_length -= 1
                is_waiting = False
                fields = {"version": version, "shards": shards, "body": body}
                self.record(f"{kind}_started", request_id, **fields)
                started_s = asyncio.get_running_loop().time()
                self.running += 1
                try:
                    if self.frozen:
                        await asyncio.Event().wait()
                    service_s = (
                        self.service_s(self.rng)
                        if self.service_s_by_request is None
                        else self.service_s_by_request(request_id)
                    )
                    await asyncio.sleep(service_s * self.slow_factor)
                finally:
                    now_s = asyncio.get_running_loop().time()
                    self.busy_s += now_s - started_s
                    self.running -= 1
                self.record(f"{kind}_finished", request_id, **fields)
                return protocol.CallReply(
                    protocol.CallOutcome.OK, index_version=version
                )
        except asyncio.CancelledError:
            self.record(f"{kind}_cancelled", request_id)
            raise
        finally:
            self._queue_length -= is_waiting
            self._tasks_by_request.pop(request_id, None)

    def cancel(self, request_id: str) -> None:
        """Cancels a call."""
        task = self._tasks_by_request.get(request_id)
        if task is not None:
            task.cancel()


class FakeUpstream:
    """Connections of one instance to a replica."""

    def __init__(
        self, replica: FakeReplica, max_connections: int, one_way_s: float
    ) -> None:
        self._replica = replica
        self._max_connections = max_connections
        self._one_way_s = one_way_s
        self._open_count = 0
        self._idle_count = 0
        self._connection_released = asyncio.Condition()

    async def query(self, call: protocol.QueryCall) -> protocol.CallReply:
        reply = await self._call(
            "query",
            call.request_id,
            call.index_version,
            call.shards,
            call.deadline_ms,
            b"",
        )
        if reply.outcome is not protocol.CallOutcome.OK:
            return reply
        results = {
            shard: json.dumps(
                [
                    f"{self._replica.id}/{shard}@{call.index_version}",
                    json.loads(call.query),
                ]
            ).encode()
            for shard in call.shards
        }
        return dataclasses.replace(reply, results=results)

    async def submit(self, call: protocol.SubmitCall) -> protocol.CallReply:
        reply = await self._call(
            "submit",
            call.request_id,
            0,
            (call.shard,),
            call.deadline_ms,
            call.body,
        )
        if self._replica.losing_replies:
            return protocol.CallReply(protocol.CallOutcome.FAILED)
        if reply.outcome is protocol.CallOutcome.OK:
            return dataclasses.replace(reply, body=call.body)
        return reply

    async def cancel(self, request_id: str) -> None:
        await asyncio.sleep(self._one_way_s)
        self._replica.cancel(request_id)

    async def health(self) -> protocol.Health | None:
        await asyncio.sleep(2 * self._one_way_s)
        replica = self._replica
        if replica.frozen or replica.unreachable:
            return None
        state = "draining" if replica.draining else "ok"
        versions = replica.health_versions
        return protocol.Health(
            replica.health_state or state,
            replica.versions if versions is None else versions,
        )

    async def preconnect(self, connections: int) -> None:
        missing = min(connections, self._max_connections) - self._open_count
        for _ in range(missing):
            self._count_opened()
            self._idle_count += 1
        if missing > 0:
            await asyncio.sleep(self._replica.connect_s)

    async def close(self) -> None:
        self._replica.open_connections -= self._open_count
        self._open_count = 0

    def _count_opened(self) -> None:
        self._open_count += 1
        replica = self._replica
        replica.open_connections += 1
        replica.peak_connections = max(
            replica.peak_connections, replica.open_connections
        )

    async def _acquire_connection(self) -> None:
        async with self._connection_released:
            while (
                not self._idle_count
                and self._open_count >= self._max_connections
            ):
                await self._connection_released.wait()
            if self._idle_count:
                self._idle_count -= 1
                return
            self._count_opened()
        await asyncio.sleep(self._replica.connect_s)

    async def _call(
        self,
        kind: str,
        request_id: str,
        version: int,
        shards: tuple[str, ...],
        deadline_ms: float,
        body: bytes,
    ) -> protocol.CallReply:
        if self._replica.unreachable:
            await asyncio.sleep(2 * self._one_way_s)
            return protocol.CallReply(protocol.CallOutcome.UNSENT)
        await self._acquire_connection()
        task = None
        try:
            await asyncio.sleep(self._one_way_s)
            # Like a real server, the replica continues a call after the client
            # has disconnected, until the call is cancelled or its deadline
            # passes.
            task = asyncio.create_task(
                self._replica.run(kind, request_id, version, shards, body),
                context=virtual.context_of(""),
            )
            reply = await asyncio.wait_for(
                asyncio.shield(task), deadline_ms / 1000
            )
            await asyncio.sleep(self._one_way_s)
            return reply
        except TimeoutError:
            task.cancel()
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason="timeout"
            )
        except asyncio.CancelledError:
            dropped = task is not None and task.cancelled()
            if dropped and not asyncio.current_task().cancelling():
                await asyncio.sleep(self._one_way_s)
                return protocol.CallReply(
                    protocol.CallOutcome.FAILED, reason="cancelled"
                )
            raise
        finally:
            self._idle_count += 1
            async with self._connection_released:
                self._connection_released.notify()


class FakeUpstreams:
    """Replaces the `upstream` plug-in of one instance.

    Attributes:
        extra_one_way_s: Additional one-way latency by replica id, for replicas
            in other failure domains.
    """

    requires: tuple[str, ...] = ()

    def __init__(
        self, replicas_by_id: dict[str, FakeReplica], one_way_s: float
    ) -> None:
        self._replicas_by_id = replicas_by_id
        self._one_way_s = one_way_s
        self.extra_one_way_s: dict[str, float] = {}

    def open(
        self, protocol_name: str, url: str, max_connections: int
    ) -> FakeUpstream:
        del protocol_name
        replica = self._replicas_by_id[url.removeprefix("http://")]
        one_way_s = self._one_way_s + self.extra_one_way_s.get(replica.id, 0.0)
        return FakeUpstream(replica, max_connections, one_way_s)

    async def start(self) -> None:
        pass

    async def stop(self, grace_s: float) -> None:
        del grace_s

    def ready(self) -> bool:
        return True

    def dump(self) -> dict[str, Any]:
        return {}
