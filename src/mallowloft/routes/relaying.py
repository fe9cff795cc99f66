"""Relays routes and replicas from hubs to the other instances.

In each failure domain the hubs read them from the source. The other instances
ask a hub. If it does not answer or has no current copy, they call the source,
and next time ask another hub if there is one. While hubs answer, the number of
calls of the source therefore does not grow with the fleet, and a source that
refuses calls of some instances can still be read through a hub.
"""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Protocol
import urllib.parse

import msgspec
import result

from mallowloft.kernel import logs
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import following
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import mirror as mirror_lib
from mallowloft.upstream import http1

_log = logs.get_logger("relaying")

PATH = "/v1/changes"
# Longest wait of a call. A connection to a hub that stopped answering is
# detected only after this time, and frequent calls of a hub are cheap.
_MAX_WAIT_S = 1.2
# The response of a hub may arrive this long after the wait of the call.
_RESPONSE_MARGIN_S = 0.4
# Interval at which a waiting call checks whether the hub has lost the source or
# has become isolated.
_CHECK_INTERVAL_S = 0.3
# After a failure a hub is not called for this long.
_AVOID_HUB_S = 2.0
# The same before the first listing, when the hub may be starting too.
_AVOID_HUB_AT_START_S = 0.3
# When the whole fleet starts for the first time, no requests arrive yet, and an
# instance waits this long for a reader. After other starts it waits only for
# the first answers of the seeds, and at most for the shorter time.
_MAX_FIRST_START_DELAY_S = 4.0
_MAX_RESTART_DELAY_S = 0.06
_STARTUP_POLL_S = 0.02
_STATUS_CURRENT = 200
_STATUS_HISTORY_LOST = 410
_STATUS_NOT_CURRENT = 503
_ISOLATED = b"isolated"
_SOURCE_LOST = b"source_lost"
# The calling instance knows of a later restore of the source.
_BEHIND = b"behind"
# A reader whose calls of the source fail follows another reader for this long
# before it calls the source again.
_FOLLOW_READER_S = 1.0


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Changes that a hub has and the calling instance lacks.

    Attributes:
        revision: The source's revision up to which the hub has all changes.
        removals: Number of removals that the hub has applied.
        items: Keys with revision and value; the value is None for removed keys.
        held: Whether the hub delays removals.
        era: The source's era of the revision.
        restored_until: Revision of the era up to which the source may have been
            restored.
        earlier_eras: Eras of the items that are from earlier ones, by key.
    """

    revision: int
    removals: int
    items: tuple[tuple[str, int, bytes | None], ...]
    held: bool
    era: int = 0
    restored_until: int = 0
    earlier_eras: dict[str, int] = {}


_decoder = msgspec.msgpack.Decoder(Changes)


def _parse_query(scope) -> dict[str, int]:
    pairs = urllib.parse.parse_qsl(scope["query_string"].decode("latin1"))
    return {name: int(value) for name, value in pairs}


class Relay:
    """Serves this instance's copy of the source to other instances."""

    def __init__(
        self,
        follower: following.Follower,
        hubs: hubs_lib.Hubs,
        source_answers: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates a relay.

        Args:
            follower: Holds this instance's copy.
            hubs: The hubs.
            source_answers: Returns whether this instance gets changes from the
                source itself, not from another instance.
        """
        self._follower = follower
        self._hubs = hubs
        self._source_answers = source_answers
        # Callers that wait for changes learn of an isolation at once.
        hubs.isolation_listeners.append(follower.wake_waiting)

    async def serve(self, scope, receive, send) -> None:
        """Serves a call of `HubClient` as an ASGI application."""
        exchange = exchange_lib.ServerExchange(scope, receive, send)
        try:
            await exchange.read_body(0)
        except exchange_lib.CallerLeftError:
            _log.debug("call_abandoned")
            return
        try:
            query = _parse_query(scope)
            after = (query.get("era", 0), query["after"])
            removals = query["removals"]
            wait_s = min(max(0, query["wait_ms"]) / 1000, _MAX_WAIT_S)
            from_reader = bool(query.get("reader", 0))
        except (KeyError, ValueError) as error:
            _log.warning("call_malformed", reason=str(error))
            await exchange_lib.respond(send, 400, b"malformed")
            return
        if from_reader and not self._source_answers():
            # Two readers that follow each other would never detect that
            # neither gets changes.
            await exchange_lib.respond(send, _STATUS_NOT_CURRENT, _SOURCE_LOST)
            return
        status, body = await self._answer(after, removals, wait_s)
        await exchange_lib.respond(send, status, body)

    async def _answer(
        self, after: tuple[int, int], removals: int, wait_s: float
    ) -> tuple[int, bytes]:
        """Returns status and body, as soon as there are changes.

        Args:
            after: Era and revision up to which the caller knows the source; the
                revision is negative if it has no listing.
            removals: Number of the last removal that the caller got from here;
                -1 if it got none.
            wait_s: Longest wait for changes.
        """
        follower = self._follower
        mirror = follower.mirror
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while (
            follower.current
            and not self._hubs.reports_isolation
            and follower.position <= after
            and mirror.removal_count <= removals
            and loop.time() < end_s
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(_CHECK_INTERVAL_S, wait_s)):
                    await follower.updated.wait()
        if self._hubs.reports_isolation:
            return _STATUS_NOT_CURRENT, _ISOLATED
        if not follower.current or not follower.revision:
            return _STATUS_NOT_CURRENT, _SOURCE_LOST
        era, revision = after
        if era > mirror.era:
            return _STATUS_NOT_CURRENT, _BEHIND
        removed: list[mirror_lib.Removal] | None = []
        if revision >= 0:
            removed = (
                mirror.removals_after(revision, removals)
                if era == mirror.era
                else None
            )
        if removed is None:
            return _STATUS_HISTORY_LOST, b"history_lost"
        written = mirror.items_after(after if revision >= 0 else (0, -1))
        items = [(item.key, item.revision, item.value) for item in written]
        items += [(item.key, item.revision, None) for item in removed]
        changes = Changes(
            follower.revision,
            mirror.removal_count,
            tuple(items),
            mirror.next_due_s is not None,
            mirror.era,
            mirror.restored_until,
            {item.key: item.era for item in written if item.era != mirror.era},
        )
        return _STATUS_CURRENT, msgspec.msgpack.encode(changes)


class Fleet(Protocol):
    """What an instance knows about the fleet.

    Attributes:
        hubs: The hubs.
        seeds_answered: Whether a seed has answered or none can be reached.
        hubs_known: Whether a seed has named the hubs, which may be none.
    """

    hubs: hubs_lib.Hubs
    seeds_answered: bool
    hubs_known: bool


def may_call_source(
    since_start_s: float, first_start: bool, fleet: Fleet
) -> bool:
    """Whether an instance without a listing may call the source itself.

    The load it answers: hundreds of instances that start at once, each of which
    would read the whole listing, and instances that restart one after the
    other in a fleet with readers.

    Args:
        since_start_s: Time since the instance started.
        first_start: Whether the whole fleet starts for the first time.
        fleet: What the instance knows about the fleet.
    """
    hubs = fleet.hubs
    if hubs.is_reader or (fleet.hubs_known and not hubs.readers):
        return True
    if first_start:
        return since_start_s >= _MAX_FIRST_START_DELAY_S
    # Seeds that have started recently name no hubs: the whole fleet restarts.
    return since_start_s >= _MAX_RESTART_DELAY_S or (
        fleet.seeds_answered and not fleet.hubs_known
    )


class HubClient:
    """Client of the source that calls a hub instead if there is one.

    Attributes:
        hub_calls: Number of calls that a hub has answered with status 200, also
            if there were no changes.
        source_calls: Number of calls of the source; a listing counts as one.
    """

    def __init__(
        self, source: following.Client, fleet: Fleet, first_start: bool = False
    ) -> None:
        """Creates a client.

        Args:
            source: Client of the source.
            fleet: What the instance knows about the fleet.
            first_start: Whether the whole fleet starts for the first time.
        """
        self._source = source
        self._fleet = fleet
        self._hubs = fleet.hubs
        self._first_start = first_start
        self._started_s = asyncio.get_running_loop().time()
        self._has_listing = False
        # Whether the last call of the source itself succeeded.
        self.source_answers = False
        self._follow_reader_until_s = 0.0
        # Latest era of a listing.
        self._era = 0
        # The hub that answered last, the number of removals that it had
        # applied, and whether it delayed further ones.
        self._last_hub = ""
        self._known_removals = 0
        self._hub_delays_removals = False
        self._avoided_until_by_hub: dict[str, float] = {}
        self.hub_calls = 0
        self.source_calls = 0

    async def read(
        self,
    ) -> result.Result[mirror_lib.Batch, following.CallError]:
        """Returns all items."""
        while True:
            hub = self._choose_hub()
            if hub is not None:
                call_result = await self._call_hub(hub, (self._era, -1), 0.0)
                if call_result.is_ok():
                    self._has_listing = True
                    return call_result
            if self._has_listing or self._may_call_source():
                break
            await asyncio.sleep(_STARTUP_POLL_S)
        self._last_hub = ""
        self._hub_delays_removals = False
        self.source_calls += 1
        listing = await self._source.read()
        self._has_listing = self._has_listing or listing.is_ok()
        self._record_source_result(listing)
        return listing

    def _record_source_result(
        self,
        call_result: result.Result[mirror_lib.Batch, following.CallError],
    ) -> None:
        if call_result.is_ok():
            self._era = max(self._era, call_result.unwrap().era)
        self.source_answers = call_result.is_ok() or (
            call_result.unwrap_err() is following.CallError.HISTORY_LOST
        )
        if not self.source_answers:
            now_s = asyncio.get_running_loop().time()
            self._follow_reader_until_s = now_s + _FOLLOW_READER_S

    def _may_call_source(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return may_call_source(
            now_s - self._started_s, self._first_start, self._fleet
        )

    async def watch(
        self, after: tuple[int, int], wait_s: float
    ) -> result.Result[mirror_lib.Batch, following.CallError]:
        """Waits for changes after an era and revision and returns them."""
        hub = self._choose_hub()
        if hub is not None:
            if hub.replica.id != self._last_hub and self._hub_delays_removals:
                return self._request_listing()
            call_result = await self._call_hub(
                hub, after, min(wait_s, _MAX_WAIT_S)
            )
            if call_result.is_ok() or (
                call_result.unwrap_err() is following.CallError.HISTORY_LOST
            ):
                return call_result
        if self._hub_delays_removals:
            return self._request_listing()
        self._last_hub = ""
        self.source_calls += 1
        call_result = await self._source.watch(after, wait_s)
        self._record_source_result(call_result)
        return call_result

    def _request_listing(
        self,
    ) -> result.Result[mirror_lib.Batch, following.CallError]:
        """Returns the error that makes the follower read a full listing.

        The last hub delayed removals. Other hubs and the source may not report
        these removals as changes again; the listing shows them.
        """
        self._last_hub = ""
        self._hub_delays_removals = False
        return result.Err(following.CallError.HISTORY_LOST)

    def _avoid_hub(
        self, hub: directory_lib.ReplicaEntry, reason: str
    ) -> result.Result[mirror_lib.Batch, following.CallError]:
        """Avoids the hub for a while and returns the error of the call."""
        now_s = asyncio.get_running_loop().time()
        avoid_s = _AVOID_HUB_S if self._has_listing else _AVOID_HUB_AT_START_S
        self._avoided_until_by_hub[hub.replica.id] = now_s + avoid_s
        _log.info("hub_avoided", hub=hub.replica.id, reason=reason)
        return result.Err(following.CallError.UNREACHABLE)

    def _choose_hub(self) -> directory_lib.ReplicaEntry | None:
        """Returns the hub to call, or None to call the source itself.

        A reader whose source has just failed follows another reader: a source
        may refuse the calls of some instances and serve others.
        """
        now_s = asyncio.get_running_loop().time()
        if self._hubs.is_reader and now_s >= self._follow_reader_until_s:
            return None
        usable = [
            entry
            for entry in self._hubs.readers
            if self._avoided_until_by_hub.get(entry.replica.id, 0.0) <= now_s
        ]
        for entry in usable:
            if entry.replica.id == self._last_hub:
                return entry
        return self._hubs.preferred(usable)

    async def _call_hub(
        self,
        hub: directory_lib.ReplicaEntry,
        after: tuple[int, int],
        wait_s: float,
    ) -> result.Result[mirror_lib.Batch, following.CallError]:
        is_last_hub = hub.replica.id == self._last_hub
        era, revision = after
        query = {
            "era": era,
            "after": revision,
            "removals": self._known_removals if is_last_hub else -1,
            "wait_ms": int(wait_s * 1000),
            "reader": int(self._hubs.is_reader),
        }
        response = await http1.send_request(
            hub.pool,
            b"GET",
            f"{PATH}?{urllib.parse.urlencode(query)}",
            hub.pool.address,
            wait_s + _RESPONSE_MARGIN_S,
            purpose="changes",
        )
        if isinstance(response, http1.FailureReason):
            return self._avoid_hub(hub, response.value)
        if response.status == _STATUS_HISTORY_LOST:
            return result.Err(following.CallError.HISTORY_LOST)
        if response.status != _STATUS_CURRENT:
            if response.body == _ISOLATED:
                self._hubs.record_isolated(hub)
            return self._avoid_hub(hub, response.body.decode("latin1"))
        try:
            changes = _decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            return self._avoid_hub(hub, str(error))
        if not is_last_hub:
            _log.info(
                "hub_followed",
                hub=hub.replica.id,
                era=changes.era,
                revision=revision,
            )
        self._last_hub = hub.replica.id
        self._known_removals = changes.removals
        self._hub_delays_removals = changes.held
        self._era = max(self._era, changes.era)
        self.hub_calls += 1
        return result.Ok(_to_batch(changes, revision))


def _to_batch(changes: Changes, known_revision: int) -> mirror_lib.Batch:
    """Returns the changes as a batch.

    Args:
        changes: Changes of a hub.
        known_revision: Revision after which the hub returned them.
    """
    items = tuple(
        mirror_lib.Item(
            key, revision, value, changes.earlier_eras.get(key, changes.era)
        )
        for key, revision, value in changes.items
    )
    return mirror_lib.Batch(
        items,
        max(known_revision, changes.revision),
        changes.era,
        changes.restored_until,
    )
