"""Bounds the work of parsers in one iteration of the event loop.

The other end of a connection may send data in pieces of any size, and a parser
calls back for each of them, up to once for every five bytes. `Turns` bounds the
work of many connections together, so that short messages, timers and signals
are not delayed by long ones.

docs/design/server-limits.md has the reasons.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class WorkLimits:
    """How much is parsed at a time. Work is counted in calls of callbacks.

    Attributes:
        step_bytes: Size of the data that is parsed in one step.
        step_work: Work of a step besides that of the callbacks.
        immediate_work: Work on one message that is done as soon as its data
            arrives.
        work_per_iteration: Work on all longer messages in one iteration of the
            event loop.
        work_per_turn: Share of one connection before the next one's turn.
    """

    step_bytes: int = 1 << 10
    step_work: int = 2
    immediate_work: int = 256
    work_per_iteration: int = 2_000
    work_per_turn: int = 64


class Receiver(Protocol):
    """A connection.

    Attributes:
        parse_credit: Work that the connection may do in its turn; negative if
            it has done more than its share.
        has_unparsed: Whether it has data that can be parsed now.
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
    asyncio.get_running_loop().call_soon(function)


class Turns:
    """Connections with data that waits for later iterations.

    Attributes:
        limits: How much is parsed at a time.
    """

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object] = _call_soon,
        limits: WorkLimits | None = None,
    ) -> None:
        """Creates an empty queue.

        Args:
            call_soon: Calls a function in the next iteration of the event loop.
            limits: How much is parsed at a time; the defaults if it is None.
        """
        self.limits = limits or WorkLimits()
        self._call_soon = call_soon
        # In the order of their turns.
        self._queue: dict[Receiver, None] = {}
        self._work_left = self.limits.work_per_iteration
        self._is_scheduled = False

    def may_parse(self) -> bool:
        """Whether a long message may be parsed in this iteration."""
        return self._work_left > 0 and not self._queue

    def record_work(self, work: int) -> None:
        """Records work on a long message."""
        self._work_left -= work
        self._schedule()

    def defer(self, receiver: Receiver) -> None:
        """Lets a connection parse its data in later iterations."""
        self._queue[receiver] = None
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        """Begins an iteration; gives connections their turns."""
        self._is_scheduled = False
        self._work_left = self.limits.work_per_iteration
        try:
            while self._queue and self._work_left > 0:
                receiver = next(iter(self._queue))
                del self._queue[receiver]
                self._give_turn(receiver)
        finally:
            if self._queue:
                self._schedule()

    def _give_turn(self, receiver: Receiver) -> None:
        # A step may take more than one share. The connection then passes up
        # turns, so that a step of many small pieces costs others nothing.
        self._work_left -= 1
        if not receiver.has_unparsed:
            return
        credit = receiver.parse_credit + self.limits.work_per_turn
        if credit > 0:
            work = receiver.parse_some(credit)
            credit -= work
            self._work_left -= work
        receiver.parse_credit = min(0, credit)
        if receiver.has_unparsed:
            self._queue[receiver] = None
