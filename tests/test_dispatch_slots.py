"""Slots reserved for submissions; a ticket runs at most once."""

import asyncio
import random

from mallowloft import messages
from mallowloft.dispatch import reservations
from mallowloft.membership import view as view_lib
from tests.support import dispatch_client
from tests.support import virtual
from tests.support import world as world_lib

NOT_SENT = messages.SlotState.NOT_SENT


async def _start(**options):
    """Returns a world of one replica with 2 slots, and a client."""
    world = world_lib.World()
    options.setdefault("service_s", lambda rng: 0.003)
    world.publish_service("svc", {"r1": "d1"}, **options)
    await world.start({"i1": "d1"})
    return (
        world,
        world.replicas_by_id["r1"],
        dispatch_client.Client(world, "i1"),
    )


def _states(client, attempt=None):
    outcomes = client.of(messages.SlotOutcome, attempt)
    return [outcome.state for outcome in outcomes]


def _dump(world):
    return world.kernels_by_id["i1"].plugin("dispatch").dump()["replicas"]["r1"]


class TestTicket:
    """Exactly one `SlotGo` in time reaches the upstream."""

    async def test_go_in_time_runs_once(self):
        """Guards against a submission that is lost or sent twice."""
        _, replica, client = await _start()
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        client.go(1, ready.ticket)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is messages.SlotState.DONE
        assert outcome.reply == b'"x"'
        assert replica.count("submit_started") == 1

    async def test_late_go_is_not_sent(self):
        """Guards against a ticket that is used after its expiry."""
        _, replica, client = await _start()
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        await asyncio.sleep(reservations.TICKET_S + 0.001)
        client.go(1, ready.ticket)
        await asyncio.sleep(0.1)
        assert set(_states(client)) == {NOT_SENT}
        assert replica.count("submit_started") == 0

    async def test_expiry_answers_and_frees_the_slot(self):
        """Guards against a slot that a silent issuer holds for ever."""
        world, _, client = await _start()
        client.reserve(1, "r1")
        await client.wait_for(messages.SlotReady)
        held = _dump(world)["held"]
        outcome = await client.wait_for(messages.SlotOutcome)
        assert (held, outcome.state, _dump(world)["held"]) == (1, NOT_SENT, 0)

    async def test_unknown_go_is_not_sent(self):
        """Guards against running a body without a reservation."""
        _, replica, client = await _start()
        client.go(7, 12345)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is NOT_SENT
        assert replica.count("submit_started") == 0

    async def test_go_with_a_wrong_ticket_ends_the_reservation(self):
        """Guards against "not sent" for a reservation that runs later."""
        _, replica, client = await _start()
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        client.go(1, ready.ticket + 1)
        await client.wait_for(messages.SlotOutcome)
        client.go(1, ready.ticket)
        await asyncio.sleep(0.05)
        assert set(_states(client)) == {NOT_SENT}
        assert replica.count("submit_started") == 0

    async def test_duplicate_of_a_running_go_is_ignored(self):
        """Guards against "not sent" for a submission that is running."""
        _, replica, client = await _start(service_s=lambda rng: 0.1)
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        for _ in range(3):
            client.go(1, ready.ticket)
            await asyncio.sleep(0.01)
        early = _states(client)
        await client.wait_for(messages.SlotOutcome)
        await asyncio.sleep(0.1)
        assert early == []
        assert _states(client) == [messages.SlotState.DONE]
        assert replica.count("submit_started") == 1

    async def test_duplicate_of_an_ended_go_gets_the_true_outcome(self):
        """Guards against "not sent" after the submission has run."""
        _, replica, client = await _start()
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        client.go(1, ready.ticket)
        await client.wait_for(messages.SlotOutcome)
        client.go(1, ready.ticket)
        await asyncio.sleep(0.05)
        assert _states(client) == [messages.SlotState.DONE] * 2
        assert replica.count("submit_started") == 1

    def test_forgotten_ticket_is_answered_by_silence(self):
        """Guards against "not sent" when the record of a run is gone."""
        tickets = reservations.Reservations()
        key = reservations.Key("slot", "i", 1, 1)
        tickets.open(key, "r1", 0.0)
        ticket = tickets.hold(key, 0.0)
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
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        client.go(1, ready.ticket)
        await asyncio.sleep(0.0001)
        # The message is on its way when the whole process stops. It is
        # read before any timer, and too soon to count as a pause.
        asyncio.get_running_loop().advance(0.3)
        await asyncio.sleep(0.1)
        assert set(_states(client)) == {NOT_SENT}
        assert replica.count("submit_started") == 0
        assert _dump(world)["held"] == 0

    def test_use_is_allowed_once(self):
        """Guards against a ticket that a second copy could use."""
        tickets = reservations.Reservations()
        key = reservations.Key("slot", "i", 1, 1)
        tickets.open(key, "r1", 0.0)
        ticket = tickets.hold(key, 0.0)
        uses = [tickets.use(key, ticket, 0.1) for _ in range(2)]
        assert uses == [reservations.Use.RUN, reservations.Use.IGNORE]

    async def test_pause_voids_a_ticket_that_the_clock_would_allow(self):
        """Guards against a clock that stood still during the pause."""
        world, replica, client = await _start()
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        kernel = world.kernels_by_id["i1"]
        for listener in kernel.pauses._listeners:
            listener(1.0)
        client.go(1, ready.ticket)
        await asyncio.sleep(0.05)
        assert set(_states(client)) == {NOT_SENT}
        assert replica.count("submit_started") == 0

    async def test_go_past_its_deadline_is_not_sent(self):
        """Guards against running what the caller has given up."""
        world, replica, client = await _start()
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        client.go(1, ready.ticket, remaining_ms=0.0)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert outcome.state is NOT_SENT
        assert replica.count("submit_started") == 0
        assert _dump(world)["held"] == 0


