"""Bodies of other programs that cannot be read."""

import asyncio
import contextlib

import pytest

from mallowloft.callers import answers
from mallowloft.configuration import platform
from mallowloft.submissions import model as submissions_model
from mallowloft.upstream import http
from mallowloft.upstream import protocol

_UNREADABLE = (b"", b"\xff", b"[" * 100_000, b'{"a":' * 100_000, b"9" * 5000)


@pytest.fixture(autouse=True)
def run_async():
    """Runs async tests with real sockets."""
    return asyncio.run


@contextlib.asynccontextmanager
async def _server(status: int, body: bytes):
    """Yields the URL of a server that answers every request the same."""

    async def serve(reader, writer):
        await reader.read(1 << 16)
        writer.write(
            b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        )
        writer.write(body)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    yield f"http://127.0.0.1:{port}"
    server.close()


class TestReplicas:
    """A reply that cannot be read has an outcome and raises no error."""

    @pytest.mark.parametrize("status", [200, 409, 503])
    @pytest.mark.parametrize(
        "body",
        [
            *_UNREADABLE,
            b'{"versions":5,"not_run":true,"retry_after_ms":"x","state":"s"}',
            b'{"versions":[[]],"not_run":true,"retry_after_ms":NaN,"state":1}',
            b'{"versions":[-1],"not_run":true,"retry_after_ms":1e300}',
            b'{"index_version":%s,"results":{}}' % (b"9" * 30),
        ],
    )
    async def test_body(self, status, body):
        call = protocol.QueryCall("r", "s", 1, (), b"1", 500.0)
        async with _server(status, body) as url:
            client = http.HttpUpstream(url, 1)
            reply = await client.query(call)
            health = await client.health()
            await client.close()
        assert reply.outcome is not protocol.CallOutcome.OK
        assert reply.versions == ()
        assert reply.retry_after_ms == 0.0
        assert health is None

    @pytest.mark.parametrize("body", _UNREADABLE[1:4])
    def test_reply_to_a_submission_that_ran_is_passed_on(self, body):
        response = answers.done("r", submissions_model.Done(body))
        assert response.status == 200


class TestPlatform:
    """An answer of the platform that cannot be read is a failed call."""

    @pytest.mark.parametrize("body", _UNREADABLE)
    async def test_body(self, body):
        async with _server(200, body) as url:
            client = platform.HttpPlatform(url)
            outcomes = [
                await client.instances(),
                await client.read("/"),
                await client.watch(1, 0.1),
            ]
            await client.close()
        assert all(outcome.is_err() for outcome in outcomes)
