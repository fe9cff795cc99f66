"""Decides whether this instance is isolated, and tells other instances.

The load it answers: a failure domain that is cut off from all others. Until its
instances report that they are not ready, callers there get refusals, so every
tenth of a second counts. The hubs have the most traffic and detect the cut
first; the other instances of the failure domain learn of it from them.

A forwarder without traffic does not notice that it is cut off, too. It
therefore calls instances in other failure domains before it says that it is
connected.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import random
from typing import Any

from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import reach
from mallowloft.upstream import http1

_log = logs.get_logger("isolation")

_PATH = "/v1/hub"
# Asks for what the instance knows, without calls of others.
_KNOWN_PATH = f"{_PATH}?known"
_ISOLATED = b"isolated"
_CONNECTED = b"connected"
# No instance of another failure domain has answered.
_UNVERIFIED = b"unverified"
# Timeouts of the calls that read the state of another instance. A round trip
# takes a few milliseconds; an instance that calls others itself takes longer.
_KNOWN_TIMEOUT_S = 0.1
_VERIFIED_TIMEOUT_S = 0.2
_ASKED_FORWARDERS = 4
# Shorter than the interval of 1 s at which the load balancer checks readiness.
_CHECK_INTERVAL_S = 0.25


async def _read_state(
    entry: directory_lib.ReplicaEntry, verified: bool
) -> bytes:
    """Returns the state of another instance, empty if it does not answer.

    Args:
        entry: The instance.
        verified: Whether it calls other failure domains before it answers.
    """
    response = await http1.send_request(
        entry.pool,
        b"GET",
        _PATH if verified else _KNOWN_PATH,
        entry.pool.address,
        _VERIFIED_TIMEOUT_S if verified else _KNOWN_TIMEOUT_S,
        purpose="state",
    )
    if isinstance(response, http1.FailureReason):
        return b""
    return response.body


async def _read_states(
    entries: Iterable[directory_lib.ReplicaEntry], verified: bool
) -> list[bytes]:
    return await asyncio.gather(
        *(_read_state(entry, verified) for entry in entries)
    )


def choose_remote(
    entries: Iterable[directory_lib.ReplicaEntry],
) -> list[directory_lib.ReplicaEntry]:
    """Returns an instance of each other failure domain, chosen at random."""
    entries_by_domain: dict[str, list[directory_lib.ReplicaEntry]] = {}
    for entry in entries:
        if entry.remote:
            domain = entry.replica.failure_domain
            entries_by_domain.setdefault(domain, []).append(entry)
    return [random.choice(items) for items in entries_by_domain.values()]


class IsolationMonitor:
    """Checks whether this instance is isolated or has lost its links.

    An isolated instance reports that it is not ready, because callers are
    better served in other failure domains.
    """

    def __init__(
        self,
        routes: Any,
        kernel: lifecycle.Kernel,
        on_check: Callable[[], None],
    ) -> None:
        """Creates a monitor.

        Args:
            routes: The plug-in `routes`.
            kernel: The kernel of the instance.
            on_check: Is called at each check.
        """
        self._on_check = on_check
        self._routes = routes
        self._failure_domain = kernel.settings.failure_domain
        fleet = kernel.plugin("fleet")
        self._hubs: hubs_lib.Hubs = fleet.hubs
        self._task: asyncio.Task | None = None
        fleet.mount(_PATH, self._serve_state)

    def start(self) -> None:
        """Starts the checks."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Ends the checks."""
        self._task.cancel()

    async def _run(self) -> None:
        unreachable: frozenset[str] = frozenset()
        while True:
            await self._wait()
            self._on_check()
            unreachable = await self._check(unreachable)

    async def _wait(self) -> None:
        """Waits for the next check, or until a hub reports its isolation."""
        reported = self._hubs.isolation_reported
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_INTERVAL_S):
                await reported.wait()
        reported.clear()

    async def _check(self, before: frozenset[str]) -> frozenset[str]:
        """Updates the state and returns the unreachable failure domains.

        Connections to them are replaced, a few at each check.

        Args:
            before: Failure domains that were unreachable at the last check.
        """
        hubs, directory = self._hubs, self._routes.directory
        now_s = asyncio.get_running_loop().time()
        directory.reach.update(now_s)
        unreachable = directory.reach.unreachable_domains()
        table = self._routes.table
        domain_isolated = table is not None and reach.isolated(
            table.routes,
            directory,
            self._failure_domain,
            unreachable,
            now_s,
        )
        links_lost = directory.reach.links_lost or domain_isolated
        if directory.reach.links_lost:
            directory.reconnect()
        elif unreachable:
            directory.reconnect(unreachable)
        hub_isolated = await self._check_isolated_hub()
        hubs.isolated_by_hub = hub_isolated and not domain_isolated
        isolated = (
            hub_isolated or domain_isolated
        ) and not await self._find_linked_forwarder()
        changed = isolated != hubs.instance_isolated
        if changed or (unreachable, links_lost) != (before, hubs.links_lost):
            hubs.links_lost = links_lost
            hubs.instance_isolated = isolated
            _log.warning(
                "reach_changed",
                lost=",".join(sorted(unreachable)),
                links_lost=links_lost,
                isolated=isolated,
                connected=directory.count_connected(),
                replicas=len(directory),
            )
        if changed:
            for listener in hubs.isolation_listeners:
                listener()
        return unreachable

    async def _check_isolated_hub(self) -> bool:
        """Returns whether the hub that reported isolation is still isolated.

        Forgets the hub if it is no longer isolated or does not answer.
        """
        hub = self._hubs.isolated_hub
        if hub is None:
            return False
        if await _read_state(hub, verified=False) != _ISOLATED:
            self._hubs.isolated_hub = None
        return self._hubs.isolated_hub is not None

    async def _find_linked_forwarder(self) -> bool:
        """Returns whether a forwarder reaches enough replicas.

        Asks a few of the forwarders that have not refused a request recently.
        """
        now_s = asyncio.get_running_loop().time()
        entries = self._hubs.forwarders(now_s)
        chosen = random.sample(entries, min(_ASKED_FORWARDERS, len(entries)))
        return _CONNECTED in await _read_states(chosen, verified=True)

    async def _serve_state(self, scope, receive, send) -> None:
        del receive
        known = scope["query_string"] == b"known"
        body = await self._find_state(verified=not known)
        await exchange_lib.respond(send, 200, body)

    async def _find_state(self, verified: bool) -> bytes:
        """Returns whether this instance reaches others.

        Args:
            verified: Whether to call instances in other failure domains.
        """
        if self._hubs.links_lost or self._hubs.reports_isolation:
            return _ISOLATED
        now_s = asyncio.get_running_loop().time()
        others = choose_remote(self._hubs.forwarders(now_s))
        if not verified or not others:
            return _CONNECTED
        states = await _read_states(others, verified=False)
        return _CONNECTED if any(states) else _UNVERIFIED
