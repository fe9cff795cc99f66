"""Client connections against servers that keep no rule."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import pytest

from mallowloft.upstream import http1

_ID = b"x-request-id"


def _reply(body: bytes, request: bytes = b"", *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    if request:
        lines.append(b"X-Request-Id: " + request)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class _Server:
    """Answers the requests of each connection as a test says."""

    def __init__(
        self,
        serve: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self._serve = serve
        self.connections = 0
        self.requests: list[bytes] = []

    async def __aenter__(self) -> "_Server":
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._server.close()

    async def next(self, reader: asyncio.StreamReader) -> bytes:
        """Returns the id of the next request."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        return head.rpartition(b"x-request-id: ")[2].strip()

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._serve(reader, writer)
        writer.close()


class _Client:
    """A pool whose outcomes can be awaited."""

    def __init__(self, port: int, max_connections: int = 1) -> None:
        self.events: list[str] = []
        self.pool = http1.Pool(
            "127.0.0.1", port, max_connections, self.events.append
        )

    def send(
        self, request: bytes, rank: int = 0
    ) -> tuple[http1.Exchange, asyncio.Future]:
        ended = asyncio.get_running_loop().create_future()
        wire = b"GET / HTTP/1.1\r\nx-request-id: " + request + b"\r\n\r\n"
        exchange = http1.Exchange(
            wire,
            lambda _, outcome: ended.set_result(outcome),
            _ID,
            request,
            rank,
        )
        self.pool.submit(exchange)
        return exchange, ended

    async def get(self, request: bytes) -> http1.Response | http1.Ending:
        _, ended = self.send(request)
        async with asyncio.timeout(5):
            return await ended


def _run(serve, test, max_connections: int = 1) -> None:
    """Runs a test with a server and a client of it."""

    async def main() -> None:
        async with _Server(
            lambda reader, writer: serve(server, reader, writer)
        ) as server:
            client = _Client(server.port, max_connections)
            try:
                await test(server, client)
            finally:
                client.pool.abort()

    asyncio.run(main())


