"""HTTP server that keeps answering on open connections while it stops."""

import asyncio
import contextlib
import functools
import socket
from typing import Any

import uvicorn

from mallowloft.callers import protocol
from mallowloft.kernel import connections

_POLL_INTERVAL_S = 0.01
# Interval at which the main loop updates the Date header. uvicorn's own main
# loop wakes ten times as often.
_DATE_HEADER_INTERVAL_S = 1.0
# How long a stop waits for a further request on open connections. Closing a
# connection just as a request arrives would reset it, and the caller could not
# tell whether the request was run.
_DEFAULT_IDLE_WAIT_S = 1.0
# Number of event loop iterations that asyncio takes to set up an accepted
# connection.
_CONNECTION_SETUP_ITERATIONS = 3
# Connections that may wait to be accepted, and that are accepted at once. The
# second number bounds by how many the limit of connections may be exceeded.
_BACKLOG = 2048
_ACCEPTED_AT_ONCE = 64
# Shortest time limit for closing the connections, even if no grace period is
# left. Responses still in write buffers can be sent within it.
_MIN_CLOSE_S = 0.2


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that handles no signals and wakes once a second."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Makes the main loop return without waiting for its next wake-up."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Updates the Date header until the server is asked to exit."""
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_HEADER_INTERVAL_S):
                    await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Server:
    """HTTP server on one port."""

    def __init__(
        self,
        app: Any,
        host: str,
        port: int,
        group: connections.ConnectionGroup,
        options: dict[str, Any] | None = None,
    ) -> None:
        """Configures the server; `start` opens the port.

        Args:
            app: The ASGI application.
            host: IP address to listen on.
            port: Port to listen on.
            group: The connections of listeners of this kind.
            options: Further uvicorn settings, such as TLS files.
        """
        self._address = (host, port)
        self._config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            ws="none",
            interface="asgi3",
            http=functools.partial(protocol.Protocol, group=group),
            proxy_headers=False,
            backlog=_ACCEPTED_AT_ONCE,
            **(options or {}),
        )
        self._server = _UvicornServer(self._config)
        self._listener: socket.socket | None = None
        self._task: asyncio.Task | None = None

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server.started and self._listener is not None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Starts listening.

        The socket is bound here because uvicorn exits the process if it cannot
        bind.

        Raises:
            OSError: The port cannot be bound. Errors that occur when uvicorn
                then starts to serve are not raised.
        """
        host, _ = self._address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit these.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(
                socket.SOL_SOCKET, option, connections.SOCKET_BUFFER_BYTES
            )
        listener.bind(self._address)
        self._listener = listener
        self._task = asyncio.create_task(self._server.serve([listener]))
        while not self._server.started and not self._task.done():
            # Each start of an instance waits for this, so it polls without
            # delay; a few iterations of the event loop suffice.
            await asyncio.sleep(0)
        if self._server.started:
            # The event loop accepts as many connections at once as its own
            # backlog allows.
            listener.listen(_BACKLOG)

    async def stop(
        self, grace_s: float, idle_wait_s: float = _DEFAULT_IDLE_WAIT_S
    ) -> None:
        """Responds to requests that still arrive, then closes connections.

        The server does not end requests that still run after the grace period;
        their connections may stay open until the process exits.

        Args:
            grace_s: Time limit in seconds. It includes the wait for further
                requests and the wait for requests still running.
            idle_wait_s: How long open connections stay open for further
                requests, in seconds. Closing a connection just as its client
                sends a request resets it, so frequently used connections are
                given time to receive one more response.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self._stop_accepting()
        open_connections = self._server.server_state.connections
        for connection in open_connections:
            connection.buffer_answers()
        end_s = started_s + grace_s
        idle_end_s = min(end_s, started_s + idle_wait_s)
        while open_connections and loop.time() < idle_end_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._server.request_exit()
        if self._task is not None:
            left_s = end_s - loop.time()
            await asyncio.wait([self._task], timeout=max(_MIN_CLOSE_S, left_s))

    async def _stop_accepting(self) -> None:
        """Closes the port after accepting the connections in its backlog.

        When the port closes, the operating system resets connections that have
        not been accepted, and the event loop drops connections that it has
        accepted but not yet set up.
        """
        listener = self._listener
        if listener is None:
            return
        self._listener = None
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        for _ in range(_CONNECTION_SETUP_ITERATIONS):
            await asyncio.sleep(0)
        pending = []
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                pending.append(connection)
        for server in self._server.servers:
            server.close()
        for connection in pending:
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(
                    self._create_protocol, connection, ssl=self._config.ssl
                )

    def _create_protocol(self) -> asyncio.Protocol:
        return self._config.http_protocol_class(
            config=self._config,
            server_state=self._server.server_state,
            app_state=self._server.lifespan.state,
        )
