"""In-memory network with latency, partitions, loss and duplicates."""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from tests.support import virtual

SAME_DOMAIN_LATENCY_S = 0.0002


class Network:
    """Delivers message batches between the instances of one test.

    Attributes:
        partitions: Pairs of instances or failure domains that are partitioned
            from each other.
        duplicate_share: Share of batches that are delivered twice.
        jitter_s: Maximum additional delay of a batch. It can reorder batches.
        loss_share: Share of batches that are lost.
        drop: Returns whether a batch with the given message is lost.
        bytes_sent_by_instance: Encoded size of all batches sent.
        messages_by_type: Number of messages sent, by class name.
    """

    def __init__(
        self, rng: random.Random, cross_domain_latency_s: float
    ) -> None:
        self.partitions: set[frozenset[str]] = set()
        self.duplicate_share = 0.0
        self.jitter_s = 0.0
        self.loss_share = 0.0
        self.drop: Callable[[messages.Message], bool] = lambda message: False
        self.bytes_sent_by_instance: dict[str, int] = {}
        self.messages_by_type: dict[str, int] = {}
        self._rng = rng
        self._cross_domain_latency_s = cross_domain_latency_s
        self._peers_by_address: dict[str, FakePeers] = {}

    def attach(self, peers: "FakePeers") -> None:
        """Makes an instance reachable at its address."""
        self._peers_by_address[peers.address] = peers

    def detach(self, peers: "FakePeers") -> None:
        """Makes an instance unreachable."""
        if self._peers_by_address.get(peers.address) is peers:
            del self._peers_by_address[peers.address]

    def reachable(self, one: "FakePeers", other: "FakePeers") -> bool:
        """Whether two instances are not partitioned from each other."""
        sides = [
            (one.instance, one.failure_domain),
            (other.instance, other.failure_domain),
        ]
        return not any(
            frozenset((a, b)) in self.partitions
            for a in sides[0]
            for b in sides[1]
        )

    def post(
        self, sender: "FakePeers", address: str, envelope: messages.Envelope
    ) -> None:
        """Sends a batch, which is lost if the receiver is not reachable."""
        name = sender.instance
        size = len(messages.encode(envelope))
        sent = self.bytes_sent_by_instance
        sent[name] = sent.get(name, 0) + size
        for message in envelope.messages:
            kind = type(message).__name__
            count = self.messages_by_type.get(kind, 0)
            self.messages_by_type[kind] = count + 1
        copies = 1 + (self._rng.random() < self.duplicate_share)
        receiver = self._peers_by_address.get(address)
        if receiver is None:
            return
        delay_s = self._cross_domain_latency_s
        if receiver.failure_domain == sender.failure_domain:
            delay_s = SAME_DOMAIN_LATENCY_S
        for _ in range(copies):
            jitter_s = self._rng.random() * self.jitter_s
            asyncio.get_running_loop().call_later(
                delay_s + jitter_s,
                self._deliver,
                sender,
                address,
                envelope,
                context=virtual.context_of(""),
            )

    def _deliver(
        self, sender: "FakePeers", address: str, envelope: messages.Envelope
    ) -> None:
        if self.loss_share and self._rng.random() < self.loss_share:
            return
        if any(self.drop(message) for message in envelope.messages):
            return
        receiver = self._peers_by_address.get(address)
        if receiver is None or not self.reachable(sender, receiver):
            return
        asyncio.get_running_loop().call_soon(
            receiver.receive,
            envelope,
            context=virtual.context_of(receiver.process),
        )


class FakePeers:
    """Replaces the `peers` plug-in of one instance."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel, network: Network) -> None:
        self._kernel = kernel
        self._network = network
        self._handlers = peers_lib.MessageHandlers()
        self._outboxes = peers_lib.Outboxes()
        self._address_by_peer: dict[str, str] = {}
        self._incarnation_by_peer: dict[str, int] = {}
        self._killed = False
        self.instance = kernel.settings.instance_id
        self.failure_domain = kernel.settings.failure_domain
        self.address = f"tcp://{self.instance}"
        self.process = f"{self.instance}#{kernel.incarnation}"

    async def start(self) -> None:
        self._network.attach(self)

    async def stop(self, grace_s: float) -> None:
        del grace_s
        self._flush()
        self._network.detach(self)

    def ready(self) -> bool:
        return True

    def dump(self) -> dict[str, Any]:
        return {}

    def kill(self) -> None:
        """Drops all messages to and from this instance from now on."""
        self._killed = True
        self._outboxes.take()
        self._network.detach(self)

    def add_handler(
        self, message_type: type, handler: peers_lib.Handler
    ) -> None:
        self._handlers.add_handler(message_type, handler)

    def connect(self, instance: str, address: str) -> None:
        self._address_by_peer[instance] = address

    def disconnect(self, instance: str) -> None:
        self._address_by_peer.pop(instance, None)

    def send(self, to: str, message: messages.Message) -> bool:
        loop = asyncio.get_running_loop()
        if self._killed:
            return False
        if to == self.instance:
            sender = peers_lib.Sender(
                to, self._kernel.incarnation, self.address
            )
            loop.call_soon(self._handlers.deliver, sender, (message,))
            return True
        if to not in self._address_by_peer:
            return False
        if self._outboxes.add(to, message):
            loop.call_soon(self._flush)
        return True

    def receive(self, envelope: messages.Envelope) -> None:
        """Passes a batch for this incarnation to the handlers."""
        if envelope.to_incarnation not in (0, self._kernel.incarnation):
            return
        self._incarnation_by_peer[envelope.sender] = envelope.incarnation
        sender = peers_lib.Sender(
            envelope.sender, envelope.incarnation, envelope.address
        )
        self._handlers.deliver(sender, envelope.messages)

    def _flush(self) -> None:
        for peer, batch in self._outboxes.take():
            envelope = messages.Envelope(
                version=messages.PROTOCOL_VERSION,
                sender=self.instance,
                incarnation=self._kernel.incarnation,
                address=self.address,
                to_incarnation=self._incarnation_by_peer.get(peer, 0),
                messages=batch,
            )
            address = self._address_by_peer.get(peer)
            if address is not None:
                self._network.post(self, address, envelope)
