"""Test client that sends messages to a dispatcher and records replies."""

import asyncio
from collections.abc import Iterable
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import settings as settings_lib
from tests.support import network as network_lib
from tests.support import upstreams as upstreams_lib
from tests.support import world as world_lib

_REPLIES = (
    messages.SubReply,
    messages.SubQueued,
    messages.SlotReady,
    messages.SlotOutcome,
    messages.UpstreamLeaving,
)


class Client:
    """Replaces the plug-ins that send messages to a dispatcher.

    Attributes:
        to: Instance to which messages are sent.
        received: Received messages in order of arrival.
        times_s: Time of arrival of each received message.
        peers: Simulated network peer of the client.
    """

    def __init__(
        self,
        world: world_lib.World,
        to: str,
        name: str = "client",
        domain: str = "d1",
        incarnation: int = 900,
    ) -> None:
        kernel = lifecycle.Kernel(
            settings_lib.Settings(instance_id=name, failure_domain=domain),
            clock=clock_lib.LoopClock(),
            incarnation=incarnation,
        )
        self.to = to
        self.received: list[messages.Message] = []
        self.times_s: list[float] = []
        self.peers = network_lib.FakePeers(kernel, world.network)
        for kind in _REPLIES:
            self.peers.add_handler(kind, self._on_message)
        world.network.attach(self.peers)
        for instance, other in world.kernels_by_id.items():
            other.plugin("peers").connect(name, self.peers.address)
            self.peers.connect(instance, f"tcp://{instance}")

    def _on_message(
        self, sender: peers_lib.Sender, message: messages.Message
    ) -> None:
        del sender
        self.received.append(message)
        self.times_s.append(asyncio.get_running_loop().time())

    def of(self, kind: type, attempt: int | None = None) -> list:
        """Returns received messages of a type, optionally of one attempt."""
        return [
            message
            for message in self.received
            if isinstance(message, kind)
            and attempt in (None, getattr(message, "attempt", None))
        ]

    async def wait_for(
        self, kind: type, attempt: int | None = None, timeout_s: float = 5.0
    ):
        """Returns the first message of a type, waiting for it if needed."""
        async with asyncio.timeout(timeout_s):
            while not self.of(kind, attempt):
                await asyncio.sleep(0.0005)
        return self.of(kind, attempt)[0]

    def ask(
        self,
        attempt: int,
        replica: str = "r1",
        rank: int = 0,
        remaining_ms: float = 1000.0,
        service: str = "svc",
    ) -> None:
        """Sends a sub-request."""
        self.peers.send(
            self.to,
            messages.SubRequest(
                attempt=attempt,
                request=f"r{attempt}",
                service=service,
                replica=replica,
                shards=("s",),
                index_version=1,
                rank=rank,
                remaining_ms=remaining_ms,
                hedge=False,
                query=b"{}",
            ),
        )

    def ask_all(self, attempts: Iterable[int], **options: Any) -> None:
        """Sends sub-requests without pauses; `options` as for `ask`."""
        for attempt in attempts:
            self.ask(attempt, **options)

    async def ask_paced(
        self, attempts: Iterable[int], pause_s: float = 0.01, **options: Any
    ) -> None:
        """Sends sub-requests with a pause after each, like `ask_all`."""
        for attempt in attempts:
            self.ask(attempt, **options)
            await asyncio.sleep(pause_s)

    async def answer(
        self, attempt: int, timeout_s: float = 5.0, **options: Any
    ) -> messages.SubReply:
        """Sends a sub-request and returns the reply."""
        self.ask(attempt, **options)
        return await self.wait_for(messages.SubReply, attempt, timeout_s)

    def outcomes(self, first: int = 0) -> list[messages.Outcome]:
        """Returns outcomes in order of arrival, for attempts >= `first`."""
        replies = self.of(messages.SubReply)
        return [item.outcome for item in replies if item.attempt >= first]

    async def reserved(self, attempt: int, **options: Any) -> int:
        """Sends a reservation and returns its ticket."""
        self.reserve(attempt, **options)
        return (await self.wait_for(messages.SlotReady, attempt)).ticket

    def reserve(
        self,
        attempt: int,
        replica: str = "r1",
        rank: int = 0,
        remaining_ms: float = 1000.0,
    ) -> None:
        """Sends a reservation."""
        self.peers.send(
            self.to,
            messages.SlotReserve(
                attempt, f"r{attempt}", replica, rank, remaining_ms
            ),
        )

    def go(
        self, attempt: int, ticket: int, remaining_ms: float = 1000.0
    ) -> None:
        """Sends the submission of a reservation."""
        self.peers.send(
            self.to,
            messages.SlotGo(
                attempt, ticket, f"r{attempt}", "s", b'"x"', remaining_ms
            ),
        )

    def release(self, attempt: int) -> None:
        """Releases a reservation."""
        self.peers.send(self.to, messages.SlotRelease(attempt))

    def cancel(self, *attempts: int) -> None:
        """Cancels queries."""
        self.peers.send(self.to, messages.Cancel(attempts))


def publish(
    world: world_lib.World, replicas: Iterable[str], **options: Any
) -> None:
    """Publishes the service `svc` with replicas in failure domain `d1`."""
    options.setdefault("service_s", lambda rng: 0.003)
    world.publish_service("svc", dict.fromkeys(replicas, "d1"), **options)


async def start(
    instances: Iterable[str] = ("i1",),
    replicas: Iterable[str] = ("r1",),
    settle_s: float = 2.5,
    preemption: bool = True,
    fleet: dict[str, Any] | None = None,
    **options: Any,
) -> tuple[world_lib.World, upstreams_lib.FakeReplica, Client]:
    """Starts instances and a service in one failure domain.

    Args:
        instances: Names of the instances.
        replicas: Names of the replicas.
        settle_s: Time to wait after the start, until instances have read the
            platform's list and have opened connections.
        preemption: Value of the setting `preemption`.
        fleet: Fleet document to publish, None to publish none.
        **options: Passed to `publish_service`.

    Returns:
        The world, its replica `r1` and a client of the first instance.
    """
    world = world_lib.World()
    publish(world, replicas, **options)
    if fleet is not None:
        world.publish({"/operator/fleet": fleet})
    names = tuple(instances)
    await world.start(dict.fromkeys(names, "d1"), preemption=preemption)
    await asyncio.sleep(settle_s)
    return world, world.replicas_by_id["r1"], Client(world, names[0])


def dump(
    world: world_lib.World, replica: str = "r1", instance: str = "i1"
) -> dict[str, Any]:
    """Returns the state of a replica's dispatcher."""
    service = world.kernels_by_id[instance].plugin("dispatch")
    return service.dump()["replicas"][replica]


def owner(world: world_lib.World) -> tuple[str, list[str]]:
    """Returns the instance that owns `r1`, and all other instances."""
    (name,) = [
        name
        for name, kernel in world.kernels_by_id.items()
        if "r1" in kernel.plugin("dispatch").dump()["owned"]
    ]
    return name, [other for other in world.kernels_by_id if other != name]


def attempts(replica: upstreams_lib.FakeReplica, kind: str) -> list[int]:
    """Returns the attempts of journal events of a kind, in order."""
    return [
        int(event.request_id.split(".")[2])
        for event in replica.journal
        if event.kind == kind
    ]
