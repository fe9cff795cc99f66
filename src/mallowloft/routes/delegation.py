"""Leaves the gathering of an answer to a hub.

Answers large fleets whose instances mostly have small links: the parts of one
answer take such a link longer than its replicas work, and each replica would
have to accept a connection of every instance. The hub gathers and returns the
merged answer; the parts pass its large link only.
"""

import asyncio
import dataclasses
import functools
import hashlib

import msgspec

from mallowloft.kernel import logs
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running
from mallowloft.upstream import http1

_log = logs.get("delegation")

PATH = "/v1/gather"
# A hub acknowledges a request as soon as it reads it: within so much time, or
# a part of the objective, or it is frozen, cut off or overloaded.
_ACKNOWLEDGED_S = 0.02
_ACKNOWLEDGED_SHARE = 0.2
# The way to the hub and back.
_HOP_S = 0.003
# Failure domains that hold this part of what the best one holds are as good.
_NEAR_SHARE = 0.8
# Hubs that one request goes to before this instance gathers by itself.
_MAX_HUBS = 2


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A request that another instance is to gather.

    Attributes:
        route: Name of the route.
        digest: That of the route as the sender knows it.
        left_s: When the sender's caller or route gives up.
        waited_s: How long the caller has waited already.
        repeated: Whether another hub may have asked the replicas before.
    """

    route: str
    digest: str
    id: bytes
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    left_s: float
    waited_s: float
    repeated: bool


class Gathered(msgspec.Struct, frozen=True, array_like=True):
    """A hub's answer, as the caller shall get it.

    Attributes:
        isolated: Whether callers are served better in other failure domains.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reason: str
    missing: int
    isolated: bool


call_decoder = msgspec.msgpack.Decoder(Call)
_gathered_decoder = msgspec.msgpack.Decoder(Gathered)


@functools.lru_cache(maxsize=64)
def digest(route: model.Route) -> str:
    """Returns what two instances compare that should handle a route alike."""
    return hashlib.blake2s(repr(route).encode(), digest_size=8).hexdigest()


def encode(answer: model.Answer, isolated: bool) -> bytes:
    """Returns an answer as it goes to the instance that asked for it."""
    gathered = Gathered(
        answer.status,
        answer.headers,
        answer.body,
        answer.reason,
        answer.missing,
        isolated,
    )
    return msgspec.msgpack.encode(gathered)


@dataclasses.dataclass(eq=False, slots=True)
class _Attempt:
    """A request at one hub."""

    entry: directory_lib.Entry
    started_s: float
    exchange: http1.Exchange | None = None
    wanted: bool = True

    def release(self) -> None:
        """Gives up; the hub stops when the connection is closed."""
        self.wanted = False
        self.entry.health.dropped(self)
        self.exchange.abandon()

    def fail(self, now_s: float) -> None:
        """Gives up because the hub does not answer."""
        self.wanted = False
        self.entry.health.failed(self, now_s)
        self.exchange.abandon()


