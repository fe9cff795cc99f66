"""Passes requests on to other instances, which serve them.

A hub is an instance with a large network link that gathers answers for other
instances. Hubs serve large fleets whose instances mostly have small links:
transferring all parts of one answer over a small link takes longer than the
replicas need to compute the parts, and each replica would have to accept a
connection from every instance. The hub returns the merged answer, so that the
parts pass only over the hub's own link.

An instance that has lost its links to replicas passes all requests on to
instances that have not.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math

import msgspec

from mallowloft.kernel import logs
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import message_types
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import replica_signals
from mallowloft.routes import running
from mallowloft.routes import single
from mallowloft.routes.admission import gate
from mallowloft.routes.placement import gatherers
from mallowloft.routes.placement import outcomes
from mallowloft.upstream import http1

_log = logs.get_logger("delegation")

PATH = "/v1/gather"
# A hub sends an interim response (100 Continue) as soon as it starts to read
# the request. A hub that takes longer than this time, or than this share of the
# route's objective if that is shorter, is frozen, cut off or overloaded.
_ACK_TIMEOUT_S = 0.02
_ACK_TIMEOUT_OBJECTIVE_SHARE = 0.2
# Assumed round trip to a hub until its connection has measured one.
_HUB_ROUND_TRIP_S = 0.003
# Hubs are preferred if their failure domain covers at least this share of the
# shards that the best failure domain covers.
_MIN_RELATIVE_COVERAGE = 0.8
# A refusal promises that the request was not run.
_STATUS_REFUSED = 503
# After this many hubs have failed, this instance gathers the answer itself.
_MAX_HUB_ATTEMPTS = 2
# The same for forwarders and for hubs that refuse at once. Many of them may
# have lost their links, too.
_MAX_FORWARDER_ATTEMPTS = 5
_OVERLOADED = gate.OVERLOADED.encode()


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A request whose answer another instance gathers.

    Attributes:
        route: Name of the route.
        digest: Digest of the route as configured at the sender.
        left_s: Time within which the hub must answer.
        answer_in_s: Time within which the hub must write the answer to meet the
            objective; the transfer to the hub is already deducted.
        previous_attempts: How many attempts for each shard other instances
            may have sent already.
        service: Service that serves the request; empty if the route has shards.
        unlinked: Number of services that the sender does not reach; None if
            it passes the request on for another reason.
        caller: Address of the caller; empty if it is unknown.
    """

    route: message_types.Name
    digest: message_types.Name
    id: bytes
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    left_s: message_types.Seconds
    answer_in_s: message_types.Seconds
    previous_attempts: message_types.Attempts
    service: message_types.Name = ""
    unlinked: message_types.Count | None = None
    caller: message_types.Name = ""


