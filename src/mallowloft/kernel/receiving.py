"""Bounds on what the process receives from servers.

Replicas, the store and other instances are not trusted either: one may send
without end. `ResponseLimits` bounds a single response, `Receiving` bounds what
all unfinished responses of an event loop hold, and has the turns in which long
ones are parsed.

docs/design/server-limits.md has the reasons.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Protocol
import weakref

from mallowloft.kernel import turns as turns_lib

# Size of one read.
_READ_BYTES = 16 << 10
# Part of the memory that unfinished responses may hold. Clients' connections
# have a part of their own (`connections.ConnectionBudget`): otherwise replicas
# without end would end clients' connections, and the other way round.
_HELD_SHARE = 0.25
# Assumed if the settings do not state the memory.
_DEFAULT_MEMORY_BYTES = 512 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """What one response may have.

    Attributes:
        max_body_bytes: Size of the body.
        max_overhead_bytes: Size of heads, chunk sizes, extensions and trailers.
        max_overhead_per_body_byte: How many more such bytes are accepted for
            each byte of the body.
        max_headers: Number of headers and trailers.
        max_skipped_messages: Number of interim responses, and of responses to
            earlier requests, before the response.
    """

    max_body_bytes: int = 64 << 20
    max_overhead_bytes: int = 64 << 10
    max_overhead_per_body_byte: int = 8
    max_headers: int = 256
    max_skipped_messages: int = 32


class Holder(Protocol):
    """What holds an unfinished response."""

    def fail_for_memory(self) -> None:
        """Ends the response, which then holds nothing."""


def _ignore(reason: str) -> None:
    del reason


class Receiving:
    """Unfinished responses of all connections of an event loop.

    Attributes:
        held_bytes: What they hold.
        max_held_bytes: Bound on it.
        limits: Limits of a single response.
        on_refused: Called with the reason for each response that exceeds a
            bound or is malformed.
        read_buffer: Buffer into which connections are read, one after the
            other.
        turns: Turns in which long responses are parsed.
    """

    def __init__(
        self,
        turns: turns_lib.Turns | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates bounds without responses.

        Args:
            turns: Turns in which long responses are parsed; new ones by
                default.
            now: Returns the time in seconds.
        """
        self.turns = turns or turns_lib.Turns()
        self._now = now
        self.held_bytes = 0
        self.max_held_bytes = int(_HELD_SHARE * _DEFAULT_MEMORY_BYTES)
        self.limits = ResponseLimits()
        self.on_refused: Callable[[str], None] = _ignore
        self.read_buffer = memoryview(bytearray(_READ_BYTES))
        self._held_by_holder: dict[Holder, int] = {}
        self._since_s_by_holder: dict[Holder, float] = {}

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


# Objects that are kept here must not refer to their event loop.
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
