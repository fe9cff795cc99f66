"""Answers the copies of submissions whose keys this instance issued."""

import asyncio
import collections
import dataclasses
import itertools
from typing import Any

import msgspec

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from mallowloft.submissions import forwarding
from mallowloft.submissions import handover
from mallowloft.submissions import keys
from mallowloft.submissions import ledger as ledger_lib
from mallowloft.submissions import model
from mallowloft.submissions import running

TICKET_LIFETIME_S = 2.0
# Bounds the memory of tickets; beyond it the oldest becomes useless early.
MAX_TICKETS = 20_000

_TICKET_BITS = 62
_MISMATCH = "the key belongs to a different submission"
_NOT_ISSUED = "the key was not issued by the instance it names"
_EXPIRED = "the key has expired"
_STOPPING = "the instance is stopping"

# Instance, incarnation and exchange of a copy that waits elsewhere.
_RemoteCopy = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Ticket:
    sequence: int
    copy: _RemoteCopy
    issued_s: float


class Tickets:
    """Single-use tickets that expire on the local clock."""

    def __init__(self, first: int) -> None:
        self._numbers = itertools.count(first)
        self._tickets_by_number: collections.OrderedDict[int, _Ticket]
        self._tickets_by_number = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._tickets_by_number)

    def issue(self, sequence: int, copy: _RemoteCopy, now_s: float) -> int:
        """Returns the number of a new ticket."""
        self._purge(now_s)
        number = next(self._numbers)
        self._tickets_by_number[number] = _Ticket(sequence, copy, now_s)
        return number

    def use(
        self, number: int, sequence: int, copy: _RemoteCopy, now_s: float
    ) -> float | None:
        """Uses a ticket up.

        Returns:
            When it was issued; None if it is not valid for this copy.
        """
        ticket = self._tickets_by_number.get(number)
        if ticket is None or (ticket.sequence, ticket.copy) != (sequence, copy):
            return None
        del self._tickets_by_number[number]
        if now_s - ticket.issued_s >= TICKET_LIFETIME_S:
            return None
        return ticket.issued_s

    def _purge(self, now_s: float) -> None:
        while self._tickets_by_number:
            oldest = next(iter(self._tickets_by_number.values()))
            if (
                now_s - oldest.issued_s < TICKET_LIFETIME_S
                and len(self._tickets_by_number) < MAX_TICKETS
            ):
                return
            self._tickets_by_number.popitem(last=False)


