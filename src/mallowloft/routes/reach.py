"""Detects unreachable failure domains, lost links and isolation.

An instance may lose its links to the replicas of one failure domain, or to all
replicas, while callers and other instances still reach it. Instances that reach
more replicas then serve its requests (`delegation.ForwardedRequest`).

If a network partition cuts a failure domain off from all others, no instance in
it can cover the shards, but instances in other failure domains can. Such an
isolated instance reports that it is not ready, so that callers go to the
others.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model

# Consecutive failed or late attempts after which a failure domain counts as
# unreachable. A fault of a single replica causes fewer consecutive failures.
_UNREACHABLE_MIN_FAILURES = 5
# Minimum time between the first and the last of these failures. Replicas pause
# for 0.1 s and may do so at the same time.
_UNREACHABLE_MIN_SPAN_S = 0.3


# While the links are lost, single requests are sent to replicas as trials. They
# follow a new connection at intervals that double from the shortest to the
# longest, since a connection may be established although no data passes.
# Without a new connection the longest interval applies.
_MIN_TRIAL_INTERVAL_S = 0.5
_MAX_TRIAL_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class _FailureStreak:
    """Failures since the last success."""

    first_s: float
    last_s: float
    failures: int = 0

    @property
    def is_lost(self) -> bool:
        """Whether the failures show that nothing is reached."""
        return (
            self.failures >= _UNREACHABLE_MIN_FAILURES
            and self.last_s - self.first_s > _UNREACHABLE_MIN_SPAN_S
        )

    def record(self, now_s: float) -> None:
        """Records a failure."""
        self.last_s = now_s
        self.failures += 1


class DomainReachability:
    """Tracks whether calls of failure domains succeed.

    Calls of collectors show whether a failure domain is reached. Direct calls
    of replicas also show whether this instance has links to any replica.
    """

    def __init__(self) -> None:
        # Called with a failure domain that has become unreachable.
        self.on_lost: Callable[[str], None] = lambda failure_domain: None
        self._streak_by_domain: dict[str, _FailureStreak] = {}
        # Failures of direct calls since the last success in any domain.
        self._direct_streak: _FailureStreak | None = None
        self._trial_due_s = math.inf
        self._trial_interval_s = _MIN_TRIAL_INTERVAL_S

    @property
    def links_lost(self) -> bool:
        """Whether this instance has lost its links to all replicas."""
        return self._direct_streak is not None and self._direct_streak.is_lost

    def succeeded(self, failure_domain: str) -> None:
        """Records a reply of a collector or a replica."""
        self._streak_by_domain.pop(failure_domain, None)

    def failed(self, failure_domain: str, now_s: float) -> None:
        """Records a call of a collector or a replica that failed or is late."""
        streak = self._streak_by_domain.setdefault(
            failure_domain, _FailureStreak(now_s, now_s)
        )
        was_lost = streak.is_lost
        streak.record(now_s)
        if streak.is_lost and not was_lost:
            self.on_lost(failure_domain)

    def direct_succeeded(self, failure_domain: str) -> None:
        """Records a reply of a replica to this instance."""
        self.succeeded(failure_domain)
        self._direct_streak = None
        self._trial_interval_s = _MIN_TRIAL_INTERVAL_S

    def direct_failed(self, failure_domain: str, now_s: float) -> None:
        """Records that a replica did not respond to this instance in time.

        A connection that a replica closes is no such case.
        """
        self.failed(failure_domain, now_s)
        if self._direct_streak is None:
            self._direct_streak = _FailureStreak(now_s, now_s)
        was_lost = self.links_lost
        self._direct_streak.record(now_s)
        if self.links_lost and not was_lost:
            self._trial_due_s = now_s + _MAX_TRIAL_INTERVAL_S

    def connected(self, failure_domain: str, now_s: float) -> None:
        """Records a new connection to a replica."""
        self.succeeded(failure_domain)
        self._trial_due_s = min(
            self._trial_due_s, now_s + self._trial_interval_s
        )

    def take_trial(self, now_s: float) -> bool:
        """Whether a request may be sent although the links are lost."""
        if now_s < self._trial_due_s:
            return False
        self._trial_due_s = now_s + _MAX_TRIAL_INTERVAL_S
        self._trial_interval_s = min(
            2 * self._trial_interval_s, _MAX_TRIAL_INTERVAL_S
        )
        return True

    def unreachable_domains(self) -> frozenset[str]:
        """Returns the failure domains that count as unreachable."""
        return frozenset(
            domain
            for domain, streak in self._streak_by_domain.items()
            if streak.is_lost
        )


def coverable_in_s(
    route: model.Route,
    directory: directory_lib.Directory,
    unreachable: Collection[str],
    now_s: float,
) -> list[float]:
    """Returns when the shards have a reachable replica that accepts requests.

    Args:
        route: The route.
        directory: The known replicas.
        unreachable: Unreachable failure domains.
        now_s: Current loop time.

    Returns:
        Seconds from now in ascending order; 0 for a shard that has one now, and
        infinity for one that is not expected to have one.
    """
    return sorted(
        min(
            (
                entry.usable_in_s(now_s)
                for entry in directory.entries_for(route, shard)
                if entry.replica.failure_domain not in unreachable
            ),
            default=math.inf,
        )
        for shard in route.shards
    )


def count_evacuated(
    services: Iterable[str],
    directory: directory_lib.Directory,
    now_s: float,
    unreachable: Collection[str] = (),
) -> int:
    """Returns the number of services that lack a replica due to an evacuation.

    Args:
        services: Services, such as the shards of a route.
        directory: The known replicas.
        now_s: Current loop time.
        unreachable: Unreachable failure domains.
    """
    return sum(
        any(entry.evacuated and not entry.draining for entry in entries)
        and all(
            entry.replica.failure_domain in unreachable
            or math.isinf(entry.usable_in_s(now_s))
            for entry in entries
        )
        for entries in map(directory.entries, services)
    )


def count_unlinked(
    route: model.Route | None,
    services: Sequence[str],
    directory: directory_lib.Directory,
) -> int:
    """Returns the number of services whose replicas are all out of reach.

    Args:
        route: The route whose homes count; None to count all replicas.
        services: Services, such as the shards of a route.
        directory: The known replicas.
    """
    if directory.reach.links_lost:
        return len(services)
    return _count_without_replicas(route, services, directory)


def should_forward(
    route: model.Route,
    services: Sequence[str],
    directory: directory_lib.Directory,
    now_s: float,
) -> bool:
    """Whether a request should go to an instance that reaches more replicas.

    The load it answers: instances that lose their links to replicas, while
    callers still reach them. While all links are lost, single requests that may
    be repeated are served here, as trials, if replicas look reachable again.

    Args:
        route: The route.
        services: The services that the request needs.
        directory: The known replicas.
        now_s: Current loop time.
    """
    if not count_unlinked(route, services, directory):
        return False
    links = directory.reach
    is_trial = (
        links.links_lost
        and route.idempotent
        and not _count_without_replicas(route, services, directory)
        and links.take_trial(now_s)
    )
    return not is_trial


def _count_without_replicas(
    route: model.Route | None,
    services: Iterable[str],
    directory: directory_lib.Directory,
) -> int:
    """Returns the number of services of which no replica looks reachable."""
    unreachable = directory.reach.unreachable_domains()
    return sum(
        _is_unlinked(directory.entries_for(route, service), unreachable)
        for service in services
    )


def _is_unlinked(
    entries: Iterable[directory_lib.ReplicaEntry], unreachable: Collection[str]
) -> bool:
    """Whether the links to all of the replicas that stay are lost.

    Evacuated replicas do not count: other instances do not use them either.
    """
    staying = [
        entry for entry in entries if entry.stays and not entry.evacuated
    ]
    return bool(staying) and all(
        entry.pool.failing or entry.replica.failure_domain in unreachable
        for entry in staying
    )


def covered_by_domain(
    route: model.Route, directory: directory_lib.Directory
) -> collections.Counter[str]:
    """Returns the number of covered shards by failure domain.

    A failure domain covers a shard if it has a replica of the shard that is not
    draining or evacuated.
    """
    return collections.Counter(
        domain
        for shard in route.shards
        for domain in {
            entry.replica.failure_domain
            for entry in directory.entries_for(route, shard)
            if entry.stays and not entry.evacuated
        }
    )


def isolated(
    routes: Iterable[model.Route],
    directory: directory_lib.Directory,
    failure_domain: str,
    unreachable: Collection[str],
    now_s: float,
) -> bool:
    """Whether the failure domain is isolated.

    This is the case if too few shards of a route are reachable while all other
    failure domains are unreachable. Other domains that are evacuated do not
    count: an instance there could use their replicas no more than this one.
    """
    others = {
        entry.replica.failure_domain
        for entry in directory.used_entries()
        if not entry.draining and not entry.evacuated
    } - {failure_domain}
    if not others or not others <= set(unreachable):
        return False
    return any(
        math.isinf(
            coverable_in_s(route, directory, unreachable, now_s)[
                route.needed_shards - 1
            ]
        )
        for route in routes
        if route.shards
    )
