"""Queries, answers and refusals as the callers' interface sees them."""

from collections.abc import Mapping
import dataclasses
from typing import Literal

from mallowloft.configuration import model


@dataclasses.dataclass(frozen=True)
class Query:
    """One checked query of a caller.

    Attributes:
        request: Identifier that logs and answers carry.
        snapshot: Configuration used from start to end.
        target: Service or group.
        rank: Rank of the team's priority class.
        body: The query, JSON.
        deadline_ms: Time the caller gives.
        min_coverage: Share of shards below which the answer is refused.
        prefer: Whether time or coverage goes first.
    """

    request: str
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
    shard: str


@dataclasses.dataclass(frozen=True)
class Attempts:
    """Sub-requests spent on one query."""

    sent: int = 0
    hedges: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to a query, all of one index version.

    Attributes:
        results: JSON by shard; its keys are the shards covered.
        lacking: Reason by shard that is not covered.
    """

    request: str
    index_version: int
    results: Mapping[Shard, bytes]
    lacking: Mapping[Shard, str]
    attempts: Attempts
    config_revision: int
    elapsed_ms: float

    @property
    def coverage(self) -> float:
        """Share of shards covered."""
        total = len(self.results) + len(self.lacking)
        return len(self.results) / total if total else 0.0


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A query that is not answered.

    Attributes:
        code: Stable name of the reason.
        message: Explanation for the caller.
        retry_after_ms: When the caller may try again.
        answer: What was gathered, if the coverage was too low.
    """

    code: str
    message: str
    retry_after_ms: float
    answer: Answer | None = None
