"""HTTP client of upstream replicas."""

import asyncio
import json
from typing import Any

import aiohttp
import msgspec

from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry
from mallowloft.upstream import protocol

_CONNECT_TIMEOUT_S = 1.0
# aiohttp takes 0 for no limit.
_MIN_CONNECT_S = 0.001
_HEALTH_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 1.0
# An answer that arrives just after the deadline still tells how the replica
# fares, so the client waits slightly longer than the replica may work.
_DEADLINE_MARGIN_S = 0.05
_KEEPALIVE_S = 300.0


class _Raw(msgspec.Struct):
    """Answer to a query; results stay undecoded."""

    index_version: int
    results: dict[str, msgspec.Raw]


_raw_decoder = msgspec.json.Decoder(_Raw)


def _refusal(status: int, body: bytes) -> protocol.CallReply:
    """Interprets an answer that is not a result."""
    try:
        answer = json.loads(body)
    except ValueError:
        answer = {}
    if not isinstance(answer, dict):
        answer = {}
    reason = str(answer.get("reason", f"status {status}"))
    if status == 409:
        return protocol.CallReply(
            protocol.CallOutcome.WRONG_VERSION,
            versions=tuple(answer.get("versions", ())),
            reason=reason,
        )
    if status == 503 and answer.get("not_run") is True:
        outcome = protocol.CallOutcome.SHED
        if reason == "draining":
            outcome = protocol.CallOutcome.DRAINING
        return protocol.CallReply(
            outcome,
            reason=reason,
            retry_after_ms=float(answer.get("retry_after_ms", 0)),
        )
    return protocol.CallReply(protocol.CallOutcome.FAILED, reason=reason)


@protocol.protocols.register("http")
class HttpUpstream:
    """Connections to one replica, at most `max_connections` at a time."""

    def __init__(self, url: str, max_connections: int) -> None:
        self._url = url
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=max_connections, keepalive_timeout=_KEEPALIVE_S
            )
        )

    async def query(self, call: protocol.QueryCall) -> protocol.CallReply:
        """Runs an idempotent call."""
        body = {
            "request": call.request,
            "index_version": call.index_version,
            "shards": call.shards,
            "query": msgspec.Raw(call.query),
            "deadline_ms": call.deadline_ms,
        }
        answer = await self._call("/v1/query", body, call.deadline_ms)
        if isinstance(answer, protocol.CallReply):
            return answer
        try:
            raw = _raw_decoder.decode(answer)
        except msgspec.DecodeError as error:
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=f"malformed: {error}"
            )
        return protocol.CallReply(
            protocol.CallOutcome.OK,
            index_version=raw.index_version,
            results={key: bytes(value) for key, value in raw.results.items()},
        )

    async def submit(self, call: protocol.SubmitCall) -> protocol.CallReply:
        """Runs a non-idempotent call; never sends it twice."""
        body = {
            "request": call.request,
            "shard": call.shard,
            "body": msgspec.Raw(call.body),
            "deadline_ms": call.deadline_ms,
        }
        answer = await self._call("/v1/submit", body, call.deadline_ms)
        if isinstance(answer, protocol.CallReply):
            return answer
        return protocol.CallReply(protocol.CallOutcome.OK, body=answer)

    async def cancel(self, request: str) -> None:
        """Asks the replica to drop a call."""
        await self._call(
            "/v1/cancel", {"request": request}, _CANCEL_TIMEOUT_S * 1000
        )

    async def health(self) -> protocol.Health | None:
        """Reads the health endpoint, None if it does not answer."""
        timeout = aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + "/v1/health", timeout=timeout
            ) as response:
                answer = json.loads(await response.read())
                return protocol.Health(
                    str(answer["state"]), tuple(answer["versions"])
                )
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
        ):
            return None

    async def warm(self, connections: int) -> None:
        """Opens connections ahead of need."""
        await asyncio.gather(*(self.health() for _ in range(connections)))

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def _call(
        self, path: str, body: dict[str, Any], deadline_ms: float
    ) -> bytes | protocol.CallReply:
        """Returns the content of a 200, or how the call ended otherwise."""
        timeout = aiohttp.ClientTimeout(
            total=deadline_ms / 1000 + _DEADLINE_MARGIN_S,
            # A call that waits for a connection until its deadline ends as
            # not sent; the total limit would leave that open.
            connect=max(_MIN_CONNECT_S, deadline_ms / 1000),
            sock_connect=_CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.post(
                self._url + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                # Following a redirect would send a submission again.
                allow_redirects=False,
            ) as response:
                content = await response.read()
                if response.status != 200:
                    return _refusal(response.status, content)
                return content
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            # Raised while connecting, before anything is written.
            return protocol.CallReply(
                protocol.CallOutcome.UNSENT, reason=type(error).__name__
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=type(error).__name__
            )


@registry.plugins.register("upstream")
class UpstreamClients:
    """Creates clients of upstream replicas by protocol."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        del kernel

    def open(
        self, protocol_name: str, url: str, max_connections: int
    ) -> protocol.Upstream:
        """Returns a client of one replica.

        Raises:
            KeyError: The protocol is not registered.
        """
        return protocol.protocols.by_name[protocol_name](url, max_connections)

    async def start(self) -> None:
        """Does nothing; clients open connections on demand."""

    async def stop(self, grace_s: float) -> None:
        """Does nothing; owners close their clients."""
        del grace_s

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the known protocols."""
        return {"protocols": sorted(protocol.protocols.by_name)}
