"""Plug-in through which instances learn of each other by way of the seeds.

Instances share limits: a replica's connections, and extra attempts at a
service. Each takes its part by the number of instances, which nobody publishes.
Besides, an instance of a large fleet meets a replica too seldom to learn by
itself that it is slow. Every instance reports to the seeds, which answer with
how many reported and which replicas several of them found to be slow; no
instance keeps a connection to all others.

In a large fleet the seeds also name hubs: a few instances of each failure
domain, those with the largest links, that read the source of routes for the
others and gather answers for those whose links are small.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

from mallowloft.callers import server as server_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.upstream import http1

_log = logs.get("fleet")

_PATH = "/v1/fleet"
# Today's fleets have 7 or 8 instances.
_DEFAULT_INSTANCES = 8
_FIRST_REPORT_S = 0.5
_REPORT_S = 2.0
# Seeds answer at most so many reports a second in large fleets.
_REPORTS_PER_S = 50.0
_CALL_TIMEOUT_S = 0.5
# Instances that are cut off for seconds go on using their part of the limits.
_REMEMBER_S = 30.0


# A replica counts as suspect if so many instances say so: one may have a bad
# link of its own.
_MIN_REPORTERS = 2
_SUSPECT_S = 3.0
_MAX_BODY_BYTES = 1 << 16
# Instances report more often until this long after their start, or until they
# know the hubs: after a loss of the whole fleet nobody knows them.
_EAGER_S = 3.0
# A seed that has heard reports for less than this does not know all instances:
# processes that ended together are back within a second of each other.
_YOUNG_S = 1.2
# A hub was heard of lately.
_HUB_ALIVE_S = 2.5 * _REPORT_S
# An instance that has heard of no hubs for this long asks any seed; otherwise
# only those of its failure domain name them.
_ASK_HUBS_S = 2.5 * _REPORT_S
# Longer than callers of this process keep connections without use.
_KEEP_ALIVE_S = 75

Application = Callable[..., Awaitable[None]]


class Report(msgspec.Struct, frozen=True):
    """What an instance says of itself and of replicas that fare badly."""

    instance: str
    suspects: tuple[str, ...] = ()
    address: str = ""
    failure_domain: str = ""
    link_mbps: float = 0.0
    wants_hubs: bool = False


class Summary(msgspec.Struct, frozen=True):
    """What all instances together say; no hubs if they are not known.

    Attributes:
        small_links: Instances whose links are small beside the largest.
    """

    instances: int
    suspects: tuple[str, ...] = ()
    hubs: tuple[hubs_lib.Hub, ...] | None = None
    small_links: int = 0


_report_decoder = msgspec.json.Decoder(Report)
_summary_decoder = msgspec.json.Decoder(Summary)


class Census:
    """Instances that reported lately, and the largest count lately heard."""

    def __init__(
        self, failure_domain: str = "", hubs_above: float = 20
    ) -> None:
        self._failure_domain = failure_domain
        self._hubs_above = hubs_above
        self._reports_by_instance: dict[str, tuple[float, Report]] = {}
        self._heard: list[tuple[float, int]] = []
        self._first_report_s: float | None = None

    def report(self, report: Report, now_s: float) -> Summary:
        """Notes a report and returns what all say."""
        if self._first_report_s is None:
            self._first_report_s = now_s
        young = now_s - self._first_report_s < _YOUNG_S
        self._reports_by_instance[report.instance] = (now_s, report)
        self._reports_by_instance = {
            instance: (reported_s, known)
            for instance, (reported_s, known) in (
                self._reports_by_instance.items()
            )
            if reported_s > now_s - _REMEMBER_S
        }
        reporters = collections.Counter(
            suspect
            for reported_s, known in self._reports_by_instance.values()
            if reported_s > now_s - _SUSPECT_S
            for suspect in known.suspects
        )
        suspects = (
            suspect
            for suspect, count in reporters.items()
            if count >= _MIN_REPORTERS
        )
        count = len(self._reports_by_instance)
        near = report.failure_domain == self._failure_domain
        suspects = tuple(sorted(suspects))
        if young:
            return Summary(max(count, _DEFAULT_INSTANCES), suspects)
        if not near and not report.wants_hubs:
            return Summary(count, suspects)
        members = self._members(now_s)
        largest_mbps = max(
            (member.link_mbps for member in members), default=0.0
        )
        small_links = sum(
            hubs_lib.has_small_link(member.link_mbps, largest_mbps)
            for member in members
        )
        return Summary(
            count,
            suspects,
            hubs_lib.choose(members, self._hubs_above),
            small_links,
        )

    def _members(self, now_s: float) -> list[hubs_lib.Hub]:
        return [
            hubs_lib.Hub(
                known.instance,
                known.address,
                known.failure_domain,
                known.link_mbps,
            )
            for reported_s, known in self._reports_by_instance.values()
            if known.address and reported_s > now_s - _HUB_ALIVE_S
        ]

    def hear(self, instances: int, now_s: float) -> None:
        """Notes a seed's answer."""
        oldest_s = now_s - _REMEMBER_S
        self._heard = [
            (heard_s, count)
            for heard_s, count in self._heard
            if heard_s > oldest_s and count > instances
        ]
        self._heard.append((now_s, instances))

    @property
    def instances(self) -> int:
        """Number of instances, an assumption before the first answer."""
        if not self._heard:
            return _DEFAULT_INSTANCES
        return max(count for _, count in self._heard)


