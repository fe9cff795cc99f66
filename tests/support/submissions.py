"""A world of instances with a small dispatcher for submissions."""

import asyncio
import contextvars
import random
from typing import Any

import msgspec

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import acceptance
from mallowloft.configuration import store as store_lib
from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import settings as settings_lib
from mallowloft.membership import view as view_lib
from mallowloft.submissions import model
from mallowloft.upstream import protocol
from tests.support import processes
from tests.support import upstreams as upstreams_lib
from tests.support import world as world_lib

SLOT_TICKET_S = 0.25
_PROBE_S = 0.1
_SUSPECT_S = 0.25

_PLUGINS = ("submissions",)
_SLOT_STATES = {
    protocol.CallOutcome.OK: messages.SlotState.DONE,
    protocol.CallOutcome.SHED: messages.SlotState.SHED,
    protocol.CallOutcome.DRAINING: messages.SlotState.SHED,
    protocol.CallOutcome.UNSENT: messages.SlotState.NOT_SENT,
}

_Attempt = tuple[str, int, int]

_stores_by_documents: dict[bytes, store_lib.Store] = {}


class Slots:
    """Reservations of one replica at its dispatcher."""

    def __init__(self, kernel, slots: int, upstream) -> None:
        self._kernel = kernel
        self._slots = slots
        self._upstream = upstream
        self._waiting: list[tuple[int, _Attempt, float]] = []
        self._held: dict[_Attempt, tuple[int, float]] = {}
        self._seen: set[_Attempt] = set()
        self._tickets = 0
        self.running: set[asyncio.Task] = set()

    def reserve(self, attempt: _Attempt, message) -> None:
        if attempt in self._seen:
            return
        self._seen.add(attempt)
        end_s = self._kernel.clock.now() + message.remaining_ms / 1000
        self._waiting.append((message.rank, attempt, end_s))
        self._waiting.sort(key=lambda item: item[0])
        self.start_waiting()

    def release(self, attempt: _Attempt) -> None:
        self._seen.add(attempt)
        self._waiting = [item for item in self._waiting if item[1] != attempt]
        self._held.pop(attempt, None)
        self.start_waiting()

    def go(self, attempt: _Attempt, message) -> None:
        held = self._held.get(attempt)
        if held is None or held[0] != message.ticket:
            return
        if self._kernel.clock.now() >= held[1]:
            self._expire(attempt)
            return
        del self._held[attempt]
        task = asyncio.create_task(self._run(attempt, message))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def start_waiting(self) -> None:
        while self._waiting:
            if len(self._held) + len(self.running) >= self._slots:
                return
            _, attempt, end_s = self._waiting.pop(0)
            now_s = self._kernel.clock.now()
            if end_s <= now_s:
                self.answer(attempt, messages.SlotState.NOT_SENT, "late")
                continue
            self._tickets += 1
            self._held[attempt] = (self._tickets, now_s + SLOT_TICKET_S)
            self._send(attempt, messages.SlotReady(attempt[2], self._tickets))
            asyncio.get_running_loop().call_later(
                SLOT_TICKET_S, self._expire, attempt
            )

    def _expire(self, attempt: _Attempt) -> None:
        if self._held.pop(attempt, None) is not None:
            self.answer(attempt, messages.SlotState.NOT_SENT, "ticket expired")
            self.start_waiting()

    async def _run(self, attempt: _Attempt, message) -> None:
        reply = await self._upstream.submit(
            protocol.SubmitCall(
                request=message.request,
                shard=message.shard,
                body=message.body,
                deadline_ms=message.remaining_ms,
            )
        )
        state = _SLOT_STATES.get(reply.outcome, messages.SlotState.MAYBE_RUN)
        self.answer(attempt, state, reply.reason, reply.body)
        asyncio.get_running_loop().call_soon(self.start_waiting)

    def answer(self, attempt, state, reason, reply=b"") -> None:
        self._send(
            attempt,
            messages.SlotOutcome(attempt[2], state, reason, reply, 0.0),
        )

    def _send(self, attempt: _Attempt, message) -> None:
        self._kernel.plugin("peers").send(attempt[0], message)


