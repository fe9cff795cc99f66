"""Messages between instances and their codec.

Messages are frozen msgspec structs rather than dataclasses, because msgspec
supports tagged unions only of structs, and because encoding an array-like
struct takes about a third of the time of encoding a dataclass.

A time in a message is either a duration or a reading of the clock of one
instance, which the field's description names. Clock readings of different
instances are never compared.
"""

import enum
from typing import Any

import msgspec
import result

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 << 20
# Limit for the variable-size content of one message. The rest of the frame is
# left for the other fields and the envelope.
MAX_CONTENT_BYTES = MAX_FRAME_BYTES // 2


class Message(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    # The tag of a message is the name of its class.
    tag=lambda name: name,
):
    """Base class of all messages between instances."""


# Sequence number of a ping that only shows that its sender is alive. The
# receiver does not answer it.
HEARTBEAT = 0


class Ping(Message):
    """Asks whether a peer is alive.

    Attributes:
        sequence: Number that the answer repeats, or `HEARTBEAT` if the ping is
            not answered.
        sent_s: Time of sending on the sender's clock.
        config_digest: 16-byte hash of the sender's accepted configuration.
        failure_domain: Failure domain of the sender, for receivers that do not
            know the sender yet.
    """

    sequence: int
    sent_s: float
    config_digest: bytes
    failure_domain: str


class Pong(Message):
    """Answers a ping.

    Attributes:
        sequence: Sequence number of the ping.
        sent_s: `sent_s` of the ping, a time on the clock of the ping's sender.
        config_digest: 16-byte hash of the sender's accepted configuration.
        ready: Whether the sender is ready to serve requests.
    """

    sequence: int
    sent_s: float
    config_digest: bytes
    ready: bool


class Leaving(Message):
    """Announces that the sender shuts down gracefully and must get no new work.

    Attributes:
        ledger_successor: Instance to which the sender hands over the outcomes
            of the submission keys that the sender issued, or "".
    """

    ledger_successor: str


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """State of one member as seen by one instance.

    `state` is one of the states in `membership.view`: "listed", "live",
    "suspect" or "leaving".
    """

    instance: str
    failure_domain: str
    address: str
    incarnation: int
    state: str


class MembershipDigest(Message):
    """Reports some or all members as seen by the sender.

    Attributes:
        members: Members that the sender has heard from or has read from the
            platform's list.
        unlisted: Instances that are no longer on the platform's list.
        relay_to: Instances to which the receiver forwards the message.
    """

    members: tuple[MemberState, ...]
    unlisted: tuple[str, ...]
    relay_to: tuple[str, ...]


class MembershipRequest(Message):
    """Asks for all members that the receiver knows."""


class Suspected(Message):
    """Reports instances that did not answer the sender's pings.

    The receiver pings these instances itself before it treats them as failed.

    Attributes:
        incarnations_by_id: Incarnation of each suspected instance.
        relay_to: Instances to which the receiver forwards the message.
    """

    incarnations_by_id: dict[str, int]
    relay_to: tuple[str, ...]


class UpstreamLeaving(Message):
    """Announces replicas that shut down and must get no new calls."""

    replicas: tuple[str, ...]


class Document(msgspec.Struct, frozen=True, array_like=True):
    """One configuration document.

    Attributes:
        path: Path of the document.
        revision: Revision at which the document was last changed.
        value: Content of the document, or None if it was deleted.
    """

    path: str
    revision: int
    value: Any


class ConfigDigest(Message):
    """Summarizes the sender's accepted configuration.

    Attributes:
        round: Number of the digest exchange; an answer repeats it.
        digest: 16-byte hash of all accepted subtrees.
        loaded: Whether the sender has loaded a complete configuration since it
            started.
        full: Whether this message answers another digest. The name comes from
            `versions_by_subtree`, which an answer fills in unless the two
            digests are equal.
        versions_by_subtree: Revision and content hash of each subtree.
    """

    round: int
    digest: bytes
    loaded: bool
    full: bool
    versions_by_subtree: dict[str, tuple[int, int]]


class ConfigRequest(Message):
    """Asks for the documents of subtrees."""

    subtrees: tuple[str, ...]


class ConfigSubtree(msgspec.Struct, frozen=True, array_like=True):
    """All documents of one subtree at a revision."""

    subtree: str
    revision: int
    documents: tuple[Document, ...]


class ConfigSubtrees(Message):
    """Transfers subtrees that the sender has accepted.

    The receiver validates the subtrees again.

    Attributes:
        subtrees: The subtrees with all their documents.
        relay_to: Instances to which the receiver forwards the message.
    """

    subtrees: tuple[ConfigSubtree, ...]
    relay_to: tuple[str, ...]


