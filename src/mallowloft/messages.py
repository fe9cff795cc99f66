"""Messages between instances and their codec.

Messages are frozen msgspec structs rather than data classes: the codec needs
them for tagged unions, and array-like encoding costs about a third per item.
Times in messages are durations or readings of the named instance's own clock;
clocks of two instances are never compared.
"""

import enum
from typing import Any

import msgspec
import result

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 << 20
# Largest content of one message; leaves room for the rest of the frame.
MAX_CONTENT_BYTES = MAX_FRAME_BYTES // 2


class Message(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=lambda name: name,
):
    """Base of all peer messages."""


# Sequence of a ping that only announces its sender and is not answered.
HEARTBEAT = 0


class Ping(Message):
    """Asks whether a peer is alive; `sent_s` is the sender's clock.

    Attributes:
        sequence: Number that the answer repeats; `HEARTBEAT` asks for none.
        config_digest: 16-byte hash of the sender's accepted configuration.
        failure_domain: The sender's own, for receivers that do not know it.
    """

    sequence: int
    sent_s: float
    config_digest: bytes
    failure_domain: str


class Pong(Message):
    """Answers a ping."""

    sequence: int
    sent_s: float
    config_digest: bytes
    ready: bool


class Leaving(Message):
    """The sender stops gracefully and takes no new work.

    Attributes:
        ledger_successor: Instance that gets the outcomes of its keys, or "".
    """

    ledger_successor: str


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """What an instance believes of one member."""

    instance: str
    failure_domain: str
    address: str
    incarnation: int
    state: str


class MembershipDigest(Message):
    """Members as the sender sees them.

    Attributes:
        members: Members the sender has evidence of or read from the list.
        unlisted: Instances that the platform's list no longer names.
        relay_to: Instances to which the receiver passes the message on.
    """

    members: tuple[MemberState, ...]
    unlisted: tuple[str, ...]
    relay_to: tuple[str, ...]


class MembershipRequest(Message):
    """Asks for all members the receiver knows."""


class Suspected(Message):
    """Instances that left pings of the sender unanswered.

    The receiver probes them itself before it believes the sender.

    Attributes:
        incarnations_by_id: Incarnation of each suspected instance.
        relay_to: Instances to which the receiver passes the message on.
    """

    incarnations_by_id: dict[str, int]
    relay_to: tuple[str, ...]


class UpstreamLeaving(Message):
    """Replicas that must get no new work."""

    replicas: tuple[str, ...]


class Document(msgspec.Struct, frozen=True, array_like=True):
    """One configuration document; `value` is None for a deletion."""

    path: str
    revision: int
    value: Any


class ConfigDigest(Message):
    """State of the sender's accepted configuration.

    Attributes:
        round: Number of the question, repeated by its answer.
        digest: 16-byte hash of all accepted subtrees.
        loaded: Whether the sender has once taken a whole configuration.
        full: Whether `versions_by_subtree` is filled in.
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
    """The whole content of one subtree at a revision."""

    subtree: str
    revision: int
    documents: tuple[Document, ...]


class ConfigSubtrees(Message):
    """Accepted subtrees; the receiver validates them itself.

    Attributes:
        relay_to: Instances to which the receiver passes the message on.
    """

    subtrees: tuple[ConfigSubtree, ...]
    relay_to: tuple[str, ...]


class SubRequest(Message):
    """Asks a dispatcher to query one replica for some shards.

    Attributes:
        attempt: Number of the attempt, unique within the sender incarnation.
        request: Identifier of the caller's request.
        replica: The replica to call.
        shards: Shards wanted from it.
        index_version: Pinned version; no other may be answered.
        rank: Rank of the priority class, 0 is the highest.
        remaining_ms: Time left for the attempt.
        hedge: Whether this is a hedge of a running attempt.
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
    """How an attempt of a sub-request ended."""

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
    """Ends one attempt.

    Attributes:
        results: Answer of each shard, JSON.
        versions: Index versions the replica can serve, empty if unknown.
        queue_delay_ms: Time a new request of the same class would wait.
        service_ms: Time the replica took, 0 if it was not called.
        retry_after_ms: When a refused request may be tried again.
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
    """Tells an entry that attempts were not started within its hedge delay.

    The entry does not hedge attempts that wait in a queue.
    """

    attempts: tuple[int, ...]
    queue_delay_ms: float


class Cancel(Message):
    """Cancels attempts of the sender."""

    attempts: tuple[int, ...]


class SubmitOpen(Message):
    """Asks the issuer of a key for a ticket to run it, or for its outcome.

    Attributes:
        exchange: Number of the sender's copy, unique among its incarnations.
        digest: Digest of team, service, shard and body, so that the outcome
            of a key is never given to a different submission.
    """

    exchange: int
    key: str
    team: str
    digest: bytes


class SubmitTicket(Message):
    """Allows one `SubmitGo` until `ticket` expires on the issuer's clock."""

    exchange: int
    ticket: int


