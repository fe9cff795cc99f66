"""Plug-in with the HTTP interface of callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import secrets
from typing import Any

from starlette import applications
from starlette import exceptions
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from mallowloft.callers import answers
from mallowloft.callers import limits
from mallowloft.callers import requests as checks
from mallowloft.callers import server as server_lib
from mallowloft.gather import model as gather_model
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.submissions import model as submissions_model

_log = logs.get("callers")

# A caller that sends its body slower than this holds a connection for nothing.
_BODY_TIMEOUT_S = 10.0
# After a refusal the rest of the body is read and dropped for this long. The
# connection would otherwise be reset while the caller still sends, and the
# caller would not see the answer.
_DISCARD_TIMEOUT_S = 2.0
_RETRY_STARTING_MS = 500.0
_RETRY_STOPPING_MS = 100.0
_RETRY_LIMIT_MS = 100.0
_RETRY_DEADLINE_MS = 100.0
_POLL_S = 0.01
# Connections that callers keep bring their next request within this time, or
# are not in use.
_LAST_REQUESTS_S = 3.0


class _Discarding(responses.Response):
    """An answer that is sent at once while the body still arrives."""

    async def __call__(self, scope, receive, send) -> None:
        """Sends the answer, drops the rest of the body, ends the exchange."""
        self.headers["connection"] = "close"
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        await send(
            {
                "type": "http.response.body",
                "body": self.body,
                "more_body": True,
            }
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                message = await receive()
                while message.get("more_body"):
                    message = await receive()
        await send({"type": "http.response.body", "body": b""})


async def _disconnected(request: http_requests.Request) -> None:
    """Returns when the caller has closed its connection."""
    message = await request.receive()
    while message["type"] != "http.disconnect":
        message = await request.receive()


def _rank_name(snapshot, team: str) -> str:
    return snapshot.teams_by_name[team].priority


class _Exchange:
    """One request of a caller and what is needed to answer it."""

    def __init__(self, request: http_requests.Request, received_s: float):
        self.http = request
        self.received_s = received_s
        self.faults: list[tuple[str, str, int]] = []
        self.content: bytes | None = None
        self.id = request.headers.get("x-request-id", "")
        if self.id and not checks.valid_request_id(self.id):
            self.faults.append(
                ("header.X-Request-Id", "is not a valid identifier", 400)
            )
            self.id = ""
        self.id = self.id or secrets.token_hex(8)

    async def read(self, max_bytes: int) -> None:
        """Reads the body up to the limit."""
        declared = self.http.headers.get("content-length", "0")
        if not declared.isdecimal() or int(declared) > max_bytes:
            self._refuse_body(max_bytes)
            return
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_S):
                async for chunk in self.http.stream():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > max_bytes:
                        self._refuse_body(max_bytes)
                        return
        except TimeoutError:
            self.faults.append(("body", "did not arrive in time", 408))
            return
        self.content = b"".join(chunks)

    def received(self, target: str, elapsed_ms: float) -> checks.Received:
        """Returns the request for the checks."""
        return checks.Received(
            request=self.id,
            authorization=self.http.headers.get("authorization", ""),
            content=self.content,
            target=target,
            key=self.http.headers.get("idempotency-key"),
            elapsed_ms=elapsed_ms,
        )

    def respond(self, reply: answers.Reply) -> responses.Response:
        """Returns the HTTP answer."""
        response_type = responses.Response
        if self.content is None:
            response_type = _Discarding
        return response_type(
            reply.content,
            reply.status,
            {**reply.headers, "X-Request-Id": self.id},
            "application/json",
        )

    def _refuse_body(self, max_bytes: int) -> None:
        self.faults.append(("body", f"is larger than {max_bytes} bytes", 413))


Handler = Callable[[_Exchange], Awaitable[answers.Reply]]


@registry.plugins.register("callers")
class CallersService:
    """Serves callers' requests."""

    requires = (
        "operators",
        "gather",
        "submissions",
        "configuration",
        "dispatch",
    )

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._checker = checks.Checker()
        self._in_flight = limits.InFlight()
        self._open_requests = 0
        self._refusing = False
        self._submissions: set[asyncio.Task] = set()
        self._server: server_lib.Server | None = None
        self.caller_app = applications.Starlette(
            routes=[
                self._route("/v1/query/{target}", self._query),
                self._route("/v1/keys", self._keys),
                self._route("/v1/submissions/{target}", self._submission),
            ],
            exception_handlers={exceptions.HTTPException: self._no_route},
        )
        kernel.metrics.gauge("caller_requests_in_flight", self._count_open)

    async def start(self) -> None:
        """Starts the HTTP server."""
        settings = self._kernel.settings
        tls = {}
        if settings.tls_certificate:
            tls = {
                "ssl_certfile": settings.tls_certificate,
                "ssl_keyfile": settings.tls_private_key,
            }
        self._server = server_lib.Server(
            self.caller_app, settings.host, settings.caller_port, tls
        )
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Finishes requests in flight, then closes the servers.

        Requests are still served while the load balancer learns from
        `/readyz` that the instance leaves. Afterwards new ones are refused.
        """
        clock = self._kernel.clock
        end_s = clock.now() + grace_s
        await asyncio.sleep(min(self._kernel.settings.drain_s, grace_s))
        self._refusing = True
        while clock.now() < end_s and (
            self._open_requests or self._submissions
        ):
            await asyncio.sleep(_POLL_S)
        remaining_s = max(0.0, end_s - clock.now())
        if self._server is not None:
            await self._server.stop(remaining_s, _LAST_REQUESTS_S)

    def ready(self) -> bool:
        """Whether the server accepts connections."""
        return self._server is not None and self._server.listening

    def dump(self) -> dict[str, Any]:
        """Returns the requests in flight."""
        return {
            "requests_in_flight": self._open_requests,
            "in_flight_by_team": self._in_flight.dump(),
            "submissions_in_flight": len(self._submissions),
            "refusing": self._refusing,
            "listening": self.ready(),
        }

    def _count_open(self) -> int:
        return self._open_requests

    def _route(self, path: str, handler: Handler) -> routing.Route:
        async def endpoint(request: http_requests.Request):
            self._open_requests += 1
            try:
                return await self._exchange(request, handler)
            finally:
                self._open_requests -= 1

        return routing.Route(path, endpoint, methods=["POST"])

    async def _exchange(
        self, request: http_requests.Request, handler: Handler
    ) -> responses.Response:
        exchange = _Exchange(request, self._kernel.clock.now())
        try:
            reply = await self._answer(exchange, handler)
        except http_requests.ClientDisconnect:
            self._kernel.metrics.count("caller_requests_abandoned")
            reply = answers.error(499, "abandoned", "the caller left")
        except Exception:  # noqa: BLE001
            _log.exception("request_failed", request=exchange.id)
            self._kernel.metrics.count("caller_requests_failed")
            reply = answers.error(
                500, "internal", "the instance failed", request_id=exchange.id
            )
        self._kernel.metrics.count("caller_responses", status=str(reply.status))
        response = exchange.respond(reply)
        if self._kernel.stopping:
            response.headers["connection"] = "close"
        return response

    async def _answer(
        self, exchange: _Exchange, handler: Handler
    ) -> answers.Reply:
        if self._refusing:
            return answers.error(
                503,
                "stopping",
                "the instance is stopping; this copy was not run",
                _RETRY_STOPPING_MS,
                request_id=exchange.id,
                this_copy_ran=False,
            )
        if not self._kernel.plugin("configuration").ready():
            return answers.error(
                503,
                "starting",
                "the instance has no configuration yet; this copy was not run",
                _RETRY_STARTING_MS,
                request_id=exchange.id,
                this_copy_ran=False,
            )
        await exchange.read(self._kernel.settings.max_body_bytes)
        return await handler(exchange)

    def _check(self, exchange: _Exchange, check) -> Any:
        """Runs a check with the faults found while reading."""
        snapshot = self._kernel.plugin("configuration").store.current
        elapsed_s = self._kernel.clock.now() - exchange.received_s
        target = exchange.http.path_params.get("target", "")
        checked = check(snapshot, exchange.received(target, elapsed_s * 1000))
        faults = checked.err() or checks.Faults()
        for place, message, status in exchange.faults:
            faults.add(place, message, status)
        if faults.ok:
            return checked.unwrap()
        _log.info(
            "request_faulty",
            request=exchange.id,
            path=exchange.http.url.path,
            status=faults.status,
            findings="; ".join(str(item) for item in faults.findings),
        )
        return faults

    async def _query(self, exchange: _Exchange) -> answers.Reply:
        query = self._check(exchange, self._checker.query)
        if isinstance(query, checks.Faults):
            return answers.faults(query)
        if query.deadline_ms <= 0:
            return answers.error(
                503,
                "deadline",
                "the deadline passed while the request was read",
                _RETRY_DEADLINE_MS,
                request_id=query.request,
            )
        limit = query.snapshot.teams_by_name[query.team].max_in_flight
        with self._in_flight.enter(query.team, limit) as entered:
            if not entered:
                self._count_query(query, "team_limit")
                return answers.error(
                    429,
                    "team_limit",
                    f"the team has {limit} requests in flight here",
                    _RETRY_LIMIT_MS,
                    request_id=query.request,
                )
            return await self._run_query(exchange, query)

    async def _run_query(
        self, exchange: _Exchange, query: gather_model.Query
    ) -> answers.Reply:
        """Runs a query until it is answered or the caller leaves."""
        running = asyncio.ensure_future(
            self._kernel.plugin("gather").run(query)
        )
        leaving = asyncio.ensure_future(_disconnected(exchange.http))
        try:
            await asyncio.wait(
                (running, leaving), return_when=asyncio.FIRST_COMPLETED
            )
            if not running.done():
                self._count_query(query, "abandoned")
                _log.info("query_abandoned", request=query.request)
                return answers.error(499, "abandoned", "the caller left")
            gathered = running.result()
        finally:
            running.cancel()
            leaving.cancel()
        if gathered.is_err():
            reply = answers.query_refused(gathered.unwrap_err())
        else:
            reply = answers.query(gathered.unwrap())
        size = len(reply.content)
        limit = self._kernel.settings.max_answer_bytes
        if size > limit:
            self._count_query(query, "answer_too_large")
            _log.warning("answer_too_large", request=query.request, size=size)
            return answers.error(
                507,
                "answer_too_large",
                f"the answer has {size} bytes, more than {limit}; narrow the"
                " query",
                request_id=query.request,
            )
        self._record_query(exchange, query, gathered)
        return reply

    def _count_query(self, query: gather_model.Query, outcome: str) -> None:
        self._kernel.metrics.count(
            "caller_queries",
            outcome=outcome,
            priority=_rank_name(query.snapshot, query.team),
        )

    def _record_query(
        self, exchange: _Exchange, query: gather_model.Query, gathered
    ) -> None:
        elapsed_s = self._kernel.clock.now() - exchange.received_s
        fields: dict[str, Any] = {
            "request": query.request,
            "team": query.team,
            "target": query.target,
            "elapsed_ms": round(elapsed_s * 1000, 1),
        }
        if gathered.is_err():
            refusal = gathered.unwrap_err()
            self._count_query(query, refusal.code)
            _log.info("query_refused", reason=refusal.code, **fields)
            return
        answer = gathered.unwrap()
        self._count_query(query, "partial" if answer.lacking else "complete")
        metrics = self._kernel.metrics
        metrics.count(
            "caller_query_shards", len(answer.results), state="covered"
        )
        metrics.count(
            "caller_query_shards", len(answer.lacking), state="lacking"
        )
        metrics.observe_ms(
            "caller_query_latency",
            elapsed_s * 1000,
            priority=_rank_name(query.snapshot, query.team),
        )
        _log.info(
            "query_answered",
            version=answer.index_version,
            coverage=round(answer.coverage, 4),
            **fields,
        )

    async def _keys(self, exchange: _Exchange) -> answers.Reply:
        wanted = self._check(exchange, self._checker.keys)
        if isinstance(wanted, checks.Faults):
            return answers.faults(wanted)
        keys = self._kernel.plugin("submissions").issue(
            wanted.team, wanted.count
        )
        if not keys:
            return answers.error(
                503,
                "stopping",
                "this instance is stopping; take the key at another one",
                _RETRY_LIMIT_MS,
                request_id=exchange.id,
            )
        self._kernel.metrics.count("keys_issued", len(keys))
        lifetime_s = self._kernel.settings.key_lifetime_s
        return answers.Reply(
            200,
            {
                "request_id": exchange.id,
                "keys": list(keys),
                "lifetime_s": lifetime_s,
            },
        )

    async def _submission(self, exchange: _Exchange) -> answers.Reply:
        submission = self._check(exchange, self._checker.submission)
        if isinstance(submission, checks.Faults):
            return answers.faults(submission)
        if submission.deadline_ms <= 0:
            return self._not_taken(
                submission,
                503,
                "deadline",
                "the deadline passed while the request was read",
                _RETRY_DEADLINE_MS,
            )
        store = self._kernel.plugin("configuration").store
        limit = store.current.teams_by_name[submission.team].max_in_flight
        with self._in_flight.enter(submission.team, limit) as entered:
            if not entered:
                return self._not_taken(
                    submission,
                    429,
                    "team_limit",
                    f"the team has {limit} requests in flight here",
                    _RETRY_LIMIT_MS,
                )
            return await self._run_submission(exchange, submission)

    async def _run_submission(
        self, exchange: _Exchange, submission: submissions_model.Submission
    ) -> answers.Reply:
        """Runs a submission to its outcome, also if the caller leaves.

        A repeat of the caller then finds the outcome.
        """
        task = asyncio.create_task(self._outcome(submission))
        self._submissions.add(task)
        task.add_done_callback(self._submissions.discard)
        outcome = await asyncio.shield(task)
        elapsed_s = self._kernel.clock.now() - exchange.received_s
        name = self._record_submission(submission, outcome, elapsed_s * 1000)
        if name == "done":
            return answers.done(submission.request, outcome)
        if name == "unknown":
            return answers.unknown(submission.request, outcome)
        if name == "mismatch":
            return answers.mismatch(submission.request, outcome)
        return answers.not_run(
            submission.request, outcome, self._fresh_key(submission.team)
        )

    async def _outcome(
        self, submission: submissions_model.Submission
    ) -> submissions_model.Outcome:
        try:
            return await self._kernel.plugin("submissions").submit(submission)
        except Exception:  # noqa: BLE001
            # Whatever failed, the upstream may have been reached.
            _log.exception("submission_failed", request=submission.request)
            return submissions_model.Unknown("internal", None, 1000.0)

    def _record_submission(
        self,
        submission: submissions_model.Submission,
        outcome: submissions_model.Outcome,
        elapsed_ms: float,
    ) -> str:
        names = {
            submissions_model.Done: "done",
            submissions_model.NotRun: "not_run",
            submissions_model.Mismatch: "mismatch",
            submissions_model.Unknown: "unknown",
        }
        name = names[type(outcome)]
        self._kernel.metrics.count("caller_submissions", outcome=name)
        self._kernel.metrics.observe_ms(
            "caller_submission_latency", elapsed_ms, outcome=name
        )
        _log.info(
            "submission_answered",
            request=submission.request,
            team=submission.team,
            service=submission.service,
            outcome=name,
            reason=getattr(outcome, "reason", ""),
            elapsed_ms=round(elapsed_ms, 1),
        )
        return name

    def _not_taken(
        self,
        submission: submissions_model.Submission,
        status: int,
        code: str,
        message: str,
        retry_after_ms: float,
    ) -> answers.Reply:
        self._kernel.metrics.count("caller_submissions", outcome="not_taken")
        _log.info(
            "submission_not_taken",
            request=submission.request,
            team=submission.team,
            reason=code,
        )
        fresh_key = ""
        if submission.first_send:
            fresh_key = self._fresh_key(submission.team)
        return answers.not_taken(
            status, code, message, retry_after_ms, submission, fresh_key
        )

    def _fresh_key(self, team: str) -> str:
        (key,) = self._kernel.plugin("submissions").issue(team, 1)
        return key

    async def _no_route(
        self, request: http_requests.Request, error: exceptions.HTTPException
    ) -> responses.Response:
        """Answers a path or method that does not exist."""
        code = "not_found" if error.status_code == 404 else "bad_method"
        reply = answers.error(
            error.status_code,
            code,
            f"{request.method} {request.url.path}: {error.detail}",
        )
        return _Discarding(
            reply.content,
            reply.status,
            error.headers,
            "application/json",
        )
