"""HTTP/1.1 responses as a replica writes them, and a strict reader of them.

The reader shares no code with the clients under test, so that tests can compare
what a client takes for a whole response with it.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import re
import types

from mallowloft.kernel import receiving as receiving_lib
from mallowloft.kernel import turns as turns_lib
from mallowloft.upstream import http1

# How much `receive` parses at a time.
WORK_LIMITS = turns_lib.WorkLimits()
ID_NAME = b"x-request-id"
ID = b"r1"
STALE_ID = b"r0"

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# The reason phrase is not passed on.
_STATUS_LINE = re.compile(rb"HTTP/(1\.[01]) ([1-5]\d\d)(?: [^\r\n]*)?")
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*(" + _TEXT + rb")")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)(?:;[^\r\n]*)?\r\n")
_LENGTH = re.compile(rb"[0-9]+")

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class Message:
    """A response with one of the three ways to end its body.

    Attributes:
        framing: `length`, `chunked` or `eof`.
        chunk_sizes: Sizes of the first chunks; the rest is one chunk.
        extension: Extension of each chunk, with its semicolon.
        trailers: Fields after the last chunk.
    """

    status: int = 200
    headers: Headers = ()
    body: bytes = b""
    framing: str = "length"
    chunk_sizes: tuple[int, ...] = ()
    extension: bytes = b""
    trailers: Headers = ()

    @property
    def has_body(self) -> bool:
        """Whether a response with this status to a GET request has a body."""
        return self.status >= 200 and self.status not in (204, 304)

    @property
    def all_headers(self) -> Headers:
        """The headers with the one that states how the body ends."""
        if self.framing == "chunked" and self.has_body:
            return (*self.headers, (b"transfer-encoding", b"chunked"))
        if self.framing == "length" and self.has_body:
            return (*self.headers, (b"content-length", b"%d" % len(self.body)))
        return self.headers

    @property
    def head(self) -> bytes:
        """The status line and the headers, with the empty line."""
        lines = [b"HTTP/1.1 %d -" % self.status]
        lines += [name + b": " + value for name, value in self.all_headers]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    @property
    def wire(self) -> bytes:
        """The response as it is sent for a GET request."""
        if not self.has_body:
            return self.head
        if self.framing != "chunked":
            return self.head + self.body
        parts = [self.head]
        start = 0
        sizes = itertools.chain(self.chunk_sizes, [len(self.body)])
        for size in sizes:
            chunk = self.body[start : start + size]
            start += size
            if chunk:
                parts.append(b"%x%s\r\n" % (len(chunk), self.extension))
                parts.append(chunk + b"\r\n")
        parts.append(b"0\r\n")
        parts += [b"%s: %s\r\n" % field for field in self.trailers]
        return b"".join(parts) + b"\r\n"


class _IncompleteError(Exception):
    """The data is not a whole response, or it is ambiguous where it ends."""


def read(data: bytes, ended: bool, head_only: bool = False) -> Whole | None:
    """Returns the response to request `ID`, None if there is no whole one.

    Interim responses and responses to other requests are skipped.

    Args:
        data: All data that was received.
        ended: Whether the server has then closed the connection in order.
        head_only: Whether the request was a HEAD request.
    """
    position = 0
    try:
        while True:
            message, position = _read_one(data, position, ended, head_only)
            if message is not None:
                return message
    except _IncompleteError:
        return None


def _read_one(
    data: bytes, position: int, ended: bool, head_only: bool
) -> tuple[Whole | None, int]:
    """Returns a response and its end; None for one that is to be skipped."""
    while data[position : position + 1] in (b"\r", b"\n"):
        position += 1
    end = data.find(b"\r\n\r\n", position)
    if end < 0:
        raise _IncompleteError
    first, *lines = data[position:end].split(b"\r\n")
    position = end + 4
    status_line = _STATUS_LINE.fullmatch(first)
    fields = [_FIELD.fullmatch(line) for line in lines]
    if status_line is None or not all(fields):
        raise _IncompleteError
    version, status = status_line[1], int(status_line[2])
    headers = tuple((field[1].lower(), field[2].strip()) for field in fields)
    length, chunked = _framing(version, headers)
    if status < 200 or status == 204:
        if status == 101 or length or chunked:
            raise _IncompleteError
        if status < 200:
            return None, position
    ids = {value for name, value in headers if name == ID_NAME}
    if len(ids) > 1:
        raise _IncompleteError
    is_stale = bool(ids) and ids != {ID}
    if status in (204, 304) or (head_only and not is_stale):
        body = b""
    elif chunked:
        body, position = _read_chunks(data, position)
    elif length is not None:
        body = data[position : position + length]
        position += length
        if len(body) < length:
            raise _IncompleteError
    elif ended:
        body = data[position:]
        position = len(data)
    else:
        raise _IncompleteError
    return None if is_stale else Whole(status, headers, body), position


def _framing(version: bytes, headers: Headers) -> tuple[int | None, bool]:
    """Returns the length of the body, if declared, and whether it has chunks.

    Raises:
        _IncompleteError: The headers contradict each other.
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise _IncompleteError
    if codings:
        if codings[0].lower() != b"chunked" or version != b"1.1":
            raise _IncompleteError
        return None, True
    if not lengths:
        return None, False
    if not _LENGTH.fullmatch(lengths[0]):
        raise _IncompleteError
    return int(lengths[0]), False


