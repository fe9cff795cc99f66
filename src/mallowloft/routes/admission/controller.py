"""Decides which requests of a service group start, wait or are refused.

A request is compared only with the running requests that are at least as urgent
as it. So a burst of a less urgent class takes no place of a more urgent one,
whose objective mostly leaves no time to wait. While more urgent requests take
all places, each less urgent rank gets a credit for each of them, and a request
of that rank starts beyond the limit for a whole credit.
"""

from collections.abc import Callable
import dataclasses
import heapq
import math
import random
from typing import Any

from mallowloft.dispatch import queue as queue_lib
from mallowloft.routes.admission import limit as limit_lib

_MAX_WAITING = 256
# Share of the objective for which a request may wait.
MAX_WAIT_SHARE = 0.25
# Recent admissions of a caller decay with this time constant.
_CALLER_DECAY_S = 10.0
# Callers beyond this number share one entry.
_MAX_CALLERS = 1000
_OVERFLOW = "*"
# Entries with fewer recent admissions are removed.
_MIN_ADMISSIONS = 0.05
_CLEANUP_INTERVAL_S = 1.0
_DURATION_WEIGHT = 0.1
_INITIAL_DURATION_S = 0.05
# Callers honour a retry-after up to a third of their remaining time.
_MAX_RETRY_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.001
# Width of the interval over which refused requests return, relative to their
# wait, per rank.
_JITTER_PER_RANK = 0.5
# Bound of the refused requests that are expected to return.
_MAX_RETURNS = 1000


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A submitted request.

    Attributes:
        wait_until_s: Loop time until which it may wait.
        position: Order among the waiting requests of its rank.
        started_s: Loop time at which it was started; None before.
        ended: Whether it was refused, released or withdrawn.
    """

    rank: int
    caller: str
    deadline_s: float
    wait_until_s: float
    position: float
    start: Callable[[], None]
    refuse: Callable[[float], None]
    started_s: float | None = None
    ended: bool = False


class _Callers:
    """Recent admissions and waiting requests by caller address."""

    def __init__(self) -> None:
        self._admissions: dict[str, tuple[float, float]] = {}
        self._waiting: dict[str, int] = {}
        self._cleaned_s = -math.inf

    def key(self, caller: str, now_s: float) -> str:
        """Returns the entry of a caller."""
        if caller in self._admissions:
            return caller
        if len(self._admissions) >= _MAX_CALLERS:
            self._clean_up(now_s)
        if len(self._admissions) >= _MAX_CALLERS:
            caller = _OVERFLOW
        self._admissions.setdefault(caller, (0.0, now_s))
        return caller

    def position(self, key: str, now_s: float) -> float:
        """Returns the order of a new request among those of its rank."""
        return self._recent(key, now_s) + self._waiting.get(key, 0)

    def add_waiting(self, key: str, change: int) -> None:
        """Adds to the waiting requests of a caller."""
        count = self._waiting.get(key, 0) + change
        if count:
            self._waiting[key] = count
        else:
            self._waiting.pop(key, None)

    def admit(self, key: str, now_s: float) -> None:
        """Counts an admission."""
        self._admissions[key] = (self._recent(key, now_s) + 1.0, now_s)

    def _recent(self, key: str, now_s: float) -> float:
        value, updated_s = self._admissions.get(key, (0.0, now_s))
        return value * math.exp((updated_s - now_s) / _CALLER_DECAY_S)

    def _clean_up(self, now_s: float) -> None:
        if now_s - self._cleaned_s < _CLEANUP_INTERVAL_S:
            return
        self._cleaned_s = now_s
        for key in list(self._admissions):
            if (
                key not in self._waiting
                and self._recent(key, now_s) < _MIN_ADMISSIONS
            ):
                del self._admissions[key]

    def __len__(self) -> int:
        return len(self._admissions)


class Controller:
    """Admission of the requests of one service group.

    The caller passes the current loop time in seconds.

    Attributes:
        limit: The limit of running requests.
        refused_by_rank: Number of refused requests.
    """

    def __init__(self, min_share: float, rng: random.Random) -> None:
        self.limit = limit_lib.AdaptiveLimit()
        self.refused_by_rank: dict[int, int] = {}
        self._min_share = min_share
        self._rng = rng
        self._queue = queue_lib.PriorityQueue(_MAX_WAITING)
        self._callers = _Callers()
        self._running_by_rank: dict[int, int] = {}
        self._credit_by_rank: dict[int, float] = {}
        self._duration_s = _INITIAL_DURATION_S
        # Loop times and ranks at which refused requests are expected again.
        self._returns: list[tuple[float, int]] = []
        self._waiting_tickets: dict[Ticket, None] = {}

    @property
    def running(self) -> int:
        """Number of running requests."""
        return sum(self._running_by_rank.values())

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting_tickets)

    def submit(
        self,
        rank: int,
        caller: str,
        objective_s: float,
        deadline_s: float,
        now_s: float,
        start: Callable[[], None],
        refuse: Callable[[float], None],
        wait_until_s: float | None = None,
    ) -> Ticket:
        """Starts a request, lets it wait, or refuses it.

        Args:
            rank: Rank of the request; 0 is the most urgent.
            caller: Address of its caller.
            objective_s: Latency objective of its route.
            deadline_s: Loop time after which the answer is not needed.
            now_s: Current loop time.
            start: Called to start it.
            refuse: Called with the retry-after in seconds to refuse it.
            wait_until_s: Loop time until which it may wait; by default a
                quarter of the objective from now.
        """
        if wait_until_s is None:
            wait_until_s = now_s + MAX_WAIT_SHARE * objective_s
        # An answer takes one more duration after the wait.
        wait_until_s = min(wait_until_s, deadline_s - self._duration_s)
        key = self._callers.key(caller, now_s)
        position = self._callers.position(key, now_s)
        ticket = Ticket(
            rank, key, deadline_s, wait_until_s, position, start, refuse
        )
        self.limit.update(self.running, now_s)
        credit = self._credit_by_rank.setdefault(rank, 0.0)
        if (
            not self._has_place(rank)
            and credit < 1.0
            and now_s + self._expected_wait_s(rank, position) > wait_until_s
        ):
            self._refuse(ticket, now_s)
            return ticket
        self._waiting_tickets[ticket] = None
        self._callers.add_waiting(key, 1)
        # The queue starts the items of a rank in the order of this field.
        dropped = self._queue.push(
            queue_lib.Item(ticket, rank, position, now_s, None)
        )
        if dropped is not None:
            self._forget_waiting(dropped.key)
            self._refuse(dropped.key, now_s)
        self._start_waiting(now_s)
        return ticket

    def release(self, ticket: Ticket, served: bool, now_s: float) -> None:
        """Ends a request; one that waits leaves the queue.

        Args:
            ticket: The request; a further call has no effect.
            served: Whether it was answered.
            now_s: Current loop time.
        """
        if ticket.ended:
            return
        ticket.ended = True
        if ticket.started_s is None:
            self._queue.remove(ticket)
            self._forget_waiting(ticket)
            return
        self._running_by_rank[ticket.rank] -= 1
        if served:
            self._duration_s += _DURATION_WEIGHT * (
                now_s - ticket.started_s - self._duration_s
            )
        self.update(now_s)

    def update(self, now_s: float) -> None:
        """Adapts the limit, and starts or refuses waiting requests."""
        self.limit.update(self.running, now_s)
        expired = [
            ticket
            for ticket in self._waiting_tickets
            if ticket.wait_until_s <= now_s
        ]
        for ticket in expired:
            self._queue.remove(ticket)
            self._forget_waiting(ticket)
            self._refuse(ticket, now_s)
        self._start_waiting(now_s)

    def next_expiry_s(self) -> float:
        """Returns when the next waiting request must be refused."""
        return min(
            (ticket.wait_until_s for ticket in self._waiting_tickets),
            default=math.inf,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the limit and the numbers of requests."""
        return {
            "limit": round(self.limit.value, 1),
            "reason": self.limit.reason,
            "running_by_rank": dict(self._running_by_rank),
            "waiting": self.waiting,
            "refused_by_rank": dict(self.refused_by_rank),
            "duration_ms": round(self._duration_s * 1000, 1),
            "callers": len(self._callers),
        }

    def _has_place(self, rank: int) -> bool:
        return self._count_running(rank) < int(self.limit.value)

    def _count_running(self, rank: int) -> int:
        """Returns the number of running requests of a rank or more urgent."""
        return sum(
            count
            for other, count in self._running_by_rank.items()
            if other <= rank
        )

    def _expected_wait_s(self, rank: int, position: float) -> float:
        """Returns the wait of a new request that has no place.

        The rank gets the places that more urgent requests leave, or its
        minimum share if that is sooner.
        """
        ahead = self._queue.count_ahead(rank, position) + 1
        own_ahead = ahead - self._queue.count_ahead(rank - 1)
        running = max(1, self.running)
        rate_per_s = running / max(self._duration_s, 1e-3)
        left_share = 1.0 - self._count_running(rank - 1) / running
        return min(
            ahead / (rate_per_s * max(left_share, 1e-3)),
            own_ahead / (rate_per_s * max(self._min_share, 1e-3)),
        )

    def _start_waiting(self, now_s: float) -> None:
        while (head := self._queue.head()) and self._has_place(head.rank):
            self._start(head.key, now_s)
        for rank, credit in list(self._credit_by_rank.items()):
            if credit < 1.0:
                continue
            waiting = [
                item for item in self._waiting_tickets if item.rank == rank
            ]
            if waiting:
                self._credit_by_rank[rank] = 0.0
                self._start(min(waiting, key=lambda item: item.position), now_s)

    def _start(self, ticket: Ticket, now_s: float) -> None:
        self._queue.remove(ticket)
        self._forget_waiting(ticket)
        self._callers.admit(ticket.caller, now_s)
        ticket.started_s = now_s
        self._running_by_rank[ticket.rank] = (
            self._running_by_rank.get(ticket.rank, 0) + 1
        )
        for rank, credit in self._credit_by_rank.items():
            if rank > ticket.rank and not self._has_place(rank):
                self._credit_by_rank[rank] = min(1.0, credit + self._min_share)
        self.limit.record_running(self.running)
        ticket.start()

    def _forget_waiting(self, ticket: Ticket) -> None:
        del self._waiting_tickets[ticket]
        self._callers.add_waiting(ticket.caller, -1)

    def _refuse(self, ticket: Ticket, now_s: float) -> None:
        ticket.ended = True
        self.refused_by_rank[ticket.rank] = (
            self.refused_by_rank.get(ticket.rank, 0) + 1
        )
        ticket.refuse(self._retry_after_s(ticket, now_s))

    def _retry_after_s(self, ticket: Ticket, now_s: float) -> float:
        """Returns when a refused request can expect to be served.

        The requests that are expected to return earlier count as waiting.
        """
        while self._returns and self._returns[0][0] <= now_s:
            heapq.heappop(self._returns)
        rank = ticket.rank
        ahead = self._queue.count_ahead(rank) + sum(
            other <= rank for _, other in self._returns
        )
        rate_per_s = max(1, self.running) / max(self._duration_s, 1e-3)
        wait_s = max(self._duration_s, ahead / rate_per_s)
        wait_s *= 1 + self._rng.uniform(0, _JITTER_PER_RANK * (rank + 1))
        longest_s = _MAX_RETRY_SHARE * (ticket.deadline_s - now_s)
        if wait_s > longest_s:
            # Returns that are all at the limit would be a new burst.
            wait_s = longest_s * self._rng.uniform(0.75, 1.0)
        wait_s = max(_MIN_RETRY_AFTER_S, wait_s)
        if len(self._returns) < _MAX_RETURNS:
            heapq.heappush(self._returns, (now_s + wait_s, rank))
        return wait_s