class TestReplies:
    """Only the whole reply to the request itself is delivered."""

    def test_connection_is_used_again(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.next(reader)
                writer.write(_reply(request, request))

        async def test(server, client):
            for request in (b"a", b"b", b"c"):
                assert (await client.get(request)).body == request
            assert server.connections == 1

        _run(serve, test)

    def test_late_second_reply_is_skipped(self):
        # The second reply to `a` arrives where that to `b` is due.
        async def serve(server, reader, writer):
            first = await server.next(reader)
            writer.write(_reply(b"first", first))
            second = await server.next(reader)
            writer.write(_reply(b"again", first))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(_reply(b"second", second))

        async def test(server, client):
            assert (await client.get(b"a")).body == b"first"
            assert (await client.get(b"b")).body == b"second"
            assert client.events.count(http1.STALE_REPLY) == 1

        _run(serve, test)

    def test_second_reply_with_the_first_ends_the_connection(self):
        async def serve(server, reader, writer):
            request = await server.next(reader)
            reply = _reply(request, request)
            writer.write(reply + reply)
            await server.next(reader)

        async def test(server, client):
            assert (await client.get(b"a")).body == b"a"
            assert (await client.get(b"b")).body == b"b"
            assert server.connections == 2

        _run(serve, test)

    def test_bytes_on_an_idle_connection_end_it(self):
        async def serve(server, reader, writer):
            request = await server.next(reader)
            writer.write(_reply(request, request))
            await asyncio.sleep(0.02)
            writer.write(b"noise")
            await reader.read()

        async def test(server, client):
            assert (await client.get(b"a")).body == b"a"
            await asyncio.sleep(0.06)
            assert (await client.get(b"b")).body == b"b"
            assert server.connections == 2

        _run(serve, test)

    @pytest.mark.parametrize(
        ("sent", "expected"),
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "broken"),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
                "broken",
            ),
            (b"HTTP/1.1 200 OK\r\nContent-Le", "broken"),
            (b"", "broken"),
            (b"\x00\x01 nonsense\r\n\r\n", "malformed"),
        ],
    )
    def test_incomplete_replies_are_none(self, sent, expected):
        async def serve(server, reader, writer):
            await server.next(reader)
            writer.write(sent)

        async def test(server, client):
            assert await client.get(b"a") == http1.Ending(expected)

        _run(serve, test)

    def test_reply_without_length_ends_with_its_connection(self):
        async def serve(server, reader, writer):
            await server.next(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")

        async def test(server, client):
            assert (await client.get(b"a")).body == b"whole"

        _run(serve, test)

    def test_reply_without_length_that_is_reset_is_incomplete(self):
        async def serve(server, reader, writer):
            await server.next(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()
            await asyncio.sleep(0.02)

        async def test(server, client):
            # An abort with nothing unread sends FIN on some systems: a reset
            # is forced through the linger option.
            assert await client.get(b"a") == http1.Ending.BROKEN

        async def reset(server, reader, writer):
            import socket
            import struct

            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await serve(server, reader, writer)

        _run(reset, test)


class TestPool:
    """Connections are limited, and waiting requests are not sent."""

    def test_refused_connection_leaves_the_request_unsent(self):
        async def main():
            client = _Client(1)
            client.pool.keep_open()
            exchange, ended = client.send(b"a")
            assert await ended == http1.Ending.UNSENT
            assert not exchange.sent
            assert client.pool.failing
            client.pool.abort()

        asyncio.run(main())

    def test_failures_are_forgotten_where_nothing_tries_again(self):
        # Guards against a replica that is taken for unreachable for good.
        async def main():
            client = _Client(1)
            _, ended = client.send(b"a")
            assert await ended == http1.Ending.UNSENT
            assert not client.pool.failing
            client.pool.abort()

        asyncio.run(main())

    def test_connections_that_are_one_too_many_are_tried_ever_less_often(self):
        async def serve(server, reader, writer):
            writer.transport.abort()

        async def test(server, client):
            client.pool.keep_open()
            await asyncio.sleep(1.0)
            assert client.pool.failing
            assert 2 <= server.connections <= 5

        _run(serve, test)

    def test_waiting_requests_go_by_rank(self):
        release = None

        async def serve(server, reader, writer):
            while True:
                request = await server.next(reader)
                if request == b"first":
                    await release.wait()
                writer.write(_reply(request, request))

        async def test(server, client):
            nonlocal release
            release = asyncio.Event()
            waiting = [client.send(b"first")[1]]
            while not server.requests:
                await asyncio.sleep(0.005)
            waiting.append(client.send(b"low", rank=2)[1])
            waiting.append(client.send(b"high", rank=0)[1])
            release.set()
            await asyncio.gather(*waiting)
            order = [head.rpartition(b": ")[2] for head in server.requests]
            assert [item.strip() for item in order] == [
                b"first",
                b"high",
                b"low",
            ]
            assert server.connections == 1

        _run(serve, test)

    def test_abandoned_request_closes_its_connection(self):
        closed = None

        async def serve(server, reader, writer):
            await server.next(reader)
            # Returns when the client closes.
            await reader.read()
            closed.set()

        async def test(server, client):
            nonlocal closed
            closed = asyncio.Event()
            exchange, ended = client.send(b"a")
            while not server.requests:
                await asyncio.sleep(0.005)
            exchange.abandon()
            async with asyncio.timeout(5):
                await closed.wait()
            assert not ended.done()

        _run(serve, test)

    def test_abandoned_waiting_request_is_never_sent(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.next(reader)
                await asyncio.sleep(0.03)
                writer.write(_reply(request, request))

        async def test(server, client):
            _, first = client.send(b"first")
            exchange, _ = client.send(b"never")
            exchange.abandon()
            _, last = client.send(b"last")
            await asyncio.gather(first, last)
            assert not any(b"never" in head for head in server.requests)
            assert not exchange.sent

        _run(serve, test)

    def test_announced_idle_time_is_kept(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.next(reader)
                header = b"Keep-Alive: timeout=0"
                writer.write(_reply(request, request, header))

        async def test(server, client):
            await client.get(b"a")
            await asyncio.sleep(0.01)
            await client.get(b"b")
            assert server.connections == 2

        _run(serve, test)

    def test_idle_connections_close_with_the_pool_and_busy_ones_later(self):
        async def serve(server, reader, writer):
            request = await server.next(reader)
            await asyncio.sleep(0.05)
            writer.write(_reply(request, request))
            await reader.read()

        async def test(server, client):
            _, ended = client.send(b"a")
            while not server.requests:
                await asyncio.sleep(0.005)
            client.pool.close()
            assert (await ended).body == b"a"
            assert client.pool.open_count == 0

        _run(serve, test)