class FakeDispatch:
    """Stands in for the `dispatch` plug-in, for submissions only."""

    requires = ("peers", "configuration", "membership", "upstream")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._slots_by_replica: dict[str, Slots] = {}

    def receiver_for(self, replica: str) -> str | None:
        store = self._kernel.plugin("configuration").store
        listed = store.current.replicas_by_id.get(replica)
        if listed is None:
            return None
        view = self._kernel.plugin("membership").view
        return view.dispatcher_for(replica, listed.failure_domain)

    async def start(self) -> None:
        peers = self._kernel.plugin("peers")
        peers.on(messages.SlotReserve, self._on_reserve)
        peers.on(messages.SlotGo, self._on_go)
        peers.on(messages.SlotRelease, self._on_release)

    async def stop(self, grace_s: float) -> None:
        end_s = self._kernel.clock.now() + grace_s
        while self._kernel.clock.now() < end_s and any(
            slots.running for slots in self._slots_by_replica.values()
        ):
            await asyncio.sleep(0.01)

    def ready(self) -> bool:
        return True

    def dump(self) -> dict[str, Any]:
        return {}

    def _on_reserve(self, sender: peers_lib.Sender, message) -> None:
        attempt = (sender.instance, sender.incarnation, message.attempt)
        slots = self._slots_by_replica.get(message.replica)
        if slots is None:
            store = self._kernel.plugin("configuration").store
            replica = store.current.replicas_by_id[message.replica]
            upstream = self._kernel.plugin("upstream").open(
                "http", replica.url, replica.connections // 4
            )
            slots = Slots(self._kernel, replica.slots, upstream)
            self._slots_by_replica[message.replica] = slots
        slots.reserve(attempt, message)

    def _on_go(self, sender: peers_lib.Sender, message) -> None:
        attempt = (sender.instance, sender.incarnation, message.attempt)
        for slots in self._slots_by_replica.values():
            slots.go(attempt, message)

    def _on_release(self, sender: peers_lib.Sender, message) -> None:
        attempt = (sender.instance, sender.incarnation, message.attempt)
        for slots in self._slots_by_replica.values():
            slots.release(attempt)


class FakeMembership:
    """Stands in for the `membership` plug-in; the world updates its view."""

    requires = ("peers", "configuration")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self.view = view_lib.View()

    async def start(self) -> None:
        self._kernel.plugin("peers").on(messages.Leaving, self._on_leaving)

    async def stop(self, grace_s: float) -> None:
        del grace_s

    def ready(self) -> bool:
        return True

    def dump(self) -> dict[str, Any]:
        return {}

    def add(self, kernel: lifecycle.Kernel) -> None:
        """Makes an instance a live member."""
        settings = kernel.settings
        address = f"tcp://{settings.instance_id}"
        self._kernel.plugin("peers").connect(settings.instance_id, address)
        self.view.put(
            view_lib.Member(
                settings.instance_id,
                settings.failure_domain,
                address,
                kernel.incarnation,
                view_lib.LIVE,
            )
        )

    def set_reachable(self, instance: str, reachable: bool) -> None:
        """Takes the result of a probe; a leaving member stays so."""
        if not self.knows(instance, reachable):
            self.view.set_state(
                instance, view_lib.LIVE if reachable else view_lib.SUSPECT
            )

    def knows(self, instance: str, reachable: bool) -> bool:
        """Whether the result of a probe changes nothing."""
        member = self.view.members_by_id.get(instance)
        return member is None or member.state in (
            view_lib.LEAVING,
            view_lib.LIVE if reachable else view_lib.SUSPECT,
        )

    def leave(self) -> None:
        """Tells all members that this instance stops."""
        successor = self._kernel.plugin("submissions").successor()
        for instance in self.view.members_by_id:
            if instance != self._kernel.settings.instance_id:
                self._kernel.plugin("peers").send(
                    instance, messages.Leaving(successor)
                )

    def _on_leaving(self, sender: peers_lib.Sender, message) -> None:
        del message
        self.view.set_state(sender.instance, view_lib.LEAVING)


class FakeConfiguration:
    """Stands in for the `configuration` plug-in; nothing changes."""

    requires: tuple[str, ...] = ()

    def __init__(self, store: store_lib.Store) -> None:
        self.store = store

    async def start(self) -> None:
        pass

    async def stop(self, grace_s: float) -> None:
        del grace_s

    def ready(self) -> bool:
        return True

    def dump(self) -> dict[str, Any]:
        return {}


