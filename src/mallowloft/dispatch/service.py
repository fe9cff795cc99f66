"""Plug-in that dispatches work to the replicas of this instance."""

import asyncio
from collections.abc import Mapping
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import model as config_model
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


@registry.plugins.register("dispatch")
class DispatchService:
    """Queues of the replicas for which this instance dispatches."""

    requires = ("peers", "configuration", "membership", "upstream")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
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
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._loops: list[asyncio.Task] = []

    async def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.SubRequest, self._on_request)
        peers.on(messages.Cancel, self._on_cancel)
        peers.on(messages.SlotReserve, self._on_reserve)
        peers.on(messages.SlotGo, self._on_go)
        peers.on(messages.SlotRelease, self._on_release)
        self._kernel.pauses.subscribe(self._on_wake)
        self._kernel.plugin("membership").view.subscribe(self._changed.set)
        self._kernel.plugin("configuration").store.subscribe(
            lambda snapshot: self._changed.set()
        )
        self._changed.set()
        self._loops = [
            asyncio.create_task(self._follow_changes()),
            asyncio.create_task(self._release_unowned()),
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
            "reservations": self._reservations.dump(),
            "replicas": {
                replica: dispatcher.dump()
                for replica, dispatcher in self._dispatchers_by_replica.items()
            },
        }

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
        view = self._kernel.plugin("membership").view
        replicas = store.current.replicas_by_id
        owned = set()
        for number, replica in enumerate(replicas.values()):
            if number % _REPLICAS_PER_TURN == _REPLICAS_PER_TURN - 1:
                await asyncio.sleep(0)
            if self._is_owner(view, replica):
                owned.add(replica.id)
                if replica.id not in self._owned:
                    self._open_ahead(replica.id)
        self._owned = owned
        self._update_changed(replicas)

    def _is_owner(
        self, view: view_lib.View, replica: config_model.Replica
    ) -> bool:
        chosen = view.dispatcher_for(replica.id, replica.failure_domain)
        return chosen == self._kernel.settings.instance_id

    def _open_ahead(self, replica_id: str) -> None:
        dispatcher = self._dispatcher(replica_id)
        if dispatcher is not None:
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
        max_connections = replica.connections // _CONNECTION_DIVISOR
        upstream = self._kernel.plugin("upstream").open(
            "http", replica.url, max_connections
        )
        dispatcher = replica_lib.ReplicaDispatcher(
            self._kernel,
            replica,
            upstream,
            max_connections,
            self._reservations,
            self._dispatchers_by_query,
        )
        self._dispatchers_by_replica[replica_id] = dispatcher
        return dispatcher

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
        held = self._reservations.held()
        for key in held:
            self._reservations.owner(key).abandon(key, "dispatcher was paused")
        if held:
            _log.warning("tickets_voided", paused_s=paused_s, count=len(held))
