"""Final ledgers that a stopping instance hands to its successor."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from mallowloft import messages
from mallowloft.submissions import keys

# Far below the frame limit, since other messages may share the frame.
MAX_PART_BYTES = 1 << 20
_ENTRY_OVERHEAD_BYTES = 64
# Bounds the memory of a successor to about that of two own ledgers.
MAX_HELD_ENTRIES = 200_000
MAX_HELD_REPLY_BYTES = 32 << 20

Issuer = tuple[str, int]


def split(
    entries: Iterable[messages.LedgerEntry], max_bytes: int = MAX_PART_BYTES
) -> Iterator[tuple[messages.LedgerEntry, ...]]:
    """Yields the entries in parts of limited size, at least one part."""
    part: list[messages.LedgerEntry] = []
    size = 0
    yielded = False
    for entry in entries:
        entry_size = (
            len(entry.key)
            + len(entry.reason)
            + len(entry.reply)
            + _ENTRY_OVERHEAD_BYTES
        )
        if part and size + entry_size > max_bytes:
            yield tuple(part)
            yielded = True
            part, size = [], 0
        part.append(entry)
        size += entry_size
    if part or not yielded:
        yield tuple(part)


@dataclasses.dataclass(slots=True)
class FinalLedger:
    """All outcomes of an incarnation that runs no key any more.

    Attributes:
        until_s: When the last of its keys has expired, on the local clock.
    """

    issuer: Issuer
    first_sequence: int
    until_s: float
    entries_by_key: dict[str, messages.LedgerEntry]

    def outcome(
        self, exchange: int, parsed: keys.ParsedKey, digest: bytes
    ) -> messages.SubmitOutcome:
        """Returns the answer to a copy of a submission.

        A key that is not listed and had not expired when the ledger was
        closed never ran and never will.
        """
        states = messages.SubmitState
        entry = self.entries_by_key.get(parsed.text)
        reply = b""
        if entry is None and parsed.key.sequence < self.first_sequence:
            state, reason = states.EXPIRED, "the key has expired"
        elif entry is None:
            state = states.NOT_RUN
            reason = "the issuer has stopped and never ran the key"
        elif entry.digest != digest:
            state = states.MISMATCH
            reason = "the key belongs to a different submission"
        else:
            state, reason, reply = entry.state, entry.reason, entry.reply
        return messages.SubmitOutcome(
            exchange=exchange,
            state=state,
            reason=reason,
            reply=reply,
            final=True,
            retry_after_ms=0.0,
        )

    def parts(self, now_s: float) -> list[messages.LedgerHandover]:
        """Returns the messages that hand the ledger over."""
        batches = list(split(self.entries_by_key.values()))
        instance, incarnation = self.issuer
        return [
            messages.LedgerHandover(
                instance=instance,
                incarnation=incarnation,
                part=number,
                parts=len(batches),
                first_sequence=self.first_sequence,
                lifetime_s=max(0.0, self.until_s - now_s),
                entries=batch,
            )
            for number, batch in enumerate(batches)
        ]


class HeldLedgers:
    """Final ledgers of other incarnations that this instance keeps."""

    def __init__(
        self,
        max_entries: int = MAX_HELD_ENTRIES,
        max_reply_bytes: int = MAX_HELD_REPLY_BYTES,
    ) -> None:
        self._max_entries = max_entries
        self._max_reply_bytes = max_reply_bytes
        self._ledgers_by_issuer: dict[Issuer, FinalLedger] = {}
        self._missing_by_issuer: dict[Issuer, set[int]] = {}
        self._sender_by_issuer: dict[Issuer, Issuer] = {}

    def add(
        self, sender: Issuer, part: messages.LedgerHandover, now_s: float
    ) -> bool | None:
        """Adds a part of a ledger; a repeated part changes nothing.

        Parts of two senders are never put together, because the same ledger
        may be divided differently.

        Returns:
            True if the ledger is complete, None while parts are missing,
            False if there is no room for it.
        """
        self.purge(now_s)
        issuer = (part.instance, part.incarnation)
        if (
            self._missing_by_issuer.get(issuer)
            and self._sender_by_issuer[issuer] != sender
        ):
            self._forget(issuer)
        ledger = self._ledgers_by_issuer.get(issuer)
        if ledger is None:
            self._sender_by_issuer[issuer] = sender
            ledger = FinalLedger(
                issuer, part.first_sequence, now_s + part.lifetime_s, {}
            )
            self._ledgers_by_issuer[issuer] = ledger
            self._missing_by_issuer[issuer] = set(range(part.parts))
        missing = self._missing_by_issuer[issuer]
        if part.part in missing:
            if not self._fits(part):
                self._forget(issuer)
                return False
            missing.discard(part.part)
            for entry in part.entries:
                ledger.entries_by_key[entry.key] = entry
        return None if missing else True

    def get(self, issuer: Issuer, now_s: float) -> FinalLedger | None:
        """Returns the ledger of an incarnation if it is complete."""
        ledger = self._ledgers_by_issuer.get(issuer)
        if ledger is None or self._missing_by_issuer[issuer]:
            return None
        if ledger.until_s <= now_s:
            return None
        return ledger

    def complete(self, now_s: float) -> list[FinalLedger]:
        """Returns all complete ledgers."""
        ledgers = (
            self.get(issuer, now_s) for issuer in self._ledgers_by_issuer
        )
        return [ledger for ledger in ledgers if ledger is not None]

    def purge(self, now_s: float) -> None:
        """Drops ledgers whose keys have all expired."""
        for issuer, ledger in list(self._ledgers_by_issuer.items()):
            if ledger.until_s <= now_s:
                self._forget(issuer)

    def _forget(self, issuer: Issuer) -> None:
        del self._ledgers_by_issuer[issuer]
        del self._missing_by_issuer[issuer]
        del self._sender_by_issuer[issuer]

    def _fits(self, part: messages.LedgerHandover) -> bool:
        entries = len(part.entries)
        reply_bytes = sum(len(entry.reply) for entry in part.entries)
        for ledger in self._ledgers_by_issuer.values():
            entries += len(ledger.entries_by_key)
            reply_bytes += sum(
                len(entry.reply) for entry in ledger.entries_by_key.values()
            )
        return (
            entries <= self._max_entries
            and reply_bytes <= self._max_reply_bytes
        )
