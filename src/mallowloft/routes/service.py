"""Plug-in that routes opaque requests to replicas."""

import asyncio
from collections.abc import Sequence
import dataclasses
from typing import Any

from mallowloft.callers import server as server_lib
from mallowloft.kernel import connections as connections_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.kernel import stop_schedule
from mallowloft.kernel import whole_numbers
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import batching
from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import gathering
from mallowloft.routes import homes as homes_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import isolation
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import open_requests
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.routes import selection
from mallowloft.routes import single
from mallowloft.routes import stopping
from mallowloft.routes import table as table_lib
from mallowloft.routes import timing
from mallowloft.routes.admission import gate
from mallowloft.routes.crossing import crossing as crossing_lib
from mallowloft.routes.placement import connections

_log = logs.get_logger("routes")

_DEFAULT_RETRY_AFTER_S = 0.3
# A request ends before its deadline by this time or by this share of the time
# allowed for it, whichever is smaller.
_DEADLINE_MARGIN_S = 0.01
_DEADLINE_MARGIN_SHARE = 0.04
# Upper bound for the deadline header, above every deadline that callers use.
_MAX_DEADLINE_MS = 600_000
# Limits of callers' connections until a route table is applied.
_DEFAULT_CONNECTION_LIMITS = connections_lib.ConnectionLimits(
    idle_timeout_s=60.0
)
_STOP_POLL_S = 0.02
# Shortest wait for answers to be written after open requests have been ended,
# even if the event loop was late.
_MIN_ANSWER_WAIT_S = 0.1
# Longest part of a path without a route that is logged.
_MAX_LOGGED_BYTES = 200
# One in this many requests with an outcome is logged, all others always are.
# Under overload, hundreds of refusals a second would add to the load.
_LOG_ONE_IN = {"answered": 50, "answered_partly": 5, "overloaded": 10}


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """The answer to a request.

    Attributes:
        fields: Log fields that explain the answer.
        decided_s: Loop time at which the answer was decided; None if the
            request was rejected on arrival.
    """

    answer: model.Answer
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    decided_s: float | None = None


class _RouteStats:
    """Statistics of the requests of one route.

    Attributes:
        latency: Durations of attempts at replicas.
        tail: Durations of requests.
        hub_latency: Durations of requests at hubs.
        answer_size: Size of the gathered answers.
    """

    __slots__ = (
        "_max_allowed_s",
        "answer_size",
        "hub_latency",
        "latency",
        "tail",
    )

    def __init__(self, route: model.Route) -> None:
        self.latency = limits.RouteLatency(route.objective_s)
        self.hub_latency = limits.RouteLatency(route.objective_s)
        self.answer_size = timing.AnswerSize(route)
        self.tail = stopping.DurationTail()
        self._max_allowed_s = 0.0

    def waited_s(self, deadline_s: float, setup_s: float) -> float:
        """Returns how long the caller had waited when it sent the request.

        A caller sends only its remaining time as the deadline. The longest
        time allowed that was seen is assumed to be that of all callers.

        Args:
            deadline_s: Remaining time that the caller sent.
            setup_s: Time that the caller spent on opening the connection.
        """
        self._max_allowed_s = max(self._max_allowed_s, deadline_s + setup_s)
        return self._max_allowed_s - deadline_s


def _services_of(table: model.Table) -> frozenset[str]:
    """Returns the services that one version of the route table uses."""
    return frozenset(
        service
        for route in table.routes
        for service in (
            *route.shards,
            *(target.service for target in route.targets),
        )
    )


def _refuse_stopping() -> model.Answer:
    """Returns the refusal of a request that this instance cannot finish.

    Other instances can serve it at once.
    """
    return model.refusal(running.STOPPING, running.MIN_RETRY_AFTER_S)