class Issuer:
    """The only place where keys of this incarnation are run."""

    def __init__(self, kernel: lifecycle.Kernel, ring: keys.KeyRing) -> None:
        self._kernel = kernel
        self._ring = ring
        self.ledger = ledger_lib.Ledger(kernel.settings.key_lifetime_s)
        self._tickets = Tickets(kernel.rng.getrandbits(_TICKET_BITS))
        self._runner = running.Runner(kernel, self.ledger, self._on_final)
        self._remote_by_sequence: dict[int, set[_RemoteCopy]] = {}
        self._local_by_sequence: dict[int, asyncio.Future] = {}

    @property
    def in_flight(self) -> int:
        """Number of submissions that are running."""
        return self._runner.in_flight

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.SubmitOpen, self._on_open)
        peers.on(messages.SubmitGo, self._on_go)
        self._runner.start()

    def close(self) -> None:
        """Ends the incarnation and tells everyone who waits."""
        self._runner.stop()
        running_records = self.ledger.running()
        self.ledger.close()
        for record in running_records:
            self._on_final(record)

    def final_ledger(self) -> handover.FinalLedger:
        """Returns all outcomes after the incarnation was closed."""
        now_s = self._kernel.clock.now()
        self.ledger.purge(now_s)
        settings = self._kernel.settings
        return handover.FinalLedger(
            (settings.instance_id, self._kernel.incarnation),
            self.ledger.first_sequence,
            now_s + settings.key_lifetime_s,
            {entry.key: entry for entry in self.ledger.entries()},
        )

    def dump(self) -> dict[str, Any]:
        """Returns records by state and running submissions."""
        return {
            "records": self.ledger.count_by_state(),
            "closed": self.ledger.closed,
            **self._runner.dump(),
        }

    def issue(self, team: str, count: int) -> list[str]:
        """Returns new keys; fewer than asked for at the limit."""
        if self._kernel.stopping:
            return []
        now_s = self._kernel.clock.now()
        return [
            self._ring.issue(team, sequence, now_s)
            for sequence in self.ledger.issue(team, count, now_s)
        ]

    async def submit(
        self,
        submission: model.Submission,
        parsed: keys.ParsedKey,
        end_s: float,
    ) -> model.Outcome:
        """Runs a submission whose key this incarnation issued."""
        margin_s = forwarding.answer_margin_s(submission.deadline_ms / 1000)
        work = running.Work(
            request=submission.request,
            service=submission.service,
            shard=submission.shard,
            body=submission.body,
            rank=submission.rank,
            end_s=end_s - margin_s,
        )
        digest = submission.digest
        ran, answer = self._advance(parsed, digest, work)
        if answer is None:
            answer = await self._wait(parsed.key.sequence, end_s)
        this_copy_ran = None if ran else False
        certain = submission.first_send and answer is not None
        return forwarding.outcome(answer, this_copy_ran, certain)

    def _advance(
        self,
        parsed: keys.ParsedKey,
        digest: bytes,
        work: running.Work | None,
    ) -> tuple[bool, messages.SubmitOutcome | None]:
        """Takes a copy as far as it goes now.

        Args:
            parsed: Its key, not authenticated yet.
            digest: Digest of the submission.
            work: What to run if the key is fresh; None to run nothing.

        Returns:
            Whether this copy began to run, and the final outcome if there is
            one. Neither, if the key is fresh and there is no work.
        """
        states = messages.SubmitState
        if not self._ring.issued(parsed):
            return False, _outcome(states.MISMATCH, _NOT_ISSUED)
        now_s = self._kernel.clock.now()
        self.ledger.purge(now_s)
        verdict, record = self.ledger.find(parsed.key, digest, now_s)
        if verdict is ledger_lib.Verdict.MISMATCH:
            return False, _outcome(states.MISMATCH, _MISMATCH)
        if verdict is ledger_lib.Verdict.EXPIRED:
            return False, _outcome(states.EXPIRED, _EXPIRED)
        if verdict is ledger_lib.Verdict.FINAL:
            return False, _record_outcome(record)
        if verdict is ledger_lib.Verdict.RUNNING:
            return False, None
        if self.ledger.closed:
            return False, _outcome(states.NOT_RUN, _STOPPING)
        if self._kernel.stopping:
            record = self.ledger.void(parsed, digest, _STOPPING, now_s)
            return False, _record_outcome(record)
        if work is None:
            return False, None
        record = self.ledger.reserve(parsed, digest, now_s)
        self._runner.run(record, work)
        return True, None

    async def _wait(
        self, sequence: int, end_s: float
    ) -> messages.SubmitOutcome | None:
        """Returns the outcome of a running submission, None if too late."""
        future = self._local_by_sequence.get(sequence)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._local_by_sequence[sequence] = future
        remaining_s = end_s - self._kernel.clock.now()
        try:
            return await asyncio.wait_for(asyncio.shield(future), remaining_s)
        except TimeoutError:
            return None

    def _on_final(self, record: ledger_lib.Record) -> None:
        """Tells all waiting copies the outcome."""
        answer = _record_outcome(record)
        future = self._local_by_sequence.pop(record.sequence, None)
        if future is not None:
            future.set_result(answer)
        for copy in self._remote_by_sequence.pop(record.sequence, ()):
            self._answer(copy, answer)

    def _answer(
        self, copy: _RemoteCopy, answer: messages.SubmitOutcome
    ) -> None:
        instance, _, exchange = copy
        self._kernel.plugin("peers").send(
            instance, msgspec.structs.replace(answer, exchange=exchange)
        )

    def _on_open(
        self, sender: peers_lib.Sender, message: messages.SubmitOpen
    ) -> None:
        self._kernel.pauses.check()
        copy = (sender.instance, sender.incarnation, message.exchange)
        parsed = self._own_key(message.key, message.team)
        if parsed is not None:
            self._admit(copy, parsed, message.digest)

    def _admit(
        self, copy: _RemoteCopy, parsed: keys.ParsedKey, digest: bytes
    ) -> None:
        """Answers with the outcome, or a ticket if the key is fresh."""
        _, answer = self._advance(parsed, digest, None)
        sequence = parsed.key.sequence
        if answer is not None:
            self._answer(copy, answer)
        elif self.ledger.is_running(sequence):
            self._await_final(copy, sequence)
        else:
            now_s = self._kernel.clock.now()
            ticket = self._tickets.issue(sequence, copy, now_s)
            instance, _, exchange = copy
            self._kernel.plugin("peers").send(
                instance, messages.SubmitTicket(exchange, ticket)
            )

    def _await_final(self, copy: _RemoteCopy, sequence: int) -> None:
        copies = self._remote_by_sequence.setdefault(sequence, set())
        copies.add(copy)
        pending = _outcome(messages.SubmitState.UNKNOWN, "it is running")
        pending = msgspec.structs.replace(pending, final=False)
        self._answer(copy, pending)

    def _on_go(
        self, sender: peers_lib.Sender, message: messages.SubmitGo
    ) -> None:
        self._kernel.pauses.check()
        copy = (sender.instance, sender.incarnation, message.exchange)
        parsed = self._own_key(message.key, message.team)
        if parsed is None:
            return
        digest = model.digest(
            message.team, message.service, message.shard, message.body
        )
        now_s = self._kernel.clock.now()
        sequence = parsed.key.sequence
        issued_s = self._tickets.use(message.ticket, sequence, copy, now_s)
        if issued_s is None:
            # Too late or repeated: a new ticket lets the sender decide again.
            self._admit(copy, parsed, digest)
            return
        work = running.Work(
            request=message.request,
            service=message.service,
            shard=message.shard,
            body=message.body,
            rank=message.rank,
            end_s=issued_s + message.remaining_ms / 1000,
        )
        _, answer = self._advance(parsed, digest, work)
        if answer is not None:
            self._answer(copy, answer)
        else:
            self._await_final(copy, sequence)

    def _own_key(self, text: str, team: str) -> keys.ParsedKey | None:
        """Returns the key if it names this incarnation and the team."""
        parsed = keys.parse(text)
        if parsed.is_err():
            return None
        key = parsed.unwrap().key
        own = (self._kernel.settings.instance_id, self._kernel.incarnation)
        if key.issuer != own or key.team != team:
            return None
        return parsed.unwrap()


def _outcome(
    state: messages.SubmitState, reason: str
) -> messages.SubmitOutcome:
    return messages.SubmitOutcome(
        exchange=0,
        state=state,
        reason=reason,
        reply=b"",
        final=True,
        retry_after_ms=running.RETRY_AFTER_MS,
    )


def _record_outcome(record: ledger_lib.Record) -> messages.SubmitOutcome:
    entry = record.entry()
    return messages.SubmitOutcome(
        exchange=0,
        state=entry.state,
        reason=entry.reason,
        reply=entry.reply,
        final=True,
        retry_after_ms=record.retry_after_ms,
    )
