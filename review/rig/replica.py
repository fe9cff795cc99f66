"""Stand-ins for replicas, and for a server that is none."""

import asyncio
import dataclasses
import random
import time


@dataclasses.dataclass
class Run:
    """A request that a server began to work on."""

    at_s: float
    server: str
    service: str
    request_id: str
    method: str
    target: str


async def _read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Base of the stand-ins: an HTTP/1.1 server at one address."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                answer = await self._answer(*await _read_request(reader))
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, body) -> bytes:
        raise NotImplementedError


class Replica(Server):
    """A sound replica that answers after its work time."""

    def __init__(
        self, replica_id: str, service: str, zone: str, runs: list[Run]
    ) -> None:
        super().__init__()
        self._rng = random.Random(replica_id)
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.work_s = 0.01
        # Share of the requests that end with a failure after they have run.
        self.failing_share = 0.0
        self.failure_status = 500
        self.seq = 0
        self._runs = runs

    def entry(self) -> dict:
        """Returns the next report for the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.seq,
        }

    async def _answer(self, method, target, headers, body) -> bytes:
        if headers.get("target-instance") not in (None, self.id):
            return encode(421, {"Not-Executed": "1", "Instance-Id": self.id})
        request_id = headers.get("attempt-id", "")
        self._runs.append(
            Run(
                time.monotonic(),
                self.id,
                self.service,
                request_id,
                method,
                target,
            )
        )
        await asyncio.sleep(self.work_s)
        status = 200
        if self._rng.random() < self.failing_share:
            status = self.failure_status
        return encode(
            status,
            {
                "Attempt-Id": request_id,
                "Server-Stamp": f"{self.id}.{request_id}",
                "Server-Load": "1,0,2",
            },
            f"{self.service} {request_id}".encode(),
        )


class OtherServer(Server):
    """An HTTP server that is no replica: it knows none of the paths."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[str] = []

    async def _answer(self, method, target, headers, body) -> bytes:
        self.requests.append(headers.get("attempt-id", ""))
        return encode(404, {"Content-Type": "text/plain"}, b"not found\n")
