"""Ledger of one incarnation's keys: records, states and legal transitions."""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from mallowloft import messages
from mallowloft.submissions import keys

# Keys that were issued and have not expired, whether used or not.
MAX_LIVE_KEYS = 100_000
# One team may hold at most this share of `MAX_LIVE_KEYS`, so that a team that
# requests too many leaves keys for the others.
MAX_TEAM_KEY_SHARE = 0.25
# Total size of all stored replies.
MAX_STORED_REPLY_BYTES = 16 << 20


class State(enum.StrEnum):
    """State of a key's record. FRESH is the state before it is stored."""

    FRESH = "fresh"
    RESERVED = "reserved"
    SENT = "sent"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# UNKNOWN can still become DONE or NOT_RUN if the dispatcher's answer to the one
# attempt that was sent arrives late. An unknown outcome never leads to a new
# attempt.
_LEGAL_TRANSITIONS = {
    State.FRESH: {State.RESERVED, State.NOT_RUN},
    State.RESERVED: {State.SENT, State.NOT_RUN},
    State.SENT: {State.RESERVED, State.DONE, State.NOT_RUN, State.UNKNOWN},
    State.UNKNOWN: {State.DONE, State.NOT_RUN},
    State.DONE: set(),
    State.NOT_RUN: set(),
}
_RUNNING_STATES = (State.RESERVED, State.SENT)
_SUBMIT_STATES = {
    State.DONE: messages.SubmitState.DONE,
    State.NOT_RUN: messages.SubmitState.NOT_RUN,
    State.UNKNOWN: messages.SubmitState.UNKNOWN,
}


class IllegalTransitionError(Exception):
    """Raised if the state of a key, record or ledger forbids an operation."""


class LookupStatus(enum.Enum):
    """Status of a key for a copy of a submission.

    Attributes:
        FINAL: The outcome is set; UNKNOWN may still be resolved until the
            ledger is closed.
    """

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
        reply: Reply of the upstream; None once it was evicted.
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
        """Whether the submission waits for a slot or for its outcome."""
        return self.state in _RUNNING_STATES

    def entry(self) -> messages.LedgerEntry:
        """Returns the outcome in the form that is sent to other instances.

        A DONE record whose reply was evicted is reported as UNKNOWN. The record
        must not be running.
        """
        state = _SUBMIT_STATES[self.state]
        reason = self.reason
        if self.reply is None:
            state = messages.SubmitState.UNKNOWN
            reason = "the submission ran, but its reply has been evicted"
        return messages.LedgerEntry(
            self.key, self.digest, state, reason, self.reply or b""
        )


@dataclasses.dataclass(slots=True)
class _KeyBatch:
    team: str
    issued_s: float
    first_sequence: int
    count: int


