"""Base class, data and helpers of running requests."""

import abc
import asyncio
from collections.abc import Iterable
import dataclasses
import math
from typing import Protocol

from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import batching
from mallowloft.routes import crashes as crashes_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import selection
from mallowloft.routes import timing
from mallowloft.routes.placement import outcomes

# Retry-after of requests without a usable replica. A new replica is listed
# within one to two seconds of its start.
NO_REPLICA_RETRY_AFTER_S = 0.5
# Reason for refusing a request whose replicas are in evacuated failure domains.
EVACUATED = "evacuated"
# Reason for refusing a request that a stopping instance would not finish.
STOPPING = "stopping"
# Reason for failing a request that may run once, although the replica's status
# refuses it: nothing else shows that it has not run.
UNCONFIRMED_REFUSAL = "unconfirmed_refusal"
# Shortest retry-after: replicas that were all tried may accept a further
# attempt after about the duration of one request.
MIN_RETRY_AFTER_S = 0.02


class Admission(Protocol):
    """Limits how many requests run at once."""

    def admit(
        self,
        task: "RequestTask",
        request_context: "RequestContext",
        services: tuple[str, ...],
    ) -> "RequestTask":
        """Returns a task that runs `task` once it is admitted."""


class Context(Protocol):
    """Parts of the service that all running requests share."""

    names: model.HeaderNames
    directory: directory_lib.Directory
    selector: selection.Selector
    sender: attempts_lib.Sender
    crashes: crashes_lib.CrashRegistry
    response_delays: timing.ResponseDelays
    batch_overheads: batching.Overheads
    admission: Admission
    # Largest number of shards of another failure domain whose replicas are
    # called directly.
    collect_above: float

    def current_route(self, route: model.Route) -> model.Route | None:
        """Returns a route as configured now, None if it was removed."""

    def choose_service(self, route: model.Route) -> str:
        """Chooses the service for a request of a current route."""

    def choose_collectors(
        self, failure_domain: str, count: int
    ) -> list[directory_lib.ReplicaEntry]:
        """Returns up to `count` healthy collectors of a failure domain."""

    def extra_attempts(self, service: str) -> limits.ExtraAttemptBucket:
        """Returns the token bucket for extra attempts at a service."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """One accepted request.

    Attributes:
        answer_by_s: Loop time by which an answer must be written to meet the
            objective.
        end_s: Loop time of the deadline for the final answer.
        caller: Address of the caller; empty if it is unknown.
    """

    route: model.Route
    outgoing: attempts_lib.OutgoingRequest
    latency: limits.RouteLatency
    started_s: float
    answer_by_s: float
    end_s: float
    caller: str = ""


class RequestTask(abc.ABC):
    """A running request with its attempts.

    Attributes:
        done: Future of the answer; cancelled if the caller has disconnected.
        finished_s: Loop time at which the answer was decided.
        hedges: Number of attempts sent while a late one was in flight.
        retries: Number of attempts sent after a failed one. Includes first
            attempts if another instance may have queried the replicas already.
        denied: Number of extra attempts refused by the token bucket.
    """

    def __init__(
        self, context: Context, request_context: RequestContext
    ) -> None:
        self._context = context
        self._request_context = request_context
        self._route = request_context.route
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.done: asyncio.Future[model.Answer] = self._loop.create_future()
        self.finished_s = 0.0
        self.hedges = 0
        self.retries = 0
        self.denied = 0

    def start(self) -> None:
        """Sends the first attempts; refuses requests that crash replicas."""
        refused_for_s = self._refused_for_s()
        if refused_for_s:
            self._finish(model.refusal("crashes_replicas", refused_for_s))
            return
        self._start()

    @abc.abstractmethod
    def _start(self) -> None:
        """Sends the first attempts."""

    @abc.abstractmethod
    def describe(self) -> dict[str, object]:
        """Returns the log fields that explain the answer."""

    @abc.abstractmethod
    def _attempts(self) -> Iterable[attempts_lib.Attempt]:
        """Returns the attempts in flight."""

    def _refused_for_s(self) -> float:
        """Returns for how long the request is refused, 0 if it is not."""
        crashes = self._context.crashes
        if crashes.is_empty:
            return 0.0
        return crashes.refused_for_s(
            self._request_context.outgoing.fingerprint, self._loop.time()
        )

    def _allows(self, entry: directory_lib.ReplicaEntry) -> bool:
        """Whether the route allows a replica, now and when it was chosen."""
        domain = entry.replica.failure_domain
        homes = self._context.directory.homes
        current = self._context.current_route(self._route)
        return homes.allows(self._route, domain) and (
            current is None or homes.allows(current, domain)
        )

    def refuse(self, refusal: model.Answer) -> None:
        """Ends a request that has not been started."""
        self._finish(refusal)

    def expire(self) -> None:
        """Ends the request now as if its deadline had passed."""
        if not self.done.done():
            self._finish(self._expired_answer())

    @abc.abstractmethod
    def _expired_answer(self) -> model.Answer:
        """Returns the answer at the deadline."""

    def cancel(self) -> None:
        """Stops the request if it is still running.

        For example, the caller may have disconnected.
        """
        self._release(may_listen=False)
        if not self.done.done():
            self.done.cancel()

    def _finish(self, answer: model.Answer) -> None:
        """Ends the request; passes on no promise that a replica may break.

        Own refusals have a reason, and are given only if nothing has run.
        Replicas' replies have none, also if another instance passed them on.
        """
        if (
            not self._route.idempotent
            and not answer.reason
            and outcomes.promises_not_run(answer)
        ):
            answer = model.failure(502, UNCONFIRMED_REFUSAL)
        self._release()
        if not self.done.done():
            self.finished_s = self._loop.time()
            self.done.set_result(answer)

    def _release(self, may_listen: bool = True) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for attempt in self._attempts():
            attempt.release(may_listen)


def refuse_unusable(
    usable_in_s: float, reason: str = "no_replica"
) -> model.Answer:
    """Returns the refusal of a request that no replica accepts now.

    Args:
        usable_in_s: Time until enough replicas accept requests again; infinite
            if that is unknown.
        reason: Reason unless the replicas only want a pause.
    """
    if math.isinf(usable_in_s):
        return model.refusal(reason, NO_REPLICA_RETRY_AFTER_S)
    if not usable_in_s:
        return model.refusal(reason, MIN_RETRY_AFTER_S)
    return model.refusal("replicas_paused", usable_in_s)


def was_withheld(
    attempt: attempts_lib.Attempt | batching.Attempt,
    outcome: attempts_lib.Outcome,
) -> bool:
    """Whether an attempt was not sent because that was not allowed any more.

    It then counts neither as an attempt nor as an extra one, and its replica
    may be chosen again.
    """
    return outcome is model.Failure.UNSENT and (
        attempt.withheld or attempt.entry.evacuated
    )


def outcome_label(outcome: attempts_lib.Outcome) -> str:
    """Returns a label for the outcome of an attempt."""
    if isinstance(outcome, model.Failure):
        return outcome.value
    if outcome.not_run:
        return f"not_run_{outcome.status}"
    return f"status_{outcome.status}"


def take_hedge(
    extra: limits.ExtraAttemptBucket,
    late: Iterable[attempts_lib.Attempt],
    now_s: float,
) -> bool:
    """Takes a token for a hedge.

    If a late attempt has stalled, the hedge may use the tokens that are
    reserved for such attempts and may overdraw the bucket.

    Args:
        extra: Token bucket of the service.
        late: Attempts whose replies are overdue.
        now_s: Current loop time.

    Returns:
        Whether the hedge is allowed.
    """
    if any(attempt.entry.health.stalled(now_s) for attempt in late):
        return extra.take_retry()
    return extra.take_hedge()
