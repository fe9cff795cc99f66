"""Plug-in that sends batches of attempts for instances of other domains."""

import asyncio
from typing import Any

import msgspec

from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.routes import attempts as attempts_lib
from mallowloft.routes import batching
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import exchange as exchange_lib
from mallowloft.routes import merge
from mallowloft.routes import message_types
from mallowloft.routes import model

_log = logs.get_logger("collector")

# Maximum size of a call. Assumes that the limit on callers' bodies stays below
# it, so that there is room for the other fields of the call.
_MAX_CALL_BYTES = 16 << 20
# One in this many batches whose replicas all gave a part is logged.
_LOG_ONE_IN_COMPLETE = 50
# A sender that does not know yet that a replica drains, is cold or evacuated is
# told that it pauses for this long, which every build understands. It covers
# most of the time by which instances learn of a change of the source one after
# the other.
_ASSUMED_PAUSE_S = 0.5


class _Collection:
    """The attempts of one batch at this instance.

    Attributes:
        changed: Set when an attempt ends or one of the times has come.
        reply_due: Whether the first reply is due.
        ended: Whether further replies would be too late.
    """

    def __init__(self, routes: Any, call: batching.Call, route: model.Route):
        self._routes = routes
        self._call = call
        self._route = route
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._outgoing = attempts_lib.OutgoingRequest(
            model.Request(
                call.id, call.method, call.target, call.headers, call.body
            ),
            route.rank,
            routes.names,
            is_part=True,
        )
        self._attempts_by_position: dict[int, attempts_lib.Attempt] = {}
        # Attempts that were not sent because of what their replicas asked for.
        self._refused_by_position: dict[int, batching.FailedAttempt] = {}
        # Positions of the attempts whose replicas are about to end.
        self._leaving: list[int] = []
        self._ended: list[tuple[int, attempts_lib.Outcome, float]] = []
        self._timers: list[asyncio.TimerHandle] = []
        self.changed = asyncio.Event()
        self.reply_due = False
        self.ended = False
        self.parts = 0
        self.failed = 0

    @property
    def pending(self) -> int:
        """Number of attempts without an outcome."""
        return len(self._attempts_by_position)

    @property
    def crashes_replicas(self) -> bool:
        """Whether the request is refused because it crashes replicas."""
        crashes = self._routes.crashes
        return not crashes.is_empty and bool(
            crashes.refused_for_s(self._outgoing.fingerprint, self._started_s)
        )

    def start(self) -> None:
        """Sends the attempts to the replicas that the call names."""
        call = self._call
        self._timers = [
            self._loop.call_at(
                self._started_s + call.first_reply_s, self._on_reply_due
            ),
            self._loop.call_at(self._started_s + call.left_s, self._on_end),
        ]
        latency = self._routes.stats_of(self._route).latency
        for position, (shard, replica_id) in enumerate(call.replicas):
            entry = self._routes.directory.entry(replica_id)
            if (
                entry is None
                or entry.draining
                or not 0 <= shard < len(self._route.shards)
                or entry.replica.service != self._route.shards[shard]
                or not self._allows(entry)
            ):
                if entry is not None and entry.draining:
                    self._refused_by_position[position] = _refused_attempt(
                        position, entry, self._started_s
                    )
                self._end(position, model.Failure.UNSENT)
                continue
            if not entry.admits_if_alone(self._started_s):
                if entry.signals.leaving:
                    self._leaving.append(position)
                self._refused_by_position[position] = _refused_attempt(
                    position, entry, self._started_s
                )
                self._end(position, model.Failure.UNSENT)
                continue
            attempt = self._routes.sender.start(
                entry,
                self._outgoing,
                self._started_s + call.left_s,
                latency,
                lambda attempt, outcome, position=position: self._end(
                    position, outcome, attempt
                ),
                allows=self._allows,
            )
            if attempt.pending:
                self._attempts_by_position[position] = attempt

    def take_reply(self) -> batching.Reply:
        """Returns the outcomes since the last call."""
        ended, self._ended = self._ended, []
        leaving, self._leaving = self._leaving, []
        self.changed.clear()
        parts = [
            item
            for item in ended
            if isinstance(item[1], model.Reply) and item[1].success
        ]
        failed = tuple(
            self._refused_by_position.get(position)
            or _failed_attempt(position, outcome)
            for position, outcome, _ in ended
            if not isinstance(outcome, model.Reply) or not outcome.success
        )
        self.parts += len(parts)
        self.failed += len(failed)
        return batching.Reply(
            tuple(position for position, _, _ in parts),
            tuple(outcome.signature for _, outcome, _ in parts),
            tuple(int(duration_s * 1e6) for _, _, duration_s in parts),
            tuple(outcome.waiting for _, outcome, _ in parts),
            merge.greatest(
                (outcome.body for _, outcome, _ in parts),
                self._route.top_records,
            ),
            failed,
            tuple(leaving),
            tuple(
                (position, outcome.limit_per_s)
                for position, outcome, _ in parts
                if outcome.limit_per_s is not None
            ),
            tuple(outcome.running for _, outcome, _ in parts),
        )

    def abandon(self) -> None:
        """Cancels the attempts without an outcome at once.

        The sender has already waited for late replies.
        """
        for timer in self._timers:
            timer.cancel()
        for attempt in self._attempts_by_position.values():
            attempt.abandon()
        self._attempts_by_position.clear()

    def _allows(self, entry: directory_lib.ReplicaEntry) -> bool:
        """Whether the route allows a replica."""
        return self._routes.directory.homes.allows(
            self._route, entry.replica.failure_domain
        )

    def _on_reply_due(self) -> None:
        self.reply_due = True
        self.changed.set()

    def _on_end(self) -> None:
        self.ended = True
        self.changed.set()

    def _end(
        self,
        position: int,
        outcome: attempts_lib.Outcome,
        attempt: attempts_lib.Attempt | None = None,
    ) -> None:
        if attempt is not None and attempt.withheld:
            if attempt.entry.signals.leaving:
                self._leaving.append(position)
            self._refused_by_position[position] = _refused_attempt(
                position, attempt.entry, self._loop.time()
            )
        self._attempts_by_position.pop(position, None)
        if isinstance(outcome, model.Reply) and outcome.leaving:
            self._leaving.append(position)
        duration_s = self._loop.time() - self._started_s
        self._ended.append((position, outcome, duration_s))
        self.changed.set()


