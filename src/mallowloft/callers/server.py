"""HTTP server that closes without cutting off requests on their way."""

import asyncio
import contextlib
import socket
from typing import Any

import uvicorn

_POLL_S = 0.01
# uvicorn renews the date header once a second; it wakes ten times as often.
_DATE_INTERVAL_S = 1.0
# A connection that was just opened has its request still on the way. Closing
# it at once would reset it, and the caller could not tell whether the request
# was run.
_LAST_REQUESTS_S = 1.0
# Turns of the event loop in which it sets up a connection that it has accepted.
_SETUP_TURNS = 3
# Answers that are written get this long to leave, also without grace period.
_CLOSE_TIMEOUT_S = 1.0


class _Uvicorn(uvicorn.Server):
    """A server that leaves signal handling to the process."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit = asyncio.Event()

    def exit_soon(self) -> None:
        """Ends the main loop at once."""
        self.should_exit = True
        self._exit.set()

    async def main_loop(self) -> None:
        """Renews the date header until the server is to end."""
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_INTERVAL_S):
                    await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Server:
    """One listening port and its connections."""

    def __init__(
        self, app: Any, host: str, port: int, options: dict[str, Any]
    ) -> None:
        """Prepares a server.

        Args:
            app: The ASGI application.
            host: IP address to listen on.
            port: Port to listen on.
            options: Further settings of uvicorn: TLS files, time-outs.
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
            proxy_headers=False,
            **options,
        )
        self._server = _Uvicorn(self._config)
        self._listener: socket.socket | None = None
        self._task: asyncio.Task | None = None

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server.started and self._listener is not None

    def set_idle_timeout(self, seconds: float) -> None:
        """Changes how long connections opened from now on may be idle."""
        self._config.timeout_keep_alive = seconds

    async def start(self) -> None:
        """Listens; raises OSError if the port is taken.

        The socket is bound here because uvicorn ends the process if it cannot
        bind.
        """
        host, _ = self._address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        self._listener = listener
        self._task = asyncio.create_task(self._server.serve([listener]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(_POLL_S)

    async def stop(
        self, grace_s: float, idle_s: float = _LAST_REQUESTS_S
    ) -> None:
        """Answers what is on its way, then closes all connections.

        Args:
            grace_s: Limit of the stop, seconds.
            idle_s: How long kept connections may bring one more request. A
                connection that is closed just as its client uses it is reset,
                so those that clients use often should get their answer.
        """
        await self._stop_accepting()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(grace_s, idle_s)
        connections = self._server.server_state.connections
        while connections and loop.time() < end_s:
            await asyncio.sleep(_POLL_S)
        self._server.exit_soon()
        if self._task is not None:
            await asyncio.wait(
                [self._task], timeout=max(_CLOSE_TIMEOUT_S, grace_s)
            )

    async def _stop_accepting(self) -> None:
        """Closes the port after taking the connections that wait at it.

        The kernel resets connections that are not yet accepted, and the event
        loop drops those that it has accepted but not set up when the port
        closes.
        """
        listener = self._listener
        if listener is None:
            return
        self._listener = None
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        for _ in range(_SETUP_TURNS):
            await asyncio.sleep(0)
        waiting = []
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                waiting.append(connection)
        for server in self._server.servers:
            server.close()
        for connection in waiting:
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(
                    self._protocol, connection, ssl=self._config.ssl
                )

    def _protocol(self) -> asyncio.Protocol:
        return self._config.http_protocol_class(
            config=self._config,
            server_state=self._server.server_state,
            app_state=self._server.lifespan.state,
        )
