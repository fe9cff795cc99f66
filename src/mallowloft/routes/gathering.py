"""Scatter-gather of one request over all shards of a route."""

import dataclasses
import math

from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import merge
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running

# If more shards are late at once than the larger of these two limits, this
# instance's own link or processor is assumed to be congested. Hedges are then
# postponed until _CONGESTION_DELAY_FACTOR hedge delays after the request
# started: the link of a small instance needs that long to receive 90 parts.
_CONGESTION_MIN_LATE_SHARDS = 3
_CONGESTION_LATE_SHARE = 0.15
_CONGESTION_DELAY_FACTOR = 2.0
_CONTENT_TYPE = (b"content-type", b"application/octet-stream")


@dataclasses.dataclass(slots=True)
class _ShardState:
    """Attempts for one shard whose part has not arrived.

    Attributes:
        service: Service that holds the shard.
        tried: Replicas to which attempts were sent.
        in_flight: Attempts in flight.
        hedge_due_s: Loop time at which a hedge is considered next.
        failure: Why the last attempt failed or no first attempt was sent; empty
            if neither is the case.
    """

    service: str
    tried: list[directory_lib.ReplicaEntry] = dataclasses.field(
        default_factory=list
    )
    in_flight: list[attempts_lib.Attempt] = dataclasses.field(
        default_factory=list
    )
    hedge_due_s: float = math.inf
    failure: str = ""


