"""Tests the order, refusal, cancellation and preemption of queued work."""

import asyncio
import math
import random

import pytest

from mallowloft import messages
from mallowloft.dispatch import limits
from mallowloft.dispatch import queue as queue_lib
from mallowloft.dispatch import replica as replica_lib
from tests.support import dispatch_client

OK = messages.Outcome.OK
REFUSED = messages.Outcome.REFUSED
EXPIRED = messages.Outcome.EXPIRED


def _item(key, rank=0, deadline_s=1.0):
    return queue_lib.Item(key, rank, deadline_s, 0.0, None)


def _queue(*items):
    queue = queue_lib.PriorityQueue(10)
    for item in items:
        queue.push(item)
    return queue


def _pop_all(queue):
    keys = []
    while (start := queue.pop()) is not None:
        keys.append(start.item.key)
    return keys


class _CountedFloat(float):
    """A float that counts its comparisons."""

    compared = 0

    def __neg__(self):
        return _CountedFloat(-float(self))

    def __lt__(self, other):
        _CountedFloat.compared += 1
        return float(self) < float(other)

    def __eq__(self, other):
        _CountedFloat.compared += 1
        return float(self) == float(other)

    __hash__ = float.__hash__


async def _start(min_share=0.0, **options):
    options.setdefault("service_s", lambda rng: 0.01)
    return await dispatch_client.start(
        settle_s=0.05, fleet={"min_share": min_share}, **options
    )


def _started(replica):
    return dispatch_client.attempts(replica, "query_started")


class TestOrder:
    """Strict priority, earliest deadline first within a class."""

    def test_rank_takes_precedence_over_deadline(self):
        """Guards against a short deadline that starts before a higher class."""
        queue = _queue(
            _item("low", rank=1, deadline_s=0.1),
            _item("late", deadline_s=3.0),
            _item("early", deadline_s=2.0),
        )
        assert _pop_all(queue) == ["early", "late", "low"]

    def test_equal_deadlines_keep_their_order(self):
        """Guards against an item that newer items overtake for ever."""
        queue = _queue(*map(_item, "abc"))
        assert _pop_all(queue) == list("abc")

    def test_removed_item_is_never_popped(self):
        """Guards against starting a cancelled item."""
        queue = _queue(*map(_item, "abc"))
        assert queue.remove("b").key == "b"
        assert queue.remove("b") is None
        assert _pop_all(queue) == ["a", "c"]

    def test_matches_a_sorted_list(self):
        """Guards against an order that depends on earlier operations."""
        rng = random.Random(3)
        queue = queue_lib.PriorityQueue(1000)
        waiting = {}
        for number in range(3000):
            if waiting and rng.random() < 0.4:
                key = rng.choice(list(waiting))
                del waiting[key]
                queue.remove(key)
            elif waiting and rng.random() < 0.3:
                first = min(waiting, key=waiting.get)
                assert queue.pop().item.key == first
                del waiting[first]
            else:
                rank, deadline = rng.randrange(3), rng.randrange(50)
                waiting[number] = (rank, deadline, number)
                queue.push(_item(number, rank, deadline))
            rank, deadline = rng.randrange(4), rng.randrange(50)
            ahead = sum(
                other[:2] <= (rank, deadline) for other in waiting.values()
            )
            assert queue.count_ahead(rank, deadline) == ahead

    def test_comparisons_grow_with_the_logarithm(self):
        """Guards against operations that scan the queue."""
        rng = random.Random(4)
        for size in (64, 4096):
            queue = queue_lib.PriorityQueue(size)
            numbers = [_CountedFloat(rng.random()) for _ in range(size)]
            for key, number in enumerate(numbers):
                queue.push(_item(key, deadline_s=number))
            _CountedFloat.compared = 0
            operations = 0
            for key in range(0, size, 2):
                queue.remove(key)
                queue.pop()
                queue.push(_item(size + key, deadline_s=numbers[key]))
                operations += 3
            limit = 3 * (math.log2(size) + 2)
            assert 0 < _CountedFloat.compared / operations <= limit


