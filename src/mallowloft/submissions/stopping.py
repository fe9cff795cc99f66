"""Handover of final ledgers to a successor when an instance stops."""

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

_log = logs.get_logger("submissions")

# If a candidate does not confirm all ledgers within this time, the unconfirmed
# ones are resent. After `MAX_HANDOVER_TRIES` the next candidate is tried.
HANDOVER_RETRY_S = 0.25
MAX_HANDOVER_TRIES = 3
# Limits how long a stop takes when no candidate can be reached.
MAX_HANDOVER_CANDIDATES = 5
# An instance that announced its stop is excluded as a successor for this long.
# The time exceeds the grace period of a stop. After the grace period, the
# instance id may belong to a new process.
LEAVING_EXCLUSION_S = 60.0


class HandoverManager:
    """Hands over this instance's final ledger and the held ones.

    It also receives and holds the final ledgers of other instances.
    """

    def __init__(
        self, kernel: lifecycle.Kernel, holders: forwarding.LedgerHolders
    ) -> None:
        self._kernel = kernel
        self._holders = holders
        self._held = handover.HeldLedgers()
        self._leaving_since_s: dict[str, float] = {}
        self._announced_to: set[str] = set()
        self._acks: dict[tuple[str, handover.IncarnationId], bool] = {}
        self._ack_received = asyncio.Event()
        self._confirmed_successor = ""

    def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.add_handler(messages.LedgerHandover, self._on_ledger_handover)
        peers.add_handler(messages.LedgerReceived, self._on_ledger_received)
        peers.add_handler(messages.LedgerHeld, self._on_ledger_held)
        peers.add_handler(messages.Leaving, self._on_leaving)
        peers.add_handler(messages.SubmitOpen, self._on_open)
        self._kernel.plugin("membership").view.subscribe(
            self._announce_to_new_members
        )

    def dump(self) -> dict[str, Any]:
        """Returns the issuers of the held final ledgers, and the successor."""
        now_s = self._kernel.clock.now()
        return {
            "held_ledgers": [
                f"{instance}/{incarnation}"
                for instance, incarnation in (
                    ledger.issuer
                    for ledger in self._held.complete_ledgers(now_s)
                )
            ],
            "successor": self.successor(),
        }

    def successor(self) -> str:
        """Returns the successor for this instance's final ledger.

        This is the confirmed successor, else the preferred candidate, else "".
        """
        if self._confirmed_successor:
            return self._confirmed_successor
        return next(iter(self._candidates()), "")

    def final_ledger(
        self, issuer: handover.IncarnationId
    ) -> handover.FinalLedger | None:
        """Returns the held final ledger of an incarnation, None if not held."""
        return self._held.get(issuer, self._kernel.clock.now())

    async def hand_over(self, own: handover.FinalLedger, end_s: float) -> bool:
        """Hands this instance's ledger and the held ones to one successor.

        Args:
            own: Final ledger of this instance.
            end_s: Deadline for the handover.

        Returns:
            Whether a successor confirmed all ledgers.
        """
        now_s = self._kernel.clock.now()
        ledgers = [own, *self._held.complete_ledgers(now_s)]
        for candidate in self._candidates()[:MAX_HANDOVER_CANDIDATES]:
            for _ in range(MAX_HANDOVER_TRIES):
                if self._kernel.clock.now() >= end_s:
                    break
                accepted = await self._send_ledgers(candidate, ledgers, end_s)
                if accepted:
                    self._confirmed_successor = candidate
                    _log.info("ledger_handed_over", successor=candidate)
                    return True
                if accepted is False:
                    break
        entries = sum(len(ledger.entries_by_key) for ledger in ledgers)
        if entries:
            _log.warning("ledgers_lost", outcomes=entries)
        return False

    def _candidates(self) -> list[str]:
        """Returns possible successors, the preferred one first.

        Instances of the same failure domain precede all others.
        """
        settings = self._kernel.settings
        view = self._kernel.plugin("membership").view
        now_s = self._kernel.clock.now()
        excluded = {
            instance
            for instance, since_s in self._leaving_since_s.items()
            if now_s - since_s < LEAVING_EXCLUSION_S
        }
        excluded.add(settings.instance_id)
        same_domain = set(view.live(settings.failure_domain)) - excluded
        other_domains = set(view.live()) - excluded - same_domain
        key = forwarding.successor_rank_key(
            (settings.instance_id, self._kernel.incarnation)
        )
        return rendezvous.ranked(same_domain, key) + rendezvous.ranked(
            other_domains, key
        )

    async def _send_ledgers(
        self,
        candidate: str,
        ledgers: list[handover.FinalLedger],
        end_s: float,
    ) -> bool | None:
        """Sends the ledgers that the candidate has not confirmed yet.

        Returns:
            True if all ledgers are confirmed, False if one was refused, None
            on a timeout.
        """
        peers = self._kernel.plugin("peers")
        for ledger in ledgers:
            if self._acks.get((candidate, ledger.issuer)):
                continue
            for message in ledger.parts(self._kernel.clock.now()):
                peers.send(candidate, message)
                # Yield to the event loop after each part, so that parts are
                # not batched into one frame.
                await asyncio.sleep(0)
        now_s = self._kernel.clock.now()
        retry_at_s = min(end_s, now_s + HANDOVER_RETRY_S)
        while now_s < retry_at_s:
            acks = [
                self._acks.get((candidate, ledger.issuer)) for ledger in ledgers
            ]
            if False in acks or all(acks):
                return all(acks)
            self._ack_received.clear()
            try:
                async with asyncio.timeout(retry_at_s - now_s):
                    await self._ack_received.wait()
            except TimeoutError:
                return None
            now_s = self._kernel.clock.now()
        return None

    def _on_ledger_handover(
        self, sender: peers_lib.Sender, message: messages.LedgerHandover
    ) -> None:
        issuer = (message.instance, message.incarnation)
        already_held = self.final_ledger(issuer) is not None
        accepted: bool | None = False
        if not self._kernel.stopping:
            accepted = self._held.add(
                (sender.instance, sender.incarnation),
                message,
                self._kernel.clock.now(),
            )
        if accepted is None:
            return
        if accepted and not already_held:
            self._announce([issuer], self._other_live_members())
        self._kernel.plugin("peers").send(
            sender.instance,
            messages.LedgerReceived(
                message.instance, message.incarnation, accepted
            ),
        )

    def _on_ledger_received(
        self, sender: peers_lib.Sender, message: messages.LedgerReceived
    ) -> None:
        issuer = (message.instance, message.incarnation)
        self._acks[sender.instance, issuer] = message.accepted
        self._ack_received.set()

    def _on_ledger_held(
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

    def _other_live_members(self) -> set[str]:
        view = self._kernel.plugin("membership").view
        return set(view.live()) - {self._kernel.settings.instance_id}

    def _announce(
        self, issuers: list[handover.IncarnationId], instances: set[str]
    ) -> None:
        for instance in sorted(instances):
            for issuer in issuers:
                self._kernel.plugin("peers").send(
                    instance, messages.LedgerHeld(*issuer)
                )

    def _announce_to_new_members(self) -> None:
        """Announces the held ledgers to new members."""
        other_members = self._other_live_members()
        complete = self._held.complete_ledgers(self._kernel.clock.now())
        issuers = [ledger.issuer for ledger in complete]
        self._announce(issuers, other_members - self._announced_to)
        self._announced_to = other_members

    def _on_open(
        self, sender: peers_lib.Sender, message: messages.SubmitOpen
    ) -> None:
        """Replies in place of a stopped issuer whose ledger is held here."""
        parse_result = keys.parse(message.key)
        if (
            parse_result.is_err()
            or parse_result.unwrap().key.team != message.team
        ):
            return
        key = parse_result.unwrap().key
        ledger = self.final_ledger(key.issuer)
        if ledger is None:
            return
        answer = ledger.outcome(
            message.exchange, parse_result.unwrap(), message.digest
        )
        self._kernel.plugin("peers").send(sender.instance, answer)
