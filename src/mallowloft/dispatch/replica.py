"""Queue, slots and connections of one replica."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from mallowloft import messages
from mallowloft.configuration import model
from mallowloft.dispatch import health as health_lib
from mallowloft.dispatch import limits
from mallowloft.dispatch import queue as queue_lib
from mallowloft.dispatch import reservations as reservations_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.upstream import protocol

_log = logs.get("dispatch")

_QUEUE_LIMIT = 512
_POLL_S = 0.005
# Expiry and notices of waiting are checked this often while there is work.
_TICK_S = 0.005
# Cancelled calls whose end the replica has not confirmed; more of them count
# as calls in flight, so that connections are left for the others.
_MAX_UNCONFIRMED = 2
# A refusal at once needs an expected wait well above the time left, because
# the estimate of the service time is rough.
_WAIT_CERTAINTY = 0.5
# Time that a call needs to finish, relative to the mean service time.
_TIME_NEEDED = 1.25
# Preemptions per start and how many may come in a row.
_PREEMPTION_SHARE = 0.25
_PREEMPTION_BURST = 20
# A call of this age, relative to the mean service time, is not preempted: it
# will end within about half a service time, and its work would be lost. A call
# that is older is of a long kind and tells nothing of its end.
_SPARED_FROM = 0.75
_SPARED_TO = 3.0
_SHED_ATTEMPTS = 3
_SHED_BACKOFF_MIN_S = 0.001
_MIN_NOTICE_S = 0.002
_PROBE_S = 1.0
_PROBE_UNHEALTHY_S = 0.25
# An unchanged health answer is not believed for this long after a reply has
# denied a version, because the endpoint may lag.
_DENIAL_S = 2.0
# A call that ends at its deadline after less than this many mean service
# times had a short deadline; that is no fault of the replica.
_TIMEOUT_FACTOR = 4.0
# Issuers are told for this long that a submission had no known outcome, so
# that not each of them loses one to the same fault.
_DOUBTFUL_S = 5.0
# They are told too while a submission is unanswered for this long.
_OVERDUE_SUBMISSION_S = 0.3

_OUTCOMES = {
    protocol.CallOutcome.OK: messages.Outcome.OK,
    protocol.CallOutcome.WRONG_VERSION: messages.Outcome.WRONG_VERSION,
    protocol.CallOutcome.SHED: messages.Outcome.SHED,
    protocol.CallOutcome.DRAINING: messages.Outcome.DRAINING,
    protocol.CallOutcome.UNSENT: messages.Outcome.UNREACHABLE,
    protocol.CallOutcome.FAILED: messages.Outcome.FAILED,
}
# Reasons of FAILED that mean that the deadline passed.
_TIMEOUTS = frozenset({"timeout", "TimeoutError", "SocketTimeoutError"})
# WRONG_VERSION cannot answer a submission; nothing says that it did not run.
_SLOT_STATES = {
    protocol.CallOutcome.OK: messages.SlotState.DONE,
    protocol.CallOutcome.WRONG_VERSION: messages.SlotState.MAYBE_RUN,
    protocol.CallOutcome.SHED: messages.SlotState.SHED,
    protocol.CallOutcome.DRAINING: messages.SlotState.SHED,
    protocol.CallOutcome.UNSENT: messages.SlotState.NOT_SENT,
    protocol.CallOutcome.FAILED: messages.SlotState.MAYBE_RUN,
}

Key = reservations_lib.Key


def _window(replica: model.Replica, max_connections: int) -> int:
    """Returns how many calls may be in flight to a replica.

    Two connections are left for cancellation and probes where possible.
    """
    ahead = (replica.slots + 1) // 2
    return max(1, min(replica.slots + ahead, max_connections - 2))


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """One call in flight.

    Attributes:
        begun_s: When it took a slot of the replica, as far as can be told
            from the order of calls; None while it waits there for a slot.
        cancelled: The replica was asked to drop it.
        requeue: It goes back to the queue if the replica dropped it.
    """

    call_id: str
    rank: int
    reserved: bool
    sent_s: float
    begun_s: float | None
    cancelled: bool = False
    requeue: bool = False


class ReplicaDispatcher:
    """Queue, slots and connections of one replica.

    Queries and reservations for submissions wait in one priority queue. A
    reservation at its head holds a slot until its ticket is used, released or
    expired.

    A few calls more than the replica has slots are in flight, so that a slot
    that gets free is taken before the reply has crossed the network. A call
    that waits at the replica is recalled when a higher class arrives.
    """

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        replica: model.Replica,
        upstream: protocol.Upstream,
        max_connections: int,
        reservations: reservations_lib.Reservations,
        queries: dict[Key, "ReplicaDispatcher"],
        on_leaving: Callable[[str, bool], None],
    ) -> None:
        """Creates the dispatcher without opening connections.

        Args:
            kernel: The instance.
            replica: The replica as configured.
            upstream: Connections to it.
            max_connections: Limit of those connections.
            reservations: Reservations of all replicas of this instance.
            queries: Dispatcher of each query that waits or runs, shared by
                all dispatchers of this instance.
            on_leaving: Called with the replica id when it says that it
                drains; the flag tells a reply from a health answer.
        """
        self.replica = replica
        self._kernel = kernel
        self._upstream = upstream
        self._max_connections = max_connections
        self._reservations = reservations
        self._queries = queries
        self._on_leaving = on_leaving
        self._queue = queue_lib.PriorityQueue(_QUEUE_LIMIT)
        self._calls_by_key: dict[Key, _Call] = {}
        self._held: dict[Key, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task] = set()
        self._call_numbers = itertools.count(1)
        self._limit = self._new_limit()
        self._preemptions = limits.TokenBudget(
            _PREEMPTION_SHARE, _PREEMPTION_BURST
        )
        self._use = limits.SlotUse(replica.slots)
        self._sheds_by_key: dict[Key, int] = {}
        self._backoff_until_s = 0.0
        self._unnoticed: collections.deque[tuple[float, Key]] = (
            collections.deque()
        )
        self._versions: tuple[int, ...] = ()
        self._pumping = False
        self._ticking = False
        self._used_s = kernel.clock.now()
        self._health = health_lib.ReplicaHealth(self._used_s)
        self._leaving = False
        # Time of the last reply, or of the first call since all was quiet.
        self._progress_s = self._used_s
        self._denied_s = -_DENIAL_S
        self._doubtful_until_s = float("-inf")
        self._health_versions: tuple[int, ...] = ()
        self.health_state = ""
        self._probe_task: asyncio.Task | None = None

    @property
    def idle_s(self) -> float:
        """Time since the last work, 0 while there is any."""
        if self._busy():
            return 0.0
        return self._kernel.clock.now() - self._used_s

    @property
    def waiting(self) -> int:
        """Number of queries and reservations in the queue."""
        return len(self._queue)

    def add(self, key: Key, request: messages.SubRequest) -> None:
        """Queues a sub-request; a duplicate of one in hand is ignored."""
        if key in self._queries:
            return
        self._queries[key] = self
        self._push(self._item(key, request))

    def reserve(self, key: Key, request: messages.SlotReserve) -> None:
        """Queues a reservation; a duplicate is ignored."""
        now_s = self._kernel.clock.now()
        if self._reservations.open(key, self, now_s):
            self._push(self._item(key, request))

    def cancel(self, key: Key) -> None:
        """Drops a query that waits or runs; it is not answered."""
        self._queue.remove(key)
        self._queries.pop(key, None)
        self._sheds_by_key.pop(key, None)
        call = self._calls_by_key.get(key)
        if call is None:
            return
        call.requeue = False
        if not call.cancelled:
            self._cancel_call(call)
        self._pump()

    def abandon(self, key: Key, reason: str, answer: bool = True) -> None:
        """Ends a reservation that has not been used and frees its slot."""
        state = self._reservations.state(key)
        if state is reservations_lib.State.WAITING:
            self._queue.remove(key)
        elif state is not reservations_lib.State.HELD:
            return
        self._end_reservation(
            key, messages.SlotState.NOT_SENT, reason, answer=answer
        )

    def go(self, key: Key, message: messages.SlotGo) -> None:
        """Runs a submission in the slot held for it.

        The caller has used up the ticket, so this happens once for a key.
        """
        if message.remaining_ms <= 0:
            self._end_reservation(
                key, messages.SlotState.NOT_SENT, "deadline passed"
            )
            return
        self._held.pop(key).cancel()
        call = self._new_call(message.request, key, rank=0, reserved=False)
        self._spawn(self._submit(key, call, message))

    def reconfigure(self, replica: model.Replica) -> None:
        """Takes a changed number of slots."""
        self.replica = replica
        self._limit = self._new_limit()
        self._use = limits.SlotUse(replica.slots)
        self._pump()

    def leave(self) -> None:
        """Gives no new work to the replica; calls in flight go on."""
        if self._leaving:
            return
        self._leaving = True
        for item in self._queue.take_all():
            self._refuse(item, messages.Outcome.DRAINING)

    def rejoin(self) -> None:
        """Gives work to a replica that is back, slowly at first."""
        if self._leaving:
            self._leaving = False
            self.start_cold()

    def start_cold(self) -> None:
        """Ramps up a replica that has just started."""
        self._health.start_cold(self._kernel.clock.now())

    def on_wake(self) -> None:
        """Forgets what a pause of this process says of the replica."""
        self._progress_s = self._kernel.clock.now()

    def start_probes(self) -> None:
        """Starts to read the health endpoint."""
        if self._probe_task is None:
            self._probe_task = asyncio.create_task(self._probe())

    def queue_delay_ms(self, rank: int) -> float:
        """Returns the expected wait of a new item of a class.

        It includes the time for which a replica at fault is better avoided
        and by how much it is slower than usual, because entries choose by
        this figure. The choice among replicas stays theirs: only they know
        the other replicas of a shard and can keep the floor of half.
        """
        now_s = self._kernel.clock.now()
        wait_s = self._expected_wait_s(rank, float("inf"))
        wait_s += self._health.avoid_s(now_s) + self._health.excess_s(now_s)
        return wait_s * 1000

    async def warm(self) -> None:
        """Opens connections before they are needed."""
        await self._upstream.warm(
            min(self._max_connections, self.replica.slots + 2)
        )

    async def close(self, grace_s: float) -> None:
        """Finishes what waits and runs, then closes the connections."""
        end_s = self._kernel.clock.now() + grace_s
        while self._busy() and self._kernel.clock.now() < end_s:
            await asyncio.sleep(_POLL_S)
        for key in list(self._held):
            self.abandon(key, "stopping")
        if self._probe_task is not None:
            self._probe_task.cancel()
        await self._upstream.close()

    def dump(self) -> dict[str, Any]:
        """Returns queue length, slots in use and known versions."""
        return {
            "waiting": len(self._queue),
            "running": len(self._calls_by_key),
            "held": len(self._held),
            "limit": self._limit.value,
            "state": self._health.update(self._kernel.clock.now()).value,
            "leaving": self._leaving,
            "versions": self._versions,
            "service_ms": self._use.service_s * 1000,
        }

    def _new_limit(self) -> limits.AimdLimit:
        return limits.AimdLimit(_window(self.replica, self._max_connections))

    def _busy(self) -> bool:
        return bool(len(self._queue) or self._calls_by_key or self._held)

    def _spawn(self, coroutine) -> None:
        # The loop keeps weak references to tasks only.
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _item(
        self, key: Key, work: messages.SubRequest | messages.SlotReserve
    ) -> queue_lib.Item:
        now_s = self._kernel.clock.now()
        return queue_lib.Item(
            key=key,
            rank=work.rank,
            deadline_s=now_s + work.remaining_ms / 1000,
            queued_s=now_s,
            work=work,
        )

    # Admission.

    def _push(self, item: queue_lib.Item) -> None:
        if self._leaving:
            self._refuse(item, messages.Outcome.DRAINING)
            return
        if self._refused_by_stall():
            self._refuse(item, messages.Outcome.UNREACHABLE)
            return
        if self._cannot_start(item):
            self._refuse(item, messages.Outcome.REFUSED)
        else:
            self._enqueue(item)
        self._pump()
        if item.key in self._queue:
            self._unnoticed.append((item.queued_s, item.key))

    def _enqueue(self, item: queue_lib.Item) -> None:
        self._queue.min_share = self._min_share()
        refused = self._queue.push(item)
        if refused is not None:
            self._refuse(refused, messages.Outcome.REFUSED)

    def _min_share(self) -> float:
        store = self._kernel.plugin("configuration").store
        return store.current.fleet.min_share

    def _cannot_start(self, item: queue_lib.Item) -> bool:
        """Whether an item will almost certainly miss its deadline here.

        Nothing is refused on an estimate while a lower class waits: if the
        estimate were wrong, the lower class would start in its place.
        """
        now_s = self._kernel.clock.now()
        if item.deadline_s <= now_s:
            return True
        lowest = self._queue.lowest_rank()
        if lowest is not None and lowest > item.rank:
            return False
        wait_s = self._expected_wait_s(item.rank, item.deadline_s)
        return now_s + wait_s * _WAIT_CERTAINTY >= item.deadline_s

    def _refused_by_stall(self) -> bool:
        """Whether the replica hangs and no trial call is due."""
        if self._health.state is not health_lib.State.STALLED:
            return False
        return bool(self._calls_by_key) or not self._health.take_trial(
            self._kernel.clock.now()
        )

    def _expected_wait_s(self, rank: int, deadline_s: float) -> float:
        ahead = self._queue.ahead_of(rank, deadline_s) + len(self._held)
        ahead += sum(
            not call.cancelled and (call.rank <= rank or call.begun_s is None)
            for call in self._calls_by_key.values()
        )
        slots = min(self.replica.slots, self._allowed())
        before = max(0, ahead - slots + 1)
        share = self._use.share_left(rank, self._kernel.clock.now())
        return before * self._use.service_s / (slots * share)

    def _refuse(self, item: queue_lib.Item, outcome: messages.Outcome) -> None:
        """Answers work that is not called; it may be tried again later."""
        self._sheds_by_key.pop(item.key, None)
        self._kernel.metrics.count(
            "dispatch_refused", rank=str(item.rank), outcome=outcome.value
        )
        retry_after_ms = self.queue_delay_ms(item.rank)
        if outcome is messages.Outcome.DRAINING:
            # Another replica can take it at once.
            retry_after_ms = 0.0
        if item.key.kind == reservations_lib.SLOT:
            self._end_reservation(
                item.key,
                messages.SlotState.NOT_SENT,
                outcome.value,
                retry_after_ms=retry_after_ms,
            )
            return
        self._answer(
            item,
            protocol.CallReply(
                protocol.CallOutcome.UNSENT, retry_after_ms=retry_after_ms
            ),
            outcome,
        )

    # Starting.

    def _pump(self) -> None:
        """Starts what can start now."""
        if self._pumping:
            return
        self._pumping = True
        try:
            self._drop_expired()
            while self._may_start():
                self._start(self._queue.pop())
        finally:
            self._pumping = False
        self._tick_while_busy()

    def _drop_expired(self) -> None:
        """Drops what is past its deadline or has no time left to finish.

        Under overload, earliest deadline first would otherwise start each
        call just before its deadline and nearly every call would be in vain.
        The last item is tried anyway, because the estimate may be out of date.
        """
        end_s = self._kernel.clock.now()
        busy = self._slots_used() >= self.replica.slots
        if busy:
            # The call first waits at the replica for the next free slot.
            end_s += self._use.service_s / self.replica.slots
        if busy or len(self._queue) > 1:
            end_s += self._use.service_s * _TIME_NEEDED
        for item in self._queue.expire(end_s):
            self._refuse(item, messages.Outcome.EXPIRED)

    def _begun(self) -> list[_Call]:
        return [
            call
            for call in self._calls_by_key.values()
            if call.begun_s is not None and not call.cancelled
        ]

    def _slots_used(self) -> int:
        return len(self._begun()) + len(self._held)

    def _in_flight(self) -> int:
        unconfirmed = sum(
            call.cancelled for call in self._calls_by_key.values()
        )
        counted = len(self._calls_by_key) - unconfirmed
        counted += max(0, unconfirmed - _MAX_UNCONFIRMED)
        return counted + len(self._held)

    def _may_start(self) -> bool:
        """Whether the head of the queue may start, making room if needed."""
        head = self._queue.head()
        if head is None or self._kernel.clock.now() < self._backoff_until_s:
            return False
        if self._slots_used() >= self.replica.slots:
            self._recall_below(head.rank)
            self._preempt_below(head.rank)
        if (
            head.key.kind == reservations_lib.SLOT
            and self._slots_used() >= self.replica.slots
        ):
            return False
        return self._in_flight() < self._allowed()

    def _allowed(self) -> int:
        """Returns how many calls may be in flight now."""
        share = self._health.allowance(self._kernel.clock.now())
        return max(1, int(self._limit.value * share))

    def _recall_below(self, rank: int) -> None:
        """Takes back lower-class calls that wait at the replica.

        They would get the next free slot before the waiting higher class.
        """
        for call in list(self._calls_by_key.values()):
            if (
                call.begun_s is None
                and call.rank > rank
                and not call.reserved
                and not call.cancelled
            ):
                self._kernel.metrics.count("dispatch_recalls")
                call.requeue = True
                self._cancel_call(call)

    def _preempt_below(self, rank: int) -> None:
        """Cancels a running lower-class query for a waiting higher class."""
        if not self._kernel.settings.preemption or self._held:
            return
        victims = [
            call
            for call in self._begun()
            if call.rank > rank
            and not call.reserved
            and not self._ends_soon(call)
        ]
        unconfirmed = sum(
            call.cancelled for call in self._calls_by_key.values()
        )
        if not victims or unconfirmed >= _MAX_UNCONFIRMED:
            return
        if not self._preemptions.spend():
            self._kernel.metrics.count("preemptions_over_budget")
            return
        # The lowest class, and within it the least work done.
        victim = max(victims, key=lambda call: (call.rank, call.begun_s))
        self._kernel.metrics.count("preemptions", rank=str(victim.rank))
        victim.requeue = True
        self._cancel_call(victim)

    def _ends_soon(self, call: _Call) -> bool:
        """Whether waiting for a running call beats repeating its work."""
        age_s = self._kernel.clock.now() - call.begun_s
        service_s = self._use.service_s
        return _SPARED_FROM * service_s <= age_s <= _SPARED_TO * service_s

    def _cancel_call(self, call: _Call) -> None:
        """Asks the replica to drop a call; its own reply confirms the end.

        The local request is left to finish, because giving it up would close
        its connection, and a new one is expensive.
        """
        call.cancelled = True
        self._spawn(self._upstream.cancel(call.call_id))
        self._begin_next()

    def _start(self, start: queue_lib.Start) -> None:
        item = start.item
        self._preemptions.earn()
        self._kernel.metrics.count(
            "dispatch_starts",
            rank=str(item.rank),
            reserved=str(start.reserved).lower(),
        )
        if item.key.kind == reservations_lib.SLOT:
            self._hold(item.key)
            return
        call = self._new_call(
            item.work.request, item.key, item.rank, start.reserved
        )
        self._spawn(self._run(item, call))

    def _new_call(
        self, request: str, key: Key, rank: int, reserved: bool
    ) -> _Call:
        number = next(self._call_numbers)
        now_s = self._kernel.clock.now()
        if not self._calls_by_key:
            self._progress_s = now_s
        free = self._slots_used() < self.replica.slots
        call = _Call(
            # The number keeps a late cancellation from a repeated call.
            call_id=f"{request}.{key.instance}.{key.attempt}.{number}",
            rank=rank,
            reserved=reserved,
            sent_s=now_s,
            begun_s=now_s if free else None,
        )
        self._calls_by_key[key] = call
        return call

    def _begin_next(self) -> None:
        """Notes which waiting calls the replica takes into free slots."""
        now_s = self._kernel.clock.now()
        free = self.replica.slots - self._slots_used()
        for call in self._calls_by_key.values():
            if free <= 0:
                return
            if call.begun_s is None and not call.cancelled:
                call.begun_s = now_s
                free -= 1

    # Calls.

    async def _run(self, item: queue_lib.Item, call: _Call) -> None:
        request: messages.SubRequest = item.work
        reply = await self._guarded(
            self._upstream.query(
                protocol.QueryCall(
                    request=call.call_id,
                    service=request.service,
                    index_version=request.index_version,
                    shards=request.shards,
                    query=request.query,
                    deadline_ms=(item.deadline_s - call.sent_s) * 1000,
                )
            )
        )
        self._finish_call(item.key, call, reply)
        self._settle(item, call, reply)
        self._pump()

    async def _guarded(self, call) -> protocol.CallReply:
        """Awaits a call; a fault of a protocol plug-in leaves it open."""
        try:
            return await call
        except Exception as error:  # noqa: BLE001
            _log.exception("upstream_client_failed", replica=self.replica.id)
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=type(error).__name__
            )

    def _finish_call(
        self, key: Key, call: _Call, reply: protocol.CallReply
    ) -> None:
        """Frees the slot and takes what the reply says of the replica."""
        now_s = self._kernel.clock.now()
        del self._calls_by_key[key]
        self._used_s = now_s
        begun_s = call.sent_s if call.begun_s is None else call.begun_s
        self._begin_next()
        if reply.outcome is protocol.CallOutcome.OK:
            self._use.record(call.rank, now_s - begun_s, now_s)
            self._limit.on_success(now_s - call.sent_s, now_s)
        if reply.outcome is protocol.CallOutcome.SHED:
            self._on_shed(now_s)
        if reply.outcome is protocol.CallOutcome.DRAINING:
            self._on_leaving(self.replica.id, True)
        self._judge(call, reply, now_s - begun_s)
        self._take_versions(reply)

    def _judge(
        self, call: _Call, reply: protocol.CallReply, took_s: float
    ) -> None:
        """Takes an outcome into the replica's health."""
        now_s = self._kernel.clock.now()
        before = self._health.state
        if reply.outcome is protocol.CallOutcome.OK:
            self._health.on_ok(took_s, now_s)
        failed = reply.outcome in (
            protocol.CallOutcome.FAILED,
            protocol.CallOutcome.UNSENT,
        )
        if failed and not call.cancelled and not self._was_short(reply, took_s):
            self._health.on_error(now_s)
        answered = reply.reason not in _TIMEOUTS
        if answered and not call.cancelled:
            self._progress_s = now_s
        if self._health.state is not before:
            self._note_state()

    def _was_short(self, reply: protocol.CallReply, took_s: float) -> bool:
        limit_s = _TIMEOUT_FACTOR * self._use.service_s
        return reply.reason in _TIMEOUTS and took_s < limit_s

    def _note_state(self) -> None:
        state = self._health.state.value
        self._kernel.metrics.count("replica_states", state=state)
        _log.warning(
            "replica_state",
            replica=self.replica.id,
            state=state,
            avoid_s=round(self._health.avoid_s(self._kernel.clock.now()), 3),
        )

    def _take_versions(self, reply: protocol.CallReply) -> None:
        """Keeps what the replica's own answers say of its versions."""
        if reply.outcome is protocol.CallOutcome.WRONG_VERSION:
            self._denied_s = self._kernel.clock.now()
            self._versions = reply.versions or self._versions
        served = reply.index_version
        if served and served not in self._versions:
            self._versions = (*self._versions, served)

    # Stalls and probes.

    def _check_stall(self) -> None:
        """Gives waiting work back when nothing in flight is answered."""
        now_s = self._kernel.clock.now()
        if not self._calls_by_key:
            return
        silent_s = now_s - self._progress_s
        if silent_s < self._health.stall_after_s():
            return
        if self._health.state is not health_lib.State.STALLED:
            self._health.on_stall(now_s)
            self._note_state()
        for item in self._queue.take_all():
            self._refuse(item, messages.Outcome.UNREACHABLE)

    async def _probe(self) -> None:
        while True:
            state = self._health.update(self._kernel.clock.now())
            healthy = state is health_lib.State.HEALTHY
            await asyncio.sleep(_PROBE_S if healthy else _PROBE_UNHEALTHY_S)
            try:
                health = await self._upstream.health()
            except Exception:  # noqa: BLE001
                _log.exception("upstream_probe_failed", replica=self.replica.id)
                continue
            if health is not None:
                self._take_health(health)

    def _take_health(self, health: protocol.Health) -> None:
        now_s = self._kernel.clock.now()
        self._health.on_probe_answered(now_s)
        self.health_state = health.state
        self._on_leaving(self.replica.id, False)
        # An answer that has changed is newer than the denial.
        changed = health.versions != self._health_versions
        self._health_versions = health.versions
        lags = not changed and now_s - self._denied_s < _DENIAL_S
        if health.versions and not lags:
            self._versions = health.versions

    def _on_shed(self, now_s: float) -> None:
        self._kernel.metrics.count("upstream_shed")
        service_s = max(self._use.service_s, _SHED_BACKOFF_MIN_S)
        if self._limit.on_shed(now_s, service_s):
            self._backoff_until_s = now_s + service_s / 2

    def _settle(
        self, item: queue_lib.Item, call: _Call, reply: protocol.CallReply
    ) -> None:
        """Answers a query, or puts it back into the queue."""
        now_s = self._kernel.clock.now()
        if item.key not in self._queries:
            self._note_waste(call, now_s)
            return
        dropped = call.cancelled and call.requeue
        if dropped and reply.outcome is protocol.CallOutcome.FAILED:
            self._note_waste(call, now_s)
            self._requeue(item)
            return
        if reply.outcome is protocol.CallOutcome.SHED:
            sheds = self._sheds_by_key.get(item.key, 0) + 1
            if sheds < _SHED_ATTEMPTS:
                self._sheds_by_key[item.key] = sheds
                self._requeue(item)
                return
        self._sheds_by_key.pop(item.key, None)
        if reply.outcome is protocol.CallOutcome.FAILED:
            avoid_ms = self._health.avoid_s(now_s) * 1000
            reply = dataclasses.replace(reply, retry_after_ms=avoid_ms)
        service_ms = (now_s - (call.begun_s or call.sent_s)) * 1000
        self._answer(item, reply, _OUTCOMES[reply.outcome], service_ms)

    def _note_waste(self, call: _Call, now_s: float) -> None:
        if call.begun_s is not None:
            self._kernel.metrics.count(
                "wasted_slot_seconds", now_s - call.begun_s
            )

    def _requeue(self, item: queue_lib.Item) -> None:
        if self._leaving:
            self._refuse(item, messages.Outcome.DRAINING)
        elif item.deadline_s <= self._kernel.clock.now():
            self._refuse(item, messages.Outcome.EXPIRED)
        else:
            self._enqueue(item)

    # Reservations.

    def _hold(self, key: Key) -> None:
        ticket = self._reservations.hold(key, self._kernel.clock.now())
        self._held[key] = asyncio.get_running_loop().call_later(
            reservations_lib.TICKET_S,
            self.abandon,
            key,
            "ticket expired",
        )
        self._send(
            key, messages.SlotReady(key.attempt, ticket, self._doubtful())
        )

    def _doubtful(self) -> bool:
        """Whether a submission would probably end without known outcome."""
        now_s = self._kernel.clock.now()
        return now_s < self._doubtful_until_s or any(
            key.kind == reservations_lib.SLOT
            and now_s - call.sent_s >= _OVERDUE_SUBMISSION_S
            for key, call in self._calls_by_key.items()
        )

    async def _submit(
        self, key: Key, call: _Call, message: messages.SlotGo
    ) -> None:
        reply = await self._guarded(
            self._upstream.submit(
                protocol.SubmitCall(
                    request=call.call_id,
                    shard=message.shard,
                    body=message.body,
                    deadline_ms=message.remaining_ms,
                )
            )
        )
        state = _SLOT_STATES[reply.outcome]
        if state is messages.SlotState.MAYBE_RUN:
            now_s = self._kernel.clock.now()
            self._doubtful_until_s = now_s + _DOUBTFUL_S
        self._finish_call(key, call, reply)
        body, reason = reply.body, reply.reason or reply.outcome.value
        if len(body) > messages.MAX_CONTENT_BYTES:
            # The submission ran; an outcome that fits no frame would be lost.
            body, reason = b"", "the reply is too large to be passed on"
        self._end_reservation(
            key,
            state,
            reason,
            reply=body,
            retry_after_ms=reply.retry_after_ms,
        )

    def _end_reservation(
        self,
        key: Key,
        state: messages.SlotState,
        reason: str,
        reply: bytes = b"",
        retry_after_ms: float = 0.0,
        answer: bool = True,
    ) -> None:
        """Ends a reservation and frees its slot."""
        outcome = messages.SlotOutcome(
            attempt=key.attempt,
            state=state,
            reason=reason,
            reply=reply,
            retry_after_ms=retry_after_ms,
        )
        self._reservations.end(key, self._kernel.clock.now(), outcome)
        self._kernel.metrics.count("slot_outcomes", state=state.value)
        timer = self._held.pop(key, None)
        if timer is not None:
            timer.cancel()
            self._begin_next()
        if answer:
            self._send(key, outcome)
        self._pump()

    # Answers and notices.

    def _answer(
        self,
        item: queue_lib.Item,
        reply: protocol.CallReply,
        outcome: messages.Outcome,
        service_ms: float = 0.0,
    ) -> None:
        self._queries.pop(item.key, None)
        results = reply.results
        size = sum(len(content) for content in results.values())
        if size > messages.MAX_CONTENT_BYTES:
            # Part of an answer would be wrong, so none is sent.
            outcome, results = messages.Outcome.TOO_LARGE, {}
        self._send(
            item.key,
            messages.SubReply(
                attempt=item.key.attempt,
                replica=self.replica.id,
                outcome=outcome,
                index_version=reply.index_version,
                results=results,
                versions=self._versions,
                queue_delay_ms=self.queue_delay_ms(item.rank),
                service_ms=service_ms,
                retry_after_ms=reply.retry_after_ms,
            ),
        )

    def _send(self, key: Key, message: messages.Message) -> None:
        """Answers an attempt unless its incarnation is known to be gone.

        Attempt numbers start again in a new incarnation; an answer to the
        old one could be taken for the answer to an attempt of the new one.
        """
        view = self._kernel.plugin("membership").view
        member = view.members_by_id.get(key.instance)
        if member is not None and member.incarnation not in (
            0,
            key.incarnation,
        ):
            self._kernel.metrics.count("dispatch_answers_dropped")
            return
        self._kernel.plugin("peers").send(key.instance, message)

    def _tick_while_busy(self) -> None:
        if not self._ticking and self._busy():
            self._ticking = True
            asyncio.get_running_loop().call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        # After a pause of this process the silence says nothing.
        self._kernel.pauses.check()
        self._check_stall()
        self._notice_waiting()
        self._pump()
        self._tick_while_busy()

    def _notice_waiting(self) -> None:
        """Tells entries which of their attempts wait for a slot here.

        An attempt that is not started yet must not be hedged: the queue is
        the cause of its delay, and a hedge would make the queue longer.
        """
        now_s = self._kernel.clock.now()
        after_s = max(self._use.service_s, _MIN_NOTICE_S)
        attempts_by_sender: dict[tuple[str, int, int], list[Key]] = {}
        while self._unnoticed and self._unnoticed[0][0] + after_s <= now_s:
            key = self._unnoticed.popleft()[1]
            if key.kind == reservations_lib.QUERY and key in self._queue:
                sender = (key.instance, key.incarnation, self._queue.rank(key))
                attempts_by_sender.setdefault(sender, []).append(key)
        for (_, _, rank), keys in attempts_by_sender.items():
            self._send(
                keys[0],
                messages.SubQueued(
                    tuple(key.attempt for key in keys),
                    self.queue_delay_ms(rank),
                ),
            )
