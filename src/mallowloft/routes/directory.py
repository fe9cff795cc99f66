"""Directory of the listed replicas by service."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import math
import random
from typing import TYPE_CHECKING

from mallowloft.kernel import logs
from mallowloft.membership import rendezvous
from mallowloft.routes import health as health_lib
from mallowloft.routes import homes as homes_lib
from mallowloft.routes import message_types
from mallowloft.routes import model
from mallowloft.routes import rate_limits
from mallowloft.routes import replica_signals
from mallowloft.routes import warming
from mallowloft.routes.cold import replicas as cold_replicas
from mallowloft.routes.evacuation import domains as domains_lib
from mallowloft.routes.evacuation import ramp as ramp_lib
from mallowloft.routes.placement import connections
from mallowloft.upstream import http1
from mallowloft.upstream import traffic as traffic_lib

if TYPE_CHECKING:
    from mallowloft.routes import reach as reach_lib

_log = logs.get_logger("directory")

_DEFAULT_MAX_CONNECTIONS = 2
_MAX_CONNECTIONS_PER_REPLICA = 32
# Number of replicas of a service that this instance uses while they are
# healthy. In large fleets a replica accepts fewer connections than there are
# instances.
_SUBSET_SIZE = 2
# Replicas of a failure domain whose connections are replaced at a time, or to
# which one is tried if none is open there. They show when the domain is
# reachable again.
_MAX_RECONNECT_TRIALS = 3
# Limit on the suspects reported to other instances. If there are more, the
# others see the same fault themselves.
_MAX_SUSPECTS = 200
# Interval at which the shares of returning failure domains are advanced.
_RETURN_CHECK_INTERVAL_S = 0.1
# Removed replicas whose signals are kept, in case they are listed again.
_MAX_STORED_SIGNALS = 1_000


class ReplicaEntry:
    """A replica with its connections and health.

    Attributes:
        replica: The replica as listed.
        pool: Connections to the replica.
        health: Health as seen by this instance.
        draining: Whether the replica accepts no new requests.
        signals: What the replica has asked of this instance.
        in_subset: Whether the replica is in this instance's subset; connections
            to it are kept open unless the service is on demand or unused.
        remote: Whether the replica is in another failure domain.
        evacuated: Whether the replica's failure domain is evacuated, so that
            nothing is sent to the replica.
        ramp: Limits how often the replica is preferred while load returns to
            its failure domain; None otherwise.
        may_connect: Whether a connection may be opened if there is none.
    """

    __slots__ = (
        "_leaving_grace_s",
        "draining",
        "evacuated",
        "health",
        "in_subset",
        "may_connect",
        "pool",
        "ramp",
        "remote",
        "replica",
        "signals",
    )

    def __init__(
        self,
        replica: model.Replica,
        pool: http1.Pool,
        health: health_lib.ReplicaHealth,
        remote: bool,
        signals: replica_signals.ReplicaSignals | None = None,
        leaving_grace_s: float = 0.0,
    ) -> None:
        self.replica = replica
        self.pool = pool
        self.health = health
        self.draining = replica.draining
        self.signals = signals or replica_signals.ReplicaSignals()
        self.in_subset = True
        self.remote = remote
        self.evacuated = False
        self.ramp: ramp_lib.ReturnRamp | None = None
        self.may_connect: Callable[[], bool] = lambda: True
        self._leaving_grace_s = leaving_grace_s

    @property
    def connectable(self) -> bool:
        """Whether a connection is open or may be opened."""
        return bool(self.pool.open_count) or self.may_connect()

    @property
    def stays(self) -> bool:
        """Whether the replica is not known to be about to end."""
        return not self.draining and not self.signals.leaving

    def admits(self, now_s: float) -> bool:
        """Whether the replica may get a request while others can serve it."""
        return (
            self.stays
            and not self.evacuated
            and self.signals.admits(now_s, self.health.in_flight)
        )

    def admits_if_alone(self, now_s: float) -> bool:
        """Whether the replica may get a request that no other can serve.

        A replica that leaves still serves for a while. One that returns from a
        pause is then asked although it has not replied yet.
        """
        return self.accepts(now_s) and not self.signals.wait_s(now_s)

    def accepts(self, now_s: float) -> bool:
        """Whether a request for which the replica was chosen may be written.

        Permits within a rate limit are not considered.
        """
        return (
            not self.draining
            and not self.evacuated
            and self.signals.left_for_s(now_s) < self._leaving_grace_s
            and not self.signals.pause_left_s(now_s)
        )

    def usable_in_s(self, now_s: float) -> float:
        """Returns the time until the replica accepts requests again.

        It is infinite if the replica is not expected to do so, and 0 if it
        accepts them now.
        """
        leaves = self.signals.left_for_s(now_s) >= self._leaving_grace_s
        if self.draining or self.evacuated or leaves or self.pool.failing:
            return math.inf
        if not self.connectable:
            return math.inf
        return self.signals.wait_s(now_s)


class Directory:
    """The listed replicas.

    The source of the list calls `put` and `remove`.

    Attributes:
        warmer: Opens connections ahead of requests.
        leaving_ids: Ids of listed replicas that state that they leave.
        evacuations: Failure domains that are evacuated or return.
        cold: The cold replicas and this instance's part of their limits.
        homes: Decides where requests with home regions may go.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        on_event: Callable[[str], None],
        reach: "reach_lib.DomainReachability",
        open_pool: Callable[..., http1.Pool] = http1.Pool,
        traffic: traffic_lib.Traffic | None = None,
        leaving_grace_s: float = 0.0,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._on_event = on_event
        self._open_pool = open_pool
        self.warmer = warming.Warmer(random.Random(instance))
        self._traffic = traffic
        self._leaving_grace_s = leaving_grace_s
        self.leaving_ids: set[str] = set()
        self.evacuations = domains_lib.Evacuations()
        # Number of listed replicas of each failure domain.
        self._count_by_domain: collections.Counter[str] = collections.Counter()
        self._return_timer: asyncio.TimerHandle | None = None
        self._id_by_address: dict[tuple[str, int], str] = {}
        # Ids of listed replicas that a later start at their address drains.
        self._superseded_by_address: dict[tuple[str, int], set[str]] = {}
        # Signals of removed replicas by the identity of their start. A source
        # that was restored may list such replicas again.
        self._signals_by_key: collections.OrderedDict[
            tuple, replica_signals.ReplicaSignals
        ] = collections.OrderedDict()
        self.reach = reach
        reach.on_lost = self._return_waiting
        reach.count_by_domain = self._count_used_by_domain
        self._entries_by_id: dict[str, ReplicaEntry] = {}
        self._entries_by_service: dict[str, list[ReplicaEntry]] = {}
        self._max_connections_by_service: dict[str, int] = {}
        self._used_services: frozenset[str] = frozenset()
        # Services of shards, and services with connections on demand only.
        self._shard_services: frozenset[str] = frozenset()
        self._on_demand_services: frozenset[str] = frozenset()
        self._divisor = 1.0
        self._shard_divisor = 1.0
        # The instances that share the limits on connections; None if unknown.
        self._population: connections.Population | None = None
        self._permit_phase = random.Random(f"{instance} permits").random()
        self.cold = cold_replicas.ColdReplicas(self._permit_phase)
        self.homes = homes_lib.HomePolicy()

    def __len__(self) -> int:
        return len(self._entries_by_id)

    def entries(self, service: str) -> list[ReplicaEntry]:
        """Returns the replicas of a service, including draining ones."""
        return self._entries_by_service.get(service, [])

    def entries_for(
        self, route: model.Route | None, service: str
    ) -> list[ReplicaEntry]:
        """Returns the replicas of a service that a route may use."""
        entries = self.entries(service)
        if route is None or not route.home_regions:
            return entries
        return [
            entry
            for entry in entries
            if self.homes.allows(route, entry.replica.failure_domain)
        ]

    def entry(self, replica_id: str) -> ReplicaEntry | None:
        """Returns a listed replica, None if it is not listed."""
        return self._entries_by_id.get(replica_id)

    def used_entries(self) -> list[ReplicaEntry]:
        """Returns the replicas of all services that the routes use."""
        return [
            entry
            for service in self._used_services
            for entry in self.entries(service)
        ]

    def count_connected(self) -> int:
        """Returns the number of replicas with an open connection."""
        return sum(
            bool(entry.pool.open_count)
            for entry in self._entries_by_id.values()
        )

    def put(self, replica: model.Replica) -> None:
        """Adds a replica or updates a listed one."""
        existing = self._entries_by_id.get(replica.id)
        if existing is not None and existing.replica.key == replica.key:
            self._update(existing, replica)
            return
        if existing is not None:
            self.remove(replica.id, "started_again")
        now_s = asyncio.get_running_loop().time()
        remote = replica.failure_domain != self._failure_domain
        signals = self._signals_by_key.pop(replica.key, None)
        entry = ReplicaEntry(
            replica,
            self._open_pool(
                replica.host,
                replica.port,
                self._max_connections_of(replica.service),
                functools.partial(
                    self._on_connection_event,
                    replica.failure_domain,
                    replica.id,
                ),
                self._traffic.meter(remote) if self._traffic else None,
            ),
            health_lib.ReplicaHealth(now_s + replica.cold_s),
            remote,
            signals,
            self._leaving_grace_s,
        )
        entry.may_connect = functools.partial(self._may_connect, entry)
        entry.pool.may_connect = entry.may_connect
        entry.pool.on_restarted = functools.partial(self._on_restarted, entry)
        if entry.signals.leaving:
            self.leaving_ids.add(replica.id)
        self._entries_by_id[replica.id] = entry
        self._count_by_domain[replica.failure_domain] += 1
        self.cold.on_listed(entry, signals is not None, now_s)
        self._resolve_address(entry)
        self._entries_by_service.setdefault(replica.service, []).append(entry)
        self._apply_evacuation(entry)
        self._record_listed(replica.failure_domain, now_s)
        self._choose_subset(replica.service)
        _log.info(
            "replica_listed",
            replica=replica.id,
            service=replica.service,
            address=entry.pool.address,
            failure_domain=replica.failure_domain,
            draining=replica.draining,
        )

    def remove(self, replica_id: str, reason: str) -> None:
        """Removes a replica; requests in flight may complete."""
        entry = self._entries_by_id.pop(replica_id, None)
        if entry is None:
            return
        entry.draining = True
        self._count_by_domain[entry.replica.failure_domain] -= 1
        self.cold.on_removed(entry)
        self.leaving_ids.discard(replica_id)
        self._release_address(entry)
        self._signals_by_key[entry.replica.key] = entry.signals
        if len(self._signals_by_key) > _MAX_STORED_SIGNALS:
            self._signals_by_key.popitem(last=False)
        entries = self._entries_by_service[entry.replica.service]
        entries.remove(entry)
        if not entries:
            del self._entries_by_service[entry.replica.service]
        self.warmer.stop_keeping_open(entry.pool)
        entry.pool.close()
        self._choose_subset(entry.replica.service)
        _log.info(
            "replica_removed",
            replica=replica_id,
            service=entry.replica.service,
            reason=reason,
        )

    def mark_leaving(self, replica_ids: Iterable[str]) -> None:
        """Marks replicas that state in their replies that they leave."""
        now_s = asyncio.get_running_loop().time()
        for replica_id in replica_ids:
            entry = self._entries_by_id.get(replica_id)
            if entry is None or not entry.signals.record_leaving(now_s):
                continue
            self.leaving_ids.add(replica_id)
            self._choose_subset(entry.replica.service)
            entry.pool.recheck_waiting()
            _log.info(
                "replica_leaving",
                replica=replica_id,
                service=entry.replica.service,
            )

    def record_limit(self, entry: ReplicaEntry, per_s: float) -> None:
        """Records the rate limit that a replica states in a reply."""
        now_s = asyncio.get_running_loop().time()
        self._set_limit(entry, per_s, now_s)

    def end_limit(self, entry: ReplicaEntry, asked_s: float) -> None:
        """Ends the rate limit of a replica whose reply states none.

        A reply to a request that was sent before the limit was last stated may
        be older than the limit.

        Args:
            entry: The replica.
            asked_s: Loop time at which the request of the reply was sent.
        """
        limit = entry.signals.limit
        if limit is not None and asked_s >= limit.stated_s:
            self._remove_limit(entry, asyncio.get_running_loop().time())

    def limit_statements(self) -> tuple[rate_limits.Statement, ...]:
        """Returns what to report to other instances about rate limits."""
        now_s = asyncio.get_running_loop().time()
        statements = []
        for replica_id, entry in self._entries_by_id.items():
            limit = entry.signals.limit
            per_s = limit.per_s if limit else None
            heard_s = limit.stated_s if limit else entry.signals.limit_ended_s
            if not math.isinf(heard_s):
                age_s = min(message_types.MAX_SECONDS, now_s - heard_s)
                statements.append(
                    rate_limits.Statement(replica_id, per_s, age_s)
                )
        return rate_limits.newest(statements)

    def apply_statements(
        self, statements: Iterable[rate_limits.Statement]
    ) -> None:
        """Applies what other instances heard later than this one."""
        now_s = asyncio.get_running_loop().time()
        for item in statements:
            entry = self._entries_by_id.get(item.replica)
            if entry is None:
                continue
            heard_s = now_s - item.age_s
            limit = entry.signals.limit
            known_s = limit.stated_s if limit else entry.signals.limit_ended_s
            if heard_s <= known_s:
                continue
            if item.per_s is not None:
                self._set_limit(entry, item.per_s, heard_s)
            elif limit is not None:
                self._remove_limit(entry, heard_s)

    def _set_limit(
        self, entry: ReplicaEntry, per_s: float, stated_s: float
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        limit = entry.signals.limit
        divisor = self._divisor_of(entry.replica.service)
        if limit is not None:
            limit.stated_s = stated_s
            if limit.per_s != per_s:
                limit.update(per_s, divisor, now_s)
                entry.pool.recheck_waiting()
            return
        limit = rate_limits.RateLimit(per_s, divisor, self._permit_phase, now_s)
        limit.stated_s = stated_s
        entry.signals.limit = limit
        entry.pool.recheck_waiting()
        _log.info(
            "replica_limited",
            replica=entry.replica.id,
            service=entry.replica.service,
            per_s=per_s,
        )

    def _remove_limit(self, entry: ReplicaEntry, ended_s: float) -> None:
        entry.signals.limit = None
        entry.signals.limit_ended_s = ended_s
        _log.info(
            "replica_limit_ended",
            replica=entry.replica.id,
            service=entry.replica.service,
        )

    def set_evacuated(
        self, failure_domains: frozenset[str], revision: int = 0
    ) -> None:
        """Sets the failure domains to whose replicas nothing is sent.

        Attempts that wait for a connection to such a replica end as unsent.

        Args:
            failure_domains: All domains that are evacuated from now on.
            revision: The source's revision of the change.
        """
        now_s = asyncio.get_running_loop().time()
        changed = self.evacuations.set(
            failure_domains,
            revision,
            now_s,
            self._count_by_domain.__getitem__,
        )
        if changed:
            self._apply_evacuations(changed)

    def _apply_evacuations(self, failure_domains: Collection[str]) -> None:
        """Applies what has changed for failure domains to their replicas.

        Attempts that end as unsent are at once routed elsewhere, so before
        that, all replicas must show whether they are evacuated.
        """
        entries = [
            entry
            for entry in self._entries_by_id.values()
            if entry.replica.failure_domain in failure_domains
        ]
        changed = [entry for entry in entries if self._mark_evacuation(entry)]
        for service in {entry.replica.service for entry in entries}:
            self._choose_subset(service)
        # Attempts that are routed elsewhere may go to domains that return.
        for entry in sorted(changed, key=lambda entry: entry.evacuated):
            self._limit_connections(entry)
        self._schedule_returns()

    def _apply_evacuation(self, entry: ReplicaEntry) -> None:
        """Applies the evacuations to a replica that was listed or moved."""
        if self._mark_evacuation(entry):
            self._limit_connections(entry)

    def _mark_evacuation(self, entry: ReplicaEntry) -> bool:
        """Updates what a replica shows of the state of its failure domain.

        Returns:
            Whether it is evacuated now and was not, or the reverse.
        """
        domain = entry.replica.failure_domain
        was_evacuated = entry.evacuated
        entry.evacuated = domain in self.evacuations
        entry.ramp = self.evacuations.ramp_of(domain)
        entry.health.on_sample = entry.ramp.record if entry.ramp else None
        return entry.evacuated != was_evacuated

    def _limit_connections(self, entry: ReplicaEntry) -> None:
        if entry.evacuated:
            entry.pool.suspend()
        else:
            entry.pool.resume()

    def _record_listed(self, failure_domain: str, now_s: float) -> None:
        """Starts the return of a failure domain if many replicas come back."""
        if self.evacuations.record_listed(
            failure_domain, self._count_by_domain[failure_domain], now_s
        ):
            self._apply_evacuations((failure_domain,))

    def _schedule_returns(self) -> None:
        if self._return_timer is None and self.evacuations.returns_by_domain:
            self._return_timer = asyncio.get_running_loop().call_later(
                _RETURN_CHECK_INTERVAL_S, self._advance_returns
            )

    def _advance_returns(self) -> None:
        self._return_timer = None
        returned = self.evacuations.advance(
            asyncio.get_running_loop().time(),
            self._cold_share_of,
            self._count_by_domain.__getitem__,
        )
        if returned:
            self._apply_evacuations(returned)
        self._schedule_returns()

    def _cold_share_of(self, failure_domain: str) -> float:
        """Returns the share of a domain's replicas that are cold."""
        now_s = asyncio.get_running_loop().time()
        cold = sum(
            entry.replica.failure_domain == failure_domain
            and entry.health.cold(now_s)
            for entry in self._entries_by_id.values()
        )
        return cold / max(1, self._count_by_domain[failure_domain])

    def set_services(
        self,
        services: Iterable[str],
        max_connections: dict[str, int],
        shards: Iterable[str] = (),
        on_demand: Iterable[str] = (),
        cold_starts: Mapping[str, model.ColdStart] | None = None,
    ) -> None:
        """Sets the services that the routes use.

        Args:
            services: Services that the routes use.
            max_connections: Connections that a replica accepts, by service.
            shards: Services that hold shards.
            on_demand: Services to which connections are opened only on demand.
            cold_starts: What cold replicas tolerate, by service.
        """
        self.cold.set_services(
            cold_starts or {},
            self._entries_by_id.values(),
            asyncio.get_running_loop().time(),
        )
        self._max_connections_by_service = max_connections
        self._used_services = frozenset(services)
        self._shard_services = frozenset(shards)
        self._on_demand_services = frozenset(on_demand)
        self._update_limits()
        for service in self._used_services:
            self._choose_subset(service)
        for entry in self._entries_by_id.values():
            entry.pool.recheck_waiting()

    def reconnect(self, failure_domains: Collection[str] | None = None) -> None:
        """Replaces some idle connections to unreachable failure domains.

        An open connection may never deliver data again, while a new one shows
        when the failure domain is reachable again. An open connection may also
        be the only kind that still works, so it is kept until there is a new
        one. Each call replaces those of a few replicas in each domain, because
        the connections may work after all. Connections to other replicas are
        opened only in domains without any: after a cut, all instances would
        exceed the replicas' limits at once.

        Args:
            failure_domains: The failure domains; by default all.
        """
        entries_by_domain: dict[str, list[ReplicaEntry]] = {}
        for entry in self.used_entries():
            domain = entry.replica.failure_domain
            if failure_domains is None or domain in failure_domains:
                entries_by_domain.setdefault(domain, []).append(entry)
        for domain, entries in entries_by_domain.items():
            silent_from_s = self.reach.silent_from_s(domain)
            # Instances differ, so that they do not all try the same ones.
            entries.sort(key=self._subset_order)
            connected = [
                entry
                for entry in entries
                if entry.pool.open_count or self.warmer.keeps_open(entry.pool)
            ]
            unproven = [
                entry
                for entry in connected or entries[:_MAX_RECONNECT_TRIALS]
                if entry.pool.received_s < silent_from_s
                and entry.pool.opened_s < silent_from_s
                and not self._is_reconnecting(entry)
            ]
            unproven.sort(key=lambda entry: entry.pool.renewing)
            for entry in unproven[:_MAX_RECONNECT_TRIALS]:
                entry.pool.renew()

    def _is_reconnecting(self, entry: ReplicaEntry) -> bool:
        """Whether the pool tries by itself until there is a new connection."""
        return entry.pool.renewing and self.warmer.keeps_open(entry.pool)

    def suspects(self) -> list[str]:
        """Returns the ids of replicas to report to other instances.

        An instance without links to replicas knows nothing of their faults.
        """
        if self.reach.links_lost:
            return []
        now_s = asyncio.get_running_loop().time()
        suspects = [
            entry.replica.id
            for entry in self.used_entries()
            if entry.health.should_report_suspect(now_s)
        ]
        return suspects[:_MAX_SUSPECTS]

    def mark_suspects(self, suspects: Iterable[str]) -> None:
        """Marks replicas that several instances reported as suspects.

        This instance may be one of them.
        """
        now_s = asyncio.get_running_loop().time()
        for replica_id in suspects:
            entry = self._entries_by_id.get(replica_id)
            if entry is not None:
                entry.health.mark_suspected(now_s)

    def divide_limits(
        self,
        divisor: float,
        shard_divisor: float,
        population: connections.Population | None = None,
    ) -> None:
        """Divides the replicas' limits among the instances.

        These are the limits on connections and on the rate of requests.

        Args:
            divisor: Number by which the limits of a replica are divided.
            shard_divisor: The same for replicas of shards.
            population: The instances that share the limits on connections; None
                if their number is only assumed. Then an instance may be
                connected to all replicas.
        """
        changed = population != self._population
        self._population = population
        self._divisor = max(1.0, divisor)
        self._shard_divisor = max(1.0, shard_divisor)
        self._update_limits()
        if changed:
            self._apply_allotments()

    def allotments(self) -> dict[str, int]:
        """Returns to how many replicas of services to be connected.

        Services with enough connections for all instances are left out.
        """
        return {
            service: int(max_connected)
            for service in self._used_services
            if not math.isinf(max_connected := self._max_connected(service))
        }

    def may_hedge(self, service: str) -> bool:
        """Whether this instance may be connected to two of its replicas."""
        return self._max_connected(service) >= 2

    def count_unconnectable(self) -> int:
        """Returns the number of used replicas outside the allotment."""
        return sum(not entry.connectable for entry in self.used_entries())

    def _apply_allotments(self) -> None:
        """Closes the idle connections that exceed the allotments."""
        allotments = self.allotments()
        for service in self._used_services:
            self._choose_subset(service)
        for service, max_connected in allotments.items():
            connected = [
                entry
                for entry in self.entries(service)
                if entry.pool.open_count
            ]
            connected.sort(key=lambda entry: entry.in_subset, reverse=True)
            for entry in connected[max_connected:]:
                entry.pool.close_idle()
        _log.info(
            "connection_allotments_changed",
            instances=self._population.instances if self._population else 0,
            limited_services=len(allotments),
            max_connected=max(allotments.values(), default=""),
        )

    def _live_entries(self, service: str) -> list[ReplicaEntry]:
        unreachable = self.reach.unreachable_domains()
        return [
            entry
            for entry in self.entries(service)
            if entry.stays
            and not entry.pool.failing
            and entry.replica.failure_domain not in unreachable
        ]

    def _max_connected(self, service: str) -> float:
        """Returns to how many replicas of a service to be connected."""
        limit = self._max_connections_by_service.get(service)
        if limit is None or self._population is None:
            return math.inf
        is_shard = service in self._shard_services
        share = self._population.share(
            limit, is_shard, _MAX_CONNECTIONS_PER_REPLICA
        )
        if share >= 1:
            return math.inf
        live = len(self._live_entries(service))
        return self._population.max_connected(share, max(1, live), is_shard)

    def _may_connect(self, entry: ReplicaEntry) -> bool:
        """Whether a first connection to a replica may be opened."""
        max_connected = self._max_connected(entry.replica.service)
        if math.isinf(max_connected) or self.warmer.keeps_open(entry.pool):
            return True
        others = sum(
            other is not entry
            and (
                bool(other.pool.open_count + other.pool.connecting_count)
                or self.warmer.keeps_open(other.pool)
            )
            for other in self._live_entries(entry.replica.service)
        )
        return others < max_connected

    def update_cold(self, divisor: int) -> None:
        """Updates the limits of cold replicas and logs which are warm now.

        Args:
            divisor: Number of instances by which the limits are divided.
        """
        now_s = asyncio.get_running_loop().time()
        self.cold.set_divisor(divisor, self._entries_by_id.values(), now_s)
        self.cold.log_warm(now_s)

    def close(self) -> None:
        """Closes all connections."""
        self.warmer.close()
        if self._return_timer is not None:
            self._return_timer.cancel()
        for entry in self._entries_by_id.values():
            # Attempts that end unsent here must not be sent again.
            entry.draining = True
        for entry in self._entries_by_id.values():
            entry.pool.abort()

    def dump(self) -> dict[str, list[dict]]:
        """Returns the replicas by service as JSON-ready data."""
        return {
            service: [self._describe(entry) for entry in entries]
            for service, entries in self._entries_by_service.items()
        }

    def _on_connection_event(
        self, failure_domain: str, replica_id: str, event: str
    ) -> None:
        self._on_event(event)
        now_s = asyncio.get_running_loop().time()
        if event == http1.CONNECTED:
            self.reach.connected(failure_domain, now_s)
        elif event == http1.CONNECT_FAILED and not self._mostly_connected(
            failure_domain
        ):
            self.reach.direct_failed(failure_domain, now_s, replica_id)

    def _mostly_connected(self, failure_domain: str) -> bool:
        """Whether most replicas to be connected in a domain are connected.

        Requests then show whether these connections deliver data.
        """
        states = [
            bool(entry.pool.open_count)
            for entry in self.used_entries()
            if entry.replica.failure_domain == failure_domain
            and (entry.pool.open_count or self.warmer.keeps_open(entry.pool))
        ]
        return 2 * sum(states) > len(states)

    def _count_used_by_domain(self) -> collections.Counter[str]:
        """Returns the number of replicas in use that stay, by domain."""
        return collections.Counter(
            entry.replica.failure_domain
            for entry in self.used_entries()
            if entry.stays and not entry.evacuated
        )

    def _on_restarted(self, entry: ReplicaEntry) -> None:
        """Limits a replica that has started again before it is listed so."""
        self.cold.on_restarted(entry, asyncio.get_running_loop().time())
        entry.pool.recheck_waiting()

    def _return_waiting(self, failure_domain: str) -> None:
        """Makes what waits for replicas of an unreachable domain choose again.

        A connection that delivers nothing keeps them waiting otherwise.
        """
        for entry in self._entries_by_id.values():
            if entry.replica.failure_domain == failure_domain:
                entry.pool.return_waiting()

    def _describe(self, entry: ReplicaEntry) -> dict:
        now_s = asyncio.get_running_loop().time()
        return {
            **dataclasses.asdict(entry.replica),
            "evacuated": entry.evacuated,
            "leaving": entry.signals.leaving,
            "pause_left_s": round(entry.signals.pause_left_s(now_s), 3),
            "limit_per_s": entry.signals.limit and entry.signals.limit.per_s,
            "slowness": round(entry.health.slowness(now_s), 2),
            "ejected": entry.health.ejected(now_s),
            "in_flight": entry.health.in_flight,
            "connections": entry.pool.open_count,
            **self.cold.describe(entry, now_s),
        }

    def _update_limits(self) -> None:
        """Updates this instance's part of all replicas' limits."""
        now_s = asyncio.get_running_loop().time()
        for entry in self._entries_by_id.values():
            service = entry.replica.service
            entry.pool.max_connections = self._max_connections_of(service)
            limit = entry.signals.limit
            if limit is not None:
                limit.update(limit.per_s, self._divisor_of(service), now_s)
                entry.pool.recheck_waiting()

    def _max_connections_of(self, service: str) -> int:
        limit = self._max_connections_by_service.get(service)
        if limit is None:
            return _DEFAULT_MAX_CONNECTIONS
        share = int(limit / self._divisor_of(service))
        return max(1, min(_MAX_CONNECTIONS_PER_REPLICA, share))

    def _divisor_of(self, service: str) -> float:
        """Returns the divisor of the limits of a service's replicas."""
        if service in self._shard_services:
            return self._shard_divisor
        return self._divisor

    def _resolve_address(self, entry: ReplicaEntry) -> None:
        """Drains the earlier one of two replicas at one address.

        A restored source may list a replica whose address another one has got
        since.
        """
        other = self._entries_by_id.get(
            self._id_by_address.get(entry.replica.address, "")
        )
        newest = entry
        starts = {entry.replica.started, other.replica.started if other else 0}
        if other is not None and 0 not in starts and len(starts) > 1:
            oldest, newest = sorted(
                (entry, other), key=lambda item: item.replica.started
            )
            oldest.draining = True
            oldest.pool.recheck_waiting()
            self._superseded_by_address.setdefault(
                entry.replica.address, set()
            ).add(oldest.replica.id)
            _log.info(
                "replica_superseded",
                replica=oldest.replica.id,
                address=oldest.pool.address,
                by=newest.replica.id,
            )
        self._id_by_address[entry.replica.address] = newest.replica.id

    def _release_address(self, entry: ReplicaEntry) -> None:
        """Brings back what a removed replica had superseded at its address.

        Only the latest start of the others comes back.
        """
        address, replica_id = entry.replica.address, entry.replica.id
        superseded = self._superseded_by_address.pop(address, set())
        superseded.discard(replica_id)
        is_latest = self._id_by_address.get(address) == replica_id
        if is_latest:
            del self._id_by_address[address]
        if not superseded:
            return
        self._superseded_by_address[address] = superseded
        if not is_latest:
            return
        latest = max(
            (self._entries_by_id[other_id] for other_id in superseded),
            key=lambda other: other.replica.started,
        )
        superseded.discard(latest.replica.id)
        self._id_by_address[address] = latest.replica.id
        latest.draining = latest.replica.draining
        self._choose_subset(latest.replica.service)
        _log.info(
            "replica_returned",
            replica=latest.replica.id,
            address=latest.pool.address,
            without=replica_id,
        )

    def _update(self, entry: ReplicaEntry, replica: model.Replica) -> None:
        if replica == entry.replica:
            return
        if replica.draining and not entry.draining:
            _log.info(
                "replica_draining",
                replica=replica.id,
                service=replica.service,
            )
        self._count_by_domain[entry.replica.failure_domain] -= 1
        self._count_by_domain[replica.failure_domain] += 1
        before, entry.replica = entry.replica, replica
        entry.draining = replica.draining
        self._apply_evacuation(entry)
        now_s = asyncio.get_running_loop().time()
        if replica.cold_s:
            entry.health.set_cold(now_s + replica.cold_s)
        self.cold.on_changed(entry, before, now_s)
        if replica.draining:
            self.warmer.stop_keeping_open(entry.pool)
        self._choose_subset(replica.service)
        entry.pool.recheck_waiting()

    def _choose_subset(self, service: str) -> None:
        """Chooses the subset of a service's replicas that this instance uses.

        Replicas in this failure domain come first, then the order is that of
        rendezvous hashing: it spreads instances evenly over the replicas, and
        a change of the list changes the subsets of few instances.
        """
        entries = [
            entry
            for entry in self.entries(service)
            if entry.stays and not entry.evacuated
        ]
        if len(entries) > _SUBSET_SIZE:
            entries.sort(key=self._subset_order)
        size = min(_SUBSET_SIZE, self._max_connected(service))
        for position, entry in enumerate(entries):
            entry.in_subset = position < size
            if (
                entry.in_subset
                and service in self._used_services
                and service not in self._on_demand_services
            ):
                self.warmer.keep_open(entry.pool)
            else:
                self.warmer.stop_keeping_open(entry.pool)
        for entry in self.entries(service):
            if entry.evacuated:
                entry.in_subset = False
            if entry.evacuated or not entry.stays:
                self.warmer.stop_keeping_open(entry.pool)

    def _subset_order(self, entry: ReplicaEntry) -> tuple[bool, int]:
        weight = rendezvous.weight(self._instance, entry.replica.id)
        return (entry.remote, -weight)
