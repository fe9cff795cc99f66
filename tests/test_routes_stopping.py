"""Which requests a stopping instance accepts, and how it ends the others."""

import asyncio
import contextlib
import random

import pytest

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.kernel import stop_schedule
from mallowloft.routes import gathering
from mallowloft.routes import model
from mallowloft.routes import open_requests
from mallowloft.routes import running
from mallowloft.routes import single
from mallowloft.routes import stopping
from mallowloft.routes.admission import gate as gate_lib
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SHARDS = 4
_TARGETS = (model.Target("s0", 1.0),)
_GATHERED = {
    "shards": tuple(f"s{number}" for number in range(_SHARDS)),
    "top_records": 1,
    "min_coverage": 0.5,
}


class TestSchedule:
    """All steps of a stop end within its grace period, in order."""

    @pytest.mark.parametrize("grace_s", [0.0, 0.1, 1.0, 5.3, 20.0])
    @pytest.mark.parametrize("drain_s", [0.0, 3.2, 30.0])
    def test_steps_are_in_order_and_within_the_grace(self, grace_s, drain_s):
        schedule = stop_schedule.StopSchedule.plan(7.0, grace_s, drain_s)
        assert (
            7.0
            <= schedule.drained_s
            <= schedule.answered_s
            <= schedule.closed_s
            == 7.0 + grace_s
        )
        if grace_s:
            assert schedule.answered_s < schedule.closed_s


class TestCanFinish:
    """Late requests are accepted only if they are likely to end in time."""

    def _can_finish(self, idempotent, tail_s, left_s, allowed_s=6.0) -> bool:
        route = replicas_lib.route(idempotent=idempotent, objective_s=0.6)
        schedule = stop_schedule.StopSchedule.plan(0.0, 5.3, 3.2)
        return stopping.can_finish(
            route, tail_s, allowed_s, schedule, schedule.answered_s - left_s
        )

    @pytest.mark.parametrize(
        ("idempotent", "tail_s", "left_s", "expected"),
        [
            (True, 0.4, 0.5, True),
            (True, 0.4, 0.3, False),
            (True, None, 0.7, True),
            (True, None, 0.5, False),
            # A final answer before the replica's leaves the outcome unknown.
            (False, 0.4, 0.5, False),
            (False, 0.4, 0.9, True),
            (False, None, 4.0, True),
            # A refused caller reaches another instance by now.
            (False, None, 1.7, False),
            (True, 0.1, -0.1, False),
        ],
    )
    def test_limits(self, idempotent, tail_s, left_s, expected):
        assert self._can_finish(idempotent, tail_s, left_s) == expected

    def test_request_that_its_deadline_ends_in_time_is_accepted(self):
        assert self._can_finish(False, 9.0, 0.5, allowed_s=0.5)


class TestDurationTail:
    """The estimate follows ended requests and those in progress."""

    async def _measure(self, tail: stopping.DurationTail, for_s: float) -> None:
        with tail.measure():
            await asyncio.sleep(for_s)

    async def _create_tail(self) -> stopping.DurationTail:
        """Returns a tail of requests that last 0.2 s."""
        tail = stopping.DurationTail()
        assert tail.estimate_s(0.0) is None
        for _ in range(40):
            await self._measure(tail, 0.2)
        return tail

    def test_slow_requests_in_progress_count_with_their_age(self):
        async def main():
            loop = asyncio.get_running_loop()
            tail = await self._create_tail()
            assert tail.estimate_s(loop.time()) == pytest.approx(0.2, abs=0.05)
            async with asyncio.TaskGroup() as group:
                for _ in range(5):
                    group.create_task(self._measure(tail, 4.0))
                await asyncio.sleep(3.0)
                estimate_s = tail.estimate_s(loop.time())
            assert estimate_s == pytest.approx(3.0)

        virtual.run(main())

    def test_one_hanging_request_does_not_make_others_seem_slow(self):
        async def main():
            loop = asyncio.get_running_loop()
            tail = await self._create_tail()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._measure(tail, 4.0))
                await asyncio.sleep(3.0)
                estimate_s = tail.estimate_s(loop.time())
            assert estimate_s == pytest.approx(0.2, abs=0.05)

        virtual.run(main())