class _DetachedUpstream:
    """Calls that go on when the calling instance is frozen or killed."""

    def __init__(self, upstream, replica, losing_replies: set[str]) -> None:
        self._upstream = upstream
        self._replica = replica
        self._losing_replies = losing_replies

    async def submit(self, call: protocol.SubmitCall):
        reply = await asyncio.get_running_loop().create_task(
            self._upstream.submit(call), context=contextvars.Context()
        )
        if self._replica in self._losing_replies:
            return protocol.CallReply(protocol.CallOutcome.FAILED)
        return reply


class _DetachedUpstreams(upstreams_lib.FakeUpstreams):
    def __init__(self, replicas, one_way_s, losing_replies) -> None:
        super().__init__(replicas, one_way_s)
        self._losing_replies = losing_replies

    def open(self, protocol_name, url, max_connections):
        return _DetachedUpstream(
            super().open(protocol_name, url, max_connections),
            url.removeprefix("http://"),
            self._losing_replies,
        )


def _accepted(documents: tuple[messages.Document, ...]) -> store_lib.Store:
    """Returns a store with documents; worlds with the same ones share it."""
    encoded = msgspec.json.encode(documents)
    if encoded not in _stores_by_documents:
        store = store_lib.Store()
        by_subtree: dict[str, list[messages.Document]] = {}
        for document in documents:
            subtree = acceptance.subtree_of(document.path)
            by_subtree.setdefault(subtree, []).append(document)
        store.offer(
            messages.ConfigSubtree(name, 1, tuple(group))
            for name, group in by_subtree.items()
        )
        _stores_by_documents[encoded] = store
    return _stores_by_documents[encoded]


