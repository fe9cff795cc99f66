"""Stand-ins and process control for the scripts of the third review.

Everything listens on loopback addresses and free ports. The store, the replicas
and the clients follow PROTOCOL.md; the entry processes are started with the
command of the deploy file, as processes of their own.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "shop.example"
_HISTORY_ITEMS = 2000
_PAGE_ITEMS = 500

# Bounds of the small installations, from DEPLOY.md and the site files.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "revertSlackMs": 250,
    "outerBoundMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 54,
    "recoveryS": 12,
}
MEMORY_MB = 300


def free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def troubled() -> bool:
    """Whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one event a line."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Appends a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f"{elapsed_s:9.3f} {text}\n")

    def close(self) -> None:
        """Writes what is buffered."""
        self._file.close()


async def read_head(reader) -> tuple[bytes, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.decode("latin1").partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Returns the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Listener:
    """A server on a loopback port; `serve` handles a connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening; keeps the port if it was started before."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, limit=1 << 22, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def _accept(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer) -> None:
        """Handles one connection."""
        raise NotImplementedError


def response(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Returns an encoded response."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store(Listener):
    """The platform's store."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Writes a value as JSON."""
        self.revision += 1
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created": created,
            "leaseId": 0,
        }
        self._items[key] = item
        self._add(item)

    def remove(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        del self._items[key]
        self._add({"key": key, "revision": self.revision, "compacted": True})

    def _add(self, event: dict) -> None:
        self._events.append(event)
        del self._events[:-_HISTORY_ITEMS]
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Answers reads and watches."""
        while True:
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            path, _, query = first.split(b" ")[1].decode().partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            if path == "/mallowloft/kv-range":
                status, body = 200, self._range(fields)
            else:
                status, body = await self._watch(fields)
            writer.write(
                response(status, json.dumps(body).encode(), {"Store-Era": "1"})
            )
            await writer.drain()

    def _range(self, fields: dict[str, str]) -> dict:
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._items[key] for key in keys[:_PAGE_ITEMS]],
            "hasMore": len(keys) > _PAGE_ITEMS,
            "atRev": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after = int(fields["after"])
        if after >= self.revision:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(fields["waitMs"]) / 1000):
                    await changed.wait()
        oldest = self._events[0]["revision"] if self._events else self.revision
        if (
            after > self.revision
            or after + 1 < oldest
            and len(self._events) == _HISTORY_ITEMS
        ):
            return 410, {}
        events = [item for item in self._events if item["revision"] > after]
        return 200, {"events": events, "atRev": self.revision}


class Replica(Listener):
    """A sound replica of a service.

    Attributes:
        work_s: How long it works on a request.
        body: Body of its answers.
        run: Ids of the requests that it has begun to work on, with the time.
        answered: Ids of the requests that it has answered.
    """

    def __init__(
        self, replica_id: str, service: str, zone: str, slots: int = 64
    ) -> None:
        super().__init__()
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.work_s = 0.0
        self.body = b"whole body of " + replica_id.encode()
        self.run: list[tuple[str, float]] = []
        self.answered: set[str] = set()
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self.born = int(time.time() * 1000)

    def entry(self, **fields: object) -> dict:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slot_count,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
            **fields,
        }

    def stamp(self, request_id: str) -> str:
        """Returns its signature for a request."""
        return f"{self.id}.{request_id}"

    async def serve(self, reader, writer) -> None:
        """Runs requests."""
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await self.answer(writer, first, headers, body)
            await writer.drain()

    async def answer(self, writer, first, headers, body) -> None:
        """Runs one request and answers it."""
        del first, body
        request_id = headers.get("attempt-id", "")
        if headers.get("target-instance", self.id) != self.id:
            writer.write(response(421, b"", {"Not-Executed": "1"}))
            return
        async with self._slots:
            self.run.append((request_id, time.monotonic()))
            if self.work_s:
                await asyncio.sleep(self.work_s)
        self.answered.add(request_id)
        writer.write(
            response(
                200,
                self.body,
                {
                    "Attempt-Id": request_id,
                    "Server-Stamp": self.stamp(request_id),
                    "Server-Load": f"0,0,{self._slot_count}",
                },
            )
        )


def route(name: str, service: str = "", **fields: object) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "service": service,
        "maxAttempts": 2,
        "timeoutMs": 2000,
        "latencyGoalMs": 500,
        "priority": 1,
        **fields,
    }


def configuration(
    version: int, routes: list[dict], services: dict[str, int]
) -> dict:
    """Returns a configuration; `services` has the connections of a replica."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "maxConnections": count,
                "healthPath": "/health",
            }
            for name, count in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


