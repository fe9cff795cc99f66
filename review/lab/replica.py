"""A stand-in for a replica, reached by each instance at a port of its own."""

import asyncio
import contextlib
import dataclasses
import hashlib
import random

RECORD_BYTES = 16
PART_RECORDS = 6


def part_of(service: str, request_id: str) -> bytes:
    """Returns the records of a part."""
    return b"".join(
        hashlib.blake2b(
            f"{service} {request_id} {number}".encode(),
            digest_size=RECORD_BYTES,
        ).digest()
        for number in range(PART_RECORDS)
    )


def body_of(service: str, request_id: str) -> bytes:
    """Returns the body of a single answer."""
    return f"{service} {request_id} ".encode() * 20


@dataclasses.dataclass
class Run:
    """A request that a replica began to work on."""

    at_s: float
    request_id: str
    replica: str
    service: str
    method: str
    target: str
    body: bytes
    instance: str
    deadline_ms: int
    outcome: str = "running"
    ended_s: float = 0.0


class Link:
    """The link of one instance to one failure domain.

    Attributes:
        mode: "" to pass, "cut" to pass nothing in both directions, "mute" to
            pass requests but no answers.
    """

    def __init__(self) -> None:
        self.mode = ""


@dataclasses.dataclass
class Behaviour:
    """What a replica does.

    Attributes:
        work_s: Time of one request.
        lose: Share of the answers that are lost after the run.
        full: Share of the requests that are rejected as not run.
        extra: Share of the answers after which a second copy is sent.
        garble: Share of the answers that break off.
        early: Whether long bodies are rejected before they are read.
    """

    work_s: tuple[float, float] = (0.005, 0.03)
    lose: float = 0.0
    full: float = 0.0
    extra: float = 0.0
    garble: float = 0.0
    early: float = 0.0
    close: float = 0.0


class Replica:
    """One start of a replica."""

    def __init__(
        self,
        replica_id: str,
        service: str,
        zone: str,
        runs: list[Run],
        rng: random.Random,
        links: dict[tuple[str, str], Link],
        slots: int = 4,
        queue: int = 8,
        part: bool = False,
    ) -> None:
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.part = part
        self.behaviour = Behaviour()
        self.arrivals: list[tuple[float, str, str]] = []
        self._runs = runs
        self._rng = rng
        self._links = links
        self._queue = queue
        self._running = 0
        self._waiting = 0
        self._slot_free = asyncio.Condition()
        self._servers: dict[str, asyncio.Server] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self.port_by_instance: dict[str, int] = {}

    async def start(
        self, host: str, instances, ports: dict[str, int] | None = None
    ) -> None:
        """Opens one listener for each instance, at given ports if any."""
        for name in instances:
            port = (ports or {}).get(name, 0)
            server = await asyncio.start_server(
                lambda r, w, name=name: self._accept(name, r, w), host, port
            )
            self._servers[name] = server
            self.port_by_instance[name] = server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends the replica; its connections are reset."""
        for server in self._servers.values():
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, **fields: object) -> dict:
        """Returns the entry in the store."""
        return {
            "service": self.service,
            "address": f"replica:{self.id}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            **fields,
        }

    async def _accept(self, instance: str, reader, writer) -> None:
        link = self._links.setdefault((instance, self.zone), Link())
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await self._serve(instance, link, reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _serve(self, instance: str, link: Link, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            while link.mode == "cut":
                await asyncio.sleep(0.02)
            first, *lines = head.rstrip("\r\n").split("\r\n")
            method, target, _ = first.split(" ")
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", 0))
            request_id = headers.get("attempt-id", "")
            early = size > 20_000 and self._rng.random() < self.behaviour.early
            if early:
                await self._write(
                    link, writer, self._reject(503, request_id), instance
                )
                await reader.readexactly(size)
                continue
            body = await reader.readexactly(size)
            self.arrivals.append((loop.time(), request_id, instance))
            if headers.get("target-instance") != self.id:
                await self._write(
                    link, writer, self._reject(421, request_id), instance
                )
                continue
            deadline_ms = int(headers.get("deadline-ms", "0"))
            end_s = loop.time() + deadline_ms / 1000
            left = asyncio.ensure_future(reader.read(1))
            try:
                answer = await self._work(
                    instance, method, target, body, request_id,
                    deadline_ms, end_s, left,
                )  # fmt: skip
            finally:
                left.cancel()
                await asyncio.wait([left])
            if answer is None:
                writer.transport.abort()
                return
            if not await self._write(link, writer, answer, instance):
                return

    async def _write(self, link, writer, answer: bytes, instance: str) -> bool:
        while link.mode in ("cut", "mute"):
            await asyncio.sleep(0.02)
        behaviour, rng = self.behaviour, self._rng
        if rng.random() < behaviour.garble:
            writer.write(answer[: max(1, len(answer) - 7)])
            await writer.drain()
            writer.close()
            return False
        writer.write(answer)
        await writer.drain()
        if rng.random() < behaviour.extra:
            asyncio.get_running_loop().call_later(
                rng.choice((0.0, 0.002, 0.02, 0.1)), writer.write, answer
            )
        return True

    def _reject(self, status: int, request_id: str) -> bytes:
        return (
            f"HTTP/1.1 {status} -\r\nNot-Executed: 1\r\n"
            f"Attempt-Id: {request_id}\r\nInstance-Id: {self.id}\r\n"
            f"Server-Load: {self._running},{self._waiting},{self.slots}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    async def _work(
        self, instance, method, target, body, request_id, deadline_ms, end_s,
        left,
    ) -> bytes | None:  # fmt: skip
        loop = asyncio.get_running_loop()
        behaviour, rng = self.behaviour, self._rng
        if rng.random() < behaviour.full:
            return self._reject(503, request_id)
        if self._running >= self.slots:
            if self._waiting >= self._queue:
                return self._reject(503, request_id)
            self._waiting += 1
            try:
                async with asyncio.timeout_at(end_s), self._slot_free:
                    while self._running >= self.slots:
                        await self._slot_free.wait()
            except TimeoutError:
                return self._reject(503, request_id)
            finally:
                self._waiting -= 1
            if left.done():
                return None
        self._running += 1
        run = Run(
            loop.time(), request_id, self.id, self.service, method, target,
            body, instance, deadline_ms,
        )  # fmt: skip
        self._runs.append(run)
        try:
            work_s = rng.uniform(*behaviour.work_s)
            await asyncio.wait(
                [left], timeout=max(0.0, min(work_s, end_s - loop.time()))
            )
            run.ended_s = loop.time()
            if left.done():
                run.outcome = "dropped"
                return None
            late = loop.time() >= end_s
            run.outcome = "late" if late else "answered"
            if rng.random() < behaviour.lose:
                run.outcome = "lost"
                return None
        finally:
            self._running -= 1
            async with self._slot_free:
                self._slot_free.notify()
        make = part_of if self.part else body_of
        answer = b"" if late else make(self.service, request_id)
        return (
            f"HTTP/1.1 {504 if late else 200} -\r\n"
            f"Attempt-Id: {request_id}\r\n"
            f"Server-Stamp: {self.id}.{request_id}\r\n"
            f"Server-Load: {self._running},{self._waiting},{self.slots}\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n"
        ).encode() + answer
