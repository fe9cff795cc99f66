"""Sends a request to one replica and classifies the outcome."""

import asyncio
from collections.abc import Callable
import random

from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.kernel import whole_numbers
from mallowloft.routes import crashes as crashes_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach as reach_lib
from mallowloft.routes import replica_signals
from mallowloft.routes import sending
from mallowloft.routes.cold import limit as cold_limit
from mallowloft.routes.crossing import crossing as crossing_lib
from mallowloft.routes.placement import outcomes
from mallowloft.upstream import http1
from mallowloft.upstream import traffic as traffic_lib

_log = logs.get_logger("attempts")

# An attempt whose reply is no longer needed keeps its connection this long.
# Closing it at once would force a new connection, which costs the replica more
# than finishing most attempts.
_ABANDON_DELAY_S = 0.25
_MIN_DEADLINE_MS = 1
# Misdirected Request: the expected replica is gone and another one now has its
# address.
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# Greater counts of a replica's requests are malformed.
_MAX_LOAD = 1_000_000
# Malformed header values are logged at most once in this time.
_LOG_INTERVAL_S = 10.0

Outcome = model.Reply | model.Failure

_OK = "ok"
# A complete reply that is neither a success nor marked as not run. This
# includes 3xx and most 4xx replies, which are not a fault of the replica.
_REPLICA_FAILED = "replica_failed"
_NOT_RUN = "not_run"
_OUTCOMES = (_OK, _REPLICA_FAILED, _NOT_RUN, *model.Failure)


class OutgoingRequest:
    """A request in the form in which it is sent to replicas.

    What is the same for all attempts is encoded once. All attempts share the
    body.

    Attributes:
        request: The request.
        rank: Priority of the request's route.
        is_part: Whether the request goes to the shards of a route.
        has_reply_body: Whether replies may have a body.
    """

    __slots__ = (
        "_fingerprint",
        "_head",
        "has_reply_body",
        "is_part",
        "rank",
        "request",
    )

    def __init__(
        self,
        request: model.Request,
        rank: int,
        names: model.HeaderNames,
        is_part: bool = False,
    ) -> None:
        lines = [request.method + b" " + request.target + b" HTTP/1.1\r\n"]
        lines += [
            name + b": " + value + b"\r\n" for name, value in request.headers
        ]
        if request.body or request.method not in (b"GET", b"HEAD"):
            lines.append(b"content-length: %d\r\n" % len(request.body))
        lines.append(names.deadline + b": ")
        self.request = request
        self.rank = rank
        self.is_part = is_part
        self.has_reply_body = request.method != b"HEAD"
        self._head = b"".join(lines)
        self._fingerprint = ""

    @property
    def fingerprint(self) -> str:
        """What the request has in common with its repeats."""
        if not self._fingerprint:
            self._fingerprint = crashes_lib.fingerprint(self.request)
        return self._fingerprint

    def serialize(
        self, deadline_ms: int, names: model.HeaderNames, replica_id: str
    ) -> bytes:
        """Returns the encoded request for one replica, without the body."""
        return b"%s%d\r\n%s: %s\r\n\r\n" % (
            self._head,
            max(_MIN_DEADLINE_MS, deadline_ms),
            names.expected_replica,
            replica_id.encode(),
        )


