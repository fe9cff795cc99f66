"""Plug-in with the HTTP interface for callers."""

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
from mallowloft.callers import requests as requests_lib
from mallowloft.callers import server as server_lib
from mallowloft.gather import model as gather_model
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.kernel import stop_schedule
from mallowloft.submissions import model as submissions_model

_log = logs.get_logger("callers")

# Limit for receiving the body, so that slow senders do not hold connections.
_BODY_TIMEOUT_S = 10.0
# How long the rest of the body is read and discarded after an early response.
# Closing the connection while the caller still sends would reset it, and the
# caller would not see the response.
_DISCARD_TIMEOUT_S = 2.0
_RETRY_AFTER_STARTING_MS = 500.0
_RETRY_AFTER_STOPPING_MS = 100.0
_RETRY_AFTER_LIMIT_REACHED_MS = 100.0
_RETRY_AFTER_DEADLINE_MS = 100.0
_POLL_INTERVAL_S = 0.01
# Share of the grace period, up to a time, for the plug-ins that stop later: the
# outcomes of submissions are handed over to another instance.
_LATER_SHARE = 0.25
_MAX_LATER_S = 3.0
# How long a stop waits for open keep-alive connections to close. A connection
# closes after its next response, so one that is still open after this time is
# considered unused.
_KEEP_ALIVE_WAIT_S = 3.0


class _EarlyResponse(responses.Response):
    """A response that may precede the end of the request body."""

    async def __call__(self, scope, receive, send) -> None:
        """Sends the response, discards the rest of the body and closes."""
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


async def _wait_for_disconnect(request: http_requests.Request) -> None:
    """Waits until the caller closes its connection."""
    message = await request.receive()
    while message["type"] != "http.disconnect":
        message = await request.receive()


def _priority_of(snapshot, team: str) -> str:
    return snapshot.teams_by_name[team].priority


class _CallerRequest:
    """An HTTP request of a caller and the data needed to respond to it."""

    def __init__(self, request: http_requests.Request, received_s: float):
        self.http_request = request
        self.received_s = received_s
        self.errors: list[tuple[str, str, int]] = []
        self.content: bytes | None = None
        self.request_id = request.headers.get("x-request-id", "")
        if self.request_id and not requests_lib.is_valid_request_id(
            self.request_id
        ):
            self.errors.append(
                ("header.X-Request-Id", "is not a valid identifier", 400)
            )
            self.request_id = ""
        self.request_id = self.request_id or secrets.token_hex(8)

    async def read_body(self, max_bytes: int) -> None:
        """Reads the body; records an error if it is too large or late.

        A Content-Length that is not a number is reported as too large.
        """
        declared = self.http_request.headers.get("content-length", "0")
        if not declared.isdecimal() or int(declared) > max_bytes:
            self._refuse_body(max_bytes)
            return
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_S):
                async for chunk in self.http_request.stream():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > max_bytes:
                        self._refuse_body(max_bytes)
                        return
        except TimeoutError:
            self.errors.append(("body", "did not arrive in time", 408))
            return
        self.content = b"".join(chunks)

    def raw_request(
        self, target: str, elapsed_ms: float
    ) -> requests_lib.RawRequest:
        """Returns the request in the form that is validated."""
        return requests_lib.RawRequest(
            request_id=self.request_id,
            authorization=self.http_request.headers.get("authorization", ""),
            content=self.content,
            target=target,
            key=self.http_request.headers.get("idempotency-key"),
            elapsed_ms=elapsed_ms,
        )

    def to_response(
        self, caller_response: answers.CallerResponse
    ) -> responses.Response:
        """Converts a response to the form that Starlette sends."""
        response_type = responses.Response
        if self.content is None:
            response_type = _EarlyResponse
        return response_type(
            caller_response.content,
            caller_response.status,
            {**caller_response.headers, "X-Request-Id": self.request_id},
            "application/json",
        )

    def _refuse_body(self, max_bytes: int) -> None:
        self.errors.append(("body", f"is larger than {max_bytes} bytes", 413))