class TestExpiry:
    """Requests that are ended early get the answer of their deadline."""

    def _run(self, silent, create_task, **fields):
        """Returns the answer and the arrivals after an early end.

        Args:
            silent: Whether a replica, given by its number, never replies.
            create_task: Returns the task of an instance and a context.
            **fields: Fields of the route.
        """

        async def main():
            rng = random.Random(1)
            instance_replicas = [
                replicas_lib.Replica(
                    f"i{number}",
                    f"s{number}",
                    "d1",
                    rng,
                    lambda _: 0.01,
                    unresponsive=lambda _, number=number: silent(number),
                )
                for number in range(_SHARDS)
            ]
            instance = replicas_lib.Instance("d1", instance_replicas, rng)
            route = replicas_lib.route(timeout_s=6.0, objective_s=3.0, **fields)
            context = instance.create_request_context(route)
            requests = open_requests.OpenRequests()
            task = create_task(instance, context)
            with requests.track(b"r1", 0.0, task):
                task.start()
                await asyncio.sleep(0.5)
                requests.end_all()
                assert task.done.done()
                arrivals = [item.arrivals for item in instance_replicas]
                await asyncio.sleep(5.0)
            # Nothing is sent after the final answer.
            assert arrivals == [item.arrivals for item in instance_replicas]
            return task.done.result(), arrivals

        return virtual.run(main())

    def _gather(self, instance, context) -> running.RequestTask:
        return gathering.ScatterGather(instance, context)

    def _forward(self, instance, context) -> running.RequestTask:
        return single.Forwarding(instance, context, "s0")

    def test_gathered_request_is_answered_with_the_parts_that_are_there(self):
        answer, _ = self._run(
            lambda number: number == 0, self._gather, **_GATHERED
        )
        assert (answer.status, answer.missing) == (200, 1)

    def test_gathered_request_without_enough_parts_fails(self):
        answer, _ = self._run(
            lambda number: number > 0, self._gather, **_GATHERED
        )
        assert answer.status == 504

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_request_that_a_replica_may_run_is_not_refused(self, idempotent):
        answer, arrivals = self._run(
            lambda number: True,
            self._forward,
            idempotent=idempotent,
            targets=_TARGETS,
        )
        assert arrivals[0] == 1
        assert answer.status == 504

    def test_request_that_waits_for_admission_is_refused_unsent(self):
        def create_task(instance, context):
            gate = gate_lib.Gate(
                True, 0.05, random.Random(1), metrics_lib.Metrics()
            )
            controller = gate.controller(("s0",))
            controller.limit.value = 1.0
            controller.limit.update = lambda running, now_s: None
            gate.admit(
                self._forward(instance, context), context, ("s0",)
            ).start()
            return gate.admit(
                self._forward(instance, context), context, ("s0",)
            )

        answer, arrivals = self._run(
            lambda number: True, create_task, targets=_TARGETS
        )
        assert answer.status == 503
        assert arrivals[0] == 1


class TestOpenRequests:
    """Requests whose body is still read are ended, too."""

    def test_reading_ends_with_a_timeout(self):
        async def main():
            requests = open_requests.OpenRequests()

            async def read() -> str:
                with requests.track(b"r1", 0.0) as request:
                    try:
                        async with request.reading():
                            await asyncio.Event().wait()
                    except TimeoutError:
                        # A second end has no effect.
                        requests.end_all()
                        return "ended"
                return "read"

            task = asyncio.create_task(read())
            await asyncio.sleep(0.1)
            requests.end_all()
            assert await task == "ended"
            assert not len(requests)

        virtual.run(main())

    def test_failure_of_one_request_does_not_keep_others_open(self):
        class _Task:
            def __init__(self, fails: bool) -> None:
                self.done = asyncio.get_running_loop().create_future()
                self._fails = fails

            def expire(self) -> None:
                if self._fails:
                    raise ValueError
                self.done.set_result(None)

        async def main():
            requests = open_requests.OpenRequests()
            tasks = [_Task(number == 3) for number in range(10)]
            with contextlib.ExitStack() as stack:
                for task in tasks:
                    stack.enter_context(requests.track(b"r1", 0.0, task))
                requests.end_all()
            assert all(task.done.done() for task in tasks)
            assert tasks[3].done.result().status == 500

        virtual.run(main())
