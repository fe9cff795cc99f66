"""Frozen data classes of the configuration documents."""

from collections.abc import Mapping
import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

_STRICT = pydantic.ConfigDict(extra="forbid")

Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


@dataclasses.dataclass(frozen=True)
class Fleet:
    """`/operator/fleet`: settings of the whole system.

    Attributes:
        classes: Priority classes, the highest first.
        min_share: Minimum share of the calls that a replica's dispatcher starts
            from its queue, for each class with waiting calls.
        hedge_share: Average limit on extra sub-requests per sub-request while
            no replica is known to be faulty.
        hedge_share_fault: The same limit while a replica is known to be faulty;
            not used if it is below `hedge_share`.
    """

    __pydantic_config__ = _STRICT

    classes: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)] = (
        "paying",
        "standard",
        "background",
    )
    min_share: Share = 0.02
    hedge_share: Share = 0.02
    hedge_share_fault: Share = 0.05


@dataclasses.dataclass(frozen=True)
class Replica:
    """One upstream of a service.

    Attributes:
        slots: Number of calls that the replica runs at the same time.
        connections: Number of connections that the replica accepts from all
            instances together.
        leaving: Whether the replica is shutting down; it is not selected for
            new calls.
    """

    __pydantic_config__ = _STRICT

    id: Name
    url: Annotated[str, pydantic.Field(pattern=r"^https?://[^/]+$")]
    failure_domain: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=1024)] = 2
    connections: Annotated[int, pydantic.Field(ge=4, le=65536)] = 25
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """`/operator/services/<name>`: a set of shards with replicas."""

    __pydantic_config__ = _STRICT

    index: Name
    replicas: Annotated[tuple[Replica, ...], pydantic.Field(min_length=1)]
    protocol: Name = "http"


ShardMap = Mapping[Name, Mapping[Name, tuple[Name, ...]]]


@dataclasses.dataclass(frozen=True)
class IndexVersion:
    """One version of an index.

    Attributes:
        version: Number of the version; higher is newer.
        shards: Replica ids by service and shard.
    """

    __pydantic_config__ = _STRICT

    version: Annotated[int, pydantic.Field(ge=1)]
    shards: ShardMap


@dataclasses.dataclass(frozen=True)
class Index:
    """`/operator/indexes/<name>`: the published versions of one index."""

    __pydantic_config__ = _STRICT

    versions: Annotated[tuple[IndexVersion, ...], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True)
class Group:
    """`/operator/groups/<name>`: services that one query may cover."""

    __pydantic_config__ = _STRICT

    services: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True)
class Team:
    """`/operator/teams/<name>`: permissions and limits of a team.

    Attributes:
        credential_sha256: Hex SHA-256 of the team's bearer token.
        priority: Name of the priority class.
        targets: Services and groups the team may use, `*` for all.
        max_in_flight: Maximum number of concurrent requests of the team at one
            instance.
    """

    __pydantic_config__ = _STRICT

    credential_sha256: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
    priority: Name
    targets: tuple[str, ...] = ("*",)
    max_in_flight: Annotated[int, pydantic.Field(ge=1)] = 1000


@dataclasses.dataclass(frozen=True)
class TeamQuery:
    """`/teams/<name>/query`: defaults that a team sets for its queries.

    Attributes:
        default_deadline_ms: Deadline of a request that does not specify one.
        min_coverage: Share of shards below which an answer is refused.
        prefer: `time` returns without waiting for stragglers once the minimum
            coverage is met; `coverage` waits for them until the deadline.
    """

    __pydantic_config__ = _STRICT

    default_deadline_ms: Annotated[float, pydantic.Field(gt=0, le=60_000)] = (
        1_000.0
    )
    min_coverage: Share = 0.0
    # By default a team gets the full coverage that its deadline allows.
    prefer: Literal["time", "coverage"] = "coverage"


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All accepted configuration at one time.

    A change creates a new snapshot.

    Attributes:
        revision: Highest accepted revision.
    """

    revision: int = 0
    fleet: Fleet = dataclasses.field(default_factory=Fleet)
    services_by_name: Mapping[str, Service] = dataclasses.field(
        default_factory=dict
    )
    indexes_by_name: Mapping[str, Index] = dataclasses.field(
        default_factory=dict
    )
    groups_by_name: Mapping[str, Group] = dataclasses.field(
        default_factory=dict
    )
    teams_by_name: Mapping[str, Team] = dataclasses.field(default_factory=dict)
    queries_by_team: Mapping[str, TeamQuery] = dataclasses.field(
        default_factory=dict
    )
    replicas_by_id: Mapping[str, Replica] = dataclasses.field(
        default_factory=dict
    )

    def services_of(self, target: str) -> tuple[str, ...]:
        """Returns the services of a target, empty if the target is unknown."""
        if target in self.services_by_name:
            return (target,)
        group = self.groups_by_name.get(target)
        if group is None:
            return ()
        return group.services

    def protocol_of(self, replica_id: str) -> str:
        """Returns the upstream protocol of a replica's service.

        Raises:
            KeyError: No service has the replica.
        """
        for service in self.services_by_name.values():
            if any(replica.id == replica_id for replica in service.replicas):
                return service.protocol
        raise KeyError(replica_id)

    def rank_of(self, team: str) -> int:
        """Returns the rank of a team's priority class; 0 is the highest.

        A class that the fleet document does not list ranks below all others.
        """
        classes = self.fleet.classes
        priority = self.teams_by_name[team].priority
        if priority in classes:
            return classes.index(priority)
        return len(classes)
