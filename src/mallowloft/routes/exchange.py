"""Helpers for ASGI requests of callers and other instances."""

import asyncio
from collections.abc import Mapping
from typing import Any

from mallowloft.callers import connection_headers
from mallowloft.callers import protocol
from mallowloft.routes import model
from mallowloft.routes import running
from mallowloft.routes import timing

# Iterations that the event loop needs to detect a connection that was closed
# before its request was read.
_DISCONNECT_CHECK_ITERATIONS = 3


class CallerLeftError(Exception):
    """The caller has closed its connection."""


class ServerExchange:
    """One ASGI request of a caller or another instance."""

    def __init__(self, scope: Mapping[str, Any], receive, send) -> None:
        self.scope = scope
        self._receive = receive
        self.send = send
        self.headers: model.Headers = tuple(
            (bytes(name), bytes(value)) for name, value in scope["headers"]
        )

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, empty if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    @property
    def target(self) -> bytes:
        """Path and query as the caller sent them."""
        return self.scope["extensions"][protocol.TARGET_EXTENSION]

    async def read_request(
        self, names: model.HeaderNames, max_body_bytes: int
    ) -> model.Request | model.Answer:
        """Returns the request to forward, or the answer if it is refused.

        Args:
            names: Names of the headers that the service interprets.
            max_body_bytes: Limit of the body in bytes.

        Raises:
            CallerLeftError: The caller has closed its connection.
        """
        if sum(name == names.request_id for name, _ in self.headers) > 1:
            return model.failure(400, "repeated_id")
        declared = self.header(b"content-length")
        if declared.isdigit() and int(declared) > max_body_bytes:
            return model.failure(413, "body_too_large")
        body = await self.read_body(max_body_bytes)
        if body is None:
            return model.failure(413, "body_too_large")
        return model.Request(
            id=self.header(names.request_id),
            method=self.scope["method"].encode(),
            target=self.target,
            headers=connection_headers.end_to_end(
                self.headers,
                frozenset((names.deadline, names.expected_replica)),
                frozenset((b"host", names.request_id)),
            ),
            body=body,
        )

    @property
    def caller(self) -> str:
        """Address of the peer without its port; empty if it is unknown."""
        client = self.scope.get("client")
        return str(client[0]) if client else ""

    def caller_path(self, default_round_trip_s: float) -> timing.CallerPath:
        """Returns the network path to the caller.

        Args:
            default_round_trip_s: Round-trip time if the kernel knows none.
        """
        connection = self.scope.get("extensions", {}).get(
            protocol.CONNECTION_EXTENSION
        )
        if connection is None:
            return timing.CallerPath(default_round_trip_s, False)
        measured_s = connection.round_trip_s()
        return timing.CallerPath(
            default_round_trip_s if measured_s is None else measured_s,
            connection.reused,
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection is not known to be closed."""
        connection = self.scope.get("extensions", {}).get(
            protocol.CONNECTION_EXTENSION
        )
        return connection is None or not connection.transport.is_closing()

    @property
    def has_body(self) -> bool:
        """Whether a body follows the headers."""
        return any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self.headers
        )

    async def read_body(self, limit: int) -> bytes | None:
        """Returns the body, None if it exceeds the limit in bytes.

        Raises:
            CallerLeftError: The caller has closed its connection.
        """
        chunks = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerLeftError
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
            if not message.get("more_body"):
                return b"".join(chunks)

    async def wait_for_disconnect(self) -> None:
        """Waits until the caller has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def is_disconnected(self) -> bool:
        """Whether the caller's connection is known to be closed."""
        disconnect = asyncio.ensure_future(self.wait_for_disconnect())
        for _ in range(_DISCONNECT_CHECK_ITERATIONS):
            await asyncio.sleep(0)
        disconnect.cancel()
        return disconnect.done() and not disconnect.cancelled()

    async def respond(
        self, answer: model.Answer, close_connection: bool
    ) -> None:
        """Sends the answer."""
        headers = list(answer.headers)
        # No content-length is added to answers to HEAD and with status 204 or
        # 304.
        if answer.status not in (204, 304) and self.scope["method"] != "HEAD":
            headers.append((b"content-length", b"%d" % len(answer.body)))
        if close_connection:
            headers.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await self.send({"type": "http.response.body", "body": answer.body})


async def respond(
    send, status: int, body: bytes, headers: model.Headers = ()
) -> None:
    """Sends a complete response of an ASGI application."""
    headers = [(b"content-length", b"%d" % len(body)), *headers]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


async def run_until_answered(
    exchange: ServerExchange, task: running.RequestTask
) -> model.Answer:
    """Runs a request and returns its answer.

    The request is cancelled if the caller disconnects.

    Raises:
        CallerLeftError: The caller has closed its connection.
    """
    task.start()
    if task.done.done():
        return task.done.result()
    disconnect = asyncio.ensure_future(exchange.wait_for_disconnect())
    try:
        await asyncio.wait(
            (task.done, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
        if task.done.done():
            return task.done.result()
        raise CallerLeftError
    finally:
        disconnect.cancel()
        task.cancel()