def _read_chunks(data: bytes, position: int) -> tuple[bytes, int]:
    body = []
    while True:
        size = _CHUNK_SIZE.match(data, position)
        if size is None:
            raise _IncompleteError
        position = size.end()
        count = int(size[1], 16)
        if not count:
            break
        end = position + count
        if data[end : end + 2] != b"\r\n":
            raise _IncompleteError
        body.append(data[position:end])
        position = end + 2
    while True:
        end = data.find(b"\r\n", position)
        if end < 0:
            raise _IncompleteError
        line = data[position:end]
        position = end + 2
        if not line:
            return b"".join(body), position
        if not _FIELD.fullmatch(line):
            raise _IncompleteError


class _Pool:
    """The part of a pool that a connection uses, without an event loop."""

    address = "server:1"

    def __init__(self) -> None:
        self.scheduled: list[Callable[[], None]] = []
        self.receiving = receiving_lib.Receiving(
            turns_lib.Turns(self.scheduled.append, WORK_LIMITS)
        )

    def run_scheduled(self) -> None:
        """Runs iterations of the event loop until nothing is scheduled."""
        while self.scheduled:
            self.scheduled.pop(0)()

    def now(self) -> float:
        return 0.0

    def count_bytes(self, purpose: str, direction: str, size: int) -> None:
        pass

    def on_event(self, event: str) -> None:
        pass

    def release(self, connection: http1.Connection) -> None:
        pass


def receive(
    exchange: http1.Exchange, segments: Sequence[bytes], reset: bool
) -> None:
    """Sends a request on a connection that then receives data and ends.

    Args:
        exchange: The request.
        segments: The data as it arrives.
        reset: Whether the connection is reset instead of closed in order.
    """
    pool = _Pool()
    connection = http1.Connection(pool)
    connection.connection_made(
        types.SimpleNamespace(
            get_extra_info=lambda name: None,
            set_write_buffer_limits=lambda high: None,
            write=lambda data: None,
            abort=lambda: None,
            close=lambda: None,
            pause_reading=lambda: None,
            resume_reading=lambda: None,
        )
    )
    connection.send(exchange)
    for segment in segments:
        if not connection.closed:
            connection.data_received(segment)
            pool.run_scheduled()
    if not connection.closed:
        if not reset:
            connection.eof_received()
        connection.connection_lost(ConnectionResetError() if reset else None)
    assert pool.receiving.held_bytes == 0
