"""Keeps a local copy of the published routes and replicas up to date.

The source may be slow, refuse calls of some instances, lose its history, stop
answering on an open connection or be unreachable. The last copy stays in use
until the source answers again.
"""

import asyncio
import collections
import dataclasses
import enum
import random
from typing import Protocol

import result

from mallowloft.kernel import logs

_log = logs.get_logger("following")

# Pause after each call, so that one call fetches a burst of changes. The pause
# grows in proportion to the number of instances above _MIN_PAUSE_INSTANCES, up
# to a share of the time that a call may wait, so that the total number of calls
# grows more slowly than the fleet.
_MIN_PAUSE_S = 0.4
_MIN_PAUSE_INSTANCES = 20
_MAX_PAUSE_WATCH_SHARE = 0.3
# A source may truncate long answers. After an answer with at least this many
# changes, the next call follows without a pause.
LONG_ANSWER_MIN_ITEMS = 20
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.8
# Removals are delayed for this long after an outage: entries that expired
# during an outage of the source are written again within 2 s of its recovery if
# their replicas are alive; the rest is margin.
_REMOVAL_HOLD_S = 2.3
# A source that failed calls had an outage if it was silent for longer than the
# wait of a call plus this time; otherwise it was only slow.
_MIN_OUTAGE_S = 1.0
# Longest wait of a call if other instances rely on this one, so that it soon
# detects the loss of the source.
_MAX_HUB_WAIT_S = 1.2
# An answer may arrive this long after the wait of its call.
_RESPONSE_MARGIN_S = 0.5
# Wait of a call if a removal is already due.
_MIN_WAIT_S = 0.05
# Number of removals that are kept for other instances to ask for.
_MAX_STORED_REMOVALS = 2_000


class CallError(enum.StrEnum):
    """Reason for which a call failed."""

    HISTORY_LOST = "history_lost"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """The last write of a key.

    Attributes:
        value: None if the key was removed (in batches only).
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items and the source's revision at which they were read."""

    items: tuple[Item, ...]
    revision: int


class Client(Protocol):
    """Client of the source."""

    async def read(self) -> result.Result[Batch, CallError]:
        """Returns all items, and a revision up to which they are complete."""

    async def watch(
        self, after: int, wait_s: float
    ) -> result.Result[Batch, CallError]:
        """Waits for changes after a revision and returns them."""


class Listener(Protocol):
    """Receiver of changes to the local copy."""

    def changed(self, key: str, value: bytes) -> None:
        """Called after a key got a new value."""

    def removed(self, key: str) -> None:
        """Called after a key was removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A removal that was applied; numbers are consecutive."""

    number: int
    key: str
    revision: int


class Mirror:
    """The local copy of the source's items; does no I/O.

    Removals are delayed after an outage of the source, because entries of live
    replicas that expired during the outage are soon written again.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._items_by_key: dict[str, Item] = {}
        # Time at which each removal is due, and its revision.
        self._pending_removals_by_key: dict[str, tuple[float, int]] = {}
        self._hold_removals_until_s = 0.0
        self._removals: collections.deque[Removal] = collections.deque(
            maxlen=_MAX_STORED_REMOVALS
        )
        self.removal_count = 0
        # Removals up to this revision are unknown; 0 before the first listing.
        self._first_listing_revision = 0

    @property
    def next_removal_s(self) -> float | None:
        """Time at which the next delayed removal is due; None if none is."""
        return min(
            (at_s for at_s, _ in self._pending_removals_by_key.values()),
            default=None,
        )

    def items_after(self, revision: int) -> list[Item]:
        """Returns the items that were written after a revision."""
        return [
            item
            for item in self._items_by_key.values()
            if item.revision > revision
        ]

    def removals_after(
        self, revision: int, number: int
    ) -> list[Removal] | None:
        """Returns later removals, or None if some of them are unknown.

        Args:
            revision: Revision up to which the requesting instance knows the
                source.
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

    def replace(self, batch: Batch, now_s: float) -> None:
        """Replaces the items by a complete listing."""
        self._first_listing_revision = (
            self._first_listing_revision or batch.revision
        )
        listed = {item.key for item in batch.items}
        for item in batch.items:
            self._apply_value(item)
        for key in set(self._items_by_key) - listed:
            self._remove(key, batch.revision, now_s)

    def update(self, batch: Batch, now_s: float) -> None:
        """Applies changes in order."""
        for item in batch.items:
            if item.value is not None:
                self._apply_value(item)
            elif item.revision > self._revision_of(item.key):
                self._remove(item.key, item.revision, now_s)

    def apply_due_removals(self, now_s: float) -> None:
        """Applies the delayed removals that are due."""
        due = [
            (key, revision)
            for key, (at_s, revision) in self._pending_removals_by_key.items()
            if at_s <= now_s
        ]
        for key, revision in due:
            self._apply_removal(key, revision)

    def _revision_of(self, key: str) -> int:
        item = self._items_by_key.get(key)
        return item.revision if item is not None else 0

    def _apply_value(self, item: Item) -> None:
        known = self._revision_of(item.key)
        if item.revision <= known:
            # The item is unchanged or older than the known one. For example, a
            # listing may contain changes that are newer than its revision,
            # which states only up to where it is complete; a later call then
            # returns them again.
            if item.revision == known:
                self._pending_removals_by_key.pop(item.key, None)
            return
        self._pending_removals_by_key.pop(item.key, None)
        self._items_by_key[item.key] = item
        self._listener.changed(item.key, item.value)

    def _remove(self, key: str, revision: int, now_s: float) -> None:
        if key not in self._items_by_key:
            return
        if now_s < self._hold_removals_until_s:
            held = (self._hold_removals_until_s, revision)
            self._pending_removals_by_key.setdefault(key, held)
        else:
            self._apply_removal(key, revision)

    def _apply_removal(self, key: str, revision: int) -> None:
        self._pending_removals_by_key.pop(key, None)
        if self._items_by_key.pop(key, None) is None:
            return
        self.removal_count += 1
        self._removals.append(Removal(self.removal_count, key, revision))
        self._listener.removed(key)


