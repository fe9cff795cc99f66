"""Applies the decisions of the controllers to the requests of an instance."""

import asyncio
import collections
from collections.abc import Iterable
import math
import random
from typing import Any

from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model
from mallowloft.routes import running
from mallowloft.routes.admission import controller as controller_lib
from mallowloft.routes.admission import limit as limit_lib
from mallowloft.routes.placement import gatherers

_log = logs.get_logger("admission")

OVERLOADED = "overloaded"
# A hub must acknowledge a request within 20 ms, or less for short objectives.
_MAX_LATENESS_S = 0.01
# Twenty timer events a second take less than 0.1% of a core, and only while
# requests run.
_TICK_S = 0.05
# A single late event is due to other programs on the machine.
_TICKS = 5
_LATE_TICKS = 3
_LOG_INTERVAL_S = 1.0


class AdmittedTask:
    """A request that sends its attempts once its controller starts it.

    Attributes:
        done: Future of the answer.
        was_refused: Whether it was refused before it has sent anything.
    """

    def __init__(
        self,
        gate: "Gate",
        task: running.RequestTask,
        request_context: running.RequestContext,
        services: tuple[str, ...],
    ) -> None:
        self._gate = gate
        self._task = task
        self._request_context = request_context
        self._services = services
        self._loop = asyncio.get_running_loop()
        self._submitted_s = 0.0
        self._waited_s = 0.0
        self._controller: controller_lib.Controller | None = None
        self._ticket: controller_lib.Ticket | None = None
        self._admitted = False
        self.done = task.done
        self.was_refused = False

    @property
    def finished_s(self) -> float:
        """Loop time at which the answer was decided."""
        return self._task.finished_s

    def start(self) -> None:
        """Submits the request to the controller of its services."""
        context = self._request_context
        route = context.route
        now_s = self._submitted_s = self._loop.time()
        self._controller = self._gate.controller(self._services)
        self._controller.limit.slowdown.watch(
            context.latency, route.objective_s
        )
        # The answer time allows for the way back to the caller and for the
        # time that has passed before the request arrived here.
        wait_until_s = (
            context.answer_by_s
            - (1 - controller_lib.MAX_WAIT_SHARE) * route.objective_s
        )
        self._ticket = self._controller.submit(
            route.rank,
            context.caller,
            route.objective_s,
            context.end_s,
            now_s,
            self._run,
            self._refuse,
            wait_until_s,
        )
        self.done.add_done_callback(self._on_done)
        self._gate.schedule()

    def expire(self) -> None:
        """Ends the request as at its deadline; refuses one that waits."""
        if self._admitted:
            self._task.expire()
        elif not self.done.done():
            self._task.refuse(
                model.refusal(running.STOPPING, running.MIN_RETRY_AFTER_S)
            )

    def cancel(self) -> None:
        """Stops the request; one that waits leaves the queue."""
        self._task.cancel()
        self._release()

    def describe(self) -> dict[str, object]:
        """Returns the log fields that explain the answer."""
        fields = self._task.describe()
        if self._waited_s:
            fields["admitted_ms"] = round(self._waited_s * 1000, 1)
        return fields

    def _run(self) -> None:
        self._waited_s = self._loop.time() - self._submitted_s
        self._admitted = True
        if self.done.done():
            return
        try:
            self._task.start()
        except Exception:  # noqa: BLE001
            # The end of another request may have triggered the start.
            _log.exception(
                "request_failed",
                request=self._request_context.outgoing.request.id.decode(
                    "latin1"
                ),
            )
            self._task.refuse(model.failure(500, "internal"))

    def _refuse(self, retry_after_s: float) -> None:
        self.was_refused = True
        self._gate.count_refusal(self._request_context.route.rank)
        self._task.refuse(model.refusal(OVERLOADED, retry_after_s))

    def _on_done(self, done: asyncio.Future) -> None:
        del done
        self._release()

    def _release(self) -> None:
        # The ticket refers to this object. Without the cycle, the answer is
        # freed at once.
        ticket, self._ticket = self._ticket, None
        if ticket is None or ticket.ended:
            return
        served = (
            not self.done.cancelled()
            and self.done.done()
            and self.done.result().status < 500
        )
        self._controller.release(ticket, served, self._loop.time())


