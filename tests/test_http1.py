"""HTTP/1.1 client connections against misbehaving servers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import pytest

from mallowloft.kernel import receiving as receiving_lib
from mallowloft.upstream import http1

_ID = b"x-request-id"


def _response(body: bytes, request: bytes = b"", *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    if request:
        lines.append(b"X-Request-Id: " + request)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class _Server:
    """Server that handles each connection by a function of the test."""

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

    async def read_request_id(self, reader: asyncio.StreamReader) -> bytes:
        """Reads the next request and returns its id."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        return head.rpartition(b"x-request-id: ")[2].strip()

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                await self._serve(reader, writer)
        finally:
            writer.close()


class _Client:
    """Wraps a pool so that tests can await the outcomes of requests."""

    def __init__(
        self, port: int, max_connections: int = 1, host: str = "127.0.0.1"
    ) -> None:
        self.events: list[str] = []
        self.pool = http1.Pool(host, port, max_connections, self.events.append)

    def send(
        self, request: bytes, rank: int = 0
    ) -> tuple[http1.Exchange, asyncio.Future]:
        outcome_future = asyncio.get_running_loop().create_future()
        wire = b"GET / HTTP/1.1\r\nx-request-id: " + request + b"\r\n\r\n"
        exchange = http1.Exchange(
            wire,
            lambda _, outcome: outcome_future.set_result(outcome),
            _ID,
            request,
            rank,
        )
        self.pool.submit(exchange)
        return exchange, outcome_future

    async def get(self, request: bytes) -> http1.Response | http1.FailureReason:
        _, outcome_future = self.send(request)
        async with asyncio.timeout(5):
            return await outcome_future


def _run_with_server(serve, test, max_connections: int = 1) -> None:
    """Runs a test with a server and a client that connects to it."""

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


