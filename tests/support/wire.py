"""A strict reader of HTTP/1.1 requests, and a connection without a network."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import re

import uvicorn
from uvicorn import server as uvicorn_server

from mallowloft.callers import protocol as protocol_lib
from mallowloft.kernel import connections
from mallowloft.kernel import metrics
from mallowloft.routes import attempts
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import model

NAMES = model.HeaderNames()
MAX_BODY_BYTES = 120
# Requests with this path are answered before their bodies are read.
UNROUTED = b"/none"
_DEADLINE_MS = 250
_REPLICA = "r-1"
_MAX_ITERATIONS = 2000
# Iterations in which a request makes progress, without the replica's work.
_IDLE_ITERATIONS = 12
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_START = re.compile(
    rb"[\r\n]*([A-Z][A-Z_-]*) +(\S+) +(HTTP|RTSP|ICE)/(\d\.\d)\r\n"
)
_HEADER = re.compile(
    rb"(" + _TOKEN + rb"):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*\r\n"
)
_CHUNK = re.compile(rb"([0-9A-Fa-f]+)(;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_ORIGIN_FORM = re.compile(rb"/[\x21\x22\x24-\x7e]*|\*")
# What a server has to take; it may also take other targets and methods.
_USUAL_TARGET = re.compile(rb"/[A-Za-z0-9/?=&%._~!$'()*+,;:@-]*")
_USUAL_METHODS = (b"DELETE", b"GET", b"HEAD", b"OPTIONS", b"POST", b"PUT")
_HOP_BY_HOP = {
    b"connection",
    b"content-length",
    b"expect",
    b"http2-settings",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class Message:
    """A request as the reader understands it.

    Attributes:
        end: Offset of the first byte after it.
        may_be_refused: Whether a server may also answer it with status 400.
        closes: Whether no request may follow it.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    end: int
    may_be_refused: bool
    closes: bool

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of a header."""
        return [value for key, value in self.headers if key == name]

    def forwarded(self) -> tuple[bytes, bytes, Headers, bytes]:
        """Returns method, target, headers and body that a replica must get."""
        excluded = _HOP_BY_HOP | {NAMES.deadline, NAMES.expected_replica}
        for value in self.values(b"connection"):
            named = {token.strip() for token in value.lower().split(b",")}
            excluded |= named - {b"host", NAMES.request_id}
        headers = tuple(
            item for item in self.headers if item[0] not in excluded
        )
        return (self.method, self.target, headers, self.body)


class _UnreadableError(Exception):
    """Bytes that are no request, or not yet a whole one."""


def read(data: bytes, start: int = 0) -> Message | None:
    """Returns the request at an offset, None if there is none."""
    try:
        return _read(data, start)
    except _UnreadableError:
        return None


def read_all(data: bytes) -> list[Message]:
    """Returns the requests that a connection carries."""
    messages = []
    start = 0
    while (message := read(data, start)) is not None:
        messages.append(message)
        if message.closes:
            break
        start = message.end
    return messages


def _read(data: bytes, start: int) -> Message:
    match = _START.match(data, start)
    if match is None or match[4] not in (b"1.0", b"1.1"):
        raise _UnreadableError
    method, target, scheme, version = match.groups()
    headers, offset = _read_headers(data, match.end())
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) > 1 or method in (b"CONNECT", b"PRI"):
        raise _UnreadableError
    is_usual = (
        scheme == b"HTTP"
        and method in _USUAL_METHODS
        and _USUAL_TARGET.fullmatch(target) is not None
    )
    if not _ORIGIN_FORM.fullmatch(target):
        prefix = b"http://" + b"".join(hosts).lower()
        size = len(prefix)
        if not hosts or target[:size].lower() != prefix:
            raise _UnreadableError
        target = target[size:]
        if not _ORIGIN_FORM.fullmatch(target) or target == b"*":
            raise _UnreadableError
    body, end, may_be_refused = _read_body(data, offset, headers, version)
    tokens = [
        token.strip().lower()
        for name, value in headers
        if name in (b"connection", b"proxy-connection")
        for token in value.split(b",")
    ]
    return Message(
        method,
        target,
        headers,
        body,
        end,
        may_be_refused or not is_usual,
        version == b"1.0" or b"close" in tokens,
    )


def _read_headers(data: bytes, offset: int) -> tuple[Headers, int]:
    headers = []
    while data[offset : offset + 2] != b"\r\n":
        match = _HEADER.match(data, offset)
        if match is None:
            raise _UnreadableError
        headers.append((match[1].lower(), match[2]))
        offset = match.end()
    return tuple(headers), offset + 2


def _read_body(
    data: bytes, offset: int, headers: Headers, version: bytes
) -> tuple[bytes, int, bool]:
    lengths = [value for name, value in headers if name == b"content-length"]
    encodings = [
        value.lower() for name, value in headers if name == b"transfer-encoding"
    ]
    if encodings:
        if lengths or encodings != [b"chunked"] or version == b"1.0":
            raise _UnreadableError
        return _read_chunks(data, offset)
    if not lengths:
        return b"", offset, False
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]+", lengths[0]):
        raise _UnreadableError
    end = offset + int(lengths[0])
    if end > len(data):
        raise _UnreadableError
    return data[offset:end], end, False


def _read_chunks(data: bytes, offset: int) -> tuple[bytes, int, bool]:
    chunks = []
    may_be_refused = False
    while True:
        match = _CHUNK.match(data, offset)
        if match is None:
            raise _UnreadableError
        may_be_refused |= match[2] is not None
        size = int(match[1], 16)
        offset = match.end()
        if not size:
            trailers, end = _read_headers(data, offset)
            return b"".join(chunks), end, may_be_refused or bool(trailers)
        chunks.append(data[offset : offset + size])
        offset += size
        if data[offset : offset + 2] != b"\r\n":
            raise _UnreadableError
        offset += 2


class _Transport(asyncio.Transport):
    """Keeps what is written; the connection is closed at once."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.paused = False
        self._closing = False

    def write(self, data: bytes) -> None:
        if not self._closing:
            self.written += data

    def close(self) -> None:
        self._closing = True

    def abort(self) -> None:
        self._closing = True

    def can_write_eof(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of the bytes of one connection.

    Attributes:
        forwarded: Requests in the form in which a replica gets them.
        answered: Bytes that the caller got.
        closed: Whether the connection was closed before the caller did so.
    """

    forwarded: list[bytes]
    answered: bytes
    closed: bool


class Connection:
    """A caller's connection to an application that forwards its requests.

    Args:
        work: Iterations of the event loop for which a replica works on each
            request.
        app: The ASGI application; None for one that forwards all requests
            whose path is not `UNROUTED`.
    """

    def __init__(self, work: int = 0, app: Callable | None = None) -> None:
        self._work = work
        self._forwarded: list[bytes] = []
        self._transport = _Transport()
        config = uvicorn.Config(
            app or self._serve,
            log_config=None,
            lifespan="off",
            ws="none",
            interface="asgi3",
        )
        config.load()
        state = uvicorn_server.ServerState()
        self._tasks = state.tasks
        budget = connections.ConnectionBudget(metrics.Metrics())
        self._protocol = protocol_lib.Protocol(
            config, state, {}, group=budget.group("callers")
        )
        self._protocol.connection_made(self._transport)

    async def send(self, pieces: list[bytes], pause: int = 0) -> Outcome:
        """Sends pieces of data, waits for the answers, and closes.

        Args:
            pieces: The data.
            pause: Iterations of the event loop after each piece.
        """
        for piece in pieces:
            await self._until(lambda: not self._transport.paused)
            if self._transport.is_closing():
                break
            self._protocol.data_received(piece)
            for _ in range(pause):
                await asyncio.sleep(0)
        await self._settle()
        closed = self._transport.is_closing()
        self._protocol.connection_lost(None)
        await self._until(lambda: not self._tasks)
        assert not self._tasks, "a request does not end after its caller"
        return Outcome(self._forwarded, bytes(self._transport.written), closed)

    async def _until(self, condition) -> None:
        for _ in range(_MAX_ITERATIONS):
            if condition():
                return
            await asyncio.sleep(0)

    async def _settle(self) -> None:
        """Waits until nothing more happens without further data."""
        state = None
        while state != (state := self._progress()):
            for _ in range(_IDLE_ITERATIONS + self._work):
                await asyncio.sleep(0)

    def _progress(self) -> tuple[int, int]:
        return (len(self._transport.written), len(self._forwarded))

    async def _serve(self, scope, receive, send) -> None:
        exchange = exchange_lib.ServerExchange(scope, receive, send)
        if scope["raw_path"].startswith(UNROUTED):
            await exchange.respond(model.failure(404, "no_route"), False)
            return
        try:
            request = await exchange.read_request(NAMES, MAX_BODY_BYTES)
        except exchange_lib.CallerLeftError:
            return
        if isinstance(request, model.Answer):
            await exchange.respond(request, False)
            return
        outgoing = attempts.OutgoingRequest(request, 0, NAMES)
        wire = outgoing.serialize(_DEADLINE_MS, NAMES, _REPLICA)
        self._forwarded.append(wire + request.body)
        for _ in range(self._work):
            await asyncio.sleep(0)
        body = b"answer to " + request.id
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"%d" % len(body))],
            }
        )
        # As when the caller reads slowly.
        for _ in range(self._work):
            await asyncio.sleep(0)
        await send({"type": "http.response.body", "body": body})


def read_answers(
    data: bytes, methods: Sequence[bytes]
) -> list[tuple[int, bytes]]:
    """Returns status and body of the final answers on a connection.

    Args:
        data: What the caller got.
        methods: Methods of the requests.
    """
    answers = []
    while data:
        head, separator, data = data.partition(b"\r\n\r\n")
        assert separator, f"not an answer: {head!r}"
        first, *lines = head.split(b"\r\n")
        match = re.fullmatch(rb"HTTP/1\.1 (\d{3}) [ -~]*", first)
        assert match, f"not an answer: {first!r}"
        if match[1] == b"100":
            continue
        headers = dict(line.split(b": ", 1) for line in lines)
        size = int(headers.get(b"content-length", 0))
        if methods[len(answers) : len(answers) + 1] == [b"HEAD"]:
            size = 0
        assert len(data) >= size, "an answer is cut off"
        answers.append((int(match[1]), data[:size]))
        data = data[size:]
    return answers
