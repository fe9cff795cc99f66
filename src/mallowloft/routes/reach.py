"""Whether an instance should leave its callers to other failure domains.

Answers a failure domain that is cut off from the others while its callers still
reach it: its instances cannot cover the shards, instances elsewhere can.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model

# Failures without any success in between that put a failure domain out of
# reach; fewer may be those of single replicas.
_LOST_FAILURES = 5
# Replicas pause for a tenth of a second and may do so together.
_LOST_SILENCE_S = 0.5


@dataclasses.dataclass(slots=True)
class _Evidence:
    succeeded_s: float = -math.inf
    failures: int = 0


class DomainReach:
    """Successes and failures of calls by failure domain."""

    def __init__(self) -> None:
        self._evidence_by_domain: dict[str, _Evidence] = (
            collections.defaultdict(_Evidence)
        )

    def succeeded(self, failure_domain: str, now_s: float) -> None:
        """Notes a reply or a new connection."""
        evidence = self._evidence_by_domain[failure_domain]
        evidence.succeeded_s = now_s
        evidence.failures = 0

    def failed(self, failure_domain: str) -> None:
        """Notes that a replica was not reached or did not reply."""
        self._evidence_by_domain[failure_domain].failures += 1

    def lost(self, failure_domain: str, now_s: float) -> bool:
        """Whether no replica of a failure domain is within reach."""
        evidence = self._evidence_by_domain[failure_domain]
        silent = now_s - evidence.succeeded_s > _LOST_SILENCE_S
        return silent and evidence.failures >= _LOST_FAILURES


def coverable(route: model.Route, directory: directory_lib.Directory) -> int:
    """Returns how many shards of a route have a usable replica."""
    return sum(
        any(entry.usable for entry in directory.entries(shard))
        for shard in route.shards
    )


def isolated(
    routes: Iterable[model.Route],
    directory: directory_lib.Directory,
    failure_domain: str,
    now_s: float,
) -> bool:
    """Whether all other failure domains are out of reach and are needed."""
    others = {
        entry.replica.failure_domain
        for entry in directory.all()
        if not entry.draining
    } - {failure_domain}
    if not others:
        return False
    if not all(directory.reach.lost(domain, now_s) for domain in others):
        return False
    return any(
        coverable(route, directory) < route.needed_shards
        for route in routes
        if route.shards
    )