class TestResponses:
    """Only the complete response to the request itself is delivered."""

    def test_connection_is_reused(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.read_request_id(reader)
                writer.write(_response(request, request))

        async def test(server, client):
            for request in (b"a", b"b", b"c"):
                assert (await client.get(request)).body == request
            assert server.connections == 1

        _run_with_server(serve, test)

    def test_late_second_response_is_skipped(self):
        # The second response to `a` arrives when that to `b` is expected.
        async def serve(server, reader, writer):
            first = await server.read_request_id(reader)
            writer.write(_response(b"first", first))
            second = await server.read_request_id(reader)
            writer.write(_response(b"again", first))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(_response(b"second", second))

        async def test(server, client):
            assert (await client.get(b"a")).body == b"first"
            assert (await client.get(b"b")).body == b"second"
            assert client.events.count(http1.STALE_RESPONSE) == 1

        _run_with_server(serve, test)

    def test_late_second_response_is_skipped_if_the_id_is_sent_again(self):
        # Guards against a body that belongs to no request: an instance that
        # collects parts for one gatherer and is the hub of another sends a
        # replica the same id twice.
        async def serve(server, reader, writer):
            if server.connections > 1:
                request = await server.read_request_id(reader)
                writer.write(_response(b"second", request))
                return
            request = await server.read_request_id(reader)
            writer.write(_response(b"first", request))
            await server.read_request_id(reader)
            writer.write(_response(b"again", request))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(_response(b"second", request))

        async def test(server, client):
            assert (await client.get(b"a")).body == b"first"
            assert (await client.get(b"a")).body == b"second"

        _run_with_server(serve, test)

    def test_second_response_in_the_same_data_closes_the_connection(self):
        async def serve(server, reader, writer):
            request = await server.read_request_id(reader)
            response = _response(request, request)
            writer.write(response + response)
            await server.read_request_id(reader)

        async def test(server, client):
            assert (await client.get(b"a")).body == b"a"
            assert (await client.get(b"b")).body == b"b"
            assert server.connections == 2

        _run_with_server(serve, test)

    def test_data_on_an_idle_connection_closes_it(self):
        async def serve(server, reader, writer):
            request = await server.read_request_id(reader)
            writer.write(_response(request, request))
            await asyncio.sleep(0.02)
            writer.write(b"noise")
            await reader.read()

        async def test(server, client):
            assert (await client.get(b"a")).body == b"a"
            await asyncio.sleep(0.06)
            assert (await client.get(b"b")).body == b"b"
            assert server.connections == 2

        _run_with_server(serve, test)

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
    def test_incomplete_or_malformed_response_is_not_delivered(
        self, sent, expected
    ):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(sent)

        async def test(server, client):
            assert await client.get(b"a") == http1.FailureReason(expected)

        _run_with_server(serve, test)

    def test_response_without_length_ends_at_eof(self):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")

        async def test(server, client):
            assert (await client.get(b"a")).body == b"whole"

        _run_with_server(serve, test)

    def test_reset_response_without_length_is_broken(self):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()
            await asyncio.sleep(0.02)

        async def test(server, client):
            # On some systems, aborting a connection without unread data sends
            # FIN. `reset` therefore forces an RST by the linger option.
            assert await client.get(b"a") == http1.FailureReason.BROKEN

        async def reset(server, reader, writer):
            import socket
            import struct

            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await serve(server, reader, writer)

        _run_with_server(reset, test)


class TestLimit:
    """A body over the limit fails, however it arrives."""

    @pytest.mark.parametrize("size", [50, 150_000])
    def test_body_over_the_limit_is_malformed(self, size):
        # Guards against a truncated body if one read exceeds the limit and
        # completes the response.
        async def serve(server, reader, writer):
            request = await server.read_request_id(reader)
            writer.write(_response(b"x" * size, request))
            await reader.read()

        async def test(server, client):
            client.pool.receiving.limits = receiving_lib.ResponseLimits(
                max_body_bytes=size - 10
            )
            assert await client.get(b"a") == http1.FailureReason.MALFORMED

        _run_with_server(serve, test)


class TestEndlessResponses:
    """Bytes that never become a response end the exchange, not the memory."""

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"HTTP/1.1 200 OK\r\n", b"a: " + b"x" * 1000 + b"\r\n"),
            (b"HTTP/1.1 200 OK\r\na: ", b"x" * 1000),
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                b"1;" + b"x" * 1000 + b"\r\ny\r\n",
            ),
            (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                b"a: " + b"x" * 1000 + b"\r\n",
            ),
        ],
        ids=["headers", "one header", "chunk extensions", "trailers"],
    )
    def test_head_without_end_is_malformed(self, start, repeated):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(start)
            while True:
                writer.write(repeated * 100)
                await writer.drain()

        async def test(server, client):
            assert await client.get(b"a") is http1.FailureReason.MALFORMED
            assert client.pool.open_count == 0

        _run_with_server(serve, test)

    @pytest.mark.parametrize(
        "head", [b"", b"content-length: 99999999999\r\n"], ids=["eof", "length"]
    )
    def test_bodies_without_end_share_a_limit(self, head):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n")
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()

        async def test(server, client):
            client.pool.receiving.max_held_bytes = 4 << 20
            futures = [client.send(b"%d" % number)[1] for number in range(4)]
            async with asyncio.timeout(10):
                outcomes = await asyncio.gather(*futures)
            assert set(outcomes) == {http1.FailureReason.MALFORMED}
            assert client.pool.receiving.held_bytes == 0

        _run_with_server(serve, test, max_connections=4)

    def test_small_chunks_are_no_overhead(self):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                + b"1\r\ny\r\n" * 100_000
                + b"0\r\n\r\n"
            )

        async def test(server, client):
            assert (await client.get(b"a")).body == b"y" * 100_000
            assert client.pool.receiving.held_bytes == 0

        _run_with_server(serve, test)


