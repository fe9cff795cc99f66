"""Tests slots that are reserved for submissions, and their tickets."""

import asyncio
import random

from mallowloft import messages
from mallowloft.dispatch import reservations
from mallowloft.membership import view as view_lib
from tests.support import dispatch_client

NOT_SENT = messages.SlotState.NOT_SENT
_dump = dispatch_client.dump


async def _start(**options):
    return await dispatch_client.start(settle_s=0.0, **options)


def _states(client):
    return [outcome.state for outcome in client.of(messages.SlotOutcome)]


def _assert_not_sent(replica, client):
    assert set(_states(client)) == {NOT_SENT}
    assert replica.count("submit_started") == 0


class TestTicket:
    """Exactly one `SlotGo` in time reaches the upstream."""

    async def test_go_in_time_runs_once(self):
        """Guards against a submission that is lost or sent twice."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is messages.SlotState.DONE
        assert outcome.reply == b'"x"'
        assert replica.count("submit_started") == 1

    async def test_go_after_expiry_is_not_sent(self):
        """Guards against a ticket that is used after its expiry."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        await asyncio.sleep(reservations.TICKET_LIFETIME_S + 0.001)
        client.go(1, ticket)
        await asyncio.sleep(0.1)
        _assert_not_sent(replica, client)

    async def test_expiry_sends_an_outcome_and_frees_the_slot(self):
        """Guards against a slot that stays held if no `SlotGo` arrives."""
        world, _, client = await _start()
        await client.reserved(1)
        held = _dump(world)["held"]
        outcome = await client.wait_for(messages.SlotOutcome)
        assert (held, outcome.state, _dump(world)["held"]) == (1, NOT_SENT, 0)

    async def test_go_without_a_reservation_is_not_sent(self):
        """Guards against running a submission without a reservation."""
        _, replica, client = await _start()
        client.go(7, 12345)
        await client.wait_for(messages.SlotOutcome)
        _assert_not_sent(replica, client)

    async def test_go_with_a_wrong_ticket_ends_the_reservation(self):
        """Guards against NOT_SENT for a reservation that runs later."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket + 1)
        await client.wait_for(messages.SlotOutcome)
        client.go(1, ticket)
        await asyncio.sleep(0.05)
        _assert_not_sent(replica, client)

    async def test_duplicate_of_a_running_go_is_ignored(self):
        """Guards against NOT_SENT for a submission that is running."""
        _, replica, client = await _start(service_s=lambda rng: 0.1)
        ticket = await client.reserved(1)
        for _ in range(3):
            client.go(1, ticket)
            await asyncio.sleep(0.01)
        assert _states(client) == []
        await client.wait_for(messages.SlotOutcome)
        await asyncio.sleep(0.1)
        assert _states(client) == [messages.SlotState.DONE]
        assert replica.count("submit_started") == 1

    async def test_duplicate_of_an_ended_go_gets_the_recorded_outcome(self):
        """Guards against NOT_SENT after the submission has run."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket)
        await client.wait_for(messages.SlotOutcome)
        client.go(1, ticket)
        await asyncio.sleep(0.05)
        assert _states(client) == [messages.SlotState.DONE] * 2
        assert replica.count("submit_started") == 1

    def _held(self):
        records = reservations.Reservations()
        key = reservations.AttemptKey("slot", "i", 1, 1)
        records.open(key, "r1", 0.0)
        return records, key, records.issue_ticket(key, 0.0)

    def test_ticket_with_an_evicted_record_is_ignored(self):
        """Guards against NOT_SENT for a run whose record was evicted."""
        records, key, ticket = self._held()
        assert records.use_ticket(key, ticket, 0.1) is reservations.GoAction.RUN
        done = messages.SlotOutcome(1, messages.SlotState.DONE, "", b"", 0.0)
        records.end(key, 0.2, done)
        other = reservations.AttemptKey("slot", "i", 1, 2)
        records.open(other, "r1", 1000.0)
        assert records.state(key) is None
        assert (
            records.use_ticket(key, ticket, 1000.0)
            is reservations.GoAction.IGNORE
        )

    async def test_ticket_that_expired_during_a_pause_is_not_sent(self):
        """Guards against a resumed process that sends an expired submission."""
        world, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket)
        await asyncio.sleep(0.0001)
        # The message is in flight when the process stops for 0.3 s, which is
        # too short to be detected as a pause. The message is read before any
        # timer runs.
        asyncio.get_running_loop().advance(0.3)
        await asyncio.sleep(0.1)
        _assert_not_sent(replica, client)
        assert _dump(world)["held"] == 0

    def test_ticket_can_be_used_once(self):
        """Guards against a ticket that a duplicate message could use again."""
        records, key, ticket = self._held()
        uses = [records.use_ticket(key, ticket, 0.1) for _ in range(2)]
        assert uses == [reservations.GoAction.RUN, reservations.GoAction.IGNORE]

    async def test_pause_invalidates_a_ticket_that_has_not_expired(self):
        """Guards against a clock that stopped during a pause of the process."""
        world, replica, client = await _start()
        ticket = await client.reserved(1)
        kernel = world.kernels_by_id["i1"]
        for listener in kernel.pause_detector._listeners:
            listener(1.0)
        client.go(1, ticket)
        await asyncio.sleep(0.05)
        _assert_not_sent(replica, client)

    async def test_go_past_its_deadline_is_not_sent(self):
        """Guards against running a submission after its deadline."""
        world, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket, remaining_ms=0.0)
        await client.wait_for(messages.SlotOutcome)
        _assert_not_sent(replica, client)
        assert _dump(world)["held"] == 0


