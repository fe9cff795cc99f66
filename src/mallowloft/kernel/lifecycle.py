"""Start, readiness, graceful stop and state dump of one instance."""

import asyncio
from collections.abc import Iterable
import random
import secrets
from typing import Any
from typing import Protocol

from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import connections as connections_lib
from mallowloft.kernel import logs
from mallowloft.kernel import metrics as metrics_lib
from mallowloft.kernel import receiving as receiving_lib
from mallowloft.kernel import registry
from mallowloft.kernel import settings as settings_lib

_log = logs.get_logger("kernel")


class Plugin(Protocol):
    """Part of an instance that the kernel starts and stops.

    A class is registered with `registry.plugins.register(name)`, and the kernel
    passes itself to the constructor. `requires` names the plug-ins that start
    before this one and stop after it. If the class has a method `leave()`, the
    kernel calls this method at the beginning of a graceful stop, before any
    plug-in stops.
    """

    requires: tuple[str, ...]

    async def start(self) -> None:
        """Starts the plug-in; returns when other plug-ins can use it."""

    async def stop(self, grace_s: float) -> None:
        """Finishes work in flight, if possible within `grace_s`, then stops."""

    def ready(self) -> bool:
        """Returns whether the plug-in is ready to serve callers' requests."""

    def dump(self) -> dict[str, Any]:
        """Returns the plug-in's state for encoding as JSON."""


def _start_order(classes_by_name: dict[str, type]) -> list[str]:
    """Returns the names so that each plug-in follows its requirements."""
    ordered: list[str] = []

    def visit(name: str, path: tuple[str, ...]) -> None:
        if name in path:
            raise ValueError(
                f"circular requirement between plug-ins: {path + (name,)}"
            )
        if name in ordered:
            return
        for required in classes_by_name[name].requires:
            visit(required, (*path, name))
        ordered.append(name)

    for name in sorted(classes_by_name):
        visit(name, ())
    return ordered


class Kernel:
    """Runs one instance; holds its settings, clock, metrics and plug-ins.

    Attributes:
        incarnation: Random number that distinguishes this process from earlier
            processes with the same instance id.
        stopping: Whether a graceful stop has begun.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        clock: clock_lib.Clock | None = None,
        rng: random.Random | None = None,
        incarnation: int | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or clock_lib.MonotonicClock()
        self.rng = rng or random.Random()
        self.incarnation = incarnation or secrets.randbits(63)
        self.metrics = metrics_lib.Metrics()
        self.metrics.gauge("log_lines_dropped", logs.dropped_lines)
        self.connections = connections_lib.ConnectionBudget(
            self.metrics, settings.memory_mb, settings.max_descriptors
        )
        self.pause_detector = clock_lib.PauseDetector(self.clock)
        self.stopping = False
        self.plugins_by_name: dict[str, Any] = {}
        self._plugin_order: list[str] = []
        self._pause_task: asyncio.Task | None = None
        self._receiving: receiving_lib.Receiving | None = None

    def plugin(self, name: str) -> Any:
        """Returns the plug-in with the given name."""
        return self.plugins_by_name[name]

    def build_plugins(self, names: Iterable[str] | None = None) -> None:
        """Constructs plug-ins in the order in which they start.

        Args:
            names: Plug-ins to construct; all registered ones by default.
                Plug-ins that a test has added to `plugins_by_name` are kept.
        """
        classes_by_name = dict(registry.plugins.by_name)
        if names is not None:
            classes_by_name = {name: classes_by_name[name] for name in names}
        for name, plugin in self.plugins_by_name.items():
            classes_by_name[name] = type(plugin)
        self._plugin_order = _start_order(classes_by_name)
        for name in self._plugin_order:
            if name not in self.plugins_by_name:
                self.plugins_by_name[name] = classes_by_name[name](self)

    async def start(self) -> None:
        """Starts all plug-ins."""
        self._pause_task = asyncio.create_task(self.pause_detector.run())
        self._bound_responses()
        for name in self._plugin_order:
            await self.plugins_by_name[name].start()
        _log.info("instance_started", incarnation=self.incarnation)

    def _bound_responses(self) -> None:
        self._receiving = receiving = receiving_lib.of_running_loop()
        receiving.set_memory(self.settings.memory_mb)
        receiving.on_refused = self._count_refused_response
        self.metrics.gauge("response_bytes_held", lambda: receiving.held_bytes)

    def _count_refused_response(self, reason: str) -> None:
        self.metrics.count("responses_refused", reason=reason)

    def ready(self) -> bool:
        """Returns whether the instance is ready for callers' requests."""
        if self.stopping:
            return False
        return all(plugin.ready() for plugin in self.plugins_by_name.values())

    async def stop(self, grace_s: float) -> None:
        """Stops all plug-ins in reverse order.

        Each plug-in gets what remains of the grace period, but the period is
        not enforced: a plug-in may take longer.
        """
        self.stopping = True
        _log.info("instance_stopping", grace_s=grace_s)
        # Tells other instances to send no new work before any plug-in stops.
        # This is not awaited, so work may still arrive meanwhile.
        for name in self._plugin_order:
            leave = getattr(self.plugins_by_name[name], "leave", None)
            if leave is not None:
                leave()
        end_s = self.clock.now() + grace_s
        for name in reversed(self._plugin_order):
            remaining_s = max(0.0, end_s - self.clock.now())
            await self.plugins_by_name[name].stop(remaining_s)
        if self._pause_task is not None:
            self._pause_task.cancel()
        if self._receiving is not None:
            self._receiving.stop_counting()
        _log.info("instance_stopped")

    def dump(self) -> dict[str, Any]:
        """Returns the state of the instance for encoding as JSON."""
        return {
            "instance": self.settings.instance_id,
            "incarnation": self.incarnation,
            "failure_domain": self.settings.failure_domain,
            "ready": self.ready(),
            "stopping": self.stopping,
            "plugins": {
                name: plugin.dump()
                for name, plugin in self.plugins_by_name.items()
            },
        }
