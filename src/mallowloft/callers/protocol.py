"""HTTP/1.1 protocol of connections from callers and other instances.

Only whole requests reach the application, unchanged and in the order in which
they were sent. A message that cannot be read as one request is answered with
status 400 or 501 once earlier requests have their responses; the connection is
then closed.
"""

import asyncio
import dataclasses
from typing import Any

import httptools
from uvicorn.protocols.http import httptools_impl

from mallowloft.kernel import tcp

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_BAD_REQUEST = 400
_STATUS_NOT_IMPLEMENTED = 501
_VERSIONS = ("1.0", "1.1")
_SLASH = ord("/")
_CHECKED_HEADERS = frozenset((b"expect", b"host", b"transfer-encoding"))
# Keys in the `extensions` of the ASGI scope: the `Connection` of the request,
# and its path and query in the bytes that were sent.
CONNECTION_EXTENSION = "mallowloft.connection"
TARGET_EXTENSION = "mallowloft.target"


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """The connection on which a request arrived.

    Attributes:
        transport: Transport of the connection.
        reused: Whether it has carried an earlier request.
    """

    transport: asyncio.BaseTransport
    reused: bool

    def round_trip_s(self) -> float | None:
        """Returns the round-trip time to the caller, None if unknown."""
        return tcp.round_trip_s(self.transport)


