"""Collectors on simulated connections, on virtual time."""

import asyncio
from collections.abc import Callable
import types

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import collector as collector_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import model
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib

_REMOTE_DELAY_S = 0.0014


class _Call:
    """One call of a collector: its ASGI server side and the connection."""

    def __init__(self, pool: "Pool", exchange: http1.Exchange) -> None:
        self._pool = pool
        self._exchange = exchange
        self._loop = asyncio.get_running_loop()
        self._requests: asyncio.Queue[dict] = asyncio.Queue()
        self._status = 0
        body = exchange.wire.partition(b"\r\n\r\n")[2]
        self._requests.put_nowait({"type": "http.request", "body": body})

    async def serve(self) -> None:
        """Runs the collector's application."""
        await self._pool.collector._serve_call(
            {"headers": ()}, self._receive, self._send
        )

    def close(self, reason: str) -> None:
        """Closes the connection as its client."""
        del reason
        self._after_delay(
            self._requests.put_nowait, {"type": "http.disconnect"}
        )

    async def _receive(self) -> dict:
        if not self._pool.frozen:
            self._after_delay(setattr, self._exchange, "interim_received", True)
        return await self._requests.get()

    async def _send(self, message: dict) -> None:
        if message["type"] == "http.response.start":
            self._status = message["status"]
            return
        if self._pool.frozen:
            return
        data = message["body"]
        self._pool.sent_bytes += len(data)
        if self._status != 200:
            response = http1.Response(self._status, (), data)
            self._after_delay(self._exchange.set_outcome, response)
            return
        self._after_delay(self._deliver, data, message.get("more_body"))

    def reset(self) -> None:
        """Ends the call as a collector that was killed does."""
        self._exchange.set_outcome(http1.FailureReason.BROKEN)

    def _deliver(self, data: bytes, more_body: bool) -> None:
        if not self._exchange.done:
            self._exchange.on_data(data)
        if not more_body:
            self._exchange.set_outcome(http1.Response(200, (), b""))

    def _after_delay(self, function: Callable, *arguments: object) -> None:
        self._loop.call_later(_REMOTE_DELAY_S, function, *arguments)


class Pool:
    """Connections to one collector.

    Attributes:
        frozen: Whether the collector neither reads nor answers.
        sent_bytes: Size of its replies.
        calls: Number of batches that it got.
    """

    max_connections = 8
    open_count = 1
    failing = False
    address = "collector:1"

    def __init__(
        self, instance: replicas_lib.Instance, table: model.Table
    ) -> None:
        instance.table = table
        instance.stats_of = lambda route: types.SimpleNamespace(
            latency=instance.latency_of(route)
        )
        fleet = types.SimpleNamespace(mount=lambda path, application: None)
        self.kernel = types.SimpleNamespace(
            plugin={"routes": instance, "fleet": fleet}.get,
            metrics=metrics_lib.Metrics(),
            stopping=False,
        )
        self.collector = collector_lib.Collector(self.kernel)
        self.instance = instance
        self.frozen = False
        self.sent_bytes = 0
        self.calls = 0
        self._open_calls: set[_Call] = set()

    def submit(self, exchange: http1.Exchange) -> None:
        """Sends a batch to the collector."""
        call = _Call(self, exchange)
        exchange.connection = call
        loop = asyncio.get_running_loop()
        loop.call_later(
            _REMOTE_DELAY_S, lambda: loop.create_task(self._serve(call))
        )

    def reset(self) -> None:
        """Breaks all calls, as a kill of the collector does."""
        for call in list(self._open_calls):
            call.reset()

    def round_trip_s(self) -> float:
        """Returns the round-trip time to the collector."""
        return 2 * _REMOTE_DELAY_S

    async def _serve(self, call: _Call) -> None:
        if self.frozen:
            return
        self.calls += 1
        self._open_calls.add(call)
        await call.serve()
        self._open_calls.discard(call)

    def entry(self) -> directory_lib.ReplicaEntry:
        """Returns a new entry of the collector as one sender sees it."""
        domain = self.instance.domain
        return directory_lib.ReplicaEntry(
            model.Replica(f"collector-{domain}", "hubs", "h", 1, domain, 8),
            self,
            health_lib.ReplicaHealth(),
            remote=True,
        )


def connect(
    instances: list[replicas_lib.Instance], collectors: list[Pool]
) -> None:
    """Makes the collectors known to the instances of other domains."""
    for instance in instances:
        for pool in collectors:
            if pool.instance.domain != instance.domain:
                instance.collectors_by_domain.setdefault(
                    pool.instance.domain, []
                ).append(pool.entry())
