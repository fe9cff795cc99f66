"""Hubs: a few instances that do some work for the other instances of a fleet.

A hub has one or several roles. Readers read the source of routes for the other
instances of their failure domain. Gatherers gather answers for instances with
small network links. Collectors send attempts to the replicas of their failure
domain for gathering instances in other ones. Forwarders serve requests of
instances that have lost their links to replicas. Only collectors and forwarders
are used in fleets of up to `hubs_above` instances. The holders of a role are
chosen by the size of their links, then by rendezvous hashing.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random

import msgspec

from mallowloft.kernel import registry
from mallowloft.membership import rendezvous
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import message_types
from mallowloft.routes import model
from mallowloft.routes.placement import gatherers
from mallowloft.upstream import http1
from mallowloft.upstream import traffic as traffic_lib

READER = "reader"
GATHERER = "gatherer"
COLLECTOR = "collector"
FORWARDER = "forwarder"
# Share of the replicas' connections and of the extra attempts that is reserved
# for instances with small links, which need it while no hub answers.
_SMALL_LINKS_SHARE = 0.2
# Low estimate of the size of a part with its headers; parts alone have 100 to
# 1,000 bytes.
_ASSUMED_PART_BYTES = 500
# Gatherers gather the answers of a route if transferring the parts of one
# answer would occupy this instance's link for more than this share of the
# objective. A shorter transfer does not justify the additional hop.
_MIN_TRANSFER_SHARE = 0.1
_CONNECTIONS_PER_HUB = 8
_SERVICE = "hubs"
# Two holders of a role tolerate the loss of one.
_MIN_HUBS_PER_DOMAIN = 2
# Instances for which one gatherer gathers. At 200 instances it occupies a tenth
# of a large link and a twentieth of a core.
_INSTANCES_PER_GATHERER = 12
_MAX_COLLECTORS_PER_DOMAIN = 4
# Most forwarders of a failure domain may have lost their own links.
_MIN_FORWARDERS_PER_DOMAIN = 4
# A forwarder that did not accept a request is not asked again for this long.
_FORWARDER_AVOIDED_S = 1.0
# Forwarders that a list does not name any more are used for this long. A seed
# that has restarted names only the instances that have reported to it since.
_FORWARDER_RETENTION_S = 5.0
# Reason for a refusal by an instance that does not reach enough replicas.
LINKS_LOST = b"links_lost"
# Links with at least this share of the largest link's bandwidth are large.
_MIN_LARGE_LINK_RATIO = 0.5


class Hub(msgspec.Struct, frozen=True, array_like=True):
    """A hub, or an instance that may become one.

    Attributes:
        address: Host and port for other instances.
        link_mbps: Bandwidth of its network link, 0 if unknown; an unknown link
            counts as small if the link of another instance is known.
        roles: Names of the roles that it holds.
    """

    instance: message_types.Name
    address: message_types.Name
    failure_domain: message_types.Name
    link_mbps: message_types.Mbps
    roles: message_types.Names = ()


@dataclasses.dataclass(frozen=True)
class Candidates:
    """The instances of one failure domain among which holders are chosen.

    Attributes:
        instances: Number of instances in the failure domain.
        large_links: How many of them have large links.
        fleet_instances: Number of instances in all failure domains.
        failure_domains: Number of failure domains.
        hubs_above: Largest fleet without readers and gatherers.
    """

    instances: int
    large_links: int
    fleet_instances: int
    failure_domains: int
    hubs_above: float

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet has readers and gatherers."""
        return self.fleet_instances > self.hubs_above


# Functions that return the number of holders of a role in a failure domain.
roles: registry.Registry[Callable[[Candidates], int]] = registry.Registry(
    "role"
)


@roles.register(READER)
def _count_readers(candidates: Candidates) -> int:
    """Returns the number of readers: calls of the source are expensive."""
    return _MIN_HUBS_PER_DOMAIN if candidates.is_large_fleet else 0


@roles.register(GATHERER)
def _count_gatherers(candidates: Candidates) -> int:
    """Returns the number of gatherers, which grows with the failure domain.

    More gatherers than large links would not gather faster.
    """
    if not candidates.is_large_fleet:
        return 0
    needed = math.ceil(candidates.instances / _INSTANCES_PER_GATHERER)
    return max(_MIN_HUBS_PER_DOMAIN, min(needed, candidates.large_links))


@roles.register(COLLECTOR)
def _count_collectors(candidates: Candidates) -> int:
    """Returns the number of collectors, which all gathering instances use."""
    if candidates.failure_domains < 2 and not candidates.is_large_fleet:
        return 0
    needed = math.ceil(candidates.instances / _INSTANCES_PER_GATHERER)
    return min(candidates.large_links, max(_MAX_COLLECTORS_PER_DOMAIN, needed))


