"""Handles submissions whose keys this instance issued.

A caller may send copies of a submission to any instances. The submission runs
at most once, and until its key expires, this instance answers all copies from
the same record.
"""

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
# Limits memory use. At the limit, the oldest ticket is invalidated before its
# lifetime ends.
MAX_TICKETS = 20_000

_TICKET_BITS = 62
_OTHER_SUBMISSION = "the key belongs to a different submission"
_NOT_ISSUED = "the key was not issued by the instance it names"
_EXPIRED = "the key has expired"
_STOPPING = "the instance is stopping"

# Instance, incarnation and exchange number of a copy that another instance
# forwarded.
_RemoteCopy = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Ticket:
    sequence: int
    copy: _RemoteCopy
    issued_s: float


class Tickets:
    """Single-use tickets that expire by the local clock.

    A ticket allows one copy to start the submission of a fresh key.
    """

    def __init__(self, first_number: int) -> None:
        self._numbers = itertools.count(first_number)
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

    def redeem(
        self, number: int, sequence: int, copy: _RemoteCopy, now_s: float
    ) -> float | None:
        """Invalidates a ticket and returns when it was issued.

        Returns:
            Issue time; None if the ticket is expired or unknown, or belongs
            to another key or copy.
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
    """Issues the keys of this incarnation and runs their submissions.

    No other instance or incarnation runs these submissions.
    """

    def __init__(
        self, kernel: lifecycle.Kernel, signer: keys.KeySigner
    ) -> None:
        self._kernel = kernel
        self._signer = signer
        self.ledger = ledger_lib.Ledger(kernel.settings.key_lifetime_s)
        # Ticket numbers start at a random value, so that tickets of an earlier
        # process with the same instance id match no ticket of this process.
        self._tickets = Tickets(kernel.rng.getrandbits(_TICKET_BITS))
        self._runner = running.Runner(kernel, self.ledger, self._on_final)
        self._remote_copies_by_sequence: dict[int, set[_RemoteCopy]] = {}
        self._futures_by_sequence: dict[int, asyncio.Future] = {}

    @property
    def in_flight(self) -> int:
        """Number of submissions that are running."""
        return self._runner.in_flight

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.add_handler(messages.SubmitOpen, self._on_open)
        peers.add_handler(messages.SubmitGo, self._on_go)
        self._runner.start()

    def close(self) -> None:
        """Closes the ledger and sends the outcomes to all waiting copies."""
        self._runner.stop()
        running_records = self.ledger.running()
        self.ledger.close()
        for record in running_records:
            self._on_final(record)

    def final_ledger(self) -> handover.FinalLedger:
        """Returns the ledger with all outcomes; requires `close`."""
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
        """Returns record counts by state and the state of the runner."""
        return {
            "records": self.ledger.count_by_state(),
            "closed": self.ledger.closed,
            **self._runner.dump(),
        }

    def issue(self, team: str, count: int) -> list[str]:
        """Returns new keys for a team.

        Returns:
            Keys; fewer than `count`, possibly none, when the limit of live
            keys or the team's share of it is reached; none when the instance
            is stopping.
        """
        if self._kernel.stopping:
            return []
        now_s = self._kernel.clock.now()
        return [
            self._signer.issue(team, sequence, now_s)
            for sequence in self.ledger.issue(team, count, now_s)
        ]

    async def submit(
        self,
        submission: model.Submission,
        parsed: keys.ParsedKey,
        end_s: float,
    ) -> model.Outcome:
        """Runs a submission whose key names this incarnation.

        Returns the existing outcome of the key if there is one.
        """
        margin_s = forwarding.answer_margin_s(submission.deadline_ms / 1000)
        call = running.UpstreamCall(
            request_id=submission.request_id,
            service=submission.service,
            shard=submission.shard,
            body=submission.body,
            rank=submission.rank,
            end_s=end_s - margin_s,
        )
        digest = submission.digest
        started, outcome = self._resolve_or_start(parsed, digest, call)
        if outcome is None:
            outcome = await self._wait_for_outcome(parsed.key.sequence, end_s)
        this_copy_ran = None if started else False
        # Without an outcome the submission may still be running, so it must not
        # be reported as not run.
        not_run_without_answer = submission.first_send and outcome is not None
        return forwarding.caller_outcome(
            outcome, this_copy_ran, not_run_without_answer
        )

    def _resolve_or_start(
        self,
        parsed: keys.ParsedKey,
        digest: bytes,
        call: running.UpstreamCall | None,
    ) -> tuple[bool, messages.SubmitOutcome | None]:
        """Returns the final outcome of a key or starts its submission.

        Records a fresh key as not run while the instance is stopping.

        Args:
            parsed: Key of the copy, not authenticated yet.
            digest: Digest of the submission.
            call: Call to run if the key is fresh; None to run nothing.

        Returns:
            Whether this copy started the submission, and the final outcome.
            The outcome is None if the submission is running, or if the key is
            fresh and `call` is None.
        """
        states = messages.SubmitState
        if not self._signer.is_authentic(parsed):
            return False, _make_outcome(states.MISMATCH, _NOT_ISSUED)
        now_s = self._kernel.clock.now()
        self.ledger.purge(now_s)
        status, record = self.ledger.look_up(parsed.key, digest, now_s)
        if status is ledger_lib.LookupStatus.MISMATCH:
            return False, _make_outcome(states.MISMATCH, _OTHER_SUBMISSION)
        if status is ledger_lib.LookupStatus.EXPIRED:
            return False, _make_outcome(states.EXPIRED, _EXPIRED)
        if status is ledger_lib.LookupStatus.FINAL:
            return False, _record_outcome(record)
        if status is ledger_lib.LookupStatus.RUNNING:
            return False, None
        if self.ledger.closed:
            return False, _make_outcome(states.NOT_RUN, _STOPPING)
        if self._kernel.stopping:
            record = self.ledger.void(parsed, digest, _STOPPING, now_s)
            return False, _record_outcome(record)
        if call is None:
            return False, None
        record = self.ledger.reserve(parsed, digest, now_s)
        self._runner.run(record, call)
        return True, None

    async def _wait_for_outcome(
        self, sequence: int, end_s: float
    ) -> messages.SubmitOutcome | None:
        """Returns the outcome of a running submission, None on a timeout."""
        outcome_future = self._futures_by_sequence.get(sequence)
        if outcome_future is None:
            outcome_future = asyncio.get_running_loop().create_future()
            self._futures_by_sequence[sequence] = outcome_future
        remaining_s = end_s - self._kernel.clock.now()
        try:
            return await asyncio.wait_for(
                asyncio.shield(outcome_future), remaining_s
            )
        except TimeoutError:
            return None

    def _on_final(self, record: ledger_lib.Record) -> None:
        """Sends the outcome to all waiting copies."""
        outcome = _record_outcome(record)
        outcome_future = self._futures_by_sequence.pop(record.sequence, None)
        if outcome_future is not None:
            outcome_future.set_result(outcome)
        for copy in self._remote_copies_by_sequence.pop(record.sequence, ()):
            self._send_outcome(copy, outcome)

    def _send_outcome(
        self, copy: _RemoteCopy, outcome: messages.SubmitOutcome
    ) -> None:
        instance, _, exchange = copy
        self._kernel.plugin("peers").send(
            instance, msgspec.structs.replace(outcome, exchange=exchange)
        )

    def _on_open(
        self, sender: peers_lib.Sender, message: messages.SubmitOpen
    ) -> None:
        self._kernel.pause_detector.check()
        copy = (sender.instance, sender.incarnation, message.exchange)
        parsed = self._parse_own_key(message.key, message.team)
        if parsed is not None:
            self._send_outcome_or_ticket(copy, parsed, message.digest)

    def _send_outcome_or_ticket(
        self, copy: _RemoteCopy, parsed: keys.ParsedKey, digest: bytes
    ) -> None:
        """Replies with the outcome if there is one.

        Replies with a ticket if the key is fresh, and with an answer that is
        not final if the submission is running.
        """
        _, outcome = self._resolve_or_start(parsed, digest, None)
        sequence = parsed.key.sequence
        if outcome is not None:
            self._send_outcome(copy, outcome)
        elif self.ledger.is_running(sequence):
            self._add_waiting_copy(copy, sequence)
        else:
            now_s = self._kernel.clock.now()
            ticket = self._tickets.issue(sequence, copy, now_s)
            instance, _, exchange = copy
            self._kernel.plugin("peers").send(
                instance, messages.SubmitTicket(exchange, ticket)
            )

    def _add_waiting_copy(self, copy: _RemoteCopy, sequence: int) -> None:
        """Adds a waiting copy and tells its sender that the submission runs."""
        copies = self._remote_copies_by_sequence.setdefault(sequence, set())
        copies.add(copy)
        running_outcome = _make_outcome(
            messages.SubmitState.UNKNOWN, "the submission is running"
        )
        running_outcome = msgspec.structs.replace(running_outcome, final=False)
        self._send_outcome(copy, running_outcome)

    def _on_go(
        self, sender: peers_lib.Sender, message: messages.SubmitGo
    ) -> None:
        self._kernel.pause_detector.check()
        copy = (sender.instance, sender.incarnation, message.exchange)
        parsed = self._parse_own_key(message.key, message.team)
        if parsed is None:
            return
        digest = model.digest(
            message.team, message.service, message.shard, message.body
        )
        now_s = self._kernel.clock.now()
        sequence = parsed.key.sequence
        issued_s = self._tickets.redeem(message.ticket, sequence, copy, now_s)
        if issued_s is None:
            # The ticket expired, was redeemed already or was invalidated at the
            # limit. If the key is still fresh, the sender gets a new ticket; it
            # sends `SubmitGo` again only if its deadline has not passed.
            self._send_outcome_or_ticket(copy, parsed, digest)
            return
        call = running.UpstreamCall(
            request_id=message.request,
            service=message.service,
            shard=message.shard,
            body=message.body,
            rank=message.rank,
            end_s=issued_s + message.remaining_ms / 1000,
        )
        _, outcome = self._resolve_or_start(parsed, digest, call)
        if outcome is not None:
            self._send_outcome(copy, outcome)
        else:
            self._add_waiting_copy(copy, sequence)

    def _parse_own_key(self, text: str, team: str) -> keys.ParsedKey | None:
        """Returns the key if it names this incarnation and the given team."""
        parse_result = keys.parse(text)
        if parse_result.is_err():
            return None
        key = parse_result.unwrap().key
        own = (self._kernel.settings.instance_id, self._kernel.incarnation)
        if key.issuer != own or key.team != team:
            return None
        return parse_result.unwrap()


def _make_outcome(
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
