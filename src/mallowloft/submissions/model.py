"""Submissions and their possible outcomes."""

import dataclasses
import hashlib

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Submission:
    """One validated non-idempotent request of a caller.

    A copy is one transmission of a submission; all copies carry the same key.

    Attributes:
        request_id: Request id in logs and answers.
        key: Idempotency key issued by an instance.
        first_send: Whether the caller declares that it never sent this key
            before and sends no other copy while it waits for this one.
        deadline_ms: Time allowed, in milliseconds from receipt.
    """

    request_id: str
    team: str
    key: str
    service: str
    shard: str
    body: bytes
    rank: int
    deadline_ms: float
    first_send: bool

    @property
    def digest(self) -> bytes:
        """Digest of the fields that must be equal in all copies."""
        return digest(self.team, self.service, self.shard, self.body)


def digest(team: str, service: str, shard: str, body: bytes) -> bytes:
    """Returns the digest that binds a key to one submission."""
    state = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), service.encode(), shard.encode(), body):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


@dataclasses.dataclass(frozen=True)
class Done:
    """The submission ran once.

    Retries get the same reply until it is evicted or the key expires.
    """

    reply: bytes


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The submission did not run: no copy sent so far ran or will run."""

    reason: str
    retry_after_ms: float


@dataclasses.dataclass(frozen=True)
class Mismatch(NotRun):
    """The key belongs to a different submission, or is not a valid key.

    This request did not and will not run. The outcome implies nothing about
    the submission that the key belongs to.
    """


@dataclasses.dataclass(frozen=True)
class Unknown:
    """It is not known whether the submission ran.

    Attributes:
        this_copy_ran: False if this copy of the request certainly did not and
            will not run, None if that is not known.
    """

    reason: str
    this_copy_ran: bool | None
    retry_after_ms: float


Outcome = Done | NotRun | Unknown
