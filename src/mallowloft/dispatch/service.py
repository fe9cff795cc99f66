"""Plug-in that dispatches work to the replicas of this instance."""

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

_log = logs.get("dispatch")

# A view of the whole fleet is checked in parts, so that a change of members
# does not stop the loop for the time of thousands of hashes.
_REPLICAS_PER_TURN = 64
# A dispatcher that is no longer responsible keeps its connections this long
# after its last work: other instances may learn of the change a little later.
_RELEASE_AFTER_S = 2.0
_RELEASE_CHECK_S = 0.5
# Several dispatchers may exist for a replica while membership views differ;
# each one uses at most this fraction of the connection limit.
_CONNECTION_DIVISOR = 4
# Longer than any deadline of a call.
_CLOSE_GRACE_S = 60.0
_POLL_MARGIN_S = 0.1


def _query_key(sender: peers_lib.Sender, attempt: int) -> reservations_lib.Key:
    return reservations_lib.Key(
        reservations_lib.QUERY, sender.instance, sender.incarnation, attempt
    )


def _slot_key(sender: peers_lib.Sender, attempt: int) -> reservations_lib.Key:
    return reservations_lib.Key(
        reservations_lib.SLOT, sender.instance, sender.incarnation, attempt
    )


class _OwnedReplicas:
    """One instance dispatches for a replica."""

    dispatcher_class = replica_lib.ReplicaDispatcher

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel

    def receiver_for(self, replica: config_model.Replica) -> str | None:
        """Returns the replica's dispatcher in the current view."""
        view = self._kernel.plugin("membership").view
        return view.dispatcher_for(replica.id, replica.failure_domain)

    def candidates(
        self, replicas: Iterable[config_model.Replica]
    ) -> list[config_model.Replica]:
        """Returns replicas that this instance may dispatch for.

        Those of other failure domains with live instances are left out
        without hashing, which is most of the work in a large fleet.
        """
        view = self._kernel.plugin("membership").view
        own = self._kernel.settings.failure_domain
        elsewhere = {
            member.failure_domain
            for member in view.members_by_id.values()
            if member.state == view_lib.LIVE and member.failure_domain != own
        }
        return [
            replica
            for replica in replicas
            if replica.failure_domain not in elsewhere
        ]

    def max_connections(self, replica: config_model.Replica) -> int:
        """Returns the share of the connection limit of one dispatcher."""
        return replica.connections // _CONNECTION_DIVISOR


_MODES = {"dispatcher": _OwnedReplicas, "direct": direct.DirectCalls}


