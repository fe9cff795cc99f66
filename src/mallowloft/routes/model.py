"""Routes, replicas, requests and replies of the routed interface."""

import dataclasses
import enum
import functools
import hashlib
import math

from mallowloft.kernel import connections

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the service interprets, in lower case.

    Attributes:
        request_id: Id of one attempt of a caller; replicas echo it.
        deadline: Milliseconds for which the sender waits.
        expected_replica: Id of the replica that may run the request.
        signature: A replica's signature of its reply.
        load: Running requests, waiting requests and slots of a replica.
        not_run: Present if a replica did not run the request.
        signatures: Signatures of the parts in a gathered answer.
        missing: Number of shards missing from a gathered answer.
        leaving: Present in all replies of a replica that is about to end.
        retry_after: Time for which a replica that refused a request wants no
            other.
        rate_limit: Requests per second that a replica accepts from all
            instances together.
        cold: Milliseconds for which a replica is still cold.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    expected_replica: bytes = b"x-replica-id"
    signature: bytes = b"x-signature"
    load: bytes = b"x-load"
    not_run: bytes = b"x-not-run"
    signatures: bytes = b"x-part-signatures"
    missing: bytes = b"x-missing-parts"
    leaving: bytes = b"x-leaving"
    retry_after: bytes = b"retry-after"
    rate_limit: bytes = b"x-rate-limit"
    cold: bytes = b"x-cold-ms"


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A replica of a service.

    Attributes:
        cold_s: For how long after the replica was listed it is still slow
            because it started recently.
        started: Number that distinguishes restarts with the same id; 0 if
            unknown.
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
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return (self.host, self.port)

    @property
    def key(self) -> tuple[str, str, int, str, int]:
        """Identity of one start of a replica at one address."""
        return (self.id, self.service, self.started, self.host, self.port)

    @property
    def start_name(self) -> str:
        """Name of one start of the replica, the same on all instances."""
        return f"{self.id}@{self.started}" if self.started else self.id


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service of a route and its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule for requests with one host and path prefix.

    Attributes:
        targets: Services that share the requests, empty if there are shards.
        shards: Services that each hold one part of every answer.
        timeout_s: Time after which a request fails.
        objective_s: Latency objective; later answers are worth less.
        max_attempts: Maximum number of replicas for one request, per shard.
        rank: Priority; 0 is the most urgent.
        top_records: Maximum number of records in a gathered answer.
        min_coverage: Minimum share of shards in a successful answer.
        home_regions: Regions whose replicas may serve the requests; empty for
            all.
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
    # It is no part of `repr`, so that the digest of a route without homes is
    # the same as in builds that do not know the field.
    home_regions: tuple[str, ...] = dataclasses.field(default=(), repr=False)

    def names(self, service: str) -> bool:
        """Whether a service is one of the targets."""
        return any(target.service == service for target in self.targets)

    @property
    def needed_shards(self) -> int:
        """Minimum number of shards in a successful answer."""
        # Rounding errors may put the product just above a whole number.
        return max(1, math.ceil(self.min_coverage * len(self.shards) - 1e-9))


@functools.lru_cache(maxsize=64)
def digest(route: Route) -> str:
    """Returns a digest that is equal on instances with the same route."""
    text = repr(route)
    if route.home_regions:
        text += repr(route.home_regions)
    return hashlib.blake2s(text.encode(), digest_size=8).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers' requests and idle connections."""

    max_body_bytes: int = 1 << 20
    connection: connections.ConnectionLimits = connections.ConnectionLimits(
        idle_timeout_s=15.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """What replicas of a service tolerate after their start.

    Attributes:
        start_s: How long a replica is cold after its start, seconds.
        per_s: Requests per second that a cold replica tolerates from all
            instances together; 0 for no limit.
    """

    start_s: float = 0.0
    per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """One version of the route table.

    Attributes:
        max_connections_by_service: Connections that one replica accepts from
            all callers together.
        cold_starts: What cold replicas tolerate, by service.
    """

    version: int
    routes: tuple[Route, ...]
    max_connections_by_service: dict[str, int]
    limits: Limits = Limits()
    cold_starts: dict[str, ColdStart] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller in the form that is forwarded.

    Attributes:
        target: Path and query as received.
        headers: Headers that are forwarded unchanged.
    """

    id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A replica's complete reply.

    Attributes:
        not_run: Whether the replica states that it did not run the request.
        waiting: Number of requests waiting at the replica.
        leaving: Whether the replica states that it is about to end.
        pause_s: For how long the replica wants no further request after a
            refusal; None if it does not state a time.
        limit_per_s: Requests per second that the replica accepts from all
            instances together; None if it does not state a limit.
        cold_s: For how long the replica is still cold; 0 if it does not say so.
        running: Number of requests running at the replica.
    """

    status: int
    headers: Headers
    body: bytes
    signature: bytes = b""
    not_run: bool = False
    waiting: int = 0
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    cold_s: float = 0.0
    running: int = 0

    @property
    def success(self) -> bool:
        """Whether it is a signed 2xx reply."""
        return 200 <= self.status < 300 and bool(self.signature)


class Failure(enum.StrEnum):
    """Reason why an attempt has no usable reply.

    Except after UNSENT, the replica may have run the request. No attempt ends
    with ABANDONED at present; it is kept as a metric label.
    """

    UNSENT = "unsent"
    BROKEN = "broken"
    MALFORMED = "malformed"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to the caller.

    Attributes:
        reason: Reason for a refusal or a failure; empty for a replica's reply
            and for a gathered answer.
        missing: Number of shards missing from the answer.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    reason: str = ""
    missing: int = 0


def refusal(reason: str, retry_after_s: float, status: int = 503) -> Answer:
    """Returns a refusal: this instance had no replica run the request.

    If the request was sent before, by the caller or another instance, a replica
    may have run it then.
    """
    return Answer(
        status,
        ((b"retry-after", f"{retry_after_s:.3f}".encode()),),
        reason.encode(),
        reason,
    )


def failure(status: int, reason: str) -> Answer:
    """Returns an error answer.

    It does not promise that the request did not run.
    """
    return Answer(status, (), reason.encode(), reason)
