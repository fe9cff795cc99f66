"""Sends attempts at replicas of another failure domain as one batch.

The load it answers: gathered requests for which many shards have no replica in
this instance's failure domain. Each attempt across domains costs a request and
a reply with their headers. A collector, an instance in the replicas' failure
domain, gets one batch instead, sends each attempt to the replica that the batch
names, and returns the greatest records of all parts at once.

The sender of a batch chooses the replicas, hedges and retries. A collector that
hangs or fails therefore costs what late or failed replicas cost, and no limit
on extra attempts can be exceeded on the way.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
import struct
from typing import Protocol

import msgspec

from mallowloft.kernel import quantile
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import message_types
from mallowloft.routes import model
from mallowloft.routes import reach as reach_lib
from mallowloft.routes import sending
from mallowloft.upstream import http1

PATH = "/v1/collect"
# A collector sends an interim response (100 Continue) as soon as it starts to
# read a batch. One that takes longer than this time, or than this share of the
# objective if that is shorter, is frozen, cut off or overloaded.
_ACK_TIMEOUT_S = 0.02
_ACK_TIMEOUT_OBJECTIVE_SHARE = 0.2
# Largest batch, unless the square root of the number of shards is larger. At
# thousands of shards the batches then are as many as their members, so that
# neither sender nor collectors limit the number of shards.
_MIN_LARGEST_BATCH = 32
# Shards in the sender's own failure domain are batched above this number.
_MAX_DIRECT_LOCAL_SHARDS = 256
# Assumed additional time of a batch compared with direct attempts: sending to
# the collector, its processing and the reply.
_ASSUMED_OVERHEAD_MS = 5.0
_OVERHEAD_QUANTILE = 0.9
# Margin on the estimate. A batch that is thought late is hedged as a whole.
_OVERHEAD_FACTOR = 1.25
_OVERHEAD_MARGIN_S = 0.001
# Batches are not used if their overhead takes a larger share of the objective,
# because a hedge would not fit in after a late batch.
_MAX_OVERHEAD_SHARE = 0.15
# A batch that is not needed any more stays open for this long, so that late
# parts still update the health of the replicas.
_ABANDON_DELAY_S = 0.25
_LENGTH = struct.Struct(">I")
_MAX_REPLY_BYTES = 16 << 20


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A batch of attempts of one request.

    Attributes:
        route: Name of the route.
        digest: Digest of the route as configured at the sender.
        left_s: Time within which replies are useful.
        first_reply_s: Time after which the collector returns the parts that
            have arrived, even if others have not.
        replicas: The shards' positions in the route and the replicas' ids.
    """

    route: message_types.Name
    digest: message_types.Name
    id: bytes
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    left_s: message_types.Seconds
    first_reply_s: message_types.Seconds
    replicas: tuple[tuple[message_types.Count, message_types.Name], ...]


class FailedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a batch that gave no part.

    Attributes:
        position: Position of the attempt in the batch.
        failure: Value of `model.Failure`; empty if the replica replied.
        status: Status of the reply.
        not_run: Whether the replica states that it did not run the request.
        pause_s: For how long the replica wants no requests; None if it states
            no time.
        limit_per_s: Rate limit that the replica states; None if it states none.
        withheld: Whether it was not sent because that was not allowed any more.
    """

    position: message_types.Count
    failure: str
    status: message_types.Count = 0
    not_run: bool = False
    pause_s: message_types.Seconds | None = None
    limit_per_s: message_types.PerSecond | None = None
    withheld: bool = False


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of some attempts of a batch; each has one in one reply.

    Attributes:
        positions: Positions of the attempts that gave a part.
        signatures: Their signatures.
        durations_us: How long they took at the collector, microseconds.
        waiting: Numbers of requests that wait at their replicas.
        records: The greatest records of these parts.
        failed: The attempts that gave none.
        leaving: Positions of the attempts whose replicas state that they are
            about to end.
        limits: Positions of the attempts that gave a part and whose replicas
            state a rate limit, with the limits.
        running: Numbers of requests that run at the replicas of the attempts
            that gave a part; empty from builds that do not state them.
    """

    positions: tuple[message_types.Count, ...]
    signatures: tuple[bytes, ...]
    durations_us: tuple[message_types.Count, ...]
    waiting: tuple[message_types.Count, ...]
    records: bytes
    failed: tuple[FailedAttempt, ...]
    leaving: tuple[message_types.Count, ...] = ()
    limits: tuple[tuple[message_types.Count, message_types.PerSecond], ...] = ()
    running: tuple[message_types.Count, ...] = ()