class Attempt:
    """One attempt of a request at one replica.

    Attributes:
        entry: The replica.
        started_s: Loop time at which the attempt started.
        exchange: The HTTP exchange with the replica.
        pending: Whether the outcome is still awaited.
    """

    __slots__ = ("_reach", "entry", "exchange", "started_s", "pending")

    def __init__(
        self,
        entry: directory_lib.ReplicaEntry,
        started_s: float,
        reach: reach_lib.DomainReachability,
    ) -> None:
        self._reach = reach
        self.entry = entry
        self.started_s = started_s
        self.exchange: http1.Exchange | None = None
        self.pending = True

    @property
    def sent(self) -> bool:
        """Whether bytes of the request may have reached the replica."""
        return self.exchange.sent

    @property
    def withheld(self) -> bool:
        """Whether it ended unsent because it might not be sent any more."""
        return self.exchange.withheld

    def mark_late(self, now_s: float) -> None:
        """Records that the reply is overdue.

        This counts as a failure of the replica's failure domain unless data
        has arrived from the replica meanwhile.
        """
        self.entry.health.record_late(self, now_s)
        self._record_silence(now_s)
        if self.exchange.sent:
            self._watch()

    def release(self, may_listen: bool = True) -> None:
        """Stops waiting for the reply.

        A request that was sent stays open for `_ABANDON_DELAY_S`, so that a
        late reply still updates the health of the replica. If there is no reply
        by then, the attempt counts as a failure of the replica and of its
        failure domain.

        Args:
            may_listen: Whether it may stay open for longer if nothing else is
                heard of the failure domain. This is not so once the caller has
                left.
        """
        if not self.pending:
            return
        self.pending = False
        if self.exchange.done:
            return
        if not self.exchange.sent:
            self._cancel()
            return
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _ABANDON_DELAY_S
        if may_listen and self._watch():
            end_s = max(end_s, self.started_s + reach_lib.MAX_SPAN_S)
        loop.call_at(end_s, self._cancel)

    def abandon(self) -> None:
        """Stops waiting and cancels the request at once."""
        self.pending = False
        self._cancel()

    def _cancel(self) -> None:
        if self.exchange.done:
            return
        now_s = asyncio.get_running_loop().time()
        if self.exchange.sent:
            self.entry.health.record_failure(self, now_s)
            self._record_silence(now_s)
        else:
            self.entry.health.discard(self)
        self.exchange.cancel()

    def _watch(self) -> bool:
        return self._reach.watch(
            self.entry.replica.failure_domain, self.exchange, self.started_s
        )

    def _record_silence(self, now_s: float) -> None:
        """Records that no data has arrived from the replica.

        While the request waits for a first connection, the outcome of the
        connection attempt is what shows whether the replica is reached.
        """
        pool = self.entry.pool
        if pool.received_s >= self.started_s:
            return
        connection = self.exchange.connection
        if connection is None and not pool.open_count:
            return
        self._reach.direct_failed(
            self.entry.replica.failure_domain,
            now_s,
            self.entry.replica.id,
            bool((connection or pool).acknowledged),
        )