class TestPool:
    """Connections are limited, and no byte of a waiting request is sent."""

    def test_refused_connection_leaves_the_request_unsent(self):
        async def main():
            client = _Client(1)
            client.pool.keep_open()
            exchange, outcome_future = client.send(b"a")
            assert await outcome_future == http1.FailureReason.UNSENT
            assert not exchange.sent
            assert client.pool.failing
            client.pool.abort()

        asyncio.run(main())

    @pytest.mark.parametrize(
        ("host", "port"),
        [("x" * 300, 80), ("x..y", 80), ("a\0b", 80), ("127.0.0.1", 1 << 70)],
    )
    def test_invalid_address_leaves_the_request_unsent(self, host, port):
        # Guards against requests that wait for a connection for good, because
        # the attempt to connect ended with an error of another type.
        async def main():
            client = _Client(port, host=host)
            _, outcome_future = client.send(b"a")
            async with asyncio.timeout(5.0):
                assert await outcome_future == http1.FailureReason.UNSENT
            assert not client.pool.connecting_count
            client.pool.abort()

        asyncio.run(main())

    def test_failures_are_reset_when_no_reconnect_is_scheduled(self):
        # Guards against a replica that is considered unreachable forever.
        async def main():
            client = _Client(1)
            _, outcome_future = client.send(b"a")
            assert await outcome_future == http1.FailureReason.UNSENT
            assert not client.pool.failing
            client.pool.abort()

        asyncio.run(main())

    def test_reconnects_back_off_when_connections_are_closed_at_once(self):
        async def serve(server, reader, writer):
            writer.transport.abort()

        async def test(server, client):
            client.pool.keep_open()
            await asyncio.sleep(1.0)
            assert client.pool.failing
            assert 2 <= server.connections <= 5

        _run_with_server(serve, test)

    def test_no_first_connection_is_opened_without_an_allotment(self):
        # Guards against more connections than a replica accepts from all.
        async def serve(server, reader, writer):
            await server.read_request_id(reader)

        async def test(server, client):
            client.pool.may_connect = lambda: False
            client.pool.keep_open()
            _, outcome_future = client.send(b"a")
            assert await outcome_future == http1.FailureReason.UNSENT
            await asyncio.sleep(0.05)
            assert server.connections == 0

        _run_with_server(serve, test)

    def test_connections_above_a_lowered_limit_are_closed(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.read_request_id(reader)
                await asyncio.sleep(0.05)
                writer.write(_response(b"x", request))

        async def test(server, client):
            futures = [client.send(name)[1] for name in (b"a", b"b")]
            await asyncio.sleep(0.03)
            assert client.pool.open_count == 2
            client.pool.max_connections = 1
            for future in futures:
                assert (await future).status == 200
            assert client.pool.open_count == 1

        _run_with_server(serve, test, max_connections=2)

    def test_waiting_requests_are_sent_by_rank(self):
        release = None

        async def serve(server, reader, writer):
            while True:
                request = await server.read_request_id(reader)
                if request == b"first":
                    await release.wait()
                writer.write(_response(request, request))

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

        _run_with_server(serve, test)

    def test_abandoned_request_closes_its_connection(self):
        closed = None

        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            # Returns when the client closes.
            await reader.read()
            closed.set()

        async def test(server, client):
            nonlocal closed
            closed = asyncio.Event()
            exchange, outcome_future = client.send(b"a")
            while not server.requests:
                await asyncio.sleep(0.005)
            exchange.cancel()
            async with asyncio.timeout(5):
                await closed.wait()
            assert not outcome_future.done()

        _run_with_server(serve, test)

    def test_abandoned_waiting_request_is_never_sent(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.read_request_id(reader)
                await asyncio.sleep(0.03)
                writer.write(_response(request, request))

        async def test(server, client):
            _, first = client.send(b"first")
            exchange, _ = client.send(b"never")
            exchange.cancel()
            _, last = client.send(b"last")
            await asyncio.gather(first, last)
            assert not any(b"never" in head for head in server.requests)
            assert not exchange.sent

        _run_with_server(serve, test)

    def test_keep_alive_timeout_of_the_server_is_respected(self):
        async def serve(server, reader, writer):
            while True:
                request = await server.read_request_id(reader)
                header = b"Keep-Alive: timeout=0"
                writer.write(_response(request, request, header))

        async def test(server, client):
            await client.get(b"a")
            await asyncio.sleep(0.01)
            await client.get(b"b")
            assert server.connections == 2

        _run_with_server(serve, test)

    def test_pool_close_lets_busy_connections_finish(self):
        async def serve(server, reader, writer):
            request = await server.read_request_id(reader)
            await asyncio.sleep(0.05)
            writer.write(_response(request, request))
            await reader.read()

        async def test(server, client):
            _, outcome_future = client.send(b"a")
            while not server.requests:
                await asyncio.sleep(0.005)
            client.pool.close()
            assert (await outcome_future).body == b"a"
            assert client.pool.open_count == 0

        _run_with_server(serve, test)

    def test_pool_close_closes_all_idle_connections(self):
        # Guards against a loop over the list of idle connections that closing
        # them changes, which skipped every second one.
        async def serve(server, reader, writer):
            request = await server.read_request_id(reader)
            await asyncio.sleep(0.05)
            writer.write(_response(request, request))
            await reader.read()

        async def test(server, client):
            futures = [client.send(b"%d" % number)[1] for number in range(4)]
            await asyncio.gather(*futures)
            assert client.pool.open_count == 4
            client.pool.close()
            assert client.pool.open_count == 0
            assert client.pool._idle == []

        _run_with_server(serve, test, max_connections=4)

    def test_own_closes_do_not_count_as_crowded(self):
        async def serve(server, reader, writer):
            await reader.read()

        async def test(server, client):
            client.pool.keep_open()
            while not client.pool.open_count:
                await asyncio.sleep(0.005)
            client.pool.renew()
            while client.events.count(http1.CONNECTED) < 2:
                await asyncio.sleep(0.005)
            assert http1.CLOSED_EARLY not in client.events
            assert not client.pool.failing

        _run_with_server(serve, test)

    def test_renewed_connections_stay_open_until_there_is_a_new_one(self):
        # Guards against closing the only connections that still work.
        async def serve(server, reader, writer):
            await reader.read()

        async def test(server, client):
            pool = client.pool
            pool.keep_open()
            while not pool.open_count:
                await asyncio.sleep(0.005)
            (old,) = pool._open
            port, pool._port = pool._port, 1
            pool.renew()
            while http1.CONNECT_FAILED not in client.events:
                await asyncio.sleep(0.005)
            assert pool._open == {old}
            assert not pool.failing
            pool._port = port
            while old in pool._open:
                await asyncio.sleep(0.005)
            assert pool.open_count == 1

        _run_with_server(serve, test, max_connections=2)

    def test_only_connection_is_renewed_without_being_closed_first(self):
        # Guards against replicas that are all disconnected at once by an
        # instance that may have only one connection to each.
        async def serve(server, reader, writer):
            await reader.read()

        async def test(server, client):
            pool = client.pool
            pool.keep_open()
            while not pool.open_count:
                await asyncio.sleep(0.005)
            (old,) = pool._open
            pool.renew()
            assert pool.renewing
            counts = {pool.open_count}
            while old in pool._open:
                await asyncio.sleep(0.001)
                counts.add(pool.open_count)
            assert 0 not in counts
            assert pool.open_count == 1
            assert not pool.renewing

        _run_with_server(serve, test, max_connections=1)

    def test_old_connection_stays_if_the_server_has_no_room_for_another(self):
        # Guards against losing the only connection to a replica that is at
        # its connection limit.
        accepted = []

        async def serve(server, reader, writer):
            accepted.append(writer)
            if len(accepted) > 1:
                writer.transport.abort()
            await reader.read()

        async def test(server, client):
            pool = client.pool
            pool.keep_open()
            while not pool.open_count:
                await asyncio.sleep(0.005)
            (old,) = pool._open
            pool.renew()
            while http1.CLOSED_EARLY not in client.events:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.4)
            assert pool._open == {old}
            assert not pool.failing
            assert len(accepted) == 2

        _run_with_server(serve, test, max_connections=1)

    def test_new_connection_that_was_used_stays_rather_than_the_old_one(self):
        # Guards against going back to a connection that may be dead.
        async def serve(server, reader, writer):
            while True:
                request = await server.read_request_id(reader)
                writer.write(_response(request, request))

        async def test(server, client):
            pool = client.pool
            pool.keep_open()
            while not pool.open_count:
                await asyncio.sleep(0.005)
            (old,) = pool._open
            pool.renew()
            while client.events.count(http1.CONNECTED) < 2:
                await asyncio.sleep(0.001)
            exchange, future = client.send(b"1")
            await future
            assert pool._open == {exchange.connection}
            assert old.closed

        _run_with_server(serve, test, max_connections=1)

    def test_request_that_a_server_has_is_acknowledged(self):
        async def serve(server, reader, writer):
            await reader.read()

        async def test(server, client):
            exchange, _ = client.send(b"1")
            while not exchange.sent:
                await asyncio.sleep(0.005)
            # The kernel may delay an acknowledgement by 0.2 s.
            await asyncio.sleep(0.3)
            assert exchange.connection.acknowledged
            assert client.pool.acknowledged
            assert client.pool.received_s < 0

        _run_with_server(serve, test)

    def test_unused_pool_recovers_from_early_closes(self, monkeypatch):
        # Guards against a replica that no request is sent to for good because
        # it once had too many connections.
        monkeypatch.setattr(http1, "_FAILING_EXPIRY_S", 0.2)

        async def serve(server, reader, writer):
            writer.transport.abort()

        async def test(server, client):
            client.pool.keep_open()
            while not client.pool.failing:
                await asyncio.sleep(0.005)
            client.pool.stop_keeping_open()
            await asyncio.sleep(0.5)
            assert not client.pool.failing

        _run_with_server(serve, test)


class TestRefusalCheck:
    """A check tells a server that has ended from a closed connection."""

    async def _check(self, client) -> bool:
        checked = asyncio.get_running_loop().create_future()
        client.pool.check_refusal(checked.set_result)
        async with asyncio.timeout(5):
            return await checked

    @pytest.mark.parametrize("pool_closed", [False, True])
    def test_only_a_server_that_has_ended_refuses(self, pool_closed):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)

        async def test(server, client):
            assert await client.get(b"1") is http1.FailureReason.BROKEN
            if pool_closed:
                client.pool.close()
            assert not await self._check(client)
            server._server.close()
            assert await self._check(client)

        _run_with_server(serve, test)

    def test_several_checks_share_one_connection(self):
        async def serve(server, reader, writer):
            await reader.read()

        async def test(server, client):
            results = await asyncio.gather(
                *(self._check(client) for _ in range(3))
            )
            assert results == [False] * 3
            assert server.connections <= 1

        _run_with_server(serve, test)