class Delegated(running.Work):
    """Passes a request on to a hub, and gathers here if none answers."""

    def __init__(
        self,
        context: running.Context,
        run: running.Run,
        hubs: hubs_lib.Hubs,
        latency: limits.RouteLatency,
    ) -> None:
        """Prepares to pass a request on.

        Args:
            context: What running requests share.
            run: The request.
            hubs: The hubs.
            latency: Durations of requests of this route at hubs.
        """
        super().__init__(context, run)
        self._hubs = hubs
        self._latency = latency
        self._patience_s = min(
            _ACKNOWLEDGED_S, _ACKNOWLEDGED_SHARE * run.route.objective_s
        )
        self._tried: list[directory_lib.Entry] = []
        self._running: list[_Attempt] = []
        self._outcomes: list[str] = []
        self._may_have_run = False
        self._gathering: gathering.Gathering | None = None

    def start(self) -> None:
        """Sends the request to a hub."""
        self._next()
        if not self.done.done():
            self._schedule()

    def cancel(self) -> None:
        """Stops because the caller has left."""
        super().cancel()
        if self._gathering is not None:
            self._gathering.cancel()

    def describe(self) -> dict[str, object]:
        """Returns what decided the answer, for the log."""
        fields = self._gathering.describe() if self._gathering else {}
        return {"hubs": ",".join(self._outcomes), **fields}

    def _attempts(self) -> list[_Attempt]:
        return list(self._running)

    def _next(self) -> None:
        """Sends to one more hub, or gathers here."""
        if self._gathering is not None:
            return
        now_s = self._loop.time()
        entry = None
        if len(self._tried) < _MAX_HUBS and now_s < self._run.end_s:
            entry = self._choose(now_s)
        if entry is None:
            self._gather()
        else:
            self._send(entry, now_s)

    def _choose(self, now_s: float) -> directory_lib.Entry | None:
        """Returns the hub to ask, None if there is no sound one.

        Hubs whose failure domain holds most of the shards come first: their
        parts cross no link between failure domains.
        """
        directory = self._context.directory
        lost = directory.reach.lost()
        hubs = [
            entry
            for entry in self._hubs.gatherers
            if entry.replica.failure_domain not in lost
        ]
        covered = reach.covered_by_domain(self._route, directory)
        enough = _NEAR_SHARE * max(covered.values(), default=0)
        near = [
            entry
            for entry in hubs
            if covered[entry.replica.failure_domain] >= enough
        ]
        choose = self._context.selector.choose
        return choose(near, now_s, self._tried, sound=True) or choose(
            hubs, now_s, self._tried, sound=True
        )

    def _gather(self) -> None:
        work = gathering.Gathering(self._context, self._run, self._may_have_run)
        self._gathering = work
        work.done.add_done_callback(self._on_gathered)
        work.start()

    def _on_gathered(self, done: asyncio.Future) -> None:
        if not done.cancelled() and not self.done.done():
            self._finish(done.result())

    def _finish(self, answer: model.Answer) -> None:
        super()._finish(answer)
        if self._gathering is not None:
            self._gathering.cancel()

    def _send(self, entry: directory_lib.Entry, now_s: float) -> None:
        self._tried.append(entry)
        attempt = _Attempt(entry, now_s)
        attempt.exchange = http1.Exchange(
            self._wire(entry, now_s),
            lambda _, outcome: self._on_end(attempt, outcome),
            rank=self._route.rank,
        )
        entry.health.started(attempt, now_s, self._latency.usual_s)
        self._running.append(attempt)
        entry.pool.submit(attempt.exchange)

    def _wire(self, entry: directory_lib.Entry, now_s: float) -> bytes:
        request = self._run.outgoing.request
        elapsed_s = now_s - self._run.started_s
        call = Call(
            self._route.name,
            digest(self._route),
            request.id,
            request.method,
            request.target,
            request.headers,
            request.body,
            max(0.0, self._run.end_s - now_s - _HOP_S),
            self._run.waited_s + elapsed_s + _HOP_S,
            self._may_have_run,
        )
        body = msgspec.msgpack.encode(call)
        return (
            b"POST %s HTTP/1.1\r\nhost: %s\r\nexpect: 100-continue\r\n"
            b"content-length: %d\r\n\r\n%s"
        ) % (PATH.encode(), entry.pool.address.encode(), len(body), body)

    def _on_end(
        self, attempt: _Attempt, outcome: http1.Response | http1.Ending
    ) -> None:
        if not attempt.wanted:
            return
        attempt.wanted = False
        self._running.remove(attempt)
        if self.done.done():
            attempt.entry.health.dropped(attempt)
            return
        answer = self._judge(attempt, outcome)
        if answer is not None:
            self._finish(answer)
        elif not self._running:
            self._next()
        if not self.done.done():
            self._schedule()

    def _judge(
        self, attempt: _Attempt, outcome: http1.Response | http1.Ending
    ) -> model.Answer | None:
        """Returns the hub's answer, None if another one is to be asked."""
        now_s = self._loop.time()
        entry = attempt.entry
        self._note_reach(entry, isinstance(outcome, http1.Response))
        if isinstance(outcome, http1.Ending):
            entry.health.failed(attempt, now_s)
            self._may_have_run |= outcome is not http1.Ending.UNSENT
            self._note(attempt, outcome.value)
            return None
        if outcome.status != 200:
            # It says why it did not gather.
            entry.health.dropped(attempt)
            self._note(attempt, outcome.body.decode("latin1"))
            return None
        try:
            gathered = _gathered_decoder.decode(outcome.body)
        except msgspec.MsgspecError as error:
            entry.health.failed(attempt, now_s)
            self._may_have_run = True
            self._note(attempt, f"malformed ({error})")
            return None
        entry.health.replied(attempt, now_s)
        self._latency.record(now_s - attempt.started_s)
        if gathered.isolated:
            self._hubs.note_isolated(entry)
        self._note(attempt, gathered.reason or "answered")
        return model.Answer(
            gathered.status,
            gathered.headers,
            gathered.body,
            gathered.reason,
            gathered.missing,
        )

    def _note_reach(self, entry: directory_lib.Entry, reached: bool) -> None:
        if not entry.remote:
            return
        domain = entry.replica.failure_domain
        if reached:
            self._context.directory.reach.succeeded(domain)
        else:
            self._context.directory.reach.failed(domain, self._loop.time())

    def _note(self, attempt: _Attempt, outcome: str) -> None:
        elapsed_ms = (self._loop.time() - attempt.started_s) * 1000
        self._outcomes.append(
            f"{attempt.entry.replica.id}:{outcome}@{elapsed_ms:.1f}ms"
        )

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due_s = self._run.end_s
        for attempt in self._running:
            if not attempt.exchange.acknowledged:
                due_s = min(due_s, attempt.started_s + self._patience_s)
        self._timer = self._loop.call_at(due_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        if now_s >= self._run.end_s:
            self._finish(model.failure(504, "hubs_late"))
            return
        for attempt in list(self._running):
            late = now_s >= attempt.started_s + self._patience_s
            if late and not attempt.exchange.acknowledged:
                self._give_up(attempt, now_s)
        if not self.done.done():
            self._schedule()

    def _give_up(self, attempt: _Attempt, now_s: float) -> None:
        """Takes a request back from a hub that does not read it.

        A hub that reads it later finds the connection closed. One that has
        acknowledged is not given up: it may have used all attempts that the
        route allows, so nobody could ask the replicas again.
        """
        self._note(attempt, "not_acknowledged")
        self._running.remove(attempt)
        self._may_have_run |= attempt.exchange.sent
        attempt.fail(now_s)
        self._note_reach(attempt.entry, False)
        if not self._running:
            self._next()