class TestReservation:
    """A reservation waits in the queue and holds one slot at most."""

    async def test_waits_behind_running_queries(self):
        """Guards against a reservation that exceeds the slots."""
        world, _, client = await _start(service_s=lambda rng: 0.05)
        client.ask(1, "r1")
        client.ask(2, "r1")
        client.reserve(1, "r1")
        await asyncio.sleep(0.02)
        early = client.of(messages.SlotReady)
        await client.wait_for(messages.SlotReady)
        dump = _dump(world)
        assert early == []
        assert (dump["running"] + dump["held"]) <= 2

    async def test_duplicate_holds_one_slot(self):
        """Guards against a repeated message that takes both slots."""
        world, _, client = await _start()
        for _ in range(3):
            client.reserve(1, "r1")
            await asyncio.sleep(0.01)
        assert (_dump(world)["held"], len(client.of(messages.SlotReady))) == (
            1,
            1,
        )

    async def test_duplicate_after_the_end_holds_no_slot(self):
        """Guards against a late copy that blocks a slot for a ticket."""
        world, _, client = await _start()
        client.reserve(1, "r1")
        await client.wait_for(messages.SlotReady)
        client.release(1)
        await asyncio.sleep(0.01)
        client.reserve(1, "r1")
        await asyncio.sleep(0.01)
        assert _dump(world)["held"] == 0

    async def test_release_that_overtakes_the_reservation(self):
        """Guards against a slot held for an issuer that has gone on."""
        world, _, client = await _start()
        client.release(1)
        await asyncio.sleep(0.01)
        client.reserve(1, "r1")
        await asyncio.sleep(0.01)
        assert len(client.of(messages.SlotReady)) == 0

    async def test_release_frees_a_waiting_and_a_held_one(self):
        """Guards against slots that are lost by giving up early."""
        world, _, client = await _start()
        for attempt in range(1, 5):
            client.reserve(attempt, "r1")
        await client.wait_for(messages.SlotReady, 2)
        client.release(1)
        client.release(3)
        await client.wait_for(messages.SlotReady, 4, timeout_s=0.1)
        assert (_dump(world)["held"], _dump(world)["waiting"]) == (2, 0)

    async def test_reservations_of_two_incarnations_are_distinct(self):
        """Guards against a restarted issuer that is taken for its old self."""
        world, _, client = await _start()
        client.reserve(1, "r1")
        await client.wait_for(messages.SlotReady)
        reborn = dispatch_client.Client(world, "i1", incarnation=901)
        reborn.reserve(1, "r1")
        assert (
            await reborn.wait_for(messages.SlotReady, timeout_s=0.1)
        ).attempt == 1

    async def test_answer_for_a_past_incarnation_is_dropped(self):
        """Guards against an answer taken for that of a new attempt 1."""
        world, _, client = await _start(service_s=lambda rng: 0.05)
        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        client.go(1, ready.ticket)
        client.ask(1, "r1")
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
            client.reserve(attempt, "r1", remaining_ms=5000.0)
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
        runs = [
            event.request
            for event in replica.journal
            if event.kind == "submit_started"
        ]
        ran = {int(run.split(".")[2]) for run in runs}
        assert len(runs) == len(ran) > 20
        for outcome in client.of(messages.SlotOutcome):
            assert (outcome.attempt in ran) == (outcome.state is not NOT_SENT)


class TestOutcomes:
    """The upstream's word decides what a submission may do next."""

    def _outcome(self, **attributes):
        async def scenario():
            world, replica, client = await _start()
            for name, value in attributes.items():
                setattr(replica, name, value)
            client.reserve(1, "r1")
            ready = await client.wait_for(messages.SlotReady)
            client.go(1, ready.ticket, remaining_ms=200.0)
            outcome = await client.wait_for(messages.SlotOutcome)
            return outcome.state, _dump(world)["running"]

        return virtual.run(scenario())

    def test_shed(self):
        """Guards against "maybe run" for what certainly did not run."""
        assert self._outcome(max_queue=0) == (messages.SlotState.SHED, 0)

    def test_draining(self):
        """Guards against "maybe run" from a replica that drains."""
        assert self._outcome(draining=True) == (messages.SlotState.SHED, 0)

    def test_unsent(self):
        """Guards against "maybe run" when nothing was written."""
        assert self._outcome(unreachable=True) == (NOT_SENT, 0)

    def test_failed(self):
        """Guards against a second run after an error of unknown cause."""
        assert self._outcome(failing=True) == (messages.SlotState.MAYBE_RUN, 0)

    def test_frozen_upstream(self):
        """Guards against "not sent" when the upstream never answers."""
        assert self._outcome(frozen=True) == (messages.SlotState.MAYBE_RUN, 0)

    async def test_fault_of_the_client(self):
        """Guards against a slot lost by an exception of a protocol."""
        world, _, client = await _start()

        async def submit(call):
            raise KeyError("x")

        client.reserve(1, "r1")
        ready = await client.wait_for(messages.SlotReady)
        service = world.kernels_by_id["i1"].plugin("dispatch")
        dispatcher = service._dispatchers_by_replica["r1"]
        dispatcher._upstream.submit = submit
        client.go(1, ready.ticket)
        outcome = await client.wait_for(messages.SlotOutcome)
        assert (outcome.state, _dump(world)["running"]) == (
            messages.SlotState.MAYBE_RUN,
            0,
        )