class TestFullQueue:
    """A full queue refuses the newest item of the lowest class."""

    def test_refuses_the_newest_of_the_lowest_class(self):
        """Guards against refusing a paying query while a lower class waits."""
        queue = queue_lib.PriorityQueue(3)
        queue.push(_item("low-1", rank=2, deadline_s=9.0))
        queue.push(_item("low-2", rank=2, deadline_s=0.1))
        queue.push(_item("middle", rank=1))
        assert queue.push(_item("high")).key == "low-2"
        assert queue.push(_item("low-3", rank=2)).key == "low-3"
        assert _pop_all(queue) == ["high", "middle", "low-1"]

    async def test_refusal_is_immediate_and_has_a_retry_delay(self):
        """Guards against late refusals, and against retries without a delay."""
        _, _, client = await _start()
        client.ask_all(
            range(replica_lib._QUEUE_LIMIT + 10), rank=2, remaining_ms=60_000.0
        )
        await asyncio.sleep(0.002)
        client.ask_all(range(5000, 5005), rank=0, remaining_ms=60_000.0)
        await asyncio.sleep(0.002)
        replies = client.of(messages.SubReply)
        assert len(replies) >= 10
        assert {reply.outcome for reply in replies} == {REFUSED}
        assert all(reply.retry_after_ms > 100 for reply in replies)
        assert all(reply.attempt < 5000 for reply in replies)


class TestMinShare:
    """A waiting class gets at least `min_share` of the starts."""

    def _starts(self, min_share, rounds=1000):
        queue = queue_lib.PriorityQueue(10, min_share)
        for rank in range(3):
            queue.push(_item((0, rank), rank))
        starts = []
        for number in range(1, rounds + 1):
            start = queue.pop()
            queue.push(_item((number, start.item.rank), start.item.rank))
            starts.append(start)
        return starts

    def test_waiting_classes_get_their_share(self):
        """Guards against starvation of the lowest class."""
        starts = self._starts(0.02)
        for rank in (1, 2):
            share = sum(s.item.rank == rank for s in starts) / len(starts)
            assert 0.018 <= share <= 0.022

    def test_reserved_starts_are_marked(self):
        """Guards against reserved starts that are counted as inversions."""
        for start in self._starts(0.02):
            assert start.from_min_share == (start.item.rank > 0)

    def test_share_zero_reserves_no_starts(self):
        """Guards against reserved starts that the operator disabled."""
        assert not any(start.from_min_share for start in self._starts(0.0))

    def test_credit_is_kept_while_a_class_is_empty(self):
        """Guards against starving a class whose items expire one by one."""
        queue = queue_lib.PriorityQueue(10, 0.02)
        low = 0
        for number in range(1000):
            queue.push(_item((number, 0), 0, number + 0.5))
            queue.push(_item((number, 1), 1, number + 0.5))
            low += queue.pop().item.rank
            queue.expire(number + 1.0)
        assert low >= 18

    async def test_share_is_applied_at_the_replica(self):
        """Guards against a configured share that the queue does not use."""
        _, replica, client = await _start(min_share=0.1)
        for attempt in range(200):
            client.ask(attempt, rank=0, remaining_ms=9000.0)
            client.ask(1000 + attempt, rank=2, remaining_ms=9000.0)
        await asyncio.sleep(0.8)
        started = _started(replica)
        assert len(started) > 100
        low = sum(attempt >= 1000 for attempt in started[:100])
        assert 8 <= low <= 12


