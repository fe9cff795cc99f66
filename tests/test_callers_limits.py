"""What a client's connection may hold, in virtual time without a network."""

import asyncio
import logging

import pytest
import uvicorn
from uvicorn import server as uvicorn_server

from mallowloft.callers import protocol as protocol_lib
from mallowloft.kernel import connections as connections_lib
from mallowloft.kernel import metrics as metrics_lib
from tests.support import wire

_MAX_HEAD_BYTES = 1000
_LIMITS = connections_lib.ConnectionLimits(
    max_head_bytes=_MAX_HEAD_BYTES,
    head_timeout_s=2.0,
    body_timeout_s=3.0,
    idle_timeout_s=5.0,
)
_GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
_CHUNKED = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_POST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture(autouse=True)
def _no_log(caplog):
    caplog.set_level(logging.CRITICAL, "uvicorn.error")


# Room for the headers of an answer.
_BUFFER_BYTES = 50


class _Transport(asyncio.Transport):
    """A connection whose client reads, or does not.

    Attributes:
        written: All that was written.
        unread: What the client has not read, if it does not read. The first
            bytes fit into the operating system's buffer.
        reads: Whether the client reads.
        paused: Whether the instance does not read.
        ended: Whether the instance has closed its side.
    """

    def __init__(self, reads: bool = True) -> None:
        super().__init__()
        self.written = b""
        self.unread = b""
        self.reads = reads
        self.paused = False
        self.ended = False
        self.protocol: protocol_lib.Protocol | None = None
        self._closing = False
        self._room = _BUFFER_BYTES

    def write(self, data: bytes) -> None:
        self.written += data
        taken = len(data) if self.reads else min(self._room, len(data))
        self._room -= taken
        if taken < len(data):
            was_empty = not self.unread
            self.unread += data[taken:]
            if was_empty:
                self.protocol.pause_writing()

    def read(self, size: int) -> None:
        """Makes the client read a part of what it has not read."""
        self.unread = self.unread[size:]
        if not self.unread:
            self.protocol.resume_writing()

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            if not self.unread:
                self.abort()

    def abort(self) -> None:
        self._closing = True
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(
                self.protocol.connection_lost, None
            )

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self._closing

    def get_write_buffer_size(self) -> int:
        return len(self.unread)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class _Server:
    """An application behind connections with limits.

    Attributes:
        served: Paths of the requests that the application was given.
        left: Number of requests whose client has left.
        release: Is set when the application may answer.
    """

    def __init__(self, answer: bytes = b"x", max_connections: int = 0) -> None:
        self.metrics = metrics_lib.Metrics()
        self.budget = connections_lib.ConnectionBudget(self.metrics)
        self.group = self.budget.group("callers")
        self.group.limits = _LIMITS
        if max_connections:
            self.group._max_connections = max_connections
        self.served: list[str] = []
        self.bodies: list[bytes] = []
        self.left = 0
        self.release = asyncio.Event()
        self.release.set()
        self._answer = answer
        self._config = uvicorn.Config(
            self._serve, log_config=None, lifespan="off", interface="asgi3"
        )
        self._config.load()
        self._state = uvicorn_server.ServerState()

    def connect(self, reads: bool = True) -> _Transport:
        transport = _Transport(reads)
        protocol = protocol_lib.Protocol(
            self._config, self._state, {}, group=self.group
        )
        transport.protocol = protocol
        protocol.connection_made(transport)
        return transport

    def ended(self, reason: str) -> int:
        """Returns how many connections were ended for a reason."""
        return int(
            self.metrics.counter_value("connections_ended", reason=reason)
        )

    async def _serve(self, scope, receive, send) -> None:
        self.served.append(scope["path"])
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.left += 1
                return
            body += message["body"]
            if not message["more_body"]:
                break
        self.bodies.append(body)
        await self.release.wait()
        length = b"%d" % len(self._answer)
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": self._answer})


def _statuses(transport: _Transport) -> list[int]:
    return [status for status, _ in wire.read_answers(transport.written, [])]