class SubRequest(Message):
    """Asks a dispatcher to query one replica for some shards.

    Attributes:
        attempt: Number of the attempt, unique per incarnation of the sender.
        request: Id of the caller's request.
        service: Service that the replica belongs to.
        replica: Replica to call.
        shards: Shards to query.
        index_version: Index version that the results must come from.
        rank: Rank of the priority class; 0 is the highest priority.
        remaining_ms: Time left for the attempt.
        hedge: Whether this attempt hedges an attempt that is in flight.
        query: The caller's query, JSON.
    """

    attempt: int
    request: str
    service: str
    replica: str
    shards: tuple[str, ...]
    index_version: int
    rank: int
    remaining_ms: float
    hedge: bool
    query: bytes


class Outcome(enum.StrEnum):
    """How an attempt of a sub-request ended.

    REFUSED means that the dispatcher did not accept the attempt or removed it
    from a full queue, EXPIRED that too little time was left to run it. SHED
    means that the replica reported that it did not run the call. UNREACHABLE
    means that the dispatcher does not know the replica, gets no answer from it
    or could not write any byte of the request to it.
    """

    OK = "ok"
    WRONG_VERSION = "wrong_version"
    REFUSED = "refused"
    EXPIRED = "expired"
    SHED = "shed"
    DRAINING = "draining"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    TOO_LARGE = "too_large"
    CANCELLED = "cancelled"


class SubReply(Message):
    """Returns the outcome of one attempt of a sub-request.

    Attributes:
        attempt: Number of the attempt.
        replica: Replica that the attempt was for.
        outcome: How the attempt ended.
        index_version: Index version that the results come from.
        results: Result of each shard, JSON.
        versions: Index versions that the replica can serve, empty if unknown.
        queue_delay_ms: Time that a new request of the same priority class
            would wait in the dispatcher's queue.
        service_ms: Time that the replica took, 0 if it was not called.
        retry_after_ms: Time after which a refused request may be retried.
    """

    attempt: int
    replica: str
    outcome: Outcome
    index_version: int
    results: dict[str, bytes]
    versions: tuple[int, ...]
    queue_delay_ms: float
    service_ms: float
    retry_after_ms: float


class SubQueued(Message):
    """Reports attempts that still wait in the dispatcher's queue.

    The dispatcher sends this message when attempts have waited for the
    replica's mean service time, or for a fixed minimum if that is longer. The
    receiver postpones the hedges of these attempts if the delay is due to load.

    Attributes:
        attempts: Numbers of the waiting attempts.
        queue_delay_ms: Time that a new request of the same priority class
            would wait in the dispatcher's queue.
    """

    attempts: tuple[int, ...]
    queue_delay_ms: float


class Cancel(Message):
    """Cancels attempts that the sender requested."""

    attempts: tuple[int, ...]


class SubmitOpen(Message):
    """Asks the issuer of a submission key for a ticket or for the outcome.

    The issuer answers with a ticket if the submission with this key may run,
    otherwise with the outcome of the submission.

    Attributes:
        exchange: Number of this copy of the submission at the sender. The
            numbers of an incarnation start at a random value, so a number is
            unlikely to repeat one of an earlier incarnation.
        key: Submission key.
        team: Customer team that the submission belongs to.
        digest: Digest of team, service, shard and body. The issuer compares
            the digest, so that the outcome of a key is never returned for a
            different submission.
    """

    exchange: int
    key: str
    team: str
    digest: bytes


class SubmitTicket(Message):
    """Allows the receiver to send one `SubmitGo`.

    Attributes:
        exchange: `exchange` of the `SubmitOpen` message.
        ticket: Number of the ticket, which expires on the issuer's clock.
    """

    exchange: int
    ticket: int


class SubmitGo(Message):
    """Passes the submission to the issuer of its key.

    Attributes:
        exchange: `exchange` of the `SubmitOpen` message.
        ticket: Ticket that the issuer sent.
        key: Submission key.
        request: Id of the caller's request.
        team: Customer team that the submission belongs to.
        service: Service that runs the submission.
        shard: Shard that the submission is for.
        body: The caller's submission, JSON.
        rank: Rank of the priority class; 0 is the highest priority.
        remaining_ms: Time limit for the submission, counted from the time at
            which the issuer issued the ticket.
    """

    exchange: int
    ticket: int
    key: str
    request: str
    team: str
    service: str
    shard: str
    body: bytes
    rank: int
    remaining_ms: float


