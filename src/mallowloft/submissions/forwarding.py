"""Forwards submissions to the instance that issued their key."""

import asyncio
import itertools
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from mallowloft.membership import rendezvous
from mallowloft.submissions import handover
from mallowloft.submissions import keys
from mallowloft.submissions import model

# A message may be lost, so `SubmitOpen` is repeated; the pause doubles up to
# the limit.
OPEN_TRY_S = 0.1
MAX_OPEN_TRY_S = 0.8
# Timers fire slightly early; shorter waits would only repeat `SubmitOpen`.
MIN_WAIT_S = 0.001
# A declared first send gives up an issuer that is silent for this long: the
# caller gets "not run" early enough to try a new key of another issuer.
FIRST_SEND_OPEN_S = 0.5
# The issuer ends a run before the forwarder stops waiting, so that its answer
# arrives in time.
ANSWER_MARGIN_S = 0.02
MAX_ANSWER_MARGIN_SHARE = 0.1
# Instances that are asked for the final ledger of a silent issuer.
GUESSED_HOLDERS = 2
# Requests that are read this soon after a pause may have waited unread; their
# callers may have sent other copies meanwhile.
STALE_REQUEST_S = 1.0
# Bounds the memory of which instance holds which final ledger.
MAX_KNOWN_HOLDERS = 2000

RETRY_AFTER_MS = 100.0

_EXCHANGE_BITS = 62


def answer_margin_s(deadline_s: float) -> float:
    """Returns how long before the deadline an issuer gives up."""
    return min(ANSWER_MARGIN_S, deadline_s * MAX_ANSWER_MARGIN_SHARE)


class _Exchange:
    """One forwarded copy of a submission.

    Attributes:
        go_sent: Whether `SubmitGo` was handed to the transport.
        seen: Whether the issuer knows the key as running or settled, which
            contradicts the declaration of a first send.
    """

    def __init__(
        self,
        number: int,
        key: keys.Key,
        submission: model.Submission,
        end_s: float,
    ) -> None:
        self.number = number
        self.key = key
        self.submission = submission
        self.end_s = end_s
        self.tickets: set[int] = set()
        self.answered = False
        self.go_sent = False
        self.seen = False
        self.changed = asyncio.Event()
        self.outcome: messages.SubmitOutcome | None = None


class Holders:
    """Which instance holds the final ledger of an incarnation."""

    def __init__(self) -> None:
        self._holders_by_issuer: dict[handover.Issuer, str] = {}

    def put(self, issuer: handover.Issuer, holder: str) -> None:
        """Remembers a holder; the oldest are forgotten at the limit."""
        self._holders_by_issuer.pop(issuer, None)
        self._holders_by_issuer[issuer] = holder
        if len(self._holders_by_issuer) > MAX_KNOWN_HOLDERS:
            del self._holders_by_issuer[next(iter(self._holders_by_issuer))]

    def get(self, issuer: handover.Issuer) -> str:
        """Returns the holder, or "" if it is not known."""
        return self._holders_by_issuer.get(issuer, "")


