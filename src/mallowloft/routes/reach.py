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
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model
from mallowloft.upstream import http1

# Consecutive failed or late attempts after which a link counts as lost. A fault
# of a single replica causes fewer consecutive failures.
_LOST_MIN_FAILURES = 5
# Minimum time between the first and the last of these failures. Replicas pause
# for 0.1 s and may do so at the same time.
_LOST_MIN_SPAN_S = 0.3
# Replicas or instances that must have failed, as far as there are so many.
_LOST_MIN_SOURCES = 2
# Longer span that applies to the loss of all links if only one failure domain
# shows it, and if the kernel of the replicas' hosts has acknowledged requests.
# Such requests may only be late; one of them must have waited for so long, too.
_DOUBTFUL_MIN_SPAN_S = 1.0
# The spans double with each loss that was refuted by data, up to the maximum,
# and are halved after each interval without a loss.
_MAX_REFUTATIONS = 2
MAX_SPAN_S = 2.0
_CALM_INTERVAL_S = 10.0

# A connection may be established although no data passes. While a failure
# domain or all links are lost, a new connection therefore only allows trials,
# at intervals that double from the shortest to the longest.
_MIN_TRIAL_INTERVAL_S = 0.5
_MAX_TRIAL_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class _FailureStreak:
    """Failures since the last success.

    Attributes:
        sources: Failure domains and ids of the replicas or instances that
            failed.
    """

    first_s: float
    last_s: float
    failures: int = 0
    sources: set[tuple[str, object]] = dataclasses.field(default_factory=set)

    @property
    def span_s(self) -> float:
        """Time between the first and the last failure; -1 if too few."""
        if self.failures < _LOST_MIN_FAILURES:
            return -1.0
        return self.last_s - self.first_s

    def record(self, now_s: float, source: tuple[str, object]) -> None:
        """Records a failure."""
        self.last_s = now_s
        self.failures += 1
        self.sources.add(source)

    def count_domains(self) -> int:
        """Returns the number of failure domains with failures."""
        return len({domain for domain, _ in self.sources})


class _Link:
    """What calls show of the link to one failure domain, or of all links.

    Attributes:
        is_lost: Whether the link counts as lost.
    """

    def __init__(self) -> None:
        self.is_lost = False
        self._streak: _FailureStreak | None = None
        # Failures of unacknowledged requests since the last acknowledged one.
        self._unacknowledged: _FailureStreak | None = None
        self._lost_s = -math.inf
        self._is_loss_unrefuted = False
        self._refutations = 0
        # Of domains, trials after a new connection.
        self._connected = False
        self._trial_interval_s = _MIN_TRIAL_INTERVAL_S

    @property
    def is_silent(self) -> bool:
        """Whether a call has failed since data arrived."""
        return self._streak is not None

    @property
    def silent_from_s(self) -> float:
        """Loop time of the first failure since data arrived."""
        return self._streak.first_s if self._streak else math.inf

    def record_data(self) -> None:
        """Records that data arrived."""
        if self._is_loss_unrefuted:
            self._is_loss_unrefuted = False
            self._refutations = min(_MAX_REFUTATIONS, self._refutations + 1)
        self._trial_interval_s = _MIN_TRIAL_INTERVAL_S
        self._reset()

    def record_failure(
        self,
        now_s: float,
        source: tuple[str, object],
        acknowledged: bool,
        waited_s: float,
        count_by_domain: Callable[[], Mapping[str, int]],
    ) -> None:
        """Records a failure; the link may be lost from now on.

        Args:
            now_s: Current loop time.
            source: Failure domain and id of the replica or instance.
            acknowledged: Whether the kernel of its host acknowledged the
                request.
            waited_s: For how long a request has been waiting for a reply.
            count_by_domain: Returns the number of replicas that could show
                whether the link works.
        """
        if self._streak is None:
            self._streak = _FailureStreak(now_s, now_s)
        self._streak.record(now_s, source)
        if acknowledged:
            self._unacknowledged = None
        else:
            if self._unacknowledged is None:
                self._unacknowledged = _FailureStreak(now_s, now_s)
            self._unacknowledged.record(now_s, source)
        if not self.is_lost and self._shows_loss(
            now_s, waited_s, count_by_domain
        ):
            self.is_lost = self._is_loss_unrefuted = True
            self._lost_s = now_s
            self._connected = False

    def connected(self) -> None:
        """Records a new connection."""
        self._connected = True

    def take_trial(self, now_s: float) -> None:
        """Takes the link for restored for a while if a trial is due."""
        if not self.is_lost or not self._connected:
            return
        if now_s < self._lost_s + self._trial_interval_s:
            return
        self._trial_interval_s = min(
            2 * self._trial_interval_s, _MAX_TRIAL_INTERVAL_S
        )
        self._reset()

    def _reset(self) -> None:
        self._streak = self._unacknowledged = None
        self.is_lost = self._connected = False

    def _shows_loss(
        self,
        now_s: float,
        waited_s: float,
        count_by_domain: Callable[[], Mapping[str, int]],
    ) -> bool:
        factor = self._span_factor(now_s)
        doubtful_span_s = min(MAX_SPAN_S, factor * _DOUBTFUL_MIN_SPAN_S)
        streak = self._unacknowledged
        if streak is None or streak.span_s <= factor * _LOST_MIN_SPAN_S:
            streak = self._streak
            if min(streak.span_s, waited_s) <= doubtful_span_s:
                return False
        counts = count_by_domain()
        if len(streak.sources) < min(_LOST_MIN_SOURCES, sum(counts.values())):
            return False
        return streak.span_s > doubtful_span_s or streak.count_domains() >= min(
            2, len(counts)
        )

    def _span_factor(self, now_s: float) -> int:
        elapsed_s = now_s - self._lost_s
        if math.isinf(elapsed_s):
            return 1
        calm_intervals = int(elapsed_s / _CALM_INTERVAL_S)
        return 2 ** max(0, self._refutations - calm_intervals)


