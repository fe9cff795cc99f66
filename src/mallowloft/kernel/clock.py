"""Monotonic time and detection of process pauses."""

import asyncio
from collections.abc import Callable
import time
from typing import Protocol

# Only a fallback: timers and batches that depend on it check for themselves.
TICK_S = 0.25
# A loop that makes no check for this long was stopped, not merely busy; the
# membership's tick checks every 50 ms.
PAUSE_THRESHOLD_S = 0.5


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""


class MonotonicClock:
    """The operating system's monotonic clock.

    CLOCK_MONOTONIC keeps running while a process is stopped by a signal, so a
    woken process sees how long it was paused.
    """

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return time.monotonic()


class LoopClock:
    """The clock of the running event loop, used with virtual time."""

    def now(self) -> float:
        """Returns the running loop's time in seconds."""
        return asyncio.get_running_loop().time()


class PauseDetector:
    """Calls listeners when the process was paused.

    Handlers of stale work ask `check` first, because after a pause the event
    loop may run socket callbacks before the tick.
    """

    def __init__(
        self,
        clock: Clock,
        threshold_s: float = PAUSE_THRESHOLD_S,
    ) -> None:
        self._clock = clock
        self._threshold_s = threshold_s
        self._last_s = clock.now()
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, listener: Callable[[float], None]) -> None:
        """Adds a listener that is called with the pause length in seconds."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Notifies listeners if a pause has just ended.

        Returns:
            True if the time since the last check exceeds the threshold.
        """
        now_s = self._clock.now()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        if gap_s < self._threshold_s:
            return False
        for listener in self._listeners:
            listener(gap_s)
        return True

    async def run(self) -> None:
        """Checks for pauses until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.check()
