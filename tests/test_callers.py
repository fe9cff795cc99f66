"""The callers' HTTP interface, tested over loopback sockets."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import socket
import time
from typing import Any

import aiohttp
import pytest
import result
import uvicorn

from mallowloft import client as client_lib
from mallowloft import messages
from mallowloft.callers import operators as operators_lib
from mallowloft.callers import requests as requests_lib
from mallowloft.callers import server as server_lib
from mallowloft.callers import service as callers_lib
from mallowloft.configuration import acceptance
from mallowloft.configuration import model as config_model
from mallowloft.configuration import platform
from mallowloft.configuration import store as store_lib
from mallowloft.gather import model as gather_model
from mallowloft.kernel import connections
from mallowloft.kernel import lifecycle
from mallowloft.kernel import metrics
from mallowloft.kernel import settings as settings_lib
from mallowloft.submissions import model as submissions_model
from standins import ports as ports_lib
from tests.support import certificates

_TEAM_HEADERS = {"Authorization": "Bearer token-hunters"}
_KEY_HEADERS = {"Idempotency-Key": "key-1"}
_KEYS_REQUEST = b"POST /v1/keys HTTP/1.1\r\nHost: i1\r\n\r\n"
_SHARD = gather_model.Shard("checker", "s0")


def _new_group() -> connections.ConnectionGroup:
    return connections.ConnectionBudget(metrics.Metrics()).group("callers")


def _team_document(token: str, **fields: Any) -> dict[str, Any]:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {"credential_sha256": digest, "priority": "paying", **fields}


def _service_document(replica: str) -> dict[str, Any]:
    item = {"id": replica, "url": "http://127.0.0.1:1", "failure_domain": "d1"}
    return {"index": "clues", "replicas": [item]}


_DOCUMENTS = {
    "/operator/services/checker": _service_document("c-a"),
    "/operator/services/ledger": _service_document("l-a"),
    "/operator/indexes/clues": {
        "versions": [{"version": 1, "shards": {"checker": {"s0": ["c-a"]}}}]
    },
    "/operator/teams/hunters": _team_document(
        "token-hunters", targets=["checker"], max_in_flight=2
    ),
}


class _Configuration:
    """Configuration that needs no platform."""

    def __init__(self) -> None:
        self.store = store_lib.Store()
        self.is_ready = True
        documents = [
            messages.Document(path, 1, value)
            for path, value in _DOCUMENTS.items()
        ]
        self.store.merge(
            platform.group_by_subtree(documents, acceptance.subtree_of)
        )

    def ready(self) -> bool:
        return self.is_ready


class _Blockable:
    """Stub that responds only while `release` is set."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.release.set()


class _Gather(_Blockable):
    """Stub that answers queries; a test can block them."""

    def __init__(self) -> None:
        super().__init__()
        self.queries: list[gather_model.Query] = []
        self.cancelled = 0
        self.content = b'["row"]'
        self.refusal: gather_model.Refusal | None = None

    async def run(self, query: gather_model.Query):
        self.queries.append(query)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.refusal is not None:
            return result.Err(self.refusal)
        return result.Ok(
            gather_model.Answer(
                request_id=query.request_id,
                index_version=1,
                results={_SHARD: self.content},
                lacking={},
                attempts=gather_model.AttemptCounts(1),
                config_revision=1,
                elapsed_ms=1.0,
            )
        )


