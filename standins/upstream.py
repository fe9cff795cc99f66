"""Stand-in for upstream replicas; one process runs any number of them.

A replica has slots with a FIFO queue, a connection limit, a delay for each new
connection, index versions, and a journal of the calls that it ran, failed or
refused as draining or shed. Calls that it refuses because of the connection
limit or the index version are not in the journal. `POST /admin/set` changes its
behaviour at run time.
"""

import argparse
import asyncio
import dataclasses
import json
import random
import signal
import sys
import time
from typing import Any

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from standins import serving


@dataclasses.dataclass
class Behaviour:
    """Settings of a replica that `POST /admin/set` changes.

    Attributes:
        service_ms: Mean time for which a call holds a slot.
        slow_factor: Factor on the service time, to simulate a slow replica or
            a cold start.
        frozen: Whether health checks and calls that hold a slot are never
            answered. Cancelled calls still get status 499.
        failing: Whether calls are answered at once with status 500.
        draining: Whether new calls are refused with status 503 and the field
            `not_run`.
        max_queue: Number of calls that may wait for a slot. Further calls are
            shed with `not_run`.
        versions: Index versions that the replica serves.
        health_state: State that the health endpoint reports unless the replica
            is draining.
        health_versions: Index versions that the health endpoint reports; None
            for the versions that the replica serves.
        truncate: Whether answers to queries omit the last requested shard.
    """

    service_ms: float = 3.0
    slow_factor: float = 1.0
    frozen: bool = False
    failing: bool = False
    draining: bool = False
    max_queue: int = 64
    versions: tuple[int, ...] = (1,)
    health_state: str = "ok"
    health_versions: tuple[int, ...] | None = None
    truncate: bool = False


