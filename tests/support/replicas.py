"""Simulated replicas and instances for routed requests on virtual time."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import math
import random

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import batching
from mallowloft.routes import crashes as crashes_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.routes import selection
from mallowloft.routes import single
from mallowloft.routes import timing
from mallowloft.routes.admission import gate
from mallowloft.routes.crossing import crossing as crossing_lib
from mallowloft.upstream import http1

NAMES = model.HeaderNames()
# Numbers of the requests of all simulated instances.
_request_numbers = itertools.count()
DOMAINS = ("d1", "d2", "d3")
# One-way network delays within and between failure domains.
_LOCAL_DELAY_S = 0.0002
_REMOTE_DELAY_S = 0.0014
_CALLER_ROUND_TRIP_S = 0.002


def route(**fields: object) -> model.Route:
    """Returns a route with defaults for the fields that are not given."""
    return model.Route(
        **{
            "name": "r",
            "host": "h",
            "prefix": "/",
            "idempotent": True,
            "timeout_s": 0.4,
            "objective_s": 0.092,
            "max_attempts": 2,
            **fields,
        }
    )


@dataclasses.dataclass
class Replica:
    """A simulated replica with slots, pauses and faults.

    Attributes:
        work_s: Draws the service time of a request.
        slowdown: Factor for service times by current time.
        unresponsive: Whether requests and replies are lost, by current time.
        acknowledged: Whether its host acknowledged requests, None if unknown,
            by current time.
        status: Status of replies by current time.
        body: Body of replies.
        headers: Headers of replies besides the signature, by current time.
        arrivals: Number of requests received.
        arrived_s: Loop times at which they were received.
    """

    id: str
    service: str
    domain: str
    rng: random.Random
    work_s: Callable[[random.Random], float]
    slots: int = 2
    pause_s: float = 0.0
    pause_every_s: float = math.inf
    slowdown: Callable[[float], float] = lambda now_s: 1.0
    unresponsive: Callable[[float], bool] = lambda now_s: False
    acknowledged: Callable[[float], bool | None] = lambda now_s: None
    status: Callable[[float], int] = lambda now_s: 200
    body: bytes = b"\0" * 16
    headers: Callable[[float], model.Headers] = lambda now_s: ()
    running_requests: int = 0
    arrivals: int = 0

    def __post_init__(self) -> None:
        self._queue: list[tuple[http1.Exchange, float]] = []
        self.request_ids: list[bytes] = []
        self.arrived_s: list[float] = []
        self._phase_s = self.rng.random() * min(self.pause_every_s, 60.0)

    def receive(self, exchange: http1.Exchange, delay_s: float) -> None:
        """Receives a request from the network."""
        self.arrivals += 1
        self.request_ids.append(exchange.id)
        self.arrived_s.append(asyncio.get_running_loop().time())
        if self.unresponsive(asyncio.get_running_loop().time()):
            return
        self._queue.append((exchange, delay_s))
        self._start()

    def _paused_s(self, now_s: float) -> float:
        if math.isinf(self.pause_every_s):
            return 0.0
        since_pause_s = (now_s + self._phase_s) % self.pause_every_s
        return max(0.0, self.pause_s - since_pause_s)

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and self.running_requests < self.slots:
            exchange, delay_s = self._queue.pop(0)
            if exchange.done:
                continue
            self.running_requests += 1
            now_s = loop.time()
            begin_s = now_s + self._paused_s(now_s)
            end_s = begin_s + self.work_s(self.rng) * self.slowdown(now_s)
            end_s += self._paused_s(end_s)
            loop.call_at(end_s, self._end, exchange, delay_s)

    def _end(self, exchange: http1.Exchange, delay_s: float) -> None:
        self.running_requests -= 1
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if not self.unresponsive(now_s):
            response = http1.Response(
                self.status(now_s),
                (
                    (NAMES.signature, self.id.encode()),
                    *self.headers(now_s),
                ),
                self.body,
            )
            exchange.connection.deliver(exchange, response, delay_s)
        self._start()


class Link:
    """The link of one instance, which transfers one reply at a time."""

    def __init__(self, mbps: float = math.inf, reply_bytes: int = 0) -> None:
        self._reply_s = reply_bytes * 8 / (mbps * 1e6)
        self._free_s = 0.0

    def delay_s(self) -> float:
        """Adds a reply that arrives now; returns its delay on the link."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s, self._free_s) + self._reply_s
        return self._free_s - now_s


class Pool:
    """Simulated connections of one instance to one replica.

    Attributes:
        received_s: Loop time at which data arrived last.
        opened_s: Loop time at which a connection was opened last.
        on_event: Is told of new connections.
        renewals: Number of calls of `renew`.
    """

    def __init__(self, replica: Replica, local: bool, link: Link) -> None:
        self._replica = replica
        self._link = link
        self._delay_s = _LOCAL_DELAY_S if local else _REMOTE_DELAY_S
        self.on_event: Callable[[str], None] = lambda event: None
        self.renewals = 0
        self.renewing = False
        self.received_s = self.opened_s = -math.inf
        self.address = replica.id
        self.max_connections = 8
        self.open_count = 1
        self.failing = False

    def submit(self, exchange: http1.Exchange) -> None:
        """Sends a request, unless it may not be sent."""
        if exchange.may_send is not None and not exchange.may_send():
            exchange.withhold()
            return
        exchange.connection = self
        asyncio.get_running_loop().call_later(
            self._delay_s, self._replica.receive, exchange, self._delay_s
        )

    def deliver(
        self, exchange: http1.Exchange, response: http1.Response, delay_s: float
    ) -> None:
        """Transfers a reply to the instance."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            delay_s,
            lambda: loop.call_later(
                self._link.delay_s(), self._receive, exchange, response
            ),
        )

    def _receive(
        self, exchange: http1.Exchange, response: http1.Response
    ) -> None:
        if not exchange.done:
            self.received_s = asyncio.get_running_loop().time()
        exchange.set_outcome(response)

    def close(self, reason: str = "") -> None:
        """Does nothing."""

    def round_trip_s(self) -> float:
        """Returns the round-trip time to the replica."""
        return 2 * self._delay_s

    def renew(self) -> None:
        """Opens a connection, unless the replica is not reached."""
        self.renewals += 1
        loop = asyncio.get_running_loop()
        if not self._replica.unresponsive(loop.time()):
            loop.call_later(self.round_trip_s(), self._on_renewed)

    def _on_renewed(self) -> None:
        self.opened_s = asyncio.get_running_loop().time()
        self.on_event(http1.CONNECTED)

    @property
    def acknowledged(self) -> bool | None:
        """Whether the replica's host has all sent data, None if unknown."""
        return self._replica.acknowledged(asyncio.get_running_loop().time())

    keep_open = stop_keeping_open = abort = recheck_waiting = close
    suspend = resume = return_waiting = close


