"""Local copy of a source's items; does no I/O.

The fault that it answers: a source that loses its last writes because it is
restored from a copy that is some seconds old. Its revisions go back, and are
given out again for other writes. The source counts the restores; the number is
called its era, and a write is located by era and revision together.

The writers repeat their lost writes. Until they do, the copy of the source is
older than what is known here, so a restored item is compared by the order that
its writer gave it, such as the version of a configuration.
"""

import collections
import dataclasses
from typing import Protocol

from mallowloft.kernel import logs

_log = logs.get_logger("mirror")

# Removals are delayed for this long after an outage: entries that expired
# during an outage of the source are written again within 2 s of its recovery if
# their replicas are alive; the rest is margin.
_REMOVAL_HOLD_S = 2.3
# After a restore, a write that its writer had already replaced is applied only
# after this time, because the writer may be repeating several writes in turn.
_REPEATED_WRITE_HOLD_S = 1.0
# A restored item that had been removed comes back into use if the source still
# has it after this time. A source drops the items of writers that are gone
# earlier than that.
_RESTORED_ITEM_HOLD_S = 10.0
# Number of removals that are kept for other instances to ask for, and with
# which the items of a restored source are compared.
_MAX_STORED_REMOVALS = 2_000

# Order that the writer of an item gave to a value. A value without one is empty
# and comes before all others.
WriterOrder = tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """The last write of a key.

    Attributes:
        revision: The source's revision of the write.
        value: None if the key was removed (in batches only).
        era: Era of the source in which it gave out the revision.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision; later writes have greater ones."""
        return (self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items and the source's revision at which they were read.

    Attributes:
        items: The items; those of a listing may be from earlier eras.
        revision: Revision up to which the items are complete.
        era: Era of the revision.
        restored_until: In a listing, a revision of the era that is not below
            the one to which the source was restored. Items with greater
            revisions were written after the restore.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0
    restored_until: int | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision up to which the items are complete."""
        return (self.era, self.revision)


class Listener(Protocol):
    """Receiver of changes to the local copy.

    A value that it cannot read has an empty order.
    """

    def changed(self, key: str, value: bytes, replaces_any: bool) -> None:
        """Called after a key got a new value.

        Args:
            key: The key.
            value: The value.
            replaces_any: Whether the value replaces the known one even if its
                order is lower, because the source has lost the known one.
        """

    def removed(self, key: str) -> None:
        """Called after a key was removed."""

    def order_of(self, key: str, value: bytes) -> WriterOrder:
        """Returns the order that the writer gave to a value."""


class _IsolatedListener:
    """Keeps an error in the handling of one item from the other items.

    Without it, the items after the faulty one in a batch would be skipped, and
    a faulty item of each listing would make every call fail.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener

    def changed(self, key: str, value: bytes, replaces_any: bool) -> None:
        """Passes a new value on; one that cannot be applied is removed."""
        try:
            self._listener.changed(key, value, replaces_any)
        except Exception:  # noqa: BLE001
            _log.exception("item_failed", key=key)
            self.removed(key)

    def removed(self, key: str) -> None:
        """Passes a removal on."""
        try:
            self._listener.removed(key)
        except Exception:  # noqa: BLE001
            _log.exception("removal_failed", key=key)

    def order_of(self, key: str, value: bytes) -> WriterOrder:
        """Returns the order of a value, empty if it has none."""
        try:
            return self._listener.order_of(key, value)
        except Exception:  # noqa: BLE001
            _log.exception("order_failed", key=key)
            return ()


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A removal that was applied; numbers are consecutive."""

    number: int
    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RemovedItem:
    """Position of a removal, and the last order of the removed item."""

    position: tuple[int, int]
    order: WriterOrder


@dataclasses.dataclass(frozen=True, slots=True)
class _DeferredItem:
    """An item that is applied later unless another write replaces it."""

    due_s: float
    item: Item


class Mirror:
    """The local copy of the source's items.

    Removals are delayed after an outage of the source, because entries of live
    replicas that expired during the outage are soon written again.

    Attributes:
        era: Era of the last listing.
        restored_until: Revision of this era up to which the source may have
            been restored.
        kept_items: Number of items and removals that were kept because a
            restored source had older ones.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = _IsolatedListener(listener)
        self._items_by_key: dict[str, Item] = {}
        # Order of the last value of each key that has one.
        self._order_by_key: dict[str, WriterOrder] = {}
        self._removed_by_key: collections.OrderedDict[str, _RemovedItem] = (
            collections.OrderedDict()
        )
        # Time at which each removal is due, and its position.
        self._pending_removals_by_key: dict[
            str, tuple[float, tuple[int, int]]
        ] = {}
        self._deferred_by_key: dict[str, _DeferredItem] = {}
        self._hold_removals_until_s = 0.0
        self._removals: collections.deque[Removal] = collections.deque(
            maxlen=_MAX_STORED_REMOVALS
        )
        self.removal_count = 0
        # Removals up to this revision are unknown; 0 before the first listing.
        self._first_listing_revision = 0
        # Revision of the last batch.
        self._revision = 0
        self.era = 0
        self.restored_until = 0
        self.kept_items = 0

    def __len__(self) -> int:
        return len(self._items_by_key)

    @property
    def next_due_s(self) -> float | None:
        """Time at which the next delayed change is due; None if none is."""
        due_s = [at_s for at_s, _ in self._pending_removals_by_key.values()]
        due_s += [item.due_s for item in self._deferred_by_key.values()]
        return min(due_s, default=None)

    @property
    def pending_removals(self) -> int:
        """Number of removals of the source that are not applied yet."""
        return len(self._pending_removals_by_key)

    def items_after(self, position: tuple[int, int]) -> list[Item]:
        """Returns the items that were written after a position."""
        return [
            item
            for item in self._items_by_key.values()
            if item.position > position
        ]

    def removals_after(
        self, revision: int, number: int
    ) -> list[Removal] | None:
        """Returns later removals, or None if some of them are unknown.

        Args:
            revision: Revision of this era up to which the requesting instance
                knows the source.
            number: Number of the last removal that the requesting instance got
                from this mirror; -1 if it got none.
        """
        if revision < self._first_listing_revision:
            return None
        if number < 0:
            oldest = self._removals[0] if self._removals else None
            discarded_any = oldest is not None and oldest.number > 1
            if discarded_any and revision < oldest.revision:
                return None
            return [item for item in self._removals if item.revision > revision]
        found = [item for item in self._removals if item.number > number]
        complete = len(found) == self.removal_count - number
        return found if complete else None

    def hold_removals(self, now_s: float) -> None:
        """Delays removals for a while after an outage of the source."""
        self._hold_removals_until_s = now_s + _REMOVAL_HOLD_S

    def replace(self, batch: Batch, now_s: float) -> bool:
        """Replaces the items by a complete listing.

        Returns:
            Whether the source was restored since the previous listing.
        """
        is_restored = self._first_listing_revision > 0 and batch.era > self.era
        if is_restored:
            self._begin_era(now_s)
        restored_until = (
            batch.revision
            if batch.restored_until is None
            else batch.restored_until
        )
        if is_restored or not self._first_listing_revision:
            self.era = batch.era
            self._first_listing_revision = batch.revision
            self.restored_until = restored_until
        self.restored_until = min(self.restored_until, restored_until)
        self._revision = batch.revision
        listed = {item.key for item in batch.items}
        for item in batch.items:
            self._apply_value(item, now_s)
        for key in set(self._items_by_key) - listed:
            self._remove(key, batch.position, now_s)
        for key in set(self._deferred_by_key) - listed:
            del self._deferred_by_key[key]
        return is_restored

    def update(self, batch: Batch, now_s: float) -> None:
        """Applies changes of the current era in order."""
        self._revision = batch.revision
        for item in batch.items:
            if item.value is not None:
                self._apply_value(item, now_s)
                continue
            deferred = self._deferred_by_key.get(item.key)
            if deferred is not None and item.position > deferred.item.position:
                del self._deferred_by_key[item.key]
            if item.position > self._position_of(item.key):
                self._remove(item.key, item.position, now_s)

    def apply_due(self, now_s: float) -> None:
        """Applies the delayed changes that are due."""
        due_removals = [
            (key, position)
            for key, (at_s, position) in self._pending_removals_by_key.items()
            if at_s <= now_s
        ]
        for key, position in due_removals:
            self._apply_removal(key, position)
        due_items = [
            deferred.item
            for deferred in self._deferred_by_key.values()
            if deferred.due_s <= now_s
        ]
        for item in due_items:
            self._accept(item, replaces_any=True)
        if due_items:
            self._require_listings()

    def _require_listings(self) -> None:
        """Makes other instances list the items again.

        They may know later revisions than that of an item that was deferred.
        """
        self._removals.clear()
        self.removal_count += 1
        self._first_listing_revision = max(
            self._first_listing_revision, self._revision
        )

    def _begin_era(self, now_s: float) -> None:
        """Prepares for the first listing of a restored source."""
        # Numbers of removals stay consecutive, so that instances that know one
        # detect that they lack others.
        self._removals.clear()
        self._deferred_by_key.clear()
        self._pending_removals_by_key.clear()
        self.hold_removals(now_s)

    def revision_of(self, key: str) -> int:
        """Returns the revision of the last write or removal of a key.

        It is 0 if none is known.
        """
        removed = self._removed_by_key.get(key)
        position = removed.position if removed else self._position_of(key)
        return position[1]

    def _position_of(self, key: str) -> tuple[int, int]:
        item = self._items_by_key.get(key)
        return item.position if item is not None else (0, 0)

    def _apply_value(self, item: Item, now_s: float) -> None:
        known = self._items_by_key.get(item.key)
        removed = self._removed_by_key.get(item.key)
        if known is not None and item.era > known.era:
            order = self._listener.order_of(item.key, known.value)
            if order:
                self._apply_restored(item, order, known.value, now_s)
            else:
                self._replace_unordered(item, now_s)
        elif known is None and removed and item.era > removed.position[0]:
            self._apply_restored(item, removed.order, None, now_s)
        elif known is None or item.position > known.position:
            self._accept(item)
        elif item.position == known.position:
            self._pending_removals_by_key.pop(item.key, None)
        # Otherwise the item is older than the known one. For example, a listing
        # may contain changes that are newer than its revision, which states
        # only up to where it is complete; a later call returns them again.

    def _replace_unordered(self, item: Item, now_s: float) -> None:
        """Applies an item of a later era than a known one without an order.

        A known value that is unreadable is not in use, so it must not keep the
        item from use. The last value that had an order may.
        """
        last_order = self._order_by_key.get(item.key, ())
        if self._listener.order_of(item.key, item.value) >= last_order:
            self._accept(item, replaces_any=True)
        else:
            self._apply_restored(item, last_order, None, now_s)

    def _apply_restored(
        self,
        item: Item,
        known_order: WriterOrder,
        known_value: bytes | None,
        now_s: float,
    ) -> None:
        """Applies an item of a later era than what is known of its key.

        Args:
            item: The item.
            known_order: Order of the value that is known or was removed.
            known_value: The known value; None if none is in use.
            now_s: Current time.
        """
        order = self._listener.order_of(item.key, item.value)
        written_since = item.revision > self.restored_until
        repeats = order == known_order and item.value == known_value
        if (
            order > known_order
            or repeats
            or (order == known_order and written_since)
        ):
            self._accept(item, replaces_any=True)
            return
        self._pending_removals_by_key.pop(item.key, None)
        if item.key in self._deferred_by_key and (
            self._deferred_by_key[item.key].item.position >= item.position
        ):
            return
        if written_since:
            due_s = now_s + _REPEATED_WRITE_HOLD_S
        else:
            self.kept_items += 1
            if known_value is not None:
                return
            due_s = now_s + _RESTORED_ITEM_HOLD_S
        self._deferred_by_key[item.key] = _DeferredItem(due_s, item)

    def _accept(self, item: Item, replaces_any: bool = False) -> None:
        self._deferred_by_key.pop(item.key, None)
        self._pending_removals_by_key.pop(item.key, None)
        self._removed_by_key.pop(item.key, None)
        self._items_by_key[item.key] = item
        order = self._listener.order_of(item.key, item.value)
        if order:
            self._order_by_key[item.key] = order
        self._listener.changed(item.key, item.value, replaces_any)

    def _remove(
        self, key: str, position: tuple[int, int], now_s: float
    ) -> None:
        if key not in self._items_by_key:
            return
        if now_s < self._hold_removals_until_s:
            held = (self._hold_removals_until_s, position)
            self._pending_removals_by_key.setdefault(key, held)
        else:
            self._apply_removal(key, position)

    def _apply_removal(self, key: str, position: tuple[int, int]) -> None:
        self._pending_removals_by_key.pop(key, None)
        item = self._items_by_key.pop(key, None)
        if item is None:
            return
        order = self._order_by_key.pop(key, ())
        self._removed_by_key[key] = _RemovedItem(position, order)
        while len(self._removed_by_key) > _MAX_STORED_REMOVALS:
            self._removed_by_key.popitem(last=False)
        self.removal_count += 1
        self._removals.append(Removal(self.removal_count, key, position[1]))
        self._listener.removed(key)