@registry.plugins.register("routes")
class RoutesService:
    """Answers callers' requests by forwarding them to replicas.

    The plug-in `route_source` calls `apply` and updates `directory`. Its
    attribute `header_names` provides the header names.
    """

    requires: tuple[str, ...] = ("operators", "fleet", "route_source")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self.names: model.HeaderNames = kernel.plugin(
            "route_source"
        ).header_names
        self.directory = directory_lib.Directory(
            kernel.settings.instance_id,
            kernel.settings.failure_domain,
            self._count_connection_event,
            reach.DomainReachability(),
            traffic=kernel.plugin("fleet").traffic,
            leaving_grace_s=kernel.settings.leaving_grace_s,
        )
        settings = kernel.settings
        self.directory.cold.overshoot = settings.cold_overshoot
        self.directory.cold.slack = settings.cold_slack
        self.directory.homes = homes_lib.HomePolicy(
            homes_lib.parse_regions(settings.regions),
            settings.failure_domain,
            settings.region,
        )
        self.crossing = crossing_lib.Crossing(
            kernel.settings.failure_domain,
            kernel.settings.crossing_price_ms_per_kb,
            self.directory.reach.unreachable_domains,
            kernel.rng,
            kernel.metrics,
        )
        self.crashes = kernel.plugin("fleet").crashes
        self.sender = attempts_lib.Sender(
            self.names,
            kernel.metrics,
            self.directory,
            kernel.rng,
            self.crashes,
            self.crossing,
            kernel.plugin("fleet").traffic,
        )
        self.selector = selection.Selector(
            kernel.rng,
            self.sender.count_denied_cold,
            self.crossing if kernel.settings.crossing else None,
        )
        self.admission = gate.Gate(
            kernel.settings.admission,
            kernel.settings.admission_min_share,
            kernel.rng,
            kernel.metrics,
        )
        self.sender.on_reply = self.admission.record_reply
        self.response_delays = timing.ResponseDelays()
        self.batch_overheads = batching.Overheads()
        self.collect_above = kernel.settings.collect_above
        self._matcher: table_lib.RouteMatcher | None = None
        self._isolation = isolation.IsolationMonitor(
            self, kernel, self._update_cold
        )
        self._extra_by_service: dict[str, limits.ExtraAttemptBucket] = {}
        self._shard_services: frozenset[str] = frozenset()
        fleet = kernel.plugin("fleet")
        self.hubs: hubs_lib.Hubs = fleet.hubs
        fleet.subscribe(self._update_limits)
        fleet.subscribe_hubs(self._on_hubs_changed)
        fleet.find_suspects = self.directory.suspects
        fleet.mark_suspects = self.directory.mark_suspects
        fleet.find_limits = self.directory.limit_statements
        fleet.apply_limits = self.directory.apply_statements
        self._update_limits(fleet.instances)
        self._stats_by_route: dict[str, _RouteStats] = {}
        self.open_requests = open_requests.OpenRequests()
        # Set when the instance stops.
        self.stop_schedule: stop_schedule.StopSchedule | None = None
        self._ended_count = 0
        self._connections = kernel.connections.group("callers")
        self._connections.limits = _DEFAULT_CONNECTION_LIMITS
        self._server = server_lib.Server(
            self._app,
            kernel.settings.host,
            kernel.settings.caller_port,
            self._connections,
        )
        metrics = kernel.metrics
        metrics.gauge("route_requests_open", lambda: len(self.open_requests))
        metrics.gauge("route_table_version", lambda: self.version)
        metrics.gauge("replicas_listed", lambda: len(self.directory))
        metrics.gauge(
            "evacuated_domains",
            lambda: len(self.directory.evacuations.revision_by_domain),
        )
        metrics.gauge("replicas_connected", self.directory.count_connected)
        metrics.gauge(
            "replicas_out_of_allotment", self.directory.count_unconnectable
        )
        metrics.gauge_family(
            "crossing_share", ("here", "there"), self.crossing.shares
        )

    @property
    def version(self) -> int:
        """Version of the current route table, 0 before the first."""
        return self._matcher.table.version if self._matcher else 0

    @property
    def table(self) -> model.Table | None:
        """The current version of the route table, None before the first."""
        return self._matcher.table if self._matcher else None

    async def start(self) -> None:
        """Starts accepting callers' connections."""
        await self._server.start()
        self._isolation.start()

    async def stop(self, grace_s: float) -> None:
        """Drains, then closes all connections.

        Requests are still served during the drain time, while load balancers
        detect that the instance is no longer ready. All that still run shortly
        before the end of the grace period are answered then.
        """
        loop = asyncio.get_running_loop()
        schedule = stop_schedule.StopSchedule.plan(
            loop.time(), grace_s, self._kernel.settings.drain_s
        )
        self.stop_schedule = schedule
        end_requests = loop.call_at(schedule.answered_s, self._end_requests)
        await asyncio.sleep(schedule.drained_s - loop.time())
        self._log_stop_step("drained")
        await self._server.stop(max(0.0, schedule.closed_s - loop.time()))
        self._log_stop_step("server_stopped")
        # Other instances' requests arrive at another server.
        end_s = max(schedule.closed_s, loop.time() + _MIN_ANSWER_WAIT_S)
        while self.open_requests and loop.time() < end_s:
            await asyncio.sleep(_STOP_POLL_S)
        end_requests.cancel()
        for request in self.open_requests:
            _log.warning(
                "request_dropped",
                request=request.id.decode("latin1"),
                stop_ms=self._since_stop_ms(request.started_s),
                **(request.task.describe() if request.task else {}),
            )
        self._isolation.stop()
        self.directory.close()
        self._log_stop_step("connections_closed")

    def _end_requests(self) -> None:
        """Gives all open requests their final answer."""
        self._log_stop_step("serving")
        self.open_requests.end_all()

    def ready(self) -> bool:
        """Whether callers should use this instance.

        Routes and replicas must be known, and the instance must not be
        isolated.
        """
        return (
            self._server.listening
            and self._matcher is not None
            and len(self.directory) > 0
            and not self.hubs.instance_isolated
        )

    def dump(self) -> dict[str, Any]:
        """Returns routes, replicas and tokens for extra attempts."""
        table = self.table
        return {
            "version": self.version,
            "routes": [dataclasses.asdict(item) for item in table.routes]
            if table
            else [],
            "replicas_by_service": self.directory.dump(),
            "evacuation": self.directory.evacuations.dump(),
            "extra_attempts_by_service": {
                service: round(extra.tokens, 2)
                for service, extra in self._extra_by_service.items()
            },
            "connection_allotments": self.directory.allotments(),
            "requests_open": len(self.open_requests),
            "response_delays": self.response_delays.dump(),
            "batch_overhead_ms": self.batch_overheads.dump(),
            "admission": self.admission.dump(),
            "crossing": self.crossing.dump(),
        }

    def apply(
        self, table: model.Table, source: str, replaces_any: bool = False
    ) -> bool:
        """Applies one version of the route table.

        Args:
            table: The route table.
            source: Where it is from, for the log.
            replaces_any: Whether it replaces any other version. By default it
                is ignored unless it is newer.

        Returns:
            Whether it replaced the current one.
        """
        if table == self.table:
            return False
        if table.version <= self.version and not replaces_any:
            return False
        previous = self._matcher
        services = _services_of(table)
        self._matcher = table_lib.RouteMatcher(
            table, self._kernel.rng, previous
        )
        self._extra_by_service = {
            service: extra
            for service, extra in self._extra_by_service.items()
            if service in services
        }
        names = {route.name for route in table.routes}
        self._stats_by_route = {
            name: stats
            for name, stats in self._stats_by_route.items()
            if name in names
        }
        self.admission.retain(
            group
            for route in table.routes
            for group in (
                route.shards,
                *((target.service,) for target in route.targets),
            )
        )
        self._update_directory()
        self._connections.limits = table.limits.connection
        _log.info(
            "routes_changed",
            version=table.version,
            previous=previous.table.version if previous else 0,
            routes=len(table.routes),
            services=len(services),
            source=source,
        )
        return True

    def extra_attempts(self, service: str) -> limits.ExtraAttemptBucket:
        """Returns the token bucket for extra attempts at a service."""
        extra = self._extra_by_service.get(service)
        if extra is None:
            now_s = asyncio.get_running_loop().time()
            extra = limits.ExtraAttemptBucket(
                self._extra_limit_of(service), now_s
            )
            self._extra_by_service[service] = extra
        return extra

    def current_route(self, route: model.Route) -> model.Route | None:
        """Returns a route as configured now, None if it was removed."""
        return self._matcher.current(route) if self._matcher else None

    def choose_service(self, route: model.Route) -> str:
        """Chooses the service for a request of a current route."""
        return self._matcher.choose_service(route)

    def count_unlinked(
        self, services: Sequence[str], route: model.Route | None = None
    ) -> int:
        """Returns the number of services that this instance does not reach.

        Args:
            services: Services, such as the shards of a route.
            route: The route, whose homes count; None to count all replicas.
        """
        return reach.count_unlinked(route, services, self.directory)

    def choose_collectors(
        self, failure_domain: str, count: int
    ) -> list[directory_lib.ReplicaEntry]:
        """Returns up to `count` healthy collectors of a failure domain."""
        if failure_domain in self.directory.reach.unreachable_domains():
            return []
        now_s = asyncio.get_running_loop().time()
        chosen: list[directory_lib.ReplicaEntry] = []
        for _ in range(count):
            entry = self.selector.choose(
                self.hubs.collectors(failure_domain),
                now_s,
                chosen,
                healthy_only=True,
            )
            if entry is None:
                break
            chosen.append(entry)
        return chosen

    def _extra_limit_of(self, service: str) -> limits.ExtraAttemptLimit:
        if service in self._shard_services:
            return self._shard_extra_limit
        return self._extra_limit

    def _update_directory(self) -> None:
        """Passes the services and their connection limits to the directory."""
        table = self.table
        if table is None:
            return
        self._shard_services = frozenset(
            shard for route in table.routes for shard in route.shards
        )
        # Routes over the same shards are one group.
        group_by_service: dict[str, str] = {}
        for route in table.routes:
            for shard in route.shards:
                group_by_service.setdefault(shard, route.name)
        self.crossing.set_groups(group_by_service, _services_of(table))
        on_demand = {
            shard
            for route in table.routes
            if self.hubs.should_gather(route)
            for shard in route.shards
        }
        self.directory.set_services(
            _services_of(table),
            table.max_connections_by_service,
            self._shard_services,
            on_demand,
            table.cold_starts,
        )

    def _on_hubs_changed(self) -> None:
        self.directory.warmer.set_hubs_known()
        self._update_directory()
        self._update_limits(self._kernel.plugin("fleet").instances)

    def _update_limits(self, instances: int) -> None:
        """Updates this instance's part of the limits of the whole fleet."""
        settings = self._kernel.settings
        shard_divisor = self.hubs.shard_limit_divisor(instances)
        self._extra_limit, self._shard_extra_limit = (
            limits.ExtraAttemptLimit.for_instance(
                settings.extra_share,
                settings.extra_allowance,
                settings.extra_window_s,
                divisor,
            )
            for divisor in (instances, shard_divisor)
        )
        for service, extra in self._extra_by_service.items():
            extra.limit = self._extra_limit_of(service)
        self.directory.divide_limits(
            instances, shard_divisor, self._population(instances)
        )

    def _population(self, instances: int) -> connections.Population | None:
        """Returns the instances that share the limits, None if unknown."""
        if not self._kernel.plugin("fleet").instances_known:
            return None
        return connections.Population(
            instances,
            self.hubs.small_links,
            bool(self.hubs.gathering_hubs),
            connections.draw(self._kernel.settings.instance_id),
        )

    def _update_cold(self) -> None:
        """Updates the limits of cold replicas, which change with time."""
        self.directory.update_cold(self._kernel.plugin("fleet").cold_divisor)

    def _count_connection_event(self, event: str) -> None:
        self._kernel.metrics.count("replica_connections", event=event)

    def stats_of(self, route: model.Route) -> _RouteStats:
        """Returns the statistics of a route."""
        stats = self._stats_by_route.get(route.name)
        if stats is None:
            stats = self._stats_by_route[route.name] = _RouteStats(route)
        return stats

    async def _app(self, scope, receive, send) -> None:
        exchange = exchange_lib.ServerExchange(scope, receive, send)
        started_s = asyncio.get_running_loop().time()
        request_id = exchange.header(self.names.request_id)
        with self.open_requests.track(request_id, started_s) as open_request:
            await self._serve(exchange, open_request)

    async def _serve(
        self,
        exchange: exchange_lib.ServerExchange,
        open_request: open_requests.OpenRequest,
    ) -> None:
        started_s, request_id = open_request.started_s, open_request.id
        try:
            result = await self._answer(exchange, open_request)
        except exchange_lib.CallerLeftError:
            self.record_end(request_id, started_s, "abandoned", {})
            return
        except Exception:  # noqa: BLE001
            _log.exception(
                "request_failed", request=request_id.decode("latin1")
            )
            result = _Result(model.failure(500, "internal"))
        # A caller that keeps its connection would not move to another instance.
        close_connection = self._kernel.stopping or self.hubs.instance_isolated
        await exchange.respond(result.answer, close_connection)
        if result.decided_s is not None:
            self.response_delays.record_write(
                asyncio.get_running_loop().time() - result.decided_s
            )
        self.record_end(request_id, started_s, result.answer, result.fields)

    async def _answer(
        self,
        exchange: exchange_lib.ServerExchange,
        open_request: open_requests.OpenRequest,
    ) -> _Result:
        started_s = open_request.started_s
        matcher = self._matcher
        if matcher is None:
            return _Result(model.refusal("starting", _DEFAULT_RETRY_AFTER_S))
        path = exchange.scope["raw_path"]
        host = exchange.header(b"host").partition(b":")[0]
        route = matcher.find(host.decode("latin1"), path.decode("latin1"))
        if route is None:
            fields = {
                "path": path[:_MAX_LOGGED_BYTES].decode("latin1"),
                "version": matcher.table.version,
            }
            return _Result(model.failure(404, "no_route"), fields)
        fields = {"route": route.name}
        allowed_s = min(self._deadline_s(exchange, route), route.timeout_s)
        body_end_s = started_s + allowed_s if exchange.has_body else None
        try:
            async with open_request.reading(body_end_s):
                request = await exchange.read_request(
                    self.names, matcher.table.limits.max_body_bytes
                )
        except TimeoutError:
            if self.stop_schedule is not None:
                return _Result(_refuse_stopping(), fields)
            return _Result(model.failure(408, "body_late"), fields)
        if isinstance(request, model.Answer):
            return _Result(request, fields)
        if not self._can_finish(exchange, route):
            return _Result(_refuse_stopping(), fields)
        request_context = self._build_request_context(
            exchange, route, started_s, request
        )
        if request_context.end_s <= asyncio.get_running_loop().time():
            refused = model.refusal("deadline_passed", _DEFAULT_RETRY_AFTER_S)
            return _Result(refused, fields)
        stats = self.stats_of(route)
        task = self._create_task(request_context, matcher)
        open_request.task = task
        with stats.tail.measure():
            answer = await exchange_lib.run_until_answered(exchange, task)
        fields = {
            "route": route.name,
            "version": matcher.table.version,
            "end_ms": round((request_context.end_s - started_s) * 1000),
            "answer_by_ms": round(
                (request_context.answer_by_s - started_s) * 1000, 1
            ),
            "late_ms": round(request_context.latency.hedge_delay_s * 1000, 1),
            **task.describe(),
        }
        if answer.reason:
            fields["fingerprint"] = request_context.outgoing.fingerprint
        if route.shards and answer.status == 200:
            stats.answer_size.record(answer)
        return _Result(answer, fields, task.finished_s)

    def _can_finish(
        self, exchange: exchange_lib.ServerExchange, route: model.Route
    ) -> bool:
        """Whether a request is likely to end before this instance stops."""
        schedule = self.stop_schedule
        if schedule is None:
            return True
        now_s = asyncio.get_running_loop().time()
        return stopping.can_finish(
            route,
            self.stats_of(route).tail.estimate_s(now_s),
            min(self._deadline_s(exchange, route), route.timeout_s),
            schedule,
            now_s,
        )

    def _create_task(
        self,
        request_context: running.RequestContext,
        matcher: table_lib.RouteMatcher,
    ) -> running.RequestTask:
        """Returns the task that serves a request.

        It passes the request on if hubs gather the route's answers, or if this
        instance has lost its links to all replicas of a service.
        """
        route = request_context.route
        stats = self.stats_of(route)
        transfer_s = stats.answer_size.transfer_s(
            self._kernel.settings.link_mbps
        )
        if self._gathers_at_hub(route) and not self.directory.reach.links_lost:
            return delegation.DelegatedRequest(
                self, request_context, self.hubs, stats.hub_latency, transfer_s
            )
        services = route.shards or (matcher.choose_service(route),)
        now_s = asyncio.get_running_loop().time()
        if self.hubs.forwarders(now_s) and reach.should_forward(
            route, services, self.directory, now_s
        ):
            return delegation.ForwardedRequest(
                self,
                request_context,
                self.hubs,
                stats.hub_latency,
                transfer_s,
                services,
                self.count_unlinked(services, route),
            )
        task = (
            gathering.ScatterGather(self, request_context)
            if route.shards
            else single.Forwarding(self, request_context, services[0])
        )
        return self.admission.admit(task, request_context, services)

    def _gathers_at_hub(self, route: model.Route) -> bool:
        """Whether hubs gather the answers of a route.

        An instance that may be connected to fewer than two replicas of a shard
        cannot hedge, so it gathers answers only if no hub does.
        """
        if not route.shards or not self.hubs.gathering_hubs:
            return False
        # All shards share the limit on connections.
        return self.hubs.should_gather(route) or not self.directory.may_hedge(
            route.shards[0]
        )

    def _build_request_context(
        self,
        exchange: exchange_lib.ServerExchange,
        route: model.Route,
        started_s: float,
        request: model.Request,
    ) -> running.RequestContext:
        deadline_s = self._deadline_s(exchange, route)
        stats = self.stats_of(route)
        settings = self._kernel.settings
        path = exchange.caller_path(settings.caller_round_trip_s)
        allowed_s = min(deadline_s, route.timeout_s)
        margin_s = min(_DEADLINE_MARGIN_S, allowed_s * _DEADLINE_MARGIN_SHARE)
        end_s = started_s + allowed_s - margin_s
        if self.stop_schedule is not None:
            # Replicas stop work at the deadline.
            end_s = min(end_s, self.stop_schedule.answered_s)
        return running.RequestContext(
            route=route,
            outgoing=attempts_lib.OutgoingRequest(
                request, route.rank, self.names, bool(route.shards)
            ),
            latency=stats.latency,
            started_s=started_s,
            answer_by_s=timing.answer_by(
                route.objective_s,
                started_s,
                stats.waited_s(deadline_s, path.setup_s),
                path.round_trip_s,
                stats.answer_size.transfer_s(settings.link_mbps),
                stats.latency.median_s,
            ),
            end_s=end_s,
            caller=exchange.caller,
        )

    def _deadline_s(
        self, exchange: exchange_lib.ServerExchange, route: model.Route
    ) -> float:
        value = exchange.header(self.names.deadline)
        deadline_ms = whole_numbers.parse(value, _MAX_DEADLINE_MS)
        return route.timeout_s if deadline_ms is None else deadline_ms / 1000

    def _since_stop_ms(self, at_s: float) -> int:
        """Returns the time since the stop began; negative before it."""
        return round((at_s - self.stop_schedule.started_s) * 1000)

    def _log_stop_step(self, step: str) -> None:
        """Logs what is still open when a step of the stop ends."""
        _log.info(
            "stop_step",
            step=step,
            stop_ms=self._since_stop_ms(asyncio.get_running_loop().time()),
            connections=self._server.connection_count,
            requests=len(self.open_requests),
        )

    def record_end(
        self,
        request_id: bytes,
        started_s: float,
        answer: model.Answer | str,
        fields: dict[str, Any],
        is_hub_request: bool = False,
    ) -> None:
        """Updates the metrics of a completed request and logs a sample.

        Requests that failed are always logged, and all that end during a stop.

        Args:
            request_id: The caller's id of the request.
            started_s: Loop time at which the request arrived.
            answer: The answer, or the outcome if there is none.
            fields: Log fields that explain the answer.
            is_hub_request: Whether another instance sent the request to this
                one as a hub.
        """
        elapsed_ms = (asyncio.get_running_loop().time() - started_s) * 1000
        if isinstance(answer, str):
            # 499: client closed the request (non-standard).
            outcome, status, missing = answer, 499, 0
        else:
            outcome = answer.reason or "answered"
            status, missing = answer.status, answer.missing
            if missing and not answer.reason:
                outcome = "answered_partly"
        metrics = self._kernel.metrics
        for cause in ("hedges", "retries", "denied"):
            if fields.get(cause):
                metrics.count(
                    "route_extra_attempts", fields[cause], cause=cause
                )
        route = fields.get("route", "")
        if is_hub_request:
            metrics.count("hub_requests", route=route, outcome=outcome)
        else:
            metrics.count("route_requests", route=route, outcome=outcome)
            metrics.observe_ms("route_request", elapsed_ms, route=route)
        self._ended_count += 1
        one_in = _LOG_ONE_IN.get(outcome, 1)
        if self.stop_schedule is not None:
            one_in = 1
            fields = {**fields, "stop_ms": self._since_stop_ms(started_s)}
        if self._ended_count % one_in:
            return
        _log.info(
            "hub_request_ended" if is_hub_request else "request_ended",
            request=request_id.decode("latin1"),
            outcome=outcome,
            status=status,
            one_in=one_in,
            elapsed_ms=round(elapsed_ms, 1),
            missing=missing,
            **fields,
        )
