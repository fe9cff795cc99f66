"""Admission control: limit, queue, refusals, and goodput under overload."""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

import pytest

from mallowloft.routes import limits
from mallowloft.routes.admission import controller as controller_lib
from mallowloft.routes.admission import limit as limit_lib

_SHARDS = 90
_SLOTS = 2
_QUEUE = 12
_SPEEDS = (0.8, 1.0, 1.3)
_HUBS = 6
_GATHER_CPU_S = 0.006
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
        self, hint: float, sweep: float, controlled: bool = True
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
        self.hubs = [_Hub(self._rng) for _ in range(_HUBS)]
        # Ends of the accepted requests of each replica, ascending.
        self._ends = [
            [[0.0] * _SLOTS for _ in _SPEEDS] for _ in range(_SHARDS)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def run(self, duration_s: float, warm_up_s: float = 2.0) -> None:
        self._measured_from_s = warm_up_s
        for item in self._rates:
            self._arrive(item)
        for hub in self.hubs:
            self._tick(hub)
        while self._events[0][0] < duration_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

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
        hub.busy_until_s = max(hub.busy_until_s, self.now_s) + _GATHER_CPU_S
        sent_s = hub.busy_until_s
        replies = []
        ends = []
        for shard in range(_SHARDS):
            # The better of two at random, like the choice by stated load.
            for replica in sorted(
                self._rng.sample(range(3), 2),
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
