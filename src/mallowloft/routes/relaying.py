"""Reads the source of routes for other instances, or through those that do.

Answers large fleets, whose calls of the source would grow with their size, and
a source that turns away some instances and serves others. In each failure
domain the hubs read the source; other instances ask a hub, and the source only
if no hub answers with what is current.
"""

import asyncio
import contextlib
import urllib.parse

import msgspec
import result

from mallowloft.kernel import logs
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import following
from mallowloft.routes import hubs as hubs_lib
from mallowloft.upstream import http1

_log = logs.get("relaying")

PATH = "/v1/changes"
# A silent connection to a hub is noticed when a call should have ended; calls
# of a hub cost little.
_WAIT_S = 1.2
_MARGIN_S = 0.4
# How soon a waiting call learns that the hub has lost the source, or that its
# failure domain is cut off.
_CHECK_S = 0.3
# Not asked again for this long after a failure.
_AVOID_S = 2.0
_CURRENT = 200
_GONE = 410
_BEHIND = 503
_ISOLATED = b"isolated"


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """What a hub knows beyond what the other instance knows.

    Attributes:
        revision: That of the source up to which the hub knows it.
        removals: Number of removals that the hub has carried out.
        items: Keys with revision and value; no value for a removed one.
        held: Whether the hub holds removals back.
    """

    revision: int
    removals: int
    items: tuple[tuple[str, int, bytes | None], ...]
    held: bool


_decoder = msgspec.msgpack.Decoder(Changes)


def _query(scope) -> dict[str, int]:
    pairs = urllib.parse.parse_qsl(scope["query_string"].decode("latin1"))
    return {name: int(value) for name, value in pairs}


class Relay:
    """Answers other instances from what this one follows."""

    def __init__(
        self, follower: following.Follower, hubs: hubs_lib.Hubs
    ) -> None:
        self._follower = follower
        self._hubs = hubs

    async def serve(self, scope, receive, send) -> None:
        """Serves a call of `HubClient` as an ASGI application."""
        exchange = exchange_lib.Exchange(scope, receive, send)
        await exchange.read_body(0)
        try:
            query = _query(scope)
            after, removals = query["after"], query["removals"]
            wait_s = query["wait_ms"] / 1000
        except (KeyError, ValueError) as error:
            _log.warning("call_malformed", reason=str(error))
            await exchange_lib.respond(send, 400, b"malformed")
            return
        status, body = await self._answer(after, removals, wait_s)
        await exchange_lib.respond(send, status, body)

    async def _answer(
        self, after: int, removals: int, wait_s: float
    ) -> tuple[int, bytes]:
        follower = self._follower
        mirror = follower.mirror
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while (
            follower.current
            and not self._hubs.isolated
            and follower.revision <= after
            and mirror.removal_count <= removals
            and loop.time() < end_s
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(_CHECK_S, wait_s)):
                    await follower.updated.wait()
        if self._hubs.isolated:
            return _BEHIND, _ISOLATED
        if not follower.current or not follower.revision:
            return _BEHIND, b"source_lost"
        removed: list[following.Removal] | None = []
        if after >= 0:
            removed = mirror.removals_after(after, removals)
        if removed is None:
            return _GONE, b"history_lost"
        items = [
            (item.key, item.revision, item.value)
            for item in mirror.items_after(after)
        ]
        items += [(item.key, item.revision, None) for item in removed]
        changes = Changes(
            follower.revision,
            mirror.removal_count,
            tuple(items),
            mirror.release_s is not None,
        )
        return _CURRENT, msgspec.msgpack.encode(changes)


class HubClient:
    """Calls of the source, through a hub where there is one.

    Attributes:
        hub_calls: Calls that a hub has answered.
        source_calls: Calls of the source itself; a listing counts as one.
    """

    def __init__(self, source: following.Client, hubs: hubs_lib.Hubs) -> None:
        self._source = source
        self._hubs = hubs
        # The hub whose removals are known, their number, and whether it held
        # further ones back.
        self._hub = ""
        self._removals = 0
        self._held = False
        self._avoided_until_by_hub: dict[str, float] = {}
        self.hub_calls = 0
        self.source_calls = 0

    async def read(self) -> result.Result[following.Batch, following.Problem]:
        """Returns all items."""
        hub = self._choose()
        if hub is not None:
            called = await self._call(hub, -1, 0.0)
            if called.is_ok():
                return called
        self._hub = ""
        self._held = False
        self.source_calls += 1
        return await self._source.read()

    async def watch(
        self, after: int, wait_s: float
    ) -> result.Result[following.Batch, following.Problem]:
        """Returns the changes after a revision as soon as there are any."""
        hub = self._choose()
        if hub is not None:
            if hub.replica.id != self._hub and self._held:
                return self._start_anew()
            called = await self._call(hub, after, min(wait_s, _WAIT_S))
            if called.is_ok() or (
                called.unwrap_err() is following.Problem.HISTORY_LOST
            ):
                return called
        if self._held:
            return self._start_anew()
        self._hub = ""
        self.source_calls += 1
        return await self._source.watch(after, wait_s)

    def _start_anew(
        self,
    ) -> result.Result[following.Batch, following.Problem]:
        """Asks for a whole listing.

        The last hub held removals back, which nobody else would report.
        """
        self._hub = ""
        self._held = False
        return result.Err(following.Problem.HISTORY_LOST)

    def _failed(
        self, hub: directory_lib.Entry, reason: str
    ) -> result.Result[following.Batch, following.Problem]:
        now_s = asyncio.get_running_loop().time()
        self._avoided_until_by_hub[hub.replica.id] = now_s + _AVOID_S
        _log.info("hub_avoided", hub=hub.replica.id, reason=reason)
        return result.Err(following.Problem.UNREACHABLE)

    def _choose(self) -> directory_lib.Entry | None:
        """Returns the hub to ask, None to call the source itself."""
        if self._hubs.is_hub:
            return None
        now_s = asyncio.get_running_loop().time()
        usable = [
            entry
            for entry in self._hubs.near
            if self._avoided_until_by_hub.get(entry.replica.id, 0.0) <= now_s
        ]
        for entry in usable:
            if entry.replica.id == self._hub:
                return entry
        return self._hubs.preferred(usable)

    async def _call(
        self, hub: directory_lib.Entry, after: int, wait_s: float
    ) -> result.Result[following.Batch, following.Problem]:
        known = hub.replica.id == self._hub
        query = {
            "after": after,
            "removals": self._removals if known else -1,
            "wait_ms": int(wait_s * 1000),
        }
        response = await http1.call(
            hub.pool,
            b"GET",
            f"{PATH}?{urllib.parse.urlencode(query)}",
            hub.pool.address,
            wait_s + _MARGIN_S,
        )
        if isinstance(response, http1.Ending):
            return self._failed(hub, response.value)
        if response.status == _GONE:
            return result.Err(following.Problem.HISTORY_LOST)
        if response.status != _CURRENT:
            if response.body == _ISOLATED:
                self._hubs.note_isolated(hub)
            return self._failed(hub, response.body.decode("latin1"))
        try:
            changes = _decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            return self._failed(hub, str(error))
        if not known:
            _log.info("hub_followed", hub=hub.replica.id, revision=after)
        self._hub = hub.replica.id
        self._removals = changes.removals
        self._held = changes.held
        self.hub_calls += 1
        items = tuple(following.Item(*item) for item in changes.items)
        return result.Ok(following.Batch(items, max(after, changes.revision)))
