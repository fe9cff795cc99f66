"""Settings, logs, metrics and the subcommands of the command line."""

import argparse
import asyncio
import contextlib
import json
import logging
import os
import socket
import sys
import types
from typing import Any

import pytest
from starlette import applications
from starlette import responses
from starlette import routing
import structlog
import zmq

from mallowloft import cli
from mallowloft.kernel import findings as findings_lib
from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.kernel import settings as settings_lib
from standins import ports as ports_lib
from standins import serving
from tests.support import certificates

_BASE = {
    "MALLOWLOFT_INSTANCE_ID": "i1",
    "MALLOWLOFT_FAILURE_DOMAIN": "d1",
    "MALLOWLOFT_PLATFORM_URL": "http://127.0.0.1:9",
}


def _load(*flags: str, base: dict[str, str] = _BASE, **environment: str):
    parser = argparse.ArgumentParser()
    settings_lib.add_arguments(parser)
    return settings_lib.load(parser.parse_args(flags), {**base, **environment})


def _errors(*flags: str, **environment: str) -> dict[str, str]:
    """Returns the error messages by flag."""
    findings = _load(*flags, **environment).unwrap_err()
    return {item.place.split()[0]: item.message for item in findings}


class TestSettings:
    """Every error in the settings is listed with its flag and variable."""

    def test_lists_all_errors_at_once(self):
        # Guards against having to restart once for each error.
        errors = _errors(
            "--host=localhost",
            "--operator-port=8080",
            "--peer-port=70000",
            "--hedging=perhaps",
            "--peers=i2@d1=tcp://name:1,nonsense",
            "--tls-certificate=/nonexistent/cert.pem",
            "--peer-secret-key=short",
            "--drain-s=60",
            MALLOWLOFT_LOG_LEVEL="loud",
            MALLOWLOFT_PLATFORM_URL="ftp://127.0.0.1",
        )
        names = """
            host operator-port peer-port hedging peers tls-certificate
            tls-private-key peer-secret-key peer-public-keys drain-s log-level
            platform-url
        """
        assert set(errors) == {f"--{name}" for name in names.split()}
        assert "'perhaps'" in errors["--hedging"]

    def test_names_flag_and_variable(self):
        findings = _load(base={}).unwrap_err()
        places = [item.place for item in findings]
        assert "--instance-id (MALLOWLOFT_INSTANCE_ID)" in places
        assert "--failure-domain (MALLOWLOFT_FAILURE_DOMAIN)" in places

    def test_flag_takes_precedence_over_variable(self):
        loaded = _load("--caller-port=9001", MALLOWLOFT_CALLER_PORT="9002")
        assert loaded.unwrap().caller_port == 9001

    @pytest.mark.parametrize(
        ("text", "value"),
        [("true", True), ("0", False), ("off", False), ("yes", True)],
    )
    def test_reads_booleans(self, text, value):
        # Guards against reading "false" as true because it is not empty.
        assert _load(f"--hedging={text}").unwrap().hedging is value
        variable = _load(MALLOWLOFT_HEDGING=text).unwrap()
        assert variable.hedging is value

    def test_boolean_flag_without_value_is_true(self):
        settings = _load("--hedging", MALLOWLOFT_HEDGING="false").unwrap()
        assert settings.hedging is True

    def test_wildcard_address_is_refused(self):
        # Other instances would be told to connect to 0.0.0.0.
        assert "--host" in _errors("--host=0.0.0.0")

    def test_network_address_requires_keys_or_allow_plaintext(self):
        errors = _errors("--host=192.0.2.1")
        assert set(errors) == {"--tls-certificate", "--peer-secret-key"}
        assert _load("--host=192.0.2.1", "--allow-plaintext").is_ok()

    def test_certificate_and_key_must_match(self, tmp_path):
        first = certificates.write(tmp_path / "first")
        second = certificates.write(tmp_path / "second")
        errors = _errors(
            f"--tls-certificate={first.certificate}",
            f"--tls-private-key={second.key}",
        )
        assert set(errors) == {"--tls-certificate"}
        assert _load(
            f"--tls-certificate={first.certificate}",
            f"--tls-private-key={first.key}",
        ).is_ok()

    def test_key_errors_do_not_contain_the_key(self):
        # The message is logged.
        secret = "x" * 39
        errors = _errors(
            f"--peer-secret-key={secret}", "--peer-public-keys=*=short"
        )
        assert secret not in str(errors)

    def test_public_keys_by_instance(self):
        public, _ = zmq.curve_keypair()
        keys = settings_lib.parse_public_keys(f"*={public.decode()},i2=b=c")
        assert keys == {"*": public, "i2": b"b=c"}

    def test_port_in_use_is_an_error(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            settings = _load(f"--peer-port={port}").unwrap()
            findings = findings_lib.Findings()
            settings_lib.check_ports_bindable(settings, findings)
        places = [item.place.split()[0] for item in findings]
        assert "--peer-port" in places

    def test_entry_exits_with_2(self, capsys, monkeypatch):
        monkeypatch.delenv("MALLOWLOFT_INSTANCE_ID", raising=False)
        assert cli.main(["entry", "--hedging=perhaps"]) == 2
        lines = capsys.readouterr().err.splitlines()
        assert len(lines) >= 4


class TestLogs:
    """Each log event is one line of key=value pairs."""

    @pytest.fixture(autouse=True)
    def _restore(self):
        root = logging.getLogger()
        handlers, level = root.handlers, root.level
        yield
        root.handlers = handlers
        root.setLevel(level)
        structlog.reset_defaults()
        structlog.contextvars.clear_contextvars()

    @contextlib.contextmanager
    def _lines(self, monkeypatch, tmp_path):
        """Yields a list that receives the lines logged in the block."""
        path, lines = tmp_path / "output", []
        with path.open("w") as output:
            monkeypatch.setattr(sys, "stdout", output)
            logs.configure("info", "i1")
            yield lines
        lines += path.read_text().splitlines()

    def test_line_has_instance_and_fields(self, monkeypatch, tmp_path):
        with self._lines(monkeypatch, tmp_path) as lines:
            logs.get_logger("test").info("started", request="r-1")
        (line,) = lines
        assert "instance=i1 event=started" in line
        assert "request=r-1" in line

    def test_caller_text_cannot_start_a_line(self, monkeypatch, tmp_path):
        with self._lines(monkeypatch, tmp_path) as lines:
            logs.get_logger("test").info("faulty", path="/a\nevent=forged")
        assert len(lines) == 1

    def test_exceptions_and_libraries_write_one_line(
        self, monkeypatch, tmp_path
    ):
        # Guards against tracebacks and library messages in another format.
        with self._lines(monkeypatch, tmp_path) as lines:
            try:
                raise ValueError("two\nlines")
            except ValueError:
                logging.getLogger("uvicorn.error").exception("failed")
        (line,) = lines
        assert "event=library_message" in line
        assert "logger=uvicorn.error" in line
        assert "ValueError" in line


class TestLineWriter:
    """A slow reader causes dropped lines and never blocks the writer."""

    @pytest.fixture
    def pipe(self):
        reader, writer = os.pipe()
        yield reader, writer
        os.close(reader)
        os.close(writer)

    def test_does_not_wait_for_a_reader_that_stops(self, pipe):
        reader, descriptor = pipe
        writer = logs.LineWriter(descriptor)
        line = "x" * 999 + "\n"
        for _ in range(3000):
            writer.write(line)
            writer.flush()
        assert writer.dropped > 0
        assert writer.dropped < 3000
        assert os.read(reader, 1000) == line.encode()

    def test_writes_the_backlog_when_the_reader_resumes(self, pipe):
        reader, descriptor = pipe
        writer = logs.LineWriter(descriptor)
        lines = [f"{number}:{'x' * 500}\n" for number in range(300)]
        for line in lines:
            writer.write(line)
        received = b""
        while len(received) < sum(map(len, lines)):
            writer.write_pending()
            received += os.read(reader, 1 << 16)
        assert received.decode() == "".join(lines)
        assert writer.dropped == 0

    def test_survives_a_closed_reader(self):
        reader, descriptor = os.pipe()
        os.close(reader)
        writer = logs.LineWriter(descriptor)
        writer.write("x\n")
        writer.flush()
        assert writer.dropped == 1
        os.close(descriptor)


class TestMetrics:
    """Rendered metrics contain what the operations page describes."""

    def test_latency_has_percentiles_and_count(self):
        metrics = metrics_lib.Metrics()
        for value_ms in range(1, 101):
            metrics.observe_ms("query_latency", value_ms, priority="paying")
        text = metrics.render().decode()
        name = "mallowloft_query_latency"
        line = name + '_ms{percentile="99.0",priority="paying"}'
        (found,) = [x for x in text.splitlines() if x.startswith(line)]
        assert 97 <= float(found.split()[-1]) <= 101
        assert name + '_recorded_total{priority="paying"} 100.0' in text

    def test_shows_the_memory_of_the_process(self):
        text = metrics_lib.Metrics().render().decode()
        assert "process_resident_memory_bytes" in text


class TestCheck:
    """`check` reports all findings in all files with their place."""

    @pytest.fixture(autouse=True)
    def _tree(self, monkeypatch):
        # A stub replaces the check of the tree, which has its own tests.
        self.documents: dict[str, Any] = {}
        self.findings = findings_lib.Findings()

        def check_tree(documents):
            self.documents = documents
            return self.findings

        name = "mallowloft.configuration.tree"
        module = types.ModuleType(name)
        module.check_tree = check_tree
        monkeypatch.setitem(sys.modules, name, module)
        monkeypatch.setattr(name, module, raising=False)

    def _write(self, tmp_path, *contents: str) -> list[str]:
        """Writes the files a.json, b.json and so on; returns their paths."""
        paths = [tmp_path / f"{name}.json" for name in "abcd"[: len(contents)]]
        for path, content in zip(paths, contents, strict=True):
            path.write_text(content)
        return [str(path) for path in paths]

    def test_files_form_one_tree(self, tmp_path, capsys):
        paths = self._write(
            tmp_path, '{"/operator/fleet": {}}', '{"/teams/x/query": {}}'
        )
        assert cli.main(["check", *paths]) == 0
        assert set(self.documents) == {"/operator/fleet", "/teams/x/query"}
        assert "2 documents" in capsys.readouterr().out

    def test_reports_findings_of_every_file(self, tmp_path, capsys):
        self.findings.add("/operator/fleet.classes", "is empty")
        paths = self._write(
            tmp_path,
            '{"/operator/fleet": 1}',
            '{"/operator/fleet": 2}',
            '{"/a": {"x": 1, "x": 2}}',
            '{"/a": ',
        )
        missing = str(tmp_path / "missing.json")
        assert cli.main(["check", *paths, missing]) == 1
        output = capsys.readouterr().out
        assert len(output.splitlines()) == 5
        assert "/operator/fleet.classes: is empty" in output
        assert "/operator/fleet: is also in another file" in output
        assert (
            "c.json: is not valid JSON: duplicate names in one object: x"
            in output
        )
        assert "d.json: is not valid JSON" in output
        assert "missing.json: No such file" in output


class _StubInstance:
    """Stub of an instance with scripted responses.

    Each step is a status and a body, or None for a connection that is closed
    before the response is complete.
    """

    def __init__(self, *steps: tuple[int, dict[str, Any]] | None) -> None:
        self._steps = list(steps)
        self.keys: list[str] = []
        self.first_sends: list[bool] = []
        self.url = ""
        self._ports = ports_lib.ReservedPorts()
        routes = [
            routing.Route(path, endpoint, methods=[method])
            for method, path, endpoint in (
                ("POST", "/v1/keys", self._issue),
                ("POST", "/v1/submissions/shop", self._submit),
                ("POST", "/v1/query/shop", self._step),
                ("GET", "/v1/state", self._state),
            )
        ]
        self._app = applications.Starlette(routes=routes)

    async def start(self) -> None:
        (port,) = self._ports.reserve(1)
        self.url = f"http://127.0.0.1:{port}"
        self._server, _ = await serving.start(self._app, port)

    def stop(self) -> None:
        self._server.should_exit = True
        self._ports.release()

    async def _issue(self, request):
        del request
        return responses.JSONResponse({"keys": ["key-1"]})

    async def _state(self, request):
        del request
        return responses.JSONResponse({"instance": "i1"})

    async def _submit(self, request):
        body = await request.json()
        self.keys.append(request.headers["idempotency-key"])
        self.first_sends.append(body["first_send"])
        return await self._step(request)

    async def _step(self, request):
        await request.json()
        step = self._steps.pop(0)
        if step is None:
            return _TruncatedResponse()
        status, answer = step
        return responses.JSONResponse(answer, status)


class _TruncatedResponse:
    """A response whose connection is closed before the body."""

    async def __call__(self, scope, receive, send) -> None:
        headers = [(b"content-length", b"10")]
        start = {"type": "http.response.start", "status": 200}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": b""})


def _run(instances: list[_StubInstance], *arguments: str) -> int:
    """Runs a subcommand against stub instances."""

    async def scenario():
        for instance in instances:
            await instance.start()
        urls = ",".join(instance.url for instance in instances)
        try:
            return await asyncio.to_thread(
                cli.main, [*arguments, f"--url={urls}"]
            )
        finally:
            for instance in instances:
                instance.stop()

    return asyncio.run(scenario())


_SUBMIT = ("submit", "shop", "s0", "{}", "--copies=3")
_DONE = (200, {"outcome": "done", "reply": 1})
_UNKNOWN = (504, {"outcome": "unknown", "retry_after_ms": 1})
_REFUSED = (
    429,
    {"outcome": "unknown", "this_copy_ran": False, "retry_after_ms": 1},
)


class TestSubmit:
    """`submit` keeps one key and reports only what is certain."""

    def test_retries_with_the_same_key_at_the_next_address(self, capsys):
        # Guards against a retry with a new key, which may run again.
        first, second = _StubInstance(None), _StubInstance(_DONE)
        assert _run([first, second], *_SUBMIT) == 0
        assert first.keys == second.keys == ["key-1"]
        assert (first.first_sends, second.first_sends) == ([True], [False])
        printed = json.loads(capsys.readouterr().out)
        assert (printed["outcome"], printed["copies"]) == ("done", 2)

    def test_unknown_stays_unknown(self, capsys):
        assert (
            _run([_StubInstance(_UNKNOWN, _UNKNOWN, _UNKNOWN)], *_SUBMIT) == 4
        )
        assert json.loads(capsys.readouterr().out)["outcome"] == "unknown"

    def test_not_run_is_not_retried(self):
        instance = _StubInstance(
            (503, {"outcome": "not_run", "fresh_key": "key-2"})
        )
        assert _run([instance], *_SUBMIT) == 3
        assert instance.keys == ["key-1"]

    def test_refused_copies_are_not_run(self):
        instance = _StubInstance(_REFUSED, _REFUSED, _REFUSED)
        assert _run([instance], *_SUBMIT) == 3
        assert instance.first_sends == [True, True, True]

    def test_refusal_after_a_lost_answer_is_unknown(self):
        # Guards against "not run" if the first copy may have run.
        assert _run([_StubInstance(None, _REFUSED, _REFUSED)], *_SUBMIT) == 4

    def test_invalid_request_is_not_retried(self):
        faulty = (400, {"findings": [{"place": "body", "message": "x"}]})
        assert _run([_StubInstance(faulty)], *_SUBMIT) == 1

    def test_unreachable_instance_is_not_run(self):
        with ports_lib.ReservedPorts() as ports:
            (port,) = ports.reserve(1)
            url = f"http://127.0.0.1:{port}"
            assert cli.main([*_SUBMIT, f"--url={url}"]) == 3


class TestQueryAndDump:
    """`query` and `dump` print the response of the instance."""

    def test_query_goes_to_the_next_address(self, capsys):
        answer = {"coverage": 1.0}
        instances = [
            _StubInstance((503, {"error": "stopping"})),
            _StubInstance((200, answer)),
        ]
        assert _run(instances, "query", "shop", '{"hint": 7}') == 0
        assert json.loads(capsys.readouterr().out) == answer

    @pytest.mark.parametrize(
        ("step", "code"),
        [((503, {"error": "overloaded"}), 3), ((400, {"findings": []}), 1)],
        ids=["refused", "with_faults"],
    )
    def test_query_that_fails(self, step, code):
        assert _run([_StubInstance(step)], "query", "shop", "1") == code

    def test_dump(self, capsys):
        assert _run([_StubInstance()], "dump") == 0
        assert json.loads(capsys.readouterr().out) == {"instance": "i1"}

    def test_version(self, capsys):
        assert cli.main(["version"]) == 0
        assert capsys.readouterr().out.strip()