Handler = Callable[[_CallerRequest], Awaitable[answers.CallerResponse]]


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
        self._validator = requests_lib.RequestValidator()
        self._in_flight = limits.InFlightLimiter()
        self._requests_in_flight = 0
        self._refusing = False
        # Set when requests in flight must be answered at once.
        self._must_answer = asyncio.Event()
        self._submission_tasks: set[asyncio.Task] = set()
        self._server: server_lib.Server | None = None
        self.app = applications.Starlette(
            routes=[
                self._route("/v1/query/{target}", self._handle_query),
                self._route("/v1/keys", self._handle_keys),
                self._route(
                    "/v1/submissions/{target}", self._handle_submission
                ),
            ],
            exception_handlers={
                exceptions.HTTPException: self._handle_http_error
            },
        )
        kernel.metrics.gauge(
            "caller_requests_in_flight", self._read_requests_in_flight
        )

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
            self.app,
            settings.host,
            settings.caller_port,
            self._kernel.connections.group("callers"),
            tls,
        )
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Refuses new requests after `drain_s` seconds, then closes the server.

        During the drain time, which is at most the grace period, load balancers
        can see from `/readyz` that the instance is stopping. Before the server
        closes, requests in flight are awaited. Those that still run shortly
        before the grace period ends are answered then.
        """
        clock = self._kernel.clock
        later_s = min(_LATER_SHARE * grace_s, _MAX_LATER_S)
        schedule = stop_schedule.StopSchedule.plan(
            clock.now(), grace_s - later_s, self._kernel.settings.drain_s
        )
        await asyncio.sleep(schedule.drained_s - clock.now())
        self._refusing = True
        while clock.now() < schedule.answered_s and (
            self._requests_in_flight or self._submission_tasks
        ):
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._must_answer.set()
        while clock.now() < schedule.closed_s and self._requests_in_flight:
            await asyncio.sleep(_POLL_INTERVAL_S)
        remaining_s = max(0.0, schedule.closed_s - clock.now())
        if self._server is not None:
            await self._server.stop(remaining_s, _KEEP_ALIVE_WAIT_S)

    def ready(self) -> bool:
        """Returns whether the server accepts connections."""
        return self._server is not None and self._server.listening

    def dump(self) -> dict[str, Any]:
        """Returns the number of requests in flight and the server's state."""
        return {
            "requests_in_flight": self._requests_in_flight,
            "in_flight_by_team": self._in_flight.dump(),
            "submissions_in_flight": len(self._submission_tasks),
            "refusing": self._refusing,
            "listening": self.ready(),
        }

    def _read_requests_in_flight(self) -> int:
        return self._requests_in_flight

    def _route(self, path: str, handler: Handler) -> routing.Route:
        async def endpoint(request: http_requests.Request):
            self._requests_in_flight += 1
            try:
                return await self._serve(request, handler)
            finally:
                self._requests_in_flight -= 1

        return routing.Route(path, endpoint, methods=["POST"])

    async def _serve(
        self, request: http_requests.Request, handler: Handler
    ) -> responses.Response:
        caller_request = _CallerRequest(request, self._kernel.clock.now())
        try:
            caller_response = await self._respond(caller_request, handler)
        except http_requests.ClientDisconnect:
            self._kernel.metrics.count("caller_requests_abandoned")
            caller_response = answers.error(
                499, "abandoned", "the caller disconnected"
            )
        except Exception:  # noqa: BLE001
            _log.exception("request_failed", request=caller_request.request_id)
            self._kernel.metrics.count("caller_requests_failed")
            caller_response = answers.error(
                500,
                "internal",
                "internal error in this instance",
                request_id=caller_request.request_id,
            )
        self._kernel.metrics.count(
            "caller_responses", status=str(caller_response.status)
        )
        response = caller_request.to_response(caller_response)
        if self._kernel.stopping:
            response.headers["connection"] = "close"
        return response

    async def _respond(
        self, caller_request: _CallerRequest, handler: Handler
    ) -> answers.CallerResponse:
        if self._refusing:
            return self._refuse_stopping(caller_request)
        if not self._kernel.plugin("configuration").ready():
            return answers.error(
                503,
                "starting",
                "the instance has no configuration yet and did not run this"
                " copy",
                _RETRY_AFTER_STARTING_MS,
                request_id=caller_request.request_id,
                this_copy_ran=False,
            )
        await caller_request.read_body(self._kernel.settings.max_body_bytes)
        if self._must_answer.is_set():
            return self._refuse_stopping(caller_request)
        return await handler(caller_request)

    def _refuse_stopping(
        self, caller_request: _CallerRequest
    ) -> answers.CallerResponse:
        return answers.error(
            503,
            "stopping",
            "the instance is stopping and did not run this copy",
            _RETRY_AFTER_STOPPING_MS,
            request_id=caller_request.request_id,
            this_copy_ran=False,
        )

    def _validate(self, caller_request: _CallerRequest, validate) -> Any:
        """Returns the valid request, or the errors in reading and content."""
        snapshot = self._kernel.plugin("configuration").store.current
        elapsed_s = self._kernel.clock.now() - caller_request.received_s
        target = caller_request.http_request.path_params.get("target", "")
        validated = validate(
            snapshot, caller_request.raw_request(target, elapsed_s * 1000)
        )
        errors = validated.err() or requests_lib.RequestErrors()
        for place, message, status in caller_request.errors:
            errors.add(place, message, status)
        if errors.ok:
            return validated.unwrap()
        _log.info(
            "request_faulty",
            request=caller_request.request_id,
            path=caller_request.http_request.url.path,
            status=errors.status,
            findings="; ".join(str(item) for item in errors.findings),
        )
        return errors

    async def _handle_query(
        self, caller_request: _CallerRequest
    ) -> answers.CallerResponse:
        query = self._validate(caller_request, self._validator.validate_query)
        if isinstance(query, requests_lib.RequestErrors):
            return answers.invalid_request(query)
        if query.deadline_ms <= 0:
            return answers.error(
                503,
                "deadline",
                "the deadline passed while the request was read",
                _RETRY_AFTER_DEADLINE_MS,
                request_id=query.request_id,
            )
        limit = query.snapshot.teams_by_name[query.team].max_in_flight
        with self._in_flight.admit(query.team, limit) as admitted:
            if not admitted:
                self._count_query(query, "team_limit")
                return answers.error(
                    429,
                    "team_limit",
                    f"the team has {limit} requests in flight here",
                    _RETRY_AFTER_LIMIT_REACHED_MS,
                    request_id=query.request_id,
                )
            return await self._run_query(caller_request, query)

    async def _run_query(
        self, caller_request: _CallerRequest, query: gather_model.Query
    ) -> answers.CallerResponse:
        """Runs a query; cancels it if the caller disconnects."""
        query_task = asyncio.ensure_future(
            self._kernel.plugin("gather").run(query)
        )
        disconnect_task = asyncio.ensure_future(
            _wait_for_disconnect(caller_request.http_request)
        )
        must_answer_task = asyncio.ensure_future(self._must_answer.wait())
        try:
            await asyncio.wait(
                (query_task, disconnect_task, must_answer_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not query_task.done() and must_answer_task.done():
                self._count_query(query, "stopping")
                _log.info(
                    "query_refused",
                    request=query.request_id,
                    reason="stopping",
                )
                return answers.error(
                    503,
                    "stopping",
                    "the instance stopped before the query was answered",
                    _RETRY_AFTER_STOPPING_MS,
                    request_id=query.request_id,
                )
            if not query_task.done():
                self._count_query(query, "abandoned")
                _log.info("query_abandoned", request=query.request_id)
                return answers.error(
                    499, "abandoned", "the caller disconnected"
                )
            gather_result = query_task.result()
        finally:
            query_task.cancel()
            disconnect_task.cancel()
            must_answer_task.cancel()
        if gather_result.is_err():
            caller_response = answers.query_refused(gather_result.unwrap_err())
        else:
            caller_response = answers.query(gather_result.unwrap())
        size = len(caller_response.content)
        limit = self._kernel.settings.max_answer_bytes
        if size > limit:
            self._count_query(query, "answer_too_large")
            _log.warning(
                "answer_too_large", request=query.request_id, size=size
            )
            return answers.error(
                507,
                "answer_too_large",
                f"the answer has {size} bytes, more than {limit}; narrow the"
                " query",
                request_id=query.request_id,
            )
        self._record_query(caller_request, query, gather_result)
        return caller_response

    def _count_query(self, query: gather_model.Query, outcome: str) -> None:
        self._kernel.metrics.count(
            "caller_queries",
            outcome=outcome,
            priority=_priority_of(query.snapshot, query.team),
        )

    def _record_query(
        self,
        caller_request: _CallerRequest,
        query: gather_model.Query,
        gather_result,
    ) -> None:
        elapsed_s = self._kernel.clock.now() - caller_request.received_s
        fields: dict[str, Any] = {
            "request": query.request_id,
            "team": query.team,
            "target": query.target,
            "elapsed_ms": round(elapsed_s * 1000, 1),
        }
        if gather_result.is_err():
            refusal = gather_result.unwrap_err()
            self._count_query(query, refusal.code)
            _log.info("query_refused", reason=refusal.code, **fields)
            return
        answer = gather_result.unwrap()
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
            priority=_priority_of(query.snapshot, query.team),
        )
        _log.info(
            "query_answered",
            version=answer.index_version,
            coverage=round(answer.coverage, 4),
            **fields,
        )

    async def _handle_keys(
        self, caller_request: _CallerRequest
    ) -> answers.CallerResponse:
        keys_request = self._validate(
            caller_request, self._validator.validate_keys
        )
        if isinstance(keys_request, requests_lib.RequestErrors):
            return answers.invalid_request(keys_request)
        keys = self._kernel.plugin("submissions").issue(
            keys_request.team, keys_request.count
        )
        if not keys:
            return answers.error(
                503,
                "stopping",
                "the instance is stopping, or the instance or the team has too"
                " many live keys; request the key from another instance",
                _RETRY_AFTER_LIMIT_REACHED_MS,
                request_id=caller_request.request_id,
            )
        self._kernel.metrics.count("keys_issued", len(keys))
        lifetime_s = self._kernel.settings.key_lifetime_s
        return answers.CallerResponse(
            200,
            {
                "request_id": caller_request.request_id,
                "keys": list(keys),
                "lifetime_s": lifetime_s,
            },
        )

    async def _handle_submission(
        self, caller_request: _CallerRequest
    ) -> answers.CallerResponse:
        submission = self._validate(
            caller_request, self._validator.validate_submission
        )
        if isinstance(submission, requests_lib.RequestErrors):
            return answers.invalid_request(submission)
        if submission.deadline_ms <= 0:
            return self._reject_submission(
                submission,
                503,
                "deadline",
                "the deadline passed while the request was read",
                _RETRY_AFTER_DEADLINE_MS,
            )
        store = self._kernel.plugin("configuration").store
        limit = store.current.teams_by_name[submission.team].max_in_flight
        with self._in_flight.admit(submission.team, limit) as admitted:
            if not admitted:
                return self._reject_submission(
                    submission,
                    429,
                    "team_limit",
                    f"the team has {limit} requests in flight here",
                    _RETRY_AFTER_LIMIT_REACHED_MS,
                )
            return await self._run_submission(caller_request, submission)

    async def _run_submission(
        self,
        caller_request: _CallerRequest,
        submission: submissions_model.Submission,
    ) -> answers.CallerResponse:
        """Runs a submission, even if the caller disconnects meanwhile.

        A retry with the same key then gets the outcome.
        """
        task = asyncio.create_task(self._submit(submission))
        self._submission_tasks.add(task)
        task.add_done_callback(self._submission_tasks.discard)
        must_answer_task = asyncio.ensure_future(self._must_answer.wait())
        try:
            await asyncio.wait(
                (task, must_answer_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            must_answer_task.cancel()
        outcome = (
            task.result()
            if task.done()
            else submissions_model.Unknown(
                "stopping", None, _RETRY_AFTER_STOPPING_MS
            )
        )
        elapsed_s = self._kernel.clock.now() - caller_request.received_s
        outcome_name = self._record_submission(
            submission, outcome, elapsed_s * 1000
        )
        if outcome_name == "done":
            return answers.done(submission.request_id, outcome)
        if outcome_name == "unknown":
            return answers.unknown(submission.request_id, outcome)
        if outcome_name == "mismatch":
            return answers.mismatch(submission.request_id, outcome)
        return answers.not_run(
            submission.request_id, outcome, self._issue_key(submission.team)
        )

    async def _submit(
        self, submission: submissions_model.Submission
    ) -> submissions_model.Outcome:
        try:
            return await self._kernel.plugin("submissions").submit(submission)
        except Exception:  # noqa: BLE001
            # The upstream may have received the submission before the failure.
            _log.exception("submission_failed", request=submission.request_id)
            return submissions_model.Unknown("internal", None, 1000.0)

    def _record_submission(
        self,
        submission: submissions_model.Submission,
        outcome: submissions_model.Outcome,
        elapsed_ms: float,
    ) -> str:
        """Records metrics and a log line; returns the name of the outcome."""
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
            request=submission.request_id,
            team=submission.team,
            service=submission.service,
            outcome=name,
            reason=getattr(outcome, "reason", ""),
            elapsed_ms=round(elapsed_ms, 1),
        )
        return name

    def _reject_submission(
        self,
        submission: submissions_model.Submission,
        status: int,
        code: str,
        message: str,
        retry_after_ms: float,
    ) -> answers.CallerResponse:
        self._kernel.metrics.count("caller_submissions", outcome="not_taken")
        _log.info(
            "submission_not_taken",
            request=submission.request_id,
            team=submission.team,
            reason=code,
        )
        fresh_key = ""
        if submission.first_send:
            fresh_key = self._issue_key(submission.team)
        return answers.rejected(
            status, code, message, retry_after_ms, submission, fresh_key
        )

    def _issue_key(self, team: str) -> str:
        """Returns a new key.

        Raises:
            ValueError: No key can be issued, because the instance is stopping,
                or because the instance or the team has too many live keys.
        """
        (key,) = self._kernel.plugin("submissions").issue(team, 1)
        return key

    async def _handle_http_error(
        self, request: http_requests.Request, error: exceptions.HTTPException
    ) -> responses.Response:
        """Responds to any HTTP error of the router.

        Every status other than 404 is reported as an unsupported method.
        """
        code = "not_found" if error.status_code == 404 else "bad_method"
        caller_response = answers.error(
            error.status_code,
            code,
            f"{request.method} {request.url.path}: {error.detail}",
        )
        return _EarlyResponse(
            caller_response.content,
            caller_response.status,
            error.headers,
            "application/json",
        )
