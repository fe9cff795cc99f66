"""Transport of message batches between instances over ZeroMQ."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Protocol

import zmq
from zmq.utils import z85

from mallowloft import messages
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.kernel import settings as settings_lib

_log = logs.get("peers")

# A batch is closed at this many messages so that a frame stays small.
_MAX_BATCH_MESSAGES = 256
_HIGH_WATER_FRAMES = 10_000
_LINGER_MS = 500
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Origin of a received message."""

    instance: str
    incarnation: int
    address: str


Handler = Callable[[Sender, Any], None]


class Peers(Protocol):
    """What other plug-ins use of the transport; tests replace it."""

    def on(self, message_type: type, handler: Handler) -> None:
        """Adds a handler of a message type."""

    def send(self, to: str, message: messages.Message) -> bool:
        """Queues a message; False if the peer is certainly unreachable."""

    def connect(self, instance: str, address: str) -> None:
        """Makes an instance reachable by its id."""

    def disconnect(self, instance: str) -> None:
        """Forgets an instance."""


class Outboxes:
    """Messages that wait for the end of the loop turn, by receiver."""

    def __init__(self) -> None:
        self._messages_by_peer: dict[str, list[messages.Message]] = {}

    def add(self, peer: str, message: messages.Message) -> bool:
        """Adds a message; True if it is the first one of this turn."""
        first = not self._messages_by_peer
        self._messages_by_peer.setdefault(peer, []).append(message)
        return first

    def take(self) -> list[tuple[str, tuple[messages.Message, ...]]]:
        """Removes and returns all batches."""
        batches = []
        for peer, queued in self._messages_by_peer.items():
            for start in range(0, len(queued), _MAX_BATCH_MESSAGES):
                batch = queued[start : start + _MAX_BATCH_MESSAGES]
                batches.append((peer, tuple(batch)))
        self._messages_by_peer = {}
        return batches


class Dispatch:
    """Handlers by message type."""

    def __init__(self) -> None:
        self._handlers_by_type: dict[type, list[Handler]] = {}

    def on(self, message_type: type, handler: Handler) -> None:
        """Adds a handler of a message type; handlers run in this order."""
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def deliver(
        self, sender: Sender, batch: tuple[messages.Message, ...]
    ) -> None:
        """Calls the handlers; a failing one does not stop the batch."""
        for message in batch:
            for handler in self._handlers_by_type.get(type(message), ()):
                self._call(handler, sender, message)

    def _call(
        self, handler: Handler, sender: Sender, message: messages.Message
    ) -> None:
        try:
            handler(sender, message)
        except Exception:  # noqa: BLE001
            _log.exception(
                "message_handler_failed",
                message=type(message).__name__,
                sender=sender.instance,
            )


class _Curve:
    """Keys of this instance and of the fleet, and the check of senders.

    libzmq asks a socket at a fixed inproc address (ZAP, RFC 27) whether a
    sender's key is allowed.
    """

    _ADDRESS = "inproc://zeromq.zap.01"

    def __init__(
        self, context: zmq.Context, settings: settings_lib.Settings
    ) -> None:
        self._context = context
        self._secret = settings.peer_secret_key.encode()
        self._key_by_peer = settings_lib.public_keys(settings.peer_public_keys)
        self._allowed = {z85.decode(key) for key in self._key_by_peer.values()}
        self._checker: zmq.Socket | None = None

    @property
    def enabled(self) -> bool:
        """Whether messages are encrypted and senders are checked."""
        return bool(self._secret)

    def start(self) -> None:
        """Starts to check senders."""
        if not self.enabled:
            return
        checker = self._context.socket(zmq.REP)
        checker.setsockopt(zmq.LINGER, 0)
        checker.bind(self._ADDRESS)
        self._checker = checker
        loop = asyncio.get_running_loop()
        loop.add_reader(checker.getsockopt(zmq.FD), self._check_waiting)

    def stop(self) -> None:
        """Stops checking senders."""
        if self._checker is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._checker.getsockopt(zmq.FD))
        self._checker.close()
        self._checker = None

    def protect_receiver(self, receiver: zmq.Socket) -> None:
        """Makes a socket accept only senders of the fleet."""
        if self.enabled:
            receiver.setsockopt(zmq.CURVE_SERVER, 1)
            receiver.setsockopt(zmq.CURVE_SECRETKEY, self._secret)

    def protect_sender(self, peer: str, sender: zmq.Socket) -> bool:
        """Makes a socket connect to one peer; False without its key."""
        if not self.enabled:
            return True
        key = self._key_by_peer.get(peer) or self._key_by_peer.get("*")
        if key is None:
            return False
        sender.setsockopt(zmq.CURVE_SERVERKEY, key)
        sender.setsockopt(zmq.CURVE_SECRETKEY, self._secret)
        sender.setsockopt(zmq.CURVE_PUBLICKEY, zmq.curve_public(self._secret))
        return True

    def _check_waiting(self) -> None:
        while self._checker is not None:
            try:
                request = self._checker.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            version, number, _, address, _, mechanism, *credentials = request
            allowed = mechanism == b"CURVE" and credentials[0] in self._allowed
            if not allowed:
                _log.warning("peer_key_refused", address=address.decode())
            status = (b"200", b"OK") if allowed else (b"400", b"unknown key")
            self._checker.send_multipart((version, number, *status, b"", b""))


