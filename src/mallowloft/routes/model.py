"""Routes, replicas, requests and replies of the routed interface."""

import dataclasses
import enum
import math

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers with a meaning here, in lower case.

    Attributes:
        request_id: Identifies one attempt of a caller; replicas echo it.
        deadline: Milliseconds that the sender will wait.
        expected_replica: Id of the replica that may run the request.
        signature: A replica's signature of its reply.
        load: Running and waiting requests and slots of a replica.
        not_run: Present if a replica did not run the request.
        signatures: Signatures of the parts in a gathered answer.
        missing: Number of shards that a gathered answer lacks.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    expected_replica: bytes = b"x-replica-id"
    signature: bytes = b"x-signature"
    load: bytes = b"x-load"
    not_run: bytes = b"x-not-run"
    signatures: bytes = b"x-part-signatures"
    missing: bytes = b"x-missing-parts"


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One process of a service.

    Attributes:
        started: Distinguishes starts under the same id; 0 if unknown.
        cold_s: How long the replica was still slow when it was last listed.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int = 1
    draining: bool = False
    cold_s: float = 0.0
    started: int = 0

    @property
    def key(self) -> tuple[str, str, int, str, int]:
        """What identifies one start of a replica at one address."""
        return (self.id, self.service, self.started, self.host, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service of a route and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        targets: Services that share the requests; empty if `shards` is not.
        shards: Services of which each holds one part of every answer.
        timeout_s: How long a request may be kept waiting.
        objective_s: Time within which an answer is worth most.
        max_attempts: Replicas to which one request may go, for each shard.
        rank: Priority; 0 is the most urgent.
        top_records: Records in a gathered answer.
        min_coverage: Smallest share of shards in a successful answer.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    rank: int = 0
    targets: tuple[Target, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    min_coverage: float = 0.0

    @property
    def needed_shards(self) -> int:
        """Shards that a successful answer has at least."""
        # The product of floats may lie just above a whole number.
        return max(1, math.ceil(self.min_coverage * len(self.shards) - 1e-9))


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send and how long they may stay idle."""

    max_body_bytes: int = 1 << 20
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """One version of the configuration of routes.

    Attributes:
        max_connections_by_service: Connections that one replica accepts from
            all callers together.
    """

    version: int
    routes: tuple[Route, ...]
    max_connections_by_service: dict[str, int]
    limits: Limits = Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, as it is forwarded.

    Attributes:
        target: Path and query as received.
        headers: Those that are forwarded unchanged.
    """

    id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A replica's complete reply."""

    status: int
    headers: Headers
    body: bytes
    signature: bytes = b""
    not_run: bool = False
    waiting: int = 0

    @property
    def success(self) -> bool:
        """Whether it is a signed 2xx reply."""
        return 200 <= self.status < 300 and bool(self.signature)


class Failure(enum.StrEnum):
    """Why an attempt has no reply.

    Only UNSENT excludes that the replica runs the request.
    """

    UNSENT = "unsent"
    BROKEN = "broken"
    MALFORMED = "malformed"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the caller gets.

    Attributes:
        reason: Why a request failed; empty for a replica's own reply.
        missing: Shards that the answer lacks.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    reason: str = ""
    missing: int = 0


def refusal(reason: str, retry_after_s: float, status: int = 503) -> Answer:
    """Returns an answer that promises that the request never runs."""
    return Answer(
        status,
        ((b"retry-after", f"{retry_after_s:.3f}".encode()),),
        reason.encode(),
        reason,
    )


def failure(status: int, reason: str) -> Answer:
    """Returns an answer after which the request may have run."""
    return Answer(status, (), reason.encode(), reason)
