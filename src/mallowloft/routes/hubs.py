"""Hubs: a few instances that do some work of a large fleet for the others.

Answers fleets of dozens of instances, most of them with small links. Hubs read
the source of routes for the other instances of their failure domain, and gather
answers for those whose links are small. They are chosen by the size of their
links, then by rendezvous hashing.
"""

from collections.abc import Iterable

import msgspec

from mallowloft.membership import rendezvous
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import model
from mallowloft.upstream import http1

# Part of the replicas' connections and of the extra attempts that is left to
# instances with small links, for the times without a hub.
_SMALL_PART = 0.2
# What a part and its headers take on the link at least, bytes; the users'
# parts are of 100 to 1,000 bytes.
_PART_BYTES = 500
# Parts that keep the link busy for this part of the objective are worth a
# further hop.
_LINK_SHARE = 0.1
_CONNECTIONS = 8
_SERVICE = "hubs"
# Enough for the loss of one; more share the work where links are large.
_MIN_HUBS = 2
_MAX_HUBS = 4
# Links of at least this part of the largest one are large.
_LARGE_LINK_SHARE = 0.5


class Hub(msgspec.Struct, frozen=True, array_like=True):
    """An instance as others may use it.

    Attributes:
        address: Host and port for other instances.
        link_mbps: Bandwidth of its link, 0 if unknown.
    """

    instance: str
    address: str
    failure_domain: str
    link_mbps: float


def has_small_link(link_mbps: float, largest_mbps: float) -> bool:
    """Whether a link is small beside the largest of the fleet."""
    return link_mbps < _LARGE_LINK_SHARE * largest_mbps


def choose(members: Iterable[Hub], above: float) -> tuple[Hub, ...]:
    """Returns the hubs of each failure domain.

    Args:
        members: Instances of the fleet.
        above: Number of instances above which there are hubs.
    """
    members = tuple(members)
    if len(members) <= above:
        return ()
    largest_mbps = max(member.link_mbps for member in members)
    members_by_domain: dict[str, list[Hub]] = {}
    for member in members:
        members_by_domain.setdefault(member.failure_domain, []).append(member)

    def order(member: Hub) -> tuple[bool, int]:
        is_small = has_small_link(member.link_mbps, largest_mbps)
        return is_small, -rendezvous.weight(member.instance, "hub")

    hubs: list[Hub] = []
    for _, candidates in sorted(members_by_domain.items()):
        candidates.sort(key=order)
        large = sum(not order(member)[0] for member in candidates)
        hubs += candidates[: max(_MIN_HUBS, min(_MAX_HUBS, large))]
    return tuple(hubs)


def _entry(hub: Hub, remote: bool) -> directory_lib.Entry:
    host, _, port = hub.address.rpartition(":")
    replica = model.Replica(
        id=hub.instance,
        service=_SERVICE,
        host=host.strip("[]"),
        port=int(port),
        failure_domain=hub.failure_domain,
        # Requests in flight say little about how long the next one takes.
        slots=_CONNECTIONS,
    )
    entry = directory_lib.Entry(
        replica,
        http1.Pool(replica.host, replica.port, _CONNECTIONS),
        health_lib.ReplicaHealth(),
        remote,
    )
    entry.home = not remote
    if entry.home:
        entry.pool.keep_open()
    return entry


class Hubs:
    """Connections to hubs, and which of them may gather for this instance."""

    def __init__(
        self, instance: str, failure_domain: str, link_mbps: float
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._hubs_by_id: dict[str, Hub] = {}
        self._entries_by_id: dict[str, directory_lib.Entry] = {}
        # Hubs with much larger links than this instance has.
        self.gatherers: list[directory_lib.Entry] = []
        # Whether this instance leaves its callers to other failure domains.
        self.isolated = False
        # A hub of this failure domain that said to be isolated.
        self.isolated_hub: directory_lib.Entry | None = None
        self._small_links = 0

    @property
    def near(self) -> list[directory_lib.Entry]:
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

    def note_isolated(self, hub: directory_lib.Entry) -> None:
        """Notes that a hub said to be isolated."""
        if not hub.remote:
            self.isolated_hub = hub

    def preferred(
        self, entries: Iterable[directory_lib.Entry]
    ) -> directory_lib.Entry | None:
        """Returns the one that this instance uses, None if there is none."""
        return max(
            entries,
            key=lambda entry: rendezvous.weight(
                self._instance, entry.replica.id
            ),
            default=None,
        )

    def use(self, hubs: Iterable[Hub], small_links: int) -> bool:
        """Takes a list of hubs and the number of small links.

        Returns:
            Whether anything has changed.
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
                self._entries_by_id[instance] = _entry(hub, remote)
        largest_mbps = max(
            (hub.link_mbps for hub in self._hubs_by_id.values()), default=0.0
        )
        self.gatherers = []
        if has_small_link(self._link_mbps, largest_mbps):
            self.gatherers = [
                entry
                for instance, entry in self._entries_by_id.items()
                if not has_small_link(
                    self._hubs_by_id[instance].link_mbps, largest_mbps
                )
            ]
        return True

    def dump(self) -> list[str]:
        """Returns the names of the hubs."""
        return list(self._hubs_by_id)

    def sharers(self, instances: int) -> float:
        """Returns by what to divide what instances share for shards.

        Args:
            instances: Number of instances of the fleet.
        """
        if self.gatherers:
            return instances / _SMALL_PART
        large_links = instances - self._small_links
        if not self._small_links or large_links <= 0:
            return instances
        return large_links / (1.0 - _SMALL_PART)

    def gather_for(self, route: model.Route) -> bool:
        """Whether hubs should gather the answers of a route."""
        if not self.gatherers or not self._link_mbps:
            return False
        bits = len(route.shards) * _PART_BYTES * 8
        return bits / (self._link_mbps * 1e6) > _LINK_SHARE * route.objective_s

    def close(self) -> None:
        """Closes all connections."""
        for entry in self._entries_by_id.values():
            entry.pool.abort()
