"""Stand-ins for the users' platform, and a launcher of real instances.

A case calls `run_case` with a coroutine function that returns whether the rule
held.

They use only the standard library, so that a case needs no package besides
those of the deploy file's build.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "a.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_PAGE_ITEMS = 500
_SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
[zones]
{zones}
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
retryBudgetSlack = 54
recoveryS = 12
coldOvershoot = 1.5
coldSlack = 5
evacuationMs = 5000
[platform]
address = "{store}"
form = "read"
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
"""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def add(self, text: str) -> None:
        """Writes one line with the time since the start."""
        at_s = time.monotonic() - self._start_s
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass
class Message:
    """A parsed HTTP message; header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


def encode_response(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Listener:
    """A server of one address whose connections `_serve` handles."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listens, on the earlier port after a stop."""
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, reader, writer) -> None:
        raise NotImplementedError


class Store(_Listener):
    """The platform's store: ranges and watches of one revision counter.

    Attributes:
        down: Whether calls are answered with status 503, which means that
            nothing was done.
        era: Number of times that the store came back from a copy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.era = 0
        self.revision = 100
        self.items: dict[str, tuple[int, bytes]] = {}
        self._events: list[tuple[int, str, bytes | None]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> int:
        """Writes an item and returns its revision: the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (self.revision, data)
        self._notify(key, data)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify(key, None)

    def copy(self) -> tuple:
        """Returns a copy of the present state, for `restore`."""
        return (self.revision, dict(self.items), list(self._events))

    def restore(self, copy: tuple) -> None:
        """Comes back from a copy; later writes are lost."""
        self.revision, items, events = copy
        self.items, self._events = dict(items), list(events)
        self.era += 1

    def _notify(self, key: str, data: bytes | None) -> None:
        self._events.append((self.revision, key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str, revision: int, data: bytes) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "created": revision,
            "leaseId": 0,
        }

    async def _serve(self, reader, writer) -> None:
        while True:
            message = await read_message(reader)
            target = message.first.split(" ")[1]
            path, _, query = target.partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            era = self.era
            if self.down:
                writer.write(encode_response(503, b"{}", self._headers()))
                continue
            if path == "/mallowloft/kv-range":
                body = self._range(fields)
            elif path == "/mallowloft/kv-watch":
                if not self._oldest() <= int(fields["after"]) <= self.revision:
                    writer.write(encode_response(410, b"{}", self._headers()))
                    continue
                body = await self._watch(fields)
                if self.down or self.era != era:
                    # A watch that is waiting may be cut.
                    return
            else:
                writer.write(encode_response(404, b"{}", self._headers()))
                continue
            data = json.dumps(body).encode()
            writer.write(encode_response(200, data, self._headers()))

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    def _oldest(self) -> int:
        return self._events[0][0] - 1 if self._events else self.revision

    def _range(self, fields: dict[str, str]) -> dict:
        after = fields.get("after", "")
        prefix = fields.get("prefix", "")
        keys = sorted(
            key for key in self.items if key > after and key.startswith(prefix)
        )
        return {
            "items": [
                self._item(key, *self.items[key]) for key in keys[:_PAGE_ITEMS]
            ],
            "hasMore": len(keys) > _PAGE_ITEMS,
            "atRev": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> dict:
        after = int(fields["after"])
        end_s = time.monotonic() + int(fields["waitMs"]) / 1000
        while self.revision <= after and not self.down:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
        events = [
            {"key": key, "revision": revision, "compacted": True}
            if data is None
            else self._item(key, revision, data)
            for revision, key, data in self._events
            if revision > after
        ]
        return {"events": events, "atRev": self.revision}


@dataclasses.dataclass
class Run:
    """A request that a replica began to work on."""

    at_s: float
    request_id: str
    method: str
    target: str
    body: bytes
    replica: str
    ended_s: float | None = None
    cut: bool = False


class Replica(_Listener):
    """A replica that signs its answers and works on each request for a time.

    Attributes:
        work_s: How long it works on a request.
        body: Body of its answers.
        max_connections: Connections beyond this number are reset.
        runs: The requests that it began to work on.
    """

    def __init__(
        self, replica_id: str, service: str, zone: str, ip: str = "127.0.0.1"
    ) -> None:
        super().__init__(ip)
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.work_s = 0.01
        self.body = b"whole"
        self.slots = 8
        self.max_connections = 96
        self.state = "ready"
        self.cold_until_s = 0.0
        self.born = 0
        self.seq = 0
        self.runs: list[Run] = []

    async def start(self) -> None:
        """Starts a new boot."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        await super().start()

    def entry(self) -> dict:
        """Returns the entry that it writes to the store."""
        self.seq += 1
        left_ms = max(0, int((self.cold_until_s - time.monotonic()) * 1000))
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": left_ms,
            "seq": self.seq,
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        if len(self._writers) > self.max_connections:
            writer.transport.abort()
            return
        while True:
            message = await read_message(reader)
            method, target, _ = message.first.split(" ")
            if target == "/health":
                writer.write(encode_response(200, b"", self._health()))
                continue
            request_id = message.headers.get("attempt-id", "")
            if message.headers.get("target-instance", self.id) != self.id:
                writer.write(
                    encode_response(421, b"", {"Instance-Id": self.id})
                )
                continue
            run = Run(
                time.monotonic(),
                request_id,
                method,
                target,
                message.body,
                self.id,
            )
            self.runs.append(run)
            answer = await self.work(run, message, reader)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    def _health(self) -> dict[str, str]:
        left_ms = max(0, int((self.cold_until_s - time.monotonic()) * 1000))
        headers = {"Instance-Id": self.id, "Server-Load": "0,0,8"}
        if left_ms:
            headers["Cold-Ms"] = str(left_ms)
        return headers

    async def work(
        self, run: Run, message: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Works on a request; returns the answer, None to break off.

        Drops the request when its connection closes.
        """
        del message
        work = asyncio.ensure_future(asyncio.sleep(self.work_s))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        run.ended_s = time.monotonic()
        if not work.done():
            work.cancel()
            run.cut = True
            return None
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        return encode_response(200, self.body, self.answer_headers(run))

    def answer_headers(self, run: Run) -> dict[str, str]:
        """Returns the headers of an answer."""
        return {
            "Attempt-Id": run.request_id,
            "Server-Stamp": f"{self.id}.{run.request_id}",
            "Server-Load": f"1,0,{self.slots}",
        }


class Instance:
    """One instance, started with the command of the deploy file."""

    def __init__(
        self, lab: "Lab", number: int, ip: str, ports: list[int], zone: str
    ) -> None:
        self._lab = lab
        self.name = f"front-{number}"
        self.ip = ip
        self.zone = zone
        self.front, self.ready, self.control = ports
        self.settings = lab.folder / f"{self.name}.toml"
        self.log = lab.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Writes the settings file."""
        zones = "\n".join(f'{zone} = "r1"' for zone in self._lab.zones)
        self.settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                zones=zones,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                front=self.front,
                ready=self.ready,
                control=self.control,
                store=self._lab.store_address,
            ),
            encoding="utf-8",
        )

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["MALLOWLOFT_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Asks the readiness address as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready
                )
                writer.write(
                    b"GET /mallowloft/readiness HTTP/1.1\r\n"
                    b"Host: x\r\nConnection: close\r\n\r\n"
                )
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return message.first.split(" ")[1] == "200"


class Lab:
    """A small deployment: a store, replicas and instances."""

    def __init__(self, record: Record, zones: tuple[str, ...] = ("z1",)):
        self.record = record
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.store_address = ""
        self.replicas: dict[str, Replica] = {}
        self.instances: list[Instance] = []
        self._network = f"127.{random.randint(20, 250)}.{os.getpid() % 250}"

    async def start_store(self) -> None:
        """Starts the store."""
        await self.store.start()
        self.store_address = self.store.address

    async def add_replica(self, replica: Replica) -> Replica:
        """Starts a replica and registers it."""
        await replica.start()
        self.replicas[replica.id] = replica
        self.register(replica)
        return replica

    def register(self, replica: Replica) -> None:
        """Writes the replica's entry."""
        self.store.put(f"servers/{replica.id}", replica.entry())

    async def start_instances(self, zones: list[str]) -> None:
        """Starts one instance for each entry and waits until all are ready."""
        ports = _free_ports(3)
        for number, zone in enumerate(zones, 1):
            ip = f"{self._network}.{number}"
            self.instances.append(Instance(self, number, ip, ports, zone))
        seeds = [f"{item.ip}:{item.control}" for item in self.instances[:3]]
        for instance in self.instances:
            instance.write_settings(seeds)
            await instance.start()
        async with asyncio.timeout(20):
            for instance in self.instances:
                while not await instance.is_ready():
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for replica in self.replicas.values():
            await replica.crash()
        await self.store.crash()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Client:
    """A client's connection that is kept open for many requests."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.ip, self.instance.front
        )

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> None:
        """Sends a request."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)

    async def answer(self, timeout_s: float) -> Message | str:
        """Returns the answer, or how the connection ended without one."""
        try:
            async with asyncio.timeout(timeout_s):
                return await read_message(self.reader)
        except TimeoutError:
            return "no answer in time"
        except asyncio.IncompleteReadError as error:
            return f"closed after {len(error.partial)} bytes of an answer"
        except ConnectionError as error:
            return type(error).__name__

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()


def route(name: str, **fields: object) -> dict:
    """Returns a route in the store's format."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 1500,
        "latencyGoalMs": 300,
        "maxAttempts": 2,
        "priority": 1,
        **fields,
    }


def configuration(
    version: int, routes: list[dict], services: list[dict]
) -> dict:
    """Returns a configuration in the store's format."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


_EXIT_HELD = 0
_EXIT_BROKEN = 1
_EXIT_NOT_RUN = 2
_MAX_CASE_S = 110.0


def run_case(
    folder: pathlib.Path,
    zones: tuple[str, ...],
    case: Callable[[Lab], Awaitable[bool]],
) -> int:
    """Runs a case and returns its exit status.

    Args:
        folder: Folder of the case, where the record is written.
        zones: Zones of the deployment.
        case: Returns whether the rule held.
    """

    async def run() -> bool:
        lab = Lab(record, zones)
        try:
            async with asyncio.timeout(_MAX_CASE_S):
                await lab.start_store()
                return await case(lab)
        finally:
            await lab.stop()

    record = Record(folder / "record.txt")
    record.add(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        held = asyncio.run(run())
    except Exception:  # noqa: BLE001
        record.add(f"could not run: {traceback.format_exc()}")
        return _EXIT_NOT_RUN
    finally:
        sys.stdout.flush()
    record.add("the rule held" if held else "THE RULE WAS BROKEN")
    record.close()
    return _EXIT_HELD if held else _EXIT_BROKEN
