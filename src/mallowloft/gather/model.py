"""Queries, answers and refusals that the callers' interface uses."""

from collections.abc import Mapping
import dataclasses
from typing import Literal

from mallowloft.configuration import model


@dataclasses.dataclass(frozen=True)
class Query:
    """One validated query of a caller.

    Attributes:
        request_id: Identifier of the request in logs and answers.
        team: The customer team that sent the query.
        snapshot: Configuration that the whole query uses.
        target: Name of a service or group.
        rank: Rank of the team's priority class, 0 is the highest.
        body: The query as JSON.
        deadline_ms: Time the caller allows for the answer.
        min_coverage: Minimum fraction of covered shards; with less coverage,
            the query is refused.
        prefer: Whether a fast or a complete answer has priority.
    """

    request_id: str
    team: str
    snapshot: model.Snapshot
    target: str
    rank: int
    body: bytes
    deadline_ms: float
    min_coverage: float
    prefer: Literal["time", "coverage"]


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """One shard of one service."""

    service: str
    name: str


@dataclasses.dataclass(frozen=True)
class AttemptCounts:
    """Counts of sub-requests sent for one query; probes are not counted.

    Attributes:
        sent: All sub-requests, including hedges and retries.
        hedges: Sub-requests sent because an attempt was late.
        retries: Sub-requests sent because an earlier one failed, or because its
            dispatcher was gone or silent.
    """

    sent: int = 0
    hedges: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to a query, from a single index version.

    Attributes:
        results: JSON by covered shard.
        lacking: Reason by shard that is not covered.
    """

    request_id: str
    index_version: int
    results: Mapping[Shard, bytes]
    lacking: Mapping[Shard, str]
    attempts: AttemptCounts
    config_revision: int
    elapsed_ms: float

    @property
    def coverage(self) -> float:
        """Fraction of the shards that are covered."""
        total = len(self.results) + len(self.lacking)
        return len(self.results) / total if total else 0.0


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A query that is not answered.

    Attributes:
        code: Stable error code.
        message: Explanation for the caller.
        retry_after_ms: Time after which the caller may try again.
        answer: The partial answer, None if the index is not published.
    """

    code: str
    message: str
    retry_after_ms: float
    answer: Answer | None = None
