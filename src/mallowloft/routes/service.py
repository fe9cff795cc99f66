"""Plug-in that serves opaque requests by routes."""

import asyncio
import dataclasses
from typing import Any

from mallowloft.callers import server as server_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import gathering
from mallowloft.routes import hub_server
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.routes import selection
from mallowloft.routes import single
from mallowloft.routes import table as table_lib

_log = logs.get("routes")

_RETRY_STARTING_S = 0.3
# The final answer leaves this long before the caller gives up.
_END_MARGIN_S = 0.01
_END_MARGIN_SHARE = 0.04
# Until the configuration tells how long callers' connections may be idle.
_IDLE_TIMEOUT_S = 60
# A timeout of a header that callers never reach.
_MAX_DEADLINE_MS = 600_000
# One of so many answered requests is logged; failed ones always are.
_LOG_SAMPLE = 50
_LOG_PARTLY_SAMPLE = 5
_POLL_S = 0.02
# The balancer asks once a second whether the instance is ready.
_REACH_S = 0.25


class _RouteUse:
    """What is learnt from the requests of one route."""

    __slots__ = ("_longest_s", "delegated", "latency")

    def __init__(self, route: model.Route) -> None:
        # Durations of attempts at replicas, and at hubs.
        self.latency = limits.RouteLatency(route.objective_s)
        self.delegated = limits.RouteLatency(route.objective_s)
        self._longest_s = 0.0

    def waited_s(self, deadline_s: float) -> float:
        """Returns how long a caller seems to have waited before.

        A caller that repeats a request gives only the time that it has left;
        the longest time seen is that of first attempts.
        """
        self._longest_s = max(self._longest_s, deadline_s)
        return self._longest_s - deadline_s


def _services(table: model.Table) -> frozenset[str]:
    """Returns all services that the routes of a table use."""
    return frozenset(
        service
        for route in table.routes
        for service in (
            *route.shards,
            *(target.service for target in route.targets),
        )
    )