class ScatterGather(running.RequestTask):
    """Queries one replica of each shard and merges the parts.

    Hedges late attempts and retries failed attempts.
    """

    def __init__(
        self,
        context: running.Context,
        request_context: running.RequestContext,
        repeated: bool = False,
    ) -> None:
        """Creates a scatter-gather request that has not been started.

        Args:
            context: Parts of the service that all running requests share.
            request_context: The request.
            repeated: Whether another instance may have queried the replicas
                already, so that first attempts also take a token for an
                extra attempt.
        """
        super().__init__(context, request_context)
        self._repeated = repeated
        previous_attempts = 1 if repeated else 0
        self._max_attempts = max(
            1, request_context.route.max_attempts - previous_attempts
        )
        self._parts: dict[str, model.Reply] = {}
        self._pending_shards: dict[str, _ShardState] = {}
        objective_s = request_context.route.objective_s
        # Loop time from which a partial answer is sent.
        self._partial_answer_s = min(
            request_context.end_s,
            request_context.answer_by_s
            - context.response_delays.merge_s(objective_s)
            - context.response_delays.write_s(objective_s),
        )
        self._timer_due_s = math.inf
        self._hedge_delay_s = request_context.latency.hedge_delay_s
        # More late shards than this at once indicate a local delay.
        self._congestion_threshold = max(
            _CONGESTION_MIN_LATE_SHARDS,
            int(_CONGESTION_LATE_SHARE * len(request_context.route.shards)),
        )
        self._congestion_end_s = (
            request_context.started_s
            + _CONGESTION_DELAY_FACTOR * self._hedge_delay_s
        )
        # Attempts in flight for pending shards.
        self._in_flight_count = 0
        # Number of shards with a reachable, usable replica.
        self._coverable_shards = 0
        self._unreachable_domains: frozenset[str] = frozenset()
        self.sent = 0

    def start(self) -> None:
        """Sends the first attempts."""
        now_s = self._loop.time()
        directory = self._context.directory
        self._unreachable_domains = directory.reach.unreachable_domains()
        self._coverable_shards = reach.count_coverable(
            self._route, directory, self._unreachable_domains
        )
        if self._coverable_shards < self._route.needed_shards:
            self._finish(
                model.refusal("not_coverable", running.NO_REPLICA_RETRY_AFTER_S)
            )
            return
        for service in self._route.shards:
            if not self._repeated:
                self._context.extra_attempts(service).refill(now_s)
            self._pending_shards[service] = _ShardState(service)
        for shard in list(self._pending_shards.values()):
            if self.done.done():
                return
            self._send_first(shard, now_s)
        if not self.done.done():
            self._finish_if_decided(now_s)
            self._schedule_timer(now_s)

    def _send_first(self, shard: _ShardState, now_s: float) -> None:
        entry = self._context.selector.choose(
            self._context.directory.entries(shard.service), now_s
        )
        if entry is None:
            shard.failure = "no_replica"
            return
        if self._repeated:
            if not self._context.extra_attempts(shard.service).take_retry():
                self.denied += 1
                shard.failure = "denied"
                return
            self.retries += 1
        self._send(shard, entry, now_s)

    def _send(
        self,
        shard: _ShardState,
        entry: directory_lib.ReplicaEntry,
        now_s: float,
    ) -> None:
        shard.tried.append(entry)
        shard.hedge_due_s = now_s + self._hedge_delay_s
        self.sent += 1
        attempt = self._context.sender.start(
            entry,
            self._request_context.outgoing,
            self._request_context.end_s,
            self._request_context.latency,
            lambda attempt, outcome: self._on_end(shard, attempt, outcome),
        )
        if attempt.pending:
            shard.in_flight.append(attempt)
            self._in_flight_count += 1

    def _on_end(
        self,
        shard: _ShardState,
        attempt: attempts_lib.Attempt,
        outcome: attempts_lib.Outcome,
    ) -> None:
        if attempt in shard.in_flight:
            shard.in_flight.remove(attempt)
            self._in_flight_count -= 1
        if self.done.done() or shard.service not in self._pending_shards:
            return
        if isinstance(outcome, model.Reply) and outcome.success:
            self._parts[shard.service] = outcome
            del self._pending_shards[shard.service]
            self._in_flight_count -= len(shard.in_flight)
            for other in shard.in_flight:
                other.release()
            shard.in_flight.clear()
        else:
            self._on_failure(shard, outcome)
        self._finish_if_decided(self._loop.time())

    def _on_failure(
        self, shard: _ShardState, outcome: attempts_lib.Outcome
    ) -> None:
        shard.failure = running.outcome_label(outcome)
        if shard.in_flight:
            return
        now_s = self._loop.time()
        entry = self._choose_next(shard, now_s, healthy_only=False)
        if entry is None:
            return
        unsent = outcome is model.Failure.UNSENT
        if unsent or self._context.extra_attempts(shard.service).take_retry():
            self.retries += 1
            self._send(shard, entry, now_s)
        else:
            self.denied += 1

    def _choose_next(
        self, shard: _ShardState, now_s: float, healthy_only: bool
    ) -> directory_lib.ReplicaEntry | None:
        if len(shard.tried) >= self._max_attempts:
            return None
        entries = self._context.directory.entries(shard.service)
        return self._context.selector.choose(
            entries, now_s, shard.tried, healthy_only
        )

    def _on_timer(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        late = [
            shard
            for shard in self._pending_shards.values()
            if shard.hedge_due_s <= now_s and shard.in_flight
        ]
        if (
            len(late) > self._congestion_threshold
            and now_s < self._congestion_end_s
        ):
            # The delay is on this instance's link or processor, and hedges
            # would prolong it.
            for shard in late:
                shard.hedge_due_s = now_s + self._hedge_delay_s / 4
        else:
            for shard in late:
                self._hedge(shard, now_s)
        self._finish_if_decided(now_s)
        if not self.done.done():
            self._schedule_timer(now_s)
        elif self._timer_due_s == self._partial_answer_s:
            self._context.response_delays.record_merge(
                self._loop.time() - self._partial_answer_s
            )

    def _hedge(self, shard: _ShardState, now_s: float) -> None:
        for attempt in shard.in_flight:
            attempt.mark_late(now_s)
        shard.hedge_due_s = now_s + self._hedge_delay_s / 2
        entry = self._choose_next(shard, now_s, healthy_only=True)
        if entry is None:
            if len(shard.tried) >= self._max_attempts:
                shard.hedge_due_s = math.inf
            return
        if running.take_hedge(
            self._context.extra_attempts(shard.service), shard.in_flight, now_s
        ):
            self.hedges += 1
            self._send(shard, entry, now_s)
        else:
            self.denied += 1

    def _schedule_timer(self, now_s: float) -> None:
        due_s = min(
            (
                shard.hedge_due_s
                for shard in self._pending_shards.values()
                if shard.in_flight
            ),
            default=math.inf,
        )
        if now_s < self._partial_answer_s:
            due_s = min(due_s, self._partial_answer_s)
        due_s = min(due_s, self._request_context.end_s)
        self._timer_due_s = due_s
        self._timer = self._loop.call_at(due_s, self._on_timer)

    def _finish_if_decided(self, now_s: float) -> None:
        """Finishes the request if no further part is awaited.

        This is the case if no part can still arrive, if enough parts have
        arrived and the partial answer is due, or at the deadline.
        """
        if self.done.done():
            return
        # Without an attempt in flight no further part can arrive.
        none_in_flight = not self._in_flight_count
        sufficient = len(self._parts) >= self._route.needed_shards
        timed_out = now_s >= self._request_context.end_s
        if sufficient and (
            none_in_flight or now_s >= self._partial_answer_s or timed_out
        ):
            self._finish(self._merged_answer())
        elif none_in_flight or timed_out:
            self._finish(self._failure_answer(timed_out))

    def _merged_answer(self) -> model.Answer:
        names = self._context.names
        signatures = b", ".join(
            reply.signature for reply in self._parts.values()
        )
        body = merge.greatest(
            (reply.body for reply in self._parts.values()),
            self._route.top_records,
        )
        missing = len(self._pending_shards)
        return model.Answer(
            200,
            (
                (names.signatures, signatures),
                (names.missing, b"%d" % missing),
                _CONTENT_TYPE,
            ),
            body,
            missing=missing,
        )

    def _failure_answer(self, timed_out: bool) -> model.Answer:
        if not self.sent:
            return model.refusal("no_replica", running.NO_REPLICA_RETRY_AFTER_S)
        if timed_out:
            return model.failure(504, "parts_late")
        return model.failure(502, "parts_failed")

    def _attempts(self) -> list[attempts_lib.Attempt]:
        return [
            attempt
            for shard in self._pending_shards.values()
            for attempt in shard.in_flight
        ]

    def describe(self) -> dict[str, object]:
        """Returns the log fields that explain the answer."""
        pending_shards = list(self._pending_shards.values())
        return {
            "parts": len(self._parts),
            "shards": len(self._route.shards),
            "needed": self._route.needed_shards,
            "coverable": self._coverable_shards,
            "lost": ",".join(sorted(self._unreachable_domains)),
            "sent": self.sent,
            "hedges": self.hedges,
            "retries": self.retries,
            "denied": self.denied,
            "lacking": ",".join(
                f"{shard.service}:{shard.failure or 'late'}"
                f"@{'+'.join(item.replica.id for item in shard.tried)}"
                for shard in pending_shards[:_MAX_LOGGED_SHARDS]
            ),
        }


# Maximum number of missing shards listed in one log line.
_MAX_LOGGED_SHARDS = 4