class TestDeadline:
    """Items that cannot finish in time are refused, expired ones removed."""

    async def test_refuses_immediately_what_cannot_start(self):
        """Guards against items that wait in the queue only to expire."""
        _, _, client = await _start()
        client.ask_all(range(100), remaining_ms=5000.0)
        await asyncio.sleep(0.1)
        client.ask(500, remaining_ms=5000.0)
        client.ask(501, rank=1, remaining_ms=50.0)
        await asyncio.sleep(0.002)
        replies = client.of(messages.SubReply)
        late = {reply.attempt: reply for reply in replies if reply.attempt > 99}
        assert set(late) == {501}
        assert late[501].outcome is REFUSED
        assert late[501].retry_after_ms > 100

    async def test_short_deadline_starts_first_in_its_class(self):
        """Guards against refusing an item that would be the next to start."""
        _, _, client = await _start()
        client.ask_all(range(100), remaining_ms=5000.0)
        await asyncio.sleep(0.1)
        reply = await client.answer(500, remaining_ms=50.0)
        assert reply.outcome is OK

    async def test_estimate_refuses_nothing_while_a_lower_class_waits(self):
        """Guards against a priority inversion due to a wrong estimate."""
        _, replica, client = await _start()
        client.ask_all(range(100), remaining_ms=5000.0)
        client.ask_all(range(100, 104), rank=2, remaining_ms=9000.0)
        await asyncio.sleep(0.1)
        replica.service_s = lambda rng: 0.0001
        reply = await client.answer(500, rank=1, remaining_ms=100.0)
        assert reply.outcome is OK

    async def test_lower_class_is_not_refused_on_an_idle_replica(self):
        """Guards against an estimate that counts past use as current load."""
        _, _, client = await _start()
        client.ask_all(range(200), remaining_ms=5000.0)
        await asyncio.sleep(4.0)
        client.ask_all(range(500, 506), rank=2, remaining_ms=60.0)
        await asyncio.sleep(0.1)
        assert set(client.outcomes()) == {OK}

    async def test_expired_items_are_reported_and_never_sent(self):
        """Guards against running queries after their deadline."""
        _, replica, client = await _start(service_s=lambda rng: 0.2)
        client.ask_all(range(3))
        reply = await client.answer(7, rank=1, remaining_ms=50.0)
        await asyncio.sleep(1.0)
        assert reply.outcome in (EXPIRED, REFUSED)
        assert 7 not in _started(replica)

    async def test_expiry_is_reported_while_the_replica_hangs(self):
        """Guards against a sender that gets no reply while a replica hangs."""
        _, replica, client = await _start()
        replica.frozen = True
        client.ask_all(range(3), remaining_ms=3000.0)
        await asyncio.sleep(0.01)
        answer = await client.answer(9, remaining_ms=40.0, timeout_s=0.1)
        assert answer.outcome is EXPIRED

    async def test_overload_does_not_waste_calls(self):
        """Guards against starting each call just before its deadline."""
        _, _, client = await _start()
        await client.ask_paced(range(600), 0.0025, remaining_ms=50.0)
        await asyncio.sleep(0.1)
        outcomes = client.outcomes()
        ok = outcomes.count(OK)
        # Twice the capacity is offered for 1.5 s: 300 calls fit.
        assert ok >= 0.9 * 300
        assert outcomes.count(messages.Outcome.FAILED) <= 0.1 * ok

    async def test_stale_estimate_is_corrected(self):
        """Guards against an estimate that refuses the calls to correct it."""
        _, replica, client = await _start()
        replica.slow_factor = 20.0
        client.ask_all(range(8), remaining_ms=5000.0)
        await asyncio.sleep(2.0)
        replica.slow_factor = 1.0
        await client.ask_paced(range(100, 400), remaining_ms=50.0)
        assert set(client.outcomes(351)) == {OK}


