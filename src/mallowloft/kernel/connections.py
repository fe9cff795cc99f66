"""What the connections of clients may hold, each and all together.

Clients are not trusted: one may send without end, read no answers, or keep a
connection for nothing. `ConnectionLimits` bounds a single connection in bytes
and in time. `ConnectionBudget` bounds all connections of the process, in bytes
and in number, and chooses which of them end when there is no room for another.
"""

import asyncio
import dataclasses
import enum
import resource
import select
from typing import Protocol

from mallowloft.kernel import metrics as metrics_lib

# Each connection may hold this much without being counted, so that requests of
# usual sizes are served however much others hold.
FREE_BYTES = 16 << 10
# Buffers of a connection in the operating system, in each direction, and what
# they take, because Linux doubles them. They count as held while they are full:
# while the connection is not read, and while the client does not read.
SOCKET_BUFFER_BYTES = 64 << 10
FULL_BUFFER_BYTES = 2 * SOCKET_BUFFER_BYTES
# Send buffer of a connection during a stop, as far as the operating system
# allows. What it holds is sent after the end of the process, too.
STOP_BUFFER_BYTES = 4 << 20
# Part of the memory that connections may hold beyond `FREE_BYTES` each, and
# part that all connections with `FREE_BYTES` each may take.
_HELD_SHARE = 0.25
_CONNECTIONS_SHARE = 0.25
# `FREE_BYTES` and what the objects of a connection take.
_BYTES_PER_CONNECTION = 2 * FREE_BYTES
# Assumed if the settings do not state the memory.
_DEFAULT_MEMORY_BYTES = 512 << 20
# Descriptors for files and for what is neither.
_RESERVED_DESCRIPTORS = 200
# Parts of the other descriptors for each kind of listener. The rest is for
# connections to replicas and other instances.
_DESCRIPTOR_SHARES = {"callers": 0.4, "fleet": 0.3, "operators": 0.05}
_MIN_CONNECTIONS = 16
# Assumed if the operating system has no limit.
_MAX_DESCRIPTORS = 1 << 20
# Connections above the limit of a listener that may be open while others end.
_EXCESS_SHARE = 0.25
# Bytes of a body besides its data, such as chunk sizes and trailers, and how
# many more are accepted for each byte of data.
_MAX_FRAMING_BYTES = 16 << 10
_MAX_FRAMING_PER_BODY_BYTE = 8
# Interval at which connections are checked that wait for their clients. Work
# for a client that has left ends after this time.
_CHECK_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What one connection may hold, and for how long.

    Attributes:
        max_head_bytes: Largest size of the headers of a request, and of its
            first line.
        head_timeout_s: Time from the first byte of a request to the end of its
            headers.
        body_timeout_s: Time from the end of the headers to that of the body.
        idle_timeout_s: Time without a request, and time in which a client
            reads nothing of an answer.
        max_discarded_bytes: Most that is discarded of a body after its answer,
            and of what follows a last answer.
        linger_s: How long data is discarded after a last answer.
    """

    max_head_bytes: int = 64 << 10
    head_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 10.0
    max_discarded_bytes: int = 1 << 20
    linger_s: float = 1.0

    def max_framing_bytes(self, body_bytes: int) -> int:
        """Returns the most that a body of a size may have besides its data."""
        return _MAX_FRAMING_BYTES + _MAX_FRAMING_PER_BODY_BYTE * body_bytes


class Phase(enum.Enum):
    """What a connection does."""

    # The last response was sent, and the client has not closed its side yet.
    LINGERING = enum.auto()
    # No whole request has arrived since the connection was opened, or the
    # present one is incomplete.
    RECEIVING = enum.auto()
    IDLE = enum.auto()
    # The client does not read an answer.
    UNREAD = enum.auto()
    # A request is served, and the client has sent more.
    AHEAD = enum.auto()
    SERVING = enum.auto()
    # It is being closed.
    ENDING = enum.auto()


# Phases in which a connection may be ended to make room for another, the first
# ones before the others.
_EXPENDABLE = (
    Phase.LINGERING,
    Phase.RECEIVING,
    Phase.IDLE,
    Phase.UNREAD,
    Phase.AHEAD,
)


class Connection(Protocol):
    """A connection of a client.

    Attributes:
        charged_bytes: What it holds beyond `FREE_BYTES`.
        phase: What it does.
    """

    charged_bytes: int
    phase: Phase

    def make_room(self) -> None:
        """Ends the connection, at once or with the present answer.

        It is not in an expendable phase after that.
        """

    def check(self, now_s: float) -> bool:
        """Ends the connection if it has exceeded a time limit.

        Returns:
            Whether it must be checked again.
        """

    def paused_descriptor(self) -> int | None:
        """Returns the descriptor if the connection is open but not read."""

    def client_left(self) -> None:
        """Ends the connection, because the client has closed its side."""


class ConnectionBudget:
    """Bounds on all connections of the process together.

    Attributes:
        held_bytes: What all connections hold beyond `FREE_BYTES` each.
        max_held_bytes: Bound on it.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        memory_mb: float = 0.0,
        max_descriptors: float = 0.0,
    ) -> None:
        """Creates a budget without connections.

        Args:
            metrics: Metrics of the process.
            memory_mb: Memory of the process in MiB, 0 if unknown.
            max_descriptors: File descriptors of the process, 0 for the limit
                of the operating system.
        """
        self._metrics = metrics
        memory = memory_mb * (1 << 20) or _DEFAULT_MEMORY_BYTES
        self.max_held_bytes = int(_HELD_SHARE * memory)
        self.held_bytes = 0
        self._max_connections = int(
            _CONNECTIONS_SHARE * memory / _BYTES_PER_CONNECTION
        )
        descriptors = max_descriptors
        if not descriptors:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
            if descriptors == resource.RLIM_INFINITY:
                descriptors = _MAX_DESCRIPTORS
        self._descriptors = max(0.0, descriptors - _RESERVED_DESCRIPTORS)
        # Connections that hold more than `FREE_BYTES`, the longest first.
        self._holders: dict[Connection, None] = {}
        self._watched: dict[Connection, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._groups: dict[str, ConnectionGroup] = {}
        metrics.gauge("connection_bytes_held", lambda: self.held_bytes)
        metrics.gauge_family(
            "connections_open",
            ("listener",),
            lambda: {
                (name,): len(group) for name, group in self._groups.items()
            },
        )

    def group(self, name: str) -> "ConnectionGroup":
        """Returns the connections of all listeners of a kind.

        Args:
            name: `callers`, `fleet` or `operators`.
        """
        if name not in self._groups:
            share = int(_DESCRIPTOR_SHARES[name] * self._descriptors)
            self._groups[name] = ConnectionGroup(
                self,
                name,
                max(_MIN_CONNECTIONS, min(share, self._max_connections)),
            )
        return self._groups[name]

    def charge(self, connection: Connection, size: int) -> bool:
        """Records what a connection holds; makes room if that is too much.

        Args:
            connection: The connection.
            size: All bytes that it holds.

        Returns:
            Whether all connections are within the bound now.
        """
        charged = max(0, size - FREE_BYTES)
        self.held_bytes += charged - connection.charged_bytes
        connection.charged_bytes = charged
        if charged:
            self._holders.setdefault(connection)
        else:
            self._holders.pop(connection, None)
        if self.held_bytes > self.max_held_bytes:
            self._reduce(connection)
        return self.held_bytes <= self.max_held_bytes

    def _reduce(self, exempt: Connection) -> None:
        """Ends connections, the longest holders first, until within bounds."""
        for holder in list(self._holders):
            if self.held_bytes <= self.max_held_bytes:
                return
            if holder is not exempt and holder.phase in _EXPENDABLE:
                self.count_end("memory")
                holder.make_room()

    def count_end(self, reason: str) -> None:
        """Counts a connection that this instance has ended."""
        self._metrics.count("connections_ended", reason=reason)

    def watch(self, connection: Connection) -> None:
        """Checks a connection repeatedly until it needs no check."""
        self._watched[connection] = None
        if self._timer is None:
            self._schedule_check()

    def forget(self, connection: Connection) -> None:
        """Removes a connection that is closed."""
        self._watched.pop(connection, None)
        self.charge(connection, 0)

    def _schedule_check(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            _CHECK_INTERVAL_S, self._check
        )

    def _check(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for connection in list(self._watched):
            if not connection.check(now_s):
                self._watched.pop(connection, None)
        self._find_departed()
        self._timer = None
        if self._watched:
            self._schedule_check()

    def _find_departed(self) -> None:
        """Ends connections that are not read and whose clients have left.

        The event loop does not notice the end of a connection that it does not
        read.
        """
        poller = select.poll()
        paused_by_descriptor: dict[int, Connection] = {}
        for connection in self._watched:
            descriptor = connection.paused_descriptor()
            if descriptor is not None:
                paused_by_descriptor[descriptor] = connection
                poller.register(descriptor, select.POLLRDHUP)
        if paused_by_descriptor:
            for descriptor, _ in poller.poll(0):
                paused_by_descriptor[descriptor].client_left()


class ConnectionGroup:
    """The connections of all listeners of a kind, with their limits.

    Attributes:
        budget: The bounds on all connections of the process.
        limits: Limits of connections that are opened from now on.
    """

    def __init__(
        self, budget: ConnectionBudget, name: str, max_connections: int
    ) -> None:
        self.budget = budget
        self.limits = ConnectionLimits()
        self._name = name
        self._max_connections = max_connections
        # Connections by what they do, the longest in that phase first.
        self._by_phase: dict[Phase, dict[Connection, None]] = {
            phase: {} for phase in Phase
        }

    def __len__(self) -> int:
        return sum(map(len, self._by_phase.values()))

    def admit(self, connection: Connection) -> bool:
        """Adds a new connection, which may end another one.

        Returns:
            Whether there is room for it. If not, the caller closes it.
        """
        self._by_phase[Phase.RECEIVING][connection] = None
        connection.phase = Phase.RECEIVING
        excess = len(self) - self._max_connections
        if excess <= 0:
            return True
        for phase in _EXPENDABLE:
            victim = next(iter(self._by_phase[phase]), None)
            if victim is not None and victim is not connection:
                self.budget.count_end("too_many")
                victim.make_room()
                if phase is not Phase.AHEAD:
                    # It is closed before more connections are accepted.
                    return True
                break
        return excess <= max(1, _EXCESS_SHARE * self._max_connections)

    def move(self, connection: Connection, phase: Phase) -> None:
        """Records what a connection does now."""
        self._by_phase[connection.phase].pop(connection, None)
        self._by_phase[phase][connection] = None
        connection.phase = phase

    def remove(self, connection: Connection) -> None:
        """Removes a connection that is closed."""
        self._by_phase[connection.phase].pop(connection, None)
        self.budget.forget(connection)
