"""Tests which calls the HTTP client reports as not sent."""

import asyncio
import contextlib

import pytest

from mallowloft.upstream import http
from mallowloft.upstream import protocol

SILENT_DEADLINE_MS = 2000.0


@pytest.fixture(autouse=True)
def run_async():
    """Runs async tests with real sockets."""
    return asyncio.run


@contextlib.asynccontextmanager
async def _client_of_silent_server():
    """Yields a client, a server that never answers, and the data received."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.read(1 << 16))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = http.HttpUpstream(f"http://127.0.0.1:{port}", 1)
    yield client, server, received
    await client.close()
    server.close()


def _submit(deadline_ms):
    return protocol.SubmitCall("r", "s", b"1", deadline_ms)


class TestNotSent:
    """The outcome is UNSENT if and only if no byte was written."""

    async def test_timeout_without_a_connection_is_unsent(self):
        """Guards against FAILED for a call that never got a connection."""
        async with _client_of_silent_server() as (client, _, received):
            call = client.submit(_submit(SILENT_DEADLINE_MS))
            first = asyncio.create_task(call)
            await asyncio.sleep(0.05)
            reply = await client.submit(_submit(50.0))
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
        assert reply.outcome is protocol.CallOutcome.UNSENT
        assert len(received) == 1

    async def test_timeout_after_sending_is_failed(self):
        """Guards against UNSENT for a body that was written."""
        async with _client_of_silent_server() as (client, _, received):
            reply = await client.submit(_submit(50.0))
        assert reply.outcome is protocol.CallOutcome.FAILED
        assert len(received) == 1

    async def test_refused_connection_is_unsent(self):
        """Guards against FAILED when the server does not listen."""
        async with _client_of_silent_server() as (client, server, _):
            server.close()
            await server.wait_closed()
            reply = await client.submit(_submit(500.0))
        assert reply.outcome is protocol.CallOutcome.UNSENT


class TestSentOnce:
    """A submission is written at most once, whatever the reply."""

    async def test_a_redirect_is_not_followed(self):
        """Guards against sending a submission again after a redirect."""
        posts = []

        async def serve(reader, writer):
            posts.append(await reader.read(1 << 16))
            writer.write(
                b"HTTP/1.1 307 Again\r\nLocation: /v1/submit\r\n"
                b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.HttpUpstream(f"http://127.0.0.1:{port}", 1)
        reply = await client.submit(_submit(SILENT_DEADLINE_MS))
        await client.close()
        server.close()
        assert reply.outcome is protocol.CallOutcome.FAILED
        assert len(posts) == 1
