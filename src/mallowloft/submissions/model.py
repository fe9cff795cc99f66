"""Submissions and their three distinct outcomes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Submission:
    """One checked non-idempotent request of a caller.

    Attributes:
        request: Identifier that logs and answers carry.
        key: Idempotency key issued by an instance.
        first_send: The caller declares that it never sent this key before.
    """

    request: str
    team: str
    key: str
    service: str
    shard: str
    body: bytes
    rank: int
    deadline_ms: float
    first_send: bool


@dataclasses.dataclass(frozen=True)
class Done:
    """The submission ran once; repeats get the same reply."""

    reply: bytes


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The submission did not run and its key never will."""

    reason: str
    retry_after_ms: float


@dataclasses.dataclass(frozen=True)
class Unknown:
    """It is not known whether the submission ran.

    Attributes:
        this_copy_ran: False if this copy of the request certainly did not and
            will not run, None if that is not known either.
    """

    reason: str
    this_copy_ran: bool | None
    retry_after_ms: float


Outcome = Done | NotRun | Unknown
