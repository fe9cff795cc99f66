"""Reservations of slots for submissions and their single-use tickets."""

import collections
import dataclasses
import enum
import itertools
from typing import Any
from typing import NamedTuple

from mallowloft import messages

TICKET_S = 0.25
QUERY = "query"
SLOT = "slot"
# A duplicate that arrives later than this is answered by silence.
_ENDED_LIFETIME_S = 60.0
_ENDED_LIMIT = 10_000


class Key(NamedTuple):
    """Names one attempt; attempts of a kind are unique in an incarnation."""

    kind: str
    instance: str
    incarnation: int
    attempt: int


def not_sent(attempt: int, reason: str) -> messages.SlotOutcome:
    """Returns the outcome of a submission that was and will not be sent."""
    return messages.SlotOutcome(
        attempt=attempt,
        state=messages.SlotState.NOT_SENT,
        reason=reason,
        reply=b"",
        retry_after_ms=0.0,
    )


class State(enum.Enum):
    """Life of a reservation."""

    WAITING = "waiting"
    HELD = "held"
    RUNNING = "running"
    ENDED = "ended"


class Use(enum.Enum):
    """What to do with a `SlotGo`."""

    RUN = "run"
    NOT_SENT = "not_sent"
    REPEAT = "repeat"
    IGNORE = "ignore"


@dataclasses.dataclass(slots=True)
class _Record:
    owner: Any
    state: State = State.WAITING
    ticket: int = 0
    expires_s: float = 0.0
    ended_s: float = 0.0
    outcome: messages.SlotOutcome | None = None


class Reservations:
    """Reservations of one instance; decides which `SlotGo` may run.

    A ticket runs at most once: `use` returns RUN only for a held slot and
    leaves that state in the same step. Ended reservations are remembered, so
    that a late duplicate neither holds a slot nor gets "not sent" for a
    submission that was sent.
    """

    def __init__(self, first_ticket: int = 1) -> None:
        self._tickets = itertools.count(first_ticket)
        self._records_by_key: dict[Key, _Record] = {}
        self._ended: collections.deque[Key] = collections.deque()
        # Used tickets up to this number are no longer remembered.
        self._forgotten_ticket = 0

    def open(self, key: Key, owner: Any, now_s: float) -> bool:
        """Starts a reservation that `owner` runs; False for a duplicate."""
        self._forget(now_s)
        if key in self._records_by_key:
            return False
        self._records_by_key[key] = _Record(owner)
        return True

    def hold(self, key: Key, now_s: float) -> int:
        """Notes that a slot is held and returns the ticket."""
        record = self._records_by_key[key]
        record.state = State.HELD
        record.ticket = next(self._tickets)
        record.expires_s = now_s + TICKET_S
        return record.ticket

    def use(self, key: Key, ticket: int, now_s: float) -> Use:
        """Decides on a `SlotGo`; after RUN the ticket is used up.

        After NOT_SENT the caller ends the reservation if there is one, so
        that no other copy of the message runs it.
        """
        record = self._records_by_key.get(key)
        if record is None:
            # "Not sent" would be false if the ticket was used and forgotten.
            if ticket <= self._forgotten_ticket:
                return Use.IGNORE
            return Use.NOT_SENT
        if record.state is State.RUNNING:
            return Use.IGNORE
        if record.state is State.ENDED:
            return Use.REPEAT
        if (
            record.state is State.HELD
            and record.ticket == ticket
            and now_s < record.expires_s
        ):
            record.state = State.RUNNING
            return Use.RUN
        return Use.NOT_SENT

    def end(
        self,
        key: Key,
        now_s: float,
        outcome: messages.SlotOutcome,
    ) -> None:
        """Ends a reservation; `outcome` answers duplicates of its `SlotGo`.

        A reservation that is unknown is remembered as ended, because its
        `SlotReserve` may arrive after its `SlotRelease`.
        """
        record = self._records_by_key.setdefault(key, _Record(None))
        if record.state is State.ENDED:
            return
        record.state = State.ENDED
        record.ended_s = now_s
        record.outcome = outcome
        self._ended.append(key)

    def state(self, key: Key) -> State | None:
        """Returns the state of a reservation, None if it is unknown."""
        record = self._records_by_key.get(key)
        return record.state if record else None

    def owner(self, key: Key) -> Any:
        """Returns who runs a reservation, None if it is unknown."""
        record = self._records_by_key.get(key)
        return record.owner if record else None

    def outcome(self, key: Key) -> messages.SlotOutcome:
        """Returns how a reservation ended."""
        outcome = self._records_by_key[key].outcome
        assert outcome is not None
        return outcome

    def held(self) -> list[Key]:
        """Returns the reservations that hold a slot for a ticket."""
        return [
            key
            for key, record in self._records_by_key.items()
            if record.state is State.HELD
        ]

    def dump(self) -> dict[str, int]:
        """Returns the number of reservations by state."""
        counts = collections.Counter(
            record.state.value for record in self._records_by_key.values()
        )
        return dict(counts)

    def _forget(self, now_s: float) -> None:
        while self._ended:
            record = self._records_by_key[self._ended[0]]
            fresh = now_s - record.ended_s < _ENDED_LIFETIME_S
            if fresh and len(self._ended) <= _ENDED_LIMIT:
                return
            del self._records_by_key[self._ended.popleft()]
            self._forgotten_ticket = max(self._forgotten_ticket, record.ticket)
