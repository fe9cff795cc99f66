"""Large request bodies on client connections to slow servers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
import socket
import tracemalloc

import pytest

from mallowloft.upstream import http1

_BODY = random.Random(1).randbytes(1 << 20)
# More than the operating system takes at once.
_HUGE_BODY = 32 * _BODY
# A chunk for each connection, and as much for what the test itself holds.
_MAX_COPIES_PER_CONNECTION = 40 << 10
_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Servers:
    """A server and a pool of connections to it."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.connections = 0
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "_Servers":
        listener = socket.create_server(("127.0.0.1", 0))
        # A small buffer, so that the client's data waits in the process.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 10)
        self._server = await asyncio.start_server(
            self._accept, sock=listener, limit=8 << 10
        )
        port = listener.getsockname()[1]
        self.pool = http1.Pool("127.0.0.1", port, 100)
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.pool.abort()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                await self._serve(reader, writer)
        finally:
            writer.transport.abort()

    def send(self, body: bytes) -> tuple[http1.Exchange, asyncio.Future]:
        """Sends a request; returns the exchange and its outcome."""
        outcome_future = asyncio.get_running_loop().create_future()
        wire = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
        exchange = http1.Exchange(
            wire,
            lambda _, outcome: outcome_future.set_result(outcome),
            body=body,
        )
        self.pool.submit(exchange)
        return exchange, outcome_future


def _run(serve: Serve, test: Callable[[_Servers], Awaitable[None]]) -> None:
    async def main() -> None:
        async with _Servers(serve) as servers, asyncio.timeout(30):
            await test(servers)

    asyncio.run(main())


class TestLargeBodies:
    """Bodies are shared by all attempts and arrive unchanged."""

    @pytest.mark.parametrize("size", [0, 1, 16 << 10, (16 << 10) + 1, 1 << 20])
    def test_body_arrives_unchanged_and_the_connection_is_reused(self, size):
        received = []

        async def serve(reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                received.append(await reader.readexactly(size))
                writer.write(_RESPONSE)

        async def test(servers):
            for _ in range(3):
                _, outcome = servers.send(_BODY[:size])
                assert (await outcome).body == b"ok"
            assert received == 3 * [_BODY[:size]]
            assert servers.connections == 1

        _run(serve, test)

    def test_slow_servers_do_not_make_each_connection_hold_the_body(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(30)

        async def test(servers):
            tracemalloc.start()
            try:
                sent = [servers.send(_BODY) for _ in range(50)]
                async with asyncio.timeout(10):
                    while servers.connections < len(sent):
                        await asyncio.sleep(0.05)
                await asyncio.sleep(0.3)
                held, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            for exchange, _ in sent:
                exchange.cancel()
            assert held < len(sent) * _MAX_COPIES_PER_CONNECTION

        _run(serve, test)

    def test_request_after_an_early_response_is_no_rest_of_a_body(self):
        # The server answers before it has read the body, and reads on.
        received = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_RESPONSE)
            await asyncio.sleep(0.1)
            received.append(await reader.read(-1))

        async def test(servers):
            for _ in range(2):
                _, outcome = servers.send(_HUGE_BODY)
                assert (await outcome).body == b"ok"
            await asyncio.sleep(0.5)
            assert servers.connections == 2
            assert len(received) == 2
            for data in received:
                assert _HUGE_BODY.startswith(data)

        _run(serve, test)

    def test_cancelled_request_leaves_no_connection(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(30)

        async def test(servers):
            exchange, _ = servers.send(_BODY)
            while not exchange.sent:
                await asyncio.sleep(0.01)
            exchange.cancel()
            assert not servers.pool.open_count

        _run(serve, test)