def _refused_attempt(
    position: int, entry: directory_lib.ReplicaEntry, now_s: float
) -> batching.FailedAttempt:
    """Returns the outcome of an attempt that its replica would not accept."""
    signals = entry.signals
    pause_s = signals.pause_left_s(now_s)
    if entry.draining or entry.evacuated or signals.limited_while_cold(now_s):
        pause_s = max(pause_s, _ASSUMED_PAUSE_S)
    return batching.FailedAttempt(
        position,
        model.Failure.UNSENT.value,
        pause_s=_bounded(pause_s or None),
        limit_per_s=signals.limit.per_s if signals.limit else None,
        withheld=True,
    )


def _failed_attempt(
    position: int, outcome: attempts_lib.Outcome
) -> batching.FailedAttempt:
    if isinstance(outcome, model.Failure):
        return batching.FailedAttempt(position, outcome.value)
    return batching.FailedAttempt(
        position,
        "",
        outcome.status,
        outcome.not_run,
        _bounded(outcome.pause_s),
        outcome.limit_per_s,
    )


def _bounded(pause_s: float | None) -> float | None:
    """Returns a pause that a message may contain."""
    if pause_s is None:
        return None
    return min(pause_s, message_types.MAX_SECONDS)


@registry.plugins.register("collector")
class Collector:
    """Serves batches with the plug-in `routes`."""

    requires: tuple[str, ...] = ("fleet", "routes")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._routes = kernel.plugin("routes")
        self._open_calls = 0
        self._ended_count = 0
        kernel.plugin("fleet").mount(batching.PATH, self._serve_call)

    async def start(self) -> None:
        """Does nothing; the plug-in `fleet` runs the server."""

    async def stop(self, grace_s: float) -> None:
        """Does nothing; new calls are refused and running ones end soon."""

    def ready(self) -> bool:
        """Always ready; callers do not depend on this plug-in."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of batches in progress."""
        return {"open_calls": self._open_calls}

    async def _serve_call(self, scope, receive, send) -> None:
        exchange = exchange_lib.ServerExchange(scope, receive, send)
        self._open_calls += 1
        try:
            body = await exchange.read_body(_MAX_CALL_BYTES)
            call = batching.call_decoder.decode(body or b"")
            # A sender that cancelled the batch has closed the connection.
            if await exchange.is_disconnected():
                raise exchange_lib.CallerLeftError
            await self._answer(exchange, call)
        except msgspec.MsgspecError as error:
            _log.warning("call_malformed", reason=str(error))
            await exchange_lib.respond(send, 400, b"malformed")
        except exchange_lib.CallerLeftError:
            self._count("abandoned")
        finally:
            self._open_calls -= 1

    async def _answer(
        self, exchange: exchange_lib.ServerExchange, call: batching.Call
    ) -> None:
        route = self._find_route(call)
        if isinstance(route, str):
            self._count(route)
            await exchange_lib.respond(exchange.send, 409, route.encode())
            return
        collection = _Collection(self._routes, call, route)
        if collection.crashes_replicas:
            self._count("crashes_replicas")
            await exchange_lib.respond(exchange.send, 409, b"crashes_replicas")
            return
        disconnected = asyncio.ensure_future(exchange.wait_for_disconnect())
        try:
            collection.start()
            await exchange.send(
                {"type": "http.response.start", "status": 200, "headers": []}
            )
            await self._send_replies(exchange, collection, disconnected)
            self._record_end(call, collection)
        finally:
            disconnected.cancel()
            collection.abandon()

    async def _send_replies(
        self,
        exchange: exchange_lib.ServerExchange,
        collection: _Collection,
        disconnected: asyncio.Future,
    ) -> None:
        """Sends a first reply, and one for each attempt that ends later.

        Raises:
            CallerLeftError: The sender has closed its connection.
        """
        while collection.pending and not (
            collection.reply_due or collection.ended
        ):
            await _wait(collection, disconnected)
        while True:
            more_body = collection.pending > 0 and not collection.ended
            await exchange.send(
                {
                    "type": "http.response.body",
                    "body": batching.encode_reply(collection.take_reply()),
                    "more_body": more_body,
                }
            )
            if not more_body:
                return
            await _wait(collection, disconnected)

    def _find_route(self, call: batching.Call) -> model.Route | str:
        """Returns the route, or the reason for refusing the call."""
        if self._kernel.stopping:
            return "stopping"
        table = self._routes.table
        if table is None:
            return "starting"
        for route in table.routes:
            if route.name == call.route and model.digest(route) == call.digest:
                return route
        return "route_differs"

    def _record_end(self, call: batching.Call, collection: _Collection) -> None:
        late = collection.pending
        complete = not late and not collection.failed
        self._count("complete" if complete else "incomplete")
        self._ended_count += 1
        if complete and self._ended_count % _LOG_ONE_IN_COMPLETE:
            return
        _log.info(
            "batch_ended",
            request=call.id.decode("latin1"),
            route=call.route,
            parts=collection.parts,
            failed=collection.failed,
            late=late,
        )

    def _count(self, outcome: str) -> None:
        self._kernel.metrics.count("collected_batches", outcome=outcome)


async def _wait(collection: _Collection, disconnected: asyncio.Future) -> None:
    """Waits until an attempt ends, a time has come, or the sender leaves.

    Raises:
        CallerLeftError: The sender has closed its connection.
    """
    changed = asyncio.ensure_future(collection.changed.wait())
    try:
        await asyncio.wait(
            (changed, disconnected), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        changed.cancel()
    collection.changed.clear()
    if disconnected.done():
        raise exchange_lib.CallerLeftError
