"""An event loop whose time advances only when every task waits."""

import asyncio
from collections.abc import Coroutine
import contextvars
import selectors
from typing import Any

# The process that a callback belongs to; empty for the test itself.
instance_name = contextvars.ContextVar("instance_name", default="")


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
    """A loop on which a minute of waiting costs nothing and repeats exactly.

    The callbacks of one instance can be held while time goes on, as when a
    process is stopped by a signal and continued.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        self._held_by_instance: dict[str, list[asyncio.Handle]] = {}
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

    def freeze(self, instance: str) -> None:
        """Holds every callback of an instance."""
        self._held_by_instance.setdefault(instance, [])

    def thaw(self, instance: str) -> None:
        """Runs what was held, in its order."""
        for handle in self._held_by_instance.pop(instance, []):
            super().call_soon(self._run_held, handle)

    def thaw_all(self) -> None:
        """Thaws every instance, so that the loop can be closed."""
        for instance in list(self._held_by_instance):
            self.thaw(instance)

    def call_soon(self, callback, *args, context=None):
        """Schedules a callback, or holds it if its instance is frozen."""
        context = context or contextvars.copy_context()
        held = self._held_by_instance.get(context.get(instance_name, ""))
        if held is None:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        held.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """Schedules a timer; held if its instance is frozen when it fires."""
        context = context or contextvars.copy_context()
        return super().call_at(
            when, self._fire, context, callback, args, context=context
        )

    def _fire(self, context, callback, args) -> None:
        held = self._held_by_instance.get(context.get(instance_name, ""))
        if held is None:
            callback(*args)
        else:
            held.append(asyncio.Handle(callback, args, self, context))

    @staticmethod
    def _run_held(handle: asyncio.Handle) -> None:
        if not handle.cancelled():
            handle._run()


def context_of(instance: str) -> contextvars.Context:
    """Returns a context whose callbacks belong to an instance."""
    context = contextvars.copy_context()
    context.run(instance_name.set, instance)
    return context


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a new virtual loop and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        try:
            return runner.run(coroutine)
        finally:
            runner.get_loop().thaw_all()
