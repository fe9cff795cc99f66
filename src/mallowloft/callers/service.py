"""Plug-in with the HTTP interfaces of callers and operators."""

import asyncio
import contextlib
import json
import math
import secrets
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing
import uvicorn

from mallowloft.callers import requests as checks
from mallowloft.gather import model as gather_model
from mallowloft.kernel import findings as findings_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry

_log = logs.get("callers")


def _refused(
    status: int,
    code: str,
    message: str,
    *,
    findings: findings_lib.Findings | None = None,
    retry_after_ms: float | None = None,
    **fields: Any,
) -> responses.JSONResponse:
    body: dict[str, Any] = {"error": code, "message": message, **fields}
    headers = {}
    if findings is not None:
        body["findings"] = findings.as_list()
    if retry_after_ms is not None:
        body["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_ms / 1000)))
    return responses.JSONResponse(body, status, headers)


def _shards(shards: Any) -> list[dict[str, str]]:
    return [{"service": item.service, "shard": item.shard} for item in shards]


def _answer_body(answer: gather_model.Answer) -> dict[str, Any]:
    results: dict[str, dict[str, Any]] = {}
    for shard, content in answer.results.items():
        by_shard = results.setdefault(shard.service, {})
        by_shard[shard.shard] = json.loads(content)
    return {
        "request_id": answer.request,
        "index_version": answer.index_version,
        "coverage": answer.coverage,
        "complete": not answer.lacking,
        "covered": _shards(answer.results),
        "lacking": [
            {"service": shard.service, "shard": shard.shard, "reason": reason}
            for shard, reason in answer.lacking.items()
        ],
        "results": results,
        "attempts": {
            "sent": answer.attempts.sent,
            "hedges": answer.attempts.hedges,
            "retries": answer.attempts.retries,
        },
        "config_revision": answer.config_revision,
        "elapsed_ms": round(answer.elapsed_ms, 3),
    }


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


@registry.plugins.register("callers")
class CallersService:
    """Serves callers' requests and the operators' endpoints."""

    requires = ("gather", "submissions", "configuration", "dispatch")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._servers: list[tuple[_Server, asyncio.Task]] = []
        self.caller_app = applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/query/{target}", self._query, methods=["POST"]
                ),
            ]
        )
        self.operator_app = applications.Starlette(
            routes=[
                routing.Route("/livez", self._livez),
                routing.Route("/readyz", self._readyz),
                routing.Route("/metrics", self._metrics),
                routing.Route("/v1/state", self._state),
            ]
        )

    async def start(self) -> None:
        """Starts both HTTP servers."""
        settings = self._kernel.settings
        await self._serve(self.operator_app, settings.operator_port)
        await self._serve(self.caller_app, settings.caller_port)

    async def stop(self, grace_s: float) -> None:
        """Finishes requests in flight, then closes the servers."""
        for server, task in reversed(self._servers):
            server.should_exit = True
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(task, grace_s)

    def ready(self) -> bool:
        """Whether the servers accept connections."""
        return all(server.started for server, _ in self._servers)

    def dump(self) -> dict[str, Any]:
        """Returns nothing; the servers keep no state of their own."""
        return {}

    async def _serve(self, app: applications.Starlette, port: int) -> None:
        settings = self._kernel.settings
        server = _Server(
            uvicorn.Config(
                app,
                host=settings.host,
                port=port,
                log_config=None,
                access_log=False,
                lifespan="off",
            )
        )
        task = asyncio.create_task(server.serve())
        self._servers.append((server, task))
        while not server.started and not task.done():
            await asyncio.sleep(0.01)

    async def _query(
        self, request: http_requests.Request
    ) -> responses.Response:
        request_id = request.headers.get("x-request-id")
        request_id = request_id or secrets.token_hex(8)
        snapshot = self._kernel.plugin("configuration").store.current
        team = checks.team_of(
            snapshot, request.headers.get("authorization", "")
        )
        if team is None:
            return _refused(401, "unauthorized", "unknown credential")
        content = await request.body()
        checked = checks.query(
            request_id,
            snapshot,
            team,
            request.path_params["target"],
            content,
        )
        if checked.is_err():
            return _refused(
                400,
                "bad_request",
                "the request has faults",
                findings=checked.unwrap_err(),
            )
        gathered = await self._kernel.plugin("gather").run(checked.unwrap())
        if gathered.is_err():
            refusal = gathered.unwrap_err()
            fields = {}
            if refusal.answer is not None:
                fields = _answer_body(refusal.answer)
            return _refused(
                503,
                refusal.code,
                refusal.message,
                retry_after_ms=refusal.retry_after_ms,
                **fields,
            )
        answer = gathered.unwrap()
        _log.info(
            "query_answered",
            request=request_id,
            team=team,
            target=request.path_params["target"],
            version=answer.index_version,
            coverage=round(answer.coverage, 4),
            elapsed_ms=round(answer.elapsed_ms, 1),
        )
        return responses.JSONResponse(_answer_body(answer))

    async def _livez(self, request: http_requests.Request):
        del request
        return responses.PlainTextResponse("live\n")

    async def _readyz(self, request: http_requests.Request):
        del request
        if self._kernel.ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("not ready\n", 503)

    async def _metrics(self, request: http_requests.Request):
        del request
        return responses.Response(
            self._kernel.metrics.render(), media_type="text/plain"
        )

    async def _state(self, request: http_requests.Request):
        del request
        return responses.JSONResponse(self._kernel.dump())
