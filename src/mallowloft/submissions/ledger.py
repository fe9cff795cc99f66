"""Records of the keys of one incarnation and their legal transitions."""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from mallowloft import messages
from mallowloft.submissions import keys

MAX_LIVE_KEYS = 100_000
# One team may hold at most this share of the live keys, so that a team that
# hoards keys leaves some for the others.
MAX_TEAM_SHARE = 0.25
MAX_REPLY_BYTES = 16 << 20


class State(enum.StrEnum):
    """State of a key; a fresh key has no record."""

    FRESH = "fresh"
    RESERVED = "reserved"
    SENT = "sent"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# An unknown outcome may still become known when the dispatcher's answer to
# the one attempt that was sent arrives late. It never leads to a new attempt.
_LEGAL = {
    State.FRESH: {State.RESERVED, State.NOT_RUN},
    State.RESERVED: {State.SENT, State.NOT_RUN},
    State.SENT: {State.RESERVED, State.DONE, State.NOT_RUN, State.UNKNOWN},
    State.UNKNOWN: {State.DONE, State.NOT_RUN},
    State.DONE: set(),
    State.NOT_RUN: set(),
}
_RUNNING = (State.RESERVED, State.SENT)
_SUBMIT_STATES = {
    State.DONE: messages.SubmitState.DONE,
    State.NOT_RUN: messages.SubmitState.NOT_RUN,
    State.UNKNOWN: messages.SubmitState.UNKNOWN,
}


class IllegalTransitionError(Exception):
    """A step that could run a key twice or change its final outcome."""


class Verdict(enum.Enum):
    """What a copy of a submission finds under its key."""

    FRESH = enum.auto()
    RUNNING = enum.auto()
    FINAL = enum.auto()
    MISMATCH = enum.auto()
    EXPIRED = enum.auto()


@dataclasses.dataclass(slots=True)
class Record:
    """The record of one key.

    Attributes:
        digest: Digest of the submission that the key belongs to.
        reply: Reply of the upstream; None after it was dropped for space.
    """

    key: str
    sequence: int
    digest: bytes
    state: State = State.FRESH
    reason: str = ""
    reply: bytes | None = b""
    retry_after_ms: float = 0.0

    @property
    def running(self) -> bool:
        """Whether the submission waits for a slot or was sent."""
        return self.state in _RUNNING

    def entry(self) -> messages.LedgerEntry:
        """Returns the outcome as other instances get it."""
        state = _SUBMIT_STATES[self.state]
        reason = self.reason
        if self.reply is None:
            state = messages.SubmitState.UNKNOWN
            reason = "it ran, but its reply is no longer kept"
        return messages.LedgerEntry(
            self.key, self.digest, state, reason, self.reply or b""
        )


@dataclasses.dataclass(slots=True)
class _Batch:
    team: str
    issued_s: float
    first: int
    count: int


