"""Plug-in that dispatches work to the replicas that this instance owns."""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import model as config_model
from mallowloft.dispatch import direct
from mallowloft.dispatch import leaving as leaving_lib
from mallowloft.dispatch import replica as replica_lib
from mallowloft.dispatch import reservations as reservations_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.membership import view as view_lib

_log = logs.get_logger("dispatch")

# The ownership of this many replicas is computed before the event loop gets
# control again. Hashing thousands of replicas at once would block the loop
# after a membership change.
_REPLICAS_PER_LOOP_ITERATION = 64
# A dispatcher of a replica that this instance no longer owns keeps its
# connections this long after its last work, because other instances may learn
# of the change later and still send requests here.
_RELEASE_IDLE_S = 2.0
_CHECK_INTERVAL_S = 0.5
# A dispatcher uses at most the connection limit of the replica divided by this
# number. While membership views differ, several dispatchers may exist for a
# replica, and they must not exceed the limit together.
_CONNECTION_DIVISOR = 4
# The longest deadline that callers may set.
_CLOSE_GRACE_S = 60.0
_CLOSE_MARGIN_S = 0.1


def _query_key(
    sender: peers_lib.Sender, attempt: int
) -> reservations_lib.AttemptKey:
    return reservations_lib.AttemptKey(
        reservations_lib.KIND_QUERY,
        sender.instance,
        sender.incarnation,
        attempt,
    )


def _submission_key(
    sender: peers_lib.Sender, attempt: int
) -> reservations_lib.AttemptKey:
    return reservations_lib.AttemptKey(
        reservations_lib.KIND_SUBMISSION,
        sender.instance,
        sender.incarnation,
        attempt,
    )


class _DispatcherMode:
    """Mode in which one instance at a time owns a replica."""

    dispatcher_class = replica_lib.ReplicaDispatcher

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel

    def dispatcher_for(self, replica: config_model.Replica) -> str | None:
        """Returns the instance that owns the replica in the current view."""
        view = self._kernel.plugin("membership").view
        return view.dispatcher_for(replica.id, replica.failure_domain)

    def candidates(
        self, replicas: Iterable[config_model.Replica]
    ) -> list[config_model.Replica]:
        """Returns the replicas that this instance may own.

        Replicas of other failure domains that have live instances are
        excluded without hashing. In a large fleet, hashing is most of the
        work.
        """
        view = self._kernel.plugin("membership").view
        own_domain = self._kernel.settings.failure_domain
        served_domains = {
            member.failure_domain
            for member in view.members_by_id.values()
            if member.state == view_lib.LIVE
            and member.failure_domain != own_domain
        }
        return [
            replica
            for replica in replicas
            if replica.failure_domain not in served_domains
        ]

    def max_connections(self, replica: config_model.Replica) -> int:
        """Returns the number of connections that a dispatcher may open."""
        return replica.connections // _CONNECTION_DIVISOR


_MODES = {"dispatcher": _DispatcherMode, "direct": direct.DirectMode}


