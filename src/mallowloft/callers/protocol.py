"""HTTP/1.1 protocol of connections from callers and other instances."""

import asyncio
import dataclasses

import httptools
from uvicorn.protocols.http import httptools_impl

from mallowloft.kernel import tcp

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Key of a request's `Connection` in the `extensions` of the ASGI scope.
CONNECTION_EXTENSION = "mallowloft.connection"


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


class Protocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 protocol of one connection.

    Offers to upgrade the connection are ignored. The parser cannot do that: it
    skips the body of a request with an offer and stops. Such a request is
    therefore parsed a second time, without the header `upgrade`.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes that no request has arrived yet."""
        super().connection_made(transport)
        self._has_carried_request = False
        # Whether the head of a request was read, but not all of its body.
        self._in_body = False
        # Head of the present request, without its offer to upgrade.
        self._head_without_offer = b""

    def data_received(self, data: bytes) -> None:
        """Parses data; refuses what is not a request."""
        self._unset_keepalive_if_required()
        try:
            self._parse(data)
        except httptools.HttpParserError:
            message = "Invalid HTTP request received."
            self.logger.warning(message)
            self.send_400_response(message)

    def on_message_begin(self) -> None:
        """Creates the scope of a request."""
        super().on_message_begin()
        self.scope["extensions"] = {
            CONNECTION_EXTENSION: Connection(
                self.transport, self._has_carried_request
            )
        }

    def on_headers_complete(self) -> None:
        """Acknowledges a request that expects it as soon as it is read.

        uvicorn does so when the application starts to read the body, which on
        a busy event loop is some iterations later. Other instances take a late
        acknowledgement for a fault of this one.
        """
        if self.parser.should_upgrade():
            method = self.parser.get_method()
            if method == b"CONNECT":
                raise ValueError("tunnels are not supported")
            self._head_without_offer = self._encode_head(method)
            return
        super().on_headers_complete()
        self._in_body = True
        self._has_carried_request = True
        cycle = self.cycle
        if cycle is not None and cycle.waiting_for_100_continue:
            cycle.waiting_for_100_continue = False
            self.transport.write(_CONTINUE)

    def on_message_complete(self) -> None:
        """Completes the request, unless it will be parsed a second time."""
        if self._in_body:
            self._in_body = False
            super().on_message_complete()

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

    def _encode_head(self, method: bytes) -> bytes:
        """Returns the head of the present request without `upgrade`."""
        version = self.parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self.url, version)]
        lines += [
            name + b": " + value
            for name, value in self.headers
            if name != b"upgrade"
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"
