"""Plug-in with the HTTP interface for operators."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

import msgspec

from mallowloft.callers import protocol
from mallowloft.callers import server as server_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import process
from mallowloft.kernel import registry

_METHODS = ("GET", "HEAD")
_TEXT = "text/plain; charset=utf-8"
_JSON = "application/json"
_RENDERED_PATHS = ("/metrics", "/v1/state")


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    content_type: str
    body: bytes


def _error(status: int, code: str, message: str) -> _Response:
    body = msgspec.json.encode({"error": code, "message": message})
    return _Response(status, _JSON, body)


@registry.plugins.register("operators")
class OperatorsService:
    """Serves liveness, readiness, metrics and the state dump."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        self._handlers_by_path: dict[str, Callable[[], _Response]] = {
            "/livez": self._get_livez,
            "/readyz": self._get_readyz,
            settings.ready_path: self._get_readyz,
            "/metrics": self._get_metrics,
            "/v1/state": self._get_state,
        }
        ports = {settings.operator_port}
        if settings.metrics_port:
            ports.add(settings.metrics_port)
        # Metrics and state take milliseconds to render.
        self._rendering = asyncio.Lock()
        self._servers = [
            server_lib.Server(
                self.serve,
                settings.host,
                port,
                kernel.connections.group("operators"),
            )
            for port in sorted(ports)
        ]

    async def start(self) -> None:
        """Starts the HTTP servers."""
        for server in self._servers:
            await server.start()

    async def stop(self, grace_s: float) -> None:
        """Stops the HTTP servers.

        Plug-ins that require this one stop earlier, so that operators can still
        read the state while those plug-ins stop.
        """
        await asyncio.gather(
            *(server.stop(grace_s, idle_wait_s=0.0) for server in self._servers)
        )

    def ready(self) -> bool:
        """Returns whether the servers accept connections."""
        return all(server.listening for server in self._servers)

    def dump(self) -> dict[str, Any]:
        """Returns whether the servers accept connections."""
        return {"listening": self.ready()}

    async def serve(self, scope, receive, send) -> None:
        """Serves a request as an ASGI application."""
        del receive
        method, path = scope["method"], scope["path"]
        handler = self._handlers_by_path.get(path)
        headers = []
        if handler is None:
            response = _error(404, "not_found", f"{method} {path}: Not Found")
        elif method not in _METHODS:
            message = f"{method} {path}: Method Not Allowed"
            response = _error(405, "bad_method", message)
            headers.append((b"allow", ", ".join(_METHODS).encode()))
        elif path in _RENDERED_PATHS:
            if path == "/metrics":
                # The first rendering loads a library, which takes a while.
                await asyncio.to_thread(self._kernel.metrics.load_renderer)
            response = await self._render(
                handler, scope["extensions"][protocol.CONNECTION_EXTENSION]
            )
        else:
            response = handler()
        headers += [
            (b"content-type", response.content_type.encode()),
            (b"content-length", b"%d" % len(response.body)),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        body = b"" if method == "HEAD" else response.body
        await send({"type": "http.response.body", "body": body})

    async def _render(
        self, handler: Callable[[], _Response], connection: protocol.Connection
    ) -> _Response:
        """Returns the response of a handler that takes long.

        However many are requested, other work goes on after each of them.
        Nothing is rendered for a client that has left.
        """
        async with self._rendering:
            if connection.transport.is_closing():
                return _Response(200, _TEXT, b"")
            response = handler()
            await asyncio.sleep(0)
            return response

    def _get_livez(self) -> _Response:
        return _Response(200, _TEXT, b"live\n")

    def _get_readyz(self) -> _Response:
        if self._kernel.ready():
            return _Response(200, _TEXT, b"ready\n")
        return _Response(503, _TEXT, b"not ready\n")

    def _get_metrics(self) -> _Response:
        return _Response(200, _TEXT, self._kernel.metrics.render())

    def _get_state(self) -> _Response:
        return _Response(200, _JSON, process.encode_state(self._kernel))
