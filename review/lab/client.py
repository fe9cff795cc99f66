"""Clients that keep connections, and what they saw."""

import asyncio
import dataclasses
import hashlib
import random

# How long after its time limit a client still reads an answer.
GRACE_S = 0.3


@dataclasses.dataclass
class Attempt:
    """One attempt of a client."""

    id: str
    instance: str
    route: str
    method: str
    path: str
    body_hash: str
    sent_s: float
    limit_s: float
    reused: bool
    outcome: str = ""
    status: int = 0
    ended_s: float = 0.0
    wrong: str = ""
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def read_answer(reader) -> tuple[int, dict[str, str], bytes]:
    """Reads one answer; interim ones are skipped."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        if not first.startswith("HTTP/1.1 "):
            raise ValueError(f"no answer: {first!r}")
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


class Connection:
    """A kept connection to one process."""

    def __init__(self, reader, writer) -> None:
        self._reader, self._writer = reader, writer
        self.reused = False

    @classmethod
    async def open(cls, address) -> "Connection":
        """Connects within one second, as clients do."""
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(*address))

    @property
    def usable(self) -> bool:
        """Whether the other end has not closed it."""
        return not (
            self._writer.is_closing()
            or self._reader.at_eof()
            or self._reader.exception()
        )

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def send(
        self,
        attempt: Attempt,
        host: str,
        body: bytes,
        chunked: bool = False,
        body_s: float = 0.0,
        leave_s: float | None = None,
    ) -> None:
        """Sends an attempt and records its outcome."""
        loop = asyncio.get_running_loop()
        head = (
            f"{attempt.method} {attempt.path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Attempt-Id: {attempt.id}\r\n"
            f"Deadline-Ms: {int(attempt.limit_s * 1000)}\r\n"
        )
        if chunked:
            head += "Transfer-Encoding: chunked\r\n"
        elif body or attempt.method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        patience_s = attempt.limit_s if leave_s is None else leave_s
        try:
            async with asyncio.timeout(patience_s + GRACE_S):
                self._writer.write(head.encode() + b"\r\n")
                size = max(1, -(-len(body) // 4))
                for at in range(0, len(body), size):
                    piece = body[at : at + size]
                    if body_s:
                        await asyncio.sleep(body_s / 4)
                    if chunked:
                        piece = b"%x\r\n%b\r\n" % (len(piece), piece)
                    self._writer.write(piece)
                    await self._writer.drain()
                if chunked:
                    self._writer.write(b"0\r\n\r\n")
                answer = await read_answer(self._reader)
                attempt.status, attempt.headers, attempt.body = answer
                attempt.outcome = "answered"
        except TimeoutError:
            attempt.outcome = "left"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            partial = getattr(error, "partial", b"")
            attempt.outcome = "partial" if partial else "closed"
        except ValueError as error:
            attempt.outcome, attempt.wrong = "answered", str(error)
        attempt.ended_s = loop.time()
        self.reused = True
        if attempt.outcome != "answered" or (
            attempt.headers.get("connection", "").lower() == "close"
        ):
            self.close()


def new_body(rng: random.Random) -> bytes:
    """Returns a body of a random size."""
    size = rng.choice((0, 50, 300, 300, 3000, 30_000, 200_000))
    return hashlib.sha256(str(rng.random()).encode()).digest() * (
        -(-size // 32)
    )


def digest(body: bytes) -> str:
    """Returns a digest of a body."""
    return hashlib.sha256(body).hexdigest()[:16]