class Sender:
    """Starts attempts and updates replica health with their outcomes."""

    def __init__(
        self,
        names: model.HeaderNames,
        metrics: metrics_lib.Metrics,
        directory: directory_lib.Directory,
        rng: random.Random,
        crashes: crashes_lib.CrashRegistry,
        crossing: crossing_lib.Crossing | None = None,
        traffic: traffic_lib.Traffic | None = None,
    ) -> None:
        """Prepares to send requests.

        Args:
            names: Names of the headers.
            metrics: Metrics of the instance.
            directory: The replicas; is told which of them leave.
            rng: Draws when this instance returns to a replica after a pause.
            crashes: Is told of requests that were cut off by the end of a
                replica, and of their successes.
            crossing: Is told of replies and rejections, if it is given.
            traffic: Counts the bytes of attempts at replicas in other failure
                domains, if it is given.
        """
        self._names = names
        self._crossing = crossing
        self._traffic = traffic
        self._metrics = metrics
        self._increment_by_outcome = {
            outcome: metrics.counter("route_attempts", outcome=outcome).inc
            for outcome in _OUTCOMES
        }
        self._directory = directory
        self._reach = directory.reach
        self._rng = rng
        self._malformed_logged_s = -_LOG_INTERVAL_S
        self._crashes = crashes
        # Called with the replica and its reply for each reply.
        self.on_reply: Callable[
            [directory_lib.ReplicaEntry, model.Reply], None
        ] = lambda entry, reply: None
        # Runs that were cut off at replicas that may have ended: fingerprint of
        # the request, start and end.
        self._cut_off_by_replica: dict[str, list[tuple[str, float, float]]] = {}

    def start(
        self,
        entry: directory_lib.ReplicaEntry,
        outgoing: OutgoingRequest,
        deadline_s: float,
        latency: limits.RouteLatency,
        on_end: Callable[[Attempt, Outcome], None],
        reason: str = "",
        allows: Callable[[directory_lib.ReplicaEntry], bool] | None = None,
    ) -> Attempt:
        """Sends a request to a replica.

        The attempt ends as unsent if the request may not be written to the
        replica, at once or when a connection is free.

        Args:
            entry: The replica.
            outgoing: The request.
            deadline_s: Loop time after which the reply is not needed.
            latency: Latency statistics of the request's route.
            on_end: Called once with the outcome, unless the attempt is
                released first.
            reason: Why the attempt goes to another failure domain if it does.
            allows: Whether the request's route allows a replica; None if it
                allows every one.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        attempt = Attempt(entry, now_s, self._reach)
        check = sending.SendCheck(entry, deadline_s, allows)
        # A replica that leaves ends anyway.
        ends_unexpectedly = entry.stays

        def on_exchange_end(
            exchange: http1.Exchange,
            result: http1.Response | http1.FailureReason,
        ) -> None:
            outcome = self._outcome_of(result)
            ended_s = asyncio.get_running_loop().time()
            if outcome is model.Failure.BROKEN:
                if ends_unexpectedly and exchange.connection.closed_by_server:
                    self._check_crash(attempt, outgoing, ended_s)
            elif not self._crashes.is_empty and _is_success(outcome):
                self._crashes.record_success(outgoing.fingerprint, ended_s)
            self.record(attempt, outcome, ended_s - attempt.started_s, latency)
            if attempt.pending:
                attempt.pending = False
                on_end(attempt, outcome)

        def serialize() -> bytes:
            left_ms = int((deadline_s - loop.time()) * 1000)
            return outgoing.serialize(left_ms, self._names, entry.replica.id)

        attempt.exchange = http1.Exchange(
            serialize,
            on_exchange_end,
            self._names.request_id,
            outgoing.request.id,
            outgoing.rank,
            outgoing.has_reply_body,
            purpose="part" if outgoing.is_part else "request",
            body=outgoing.request.body,
            may_send=lambda: check.may_send(loop.time()),
        )
        if reason and entry.remote and self._traffic is not None:
            attempt.exchange.on_bytes = self._traffic.crossing_counter(
                entry.replica.failure_domain, reason
            )
        entry.health.record_start(attempt, now_s, latency.median_s)
        limited = entry.signals.limit is not None
        if entry.signals.limited_while_cold(now_s):
            self._end_if_unsent_later(attempt.exchange)
        entry.pool.submit(attempt.exchange)
        if attempt.withheld and entry.signals.lacks_cold_permit(now_s):
            # Another request took the permit after the replica was chosen.
            self.count_denied_cold()
        if limited and not attempt.withheld:
            self._metrics.count("replica_limit_attempts")
        return attempt

    def count_denied_cold(self) -> None:
        """Counts a cold replica that was passed over without a permit."""
        self._metrics.count("cold_permits_denied")

    def _end_if_unsent_later(self, exchange: http1.Exchange) -> None:
        """Returns an exchange that waits too long for a connection.

        The permit for a cold replica is valid only for a short time.
        """

        def end_if_unsent() -> None:
            if not exchange.sent:
                exchange.withhold()

        asyncio.get_running_loop().call_later(
            cold_limit.MAX_WAIT_S, end_if_unsent
        )

    def _check_crash(
        self, attempt: Attempt, outgoing: OutgoingRequest, ended_s: float
    ) -> None:
        """Finds out whether a replica that cut off an attempt has ended."""
        entry = attempt.entry
        run = (outgoing.fingerprint, attempt.started_s, ended_s)
        cut_off = self._cut_off_by_replica.get(entry.replica.id)
        if cut_off is not None:
            cut_off.append(run)
            return
        self._cut_off_by_replica[entry.replica.id] = [run]
        entry.pool.check_refusal(
            lambda refused: self._on_crash_checked(entry, refused)
        )

    def _on_crash_checked(
        self, entry: directory_lib.ReplicaEntry, refused: bool
    ) -> None:
        cut_off = self._cut_off_by_replica.pop(entry.replica.id)
        if not refused:
            return
        self._metrics.count("replica_crashes")
        _log.warning(
            "replica_crashed",
            replica=entry.replica.id,
            service=entry.replica.service,
            fingerprints=",".join(sorted({run[0] for run in cut_off})),
        )
        for fingerprint, started_s, ended_s in cut_off:
            self._crashes.record_crash(
                fingerprint, entry.replica.start_name, started_s, ended_s
            )

    def record(
        self,
        attempt: Attempt,
        outcome: Outcome,
        duration_s: float,
        latency: limits.RouteLatency,
        is_direct: bool = True,
    ) -> None:
        """Updates health, latency and metrics with the outcome of an attempt.

        Args:
            attempt: The attempt.
            outcome: Its outcome.
            duration_s: Time from its start to the reply.
            latency: Latency statistics of the request's route.
            is_direct: Whether this instance itself sent it to the replica.
        """
        reached = (
            self._reach.direct_succeeded if is_direct else self._reach.succeeded
        )
        now_s = asyncio.get_running_loop().time()
        health = attempt.entry.health
        domain = attempt.entry.replica.failure_domain
        if outcome is model.Failure.UNSENT and (
            attempt.withheld
            or attempt.entry.evacuated
            or attempt.entry.signals.restricted(now_s)
            or not attempt.entry.connectable
        ):
            health.discard(attempt)
            if attempt.entry.evacuated:
                self._metrics.count("evacuated_attempts")
            self._increment_by_outcome[outcome]()
            return
        if isinstance(outcome, model.Failure):
            health.record_failure(attempt, now_s)
            # A malformed reply shows that the failure domain is reachable.
            if outcome is model.Failure.MALFORMED:
                reached(domain)
            elif outcome is not model.Failure.UNSENT or not is_direct:
                self._reach.failed(domain, now_s, attempt.entry.replica.id)
            self._increment_by_outcome[outcome]()
            return
        reached(domain)
        self.on_reply(attempt.entry, outcome)
        # A misdirected reply is from another replica.
        misdirected = outcome.status == _STATUS_MISDIRECTED and outcome.not_run
        if outcome.cold_s and not misdirected:
            self._directory.cold.on_stated(attempt.entry, outcome.cold_s, now_s)
            attempt.entry.pool.recheck_waiting()
        health.record_load(outcome.running, outcome.waiting, now_s)
        if misdirected:
            self._mark_misdirected(attempt.entry)
        else:
            self.record_signals(
                attempt.entry,
                outcome.leaving,
                outcome.pause_s,
                outcome.limit_per_s,
            )
            if outcome.limit_per_s is None:
                self._directory.end_limit(attempt.entry, attempt.started_s)
        if outcome.not_run or outcome.pause_s is not None:
            if outcome.pause_s is None:
                health.record_failure(attempt, now_s)
                if (
                    self._crossing is not None
                    and outcome.status == _STATUS_UNAVAILABLE
                ):
                    self._crossing.record_rejection(attempt.entry, now_s)
            else:
                # A replica that asks for a pause has no fault.
                health.discard(attempt)
            self._increment_by_outcome[
                _NOT_RUN if outcome.not_run else _REPLICA_FAILED
            ]()
            return
        attempt.entry.signals.record_reply()
        if outcome.status >= 500 or outcomes.is_unconfirmed_refusal(outcome):
            health.record_failure(attempt, now_s)
        else:
            # Of a batch, request and parts are not known one by one.
            size = 0
            if is_direct and attempt.exchange is not None:
                size = attempt.exchange.size + _size_of(outcome)
            self._record_duration(attempt, now_s, duration_s, latency, size)
        label = _OK if outcome.success else _REPLICA_FAILED
        self._increment_by_outcome[label]()

    def record_signals(
        self,
        entry: directory_lib.ReplicaEntry,
        leaving: bool,
        pause_s: float | None,
        limit_per_s: float | None = None,
    ) -> None:
        """Records what a replica asked of this instance.

        Args:
            entry: The replica.
            leaving: Whether it states that it is about to end.
            pause_s: For how long it wants no request; None if it states none.
            limit_per_s: Requests per second that it accepts from all instances
                together; None if it states none.
        """
        if leaving and not entry.signals.leaving:
            self._directory.mark_leaving([entry.replica.id])
        if limit_per_s is not None:
            self._directory.record_limit(entry, limit_per_s)
        if pause_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        if not entry.signals.pause_left_s(now_s):
            _log.info(
                "replica_paused",
                replica=entry.replica.id,
                service=entry.replica.service,
                pause_s=round(pause_s, 3),
            )
        self._metrics.count("replica_pauses")
        entry.signals.record_pause(pause_s, now_s, self._rng)
        entry.pool.recheck_waiting()

    def _outcome_of(
        self, result: http1.Response | http1.FailureReason
    ) -> Outcome:
        """Returns the outcome that a response or its absence means."""
        if isinstance(result, http1.FailureReason):
            return model.Failure(result.value)
        reply = self._parse_reply(result)
        if reply.status < 300 and self._is_invalid_success(result, reply):
            return model.Failure.MALFORMED
        return reply

    def _mark_misdirected(self, entry: directory_lib.ReplicaEntry) -> None:
        """Marks the replica as draining, so that no further attempts go to it.

        Its address now belongs to another replica.
        """
        if entry.draining:
            return
        entry.draining = True
        entry.pool.recheck_waiting()
        _log.info(
            "replica_misdirected",
            replica=entry.replica.id,
            service=entry.replica.service,
            address=entry.pool.address,
        )

    def _record_duration(
        self,
        attempt: Attempt,
        now_s: float,
        duration_s: float,
        latency: limits.RouteLatency,
        exchange_bytes: int,
    ) -> None:
        health = attempt.entry.health
        if self._crossing is not None:
            self._crossing.record(
                attempt.entry, latency, duration_s, exchange_bytes, now_s
            )
        # Samples of slow replicas would raise the hedge delay until no attempt
        # counts as late.
        if health.slowness(now_s) < limits.MAX_SAMPLED_SLOWNESS:
            latency.record(duration_s)
        health.record_reply(attempt, now_s, duration_s)

    def _parse_reply(self, response: http1.Response) -> model.Reply:
        signature = response.header(self._names.signature) or b""
        # A signature shows that the replica took the request, so the status
        # alone does not state the opposite.
        misdirected = response.status == _STATUS_MISDIRECTED and not signature
        not_run = response.header(self._names.not_run) is not None
        load = _parse_load(response.header(self._names.load))
        pause_s = None
        if response.status == _STATUS_UNAVAILABLE:
            pause_s = self._parse_decimal(
                response, self._names.retry_after, "replica_pauses_malformed"
            )
        return model.Reply(
            status=response.status,
            headers=response.headers,
            body=response.body,
            signature=signature,
            not_run=not_run or misdirected,
            waiting=load[1],
            leaving=response.header(self._names.leaving) is not None,
            pause_s=pause_s,
            limit_per_s=self._parse_decimal(
                response, self._names.rate_limit, "replica_limits_malformed"
            ),
            cold_s=self._parse_cold_s(response),
            running=load[0],
        )

    def _parse_cold_s(self, response: http1.Response) -> float:
        """Returns for how long the replica is cold, 0 if it does not say so."""
        value = response.header(self._names.cold)
        if value is None:
            return 0.0
        return (replica_signals.parse_decimal(value) or 0.0) / 1000

    def _parse_decimal(
        self, response: http1.Response, name: bytes, malformed_metric: str
    ) -> float | None:
        """Returns the number in a header, None if there is none.

        Args:
            response: The response of a replica.
            name: Name of the header.
            malformed_metric: Metric that counts malformed values.
        """
        value = response.header(name)
        if value is None:
            return None
        number = replica_signals.parse_decimal(value)
        if number is None:
            self._metrics.count(malformed_metric)
            now_s = asyncio.get_running_loop().time()
            if now_s - self._malformed_logged_s >= _LOG_INTERVAL_S:
                self._malformed_logged_s = now_s
                _log.warning(
                    "replica_header_malformed",
                    header=name.decode("latin1"),
                    value=value.decode("latin1"),
                )
        return number

    def _is_invalid_success(
        self, response: http1.Response, reply: model.Reply
    ) -> bool:
        """Whether a 2xx reply was altered or is not from the replica.

        This is assumed of a reply that has a content encoding, lacks the
        replica's signature, or states that the request was not run.
        """
        encoded = response.header(b"content-encoding") is not None
        return encoded or not reply.signature or reply.not_run


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, model.Reply) and outcome.success


def _size_of(reply: model.Reply) -> int:
    """Returns the size of a reply, without the separators of its headers."""
    size = sum(len(name) + len(value) for name, value in reply.headers)
    return size + len(reply.body)


def _parse_load(load: bytes | None) -> tuple[int, int]:
    """Returns the numbers of running and waiting requests in a load header.

    Args:
        load: Value in the format `running,waiting,slots`, None if missing.
    """
    if load is None:
        return (0, 0)
    fields = [field.strip() for field in load.split(b",")]
    if len(fields) < 2:
        return (0, 0)
    running = whole_numbers.parse(fields[0], _MAX_LOAD)
    waiting = whole_numbers.parse(fields[1], _MAX_LOAD)
    return (0, 0) if waiting is None else (running or 0, waiting)
