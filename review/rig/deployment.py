"""Instances of the deploy file as separate processes on loopback addresses.

The settings are those of the deployment gbd-slots.
"""

import asyncio
import os
import pathlib
import socket
import subprocess
import tempfile
import time
import tomllib

from rig import replica as replica_lib
from rig import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "pupu76.example"
ZONES = ("thapathali", "balaju", "bhaktapur")
# `graceS` of the settings.
_GRACE_S = 6.0
_SETTINGS = """
nodeName = "front-{zone}-{number}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "bagmati"
internalPorts = [7380,7395]
seeds = [{seeds}]
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
contracts = [
    "base", "drain", "config", "cost", "retry", "recover", "scatter",
    "platform",
]
[zones]
thapathali = "bagmati"
balaju = "bagmati"
bhaktapur = "bagmati"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
outerBoundMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
recoveryS = 12
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"""


def free_port(host: str) -> int:
    """Returns a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Instance:
    """One instance, which can be started again at its addresses."""

    def __init__(self, number: int, settings: str, ip: str, ports) -> None:
        self.number = number
        self.ip = ip
        self.front, self.ready, self.control, self._metrics = ports
        self._settings = settings
        self._process: subprocess.Popen | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.log = pathlib.Path(self._folder.name) / "log"

    def start(self) -> None:
        """Starts the process."""
        path = self.log.parent / "boot.toml"
        path.write_text(self._settings)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MALLOWLOFT_CONFIG"] = str(path)
        environment["MALLOWLOFT_METRICS_PORT"] = str(self._metrics)
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process, None while it runs."""
        return self._process.poll()

    async def terminate(self) -> None:
        """Sends SIGTERM, and SIGKILL after the platform's grace period."""
        self._process.terminate()
        try:
            async with asyncio.timeout(_GRACE_S):
                while self._process.poll() is None:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.kill()

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self._process.kill()
        self._process.wait()

    def close(self) -> None:
        """Removes the temporary folder."""
        self._folder.cleanup()

    async def is_ready(self) -> bool:
        """Whether the readiness probe of the platform is answered with 200."""
        try:
            status, _, _ = await request(
                self.ip, self.ready, "GET", "/mallowloft/readiness", {}
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    async def wait_until_ready(self, limit_s: float = 15.0) -> None:
        """Waits until it is ready.

        Raises:
            TimeoutError: It did not become ready in time.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


async def request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection and returns the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            first, *rest = head.rstrip("\r\n").split("\r\n")
            received = {}
            for line in rest:
                name, _, value = line.partition(":")
                received[name.lower()] = value.strip()
            length = int(received.get("content-length", 0))
            data = await reader.readexactly(length)
            return int(first.split(" ")[1]), received, data
        finally:
            writer.close()


class Deployment:
    """A store, replicas and instances.

    Attributes:
        runs: Requests that replicas began to work on.
    """

    def __init__(self, instances: int) -> None:
        self.store = store_lib.Store()
        self.runs: list[replica_lib.Run] = []
        self.replicas: dict[str, replica_lib.Replica] = {}
        self.instances: list[Instance] = []
        self._count = instances
        self._tasks: list[asyncio.Task] = []
        self._next_id = 0
        self._servers: list[replica_lib.Server] = []

    async def start(self) -> None:
        """Starts the store and the instances."""
        port = free_port("127.0.0.1")
        await self.store.start("127.0.0.1", port)
        ports = [free_port("127.0.0.1") for _ in range(4)]
        # Runs side by side use other addresses.
        network = f"127.77.{os.getpid() % 250}"
        ips = [f"{network}.{11 + number}" for number in range(self._count)]
        seeds = ",".join(f'"{ip}:{ports[2]}"' for ip in ips[:3])
        for number, ip in enumerate(ips):
            settings = _SETTINGS.format(
                ip=ip,
                number=number + 1,
                zone=ZONES[number % len(ZONES)],
                seeds=seeds,
                front=ports[0],
                ready=ports[1],
                control=ports[2],
                store=f"127.0.0.1:{port}",
            )
            self.instances.append(Instance(number, settings, ip, ports))
        for instance in self.instances:
            instance.start()

    async def add_replica(self, replica_id: str, service: str, zone: str):
        """Starts a replica and registers it."""
        item = replica_lib.Replica(replica_id, service, zone, self.runs)
        await item.start("127.0.0.1", free_port("127.0.0.1"))
        self.replicas[replica_id] = item
        self.store.put(f"servers/{replica_id}", item.entry())
        return item

    async def add_other_server(self) -> replica_lib.OtherServer:
        """Starts a server that is no replica."""
        server = replica_lib.OtherServer()
        await server.start("127.0.0.1", free_port("127.0.0.1"))
        self._servers.append(server)
        return server

    def publish(self, version: int, routes: list[dict]) -> None:
        """Writes a configuration."""
        names = {route["service"] for route in routes}
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {
                        "name": name,
                        "maxConnections": 100,
                        "healthPath": "/health",
                    }
                    for name in sorted(names)
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 5000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    @property
    def last_id(self) -> str:
        """The id of the last client attempt."""
        return f"{self._next_id:016x}"

    def next_id(self) -> str:
        """Returns the id of a new client attempt, which is then `last_id`."""
        self._next_id += 1
        return self.last_id

    async def ask(
        self, instance: Instance, method: str, target: str, record
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a client's request to an instance and records the answer."""
        request_id = self.next_id()
        sent_s = time.monotonic()
        headers = {"Attempt-Id": request_id, "Deadline-Ms": "1500"}
        body = b"x" if method == "POST" else b""
        try:
            answer = await request(
                instance.ip, instance.front, method, target, headers, body
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer = (0, {}, type(error).__name__.encode())
        record.line(
            f"{record.since(sent_s):8.3f} s  {instance.ip} {method} {target}"
            f" id {request_id} -> {answer[0]}"
            f" stamp {answer[1].get('server-stamp', 'none')}"
        )
        return answer

    def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for instance in self.instances:
            if instance.exit_status is None:
                instance.kill()
            instance.close()
        for server in (*self.replicas.values(), *self._servers):
            server.stop()
        self.store.stop()


def route(name: str, service: str, **fields: object) -> dict:
    """Returns a route in the format of the store."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 1500,
        "latencyGoalMs": 250,
        "maxAttempts": 2,
        "priority": 1,
        "service": service,
        **fields,
    }
