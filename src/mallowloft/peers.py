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

_log = logs.get_logger("peers")

# Limits how long the encoding of one frame takes. `_encode_frames` limits the
# size of a frame.
_MAX_BATCH_MESSAGES = 256
_HIGH_WATER_MARK_FRAMES = 10_000
_LINGER_MS = 500
_RECONNECT_INTERVAL_MS = 50
_RECONNECT_INTERVAL_MAX_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Sender of a received message.

    Attributes:
        instance: Id of the sending instance.
        incarnation: Incarnation of the sending instance.
        address: Address at which the sending instance receives messages.
    """

    instance: str
    incarnation: int
    address: str


Handler = Callable[[Sender, Any], None]


class Transport(Protocol):
    """Interface of the transport for other plug-ins.

    Tests replace the transport by an in-memory implementation.
    """

    def add_handler(self, message_type: type, handler: Handler) -> None:
        """Adds a handler for a message type."""

    def send(self, to: str, message: messages.Message) -> bool:
        """Queues a message for an instance.

        Returns:
            False if there is no socket for the instance. True does not
            guarantee a connection or delivery.
        """

    def connect(self, instance: str, address: str) -> None:
        """Connects to an instance, so that messages can be sent to its id."""

    def disconnect(self, instance: str) -> None:
        """Closes the connection to an instance."""


class Outboxes:
    """Messages that wait for the next flush, by receiver."""

    def __init__(self) -> None:
        self._messages_by_peer: dict[str, list[messages.Message]] = {}

    def add(self, peer: str, message: messages.Message) -> bool:
        """Adds a message.

        Returns:
            Whether no other message was pending, so that the caller has to
            schedule a flush.
        """
        first = not self._messages_by_peer
        self._messages_by_peer.setdefault(peer, []).append(message)
        return first

    def take(self) -> list[tuple[str, tuple[messages.Message, ...]]]:
        """Removes all messages and returns them in batches with receivers."""
        batches = []
        for peer, pending in self._messages_by_peer.items():
            for start in range(0, len(pending), _MAX_BATCH_MESSAGES):
                batch = pending[start : start + _MAX_BATCH_MESSAGES]
                batches.append((peer, tuple(batch)))
        self._messages_by_peer = {}
        return batches


class MessageHandlers:
    """Registered message handlers by message type."""

    def __init__(self) -> None:
        self._handlers_by_type: dict[type, list[Handler]] = {}

    def add_handler(self, message_type: type, handler: Handler) -> None:
        """Adds a handler for a message type.

        The handlers of a message type are called in the order of addition.
        """
        self._handlers_by_type.setdefault(message_type, []).append(handler)

    def deliver(
        self, sender: Sender, batch: tuple[messages.Message, ...]
    ) -> None:
        """Calls the handlers of each message.

        An exception in a handler is logged, and the other handlers are still
        called.
        """
        for message in batch:
            for handler in self._handlers_by_type.get(type(message), ()):
                self._call_handler(handler, sender, message)

    def _call_handler(
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


class _CurveAuthentication:
    """CURVE encryption and authentication of peers.

    For each new connection, libzmq sends an authentication request to a socket
    at a fixed inproc endpoint (ZAP, ZeroMQ RFC 27). This class answers these
    requests by comparing the public key of the connecting peer with the
    configured keys.
    """

    _ZAP_ENDPOINT = "inproc://zeromq.zap.01"

    def __init__(
        self, context: zmq.Context, settings: settings_lib.Settings
    ) -> None:
        self._context = context
        self._secret_key = settings.peer_secret_key.encode()
        self._key_by_peer = settings_lib.parse_public_keys(
            settings.peer_public_keys
        )
        self._allowed_keys = {
            z85.decode(key) for key in self._key_by_peer.values()
        }
        self._zap_socket: zmq.Socket | None = None

    @property
    def enabled(self) -> bool:
        """Whether messages are encrypted and only known keys can connect.

        The instance id in a message is not compared with the sender's key.
        """
        return bool(self._secret_key)

    def start(self) -> None:
        """Starts answering authentication requests."""
        if not self.enabled:
            return
        zap_socket = self._context.socket(zmq.REP)
        zap_socket.setsockopt(zmq.LINGER, 0)
        zap_socket.bind(self._ZAP_ENDPOINT)
        self._zap_socket = zap_socket
        loop = asyncio.get_running_loop()
        loop.add_reader(
            zap_socket.getsockopt(zmq.FD), self._answer_zap_requests
        )

    def stop(self) -> None:
        """Stops answering authentication requests."""
        if self._zap_socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._zap_socket.getsockopt(zmq.FD))
        self._zap_socket.close()
        self._zap_socket = None

    def configure_server(self, socket: zmq.Socket) -> None:
        """Makes a socket accept only known keys, if keys are configured."""
        if self.enabled:
            socket.setsockopt(zmq.CURVE_SERVER, 1)
            socket.setsockopt(zmq.CURVE_SECRETKEY, self._secret_key)

    def configure_client(self, peer: str, socket: zmq.Socket) -> bool:
        """Sets the keys for a socket that connects to a peer.

        Returns:
            False if the public key of the peer is not configured.
        """
        if not self.enabled:
            return True
        key = self._key_by_peer.get(peer) or self._key_by_peer.get("*")
        if key is None:
            return False
        socket.setsockopt(zmq.CURVE_SERVERKEY, key)
        socket.setsockopt(zmq.CURVE_SECRETKEY, self._secret_key)
        socket.setsockopt(
            zmq.CURVE_PUBLICKEY, zmq.curve_public(self._secret_key)
        )
        return True

    def _answer_zap_requests(self) -> None:
        while self._zap_socket is not None:
            try:
                request = self._zap_socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            version, request_id, _, address, _, mechanism, *credentials = (
                request
            )
            allowed = (
                mechanism == b"CURVE" and credentials[0] in self._allowed_keys
            )
            if not allowed:
                _log.warning("peer_key_refused", address=address.decode())
            status = (b"200", b"OK") if allowed else (b"400", b"unknown key")
            self._zap_socket.send_multipart(
                (version, request_id, *status, b"", b"")
            )


@registry.plugins.register("peers")
class ZeroMqPeers:
    """Plug-in that sends and receives messages over ZeroMQ.

    One PULL socket receives all messages, and one PUSH socket per peer sends
    messages to that peer. PUSH sockets queue messages only for established
    connections (ZMQ_IMMEDIATE), so a message to a peer without a connection is
    dropped instead of being queued for the next incarnation of the peer.

    One callback on the socket's file descriptor reads all available frames.
    pyzmq's asyncio wrapper would take one future per frame.
    """

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._context = zmq.Context()
        self._context.setsockopt(zmq.IPV6, 1)
        self._curve = _CurveAuthentication(self._context, kernel.settings)
        self._handlers = MessageHandlers()
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
        receiver.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK_FRAMES)
        receiver.setsockopt(zmq.MAXMSGSIZE, messages.MAX_FRAME_BYTES)
        self._curve.start()
        self._curve.configure_server(receiver)
        host = f"[{settings.host}]" if ":" in settings.host else settings.host
        receiver.bind(f"tcp://{host}:{settings.peer_port}")
        self._address = receiver.getsockopt_string(zmq.LAST_ENDPOINT)
        self._receiver = receiver
        loop = asyncio.get_running_loop()
        loop.add_reader(receiver.getsockopt(zmq.FD), self._on_readable)
        loop.call_soon(self._on_readable)

    async def stop(self, grace_s: float) -> None:
        """Sends the queued messages and closes all sockets.

        Blocks the event loop for up to `_LINGER_MS` while messages are sent.
        """
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
        """Returns addresses of connected peers and incarnations of senders."""
        return {
            "address": self._address,
            "encrypted": self._curve.enabled,
            "address_by_peer": dict(self._address_by_peer),
            "incarnation_by_peer": dict(self._incarnation_by_peer),
        }

    def add_handler(self, message_type: type, handler: Handler) -> None:
        """Adds a handler for a message type."""
        self._handlers.add_handler(message_type, handler)

    def connect(self, instance: str, address: str) -> None:
        """Connects to an instance, so that messages can be sent to its id.

        An existing connection to another address of the instance is replaced.
        If encryption is enabled and no public key of the instance is
        configured, a warning is logged and there is no connection.
        """
        if self._address_by_peer.get(instance) == address:
            return
        self.disconnect(instance)
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.LINGER, _LINGER_MS)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK_FRAMES)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_INTERVAL_MAX_MS)
        if not self._curve.configure_client(instance, socket):
            _log.warning("peer_key_missing", peer=instance)
            socket.close()
            return
        socket.connect(address)
        self._sockets_by_peer[instance] = socket
        self._address_by_peer[instance] = address

    def disconnect(self, instance: str) -> None:
        """Closes the connection to an instance.

        Messages that are not yet flushed are dropped.
        """
        socket = self._sockets_by_peer.pop(instance, None)
        self._address_by_peer.pop(instance, None)
        self._incarnation_by_peer.pop(instance, None)
        if socket is not None:
            socket.close()

    def send(self, to: str, message: messages.Message) -> bool:
        """Queues a message until the next event loop iteration.

        While frames are being received, messages are instead queued until all
        available frames are handled. A message to this instance itself is
        delivered to its handlers in the next iteration.

        Returns:
            False if there is no socket for the receiver. True does not
            guarantee a connection or delivery.
        """
        if to == self._kernel.settings.instance_id:
            asyncio.get_running_loop().call_soon(self._deliver_to_self, message)
            return True
        if to not in self._sockets_by_peer:
            return False
        if self._outboxes.add(to, message) and not self._receiving:
            asyncio.get_running_loop().call_soon(self._flush)
        return True

    def _deliver_to_self(self, message: messages.Message) -> None:
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
            for frame in self._encode_frames(peer, batch):
                self._send_frame(peer, socket, frame)

    def _encode_frames(
        self, peer: str, batch: tuple[messages.Message, ...]
    ) -> Iterator[bytes]:
        """Encodes a batch as one or more frames within the size limit.

        The receiver closes the connection when it gets a larger frame, and all
        other messages on that connection would be lost as well. A message that
        exceeds the limit by itself is dropped.
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
            yield from self._encode_frames(peer, batch[:middle])
            yield from self._encode_frames(peer, batch[middle:])
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

    def _on_readable(self) -> None:
        receiver = self._receiver
        if receiver is None:
            return
        self._kernel.pause_detector.check()
        # Messages that the handlers send are flushed once at the end. This
        # saves an event loop iteration per batch.
        self._receiving = True
        try:
            self._receive_frames(receiver)
        finally:
            self._receiving = False
            self._flush()

    def _receive_frames(self, receiver: zmq.Socket) -> None:
        # The file descriptor is edge-triggered, so all available frames have to
        # be read.
        while True:
            try:
                frame = receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_frame(frame)

    def _handle_frame(self, frame: bytes) -> None:
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