class Forwarder:
    """Runs the two steps of `SubmitOpen` and `SubmitGo`.

    A copy that never sent `SubmitGo` did not run and will not run.
    """

    def __init__(self, kernel: lifecycle.Kernel, holders: Holders) -> None:
        self._kernel = kernel
        self._holders = holders
        # A random start keeps answers to an earlier process with the same
        # instance id from matching an exchange of this one.
        self._numbers = itertools.count(kernel.rng.getrandbits(_EXCHANGE_BITS))
        self._exchanges_by_number: dict[int, _Exchange] = {}
        self._paused_s = float("-inf")

    @property
    def in_flight(self) -> int:
        """Number of submissions that are being forwarded."""
        return len(self._exchanges_by_number)

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.SubmitTicket, self._on_ticket)
        peers.on(messages.SubmitOutcome, self._on_outcome)
        self._kernel.pauses.subscribe(self._on_pause)

    def just_paused(self) -> bool:
        """Whether requests that are read now may have waited in a pause."""
        now_s = self._kernel.clock.now()
        return now_s - self._paused_s <= STALE_REQUEST_S

    async def forward(
        self, submission: model.Submission, key: keys.Key, end_s: float
    ) -> model.Outcome:
        """Returns the outcome that the issuer or its successor gives."""
        exchange = _Exchange(next(self._numbers), key, submission, end_s)
        self._exchanges_by_number[exchange.number] = exchange
        started_s = self._kernel.clock.now()
        try:
            await self._ask(exchange, started_s)
        finally:
            del self._exchanges_by_number[exchange.number]
        return self._result(exchange, started_s)

    def dump(self) -> dict[str, Any]:
        """Returns the number of exchanges."""
        return {"exchanges": len(self._exchanges_by_number)}

    async def _ask(self, exchange: _Exchange, started_s: float) -> None:
        try_s = OPEN_TRY_S
        tries = 0
        while exchange.outcome is None:
            now_s = self._kernel.clock.now()
            end_s = exchange.end_s
            if exchange.submission.first_send and not exchange.answered:
                end_s = min(end_s, started_s + FIRST_SEND_OPEN_S)
            if now_s >= end_s:
                return
            self._open(exchange, tries)
            tries += 1
            wait_s = max(MIN_WAIT_S, min(try_s, end_s - now_s))
            await self._wait(exchange, wait_s)
            try_s = min(try_s * 2, MAX_OPEN_TRY_S)

    async def _wait(self, exchange: _Exchange, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await exchange.changed.wait()
        except TimeoutError:
            pass

    def _open(self, exchange: _Exchange, tries: int) -> None:
        message = messages.SubmitOpen(
            exchange=exchange.number,
            key=exchange.submission.key,
            team=exchange.submission.team,
            digest=exchange.submission.digest,
        )
        self._kernel.plugin("membership").expect(exchange.key.instance)
        for instance in self._targets(exchange.key, tries):
            self._kernel.plugin("peers").send(instance, message)

    def _targets(self, key: keys.Key, tries: int) -> list[str]:
        """Returns the issuer and those that may hold its final ledger."""
        targets = [key.instance]
        holder = self._holders.get(key.issuer)
        if holder:
            targets.append(holder)
        if tries > 0:
            members = self._kernel.plugin("membership").view
            candidates = members.live(key.failure_domain) or members.live()
            ranked = rendezvous.ranked(candidates, successor_key(key.issuer))
            targets += ranked[:GUESSED_HOLDERS]
        own = self._kernel.settings.instance_id
        return [name for name in dict.fromkeys(targets) if name != own]

    def _on_pause(self, gap_s: float) -> None:
        """Withdraws trust in first sends that began before a pause.

        A caller that got no answer for the length of the pause may have sent
        another copy.
        """
        del gap_s
        self._paused_s = self._kernel.clock.now()

    def _on_ticket(
        self, sender: peers_lib.Sender, message: messages.SubmitTicket
    ) -> None:
        self._kernel.pauses.check()
        exchange = self._exchanges_by_number.get(message.exchange)
        if exchange is None or exchange.outcome is not None:
            return
        if (sender.instance, sender.incarnation) != exchange.key.issuer:
            return
        exchange.answered = True
        remaining_s = exchange.end_s - self._kernel.clock.now()
        if remaining_s <= 0 or message.ticket in exchange.tickets:
            return
        exchange.tickets.add(message.ticket)
        submission = exchange.submission
        margin_s = answer_margin_s(submission.deadline_ms / 1000)
        sent = self._kernel.plugin("peers").send(
            sender.instance,
            messages.SubmitGo(
                exchange=exchange.number,
                ticket=message.ticket,
                key=submission.key,
                request=submission.request,
                team=submission.team,
                service=submission.service,
                shard=submission.shard,
                body=submission.body,
                rank=submission.rank,
                remaining_ms=(remaining_s - margin_s) * 1000,
            ),
        )
        exchange.go_sent = exchange.go_sent or sent

    def _on_outcome(
        self, sender: peers_lib.Sender, message: messages.SubmitOutcome
    ) -> None:
        del sender
        self._kernel.pauses.check()
        exchange = self._exchanges_by_number.get(message.exchange)
        if exchange is None or exchange.outcome is not None:
            return
        exchange.answered = True
        if not message.final:
            exchange.seen = True
            return
        exchange.outcome = message
        exchange.changed.set()

    def _result(self, exchange: _Exchange, started_s: float) -> model.Outcome:
        this_copy_ran = None if exchange.go_sent else False
        certain = (
            exchange.submission.first_send
            and not exchange.go_sent
            and not exchange.seen
            and self._paused_s < started_s
        )
        return outcome(exchange.outcome, this_copy_ran, certain)


def successor_key(issuer: handover.Issuer) -> str:
    """Returns what the successors of an incarnation are ranked by."""
    return f"ledger/{issuer[0]}/{issuer[1]}"


def outcome(
    answer: messages.SubmitOutcome | None,
    this_copy_ran: bool | None,
    certain: bool,
) -> model.Outcome:
    """Returns what the caller gets.

    Args:
        answer: Final answer of the issuer or its successor, None if there is
            none.
        this_copy_ran: What is known of this copy if the answer is unknown.
        certain: Whether this copy is the only one and was never handed over.
    """
    if answer is None:
        reason = "no outcome before the deadline; ask again with the same key"
        if certain:
            return model.NotRun("the issuer of the key is not reachable", 0.0)
        return model.Unknown(reason, this_copy_ran, RETRY_AFTER_MS)
    states = messages.SubmitState
    if answer.state is states.DONE:
        return model.Done(answer.reply)
    if answer.state is states.NOT_RUN:
        return model.NotRun(answer.reason, answer.retry_after_ms)
    if answer.state is states.MISMATCH:
        return model.Mismatch(answer.reason, 0.0)
    if answer.state is states.EXPIRED and certain:
        return model.NotRun(answer.reason, 0.0)
    return model.Unknown(answer.reason, this_copy_ran, answer.retry_after_ms)
