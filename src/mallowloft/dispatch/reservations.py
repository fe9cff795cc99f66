"""Reservations of slots for submissions and their single-use tickets."""

import collections
import dataclasses
import enum
import itertools
from typing import Any
from typing import NamedTuple

from mallowloft import messages

TICKET_LIFETIME_S = 0.25
KIND_QUERY = "query"
KIND_SUBMISSION = "slot"
# Ended reservations are kept this long, so that a duplicate `SlotGo` gets the
# recorded outcome and a duplicate `SlotReserve` is ignored. A later duplicate
# `SlotGo` gets no reply.
_ENDED_LIFETIME_S = 60.0
_MAX_ENDED = 10_000


class AttemptKey(NamedTuple):
    """Identifies an attempt.

    Attempt numbers are unique per kind and incarnation of the sender.
    """

    kind: str
    instance: str
    incarnation: int
    attempt: int


def not_sent(attempt: int, reason: str) -> messages.SlotOutcome:
    """Returns the outcome of a submission that is never sent."""
    return messages.SlotOutcome(
        attempt=attempt,
        state=messages.SlotState.NOT_SENT,
        reason=reason,
        reply=b"",
        retry_after_ms=0.0,
    )


class State(enum.Enum):
    """State of a reservation."""

    WAITING = "waiting"
    HELD = "held"
    RUNNING = "running"
    ENDED = "ended"


class GoAction(enum.Enum):
    """Action that a dispatcher takes for a `SlotGo`.

    Attributes:
        RUN: Runs the submission in the held slot.
        NOT_SENT: Replies that the submission was not sent. A reservation that
            still waits or holds a slot is ended.
        REPEAT: Sends the recorded outcome again.
        IGNORE: Sends nothing, because the submission is running or may have
            run before its reservation was evicted.
    """

    RUN = "run"
    NOT_SENT = "not_sent"
    REPEAT = "repeat"
    IGNORE = "ignore"


@dataclasses.dataclass(slots=True)
class _Reservation:
    dispatcher: Any
    state: State = State.WAITING
    ticket: int = 0
    expires_s: float = 0.0
    ended_s: float = 0.0
    outcome: messages.SlotOutcome | None = None


class Reservations:
    """Reservations made at the dispatchers of one instance.

    The class decides which `SlotGo` may run. A ticket starts at most one
    submission: `use_ticket` returns RUN only for a held slot and changes the
    state to RUNNING in the same call. Ended reservations are kept, so that a
    late duplicate neither holds a slot nor gets NOT_SENT for a submission that
    was sent.
    """

    def __init__(self, first_ticket: int = 1) -> None:
        self._tickets = itertools.count(first_ticket)
        self._reservations_by_key: dict[AttemptKey, _Reservation] = {}
        self._ended: collections.deque[AttemptKey] = collections.deque()
        # Highest ticket number of all evicted reservations.
        self._max_evicted_ticket = 0

    def open(self, key: AttemptKey, dispatcher: Any, now_s: float) -> bool:
        """Adds a reservation at a dispatcher; returns False for a duplicate."""
        self._evict_ended(now_s)
        if key in self._reservations_by_key:
            return False
        self._reservations_by_key[key] = _Reservation(dispatcher)
        return True

    def issue_ticket(self, key: AttemptKey, now_s: float) -> int:
        """Marks the slot of a reservation as held and returns its ticket."""
        reservation = self._reservations_by_key[key]
        reservation.state = State.HELD
        reservation.ticket = next(self._tickets)
        reservation.expires_s = now_s + TICKET_LIFETIME_S
        return reservation.ticket

    def use_ticket(
        self, key: AttemptKey, ticket: int, now_s: float
    ) -> GoAction:
        """Decides what to do with a `SlotGo`; RUN uses the ticket.

        After NOT_SENT, the caller must end the reservation if it exists, so
        that no duplicate of the message can run it.
        """
        reservation = self._reservations_by_key.get(key)
        if reservation is None:
            # NOT_SENT could be wrong: the ticket may have been used before
            # its reservation was evicted.
            if ticket <= self._max_evicted_ticket:
                return GoAction.IGNORE
            return GoAction.NOT_SENT
        if reservation.state is State.RUNNING:
            return GoAction.IGNORE
        if reservation.state is State.ENDED:
            return GoAction.REPEAT
        if (
            reservation.state is State.HELD
            and reservation.ticket == ticket
            and now_s < reservation.expires_s
        ):
            reservation.state = State.RUNNING
            return GoAction.RUN
        return GoAction.NOT_SENT

    def end(
        self,
        key: AttemptKey,
        now_s: float,
        outcome: messages.SlotOutcome,
    ) -> None:
        """Ends a reservation; `outcome` is sent again for duplicate `SlotGo`s.

        An unknown reservation is recorded as ended, because its `SlotReserve`
        may arrive after its `SlotRelease`.
        """
        reservation = self._reservations_by_key.setdefault(
            key, _Reservation(None)
        )
        if reservation.state is State.ENDED:
            return
        reservation.state = State.ENDED
        reservation.ended_s = now_s
        reservation.outcome = outcome
        self._ended.append(key)

    def state(self, key: AttemptKey) -> State | None:
        """Returns the state of a reservation, None if it is unknown."""
        reservation = self._reservations_by_key.get(key)
        return reservation.state if reservation else None

    def dispatcher(self, key: AttemptKey) -> Any:
        """Returns the dispatcher of a reservation.

        Returns:
            None if the reservation is unknown or ended before it was opened.
        """
        reservation = self._reservations_by_key.get(key)
        return reservation.dispatcher if reservation else None

    def outcome(self, key: AttemptKey) -> messages.SlotOutcome:
        """Returns the outcome of an ended reservation."""
        outcome = self._reservations_by_key[key].outcome
        assert outcome is not None
        return outcome

    def held_keys(self) -> list[AttemptKey]:
        """Returns the keys of reservations with a held slot."""
        return [
            key
            for key, reservation in self._reservations_by_key.items()
            if reservation.state is State.HELD
        ]

    def dump(self) -> dict[str, int]:
        """Returns the number of reservations by state."""
        counts = collections.Counter(
            reservation.state.value
            for reservation in self._reservations_by_key.values()
        )
        return dict(counts)

    def _evict_ended(self, now_s: float) -> None:
        while self._ended:
            reservation = self._reservations_by_key[self._ended[0]]
            is_recent = now_s - reservation.ended_s < _ENDED_LIFETIME_S
            if is_recent and len(self._ended) <= _MAX_ENDED:
                return
            del self._reservations_by_key[self._ended.popleft()]
            self._max_evicted_ticket = max(
                self._max_evicted_ticket, reservation.ticket
            )
