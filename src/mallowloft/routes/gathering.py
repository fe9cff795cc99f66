"""One request that needs a part from every shard of a route."""

import dataclasses
import math

from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import merge
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes import running

# Merging, writing and the way to the caller take time after the last part.
_LEAVE_MARGIN_S = 0.006
_LEAVE_MARGIN_SHARE = 0.08
# Hedges wait while so many shards are late at once, for so many times the
# usual delay: links of small instances take that long for 90 parts.
_CROWD_MIN = 3
_CROWD_SHARE = 0.15
_CROWD_FACTOR = 2.0
_CONTENT_TYPE = (b"content-type", b"application/octet-stream")


@dataclasses.dataclass(slots=True)
class _Shard:
    """Attempts for one shard; `due_s` is when the newest one is late."""

    service: str
    tried: list[directory_lib.Entry] = dataclasses.field(default_factory=list)
    running: list[attempts_lib.Attempt] = dataclasses.field(
        default_factory=list
    )
    due_s: float = math.inf
    failure: str = ""


def leave_time(
    route: model.Route, started_s: float, waited_s: float, end_s: float
) -> float:
    """Returns when an answer may leave with fewer parts than there are.

    Shortly before the route's objective: an answer that is late is worth a
    fraction, while a few missing parts cost little. A caller that repeats has
    spent a part of the objective before.

    Args:
        route: The route.
        started_s: When the request arrived.
        waited_s: How long its caller has waited before.
        end_s: When the caller or the route gives up.
    """
    margin_s = _LEAVE_MARGIN_S + _LEAVE_MARGIN_SHARE * route.objective_s
    left_s = route.objective_s - margin_s - waited_s
    if left_s <= 0:
        left_s = route.objective_s - margin_s
    return min(end_s, started_s + left_s)


