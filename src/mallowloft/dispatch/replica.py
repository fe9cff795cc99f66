"""Dispatches queries and submissions to one replica."""

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

_log = logs.get_logger("dispatch")

_QUEUE_LIMIT = 512
_CLOSE_POLL_INTERVAL_S = 0.005
# Interval at which stalls, expired items and pending `SubQueued` messages are
# checked during work.
_TICK_INTERVAL_S = 0.005
# This many unconfirmed cancellations are not counted as calls in flight.
# Further ones are counted, so that connections remain for other calls. While
# there are this many, no further query is preempted.
_MAX_UNCONFIRMED_CANCELLATIONS = 2
# An item is refused on arrival if now plus this fraction of its expected wait
# is at or past its deadline and no lower class waits. The full wait is not used
# because the service time estimate is rough.
_REFUSAL_WAIT_FACTOR = 0.5
# Time that a call needs to finish, in multiples of the mean service time.
_TIME_NEEDED_FACTOR = 1.25
# Token budget for preemptions: tokens gained per started item, and the most
# tokens that can be saved up.
_PREEMPTIONS_PER_START = 0.25
_MAX_PREEMPTION_TOKENS = 20
# A call whose age is between these multiples of the mean service time is not
# preempted: it is expected to end within about half a service time, and
# preemption would discard its work. The end of an older call cannot be
# predicted, because its query takes longer than usual.
_ENDS_SOON_MIN_FACTOR = 0.75
_ENDS_SOON_MAX_FACTOR = 3.0
_MAX_SHED_ATTEMPTS = 3
# Lower bound of the service time from which the backoff after a shed is
# computed.
_MIN_SHED_SERVICE_S = 0.001
_MIN_NOTICE_DELAY_S = 0.002
_PROBE_INTERVAL_S = 1.0
_UNHEALTHY_PROBE_INTERVAL_S = 0.25
# After a WRONG_VERSION reply, the versions in an unchanged health answer are
# ignored for this long, because the health endpoint may lag behind.
_STALE_HEALTH_S = 2.0
# A timeout counts as an error of the replica only if the call took at least
# this many mean service times. Otherwise its deadline was too short.
_MIN_TIMEOUT_FACTOR = 4.0
# After a submission ended with an unknown outcome, `SlotReady` is marked
# doubtful for this long. Without the mark, every sender could lose a
# submission to the same fault.
_DOUBTFUL_DURATION_S = 5.0
# `SlotReady` is also marked doubtful while a submission has been unanswered
# for this long.
_OVERDUE_SUBMISSION_S = 0.3

_REPLY_OUTCOMES = {
    protocol.CallOutcome.OK: messages.Outcome.OK,
    protocol.CallOutcome.WRONG_VERSION: messages.Outcome.WRONG_VERSION,
    protocol.CallOutcome.SHED: messages.Outcome.SHED,
    protocol.CallOutcome.DRAINING: messages.Outcome.DRAINING,
    protocol.CallOutcome.UNSENT: messages.Outcome.UNREACHABLE,
    protocol.CallOutcome.FAILED: messages.Outcome.FAILED,
}
# Reasons of a FAILED outcome that mean that the deadline passed.
_TIMEOUT_REASONS = frozenset({"timeout", "TimeoutError", "SocketTimeoutError"})
# WRONG_VERSION is not a valid reply to a submission and does not prove that
# the submission did not run.
_SLOT_STATES = {
    protocol.CallOutcome.OK: messages.SlotState.DONE,
    protocol.CallOutcome.WRONG_VERSION: messages.SlotState.MAYBE_RUN,
    protocol.CallOutcome.SHED: messages.SlotState.SHED,
    protocol.CallOutcome.DRAINING: messages.SlotState.SHED,
    protocol.CallOutcome.UNSENT: messages.SlotState.NOT_SENT,
    protocol.CallOutcome.FAILED: messages.SlotState.MAYBE_RUN,
}

AttemptKey = reservations_lib.AttemptKey


