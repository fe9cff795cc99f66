"""Decides which replicas are cold and applies their limits."""

from collections.abc import Iterable
from collections.abc import Mapping
import time
from typing import TYPE_CHECKING

from mallowloft.kernel import logs
from mallowloft.routes import model
from mallowloft.routes import rate_limits
from mallowloft.routes.cold import counts
from mallowloft.routes.cold import limit as limit_lib

if TYPE_CHECKING:
    from mallowloft.routes import directory

_log = logs.get_logger("cold")

# An instance that starts lists the replicas within this time after it has got
# to know their service. Those that are listed later have just started.
_LISTING_S = 1.0
# Clocks of replicas and instances may differ by this much.
_MAX_CLOCK_ERROR_S = 5.0
# Replies of one cold time differ by the time that they take.
_MIN_EXTENSION_S = 0.1


class ColdReplicas:
    """The cold replicas and this instance's part of their limits.

    The caller passes the current loop time in seconds.
    """

    def __init__(
        self,
        phase: float,
        overshoot: float = 1.5,
        slack: float = 5.0,
    ) -> None:
        """Creates an object that limits nothing until services are set.

        Args:
            phase: Part of the interval after which the first permit is due.
            overshoot: Factor of the tolerated rate in the bound of one second.
            slack: Requests in this bound in addition.
        """
        self._phase = phase
        self.overshoot = overshoot
        self.slack = slack
        self._divisor = counts.ASSUMED_INSTANCES
        self._services: dict[str, model.ColdStart] = {}
        self._known_since_s: dict[str, float] = {}
        # Replicas that were logged as cold.
        self._cold_by_id: dict[str, directory.ReplicaEntry] = {}
        # Replicas that have started again and have not said that they are cold.
        self._assumed_ids: set[str] = set()

    @property
    def divisor(self) -> int:
        """Number of instances by which the limits are divided."""
        return self._divisor

    def set_services(
        self,
        services: Mapping[str, model.ColdStart],
        entries: Iterable["directory.ReplicaEntry"],
        now_s: float,
    ) -> None:
        """Sets the services whose replicas are limited while they are cold."""
        self._known_since_s = {
            service: self._known_since_s.get(service, now_s)
            for service in services
        }
        self._services = dict(services)
        for entry in entries:
            self.refresh(entry, now_s)

    def set_divisor(
        self,
        divisor: int,
        entries: Iterable["directory.ReplicaEntry"],
        now_s: float,
    ) -> None:
        """Sets the number of instances by which limits are divided."""
        if divisor == self._divisor:
            return
        self._divisor = divisor
        for entry in entries:
            self.refresh(entry, now_s)

    def on_listed(
        self, entry: "directory.ReplicaEntry", known: bool, now_s: float
    ) -> None:
        """Applies the limit of a replica that was added.

        Args:
            entry: The replica.
            known: Whether this start of the replica was listed before.
            now_s: Current loop time.
        """
        until_s = now_s
        if known and entry.signals.cold is not None:
            until_s = max(until_s, entry.signals.cold.until_s)
        if not known and not entry.replica.cold_s:
            until_s += self._left_since_start_s(entry.replica, now_s)
        if until_s > max(now_s, entry.health.cold_until_s):
            entry.health.set_cold(until_s)
        self.refresh(entry, now_s)

    def on_restarted(
        self, entry: "directory.ReplicaEntry", now_s: float
    ) -> None:
        """Assumes that a replica which accepts connections again is cold.

        It has started again, which its entry shows only later.
        """
        service = self._services.get(entry.replica.service)
        if service is None or service.per_s <= 0:
            return
        until_s = now_s + service.start_s
        if until_s > entry.health.cold_until_s:
            self._assumed_ids.add(entry.replica.id)
            entry.health.set_cold(until_s)
            self.refresh(entry, now_s)

    def on_changed(
        self,
        entry: "directory.ReplicaEntry",
        before: model.Replica,
        now_s: float,
    ) -> None:
        """Applies a changed entry of a replica that was listed before."""
        if (
            entry.replica.service in self._services
            and before.cold_s
            and not entry.replica.cold_s
        ):
            # The replica itself states that its cold time has ended.
            entry.health.set_cold(now_s)
        self.refresh(entry, now_s)

    def on_stated(
        self, entry: "directory.ReplicaEntry", left_s: float, now_s: float
    ) -> None:
        """Applies a cold time that a replica states in a reply.

        An instance that the source does not reach learns only in this way that
        a replica has become cold again.
        """
        until_s = now_s + left_s
        is_assumed = entry.replica.id in self._assumed_ids
        if entry.replica.service in self._services and (
            is_assumed or until_s > entry.health.cold_until_s + _MIN_EXTENSION_S
        ):
            self._assumed_ids.discard(entry.replica.id)
            entry.health.set_cold(until_s)
            self.refresh(entry, now_s)

    def refresh(self, entry: "directory.ReplicaEntry", now_s: float) -> None:
        """Applies the end of the cold time and the rates to a replica."""
        service = self._services.get(entry.replica.service)
        signals = entry.signals
        entry.pool.checks_early_close = service is not None and (
            service.per_s > 0
        )
        if service is None or service.per_s <= 0:
            signals.cold = None
            return
        until_s = entry.health.cold_until_s
        if signals.cold is None and until_s <= now_s:
            return
        used_per_s = limit_lib.used_per_s(
            service.per_s, self.overshoot, self.slack
        )
        if signals.cold is None:
            permits = rate_limits.RateLimit(
                used_per_s, self._divisor, self._phase, now_s, limit_lib.LAPSE_S
            )
            signals.cold = limit_lib.ColdLimit(service.per_s, permits, until_s)
        else:
            signals.cold.until_s = until_s
            signals.cold.update(service.per_s, used_per_s, self._divisor, now_s)
        if until_s > now_s and entry.replica.id not in self._cold_by_id:
            _log.info(
                "replica_cold",
                replica=entry.replica.id,
                service=entry.replica.service,
                left_s=round(until_s - now_s, 3),
                per_s=service.per_s,
                divisor=self._divisor,
            )
        if until_s > now_s:
            self._cold_by_id[entry.replica.id] = entry

    def on_removed(self, entry: "directory.ReplicaEntry") -> None:
        """Forgets a replica that is not listed any more."""
        self._assumed_ids.discard(entry.replica.id)
        if self._cold_by_id.get(entry.replica.id) is entry:
            del self._cold_by_id[entry.replica.id]

    def log_warm(self, now_s: float) -> None:
        """Logs the replicas whose cold time has ended."""
        for replica_id, entry in list(self._cold_by_id.items()):
            cold = entry.signals.cold
            if cold is not None and cold.active(now_s):
                continue
            del self._cold_by_id[replica_id]
            _log.info(
                "replica_warm",
                replica=replica_id,
                service=entry.replica.service,
            )

    def describe(
        self, entry: "directory.ReplicaEntry", now_s: float
    ) -> dict[str, float | None]:
        """Returns the remaining cold time and the rate of a replica."""
        left_s = max(0.0, entry.health.cold_until_s - now_s)
        cold = entry.signals.cold
        limited = cold is not None and cold.active(now_s)
        return {
            "cold_left_s": round(left_s, 3),
            "cold_per_s": cold.per_s if limited else None,
        }

    def _left_since_start_s(
        self, replica: model.Replica, now_s: float
    ) -> float:
        """Returns the cold time left by the time of the replica's start."""
        service = self._services.get(replica.service)
        if service is None:
            return 0.0
        if replica.started:
            age_s = time.time() - replica.started / 1000 - _MAX_CLOCK_ERROR_S
            return max(0.0, service.start_s - max(0.0, age_s))
        known_s = now_s - self._known_since_s[replica.service]
        return service.start_s if known_s > _LISTING_S else 0.0