class SubmitGo(Message):
    """Hands the submission to the issuer.

    Attributes:
        remaining_ms: Time left, counted by the issuer from the issue of the
            ticket.
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

    MISMATCH refuses a key that belongs to a different submission. EXPIRED
    means that the key never runs any more and that no record of it is left.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    EXPIRED = "expired"


class SubmitOutcome(Message):
    """Answers `SubmitOpen` or `SubmitGo`.

    Attributes:
        final: Whether to stop waiting. An unknown outcome that is not final
            says that the submission is running.
    """

    exchange: int
    state: SubmitState
    reason: str
    reply: bytes
    final: bool
    retry_after_ms: float


class SlotReserve(Message):
    """Asks a dispatcher for a slot of a replica for one submission."""

    attempt: int
    request: str
    replica: str
    rank: int
    remaining_ms: float


class SlotReady(Message):
    """A slot is held until the ticket expires on the dispatcher's clock.

    Attributes:
        doubtful: Whether a submission to this replica recently ended without
            a known outcome or is overdue, so that another replica is better.
    """

    attempt: int
    ticket: int
    doubtful: bool = False


class SlotGo(Message):
    """Uses the held slot; after this message the submission may run."""

    attempt: int
    ticket: int
    request: str
    shard: str
    body: bytes
    remaining_ms: float


class SlotRelease(Message):
    """Gives a reservation or a held slot back."""

    attempt: int


class SlotState(enum.StrEnum):
    """How a reservation ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    SHED = "shed"
    MAYBE_RUN = "maybe_run"


class SlotOutcome(Message):
    """Ends a reservation."""

    attempt: int
    state: SlotState
    reason: str
    reply: bytes
    retry_after_ms: float


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Final outcome of one key.

    Attributes:
        digest: Digest of the submission that the key belongs to.
    """

    key: str
    digest: bytes
    state: SubmitState
    reason: str
    reply: bytes


class LedgerHandover(Message):
    """A part of the final ledger of an incarnation that runs no key any more.

    Attributes:
        instance: Instance that issued the keys.
        incarnation: Its incarnation.
        first_sequence: Keys with a lower sequence number have expired. Any
            other key that no part lists never ran.
        lifetime_s: How long the outcomes are of use.
    """

    instance: str
    incarnation: int
    part: int
    parts: int
    first_sequence: int
    lifetime_s: float
    entries: tuple[LedgerEntry, ...]


class LedgerReceived(Message):
    """Answers a handover once.

    Attributes:
        accepted: Whether all parts have arrived and are kept; False if the
            receiver does not take the ledger at all.
    """

    instance: str
    incarnation: int
    accepted: bool


class LedgerHeld(Message):
    """Tells that the sender holds the final ledger of an incarnation."""

    instance: str
    incarnation: int


Any_ = (
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
        to_incarnation: Incarnation the batch is meant for, 0 if unknown. A
            restarted receiver drops what was meant for its predecessor.
        messages: The messages in sending order.
    """

    version: int
    sender: str
    incarnation: int
    address: str
    to_incarnation: int
    messages: tuple[Any_, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encodes a batch as MessagePack."""
    return _encoder.encode(envelope)


def decode(frame: bytes) -> result.Result[Envelope, str]:
    """Decodes a batch.

    Returns:
        The batch, or why the frame is not valid.
    """
    try:
        envelope = _decoder.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return result.Err(str(error))
    if envelope.version != PROTOCOL_VERSION:
        return result.Err(f"protocol version {envelope.version}")
    return result.Ok(envelope)
