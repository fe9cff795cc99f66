"""HTTP/1.1 protocol of connections from callers and other instances."""

import asyncio
import dataclasses

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
    """HTTP/1.1 protocol that adds the connection to the scope of requests."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes that no request has arrived yet."""
        super().connection_made(transport)
        self._has_carried_request = False

    def on_message_begin(self) -> None:
        """Creates the scope of a request."""
        super().on_message_begin()
        self.scope["extensions"] = {
            CONNECTION_EXTENSION: Connection(
                self.transport, self._has_carried_request
            )
        }
        self._has_carried_request = True

    def on_headers_complete(self) -> None:
        """Acknowledges a request that expects it as soon as it is read.

        uvicorn does so when the application starts to read the body, which on
        a busy event loop is some iterations later. Other instances take a late
        acknowledgement for a fault of this one.
        """
        super().on_headers_complete()
        cycle = self.cycle
        if cycle is not None and cycle.waiting_for_100_continue:
            cycle.waiting_for_100_continue = False
            self.transport.write(_CONTINUE)
