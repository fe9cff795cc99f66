"""Priority queue of one replica."""

import dataclasses
import heapq
import itertools
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Work that waits for a slot.

    Attributes:
        key: Identifies the work for removal.
        rank: Rank of the priority class, 0 is the highest.
        deadline_s: When the work is of no use any more, on the local clock.
        queued_s: When the work was queued, on the local clock.
        work: What the owner of the queue runs.
    """

    key: Any
    rank: int
    deadline_s: float
    queued_s: float
    work: Any


class PriorityQueue:
    """Strict priority by rank, earliest deadline first within a rank."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._heap: list[tuple[int, float, int, Item]] = []
        self._items_by_key: dict[Any, Item] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._items_by_key)

    def push(self, item: Item) -> Item | None:
        """Adds work.

        Returns:
            The work that is refused because the queue is full: the newest of
            the lowest class, which may be the added one.
        """
        self._items_by_key[item.key] = item
        heapq.heappush(
            self._heap,
            (item.rank, item.deadline_s, next(self._sequence), item),
        )
        if len(self._items_by_key) <= self._limit:
            return None
        refused = max(
            self._items_by_key.values(),
            key=lambda queued: (queued.rank, queued.queued_s),
        )
        self.remove(refused.key)
        return refused

    def remove(self, key: Any) -> Item | None:
        """Removes work that has not been popped."""
        return self._items_by_key.pop(key, None)

    def pop(self) -> Item | None:
        """Removes and returns the work to start next."""
        while self._heap:
            item = heapq.heappop(self._heap)[3]
            if self._items_by_key.get(item.key) is item:
                del self._items_by_key[item.key]
                return item
        return None

    def ahead_of(self, rank: int) -> int:
        """Returns how many queued items start before a new one of a rank."""
        return sum(item.rank <= rank for item in self._items_by_key.values())