class _Submissions(_Blockable):
    """Stub that returns the outcome that a test has set."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[submissions_model.Submission] = []
        self.finished = 0
        self.outcome: Any = submissions_model.Done(b'{"place": 1}')

    def issue(self, team: str, count: int) -> list[str]:
        return [f"{team}-{number}" for number in range(count)]

    async def submit(self, submission: submissions_model.Submission):
        self.seen.append(submission)
        await self.release.wait()
        self.finished += 1
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


@dataclasses.dataclass
class _Answer:
    status: int
    body: Any
    headers: Any

    @property
    def places(self) -> set[str]:
        return {item["place"] for item in self.body["findings"]}


class _Instance:
    """The plug-in with real sockets and stubs of the other plug-ins."""

    def __init__(self, **settings: Any) -> None:
        self.ports = ports_lib.ReservedPorts()
        caller_port, operator_port = self.ports.reserve(2)
        self.kernel = lifecycle.Kernel(
            settings_lib.Settings(
                instance_id="i1",
                failure_domain="d1",
                caller_port=caller_port,
                operator_port=operator_port,
                **{"drain_s": 0.0, **settings},
            )
        )
        self.configuration = _Configuration()
        self.gather = _Gather()
        self.submissions = _Submissions()
        self.operators = operators_lib.OperatorsService(self.kernel)
        self.callers = callers_lib.CallersService(self.kernel)
        self.kernel.plugins_by_name.update(
            configuration=self.configuration,
            gather=self.gather,
            submissions=self.submissions,
            operators=self.operators,
            callers=self.callers,
        )
        self.scheme = "https" if settings.get("tls_certificate") else "http"
        self.port = caller_port
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "_Instance":
        await self.operators.start()
        await self.callers.start()
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.gather.release.set()
        self.submissions.release.set()
        await self.session.close()
        await self.callers.stop(5.0)
        await self.operators.stop(5.0)
        self.ports.release()

    def url(self, path: str) -> str:
        return f"{self.scheme}://127.0.0.1:{self.port}{path}"

    async def call(
        self,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> _Answer:
        content = body if isinstance(body, bytes) else json.dumps(body or {})
        async with self.session.request(
            method,
            self.url(path),
            data=content,
            headers=_TEAM_HEADERS if headers is None else headers,
            ssl=False,
        ) as response:
            return _Answer(
                response.status, await response.json(), response.headers
            )

    async def query(self, **headers: str) -> _Answer:
        headers = {**_TEAM_HEADERS, **headers}
        return await self.call("/v1/query/checker", {"query": 1}, headers)

    async def submit(self, **body: Any) -> _Answer:
        body = {"shard": "s0", "body": {"solve": 7}, **body}
        return await self.call(
            "/v1/submissions/checker", body, {**_TEAM_HEADERS, **_KEY_HEADERS}
        )

    async def connect(self) -> tuple[Any, Any]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def until(self, condition) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)


@pytest.fixture
def instance(request) -> _Instance:
    """Returns an instance with the settings of the test's parameter."""
    return _Instance(**getattr(request, "param", {}))


@pytest.fixture(autouse=True)
def run_async(instance):
    """Runs async tests with a started instance and real sockets."""

    async def main(test):
        async with asyncio.timeout(30), instance:
            await test

    return lambda test: asyncio.run(main(test))


def _settings(**settings: Any):
    return pytest.mark.parametrize("instance", [settings], indirect=True)


class TestInvalidRequests:
    """A caller gets all errors at once; no upstream gets the request."""

    async def test_reports_every_error_of_a_query(self, instance):
        # Guards against a report that stops at the first error.
        answer = await instance.call(
            "/v1/query/nowhere",
            {"deadline_ms": 0, "min_coverage": 2, "colour": "red"},
            {**_TEAM_HEADERS, "X-Request-Id": "two words"},
        )
        assert answer.status == 400
        assert answer.places == {
            "header.X-Request-Id",
            "path.target",
            "body.query",
            "body.deadline_ms",
            "body.min_coverage",
            "body.colour",
        }
        assert not instance.gather.queries

    async def test_reports_a_malformed_body_with_its_position(self, instance):
        answer = await instance.call("/v1/query/checker", b'{"query": ')
        assert answer.status == 400
        assert answer.places == {"body"}
        assert "line 1 column" in answer.body["findings"][0]["message"]

    async def test_refuses_json_that_upstreams_cannot_read(self, instance):
        # Python accepts NaN and encodes it as a token that JSON does not have.
        answer = await instance.call("/v1/query/checker", b'{"query": NaN}')
        assert answer.status == 400
        assert answer.places == {"body.query"}

    async def test_unknown_credential_does_not_reveal_services(self, instance):
        known, unknown = [
            await instance.call(
                f"/v1/query/{target}",
                {"query": 1, "deadline_ms": -1},
                {"Authorization": "Bearer wrong"},
            )
            for target in ("checker", "nowhere")
        ]
        assert known.status == unknown.status == 401
        assert known.places == {"header.Authorization", "body.deadline_ms"}
        assert known.body == unknown.body

    async def test_refuses_targets_that_are_unknown_or_not_granted(
        self, instance
    ):
        for target, status in (("ledger", 403), ("nowhere", 404)):
            answer = await instance.call(f"/v1/query/{target}", {"query": 1})
            assert answer.status == status

    async def test_submission_without_key_says_how_to_get_one(self, instance):
        # Guards against running a submission without a key: its retries could
        # run it again.
        answer = await instance.call(
            "/v1/submissions/checker", {"shard": "nope", "body": 1}
        )
        assert answer.status == 400
        assert answer.places == {"header.Idempotency-Key", "body.shard"}
        assert "POST /v1/keys" in answer.body["findings"][0]["message"]
        assert not instance.submissions.seen

    async def test_submission_to_a_group_or_unknown_service(self, instance):
        answer = await instance.call(
            "/v1/submissions/nowhere",
            {"shard": "s0", "body": 1},
            {**_TEAM_HEADERS, **_KEY_HEADERS},
        )
        assert answer.status == 404
        assert answer.places == {"path.service"}

    async def test_unknown_path_and_method_are_answered_in_json(self, instance):
        path = await instance.call("/v2/query")
        method = await instance.call("/v1/keys", method="PUT")
        assert (path.status, path.body["error"]) == (404, "not_found")
        assert (method.status, method.body["error"]) == (405, "bad_method")
        assert method.headers["Allow"] == "POST"


