"""Plug-in that dispatches work to the replicas of this instance."""

import asyncio
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.dispatch import replica as replica_lib
from mallowloft.dispatch import reservations as reservations_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry

_log = logs.get("dispatch")

# Several dispatchers may exist for a replica while membership views differ;
# each one uses at most this fraction of the connection limit.
_CONNECTION_DIVISOR = 4


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

    async def start(self) -> None:
        """Registers message handlers."""
        peers = self._kernel.plugin("peers")
        peers.on(messages.SubRequest, self._on_request)
        peers.on(messages.Cancel, self._on_cancel)
        peers.on(messages.SlotReserve, self._on_reserve)
        peers.on(messages.SlotGo, self._on_go)
        peers.on(messages.SlotRelease, self._on_release)
        self._kernel.pauses.subscribe(self._on_wake)

    async def stop(self, grace_s: float) -> None:
        """Finishes what waits and runs."""
        await asyncio.gather(
            *(
                dispatcher.close(grace_s)
                for dispatcher in self._dispatchers_by_replica.values()
            )
        )

    def ready(self) -> bool:
        """Always ready; dispatchers are created on demand."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the state of each replica's dispatcher."""
        return {
            "reservations": self._reservations.dump(),
            "replicas": {
                replica: dispatcher.dump()
                for replica, dispatcher in self._dispatchers_by_replica.items()
            },
        }

    def _dispatcher(
        self, replica_id: str
    ) -> replica_lib.ReplicaDispatcher | None:
        if replica_id in self._dispatchers_by_replica:
            return self._dispatchers_by_replica[replica_id]
        store = self._kernel.plugin("configuration").store
        replica = store.current.replicas_by_id.get(replica_id)
        if replica is None:
            return None
        upstream = self._kernel.plugin("upstream").open(
            "http", replica.url, replica.connections // _CONNECTION_DIVISOR
        )
        dispatcher = replica_lib.ReplicaDispatcher(
            self._kernel,
            replica,
            upstream,
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
            replica = self._reservations.replica(key)
            self._dispatchers_by_replica[replica].go(key, message)
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
        replica = self._reservations.replica(key)
        dispatcher = self._dispatchers_by_replica.get(replica)
        if dispatcher is None:
            self._not_sent(sender, key.attempt, "ticket not valid")
        else:
            dispatcher.abandon(key, "ticket not valid")

    def _on_release(
        self, sender: peers_lib.Sender, message: messages.SlotRelease
    ) -> None:
        key = _slot_key(sender, message.attempt)
        replica = self._reservations.replica(key)
        dispatcher = self._dispatchers_by_replica.get(replica)
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
            replica = self._reservations.replica(key)
            self._dispatchers_by_replica[replica].abandon(
                key, "dispatcher was paused"
            )
        if held:
            _log.warning("tickets_voided", paused_s=paused_s, count=len(held))
