"""Monotonic time and detection of process pauses."""

import asyncio
from collections.abc import Callable
import time
from typing import Protocol

# Interval of the periodic check. This check is only a fallback: timers and
# batches that depend on pause detection call `PauseDetector.check` themselves.
CHECK_INTERVAL_S = 0.25
# A gap of this length between two checks counts as a pause. The membership
# plug-in checks every 50 ms. Instances without this plug-in check at least
# every CHECK_INTERVAL_S. A callback that blocks the event loop for this long
# counts as well.
PAUSE_THRESHOLD_S = 0.5


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""


class MonotonicClock:
    """The operating system's monotonic clock.

    CLOCK_MONOTONIC keeps running while a process is stopped by a signal, so a
    resumed process can tell how long it was paused.
    """

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return time.monotonic()


class LoopClock:
    """The clock of the running event loop, for use with virtual time."""

    def now(self) -> float:
        """Returns the running loop's time in seconds."""
        return asyncio.get_running_loop().time()


class PauseDetector:
    """Detects that the process was paused and notifies listeners.

    Code that could act on outdated state calls `check` first, because after a
    pause the event loop may run socket callbacks before the periodic check.
    """

    def __init__(
        self,
        clock: Clock,
        threshold_s: float = PAUSE_THRESHOLD_S,
    ) -> None:
        self._clock = clock
        self._threshold_s = threshold_s
        self._last_check_s = clock.now()
        self._listeners: list[Callable[[float], None]] = []

    def subscribe(self, listener: Callable[[float], None]) -> None:
        """Adds a listener that is called with the pause length in seconds."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Notifies listeners if the process was paused since the last check.

        Returns:
            True if the time since the last check is at least the threshold.
            Only the first check after a pause returns True.
        """
        now_s = self._clock.now()
        gap_s = now_s - self._last_check_s
        self._last_check_s = now_s
        if gap_s < self._threshold_s:
            return False
        for listener in self._listeners:
            listener(gap_s)
        return True

    async def run(self) -> None:
        """Checks for pauses periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()