class DomainReachability:
    """Tracks whether calls of failure domains succeed.

    Calls of collectors show whether a failure domain is reached. Direct calls
    of replicas also show whether this instance has links to any replica.

    Attributes:
        count_by_domain: Returns the number of replicas that this instance uses
            in each failure domain; empty if it is unknown.
    """

    def __init__(self) -> None:
        # Called with a failure domain that has become unreachable.
        self.on_lost: Callable[[str], None] = lambda failure_domain: None
        self._link_by_domain: dict[str, _Link] = collections.defaultdict(_Link)
        # Direct calls in all domains.
        self._direct_link = _Link()
        self._trial_due_s = math.inf
        self._trial_interval_s = _MIN_TRIAL_INTERVAL_S
        self.count_by_domain: Callable[[], Mapping[str, int]] = dict
        # An exchange of each silent domain, and the time of its start.
        self._watched_by_domain: dict[str, tuple[http1.Exchange, float]] = {}

    @property
    def links_lost(self) -> bool:
        """Whether this instance has lost its links to all replicas."""
        return self._direct_link.is_lost

    def succeeded(self, failure_domain: str) -> None:
        """Records a reply of a collector or a replica."""
        link = self._link_by_domain.get(failure_domain)
        if link is not None:
            link.record_data()
            self._watched_by_domain.pop(failure_domain, None)

    def failed(
        self,
        failure_domain: str,
        now_s: float,
        source: str | None = None,
        acknowledged: bool = False,
    ) -> None:
        """Records a call of a collector or a replica that failed or is late.

        Args:
            failure_domain: The failure domain.
            now_s: Current loop time.
            source: Id of the replica or instance; by default it differs from
                all others.
            acknowledged: Whether the kernel of its host acknowledged the
                request.
        """
        link = self._link_by_domain[failure_domain]
        was_lost = link.is_lost
        link.record_failure(
            now_s,
            (failure_domain, source or object()),
            acknowledged,
            self._waited_s(failure_domain, now_s),
            lambda: self._count_in(failure_domain),
        )
        if link.is_lost and not was_lost:
            self.on_lost(failure_domain)

    def direct_succeeded(self, failure_domain: str) -> None:
        """Records a reply of a replica to this instance."""
        self.succeeded(failure_domain)
        self._direct_link.record_data()
        self._trial_interval_s = _MIN_TRIAL_INTERVAL_S

    def direct_failed(
        self,
        failure_domain: str,
        now_s: float,
        source: str | None = None,
        acknowledged: bool = False,
    ) -> None:
        """Records that a replica did not respond to this instance in time.

        A connection that a replica closes is no such case.

        Args:
            failure_domain: The failure domain.
            now_s: Current loop time.
            source: Id of the replica; by default it differs from all others.
            acknowledged: Whether the kernel of its host acknowledged the
                request.
        """
        self.failed(failure_domain, now_s, source, acknowledged)
        was_lost = self.links_lost
        self._direct_link.record_failure(
            now_s,
            (failure_domain, source or object()),
            acknowledged,
            max(
                self._waited_s(domain, now_s) for domain in self._link_by_domain
            ),
            self.count_by_domain,
        )
        if self.links_lost and not was_lost:
            self._trial_due_s = now_s + _MAX_TRIAL_INTERVAL_S

    def connected(self, failure_domain: str, now_s: float) -> None:
        """Records a new connection to a replica."""
        self._link_by_domain[failure_domain].connected()
        self.update(now_s)
        self._trial_due_s = min(
            self._trial_due_s, now_s + self._trial_interval_s
        )

    def update(self, now_s: float) -> None:
        """Lets requests try failure domains with new connections again."""
        for link in self._link_by_domain.values():
            link.take_trial(now_s)

    def watch(
        self, failure_domain: str, exchange: http1.Exchange, started_s: float
    ) -> bool:
        """Returns whether to wait longer for a reply, even if nobody needs it.

        This applies to one exchange at a time in each failure domain of which
        nothing was heard since a call failed.

        Args:
            failure_domain: The failure domain.
            exchange: An exchange whose request was sent.
            started_s: Loop time at which it was started.
        """
        link = self._link_by_domain.get(failure_domain)
        if link is None or not link.is_silent:
            return False
        watched, _ = self._watched_by_domain.get(failure_domain, (None, 0.0))
        if watched is not None and not watched.done:
            return watched is exchange
        self._watched_by_domain[failure_domain] = (exchange, started_s)
        return True

    def _waited_s(self, failure_domain: str, now_s: float) -> float:
        """Returns for how long the watched exchange has been waiting."""
        watched, started_s = self._watched_by_domain.get(
            failure_domain, (None, 0.0)
        )
        if watched is None or watched.done:
            return 0.0
        return now_s - started_s

    def silent_from_s(self, failure_domain: str) -> float:
        """Returns the loop time from which calls have only failed.

        It is infinite if none has failed since the last success.
        """
        link = self._link_by_domain.get(failure_domain)
        own_s = link.silent_from_s if link is not None else math.inf
        return min(own_s, self._direct_link.silent_from_s)

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
            for domain, link in self._link_by_domain.items()
            if link.is_lost
        )

    def _count_in(self, failure_domain: str) -> Mapping[str, int]:
        count = self.count_by_domain().get(failure_domain, 0)
        return {failure_domain: count}


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
