"""The record of a scenario: requests, replica journals, configuration."""

import dataclasses
import json
from typing import Any

from mallowloft.gather import model as gather_model
from mallowloft.submissions import model as submissions_model
from tests.support import upstreams


@dataclasses.dataclass
class QueryRecord:
    """A query as its caller observed it.

    Attributes:
        marker: Unique content of the query, which upstreams return in results.
        answer: The answer, or the partial answer that a refusal contains.
        refusal: The refusal.
        answered_s: Time of the answer or refusal, None if the caller timed out.
    """

    marker: str
    instance: str
    team: str
    sent_s: float
    deadline_s: float
    answer: gather_model.Answer | None = None
    refusal: gather_model.Refusal | None = None
    answered_s: float | None = None


@dataclasses.dataclass
class SubmissionRecord:
    """A submission as its caller observed it, with all retries.

    Attributes:
        marker: Unique content of the submission.
        instances: Instances that it was sent to, in order.
        outcomes: Outcome of each attempt, None if the caller timed out.
    """

    marker: str
    instances: list[str] = dataclasses.field(default_factory=list)
    outcomes: list[submissions_model.Outcome | None] = dataclasses.field(
        default_factory=list
    )

    @property
    def outcome(self) -> submissions_model.Outcome | None:
        """The outcome of the last attempt."""
        return self.outcomes[-1] if self.outcomes else None


@dataclasses.dataclass(frozen=True)
class Publication:
    """A published change of the configuration.

    Attributes:
        valid: Whether instances should accept the change.
    """

    at_s: float
    subtree: str
    revision: int
    valid: bool


@dataclasses.dataclass(frozen=True)
class AppliedRevision:
    """A revision of a subtree that an instance applied."""

    at_s: float
    instance: str
    incarnation: int
    subtree: str
    revision: int


@dataclasses.dataclass
class Record:
    """The input of the checks.

    Attributes:
        journal: Events of all replicas.
        shard_maps: Shard map of each index version, as replicas by shard.
        drain_started_s: Time at which each draining replica first signalled
            the drain.
        stop_started_s: Time at which the graceful stop of each instance began.
        faulty_instances: Instances that were killed, frozen or isolated.
        dead_instances: Instances that were killed and not restarted.
    """

    queries: list[QueryRecord] = dataclasses.field(default_factory=list)
    submissions: list[SubmissionRecord] = dataclasses.field(
        default_factory=list
    )
    journal: list[upstreams.Event] = dataclasses.field(default_factory=list)
    publications: list[Publication] = dataclasses.field(default_factory=list)
    applied_revisions: list[AppliedRevision] = dataclasses.field(
        default_factory=list
    )
    shard_maps: dict[int, dict[gather_model.Shard, tuple[str, ...]]] = (
        dataclasses.field(default_factory=dict)
    )
    drain_started_s: dict[str, float] = dataclasses.field(default_factory=dict)
    stop_started_s: dict[str, float] = dataclasses.field(default_factory=dict)
    faulty_instances: set[str] = dataclasses.field(default_factory=set)
    dead_instances: set[str] = dataclasses.field(default_factory=set)
    instances: set[str] = dataclasses.field(default_factory=set)
    ended_s: float = 0.0

    def runs_by_marker(self) -> dict[str, int]:
        """Returns how often upstreams started each submission."""
        runs: dict[str, int] = {}
        for event in self.journal:
            if event.kind == "submit_started":
                marker = json.loads(event.body)["marker"]
                runs[marker] = runs.get(marker, 0) + 1
        return runs

    def answers(self) -> list[tuple[QueryRecord, gather_model.Answer]]:
        """Returns all answers with their queries."""
        return [
            (query, query.answer)
            for query in self.queries
            if query.answer is not None
        ]


def parse_result(content: bytes) -> tuple[str, str, int, Any]:
    """Returns the replica, shard, version and query of a shard's result."""
    source, echo = json.loads(content)
    replica, _, rest = source.partition("/")
    shard, _, version = rest.partition("@")
    return replica, shard, int(version), echo
