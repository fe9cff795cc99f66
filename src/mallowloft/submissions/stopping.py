"""Hands final ledgers to a successor and keeps those of others."""

import asyncio
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.membership import rendezvous
from mallowloft.submissions import forwarding
from mallowloft.submissions import handover
from mallowloft.submissions import keys

_log = logs.get("submissions")

# A candidate that does not confirm within this time is sent everything
# again; after `HANDOVER_TRIES` the next candidate is tried.
HANDOVER_TRY_S = 0.25
HANDOVER_TRIES = 3
# Bounds the time of a stop during which nobody can be reached.
MAX_CANDIDATES = 5
# A leaving instance is no successor for this long, which exceeds a stop's
# grace period; later its id may belong to a new process.
LEAVING_S = 60.0


class Successors:
    """Both sides of the handover of final ledgers."""

    def __init__(
        self, kernel: lifecycle.Kernel, holders: forwarding.Holders
    ) -> None:
        self._kernel = kernel
        self._holders = holders
        self._held = handover.HeldLedgers()
        self._leaving_since_s: dict[str, float] = {}
        self._announced: set[str] = set()
        self._answers: dict[tuple[str, handover.Issuer], bool] = {}
        self._answered = asyncio.Event()
        self._confirmed = ""

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.LedgerHandover, self._on_handover)
        peers.on(messages.LedgerReceived, self._on_received)
        peers.on(messages.LedgerHeld, self._on_held)
        peers.on(messages.Leaving, self._on_leaving)
        peers.on(messages.SubmitOpen, self._on_open)
        self._kernel.plugin("membership").view.subscribe(self._announce_new)

    def dump(self) -> dict[str, Any]:
        """Returns whose final ledgers are held here."""
        now_s = self._kernel.clock.now()
        return {
            "held_ledgers": [
                f"{instance}/{incarnation}"
                for instance, incarnation in (
                    ledger.issuer for ledger in self._held.complete(now_s)
                )
            ],
            "successor": self.successor(),
        }

    def successor(self) -> str:
        """Returns who holds, or probably will hold, the own final ledger."""
        if self._confirmed:
            return self._confirmed
        return next(iter(self._candidates()), "")

    def final_ledger(
        self, issuer: handover.Issuer
    ) -> handover.FinalLedger | None:
        """Returns the final ledger of an incarnation if it is held here."""
        return self._held.get(issuer, self._kernel.clock.now())

    async def hand_over(self, own: handover.FinalLedger, end_s: float) -> bool:
        """Hands the own final ledger and the held ones to one successor."""
        now_s = self._kernel.clock.now()
        ledgers = [own, *self._held.complete(now_s)]
        for candidate in self._candidates()[:MAX_CANDIDATES]:
            for _ in range(HANDOVER_TRIES):
                if self._kernel.clock.now() >= end_s:
                    break
                accepted = await self._offer(candidate, ledgers, end_s)
                if accepted:
                    self._confirmed = candidate
                    _log.info("ledger_handed_over", successor=candidate)
                    return True
                if accepted is False:
                    break
        entries = sum(len(ledger.entries_by_key) for ledger in ledgers)
        if entries:
            _log.warning("ledgers_lost", outcomes=entries)
        return False

    def _candidates(self) -> list[str]:
        """Returns possible successors, the preferred one first."""
        settings = self._kernel.settings
        view = self._kernel.plugin("membership").view
        now_s = self._kernel.clock.now()
        excluded = {
            instance
            for instance, since_s in self._leaving_since_s.items()
            if now_s - since_s < LEAVING_S
        }
        excluded.add(settings.instance_id)
        near = set(view.live(settings.failure_domain)) - excluded
        far = set(view.live()) - excluded - near
        key = forwarding.successor_key(
            (settings.instance_id, self._kernel.incarnation)
        )
        return rendezvous.ranked(near, key) + rendezvous.ranked(far, key)

    async def _offer(
        self,
        candidate: str,
        ledgers: list[handover.FinalLedger],
        end_s: float,
    ) -> bool | None:
        """Sends what is not confirmed; None if no answer came in time."""
        peers = self._kernel.plugin("peers")
        for ledger in ledgers:
            if self._answers.get((candidate, ledger.issuer)):
                continue
            for message in ledger.parts(self._kernel.clock.now()):
                peers.send(candidate, message)
                # One part for each loop turn, so that parts do not share a
                # frame.
                await asyncio.sleep(0)
        now_s = self._kernel.clock.now()
        until_s = min(end_s, now_s + HANDOVER_TRY_S)
        while now_s < until_s:
            answers = [
                self._answers.get((candidate, ledger.issuer))
                for ledger in ledgers
            ]
            if False in answers or all(answers):
                return all(answers)
            self._answered.clear()
            try:
                async with asyncio.timeout(until_s - now_s):
                    await self._answered.wait()
            except TimeoutError:
                return None
            now_s = self._kernel.clock.now()
        return None

    def _on_handover(
        self, sender: peers_lib.Sender, message: messages.LedgerHandover
    ) -> None:
        issuer = (message.instance, message.incarnation)
        known = self.final_ledger(issuer) is not None
        complete: bool | None = False
        if not self._kernel.stopping:
            complete = self._held.add(
                (sender.instance, sender.incarnation),
                message,
                self._kernel.clock.now(),
            )
        if complete is None:
            return
        if complete and not known:
            self._announce([issuer], self._others())
        self._kernel.plugin("peers").send(
            sender.instance,
            messages.LedgerReceived(
                message.instance, message.incarnation, complete
            ),
        )

    def _on_received(
        self, sender: peers_lib.Sender, message: messages.LedgerReceived
    ) -> None:
        issuer = (message.instance, message.incarnation)
        self._answers[sender.instance, issuer] = message.accepted
        self._answered.set()

    def _on_held(
        self, sender: peers_lib.Sender, message: messages.LedgerHeld
    ) -> None:
        issuer = (message.instance, message.incarnation)
        self._holders.put(issuer, sender.instance)

    def _on_leaving(
        self, sender: peers_lib.Sender, message: messages.Leaving
    ) -> None:
        self._leaving_since_s[sender.instance] = self._kernel.clock.now()
        issuer = (sender.instance, sender.incarnation)
        if message.ledger_successor:
            self._holders.put(issuer, message.ledger_successor)

    def _others(self) -> set[str]:
        view = self._kernel.plugin("membership").view
        return set(view.live()) - {self._kernel.settings.instance_id}

    def _announce(
        self, issuers: list[handover.Issuer], instances: set[str]
    ) -> None:
        for instance in sorted(instances):
            for issuer in issuers:
                self._kernel.plugin("peers").send(
                    instance, messages.LedgerHeld(*issuer)
                )

    def _announce_new(self) -> None:
        """Tells new members which ledgers are held here."""
        others = self._others()
        complete = self._held.complete(self._kernel.clock.now())
        issuers = [ledger.issuer for ledger in complete]
        self._announce(issuers, others - self._announced)
        self._announced = others

    def _on_open(
        self, sender: peers_lib.Sender, message: messages.SubmitOpen
    ) -> None:
        """Answers for a stopped issuer whose final ledger is held here."""
        parsed = keys.parse(message.key)
        if parsed.is_err() or parsed.unwrap().key.team != message.team:
            return
        key = parsed.unwrap().key
        ledger = self.final_ledger(key.issuer)
        if ledger is None:
            return
        answer = ledger.outcome(
            message.exchange, parsed.unwrap(), message.digest
        )
        self._kernel.plugin("peers").send(sender.instance, answer)
