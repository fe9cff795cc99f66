"""Decides whether a request may have run, and when it may be repeated.

A refusal promises the caller that no replica has run the request and none will.
An attempt counts as possibly run unless it ended unsent, was never written to a
connection, or its reply says that it was not run. A status alone does not say
so: replicas also fail with a status that refuses.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Protocol

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model

# Used if no replica is expected to be usable; a new one is listed within one to
# two seconds of its start.
_UNKNOWN_RETRY_AFTER_S = 0.5
_MIN_RETRY_AFTER_S = 0.02
# Statuses with which an answer promises that the request has not run and will
# not run: request timeout, misdirected request, too many requests, and service
# unavailable.
_PROMISING_STATUSES = frozenset((408, 421, 429, 503))


class Attempt(Protocol):
    """An attempt in flight, at a replica, a collector or a gatherer."""

    @property
    def sent(self) -> bool:
        """Whether the request was written to a connection."""


def may_have_run(outcome: model.Reply | model.Failure) -> bool:
    """Whether a replica may have run an attempt that ended so."""
    if isinstance(outcome, model.Failure):
        return outcome is not model.Failure.UNSENT
    return not outcome.not_run


def is_unconfirmed_refusal(reply: model.Reply) -> bool:
    """Whether a reply refuses by its status, but may have been run."""
    return reply.status in _PROMISING_STATUSES and not reply.not_run


def promises_not_run(answer: model.Answer) -> bool:
    """Whether an answer promises that the request was not run."""
    return answer.status in _PROMISING_STATUSES


def any_sent(in_flight: Iterable[Attempt]) -> bool:
    """Whether a replica may have run an attempt that is still in flight."""
    return any(attempt.sent for attempt in in_flight)


def retry_after_s(
    directory: directory_lib.Directory,
    services: Sequence[str],
    needed: int,
    median_s: float,
    now_s: float,
) -> float:
    """Returns after how many seconds enough services should have a free slot.

    Args:
        directory: The known replicas.
        services: The services that the request needs parts of.
        needed: How many of them are enough.
        median_s: Median duration of an attempt.
        now_s: Current loop time.
    """
    waits_s = sorted(
        min(
            (
                entry.usable_in_s(now_s)
                + median_s * entry.health.waiting / max(1, entry.replica.slots)
                for entry in directory.entries(service)
            ),
            default=math.inf,
        )
        for service in services
    )
    wait_s = waits_s[needed - 1]
    if math.isinf(wait_s):
        return _UNKNOWN_RETRY_AFTER_S
    return max(_MIN_RETRY_AFTER_S, median_s + wait_s)
