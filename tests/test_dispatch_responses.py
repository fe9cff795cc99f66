"""Which responses of replicas the client for submissions takes as whole."""

import asyncio
import contextlib
import socket
import struct

import pytest

from mallowloft.kernel import receiving as receiving_lib
from mallowloft.upstream import http
from mallowloft.upstream import protocol

_DEADLINE_MS = 5000.0
_CONTENT = b'{"index_version":3,"results":{}}'
_OK = b"HTTP/1.1 200 OK\r\n"
_LENGTH = _OK + b"Content-Length: %d\r\n\r\n" % len(_CONTENT) + _CONTENT
_CHUNKED = (
    _OK
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"%x;a=b\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n" % (len(_CONTENT), _CONTENT)
)
_EOF_HEAD = _OK + b"X-Other: 1\r\n\r\n"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.fixture(autouse=True)
def run_async():
    """Runs async tests with real sockets."""
    return asyncio.run


class _Replica:
    """Server that answers each request with `data` and ends the connection.

    Attributes:
        data: What it sends.
        reset: Whether it resets the connection instead of closing it in order.
    """

    def __init__(self) -> None:
        self.data = b""
        self.reset = False
        self.serving: set[asyncio.Task] = set()

    async def serve(self, reader, writer) -> None:
        self.serving.add(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            if self.reset:
                # A reset discards what the client has not read.
                await asyncio.sleep(0.005)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
        finally:
            writer.close()
            self.serving.discard(asyncio.current_task())


@contextlib.asynccontextmanager
async def _replica():
    """Yields a replica and a function that sends a submission to it."""
    replica = _Replica()
    server = await asyncio.start_server(replica.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]

    async def submit(data: bytes, reset: bool) -> protocol.CallReply:
        replica.data, replica.reset = data, reset
        client = http.HttpUpstream(f"http://127.0.0.1:{port}", 1)
        try:
            return await client.submit(
                protocol.SubmitCall("r", "s", b"1", _DEADLINE_MS)
            )
        finally:
            await client.close()

    yield submit
    server.close()
    if replica.serving:
        await asyncio.wait(set(replica.serving))


class TestCutResponses:
    """A response that was cut off is no success."""

    @pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize(
        "data",
        [_LENGTH, _CHUNKED, _INTERIM + _LENGTH],
        ids=["length", "chunked", "interim"],
    )
    async def test_cut_at_every_byte(self, data, reset):
        async with _replica() as submit:
            for size in range(len(data)):
                reply = await submit(data[:size], reset)
                assert reply.outcome is protocol.CallOutcome.FAILED, size
            assert (await submit(data, reset)).body == _CONTENT

    async def test_reset_response_without_length(self):
        data = _EOF_HEAD + _CONTENT
        async with _replica() as submit:
            for size in range(len(data) + 1):
                reply = await submit(data[:size], reset=True)
                assert reply.outcome is protocol.CallOutcome.FAILED, size

    async def test_closed_response_without_length(self):
        data = _EOF_HEAD + _CONTENT
        async with _replica() as submit:
            for size in range(len(_EOF_HEAD)):
                reply = await submit(data[:size], reset=False)
                assert reply.outcome is protocol.CallOutcome.FAILED, size
            assert (await submit(data, reset=False)).body == _CONTENT


class TestContradictoryResponses:
    """A response whose end is ambiguous is no success."""

    @pytest.mark.parametrize(
        "headers",
        [
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Content-Length:\r\n",
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Transfer-Encoding: chunked, chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"X: a\r\n b\r\nContent-Length: 3\r\n",
        ],
        ids=repr,
    )
    async def test_headers_contradict_each_other(self, headers):
        data = _OK + headers + b"\r\n3\r\nabc\r\n0\r\n\r\n"
        async with _replica() as submit:
            reply = await submit(data, reset=False)
        assert reply.outcome is protocol.CallOutcome.FAILED

    @pytest.mark.parametrize(
        "data",
        [
            b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 101 -\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        ],
        ids=repr,
    )
    async def test_start_line_contradicts_the_framing(self, data):
        async with _replica() as submit:
            reply = await submit(data, reset=False)
        assert reply.outcome is protocol.CallOutcome.FAILED


class TestEndlessBodies:
    """A body without end fails, and is not kept."""

    @pytest.mark.parametrize(
        "head,repeated",
        [
            (_OK + b"\r\n", b"a" * 8),
            (_OK + b"Content-Length: 99999999999\r\n\r\n", b"a" * 8),
            (_OK + b"Transfer-Encoding: chunked\r\n\r\n", b"8\r\nabcdefgh\r\n"),
            (
                b"HTTP/1.1 503 -\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"8\r\nabcdefgh\r\n",
            ),
        ],
        ids=["eof", "length", "chunks", "failure"],
    )
    async def test_fails_before_the_deadline(self, head, repeated):
        receiving = receiving_lib.of_running_loop()
        receiving.max_held_bytes = 1 << 20
        refused = []
        receiving.on_refused = refused.append
        async with _replica() as submit:
            async with asyncio.timeout(4):
                reply = await submit(head + repeated * 500_000, False)
        assert reply.outcome is protocol.CallOutcome.FAILED
        assert refused == ["memory"]
        assert receiving.held_bytes == 0

    async def test_body_within_the_bound_is_whole(self):
        content = b'{"a": "%s"}' % (b"x" * 500_000)
        receiving = receiving_lib.of_running_loop()
        receiving.max_held_bytes = 1 << 20
        async with _replica() as submit:
            reply = await submit(_OK + b"\r\n" + content, False)
        assert (reply.outcome, reply.body) == (protocol.CallOutcome.OK, content)
        assert receiving.held_bytes == 0