RecordSignals = Callable[
    [directory_lib.ReplicaEntry, bool, float | None, float | None], None
]

call_decoder = msgspec.msgpack.Decoder(Call)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode_reply(reply: Reply) -> bytes:
    """Returns a reply with its length, for a stream of replies."""
    encoded = msgspec.msgpack.encode(reply)
    return _LENGTH.pack(len(encoded)) + encoded


class ReplyReader:
    """Splits a stream into replies."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Returns the replies that are complete with this data.

        Raises:
            msgspec.MsgspecError: The stream is malformed.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > _MAX_REPLY_BYTES:
                raise msgspec.DecodeError(f"reply of {size} bytes")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            encoded = self._buffer[_LENGTH.size : end]
            self._buffer = self._buffer[end:]
            yield _reply_decoder.decode(encoded)


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Parts whose records were merged by a collector.

    Attributes:
        services: Services of the shards that the parts are from.
        signatures: Signatures of the parts.
        records: The greatest records of the parts.
    """

    services: tuple[str, ...]
    signatures: tuple[bytes, ...]
    records: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The replica that was chosen for a shard.

    Attributes:
        reason: Why it is in another failure domain; empty if it is not.
    """

    service: str
    entry: directory_lib.ReplicaEntry
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How the first attempts of a request are sent.

    Attributes:
        direct: Attempts that this instance sends to the replicas.
        batches: Collectors and the attempts that they send.
    """

    direct: tuple[Choice, ...]
    batches: tuple[
        tuple[directory_lib.ReplicaEntry, tuple[Choice, ...]], ...
    ] = ()


def plan(
    choices: Sequence[Choice],
    collect_above: float,
    choose_collectors: Callable[
        [str, int], Sequence[directory_lib.ReplicaEntry]
    ],
    now_s: float = math.inf,
) -> Plan:
    """Divides first attempts into direct ones and batches.

    Attempts at replicas with a rate limit are direct, because the permit was
    taken from this instance's part of the limit.

    Args:
        choices: The replicas chosen for the shards.
        collect_above: Largest number of shards of another failure domain for
            which no collector is used.
        choose_collectors: Returns up to a number of collectors of a failure
            domain.
        now_s: Current loop time; by default no replica counts as cold.
    """
    direct: list[Choice] = []
    choices_by_domain: dict[str, list[Choice]] = {}
    for choice in choices:
        signals = choice.entry.signals
        if signals.limit is not None or signals.limited_while_cold(now_s):
            direct.append(choice)
            continue
        domain = choice.entry.replica.failure_domain
        choices_by_domain.setdefault(domain, []).append(choice)
    largest_batch = max(_MIN_LARGEST_BATCH, math.ceil(math.sqrt(len(choices))))
    batches = []
    for domain, members in choices_by_domain.items():
        max_direct = (
            collect_above
            if members[0].entry.remote
            else max(collect_above, _MAX_DIRECT_LOCAL_SHARDS)
        )
        collectors: Sequence[directory_lib.ReplicaEntry] = ()
        if len(members) > max_direct:
            collectors = choose_collectors(
                domain, math.ceil(len(members) / largest_batch)
            )
        if not collectors:
            direct += members
            continue
        count = len(collectors)
        batches += [
            (collector, tuple(members[number::count]))
            for number, collector in enumerate(collectors)
        ]
    return Plan(tuple(direct), tuple(batches))


class Overheads:
    """Additional time of batches compared with direct attempts, by domain."""

    def __init__(self) -> None:
        self._by_domain: dict[str, quantile.QuantileEstimator] = {}

    def record(self, failure_domain: str, duration_s: float) -> None:
        """Records the overhead of one batch."""
        self._estimator(failure_domain).record(max(0.0, duration_s) * 1000)

    def overhead_s(self, failure_domain: str) -> float:
        """Returns an upper estimate of the overhead."""
        estimate_s = self._estimator(failure_domain).estimate_ms() / 1000
        return _OVERHEAD_FACTOR * estimate_s + _OVERHEAD_MARGIN_S

    def acceptable(self, failure_domain: str, objective_s: float) -> bool:
        """Whether batches leave enough of the objective for hedges."""
        return (
            self.overhead_s(failure_domain) <= _MAX_OVERHEAD_SHARE * objective_s
        )

    def dump(self) -> dict[str, float]:
        """Returns the estimates in milliseconds by failure domain."""
        return {
            domain: round(estimator.estimate_ms(), 2)
            for domain, estimator in self._by_domain.items()
        }

    def _estimator(self, failure_domain: str) -> quantile.QuantileEstimator:
        estimator = self._by_domain.get(failure_domain)
        if estimator is None:
            estimator = quantile.QuantileEstimator(
                _OVERHEAD_QUANTILE, _ASSUMED_OVERHEAD_MS
            )
            self._by_domain[failure_domain] = estimator
        return estimator