@registry.plugins.register("dispatch")
class DispatchService:
    """Queues of the replicas for which this instance dispatches."""

    requires = ("peers", "configuration", "membership", "upstream")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._mode = _MODES[kernel.settings.dispatch](kernel)
        self._dispatchers_by_replica: dict[
            str, replica_lib.ReplicaDispatcher
        ] = {}
        self._dispatchers_by_query: dict[
            reservations_lib.Key, replica_lib.ReplicaDispatcher
        ] = {}
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
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        for kind in (
            messages.SubRequest,
            messages.Cancel,
            messages.SlotReserve,
            messages.SlotGo,
            messages.SlotRelease,
            messages.UpstreamLeaving,
        ):
            peers.on(kind, self._on_any)
        peers.on(messages.SubRequest, self._on_request)
        peers.on(messages.Cancel, self._on_cancel)
        peers.on(messages.SlotReserve, self._on_reserve)
        peers.on(messages.SlotGo, self._on_go)
        peers.on(messages.SlotRelease, self._on_release)
        peers.on(messages.UpstreamLeaving, self._on_peer_leaving)
        self._kernel.pauses.subscribe(self._on_wake)
        membership = self._kernel.plugin("membership")
        membership.view.subscribe(self._changed.set)
        membership.subscribe_upstreams(self.note_listed)
        self._kernel.plugin("configuration").store.subscribe(
            lambda snapshot: self._changed.set()
        )
        self._changed.set()
        self._loops = [
            asyncio.create_task(self._follow_changes()),
            asyncio.create_task(self._release_unowned()),
            asyncio.create_task(self._repeat_leaving()),
        ]

    async def stop(self, grace_s: float) -> None:
        """Finishes what waits and runs."""
        for task in self._loops:
            task.cancel()
        closing = [
            asyncio.create_task(dispatcher.close(grace_s))
            for dispatcher in self._dispatchers_by_replica.values()
        ]
        # Includes dispatchers that were released and still finish their work.
        closing.extend(self._tasks)
        if closing:
            await asyncio.wait(closing, timeout=grace_s + _POLL_MARGIN_S)

    def ready(self) -> bool:
        """Always ready; dispatchers are created on demand."""
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

    def receiver_for(self, replica_id: str) -> str | None:
        """Returns the instance that takes work for a replica."""
        store = self._kernel.plugin("configuration").store
        replica = store.current.replicas_by_id.get(replica_id)
        if replica is None:
            return None
        return self._mode.receiver_for(replica)

    def is_leaving(self, replica_id: str) -> bool:
        """Whether a replica must get no new work."""
        return self._leaving.is_leaving(replica_id, self._kernel.clock.now())

    def note_listed(self, states_by_replica: Mapping[str, str]) -> None:
        """Takes the states of upstreams in the platform's list."""
        self._follow_signal(
            {
                replica: state in leaving_lib.LEAVING_STATES
                for replica, state in states_by_replica.items()
            },
            leaving_lib.Signal.LIST,
        )

    def _follow_configuration(
        self, replicas: Mapping[str, config_model.Replica]
    ) -> None:
        self._follow_signal(
            {replica.id: replica.leaving for replica in replicas.values()},
            leaving_lib.Signal.CONFIGURATION,
        )

    def _follow_signal(
        self, leaving_by_replica: Mapping[str, bool], signal: leaving_lib.Signal
    ) -> None:
        now_s = self._kernel.clock.now()
        new = self._leaving.follow(leaving_by_replica, signal, now_s)
        for replica_id in new:
            self._begin_leaving(replica_id, signal)

    def _on_own_leaving(self, replica_id: str, by_reply: bool) -> None:
        """Takes a replica's own answers, of calls or of the health endpoint."""
        now_s = self._kernel.clock.now()
        dispatcher = self._dispatchers_by_replica.get(replica_id)
        signal = leaving_lib.Signal.HEALTH
        if by_reply:
            signal = leaving_lib.Signal.REPLY
        elif dispatcher is None:
            return
        elif dispatcher.health_state not in leaving_lib.LEAVING_STATES:
            self._leaving.end_health(replica_id)
            return
        if self._leaving.note(replica_id, signal, now_s):
            self._begin_leaving(replica_id, signal)

    def _on_peer_leaving(
        self, sender: peers_lib.Sender, message: messages.UpstreamLeaving
    ) -> None:
        del sender
        now_s = self._kernel.clock.now()
        signal = leaving_lib.Signal.PEER
        for replica_id in message.replicas:
            if self._leaving.note(replica_id, signal, now_s):
                self._begin_leaving(replica_id, signal)

    def _begin_leaving(
        self, replica_id: str, signal: leaving_lib.Signal
    ) -> None:
        _log.info("upstream_leaving", replica=replica_id, signal=signal.value)
        self._kernel.metrics.count("upstreams_leaving", signal=signal.value)
        dispatcher = self._dispatchers_by_replica.get(replica_id)
        if dispatcher is not None:
            dispatcher.leave()
        # What the owner has told everyone need not be told to the owner.
        if signal is not leaving_lib.Signal.PEER or replica_id in self._owned:
            self._spread_leaving([replica_id])

    def _spread_leaving(self, replica_ids: Iterable[str]) -> None:
        """Tells all live peers, or the owner, which then tells all.

        Without this division every instance that reads the platform's list
        would tell every other one.
        """
        view = self._kernel.plugin("membership").view
        own_id = self._kernel.settings.instance_id
        replicas = self._kernel.plugin("configuration").store.current
        replicas_by_peer: dict[str, list[str]] = {}
        for replica_id in replica_ids:
            replica = replicas.replicas_by_id.get(replica_id)
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

    async def _repeat_leaving(self) -> None:
        """Repeats notices of owned replicas and takes back those at an end."""
        repeat_s = self._kernel.clock.now()
        while True:
            await asyncio.sleep(_RELEASE_CHECK_S)
            now_s = self._kernel.clock.now()
            self._leaving.forget_expired(now_s)
            for replica_id, held in self._dispatchers_by_replica.items():
                if not self._leaving.is_leaving(replica_id, now_s):
                    held.rejoin()
            if now_s - repeat_s >= leaving_lib.REPEAT_S:
                repeat_s = now_s
                first_hand = self._leaving.current(now_s, own=True)
                self._spread_leaving(first_hand & self._owned)

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow_changes(self) -> None:
        """Takes over replicas as soon as this instance dispatches for them."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._take_over()

    async def _take_over(self) -> None:
        store = self._kernel.plugin("configuration").store
        replicas = store.current.replicas_by_id
        self._follow_configuration(replicas)
        new = self._new_replicas(replicas)
        owned = set()
        candidates = self._mode.candidates(replicas.values())
        for number, replica in enumerate(candidates):
            if number % _REPLICAS_PER_TURN == _REPLICAS_PER_TURN - 1:
                await asyncio.sleep(0)
            if self._is_owner(replica):
                owned.add(replica.id)
                if replica.id not in self._owned:
                    self._open_ahead(replica.id, cold=replica.id in new)
        self._owned = owned
        self._update_changed(replicas)

    def _is_owner(self, replica: config_model.Replica) -> bool:
        receiver = self._mode.receiver_for(replica)
        return receiver == self._kernel.settings.instance_id

    def _new_replicas(
        self, replicas: Mapping[str, config_model.Replica]
    ) -> frozenset[str]:
        """Returns replicas that were added since the last configuration.

        All are new to an instance that has just started, which says nothing
        of the replicas.
        """
        current = frozenset(replicas)
        known = self._known_replicas
        self._known_replicas = current
        return current - known if known else frozenset()

    def _open_ahead(self, replica_id: str, cold: bool = False) -> None:
        dispatcher = self._dispatcher(replica_id)
        if dispatcher is not None:
            if cold:
                dispatcher.start_cold()
            dispatcher.start_probes()
            _log.info("replica_taken_over", replica=replica_id)
            self._spawn(dispatcher.warm())

    def _update_changed(
        self, replicas: Mapping[str, config_model.Replica]
    ) -> None:
        """Applies changed or removed replicas to their dispatchers.

        One whose connections change finishes its work with the old ones.
        """
        for replica_id, held in list(self._dispatchers_by_replica.items()):
            replica = replicas.get(replica_id)
            if replica == held.replica:
                continue
            if (
                replica is not None
                and replica.url == held.replica.url
                and replica.connections == held.replica.connections
            ):
                held.reconfigure(replica)
                continue
            self._release(replica_id)
            if replica_id in self._owned:
                self._open_ahead(replica_id)

    async def _release_unowned(self) -> None:
        """Closes connections of replicas that other instances serve now."""
        while True:
            await asyncio.sleep(_RELEASE_CHECK_S)
            for replica_id, dispatcher in list(
                self._dispatchers_by_replica.items()
            ):
                unused = dispatcher.idle_s > _RELEASE_AFTER_S
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
            self._on_own_leaving,
        )
        self._dispatchers_by_replica[replica_id] = dispatcher
        if self._leaving.is_leaving(replica_id, self._kernel.clock.now()):
            dispatcher.leave()
        return dispatcher

    def _on_any(
        self, sender: peers_lib.Sender, message: messages.Message
    ) -> None:
        """Takes each received message as a sign of life."""
        del message
        membership = self._kernel.plugin("membership")
        membership.heard(sender.instance, sender.incarnation)

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
            self._not_sent(sender, message.attempt, "unknown replica")
            return
        dispatcher.reserve(_slot_key(sender, message.attempt), message)

    def _on_go(
        self, sender: peers_lib.Sender, message: messages.SlotGo
    ) -> None:
        key = _slot_key(sender, message.attempt)
        use = self._reservations.use(
            key, message.ticket, self._kernel.clock.now()
        )
        if use is reservations_lib.Use.RUN:
            self._reservations.owner(key).go(key, message)
        elif use is reservations_lib.Use.NOT_SENT:
            self._refuse_ticket(sender, key)
        elif use is reservations_lib.Use.REPEAT:
            self._kernel.plugin("peers").send(
                sender.instance, self._reservations.outcome(key)
            )

    def _refuse_ticket(
        self, sender: peers_lib.Sender, key: reservations_lib.Key
    ) -> None:
        self._kernel.metrics.count("slot_tickets_refused")
        dispatcher = self._reservations.owner(key)
        if dispatcher is None:
            self._not_sent(sender, key.attempt, "ticket not valid")
        else:
            dispatcher.abandon(key, "ticket not valid")

    def _on_release(
        self, sender: peers_lib.Sender, message: messages.SlotRelease
    ) -> None:
        key = _slot_key(sender, message.attempt)
        dispatcher = self._reservations.owner(key)
        if dispatcher is not None:
            dispatcher.abandon(key, "released", answer=False)
            return
        # The release has overtaken the reservation, which must hold no slot.
        self._reservations.end(
            key,
            self._kernel.clock.now(),
            reservations_lib.not_sent(message.attempt, "released"),
        )

    def _not_sent(
        self, sender: peers_lib.Sender, attempt: int, reason: str
    ) -> None:
        self._kernel.plugin("peers").send(
            sender.instance, reservations_lib.not_sent(attempt, reason)
        )

    def _on_wake(self, paused_s: float) -> None:
        """Takes back every ticket issued before a pause of the process."""
        for dispatcher in self._dispatchers_by_replica.values():
            dispatcher.on_wake()
        held = self._reservations.held()
        for key in held:
            self._reservations.owner(key).abandon(key, "dispatcher was paused")
        if held:
            _log.warning("tickets_voided", paused_s=paused_s, count=len(held))