def _max_in_flight(replica: model.Replica, max_connections: int) -> int:
    """Returns the upper limit of calls in flight to a replica.

    Two connections are left for cancellations and health probes if possible.
    """
    extra = (replica.slots + 1) // 2
    return max(1, min(replica.slots + extra, max_connections - 2))


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """One call in flight.

    Attributes:
        call_id: Identifier sent to the replica, used to cancel the call.
        rank: Rank of the priority class, 0 is the highest.
        from_min_share: Whether the call was started because of `min_share`.
        sent_s: When the call was sent.
        running_since_s: When the call took a slot of the replica, estimated
            from the order of calls; None while it waits there for a slot.
        cancelled: Whether the replica was asked to cancel the call.
        requeue: Whether the query returns to the queue after a cancellation.
    """

    call_id: str
    rank: int
    from_min_share: bool
    sent_s: float
    running_since_s: float | None
    cancelled: bool = False
    requeue: bool = False


class ReplicaDispatcher:
    """Queue, slots and connections of one replica.

    Queries and reservations for submissions wait in one priority queue. When
    a reservation leaves the queue, it holds a slot until its ticket is used,
    released or expired.

    More calls are in flight than the replica has slots, so that the replica
    can fill a free slot without waiting for a network round trip. Calls that
    wait at the replica are cancelled and requeued when a higher class waits.
    """

    def __init__(
        self,
        kernel: lifecycle.Kernel,
        replica: model.Replica,
        upstream: protocol.Upstream,
        max_connections: int,
        reservations: reservations_lib.Reservations,
        dispatchers_by_query: dict[AttemptKey, "ReplicaDispatcher"],
        on_replica_answer: Callable[[str, bool], None],
    ) -> None:
        """Creates the dispatcher without opening connections.

        Args:
            kernel: Kernel of this instance.
            replica: Configuration of the replica.
            upstream: Client of the replica.
            max_connections: Maximum number of connections of the client.
            reservations: Reservations of all replicas of this instance.
            dispatchers_by_query: Dispatcher of each query that waits or runs,
                shared by all dispatchers of this instance.
            on_replica_answer: Called with the replica id and True when a reply
                says that the replica is draining, and with the replica id and
                False after each health answer.
        """
        self.replica = replica
        self._kernel = kernel
        self._upstream = upstream
        self._max_connections = max_connections
        self._reservations = reservations
        self._dispatchers_by_query = dispatchers_by_query
        self._on_replica_answer = on_replica_answer
        self._queue = queue_lib.PriorityQueue(_QUEUE_LIMIT)
        self._calls_by_key: dict[AttemptKey, _Call] = {}
        self._ticket_timers_by_key: dict[AttemptKey, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task] = set()
        self._call_numbers = itertools.count(1)
        self._in_flight_limit = self._new_in_flight_limit()
        self._preemption_budget = limits.TokenBudget(
            _PREEMPTIONS_PER_START, _MAX_PREEMPTION_TOKENS
        )
        self._slot_utilization = limits.SlotUtilization(replica.slots)
        self._sheds_by_key: dict[AttemptKey, int] = {}
        self._backoff_until_s = 0.0
        self._pending_notices: collections.deque[tuple[float, AttemptKey]] = (
            collections.deque()
        )
        self._versions: tuple[int, ...] = ()
        self._starting = False
        self._tick_scheduled = False
        self._last_work_s = kernel.clock.now()
        self._health = health_lib.CallHealth(self._last_work_s)
        self._leaving = False
        # Latest of these times: a call ended other than by a timeout or
        # cancellation, a call was sent while none was in flight, a pause of
        # this process ended, the dispatcher was created.
        self._last_progress_s = self._last_work_s
        self._wrong_version_s = -_STALE_HEALTH_S
        self._doubtful_until_s = float("-inf")
        self._probed_versions: tuple[int, ...] = ()
        self.health_answer_state = ""
        self._probe_task: asyncio.Task | None = None

    @property
    def idle_s(self) -> float:
        """Time since the last call ended, 0 while there is work.

        Before the first call has ended, it is the time since the creation.
        """
        if self._has_work():
            return 0.0
        return self._kernel.clock.now() - self._last_work_s

    @property
    def waiting(self) -> int:
        """Number of queries and reservations in the queue."""
        return len(self._queue)

    def add(self, key: AttemptKey, request: messages.SubRequest) -> None:
        """Queues a sub-request; a duplicate of an open one is ignored."""
        if key in self._dispatchers_by_query:
            return
        self._dispatchers_by_query[key] = self
        self._admit(self._new_item(key, request))

    def reserve(self, key: AttemptKey, request: messages.SlotReserve) -> None:
        """Queues a reservation; a duplicate is ignored."""
        now_s = self._kernel.clock.now()
        if self._reservations.open(key, self, now_s):
            self._admit(self._new_item(key, request))

    def cancel(self, key: AttemptKey) -> None:
        """Cancels a query that waits or runs, without sending a reply."""
        self._queue.remove(key)
        self._dispatchers_by_query.pop(key, None)
        self._sheds_by_key.pop(key, None)
        call = self._calls_by_key.get(key)
        if call is None:
            return
        call.requeue = False
        if not call.cancelled:
            self._cancel_call(call)
        self._start_queued()

    def cancel_reservation(
        self, key: AttemptKey, reason: str, answer: bool = True
    ) -> None:
        """Ends a reservation whose ticket is unused and frees its slot."""
        state = self._reservations.state(key)
        if state is reservations_lib.State.WAITING:
            self._queue.remove(key)
        elif state is not reservations_lib.State.HELD:
            return
        self._end_reservation(
            key, messages.SlotState.NOT_SENT, reason, answer=answer
        )

    def run_submission(self, key: AttemptKey, message: messages.SlotGo) -> None:
        """Runs a submission in the slot held for it.

        The caller has marked the ticket as used, so this method is called at
        most once for a key.
        """
        if message.remaining_ms <= 0:
            self._end_reservation(
                key, messages.SlotState.NOT_SENT, "deadline passed"
            )
            return
        self._ticket_timers_by_key.pop(key).cancel()
        call = self._new_call(
            message.request, key, rank=0, from_min_share=False
        )
        self._spawn(self._submit(key, call, message))

    def reconfigure(self, replica: model.Replica) -> None:
        """Applies a changed configuration of the replica."""
        self.replica = replica
        self._in_flight_limit = self._new_in_flight_limit()
        self._slot_utilization = limits.SlotUtilization(replica.slots)
        self._start_queued()

    def start_leaving(self) -> None:
        """Refuses queued and new work; held slots and calls are completed."""
        if self._leaving:
            return
        self._leaving = True
        for item in self._queue.remove_all():
            self._refuse(item, messages.Outcome.DRAINING)

    def end_leaving(self) -> None:
        """Sends work again to a replica that has returned, with a ramp-up."""
        if self._leaving:
            self._leaving = False
            self.start_ramp_up()

    def start_ramp_up(self) -> None:
        """Limits the calls in flight at first, then raises the limit."""
        self._health.start_ramp_up(self._kernel.clock.now())

    def on_process_resumed(self) -> None:
        """Restarts stall detection after a pause of this process."""
        self._last_progress_s = self._kernel.clock.now()

    def start_probes(self) -> None:
        """Starts periodic probes of the health endpoint."""
        if self._probe_task is None:
            self._probe_task = asyncio.create_task(self._run_probes())

    def queue_delay_ms(self, rank: int) -> float:
        """Returns the expected queue delay of a new item of a class.

        Senders of sub-requests choose replicas by this value. The value
        therefore also includes the remaining time for which a faulty replica
        should be avoided, and the excess over its usual service time. The
        dispatcher does not choose among replicas itself: only senders know
        the other replicas of a shard, so the choice is theirs.
        """
        now_s = self._kernel.clock.now()
        wait_s = self._expected_wait_s(rank, float("inf"))
        wait_s += self._health.avoidance_remaining_s(
            now_s
        ) + self._health.excess_service_s(now_s)
        return wait_s * 1000

    async def preconnect(self) -> None:
        """Opens connections before the first call needs them."""
        await self._upstream.preconnect(
            min(self._max_connections, self.replica.slots + 2)
        )

    async def close(self, grace_s: float) -> None:
        """Waits for queued and running work, then closes the connections."""
        end_s = self._kernel.clock.now() + grace_s
        while self._has_work() and self._kernel.clock.now() < end_s:
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)
        for key in list(self._ticket_timers_by_key):
            self.cancel_reservation(key, "stopping")
        if self._probe_task is not None:
            self._probe_task.cancel()
        await self._upstream.close()

    def dump(self) -> dict[str, Any]:
        """Returns the queue length, calls, limits, state and versions."""
        return {
            "waiting": len(self._queue),
            "running": len(self._calls_by_key),
            "held": len(self._ticket_timers_by_key),
            "limit": self._in_flight_limit.value,
            "state": self._health.update(self._kernel.clock.now()).value,
            "leaving": self._leaving,
            "versions": self._versions,
            "service_ms": self._slot_utilization.mean_service_s * 1000,
        }

    def _new_in_flight_limit(self) -> limits.AimdLimit:
        return limits.AimdLimit(
            _max_in_flight(self.replica, self._max_connections)
        )

    def _has_work(self) -> bool:
        return bool(
            len(self._queue) or self._calls_by_key or self._ticket_timers_by_key
        )

    def _spawn(self, coroutine) -> None:
        # The event loop keeps only weak references to tasks.
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_item(
        self, key: AttemptKey, work: messages.SubRequest | messages.SlotReserve
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

    def _admit(self, item: queue_lib.Item) -> None:
        if self._leaving:
            self._refuse(item, messages.Outcome.DRAINING)
            return
        if self._blocked_by_stall():
            self._refuse(item, messages.Outcome.UNREACHABLE)
            return
        if self._will_miss_deadline(item):
            self._refuse(item, messages.Outcome.REFUSED)
        else:
            self._enqueue(item)
        self._start_queued()
        if item.key in self._queue:
            self._pending_notices.append((item.queued_s, item.key))

    def _enqueue(self, item: queue_lib.Item) -> None:
        self._queue.min_share = self._min_share()
        refused = self._queue.push(item)
        if refused is not None:
            self._refuse(refused, messages.Outcome.REFUSED)

    def _min_share(self) -> float:
        store = self._kernel.plugin("configuration").store
        return store.current.fleet.min_share

    def _will_miss_deadline(self, item: queue_lib.Item) -> bool:
        """Returns whether an item will almost certainly miss its deadline.

        While a lower class waits, an item is refused only if its deadline has
        passed. If an item were refused because of a wrong estimate, the lower
        class would start in its place.
        """
        now_s = self._kernel.clock.now()
        if item.deadline_s <= now_s:
            return True
        lowest = self._queue.rank_of_lowest_class()
        if lowest is not None and lowest > item.rank:
            return False
        wait_s = self._expected_wait_s(item.rank, item.deadline_s)
        return now_s + wait_s * _REFUSAL_WAIT_FACTOR >= item.deadline_s

    def _blocked_by_stall(self) -> bool:
        """Returns whether a stalled replica can take no further call now.

        That is so while a call is in flight or no trial call is due. If the
        replica is stalled and the result is False, the due trial call is used
        up.
        """
        if self._health.state is not health_lib.State.STALLED:
            return False
        return bool(self._calls_by_key) or not self._health.try_start_trial(
            self._kernel.clock.now()
        )

    def _expected_wait_s(self, rank: int, deadline_s: float) -> float:
        """Returns the estimated time until a new item can take a slot.

        Running calls of lower classes are not counted.
        """
        ahead = self._queue.count_ahead(rank, deadline_s) + len(
            self._ticket_timers_by_key
        )
        ahead += sum(
            not call.cancelled
            and (call.rank <= rank or call.running_since_s is None)
            for call in self._calls_by_key.values()
        )
        slots = min(self.replica.slots, self._allowed_in_flight())
        calls_to_finish = max(0, ahead - slots + 1)
        share = self._slot_utilization.free_share(
            rank, self._kernel.clock.now()
        )
        return (
            calls_to_finish
            * self._slot_utilization.mean_service_s
            / (slots * share)
        )

    def _refuse(self, item: queue_lib.Item, outcome: messages.Outcome) -> None:
        """Refuses an item and tells its sender when to retry."""
        self._sheds_by_key.pop(item.key, None)
        self._kernel.metrics.count(
            "dispatch_refused", rank=str(item.rank), outcome=outcome.value
        )
        retry_after_ms = self.queue_delay_ms(item.rank)
        if outcome is messages.Outcome.DRAINING:
            # Another replica can accept the work immediately.
            retry_after_ms = 0.0
        if item.key.kind == reservations_lib.KIND_SUBMISSION:
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

    # Starting of queued items.

    def _start_queued(self) -> None:
        """Starts queued items as long as limits allow."""
        if self._starting:
            return
        self._starting = True
        try:
            self._refuse_late()
            while self._may_start():
                self._start(self._queue.pop())
        finally:
            self._starting = False
        self._schedule_tick()

    def _refuse_late(self) -> None:
        """Refuses items that are not expected to finish before their deadlines.

        Under overload, earliest-deadline-first order would otherwise start
        each call just before its deadline, and nearly every call would time
        out. If slots are free and only one item waits, that item is started
        even if its time seems too short, because the estimate of the service
        time may be stale.
        """
        end_s = self._kernel.clock.now()
        slots_full = self._slots_used() >= self.replica.slots
        if slots_full:
            # The call first waits at the replica for the next free slot.
            end_s += self._slot_utilization.mean_service_s / self.replica.slots
        if slots_full or len(self._queue) > 1:
            end_s += self._slot_utilization.mean_service_s * _TIME_NEEDED_FACTOR
        for item in self._queue.expire(end_s):
            self._refuse(item, messages.Outcome.EXPIRED)

    def _running_calls(self) -> list[_Call]:
        return [
            call
            for call in self._calls_by_key.values()
            if call.running_since_s is not None and not call.cancelled
        ]

    def _slots_used(self) -> int:
        return len(self._running_calls()) + len(self._ticket_timers_by_key)

    def _count_in_flight(self) -> int:
        unconfirmed = sum(
            call.cancelled for call in self._calls_by_key.values()
        )
        counted = len(self._calls_by_key) - unconfirmed
        counted += max(0, unconfirmed - _MAX_UNCONFIRMED_CANCELLATIONS)
        return counted + len(self._ticket_timers_by_key)

    def _may_start(self) -> bool:
        """Returns whether an item may start, decided by the head of the queue.

        The item that starts can be another one because of `min_share`. The
        check may cancel calls of lower classes to free a slot.
        """
        head = self._queue.head()
        if head is None or self._kernel.clock.now() < self._backoff_until_s:
            return False
        if self._slots_used() >= self.replica.slots:
            self._requeue_waiting_calls(head.rank)
            self._preempt_lower_class_query(head.rank)
        if (
            head.key.kind == reservations_lib.KIND_SUBMISSION
            and self._slots_used() >= self.replica.slots
        ):
            return False
        return self._count_in_flight() < self._allowed_in_flight()

    def _allowed_in_flight(self) -> int:
        """Returns the current limit of calls in flight."""
        share = self._health.in_flight_share(self._kernel.clock.now())
        return max(1, int(self._in_flight_limit.value * share))

    def _requeue_waiting_calls(self, rank: int) -> None:
        """Cancels and requeues lower-class calls that wait at the replica.

        The replica would otherwise start them before the higher class.
        """
        for call in list(self._calls_by_key.values()):
            if (
                call.running_since_s is None
                and call.rank > rank
                and not call.from_min_share
                and not call.cancelled
            ):
                self._kernel.metrics.count("dispatch_recalls")
                call.requeue = True
                self._cancel_call(call)

    def _preempt_lower_class_query(self, rank: int) -> None:
        """Cancels and requeues a running query of a lower class."""
        if not self._kernel.settings.preemption or self._ticket_timers_by_key:
            return
        victims = [
            call
            for call in self._running_calls()
            if call.rank > rank
            and not call.from_min_share
            and not self._ends_soon(call)
        ]
        unconfirmed = sum(
            call.cancelled for call in self._calls_by_key.values()
        )
        if not victims or unconfirmed >= _MAX_UNCONFIRMED_CANCELLATIONS:
            return
        if not self._preemption_budget.try_spend():
            self._kernel.metrics.count("preemptions_over_budget")
            return
        # Within the lowest class, the newest call loses the least work.
        victim = max(
            victims, key=lambda call: (call.rank, call.running_since_s)
        )
        self._kernel.metrics.count("preemptions", rank=str(victim.rank))
        victim.requeue = True
        self._cancel_call(victim)

    def _ends_soon(self, call: _Call) -> bool:
        """Returns whether a call is expected to end soon."""
        age_s = self._kernel.clock.now() - call.running_since_s
        service_s = self._slot_utilization.mean_service_s
        return (
            _ENDS_SOON_MIN_FACTOR * service_s
            <= age_s
            <= _ENDS_SOON_MAX_FACTOR * service_s
        )

    def _cancel_call(self, call: _Call) -> None:
        """Asks the replica to cancel a call.

        The local request stays open until the replica replies to it. Aborting
        the request would close its connection, and a new connection is
        expensive.
        """
        call.cancelled = True
        self._spawn(self._upstream.cancel(call.call_id))
        self._update_running()

    def _start(self, start: queue_lib.QueueStart) -> None:
        item = start.item
        self._preemption_budget.refill()
        self._kernel.metrics.count(
            "dispatch_starts",
            rank=str(item.rank),
            reserved=str(start.from_min_share).lower(),
        )
        if item.key.kind == reservations_lib.KIND_SUBMISSION:
            self._hold_slot(item.key)
            return
        call = self._new_call(
            item.work.request, item.key, item.rank, start.from_min_share
        )
        self._spawn(self._run(item, call))

    def _new_call(
        self, request: str, key: AttemptKey, rank: int, from_min_share: bool
    ) -> _Call:
        number = next(self._call_numbers)
        now_s = self._kernel.clock.now()
        if not self._calls_by_key:
            self._last_progress_s = now_s
        has_free_slot = self._slots_used() < self.replica.slots
        call = _Call(
            # The number makes the identifier unique, so that a late
            # cancellation cannot cancel a repeated call.
            call_id=f"{request}.{key.instance}.{key.attempt}.{number}",
            rank=rank,
            from_min_share=from_min_share,
            sent_s=now_s,
            running_since_s=now_s if has_free_slot else None,
        )
        self._calls_by_key[key] = call
        return call

    def _update_running(self) -> None:
        """Marks as running the calls that the replica can now start."""
        now_s = self._kernel.clock.now()
        free_slots = self.replica.slots - self._slots_used()
        for call in self._calls_by_key.values():
            if free_slots <= 0:
                return
            if call.running_since_s is None and not call.cancelled:
                call.running_since_s = now_s
                free_slots -= 1

    # Calls.

    async def _run(self, item: queue_lib.Item, call: _Call) -> None:
        request: messages.SubRequest = item.work
        reply = await self._await_reply(
            self._upstream.query(
                protocol.QueryCall(
                    request_id=call.call_id,
                    service=request.service,
                    index_version=request.index_version,
                    shards=request.shards,
                    query=request.query,
                    deadline_ms=(item.deadline_s - call.sent_s) * 1000,
                )
            )
        )
        self._finish_call(item.key, call, reply)
        self._complete_query(item, call, reply)
        self._start_queued()

    async def _await_reply(self, call) -> protocol.CallReply:
        """Awaits a call; an exception of the plug-in counts as FAILED."""
        try:
            return await call
        except Exception as error:  # noqa: BLE001
            _log.exception("upstream_client_failed", replica=self.replica.id)
            return protocol.CallReply(
                protocol.CallOutcome.FAILED, reason=type(error).__name__
            )

    def _finish_call(
        self, key: AttemptKey, call: _Call, reply: protocol.CallReply
    ) -> None:
        """Frees the slot and updates estimates and state from the reply."""
        now_s = self._kernel.clock.now()
        del self._calls_by_key[key]
        self._last_work_s = now_s
        running_since_s = (
            call.sent_s
            if call.running_since_s is None
            else call.running_since_s
        )
        self._update_running()
        if reply.outcome is protocol.CallOutcome.OK:
            self._slot_utilization.record(
                call.rank, now_s - running_since_s, now_s
            )
            self._in_flight_limit.on_success(now_s - call.sent_s, now_s)
        if reply.outcome is protocol.CallOutcome.SHED:
            self._on_shed(now_s)
        if reply.outcome is protocol.CallOutcome.DRAINING:
            self._on_replica_answer(self.replica.id, True)
        self._update_health(call, reply, now_s - running_since_s)
        self._update_versions(reply)

    def _update_health(
        self, call: _Call, reply: protocol.CallReply, duration_s: float
    ) -> None:
        """Updates the replica's health from the outcome of a call."""
        now_s = self._kernel.clock.now()
        previous_state = self._health.state
        if reply.outcome is protocol.CallOutcome.OK:
            self._health.on_success(duration_s, now_s)
        failed = reply.outcome in (
            protocol.CallOutcome.FAILED,
            protocol.CallOutcome.UNSENT,
        )
        if (
            failed
            and not call.cancelled
            and not self._had_short_deadline(reply, duration_s)
        ):
            self._health.on_error(now_s)
        answered = reply.reason not in _TIMEOUT_REASONS
        if answered and not call.cancelled:
            self._last_progress_s = now_s
        if self._health.state is not previous_state:
            self._report_state()

    def _had_short_deadline(
        self, reply: protocol.CallReply, duration_s: float
    ) -> bool:
        limit_s = _MIN_TIMEOUT_FACTOR * self._slot_utilization.mean_service_s
        return reply.reason in _TIMEOUT_REASONS and duration_s < limit_s

    def _report_state(self) -> None:
        state = self._health.state.value
        self._kernel.metrics.count("replica_states", state=state)
        _log.warning(
            "replica_state",
            replica=self.replica.id,
            state=state,
            avoid_s=round(
                self._health.avoidance_remaining_s(self._kernel.clock.now()), 3
            ),
        )

    def _update_versions(self, reply: protocol.CallReply) -> None:
        """Updates the known index versions from a reply."""
        if reply.outcome is protocol.CallOutcome.WRONG_VERSION:
            self._wrong_version_s = self._kernel.clock.now()
            self._versions = reply.versions or self._versions
        served = reply.index_version
        if served and served not in self._versions:
            self._versions = (*self._versions, served)

    # Stalls and probes.

    def _check_stall(self) -> None:
        """Refuses queued items if the replica has stopped answering."""
        now_s = self._kernel.clock.now()
        if not self._calls_by_key:
            return
        silent_s = now_s - self._last_progress_s
        if silent_s < self._health.stall_timeout_s():
            return
        if self._health.state is not health_lib.State.STALLED:
            self._health.on_stall(now_s)
            self._report_state()
        for item in self._queue.remove_all():
            self._refuse(item, messages.Outcome.UNREACHABLE)

    async def _run_probes(self) -> None:
        while True:
            state = self._health.update(self._kernel.clock.now())
            healthy = state is health_lib.State.HEALTHY
            await asyncio.sleep(
                _PROBE_INTERVAL_S if healthy else _UNHEALTHY_PROBE_INTERVAL_S
            )
            try:
                health = await self._upstream.health()
            except Exception:  # noqa: BLE001
                _log.exception("upstream_probe_failed", replica=self.replica.id)
                continue
            if health is not None:
                self._on_health_answer(health)

    def _on_health_answer(self, health: protocol.Health) -> None:
        now_s = self._kernel.clock.now()
        self._health.on_probe_answered(now_s)
        self.health_answer_state = health.state
        self._on_replica_answer(self.replica.id, False)
        # A changed answer is newer than the WRONG_VERSION reply.
        changed = health.versions != self._probed_versions
        self._probed_versions = health.versions
        is_stale = (
            not changed and now_s - self._wrong_version_s < _STALE_HEALTH_S
        )
        if health.versions and not is_stale:
            self._versions = health.versions

    def _on_shed(self, now_s: float) -> None:
        self._kernel.metrics.count("upstream_shed")
        service_s = max(
            self._slot_utilization.mean_service_s, _MIN_SHED_SERVICE_S
        )
        if self._in_flight_limit.on_shed(now_s, service_s):
            self._backoff_until_s = now_s + service_s / 2

    def _complete_query(
        self, item: queue_lib.Item, call: _Call, reply: protocol.CallReply
    ) -> None:
        """Replies to a query, or puts it back into the queue."""
        now_s = self._kernel.clock.now()
        if item.key not in self._dispatchers_by_query:
            self._count_wasted_time(call, now_s)
            return
        requeued = call.cancelled and call.requeue
        if requeued and reply.outcome is protocol.CallOutcome.FAILED:
            self._count_wasted_time(call, now_s)
            self._requeue(item)
            return
        if reply.outcome is protocol.CallOutcome.SHED:
            sheds = self._sheds_by_key.get(item.key, 0) + 1
            if sheds < _MAX_SHED_ATTEMPTS:
                self._sheds_by_key[item.key] = sheds
                self._requeue(item)
                return
        self._sheds_by_key.pop(item.key, None)
        if reply.outcome is protocol.CallOutcome.FAILED:
            avoid_ms = self._health.avoidance_remaining_s(now_s) * 1000
            reply = dataclasses.replace(reply, retry_after_ms=avoid_ms)
        service_ms = (now_s - (call.running_since_s or call.sent_s)) * 1000
        self._answer(item, reply, _REPLY_OUTCOMES[reply.outcome], service_ms)

    def _count_wasted_time(self, call: _Call, now_s: float) -> None:
        if call.running_since_s is not None:
            self._kernel.metrics.count(
                "wasted_slot_seconds", now_s - call.running_since_s
            )

    def _requeue(self, item: queue_lib.Item) -> None:
        if self._leaving:
            self._refuse(item, messages.Outcome.DRAINING)
        elif item.deadline_s <= self._kernel.clock.now():
            self._refuse(item, messages.Outcome.EXPIRED)
        else:
            self._enqueue(item)

    # Reservations.

    def _hold_slot(self, key: AttemptKey) -> None:
        ticket = self._reservations.issue_ticket(key, self._kernel.clock.now())
        self._ticket_timers_by_key[key] = asyncio.get_running_loop().call_later(
            reservations_lib.TICKET_LIFETIME_S,
            self.cancel_reservation,
            key,
            "ticket expired",
        )
        self._send(
            key, messages.SlotReady(key.attempt, ticket, self._is_doubtful())
        )

    def _is_doubtful(self) -> bool:
        """Returns whether a new submission may end with an unknown outcome."""
        now_s = self._kernel.clock.now()
        return now_s < self._doubtful_until_s or any(
            key.kind == reservations_lib.KIND_SUBMISSION
            and now_s - call.sent_s >= _OVERDUE_SUBMISSION_S
            for key, call in self._calls_by_key.items()
        )

    async def _submit(
        self, key: AttemptKey, call: _Call, message: messages.SlotGo
    ) -> None:
        reply = await self._await_reply(
            self._upstream.submit(
                protocol.SubmitCall(
                    request_id=call.call_id,
                    shard=message.shard,
                    body=message.body,
                    deadline_ms=message.remaining_ms,
                )
            )
        )
        state = _SLOT_STATES[reply.outcome]
        if state is messages.SlotState.MAYBE_RUN:
            now_s = self._kernel.clock.now()
            self._doubtful_until_s = now_s + _DOUBTFUL_DURATION_S
        self._finish_call(key, call, reply)
        body, reason = reply.body, reply.reason or reply.outcome.value
        if len(body) > messages.MAX_CONTENT_BYTES:
            # The submission ran, so its outcome must be delivered. With a
            # content larger than a frame, the outcome would be lost.
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
        key: AttemptKey,
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
        timer = self._ticket_timers_by_key.pop(key, None)
        if timer is not None:
            timer.cancel()
            self._update_running()
        if answer:
            self._send(key, outcome)
        self._start_queued()

    # Replies and notices.

    def _answer(
        self,
        item: queue_lib.Item,
        reply: protocol.CallReply,
        outcome: messages.Outcome,
        service_ms: float = 0.0,
    ) -> None:
        self._dispatchers_by_query.pop(item.key, None)
        results = reply.results
        size = sum(len(content) for content in results.values())
        if size > messages.MAX_CONTENT_BYTES:
            # A truncated result would be wrong, so no results are sent.
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

    def _send(self, key: AttemptKey, message: messages.Message) -> None:
        """Sends a message unless the receiver has restarted since.

        Attempt numbers are unique only within an incarnation. The receiver
        could mistake a late reply for the reply to a new attempt with the
        same number.
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

    def _schedule_tick(self) -> None:
        if not self._tick_scheduled and self._has_work():
            self._tick_scheduled = True
            asyncio.get_running_loop().call_later(_TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        # Detects pauses of this process first: silence during a pause must
        # not count as a stall of the replica.
        self._kernel.pause_detector.check()
        self._check_stall()
        self._send_queued_notices()
        self._start_queued()
        self._schedule_tick()

    def _send_queued_notices(self) -> None:
        """Notifies senders of their attempts that wait in the queue.

        Senders postpone the hedge of a queued attempt: the queue causes its
        delay, and a hedge would add load.
        """
        now_s = self._kernel.clock.now()
        delay_s = max(
            self._slot_utilization.mean_service_s, _MIN_NOTICE_DELAY_S
        )
        attempts_by_sender: dict[tuple[str, int, int], list[AttemptKey]] = {}
        while (
            self._pending_notices
            and self._pending_notices[0][0] + delay_s <= now_s
        ):
            key = self._pending_notices.popleft()[1]
            if key.kind == reservations_lib.KIND_QUERY and key in self._queue:
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