class _RequestError(Exception):
    """A message that is not a request which can be served.

    Attributes:
        status: Status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Protocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 protocol of one connection.

    Offers to upgrade the connection are ignored. The parser cannot do that: it
    skips the body of a request with an offer and stops. Such a request is
    therefore parsed a second time, without the header `upgrade`.
    """

    # With more attributes in its dictionary, an instance would no longer share
    # the keys with others, and access to all attributes would be slower.
    __slots__ = (
        "_checked_headers",
        "_error_status",
        "_has_carried_request",
        "_head_without_offer",
        "_in_body",
        "_started",
    )

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._has_carried_request = False
        # Whether the head of a request was read, but not all of its body.
        self._in_body = False
        self._checked_headers: list[tuple[bytes, bytes]] = []
        # Head of the present request, without its offer to upgrade.
        self._head_without_offer = b""
        # The last request that the application was given.
        self._started: httptools_impl.RequestResponseCycle | None = None
        # Status of the response to a message that cannot be served. Nothing is
        # read after it.
        self._error_status = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the application, also if further requests are waiting."""
        if self._is_serving():
            self._disconnect(self._started)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses data; refuses what is not a request."""
        if self._error_status:
            return
        self._unset_keepalive_if_required()
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self.logger.warning("Invalid HTTP request received.")
            cause = error.__context__
            self._refuse(
                cause.status
                if isinstance(cause, _RequestError)
                else _STATUS_BAD_REQUEST
            )

    def on_message_begin(self) -> None:
        """Creates the scope of a request."""
        super().on_message_begin()
        self._checked_headers = []
        self.scope["extensions"] = {
            CONNECTION_EXTENSION: Connection(
                self.transport, self._has_carried_request
            )
        }

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores trailers, which follow the body."""
        if self._in_body:
            return
        name = name.lower()
        # The parser keeps white space that follows the value.
        header = (name, value.rstrip(b" \t"))
        if name in _CHECKED_HEADERS:
            self._checked_headers.append(header)
        self.headers.append(header)

    def on_headers_complete(self) -> None:
        """Gives the request to the application, or raises `_RequestError`.

        The acknowledgement that a request expects is sent at once. uvicorn
        sends it when the application starts to read the body, which on a busy
        event loop is some iterations later. Other instances take a late
        acknowledgement for a fault of this one.
        """
        version = self.parser.get_http_version()
        if version not in _VERSIONS:
            raise _RequestError(_STATUS_BAD_REQUEST)
        if self.parser.should_upgrade():
            method = self.parser.get_method()
            if method == b"CONNECT":
                raise _RequestError(_STATUS_NOT_IMPLEMENTED)
            self._head_without_offer = self._encode_head(method, version)
            return
        checked = self._checked_headers
        if len(checked) != 1 or checked[0][0] != b"host":
            self._check_headers(version)
        if self.url[0] != _SLASH or b"#" in self.url:
            self._check_target()
        self.scope["extensions"][TARGET_EXTENSION] = self.url
        super().on_headers_complete()
        self._in_body = True
        self._has_carried_request = True
        # Between two parts of the response to an earlier request, the
        # acknowledgement would be read as a part of it.
        cycle = self.cycle
        if cycle.waiting_for_100_continue and cycle is self._started:
            cycle.waiting_for_100_continue = False
            self.transport.write(_CONTINUE)

    def on_message_complete(self) -> None:
        """Completes the request, unless it will be parsed a second time."""
        if self._in_body:
            self._in_body = False
            cycle = self.cycle
            if not cycle.response_complete:
                cycle.more_body = False
                cycle.message_event.set()

    def on_response_complete(self) -> None:
        """Starts the next request, or sends the response to an error."""
        super().on_response_complete()
        if self._error_status and not self._is_serving():
            self._send_error()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: Any
    ) -> None:
        self._started = cycle
        super()._start_asgi_task(cycle, app)

    def _is_serving(self) -> bool:
        """Whether the application has a request without complete response."""
        started = self._started
        return started is not None and not (
            started.response_complete or started.disconnected
        )

    def _parse(self, data: bytes | memoryview) -> None:
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                (length,) = offer.args
            self.parser = httptools.HttpRequestParser(self)
            # As in uvicorn: data after a request that closes the connection is
            # ignored, not an error.
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            self.parser.feed_data(self._head_without_offer)
            data = memoryview(data)[length:]

    def _encode_head(self, method: bytes, version: str) -> bytes:
        """Returns the head of the present request without `upgrade`."""
        lines = [b"%s %s HTTP/%s" % (method, self.url, version.encode())]
        lines += [
            name + b": " + value
            for name, value in self.headers
            if name != b"upgrade"
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _check_headers(self, version: str) -> None:
        """Applies the headers that frame the request.

        Raises:
            _RequestError: Another parser might read the request differently,
                or its body has an encoding other than in chunks.
        """
        has_host = False
        for name, value in self._checked_headers:
            if name == b"host":
                if has_host:
                    raise _RequestError(_STATUS_BAD_REQUEST)
                has_host = True
            elif name == b"transfer-encoding":
                if version == "1.0":
                    raise _RequestError(_STATUS_BAD_REQUEST)
                if value.lower() != b"chunked":
                    raise _RequestError(_STATUS_NOT_IMPLEMENTED)
            elif value.lower() == b"100-continue":
                self.expect_100_continue = version != "1.0"

    def _check_target(self) -> None:
        """Reduces a target in absolute form to its path and query.

        Raises:
            _RequestError: The target has a fragment, names another origin than
                the request, or has no path.
        """
        if self.url == b"*":
            return
        host = next(
            (value for name, value in self._checked_headers if name == b"host"),
            None,
        )
        scheme, _, rest = self.url.partition(b"://")
        authority, slash, path = rest.partition(b"/")
        if (
            scheme.lower() != self.scheme.encode()
            or host is None
            or authority.lower() != host.lower()
            or not slash
            or b"#" in path
        ):
            raise _RequestError(_STATUS_BAD_REQUEST)
        self.url = b"/" + path

    def _refuse(self, status: int) -> None:
        """Answers the present message with an error and stops reading.

        The application gets no further part of its request.
        """
        self._error_status = status
        cycle = self.cycle
        if self._in_body:
            if cycle.response_started:
                self._disconnect(cycle)
                self.transport.close()
                return
            if cycle is not self._started:
                self.pipeline.popleft()
            self._disconnect(cycle)
        if not self._is_serving():
            self._send_error()

    def _disconnect(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        cycle.disconnected = True
        cycle.message_event.set()

    def _send_error(self) -> None:
        """Writes the response to an error and closes the connection."""
        if self.transport.is_closing():
            return
        lines = [httptools_impl.STATUS_LINE[self._error_status]]
        lines += [
            name + b": " + value + b"\r\n"
            for name, value in self.server_state.default_headers
        ]
        lines.append(b"content-length: 0\r\nconnection: close\r\n\r\n")
        self.transport.write(b"".join(lines))
        self.transport.close()