class Ledger:
    """All records of one incarnation.

    A live key without a record is fresh, so a record is never dropped before
    its key has expired.
    """

    def __init__(
        self,
        lifetime_s: float,
        max_live_keys: int = MAX_LIVE_KEYS,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        self.closed = False
        self._lifetime_s = lifetime_s
        self._max_live_keys = max_live_keys
        self._max_team_keys = max(1, int(max_live_keys * MAX_TEAM_SHARE))
        self._max_reply_bytes = max_reply_bytes
        self._records_by_sequence: dict[int, Record] = {}
        self._batches: collections.deque[_Batch] = collections.deque()
        self._expired_running: set[int] = set()
        self._live_by_team: collections.Counter[str] = collections.Counter()
        self._replies: collections.deque[Record] = collections.deque()
        self._reply_bytes = 0
        self._next_sequence = 1

    @property
    def first_sequence(self) -> int:
        """Keys with a lower sequence number have expired."""
        if self._batches:
            return self._batches[0].first
        return self._next_sequence

    def issue(self, team: str, count: int, now_s: float) -> list[int]:
        """Returns the sequence numbers of new keys.

        Returns:
            Fewer than `count`, possibly none, when the limit of live keys is
            reached or the ledger is closed.
        """
        self.purge(now_s)
        if self.closed:
            return []
        live = self._next_sequence - self.first_sequence
        count = min(
            count,
            self._max_live_keys - live,
            self._max_team_keys - self._live_by_team[team],
        )
        if count <= 0:
            return []
        batch = _Batch(team, now_s, self._next_sequence, count)
        self._batches.append(batch)
        self._live_by_team[team] += count
        self._next_sequence += count
        return list(range(batch.first, self._next_sequence))

    def find(
        self, key: keys.Key, digest: bytes, now_s: float
    ) -> tuple[Verdict, Record | None]:
        """Returns what a copy finds under an authenticated key."""
        record = self._records_by_sequence.get(key.sequence)
        if record is not None:
            if record.digest != digest:
                return Verdict.MISMATCH, None
            if record.running:
                return Verdict.RUNNING, record
            return Verdict.FINAL, record
        if key.sequence < self.first_sequence:
            return Verdict.EXPIRED, None
        if now_s - key.issued_ms / 1000 >= self._lifetime_s:
            return Verdict.EXPIRED, None
        return Verdict.FRESH, None

    def reserve(
        self, parsed: keys.ParsedKey, digest: bytes, now_s: float
    ) -> Record:
        """Begins the one run of a fresh key.

        Raises:
            IllegalTransitionError: The key is not fresh, or no key of this
                incarnation may run any more.
        """
        return self._create(parsed, digest, State.RESERVED, now_s)

    def void(
        self,
        parsed: keys.ParsedKey,
        digest: bytes,
        reason: str,
        now_s: float,
    ) -> Record:
        """Makes sure that a fresh key never runs.

        Raises:
            IllegalTransitionError: The key is not fresh.
        """
        record = self._create(parsed, digest, State.NOT_RUN, now_s)
        record.reason = reason
        return record

    def move(
        self,
        record: Record,
        state: State,
        reason: str = "",
        reply: bytes = b"",
        retry_after_ms: float = 0.0,
    ) -> None:
        """Moves a record to its next state.

        Raises:
            IllegalTransitionError: The step is not legal.
        """
        if state not in _LEGAL[record.state]:
            raise IllegalTransitionError(f"{record.state} -> {state}")
        if self.closed:
            raise IllegalTransitionError(f"closed: -> {state}")
        record.state = state
        record.reason = reason
        record.retry_after_ms = retry_after_ms
        if state is State.DONE:
            self._keep_reply(record, reply)

    def close(self) -> None:
        """Ends the incarnation: no key runs and no outcome changes."""
        for record in self._records_by_sequence.values():
            if record.state is State.RESERVED:
                self.move(record, State.NOT_RUN, "the instance has stopped")
            elif record.state is State.SENT:
                self.move(record, State.UNKNOWN, "the instance has stopped")
        self.closed = True

    def is_running(self, sequence: int) -> bool:
        """Whether a key has a record that is not final."""
        record = self._records_by_sequence.get(sequence)
        return record is not None and record.running

    def running(self) -> list[Record]:
        """Returns the records that are not final."""
        records = self._records_by_sequence.values()
        return [record for record in records if record.running]

    def entries(self) -> Iterator[messages.LedgerEntry]:
        """Yields the final outcomes of a closed ledger."""
        if not self.closed:
            raise IllegalTransitionError("the ledger is not closed")
        for record in self._records_by_sequence.values():
            yield record.entry()

    def purge(self, now_s: float) -> None:
        """Drops records whose keys have expired; running ones stay."""
        expired = self._expired_running
        self._expired_running = set()
        while self._batches:
            batch = self._batches[0]
            if now_s - batch.issued_s < self._lifetime_s:
                break
            self._batches.popleft()
            self._live_by_team[batch.team] -= batch.count
            expired.update(range(batch.first, batch.first + batch.count))
        for sequence in expired:
            self._drop(sequence)
        while self._replies and self._replies[0].reply is None:
            self._replies.popleft()

    def count_by_state(self) -> dict[str, int]:
        """Returns the number of records by state."""
        return dict(
            collections.Counter(
                record.state.value
                for record in self._records_by_sequence.values()
            )
        )

    def _create(
        self,
        parsed: keys.ParsedKey,
        digest: bytes,
        state: State,
        now_s: float,
    ) -> Record:
        verdict, _ = self.find(parsed.key, digest, now_s)
        if verdict is not Verdict.FRESH:
            raise IllegalTransitionError(f"{verdict} -> {state}")
        record = Record(parsed.text, parsed.key.sequence, digest)
        self.move(record, state)
        self._records_by_sequence[record.sequence] = record
        return record

    def _keep_reply(self, record: Record, reply: bytes) -> None:
        record.reply = reply
        self._replies.append(record)
        self._reply_bytes += len(reply)
        while self._reply_bytes > self._max_reply_bytes:
            oldest = self._replies.popleft()
            if oldest.reply is not None:
                self._reply_bytes -= len(oldest.reply)
                oldest.reply = None

    def _drop(self, sequence: int) -> None:
        record = self._records_by_sequence.get(sequence)
        if record is None:
            return
        if record.running:
            self._expired_running.add(sequence)
            return
        del self._records_by_sequence[sequence]
        if record.state is State.DONE and record.reply is not None:
            self._reply_bytes -= len(record.reply)
            record.reply = None
