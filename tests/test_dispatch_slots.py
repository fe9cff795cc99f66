"""Slots reserved for submissions; a ticket runs at most once."""

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

    async def test_late_go_is_not_sent(self):
        """Guards against a ticket that is used after its expiry."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        await asyncio.sleep(reservations.TICKET_S + 0.001)
        client.go(1, ticket)
        await asyncio.sleep(0.1)
        _assert_not_sent(replica, client)

    async def test_expiry_answers_and_frees_the_slot(self):
        """Guards against a slot that a silent issuer holds for ever."""
        world, _, client = await _start()
        await client.reserved(1)
        held = _dump(world)["held"]
        outcome = await client.wait_for(messages.SlotOutcome)
        assert (held, outcome.state, _dump(world)["held"]) == (1, NOT_SENT, 0)

    async def test_unknown_go_is_not_sent(self):
        """Guards against running a body without a reservation."""
        _, replica, client = await _start()
        client.go(7, 12345)
        await client.wait_for(messages.SlotOutcome)
        _assert_not_sent(replica, client)

    async def test_go_with_a_wrong_ticket_ends_the_reservation(self):
        """Guards against "not sent" for a reservation that runs later."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket + 1)
        await client.wait_for(messages.SlotOutcome)
        client.go(1, ticket)
        await asyncio.sleep(0.05)
        _assert_not_sent(replica, client)

    async def test_duplicate_of_a_running_go_is_ignored(self):
        """Guards against "not sent" for a submission that is running."""
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

    async def test_duplicate_of_an_ended_go_gets_the_true_outcome(self):
        """Guards against "not sent" after the submission has run."""
        _, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket)
        await client.wait_for(messages.SlotOutcome)
        client.go(1, ticket)
        await asyncio.sleep(0.05)
        assert _states(client) == [messages.SlotState.DONE] * 2
        assert replica.count("submit_started") == 1

    def _held(self):
        tickets = reservations.Reservations()
        key = reservations.Key("slot", "i", 1, 1)
        tickets.open(key, "r1", 0.0)
        return tickets, key, tickets.hold(key, 0.0)

    def test_forgotten_ticket_is_answered_by_silence(self):
        """Guards against "not sent" when the record of a run is gone."""
        tickets, key, ticket = self._held()
        assert tickets.use(key, ticket, 0.1) is reservations.Use.RUN
        done = messages.SlotOutcome(1, messages.SlotState.DONE, "", b"", 0.0)
        tickets.end(key, 0.2, done)
        other = reservations.Key("slot", "i", 1, 2)
        tickets.open(other, "r1", 1000.0)
        assert tickets.state(key) is None
        assert tickets.use(key, ticket, 1000.0) is reservations.Use.IGNORE

    async def test_stale_ticket_after_a_pause(self):
        """Guards against a resumed process that sends what is given up."""
        world, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket)
        await asyncio.sleep(0.0001)
        # The message is on its way when the whole process stops. It is
        # read before any timer, and too soon to count as a pause.
        asyncio.get_running_loop().advance(0.3)
        await asyncio.sleep(0.1)
        _assert_not_sent(replica, client)
        assert _dump(world)["held"] == 0

    def test_use_is_allowed_once(self):
        """Guards against a ticket that a second copy could use."""
        tickets, key, ticket = self._held()
        uses = [tickets.use(key, ticket, 0.1) for _ in range(2)]
        assert uses == [reservations.Use.RUN, reservations.Use.IGNORE]

    async def test_pause_voids_a_ticket_that_the_clock_would_allow(self):
        """Guards against a clock that stood still during the pause."""
        world, replica, client = await _start()
        ticket = await client.reserved(1)
        kernel = world.kernels_by_id["i1"]
        for listener in kernel.pauses._listeners:
            listener(1.0)
        client.go(1, ticket)
        await asyncio.sleep(0.05)
        _assert_not_sent(replica, client)

    async def test_go_past_its_deadline_is_not_sent(self):
        """Guards against running what the caller has given up."""
        world, replica, client = await _start()
        ticket = await client.reserved(1)
        client.go(1, ticket, remaining_ms=0.0)
        await client.wait_for(messages.SlotOutcome)
        _assert_not_sent(replica, client)
        assert _dump(world)["held"] == 0


