"""HTTP client of upstream replicas."""

import asyncio
import json
from typing import Annotated
from typing import Any

import aiohttp
from aiohttp import connector
import msgspec

from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry
from mallowloft.upstream import bodies
from mallowloft.upstream import framing
from mallowloft.upstream import protocol

_CONNECT_TIMEOUT_S = 1.0
# aiohttp treats a timeout of 0 as no timeout.
_MIN_CONNECT_TIMEOUT_S = 0.001
_HEALTH_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 1.0
# A response that arrives just after the deadline still shows the dispatcher
# whether the replica is healthy, so the client waits slightly longer.
_DEADLINE_MARGIN_S = 0.05
_KEEPALIVE_TIMEOUT_S = 300.0
# Greater numbers in replies are malformed.
_MAX_VERSION = 1 << 53
_MAX_RETRY_AFTER_MS = 3_600_000.0


class _QueryResponse(msgspec.Struct):
    """Body of a successful query response; results stay encoded as JSON."""

    index_version: Annotated[int, msgspec.Meta(ge=0, le=_MAX_VERSION)]
    results: dict[str, msgspec.Raw]


_query_response_decoder = msgspec.json.Decoder(_QueryResponse)


def _parse_object(body: bytes) -> dict[str, Any]:
    """Returns the fields of a JSON object, none if the body is no object."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return content if isinstance(content, dict) else {}


def _parse_versions(value: Any) -> tuple[int, ...] | None:
    """Returns a list of index versions, None if it is malformed."""
    if not isinstance(value, list) or not all(
        type(item) is int and 0 <= item <= _MAX_VERSION for item in value
    ):
        return None
    return tuple(value)


def _parse_retry_after_ms(value: Any) -> float:
    """Returns a time to wait in milliseconds, 0 if it is malformed."""
    is_valid = type(value) in (int, float) and 0 <= value <= _MAX_RETRY_AFTER_MS
    return float(value) if is_valid else 0.0


def _parse_error_response(status: int, body: bytes) -> protocol.CallReply:
    """Returns the reply for a response with a status other than 200."""
    content = _parse_object(body)
    reason = str(content.get("reason", f"status {status}"))
    if status == 409:
        return protocol.CallReply(
            protocol.CallOutcome.WRONG_VERSION,
            versions=_parse_versions(content.get("versions")) or (),
            reason=reason,
        )
    if status == 503 and content.get("not_run") is True:
        outcome = protocol.CallOutcome.SHED
        if reason == "draining":
            outcome = protocol.CallOutcome.DRAINING
        return protocol.CallReply(
            outcome,
            reason=reason,
            retry_after_ms=_parse_retry_after_ms(content.get("retry_after_ms")),
        )
    return protocol.CallReply(protocol.CallOutcome.FAILED, reason=reason)


class _Response(aiohttp.ClientResponse):
    """A response that can be read only if all of it has arrived.

    aiohttp also accepts heads that contradict themselves, and takes a reset for
    the end of a body that ends with the connection.
    """

    _ends_with_connection = False
    _connection_end: asyncio.Future[None] | None = None

    async def start(self, connection: connector.Connection) -> "_Response":
        """Receives the head.

        Raises:
            aiohttp.ClientError: There is no valid head.
        """
        client_protocol = connection.protocol
        await super().start(connection)
        headers = [(name.lower(), value) for name, value in self.raw_headers]
        version = f"{self.version.major}.{self.version.minor}"
        try:
            framing.check(version, self.status, headers)
        except framing.FramingError as error:
            raise aiohttp.ClientPayloadError(str(error)) from error
        has_body = self.status not in (204, 304)
        self._ends_with_connection = has_body and not framing.has_length(
            headers
        )
        if self._ends_with_connection:
            self._connection_end = client_protocol.closed
            if self._connection_end is not None:
                # Not every response is read; asyncio logs exceptions that
                # nothing has retrieved.
                self._connection_end.add_done_callback(_was_reset)
        return self

    async def read(self) -> bytes:
        """Returns the body.

        Raises:
            aiohttp.ClientError: Some of it may be missing.
        """
        content = await bodies.read(self)
        if self._ends_with_connection and (
            self._connection_end is None
            or not self._connection_end.done()
            or _was_reset(self._connection_end)
        ):
            raise aiohttp.ClientPayloadError("not closed in order")
        return content


def _was_reset(connection_end: asyncio.Future[None]) -> bool:
    return connection_end.cancelled() or connection_end.exception() is not None


@protocol.protocols.register("http")
class HttpUpstream:
    """HTTP client of one replica.

    At most `max_connections` connections are open at a time.
    """

    def __init__(self, url: str, max_connections: int) -> None:
        self._url = url
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=max_connections, keepalive_timeout=_KEEPALIVE_TIMEOUT_S
            ),
            response_class=_Response,
        )

    async def query(self, call: protocol.QueryCall) -> protocol.CallReply:
        """Sends a query, which is idempotent."""
        body = {
            "request": call.request_id,
            "index_version": call.index_version,
            "shards": call.shards,
            "query": msgspec.Raw(call.query),
            "deadline_ms": call.deadline_ms,
        }
        content = await self._post("/v1/query", body, call.deadline_ms)
        if isinstance(content, protocol.CallReply):
            return content
        try:
            decoded = _query_response_decoder.decode(content)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=f"malformed: {error}"
            )
        return protocol.CallReply(
            protocol.CallOutcome.OK,
            index_version=decoded.index_version,
            results={
                key: bytes(value) for key, value in decoded.results.items()
            },
        )

    async def submit(self, call: protocol.SubmitCall) -> protocol.CallReply:
        """Sends a submission, which is not idempotent, at most once."""
        body = {
            "request": call.request_id,
            "shard": call.shard,
            "body": msgspec.Raw(call.body),
            "deadline_ms": call.deadline_ms,
        }
        content = await self._post("/v1/submit", body, call.deadline_ms)
        if isinstance(content, protocol.CallReply):
            return content
        return protocol.CallReply(protocol.CallOutcome.OK, body=content)

    async def cancel(self, request_id: str) -> None:
        """Asks the replica to cancel the call with this id."""
        await self._post(
            "/v1/cancel", {"request": request_id}, _CANCEL_TIMEOUT_S * 1000
        )

    async def health(self) -> protocol.Health | None:
        """Returns the reported health, or None without a valid response."""
        timeout = aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + "/v1/health", timeout=timeout
            ) as response:
                content = _parse_object(await response.read())
                versions = _parse_versions(content.get("versions"))
                if versions is None or "state" not in content:
                    return None
                return protocol.Health(str(content["state"]), versions)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ):
            return None

    async def preconnect(self, connections: int) -> None:
        """Opens connections in advance, by concurrent health requests.

        The requests reuse idle connections, so fewer new ones may be opened.
        """
        await asyncio.gather(*(self.health() for _ in range(connections)))

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def _post(
        self, path: str, body: dict[str, Any], deadline_ms: float
    ) -> bytes | protocol.CallReply:
        """Sends a POST request.

        Returns:
            The body of a response with status 200, otherwise the reply that
            says how the call ended.
        """
        timeout = aiohttp.ClientTimeout(
            total=deadline_ms / 1000 + _DEADLINE_MARGIN_S,
            # If no connection becomes free before the deadline, this timeout
            # ends the call as UNSENT. The total timeout does not tell whether
            # anything was sent.
            connect=max(_MIN_CONNECT_TIMEOUT_S, deadline_ms / 1000),
            sock_connect=_CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.post(
                self._url + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                # Following a redirect would send a submission twice.
                allow_redirects=False,
            ) as response:
                content = await response.read()
                if response.status != 200:
                    return _parse_error_response(response.status, content)
                return content
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            # These errors are raised while connecting, before any byte of the
            # request is written.
            return protocol.CallReply(
                protocol.CallOutcome.UNSENT, reason=type(error).__name__
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=type(error).__name__
            )


@registry.plugins.register("upstream")
class UpstreamClients:
    """Plug-in that creates clients of upstream replicas."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        del kernel

    def open(
        self, protocol_name: str, url: str, max_connections: int
    ) -> protocol.Upstream:
        """Returns a new client of one replica.

        Args:
            protocol_name: Name under which the protocol is registered.
            url: Base URL of the replica.
            max_connections: Maximum number of open connections.

        Raises:
            KeyError: The protocol is not registered.
        """
        return protocol.protocols.by_name[protocol_name](url, max_connections)

    async def start(self) -> None:
        """Does nothing, because clients open connections on demand."""

    async def stop(self, grace_s: float) -> None:
        """Does nothing, because plug-ins close the clients they open."""
        del grace_s

    def ready(self) -> bool:
        """Returns True, because there is nothing to wait for."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the names of the registered protocols."""
        return {"protocols": sorted(protocol.protocols.by_name)}