class SubmissionWorld(world_lib.World):
    """Instances that can be frozen, killed and stopped.

    Attributes:
        dead: Instances that were killed or have stopped.
        losing_replies: Replicas whose replies are lost after the call ran.
    """

    def __init__(self, seed: int = 1, shards: int = 4, **options: Any) -> None:
        super().__init__(seed, **options)
        self.network = processes.LossyNetwork(
            random.Random(seed + 1), cross_domain_s=0.0015
        )
        self.dead: set[str] = set()
        self.losing_replies: set[str] = set()
        self._silent_since_s: dict[tuple[str, str], float] = {}
        replicas = {f"r{n}{side}": side for n in range(shards) for side in "ab"}
        self.publish_service("shop", replicas)
        self.shards = [f"s{n}" for n in range(shards)]
        by_shard = {f"s{n}": [f"r{n}a", f"r{n}b"] for n in range(shards)}
        versions = [{"version": 1, "shards": {"shop": by_shard}}]
        self.publish({"/operator/indexes/main": {"versions": versions}})
        self.publish_team("hunters", "paying")
        self.publish_team("others", "standard")
        self._store = _accepted(tuple(self.documents_by_path.values()))

    def kernel(self, instance, failure_domain, **settings):
        kernel = lifecycle.Kernel(
            settings_lib.Settings(
                instance_id=instance, failure_domain=failure_domain, **settings
            ),
            clock=clock_lib.LoopClock(),
            rng=random.Random(self.rng.random()),
            incarnation=next(self._incarnations),
        )
        plugins = kernel.plugins_by_name
        plugins["peers"] = processes.ProcessPeers(kernel, self.network)
        plugins["upstream"] = _DetachedUpstreams(
            self.replicas_by_id, self._upstream_one_way_s, self.losing_replies
        )
        plugins["configuration"] = FakeConfiguration(self._store)
        plugins["membership"] = FakeMembership(kernel)
        plugins["dispatch"] = FakeDispatch(kernel)
        kernel.build(_PLUGINS)
        self.kernels_by_id[instance] = kernel
        self.dead.discard(instance)
        return kernel

    async def add(self, instance: str, domain: str, **settings: Any) -> None:
        """Builds and starts one instance and makes it known to all."""
        kernel = self.kernel(instance, domain, **settings)
        await processes.spawn(kernel, kernel.start())
        for name, other in self.kernels_by_id.items():
            if name in self.dead:
                continue
            self._in(other, other.plugin("membership").add, kernel)
            self._in(kernel, kernel.plugin("membership").add, other)

    async def start(self, domains_by_instance, **settings) -> None:
        for instance, domain in domains_by_instance.items():
            await self.add(instance, domain, **settings)
        self.prober = asyncio.create_task(self._probe())

    def submissions(self, instance: str):
        """Returns the plug-in of an instance."""
        return self.kernels_by_id[instance].plugin("submissions")

    def running(self, instance: str) -> bool:
        """Whether an instance answers its callers now."""
        frozen = asyncio.get_running_loop().frozen
        process = processes.name_of(self.kernels_by_id[instance])
        return instance not in self.dead and process not in frozen

    def issue(self, instance: str, team: str = "hunters") -> str:
        """Returns one new key."""
        return self.submissions(instance).issue(team, 1)[0]

    def submission(self, key: str, **fields: Any) -> model.Submission:
        """Returns a submission with defaults for what is not given."""
        defaults = {
            "request": "q-1",
            "team": "hunters",
            "service": "shop",
            "shard": "s0",
            "body": b'"lamp"',
            "rank": 0,
            "deadline_ms": 1000.0,
            "first_send": False,
        }
        return model.Submission(key=key, **(defaults | fields))

    def send(self, instance: str, submission: model.Submission):
        """Sends a copy to an instance and returns the waiting task."""
        return processes.spawn(
            self.kernels_by_id[instance],
            self.submissions(instance).submit(submission),
        )

    def started(self, request: str) -> int:
        """Returns how often a request, by prefix, was started upstream."""
        return sum(
            event.kind == "submit_started" and event.request.startswith(request)
            for replica in self.replicas_by_id.values()
            for event in replica.journal
        )

    def kill(self, instance: str) -> None:
        super().kill(instance)
        self.freeze(instance)
        self.dead.add(instance)

    def freeze(self, instance: str) -> None:
        """Stops the process of an instance."""
        process = processes.name_of(self.kernels_by_id[instance])
        asyncio.get_running_loop().freeze(process)

    def resume(self, instance: str) -> None:
        """Lets a frozen instance go on; a killed one stays dead."""
        if instance not in self.dead:
            process = processes.name_of(self.kernels_by_id[instance])
            asyncio.get_running_loop().resume(process)

    async def stop(self, instance: str, grace_s: float = 5.0) -> None:
        """Stops an instance gracefully."""
        kernel = self.kernels_by_id[instance]

        async def leave():
            kernel.plugin("membership").leave()
            await kernel.stop(grace_s)

        await processes.spawn(kernel, leave())
        self.dead.add(instance)

    def deliver(self, instance: str, sender, message) -> None:
        """Delivers a made-up message to an instance."""
        kernel = self.kernels_by_id[instance]
        handlers = kernel.plugin("peers")._handlers
        self._in(kernel, handlers.deliver, sender, (message,))

    def _in(self, kernel: lifecycle.Kernel, function, *args) -> None:
        context = processes.context_of(processes.name_of(kernel))
        asyncio.get_running_loop().call_soon(function, *args, context=context)

    async def _probe(self) -> None:
        """Gives each instance the view that pings would give it."""
        loop = asyncio.get_running_loop()
        seen: Any = None
        changed_s = 0.0
        while True:
            await asyncio.sleep(_PROBE_S)
            state = (
                set(loop.frozen),
                set(self.dead),
                set(self.network.cuts),
                [kernel.incarnation for kernel in self.kernels_by_id.values()],
            )
            if state != seen:
                seen = state
                changed_s = loop.time()
            if loop.time() - changed_s > 2 * _SUSPECT_S:
                continue
            for one in self.kernels_by_id:
                for other in self.kernels_by_id:
                    if one != other and self.running(one):
                        self._probe_pair(one, other)

    def _probe_pair(self, one: str, other: str) -> None:
        now_s = asyncio.get_running_loop().time()
        kernels = self.kernels_by_id
        reachable = self.running(other) and self.network.reachable(
            kernels[one].plugin("peers"), kernels[other].plugin("peers")
        )
        since_s = self._silent_since_s.setdefault((one, other), now_s)
        membership = kernels[one].plugin("membership")
        if reachable:
            del self._silent_since_s[one, other]
        if membership.knows(other, reachable):
            return
        if reachable or now_s - since_s >= _SUSPECT_S:
            self._in(kernels[one], membership.set_reachable, other, reachable)
