"""Follows a published listing of routes and replicas.

The source may be slow, refuse some instances, lose its history, be silent on
an open connection or be away. What was read last stays in force meanwhile.
"""

import asyncio
from collections.abc import Mapping
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
_RETRY_FIRST_S = 0.05
_RETRY_MAX_S = 0.8
# Entries that lapsed while the source was away are back within 2 s of its
# return if their replicas live.
_RETURN_S = 2.3
# A source that did not answer for this long was away, not merely slow.
_AWAY_S = 1.0


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


class Mirror:
    """The items that are in force, without I/O.

    Removals are held back after an outage of the source, because entries of
    live replicas that lapsed meanwhile are soon written again.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._revisions_by_key: dict[str, int] = {}
        self._held_until_by_key: dict[str, float] = {}
        self._hold_until_s = 0.0

    @property
    def held(self) -> Mapping[str, float]:
        """Times until which removals are held back, by key."""
        return self._held_until_by_key

    def source_returned(self, now_s: float) -> None:
        """Learns that the source was away until now."""
        self._hold_until_s = now_s + _RETURN_S

    def replace(self, batch: Batch, now_s: float) -> None:
        """Takes a whole listing."""
        listed = {item.key for item in batch.items}
        for item in batch.items:
            self._put(item)
        for key in set(self._revisions_by_key) - listed:
            self._remove(key, now_s)

    def update(self, batch: Batch, now_s: float) -> None:
        """Takes changes in their order."""
        for item in batch.items:
            if item.value is not None:
                self._put(item)
            elif item.revision > self._revisions_by_key.get(item.key, 0):
                self._remove(item.key, now_s)

    def release(self, now_s: float) -> None:
        """Carries out the removals that are due."""
        due = [
            key
            for key, at_s in self._held_until_by_key.items()
            if at_s <= now_s
        ]
        for key in due:
            self._remove_now(key)

    def _put(self, item: Item) -> None:
        if item.revision <= self._revisions_by_key.get(item.key, 0):
            # Unchanged, or a later page of the listing was newer than the
            # changes that are replayed after it.
            if item.revision == self._revisions_by_key[item.key]:
                self._held_until_by_key.pop(item.key, None)
            return
        self._held_until_by_key.pop(item.key, None)
        self._revisions_by_key[item.key] = item.revision
        self._listener.changed(item.key, item.value)

    def _remove(self, key: str, now_s: float) -> None:
        if key not in self._revisions_by_key:
            return
        if now_s < self._hold_until_s:
            self._held_until_by_key.setdefault(key, self._hold_until_s)
        else:
            self._remove_now(key)

    def _remove_now(self, key: str) -> None:
        self._held_until_by_key.pop(key, None)
        self._revisions_by_key.pop(key, None)
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
        self._pause_s = _PAUSE_S
        self._client = client
        self._rng = rng
        self._mirror = Mirror(listener)
        self._revision: int | None = None
        self._failures = 0
        self._heard_s: float | None = None
        self.calls = 0

    @property
    def revision(self) -> int:
        """Revision up to which changes are known, 0 before the first."""
        return self._revision or 0

    @property
    def reachable(self) -> bool:
        """Whether the last call succeeded."""
        return self._heard_s is not None and not self._failures

    def share(self, instances: int) -> None:
        """Takes the number of instances that call the source."""
        longest_s = max(_PAUSE_S, _PAUSE_MAX_SHARE * self._watch_s)
        wanted_s = _PAUSE_S * instances / _PAUSE_INSTANCES
        self._pause_s = min(longest_s, max(_PAUSE_S, wanted_s))

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
                await asyncio.sleep(self._pause_s)
            else:
                await self._recover(called.unwrap_err())

    async def _call(self) -> result.Result[None, Problem]:
        self.calls += 1
        wait_s = self._watch_s
        if self._mirror.held:
            loop_s = asyncio.get_running_loop().time()
            next_s = min(self._mirror.held.values())
            wait_s = min(wait_s, max(0.05, next_s - loop_s))
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
            self._mirror.replace(batch, now_s)
        else:
            self._mirror.update(batch, now_s)
        self._mirror.release(now_s)
        self._revision = batch.revision
        return result.Ok(None)

    def _note_success(self, now_s: float, wait_s: float) -> None:
        known = self._heard_s is not None
        self._heard_s, before_s = now_s, self._heard_s
        if not known:
            _log.info("source_reached")
            return
        away_s = now_s - before_s
        if self._failures and away_s > wait_s + _AWAY_S:
            self._mirror.source_returned(now_s)
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
