"""What the connections of clients may hold, each and all together.

Clients are not trusted: one may send without end, read no answers, or keep a
connection for nothing. `ConnectionLimits` bounds a single connection in bytes
and in time. `ConnectionBudget` checks the times of all connections.
"""

import asyncio
import dataclasses
import select
from typing import Protocol

from mallowloft.kernel import metrics as metrics_lib

# What is read of a connection at once.
FREE_BYTES = 16 << 10
# Receive buffer of a connection in the operating system.
SOCKET_BUFFER_BYTES = 64 << 10
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
        idle_timeout_s: Time without a request.
    """

    max_head_bytes: int = 64 << 10
    head_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 10.0


class Connection(Protocol):
    """A connection of a client."""

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
    """The connections of the process whose times are checked."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics
        self._watched: dict[Connection, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._groups: dict[str, ConnectionGroup] = {}

    def group(self, name: str) -> "ConnectionGroup":
        """Returns the connections of all listeners of a kind.

        Args:
            name: `callers`, `fleet` or `operators`.
        """
        if name not in self._groups:
            self._groups[name] = ConnectionGroup(self)
        return self._groups[name]

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
    """The connections of all listeners of a kind.

    Attributes:
        budget: The connections of the process.
        limits: Limits of connections that are opened from now on.
    """

    def __init__(self, budget: ConnectionBudget) -> None:
        self.budget = budget
        self.limits = ConnectionLimits()
