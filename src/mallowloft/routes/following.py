"""Follows a published listing of routes and replicas.

The source may be slow, refuse some instances, lose its history, be silent on
an open connection or be away. What was read last stays in force meanwhile.
"""

import asyncio
import collections
import dataclasses
import enum
import random
from typing import Protocol

import result

from mallowloft.kernel import logs

_log = logs.get("following")

# Changes come in series, and each call counts: those of a moment are fetched
# together. The moment grows with the fleet, so that the calls of all instances
# grow more slowly, up to a part of the time that a call may wait.
_PAUSE_S = 0.4
_PAUSE_INSTANCES = 20
_PAUSE_MAX_SHARE = 0.3
# A source may cut off long answers; the rest of one with so many changes is
# fetched at once.
LONG_ANSWER_ITEMS = 20
_RETRY_FIRST_S = 0.05
_RETRY_MAX_S = 0.8
# Entries that lapsed while the source was away are back within 2 s of its
# return if their replicas live.
_RETURN_S = 2.3
# A source that did not answer for this long was away, not merely slow.
_AWAY_S = 1.0
# Calls of an instance that others rely on wait no longer than this, so that it
# soon knows that it has lost the source; answers may be late by the second.
_WAIT_FOR_OTHERS_S = 1.2
_LATE_S = 0.5
# Until a removal that is due now.
_MIN_WAIT_S = 0.05
# Removals that other instances may still ask for.
_MAX_REMOVALS = 2_000


class Problem(enum.StrEnum):
    """Why a call has no result."""

    HISTORY_LOST = "history_lost"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key as it was written last; no value if it was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items and the revision of the source at which they were read."""

    items: tuple[Item, ...]
    revision: int


class Client(Protocol):
    """Calls of the source."""

    async def read(self) -> result.Result[Batch, Problem]:
        """Returns all items; the revision is that of the first page."""

    async def watch(
        self, after: int, wait_s: float
    ) -> result.Result[Batch, Problem]:
        """Returns the changes after a revision as soon as there are any."""


class Listener(Protocol):
    """What uses the items."""

    def changed(self, key: str, value: bytes) -> None:
        """Takes a new value."""

    def removed(self, key: str) -> None:
        """Takes a removal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A removal that was carried out; numbers grow by one."""

    number: int
    key: str
    revision: int


class Mirror:
    """The items that are in force, without I/O.

    Removals are held back after an outage of the source, because entries of
    live replicas that lapsed meanwhile are soon written again.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._items_by_key: dict[str, Item] = {}
        # Time at which a removal is carried out, and its revision.
        self._held_by_key: dict[str, tuple[float, int]] = {}
        self._hold_until_s = 0.0
        self._removals: collections.deque[Removal] = collections.deque(
            maxlen=_MAX_REMOVALS
        )
        self.removal_count = 0
        # Removals before the first listing are not known.
        self._first_revision = 0

    @property
    def release_s(self) -> float | None:
        """When the next removal that is held back is due, None without any."""
        return min(
            (at_s for at_s, _ in self._held_by_key.values()), default=None
        )

    def items_after(self, revision: int) -> list[Item]:
        """Returns the items in force that were written after a revision."""
        return [
            item
            for item in self._items_by_key.values()
            if item.revision > revision
        ]

    def removals_after(
        self, revision: int, number: int
    ) -> list[Removal] | None:
        """Returns later removals, None if they are not all known.

        Args:
            revision: What was removed up to it is known already.
            number: Removals up to it are known already; -1 if the asker knows
                nothing of this mirror's removals.
        """
        if revision < self._first_revision:
            return None
        if number < 0:
            oldest = self._removals[0] if self._removals else None
            forgotten = oldest is not None and oldest.number > 1
            if forgotten and revision < oldest.revision:
                return None
            return [item for item in self._removals if item.revision > revision]
        found = [item for item in self._removals if item.number > number]
        complete = len(found) == self.removal_count - number
        return found if complete else None

    def source_returned(self, now_s: float) -> None:
        """Learns that the source was away until now."""
        self._hold_until_s = now_s + _RETURN_S

    def replace(self, batch: Batch, now_s: float) -> None:
        """Takes a whole listing."""
        self._first_revision = self._first_revision or batch.revision
        listed = {item.key for item in batch.items}
        for item in batch.items:
            self._put(item)
        for key in set(self._items_by_key) - listed:
            self._remove(key, batch.revision, now_s)

    def update(self, batch: Batch, now_s: float) -> None:
        """Takes changes in their order."""
        for item in batch.items:
            if item.value is not None:
                self._put(item)
            elif item.revision > self._revision_of(item.key):
                self._remove(item.key, item.revision, now_s)

    def release(self, now_s: float) -> None:
        """Carries out the removals that are due."""
        due = [
            (key, revision)
            for key, (at_s, revision) in self._held_by_key.items()
            if at_s <= now_s
        ]
        for key, revision in due:
            self._remove_now(key, revision)

    def _revision_of(self, key: str) -> int:
        item = self._items_by_key.get(key)
        return item.revision if item is not None else 0

    def _put(self, item: Item) -> None:
        known = self._revision_of(item.key)
        if item.revision <= known:
            # Unchanged, or a later page of the listing was newer than the
            # changes that are replayed after it.
            if item.revision == known:
                self._held_by_key.pop(item.key, None)
            return
        self._held_by_key.pop(item.key, None)
        self._items_by_key[item.key] = item
        self._listener.changed(item.key, item.value)

    def _remove(self, key: str, revision: int, now_s: float) -> None:
        if key not in self._items_by_key:
            return
        if now_s < self._hold_until_s:
            held = (self._hold_until_s, revision)
            self._held_by_key.setdefault(key, held)
        else:
            self._remove_now(key, revision)

    def _remove_now(self, key: str, revision: int) -> None:
        self._held_by_key.pop(key, None)
        if self._items_by_key.pop(key, None) is None:
            return
        self.removal_count += 1
        self._removals.append(Removal(self.removal_count, key, revision))
        self._listener.removed(key)


