"""What a scenario records: callers' requests, journals, configuration."""

import dataclasses
import json
from typing import Any

from mallowloft.gather import model as gather_model
from mallowloft.submissions import model as submissions_model
from tests.support import upstreams


@dataclasses.dataclass
class QueryRecord:
    """One query as its caller saw it.

    Attributes:
        marker: Unique content of the query, echoed by the upstreams.
        answer: The answer, also when it came with a refusal.
        refusal: The refusal.
        answered_s: When the caller had its answer, None if it gave up.
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
    """One submission as its caller saw it, over all its sends.

    Attributes:
        marker: Unique content of the submission.
        instances: Instances that it was sent to.
        outcomes: Outcome of each send, None where no answer came.
    """

    marker: str
    instances: list[str] = dataclasses.field(default_factory=list)
    outcomes: list[submissions_model.Outcome | None] = dataclasses.field(
        default_factory=list
    )

    @property
    def outcome(self) -> submissions_model.Outcome | None:
        """The last outcome, which is the caller's knowledge at the end."""
        return self.outcomes[-1] if self.outcomes else None


@dataclasses.dataclass(frozen=True)
class Publication:
    """One change of the configuration."""

    at_s: float
    subtree: str
    revision: int
    valid: bool


@dataclasses.dataclass(frozen=True)
class InForce:
    """A subtree's revision that an instance put into force."""

    at_s: float
    instance: str
    incarnation: int
    subtree: str
    revision: int


@dataclasses.dataclass
class Record:
    """Everything the checks look at.

    Attributes:
        shard_maps: Replicas by shard by version of the index.
        drained_s: When each leaving replica gave its first signal.
        stopped_s: When each graceful stop began, by instance.
        faulty_instances: Instances that were killed, frozen or cut off.
        dead_instances: Instances that were killed and not started again.
    """

    queries: list[QueryRecord] = dataclasses.field(default_factory=list)
    submissions: list[SubmissionRecord] = dataclasses.field(
        default_factory=list
    )
    journal: list[upstreams.Event] = dataclasses.field(default_factory=list)
    publications: list[Publication] = dataclasses.field(default_factory=list)
    in_force: list[InForce] = dataclasses.field(default_factory=list)
    shard_maps: dict[int, dict[gather_model.Shard, tuple[str, ...]]] = (
        dataclasses.field(default_factory=dict)
    )
    drained_s: dict[str, float] = dataclasses.field(default_factory=dict)
    stopped_s: dict[str, float] = dataclasses.field(default_factory=dict)
    faulty_instances: set[str] = dataclasses.field(default_factory=set)
    dead_instances: set[str] = dataclasses.field(default_factory=set)
    instances: set[str] = dataclasses.field(default_factory=set)
    ended_s: float = 0.0

    def runs_by_marker(self) -> dict[str, int]:
        """Returns how often each submission was started by an upstream."""
        runs: dict[str, int] = {}
        for event in self.journal:
            if event.kind == "submit_started":
                marker = json.loads(event.body)["marker"]
                runs[marker] = runs.get(marker, 0) + 1
        return runs

    def answers(self) -> list[tuple[QueryRecord, gather_model.Answer]]:
        """Returns every answer with its query."""
        return [
            (query, query.answer)
            for query in self.queries
            if query.answer is not None
        ]


def row(content: bytes) -> tuple[str, str, int, Any]:
    """Returns replica, shard, version and query echo of a shard's result."""
    source, echo = json.loads(content)
    replica, _, rest = source.partition("/")
    shard, _, version = rest.partition("@")
    return replica, shard, int(version), echo