class Attempt:
    """An attempt that a collector sends; a counterpart of `attempts.Attempt`.

    Attributes:
        service: Service of the shard.
        entry: The replica.
        started_s: Loop time at which the batch was sent.
        pending: Whether the outcome is still awaited.
        withheld: Whether it ended unsent because it might not be sent any more.
    """

    __slots__ = (
        "_batch",
        "entry",
        "pending",
        "service",
        "started_s",
        "withheld",
    )

    def __init__(self, batch: "Batch", choice: Choice) -> None:
        self._batch = batch
        self.service = choice.service
        self.entry = choice.entry
        self.started_s = batch.started_s
        self.pending = True
        self.withheld = False

    @property
    def batch(self) -> "Batch":
        """The batch that contains the attempt."""
        return self._batch

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the replica."""
        return self._batch.sent

    def mark_late(self, now_s: float) -> None:
        """Records that the reply is overdue."""
        self._batch.mark_late(self, now_s)

    def release(self, may_listen: bool = True) -> None:
        """Stops waiting for the reply."""
        del may_listen
        self.pending = False
        self._batch.release_if_unused()


class Listener(Protocol):
    """Receiver of the outcomes of a batch."""

    def on_group(self, group: Group) -> None:
        """Called with parts; each shard of a batch is in one group at most."""

    def on_attempt_failed(
        self, attempt: Attempt, outcome: attempts_lib.Outcome
    ) -> None:
        """Called for each pending attempt that gave no part."""

    def on_batch_failed(
        self, attempts: Sequence[Attempt], may_have_run: bool
    ) -> None:
        """Called if the collector failed, with the attempts that it owes."""


class Batch:
    """One batch of attempts and the exchange with its collector.

    Attributes:
        collector: The collector.
        attempts: The attempts of the batch.
        started_s: Loop time at which it was sent.
        ack_due_s: Loop time by which the collector should have read it.
        replied: Whether a reply has arrived.
        unresponsive: Whether the collector did not read the batch in time.
    """

    def __init__(
        self,
        collector: directory_lib.ReplicaEntry,
        choices: Iterable[Choice],
        objective_s: float,
        end_s: float,
        listener: Listener,
        record: Callable[[Attempt, attempts_lib.Outcome, float], None],
        reach: reach_lib.DomainReachability,
        overheads: Overheads,
        record_signals: RecordSignals,
        allows: Callable[[directory_lib.ReplicaEntry], bool] | None = None,
    ) -> None:
        """Creates a batch that has not been sent.

        Args:
            collector: The collector.
            choices: The replicas for the shards.
            objective_s: Latency objective of the route.
            end_s: Loop time after which no reply is needed.
            listener: Gets the outcomes.
            record: Updates the health of a replica with an outcome and its
                duration in seconds.
            reach: Reachability of the failure domains.
            overheads: Gets the overhead of the batch.
            record_signals: Records what a replica asked for: whether it leaves,
                a pause in seconds and a rate limit in requests per second.
            allows: Whether the request's route allows a replica; None if it
                allows every one.
        """
        self._loop = asyncio.get_running_loop()
        self.collector = collector
        self.started_s = self._loop.time()
        self.attempts = tuple(Attempt(self, choice) for choice in choices)
        self.ack_due_s = self.started_s + min(
            _ACK_TIMEOUT_S, _ACK_TIMEOUT_OBJECTIVE_SHARE * objective_s
        )
        self.replied = False
        self.unresponsive = False
        self._listener = listener
        self._record = record
        self._reach = reach
        self._overheads = overheads
        self._record_signals = record_signals
        self._reader = ReplyReader()
        self._owed = dict(enumerate(self.attempts))
        self._end_s = end_s
        self._checks = [
            sending.SendCheck(attempt.entry, end_s, allows, takes_permits=False)
            for attempt in self.attempts
        ]
        self._first_reply_s = math.inf
        self._exchange: http1.Exchange | None = None
        self._abandon_timer: asyncio.TimerHandle | None = None
        self._outcome = "pending"

    @property
    def sent(self) -> bool:
        """Whether the collector may have got the batch."""
        return self._exchange is not None and self._exchange.sent

    @property
    def awaits_ack(self) -> bool:
        """Whether the collector still has to show that it has read it."""
        return (
            bool(self._owed)
            and not self.replied
            and not self.unresponsive
            and not self._exchange.interim_received
        )

    def send(
        self,
        request: model.Request,
        route: model.Route,
        first_reply_s: float,
        median_s: float,
    ) -> None:
        """Sends the batch to the collector.

        Args:
            request: The request of the caller.
            route: Its route.
            first_reply_s: Time after which the first reply is wanted.
            median_s: Median duration of an attempt at a replica.
        """
        self._first_reply_s = first_reply_s
        self._exchange = http1.Exchange(
            lambda: self._serialize(request, route),
            self._on_end,
            rank=route.rank,
            purpose="batch",
            on_data=self._on_data,
            may_send=self._may_send,
        )
        reply_delay_s = first_reply_s + self._overheads.overhead_s(
            self.collector.replica.failure_domain
        )
        for attempt in self.attempts:
            attempt.entry.health.record_start(
                attempt, self.started_s, median_s, reply_delay_s
            )
        self.collector.health.record_start(self, self.started_s, first_reply_s)
        self.collector.pool.submit(self._exchange)

    def mark_late(self, attempt: Attempt, now_s: float) -> None:
        """Records that the reply to an attempt is overdue.

        Once the collector has replied, the replica is late; before that, the
        collector is.
        """
        if self.replied:
            attempt.entry.health.record_late(attempt, now_s)
            return
        self.collector.health.record_late(self, now_s)
        self._record_unreached(now_s)

    def _record_unreached(self, now_s: float) -> None:
        collector = self.collector.replica
        self._reach.failed(collector.failure_domain, now_s, collector.id)

    def _serialize(self, request: model.Request, route: model.Route) -> bytes:
        """Returns the call with the times that are left now."""
        now_s = self._loop.time()
        round_trip_s = self.collector.pool.round_trip_s() or 0.0
        positions = {
            service: number for number, service in enumerate(route.shards)
        }
        call = Call(
            route.name,
            model.digest(route),
            request.id,
            request.method,
            request.target,
            request.headers,
            request.body,
            max(0.0, self._end_s - now_s - round_trip_s),
            max(0.0, self.started_s + self._first_reply_s - now_s),
            tuple(
                (positions[attempt.service], attempt.entry.replica.id)
                for attempt in self.attempts
            ),
        )
        body = msgspec.msgpack.encode(call)
        return (
            b"POST %s HTTP/1.1\r\nhost: %s\r\nexpect: 100-continue\r\n"
            b"content-length: %d\r\n\r\n%s"
        ) % (
            PATH.encode(),
            self.collector.pool.address.encode(),
            len(body),
            body,
        )

    def _may_send(self) -> bool:
        """Whether every attempt of the batch may still be sent."""
        now_s = self._loop.time()
        return all(check.may_send(now_s) for check in self._checks)

    def withdraw_if_withheld(self) -> bool:
        """Ends a batch that still waits if an attempt of it may not be sent.

        Returns:
            Whether the batch was ended; its attempts end as unsent.
        """
        if self.sent or self._may_send():
            return False
        self._exchange.withhold()
        return True

    def mark_unresponsive(self, now_s: float) -> None:
        """Records that the collector has not read the batch in time."""
        self.unresponsive = True
        self._outcome = "not_acknowledged"
        self.collector.health.record_failure(self, now_s)
        self._record_unreached(now_s)

    def release_if_unused(self) -> None:
        """Cancels the batch after a delay if no attempt is awaited."""
        if self._abandon_timer is not None or not self._owed:
            return
        if any(attempt.pending for attempt in self._owed.values()):
            return
        if not self.sent or self.awaits_ack:
            # The collector does not start a batch whose connection is closed.
            self._abandon()
            return
        self._abandon_timer = self._loop.call_later(
            _ABANDON_DELAY_S, self._abandon
        )

    def describe(self) -> str:
        """Returns collector, size, outcome and first reply for the log."""
        return (
            f"{self.collector.replica.id}:{len(self.attempts)}:{self._outcome}"
        )

    def _on_data(self, data: bytes) -> None:
        now_s = self._loop.time()
        try:
            for reply in self._reader.feed(data):
                self._on_reply(reply, now_s)
        except (msgspec.MsgspecError, LookupError, ValueError) as error:
            self._exchange.cancel()
            self._fail(f"malformed ({error})", may_have_run=True)

    def _on_reply(self, reply: Reply, now_s: float) -> None:
        durations_s = [value / 1e6 for value in reply.durations_us]
        # A direct attempt would have taken a round trip longer.
        round_trip_s = self.collector.pool.round_trip_s() or 0.0
        if not self.replied:
            ended = len(reply.positions) + len(reply.failed)
            # If attempts are late, the collector waited for them.
            waited_s = self._first_reply_s
            if ended == len(self._owed):
                waited_s = min(waited_s, max(durations_s, default=0.0))
            self._on_first_reply(waited_s, now_s)
        for position in reply.leaving:
            self._record_signals(
                self.attempts[position].entry, True, None, None
            )
        for item in reply.failed:
            self._record_signals(
                self.attempts[item.position].entry,
                False,
                item.pause_s,
                item.limit_per_s,
            )
        limits_per_s = dict(reply.limits)
        served = [self._owed.pop(position) for position in reply.positions]
        running = dict(zip(reply.positions, reply.running, strict=False))
        for position, attempt, signature, duration_s, waiting in zip(
            reply.positions,
            served,
            reply.signatures,
            durations_s,
            reply.waiting,
            strict=True,
        ):
            outcome = model.Reply(
                200,
                (),
                b"",
                signature,
                waiting=waiting,
                limit_per_s=limits_per_s.get(position),
                running=running.get(position, 0),
            )
            self._record(attempt, outcome, duration_s + round_trip_s)
        failed = [
            (self._owed.pop(item.position), _outcome_of(item))
            for item in reply.failed
        ]
        for attempt in served:
            attempt.pending = False
        if served:
            self._listener.on_group(
                Group(
                    tuple(attempt.service for attempt in served),
                    reply.signatures,
                    reply.records,
                )
            )
        for item, (attempt, outcome) in zip(reply.failed, failed, strict=True):
            attempt.withheld = item.withheld
            self._record(attempt, outcome, now_s - self.started_s)
            if attempt.pending:
                attempt.pending = False
                self._listener.on_attempt_failed(attempt, outcome)

    def _on_first_reply(self, waited_s: float, now_s: float) -> None:
        """Records how long the reply took beyond the wait for the replicas."""
        self.replied = True
        duration_s = now_s - self.started_s
        self._outcome = f"replied@{duration_s * 1000:.1f}ms"
        domain = self.collector.replica.failure_domain
        self.collector.health.record_reply(self, now_s)
        self._reach.succeeded(domain)
        self._overheads.record(domain, duration_s - waited_s)

    def _on_end(
        self,
        exchange: http1.Exchange,
        outcome: http1.Response | http1.FailureReason,
    ) -> None:
        if exchange.withheld:
            for attempt in self.attempts:
                attempt.withheld = True
            self.collector.health.discard(self)
            self._fail("withheld", False, refused=True)
        elif isinstance(outcome, http1.FailureReason):
            self._fail(outcome.value, outcome is not http1.FailureReason.UNSENT)
        elif outcome.status >= 500:
            # An error in the collector's program; it may have sent attempts.
            self._fail(f"status_{outcome.status}", may_have_run=True)
        elif outcome.status != 200:
            # The collector refused the batch; the body states the reason.
            self.collector.health.discard(self)
            self._fail(outcome.body.decode("latin1"), False, refused=True)
        elif self._owed:
            self._fail("incomplete", may_have_run=True)

    def _fail(
        self, reason: str, may_have_run: bool, refused: bool = False
    ) -> None:
        """Ends the attempts that have no outcome."""
        now_s = self._loop.time()
        self._outcome = reason
        if not refused:
            self.collector.health.record_failure(self, now_s)
            self._record_unreached(now_s)
        owed = list(self._owed.values())
        self._owed.clear()
        for attempt in owed:
            attempt.entry.health.discard(attempt)
        pending = [attempt for attempt in owed if attempt.pending]
        for attempt in pending:
            attempt.pending = False
        if pending:
            self._listener.on_batch_failed(pending, may_have_run)

    def _abandon(self) -> None:
        if self._exchange.done:
            return
        self._exchange.cancel()
        now_s = self._loop.time()
        if not self.replied and not self.unresponsive and self.sent:
            self.collector.health.record_failure(self, now_s)
        else:
            self.collector.health.discard(self)
        for attempt in self._owed.values():
            # After its first reply the collector is known to work.
            if self.replied:
                attempt.entry.health.record_failure(attempt, now_s)
            else:
                attempt.entry.health.discard(attempt)
        self._owed.clear()


def _outcome_of(failed: FailedAttempt) -> attempts_lib.Outcome:
    if failed.failure:
        return model.Failure(failed.failure)
    return model.Reply(
        failed.status,
        (),
        b"",
        not_run=failed.not_run,
        pause_s=failed.pause_s,
        limit_per_s=failed.limit_per_s,
    )