@registry.plugins.register("dispatch")
class DispatchService:
    """Dispatches work to the replicas that this instance owns."""

    requires = ("peers", "configuration", "membership", "upstream")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._mode = _MODES[kernel.settings.dispatch](kernel)
        self._dispatchers_by_replica: dict[
            str, replica_lib.ReplicaDispatcher
        ] = {}
        self._dispatchers_by_query: dict[
            reservations_lib.AttemptKey, replica_lib.ReplicaDispatcher
        ] = {}
        # Tickets start at a random number, so that a ticket of an earlier
        # incarnation does not match one of this incarnation.
        self._reservations = reservations_lib.Reservations(
            kernel.rng.getrandbits(32) + 1
        )
        self._owned: set[str] = set()
        self._known_replicas: frozenset[str] = frozenset()
        self._leaving = leaving_lib.LeavingReplicas()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._loops: list[asyncio.Task] = []

    async def start(self) -> None:
        """Registers message handlers and starts background tasks."""
        peers = self._kernel.plugin("peers")
        for kind in (
            messages.SubRequest,
            messages.Cancel,
            messages.SlotReserve,
            messages.SlotGo,
            messages.SlotRelease,
            messages.UpstreamLeaving,
        ):
            peers.add_handler(kind, self._record_sender_alive)
        peers.add_handler(messages.SubRequest, self._on_request)
        peers.add_handler(messages.Cancel, self._on_cancel)
        peers.add_handler(messages.SlotReserve, self._on_reserve)
        peers.add_handler(messages.SlotGo, self._on_go)
        peers.add_handler(messages.SlotRelease, self._on_release)
        peers.add_handler(messages.UpstreamLeaving, self._on_peer_leaving)
        self._kernel.pause_detector.subscribe(self._on_resume)
        membership = self._kernel.plugin("membership")
        membership.view.subscribe(self._changed.set)
        membership.subscribe_upstreams(self.on_platform_list)
        self._kernel.plugin("configuration").store.subscribe(
            lambda snapshot: self._changed.set()
        )
        self._changed.set()
        self._loops = [
            asyncio.create_task(self._watch_changes()),
            asyncio.create_task(self._release_unowned()),
            asyncio.create_task(self._repeat_leaving_notices()),
        ]

    async def stop(self, grace_s: float) -> None:
        """Waits for queued and running work, then closes connections."""
        for task in self._loops:
            task.cancel()
        close_tasks = [
            asyncio.create_task(dispatcher.close(grace_s))
            for dispatcher in self._dispatchers_by_replica.values()
        ]
        # Released dispatchers that still finish their work are included.
        close_tasks.extend(self._tasks)
        if close_tasks:
            await asyncio.wait(close_tasks, timeout=grace_s + _CLOSE_MARGIN_S)

    def ready(self) -> bool:
        """Returns True, because dispatchers are created on demand."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the state of each replica's dispatcher."""
        return {
            "owned": sorted(self._owned),
            "leaving": self._leaving.dump(),
            "reservations": self._reservations.dump(),
            "replicas": {
                replica: dispatcher.dump()
                for replica, dispatcher in self._dispatchers_by_replica.items()
            },
        }

    def dispatcher_for(self, replica_id: str) -> str | None:
        """Returns the instance that accepts work for a replica."""
        store = self._kernel.plugin("configuration").store
        replica = store.current.replicas_by_id.get(replica_id)
        if replica is None:
            return None
        return self._mode.dispatcher_for(replica)

    def is_leaving(self, replica_id: str) -> bool:
        """Returns whether a replica must not get new work."""
        return self._leaving.is_leaving(replica_id, self._kernel.clock.now())

    def on_platform_list(self, states_by_replica: Mapping[str, str]) -> None:
        """Applies the states of replicas in the platform's list."""
        self._apply_signal(
            {
                replica: state in leaving_lib.LEAVING_STATES
                for replica, state in states_by_replica.items()
            },
            leaving_lib.Signal.LIST,
        )

    def _apply_configured_leaving(
        self, replicas: Mapping[str, config_model.Replica]
    ) -> None:
        self._apply_signal(
            {replica.id: replica.leaving for replica in replicas.values()},
            leaving_lib.Signal.CONFIGURATION,
        )

    def _apply_signal(
        self, leaving_by_replica: Mapping[str, bool], signal: leaving_lib.Signal
    ) -> None:
        now_s = self._kernel.clock.now()
        newly_leaving = self._leaving.update_signal(
            leaving_by_replica, signal, now_s
        )
        for replica_id in newly_leaving:
            self._start_leaving(replica_id, signal)

    def _on_replica_answer(self, replica_id: str, by_reply: bool) -> None:
        """Handles a DRAINING reply, or any health answer."""
        now_s = self._kernel.clock.now()
        dispatcher = self._dispatchers_by_replica.get(replica_id)
        signal = leaving_lib.Signal.HEALTH
        if by_reply:
            signal = leaving_lib.Signal.REPLY
        elif dispatcher is None:
            return
        elif dispatcher.health_answer_state not in leaving_lib.LEAVING_STATES:
            self._leaving.on_health_not_leaving(replica_id)
            return
        if self._leaving.add_signal(replica_id, signal, now_s):
            self._start_leaving(replica_id, signal)

    def _on_peer_leaving(
        self, sender: peers_lib.Sender, message: messages.UpstreamLeaving
    ) -> None:
        del sender
        now_s = self._kernel.clock.now()
        signal = leaving_lib.Signal.PEER
        for replica_id in message.replicas:
            if self._leaving.add_signal(replica_id, signal, now_s):
                self._start_leaving(replica_id, signal)

    def _start_leaving(
        self, replica_id: str, signal: leaving_lib.Signal
    ) -> None:
        _log.info("upstream_leaving", replica=replica_id, signal=signal.value)
        self._kernel.metrics.count("upstreams_leaving", signal=signal.value)
        dispatcher = self._dispatchers_by_replica.get(replica_id)
        if dispatcher is not None:
            dispatcher.start_leaving()
        # Only the owner passes on the notice of a peer. Other instances
        # receive such notices from the owner and need not send them back.
        if signal is not leaving_lib.Signal.PEER or replica_id in self._owned:
            self._send_leaving_notices([replica_id])

    def _send_leaving_notices(self, replica_ids: Iterable[str]) -> None:
        """Sends notices to all live peers if this instance is the owner.

        Other instances notify only the owner, which then notifies all peers.
        Otherwise, every instance that reads the platform's list would notify
        every other instance.
        """
        view = self._kernel.plugin("membership").view
        own_id = self._kernel.settings.instance_id
        snapshot = self._kernel.plugin("configuration").store.current
        replicas_by_peer: dict[str, list[str]] = {}
        for replica_id in replica_ids:
            replica = snapshot.replicas_by_id.get(replica_id)
            if replica is None:
                continue
            owner = view.dispatcher_for(replica_id, replica.failure_domain)
            receivers = view.live() if owner == own_id else [owner]
            for peer in receivers:
                if peer not in (None, own_id):
                    replicas_by_peer.setdefault(peer, []).append(replica_id)
        for peer, leaving in replicas_by_peer.items():
            message = messages.UpstreamLeaving(tuple(leaving))
            self._kernel.plugin("peers").send(peer, message)

    async def _repeat_leaving_notices(self) -> None:
        """Repeats notices; resumes dispatch to replicas no longer leaving."""
        last_repeat_s = self._kernel.clock.now()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now_s = self._kernel.clock.now()
            self._leaving.remove_expired(now_s)
            for replica_id, dispatcher in self._dispatchers_by_replica.items():
                if not self._leaving.is_leaving(replica_id, now_s):
                    dispatcher.end_leaving()
            if now_s - last_repeat_s >= leaving_lib.NOTICE_REPEAT_INTERVAL_S:
                last_repeat_s = now_s
                known_locally = self._leaving.leaving_replicas(
                    now_s, exclude_peers=True
                )
                self._send_leaving_notices(known_locally & self._owned)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_changes(self) -> None:
        """Updates ownership whenever the view or configuration changes."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._update_ownership()

    async def _update_ownership(self) -> None:
        store = self._kernel.plugin("configuration").store
        replicas = store.current.replicas_by_id
        self._apply_configured_leaving(replicas)
        added = self._added_replicas(replicas)
        owned = set()
        candidates = self._mode.candidates(replicas.values())
        for number, replica in enumerate(candidates):
            if (
                number % _REPLICAS_PER_LOOP_ITERATION
                == _REPLICAS_PER_LOOP_ITERATION - 1
            ):
                await asyncio.sleep(0)
            if self._is_owner(replica):
                owned.add(replica.id)
                if replica.id not in self._owned:
                    self._take_ownership(
                        replica.id, ramp_up=replica.id in added
                    )
        self._owned = owned
        self._apply_replica_changes(replicas)

    def _is_owner(self, replica: config_model.Replica) -> bool:
        dispatcher = self._mode.dispatcher_for(replica)
        return dispatcher == self._kernel.settings.instance_id

    def _added_replicas(
        self, replicas: Mapping[str, config_model.Replica]
    ) -> frozenset[str]:
        """Returns replicas that were added since the last configuration.

        The result is empty at the start of an instance: all replicas are then
        new to the instance, but have not necessarily just started.
        """
        current = frozenset(replicas)
        known = self._known_replicas
        self._known_replicas = current
        return current - known if known else frozenset()

    def _take_ownership(self, replica_id: str, ramp_up: bool = False) -> None:
        """Starts probes and opens connections for an owned replica.

        Args:
            replica_id: A newly owned replica, or one whose URL or connection
                limit has changed.
            ramp_up: Whether to start a ramp-up, for an added replica.
        """
        dispatcher = self._dispatcher(replica_id)
        if dispatcher is not None:
            if ramp_up:
                dispatcher.start_ramp_up()
            dispatcher.start_probes()
            _log.info("replica_taken_over", replica=replica_id)
            self._spawn(dispatcher.preconnect())

    def _apply_replica_changes(
        self, replicas: Mapping[str, config_model.Replica]
    ) -> None:
        """Applies changed or removed replicas to their dispatchers.

        If the URL or the connection limit changes, the old dispatcher
        finishes its work with its own connections and is replaced.
        """
        for replica_id, dispatcher in list(
            self._dispatchers_by_replica.items()
        ):
            replica = replicas.get(replica_id)
            if replica == dispatcher.replica:
                continue
            if (
                replica is not None
                and replica.url == dispatcher.replica.url
                and replica.connections == dispatcher.replica.connections
            ):
                dispatcher.reconfigure(replica)
                continue
            self._release(replica_id)
            if replica_id in self._owned:
                self._take_ownership(replica_id)

    async def _release_unowned(self) -> None:
        """Closes idle dispatchers of replicas that are no longer owned."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for replica_id, dispatcher in list(
                self._dispatchers_by_replica.items()
            ):
                unused = dispatcher.idle_s > _RELEASE_IDLE_S
                if replica_id not in self._owned and unused:
                    self._release(replica_id)

    def _release(self, replica_id: str) -> None:
        _log.info("replica_released", replica=replica_id)
        dispatcher = self._dispatchers_by_replica.pop(replica_id)
        self._spawn(dispatcher.close(_CLOSE_GRACE_S))

    def _dispatcher(
        self, replica_id: str
    ) -> replica_lib.ReplicaDispatcher | None:
        if replica_id in self._dispatchers_by_replica:
            return self._dispatchers_by_replica[replica_id]
        store = self._kernel.plugin("configuration").store
        replica = store.current.replicas_by_id.get(replica_id)
        if replica is None:
            return None
        max_connections = self._mode.max_connections(replica)
        upstream = self._kernel.plugin("upstream").open(
            store.current.protocol_of(replica_id), replica.url, max_connections
        )
        dispatcher = self._mode.dispatcher_class(
            self._kernel,
            replica,
            upstream,
            max_connections,
            self._reservations,
            self._dispatchers_by_query,
            self._on_replica_answer,
        )
        self._dispatchers_by_replica[replica_id] = dispatcher
        if self._leaving.is_leaving(replica_id, self._kernel.clock.now()):
            dispatcher.start_leaving()
        return dispatcher

    def _record_sender_alive(
        self, sender: peers_lib.Sender, message: messages.Message
    ) -> None:
        """Reports to membership that the sender of a message is alive."""
        del message
        membership = self._kernel.plugin("membership")
        membership.record_message(sender.instance, sender.incarnation)

    def _on_request(
        self, sender: peers_lib.Sender, request: messages.SubRequest
    ) -> None:
        dispatcher = self._dispatcher(request.replica)
        if dispatcher is not None:
            dispatcher.add(_query_key(sender, request.attempt), request)
            return
        self._kernel.plugin("peers").send(
            sender.instance,
            messages.SubReply(
                attempt=request.attempt,
                replica=request.replica,
                outcome=messages.Outcome.UNREACHABLE,
                index_version=0,
                results={},
                versions=(),
                queue_delay_ms=0.0,
                service_ms=0.0,
                retry_after_ms=0.0,
            ),
        )

    def _on_cancel(
        self, sender: peers_lib.Sender, message: messages.Cancel
    ) -> None:
        for attempt in message.attempts:
            key = _query_key(sender, attempt)
            dispatcher = self._dispatchers_by_query.get(key)
            if dispatcher is not None:
                dispatcher.cancel(key)

    def _on_reserve(
        self, sender: peers_lib.Sender, message: messages.SlotReserve
    ) -> None:
        dispatcher = self._dispatcher(message.replica)
        if dispatcher is None:
            self._send_not_sent(sender, message.attempt, "unknown replica")
            return
        dispatcher.reserve(_submission_key(sender, message.attempt), message)

    def _on_go(
        self, sender: peers_lib.Sender, message: messages.SlotGo
    ) -> None:
        key = _submission_key(sender, message.attempt)
        action = self._reservations.use_ticket(
            key, message.ticket, self._kernel.clock.now()
        )
        if action is reservations_lib.GoAction.RUN:
            self._reservations.dispatcher(key).run_submission(key, message)
        elif action is reservations_lib.GoAction.NOT_SENT:
            self._refuse_ticket(sender, key)
        elif action is reservations_lib.GoAction.REPEAT:
            self._kernel.plugin("peers").send(
                sender.instance, self._reservations.outcome(key)
            )

    def _refuse_ticket(
        self, sender: peers_lib.Sender, key: reservations_lib.AttemptKey
    ) -> None:
        self._kernel.metrics.count("slot_tickets_refused")
        dispatcher = self._reservations.dispatcher(key)
        if dispatcher is None:
            self._send_not_sent(sender, key.attempt, "ticket not valid")
        else:
            dispatcher.cancel_reservation(key, "ticket not valid")

    def _on_release(
        self, sender: peers_lib.Sender, message: messages.SlotRelease
    ) -> None:
        key = _submission_key(sender, message.attempt)
        dispatcher = self._reservations.dispatcher(key)
        if dispatcher is not None:
            dispatcher.cancel_reservation(key, "released", answer=False)
            return
        # The release arrived before its `SlotReserve`, or the reservation was
        # already evicted. It is recorded as ended, so that a `SlotReserve`
        # that arrives later does not hold a slot.
        self._reservations.end(
            key,
            self._kernel.clock.now(),
            reservations_lib.not_sent(message.attempt, "released"),
        )

    def _send_not_sent(
        self, sender: peers_lib.Sender, attempt: int, reason: str
    ) -> None:
        self._kernel.plugin("peers").send(
            sender.instance, reservations_lib.not_sent(attempt, reason)
        )

    def _on_resume(self, paused_s: float) -> None:
        """Invalidates unused tickets after a pause of the process.

        Stall detection is restarted as well.
        """
        for dispatcher in self._dispatchers_by_replica.values():
            dispatcher.on_process_resumed()
        keys = self._reservations.held_keys()
        for key in keys:
            self._reservations.dispatcher(key).cancel_reservation(
                key, "dispatcher was paused"
            )
        if keys:
            _log.warning("tickets_voided", paused_s=paused_s, count=len(keys))