class SubmitState(enum.StrEnum):
    """Outcome of a submission.

    MISMATCH means that the key belongs to a different submission or was not
    issued by the instance that it names. EXPIRED means that a submission with
    this key no longer runs and that its outcome is no longer recorded.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    EXPIRED = "expired"


class SubmitOutcome(Message):
    """Answers `SubmitOpen` or `SubmitGo`.

    Attributes:
        exchange: `exchange` of the answered message.
        state: Outcome of the submission.
        reason: Explanation of the outcome.
        reply: Reply of the replica, JSON.
        final: Whether this is the last answer. The state `UNKNOWN` in an answer
            that is not final means that the submission is running.
        retry_after_ms: Time after which a submission that did not run may be
            retried.
    """

    exchange: int
    state: SubmitState
    reason: str
    reply: bytes
    final: bool
    retry_after_ms: float


class SlotReserve(Message):
    """Asks a dispatcher to reserve a slot of a replica for one submission.

    Attributes:
        attempt: Number of the attempt.
        request: Id of the caller's request.
        replica: Replica to call.
        rank: Rank of the priority class; 0 is the highest priority.
        remaining_ms: Time left for the attempt.
    """

    attempt: int
    request: str
    replica: str
    rank: int
    remaining_ms: float


class SlotReady(Message):
    """Reports that a slot is reserved for the attempt.

    Attributes:
        attempt: Number of the attempt.
        ticket: Number of the ticket. The slot is held until the ticket expires
            on the dispatcher's clock.
        doubtful: Whether a submission to this replica recently ended with an
            unknown outcome or is overdue. Another replica is preferable then.
    """

    attempt: int
    ticket: int
    doubtful: bool = False


class SlotGo(Message):
    """Sends the submission for which the slot is held.

    Once this message is sent, the submission may have run.

    Attributes:
        attempt: Number of the attempt.
        ticket: Ticket from `SlotReady`.
        request: Id of the caller's request.
        shard: Shard that the submission is for.
        body: The caller's submission, JSON.
        remaining_ms: Time limit for the call.
    """

    attempt: int
    ticket: int
    request: str
    shard: str
    body: bytes
    remaining_ms: float


class SlotRelease(Message):
    """Cancels a reservation or releases a held slot."""

    attempt: int


class SlotState(enum.StrEnum):
    """How a reservation of a slot ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    SHED = "shed"
    MAYBE_RUN = "maybe_run"


class SlotOutcome(Message):
    """Returns the outcome of a reservation.

    Attributes:
        attempt: Number of the attempt.
        state: How the reservation ended.
        reason: Explanation of the outcome.
        reply: Reply of the replica, JSON.
        retry_after_ms: Time after which a submission that did not run may be
            retried.
    """

    attempt: int
    state: SlotState
    reason: str
    reply: bytes
    retry_after_ms: float


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Final outcome of the submission with one key.

    Attributes:
        key: Submission key.
        digest: Digest of the submission that the key belongs to.
        state: Outcome of the submission.
        reason: Explanation of the outcome.
        reply: Reply of the replica, JSON.
    """

    key: str
    digest: bytes
    state: SubmitState
    reason: str
    reply: bytes


class LedgerHandover(Message):
    """Transfers a part of the final ledger of an incarnation.

    A ledger holds the outcomes of the keys that one incarnation issued. The
    ledger is final when the incarnation runs no more submissions.

    Attributes:
        instance: Instance that issued the keys.
        incarnation: Incarnation that issued the keys.
        part: Index of this part.
        parts: Number of parts.
        first_sequence: Keys with a lower sequence number have expired. A
            submission with any other key that is in none of the parts never
            ran.
        lifetime_s: How long the receiver has to keep the outcomes.
        entries: Outcomes in this part.
    """

    instance: str
    incarnation: int
    part: int
    parts: int
    first_sequence: int
    lifetime_s: float
    entries: tuple[LedgerEntry, ...]


class LedgerReceived(Message):
    """Answers a handover, once for all parts.

    Attributes:
        instance: Instance that issued the keys.
        incarnation: Incarnation that issued the keys.
        accepted: True if all parts have arrived and are kept, False if the
            receiver does not accept the ledger.
    """

    instance: str
    incarnation: int
    accepted: bool


class LedgerHeld(Message):
    """Announces that the sender holds the final ledger of an incarnation."""

    instance: str
    incarnation: int


AnyMessage = (
    Ping
    | Pong
    | Leaving
    | MembershipDigest
    | MembershipRequest
    | Suspected
    | UpstreamLeaving
    | ConfigDigest
    | ConfigRequest
    | ConfigSubtrees
    | SubRequest
    | SubReply
    | SubQueued
    | Cancel
    | SubmitOpen
    | SubmitTicket
    | SubmitGo
    | SubmitOutcome
    | SlotReserve
    | SlotReady
    | SlotGo
    | SlotRelease
    | SlotOutcome
    | LedgerHandover
    | LedgerReceived
    | LedgerHeld
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one instance to another.

    Attributes:
        version: Protocol version of the sender.
        sender: Instance id of the sender.
        incarnation: Incarnation of the sender.
        address: Address at which the sender receives messages.
        to_incarnation: Incarnation of the receiver that the batch is for, 0 if
            unknown. A receiver drops a batch for another incarnation, such as
            the one before a restart.
        messages: The messages in the order of sending.
    """

    version: int
    sender: str
    incarnation: int
    address: str
    to_incarnation: int
    messages: tuple[AnyMessage, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encodes a batch as MessagePack."""
    return _encoder.encode(envelope)


def decode(frame: bytes) -> result.Result[Envelope, str]:
    """Decodes a batch.

    Returns:
        The batch, or the reason why the frame is invalid.
    """
    try:
        envelope = _decoder.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return result.Err(str(error))
    if envelope.version != PROTOCOL_VERSION:
        return result.Err(f"unsupported protocol version {envelope.version}")
    return result.Ok(envelope)
