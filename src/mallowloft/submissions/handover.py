"""Final ledgers, which a stopping instance hands over to its successor."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from mallowloft import messages
from mallowloft.submissions import keys

# This is far below the frame limit, because a frame may contain other messages
# as well.
MAX_PART_BYTES = 1 << 20
_ENTRY_OVERHEAD_BYTES = 64
# Limits the memory for held ledgers to about twice that of the instance's own.
MAX_HELD_ENTRIES = 200_000
MAX_HELD_REPLY_BYTES = 32 << 20

# Instance and incarnation.
IncarnationId = tuple[str, int]


def split_entries(
    entries: Iterable[messages.LedgerEntry], max_bytes: int = MAX_PART_BYTES
) -> Iterator[tuple[messages.LedgerEntry, ...]]:
    """Splits entries into parts of limited size and yields at least one part.

    An entry that exceeds the limit gets a part of its own.
    """
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
    """All outcomes of an incarnation that runs no more submissions.

    Attributes:
        issuer: Instance and incarnation that issued the keys.
        first_sequence: Lowest sequence number that had not expired when the
            ledger was closed.
        expires_s: Time on the local clock at which all keys have expired.
    """

    issuer: IncarnationId
    first_sequence: int
    expires_s: float
    entries_by_key: dict[str, messages.LedgerEntry]

    def outcome(
        self, exchange: int, parsed: keys.ParsedKey, digest: bytes
    ) -> messages.SubmitOutcome:
        """Returns the answer to a copy of a submission.

        If a key had not expired when the ledger was closed and has no entry,
        its submission never ran and never will.
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
        parts = list(split_entries(self.entries_by_key.values()))
        instance, incarnation = self.issuer
        return [
            messages.LedgerHandover(
                instance=instance,
                incarnation=incarnation,
                part=number,
                parts=len(parts),
                first_sequence=self.first_sequence,
                lifetime_s=max(0.0, self.expires_s - now_s),
                entries=part,
            )
            for number, part in enumerate(parts)
        ]


class HeldLedgers:
    """Final ledgers of other incarnations that this instance holds."""

    def __init__(
        self,
        max_entries: int = MAX_HELD_ENTRIES,
        max_reply_bytes: int = MAX_HELD_REPLY_BYTES,
    ) -> None:
        self._max_entries = max_entries
        self._max_reply_bytes = max_reply_bytes
        self._ledgers_by_issuer: dict[IncarnationId, FinalLedger] = {}
        self._missing_parts_by_issuer: dict[IncarnationId, set[int]] = {}
        self._sender_by_issuer: dict[IncarnationId, IncarnationId] = {}

    def add(
        self, sender: IncarnationId, part: messages.LedgerHandover, now_s: float
    ) -> bool | None:
        """Adds a part of a ledger; duplicates are ignored.

        Parts from different senders are never combined, because each sender
        may split the same ledger differently.

        Returns:
            True if the ledger is complete, None while parts are missing,
            False if all held ledgers together would exceed the memory limits.
        """
        self.purge(now_s)
        issuer = (part.instance, part.incarnation)
        if (
            self._missing_parts_by_issuer.get(issuer)
            and self._sender_by_issuer[issuer] != sender
        ):
            self._remove(issuer)
        ledger = self._ledgers_by_issuer.get(issuer)
        if ledger is None:
            self._sender_by_issuer[issuer] = sender
            ledger = FinalLedger(
                issuer, part.first_sequence, now_s + part.lifetime_s, {}
            )
            self._ledgers_by_issuer[issuer] = ledger
            self._missing_parts_by_issuer[issuer] = set(range(part.parts))
        missing_parts = self._missing_parts_by_issuer[issuer]
        if part.part in missing_parts:
            if not self._fits(part):
                self._remove(issuer)
                return False
            missing_parts.discard(part.part)
            for entry in part.entries:
                ledger.entries_by_key[entry.key] = entry
        return None if missing_parts else True

    def get(self, issuer: IncarnationId, now_s: float) -> FinalLedger | None:
        """Returns a complete, unexpired ledger, or None."""
        ledger = self._ledgers_by_issuer.get(issuer)
        if ledger is None or self._missing_parts_by_issuer[issuer]:
            return None
        if ledger.expires_s <= now_s:
            return None
        return ledger

    def complete_ledgers(self, now_s: float) -> list[FinalLedger]:
        """Returns all complete, unexpired ledgers."""
        ledgers = (
            self.get(issuer, now_s) for issuer in self._ledgers_by_issuer
        )
        return [ledger for ledger in ledgers if ledger is not None]

    def purge(self, now_s: float) -> None:
        """Removes ledgers whose keys have all expired."""
        for issuer, ledger in list(self._ledgers_by_issuer.items()):
            if ledger.expires_s <= now_s:
                self._remove(issuer)

    def _remove(self, issuer: IncarnationId) -> None:
        del self._ledgers_by_issuer[issuer]
        del self._missing_parts_by_issuer[issuer]
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
