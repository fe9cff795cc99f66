"""Plug-in with the HTTP interface for operators."""

from typing import Any

import msgspec
from starlette import applications
from starlette import exceptions
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from mallowloft.callers import server as server_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import process
from mallowloft.kernel import registry


@registry.plugins.register("operators")
class OperatorsService:
    """Serves liveness, readiness, metrics and the state dump."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        ready_paths = {"/readyz", settings.ready_path}
        self.app = applications.Starlette(
            routes=[
                routing.Route("/livez", self._handle_livez),
                *(
                    routing.Route(path, self._handle_readyz)
                    for path in ready_paths
                ),
                routing.Route("/metrics", self._handle_metrics),
                routing.Route("/v1/state", self._handle_state),
            ],
            exception_handlers={
                exceptions.HTTPException: self._handle_http_error
            },
        )
        ports = {settings.operator_port}
        if settings.metrics_port:
            ports.add(settings.metrics_port)
        self._servers = [
            server_lib.Server(self.app, settings.host, port, {})
            for port in sorted(ports)
        ]

    async def start(self) -> None:
        """Starts the HTTP servers."""
        for server in self._servers:
            await server.start()

    async def stop(self, grace_s: float) -> None:
        """Stops the HTTP servers.

        Plug-ins that require this one stop earlier, so that operators can still
        read the state while those plug-ins stop. Each server in turn gets the
        whole grace period.
        """
        for server in self._servers:
            await server.stop(grace_s)

    def ready(self) -> bool:
        """Returns whether the servers accept connections."""
        return all(server.listening for server in self._servers)

    def dump(self) -> dict[str, Any]:
        """Returns whether the servers accept connections."""
        return {"listening": self.ready()}

    async def _handle_livez(self, request: http_requests.Request):
        del request
        return responses.PlainTextResponse("live\n")

    async def _handle_readyz(self, request: http_requests.Request):
        del request
        if self._kernel.ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", 503)

    async def _handle_metrics(self, request: http_requests.Request):
        del request
        return responses.Response(
            self._kernel.metrics.render(), media_type="text/plain"
        )

    async def _handle_state(self, request: http_requests.Request):
        del request
        return responses.Response(
            process.encode_state(self._kernel), media_type="application/json"
        )

    async def _handle_http_error(
        self, request: http_requests.Request, error: exceptions.HTTPException
    ) -> responses.Response:
        """Responds to any HTTP error of the router.

        Every status other than 404 is reported as an unsupported method.
        """
        code = "not_found" if error.status_code == 404 else "bad_method"
        body = {
            "error": code,
            "message": f"{request.method} {request.url.path}: {error.detail}",
        }
        return responses.Response(
            msgspec.json.encode(body),
            error.status_code,
            error.headers,
            "application/json",
        )
