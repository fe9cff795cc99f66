"""Hubs: a few instances that do some work for the other instances of a fleet.

Hubs are used in fleets with more than `hubs_above` instances. They read the
source of routes for the other instances of their failure domain and gather
answers for instances with small network links. They are chosen by the size of
their links, then by rendezvous hashing.
"""

from collections.abc import Iterable

import msgspec

from mallowloft.membership import rendezvous
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import model
from mallowloft.upstream import http1

# Share of the replicas' connections and of the extra attempts that is reserved
# for instances with small links, which need it while no hub answers.
_SMALL_LINKS_SHARE = 0.2
# Low estimate of the size of a part with its headers; parts alone have 100 to
# 1,000 bytes.
_ASSUMED_PART_BYTES = 500
# Hubs gather the answers of a route if transferring the parts of one answer
# would occupy this instance's link for more than this share of the objective. A
# shorter transfer does not justify the additional hop.
_MIN_TRANSFER_SHARE = 0.1
_CONNECTIONS_PER_HUB = 8
_SERVICE = "hubs"
# Two hubs tolerate the loss of one. If more instances have large links, up to
# four share the work.
_MIN_HUBS_PER_DOMAIN = 2
_MAX_HUBS_PER_DOMAIN = 4
# Links with at least this share of the largest link's bandwidth are large.
_MIN_LARGE_LINK_RATIO = 0.5


class Hub(msgspec.Struct, frozen=True, array_like=True):
    """A hub, or an instance that may become one.

    Attributes:
        address: Host and port for other instances.
        link_mbps: Bandwidth of its network link, 0 if unknown; an unknown link
            counts as small if the link of another instance is known.
    """

    instance: str
    address: str
    failure_domain: str
    link_mbps: float


def has_small_link(link_mbps: float, largest_mbps: float) -> bool:
    """Whether a link is small compared with the largest of the fleet."""
    return link_mbps < _MIN_LARGE_LINK_RATIO * largest_mbps


def choose_hubs(members: Iterable[Hub], hubs_above: float) -> tuple[Hub, ...]:
    """Returns the hubs of all failure domains.

    Args:
        members: Instances of the fleet.
        hubs_above: Largest number of instances for which there are no hubs.
    """
    members = tuple(members)
    if len(members) <= hubs_above:
        return ()
    largest_mbps = max(member.link_mbps for member in members)
    members_by_domain: dict[str, list[Hub]] = {}
    for member in members:
        members_by_domain.setdefault(member.failure_domain, []).append(member)

    def sort_key(member: Hub) -> tuple[bool, int]:
        is_small = has_small_link(member.link_mbps, largest_mbps)
        return is_small, -rendezvous.weight(member.instance, "hub")

    hubs: list[Hub] = []
    for _, candidates in sorted(members_by_domain.items()):
        candidates.sort(key=sort_key)
        large_links = sum(not sort_key(member)[0] for member in candidates)
        hubs += candidates[
            : max(_MIN_HUBS_PER_DOMAIN, min(_MAX_HUBS_PER_DOMAIN, large_links))
        ]
    return tuple(hubs)


def _create_entry(hub: Hub, remote: bool) -> directory_lib.ReplicaEntry:
    host, _, port = hub.address.rpartition(":")
    replica = model.Replica(
        id=hub.instance,
        service=_SERVICE,
        host=host.strip("[]"),
        port=int(port),
        failure_domain=hub.failure_domain,
        # With slots equal to the connections, the load cost of a hub stays low,
        # because the number of requests in flight says little about the
        # duration of the next one.
        slots=_CONNECTIONS_PER_HUB,
    )
    entry = directory_lib.ReplicaEntry(
        replica,
        http1.Pool(replica.host, replica.port, _CONNECTIONS_PER_HUB),
        health_lib.ReplicaHealth(),
        remote,
    )
    entry.in_subset = not remote
    if entry.in_subset:
        entry.pool.keep_open()
    return entry


class Hubs:
    """The hubs as used by this instance, with connections to them."""

    def __init__(
        self, instance: str, failure_domain: str, link_mbps: float
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._hubs_by_id: dict[str, Hub] = {}
        self._entries_by_id: dict[str, directory_lib.ReplicaEntry] = {}
        # Hubs that gather answers for this instance; empty unless its own
        # link is small compared with the largest of the hubs.
        self.gathering_hubs: list[directory_lib.ReplicaEntry] = []
        # Whether this instance, or a hub of its failure domain, reaches no
        # other failure domain but needs them to cover the shards, so that
        # callers should use other instances.
        self.instance_isolated = False
        # A hub of this failure domain that reported that it is isolated.
        self.isolated_hub: directory_lib.ReplicaEntry | None = None
        self._small_links = 0

    @property
    def same_domain(self) -> list[directory_lib.ReplicaEntry]:
        """Other hubs of this failure domain."""
        return [
            entry for entry in self._entries_by_id.values() if not entry.remote
        ]

    @property
    def is_hub(self) -> bool:
        """Whether this instance is a hub."""
        return self._instance in self._hubs_by_id

    def __len__(self) -> int:
        return len(self._hubs_by_id)

    def record_isolated(self, hub: directory_lib.ReplicaEntry) -> None:
        """Records that a hub reported that it is isolated."""
        if not hub.remote:
            self.isolated_hub = hub

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
        self._hubs_by_id = hubs_by_id
        for instance, entry in list(self._entries_by_id.items()):
            hub = self._hubs_by_id.get(instance)
            if hub is None or hub.address != entry.pool.address:
                del self._entries_by_id[instance]
                entry.pool.close()
        for instance, hub in self._hubs_by_id.items():
            if instance not in (self._instance, *self._entries_by_id):
                remote = hub.failure_domain != self._failure_domain
                self._entries_by_id[instance] = _create_entry(hub, remote)
        largest_mbps = max(
            (hub.link_mbps for hub in self._hubs_by_id.values()), default=0.0
        )
        self.gathering_hubs = []
        if has_small_link(self._link_mbps, largest_mbps):
            self.gathering_hubs = [
                entry
                for instance, entry in self._entries_by_id.items()
                if not has_small_link(
                    self._hubs_by_id[instance].link_mbps, largest_mbps
                )
            ]
        return True

    def dump(self) -> list[str]:
        """Returns the instance ids of the hubs."""
        return list(self._hubs_by_id)

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
        for entry in self._entries_by_id.values():
            entry.pool.abort()