class Replica:
    """One replica of one service."""

    def __init__(
        self,
        replica_id: str,
        slots: int,
        connections: int,
        connect_ms: float,
        seed: int,
    ) -> None:
        self.id = replica_id
        self.behaviour = Behaviour()
        self.journal: list[dict[str, Any]] = []
        self.peak_connections = 0
        self.refused_connections = 0
        self.busy_s = 0.0
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._max_connections = connections
        self._connect_ms = connect_ms
        self._known_clients: set[tuple[str, int]] = set()
        self._tasks_by_request: dict[str, asyncio.Task] = {}
        self._random = random.Random(seed)
        self._server: serving.Server | None = None
        self._app = applications.Starlette(
            routes=[
                routing.Route("/v1/query", self._query, methods=["POST"]),
                routing.Route("/v1/submit", self._submit, methods=["POST"]),
                routing.Route("/v1/cancel", self._cancel, methods=["POST"]),
                routing.Route("/v1/health", self._health),
                routing.Route("/v1/load", self._load),
                routing.Route("/admin/set", self._set, methods=["POST"]),
                routing.Route("/admin/journal", self._journal),
            ]
        )

    async def start(self, port: int) -> asyncio.Task:
        """Starts the server on a port and returns the task that runs it."""
        self._server, task = await serving.start(self._app, port)
        return task

    async def _admit_connection(
        self, request: requests.Request
    ) -> responses.Response | None:
        """Enforces the connection limit and delays new connections.

        Both happen at the first request of a connection. Clients are told apart
        by address and port, and are never forgotten.

        Returns:
            A response that refuses the request, or None to admit it.
        """
        client = (request.client.host, request.client.port)
        count = len(self._server.server_state.connections)
        self.peak_connections = max(self.peak_connections, count)
        if client in self._known_clients:
            return None
        if count > self._max_connections:
            self.refused_connections += 1
            return responses.JSONResponse(
                {"reason": "connections", "not_run": True},
                503,
                {"Connection": "close"},
            )
        self._known_clients.add(client)
        await asyncio.sleep(self._connect_ms / 1000)
        return None

    def _record_event(
        self, event: str, call: dict[str, Any], **fields: Any
    ) -> None:
        self.journal.append(
            {
                "event": event,
                "time": time.time(),
                "replica": self.id,
                "request": call["request"],
                **fields,
            }
        )

    async def _query(self, request: requests.Request) -> responses.Response:
        return await self._run(request, "query", self._query_answer)

    async def _submit(self, request: requests.Request) -> responses.Response:
        return await self._run(request, "submit", self._submit_answer)

    def _query_answer(self, call: dict[str, Any]) -> dict[str, Any]:
        shards = list(call["shards"])
        if self.behaviour.truncate:
            shards = shards[:-1]
        version = call["index_version"]
        return {
            "index_version": version,
            "results": {
                shard: [f"{self.id}/{shard}@{version}"] for shard in shards
            },
        }

    def _submit_answer(self, call: dict[str, Any]) -> dict[str, Any]:
        return {"accepted": call["body"], "replica": self.id}

    async def _run(
        self, request: requests.Request, kind: str, make_answer
    ) -> responses.Response:
        refusal = await self._admit_connection(request)
        if refusal is not None:
            return refusal
        call = json.loads(await request.body())
        refusal = self._refusal(kind, call)
        if refusal is not None:
            return refusal
        task = asyncio.current_task()
        self._tasks_by_request[call["request"]] = task
        self._waiting += 1
        is_waiting = True
        try:
            async with self._free_slots:
                self._waiting -= 1
                is_waiting = False
                fields = {
                    "shards": call.get("shards") or [call["shard"]],
                    "version": call.get("index_version"),
                    "body": call.get("body"),
                }
                self._record_event(f"{kind}_started", call, **fields)
                await self._occupy_slot()
                body = make_answer(call)
                self._record_event(f"{kind}_finished", call, **fields)
                return responses.JSONResponse(body)
        except asyncio.CancelledError:
            self._record_event(f"{kind}_cancelled", call)
            return responses.JSONResponse({"reason": "cancelled"}, 499)
        finally:
            self._waiting -= is_waiting
            self._tasks_by_request.pop(call["request"], None)

    def _refusal(
        self, kind: str, call: dict[str, Any]
    ) -> responses.Response | None:
        behaviour = self.behaviour
        if behaviour.failing:
            self._record_event(f"{kind}_failed", call)
            return responses.JSONResponse({"reason": "failing"}, 500)
        if behaviour.draining:
            self._record_event(f"{kind}_refused", call, reason="draining")
            return responses.JSONResponse(
                {"reason": "draining", "not_run": True}, 503
            )
        if self._waiting >= behaviour.max_queue:
            self._record_event(f"{kind}_refused", call, reason="shed")
            return responses.JSONResponse(
                {"reason": "shed", "not_run": True, "retry_after_ms": 50}, 503
            )
        version = call.get("index_version")
        if version is not None and version not in behaviour.versions:
            return responses.JSONResponse(
                {"reason": "version", "versions": list(behaviour.versions)},
                409,
            )
        return None

    async def _occupy_slot(self) -> None:
        behaviour = self.behaviour
        if behaviour.frozen:
            await asyncio.Event().wait()
        mean_s = behaviour.service_ms * behaviour.slow_factor / 1000
        # The mean of the factor is 1.
        random_factor = self._random.lognormvariate(-0.125, 0.5)
        started_s = time.monotonic()
        await asyncio.sleep(mean_s * random_factor)
        self.busy_s += time.monotonic() - started_s

    async def _cancel(self, request: requests.Request) -> responses.Response:
        call = json.loads(await request.body())
        task = self._tasks_by_request.get(call["request"])
        if task is not None:
            task.cancel()
        return responses.JSONResponse({"found": task is not None})

    async def _health(self, request: requests.Request) -> responses.Response:
        refusal = await self._admit_connection(request)
        if refusal is not None:
            return refusal
        behaviour = self.behaviour
        if behaviour.frozen:
            await asyncio.Event().wait()
        versions = behaviour.health_versions
        if versions is None:
            versions = behaviour.versions
        state = "draining" if behaviour.draining else behaviour.health_state
        return responses.JSONResponse(
            {"state": state, "versions": list(versions)}
        )

    async def _load(self, request: requests.Request) -> responses.Response:
        del request
        # Waiting calls are included in both numbers.
        return responses.JSONResponse(
            {"waiting": self._waiting, "running": len(self._tasks_by_request)}
        )

    async def _set(self, request: requests.Request) -> responses.Response:
        values = json.loads(await request.body())
        self.behaviour = dataclasses.replace(self.behaviour, **values)
        return responses.JSONResponse(dataclasses.asdict(self.behaviour))

    async def _journal(self, request: requests.Request) -> responses.Response:
        del request
        return responses.JSONResponse(
            {
                "journal": self.journal,
                "peak_connections": self.peak_connections,
                "refused_connections": self.refused_connections,
                "busy_s": self.busy_s,
            }
        )


async def _serve(specs: list[str], seed: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    for offset, spec in enumerate(specs):
        replica_id, port, slots, connections, connect_ms = spec.split(":")
        replica = Replica(
            replica_id,
            int(slots),
            int(connections),
            float(connect_ms),
            seed + offset,
        )
        await replica.start(int(port))
    print("ready", flush=True)
    await stop.wait()


def main() -> int:
    """Runs the replicas given on the command line until a signal arrives."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "replicas", nargs="+", help="id:port:slots:connections:connect_ms"
    )
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.replicas, arguments.seed))
    return 0


if __name__ == "__main__":
    sys.exit(main())