class Instance:
    """A simulated instance; implements `running.Context`."""

    names = NAMES

    def __init__(
        self,
        domain: str,
        replicas: list[Replica],
        rng: random.Random,
        link: Link | None = None,
        crossing: crossing_lib.Crossing | None = None,
    ) -> None:
        self.domain = domain
        self._link = link or Link()
        by_id = {replica.id: replica for replica in replicas}
        ids = itertools.cycle(by_id)

        def open_pool(host, port, max_connections, on_event, meter) -> Pool:
            del host, port, max_connections, meter
            pool = self._open_pool(by_id[next(ids)], domain)
            pool.on_event = on_event
            return pool

        self.directory = directory_lib.Directory(
            f"instance-{rng.random()}",
            domain,
            lambda event: None,
            reach.DomainReachability(),
            open_pool,
        )
        for replica in replicas:
            self.directory.put(
                model.Replica(
                    replica.id,
                    replica.service,
                    "127.0.0.1",
                    1,
                    replica.domain,
                    replica.slots,
                )
            )
        self.selector = selection.Selector(rng, crossing=crossing)
        self.crashes = crashes_lib.CrashRegistry()
        self.sender = attempts_lib.Sender(
            NAMES,
            metrics_lib.Metrics(),
            self.directory,
            rng,
            self.crashes,
            crossing,
        )
        self.admission = gate.Gate(True, 0.05, rng, metrics_lib.Metrics())
        self.sender.on_reply = self.admission.record_reply
        self.response_delays = timing.ResponseDelays()
        self.batch_overheads = batching.Overheads()
        self.collect_above = 2.0
        self.collectors_by_domain: dict[
            str, list[directory_lib.ReplicaEntry]
        ] = {}
        self._limit = limits.ExtraAttemptLimit.for_instance(0.2, 54, 10.0, 7)
        self._extra_by_service: dict[str, limits.ExtraAttemptBucket] = {}
        self._latency_by_route: dict[str, limits.RouteLatency] = {}
        self.changed_routes: dict[str, model.Route | None] = {}

    def _open_pool(self, replica: Replica, domain: str) -> Pool:
        return Pool(replica, replica.domain == domain, self._link)

    def choose_collectors(
        self, failure_domain: str, count: int
    ) -> list[directory_lib.ReplicaEntry]:
        """Returns the first healthy collectors of a failure domain."""
        now_s = asyncio.get_running_loop().time()
        return [
            entry
            for entry in self.collectors_by_domain.get(failure_domain, [])
            if not entry.health.ejected(now_s)
        ][:count]

    def extra_attempts(self, service: str) -> limits.ExtraAttemptBucket:
        """Returns the token bucket for extra attempts at a service."""
        extra = self._extra_by_service.get(service)
        if extra is None:
            now_s = asyncio.get_running_loop().time()
            extra = limits.ExtraAttemptBucket(self._limit, now_s)
            self._extra_by_service[service] = extra
        return extra

    def current_route(self, route: model.Route) -> model.Route | None:
        """Returns a route as the test has changed it, None if it is gone."""
        return self.changed_routes.get(route.name, route)

    def choose_service(self, route: model.Route) -> str:
        """Returns the first service of a route."""
        return route.targets[0].service

    def latency_of(self, route: model.Route) -> limits.RouteLatency:
        """Returns the latency statistics of a route."""
        return self._latency_by_route.setdefault(
            route.name, limits.RouteLatency(route.objective_s)
        )

    async def serve(self, route: model.Route) -> model.Answer:
        """Serves one request of a caller."""
        request_context = self.create_request_context(route)
        if route.shards:
            task = gathering.ScatterGather(self, request_context)
        else:
            task = single.Forwarding(
                self, request_context, route.targets[0].service
            )
        task.start()
        return await task.done

    def create_request_context(
        self, route: model.Route, request_id: bytes = b""
    ) -> running.RequestContext:
        """Returns the context of a request that arrives now.

        Args:
            route: Its route.
            request_id: Its id; a new one if it is not given.
        """
        now_s = asyncio.get_running_loop().time()
        latency = self.latency_of(route)
        request = model.Request(
            request_id or b"%d" % next(_request_numbers),
            b"GET" if route.idempotent else b"POST",
            b"/",
            (),
            b"",
        )
        return running.RequestContext(
            route,
            attempts_lib.OutgoingRequest(request, 0, NAMES),
            latency,
            now_s,
            timing.answer_by(
                route.objective_s,
                now_s,
                0.0,
                _CALLER_ROUND_TRIP_S,
                0.0,
                latency.median_s,
            ),
            now_s + route.timeout_s,
        )
