"""Admission control: limit, queue, refusals, and goodput under overload."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

import pytest

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import limits
from mallowloft.routes import model as model_lib
from mallowloft.routes import running
from mallowloft.routes.admission import controller as controller_lib
from mallowloft.routes.admission import gate as gate_lib
from mallowloft.routes.admission import limit as limit_lib
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SHARDS = 90
_SLOTS = 2
_QUEUE = 12
_SPEEDS = (0.8, 1.0, 1.3)
_TICK_S = 0.05


@dataclasses.dataclass(frozen=True)
class _Class:
    rank: int
    rate_per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    needed: int


_HINT = _Class(0, 7.29, 0.00375, 0.0457, 0.621, 77)
_SWEEP = _Class(1, 12.6, 0.0112, 0.134, 1.217, 86)


class _Hub:
    """A gatherer with one processor."""

    def __init__(self, rng: random.Random) -> None:
        self.controller = controller_lib.Controller(0.05, rng)
        self.busy_until_s = 0.0
        self.ticks = collections.deque(maxlen=5)
        self.latency_by_rank = {}
        for item in (_HINT, _SWEEP):
            latency = limits.RouteLatency(item.objective_s)
            self.latency_by_rank[item.rank] = latency
            self.controller.limit.slowdown.watch(latency, item.objective_s)


class _Model:
    """Requests of two classes over 90 shards on a virtual clock.

    Attributes:
        offered: Requests by rank, from the start of the measurement.
        served: Those that got enough parts before the deadline.
        on_time: Those that got them within the objective.
        waits: Waits of refused requests as shares of their objectives.
        rejecting: Shards whose replicas reject 0.6 of the requests.
    """

    def __init__(
        self,
        hint: float,
        sweep: float,
        controlled: bool = True,
        hubs: int = 6,
        gather_cpu_s: float = 0.006,
        attempts: int = 2,
    ) -> None:
        self.now_s = 0.0
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self.on_time = collections.Counter()
        self.waits: list[float] = []
        self.rejecting: frozenset[int] = frozenset()
        self._rng = random.Random(7)
        self._controlled = controlled
        self._rates = {
            _HINT: hint * _HINT.rate_per_s,
            _SWEEP: sweep * _SWEEP.rate_per_s,
        }
        self.hubs = [_Hub(self._rng) for _ in range(hubs)]
        self._gather_cpu_s = gather_cpu_s
        self._attempts = attempts
        # Ends of the accepted requests of each replica, ascending.
        self._ends = [[[0.0] * _SLOTS for _ in _SPEEDS] for _ in range(_SHARDS)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def run(self, duration_s: float = 3.0, warm_up_s: float = 1.0) -> "_Model":
        self._measured_from_s = warm_up_s
        for item in self._rates:
            self._arrive(item)
        for hub in self.hubs:
            self._tick(hub)
        while self._events[0][0] < duration_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def served_share(self, rank: int) -> float:
        return self.served[rank] / max(1, self.offered[rank])

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now_s + delay_s, next(self._numbers), action)
        )

    def _tick(self, hub: _Hub) -> None:
        hub.ticks.append(hub.busy_until_s - self.now_s > 0.01)
        if sum(hub.ticks) >= 3:
            hub.controller.limit.record_late_loop()
        hub.controller.update(self.now_s)
        self._after(_TICK_S, lambda: self._tick(hub))

    def _arrive(self, item: _Class) -> None:
        self._after(
            self._rng.expovariate(self._rates[item]), lambda: self._arrive(item)
        )
        if not self.now_s:
            return
        counts = self.now_s >= self._measured_from_s
        self.offered[item.rank] += counts
        hub = self._rng.choice(self.hubs)
        arrived_s = self.now_s
        tickets = []

        def refuse(retry_after_s: float) -> None:
            assert 0 < retry_after_s <= item.deadline_s / 3
            self.waits.append((self.now_s - arrived_s) / item.objective_s)

        def start() -> None:
            self._gather(hub, item, arrived_s, end)

        def end(end_s: float | None) -> None:
            served = end_s is not None
            self.served[item.rank] += counts and served
            if served and end_s - arrived_s <= item.objective_s:
                self.on_time[item.rank] += counts
            if self._controlled:
                hub.controller.release(tickets[0], served, self.now_s)

        if not self._controlled:
            start()
            return
        tickets.append(
            hub.controller.submit(
                item.rank,
                "caller",
                item.objective_s,
                self.now_s + item.deadline_s,
                self.now_s,
                start,
                refuse,
            )
        )
        if tickets[0].started_s is None and not tickets[0].ended:
            self._after(
                tickets[0].wait_until_s - self.now_s + 1e-6,
                lambda: hub.controller.update(self.now_s),
            )

    def _gather(self, hub, item: _Class, arrived_s: float, end) -> None:
        """Sends the parts; `end` is called with the time of the answer."""
        hub.busy_until_s = (
            max(hub.busy_until_s, self.now_s) + self._gather_cpu_s
        )
        sent_s = hub.busy_until_s
        replies = []
        ends = []
        for shard in range(_SHARDS):
            # The better of two at random, like the choice by stated load.
            for replica in sorted(
                self._rng.sample(range(3), self._attempts),
                key=lambda replica: self._ends[shard][replica][-1],
            ):
                end_s, waiting = self._send(shard, replica, sent_s, item)
                replies.append((f"{shard}-{replica}", end_s, waiting))
                if end_s is not None:
                    ends.append(end_s)
                    break
        needed = sorted(ends)[item.needed - 1 :]
        end_s = max(needed[0], hub.busy_until_s) if needed else None
        if end_s is not None and end_s > arrived_s + item.deadline_s:
            end_s = None

        def finish() -> None:
            for replica, replied_s, waiting in replies:
                hub.controller.limit.record_reply(
                    replica, replied_s is None, waiting / _SLOTS
                )
                if replied_s is not None:
                    hub.latency_by_rank[item.rank].record(replied_s - sent_s)
            end(end_s)

        self._after((end_s or sent_s + 0.02) - self.now_s, finish)

    def _send(
        self, shard: int, replica: int, sent_s: float, item: _Class
    ) -> tuple[float | None, int]:
        """Returns the time of the reply, None if it rejects, and its queue."""
        ends = self._ends[shard][replica]
        while len(ends) > _SLOTS and ends[0] <= sent_s:
            ends.pop(0)
        waiting = max(0, sum(end_s > sent_s for end_s in ends) - _SLOTS)
        rejects = shard in self.rejecting and self._rng.random() < 0.6
        if rejects or waiting >= _QUEUE:
            return None, waiting
        work_s = item.work_s * self._rng.lognormvariate(-0.06, 0.35)
        end_s = max(sent_s, ends[-_SLOTS]) + work_s / _SPEEDS[replica]
        ends.append(end_s)
        ends.sort()
        return end_s, waiting


class TestGoodput:
    """Guards against a collapse of the served rate under overload."""

    @pytest.mark.parametrize(
        ("hubs", "gather_cpu_s"),
        [(6, 0.006), pytest.param(3, 0.017, id="small_processors")],
    )
    def test_burst_of_the_less_urgent_class(self, hubs, gather_cpu_s):
        models = [
            _Model(1, factor, hubs=hubs, gather_cpu_s=gather_cpu_s).run()
            for factor in (6, 20, 40, 60)
        ]
        best = max(sum(model.served.values()) for model in models)
        for model in models:
            offered = sum(model.offered.values())
            served = sum(model.served.values())
            assert served >= 0.9 * min(best, offered)
            assert model.served_share(0) >= 0.95
            assert max(model.waits, default=0.0) <= 0.251

    def test_most_urgent_class_stays_within_its_objective(self):
        model = _Model(1, 60).run(6.0)
        assert model.on_time[0] >= 0.95 * model.offered[0]

    def test_burst_of_all_classes(self):
        model = _Model(40, 40).run()
        assert model.served_share(0) >= 0.95
        assert model.served_share(1) >= 0.7

    def test_no_effect_at_usual_load(self):
        model = _Model(1, 1).run(20.0)
        assert not model.waits
        assert all(
            hub.controller.limit.value == limit_lib.INITIAL_LIMIT
            for hub in model.hubs
        )

    def test_rejections_of_half_of_the_shards_cost_no_answers(self):
        def served(controlled: bool) -> int:
            model = _Model(20, 1, controlled, attempts=3)
            model.rejecting = frozenset(range(_SHARDS // 2))
            return model.run().served[0]

        assert served(True) >= 0.95 * served(False) > 0


def _controller(limit: float = 4.0) -> controller_lib.Controller:
    controller = controller_lib.Controller(0.05, random.Random(1))
    controller.limit.value = limit
    # The limit stays as it is.
    controller.limit.update = lambda running, now_s: None
    return controller


class _Load:
    """Submits requests that run for 10 ms to a controller."""

    def __init__(self, controller: controller_lib.Controller) -> None:
        self.controller = controller
        self.started: list[tuple[int, str]] = []
        self.refused: list[tuple[int, str, float]] = []
        self.tickets: list[controller_lib.Ticket] = []

    def submit(
        self,
        rank: int,
        caller: str = "c",
        now_s: float = 0.0,
        objective_s: float = 0.4,
        deadline_s: float = 3.0,
    ) -> controller_lib.Ticket:
        ticket = self.controller.submit(
            rank,
            caller,
            objective_s,
            now_s + deadline_s,
            now_s,
            lambda: self.started.append((rank, caller)),
            lambda wait_s: self.refused.append((rank, caller, wait_s)),
        )
        self.tickets.append(ticket)
        return ticket

    def step(self, now_s: float) -> None:
        running = [
            ticket
            for ticket in self.tickets
            if ticket.started_s is not None and not ticket.ended
        ]
        for ticket in running:
            self.controller.release(ticket, True, now_s)
        self.controller.update(now_s)
        self.tickets = [item for item in self.tickets if not item.ended]


class TestQueue:
    """Order of waiting requests, shares of callers and ranks."""

    def test_caller_with_ten_times_the_requests_gets_its_share(self):
        load = _Load(_controller())
        for step in range(1, 500):
            now_s = step * 0.01
            for number in range(20):
                # A third of the capacity for each caller.
                caller = ("a", "b")[number] if number < 2 else "heavy"
                load.submit(1, caller, now_s)
                if number < 2:
                    load.submit(1, caller, now_s)
            load.step(now_s)
        counts = collections.Counter(caller for _, caller in load.started)
        assert counts["heavy"] <= 0.4 * counts.total()
        assert min(counts["a"], counts["b"]) >= 0.25 * counts.total()

    @pytest.mark.parametrize("objective_s", [0.04, 0.4])
    def test_less_urgent_rank_is_not_starved(self, objective_s):
        # A short objective leaves no time to wait for the share.
        load = _Load(_controller())
        for step in range(1, 500):
            for _ in range(8):
                load.submit(0, now_s=step * 0.01)
            load.submit(1, now_s=step * 0.01, objective_s=objective_s)
            load.step(step * 0.01)
        ranks = collections.Counter(rank for rank, _ in load.started)
        assert ranks[1] >= 0.03 * ranks.total()
        assert ranks[0] >= 0.9 * ranks.total()

    def test_less_urgent_burst_takes_no_place_of_the_most_urgent(self):
        load = _Load(_controller())
        for _ in range(50):
            load.submit(1)
        ticket = load.submit(0)
        assert ticket.started_s == 0.0

    def test_full_queue_refuses_the_newest_of_the_lowest_rank(self):
        controller = _controller(limit=1.0)
        load = _Load(controller)
        for number in range(258):
            load.submit(2, str(number), objective_s=1e4, deadline_s=1e5)
        assert [caller for _, caller, _ in load.refused] == ["257"]
        load.submit(1, "urgent", objective_s=1e4, deadline_s=1e5)
        assert [caller for _, caller, _ in load.refused] == ["257", "256"]

    def test_cancelled_request_leaves_the_queue(self):
        load = _Load(_controller(limit=1.0))
        running, waiting = load.submit(1), load.submit(1)
        load.controller.release(waiting, False, 0.01)
        load.controller.release(waiting, False, 0.01)
        load.controller.release(running, True, 0.02)
        assert (load.controller.waiting, load.controller.running) == (0, 0)
        assert len(load.started) == 1

    def test_request_that_would_wait_too_long_is_refused_at_once(self):
        load = _Load(_controller(limit=1.0))
        load.submit(1)
        load.submit(1, objective_s=0.1)
        assert len(load.refused) == 1

    def test_request_whose_deadline_cannot_be_met_does_not_wait(self):
        load = _Load(_controller(limit=1.0))
        load.submit(1)
        load.submit(1, objective_s=10.0, deadline_s=0.06)
        assert len(load.refused) == 1

    def test_retry_after_grows_with_the_refused_requests(self):
        load = _Load(_controller(limit=1.0))
        for _ in range(30):
            load.submit(1, deadline_s=30.0, objective_s=0.1)
        waits = [wait_s for _, _, wait_s in load.refused]
        assert waits[0] >= 0.05
        assert max(waits) <= 10.0
        assert sum(waits[-5:]) > 5 * sum(waits[:5])

    def test_callers_beyond_the_bound_share_one_entry(self):
        load = _Load(_controller())
        for number in range(1500):
            load.submit(1, str(number), now_s=number * 1e-4)
            load.step(number * 1e-4)
        assert load.controller.dump()["callers"] <= 1001


class TestLimit:
    """Signs of overload, and the recovery after it."""

    def _record(self, limit, rejecting: int, now_s: float) -> None:
        for replica in range(270):
            for number in range(5):
                limit.record_reply(
                    str(replica), replica < rejecting and number < 3, 0.0
                )
        limit.record_running(40)
        limit.update(20, now_s)

    def test_few_rejecting_replicas_do_not_lower_it(self):
        limit = limit_lib.AdaptiveLimit()
        for step in range(20):
            self._record(limit, 120, 0.1 * step)
        assert limit.value == limit_lib.INITIAL_LIMIT

    def test_rejections_lower_it_within_a_second_to_the_floor(self):
        limit = limit_lib.AdaptiveLimit()
        for step in range(10):
            self._record(limit, 270, 0.1 * step)
        assert limit.value < 16
        for step in range(10, 30):
            self._record(limit, 270, 0.1 * step)
        assert limit.value == limit_lib.MIN_LIMIT

    def test_it_rises_after_the_overload(self):
        limit = limit_lib.AdaptiveLimit()
        limit.value = limit_lib.MIN_LIMIT
        limit.update(0, 0.0)
        limit.update(0, 10.0)
        assert limit.value == limit_lib.INITIAL_LIMIT


class _Task(running.RequestTask):
    """A request that never ends by itself."""

    error: Exception | None = None

    def _start(self) -> None:
        if self.error:
            raise self.error

    def _attempts(self):
        return ()

    def _expired_answer(self):
        return model_lib.failure(504, "late")

    def describe(self):
        return {}


class TestGate:
    """Requests of an instance: late loop, cancellation, errors."""

    def _run(self, scenario) -> None:
        async def main():
            instance = replicas_lib.Instance("d1", [], random.Random(1))
            gate = gate_lib.Gate(
                True, 0.05, random.Random(1), metrics_lib.Metrics()
            )

            def admit():
                context = instance.create_request_context(
                    replicas_lib.route(timeout_s=5.0)
                )
                task = _Task(instance, context)
                return task, gate.admit(task, context, ("s",))

            await scenario(gate, admit)

        virtual.run(main())

    def test_place_is_released_after_an_error_and_a_cancellation(self):
        # Guards against a limit that is used up by requests that have ended.
        async def scenario(gate, admit):
            task, admitted = admit()
            task.error = ValueError()
            admitted.start()
            assert admitted.done.result().status == 500
            _, admitted = admit()
            admitted.start()
            admitted.cancel()
            await asyncio.sleep(0.01)
            assert gate.controller(("s",)).running == 0

        self._run(scenario)

    def test_waiting_request_is_refused_in_time_without_a_start(self):
        async def scenario(gate, admit):
            controller = gate.controller(("s",))
            controller.limit.value = 1.0
            controller.limit.update = lambda running, now_s: None
            controller._duration_s = 0.001
            first, second = admit()[1], admit()[1]
            first.start()
            second.start()
            assert not second.done.done()
            answer = await second.done
            assert asyncio.get_running_loop().time() <= 0.092 / 4
            assert (answer.status, answer.reason) == (503, "overloaded")
            assert second.was_refused
            assert float(dict(answer.headers)[b"retry-after"]) > 0
            first.cancel()

        self._run(scenario)

    @pytest.mark.parametrize("late_ticks", [1, 10])
    def test_only_a_loop_that_stays_late_lowers_the_limit(self, late_ticks):
        async def scenario(gate, admit):
            admitted = admit()[1]
            admitted.start()
            loop = asyncio.get_running_loop()
            for number in range(10):
                await asyncio.sleep(0.049)
                if number < late_ticks:
                    # The loop is blocked while the timer becomes due.
                    loop.advance(0.03)
            value = gate.controller(("s",)).limit.value
            assert (value < 5) == (late_ticks > 1)
            admitted.cancel()

        self._run(scenario)
