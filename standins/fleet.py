"""Starts stand-ins and instances as processes, for tests and the demo."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import hashlib
import os
import pathlib
import signal
import sys
from typing import Any

import aiohttp

from standins import ports as ports_lib

_START_TIMEOUT_S = 20.0
_REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclasses.dataclass(frozen=True)
class ReplicaSpec:
    """Settings of an upstream replica to start.

    Attributes:
        slots: Number of calls that the replica runs at the same time.
        connections: Maximum number of open connections.
        connect_ms: Delay of the first call on a new connection.
    """

    id: str
    service: str
    failure_domain: str
    port: int
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0

    @property
    def url(self) -> str:
        """Base URL of the replica."""
        return f"http://127.0.0.1:{self.port}"


@dataclasses.dataclass
class Instance:
    """One running instance.

    Attributes:
        peer_port: ZeroMQ port for other instances.
    """

    id: str
    failure_domain: str
    caller_port: int
    operator_port: int
    peer_port: int
    process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def operator_url(self) -> str:
        """Base URL for operators."""
        return f"http://127.0.0.1:{self.operator_port}"

    @property
    def peer_address(self) -> str:
        """Address for other instances."""
        return f"tcp://127.0.0.1:{self.peer_port}"


def team_document(token: str, priority: str) -> dict[str, Any]:
    """Returns an operator's team document."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {"credential_sha256": digest, "priority": priority}


class Fleet:
    """The processes of one test or demo run.

    Use it as an asynchronous context manager, or call `stop`, so that no
    process is left behind.

    Args:
        log_path: File to which the instances append their output, and the
            stand-ins their standard error; None discards both.
        command: Command line of the program; the default runs the program
            of this checkout.
        environment: Environment variables that instances get in addition to
            the inherited ones.

    Attributes:
        ports: The ports of the processes, reserved until `stop`.
    """

    def __init__(
        self,
        log_path: pathlib.Path | None = None,
        command: Sequence[str] = (sys.executable, "-m", "mallowloft"),
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.instances_by_id: dict[str, Instance] = {}
        self.replicas_by_id: dict[str, ReplicaSpec] = {}
        self.platform_url = ""
        self.session: aiohttp.ClientSession | None = None
        self._processes: list[asyncio.subprocess.Process] = []
        self.ports = ports_lib.ReservedPorts()
        self._log_path = log_path
        self._command = tuple(command)
        self._environment = dict(environment or {})

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    @property
    def started_pids(self) -> list[int]:
        """Process ids of all processes that were started."""
        return [process.pid for process in self._processes]

    async def start_platform(self) -> None:
        """Starts the platform stand-in."""
        (port,) = self.ports.reserve(1)
        self.platform_url = f"http://127.0.0.1:{port}"
        await self._spawn(
            sys.executable, "-m", "standins.platform", "--port", str(port)
        )

    async def start_upstreams(self, specs: list[ReplicaSpec]) -> None:
        """Starts upstream replicas, all of them in one process."""
        arguments = []
        for spec in specs:
            self.replicas_by_id[spec.id] = spec
            arguments.append(
                f"{spec.id}:{spec.port}:{spec.slots}:{spec.connections}"
                f":{spec.connect_ms}"
            )
        await self._spawn(sys.executable, "-m", "standins.upstream", *arguments)

    async def start_instance(
        self, instance_id: str, failure_domain: str, **settings: str
    ) -> Instance:
        """Starts an instance and waits until it is ready."""
        instance = self.instances_by_id.get(instance_id)
        if instance is None:
            instance = Instance(
                instance_id, failure_domain, *self.ports.reserve(3)
            )
            self.instances_by_id[instance_id] = instance
        await self.publish_instances()
        values = {
            "instance-id": instance_id,
            "failure-domain": failure_domain,
            "caller-port": str(instance.caller_port),
            "operator-port": str(instance.operator_port),
            "peer-port": str(instance.peer_port),
            "platform-url": self.platform_url,
            **{key.replace("_", "-"): value for key, value in settings.items()},
        }
        arguments = [f"--{key}={value}" for key, value in values.items()]
        instance.process = await self._spawn(
            *self._command,
            "entry",
            *arguments,
            wait_until_ready=False,
            environment=self._environment,
        )
        await self.wait_ready(instance)
        return instance

    async def wait_ready(self, instance: Instance) -> None:
        """Waits until the readiness endpoint returns status 200."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ready(instance):
                if instance.process.returncode is not None:
                    raise RuntimeError(
                        f"{instance.id} exited before it was ready"
                    )
                await asyncio.sleep(0.05)

    async def publish_instances(self) -> None:
        """Publishes all instances in the platform's instance list."""
        await self.post(
            self.platform_url + "/admin/set",
            {
                "instances": [
                    {
                        "id": item.id,
                        "failure_domain": item.failure_domain,
                        "peer": item.peer_address,
                        "state": "live",
                    }
                    for item in self.instances_by_id.values()
                ]
            },
        )

    async def publish(self, values_by_path: Mapping[str, Any]) -> int:
        """Publishes configuration documents and returns their revision."""
        answer = await self.post(
            self.platform_url + "/admin/publish", dict(values_by_path)
        )
        return answer["revision"]

    async def set_replica(self, replica_id: str, **behaviour: Any) -> None:
        """Sets fields of `standins.upstream.Behaviour` of a replica."""
        spec = self.replicas_by_id[replica_id]
        await self.post(spec.url + "/admin/set", behaviour)

    async def journal(self, replica_id: str) -> dict[str, Any]:
        """Returns the event journal and the counters of a replica."""
        url = self.replicas_by_id[replica_id].url + "/admin/journal"
        async with self.session.get(url) as response:
            return await response.json()

    async def post(
        self, url: str, body: Any, headers: Mapping[str, str] | None = None
    ) -> Any:
        """Posts JSON and returns the JSON answer."""
        async with self.session.post(
            url, json=body, headers=headers
        ) as response:
            return await response.json()

    def signal(self, instance_id: str, number: signal.Signals) -> None:
        """Sends a signal to an instance."""
        self.instances_by_id[instance_id].process.send_signal(number)

    async def stop(self) -> None:
        """Ends all processes, with SIGKILL if SIGTERM takes more than 5 s."""
        for process in self._processes:
            if process.returncode is None:
                # A stopped process acts on SIGTERM only after it continues.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._processes:
            try:
                await asyncio.wait_for(process.wait(), 5)
            except TimeoutError:
                # It may have ended at that moment.
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self.ports.release()
        if self.session is not None:
            await self.session.close()

    async def _is_ready(self, instance: Instance) -> bool:
        try:
            async with self.session.get(
                instance.operator_url + "/readyz",
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _spawn(
        self,
        *command: str,
        wait_until_ready: bool = True,
        environment: Mapping[str, str] | None = None,
    ) -> asyncio.subprocess.Process:
        log = asyncio.subprocess.DEVNULL
        if self._log_path is not None:
            log = self._log_path.open("ab")
        process = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.PIPE if wait_until_ready else log,
            stderr=log,
            cwd=_REPOSITORY_ROOT,
            env={
                **os.environ,
                "PYTHONPATH": f"{_REPOSITORY_ROOT}/src:{_REPOSITORY_ROOT}",
                **(environment or {}),
            },
        )
        if not isinstance(log, int):
            log.close()
        self._processes.append(process)
        if wait_until_ready:
            async with asyncio.timeout(_START_TIMEOUT_S):
                line = await process.stdout.readline()
            if line != b"ready\n":
                raise RuntimeError(f"{command} did not report that it is ready")
        return process