@roles.register(FORWARDER)
def _count_forwarders(candidates: Candidates) -> int:
    """Returns the number of forwarders.

    They get few requests unless many instances lose their links at once.
    """
    needed = math.ceil(candidates.instances / _INSTANCES_PER_GATHERER)
    return max(_MIN_FORWARDERS_PER_DOMAIN, needed)


def has_small_link(link_mbps: float, largest_mbps: float) -> bool:
    """Whether a link is small compared with the largest of the fleet."""
    return link_mbps < _MIN_LARGE_LINK_RATIO * largest_mbps


def choose_hubs(members: Iterable[Hub], hubs_above: float) -> tuple[Hub, ...]:
    """Returns the hubs of all failure domains with their roles.

    Args:
        members: Instances of the fleet.
        hubs_above: Largest number of instances for which there are no readers
            and gatherers.
    """
    members = tuple(members)
    largest_mbps = max((member.link_mbps for member in members), default=0.0)
    members_by_domain: dict[str, list[Hub]] = {}
    for member in members:
        members_by_domain.setdefault(member.failure_domain, []).append(member)
    if len(members) < 2:
        return ()
    hubs: list[Hub] = []
    for _, domain_members in sorted(members_by_domain.items()):
        small_links = sum(
            has_small_link(member.link_mbps, largest_mbps)
            for member in domain_members
        )
        candidates = Candidates(
            len(domain_members),
            len(domain_members) - small_links,
            len(members),
            len(members_by_domain),
            hubs_above,
        )
        hubs += _choose_holders(domain_members, candidates, largest_mbps)
    return tuple(hubs)


def _choose_holders(
    members: list[Hub], candidates: Candidates, largest_mbps: float
) -> list[Hub]:
    """Returns the members of one failure domain that hold a role."""
    roles_by_instance: dict[str, list[str]] = {}
    for role, count in roles.by_name.items():
        ranked = sorted(
            members,
            key=lambda member: (
                has_small_link(member.link_mbps, largest_mbps),
                -rendezvous.weight(member.instance, role),
            ),
        )
        for member in ranked[: count(candidates)]:
            roles_by_instance.setdefault(member.instance, []).append(role)
    return [
        msgspec.structs.replace(
            member, roles=tuple(roles_by_instance[member.instance])
        )
        for member in sorted(members, key=lambda member: member.instance)
        if member.instance in roles_by_instance
    ]


