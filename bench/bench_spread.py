"""Spread of configuration changes, failover and control cost, virtual time."""

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

SEED = 7
_CALL_S = 0.002
_CROSS_DOMAIN_S = 0.0015
_STEP_S = 0.002
_STEADY_S = 1.0
_CHANGES = 3
_TEAMS = 40
_LIMIT_S = 10.0

# Targets of the design page, 1.1, 1.4, 1.5 and 1.6.
_SPREAD = figures.Bound("<=", 1.0)
_SPREAD_WATCHERS_KILLED = figures.Bound("<=", 3.0)
_READS_PER_S = figures.Bound("<=", 2000)
_BYTES_PER_S = figures.Bound("<=", 19_000)
_FAILOVER = figures.Bound("<=", 0.5)


class _Network(network_lib.Network):
    """Counts bytes, encoding each kind of ping only once."""

    def __init__(self, rng: random.Random, cross_domain_s: float) -> None:
        super().__init__(rng, cross_domain_s)
        self.bytes_by_address: dict[str, int] = {}
        self._ping_bytes: dict[type, int] = {}

    def _size(self, envelope: messages.Envelope) -> int:
        first = type(envelope.messages[0])
        if len(envelope.messages) > 1 or first not in (
            messages.Ping,
            messages.Pong,
        ):
            return len(messages.encode(envelope))
        if first not in self._ping_bytes:
            # Numbers take a few bytes more when they grow.
            self._ping_bytes[first] = len(messages.encode(envelope)) + 8
        return self._ping_bytes[first]

    def post(
        self,
        sender: network_lib.FakePeers,
        address: str,
        envelope: messages.Envelope,
    ) -> None:
        """Sends a batch."""
        size = self._size(envelope)
        for end in (sender.address, address):
            self.bytes_by_address[end] = (
                self.bytes_by_address.get(end, 0) + size
            )
        for message in envelope.messages:
            kind = type(message).__name__
            count = self.messages_by_type.get(kind, 0)
            self.messages_by_type[kind] = count + 1
        receiver = self._peers_by_address.get(address)
        if receiver is None:
            return
        delay_s = self._cross_domain_s
        if receiver.failure_domain == sender.failure_domain:
            delay_s = network_lib.SAME_DOMAIN_S
        asyncio.get_running_loop().call_later(
            delay_s, self._deliver, sender, address, envelope
        )


class _Service:
    """The platform's services; watches wait on an event."""

    def __init__(self) -> None:
        self.revision = 0
        self.documents_by_path: dict[str, messages.Document] = {}
        self.listed = platform_lib.InstanceList((), {})
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
        """Returns the number of calls of some kinds since a time."""
        return sum(
            1 for at_s, name in self.calls if at_s >= start_s and name in names
        )

    def highest_rate(self, start_s: float) -> int:
        """Returns the most calls within any second since a time."""
        times_s = sorted(at_s for at_s, _ in self.calls if at_s >= start_s)
        highest, first = 0, 0
        for last, at_s in enumerate(times_s):
            while at_s - times_s[first] > 1.0:
                first += 1
            highest = max(highest, last - first + 1)
        return highest

    async def read(self, prefix: str):
        """Reads all documents."""
        del prefix
        return await self._answer("read", 0)

    async def watch(self, after: int, timeout_s: float):
        """Waits for documents newer than a revision."""
        self._count("watch")
        if self.revision <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), timeout_s)
        return await self._answer("", after)

    async def instances(self):
        """Reads the list of instances."""
        self._count("instances")
        await asyncio.sleep(_CALL_S)
        return result.Ok(self.listed)

    async def close(self) -> None:
        """Closes nothing."""

    def _count(self, name: str) -> None:
        if name:
            now_s = asyncio.get_running_loop().time()
            self.calls.append((now_s, name))

    async def _answer(self, name: str, after: int):
        self._count(name)
        await asyncio.sleep(_CALL_S)
        documents = tuple(
            document
            for document in self.documents_by_path.values()
            if document.revision > after
        )
        return result.Ok(platform_lib.Entries(self.revision, documents))


