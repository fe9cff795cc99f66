"""Plug-in that runs non-idempotent requests at most once."""

import asyncio
import dataclasses
import secrets
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry
from mallowloft.submissions import forwarding
from mallowloft.submissions import handover
from mallowloft.submissions import issuing
from mallowloft.submissions import keys
from mallowloft.submissions import model
from mallowloft.submissions import stopping

_SECRET_BYTES = 32
# Of the grace period, this share but no more than the limit is kept for
# handing the final ledger over.
_HANDOVER_SHARE = 0.25
_HANDOVER_LIMIT_S = 3.0
_STOP_POLL_S = 0.01
_RECEIVED = (
    messages.SubmitOpen,
    messages.SubmitTicket,
    messages.SubmitGo,
    messages.SubmitOutcome,
    messages.SlotReady,
    messages.SlotOutcome,
    messages.LedgerHandover,
    messages.LedgerReceived,
    messages.LedgerHeld,
)


@registry.plugins.register("submissions")
class SubmissionService:
    """Issues idempotency keys and runs each at most once."""

    requires = ("peers", "configuration", "membership", "dispatch")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        ring = keys.KeyRing(
            settings.instance_id,
            settings.failure_domain,
            kernel.incarnation,
            secrets.token_bytes(_SECRET_BYTES),
        )
        holders = forwarding.Holders()
        self._issuer = issuing.Issuer(kernel, ring)
        self._forwarder = forwarding.Forwarder(kernel, holders)
        self._successors = stopping.Successors(kernel, holders)

    async def start(self) -> None:
        """Registers message handlers."""
        for kind in _RECEIVED:
            self._kernel.plugin("peers").on(kind, self._on_any)
        self._issuer.start()
        self._forwarder.start()
        self._successors.start()

    async def stop(self, grace_s: float) -> None:
        """Finishes what is in flight and hands the final ledger over."""
        clock = self._kernel.clock
        end_s = clock.now() + grace_s
        reserved_s = min(grace_s * _HANDOVER_SHARE, _HANDOVER_LIMIT_S)
        while clock.now() < end_s - reserved_s and (
            self._issuer.in_flight or self._forwarder.in_flight
        ):
            await asyncio.sleep(_STOP_POLL_S)
        self._issuer.close()
        await self._successors.hand_over(self._issuer.final_ledger(), end_s)

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of records by state."""
        return {
            **self._issuer.dump(),
            **self._forwarder.dump(),
            **self._successors.dump(),
        }

    def successor(self) -> str:
        """Returns who gets the final outcomes of this incarnation's keys."""
        return self._successors.successor()

    def issue(self, team: str, count: int) -> list[str]:
        """Returns new keys for a team.

        Returns:
            Fewer keys than asked for, possibly none, when the instance stops
            or the limit of live keys is reached.
        """
        return self._issuer.issue(team, count)

    async def submit(self, submission: model.Submission) -> model.Outcome:
        """Runs a submission, or returns the outcome it already has."""
        self._kernel.pauses.check()
        end_s = self._kernel.clock.now() + submission.deadline_ms / 1000
        if self._forwarder.just_paused():
            submission = dataclasses.replace(submission, first_send=False)
        outcome = await self._outcome(submission, end_s)
        name = type(outcome).__name__
        self._kernel.metrics.count("submissions", outcome=name)
        return outcome

    def _on_any(
        self, sender: peers_lib.Sender, message: messages.Message
    ) -> None:
        """Takes each received message as a sign of life."""
        del message
        membership = self._kernel.plugin("membership")
        membership.heard(sender.instance, sender.incarnation)

    async def _outcome(
        self, submission: model.Submission, end_s: float
    ) -> model.Outcome:
        checked = keys.parse(submission.key)
        if checked.is_err():
            return model.Mismatch(checked.unwrap_err(), 0.0)
        parsed = checked.unwrap()
        if parsed.key.team != submission.team:
            return model.Mismatch("the key belongs to another team", 0.0)
        own = (self._kernel.settings.instance_id, self._kernel.incarnation)
        if parsed.key.issuer == own:
            return await self._issuer.submit(submission, parsed, end_s)
        ledger = self._successors.final_ledger(parsed.key.issuer)
        if ledger is not None:
            return _final_outcome(ledger, submission, parsed)
        if self._kernel.stopping and submission.first_send:
            return model.NotRun("the instance is stopping", 0.0)
        return await self._forwarder.forward(submission, parsed.key, end_s)


def _final_outcome(
    ledger: handover.FinalLedger,
    submission: model.Submission,
    parsed: keys.ParsedKey,
) -> model.Outcome:
    answer = ledger.outcome(0, parsed, submission.digest)
    return forwarding.outcome(answer, False, submission.first_send)