async def _send(transport: _Transport, data: bytes, cut: int = 0) -> None:
    """Sends data in pieces and lets the application work."""
    for start in range(0, len(data), cut or len(data)):
        if transport.is_closing():
            return
        transport.protocol.data_received(
            data[start : start + (cut or len(data))]
        )
    await asyncio.sleep(0.001)


def _head(first_line: int, headers: int) -> bytes:
    """Returns a head with a target and headers of these sizes."""
    start = b"GET /%s HTTP/1.1\r\nHost: a\r\nX: " % (b"a" * (first_line - 1))
    return start + b"b" * (headers - len(b"Host: a\r\nX: \r\n")) + b"\r\n\r\n"


@pytest.mark.parametrize("cut", [0, 1, 7, 600])
class TestHeads:
    """Heads up to the limit are served; others are refused while they come."""

    @pytest.mark.parametrize(
        ("first_line", "headers"),
        [(1, _MAX_HEAD_BYTES), (_MAX_HEAD_BYTES, _MAX_HEAD_BYTES)],
    )
    async def test_up_to_the_limit(self, first_line, headers, cut):
        server = _Server()
        transport = server.connect()
        await _send(transport, 2 * _head(first_line, headers), cut)
        assert _statuses(transport) == [200, 200]
        assert not transport.is_closing()

    @pytest.mark.parametrize(
        "sent",
        [
            _head(1, 2 * _MAX_HEAD_BYTES),
            _head(_MAX_HEAD_BYTES + 1, 20),
            b"GET /" + b"a" * 2 * _MAX_HEAD_BYTES,
            b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 2 * _MAX_HEAD_BYTES,
            b"GET /a HTTP/1.1\r\nHost: a\r\n" + b"a" * 2 * _MAX_HEAD_BYTES,
            b"GET /a HTTP/1.1\r\nHost: a\r\n" + b"a:b\r\n" * _MAX_HEAD_BYTES,
            b"\r\n" * _MAX_HEAD_BYTES + _GET,
        ],
        ids=[
            "headers",
            "first_line",
            "endless_line",
            "endless_value",
            "endless_name",
            "endless_headers",
            "empty_lines",
        ],
    )
    async def test_over_the_limit(self, sent, cut):
        server = _Server()
        transport = server.connect()
        await _send(transport, _GET)
        await _send(transport, sent, cut)
        assert _statuses(transport) == [200, 431]
        assert server.served == ["/a"]
        assert server.ended("head_too_large") == 1
        await asyncio.sleep(_LIMITS.idle_timeout_s)
        assert transport.ended

    async def test_empty_lines_between_requests(self, cut):
        server = _Server()
        transport = server.connect()
        await _send(transport, (b"\r\n" * 20 + _GET) * 3, cut)
        assert _statuses(transport) == [200] * 3


class TestSentAhead:
    """Requests are parsed one after the other."""

    @pytest.mark.parametrize("cut", [0, 1, 7, 100])
    async def test_served_in_order(self, cut):
        server = _Server()
        transport = server.connect()
        paths = [f"/{number}" for number in range(20)]
        data = b"".join(_GET.replace(b"/a", path.encode()) for path in paths)
        await _send(transport, data, cut)
        assert server.served == paths
        assert _statuses(transport) == [200] * len(paths)

    @pytest.mark.parametrize("request_sent", [_GET, _POST % 3 + b"abc"])
    async def test_wait_unparsed(self, request_sent):
        server = _Server()
        server.release.clear()
        transport = server.connect()
        await _send(transport, request_sent * 50)
        assert server.served == ["/a"]
        assert transport.paused
        assert not transport.protocol.pipeline
        server.release.set()
        await asyncio.sleep(0.1)
        assert _statuses(transport) == [200] * 50
        assert not transport.paused

    async def test_chunked_bodies_end_where_they_end(self):
        # Their data looks like the end of a body, of a head, and of both.
        data = b"0\r\n\r\nGET /no HTTP/1.1\r\n\r\n\r\n\r\n\n\n\r\n"
        body = b"%x\r\n%b\r\n0\r\nT: a\r\n\r\n" % (len(data), data)
        for cut in range(1, 60):
            server = _Server()
            transport = server.connect()
            await _send(transport, (_CHUNKED + body) * 3, cut)
            assert server.served == ["/a"] * 3
            assert server.bodies == [data] * 3

    async def test_next_request_waits_until_the_answer_is_read(self):
        server = _Server(b"x" * 5000)
        transport = server.connect(reads=False)
        await _send(transport, _GET * 3)
        assert server.served == ["/a"]
        transport.read(len(transport.unread))
        await asyncio.sleep(0.001)
        transport.read(len(transport.unread))
        await asyncio.sleep(0.001)
        assert server.served == ["/a"] * 2

    async def test_client_that_leaves(self):
        server = _Server()
        server.release.clear()
        transport = server.connect()
        await _send(transport, _GET * 3)
        transport.protocol.client_left()
        await asyncio.sleep(0.001)
        server.release.set()
        await asyncio.sleep(0.1)
        assert server.served == ["/a"]
        assert not len(server.group)