class TestLargeBodies:
    """Oversized bodies are not buffered and their senders are told."""

    @_settings(max_body_bytes=1000)
    async def test_declared_size_is_refused_before_reading(self, instance):
        # Guards against a connection that is reset while the caller still
        # sends, because the caller then never reads the refusal.
        reader, writer = await instance.connect()
        size = 8 << 20
        head = (
            "POST /v1/query/checker HTTP/1.1\r\nHost: i1\r\n"
            "Authorization: Bearer token-hunters\r\n"
            f"Content-Length: {size}\r\n\r\n"
        )
        writer.write(head.encode())
        for _ in range(size >> 16):
            writer.write(b"x" * (1 << 16))
            await writer.drain()
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert b'"place":"body"' in answer

    @_settings(max_body_bytes=5000)
    async def test_undeclared_size_is_refused_while_reading(self, instance):
        # Guards against reading all of a chunked body before the size check.
        sent = 0

        async def endless():
            nonlocal sent
            while sent < 10_000:
                sent += 1
                yield b"x" * 1000
                await asyncio.sleep(0.001)

        async with instance.session.post(
            instance.url("/v1/query/checker"),
            data=endless(),
            headers=_TEAM_HEADERS,
        ) as response:
            assert response.status == 413
            assert sent < 10_000

    @_settings(max_answer_bytes=5000)
    async def test_answer_over_the_limit_is_refused(self, instance):
        # Guards against a truncated answer.
        instance.gather.content = b'"' + b"x" * 5000 + b'"'
        answer = await instance.query()
        assert answer.status == 507
        assert answer.body["error"] == "answer_too_large"

    async def test_large_answer_arrives_whole(self, instance):
        instance.gather.content = b'"' + b"x" * (8 << 20) + b'"'
        answer = await instance.query()
        assert len(answer.body["results"]["checker"]["s0"]) == 8 << 20


class TestQueries:
    """Queries respect the caller's deadline, limits and disconnection."""

    async def test_deadline_counts_from_receipt(self, instance):
        # Guards against a slow upload that extends the deadline.
        async def slow():
            yield b'{"query": 1, '
            await instance.until(
                lambda: instance.callers.dump()["requests_in_flight"]
            )
            await asyncio.sleep(0.25)
            yield b'"deadline_ms": 5000}'

        async with instance.session.post(
            instance.url("/v1/query/checker"),
            data=slow(),
            headers=_TEAM_HEADERS,
        ) as response:
            await response.read()
        assert instance.gather.queries[0].deadline_ms <= 4760

    async def test_request_over_the_team_limit_is_refused_at_once(
        self, instance
    ):
        instance.gather.release.clear()
        running = [asyncio.create_task(instance.query()) for _ in range(2)]
        await instance.until(lambda: len(instance.gather.queries) == 2)
        refused = await instance.query()
        instance.gather.release.set()
        answered = await asyncio.gather(*running)
        again = await instance.query()
        assert refused.status == 429
        assert refused.body["error"] == "team_limit"
        assert int(refused.headers["Retry-After"]) >= 1
        assert [item.status for item in answered] == [200, 200]
        assert again.status == 200

    async def test_disconnect_cancels_the_query(self, instance):
        # Guards against work for a caller that has disconnected.
        instance.gather.release.clear()
        call = asyncio.create_task(instance.query())
        await instance.until(lambda: instance.gather.queries)
        call.cancel()
        await instance.until(lambda: instance.gather.cancelled)
        await instance.until(
            lambda: not instance.callers.dump()["requests_in_flight"]
        )
        assert (
            instance.kernel.metrics.counter_value(
                "caller_queries", outcome="abandoned", priority="paying"
            )
            == 1
        )

    async def test_refusal_carries_code_and_retry_after(self, instance):
        instance.gather.refusal = gather_model.Refusal(
            "overloaded", "no slot before the deadline", 1500.0
        )
        answer = await instance.query()
        assert answer.status == 503
        assert answer.body["error"] == "overloaded"
        assert answer.body["retry_after_ms"] == 1500
        assert answer.headers["Retry-After"] == "2"

    async def test_request_id_is_returned(self, instance):
        answer = await instance.query(**{"X-Request-Id": "r-7"})
        assert answer.headers["X-Request-Id"] == "r-7"
        assert answer.body["request_id"] == "r-7"

    async def test_credential_is_not_rejected_without_configuration(
        self, instance
    ):
        instance.configuration.is_ready = False
        answer = await instance.query()
        assert (answer.status, answer.body["error"]) == (503, "starting")
        assert "Retry-After" in answer.headers


