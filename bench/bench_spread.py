"""Propagation of configuration changes, failover and control traffic.

All times are virtual.
"""

import asyncio
import contextlib
import gc
import logging
import random

import result
import structlog

from bench import figures
from mallowloft import messages
from mallowloft.configuration import platform as platform_lib
from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry
from mallowloft.kernel import settings as settings_lib
from tests.support import network as network_lib
from tests.support import virtual

_SEED = 7
_SERVICE_CALL_S = 0.002
_CROSS_DOMAIN_S = 0.0015
_POLL_INTERVAL_S = 0.002
_STEADY_STATE_S = 1.0
_CHANGES = 3
_TEAMS = 40
_CONDITION_TIMEOUT_S = 10.0

# Targets 1.1, 1.4, 1.5 and 1.6 of the design page. The limits of propagation
# and failover are in seconds.
_PROPAGATION_BOUND = figures.Bound("<=", 1.0)
_PROPAGATION_WATCHERS_KILLED_BOUND = figures.Bound("<=", 3.0)
_SERVICE_CALLS_PER_S_BOUND = figures.Bound("<=", 2000)
_CONTROL_BYTES_PER_S_BOUND = figures.Bound("<=", 19_000)
_FAILOVER_BOUND = figures.Bound("<=", 0.5)


class _Network(network_lib.Network):
    """Counts bytes and messages.

    Of the pings and pongs that are sent alone, it encodes only the first of
    each and reuses its size.
    """

    def __init__(
        self, rng: random.Random, cross_domain_latency_s: float
    ) -> None:
        super().__init__(rng, cross_domain_latency_s)
        self.bytes_by_address: dict[str, int] = {}
        self._size_by_type: dict[type, int] = {}

    def _size(self, envelope: messages.Envelope) -> int:
        first = type(envelope.messages[0])
        if len(envelope.messages) > 1 or first not in (
            messages.Ping,
            messages.Pong,
        ):
            return len(messages.encode(envelope))
        if first not in self._size_by_type:
            # Larger numbers need a few more bytes, so 8 are added.
            self._size_by_type[first] = len(messages.encode(envelope)) + 8
        return self._size_by_type[first]

    def post(
        self,
        sender: network_lib.FakePeers,
        address: str,
        envelope: messages.Envelope,
    ) -> None:
        """Counts a batch and delivers it after the network delay."""
        size = self._size(envelope)
        for endpoint in (sender.address, address):
            self.bytes_by_address[endpoint] = (
                self.bytes_by_address.get(endpoint, 0) + size
            )
        for message in envelope.messages:
            kind = type(message).__name__
            count = self.messages_by_type.get(kind, 0)
            self.messages_by_type[kind] = count + 1
        receiver = self._peers_by_address.get(address)
        if receiver is None:
            return
        delay_s = self._cross_domain_latency_s
        if receiver.failure_domain == sender.failure_domain:
            delay_s = network_lib.SAME_DOMAIN_LATENCY_S
        asyncio.get_running_loop().call_later(
            delay_s, self._deliver, sender, address, envelope
        )


class _Service:
    """Stand-in for the platform's configuration and instance list."""

    def __init__(self) -> None:
        self.revision = 0
        self.documents_by_path: dict[str, messages.Document] = {}
        self.instance_list = platform_lib.InstanceList((), {})
        self.calls: list[tuple[float, str]] = []
        self._changed = asyncio.Event()

    def publish(self, path: str, value: object) -> int:
        """Publishes one document."""
        self.revision += 1
        self.documents_by_path[path] = messages.Document(
            path, self.revision, value
        )
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def calls_since(self, start_s: float, *names: str) -> int:
        """Returns the number of calls with the given names since a time."""
        return sum(
            1
            for call_s, name in self.calls
            if call_s >= start_s and name in names
        )

    def highest_rate(self, start_s: float) -> int:
        """Returns the highest number of calls in a second since a time."""
        times_s = sorted(
            call_s for call_s, _ in self.calls if call_s >= start_s
        )
        highest, first = 0, 0
        for last, call_s in enumerate(times_s):
            while call_s - times_s[first] > 1.0:
                first += 1
            highest = max(highest, last - first + 1)
        return highest

    async def read(self, prefix: str):
        """Reads all documents."""
        del prefix
        return await self._answer("read", 0)

    async def watch(self, after: int, timeout_s: float):
        """Waits for documents newer than a revision."""
        self._record_call("watch")
        if self.revision <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), timeout_s)
        # With an empty name, the call is not recorded a second time.
        return await self._answer("", after)

    async def instances(self):
        """Reads the instance list."""
        self._record_call("instances")
        await asyncio.sleep(_SERVICE_CALL_S)
        return result.Ok(self.instance_list)

    async def close(self) -> None:
        """Does nothing, because there is no connection to close."""

    def _record_call(self, name: str) -> None:
        if name:
            now_s = asyncio.get_running_loop().time()
            self.calls.append((now_s, name))

    async def _answer(self, name: str, after: int):
        self._record_call(name)
        await asyncio.sleep(_SERVICE_CALL_S)
        documents = tuple(
            document
            for document in self.documents_by_path.values()
            if document.revision > after
        )
        return result.Ok(platform_lib.Entries(self.revision, documents))