class TestCancel:
    """A cancelled attempt is removed and gets no reply."""

    async def test_cancels_a_waiting_attempt(self):
        """Guards against running an attempt whose result is not needed."""
        _, replica, client = await _start()
        client.ask_all(range(6))
        await asyncio.sleep(0.002)
        client.cancel(4)
        await asyncio.sleep(0.2)
        answered = [r.attempt for r in client.of(messages.SubReply)]
        assert sorted(_started(replica)) == [0, 1, 2, 3, 5]
        assert sorted(answered) == [0, 1, 2, 3, 5]

    async def test_cancels_a_running_attempt(self):
        """Guards against slots used by attempts that were cancelled."""
        _, replica, client = await _start(service_s=lambda rng: 0.5)
        client.ask_all(range(3))
        await asyncio.sleep(0.01)
        client.cancel(0)
        await asyncio.sleep(0.01)
        assert _started(replica) == [0, 1, 2]
        assert client.outcomes() == []

    async def test_attempt_of_another_sender_is_kept(self):
        """Guards against confusing equal attempt numbers of two senders."""
        world, _, client = await _start()
        other = dispatch_client.Client(world, "i1", "other")
        client.ask(1)
        other.ask(1)
        await asyncio.sleep(0.002)
        other.cancel(1)
        assert (await client.wait_for(messages.SubReply, 1)).outcome is OK

    async def test_cancellation_reaches_one_dispatcher_only(self, monkeypatch):
        """Guards against a scan of all replicas for each cancellation."""
        cancelled_at = []
        cancel = replica_lib.ReplicaDispatcher.cancel

        def recorded_cancel(self, key):
            cancelled_at.append(self.replica.id)
            cancel(self, key)

        monkeypatch.setattr(
            replica_lib.ReplicaDispatcher, "cancel", recorded_cancel
        )
        names = tuple(f"r{number}" for number in range(1, 21))
        _, _, client = await _start(replicas=names)
        for attempt, name in enumerate(names):
            client.ask(attempt, name)
        await asyncio.sleep(0.002)
        client.cancel(3, 99)
        await asyncio.sleep(0.05)
        assert cancelled_at == ["r4"]