def _ignore(suspects: Iterable[str]) -> None:
    del suspects


async def _read(receive) -> bytes:
    """Returns the body of a request, cut off at the largest report."""
    body = b""
    more = True
    while more and len(body) < _MAX_BODY_BYTES:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def _not_found(scope, receive, send) -> None:
    del scope, receive
    await exchange_lib.respond(send, 404, b"{}")


@registry.plugins.register("fleet")
class FleetService:
    """Reports to the seeds and answers reports."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        self._census = Census(settings.failure_domain, settings.hubs_above)
        self._pools_by_seed: dict[str, http1.Pool] = {}
        self._listeners: list[Callable[[int], None]] = []
        self._apps_by_path: dict[str, Application] = {_PATH: self._serve_report}
        self.hubs = hubs_lib.Hubs(
            settings.instance_id, settings.failure_domain, settings.link_mbps
        )
        self._hub_listeners: list[Callable[[], None]] = []
        self._hubs_heard_s = -_ASK_HUBS_S
        # Set by the plug-in that calls replicas.
        self.find_suspects: Callable[[], Iterable[str]] = tuple
        self.warn_of: Callable[[Iterable[str]], None] = _ignore
        self._task: asyncio.Task | None = None
        self._server: server_lib.Server | None = None
        self._address = ""
        if settings.fleet_port:
            self._address = f"{settings.host}:{settings.fleet_port}"
            self._server = server_lib.Server(
                self._app,
                settings.host,
                settings.fleet_port,
                {"timeout_keep_alive": _KEEP_ALIVE_S},
            )
        kernel.metrics.gauge("fleet_instances", lambda: self.instances)

    @property
    def instances(self) -> int:
        """Number of instances of the fleet."""
        return self._census.instances

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Adds a listener that is called with each new number."""
        self._listeners.append(listener)

    def subscribe_hubs(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when the hubs have changed."""
        self._hub_listeners.append(listener)

    def mount(self, path: str, application: Application) -> None:
        """Serves a path to other instances with an ASGI application."""
        self._apps_by_path[path] = application

    async def start(self) -> None:
        """Starts to answer reports and to report."""
        if self._server is not None:
            await self._server.start()
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stops reporting."""
        self._task.cancel()
        for pool in self._pools_by_seed.values():
            pool.abort()
        self.hubs.close()
        if self._server is not None:
            await self._server.stop(min(grace_s, _CALL_TIMEOUT_S))

    def ready(self) -> bool:
        """Always ready; a fleet without seeds works on an assumption."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of instances and the seeds."""
        return {
            "instances": self.instances,
            "seeds": self._kernel.settings.seeds,
            "hubs": self.hubs.dump(),
        }

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        eager_until_s = loop.time() + _EAGER_S
        delay_s = _FIRST_REPORT_S
        while True:
            seeds = self._seeds()
            for seed in seeds:
                spread = self._kernel.rng.uniform(0.8, 1.2)
                await asyncio.sleep(delay_s * spread / len(seeds))
                await self._report(seed)
            if not seeds:
                await asyncio.sleep(_REPORT_S)
            eager = loop.time() < eager_until_s and not self.hubs
            usual_s = _FIRST_REPORT_S if eager else _REPORT_S
            delay_s = max(usual_s, self.instances / _REPORTS_PER_S)

    def _seeds(self) -> list[str]:
        return [
            item.strip()
            for item in self._kernel.settings.seeds.split(",")
            if item.strip()
        ]

    async def _report(self, seed: str) -> None:
        pool = self._pools_by_seed.get(seed)
        if pool is None:
            host, _, port = seed.rpartition(":")
            pool = http1.Pool(host.strip("[]"), int(port), 1)
            self._pools_by_seed[seed] = pool
        settings = self._kernel.settings
        now_s = asyncio.get_running_loop().time()
        report = Report(
            settings.instance_id,
            tuple(self.find_suspects()),
            # An instance that stops is no hub any more.
            "" if self._kernel.stopping else self._address,
            settings.failure_domain,
            settings.link_mbps,
            now_s - self._hubs_heard_s > _ASK_HUBS_S,
        )
        response = await http1.call(
            pool,
            b"POST",
            _PATH,
            seed,
            _CALL_TIMEOUT_S,
            msgspec.json.encode(report),
        )
        if isinstance(response, http1.Ending) or response.status != 200:
            # Seeds may be gone for good; the others answer.
            _log.debug("fleet_report_failed", seed=seed, reason=str(response))
            return
        try:
            summary = _summary_decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            _log.warning("fleet_report_failed", seed=seed, reason=str(error))
            return
        self._take(summary)

    def _take(self, summary: Summary) -> None:
        before = self.instances
        now_s = asyncio.get_running_loop().time()
        self._census.hear(summary.instances, now_s)
        self.warn_of(summary.suspects)
        if summary.hubs is not None:
            self._hubs_heard_s = now_s
            self._take_hubs(summary.hubs, summary.small_links)
        if self.instances == before:
            return
        _log.info("fleet_changed", instances=self.instances, before=before)
        for listener in self._listeners:
            listener(self.instances)

    def _take_hubs(
        self, hubs: tuple[hubs_lib.Hub, ...], small_links: int
    ) -> None:
        if not self.hubs.use(hubs, small_links):
            return
        _log.info(
            "hubs_changed",
            hubs=",".join(hub.instance for hub in hubs),
            small_links=small_links,
        )
        for listener in self._hub_listeners:
            listener()

    async def _app(self, scope, receive, send) -> None:
        application = self._apps_by_path.get(scope["path"], _not_found)
        await application(scope, receive, send)

    async def _serve_report(self, scope, receive, send) -> None:
        del scope
        status, body = self._answer(await _read(receive))
        await exchange_lib.respond(send, status, body)

    def _answer(self, body: bytes) -> tuple[int, bytes]:
        try:
            report = _report_decoder.decode(body)
        except msgspec.MsgspecError as error:
            return 400, msgspec.json.encode({"error": str(error)})
        now_s = asyncio.get_running_loop().time()
        summary = self._census.report(report, now_s)
        return 200, msgspec.json.encode(summary)
