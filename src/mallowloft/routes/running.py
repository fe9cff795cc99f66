"""What running requests share."""

import abc
import asyncio
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import selection

# Replicas are listed within a second or two after they have started.
RETRY_NO_REPLICA_S = 0.5


class Context(Protocol):
    """Parts of the service that running requests use."""

    names: model.HeaderNames
    directory: directory_lib.Directory
    selector: selection.Selector
    sender: attempts_lib.Sender

    def extra(self, service: str) -> limits.ExtraAttempts:
        """Returns the allowance of a service for extra attempts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One accepted request.

    Attributes:
        waited_s: How long its caller waited in earlier attempts.
        end_s: Loop time of the final answer at the latest.
    """

    route: model.Route
    outgoing: attempts_lib.Outgoing
    latency: limits.RouteLatency
    started_s: float
    waited_s: float
    end_s: float


class Work(abc.ABC):
    """Attempts of one request until its answer is known.

    Attributes:
        done: The answer; cancelled if the caller has left.
        hedges: Attempts that were sent beside late ones.
        retries: Attempts that were sent after failed ones.
        denied: Attempts that the allowance did not permit.
    """

    def __init__(self, context: Context, run: Run) -> None:
        self._context = context
        self._run = run
        self._route = run.route
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.done: asyncio.Future[model.Answer] = self._loop.create_future()
        self.hedges = 0
        self.retries = 0
        self.denied = 0

    @abc.abstractmethod
    def start(self) -> None:
        """Sends the first attempts."""

    @abc.abstractmethod
    def describe(self) -> dict[str, object]:
        """Returns what decided the answer, for the log."""

    @abc.abstractmethod
    def _attempts(self) -> Iterable[attempts_lib.Attempt]:
        """Returns the attempts without a reply."""

    def cancel(self) -> None:
        """Stops because the caller has left."""
        self._release()
        if not self.done.done():
            self.done.cancel()

    def _finish(self, answer: model.Answer) -> None:
        self._release()
        if not self.done.done():
            self.done.set_result(answer)

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for attempt in self._attempts():
            attempt.release()


def describe(outcome: attempts_lib.Outcome) -> str:
    """Returns a failed outcome as one word."""
    if isinstance(outcome, model.Failure):
        return outcome.value
    if outcome.not_run:
        return f"not_run_{outcome.status}"
    return f"status_{outcome.status}"


def take_hedge(
    extra: limits.ExtraAttempts,
    late: Iterable[attempts_lib.Attempt],
    now_s: float,
) -> bool:
    """Takes an extra attempt beside late ones if the allowance has one.

    Args:
        extra: Allowance of the service.
        late: Attempts without a reply.
        now_s: Current time.
    """
    if any(attempt.entry.health.stalled(now_s) for attempt in late):
        return extra.take_retry()
    return extra.take_hedge()