class _Fleet:
    """Instances that run only configuration and membership."""

    def __init__(self, count: int, domains: int, everyone_watches: bool):
        registry.load_plugins()
        self.rng = random.Random(SEED)
        self.network = _Network(random.Random(SEED + 1), _CROSS_DOMAIN_S)
        self.service = _Service()
        self.kernels_by_id: dict[str, lifecycle.Kernel] = {}
        for number in range(_TEAMS):
            self.service.publish(f"/teams/t{number}/query", {})
        for number in range(count):
            self._build(f"i{number}", f"d{number % domains + 1}")
        if everyone_watches:
            for kernel in self.kernels_by_id.values():
                kernel.plugin("membership").is_reader = lambda: True
        self.service.listed = platform_lib.InstanceList(
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

    def _build(self, name: str, domain: str) -> None:
        kernel = lifecycle.Kernel(
            settings_lib.Settings(instance_id=name, failure_domain=domain),
            clock=clock_lib.LoopClock(),
            rng=random.Random(self.rng.random()),
            incarnation=len(self.kernels_by_id) + 1,
        )
        kernel.plugins_by_name["peers"] = network_lib.FakePeers(
            kernel, self.network
        )
        kernel.build(("configuration", "membership"))
        kernel.plugin("configuration").platform = self.service
        self.kernels_by_id[name] = kernel

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> float:
        """Starts all instances at once; returns the time until all ready."""
        start_s = self.now_s
        for kernel in self.kernels_by_id.values():
            await kernel.start()
        await self.until(
            lambda: all(k.ready() for k in self.kernels_by_id.values()), 0.05
        )
        return self.now_s - start_s

    async def until(self, condition, step_s: float = _STEP_S) -> None:
        """Waits for a condition."""
        end_s = self.now_s + _LIMIT_S
        while not condition():
            if self.now_s > end_s:
                return
            await asyncio.sleep(step_s)

    async def change(self) -> float:
        """Publishes a change; returns the time until it is in force."""
        start_s = self.now_s
        name = f"/teams/t{self.rng.randrange(_TEAMS)}/query"
        revision = self.service.publish(
            name, {"min_coverage": self.rng.random()}
        )
        waiting = [
            kernel.plugin("configuration").store
            for kernel in self.kernels_by_id.values()
        ]

        def in_force() -> bool:
            waiting[:] = [
                store for store in waiting if store.current.revision < revision
            ]
            return not waiting

        await self.until(in_force)
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
        """Takes an instance off the network and ends its tasks."""
        kernel = self.kernels_by_id.pop(name)
        kernel.plugin("peers").kill()
        for plugin in ("configuration", "membership"):
            for task in kernel.plugin(plugin)._tasks:
                task.cancel()
        kernel._pause_task.cancel()

    async def failover(self, victim: str) -> float:
        """Kills an instance; returns the time until no view has it live."""
        start_s = self.now_s
        self.kill(victim)
        waiting = [
            kernel.plugin("membership").view
            for kernel in self.kernels_by_id.values()
        ]

        def gone() -> bool:
            waiting[:] = [
                view for view in waiting if view.state_of(victim) == "live"
            ]
            return not waiting

        await self.until(gone)
        return self.now_s - start_s


async def _measure(count: int, domains: int) -> list[figures.Row]:
    fleet = _Fleet(count, domains, everyone_watches=False)
    rows = []

    def add(name, value, unit, bound=None):
        rows.append(figures.Row(f"{count}.{name}", value, unit, bound))

    add("restart until all ready", await fleet.start(), "s")
    rate = fleet.service.highest_rate(0.0)
    add("restart service calls", rate, "1/s", _READS_PER_S)
    reads = fleet.service.calls_since(0.0, "read")
    add("restart configuration reads", reads, "calls")
    await asyncio.sleep(1.0)
    await _measure_steady(fleet, add)
    await _measure_changes(fleet, add)
    victims = list(fleet.kernels_by_id)[1:3]
    failovers = [await fleet.failover(victim) for victim in victims]
    add("failover p100", max(failovers), "s", _FAILOVER)
    await asyncio.sleep(0.5)
    for name in fleet.watchers("d1"):
        fleet.kill(name)
    add(
        "spread with d1's watchers killed",
        await fleet.change(),
        "s",
        _SPREAD_WATCHERS_KILLED,
    )
    return rows


async def _measure_steady(fleet: _Fleet, add) -> None:
    network = fleet.network
    network.bytes_by_address.clear()
    network.messages_by_type.clear()
    start_s = fleet.now_s
    await asyncio.sleep(_STEADY_S)
    count = len(fleet.kernels_by_id)
    highest = max(network.bytes_by_address.values()) / _STEADY_S
    add("control bytes sent and received", highest, "B/s", _BYTES_PER_S)
    handled = 2 * sum(network.messages_by_type.values()) / count / _STEADY_S
    add("control messages sent and received", handled, "1/s")
    calls = fleet.service.calls_since(start_s, "read", "watch", "instances")
    add("service calls", calls / _STEADY_S, "1/s")


async def _measure_changes(fleet: _Fleet, add) -> None:
    start_s = fleet.now_s
    times_s = []
    for _ in range(_CHANGES):
        times_s.append(await fleet.change())
        await asyncio.sleep(0.2)
    add("spread p100", max(times_s), "s", _SPREAD)
    calls = fleet.service.calls_since(start_s, "read", "watch")
    add("service calls per change", calls / _CHANGES, "calls")


async def _measure_baseline(count: int, domains: int) -> list[figures.Row]:
    fleet = _Fleet(count, domains, everyone_watches=True)
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
    # The collector walks all instances again and again and frees nothing.
    gc.collect()
    gc.disable()
    try:
        return virtual.run(coroutine)
    finally:
        gc.enable()
        structlog.reset_defaults()


@figures.benchmarks.register("spread")
def spread() -> list[figures.Row]:
    """Spread, failover and control cost at three sizes of the fleet."""
    rows = []
    for count, domains in ((8, 3), (80, 4), (860, 4)):
        rows += _run(_measure(count, domains))
    for count, domains in ((8, 3), (80, 4)):
        rows += _run(_measure_baseline(count, domains))
    return rows
