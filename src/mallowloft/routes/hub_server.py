"""Plug-in with which an instance serves requests for other instances."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import delegation
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import gathering
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import model
from mallowloft.routes import running
from mallowloft.routes import single
from mallowloft.routes.admission import gate
from mallowloft.routes.placement import gatherers

_log = logs.get_logger("hub_server")

# Time within which this instance detects that a sender has closed its
# connection after the time limit for the acknowledgement.
_CLOSE_DELAY_S = 0.003
# Maximum size of a call. Assumes that the limit on callers' bodies stays below
# it, so that there is room for the other fields of the call.
_MAX_CALL_BYTES = 16 << 20


def _serves(route: model.Route, service: str) -> bool:
    """Whether a route sends requests to a service, empty for its shards."""
    if not service:
        return bool(route.shards)
    return any(target.service == service for target in route.targets)


class _SenderGuard:
    """Allows extra attempts while the sender of a request waits for it.

    Attributes:
        allowed_from_s: Loop time until which the sender may still cancel the
            request because it has no acknowledgement.
    """

    def __init__(
        self, exchange: exchange_lib.ServerExchange, allowed_from_s: float
    ) -> None:
        self._exchange = exchange
        self.allowed_from_s = allowed_from_s

    def allows_extra(self) -> bool:
        """Whether the time has passed and the connection is still open."""
        now_s = asyncio.get_running_loop().time()
        return now_s >= self.allowed_from_s and self._exchange.is_open


@registry.plugins.register("hub_server")
class HubServer:
    """Gathers answers for other instances with the plug-in `routes`.

    Attributes:
        read_load: Returns the load to report to other instances. The part that
            limits the running requests sets it; without one there is no limit.
    """

    requires: tuple[str, ...] = ("fleet", "routes")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._routes = kernel.plugin("routes")
        self._hubs: hubs_lib.Hubs = kernel.plugin("fleet").hubs
        self._open_calls = 0
        self.read_load: Callable[[], gatherers.Load] = (
            self._routes.admission.load
        )
        fleet = kernel.plugin("fleet")
        fleet.mount(delegation.PATH, self._serve_call)

    async def start(self) -> None:
        """Does nothing; the plug-in `fleet` runs the server."""

    async def stop(self, grace_s: float) -> None:
        """Does nothing; new calls are refused and running ones end soon."""

    def ready(self) -> bool:
        """Always ready; callers do not depend on this plug-in."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of calls in flight."""
        return {"open_calls": self._open_calls}

    async def _serve_call(self, scope, receive, send) -> None:
        """Serves a request that another instance passed on."""
        exchange = exchange_lib.ServerExchange(scope, receive, send)
        started_s = asyncio.get_running_loop().time()
        self._open_calls += 1
        try:
            body = await exchange.read_body(_MAX_CALL_BYTES)
            call = delegation.call_decoder.decode(body or b"")
            await self._answer(exchange, call, started_s)
        except msgspec.MsgspecError as error:
            _log.warning("call_malformed", reason=str(error))
            await exchange_lib.respond(send, 400, b"malformed")
        except exchange_lib.CallerLeftError:
            _log.debug("call_abandoned")
        finally:
            self._open_calls -= 1

    async def _answer(
        self,
        exchange: exchange_lib.ServerExchange,
        call: delegation.Call,
        started_s: float,
    ) -> None:
        # A sender that cancelled the request has closed the connection.
        if await exchange.is_disconnected():
            raise exchange_lib.CallerLeftError
        route = self._find_route(call)
        if isinstance(route, str):
            await exchange_lib.respond(exchange.send, 409, route.encode())
            return
        routes = self._routes
        if not self._reaches_enough(call, route):
            await exchange_lib.respond(exchange.send, 409, hubs_lib.LINKS_LOST)
            return
        task = self._create_task(exchange, call, route, started_s)
        fields = {"route": route.name, "version": routes.version}
        try:
            with routes.open_requests.track(call.id, started_s, task):
                answer = await exchange_lib.run_until_answered(exchange, task)
        except exchange_lib.CallerLeftError:
            routes.record_end(call.id, started_s, "abandoned", fields, True)
            return
        if answer.reason == running.STOPPING:
            # It waited here; other hubs can serve it.
            reason = running.STOPPING.encode()
            await exchange_lib.respond(exchange.send, 409, reason)
            routes.record_end(call.id, started_s, answer, fields, True)
            return
        if answer.reason == gate.OVERLOADED:
            # Nothing was sent, so the sender may ask another hub.
            await exchange_lib.respond(
                exchange.send, answer.status, answer.body, answer.headers
            )
            routes.record_end(call.id, started_s, answer, fields, True)
            return
        await exchange_lib.respond(
            exchange.send,
            200,
            delegation.encode_answer(
                answer,
                self._hubs.links_lost,
                routes.directory.leaving_ids,
                self.read_load(),
            ),
        )
        fields.update(task.describe())
        routes.record_end(call.id, started_s, answer, fields, True)

    def _ends_before_stop(self, call: delegation.Call) -> bool:
        """Whether a request of an instance without links ends while draining.

        The instance may have no other forwarder. Others have links or hubs.
        """
        now_s = asyncio.get_running_loop().time()
        schedule = self._routes.stop_schedule
        return (
            call.unlinked is not None
            and schedule is not None
            and now_s + call.left_s < schedule.drained_s
        )

    def _reaches_enough(
        self, call: delegation.Call, route: model.Route
    ) -> bool:
        """Whether this instance reaches enough replicas for an answer.

        It must also reach more than a sender that has lost links does.
        """
        services = (call.service,) if call.service else route.shards
        unlinked = self._routes.count_unlinked(services, route)
        if call.unlinked is not None and unlinked >= call.unlinked:
            return False
        needed = 1 if call.service else route.needed_shards
        return len(services) - unlinked >= needed

    def _create_task(
        self,
        exchange: exchange_lib.ServerExchange,
        call: delegation.Call,
        route: model.Route,
        started_s: float,
    ) -> running.RequestTask:
        request_context = self._create_request_context(call, route, started_s)
        if call.service:
            return self._routes.admission.admit(
                single.Forwarding(
                    self._routes,
                    request_context,
                    call.service,
                    call.previous_attempts,
                ),
                request_context,
                (call.service,),
            )
        task = gathering.ScatterGather(
            self._routes,
            request_context,
            call.previous_attempts,
            _SenderGuard(
                exchange,
                started_s + delegation.ack_timeout_s(route) + _CLOSE_DELAY_S,
            ),
        )
        return self._routes.admission.admit(task, request_context, route.shards)

    def _create_request_context(
        self, call: delegation.Call, route: model.Route, started_s: float
    ) -> running.RequestContext:
        request = model.Request(
            call.id, call.method, call.target, call.headers, call.body
        )
        return running.RequestContext(
            route=route,
            outgoing=attempts_lib.OutgoingRequest(
                request,
                route.rank,
                self._routes.names,
                is_part=not call.service,
            ),
            latency=self._routes.stats_of(route).latency,
            started_s=started_s,
            answer_by_s=started_s + call.answer_in_s,
            end_s=started_s + call.left_s,
            caller=call.caller,
        )

    def _find_route(self, call: delegation.Call) -> model.Route | str:
        """Returns the route, or the reason for refusing the call."""
        if self._kernel.stopping and not self._ends_before_stop(call):
            return "stopping"
        table = self._routes.table
        if table is None:
            return "starting"
        for route in table.routes:
            if route.name == call.route:
                matches = model.digest(route) == call.digest and (
                    _serves(route, call.service)
                )
                return route if matches else "route_differs"
        return "route_differs"