class TestReservation:
    """A reservation waits in the queue and holds one slot at most."""

    async def test_waits_behind_running_queries(self):
        """Guards against a reservation that exceeds the slots."""
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
        """Guards against a repeated message that takes both slots."""
        world, _, client = await _start()
        for _ in range(3):
            client.reserve(1)
            await asyncio.sleep(0.01)
        assert _dump(world)["held"] == len(client.of(messages.SlotReady)) == 1

    async def test_duplicate_after_the_end_holds_no_slot(self):
        """Guards against a late copy that blocks a slot for a ticket."""
        world, _, client = await _start()
        await client.reserved(1)
        client.release(1)
        await asyncio.sleep(0.01)
        client.reserve(1)
        await asyncio.sleep(0.01)
        assert _dump(world)["held"] == 0

    async def test_release_that_overtakes_the_reservation(self):
        """Guards against a slot held for an issuer that has gone on."""
        _, _, client = await _start()
        client.release(1)
        await asyncio.sleep(0.01)
        client.reserve(1)
        await asyncio.sleep(0.01)
        assert len(client.of(messages.SlotReady)) == 0

    async def test_release_frees_a_waiting_and_a_held_one(self):
        """Guards against slots that are lost by giving up early."""
        world, _, client = await _start()
        for attempt in range(1, 5):
            client.reserve(attempt)
        await client.wait_for(messages.SlotReady, 2)
        client.release(1)
        client.release(3)
        await client.wait_for(messages.SlotReady, 4, timeout_s=0.1)
        assert (_dump(world)["held"], _dump(world)["waiting"]) == (2, 0)

    async def test_reservations_of_two_incarnations_are_distinct(self):
        """Guards against a restarted issuer that is taken for its old self."""
        world, _, client = await _start()
        await client.reserved(1)
        reborn = dispatch_client.Client(world, "i1", incarnation=901)
        reborn.reserve(1)
        ready = await reborn.wait_for(messages.SlotReady, timeout_s=0.1)
        assert ready.attempt == 1

    async def test_answer_for_a_past_incarnation_is_dropped(self):
        """Guards against an answer taken for that of a new attempt 1."""
        world, _, client = await _start(service_s=lambda rng: 0.05)
        ticket = await client.reserved(1)
        client.go(1, ticket)
        client.ask(1)
        await asyncio.sleep(0.01)
        view = world.kernels_by_id["i1"].plugin("membership").view
        view.put(view_lib.Member("client", "d1", "", 901, view_lib.LIVE))
        await asyncio.sleep(0.1)
        kernel = world.kernels_by_id["i1"]
        dropped = kernel.metrics.counted("dispatch_answers_dropped")
        # Only the ticket has been received.
        assert (len(client.received), dropped) == (1, 2)

    async def test_random_losses_and_copies_never_run_twice(self):
        """Guards against any order of copies that runs a ticket twice."""
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
    """The upstream's word decides what a submission may do next."""

    async def _check(self, state, **attributes):
        world, replica, client = await _start()
        for name, value in attributes.items():
            setattr(replica, name, value)
        client.go(1, await client.reserved(1), remaining_ms=200.0)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is state
        assert _dump(world)["running"] == 0

    async def test_shed(self):
        """Guards against "maybe run" for what certainly did not run."""
        await self._check(messages.SlotState.SHED, max_queue=0)

    async def test_draining(self):
        """Guards against "maybe run" from a replica that drains."""
        await self._check(messages.SlotState.SHED, draining=True)

    async def test_unsent(self):
        """Guards against "maybe run" when nothing was written."""
        await self._check(NOT_SENT, unreachable=True)

    async def test_failed(self):
        """Guards against a second run after an error of unknown cause."""
        await self._check(messages.SlotState.MAYBE_RUN, failing=True)

    async def test_frozen_upstream(self):
        """Guards against "not sent" when the upstream never answers."""
        await self._check(messages.SlotState.MAYBE_RUN, frozen=True)

    async def test_fault_of_the_client(self):
        """Guards against a slot lost by an exception of a protocol."""
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