class Follower:
    """Reads the listing, then follows the changes."""

    def __init__(
        self,
        client: Client,
        listener: Listener,
        rng: random.Random,
        watch_s: float,
    ) -> None:
        """Prepares to follow a source.

        Args:
            client: Client of the source.
            listener: Is notified of changes to the items.
            rng: Source of the jitter between retries.
            watch_s: Longest time that a call waits for changes. A connection
                that has stopped answering is detected only after this time.
        """
        self._watch_s = watch_s
        self._wait_s = watch_s
        self._pause_s = _MIN_PAUSE_S
        self._client = client
        self._rng = rng
        self.mirror = Mirror(listener)
        # Set, and replaced by a new event, after each successful call.
        self.updated = asyncio.Event()
        self._revision: int | None = None
        self._consecutive_failures = 0
        self._last_success_s: float | None = None
        self.calls = 0

    @property
    def revision(self) -> int:
        """Revision up to which changes are known; 0 without a listing."""
        return self._revision or 0

    @property
    def current(self) -> bool:
        """Whether the source has answered within the time of one call."""
        max_silence_s = self._wait_s + _RESPONSE_MARGIN_S
        return (
            self._last_success_s is not None and self.silent_s() < max_silence_s
        )

    @property
    def reachable(self) -> bool:
        """Whether a call has succeeded and none has failed since.

        `CallError.HISTORY_LOST` does not count as a failure.
        """
        return (
            self._last_success_s is not None and not self._consecutive_failures
        )

    def set_callers(self, callers: int, serves_others: bool = False) -> None:
        """Adapts the pause and wait of calls to the number of callers.

        Args:
            callers: Number of instances that call the source.
            serves_others: Whether other instances rely on this one's copy.
        """
        max_pause_s = max(_MIN_PAUSE_S, _MAX_PAUSE_WATCH_SHARE * self._watch_s)
        scaled_pause_s = _MIN_PAUSE_S * callers / _MIN_PAUSE_INSTANCES
        self._pause_s = min(max_pause_s, max(_MIN_PAUSE_S, scaled_pause_s))
        self._wait_s = self._watch_s
        if serves_others:
            self._wait_s = min(self._watch_s, _MAX_HUB_WAIT_S)

    def silent_s(self) -> float:
        """Returns the time since the last successful call of the source."""
        if self._last_success_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._last_success_s

    async def run(self) -> None:
        """Follows the source until cancelled."""
        while True:
            call_result = await self._poll()
            if call_result.is_ok():
                self._consecutive_failures = 0
                if call_result.unwrap() < LONG_ANSWER_MIN_ITEMS:
                    await asyncio.sleep(self._pause_s)
            else:
                await self._handle_failure(call_result.unwrap_err())

    async def _poll(self) -> result.Result[int, CallError]:
        """Calls the source once and returns the number of changes.

        The number is 0 for a listing.
        """
        self.calls += 1
        wait_s = self._wait_s
        next_removal_s = self.mirror.next_removal_s
        if next_removal_s is not None:
            until_removal_s = next_removal_s - asyncio.get_running_loop().time()
            wait_s = min(wait_s, max(_MIN_WAIT_S, until_removal_s))
        needs_listing = self._revision is None
        if needs_listing:
            call_result = await self._client.read()
        else:
            call_result = await self._client.watch(self._revision, wait_s)
        now_s = asyncio.get_running_loop().time()
        if call_result.is_err():
            return call_result
        self._record_success(now_s, wait_s)
        batch = call_result.unwrap()
        if needs_listing:
            self.mirror.replace(batch, now_s)
        else:
            self.mirror.update(batch, now_s)
        self.mirror.apply_due_removals(now_s)
        self._revision = batch.revision
        updated, self.updated = self.updated, asyncio.Event()
        updated.set()
        return result.Ok(0 if needs_listing else len(batch.items))

    def _record_success(self, now_s: float, wait_s: float) -> None:
        reached_before = self._last_success_s is not None
        self._last_success_s, previous_s = now_s, self._last_success_s
        if not reached_before:
            _log.info("source_reached")
            return
        away_s = now_s - previous_s
        if self._consecutive_failures and away_s > wait_s + _MIN_OUTAGE_S:
            self.mirror.hold_removals(now_s)
        if self._consecutive_failures:
            _log.info(
                "source_regained",
                away_s=round(away_s, 2),
                failures=self._consecutive_failures,
            )

    async def _handle_failure(self, error: CallError) -> None:
        if error is CallError.HISTORY_LOST:
            _log.info("history_lost", revision=self._revision)
            self._revision = None
            return
        if not self._consecutive_failures:
            _log.warning(
                "source_lost",
                reason=error.value,
                revision=self._revision or 0,
                silent_s=round(self.silent_s(), 2),
            )
        delay_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**self._consecutive_failures
        )
        self._consecutive_failures = min(self._consecutive_failures + 1, 16)
        await asyncio.sleep(delay_s * self._rng.uniform(0.6, 1.0))