class Gathering(running.Work):
    """Asks one replica of each shard, hedges, and merges the parts."""

    def __init__(
        self,
        context: running.Context,
        run: running.Run,
        repeated: bool = False,
    ) -> None:
        """Prepares to gather.

        Args:
            context: What running requests share.
            run: The request.
            repeated: Whether another instance may have asked for the parts
                before, so that all attempts are extra ones.
        """
        super().__init__(context, run)
        self._repeated = repeated
        used = 1 if repeated else 0
        self._max_attempts = max(1, run.route.max_attempts - used)
        self._parts: dict[str, model.Reply] = {}
        self._open: dict[str, _Shard] = {}
        self._leave_s = leave_time(
            run.route, run.started_s, run.waited_s, run.end_s
        )
        self._late_s = run.latency.late_s
        # More late shards than this at one time have a cause on this side.
        self._crowd = max(_CROWD_MIN, int(_CROWD_SHARE * len(run.route.shards)))
        self._crowd_until_s = run.started_s + _CROWD_FACTOR * self._late_s
        # Attempts in flight for shards that are still open.
        self._in_flight = 0
        self._covered = 0
        self._lost: frozenset[str] = frozenset()
        self.sent = 0

    def start(self) -> None:
        """Sends the first attempts."""
        now_s = self._loop.time()
        directory = self._context.directory
        self._lost = directory.reach.lost()
        self._covered = reach.coverable(self._route, directory, self._lost)
        if self._covered < self._route.needed_shards:
            self._finish(
                model.refusal("not_coverable", running.RETRY_NO_REPLICA_S)
            )
            return
        for service in self._route.shards:
            if not self._repeated:
                self._context.extra(service).earn(now_s)
            self._open[service] = _Shard(service)
        for shard in list(self._open.values()):
            if self.done.done():
                return
            self._try_first(shard, now_s)
        if not self.done.done():
            self._settle(now_s)
            self._schedule(now_s)

    def _try_first(self, shard: _Shard, now_s: float) -> None:
        entry = self._context.selector.choose(
            self._context.directory.entries(shard.service), now_s
        )
        if entry is None:
            shard.failure = "no_replica"
            return
        if self._repeated:
            if not self._context.extra(shard.service).take_retry():
                self.denied += 1
                shard.failure = "denied"
                return
            self.retries += 1
        self._send(shard, entry, now_s)

    def _send(
        self, shard: _Shard, entry: directory_lib.Entry, now_s: float
    ) -> None:
        shard.tried.append(entry)
        shard.due_s = now_s + self._late_s
        self.sent += 1
        attempt = self._context.sender.start(
            entry,
            self._run.outgoing,
            self._run.end_s,
            self._run.latency,
            lambda attempt, outcome: self._on_end(shard, attempt, outcome),
        )
        if attempt.wanted:
            shard.running.append(attempt)
            self._in_flight += 1

    def _on_end(
        self,
        shard: _Shard,
        attempt: attempts_lib.Attempt,
        outcome: attempts_lib.Outcome,
    ) -> None:
        if attempt in shard.running:
            shard.running.remove(attempt)
            self._in_flight -= 1
        if self.done.done() or shard.service not in self._open:
            return
        if isinstance(outcome, model.Reply) and outcome.success:
            self._parts[shard.service] = outcome
            del self._open[shard.service]
            self._in_flight -= len(shard.running)
            for other in shard.running:
                other.release()
            shard.running.clear()
        else:
            self._on_failure(shard, outcome)
        self._settle(self._loop.time())

    def _on_failure(self, shard: _Shard, outcome: attempts_lib.Outcome) -> None:
        shard.failure = running.describe(outcome)
        if shard.running:
            return
        now_s = self._loop.time()
        entry = self._next(shard, now_s, sound=False)
        if entry is None:
            return
        free = outcome is model.Failure.UNSENT
        if free or self._context.extra(shard.service).take_retry():
            self.retries += 1
            self._send(shard, entry, now_s)
        else:
            self.denied += 1

    def _next(
        self, shard: _Shard, now_s: float, sound: bool
    ) -> directory_lib.Entry | None:
        if len(shard.tried) >= self._max_attempts:
            return None
        entries = self._context.directory.entries(shard.service)
        return self._context.selector.choose(entries, now_s, shard.tried, sound)

    def _tick(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        late = [
            shard
            for shard in self._open.values()
            if shard.due_s <= now_s and shard.running
        ]
        if len(late) > self._crowd and now_s < self._crowd_until_s:
            # Not the replicas but this instance's link or processor is late;
            # hedges would keep it longer.
            for shard in late:
                shard.due_s = now_s + self._late_s / 4
        else:
            for shard in late:
                self._hedge(shard, now_s)
        self._settle(now_s)
        if not self.done.done():
            self._schedule(now_s)

    def _hedge(self, shard: _Shard, now_s: float) -> None:
        for attempt in shard.running:
            attempt.note_late(now_s)
        shard.due_s = now_s + self._late_s / 2
        entry = self._next(shard, now_s, sound=True)
        if entry is None:
            if len(shard.tried) >= self._max_attempts:
                shard.due_s = math.inf
            return
        if running.take_hedge(
            self._context.extra(shard.service), shard.running, now_s
        ):
            self.hedges += 1
            self._send(shard, entry, now_s)
        else:
            self.denied += 1

    def _schedule(self, now_s: float) -> None:
        due_s = min(
            (shard.due_s for shard in self._open.values() if shard.running),
            default=math.inf,
        )
        if now_s < self._leave_s:
            due_s = min(due_s, self._leave_s)
        due_s = min(due_s, self._run.end_s)
        self._timer = self._loop.call_at(due_s, self._tick)

    def _settle(self, now_s: float) -> None:
        """Answers as soon as waiting gains nothing."""
        if self.done.done():
            return
        # Without an attempt in flight no further part will come.
        hopeless = not self._in_flight
        enough = len(self._parts) >= self._route.needed_shards
        ended = now_s >= self._run.end_s
        if enough and (hopeless or now_s >= self._leave_s or ended):
            self._finish(self._answer())
        elif hopeless or ended:
            self._finish(self._failure(ended))

    def _answer(self) -> model.Answer:
        names = self._context.names
        signatures = b", ".join(
            reply.signature for reply in self._parts.values()
        )
        body = merge.greatest(
            (reply.body for reply in self._parts.values()),
            self._route.top_records,
        )
        missing = len(self._open)
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

    def _failure(self, ended: bool) -> model.Answer:
        if not self.sent:
            return model.refusal("no_replica", running.RETRY_NO_REPLICA_S)
        if ended:
            return model.failure(504, "parts_late")
        return model.failure(502, "parts_failed")

    def _attempts(self) -> list[attempts_lib.Attempt]:
        return [
            attempt
            for shard in self._open.values()
            for attempt in shard.running
        ]

    def describe(self) -> dict[str, object]:
        """Returns what decided the answer, for the log."""
        open_shards = list(self._open.values())
        return {
            "parts": len(self._parts),
            "shards": len(self._route.shards),
            "needed": self._route.needed_shards,
            "coverable": self._covered,
            "lost": ",".join(sorted(self._lost)),
            "sent": self.sent,
            "hedges": self.hedges,
            "retries": self.retries,
            "denied": self.denied,
            "lacking": ",".join(
                f"{shard.service}:{shard.failure or 'late'}"
                f"@{'+'.join(item.replica.id for item in shard.tried)}"
                for shard in open_shards[:_MAX_LOGGED]
            ),
        }


# Shards that a log line names.
_MAX_LOGGED = 4
