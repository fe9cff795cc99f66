"""What a client of an upstream protocol offers to the dispatcher."""

import dataclasses
import enum
from typing import Protocol

from mallowloft.kernel import registry


@dataclasses.dataclass(frozen=True, slots=True)
class QueryCall:
    """One call that asks a replica for shards at an index version."""

    request: str
    service: str
    index_version: int
    shards: tuple[str, ...]
    query: bytes
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitCall:
    """One non-idempotent call."""

    request: str
    shard: str
    body: bytes
    deadline_ms: float


class CallOutcome(enum.StrEnum):
    """How a call ended.

    SHED and DRAINING are the replica's own word that it did not run the call.
    UNSENT means that no byte was written. FAILED leaves open whether it ran.
    """

    OK = "ok"
    WRONG_VERSION = "wrong_version"
    SHED = "shed"
    DRAINING = "draining"
    UNSENT = "unsent"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """Reply to a query or submission.

    Attributes:
        results: JSON by shard, for queries.
        body: JSON reply, for submissions.
        versions: Index versions the replica can serve, empty if not said.
        reason: Explanation for logs and answers.
    """

    outcome: CallOutcome
    index_version: int = 0
    results: dict[str, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    versions: tuple[int, ...] = ()
    reason: str = ""
    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """A replica's own word on its state; it may lag or mislead."""

    state: str
    versions: tuple[int, ...]


class Upstream(Protocol):
    """Connections to one replica."""

    async def query(self, call: QueryCall) -> CallReply:
        """Runs an idempotent call."""

    async def submit(self, call: SubmitCall) -> CallReply:
        """Runs a non-idempotent call; never sends it twice."""

    async def cancel(self, request: str) -> None:
        """Asks the replica to drop a call."""

    async def health(self) -> Health | None:
        """Reads the health endpoint, None if it does not answer."""

    async def warm(self, connections: int) -> None:
        """Opens connections ahead of need."""

    async def close(self) -> None:
        """Closes all connections."""


# Factories `(url, max_connections) -> Upstream` by protocol name.
protocols: registry.Registry = registry.Registry("upstream protocol")