class TestBodies:
    """Bodies are bounded besides their data, too."""

    @pytest.mark.parametrize(
        "endless", [b"1;" + b"a" * 99, b"0\r\nX: " + b"a" * 99, b"0\r\n"]
    )
    async def test_framing(self, endless):
        server = _Server()
        transport = server.connect()
        await _send(transport, _CHUNKED + endless)
        repeated = b"T: a\r\n" if endless == b"0\r\n" else b"a"
        await _send(transport, repeated * 20_000)
        assert _statuses(transport) == [400]
        assert server.left == 1

    async def test_rest_after_the_answer(self):
        async def refuse(scope, receive, send):
            await send(
                {
                    "type": "http.response.start",
                    "status": 413,
                    "headers": [(b"content-length", b"0")],
                }
            )
            await send({"type": "http.response.body", "body": b""})

        server = _Server()
        server._config.loaded_app = refuse
        transport = server.connect()
        await _send(transport, _POST % 50_000 + b"a" * 50_000 + _GET)
        assert _statuses(transport) == [413, 413]
        assert not transport.is_closing()
        for _ in range(40):
            await _send(transport, _POST % (1 << 30) + b"a" * 50_000, 10_000)
        await asyncio.sleep(2.0)
        assert transport.ended


class TestTime:
    """A client that makes no progress loses its connection."""

    @pytest.mark.parametrize(
        ("sent", "end_s", "status"),
        [
            (b"", _LIMITS.idle_timeout_s, None),
            (b"\r\n", _LIMITS.idle_timeout_s, None),
            (_GET, _LIMITS.idle_timeout_s, 200),
            (b"GET", _LIMITS.head_timeout_s, 408),
            (_GET[:-2], _LIMITS.head_timeout_s, 408),
            (_POST % 2 + b"a", _LIMITS.body_timeout_s, 408),
            (_CHUNKED + b"2\r\n", _LIMITS.body_timeout_s, 408),
        ],
    )
    async def test_silence(self, sent, end_s, status):
        server = _Server()
        transport = server.connect()
        if sent:
            await _send(transport, sent)
        await asyncio.sleep(0.9 * end_s)
        assert not transport.is_closing()
        await asyncio.sleep(0.3 * end_s)
        if status is None or status == 200:
            assert transport.ended
        assert _statuses(transport) == ([] if status is None else [status])
        await asyncio.sleep(2.0)
        assert transport.ended
        assert not len(server.group)

    async def test_slow_head(self):
        server = _Server()
        transport = server.connect()
        for byte in _GET * 10:
            await _send(transport, bytes((byte,)))
            await asyncio.sleep(0.1)
        assert _statuses(transport) == [408]
        assert transport.ended

    async def test_unread_answer(self):
        server = _Server(b"x" * 5000)
        transport = server.connect(reads=False)
        await _send(transport, _GET)
        for _ in range(8):
            await asyncio.sleep(0.9 * _LIMITS.idle_timeout_s)
            transport.read(500)
        assert not transport.ended
        await asyncio.sleep(1.2 * _LIMITS.idle_timeout_s)
        assert transport.ended
        assert server.ended("unread_answer") == 1
        assert not server.budget.held_bytes


