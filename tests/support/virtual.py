"""An event loop whose time advances only when every task waits."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _Selector(selectors.SelectSelector):
    """Advances the loop's time instead of blocking."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None):
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.loop.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on which a minute of waiting costs nothing and repeats exactly."""

    def __init__(self) -> None:
        self._now_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns virtual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves virtual time forward."""
        self._now_s += max(0.0, seconds)


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a new virtual loop and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
