"""Sends a request to one replica and judges the reply."""

import asyncio
from collections.abc import Callable

from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach as reach_lib
from mallowloft.upstream import http1

_log = logs.get("attempts")

# An attempt that lost its race keeps its connection this long: a new
# connection costs the replica more than the rest of most attempts.
_RELEASE_S = 0.25
_MIN_DEADLINE_MS = 1
# Another replica has the address; the named one is gone.
_MISDIRECTED = 421

Outcome = model.Reply | model.Failure

_OK = "ok"
_REPLICA_FAILED = "replica_failed"
_NOT_RUN = "not_run"
_OUTCOMES = (_OK, _REPLICA_FAILED, _NOT_RUN, *model.Failure)


_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def forwarded(headers: model.Headers, names: frozenset[bytes]) -> model.Headers:
    """Returns the headers that do not concern only one connection.

    Args:
        headers: With names in lower case.
        names: Further names that are left out.
    """
    dropped = set(names)
    for name, value in headers:
        if name == b"connection":
            tokens = value.lower().split(b",")
            dropped.update(token.strip() for token in tokens)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and name not in _CONNECTION_HEADERS
    )


class Outgoing:
    """The unchanging part of what replicas get for one request."""

    __slots__ = ("_head", "_tail", "has_reply_body", "rank", "request")

    def __init__(
        self, request: model.Request, rank: int, names: model.HeaderNames
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
        self.has_reply_body = request.method != b"HEAD"
        self._head = b"".join(lines)
        self._tail = b"\r\n\r\n" + request.body

    def wire(
        self, deadline_ms: int, names: model.HeaderNames, replica_id: str
    ) -> bytes:
        """Returns the request for one replica as it is written."""
        return b"%s%d\r\n%s: %s%s" % (
            self._head,
            max(_MIN_DEADLINE_MS, deadline_ms),
            names.expected_replica,
            replica_id.encode(),
            self._tail,
        )


class Attempt:
    """A request at one replica."""

    __slots__ = ("_reach", "entry", "exchange", "started_s", "wanted")

    def __init__(
        self,
        entry: directory_lib.Entry,
        started_s: float,
        reach: reach_lib.DomainReach,
    ) -> None:
        self._reach = reach
        self.entry = entry
        self.started_s = started_s
        self.exchange: http1.Exchange | None = None
        self.wanted = True

    @property
    def sent(self) -> bool:
        """Whether the replica may run the request."""
        return self.exchange.sent

    def note_late(self, now_s: float) -> None:
        """Notes that there is no reply when there should be one."""
        self.entry.health.late(self, now_s)
        self._reach.failed(self.entry.replica.failure_domain, now_s)

    def release(self) -> None:
        """Gives up the reply; a late one still tells how the replica fares."""
        if not self.wanted:
            return
        self.wanted = False
        if self.exchange.ended:
            return
        if not self.exchange.sent:
            self._abandon()
            return
        asyncio.get_running_loop().call_later(_RELEASE_S, self._abandon)

    def _abandon(self) -> None:
        if self.exchange.ended:
            return
        sent = self.exchange.sent
        self.exchange.abandon()
        now_s = asyncio.get_running_loop().time()
        if sent:
            self.entry.health.failed(self, now_s)
            self._reach.failed(self.entry.replica.failure_domain, now_s)
        else:
            self.entry.health.dropped(self)


class Sender:
    """Starts attempts and records what they tell about replicas."""

    def __init__(
        self,
        names: model.HeaderNames,
        metrics: metrics_lib.Metrics,
        reach: reach_lib.DomainReach,
    ) -> None:
        self._names = names
        self._count_by_outcome = {
            outcome: metrics.counter("route_attempts", outcome=outcome).inc
            for outcome in _OUTCOMES
        }
        self._reach = reach

    def start(
        self,
        entry: directory_lib.Entry,
        outgoing: Outgoing,
        deadline_s: float,
        latency: limits.RouteLatency,
        on_end: Callable[[Attempt, Outcome], None],
    ) -> Attempt:
        """Sends a request to a replica.

        Args:
            entry: The replica.
            outgoing: The request.
            deadline_s: Loop time at which the replica may stop.
            latency: Durations of the request's route.
            on_end: Called once, unless the attempt is released before.
        """
        now_s = asyncio.get_running_loop().time()
        attempt = Attempt(entry, now_s, self._reach)

        def ended(
            exchange: http1.Exchange, result: http1.Response | http1.Ending
        ) -> None:
            outcome = self._judge(attempt, exchange, result, latency)
            if attempt.wanted:
                attempt.wanted = False
                on_end(attempt, outcome)

        wire = outgoing.wire(
            int((deadline_s - now_s) * 1000), self._names, entry.replica.id
        )
        attempt.exchange = http1.Exchange(
            wire,
            ended,
            self._names.request_id,
            outgoing.request.id,
            outgoing.rank,
            outgoing.has_reply_body,
        )
        entry.health.started(attempt, now_s, latency.usual_s)
        entry.pool.submit(attempt.exchange)
        return attempt

    def _judge(
        self,
        attempt: Attempt,
        exchange: http1.Exchange,
        result: http1.Response | http1.Ending,
        latency: limits.RouteLatency,
    ) -> Outcome:
        now_s = asyncio.get_running_loop().time()
        health = attempt.entry.health
        domain = attempt.entry.replica.failure_domain
        if isinstance(result, http1.Ending):
            health.failed(attempt, now_s)
            self._reach.failed(domain, now_s)
            failure = model.Failure(result.value)
            self._count_by_outcome[failure]()
            return failure
        self._reach.succeeded(domain)
        reply = self._reply(result)
        health.waiting = reply.waiting
        if reply.status == _MISDIRECTED:
            self._note_misdirected(attempt.entry)
        if reply.not_run:
            health.failed(attempt, now_s)
            self._count_by_outcome[_NOT_RUN]()
            return reply
        if reply.status < 300 and self._is_foreign(result, reply):
            health.failed(attempt, now_s)
            self._count_by_outcome[model.Failure.MALFORMED]()
            return model.Failure.MALFORMED
        if reply.status >= 500:
            health.failed(attempt, now_s)
        else:
            self._record(attempt, now_s, latency)
        outcome = _OK if reply.success else _REPLICA_FAILED
        self._count_by_outcome[outcome]()
        return reply

    def _note_misdirected(self, entry: directory_lib.Entry) -> None:
        """Sends nothing more to a replica whose address another one has."""
        if entry.draining:
            return
        entry.draining = True
        _log.info(
            "replica_misdirected",
            replica=entry.replica.id,
            service=entry.replica.service,
            address=entry.pool.address,
        )

    def _record(
        self, attempt: Attempt, now_s: float, latency: limits.RouteLatency
    ) -> None:
        health = attempt.entry.health
        # Replicas known to be slow would make every attempt look punctual.
        if health.slowness(now_s) < limits.SLOW_FACTOR:
            latency.record(now_s - attempt.started_s)
        health.replied(attempt, now_s)

    def _reply(self, response: http1.Response) -> model.Reply:
        not_run = response.header(self._names.not_run) is not None
        return model.Reply(
            status=response.status,
            headers=response.headers,
            body=response.body,
            signature=response.header(self._names.signature) or b"",
            not_run=not_run or response.status == _MISDIRECTED,
            waiting=_waiting(response.header(self._names.load)),
        )

    def _is_foreign(self, response: http1.Response, reply: model.Reply) -> bool:
        """Whether a success cannot be the replica's own whole reply."""
        encoded = response.header(b"content-encoding") is not None
        return encoded or not reply.signature


def _waiting(load: bytes | None) -> int:
    """Returns the waiting requests of `running,waiting,slots`."""
    if load is None:
        return 0
    fields = load.split(b",")
    if len(fields) < 2 or not fields[1].strip().isdigit():
        return 0
    return int(fields[1])