class _Fleet:
    """Instances that run only the configuration and membership plug-ins."""

    def __init__(self, count: int, domains: int, all_watch: bool):
        registry.load_query_plugins()
        self.rng = random.Random(_SEED)
        self.network = _Network(random.Random(_SEED + 1), _CROSS_DOMAIN_S)
        self.service = _Service()
        self.kernels_by_id: dict[str, lifecycle.Kernel] = {}
        for number in range(_TEAMS):
            self.service.publish(f"/teams/t{number}/query", {})
        for number in range(count):
            self._add_instance(f"i{number}", f"d{number % domains + 1}")
        if all_watch:
            for kernel in self.kernels_by_id.values():
                kernel.plugin("membership").is_reader = lambda: True
        self.service.instance_list = platform_lib.InstanceList(
            tuple(
                platform_lib.ListedInstance(
                    name,
                    kernel.settings.failure_domain,
                    f"tcp://{name}",
                    "live",
                )
                for name, kernel in self.kernels_by_id.items()
            ),
            {},
        )

    def _add_instance(self, name: str, domain: str) -> None:
        kernel = lifecycle.Kernel(
            settings_lib.Settings(instance_id=name, failure_domain=domain),
            clock=clock_lib.LoopClock(),
            rng=random.Random(self.rng.random()),
            incarnation=len(self.kernels_by_id) + 1,
        )
        kernel.plugins_by_name["peers"] = network_lib.FakePeers(
            kernel, self.network
        )
        kernel.build_plugins(("configuration", "membership"))
        kernel.plugin("configuration").platform = self.service
        self.kernels_by_id[name] = kernel

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> float:
        """Starts all instances and returns the time until all are ready.

        Stops waiting after `_CONDITION_TIMEOUT_S`.
        """
        start_s = self.now_s
        for kernel in self.kernels_by_id.values():
            await kernel.start()
        await self.until(
            lambda: all(k.ready() for k in self.kernels_by_id.values()), 0.05
        )
        return self.now_s - start_s

    async def until(self, condition, step_s: float = _POLL_INTERVAL_S) -> None:
        """Polls a condition until it holds or `_CONDITION_TIMEOUT_S` passes."""
        end_s = self.now_s + _CONDITION_TIMEOUT_S
        while not condition():
            if self.now_s > end_s:
                return
            await asyncio.sleep(step_s)

    async def change(self) -> float:
        """Publishes a change and returns the time until all have applied it.

        Stops waiting after `_CONDITION_TIMEOUT_S`.
        """
        start_s = self.now_s
        name = f"/teams/t{self.rng.randrange(_TEAMS)}/query"
        revision = self.service.publish(
            name, {"min_coverage": self.rng.random()}
        )
        pending_stores = [
            kernel.plugin("configuration").store
            for kernel in self.kernels_by_id.values()
        ]

        def is_applied() -> bool:
            pending_stores[:] = [
                store
                for store in pending_stores
                if store.current.revision < revision
            ]
            return not pending_stores

        await self.until(is_applied)
        return self.now_s - start_s

    def watchers(self, domain: str) -> list[str]:
        """Returns the watchers of a failure domain."""
        return [
            name
            for name, kernel in self.kernels_by_id.items()
            if kernel.settings.failure_domain == domain
            and kernel.plugin("configuration").dump()["watching"]
        ]

    def kill(self, name: str) -> None:
        """Disconnects an instance from the network and cancels its tasks."""
        kernel = self.kernels_by_id.pop(name)
        kernel.plugin("peers").kill()
        for plugin in ("configuration", "membership"):
            for task in kernel.plugin(plugin)._tasks:
                task.cancel()
        kernel._pause_task.cancel()

    async def failover(self, killed_id: str) -> float:
        """Kills an instance and returns the time until its loss is detected.

        That is the time until no remaining instance lists it as live. Stops
        waiting after `_CONDITION_TIMEOUT_S`.
        """
        start_s = self.now_s
        self.kill(killed_id)
        pending_views = [
            kernel.plugin("membership").view
            for kernel in self.kernels_by_id.values()
        ]

        def is_detected() -> bool:
            pending_views[:] = [
                view
                for view in pending_views
                if view.state_of(killed_id) == "live"
            ]
            return not pending_views

        await self.until(is_detected)
        return self.now_s - start_s


