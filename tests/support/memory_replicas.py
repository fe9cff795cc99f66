"""An instance with real connection pools to replicas in memory."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import homes
from mallowloft.routes import model
from mallowloft.routes import running
from mallowloft.routes import single
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib

SERVICES = ("s0", "s1")
CONNECT_S = 0.002
REPLY_S = 0.03
REPLY = b"HTTP/1.1 200 OK\r\nx-signature: s\r\n%scontent-length: 0\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that was written to a connection.

    Attributes:
        left_s: Time that the replica was handed for it.
    """

    at_s: float
    port: int
    request_id: bytes
    left_s: float


class Transport:
    """A connection to a replica, which answers each request after a time.

    Its network has `record_write`, `reply` and `reply_s`.
    """

    def __init__(self, network, protocol, port: int) -> None:
        self._network = network
        self._protocol = protocol
        self.port = port

    def get_extra_info(self, name: str) -> None:
        del name

    def set_write_buffer_limits(self, high: int) -> None:
        del high

    def write(self, data: bytes) -> None:
        del data
        self._network.record_write(self.port, self._protocol._exchange)
        asyncio.get_running_loop().call_later(
            self._network.reply_s, self._reply
        )

    def _reply(self) -> None:
        if not self._protocol.closed:
            self._protocol.data_received(self._network.reply(self.port))

    def close(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._protocol.connection_lost, None)

    abort = close


class Network:
    """One instance with real connection pools.

    Attributes:
        reply_s: Time after which a replica answers.
        headers_by_port: Lines in the answers of a replica.
        arrivals: Requests that reached a replica, in this order.
        on_arrival: Called with the arrival when a request is written.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        max_connections: int = 1,
        **settings: object,
    ) -> None:
        self.instance = replicas_lib.Instance("d1", [], random.Random(1))
        self.directory = self.instance.directory
        self.directory._open_pool = self._open_pool
        self.directory.set_services(
            services, dict.fromkeys(services, max_connections), **settings
        )
        asyncio.get_running_loop().create_connection = self._connect
        self.reply_s = REPLY_S
        self.headers_by_port: dict[int, bytes] = {}
        self.arrivals: list[Arrival] = []
        self.on_arrival: Callable[[Arrival], None] = lambda arrival: None
        self.tasks: list[running.RequestTask] = []
        self._pools: list[http1.Pool] = []
        self._transports: list[Transport] = []
        self._down: set[int] = set()
        self._port_by_start: dict[tuple[str, int], int] = {}

    def port(self, name: str, started: int = 1) -> int:
        """Returns the port of one start of a replica."""
        return self._port_by_start.setdefault(
            (name, started), len(self._port_by_start) + 1
        )

    def put(
        self, name: str, domain: str = "d1", started: int = 1, **fields: object
    ) -> directory_lib.ReplicaEntry:
        """Lists a replica; its name begins with that of its service."""
        service = name.partition("-")[0]
        port = self.port(name, started)
        self.directory.put(
            model.Replica(
                name, service, "h", port, domain, started=started, **fields
            )
        )
        return self.directory.entry(name)

    def request(self, route: model.Route) -> running.RequestTask:
        """Starts a request, as a caller's."""
        request_context = self.instance.create_request_context(route)
        if route.shards:
            task = gathering.ScatterGather(self.instance, request_context)
        else:
            service = route.targets[0].service
            task = single.Forwarding(self.instance, request_context, service)
        task.start()
        self.tasks.append(task)
        return task

    def cut(self, port: int) -> None:
        """Closes all connections to a replica."""
        for transport in self._transports:
            if transport.port == port:
                transport.close()

    def stop(self, port: int) -> None:
        """Ends the process of a replica."""
        self._down.add(port)
        self.cut(port)

    def restart(self, port: int) -> None:
        """Starts a replica again at its address."""
        self._down.discard(port)

    def count_waiting(self) -> int:
        """Returns the number of requests that wait for a connection."""
        return sum(
            not exchange.done
            for pool in self._pools
            for _, _, exchange in pool._waiting
        )

    def reply(self, port: int) -> bytes:
        """Returns the answer of a replica."""
        return REPLY % self.headers_by_port.get(port, b"")

    def record_write(self, port: int, exchange: http1.Exchange) -> None:
        head = exchange.wire.partition(b"\r\n\r\n")[0]
        deadline = head.partition(b"x-deadline-ms: ")[2].split()[0]
        now_s = asyncio.get_running_loop().time()
        arrival = Arrival(now_s, port, exchange.id, int(deadline) / 1000)
        self.arrivals.append(arrival)
        self.on_arrival(arrival)

    def _open_pool(self, *arguments: object) -> http1.Pool:
        pool = http1.Pool(*arguments)
        self._pools.append(pool)
        return pool

    async def _connect(self, factory, host: str, port: int):
        del host
        await asyncio.sleep(CONNECT_S)
        if port in self._down:
            raise ConnectionRefusedError
        protocol = factory()
        transport = Transport(self, protocol, port)
        self._transports.append(transport)
        protocol.connection_made(transport)
        return transport, protocol


def create_network(
    cold_starts: dict[str, model.ColdStart] | None = None,
    max_connections: int = 1,
) -> Network:
    """Returns an instance in `d1`, with the region `here` in `d1` and `d2`."""
    network = Network(SERVICES, max_connections, cold_starts=cold_starts)
    network.directory._leaving_grace_s = 10.0
    regions = {"d1": "here", "d2": "here", "d3": "there"}
    network.directory.homes = homes.HomePolicy(regions, "d1")
    return network