class TestKeepAliveConnection:
    """A stop responds to the next request on a keep-alive connection."""

    async def test_request_after_some_idle_time_is_answered(self, instance):
        # Guards against a reset of a connection that a caller still uses.
        reader, writer = await instance.connect()
        request = (
            b"POST /v1/keys HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n"
            b"authorization: Bearer secret\r\n\r\n{}"
        )
        writer.write(request)
        await reader.readuntil(b"\r\n\r\n")
        await reader.read(1 << 16)
        stopping = asyncio.create_task(instance.callers.stop(10.0))
        await asyncio.sleep(1.5)
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head
        assert b"connection: close" in head.lower()
        writer.close()
        await stopping


class TestOperators:
    """Operators get the state of an instance whatever its values are."""

    async def test_state_with_values_that_json_cannot_represent(self, instance):
        # Guards against one infinite value that makes all state unavailable.
        dump = {"delay_ms": float("inf"), 1: b"key", "lock": instance}
        for plugin in instance.kernel.plugins_by_name.values():
            plugin.ready = lambda: True
            plugin.dump = lambda: dump
        instance.port = instance.kernel.settings.operator_port
        answer = await instance.call("/v1/state", method="GET")
        assert answer.status == 200
        state = answer.body
        assert state["plugins"]["gather"]["delay_ms"] is None


class TestCredentials:
    """The credential check does not scan all teams on every request."""

    def test_reads_the_teams_once_per_snapshot(self):
        class Teams(dict):
            scans = 0

            def __iter__(self):
                self.scans += 1
                return super().__iter__()

        team = config_model.Team(**_team_document("secret"))
        teams = Teams({"hunters": team})
        snapshot = config_model.Snapshot(teams_by_name=teams)
        team_index = requests_lib.TeamIndex()
        found = [
            team_index.team_of(snapshot, "Bearer secret") for _ in range(50)
        ]
        assert set(found) == {"hunters"}
        assert teams.scans == 1

    def test_follows_a_new_snapshot(self):
        # Guards against an index that still contains a revoked credential.
        team_index = requests_lib.TeamIndex()
        team = config_model.Team(**_team_document("secret"))
        before = config_model.Snapshot(teams_by_name={"hunters": team})
        after = config_model.Snapshot(teams_by_name={})
        assert team_index.team_of(before, "Bearer secret") == "hunters"
        assert team_index.team_of(after, "Bearer secret") is None