class Gate:
    """Controllers of all service groups of an instance.

    A timer runs while requests run or wait. It refuses requests that have
    waited too long, and measures how late the event loop is.
    """

    def __init__(
        self,
        enabled: bool,
        min_share: float,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Creates a gate without requests.

        Args:
            enabled: Whether requests are limited.
            min_share: Share of the admissions that each rank keeps.
            rng: Draws the jitter of retry-after.
            metrics: Metrics of the instance.
        """
        self._enabled = enabled
        self._min_share = min_share
        self._rng = rng
        self._metrics = metrics
        self._controllers: dict[tuple[str, ...], controller_lib.Controller] = {}
        self._by_service: dict[str, list[controller_lib.Controller]] = {}
        self._logged_limits: dict[tuple[str, ...], int] = {}
        self._logged_s = -math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = math.inf
        self._tick_due_s = math.inf
        self._ticks: collections.deque[bool] = collections.deque(maxlen=_TICKS)
        metrics.gauge("admission_limit", self._smallest_limit)
        metrics.gauge(
            "admission_waiting",
            lambda: sum(item.waiting for item in self._controllers.values()),
        )

    def admit(
        self,
        task: running.RequestTask,
        request_context: running.RequestContext,
        services: tuple[str, ...],
    ) -> running.RequestTask:
        """Returns a task that runs `task` once it is admitted.

        Args:
            task: A request that has not been started.
            request_context: Its context.
            services: Shards of the route or the single service.
        """
        if not self._enabled:
            return task
        return AdmittedTask(self, task, request_context, services)

    def controller(
        self, services: tuple[str, ...]
    ) -> controller_lib.Controller:
        """Returns the controller of a service group."""
        controller = self._controllers.get(services)
        if controller is None:
            controller = controller_lib.Controller(self._min_share, self._rng)
            self._controllers[services] = controller
            self._logged_limits[services] = int(limit_lib.INITIAL_LIMIT)
            for service in services:
                self._by_service.setdefault(service, []).append(controller)
        return controller

    def retain(self, groups: Iterable[tuple[str, ...]]) -> None:
        """Removes the controllers of all other service groups.

        Requests that run or wait there end normally.
        """
        retained = set(groups)
        for services in list(self._controllers):
            if services in retained:
                continue
            controller = self._controllers[services]
            if controller.running or controller.waiting:
                continue
            del self._controllers[services]
            del self._logged_limits[services]
            for service in services:
                self._by_service[service].remove(controller)
                if not self._by_service[service]:
                    del self._by_service[service]

    def record_reply(
        self, entry: directory_lib.ReplicaEntry, reply: model.Reply
    ) -> None:
        """Records a reply of a replica."""
        controllers = self._by_service.get(entry.replica.service)
        if controllers is None:
            return
        rejected = reply.not_run and reply.status == 503
        waiting_per_slot = reply.waiting / max(1, entry.replica.slots)
        for controller in controllers:
            controller.limit.record_reply(
                entry.replica.id, rejected, waiting_per_slot
            )

    def count_refusal(self, rank: int) -> None:
        """Counts a refused request."""
        self._metrics.count("admission_refused", rank=str(rank))

    def schedule(self) -> None:
        """Schedules the timer if requests run or wait."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        controllers = [
            controller
            for controller in self._controllers.values()
            if controller.running or controller.waiting
        ]
        if not controllers:
            self._tick_due_s = math.inf
            self._ticks.clear()
            return
        if math.isinf(self._tick_due_s):
            self._tick_due_s = now_s + _TICK_S
        due_s = min(
            self._tick_due_s,
            *(controller.next_expiry_s() for controller in controllers),
        )
        if self._timer is not None:
            if self._timer_due_s <= due_s:
                return
            self._timer.cancel()
        self._timer_due_s = due_s
        self._timer = loop.call_at(due_s, self._on_timer)

    def load(self) -> gatherers.Load:
        """Returns the load of the service group that is loaded most."""
        return max(
            (
                gatherers.Load(
                    item.running, item.waiting, int(item.limit.value)
                )
                for item in self._controllers.values()
            ),
            key=lambda load: (load.running + load.waiting) / load.limit,
            default=gatherers.NO_LOAD,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state of each service group, by its first service."""
        return {
            f"{services[0]}+{len(services) - 1}": controller.dump()
            for services, controller in self._controllers.items()
        }

    def _on_timer(self) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._tick_due_s:
            self._ticks.append(now_s - self._tick_due_s > _MAX_LATENESS_S)
            self._tick_due_s = now_s + _TICK_S
        late = sum(self._ticks) >= _LATE_TICKS
        for controller in self._controllers.values():
            if late:
                controller.limit.record_late_loop()
            controller.update(now_s)
        self._log_limits(now_s)
        self.schedule()

    def _log_limits(self, now_s: float) -> None:
        if now_s - self._logged_s < _LOG_INTERVAL_S:
            return
        for services, controller in self._controllers.items():
            limit = int(controller.limit.value)
            previous = self._logged_limits[services]
            if limit == previous:
                continue
            self._logged_limits[services] = limit
            self._logged_s = now_s
            _log.info(
                "admission_limit_changed",
                service=services[0],
                services=len(services),
                limit=limit,
                previous=previous,
                reason=controller.limit.reason,
                running=controller.running,
                waiting=controller.waiting,
                refused=sum(controller.refused_by_rank.values()),
            )

    def _smallest_limit(self) -> float:
        return min(
            (item.limit.value for item in self._controllers.values()),
            default=limit_lib.INITIAL_LIMIT,
        )