async def _measure(count: int, domains: int) -> list[figures.Row]:
    fleet = _Fleet(count, domains, all_watch=False)
    rows = []

    def add(name, value, unit, bound=None):
        rows.append(figures.Row(f"{count}.{name}", value, unit, bound))

    add("restart until all ready", await fleet.start(), "s")
    rate = fleet.service.highest_rate(0.0)
    add("restart service calls", rate, "1/s", _SERVICE_CALLS_PER_S_BOUND)
    reads = fleet.service.calls_since(0.0, "read")
    add("restart configuration reads", reads, "calls")
    await asyncio.sleep(1.0)
    await _measure_steady(fleet, add)
    await _measure_changes(fleet, add)
    killed_ids = list(fleet.kernels_by_id)[1:3]
    failovers = [await fleet.failover(killed_id) for killed_id in killed_ids]
    add("failover p100", max(failovers), "s", _FAILOVER_BOUND)
    await asyncio.sleep(0.5)
    for name in fleet.watchers("d1"):
        fleet.kill(name)
    add(
        "spread with d1's watchers killed",
        await fleet.change(),
        "s",
        _PROPAGATION_WATCHERS_KILLED_BOUND,
    )
    return rows


async def _measure_steady(fleet: _Fleet, add) -> None:
    network = fleet.network
    network.bytes_by_address.clear()
    network.messages_by_type.clear()
    start_s = fleet.now_s
    await asyncio.sleep(_STEADY_STATE_S)
    count = len(fleet.kernels_by_id)
    highest = max(network.bytes_by_address.values()) / _STEADY_STATE_S
    add(
        "control bytes sent and received",
        highest,
        "B/s",
        _CONTROL_BYTES_PER_S_BOUND,
    )
    handled = (
        2 * sum(network.messages_by_type.values()) / count / _STEADY_STATE_S
    )
    add("control messages sent and received", handled, "1/s")
    calls = fleet.service.calls_since(start_s, "read", "watch", "instances")
    add("service calls", calls / _STEADY_STATE_S, "1/s")


async def _measure_changes(fleet: _Fleet, add) -> None:
    start_s = fleet.now_s
    times_s = []
    for _ in range(_CHANGES):
        times_s.append(await fleet.change())
        await asyncio.sleep(0.2)
    add("spread p100", max(times_s), "s", _PROPAGATION_BOUND)
    calls = fleet.service.calls_since(start_s, "read", "watch")
    add("service calls per change", calls / _CHANGES, "calls")


async def _measure_baseline(count: int, domains: int) -> list[figures.Row]:
    fleet = _Fleet(count, domains, all_watch=True)
    await fleet.start()
    rate = fleet.service.highest_rate(0.0)
    await asyncio.sleep(1.0)
    start_s = fleet.now_s
    for _ in range(2):
        await fleet.change()
        await asyncio.sleep(0.2)
    calls = fleet.service.calls_since(start_s, "read", "watch") / 2
    prefix = f"{count}.baseline: "
    return [
        figures.Row(prefix + "service calls per change", calls, "calls"),
        figures.Row(prefix + "restart service calls", rate, "1/s"),
    ]


def _run(coroutine) -> list[figures.Row]:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    # Each garbage collection would traverse all instances and free nothing.
    gc.collect()
    gc.disable()
    try:
        return virtual.run(coroutine)
    finally:
        gc.enable()
        structlog.reset_defaults()


@figures.benchmarks.register("spread")
def spread() -> list[figures.Row]:
    """Returns propagation, failover and control traffic by fleet size."""
    rows = []
    for count, domains in ((8, 3), (80, 4), (860, 4)):
        rows += _run(_measure(count, domains))
    for count, domains in ((8, 3), (80, 4)):
        rows += _run(_measure_baseline(count, domains))
    return rows
