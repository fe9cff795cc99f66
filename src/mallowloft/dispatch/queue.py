"""Priority queue of one replica."""

import bisect
import dataclasses
import itertools
from typing import Any
from typing import NamedTuple


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


class Start(NamedTuple):
    """Work that leaves the queue to be started.

    Attributes:
        reserved: The start is due to `min_share`, not to priority.
    """

    item: Item
    reserved: bool


# Sorted ascending, so that the earliest deadline is the last entry and
# leaves the list without moving others.
_Entry = tuple[float, int, Item]


class _Class:
    """Waiting items of one priority class."""

    def __init__(self) -> None:
        # Dictionaries keep insertion order: the last one is the newest.
        self.entries_by_key: dict[Any, _Entry] = {}
        self.order: list[_Entry] = []

    def add(self, item: Item, sequence: int) -> None:
        entry = (-item.deadline_s, -sequence, item)
        self.entries_by_key[item.key] = entry
        bisect.insort(self.order, entry)

    def remove(self, key: Any) -> Item:
        entry = self.entries_by_key.pop(key)
        del self.order[bisect.bisect_left(self.order, entry)]
        return entry[2]

    def pop(self) -> Item:
        item = self.order.pop()[2]
        del self.entries_by_key[item.key]
        return item

    def newest(self) -> Item:
        return self.entries_by_key[next(reversed(self.entries_by_key))][2]

    def due_before(self, deadline_s: float) -> int:
        """Returns how many items start before a new one with a deadline."""
        return len(self.order) - bisect.bisect_left(self.order, (-deadline_s,))


class PriorityQueue:
    """Strict priority by rank, earliest deadline first within a rank.

    Operations take O(log n) comparisons. Adding and removing also move part
    of a list of at most `limit` pointers, which is faster at these sizes than
    a tree, and gives exact positions, which a heap does not.
    """

    def __init__(self, limit: int, min_share: float = 0.0) -> None:
        """Creates an empty queue.

        Args:
            limit: Number of items that may wait.
            min_share: Share of starts that a waiting class gets at least.
        """
        self.min_share = min_share
        self._limit = limit
        self._classes_by_rank: dict[int, _Class] = {}
        self._rank_by_key: dict[Any, int] = {}
        # Kept while a class is empty: a class whose items expire one by one
        # would otherwise never be due.
        self._credit_by_rank: dict[int, float] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._rank_by_key)

    def __contains__(self, key: Any) -> bool:
        return key in self._rank_by_key

    def push(self, item: Item) -> Item | None:
        """Adds work.

        Returns:
            The work that is refused because the queue is full: the newest of
            the lowest class, which may be the added one.
        """
        queued = self._classes_by_rank.get(item.rank)
        if queued is None:
            queued = self._classes_by_rank[item.rank] = _Class()
        queued.add(item, next(self._sequence))
        self._rank_by_key[item.key] = item.rank
        if len(self) <= self._limit:
            return None
        lowest = self._classes_by_rank[max(self._classes_by_rank)]
        return self.remove(lowest.newest().key)

    def remove(self, key: Any) -> Item | None:
        """Removes work that waits, None if it does not."""
        rank = self._rank_by_key.pop(key, None)
        if rank is None:
            return None
        item = self._classes_by_rank[rank].remove(key)
        self._drop_if_empty(rank)
        return item

    def pop(self) -> Start | None:
        """Removes and returns the work to start next."""
        if not self._classes_by_rank:
            return None
        head = min(self._classes_by_rank)
        due = self._reserved_rank(head)
        rank = head if due is None else due
        queued = self._classes_by_rank[rank]
        credit = self._credit_by_rank.get(rank, 0.0)
        self._credit_by_rank[rank] = max(0.0, credit - 1.0)
        item = queued.pop()
        del self._rank_by_key[item.key]
        self._drop_if_empty(rank)
        return Start(item, due is not None)

    def expire(self, now_s: float) -> list[Item]:
        """Removes and returns the work whose deadline has passed."""
        expired = []
        for rank, queued in list(self._classes_by_rank.items()):
            while queued.order and queued.order[-1][2].deadline_s <= now_s:
                item = queued.pop()
                del self._rank_by_key[item.key]
                expired.append(item)
            self._drop_if_empty(rank)
        return expired

    def take_all(self) -> list[Item]:
        """Removes and returns everything, in order of priority."""
        items = []
        for rank in sorted(self._classes_by_rank):
            order = self._classes_by_rank[rank].order
            items.extend(entry[2] for entry in reversed(order))
        self._classes_by_rank.clear()
        self._rank_by_key.clear()
        return items

    def rank(self, key: Any) -> int:
        """Returns the class of an item that waits."""
        return self._rank_by_key[key]

    def head(self) -> Item | None:
        """Returns the item that is next by priority."""
        if not self._classes_by_rank:
            return None
        return self._classes_by_rank[min(self._classes_by_rank)].order[-1][2]

    def lowest_rank(self) -> int | None:
        """Returns the lowest class that waits."""
        return max(self._classes_by_rank, default=None)

    def next_deadline_s(self) -> float | None:
        """Returns the earliest deadline of what waits."""
        return min(
            (
                queued.order[-1][2].deadline_s
                for queued in self._classes_by_rank.values()
            ),
            default=None,
        )

    def ahead_of(self, rank: int, deadline_s: float = float("inf")) -> int:
        """Returns how many waiting items start before a new one."""
        ahead = 0
        for other, queued in self._classes_by_rank.items():
            if other < rank:
                ahead += len(queued.order)
            elif other == rank:
                ahead += queued.due_before(deadline_s)
        return ahead

    def _reserved_rank(self, head: int) -> int | None:
        """Credits the classes that are passed over and returns a due one."""
        due = None
        for rank in self._classes_by_rank:
            if rank == head:
                continue
            credit = self._credit_by_rank.get(rank, 0.0) + self.min_share
            self._credit_by_rank[rank] = min(credit, 1.0)
            if credit < 1.0:
                continue
            if due is None or rank < due:
                due = rank
        return due

    def _drop_if_empty(self, rank: int) -> None:
        if not self._classes_by_rank[rank].order:
            del self._classes_by_rank[rank]