class TestStreaming:
    """Bodies are passed on as they arrive."""

    def test_data_arrives_before_the_end(self):
        async def serve(server, reader, writer):
            await server.read_request_id(reader)
            writer.write(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n"
            )
            await asyncio.sleep(0.05)
            writer.write(b"2\r\nde\r\n0\r\n\r\n")
            await reader.read()

        async def test(server, client):
            received = []
            outcome = asyncio.get_running_loop().create_future()
            exchange = http1.Exchange(
                b"GET / HTTP/1.1\r\nx-request-id: a\r\n\r\n",
                lambda _, response: outcome.set_result(response),
                on_data=received.append,
            )
            client.pool.submit(exchange)
            while not received:
                await asyncio.sleep(0.005)
            assert not outcome.done()
            assert (await outcome).body == b""
            assert received == [b"abc", b"de"]

        _run_with_server(serve, test)

    def test_receiver_may_cancel_the_exchange(self):
        async def serve(server, reader, writer):
            request = await server.read_request_id(reader)
            writer.write(_response(request, request))
            await reader.read()

        async def test(server, client):
            outcomes = []
            exchange = http1.Exchange(
                b"GET / HTTP/1.1\r\nx-request-id: a\r\n\r\n",
                lambda _, response: outcomes.append(response),
                on_data=lambda data: exchange.cancel(),
            )
            client.pool.submit(exchange)
            while not exchange.done:
                await asyncio.sleep(0.005)
            assert outcomes == []
            assert client.pool.open_count == 0

        _run_with_server(serve, test)


class TestSendRequest:
    """A single request with a time limit."""

    def test_time_limit_is_reported_as_such(self):
        async def serve(server, reader, writer):
            await reader.read()

        async def test(server, client):
            outcome = await http1.send_request(
                client.pool, b"GET", "/", "h", 0.05
            )
            assert outcome is http1.FailureReason.TIMED_OUT

        _run_with_server(serve, test)
