"""Plug-in through which instances exchange information by way of the seeds.

Instances share limits on the connections of each replica and on extra attempts
at each service. Each instance uses a part that depends on the number of
instances, which is not published anywhere. An instance of a large fleet also
sends too few requests to a replica to detect by itself that the replica is slow
or failing. Every instance therefore reports to the seeds, which are a few
configured instances. They answer with the number of reporting instances, the
replicas that are slow or failing for several instances, the rate limits that
replicas state, and the requests that were cut off when replicas ended, so that
no instance needs connections to all others.

In a large fleet the seeds also name hubs: a few instances of each failure
domain, preferably with large network links. Hubs read the source of routes for
the other instances and gather answers for instances with small links.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

import msgspec
import xxhash

from mallowloft.callers import server as server_lib
from mallowloft.kernel import connections as connections_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.routes import crashes as crashes_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import message_types
from mallowloft.routes import rate_limits
from mallowloft.routes.cold import counts as cold_counts
from mallowloft.upstream import http1
from mallowloft.upstream import traffic as traffic_lib

_log = logs.get_logger("fleet")

_PATH = "/v1/fleet"
# Assumed shortly after the start, while the number of instances is unknown;
# usual fleets have 7 or 8. A request sends at most one extra attempt to a
# shard. So even if hundreds of instances start together, the extra attempts of
# this time are at most a fifth of the requests of a window of 10 s, which the
# usual limit allows.
_ASSUMED_INSTANCES = 8
_MAX_ASSUMED_S = 2.0
# Assumed after that time if no seed has answered, so that hundreds of instances
# stay within the limits of the whole fleet.
_MAX_ASSUMED_INSTANCES = 200
_STARTUP_REPORT_INTERVAL_S = 0.25
_STARTUP_CALL_TIMEOUT_S = 0.2
_REPORT_INTERVAL_S = 2.0
# In large fleets instances report less often, so that each seed answers at most
# this many reports per second.
_MAX_REPORTS_PER_S = 50.0
_CALL_TIMEOUT_S = 0.5
# Instances are counted for this long after their last report, because one that
# is cut off for seconds still uses its part of the limits.
_RETENTION_S = 30.0
# Reports of further instances are not stored.
_MAX_INSTANCES = 20_000
# A replica is suspect if at least this many instances report it; a single
# reporter may have a faulty link of its own.
_MIN_REPORTERS = 2
_SUSPECT_WINDOW_S = 3.0
# Crashes of replicas are reported at once, but not more often than this.
_CRASH_REPORT_INTERVAL_S = 0.25
_MAX_BODY_BYTES = 1 << 17
# After a restart of the whole fleet no instance knows the hubs. Instances
# therefore report more often until they know them, but at most for this long
# after their start.
_STARTUP_S = 3.0
# A seed that has started does not know all instances until no new one has
# reported for this long, or until the longer time has passed. After a restart
# of the whole fleet all report at once; after a restart of the seed alone, each
# reports at its next interval.
_SEED_SETTLE_S = 0.4
_MAX_SEED_WARM_UP_S = 20.0
# Instances without a report for this long are not named as hubs.
_HUB_TIMEOUT_S = 2.5 * _REPORT_INTERVAL_S
# Seeds name the hubs to instances of their own failure domain. An instance that
# has received no list of hubs for this long requests it from every seed.
_HUB_LIST_MAX_AGE_S = 2.5 * _REPORT_INTERVAL_S
# Idle connections stay open for longer than the other instances keep them.
_CONNECTION_LIMITS = connections_lib.ConnectionLimits(idle_timeout_s=75.0)

Application = Callable[..., Awaitable[None]]


class Report(msgspec.Struct, frozen=True, array_like=True):
    """An instance's report about itself and the replicas it suspects.

    Attributes:
        suspects: Ids of replicas that are slow or failing for the instance.
        address: Host and port for other instances; empty if it cannot be a hub.
        link_mbps: Bandwidth of the instance's network link, 0 if unknown.
        wants_hubs: Whether a seed in any failure domain should name the hubs.
        known_hubs: Digest of the hubs that the instance knows.
        limits: What the instance last heard of the replicas' rate limits.
        crash_digest: Digest of the crashes of replicas that it knows of.
        crashes: Requests that were cut off by crashes; empty if the seed knows
            of the same ones.
        largest_count: Largest number of instances that the instance knows of,
            and how long ago a seed counted them.
    """

    instance: message_types.Name
    suspects: message_types.Names = ()
    address: message_types.Name = ""
    failure_domain: message_types.Name = ""
    link_mbps: message_types.Mbps = 0.0
    wants_hubs: bool = False
    known_hubs: message_types.Name = ""
    limits: tuple[rate_limits.Statement, ...] = ()
    crash_digest: message_types.Name = ""
    crashes: tuple[crashes_lib.Trace, ...] = ()
    largest_count: cold_counts.Statement = (0, 0.0)


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """A seed's summary of the reports of all instances.

    Attributes:
        instances: Number of instances, 0 while the seed does not know it.
        suspects: Ids of replicas that several instances suspect.
        failure_domain: Failure domain of the seed.
        hub_digest: Digest of the hubs; empty if the seed does not name them.
        hubs: The hubs; None if the instance knows them or the seed does not
            name them.
        small_links: Number of instances whose links are small compared with
            the largest.
        limits: The newest statements about the replicas' rate limits.
        crash_digest: Digest of the crashes of replicas that the seed knows of.
        crashes: Requests that were cut off by crashes; empty if the instance
            knows of the same ones.
        largest_count: Largest number of instances that the seed knows of, and
            how long ago a seed counted them.
    """

    instances: message_types.Count
    suspects: message_types.Names = ()
    failure_domain: message_types.Name = ""
    hub_digest: message_types.Name = ""
    hubs: tuple[hubs_lib.Hub, ...] | None = None
    small_links: message_types.Count = 0
    limits: tuple[rate_limits.Statement, ...] = ()
    crash_digest: message_types.Name = ""
    crashes: tuple[crashes_lib.Trace, ...] = ()
    largest_count: cold_counts.Statement = (0, 0.0)


_report_decoder = msgspec.msgpack.Decoder(Report)
_summary_decoder = msgspec.msgpack.Decoder(Summary)


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """Hubs that a seed chose.

    Attributes:
        members: The instances among which they were chosen.
        digest: Digest of the hubs and the number of small links.
    """

    members: tuple[hubs_lib.Hub, ...]
    hubs: tuple[hubs_lib.Hub, ...]
    small_links: int
    digest: str


class InstanceRegistry:
    """Recent reports to this seed, and the counts recently received.

    The number of instances is the largest recent count, so that a part of the
    fleet that is cut off does not use the limits of the whole fleet.
    """

    def __init__(
        self,
        failure_domain: str = "",
        hubs_above: float = 20,
        started_s: float = 0.0,
    ) -> None:
        self._started_s = started_s
        self._failure_domain = failure_domain
        self._hubs_above = hubs_above
        self._reports_by_instance: dict[str, tuple[float, Report]] = {}
        self._limits = rate_limits.StatementRegistry()
        self._received_counts: list[tuple[float, int]] = []
        self._largest = cold_counts.LargestCount()
        self._choice: _Choice | None = None
        self._first_report_s: float | None = None
        self._last_new_s = 0.0
        self._settled = False

    def record_report(self, report: Report, now_s: float) -> Summary:
        """Records a report and returns a summary of all recent reports."""
        if self._first_report_s is None:
            self._first_report_s = now_s
        if report.instance not in self._reports_by_instance:
            if len(self._reports_by_instance) >= _MAX_INSTANCES:
                return Summary(len(self._reports_by_instance))
            self._last_new_s = now_s
        self._settled = self._settled or (
            now_s - self._last_new_s >= _SEED_SETTLE_S
            or now_s - self._first_report_s >= _MAX_SEED_WARM_UP_S
        )
        self._limits.record(report.limits, now_s)
        self._largest.record(*report.largest_count, now_s)
        self._reports_by_instance[report.instance] = (now_s, report)
        self._reports_by_instance = {
            instance: (reported_s, known)
            for instance, (reported_s, known) in (
                self._reports_by_instance.items()
            )
            if reported_s > now_s - _RETENTION_S
        }
        reporters = collections.Counter(
            suspect
            for reported_s, known in self._reports_by_instance.values()
            if reported_s > now_s - _SUSPECT_WINDOW_S
            for suspect in known.suspects
        )
        suspects = (
            suspect
            for suspect, count in reporters.items()
            if count >= _MIN_REPORTERS
        )
        count = len(self._reports_by_instance)
        if self._settled:
            self._largest.record(count, 0.0, now_s)
        same_domain = report.failure_domain == self._failure_domain
        summary = Summary(
            count if self._settled else 0,
            tuple(sorted(suspects)),
            self._failure_domain,
            limits=self._limits.statements(now_s),
            largest_count=self.largest_count(now_s),
        )
        if not self._settled or not (same_domain or report.wants_hubs):
            return summary
        choice = self._choose_hubs(now_s)
        is_known = report.known_hubs == choice.digest
        return msgspec.structs.replace(
            summary,
            hub_digest=choice.digest,
            hubs=None if is_known else choice.hubs,
            small_links=choice.small_links,
        )

    def _choose_hubs(self, now_s: float) -> _Choice:
        """Returns the hubs, chosen again if the instances have changed."""
        members = self._members(now_s)
        if self._choice is not None and self._choice.members == members:
            return self._choice
        largest_mbps = max(
            (member.link_mbps for member in members), default=0.0
        )
        small_links = sum(
            hubs_lib.has_small_link(member.link_mbps, largest_mbps)
            for member in members
        )
        hubs = hubs_lib.choose_hubs(members, self._hubs_above)
        encoded = msgspec.msgpack.encode((hubs, small_links))
        self._choice = _Choice(
            members, hubs, small_links, xxhash.xxh3_64_hexdigest(encoded)
        )
        return self._choice

    def _members(self, now_s: float) -> tuple[hubs_lib.Hub, ...]:
        return tuple(
            hubs_lib.Hub(
                known.instance,
                known.address,
                known.failure_domain,
                known.link_mbps,
            )
            for reported_s, known in self._reports_by_instance.values()
            if reported_s > now_s - _HUB_TIMEOUT_S
            and hubs_lib.split_address(known.address) is not None
        )

    def record_largest(
        self, statement: cold_counts.Statement, now_s: float
    ) -> None:
        """Records the largest count that a seed knows of."""
        self._largest.record(*statement, now_s)

    def largest_count(self, now_s: float) -> cold_counts.Statement:
        """Returns the largest known count with its age, within bounds."""
        return self._largest.statement(now_s)

    def cold_divisor(self, now_s: float) -> int:
        """Returns the divisor of the limits of cold replicas."""
        return self._largest.divisor(now_s)

    def record_count(self, instances: int, now_s: float) -> None:
        """Records the number of instances that a seed returned."""
        self._largest.record(instances, 0.0, now_s)
        oldest_s = now_s - _RETENTION_S
        # Older counts that are not larger can no longer be the maximum.
        self._received_counts = [
            (received_s, count)
            for received_s, count in self._received_counts
            if received_s > oldest_s and count > instances
        ]
        self._received_counts.append((now_s, instances))

    @property
    def instances_known(self) -> bool:
        """Whether a seed has told the number of instances."""
        return bool(self._received_counts)

    def instances(self, now_s: float) -> int:
        """Returns the number of instances, an assumed one if it is unknown."""
        if self._received_counts:
            return max(count for _, count in self._received_counts)
        if now_s - self._started_s < _MAX_ASSUMED_S:
            return _ASSUMED_INSTANCES
        return _MAX_ASSUMED_INSTANCES


def _ignore(items: Iterable) -> None:
    del items


async def _read_body(receive) -> bytes:
    """Returns the body; stops reading once the size limit is reached."""
    body = b""
    has_more = True
    while has_more and len(body) < _MAX_BODY_BYTES:
        message = await receive()
        body += message.get("body", b"")
        has_more = message.get("more_body", False)
    return body


async def _not_found(scope, receive, send) -> None:
    del scope, receive
    await exchange_lib.respond(send, 404, b"{}")


@registry.plugins.register("fleet")
class FleetService:
    """Reports to the seeds and answers reports of other instances."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        settings = kernel.settings
        self._instance_registry = InstanceRegistry(
            settings.failure_domain,
            settings.hubs_above,
            asyncio.get_running_loop().time(),
        )
        self._pools_by_seed: dict[str, http1.Pool] = {}
        self._listeners: list[Callable[[int], None]] = []
        self._apps_by_path: dict[str, Application] = {_PATH: self._serve_report}
        self.traffic = traffic_lib.Traffic(
            kernel.metrics, settings.failure_domain
        )
        self.hubs = hubs_lib.Hubs(
            settings.instance_id,
            settings.failure_domain,
            settings.link_mbps,
            self.traffic,
        )
        self.crashes = crashes_lib.CrashRegistry()
        self._crash_noticed = asyncio.Event()
        self.crashes.on_crash = self._crash_noticed.set
        self._crash_digests_by_seed: dict[str, str] = {}
        # How many of the crashes that this instance has noticed a seed knows.
        self._told_crashes_by_seed: dict[str, int] = {}
        self._crash_task: asyncio.Task | None = None
        self._hub_digest = ""
        self.seeds_answered = False
        self._hub_listeners: list[Callable[[], None]] = []
        self._hubs_received_s = -_HUB_LIST_MAX_AGE_S
        # These are set by the plug-in `routes`.
        self.find_suspects: Callable[[], Iterable[str]] = tuple
        self.mark_suspects: Callable[[Iterable[str]], None] = _ignore
        self.find_limits: Callable[[], tuple[rate_limits.Statement, ...]] = (
            tuple
        )
        self.apply_limits: Callable[[Iterable[rate_limits.Statement]], None] = (
            _ignore
        )
        self._task: asyncio.Task | None = None
        self._server: server_lib.Server | None = None
        self._address = ""
        if settings.fleet_port:
            self._address = f"{settings.host}:{settings.fleet_port}"
            group = kernel.connections.group("fleet")
            group.limits = _CONNECTION_LIMITS
            self._server = server_lib.Server(
                self._app, settings.host, settings.fleet_port, group
            )
        kernel.metrics.gauge("fleet_instances", lambda: self.instances)

    @property
    def instances(self) -> int:
        """Number of instances of the fleet."""
        now_s = asyncio.get_running_loop().time()
        return self._instance_registry.instances(now_s)

    @property
    def cold_divisor(self) -> int:
        """Number of instances by which limits of cold replicas are divided."""
        now_s = asyncio.get_running_loop().time()
        return self._instance_registry.cold_divisor(now_s)

    @property
    def instances_known(self) -> bool:
        """Whether a seed has told the number of instances."""
        return self._instance_registry.instances_known

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Adds a listener that is called when the instance count changes."""
        self._listeners.append(listener)

    def subscribe_hubs(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called when the hubs change."""
        self._hub_listeners.append(listener)

    def mount(self, path: str, application: Application) -> None:
        """Serves requests of other instances to a path.

        Args:
            path: The exact path.
            application: ASGI application that serves the requests.
        """
        self._apps_by_path[path] = application

    async def start(self) -> None:
        """Starts answering reports and reporting to the seeds."""
        if self._server is not None:
            await self._server.start()
        self._task = asyncio.create_task(self._report_periodically())
        self._crash_task = asyncio.create_task(self._report_crashes())

    async def stop(self, grace_s: float) -> None:
        """Stops reporting and answering reports."""
        self._task.cancel()
        self._crash_task.cancel()
        for pool in self._pools_by_seed.values():
            pool.abort()
        self.hubs.close()
        if self._server is not None:
            # Other instances repeat a call that the close cuts off.
            await self._server.stop(
                min(grace_s, _CALL_TIMEOUT_S), idle_wait_s=0.0
            )

    def ready(self) -> bool:
        """Always ready; without seeds the default instance count applies."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the instance count, seeds, hubs and bytes on links."""
        return {
            "instances": self.instances,
            "seeds": self._kernel.settings.seeds,
            "hubs": self.hubs.dump(),
            "gatherer_loads": self.hubs.loads.dump(
                asyncio.get_running_loop().time()
            ),
            "link_bytes": self.traffic.dump(),
        }

    @property
    def hubs_known(self) -> bool:
        """Whether a seed has named the hubs, which may be none."""
        return bool(self._hub_digest)

    async def _report_periodically(self) -> None:
        await self._report_at_start()
        # Limits change if no seed has answered until now.
        self._notify_listeners()
        while True:
            seeds = self._list_seeds()
            delay_s = max(
                _REPORT_INTERVAL_S, self.instances / _MAX_REPORTS_PER_S
            )
            for seed in seeds:
                jitter = self._kernel.rng.uniform(0.8, 1.2)
                await asyncio.sleep(delay_s * jitter / len(seeds))
                await self._send_report(seed, _CALL_TIMEOUT_S)
            if not seeds:
                await asyncio.sleep(delay_s)

    async def _report_at_start(self) -> None:
        """Reports to all seeds at once until one of them names the hubs."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _STARTUP_S
        while True:
            await asyncio.gather(
                *(
                    self._send_report(seed, _STARTUP_CALL_TIMEOUT_S)
                    for seed in self._list_seeds()
                )
            )
            self.seeds_answered = True
            if self.hubs_known or loop.time() >= end_s:
                return
            jitter = self._kernel.rng.uniform(0.8, 1.2)
            await asyncio.sleep(_STARTUP_REPORT_INTERVAL_S * jitter)

    async def _report_crashes(self) -> None:
        """Reports to all seeds soon after a crash of a replica."""
        while True:
            await self._crash_noticed.wait()
            self._crash_noticed.clear()
            await asyncio.gather(
                *(
                    self._send_report(seed, _CALL_TIMEOUT_S)
                    for seed in self._list_seeds()
                )
            )
            await asyncio.sleep(_CRASH_REPORT_INTERVAL_S)
            # More crashes were noticed than fit in a message.
            if any(
                told < self.crashes.noticed
                for told in self._told_crashes_by_seed.values()
            ):
                self._crash_noticed.set()

    def _list_seeds(self) -> list[str]:
        return [
            item.strip()
            for item in self._kernel.settings.seeds.split(",")
            if item.strip()
        ]

    async def _send_report(self, seed: str, timeout_s: float) -> None:
        pool = self._pools_by_seed.get(seed)
        if pool is None:
            host, _, port = seed.rpartition(":")
            # The failure domain of a seed is unknown until it has answered.
            pool = http1.Pool(
                host.strip("[]"), int(port), 1, meter=self.traffic.meter(True)
            )
            self._pools_by_seed[seed] = pool
        settings = self._kernel.settings
        now_s = asyncio.get_running_loop().time()
        crash_digest = self.crashes.digest(now_s)
        told = self._told_crashes_by_seed.get(seed, 0)
        told_after = self.crashes.told_after(told)
        is_known = (
            told == self.crashes.noticed
            and self._crash_digests_by_seed.get(seed, "") == crash_digest
        )
        report = Report(
            settings.instance_id,
            tuple(self.find_suspects()),
            # A stopping instance must not be chosen as a hub.
            "" if self._kernel.stopping else self._address,
            settings.failure_domain,
            settings.link_mbps,
            now_s - self._hubs_received_s > _HUB_LIST_MAX_AGE_S,
            self._hub_digest,
            self.find_limits(),
            crash_digest,
            () if is_known else self.crashes.traces(now_s, told),
            self._instance_registry.largest_count(now_s),
        )
        summary = await self._call_seed(seed, pool, report, timeout_s)
        if summary is None:
            return
        self._told_crashes_by_seed[seed] = told_after
        now_s = asyncio.get_running_loop().time()
        crash_digest = self.crashes.digest(now_s)
        if report.crashes or crash_digest == summary.crash_digest:
            return
        # The seed has restarted since it was told of the crashes. Until it
        # knows of them again, no instance that restarts learns of them.
        crashes = self.crashes.traces(now_s, 0)
        if crashes:
            told_after = self.crashes.told_after(0)
            report = msgspec.structs.replace(
                report, crash_digest=crash_digest, crashes=crashes
            )
            if await self._call_seed(seed, pool, report, timeout_s):
                self._told_crashes_by_seed[seed] = told_after

    async def _call_seed(
        self, seed: str, pool: http1.Pool, report: Report, timeout_s: float
    ) -> Summary | None:
        """Sends a report and applies the summary; None if there is none."""
        response = await http1.send_request(
            pool,
            b"POST",
            _PATH,
            seed,
            timeout_s,
            msgspec.msgpack.encode(report),
            purpose="report",
        )
        if isinstance(response, http1.FailureReason) or response.status != 200:
            self.hubs.suspect_isolation()
            # It may have restarted, and then knows of no crashes.
            self._crash_digests_by_seed.pop(seed, None)
            self._told_crashes_by_seed.pop(seed, None)
            # The seed may have been removed for good; other seeds answer.
            _log.debug("fleet_report_failed", seed=seed, reason=str(response))
            return None
        try:
            summary = _summary_decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            _log.warning("fleet_report_failed", seed=seed, reason=str(error))
            return None
        remote = summary.failure_domain != self._kernel.settings.failure_domain
        pool.set_meter(self.traffic.meter(remote))
        self._crash_digests_by_seed[seed] = summary.crash_digest
        self._apply_summary(summary)
        return summary

    def _apply_summary(self, summary: Summary) -> None:
        before = self.instances
        now_s = asyncio.get_running_loop().time()
        if summary.instances:
            self._instance_registry.record_count(summary.instances, now_s)
        self._instance_registry.record_largest(summary.largest_count, now_s)
        self.mark_suspects(summary.suspects)
        self.apply_limits(summary.limits)
        self.crashes.apply(summary.crashes, now_s)
        if summary.hub_digest:
            self._hubs_received_s = now_s
        if summary.hubs is not None:
            self._apply_hubs(summary)
        if self.instances == before:
            return
        _log.info("fleet_changed", instances=self.instances, before=before)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener(self.instances)

    def _apply_hubs(self, summary: Summary) -> None:
        first = not self._hub_digest
        self._hub_digest = summary.hub_digest
        hubs, small_links = summary.hubs, summary.small_links
        if not self.hubs.update(hubs, small_links) and not first:
            return
        _log.info(
            "hubs_changed",
            hubs=",".join(
                f"{hub.instance}:{'+'.join(hub.roles)}" for hub in hubs
            ),
            small_links=small_links,
        )
        for listener in self._hub_listeners:
            listener()

    async def _app(self, scope, receive, send) -> None:
        application = self._apps_by_path.get(scope["path"], _not_found)
        await application(scope, receive, send)

    async def _serve_report(self, scope, receive, send) -> None:
        del scope
        status, body = self._handle_report(await _read_body(receive))
        await exchange_lib.respond(send, status, body)

    def _handle_report(self, body: bytes) -> tuple[int, bytes]:
        try:
            report = _report_decoder.decode(body)
        except msgspec.MsgspecError as error:
            return 400, str(error).encode()
        now_s = asyncio.get_running_loop().time()
        summary = self._instance_registry.record_report(report, now_s)
        self.crashes.apply(report.crashes, now_s)
        digest = self.crashes.digest(now_s)
        is_known = report.crash_digest == digest
        summary = msgspec.structs.replace(
            summary,
            crash_digest=digest,
            crashes=()
            if is_known
            else self.crashes.traces(now_s, heard=report.crashes),
        )
        return 200, msgspec.msgpack.encode(summary)
