"""The HTTP client tells what was certainly not sent."""

import asyncio

from mallowloft.upstream import http
from mallowloft.upstream import protocol

SILENT_DEADLINE_MS = 2000.0


async def _silent_server():
    """Accepts connections and never answers."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.read(1 << 16))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"http://127.0.0.1:{port}", received


def _submit(deadline_ms):
    return protocol.SubmitCall("r", "s", b"1", deadline_ms)


class TestNotSent:
    """UNSENT is said if and only if no byte was written."""

    def test_wait_for_a_connection_ends_as_unsent(self):
        """Guards against "unknown" for a call that never got a connection."""

        async def scenario():
            server, url, received = await _silent_server()
            client = http.HttpUpstream(url, 1)
            first = asyncio.create_task(
                client.submit(_submit(SILENT_DEADLINE_MS))
            )
            await asyncio.sleep(0.05)
            reply = await client.submit(_submit(50.0))
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            await client.close()
            server.close()
            return reply, len(received)

        reply, calls = asyncio.run(scenario())
        assert reply.outcome is protocol.CallOutcome.UNSENT
        assert calls == 1

    def test_silence_after_sending_is_open(self):
        """Guards against "not sent" for a body that was written."""

        async def scenario():
            server, url, received = await _silent_server()
            client = http.HttpUpstream(url, 1)
            reply = await client.submit(_submit(50.0))
            await client.close()
            server.close()
            return reply, len(received)

        reply, calls = asyncio.run(scenario())
        assert reply.outcome is protocol.CallOutcome.FAILED
        assert calls == 1

    def test_refused_connection_is_unsent(self):
        """Guards against "unknown" when nobody listens."""

        async def scenario():
            server, url, _ = await _silent_server()
            server.close()
            await server.wait_closed()
            client = http.HttpUpstream(url, 1)
            reply = await client.submit(_submit(500.0))
            await client.close()
            return reply

        reply = asyncio.run(scenario())
        assert reply.outcome is protocol.CallOutcome.UNSENT