class Gathered(msgspec.Struct, frozen=True, array_like=True):
    """Another instance's answer, which is returned to the caller unchanged.

    Attributes:
        isolated: Whether the hub reaches no other failure domain but needs
            them to cover the shards.
        leaving: Ids of replicas that state that they are about to end.
        load: Load of the hub.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reason: str
    missing: int
    isolated: bool
    leaving: message_types.Names = ()
    load: gatherers.Load = gatherers.NO_LOAD


call_decoder = msgspec.msgpack.Decoder(Call)
_gathered_decoder = msgspec.msgpack.Decoder(Gathered)


def ack_timeout_s(route: model.Route) -> float:
    """Returns the time within which a hub must acknowledge a request.

    A request that may run only once is not sent to another hub if the first one
    may have it, so its acknowledgement is awaited without a limit.
    """
    if not route.idempotent:
        return math.inf
    return min(_ACK_TIMEOUT_S, _ACK_TIMEOUT_OBJECTIVE_SHARE * route.objective_s)


def encode_answer(
    answer: model.Answer,
    isolated: bool,
    leaving: Iterable[str] = (),
    load: gatherers.Load = gatherers.NO_LOAD,
) -> bytes:
    """Returns an answer encoded for the instance that passed the request.

    Args:
        answer: The answer.
        isolated: Whether this hub is isolated.
        leaving: Ids of replicas that state that they are about to end.
        load: Load of this hub.
    """
    gathered = Gathered(
        answer.status,
        answer.headers,
        answer.body,
        answer.reason,
        answer.missing,
        isolated,
        tuple(leaving),
        load,
    )
    return msgspec.msgpack.encode(gathered)


@dataclasses.dataclass(eq=False, slots=True)
class _Attempt:
    """A request that was sent to one hub."""

    entry: directory_lib.ReplicaEntry
    started_s: float
    exchange: http1.Exchange | None = None
    pending: bool = True

    @property
    def sent(self) -> bool:
        """Whether the request was written to a connection."""
        return self.exchange.sent

    def release(self, may_listen: bool = True) -> None:
        """Cancels the attempt; the hub stops when the connection closes."""
        del may_listen
        self.pending = False
        self.entry.health.discard(self)
        self.exchange.cancel()

    def fail(self, now_s: float) -> None:
        """Cancels the attempt and counts it as a failure of the hub."""
        self.pending = False
        self.entry.health.record_failure(self, now_s)
        self.exchange.cancel()


class DelegatedRequest(running.RequestTask):
    """Passes a request on to a hub; gathers locally if no hub answers."""

    def __init__(
        self,
        context: running.Context,
        request_context: running.RequestContext,
        hubs: hubs_lib.Hubs,
        latency: limits.RouteLatency,
        transfer_s: float = 0.0,
    ) -> None:
        """Prepares to pass a request on.

        Args:
            context: State that running requests share.
            request_context: The request.
            hubs: The hubs.
            latency: Durations of this route's requests at hubs.
            transfer_s: Time that an answer occupies this instance's link.
        """
        super().__init__(context, request_context)
        self._hubs = hubs
        self._latency = latency
        self._transfer_s = transfer_s
        self._ack_timeout_s = ack_timeout_s(request_context.route)
        self._tried: list[directory_lib.ReplicaEntry] = []
        self._in_flight: list[_Attempt] = []
        self._outcomes: list[str] = []
        # Hubs that may have sent first attempts to the replicas.
        self._previous_attempts = 0
        self._local_task: running.RequestTask | None = None
        self._max_hub_attempts = _MAX_HUB_ATTEMPTS
        self._overload_refusal = gatherers.OverloadRefusal()
        # Services of the request, for forwarders.
        self._service = ""
        self._unlinked: int | None = None

    def _start(self) -> None:
        self._try_next_hub()
        if not self.done.done():
            self._schedule_timer()

    def cancel(self) -> None:
        """Stops the request and its local gathering if still running."""
        super().cancel()
        if self._local_task is not None:
            self._local_task.cancel()

    def expire(self) -> None:
        """Ends the request and its local gathering as at the deadline."""
        if self._local_task is None or self.done.done():
            super().expire()
            return
        self._local_task.expire()
        self._on_served(self._local_task.done)

    def describe(self) -> dict[str, object]:
        """Returns log fields that explain the answer."""
        fields = self._local_task.describe() if self._local_task else {}
        return {"hubs": ",".join(self._outcomes), **fields}

    def _attempts(self) -> list[_Attempt]:
        return list(self._in_flight)

    def _try_next_hub(self) -> None:
        """Sends the request to another hub, or gathers locally."""
        if self._local_task is not None:
            return
        now_s = self._loop.time()
        max_attempts = self._route.max_attempts if self._route.idempotent else 1
        if self._previous_attempts >= max_attempts:
            self._finish(model.failure(502, "hubs_failed"))
            return
        refused = self._overload_refusal.answer
        if refused is not None and not self._overload_refusal.take_other():
            self._finish(refused)
            return
        if now_s >= self._request_context.end_s:
            self._finish(refused or self._expired_answer())
            return
        entry = None
        if refused or len(self._tried) < self._max_hub_attempts:
            entry = self._choose_hub(now_s)
        if entry is None and refused is not None:
            self._finish(refused)
        elif entry is None:
            self._serve_locally()
        else:
            self._send(entry, now_s)

    def _choose_hub(self, now_s: float) -> directory_lib.ReplicaEntry | None:
        """Returns the hub to send to, or None if no healthy hub is left.

        Hubs whose failure domain covers nearly as many shards as the best one
        are preferred, because the parts that they gather stay within the
        failure domain.
        """
        directory = self._context.directory
        unreachable = directory.reach.unreachable_domains()
        hubs = [
            entry
            for entry in directory.homes.allowed_instances(
                self._route, self._hubs.gatherers(now_s)
            )
            if entry.replica.failure_domain not in unreachable
        ]
        covered = reach.covered_by_domain(self._route, directory)
        min_covered = _MIN_RELATIVE_COVERAGE * max(covered.values(), default=0)
        preferred = [
            entry
            for entry in hubs
            if covered[entry.replica.failure_domain] >= min_covered
        ]
        return self._choose_among(preferred, now_s) or self._choose_among(
            hubs, now_s
        )

    def _choose_among(
        self, hubs: list[directory_lib.ReplicaEntry], now_s: float
    ) -> directory_lib.ReplicaEntry | None:
        choose = self._context.selector.choose
        healthy = [
            entry
            for entry in hubs
            if choose((entry,), now_s, self._tried, healthy_only=True)
        ]
        return self._hubs.loads.better_of_two(healthy, now_s) or choose(
            healthy, now_s, healthy_only=True
        )

    def _serve_locally(self) -> None:
        task = self._create_local_task()
        self._local_task = task
        task.done.add_done_callback(self._on_served)
        task.start()

    def _create_local_task(self) -> running.RequestTask:
        task = gathering.ScatterGather(
            self._context, self._request_context, self._previous_attempts
        )
        return self._context.admission.admit(
            task, self._request_context, self._route.shards
        )

    def _on_served(self, done: asyncio.Future) -> None:
        if not done.cancelled() and not self.done.done():
            self._finish(done.result())

    def _finish(self, answer: model.Answer) -> None:
        if self._previous_attempts and answer.status == _STATUS_REFUSED:
            # An instance that gave no answer may have run the request.
            answer = model.failure(502, answer.reason)
        super()._finish(answer)
        if self._local_task is not None:
            self._local_task.cancel()

    def _send(self, entry: directory_lib.ReplicaEntry, now_s: float) -> None:
        self._tried.append(entry)
        attempt = _Attempt(entry, now_s)
        attempt.exchange = http1.Exchange(
            lambda: self._encode_request(entry, self._loop.time()),
            lambda _, outcome: self._on_end(attempt, outcome),
            rank=self._route.rank,
            purpose="delegated",
            may_send=lambda: self._loop.time() < self._request_context.end_s,
        )
        entry.health.record_start(attempt, now_s, self._latency.median_s)
        self._in_flight.append(attempt)
        entry.pool.submit(attempt.exchange)

    def _encode_request(
        self, entry: directory_lib.ReplicaEntry, now_s: float
    ) -> bytes:
        request = self._request_context.outgoing.request
        round_trip_s = entry.pool.round_trip_s() or _HUB_ROUND_TRIP_S
        write_s = self._context.response_delays.write_s(self._route.objective_s)
        left_s = self._request_context.end_s - now_s - round_trip_s
        answer_in_s = (
            self._request_context.answer_by_s
            - now_s
            - round_trip_s
            - self._transfer_s
            - write_s
        )
        call = Call(
            self._route.name,
            model.digest(self._route),
            request.id,
            request.method,
            request.target,
            request.headers,
            request.body,
            max(0.0, left_s),
            max(0.0, answer_in_s),
            self._previous_attempts,
            self._service,
            self._unlinked,
            self._request_context.caller,
        )
        body = msgspec.msgpack.encode(call)
        return (
            b"POST %s HTTP/1.1\r\nhost: %s\r\nexpect: 100-continue\r\n"
            b"content-length: %d\r\n\r\n%s"
        ) % (PATH.encode(), entry.pool.address.encode(), len(body), body)

    def _on_end(
        self, attempt: _Attempt, outcome: http1.Response | http1.FailureReason
    ) -> None:
        if not attempt.pending:
            return
        attempt.pending = False
        self._in_flight.remove(attempt)
        if self.done.done():
            attempt.entry.health.discard(attempt)
            return
        answer = self._process_outcome(attempt, outcome)
        if answer is not None:
            self._finish(answer)
        elif not self._in_flight:
            self._try_next_hub()
        if not self.done.done():
            self._schedule_timer()

    def _process_outcome(
        self, attempt: _Attempt, outcome: http1.Response | http1.FailureReason
    ) -> model.Answer | None:
        """Returns the hub's answer, or None if the hub gave none."""
        now_s = self._loop.time()
        entry = attempt.entry
        if attempt.exchange.withheld:
            entry.health.discard(attempt)
            self._record_outcome(attempt, "withheld")
            return None
        self._record_reachability(entry, isinstance(outcome, http1.Response))
        if isinstance(outcome, http1.FailureReason):
            entry.health.record_failure(attempt, now_s)
            if outcome is not http1.FailureReason.UNSENT:
                # A hub that has acknowledged may also have sent hedges.
                self._previous_attempts += (
                    self._route.max_attempts
                    if attempt.exchange.interim_received
                    else 1
                )
            self._record_outcome(attempt, outcome.value)
            return None
        if outcome.status != 200:
            # The body states the reason for the refusal.
            entry.health.discard(attempt)
            if outcome.body == _OVERLOADED:
                # Serving it here would bypass the limits of the hubs.
                retry_after = outcome.header(b"retry-after") or b""
                refused = model.refusal(
                    gate.OVERLOADED,
                    replica_signals.parse_decimal(retry_after)
                    or running.NO_REPLICA_RETRY_AFTER_S,
                )
                self._overload_refusal.record(refused)
                self._record_outcome(attempt, gate.OVERLOADED)
                return None
            if outcome.status >= 500:
                # An error in the hub's program; it may have sent attempts.
                entry.health.record_failure(attempt, now_s)
                self._previous_attempts += self._route.max_attempts
                self._record_outcome(attempt, f"status_{outcome.status}")
                return None
            self._hubs.record_refusal(entry, outcome.body, now_s)
            if self._unlinked is None:
                # A refusal takes no time, and other hubs may have links.
                self._max_hub_attempts = min(
                    _MAX_FORWARDER_ATTEMPTS, self._max_hub_attempts + 1
                )
            self._record_outcome(attempt, outcome.body.decode("latin1"))
            return None
        try:
            gathered = _gathered_decoder.decode(outcome.body)
        except msgspec.MsgspecError as error:
            entry.health.record_failure(attempt, now_s)
            self._previous_attempts += self._route.max_attempts
            self._record_outcome(attempt, f"malformed ({error})")
            return None
        answer = model.Answer(
            gathered.status,
            gathered.headers,
            gathered.body,
            gathered.reason,
            gathered.missing,
        )
        self._hubs.loads.record(entry.replica.id, gathered.load, now_s)
        entry.health.record_reply(attempt, now_s)
        self._latency.record(now_s - attempt.started_s)
        self._context.directory.mark_leaving(gathered.leaving)
        if gathered.isolated:
            self._hubs.record_isolated(entry)
        self._record_outcome(attempt, gathered.reason or "answered")
        return answer

    def _record_reachability(
        self, entry: directory_lib.ReplicaEntry, responded: bool
    ) -> None:
        if not entry.remote:
            return
        domain = entry.replica.failure_domain
        if responded:
            self._context.directory.reach.succeeded(domain)
        else:
            self._context.directory.reach.failed(
                domain, self._loop.time(), entry.replica.id
            )

    def _record_outcome(self, attempt: _Attempt, outcome: str) -> None:
        elapsed_ms = (self._loop.time() - attempt.started_s) * 1000
        self._outcomes.append(
            f"{attempt.entry.replica.id}:{outcome}@{elapsed_ms:.1f}ms"
        )

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._local_task is not None:
            # It has a timer of its own, and knows what it has sent.
            return
        due_s = self._request_context.end_s
        for attempt in self._in_flight:
            if not attempt.exchange.interim_received:
                due_s = min(due_s, attempt.started_s + self._ack_timeout_s)
        self._timer = self._loop.call_at(due_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        if now_s >= self._request_context.end_s:
            self._finish(self._expired_answer())
            return
        for attempt in list(self._in_flight):
            late = now_s >= attempt.started_s + self._ack_timeout_s
            if late and not attempt.exchange.interim_received:
                self._fail_unacknowledged(attempt, now_s)
        if not self.done.done():
            self._schedule_timer()

    def _expired_answer(self) -> model.Answer:
        if self._previous_attempts or outcomes.any_sent(self._in_flight):
            return model.failure(504, "hubs_late")
        retry_after_s = max(running.MIN_RETRY_AFTER_S, self._latency.median_s)
        return model.refusal("hubs_not_reached", retry_after_s)

    def _fail_unacknowledged(self, attempt: _Attempt, now_s: float) -> None:
        """Cancels an attempt that the hub has not acknowledged in time.

        If the hub reads the request later, it finds the connection closed; if
        it has read it, it sends only first attempts until the time limit for
        the acknowledgement has passed (`ack_timeout_s`). An acknowledged
        attempt is never cancelled here: the hub may have used all attempts
        that the route allows, so the replicas could not be asked again.
        """
        self._record_outcome(attempt, "not_acknowledged")
        self._in_flight.remove(attempt)
        self._previous_attempts += attempt.exchange.sent
        attempt.fail(now_s)
        self._record_reachability(attempt.entry, False)
        if not self._in_flight:
            self._try_next_hub()


class ForwardedRequest(DelegatedRequest):
    """Passes a request on because this instance has lost links to replicas.

    If no other instance reaches more replicas, this one serves the request as
    far as it can.
    """

    def __init__(
        self,
        context: running.Context,
        request_context: running.RequestContext,
        hubs: hubs_lib.Hubs,
        latency: limits.RouteLatency,
        transfer_s: float,
        services: Sequence[str],
        unlinked: int,
    ) -> None:
        """Prepares to pass a request on.

        Args:
            context: State that running requests share.
            request_context: The request.
            hubs: The hubs.
            latency: Durations of this route's requests at other instances.
            transfer_s: Time that an answer occupies this instance's link.
            services: The shards of the route, or the service that was chosen.
            unlinked: Number of services that this instance does not reach.
        """
        super().__init__(context, request_context, hubs, latency, transfer_s)
        self._service = "" if request_context.route.shards else services[0]
        self._unlinked = unlinked
        # If few services are out of reach, their replicas probably have failed,
        # and other instances do not reach them either.
        linked = len(services) - unlinked
        if linked < request_context.route.needed_shards or linked <= unlinked:
            self._max_hub_attempts = _MAX_FORWARDER_ATTEMPTS

    def _choose_hub(self, now_s: float) -> directory_lib.ReplicaEntry | None:
        choose = self._context.selector.choose
        entries = self._context.directory.homes.allowed_instances(
            self._route, self._hubs.forwarders(now_s)
        )
        # A forwarder with a fault is still better than no replica.
        return choose(entries, now_s, self._tried, healthy_only=True) or choose(
            entries, now_s, self._tried
        )

    def _create_local_task(self) -> running.RequestTask:
        if not self._service:
            return super()._create_local_task()
        task = single.Forwarding(
            self._context,
            self._request_context,
            self._service,
            self._previous_attempts,
        )
        return self._context.admission.admit(
            task, self._request_context, (self._service,)
        )
