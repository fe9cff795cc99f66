"""A bare sender of messages to a dispatcher, with all it got back."""

import asyncio

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import settings as settings_lib
from tests.support import network as network_lib
from tests.support import world as world_lib

_REPLIES = (
    messages.SubReply,
    messages.SubQueued,
    messages.SlotReady,
    messages.SlotOutcome,
    messages.UpstreamLeaving,
)


class Client:
    """Stands in for the plug-ins that use a dispatcher.

    Attributes:
        received: Messages in order of arrival.
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
            self.peers.on(kind, self._on_message)
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
        """Returns received messages of a type, of one attempt or of all."""
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
        replica: str,
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

    def reserve(
        self,
        attempt: int,
        replica: str,
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
        """Gives a reservation back."""
        self.peers.send(self.to, messages.SlotRelease(attempt))

    def cancel(self, *attempts: int) -> None:
        """Cancels queries."""
        self.peers.send(self.to, messages.Cancel(attempts))