def split_address(address: str) -> tuple[str, int] | None:
    """Returns host and port of an address, None if it is malformed."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        return None
    if not 0 < int(port) < 65536:
        return None
    return host.strip("[]"), int(port)


def _create_entry(
    hub: Hub,
    address: tuple[str, int],
    remote: bool,
    meter: traffic_lib.LinkMeter | None,
) -> directory_lib.ReplicaEntry:
    host, port = address
    replica = model.Replica(
        id=hub.instance,
        service=_SERVICE,
        host=host,
        port=port,
        failure_domain=hub.failure_domain,
        # With slots equal to the connections, the load cost of a hub stays low,
        # because the number of requests in flight says little about the
        # duration of the next one.
        slots=_CONNECTIONS_PER_HUB,
    )
    entry = directory_lib.ReplicaEntry(
        replica,
        http1.Pool(
            replica.host, replica.port, _CONNECTIONS_PER_HUB, meter=meter
        ),
        health_lib.ReplicaHealth(),
        remote,
    )
    entry.in_subset = not remote
    return entry


class Hubs:
    """The hubs as used by this instance, with connections to them."""

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        link_mbps: float,
        traffic: traffic_lib.Traffic | None = None,
    ) -> None:
        self._traffic = traffic
        self._instance = instance
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._hubs_by_id: dict[str, Hub] = {}
        self._entries_by_id: dict[str, directory_lib.ReplicaEntry] = {}
        # What gatherers reported of their load.
        self.loads = gatherers.LoadReports(random.Random(instance))
        # Gatherers for this instance; empty unless its own link is small
        # compared with the largest of the hubs.
        self.gathering_hubs: list[directory_lib.ReplicaEntry] = []
        # Whether this instance, or a hub of its failure domain, reaches no
        # other failure domain but needs them to cover the shards, so that
        # callers should use other instances.
        self.instance_isolated = False
        # Whether this instance knows so only from a hub.
        self.isolated_by_hub = False
        # Whether this instance itself does not reach enough replicas, whether
        # or not forwarders serve its requests.
        self.links_lost = False
        self._avoided_until_s: dict[str, float] = {}
        # Hubs that refused a request because they have lost their links.
        self._unlinked_until_s: dict[str, float] = {}
        # Forwarders that the last list does not name, and when they go.
        self._retained_by_id: dict[
            str, tuple[directory_lib.ReplicaEntry, float]
        ] = {}
        # A hub of this failure domain that reported that it is isolated.
        self.isolated_hub: directory_lib.ReplicaEntry | None = None
        # Set when a hub has reported that it is isolated.
        self.isolation_reported = asyncio.Event()
        # Called when this instance has become isolated or is so no longer.
        self.isolation_listeners: list[Callable[[], None]] = []
        self._small_links = 0
        self._collectors_by_domain: dict[
            str, list[directory_lib.ReplicaEntry]
        ] = {}

    def __len__(self) -> int:
        return len(self._hubs_by_id)

    @property
    def readers(self) -> list[directory_lib.ReplicaEntry]:
        """Other instances that read the source for this failure domain."""
        return self._entries_with_role(READER, self._failure_domain)

    @property
    def reader_count(self) -> int:
        """Number of readers of all failure domains."""
        return sum(READER in hub.roles for hub in self._hubs_by_id.values())

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the source for others."""
        return self.holds(READER)

    @property
    def reports_isolation(self) -> bool:
        """Whether other instances are told that this one is isolated.

        What this instance knows only from a hub is not passed on. Otherwise two
        instances could keep each other isolated for good.
        """
        return self.instance_isolated and not self.isolated_by_hub

    def holds(self, role: str) -> bool:
        """Whether this instance holds a role."""
        hub = self._hubs_by_id.get(self._instance)
        return hub is not None and role in hub.roles

    def collectors(
        self, failure_domain: str
    ) -> list[directory_lib.ReplicaEntry]:
        """Returns the collectors of a failure domain, except this instance."""
        return self._collectors_by_domain.get(failure_domain, [])

    def _entries_with_role(
        self, role: str, failure_domain: str
    ) -> list[directory_lib.ReplicaEntry]:
        return [
            entry
            for instance, entry in self._entries_by_id.items()
            if role in self._hubs_by_id[instance].roles
            and entry.replica.failure_domain == failure_domain
        ]

    def forwarders(self, now_s: float) -> list[directory_lib.ReplicaEntry]:
        """Returns the forwarders that have not refused a request recently."""
        named = [
            entry
            for instance, entry in self._entries_by_id.items()
            if FORWARDER in self._hubs_by_id[instance].roles
        ]
        retained = [
            entry
            for entry, until_s in self._retained_by_id.values()
            if now_s < until_s
        ]
        return [
            entry
            for entry in (*named, *retained)
            if self._avoided_until_s.get(entry.replica.id, 0.0) <= now_s
        ]

    def gatherers(self, now_s: float) -> list[directory_lib.ReplicaEntry]:
        """Returns the gatherers for this instance that may have links."""
        return [
            entry
            for entry in self.gathering_hubs
            if self._unlinked_until_s.get(entry.replica.id, 0.0) <= now_s
        ]

    def record_refusal(
        self, entry: directory_lib.ReplicaEntry, reason: bytes, now_s: float
    ) -> None:
        """Records that an instance did not accept a request.

        Args:
            entry: The instance.
            reason: Its reason.
            now_s: Current loop time.
        """
        self._avoided_until_s[entry.replica.id] = now_s + _FORWARDER_AVOIDED_S
        if reason == LINKS_LOST:
            self._unlinked_until_s[entry.replica.id] = (
                now_s + _FORWARDER_AVOIDED_S
            )
            self.record_isolated(entry)

    def record_isolated(self, hub: directory_lib.ReplicaEntry) -> None:
        """Records that a hub reported that it is isolated."""
        if hub.remote:
            return
        if self.isolated_hub is None:
            self.isolation_reported.set()
        self.isolated_hub = hub

    def suspect_isolation(self) -> None:
        """Lets the monitor ask a gatherer here whether it is isolated.

        Called if a seed does not answer. Gatherers have the most traffic and
        detect a cut first; most other instances have too little to do so.
        """
        if self.isolated_hub is not None:
            return
        gatherers = self._entries_with_role(GATHERER, self._failure_domain)
        if gatherers:
            self.record_isolated(random.choice(gatherers))

    def preferred(
        self, entries: Iterable[directory_lib.ReplicaEntry]
    ) -> directory_lib.ReplicaEntry | None:
        """Returns the hub that rendezvous hashing assigns to this instance.

        Returns:
            One of the entries, or None if there are none.
        """
        return max(
            entries,
            key=lambda entry: rendezvous.weight(
                self._instance, entry.replica.id
            ),
            default=None,
        )

    def update(self, hubs: Iterable[Hub], small_links: int) -> bool:
        """Replaces the hubs and opens or closes connections accordingly.

        Args:
            hubs: All hubs of the fleet.
            small_links: Number of instances with small links.

        Returns:
            Whether the hubs or the number of small links changed.
        """
        hubs_by_id = {hub.instance: hub for hub in hubs}
        if (hubs_by_id, small_links) == (self._hubs_by_id, self._small_links):
            return False
        self._small_links = small_links
        previous_by_id, self._hubs_by_id = self._hubs_by_id, hubs_by_id
        self._take_back_retained()
        for instance, entry in list(self._entries_by_id.items()):
            hub = self._hubs_by_id.get(instance)
            # A hub that keeps its id may have moved to another failure domain.
            if (
                hub is None
                or hub.address != entry.pool.address
                or hub.failure_domain != entry.replica.failure_domain
            ):
                del self._entries_by_id[instance]
                if hub is None and FORWARDER in previous_by_id[instance].roles:
                    self._retain(entry)
                else:
                    entry.pool.close()
        for instance, hub in self._hubs_by_id.items():
            if instance not in (self._instance, *self._entries_by_id):
                address = split_address(hub.address)
                if address is None:
                    continue
                remote = hub.failure_domain != self._failure_domain
                meter = self._traffic.meter(remote) if self._traffic else None
                self._entries_by_id[instance] = _create_entry(
                    hub, address, remote, meter
                )
        largest_mbps = max(
            (hub.link_mbps for hub in self._hubs_by_id.values()), default=0.0
        )
        self.gathering_hubs = []
        if has_small_link(self._link_mbps, largest_mbps):
            self.gathering_hubs = [
                entry
                for instance, entry in self._entries_by_id.items()
                if GATHERER in self._hubs_by_id[instance].roles
                and not has_small_link(
                    self._hubs_by_id[instance].link_mbps, largest_mbps
                )
            ]
        self._collectors_by_domain = {
            domain: self._entries_with_role(COLLECTOR, domain)
            for domain in {hub.failure_domain for hub in hubs_by_id.values()}
        }
        self._keep_connections_open()
        return True

    def _retain(self, entry: directory_lib.ReplicaEntry) -> None:
        """Keeps a forwarder that the list does not name any more."""
        now_s = asyncio.get_running_loop().time()
        entry.pool.stop_keeping_open()
        self._retained_by_id[entry.replica.id] = (
            entry,
            now_s + _FORWARDER_RETENTION_S,
        )

    def _take_back_retained(self) -> None:
        """Uses retained forwarders that are named again; drops old ones."""
        now_s = asyncio.get_running_loop().time()
        self._avoided_until_s, self._unlinked_until_s = (
            {
                instance: until_s
                for instance, until_s in until_s_by_id.items()
                if now_s < until_s
            }
            for until_s_by_id in (self._avoided_until_s, self._unlinked_until_s)
        )
        for instance, (entry, until_s) in list(self._retained_by_id.items()):
            if instance in self._hubs_by_id:
                del self._retained_by_id[instance]
                self._entries_by_id[instance] = entry
            elif now_s >= until_s:
                del self._retained_by_id[instance]
                entry.pool.close()

    def _keep_connections_open(self) -> None:
        """Keeps connections open to the hubs that this instance uses often.

        An instance that passes its requests on to gatherers needs collectors
        only while no gatherer answers.
        """
        for instance, entry in self._entries_by_id.items():
            held = self._hubs_by_id[instance].roles
            if entry.remote:
                used = COLLECTOR in held and not self.gathering_hubs
            else:
                used = READER in held or GATHERER in held
            if used:
                entry.pool.keep_open()
            else:
                entry.pool.stop_keeping_open()

    def dump(self) -> dict[str, tuple[str, ...]]:
        """Returns the roles of the hubs by instance id."""
        return {hub.instance: hub.roles for hub in self._hubs_by_id.values()}

    def shard_limit_divisor(self, instances: int) -> float:
        """Returns the divisor for this instance's part of the shards' limits.

        Args:
            instances: Number of instances of the fleet.
        """
        if self.gathering_hubs:
            return instances / _SMALL_LINKS_SHARE
        large_links = instances - self._small_links
        if not self._small_links or large_links <= 0:
            return instances
        return large_links / (1.0 - _SMALL_LINKS_SHARE)

    @property
    def small_links(self) -> int:
        """Number of instances of the fleet with small links."""
        return self._small_links

    def should_gather(self, route: model.Route) -> bool:
        """Whether hubs should gather the answers of a route.

        Args:
            route: A route with shards.
        """
        if not self.gathering_hubs or not self._link_mbps:
            return False
        bits = len(route.shards) * _ASSUMED_PART_BYTES * 8
        return (
            bits / (self._link_mbps * 1e6)
            > _MIN_TRANSFER_SHARE * route.objective_s
        )

    def close(self) -> None:
        """Closes all connections."""
        retained = [entry for entry, _ in self._retained_by_id.values()]
        for entry in (*self._entries_by_id.values(), *retained):
            entry.pool.abort()