class Follower:
    """Reads the listing, then waits for changes, until it is stopped."""

    def __init__(
        self,
        client: Client,
        listener: Listener,
        rng: random.Random,
        watch_s: float,
    ) -> None:
        """Prepares to follow a source.

        Args:
            client: Calls of the source.
            listener: Gets the items.
            rng: Spreads the instances' repeated calls.
            watch_s: How long a call may wait for changes. A connection may
                fall silent without notice, which is seen only at the end.
        """
        self._watch_s = watch_s
        self._wait_s = watch_s
        self._pause_s = _PAUSE_S
        self._client = client
        self._rng = rng
        self.mirror = Mirror(listener)
        # Set and replaced whenever something new is known.
        self.updated = asyncio.Event()
        self._revision: int | None = None
        self._failures = 0
        self._heard_s: float | None = None
        self.calls = 0

    @property
    def revision(self) -> int:
        """Revision up to which changes are known, 0 before the first."""
        return self._revision or 0

    @property
    def current(self) -> bool:
        """Whether what is known is as new as the source's answers allow."""
        longest_s = self._wait_s + _LATE_S
        return self._heard_s is not None and self.silent_s() < longest_s

    @property
    def reachable(self) -> bool:
        """Whether the last call succeeded."""
        return self._heard_s is not None and not self._failures

    def share(self, callers: int, for_others: bool = False) -> None:
        """Takes the number of instances that call the source.

        Args:
            callers: Instances that call the source.
            for_others: Whether further ones rely on what is known here.
        """
        longest_s = max(_PAUSE_S, _PAUSE_MAX_SHARE * self._watch_s)
        wanted_s = _PAUSE_S * callers / _PAUSE_INSTANCES
        self._pause_s = min(longest_s, max(_PAUSE_S, wanted_s))
        self._wait_s = self._watch_s
        if for_others:
            self._wait_s = min(self._watch_s, _WAIT_FOR_OTHERS_S)

    def silent_s(self) -> float:
        """Returns for how long nothing has been heard of the source."""
        if self._heard_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._heard_s

    async def run(self) -> None:
        """Follows the source until cancelled."""
        while True:
            called = await self._call()
            if called.is_ok():
                self._failures = 0
                if called.unwrap() < LONG_ANSWER_ITEMS:
                    await asyncio.sleep(self._pause_s)
            else:
                await self._recover(called.unwrap_err())

    async def _call(self) -> result.Result[int, Problem]:
        """Returns the number of changes that a call brought."""
        self.calls += 1
        wait_s = self._wait_s
        release_s = self.mirror.release_s
        if release_s is not None:
            left_s = release_s - asyncio.get_running_loop().time()
            wait_s = min(wait_s, max(_MIN_WAIT_S, left_s))
        whole = self._revision is None
        if whole:
            called = await self._client.read()
        else:
            called = await self._client.watch(self._revision, wait_s)
        now_s = asyncio.get_running_loop().time()
        if called.is_err():
            return called
        self._note_success(now_s, wait_s)
        batch = called.unwrap()
        if whole:
            self.mirror.replace(batch, now_s)
        else:
            self.mirror.update(batch, now_s)
        self.mirror.release(now_s)
        self._revision = batch.revision
        updated, self.updated = self.updated, asyncio.Event()
        updated.set()
        return result.Ok(0 if whole else len(batch.items))

    def _note_success(self, now_s: float, wait_s: float) -> None:
        known = self._heard_s is not None
        self._heard_s, before_s = now_s, self._heard_s
        if not known:
            _log.info("source_reached")
            return
        away_s = now_s - before_s
        if self._failures and away_s > wait_s + _AWAY_S:
            self.mirror.source_returned(now_s)
        if self._failures:
            _log.info(
                "source_regained",
                away_s=round(away_s, 2),
                failures=self._failures,
            )

    async def _recover(self, problem: Problem) -> None:
        if problem is Problem.HISTORY_LOST:
            _log.info("history_lost", revision=self._revision)
            self._revision = None
            return
        if not self._failures:
            _log.warning(
                "source_lost",
                reason=problem.value,
                revision=self._revision or 0,
                silent_s=round(self.silent_s(), 2),
            )
        delay_s = min(_RETRY_MAX_S, _RETRY_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        await asyncio.sleep(delay_s * self._rng.uniform(0.6, 1.0))
