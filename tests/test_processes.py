"""Tests an instance as a real process: signals, exit status and the demo."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from typing import Any

import psutil

from mallowloft import client as client_lib
from standins import fleet as fleet_lib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ENVIRONMENT = {**os.environ, "PYTHONPATH": f"{_ROOT}/src:{_ROOT}"}
_TOKEN = "token"


async def _run_module(*arguments: str) -> tuple[int, str, str]:
    """Runs a module and returns its exit status, stdout and stderr."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=_ENVIRONMENT,
        cwd=_ROOT,
    )
    async with asyncio.timeout(60):
        output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


async def _start(fleet: fleet_lib.Fleet) -> fleet_lib.Instance:
    """Starts the platform, one replica and one instance."""
    (port,) = fleet.ports.reserve(1)
    spec = fleet_lib.ReplicaSpec("shop-a", "shop", "d1", port)
    await fleet.start_platform()
    await fleet.start_upstreams([spec])
    await fleet.publish(
        {
            "/operator/services/shop": {
                "index": "goods",
                "replicas": [
                    {"id": spec.id, "url": spec.url, "failure_domain": "d1"}
                ],
            },
            "/operator/indexes/goods": {
                "versions": [
                    {"version": 1, "shards": {"shop": {"s0": [spec.id]}}}
                ]
            },
            "/operator/teams/hunters": fleet_lib.team_document(
                _TOKEN, "paying"
            ),
        }
    )
    return await fleet.start_instance("i1", "d1", drain_s="0.3")


async def _wait_until(condition) -> None:
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


def _run(test, tmp_path: pathlib.Path) -> Any:
    log = tmp_path / "log"

    async def scenario():
        async with fleet_lib.Fleet(log) as fleet:
            return await test(fleet, await _start(fleet), log)

    return asyncio.run(scenario())


class TestSignals:
    """SIGTERM aborts no request, and SIGUSR1 logs the state."""

    def test_sigterm_finishes_the_request_in_flight(self, tmp_path):
        async def test(fleet, instance, log):
            await fleet.set_replica("shop-a", service_ms=1500.0)
            async with client_lib.Client(_TOKEN) as client:
                call = asyncio.create_task(
                    client.call(
                        "POST",
                        instance.url + "/v1/query/shop",
                        {
                            "query": 1,
                            "deadline_ms": 20_000,
                            "prefer": "coverage",
                        },
                        timeout_s=40,
                    )
                )
                running = False
                async with asyncio.timeout(20):
                    while not running:
                        journal = await fleet.journal("shop-a")
                        running = bool(journal["journal"])
                instance.process.send_signal(signal.SIGTERM)
                called = await call
            async with asyncio.timeout(30):
                status = await instance.process.wait()
            return called.unwrap(), status, log.read_text()

        answer, status, log = _run(test, tmp_path)
        assert answer.status == 200
        assert answer.body["complete"], answer.body["lacking"]
        assert status == 0
        assert "event=instance_stopped" in log

    def test_sigusr1_logs_the_state(self, tmp_path):
        async def test(fleet, instance, log):
            instance.process.send_signal(signal.SIGUSR1)
            await _wait_until(lambda: "event=state_dump" in log.read_text())
            dumped = await _run_module(
                "mallowloft", "dump", f"--url={instance.operator_url}"
            )
            return log.read_text(), dumped

        log, (status, output, _) = _run(test, tmp_path)
        (line,) = [item for item in log.splitlines() if "state_dump" in item]
        assert "in_flight_by_team" in line
        assert status == 0
        assert json.loads(output)["instance"] == "i1"

    def test_instance_starts_no_child_process(self, tmp_path):
        async def test(fleet, instance, log):
            async with client_lib.Client(_TOKEN) as client:
                await client.call(
                    "POST", instance.url + "/v1/query/shop", {"query": 1}
                )
            process = psutil.Process(instance.process.pid)
            return process.children(recursive=True)

        assert _run(test, tmp_path) == []


class TestExitStatus:
    """A process with invalid settings exits immediately with status 2."""

    def test_invalid_settings_are_listed(self):
        async def scenario():
            taken = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port = taken.sockets[0].getsockname()[1]
            required = (
                "--instance-id=i1",
                "--failure-domain=d1",
                "--platform-url=http://127.0.0.1:9",
            )
            try:
                return await asyncio.gather(
                    _run_module("mallowloft", "entry", "--host=nowhere"),
                    _run_module(
                        "mallowloft",
                        "entry",
                        *required,
                        f"--caller-port={port}",
                    ),
                )
            finally:
                taken.close()

        invalid, taken = asyncio.run(scenario())
        assert invalid[0] == taken[0] == 2
        assert "--instance-id (MALLOWLOFT_INSTANCE_ID)" in invalid[2]
        assert "--host (MALLOWLOFT_HOST)" in invalid[2]
        assert "--caller-port (MALLOWLOFT_CALLER_PORT): cannot" in taken[2]


class TestDemo:
    """The demo exits and leaves no process running."""

    def test_demo_leaves_no_process_running(self):
        status, output, errors = asyncio.run(_run_module("standins.demo"))
        assert "left: 0" in output, errors
        assert output.count("coverage 1.000 (12 of 12 shards)") == 6
        assert status == 0, output
