"""Detects unreachable failure domains and the isolation of this one.

If a network partition cuts a failure domain off from all others while callers
still reach it, its instances cannot cover the shards, but instances in other
failure domains can. An isolated instance therefore reports that it is not
ready, so that callers go to the others.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
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


@dataclasses.dataclass(slots=True)
class _FailureStreak:
    first_s: float
    last_s: float
    failures: int = 0


class DomainReachability:
    """Tracks for each failure domain whether calls succeed."""

    def __init__(self) -> None:
        self._streak_by_domain: dict[str, _FailureStreak] = {}

    def succeeded(self, failure_domain: str) -> None:
        """Records a reply or a new connection."""
        self._streak_by_domain.pop(failure_domain, None)

    def failed(self, failure_domain: str, now_s: float) -> None:
        """Records an attempt that failed or is late."""
        streak = self._streak_by_domain.get(failure_domain)
        if streak is None:
            streak = _FailureStreak(now_s, now_s)
            self._streak_by_domain[failure_domain] = streak
        streak.last_s = now_s
        streak.failures += 1

    def unreachable_domains(self) -> frozenset[str]:
        """Returns the failure domains that count as unreachable."""
        return frozenset(
            domain
            for domain, streak in self._streak_by_domain.items()
            if streak.failures >= _UNREACHABLE_MIN_FAILURES
            and streak.last_s - streak.first_s > _UNREACHABLE_MIN_SPAN_S
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
                for entry in directory.entries(shard)
                if entry.replica.failure_domain not in unreachable
            ),
            default=math.inf,
        )
        for shard in route.shards
    )


def covered_by_domain(
    route: model.Route, directory: directory_lib.Directory
) -> collections.Counter[str]:
    """Returns the number of covered shards by failure domain.

    A failure domain covers a shard if it has a replica of the shard that is not
    draining.
    """
    return collections.Counter(
        domain
        for shard in route.shards
        for domain in {
            entry.replica.failure_domain
            for entry in directory.entries(shard)
            if entry.stays
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
    failure domains are unreachable.
    """
    others = {
        entry.replica.failure_domain
        for entry in directory.used_entries()
        if not entry.draining
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