@registry.plugins.register("routes")
class RoutesService:
    """Answers callers' requests from replicas, as routes say.

    The plug-in `route_source` calls `apply` and changes `directory`; its
    attribute `header_names` has the names of headers.
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
            self._note_connection,
            reach.DomainReach(),
        )
        self.selector = selection.Selector(kernel.rng)
        self.sender = attempts_lib.Sender(
            self.names, kernel.metrics, self.directory.reach
        )
        self._dropped_headers = frozenset(
            (self.names.deadline, self.names.expected_replica)
        )
        self._matcher: table_lib.RouteMatcher | None = None
        self._reach_task: asyncio.Task | None = None
        self._extra_by_service: dict[str, limits.ExtraAttempts] = {}
        self._shards: frozenset[str] = frozenset()
        fleet = kernel.plugin("fleet")
        self.hubs: hubs_lib.Hubs = fleet.hubs
        fleet.subscribe(self._share_limits)
        fleet.subscribe_hubs(self._use_hubs)
        fleet.find_suspects = self.directory.suspects
        fleet.warn_of = self.directory.warn
        self._share_limits(fleet.instances)
        self._use_by_route: dict[str, _RouteUse] = {}
        self._open_requests = 0
        self._answered = 0
        self._server = server_lib.Server(
            self._app,
            kernel.settings.host,
            kernel.settings.caller_port,
            {"timeout_keep_alive": _IDLE_TIMEOUT_S},
        )
        metrics = kernel.metrics
        metrics.gauge("route_requests_open", lambda: self._open_requests)
        metrics.gauge("route_table_version", lambda: self.version)
        metrics.gauge("replicas_listed", lambda: len(self.directory))

    @property
    def version(self) -> int:
        """Version of the routes in force, 0 before the first."""
        return self._matcher.table.version if self._matcher else 0

    @property
    def table(self) -> model.Table | None:
        """The routes in force."""
        return self._matcher.table if self._matcher else None

    async def start(self) -> None:
        """Starts to accept callers' connections."""
        await self._server.start()
        self._reach_task = asyncio.create_task(self._watch_reach())

    async def stop(self, grace_s: float) -> None:
        """Serves while balancers notice, then ends all connections."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + grace_s
        await asyncio.sleep(min(self._kernel.settings.drain_s, grace_s))
        await self._server.stop(max(0.0, end_s - loop.time()))
        while self._open_requests and loop.time() < end_s:
            await asyncio.sleep(_POLL_S)
        self._reach_task.cancel()
        self.directory.close()

    def ready(self) -> bool:
        """Whether routes and replicas are known and within reach."""
        return (
            self._server.listening
            and self._matcher is not None
            and len(self.directory) > 0
            and not self.hubs.isolated
        )

    def dump(self) -> dict[str, Any]:
        """Returns routes, replicas and allowances."""
        table = self.table
        return {
            "version": self.version,
            "routes": [dataclasses.asdict(item) for item in table.routes]
            if table
            else [],
            "replicas_by_service": self.directory.dump(),
            "extra_attempts_by_service": {
                service: round(extra.tokens, 2)
                for service, extra in self._extra_by_service.items()
            },
            "requests_open": self._open_requests,
        }

    def apply(self, table: model.Table, source: str) -> bool:
        """Takes a version of the routes; False if it is not newer."""
        if self._matcher is not None and table.version <= self.version:
            return False
        previous = self._matcher
        services = _services(table)
        self._matcher = table_lib.RouteMatcher(
            table, self._kernel.rng, previous
        )
        self._extra_by_service = {
            service: extra
            for service, extra in self._extra_by_service.items()
            if service in services
        }
        names = {route.name for route in table.routes}
        self._use_by_route = {
            name: use
            for name, use in self._use_by_route.items()
            if name in names
        }
        self._use_services()
        self._server.set_idle_timeout(table.limits.idle_timeout_s)
        _log.info(
            "routes_changed",
            version=table.version,
            previous=previous.table.version if previous else 0,
            routes=len(table.routes),
            services=len(services),
            source=source,
        )
        return True

    def extra(self, service: str) -> limits.ExtraAttempts:
        """Returns the allowance of a service for extra attempts."""
        extra = self._extra_by_service.get(service)
        if extra is None:
            now_s = asyncio.get_running_loop().time()
            extra = limits.ExtraAttempts(self._limit_of(service), now_s)
            self._extra_by_service[service] = extra
        return extra

    def _limit_of(self, service: str) -> limits.ExtraLimit:
        if service in self._shards:
            return self._shard_extra_limit
        return self._extra_limit

    def _use_services(self) -> None:
        """Tells the directory which services and connections are needed."""
        table = self.table
        if table is None:
            return
        self._shards = frozenset(
            shard for route in table.routes for shard in route.shards
        )
        spared = {
            shard
            for route in table.routes
            if self.hubs.gather_for(route)
            for shard in route.shards
        }
        self.directory.use(
            _services(table),
            table.max_connections_by_service,
            self._shards,
            spared,
        )

    def _use_hubs(self) -> None:
        self._use_services()
        self._share_limits(self._kernel.plugin("fleet").instances)

    def _share_limits(self, instances: int) -> None:
        """Takes this instance's part of what the fleet may use."""
        settings = self._kernel.settings
        shard_sharers = self.hubs.sharers(instances)
        self._extra_limit, self._shard_extra_limit = (
            limits.ExtraLimit.part_of(
                settings.extra_share,
                settings.extra_allowance,
                settings.extra_window_s,
                sharers,
            )
            for sharers in (instances, shard_sharers)
        )
        for service, extra in self._extra_by_service.items():
            extra.limit = self._limit_of(service)
        self.directory.share(instances, shard_sharers)

    async def _watch_reach(self) -> None:
        """Notes whether callers are served better elsewhere."""
        lost: frozenset[str] = frozenset()
        while True:
            await asyncio.sleep(_REACH_S)
            before, lost = lost, self.directory.reach.lost()
            if lost - before:
                self.directory.reconnect(lost - before)
            table = self.table
            isolated = await hub_server.says_isolated(self.hubs) or (
                table is not None
                and reach.isolated(
                    table.routes,
                    self.directory,
                    self._kernel.settings.failure_domain,
                    lost,
                )
            )
            if lost != before or isolated != self.hubs.isolated:
                self.hubs.isolated = isolated
                _log.warning(
                    "reach_changed",
                    lost=",".join(sorted(lost)),
                    isolated=isolated,
                )

    def _note_connection(self, event: str) -> None:
        self._kernel.metrics.count("replica_connections", event=event)

    def use_of(self, route: model.Route) -> _RouteUse:
        """Returns what is learnt from the requests of a route."""
        use = self._use_by_route.get(route.name)
        if use is None:
            use = self._use_by_route[route.name] = _RouteUse(route)
        return use

    async def _app(self, scope, receive, send) -> None:
        exchange = exchange_lib.Exchange(scope, receive, send)
        self._open_requests += 1
        try:
            await self._serve(exchange)
        finally:
            self._open_requests -= 1

    async def _serve(self, exchange: exchange_lib.Exchange) -> None:
        started_s = asyncio.get_running_loop().time()
        request_id = exchange.header(self.names.request_id)
        try:
            answer, fields = await self._answer(exchange, started_s)
        except exchange_lib.CallerLeftError:
            self.log_end(request_id, started_s, "abandoned", {})
            return
        except Exception:  # noqa: BLE001
            _log.exception(
                "request_failed", request=request_id.decode("latin1")
            )
            answer, fields = model.failure(500, "internal"), {}
        # A caller with a kept connection would not come to another instance.
        closing = self._kernel.stopping or self.hubs.isolated
        await exchange.respond(answer, closing)
        self.log_end(request_id, started_s, answer, fields)

    async def _answer(
        self, exchange: exchange_lib.Exchange, started_s: float
    ) -> tuple[model.Answer, dict[str, Any]]:
        matcher = self._matcher
        if matcher is None:
            return model.refusal("starting", _RETRY_STARTING_S), {}
        path = exchange.scope["raw_path"]
        host = exchange.header(b"host").partition(b":")[0]
        route = matcher.find(host.decode("latin1"), path.decode("latin1"))
        if route is None:
            fields = {
                "path": path.decode("latin1"),
                "version": matcher.table.version,
            }
            return model.failure(404, "no_route"), fields
        body = await exchange.read_body(matcher.table.limits.max_body_bytes)
        if body is None:
            return model.failure(413, "body_too_large"), {"route": route.name}
        run = self._run(exchange, route, started_s, body)
        if run.end_s <= asyncio.get_running_loop().time():
            refused = model.refusal("deadline_passed", _RETRY_STARTING_S)
            return refused, {"route": route.name}
        work: running.Work
        if route.shards and self.hubs.gather_for(route):
            work = delegation.Delegated(
                self,
                run,
                self.hubs,
                self.use_of(route).delegated,
            )
        elif route.shards:
            work = gathering.Gathering(self, run)
        else:
            work = single.Single(self, run, matcher.service_of(route))
        answer = await exchange_lib.finish(exchange, work)
        fields = {
            "route": route.name,
            "version": matcher.table.version,
            "end_ms": round((run.end_s - started_s) * 1000),
            "waited_ms": round(run.waited_s * 1000),
            "late_ms": round(run.latency.late_s * 1000, 1),
            **work.describe(),
        }
        return answer, fields

    def _run(
        self,
        exchange: exchange_lib.Exchange,
        route: model.Route,
        started_s: float,
        body: bytes,
    ) -> running.Run:
        deadline_s = self._deadline_s(exchange, route)
        use = self.use_of(route)
        query = exchange.scope["query_string"]
        target = exchange.scope["raw_path"]
        allowed_s = min(deadline_s, route.timeout_s)
        margin_s = min(_END_MARGIN_S, allowed_s * _END_MARGIN_SHARE)
        request = model.Request(
            id=exchange.header(self.names.request_id),
            method=exchange.scope["method"].encode(),
            target=target + b"?" + query if query else target,
            headers=attempts_lib.forwarded(
                exchange.headers, self._dropped_headers
            ),
            body=body,
        )
        return running.Run(
            route=route,
            outgoing=attempts_lib.Outgoing(request, route.rank, self.names),
            latency=use.latency,
            started_s=started_s,
            waited_s=use.waited_s(deadline_s),
            end_s=started_s + allowed_s - margin_s,
        )

    def _deadline_s(
        self, exchange: exchange_lib.Exchange, route: model.Route
    ) -> float:
        value = exchange.header(self.names.deadline)
        if value.isdigit():
            return min(int(value), _MAX_DEADLINE_MS) / 1000
        return route.timeout_s

    def log_end(
        self,
        request_id: bytes,
        started_s: float,
        answer: model.Answer | str,
        fields: dict[str, Any],
        for_other: bool = False,
    ) -> None:
        """Counts the end of a request and logs it, if it failed or is sampled.

        Args:
            request_id: The caller's id of the request.
            started_s: Loop time of its arrival.
            answer: The answer, or the outcome if there is none.
            fields: What decided it.
            for_other: Whether another instance asked on a caller's behalf.
        """
        elapsed_ms = (asyncio.get_running_loop().time() - started_s) * 1000
        if isinstance(answer, str):
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
        if for_other:
            metrics.count("hub_requests", route=route, outcome=outcome)
        else:
            metrics.count("route_requests", route=route, outcome=outcome)
            metrics.observe_ms("route_request", elapsed_ms, route=route)
        self._answered += 1
        if outcome == "answered" and self._answered % _LOG_SAMPLE:
            return
        if outcome == "answered_partly" and self._answered % _LOG_PARTLY_SAMPLE:
            return
        _log.info(
            "hub_request_ended" if for_other else "request_ended",
            request=request_id.decode("latin1"),
            outcome=outcome,
            status=status,
            elapsed_ms=round(elapsed_ms, 1),
            missing=missing,
            **fields,
        )
