"""Priority queue of the work for one replica."""

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
        deadline_s: When the result is no longer useful, on the local clock.
        queued_s: When the work was queued, on the local clock.
        work: Message that describes the work; not used by the queue.
    """

    key: Any
    rank: int
    deadline_s: float
    queued_s: float
    work: Any


class QueueStart(NamedTuple):
    """Work that leaves the queue to be started.

    Attributes:
        item: The work.
        from_min_share: Whether `min_share` caused the start, not priority.
    """

    item: Item
    from_min_share: bool


# Negated deadline, negated sequence number and item. In ascending order, the
# earliest deadline is last, so that removing that entry moves no others.
_Entry = tuple[float, int, Item]


class _PriorityClass:
    """Waiting items of one priority class."""

    def __init__(self) -> None:
        # Dictionaries keep insertion order, so the last entry is the newest.
        self.entries_by_key: dict[Any, _Entry] = {}
        self.entries: list[_Entry] = []

    def add(self, item: Item, sequence: int) -> None:
        entry = (-item.deadline_s, -sequence, item)
        self.entries_by_key[item.key] = entry
        bisect.insort(self.entries, entry)

    def remove(self, key: Any) -> Item:
        entry = self.entries_by_key.pop(key)
        del self.entries[bisect.bisect_left(self.entries, entry)]
        return entry[2]

    def pop(self) -> Item:
        item = self.entries.pop()[2]
        del self.entries_by_key[item.key]
        return item

    def newest(self) -> Item:
        return self.entries_by_key[next(reversed(self.entries_by_key))][2]

    def count_before(self, deadline_s: float) -> int:
        """Counts the items that start before a new one with this deadline."""
        return len(self.entries) - bisect.bisect_left(
            self.entries, (-deadline_s,)
        )


class PriorityQueue:
    """Priority by rank, earliest deadline first within a rank.

    Each lower class that waits gets about `min_share` of the starts.

    Operations take O(log n) comparisons. Adding and removing an item also
    moves part of a list of at most `limit` pointers. At these sizes, a list is
    faster than a tree, and unlike a heap, it gives exact positions.
    """

    def __init__(self, limit: int, min_share: float = 0.0) -> None:
        """Creates an empty queue.

        Args:
            limit: Maximum number of waiting items.
            min_share: Minimum share of starts for each waiting class.
        """
        self.min_share = min_share
        self._limit = limit
        self._classes_by_rank: dict[int, _PriorityClass] = {}
        self._rank_by_key: dict[Any, int] = {}
        # Credit is kept while a class is empty. Otherwise a class whose items
        # expire one by one would never have enough credit for a start.
        self._credit_by_rank: dict[int, float] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._rank_by_key)

    def __contains__(self, key: Any) -> bool:
        return key in self._rank_by_key

    def push(self, item: Item) -> Item | None:
        """Adds work.

        Returns:
            The work that was removed because the queue is full, otherwise
            None. The newest item of the lowest class is removed, which may be
            the added one.
        """
        priority_class = self._classes_by_rank.get(item.rank)
        if priority_class is None:
            priority_class = self._classes_by_rank[item.rank] = _PriorityClass()
        priority_class.add(item, next(self._sequence))
        self._rank_by_key[item.key] = item.rank
        if len(self) <= self._limit:
            return None
        lowest = self._classes_by_rank[max(self._classes_by_rank)]
        return self.remove(lowest.newest().key)

    def remove(self, key: Any) -> Item | None:
        """Removes and returns waiting work; None if it does not wait."""
        rank = self._rank_by_key.pop(key, None)
        if rank is None:
            return None
        item = self._classes_by_rank[rank].remove(key)
        self._delete_if_empty(rank)
        return item

    def pop(self) -> QueueStart | None:
        """Removes and returns the work to start next, None if empty."""
        if not self._classes_by_rank:
            return None
        head_rank = min(self._classes_by_rank)
        min_share_rank = self._pick_min_share_rank(head_rank)
        rank = head_rank if min_share_rank is None else min_share_rank
        priority_class = self._classes_by_rank[rank]
        credit = self._credit_by_rank.get(rank, 0.0)
        self._credit_by_rank[rank] = max(0.0, credit - 1.0)
        item = priority_class.pop()
        del self._rank_by_key[item.key]
        self._delete_if_empty(rank)
        return QueueStart(item, min_share_rank is not None)

    def expire(self, until_s: float) -> list[Item]:
        """Removes and returns items with a deadline at or before `until_s`."""
        expired = []
        for rank, priority_class in list(self._classes_by_rank.items()):
            while (
                priority_class.entries
                and priority_class.entries[-1][2].deadline_s <= until_s
            ):
                item = priority_class.pop()
                del self._rank_by_key[item.key]
                expired.append(item)
            self._delete_if_empty(rank)
        return expired

    def remove_all(self) -> list[Item]:
        """Removes and returns all items, in order of priority."""
        items = []
        for rank in sorted(self._classes_by_rank):
            entries = self._classes_by_rank[rank].entries
            items.extend(entry[2] for entry in reversed(entries))
        self._classes_by_rank.clear()
        self._rank_by_key.clear()
        return items

    def rank(self, key: Any) -> int:
        """Returns the rank of a waiting item."""
        return self._rank_by_key[key]

    def head(self) -> Item | None:
        """Returns the next item by priority, without regard to `min_share`.

        Returns:
            The item, None if the queue is empty.
        """
        if not self._classes_by_rank:
            return None
        return self._classes_by_rank[min(self._classes_by_rank)].entries[-1][2]

    def rank_of_lowest_class(self) -> int | None:
        """Returns the rank of the lowest waiting class, None if empty."""
        return max(self._classes_by_rank, default=None)

    def next_deadline_s(self) -> float | None:
        """Returns the earliest deadline of all items, None if empty."""
        return min(
            (
                priority_class.entries[-1][2].deadline_s
                for priority_class in self._classes_by_rank.values()
            ),
            default=None,
        )

    def count_ahead(self, rank: int, deadline_s: float = float("inf")) -> int:
        """Returns how many items would start before a new one by priority.

        The count is without regard to `min_share`.
        """
        ahead = 0
        for other, priority_class in self._classes_by_rank.items():
            if other < rank:
                ahead += len(priority_class.entries)
            elif other == rank:
                ahead += priority_class.count_before(deadline_s)
        return ahead

    def _pick_min_share_rank(self, head_rank: int) -> int | None:
        """Adds credit to the waiting classes below the head.

        Returns:
            The rank of the highest class with credit for a start, None if no
            class has enough.
        """
        min_share_rank = None
        for rank in self._classes_by_rank:
            if rank == head_rank:
                continue
            credit = self._credit_by_rank.get(rank, 0.0) + self.min_share
            self._credit_by_rank[rank] = min(credit, 1.0)
            if credit < 1.0:
                continue
            if min_share_rank is None or rank < min_share_rank:
                min_share_rank = rank
        return min_share_rank

    def _delete_if_empty(self, rank: int) -> None:
        if not self._classes_by_rank[rank].entries:
            del self._classes_by_rank[rank]