class TestSubmissions:
    """The three outcomes are distinct and correct."""

    async def test_keys(self, instance):
        answer = await instance.call("/v1/keys", {"count": 2})
        assert answer.status == 200
        assert answer.body["keys"] == ["hunters-0", "hunters-1"]

    async def test_done(self, instance):
        answer = await instance.submit()
        seen = instance.submissions.seen[0]
        assert answer.status == 200
        assert answer.body["outcome"] == "done"
        assert answer.body["reply"] == {"place": 1}
        assert (seen.key, seen.shard, seen.body) == (
            "key-1",
            "s0",
            b'{"solve": 7}',
        )

    async def test_not_run(self, instance):
        instance.submissions.outcome = submissions_model.NotRun(
            "no_slot", 400.0
        )
        answer = await instance.submit()
        assert answer.status == 503
        assert answer.body["outcome"] == "not_run"
        assert answer.body["error"] == "no_slot"
        assert answer.body["fresh_key"] == "hunters-0"
        assert "Retry-After" in answer.headers

    async def test_unknown(self, instance):
        outcome = submissions_model.Unknown("issuer_lost", False, 100.0)
        instance.submissions.outcome = outcome
        this_copy_known = await instance.submit()
        outcome = submissions_model.Unknown("issuer_lost", None, 100.0)
        instance.submissions.outcome = outcome
        nothing_known = await instance.submit()
        assert this_copy_known.status == 504
        assert this_copy_known.body["outcome"] == "unknown"
        assert this_copy_known.body["this_copy_ran"] is False
        assert "same key" in this_copy_known.body["advice"]
        assert "this_copy_ran" not in nothing_known.body

    async def test_internal_failure_is_unknown(self, instance):
        # Guards against a 500 that a caller interprets as "not run".
        instance.submissions.outcome = RuntimeError("fault")
        answer = await instance.submit()
        assert answer.status == 504
        assert answer.body["outcome"] == "unknown"
        assert "this_copy_ran" not in answer.body

    async def test_only_a_first_copy_over_the_limit_is_not_run(self, instance):
        # Guards against "not run" for a key whose earlier copy has run.
        instance.submissions.release.clear()
        running = [asyncio.create_task(instance.submit()) for _ in range(2)]
        await instance.until(lambda: len(instance.submissions.seen) == 2)
        retry = await instance.submit()
        first = await instance.submit(first_send=True)
        instance.submissions.release.set()
        await asyncio.gather(*running)
        assert retry.status == first.status == 429
        assert retry.body["outcome"] == "unknown"
        assert retry.body["this_copy_ran"] is False
        assert first.body["outcome"] == "not_run"
        assert first.body["fresh_key"] == "hunters-0"
        assert len(instance.submissions.seen) == 2

    async def test_runs_to_its_outcome_when_the_caller_disconnects(
        self, instance
    ):
        # Guards against a disconnect that cancels a running submission.
        instance.submissions.release.clear()
        call = asyncio.create_task(instance.submit())
        await instance.until(lambda: instance.submissions.seen)
        call.cancel()
        await asyncio.sleep(0.05)
        instance.submissions.release.set()
        await instance.until(lambda: instance.submissions.finished)


class TestTls:
    """Callers are served over TLS if a certificate is set."""

    @pytest.fixture
    def files(self, tmp_path):
        return certificates.write(tmp_path / "tls")

    @pytest.fixture
    def instance(self, files):
        return _Instance(
            tls_certificate=str(files.certificate),
            tls_private_key=str(files.key),
        )

    async def test_query_over_tls(self, instance, files):
        answer = await instance.query()
        async with client_lib.Client(
            "token-hunters", str(files.certificate)
        ) as client:
            url = instance.url("/v1/query/checker")
            called = await client.call("POST", url, {"query": 1})
        instance.scheme = "http"
        with pytest.raises(aiohttp.ClientError):
            await instance.query()
        assert answer.status == called.unwrap().status == 200


