"""Forwarding of one request to a single replica of a service."""

import math

from mallowloft.callers import connection_headers
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.routes import selection
from mallowloft.routes.placement import outcomes


class Forwarding(running.RequestTask):
    """Forwards a request to one replica, with retries and hedges where safe.

    A request that is not idempotent is retried only if no earlier replica has
    run it or can still run it.
    """

    def __init__(
        self,
        context: running.Context,
        request_context: running.RequestContext,
        service: str,
        previous_attempts: int = 0,
    ) -> None:
        """Creates a request that has not been started.

        Args:
            context: Parts of the service that all running requests share.
            request_context: The request.
            service: The service that serves it.
            previous_attempts: How many attempts other instances may have sent
                already. If there are any, the first attempt also takes a token
                for an extra attempt.
        """
        super().__init__(context, request_context)
        self._service = service
        self._repeated = previous_attempts > 0
        self._max_attempts = max(
            1, request_context.route.max_attempts - previous_attempts
        )
        self._tried: list[directory_lib.ReplicaEntry] = []
        # Attempts that ended before they were sent. They have not run, so the
        # limit of the route does not count them.
        self._unsent = 0
        self._in_flight: list[attempts_lib.Attempt] = []
        self._may_have_run = False
        self._outcomes: list[str] = []

    def _start(self) -> None:
        extra = self._context.extra_attempts(self._service)
        if not self._repeated:
            extra.refill(self._loop.time())
        entry = self._choose_next(healthy_only=False, first=True)
        reason = self._context.selector.reason
        if entry is None:
            self._finish(
                running.refuse_unusable(
                    self._usable_in_s(),
                    running.EVACUATED if self._evacuated else "no_replica",
                )
            )
            return
        if self._repeated:
            if not extra.take_retry():
                self.denied += 1
                self._finish(model.failure(502, "denied"))
                return
            self.retries += 1
        self._send(entry, reason)
        if not self.done.done():
            self._schedule_timer()

    def describe(self) -> dict[str, object]:
        """Returns the log fields that explain the answer."""
        return {
            "service": self._service,
            "sent": len(self._tried),
            "hedges": self.hedges,
            "retries": self.retries,
            "denied": self.denied,
            "replicas": ",".join(entry.replica.id for entry in self._tried),
            "outcomes": ",".join(self._outcomes),
        }

    def _choose_next(
        self, healthy_only: bool, first: bool = False
    ) -> directory_lib.ReplicaEntry | None:
        used_attempts = len(self._tried) - self._unsent
        if used_attempts >= self._max_attempts or self._refused_for_s():
            return None
        if self._loop.time() >= self._request_context.end_s:
            return None
        current = self._context.current_route(self._route)
        if current is None or not current.targets:
            return None
        if not current.names(self._service):
            # The configuration has moved the route.
            self._service = self._context.choose_service(current)
        entries = self._context.directory.entries_for(
            self._route, self._service
        )
        if current is not self._route:
            entries = [entry for entry in entries if self._allows(entry)]
        return self._context.selector.choose(
            entries,
            self._loop.time(),
            self._tried,
            healthy_only,
            self._request_context.latency,
            self._route.rank if first else None,
        )

    def _allows(self, entry: directory_lib.ReplicaEntry) -> bool:
        current = self._context.current_route(self._route)
        return (
            current is not None
            and current.names(entry.replica.service)
            and super()._allows(entry)
        )

    def _usable_in_s(self) -> float:
        """Returns the time until a replica of the service accepts requests."""
        now_s = self._loop.time()
        return min(
            (
                entry.usable_in_s(now_s)
                for entry in self._context.directory.entries_for(
                    self._route, self._service
                )
            ),
            default=math.inf,
        )

    @property
    def _evacuated(self) -> bool:
        """Whether replicas of the service are evacuated."""
        return bool(
            reach.count_evacuated(
                (self._service,), self._context.directory, self._loop.time()
            )
        )

    def _send(self, entry: directory_lib.ReplicaEntry, reason: str) -> None:
        self._tried.append(entry)
        attempt = self._context.sender.start(
            entry,
            self._request_context.outgoing,
            self._request_context.end_s,
            self._request_context.latency,
            self._on_end,
            reason,
            self._allows,
        )
        if attempt.pending:
            self._in_flight.append(attempt)

    def _on_end(
        self, attempt: attempts_lib.Attempt, outcome: attempts_lib.Outcome
    ) -> None:
        if attempt in self._in_flight:
            self._in_flight.remove(attempt)
        withheld = running.was_withheld(attempt, outcome)
        if withheld:
            self._tried.remove(attempt.entry)
        if self.done.done():
            return
        elapsed_ms = (self._loop.time() - attempt.started_s) * 1000
        self._outcomes.append(
            f"{attempt.entry.replica.id}:{running.outcome_label(outcome)}"
            f"@{elapsed_ms:.1f}ms"
        )
        if outcomes.may_have_run(outcome):
            self._may_have_run = True
        elif outcome is model.Failure.UNSENT and not withheld:
            self._unsent += 1
        is_final = isinstance(outcome, model.Reply) and not outcome.not_run
        if is_final and (outcome.status < 500 or not self._route.idempotent):
            self._finish(self._replica_answer(outcome))
            return
        if self._in_flight:
            if withheld:
                # The hedge is replaced, since it has taken its token.
                self._send_retry(outcome)
            return
        if not self._send_retry(outcome):
            self._finish(self._final_answer(outcome))

    def _send_retry(self, outcome: attempts_lib.Outcome) -> bool:
        if self._may_have_run and not self._route.idempotent:
            return False
        entry = self._choose_next(healthy_only=False)
        if entry is None:
            return False
        unsent = outcome is model.Failure.UNSENT
        if (
            not unsent
            and not self._context.extra_attempts(self._service).take_retry()
        ):
            self.denied += 1
            return False
        self.retries += 1
        self._send(entry, selection.RETRY)
        return True

    def _final_answer(self, outcome: attempts_lib.Outcome) -> model.Answer:
        if isinstance(outcome, model.Reply) and not outcome.not_run:
            return self._replica_answer(outcome)
        if self._may_have_run:
            return model.failure(502, "replica_failed")
        if not self._tried:
            return running.refuse_unusable(
                self._usable_in_s(),
                running.EVACUATED if self._evacuated else "no_replica",
            )
        return self._refusal(running.outcome_label(outcome))

    def _refusal(self, reason: str) -> model.Answer:
        """Returns the refusal of a request that no replica can have run."""
        retry_after_s = outcomes.retry_after_s(
            self._context.directory,
            (self._service,),
            1,
            self._request_context.latency.median_s,
            self._loop.time(),
        )
        return model.refusal(reason, retry_after_s)

    def _replica_answer(self, reply: model.Reply) -> model.Answer:
        headers = connection_headers.end_to_end(reply.headers)
        if not self._request_context.outgoing.has_reply_body:
            # The length of the body that a GET request would get.
            headers += tuple(
                item for item in reply.headers if item[0] == b"content-length"
            )
        return model.Answer(reply.status, headers, reply.body)

    @property
    def _may_hedge(self) -> bool:
        """Whether a late attempt may be hedged."""
        return self._route.idempotent and not self.hedges

    def _schedule_timer(self) -> None:
        due_s = self._request_context.end_s
        if self._may_hedge:
            hedge_s = (
                self._loop.time() + self._request_context.latency.hedge_delay_s
            )
            due_s = min(due_s, hedge_s)
        self._timer = self._loop.call_at(due_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        # The event loop may call a timer slightly early.
        if not self._may_hedge or now_s >= self._request_context.end_s:
            self._finish(self._expired_answer())
            return
        for attempt in self._in_flight:
            attempt.mark_late(now_s)
        entry = self._choose_next(healthy_only=True)
        if entry is not None:
            extra = self._context.extra_attempts(self._service)
            if running.take_hedge(extra, self._in_flight, now_s):
                self.hedges += 1
                self._send(entry, selection.HEDGE)
            else:
                self.denied += 1
        if not self.done.done():
            self._schedule_timer()

    def _expired_answer(self) -> model.Answer:
        if self._may_have_run or outcomes.any_sent(self._in_flight):
            return model.failure(504, "replica_late")
        return self._refusal("not_sent")

    def _attempts(self) -> list[attempts_lib.Attempt]:
        return self._in_flight
