"""The replicas that are known to live, by service."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import functools
from typing import TYPE_CHECKING

from mallowloft.kernel import logs
from mallowloft.membership import rendezvous
from mallowloft.routes import health as health_lib
from mallowloft.routes import model
from mallowloft.upstream import http1

if TYPE_CHECKING:
    from mallowloft.routes import reach as reach_lib

_log = logs.get("directory")

_DEFAULT_CONNECTIONS = 2
_MAX_CONNECTIONS = 32
# Replicas of a service that an instance uses as long as they are sound. In
# large fleets a replica accepts fewer connections than there are instances.
_HOME_REPLICAS = 2
# More are no news to others: they see the same fault.
_MAX_SUSPECTS = 200


class Entry:
    """A replica with its connections and what is known of its health."""

    __slots__ = ("draining", "health", "home", "pool", "remote", "replica")

    def __init__(
        self,
        replica: model.Replica,
        pool: http1.Pool,
        health: health_lib.ReplicaHealth,
        remote: bool,
    ) -> None:
        self.replica = replica
        self.pool = pool
        self.health = health
        self.draining = replica.draining
        # Whether this instance keeps a connection to it.
        self.home = True
        # Whether it is in another failure domain.
        self.remote = remote

    @property
    def usable(self) -> bool:
        """Whether it takes new work, as far as is known without a call."""
        return not self.draining and not self.pool.failing


class Directory:
    """Replicas as listed; the source of the list calls `put` and `remove`."""

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        note: Callable[[str], None],
        reach: "reach_lib.DomainReach",
        open_pool: Callable[..., http1.Pool] = http1.Pool,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._note = note
        self._open_pool = open_pool
        self.reach = reach
        self._entries_by_id: dict[str, Entry] = {}
        self._entries_by_service: dict[str, list[Entry]] = {}
        self._max_connections_by_service: dict[str, int] = {}
        self._wanted_services: frozenset[str] = frozenset()
        # Those of shards, and those to which no connection is kept.
        self._shards: frozenset[str] = frozenset()
        self._spared: frozenset[str] = frozenset()
        self._sharers = 1.0
        self._shard_sharers = 1.0

    def __len__(self) -> int:
        return len(self._entries_by_id)

    def entries(self, service: str) -> list[Entry]:
        """Returns the replicas of a service, leaving ones included."""
        return self._entries_by_service.get(service, [])

    def all(self) -> list[Entry]:
        """Returns the replicas of all services that routes use."""
        return [
            entry
            for service in self._wanted_services
            for entry in self.entries(service)
        ]

    def put(self, replica: model.Replica) -> None:
        """Adds a replica or changes what is known of it."""
        known = self._entries_by_id.get(replica.id)
        if known is not None and known.replica.key == replica.key:
            self._change(known, replica)
            return
        if known is not None:
            self.remove(replica.id, "started_again")
        now_s = asyncio.get_running_loop().time()
        entry = Entry(
            replica,
            self._open_pool(
                replica.host,
                replica.port,
                self._share(replica.service),
                functools.partial(
                    self._note_connection, replica.failure_domain
                ),
            ),
            health_lib.ReplicaHealth(now_s + replica.cold_s),
            replica.failure_domain != self._failure_domain,
        )
        self._entries_by_id[replica.id] = entry
        self._entries_by_service.setdefault(replica.service, []).append(entry)
        self._choose_homes(replica.service)
        _log.info(
            "replica_listed",
            replica=replica.id,
            service=replica.service,
            address=entry.pool.address,
            failure_domain=replica.failure_domain,
            draining=replica.draining,
        )

    def remove(self, replica_id: str, reason: str) -> None:
        """Removes a replica; its running requests may end."""
        entry = self._entries_by_id.pop(replica_id, None)
        if entry is None:
            return
        entry.draining = True
        entries = self._entries_by_service[entry.replica.service]
        entries.remove(entry)
        if not entries:
            del self._entries_by_service[entry.replica.service]
        entry.pool.close()
        self._choose_homes(entry.replica.service)
        _log.info(
            "replica_removed",
            replica=replica_id,
            service=entry.replica.service,
            reason=reason,
        )

    def use(
        self,
        services: Iterable[str],
        max_connections: dict[str, int],
        shards: Iterable[str] = (),
        spared: Iterable[str] = (),
    ) -> None:
        """Takes the services of the routes and their connection limits.

        Args:
            services: Services that routes use.
            max_connections: Connections that a replica accepts, by service.
            shards: Services that hold parts of gathered answers.
            spared: Services to which connections are opened only for use.
        """
        self._max_connections_by_service = max_connections
        self._wanted_services = frozenset(services)
        self._shards = frozenset(shards)
        self._spared = frozenset(spared)
        for entry in self._entries_by_id.values():
            service = entry.replica.service
            entry.pool.max_connections = self._share(service)
        for service in self._wanted_services:
            self._choose_homes(service)

    def reconnect(self, failure_domains: Collection[str]) -> None:
        """Replaces idle connections to failure domains out of reach.

        Open ones may be silent for good; new ones show when a failure domain
        is within reach again.
        """
        for entry in self.all():
            if entry.replica.failure_domain in failure_domains:
                entry.pool.renew()

    def suspects(self) -> list[str]:
        """Returns the replicas that fare badly here."""
        now_s = asyncio.get_running_loop().time()
        found = [
            entry.replica.id
            for entry in self.all()
            if entry.health.suspect(now_s)
        ]
        return found[:_MAX_SUSPECTS]

    def warn(self, suspects: Iterable[str]) -> None:
        """Takes the replicas that fare badly elsewhere."""
        now_s = asyncio.get_running_loop().time()
        for replica_id in suspects:
            entry = self._entries_by_id.get(replica_id)
            if entry is not None:
                entry.health.warn(now_s)

    def share(self, sharers: float, shard_sharers: float) -> None:
        """Divides the replicas' connections among the instances.

        Args:
            sharers: By what the connections of a replica are divided.
            shard_sharers: The same for replicas of shards.
        """
        self._sharers = max(1.0, sharers)
        self._shard_sharers = max(1.0, shard_sharers)
        for entry in self._entries_by_id.values():
            entry.pool.max_connections = self._share(entry.replica.service)

    def close(self) -> None:
        """Closes all connections."""
        for entry in self._entries_by_id.values():
            entry.pool.abort()

    def dump(self) -> dict[str, list[dict]]:
        """Returns the replicas by service as JSON-ready data."""
        return {
            service: [self._describe(entry) for entry in entries]
            for service, entries in self._entries_by_service.items()
        }

    def _note_connection(self, failure_domain: str, event: str) -> None:
        self._note(event)
        if event == http1.CONNECTED:
            self.reach.succeeded(failure_domain)
        elif event == http1.CONNECT_FAILED:
            now_s = asyncio.get_running_loop().time()
            self.reach.failed(failure_domain, now_s)

    def _describe(self, entry: Entry) -> dict:
        now_s = asyncio.get_running_loop().time()
        return {
            **dataclasses.asdict(entry.replica),
            "slowness": round(entry.health.slowness(now_s), 2),
            "ejected": entry.health.ejected(now_s),
            "in_flight": entry.health.in_flight,
            "connections": entry.pool.open_count,
        }

    def _share(self, service: str) -> int:
        limit = self._max_connections_by_service.get(service)
        if limit is None:
            return _DEFAULT_CONNECTIONS
        is_shard = service in self._shards
        sharers = self._shard_sharers if is_shard else self._sharers
        return max(1, min(_MAX_CONNECTIONS, int(limit / sharers)))

    def _change(self, entry: Entry, replica: model.Replica) -> None:
        if replica == entry.replica:
            return
        if replica.draining and not entry.draining:
            _log.info(
                "replica_draining",
                replica=replica.id,
                service=replica.service,
            )
        entry.replica = replica
        entry.draining = replica.draining
        now_s = asyncio.get_running_loop().time()
        if replica.cold_s:
            entry.health.set_cold(now_s + replica.cold_s)
        if replica.draining:
            entry.pool.drain()
        self._choose_homes(replica.service)

    def _choose_homes(self, service: str) -> None:
        """Chooses the replicas of a service that this instance uses.

        One of its own failure domain first; the others by rendezvous hashing,
        so that the instances spread evenly and few move with each change.
        """
        entries = [
            entry for entry in self.entries(service) if not entry.draining
        ]
        if len(entries) > _HOME_REPLICAS:
            entries.sort(key=self._home_order)
        for place, entry in enumerate(entries):
            entry.home = place < _HOME_REPLICAS
            if (
                entry.home
                and service in self._wanted_services
                and service not in self._spared
            ):
                entry.pool.keep_open()
            else:
                entry.pool.drain()

    def _home_order(self, entry: Entry) -> tuple[bool, int]:
        weight = rendezvous.weight(self._instance, entry.replica.id)
        return (entry.remote, -weight)
