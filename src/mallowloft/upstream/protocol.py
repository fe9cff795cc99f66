"""Interface of the clients that the dispatcher uses to call replicas."""

import dataclasses
import enum
from typing import Protocol

from mallowloft.kernel import registry


@dataclasses.dataclass(frozen=True, slots=True)
class QueryCall:
    """One query of some shards of a replica at an index version.

    Attributes:
        request_id: Id of this call, to be passed to `Upstream.cancel`.
        service: Service that the replica belongs to.
        index_version: Index version that the results must come from.
        shards: Shards to query.
        query: The caller's query, JSON.
        deadline_ms: Time left for the call.
    """

    request_id: str
    service: str
    index_version: int
    shards: tuple[str, ...]
    query: bytes
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitCall:
    """One submission, which is not idempotent.

    Attributes:
        request_id: Id of this call, to be passed to `Upstream.cancel`.
        shard: Shard that the submission is for.
        body: The caller's submission, JSON.
        deadline_ms: Time left for the call.
    """

    request_id: str
    shard: str
    body: bytes
    deadline_ms: float


class CallOutcome(enum.StrEnum):
    """How a call ended.

    SHED and DRAINING mean that the replica reported that it did not run the
    call. WRONG_VERSION means that the replica does not serve the index version.
    UNSENT means that no byte of the request was written. FAILED covers every
    other error; it is unknown then whether the replica ran the call.
    """

    OK = "ok"
    WRONG_VERSION = "wrong_version"
    SHED = "shed"
    DRAINING = "draining"
    UNSENT = "unsent"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """Outcome of a query or submission and the content of the reply.

    Attributes:
        outcome: How the call ended.
        index_version: Index version of the results of a query.
        results: Result of each shard of a query, JSON.
        body: Reply to a submission, JSON.
        versions: Index versions that the replica can serve, empty if unknown.
        reason: Explanation for logs and for the caller's response.
        retry_after_ms: Time after which the replica accepts a retry, 0 if
            unknown.
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
    """State that a replica reports about itself.

    The report can be outdated or wrong.

    Attributes:
        state: Reported state, such as "ok" or "draining".
        versions: Index versions that the replica reports it can serve.
    """

    state: str
    versions: tuple[int, ...]


class Upstream(Protocol):
    """Client of one replica."""

    async def query(self, call: QueryCall) -> CallReply:
        """Sends a query, which is idempotent."""

    async def submit(self, call: SubmitCall) -> CallReply:
        """Sends a submission, which is not idempotent, at most once."""

    async def cancel(self, request_id: str) -> None:
        """Asks the replica to cancel the call with this id."""

    async def health(self) -> Health | None:
        """Returns the reported health, or None without a valid response."""

    async def preconnect(self, connections: int) -> None:
        """Opens up to the given number of connections in advance."""

    async def close(self) -> None:
        """Closes all connections."""


# Factories `(url, max_connections) -> Upstream` by protocol name.
protocols: registry.Registry = registry.Registry("upstream protocol")
