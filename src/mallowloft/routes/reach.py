"""Whether an instance should leave its callers to other failure domains.

Answers a failure domain that is cut off from the others while its callers still
reach it: its instances cannot cover the shards, instances elsewhere can.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model

# Failed and late attempts without any success in between that put a failure
# domain out of reach; fewer may be those of single replicas.
_LOST_FAILURES = 5
# How far the first and the last of these failures must be apart: replicas pause
# for a tenth of a second and may do so together.
_LOST_S = 0.3


@dataclasses.dataclass(slots=True)
class _Evidence:
    first_s: float
    last_s: float
    failures: int = 0


class DomainReach:
    """Successes and failures of calls by failure domain."""

    def __init__(self) -> None:
        self._evidence_by_domain: dict[str, _Evidence] = {}

    def succeeded(self, failure_domain: str) -> None:
        """Notes a reply or a new connection."""
        self._evidence_by_domain.pop(failure_domain, None)

    def failed(self, failure_domain: str, now_s: float) -> None:
        """Notes an attempt that failed or is late."""
        evidence = self._evidence_by_domain.get(failure_domain)
        if evidence is None:
            evidence = _Evidence(now_s, now_s)
            self._evidence_by_domain[failure_domain] = evidence
        evidence.last_s = now_s
        evidence.failures += 1

    def lost(self) -> frozenset[str]:
        """Returns the failure domains in which no replica is reached."""
        return frozenset(
            domain
            for domain, evidence in self._evidence_by_domain.items()
            if evidence.failures >= _LOST_FAILURES
            and evidence.last_s - evidence.first_s > _LOST_S
        )


def coverable(
    route: model.Route,
    directory: directory_lib.Directory,
    lost: Collection[str],
) -> int:
    """Returns how many shards of a route have a usable replica.

    Args:
        route: The route.
        directory: The replicas.
        lost: Failure domains out of reach.
    """
    return sum(
        any(
            entry.usable and entry.replica.failure_domain not in lost
            for entry in directory.entries(shard)
        )
        for shard in route.shards
    )


def covered_by_domain(
    route: model.Route, directory: directory_lib.Directory
) -> collections.Counter[str]:
    """Returns how many shards have a usable replica in each failure domain."""
    return collections.Counter(
        domain
        for shard in route.shards
        for domain in {
            entry.replica.failure_domain
            for entry in directory.entries(shard)
            if not entry.draining
        }
    )


def isolated(
    routes: Iterable[model.Route],
    directory: directory_lib.Directory,
    failure_domain: str,
    lost: Collection[str],
) -> bool:
    """Whether all other failure domains are out of reach and are needed."""
    others = {
        entry.replica.failure_domain
        for entry in directory.all()
        if not entry.draining
    } - {failure_domain}
    if not others or not others <= set(lost):
        return False
    return any(
        coverable(route, directory, lost) < route.needed_shards
        for route in routes
        if route.shards
    )
