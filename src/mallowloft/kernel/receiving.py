"""Bounds on what the process receives from servers, in bytes and in work.

Replicas, the store and other instances are not trusted either: one may send
without end, in pieces of any size. `Receiving` bounds what all unfinished
responses of an event loop hold, and how much of them is parsed in one iteration
of it, so that short responses and timers are not delayed by long ones.

docs/design/server-limits.md has the reasons.
"""

import asyncio
import collections
from collections.abc import Callable
import time
from typing import Protocol
import weakref

# Size of one read.
_READ_BYTES = 16 << 10
# Data is parsed in steps of this size.
STEP_BYTES = 1 << 10
# Work is counted in calls of the parser's callbacks. This is the work of a step
# besides them.
STEP_WORK = 2
# Work of one response that is done as soon as its data arrives.
IMMEDIATE_WORK = 256
# Work on all longer responses in one iteration of the event loop, about a
# millisecond, and the share of one connection before the next one's turn.
_WORK_PER_ITERATION = 2_000
_WORK_PER_TURN = 64
# Part of the memory that unfinished responses may hold. Clients' connections
# have a part of their own (`connections.ConnectionBudget`): otherwise replicas
# without end would end clients' connections, and the other way round.
_HELD_SHARE = 0.25
# Assumed if the settings do not state the memory.
_DEFAULT_MEMORY_BYTES = 512 << 20


class Holder(Protocol):
    """What holds an unfinished response."""

    def fail_for_memory(self) -> None:
        """Ends the response, which then holds nothing."""


class Receiver(Holder, Protocol):
    """A connection to a server.

    Attributes:
        parse_credit: Work that the connection may do in its turn; negative if
            it has done more than its share.
        has_unparsed: Whether it has received data that is not parsed.
    """

    parse_credit: int
    has_unparsed: bool

    def parse_some(self, max_work: int) -> int:
        """Parses received data.

        Args:
            max_work: Work after which no further step begins.

        Returns:
            The work that was done.
        """


def _call_soon(function: Callable[[], None]) -> None:
    # Objects that are kept by loop (`of_running_loop`) must not refer to it.
    asyncio.get_running_loop().call_soon(function)


def _ignore(reason: str) -> None:
    del reason


class Receiving:
    """Unfinished responses of all connections of an event loop.

    Attributes:
        held_bytes: What they hold.
        max_held_bytes: Bound on it.
        on_refused: Called with the reason for each response that exceeds a
            bound or is malformed.
        read_buffer: Buffer into which connections are read, one after the
            other.
    """

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object] | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates bounds without responses.

        Args:
            call_soon: Calls a function in the next iteration of the event loop;
                by default that of the loop that runs then.
            now: Returns the time in seconds.
        """
        self._call_soon = call_soon or _call_soon
        self._now = now
        self.held_bytes = 0
        self.max_held_bytes = int(_HELD_SHARE * _DEFAULT_MEMORY_BYTES)
        self.on_refused: Callable[[str], None] = _ignore
        self.read_buffer = memoryview(bytearray(_READ_BYTES))
        self._held_by_holder: dict[Holder, int] = {}
        self._since_s_by_holder: dict[Holder, float] = {}
        # Connections with unparsed data, in the order of their turns.
        self._queue: collections.deque[Receiver] = collections.deque()
        self._work_left = _WORK_PER_ITERATION
        self._is_scheduled = False

    def set_memory(self, memory_mb: float) -> None:
        """Sets the bound on the bytes that are held.

        Args:
            memory_mb: Memory of the process in MiB, 0 if unknown.
        """
        memory_bytes = memory_mb * (1 << 20) or _DEFAULT_MEMORY_BYTES
        self.max_held_bytes = int(_HELD_SHARE * memory_bytes)

    def stop_counting(self) -> None:
        """Removes the callback for refused responses."""
        self.on_refused = _ignore

    def charge(self, holder: Holder, size: int) -> None:
        """Records how many bytes an unfinished response holds.

        If all hold too much, the response fails whose size times age is the
        largest, which may be that of `holder`.
        """
        held = self._held_by_holder.get(holder)
        self.held_bytes += size - (held or 0)
        if size:
            self._held_by_holder[holder] = size
            if held is None:
                self._since_s_by_holder[holder] = self._now()
        elif held is not None:
            del self._held_by_holder[holder]
            del self._since_s_by_holder[holder]
        while self.held_bytes > self.max_held_bytes:
            now_s = self._now()
            max(
                self._held_by_holder, key=lambda item: self._cost(item, now_s)
            ).fail_for_memory()

    def _cost(self, holder: Holder, now_s: float) -> tuple[float, int]:
        """Returns how much a response has held for how long."""
        size = self._held_by_holder[holder]
        return size * (now_s - self._since_s_by_holder[holder]), size

    def may_parse(self) -> bool:
        """Whether a long response may be parsed in this iteration."""
        return self._work_left > 0 and not self._queue

    def record_work(self, work: int) -> None:
        """Records work on a long response."""
        self._work_left -= work
        self._schedule()

    def defer(self, receiver: Receiver) -> None:
        """Parses the unparsed data of a connection in later iterations."""
        self._queue.append(receiver)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        """Begins an iteration; gives connections their turns."""
        self._is_scheduled = False
        self._work_left = _WORK_PER_ITERATION
        try:
            while self._queue and self._work_left > 0:
                self._give_turn(self._queue.popleft())
        finally:
            if self._queue:
                self._schedule()

    def _give_turn(self, receiver: Receiver) -> None:
        # A step may take more than one share. The connection then passes up
        # turns, so that a step of many small pieces costs others nothing.
        self._work_left -= 1
        if not receiver.has_unparsed:
            return
        credit = receiver.parse_credit + _WORK_PER_TURN
        if credit > 0:
            work = receiver.parse_some(credit)
            credit -= work
            self._work_left -= work
        receiver.parse_credit = min(0, credit)
        if receiver.has_unparsed:
            self._queue.append(receiver)


_by_loop: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Receiving] = (
    weakref.WeakKeyDictionary()
)


def of_running_loop() -> Receiving:
    """Returns the bounds on all connections of the running event loop."""
    loop = asyncio.get_running_loop()
    receiving = _by_loop.get(loop)
    if receiving is None:
        receiving = _by_loop[loop] = Receiving()
    return receiving