class TestReservation:
    """A reservation waits in the queue and holds at most one slot."""

    async def test_waits_behind_running_queries(self):
        """Guards against reservations in excess of the slots."""
        world, _, client = await _start(service_s=lambda rng: 0.05)
        client.ask(1)
        client.ask(2)
        client.reserve(1)
        await asyncio.sleep(0.02)
        assert client.of(messages.SlotReady) == []
        await client.wait_for(messages.SlotReady)
        dump = _dump(world)
        assert dump["running"] + dump["held"] <= 2

    async def test_duplicate_holds_one_slot(self):
        """Guards against a duplicate message that takes a second slot."""
        world, _, client = await _start()
        for _ in range(3):
            client.reserve(1)
            await asyncio.sleep(0.01)
        assert _dump(world)["held"] == len(client.of(messages.SlotReady)) == 1

    async def test_duplicate_after_the_end_holds_no_slot(self):
        """Guards against a late duplicate that holds a slot."""
        world, _, client = await _start()
        await client.reserved(1)
        client.release(1)
        await asyncio.sleep(0.01)
        client.reserve(1)
        await asyncio.sleep(0.01)
        assert _dump(world)["held"] == 0

    async def test_release_that_arrives_before_the_reservation(self):
        """Guards against a slot held for a sender that no longer needs it."""
        _, _, client = await _start()
        client.release(1)
        await asyncio.sleep(0.01)
        client.reserve(1)
        await asyncio.sleep(0.01)
        assert len(client.of(messages.SlotReady)) == 0

    async def test_release_ends_waiting_and_held_reservations(self):
        """Guards against slots that remain held after a release."""
        world, _, client = await _start()
        for attempt in range(1, 5):
            client.reserve(attempt)
        await client.wait_for(messages.SlotReady, 2)
        client.release(1)
        client.release(3)
        await client.wait_for(messages.SlotReady, 4, timeout_s=0.1)
        assert (_dump(world)["held"], _dump(world)["waiting"]) == (2, 0)

    async def test_reservations_of_two_incarnations_are_distinct(self):
        """Guards against confusing a restarted sender with its predecessor."""
        world, _, client = await _start()
        await client.reserved(1)
        restarted = dispatch_client.Client(world, "i1", incarnation=901)
        restarted.reserve(1)
        ready = await restarted.wait_for(messages.SlotReady, timeout_s=0.1)
        assert ready.attempt == 1

    async def test_answer_for_a_past_incarnation_is_dropped(self):
        """Guards against a late reply taken for that of a new attempt."""
        world, _, client = await _start(service_s=lambda rng: 0.05)
        ticket = await client.reserved(1)
        client.go(1, ticket)
        client.ask(1)
        await asyncio.sleep(0.01)
        view = world.kernels_by_id["i1"].plugin("membership").view
        view.update(view_lib.Member("client", "d1", "", 901, view_lib.LIVE))
        await asyncio.sleep(0.1)
        kernel = world.kernels_by_id["i1"]
        dropped = kernel.metrics.counter_value("dispatch_answers_dropped")
        # Only `SlotReady` has been received.
        assert (len(client.received), dropped) == (1, 2)

    async def test_duplicates_and_delays_never_run_a_ticket_twice(self):
        """Guards against message orders in which a ticket runs twice."""
        world, replica, client = await _start()
        world.network.duplicate_share = 0.5
        world.network.jitter_s = 0.3
        rng = random.Random(7)
        for attempt in range(1, 200):
            client.reserve(attempt, remaining_ms=5000.0)
        answered = set()
        while len(client.of(messages.SlotOutcome)) < 199:
            for ready in client.of(messages.SlotReady):
                if ready.attempt in answered:
                    continue
                answered.add(ready.attempt)
                if rng.random() < 0.1:
                    client.release(ready.attempt)
                else:
                    client.go(ready.attempt, ready.ticket)
            await asyncio.sleep(0.01)
            if asyncio.get_running_loop().time() > 30:
                break
        await asyncio.sleep(1.0)
        runs = dispatch_client.attempts(replica, "submit_started")
        ran = set(runs)
        assert len(runs) == len(ran) > 20
        for outcome in client.of(messages.SlotOutcome):
            assert (outcome.attempt in ran) == (outcome.state is not NOT_SENT)


class TestOutcomes:
    """The reply of the upstream determines the state of a submission."""

    async def _check(self, state, **attributes):
        world, replica, client = await _start()
        for name, value in attributes.items():
            setattr(replica, name, value)
        client.go(1, await client.reserved(1), remaining_ms=200.0)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is state
        assert _dump(world)["running"] == 0

    async def test_shed(self):
        """Guards against MAYBE_RUN for a submission that did not run."""
        await self._check(messages.SlotState.SHED, max_queue=0)

    async def test_draining(self):
        """Guards against MAYBE_RUN from a draining replica."""
        await self._check(messages.SlotState.SHED, draining=True)

    async def test_unsent(self):
        """Guards against MAYBE_RUN when nothing was written."""
        await self._check(NOT_SENT, unreachable=True)

    async def test_failed(self):
        """Guards against a second run after an error of unknown cause."""
        await self._check(messages.SlotState.MAYBE_RUN, failing=True)

    async def test_frozen_upstream(self):
        """Guards against NOT_SENT when the upstream never answers."""
        await self._check(messages.SlotState.MAYBE_RUN, frozen=True)

    async def test_exception_of_the_client(self):
        """Guards against a slot that is lost when the client raises."""
        world, _, client = await _start()

        async def submit(call):
            raise KeyError("x")

        ticket = await client.reserved(1)
        service = world.kernels_by_id["i1"].plugin("dispatch")
        dispatcher = service._dispatchers_by_replica["r1"]
        dispatcher._upstream.submit = submit
        client.go(1, ticket)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is messages.SlotState.MAYBE_RUN
        assert _dump(world)["running"] == 0