class TestPreemption:
    """A waiting query can preempt a running one of a lower class."""

    async def _occupied(self, rank=2, calls=2, **options):
        """Occupies both slots with long queries of one class."""
        options.setdefault("service_s", lambda rng: 0.1)
        world, replica, client = await _start(**options)
        client.ask_all(range(calls), rank=rank, remaining_ms=3000.0)
        await asyncio.sleep(0.01)
        return world, replica, client

    async def test_starts_immediately_and_the_preempted_query_runs_later(self):
        """Guards against a paying query that waits for a lower class."""
        world, _, client = await self._occupied()
        asked_s = asyncio.get_running_loop().time()
        await client.answer(9)
        took_s = asyncio.get_running_loop().time() - asked_s
        await asyncio.sleep(0.5)
        replies = client.of(messages.SubReply)
        wasted = world.kernels_by_id["i1"].metrics.counter_value(
            "wasted_slot_seconds"
        )
        assert took_s < 0.105
        assert sorted(reply.attempt for reply in replies) == [0, 1, 9]
        assert {reply.outcome for reply in replies} == {OK}
        assert 0.005 < wasted < 0.02

    @pytest.mark.parametrize("options", [{"preemption": False}, {"rank": 0}])
    async def test_no_preemption_if_disabled_or_in_the_same_class(
        self, options
    ):
        """Guards against preemption that the setting or the rank excludes."""
        _, replica, client = await self._occupied(**options)
        await client.answer(9)
        assert replica.count("query_cancelled") == 0

    @pytest.mark.parametrize(
        ("age_s", "cancelled"),
        [
            # Two queries run, one of each class: the lower one is preempted.
            (0.005, 1),
            # Preemption would discard work to save half a service time.
            (0.03, 0),
            # A query that takes longer than usual is preempted.
            (0.1, 1),
        ],
        ids=["shares_the_slots", "ends_soon", "of_a_long_kind"],
    )
    async def test_preemption_depends_on_the_age_of_the_call(
        self, age_s, cancelled
    ):
        """Guards against preempting calls that are about to end."""
        _, replica, client = await _start(service_s=lambda rng: 0.02)
        client.ask_all(range(100, 120), rank=2, remaining_ms=3000.0)
        await asyncio.sleep(0.5)
        replica.service_s = lambda rng: 0.3
        client.ask(1, rank=2, remaining_ms=3000.0)
        client.ask(2, remaining_ms=3000.0)
        await asyncio.sleep(age_s)
        client.ask(9, remaining_ms=3000.0)
        await asyncio.sleep(0.005)
        assert replica.count("query_cancelled") == cancelled

    async def test_preempted_query_past_its_deadline_gets_a_reply(self):
        """Guards against a preempted query that is lost."""
        _, _, client = await _start(service_s=lambda rng: 0.1)
        client.ask_all(range(2), rank=2, remaining_ms=120.0)
        await asyncio.sleep(0.01)
        client.ask(9, remaining_ms=3000.0)
        await asyncio.sleep(0.4)
        replies = sorted(
            (reply.attempt, reply.outcome)
            for reply in client.of(messages.SubReply)
        )
        assert [attempt for attempt, _ in replies] == [0, 1, 9]
        outcomes = {outcome for _, outcome in replies}
        assert outcomes - {OK}
        assert outcomes <= {OK, EXPIRED, REFUSED, messages.Outcome.FAILED}

    async def test_reserved_start_is_not_preempted(self):
        """Guards against preempting starts that are due to `min_share`."""
        _, replica, client = await _start(
            min_share=1.0, service_s=lambda rng: 0.05
        )
        for attempt in range(20):
            client.ask(attempt, remaining_ms=3000.0)
            client.ask(100 + attempt, rank=2, remaining_ms=3000.0)
        await asyncio.sleep(1.0)
        started = _started(replica)
        assert replica.count("query_cancelled") == 0
        assert any(attempt >= 100 for attempt in started[:10])

    async def test_submission_is_never_preempted(self):
        """Guards against cancelling a submission, which is not idempotent."""
        _, replica, client = await _start(service_s=lambda rng: 0.1)
        for attempt in (1, 2):
            ticket = await client.reserved(attempt, rank=2)
            client.go(attempt, ticket)
        await asyncio.sleep(0.01)
        await client.answer(9)
        assert replica.count("submit_cancelled") == 0

    def test_budget_limits_the_rate(self):
        """Guards against a lower class that is preempted without limit."""
        budget = limits.TokenBudget(0.25, 20)
        spent = 0
        for _ in range(1000):
            budget.refill()
            spent += budget.try_spend()
        assert 250 <= spent <= 270

    async def test_empty_budget_preempts_nothing(self):
        """Guards against a budget that is counted but not enforced."""
        world, replica, client = await self._occupied()
        service = world.kernels_by_id["i1"].plugin("dispatch")
        dispatcher = service._dispatchers_by_replica["r1"]
        dispatcher._preemption_budget = limits.TokenBudget(0.0, 0)
        await client.answer(9)
        assert replica.count("query_cancelled") == 0

    async def test_waiting_call_at_the_replica_is_recalled(self):
        """Guards against a lower class ahead in the replica's FIFO queue."""
        _, replica, client = await self._occupied(calls=3, preemption=False)
        client.ask(9, remaining_ms=3000.0)
        await asyncio.sleep(0.6)
        assert _started(replica) == [0, 1, 9, 2]


class TestNotices:
    """Senders are notified which of their attempts wait for a slot."""

    async def test_waiting_attempts_are_reported(self):
        """Guards against hedges caused by a long queue."""
        _, _, client = await _start(service_s=lambda rng: 0.05)
        client.ask_all(range(5))
        await asyncio.sleep(0.04)
        notices = client.of(messages.SubQueued)
        attempts = [a for notice in notices for a in notice.attempts]
        assert sorted(attempts) == [3, 4]
        assert all(notice.queue_delay_ms > 0 for notice in notices)

    async def test_attempts_that_have_started_are_not_reported(self):
        """Guards against suppressing hedges of attempts that do not wait."""
        _, _, client = await _start()
        client.ask(0)
        client.ask(1)
        await asyncio.sleep(0.0095)
        client.ask_all(range(2, 5))
        await asyncio.sleep(0.1)
        assert client.of(messages.SubQueued) == []