class Ledger:
    """All records of one incarnation.

    A key that has not expired and has no record counts as fresh. A record is
    therefore never removed before its key has expired.
    """

    def __init__(
        self,
        lifetime_s: float,
        max_live_keys: int = MAX_LIVE_KEYS,
        max_reply_bytes: int = MAX_STORED_REPLY_BYTES,
    ) -> None:
        self.closed = False
        self._lifetime_s = lifetime_s
        self._max_live_keys = max_live_keys
        self._max_team_keys = max(1, int(max_live_keys * MAX_TEAM_KEY_SHARE))
        self._max_reply_bytes = max_reply_bytes
        self._records_by_sequence: dict[int, Record] = {}
        self._batches: collections.deque[_KeyBatch] = collections.deque()
        self._expired_running_sequences: set[int] = set()
        self._live_keys_by_team: collections.Counter[str] = (
            collections.Counter()
        )
        self._reply_eviction_queue: collections.deque[Record] = (
            collections.deque()
        )
        self._reply_bytes = 0
        self._next_sequence = 1

    @property
    def first_sequence(self) -> int:
        """Lowest sequence number that has not expired."""
        if self._batches:
            return self._batches[0].first_sequence
        return self._next_sequence

    def issue(self, team: str, count: int, now_s: float) -> list[int]:
        """Returns the sequence numbers of new keys.

        Returns:
            Sequence numbers; fewer than `count`, possibly none, when the
            limit of live keys or the team's share of it is reached or the
            ledger is closed.
        """
        self.purge(now_s)
        if self.closed:
            return []
        live = self._next_sequence - self.first_sequence
        count = min(
            count,
            self._max_live_keys - live,
            self._max_team_keys - self._live_keys_by_team[team],
        )
        if count <= 0:
            return []
        batch = _KeyBatch(team, now_s, self._next_sequence, count)
        self._batches.append(batch)
        self._live_keys_by_team[team] += count
        self._next_sequence += count
        return list(range(batch.first_sequence, self._next_sequence))

    def look_up(
        self, key: keys.Key, digest: bytes, now_s: float
    ) -> tuple[LookupStatus, Record | None]:
        """Returns the status of an authenticated key and its record.

        The record is None unless the status is RUNNING or FINAL.
        """
        record = self._records_by_sequence.get(key.sequence)
        if record is not None:
            if record.digest != digest:
                return LookupStatus.MISMATCH, None
            if record.running:
                return LookupStatus.RUNNING, record
            return LookupStatus.FINAL, record
        if key.sequence < self.first_sequence:
            return LookupStatus.EXPIRED, None
        if now_s - key.issued_ms / 1000 >= self._lifetime_s:
            return LookupStatus.EXPIRED, None
        return LookupStatus.FRESH, None

    def reserve(
        self, parsed: keys.ParsedKey, digest: bytes, now_s: float
    ) -> Record:
        """Creates the record for the only run of a fresh key's submission.

        Raises:
            IllegalTransitionError: The key is not fresh, or the ledger is
                closed.
        """
        return self._create_record(parsed, digest, State.RESERVED, now_s)

    def void(
        self,
        parsed: keys.ParsedKey,
        digest: bytes,
        reason: str,
        now_s: float,
    ) -> Record:
        """Records a fresh key as not run, so that its submission never runs.

        Raises:
            IllegalTransitionError: The key is not fresh, or the ledger is
                closed.
        """
        record = self._create_record(parsed, digest, State.NOT_RUN, now_s)
        record.reason = reason
        return record

    def transition(
        self,
        record: Record,
        state: State,
        reason: str = "",
        reply: bytes = b"",
        retry_after_ms: float = 0.0,
    ) -> None:
        """Moves a record to its next state.

        Raises:
            IllegalTransitionError: The transition is not legal, or the
                ledger is closed.
        """
        if state not in _LEGAL_TRANSITIONS[record.state]:
            raise IllegalTransitionError(
                f"illegal transition: {record.state} -> {state}"
            )
        if self.closed:
            raise IllegalTransitionError(
                f"ledger is closed: no transition to {state}"
            )
        record.state = state
        record.reason = reason
        record.retry_after_ms = retry_after_ms
        if state is State.DONE:
            self._store_reply(record, reply)

    def close(self) -> None:
        """Sets final outcomes for running records and closes the ledger.

        After this, no submission is started and no outcome changes.
        """
        for record in self._records_by_sequence.values():
            if record.state is State.RESERVED:
                self.transition(
                    record, State.NOT_RUN, "the instance has stopped"
                )
            elif record.state is State.SENT:
                self.transition(
                    record, State.UNKNOWN, "the instance has stopped"
                )
        self.closed = True

    def is_running(self, sequence: int) -> bool:
        """Whether the submission of a key is running."""
        record = self._records_by_sequence.get(sequence)
        return record is not None and record.running

    def running(self) -> list[Record]:
        """Returns the records of running submissions."""
        records = self._records_by_sequence.values()
        return [record for record in records if record.running]

    def entries(self) -> Iterator[messages.LedgerEntry]:
        """Yields the final outcomes of a closed ledger.

        Raises:
            IllegalTransitionError: The ledger is not closed.
        """
        if not self.closed:
            raise IllegalTransitionError("the ledger is not closed")
        for record in self._records_by_sequence.values():
            yield record.entry()

    def purge(self, now_s: float) -> None:
        """Removes the records of expired keys unless they are running."""
        expired = self._expired_running_sequences
        self._expired_running_sequences = set()
        while self._batches:
            batch = self._batches[0]
            if now_s - batch.issued_s < self._lifetime_s:
                break
            self._batches.popleft()
            self._live_keys_by_team[batch.team] -= batch.count
            expired.update(
                range(batch.first_sequence, batch.first_sequence + batch.count)
            )
        for sequence in expired:
            self._remove_expired(sequence)
        while (
            self._reply_eviction_queue
            and self._reply_eviction_queue[0].reply is None
        ):
            self._reply_eviction_queue.popleft()

    def count_by_state(self) -> dict[str, int]:
        """Returns the number of records by state."""
        return dict(
            collections.Counter(
                record.state.value
                for record in self._records_by_sequence.values()
            )
        )

    def _create_record(
        self,
        parsed: keys.ParsedKey,
        digest: bytes,
        state: State,
        now_s: float,
    ) -> Record:
        status, _ = self.look_up(parsed.key, digest, now_s)
        if status is not LookupStatus.FRESH:
            raise IllegalTransitionError(
                f"key is not fresh: {status} -> {state}"
            )
        record = Record(parsed.text, parsed.key.sequence, digest)
        self.transition(record, state)
        self._records_by_sequence[record.sequence] = record
        return record

    def _store_reply(self, record: Record, reply: bytes) -> None:
        record.reply = reply
        self._reply_eviction_queue.append(record)
        self._reply_bytes += len(reply)
        while self._reply_bytes > self._max_reply_bytes:
            evicted = self._reply_eviction_queue.popleft()
            if evicted.reply is not None:
                self._reply_bytes -= len(evicted.reply)
                evicted.reply = None

    def _remove_expired(self, sequence: int) -> None:
        record = self._records_by_sequence.get(sequence)
        if record is None:
            return
        if record.running:
            self._expired_running_sequences.add(sequence)
            return
        del self._records_by_sequence[sequence]
        if record.state is State.DONE and record.reply is not None:
            self._reply_bytes -= len(record.reply)
            record.reply = None
