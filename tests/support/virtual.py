"""An event loop whose time advances only when all tasks wait."""

import asyncio
from collections.abc import Coroutine
import contextvars
import selectors
from typing import Any

# The simulated process that a callback belongs to. Empty for callbacks of the
# test itself.
process_name = contextvars.ContextVar("instance_name", default="")


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of blocking."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None):
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.loop.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time.

    Waiting takes no real time, and runs are reproducible. The callbacks of a
    simulated process can be held while time advances, as if the process had
    received SIGSTOP.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        self._held_by_process: dict[str, list[asyncio.Handle]] = {}
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advances the virtual time."""
        self._now_s += max(0.0, seconds)

    def freeze(self, process: str) -> None:
        """Holds all callbacks of a process until it is thawed."""
        self._held_by_process.setdefault(process, [])

    def thaw(self, process: str) -> None:
        """Schedules the held callbacks of a process in their original order."""
        for handle in self._held_by_process.pop(process, []):
            super().call_soon(self._run_held, handle)

    def thaw_all(self) -> None:
        """Thaws all processes, so that the loop can be closed."""
        for process in list(self._held_by_process):
            self.thaw(process)

    def call_soon(self, callback, *args, context=None):
        """Schedules a callback, or holds it if its process is frozen."""
        context = context or contextvars.copy_context()
        held = self._held_by_process.get(context.get(process_name, ""))
        if held is None:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        held.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """Schedules a timer, held if its process is frozen when it fires."""
        context = context or contextvars.copy_context()
        return super().call_at(
            when, self._run_or_hold, context, callback, args, context=context
        )

    def _run_or_hold(self, context, callback, args) -> None:
        held = self._held_by_process.get(context.get(process_name, ""))
        if held is None:
            callback(*args)
        else:
            held.append(asyncio.Handle(callback, args, self, context))

    @staticmethod
    def _run_held(handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            handle._run()


def context_of(process: str) -> contextvars.Context:
    """Returns a new context whose callbacks belong to a process."""
    context = contextvars.copy_context()
    context.run(process_name.set, process)
    return context


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a new virtual loop and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        try:
            return runner.run(coroutine)
        finally:
            runner.get_loop().thaw_all()