class TestBudget:
    """All connections together are bounded, and requests are not lost."""

    async def test_largest_holders_that_wait_the_longest_end(self):
        server = _Server(b"x" * 100_000)
        size = 100_000 + connections_lib.FULL_BUFFER_BYTES
        server.budget.max_held_bytes = 3 * size
        clients = [server.connect(reads=False) for _ in range(5)]
        for client in clients:
            await _send(client, _GET)
        assert [client.ended for client in clients] == [True] * 2 + [False] * 3
        other = server.connect()
        await _send(other, _GET)
        assert _statuses(other) == [200]
        assert server.budget.held_bytes <= server.budget.max_held_bytes

    async def test_large_request_is_refused_if_there_is_no_room(self):
        server = _Server()
        server.release.clear()
        server.budget.max_held_bytes = 100_000
        first, second = server.connect(), server.connect()
        await _send(first, _POST % 50_000 + b"a" * 50_000)
        await _send(second, _POST % 50_000 + b"a" * 50_000)
        assert _statuses(second) == [503]
        assert server.left == 1
        server.release.set()
        await asyncio.sleep(0.1)
        assert _statuses(first) == [200]

    async def test_upload_ends_for_another(self):
        server = _Server()
        server.budget.max_held_bytes = 100_000
        first, second = server.connect(), server.connect()
        await _send(first, _POST % 50_000 + b"a" * 49_000)
        await _send(second, _POST % 50_000 + b"a" * 50_000)
        assert _statuses(first) == [503]
        assert _statuses(second) == [200]

    async def test_small_headers_count_with_what_they_cost(self):
        server = _Server()
        server.group.limits = connections_lib.ConnectionLimits()
        transport = server.connect()
        await _send(transport, _GET[:-2] + b"a:b\r\n" * 10_000)
        assert server.budget.held_bytes > 1 << 20

    async def test_nothing_is_held_when_all_have_left(self):
        server = _Server(b"x" * 100_000)
        sent = (b"GET", _GET * 3, _CHUNKED + b"9000\r\n" + b"a" * 30_000)
        clients = []
        for data in sent:
            for reads in (True, False):
                clients.append(server.connect(reads))
                await _send(clients[-1], data)
        assert server.budget.held_bytes
        for client in clients:
            client.abort()
        await asyncio.sleep(0.5)
        assert not server.budget.held_bytes
        assert not len(server.group)
        assert not server.budget._watched


class TestConnections:
    """There is room for another connection, unless all are in use."""

    async def test_order_in_which_they_end(self):
        server = _Server(b"x" * 100, max_connections=4)
        unread = server.connect(reads=False)
        await _send(unread, _GET)
        idle = server.connect()
        await _send(idle, _GET)
        new = server.connect()
        begun = server.connect()
        await _send(begun, b"GET")
        for victim in (new, begun, idle, unread):
            server.release.clear()
            client = server.connect()
            await _send(client, _GET)
            assert victim.ended
        assert _statuses(new) == _statuses(begun) == [503]
        server.release.set()

    async def test_served_requests_are_answered(self):
        server = _Server(max_connections=2)
        server.release.clear()
        clients = [server.connect() for _ in range(2)]
        for client in clients:
            await _send(client, _GET)
        for _ in range(2):
            other = server.connect()
            await _send(other, _GET)
        assert _statuses(other) == [503]
        server.release.set()
        await asyncio.sleep(0.1)
        for client in clients:
            assert _statuses(client) == [200]

    async def test_client_that_sends_ahead_makes_room(self):
        server = _Server(max_connections=1)
        server.release.clear()
        ahead = server.connect()
        await _send(ahead, _GET * 5)
        other = server.connect()
        await _send(other, _GET)
        server.release.set()
        await asyncio.sleep(0.1)
        assert _statuses(ahead) == [200, 503]
        assert server.served == ["/a", "/a"]
        assert _statuses(other) == [200]

    async def test_one_listener_leaves_room_for_the_others(self):
        server = _Server(max_connections=2)
        for _ in range(100):
            server.connect()
        assert len(server.budget.group("operators")) == 0
        assert server.budget.group("operators").admit(server.connect().protocol)
