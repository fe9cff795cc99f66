"""One request of a caller or of another instance, in ASGI terms."""

import asyncio
from collections.abc import Mapping
from typing import Any

from mallowloft.routes import model
from mallowloft.routes import running

# Turns of the event loop in which it notices a connection that was closed
# before its request was read.
_CLOSE_TURNS = 3


class CallerLeftError(Exception):
    """The caller has closed its connection."""


class Exchange:
    """One request of a caller in ASGI terms."""

    def __init__(self, scope: Mapping[str, Any], receive, send) -> None:
        self.scope = scope
        self._receive = receive
        self.send = send
        self.headers: model.Headers = tuple(
            (bytes(name), bytes(value)) for name, value in scope["headers"]
        )

    def header(self, name: bytes) -> bytes:
        """Returns the first header of a name, empty if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    async def read_body(self, limit: int) -> bytes | None:
        """Returns the body, None if it is larger than the limit."""
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

    async def left(self) -> None:
        """Returns when the caller has closed its connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def has_left(self) -> bool:
        """Whether the caller's connection is known to be closed."""
        leaving = asyncio.ensure_future(self.left())
        for _ in range(_CLOSE_TURNS):
            await asyncio.sleep(0)
        leaving.cancel()
        return leaving.done() and not leaving.cancelled()

    async def respond(self, answer: model.Answer, closing: bool) -> None:
        """Sends the answer."""
        headers = list(answer.headers)
        # Answers without a body by their status or method have no length
        # of ours: a replica's reply to HEAD states that of the body.
        if answer.status not in (204, 304) and self.scope["method"] != "HEAD":
            headers.append((b"content-length", b"%d" % len(answer.body)))
        if closing:
            headers.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await self.send({"type": "http.response.body", "body": answer.body})


async def respond(send, status: int, body: bytes) -> None:
    """Sends a whole response of an ASGI application."""
    headers = [(b"content-length", b"%d" % len(body))]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


async def finish(exchange: Exchange, work: running.Work) -> model.Answer:
    """Returns the answer; stops the work if the caller leaves.

    Raises:
        CallerLeftError: The caller has closed its connection.
    """
    work.start()
    if work.done.done():
        return work.done.result()
    leaving = asyncio.ensure_future(exchange.left())
    try:
        await asyncio.wait(
            (work.done, leaving), return_when=asyncio.FIRST_COMPLETED
        )
        if work.done.done():
            return work.done.result()
        raise CallerLeftError
    finally:
        leaving.cancel()
        work.cancel()