class TestStopping:
    """A stop finishes requests in flight and refuses new ones correctly."""

    async def test_requests_in_flight_are_finished(self, instance):
        instance.gather.release.clear()
        running = asyncio.create_task(instance.query())
        await instance.until(lambda: instance.gather.queries)
        instance.kernel.stopping = True
        stopping = asyncio.create_task(instance.callers.stop(10.0))
        await instance.until(lambda: instance.callers.dump()["refusing"])
        query = await instance.query()
        submission = await instance.submit()
        instance.gather.release.set()
        answer = await running
        await stopping
        assert (query.status, query.body["error"]) == (503, "stopping")
        assert submission.status == 503
        assert submission.body["this_copy_ran"] is False
        assert "outcome" not in submission.body
        assert query.headers["Connection"] == "close"
        assert "Retry-After" in query.headers
        assert not instance.submissions.seen
        assert answer.status == 200

    async def test_requests_in_flight_are_not_cut_off_at_the_end_of_the_grace(
        self, instance
    ):
        instance.gather.release.clear()
        instance.submissions.release.clear()
        running = asyncio.gather(instance.query(), instance.submit())
        await instance.until(
            lambda: instance.gather.queries and instance.submissions.seen
        )
        instance.kernel.stopping = True
        started_s = time.monotonic()
        await instance.callers.stop(4.0)
        # The rest is for the hand-over of the submission's outcome.
        assert time.monotonic() - started_s < 4.0
        query, submission = await running
        assert (query.status, query.body["error"]) == (503, "stopping")
        assert (submission.status, submission.body["outcome"]) == (
            504,
            "unknown",
        )

    @_settings(drain_s=0.5)
    async def test_requests_are_served_until_load_balancers_notice(
        self, instance
    ):
        # Guards against refused requests before load balancers poll /readyz.
        instance.kernel.stopping = True
        stopping = asyncio.create_task(instance.callers.stop(10.0))
        await asyncio.sleep(0)
        answer = await instance.query()
        await stopping
        assert answer.status == 200
        assert answer.headers["Connection"] == "close"

    async def test_request_in_transit_is_answered(self, instance, monkeypatch):
        # Guards against a reset of a connection that was opened just before
        # the port closed. The caller could not tell whether the request ran.
        monkeypatch.setattr(server_lib, "_DEFAULT_IDLE_WAIT_S", 15.0)
        reader, writer = await instance.connect()
        stopping = asyncio.create_task(instance.callers.stop(20.0))
        await instance.until(lambda: not instance.callers.dump()["listening"])
        # Longer than the server takes to notice that it should exit.
        await asyncio.sleep(0.5)
        writer.write(_KEYS_REQUEST)
        answer = await reader.read()
        writer.close()
        await stopping
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b'"error":"stopping"' in answer

    @pytest.mark.parametrize("turns", [0, 1, 2, 3, 4])
    def test_connections_in_the_backlog_are_answered(self, turns):
        # Guards against connections that are lost when the port closes. The
        # operating system resets those not yet accepted; the event loop drops
        # those accepted but not yet set up, which takes a few iterations.
        async def app(scope, receive, send):
            start = {"type": "http.response.start", "status": 204}
            await send({**start, "headers": [(b"connection", b"close")]})
            await send({"type": "http.response.body", "body": b""})

        async def scenario():
            (port,) = ports.reserve(1)
            server = server_lib.Server(app, "127.0.0.1", port, _new_group())
            await server.start()
            callers = []
            # There is no await in the loop, so no connection is accepted yet.
            for _ in range(20):
                caller = socket.create_connection(("127.0.0.1", port))
                caller.sendall(_KEYS_REQUEST)
                caller.setblocking(False)
                callers.append(caller)
            for _ in range(turns):
                await asyncio.sleep(0)
            await server.stop(10.0)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(10):
                answers = [await loop.sock_recv(item, 4096) for item in callers]
            for caller in callers:
                caller.close()
            return answers

        with ports_lib.ReservedPorts() as ports:
            answers = asyncio.run(scenario())
        for answer in answers:
            assert answer.startswith(b"HTTP/1.1 204 ")

    def test_idle_server_rarely_wakes_and_stops_at_once(self, monkeypatch):
        # Guards against processor time spent on wake-ups while no caller is
        # connected, and against a stop that waits for the next wake-up.
        ticks = []
        on_tick = uvicorn.Server.on_tick

        async def counted(server, counter):
            ticks.append(counter)
            return await on_tick(server, counter)

        monkeypatch.setattr(uvicorn.Server, "on_tick", counted)
        # Longer than a stop takes, even on a busy machine.
        monkeypatch.setattr(server_lib, "_DATE_HEADER_INTERVAL_S", 60.0)

        async def scenario():
            (port,) = ports.reserve(1)
            server = server_lib.Server(None, "127.0.0.1", port, _new_group())
            await server.start()
            await asyncio.sleep(0.5)
            ticks_while_idle = len(ticks)
            started_s = time.monotonic()
            await server.stop(10.0)
            return ticks_while_idle, time.monotonic() - started_s

        with ports_lib.ReservedPorts() as ports:
            ticks_while_idle, stop_s = asyncio.run(scenario())
        assert ticks_while_idle <= 2
        assert stop_s < 30

    async def test_idle_connections_are_closed_cleanly(self, instance):
        reader, writer = await instance.connect()
        await instance.callers.stop(5.0)
        async with asyncio.timeout(10):
            rest = await reader.read()
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        assert rest == b""
