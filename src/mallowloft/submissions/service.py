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
# This share of the grace period, up to `_MAX_HANDOVER_S`, is reserved for the
# handover of the final ledger.
_HANDOVER_SHARE = 0.25
_MAX_HANDOVER_S = 3.0
_STOP_POLL_INTERVAL_S = 0.01
_RECEIVED_MESSAGES = (
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
    """Issues idempotency keys and runs each key's submission at most once."""

    requires = ("peers", "configuration", "membership", "dispatch")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        signer = keys.KeySigner(
            settings.instance_id,
            settings.failure_domain,
            kernel.incarnation,
            secrets.token_bytes(_SECRET_BYTES),
        )
        holders = forwarding.LedgerHolders()
        self._issuer = issuing.Issuer(kernel, signer)
        self._forwarder = forwarding.Forwarder(kernel, holders)
        self._handover_manager = stopping.HandoverManager(kernel, holders)

    async def start(self) -> None:
        """Registers message handlers."""
        for kind in _RECEIVED_MESSAGES:
            self._kernel.plugin("peers").add_handler(kind, self._record_sender)
        self._issuer.start()
        self._forwarder.start()
        self._handover_manager.start()

    async def stop(self, grace_s: float) -> None:
        """Waits for submissions in flight, then hands the final ledger over."""
        clock = self._kernel.clock
        end_s = clock.now() + grace_s
        handover_s = min(grace_s * _HANDOVER_SHARE, _MAX_HANDOVER_S)
        while clock.now() < end_s - handover_s and (
            self._issuer.in_flight or self._forwarder.in_flight
        ):
            await asyncio.sleep(_STOP_POLL_INTERVAL_S)
        self._issuer.close()
        await self._handover_manager.hand_over(
            self._issuer.final_ledger(), end_s
        )

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the state of the issuer, the forwarder and the handover."""
        return {
            **self._issuer.dump(),
            **self._forwarder.dump(),
            **self._handover_manager.dump(),
        }

    def successor(self) -> str:
        """Returns the successor for this instance's final ledger.

        This is the confirmed successor, else the preferred candidate, else "".
        """
        return self._handover_manager.successor()

    def issue(self, team: str, count: int) -> list[str]:
        """Returns new keys for a team.

        Returns:
            Keys; fewer than `count`, possibly none, when the limit of live
            keys or the team's share of it is reached; none when the instance
            is stopping.
        """
        return self._issuer.issue(team, count)

    async def submit(self, submission: model.Submission) -> model.Outcome:
        """Runs a submission, or returns the existing outcome of its key."""
        self._kernel.pause_detector.check()
        end_s = self._kernel.clock.now() + submission.deadline_ms / 1000
        if self._forwarder.recently_paused():
            # The request may have been queued during the pause, and the caller
            # may have sent another copy.
            submission = dataclasses.replace(submission, first_send=False)
        outcome = await self._outcome(submission, end_s)
        name = type(outcome).__name__
        self._kernel.metrics.count("submissions", outcome=name)
        return outcome

    def _record_sender(
        self, sender: peers_lib.Sender, message: messages.Message
    ) -> None:
        """Reports the sender of each of `_RECEIVED_MESSAGES` to membership."""
        del message
        membership = self._kernel.plugin("membership")
        membership.record_message(sender.instance, sender.incarnation)

    async def _outcome(
        self, submission: model.Submission, end_s: float
    ) -> model.Outcome:
        parse_result = keys.parse(submission.key)
        if parse_result.is_err():
            return model.Mismatch(parse_result.unwrap_err(), 0.0)
        parsed = parse_result.unwrap()
        if parsed.key.team != submission.team:
            return model.Mismatch("the key belongs to another team", 0.0)
        own = (self._kernel.settings.instance_id, self._kernel.incarnation)
        if parsed.key.issuer == own:
            return await self._issuer.submit(submission, parsed, end_s)
        ledger = self._handover_manager.final_ledger(parsed.key.issuer)
        if ledger is not None:
            return _final_outcome(ledger, submission, parsed)
        # Only a first send can be refused without asking the issuer.
        if self._kernel.stopping and submission.first_send:
            return model.NotRun("the instance is stopping", 0.0)
        return await self._forwarder.forward(submission, parsed.key, end_s)


def _final_outcome(
    ledger: handover.FinalLedger,
    submission: model.Submission,
    parsed: keys.ParsedKey,
) -> model.Outcome:
    answer = ledger.outcome(0, parsed, submission.digest)
    return forwarding.caller_outcome(answer, False, submission.first_send)