@registry.plugins.register("peers")
class ZeroMqPeers:
    """One PULL socket for what arrives and one PUSH socket for each peer.

    PUSH sockets queue only to completed connections (ZMQ_IMMEDIATE), so that a
    message to a dead peer fails at once instead of reaching its successor.
    The sockets are read without pyzmq's asyncio wrapper: one callback drains
    all waiting frames.
    """

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._context = zmq.Context()
        self._context.setsockopt(zmq.IPV6, 1)
        self._curve = _Curve(self._context, kernel.settings)
        self._handlers = Dispatch()
        self._outboxes = Outboxes()
        self._sockets_by_peer: dict[str, zmq.Socket] = {}
        self._address_by_peer: dict[str, str] = {}
        self._incarnation_by_peer: dict[str, int] = {}
        self._receiver: zmq.Socket | None = None
        self._receiving = False
        self._address = ""

    @property
    def address(self) -> str:
        """Address at which this instance receives messages."""
        return self._address

    async def start(self) -> None:
        """Binds the receiving socket."""
        settings = self._kernel.settings
        receiver = self._context.socket(zmq.PULL)
        receiver.setsockopt(zmq.LINGER, 0)
        receiver.setsockopt(zmq.RCVHWM, _HIGH_WATER_FRAMES)
        receiver.setsockopt(zmq.MAXMSGSIZE, messages.MAX_FRAME_BYTES)
        self._curve.start()
        self._curve.protect_receiver(receiver)
        host = f"[{settings.host}]" if ":" in settings.host else settings.host
        receiver.bind(f"tcp://{host}:{settings.peer_port}")
        self._address = receiver.getsockopt_string(zmq.LAST_ENDPOINT)
        self._receiver = receiver
        loop = asyncio.get_running_loop()
        loop.add_reader(receiver.getsockopt(zmq.FD), self._receive_waiting)
        loop.call_soon(self._receive_waiting)

    async def stop(self, grace_s: float) -> None:
        """Sends what is queued and closes all sockets."""
        del grace_s
        self._flush()
        if self._receiver is not None:
            fd = self._receiver.getsockopt(zmq.FD)
            asyncio.get_running_loop().remove_reader(fd)
            self._receiver.close()
            self._receiver = None
        for peer in list(self._sockets_by_peer):
            self.disconnect(peer)
        self._curve.stop()
        self._context.term()

    def ready(self) -> bool:
        """Whether the receiving socket is bound."""
        return self._receiver is not None

    def dump(self) -> dict[str, Any]:
        """Returns addresses and incarnations of connected peers."""
        return {
            "address": self._address,
            "encrypted": self._curve.enabled,
            "address_by_peer": dict(self._address_by_peer),
            "incarnation_by_peer": dict(self._incarnation_by_peer),
        }

    def on(self, message_type: type, handler: Handler) -> None:
        """Adds a handler of a message type."""
        self._handlers.on(message_type, handler)

    def connect(self, instance: str, address: str) -> None:
        """Makes an instance reachable by its id."""
        if self._address_by_peer.get(instance) == address:
            return
        self.disconnect(instance)
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.LINGER, _LINGER_MS)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_FRAMES)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        if not self._curve.protect_sender(instance, socket):
            _log.warning("peer_key_missing", peer=instance)
            socket.close()
            return
        socket.connect(address)
        self._sockets_by_peer[instance] = socket
        self._address_by_peer[instance] = address

    def disconnect(self, instance: str) -> None:
        """Forgets an instance."""
        socket = self._sockets_by_peer.pop(instance, None)
        self._address_by_peer.pop(instance, None)
        self._incarnation_by_peer.pop(instance, None)
        if socket is not None:
            socket.close()

    def send(self, to: str, message: messages.Message) -> bool:
        """Queues a message until the end of the loop turn.

        Returns:
            False if the receiver is unknown. True promises nothing: the
            message may still be lost.
        """
        if to == self._kernel.settings.instance_id:
            asyncio.get_running_loop().call_soon(self._deliver_own, message)
            return True
        if to not in self._sockets_by_peer:
            return False
        if self._outboxes.add(to, message) and not self._receiving:
            asyncio.get_running_loop().call_soon(self._flush)
        return True

    def _deliver_own(self, message: messages.Message) -> None:
        sender = Sender(
            self._kernel.settings.instance_id,
            self._kernel.incarnation,
            self._address,
        )
        self._handlers.deliver(sender, (message,))

    def _flush(self) -> None:
        for peer, batch in self._outboxes.take():
            socket = self._sockets_by_peer.get(peer)
            if socket is None:
                continue
            for frame in self._frames(peer, batch):
                self._send_frame(peer, socket, frame)

    def _frames(
        self, peer: str, batch: tuple[messages.Message, ...]
    ) -> Iterator[bytes]:
        """Encodes a batch, split where it would exceed the frame limit.

        The receiver closes the connection on a larger frame, which would lose
        every other message as well.
        """
        frame = messages.encode(
            messages.Envelope(
                version=messages.PROTOCOL_VERSION,
                sender=self._kernel.settings.instance_id,
                incarnation=self._kernel.incarnation,
                address=self._address,
                to_incarnation=self._incarnation_by_peer.get(peer, 0),
                messages=batch,
            )
        )
        if len(frame) <= messages.MAX_FRAME_BYTES:
            yield frame
        elif len(batch) > 1:
            middle = len(batch) // 2
            yield from self._frames(peer, batch[:middle])
            yield from self._frames(peer, batch[middle:])
        else:
            self._kernel.metrics.count("peer_messages_too_large")
            _log.error(
                "peer_message_too_large",
                peer=peer,
                message=type(batch[0]).__name__,
                size=len(frame),
            )

    def _send_frame(self, peer: str, socket: zmq.Socket, frame: bytes) -> None:
        try:
            socket.send(frame, zmq.NOBLOCK, copy=False)
        except zmq.Again:
            self._kernel.metrics.count("peer_frames_dropped", peer=peer)
        else:
            self._kernel.metrics.count("peer_bytes_sent", len(frame))

    def _receive_waiting(self) -> None:
        receiver = self._receiver
        if receiver is None:
            return
        self._kernel.pauses.check()
        # What the handlers send leaves with one flush at the end, which saves
        # a turn of the event loop for each batch.
        self._receiving = True
        try:
            self._receive_all(receiver)
        finally:
            self._receiving = False
            self._flush()

    def _receive_all(self, receiver: zmq.Socket) -> None:
        # The descriptor is edge-triggered: read until nothing is left.
        while True:
            try:
                frame = receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(frame)

    def _receive(self, frame: bytes) -> None:
        decoded = messages.decode(frame)
        if decoded.is_err():
            self._kernel.metrics.count("peer_frames_invalid")
            _log.warning("peer_frame_invalid", reason=decoded.unwrap_err())
            return
        envelope = decoded.unwrap()
        if envelope.to_incarnation not in (0, self._kernel.incarnation):
            self._kernel.metrics.count("peer_frames_misdirected")
            return
        self._kernel.metrics.count("peer_bytes_received", len(frame))
        self._incarnation_by_peer[envelope.sender] = envelope.incarnation
        sender = Sender(envelope.sender, envelope.incarnation, envelope.address)
        self._handlers.deliver(sender, envelope.messages)