class Entry:
    """An entry process of the system.

    Attributes:
        ports: Its ports by listener: `front`, `ready`, `control`, `metrics`.
        peak_mb: Largest memory that it held, in MB.
        over_limit_s: When it was killed because of its memory.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        names = ("front", "ready", "control", "metrics")
        self.ports = dict(zip(names, free_ports(4), strict=True))
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._env: dict[str, str] = {}
        self._command: list[str] = []
        self.peak_mb = 0.0
        self.over_limit_s: float | None = None

    def write_settings(
        self, store: Store, seeds: list["Entry"], zones: list[str]
    ) -> None:
        """Writes the settings file."""
        path = self._folder / f"{self.name}.toml"
        seed_list = ", ".join(
            f'"127.0.0.1:{seed.ports["control"]}"' for seed in seeds
        )
        zone_lines = "\n".join(f'{zone} = "region-1"' for zone in zones)
        bounds = "\n".join(f"{name} = {v}" for name, v in BOUNDS.items())
        path.write_text(
            f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = "{self.zone}"
region = "region-1"
internalPorts = [{self.ports["metrics"]}, {self.ports["metrics"]}]
seeds = [{seed_list}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
[zones]
{zone_lines}
[listen]
front = "127.0.0.1:{self.ports["front"]}"
ready = "127.0.0.1:{self.ports["ready"]}"
control = "127.0.0.1:{self.ports["control"]}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{store.address}"
form = "read"
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
""",
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split(" ")
        self._env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MALLOWLOFT_CONFIG": str(path),
            "MALLOWLOFT_METRICS_PORT": str(self.ports["metrics"]),
        }

    async def start(self) -> None:
        """Starts the process."""
        log = (self._folder / f"{self.name}.log").open("ab")
        with log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                cwd=ROOT,
                env=self._env,
            )

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the process counts itself as ready."""
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    status, _, _ = await fetch(
                        self.ports["ready"], "/mallowloft/readiness"
                    )
                    if status == 200:
                        return
                await asyncio.sleep(0.05)

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def status(self) -> int | None:
        """Its exit status; negative for a signal."""
        return self._process.returncode

    def memory_mb(self) -> float:
        """Returns what the process itself holds, in MB.

        Mapped files, such as the interpreter's, are left out.
        """
        with contextlib.suppress(OSError, IndexError, ValueError):
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def watch_memory(self) -> None:
        """Kills the process when it exceeds its memory, as the platform does.

        A process that exceeds `memoryMb` is killed (DEPLOY.md, Processor and
        memory).
        """
        while self.alive:
            held_mb = self.memory_mb()
            self.peak_mb = max(self.peak_mb, held_mb)
            if held_mb > MEMORY_MB:
                self.over_limit_s = time.monotonic()
                self.kill()
                return
            await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        """Sends a signal."""
        if self.alive:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.signal(signal.SIGKILL)

    async def wait(self, timeout_s: float) -> int | None:
        """Waits for its end; returns None if it still runs."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        return None


_ids = itertools.count(1)


def new_id() -> str:
    """Returns the id of a client attempt."""
    return f"{next(_ids):016x}"


def request(
    path: str,
    request_id: str,
    deadline_ms: int = 2000,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns an encoded client request."""
    fields = {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of a complete answer."""
    first, headers = await read_head(reader)
    body = await read_body(reader, headers)
    return int(first.split(b" ")[1]), headers, body


async def fetch(
    port: int, path: str, request_id: str = "", **options
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a new connection."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, limit=1 << 22
    )
    try:
        writer.write(request(path, request_id or new_id(), **options))
        return await read_answer(reader)
    finally:
        writer.close()


class Client:
    """A client with one connection that it keeps."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader = None
        self._writer = None

    async def send(
        self, path: str, request_id: str, **options
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a request on the kept connection, which is opened first.

        Raises:
            OSError: The connection ended without an answer.
            asyncio.IncompleteReadError: The same.
        """
        if self._writer is None or self._writer.is_closing():
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self._port, limit=1 << 22
            )
        try:
            self._writer.write(request(path, request_id, **options))
            status, headers, body = await read_answer(self._reader)
        except BaseException:
            self.close()
            raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, body

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def run(main, folder: pathlib.Path, limit_s: float = 112.0) -> int:
    """Runs a case in a temporary folder.

    Args:
        main: Coroutine function that gets the record and the temporary folder,
            and a list to which it adds the entries that it starts. It returns
            the exit status.
        folder: Folder of the case.
        limit_s: Time limit.

    Returns:
        The exit status: 1 if the rule was broken, 0 if it held, 2 if the case
        could not run.
    """
    record = Record(folder)
    entries: list[Entry] = []

    async def guarded() -> int:
        # A script that is stopped ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(limit_s):
                    return await main(record, pathlib.Path(temporary), entries)
            except Exception as error:  # noqa: BLE001
                record.write(f"could not run: {error!r}")
                print(f"could not run: {error!r}")
                return 2
            finally:
                for entry in entries:
                    if entry.alive:
                        entry.kill()
                        await entry.wait(5.0)

    try:
        return asyncio.run(guarded())
    except asyncio.CancelledError:
        return 2
    finally:
        record.close()
