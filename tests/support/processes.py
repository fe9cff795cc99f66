"""Processes on a virtual loop that can be frozen and killed.

Every callback and timer of a process carries its name in a context variable.
While the process is frozen its callbacks are kept in order, as a stopped
process keeps its timers and unread messages, and they run late.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextvars
from typing import Any

from mallowloft.kernel import lifecycle
from tests.support import network as network_lib
from tests.support import virtual

_process: contextvars.ContextVar[str] = contextvars.ContextVar(
    "process", default=""
)


def context_of(process: str) -> contextvars.Context:
    """Returns a context in which work belongs to a process."""
    context = contextvars.Context()
    context.run(_process.set, process)
    return context


def name_of(kernel: lifecycle.Kernel) -> str:
    """Returns the name of the process that an instance is."""
    return f"{kernel.settings.instance_id}/{kernel.incarnation}"


class _Guard:
    """A callback that is kept while its process is frozen."""

    def __init__(
        self,
        loop: "ProcessLoop",
        process: str,
        callback: Callable[..., Any],
        context: contextvars.Context,
    ) -> None:
        self._loop = loop
        self._process = process
        self._callback = callback
        self._context = context
        self._args: tuple[Any, ...] = ()
        self.handle: asyncio.Handle | None = None

    def __call__(self, *args: Any) -> None:
        if self._process not in self._loop.frozen:
            self._callback(*args)
            return
        self._args = args
        self._loop.kept.setdefault(self._process, []).append(self)

    def resume(self) -> None:
        """Runs the kept callback unless it was cancelled meanwhile."""
        self._loop.call_soon(self._run_kept, context=self._context)

    def _run_kept(self) -> None:
        if not self.handle.cancelled():
            self._callback(*self._args)


class ProcessLoop(virtual.VirtualLoop):
    """A virtual loop whose processes can be frozen."""

    def __init__(self) -> None:
        super().__init__()
        self.frozen: set[str] = set()
        self.kept: dict[str, list[_Guard]] = {}

    def call_soon(self, callback, *args, context=None):
        context = context or contextvars.copy_context()
        guarded = self._guard(callback, context)
        handle = super().call_soon(guarded, *args, context=context)
        if isinstance(guarded, _Guard):
            guarded.handle = handle
        return handle

    def call_at(self, when, callback, *args, context=None):
        context = context or contextvars.copy_context()
        guarded = self._guard(callback, context)
        handle = super().call_at(when, guarded, *args, context=context)
        if isinstance(guarded, _Guard):
            guarded.handle = handle
        return handle

    def freeze(self, process: str) -> None:
        """Stops a process without closing anything."""
        self.frozen.add(process)

    def resume(self, process: str) -> None:
        """Lets a frozen process run what was kept, in order."""
        self.frozen.discard(process)
        for guard in self.kept.pop(process, []):
            guard.resume()

    def _guard(self, callback, context):
        process = context.get(_process, "")
        if not process:
            return callback
        return _Guard(self, process, callback, context)


def run(scenario: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Runs a scenario on a new process loop and returns its result."""

    async def main():
        loop = asyncio.get_running_loop()
        try:
            return await scenario()
        finally:
            # The loop ends its tasks by cancelling them, which frozen ones
            # would never notice.
            for process in list(loop.frozen):
                loop.resume(process)

    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        return runner.run(main())


def spawn(
    kernel: lifecycle.Kernel, work: Coroutine[Any, Any, Any]
) -> asyncio.Task:
    """Starts a task that belongs to the process of an instance."""
    return asyncio.get_running_loop().create_task(
        work, context=context_of(name_of(kernel))
    )


class LossyNetwork(network_lib.Network):
    """A network that also loses batches and outlives its senders.

    Attributes:
        loss_share: Share of batches that are lost.
        drop: Says whether a batch with a message is lost.
    """

    def __init__(self, rng, cross_domain_s: float) -> None:
        super().__init__(rng, cross_domain_s)
        self.loss_share = 0.0
        self.drop: Callable[[Any], bool] = lambda message: False

    def post(self, sender, address, envelope) -> None:
        contextvars.Context().run(super().post, sender, address, envelope)

    def _deliver(self, sender, address, envelope) -> None:
        if self._rng.random() < self.loss_share:
            return
        if any(self.drop(message) for message in envelope.messages):
            return
        super()._deliver(sender, address, envelope)


class ProcessPeers(network_lib.FakePeers):
    """Peers of an instance whose unread messages wait while it is frozen."""

    def receive(self, envelope) -> None:
        asyncio.get_running_loop().call_soon(
            super().receive, envelope, context=context_of(name_of(self._kernel))
        )
