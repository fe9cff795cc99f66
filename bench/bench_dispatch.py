"""Priority, slot use and connections while lower classes overload a group.

The group has 2 services with 2 replicas each. A replica has 2 slots, accepts
25 connections and needs 6 ms for a new connection. There are 8 instances in 3
failure domains, which are 1.5 ms apart. Paying queries go to the whole group
and use 30% of its slots. Lower classes add sub-requests up to the overload
factor of the run. These sub-requests go directly to the dispatch layer, because
a gatherer's retry budget would limit the load.
"""

import asyncio
import contextlib
import dataclasses
import logging
import random
from unittest import mock

import structlog

from bench import figures
from mallowloft import messages
from mallowloft.dispatch import replica as replica_lib
from mallowloft.membership import view as view_lib
from tests.support import virtual
from tests.support import world as world_lib

_SEEDS = (11, 12)
_DOMAINS = ("d1", "d2", "d3")
_CROSS_DOMAIN_S = 0.0015
_INSTANCES = 8
_SERVICES = 2
_REPLICAS_PER_SERVICE = 2
_SLOTS_PER_REPLICA = 2
_CONNECTIONS_PER_REPLICA = 25
_MEAN_SERVICE_S = 0.003
_CAPACITY_PER_S = (
    _SERVICES * _REPLICAS_PER_SERVICE * _SLOTS_PER_REPLICA / _MEAN_SERVICE_S
)
_PAYING_SHARE = 0.3
_RUN_S = 1.75
_PAYING_DEADLINE_MS = 500.0
_LOWER_DEADLINE_MS = 150.0
_SAMPLE_INTERVAL_S = 0.001
_BURST_DEADLINE_MS = 30.0
_SETTLE_S = 0.5
_SHORT_RUN_S = 1.0
_IDLE_RUN_S = 20.0
# Gatherers number their attempts from 1; this offset avoids collisions.
_LOWER_ATTEMPT_OFFSET = 1 << 40


@dataclasses.dataclass
class Trace:
    """Events at the dispatchers of one run.

    Attributes:
        starts: (time, rank, from_min_share) of each start, by replica. Rank 0
            is the class paying; from_min_share tells whether `min_share`, not
            priority, caused the start.
        refusals: (time queued, latest useful start) of each refused paying
            request, by replica.
        dispatchers: All dispatchers that were created.
    """

    starts: dict[str, list[tuple[float, int, bool]]]
    refusals: dict[str, list[tuple[float, float]]]
    dispatchers: list[replica_lib.ReplicaDispatcher]

    def inversions(self) -> int:
        """Counts the priority inversions.

        An inversion is a refused paying request for which a request of a lower
        class was started on the same replica after the paying request was
        queued and while it could still have met its deadline. Starts because
        of `min_share` do not count.
        """
        count = 0
        for replica, refusals in self.refusals.items():
            lower = [
                time_s
                for time_s, rank, from_min_share in self.starts.get(replica, ())
                if rank > 0 and not from_min_share
            ]
            count += sum(
                any(queued_s < time_s <= end_s for time_s in lower)
                for queued_s, end_s in refusals
            )
        return count


@contextlib.contextmanager
def _recording():
    """Records the starts and refusals of all dispatchers."""
    trace = Trace({}, {}, [])

    dispatcher_class = replica_lib.ReplicaDispatcher
    create, start, refuse = (
        dispatcher_class.__init__,
        dispatcher_class._start,
        dispatcher_class._refuse,
    )

    def recorded_create(self, *arguments):
        create(self, *arguments)
        trace.dispatchers.append(self)

    def recorded_start(self, started):
        now_s = asyncio.get_running_loop().time()
        trace.starts.setdefault(self.replica.id, []).append(
            (now_s, started.item.rank, started.from_min_share)
        )
        start(self, started)

    def recorded_refuse(self, item, outcome):
        if item.rank == 0 and outcome is not messages.Outcome.DRAINING:
            trace.refusals.setdefault(self.replica.id, []).append(
                (item.queued_s, item.deadline_s - _MEAN_SERVICE_S)
            )
        refuse(self, item, outcome)

    with (
        mock.patch.object(dispatcher_class, "__init__", recorded_create),
        mock.patch.object(dispatcher_class, "_start", recorded_start),
        mock.patch.object(dispatcher_class, "_refuse", recorded_refuse),
    ):
        yield trace


@dataclasses.dataclass(frozen=True)
class Mode:
    """Settings of the dispatch layer in a run.

    Attributes:
        dispatch: `dispatcher` for one dispatcher per replica, `direct` for
            direct calls.
    """

    name: str
    dispatch: str = "dispatcher"
    preemption: bool = True


@dataclasses.dataclass(frozen=True)
class Load:
    """Offered load relative to the capacity of the group.

    Attributes:
        overload: Total load; 0 sends paying queries only.
        burst: Whether a burst of paying queries with short deadlines is sent
            in addition.
        two_views: Whether half of the instances suspect the dispatchers, so
            that two membership views exist.
        paying_share: Load of the paying queries.
        run_s: Time over which load is sent.
    """

    overload: float = 0.0
    burst: bool = False
    two_views: bool = False
    paying_share: float = _PAYING_SHARE
    run_s: float = _RUN_S


@dataclasses.dataclass(frozen=True)
class RunFigures:
    """Figures of one run, or totals of several runs."""

    latencies_ms: tuple[float, ...] = ()
    failed: int = 0
    waiting_samples: int = 0
    busy_samples: int = 0
    peak_connections: float = 0.0
    wasted_s: float = 0.0
    busy_s: float = 0.0
    inversions: int = 0
    refusals: int = 0

    def __add__(self, other: "RunFigures") -> "RunFigures":
        added = {
            field.name: getattr(self, field.name) + getattr(other, field.name)
            for field in dataclasses.fields(self)
        }
        added["peak_connections"] = max(
            self.peak_connections, other.peak_connections
        )
        return RunFigures(**added)

    def percentile_ms(self, share: float) -> float:
        """Returns a percentile of the latency of paying queries."""
        ordered = sorted(self.latencies_ms)
        return ordered[int(len(ordered) * share)]

    @property
    def mean_ms(self) -> float:
        """Mean latency of paying queries."""
        return sum(self.latencies_ms) / len(self.latencies_ms)

    @property
    def slot_use(self) -> float:
        """Share of slots in use at replicas with waiting requests."""
        return self.busy_samples / max(
            1, self.waiting_samples * _SLOTS_PER_REPLICA
        )


def _service_s(request: str) -> float:
    """Returns a random service time that is seeded by the sub-request's id.

    A paying sub-request thus takes the same time with and without load from
    lower classes. With independent random times, the ratio of the 99th
    percentiles of 2,400 queries varied by 5% from run to run.
    """
    name, instance, attempt, _ = request.split(".")
    rng = random.Random(f"{name}.{instance}.{attempt}")
    # The mean of the random factor is 1.
    return _MEAN_SERVICE_S * rng.lognormvariate(-0.125, 0.5)


async def _start_world(mode: Mode, seed: int) -> world_lib.World:
    world = world_lib.World(seed=seed, cross_domain_latency_s=_CROSS_DOMAIN_S)
    names = [f"svc-{number}" for number in range(_SERVICES)]
    shards = {}
    domains_by_replica = {}
    for number, name in enumerate(names):
        replicas = {
            f"{name}-{part}": _DOMAINS[(number + part) % len(_DOMAINS)]
            for part in range(_REPLICAS_PER_SERVICE)
        }
        world.publish_service(
            name,
            replicas,
            slots=_SLOTS_PER_REPLICA,
            connections=_CONNECTIONS_PER_REPLICA,
        )
        domains_by_replica.update(replicas)
        for replica in replicas:
            world.replicas_by_id[replica].service_s_by_request = _service_s
        shards[name] = {f"s-{number}": list(replicas)}
    world.publish(
        {
            "/operator/groups/all": {"services": names},
            "/operator/indexes/main": {
                "versions": [{"version": 1, "shards": shards}]
            },
        }
    )
    world.publish_team("paying", "paying")
    for number in range(_INSTANCES):
        kernel = world.kernel(
            f"i{number}",
            _DOMAINS[number % len(_DOMAINS)],
            dispatch=mode.dispatch,
            preemption=mode.preemption,
        )
        kernel.plugin("upstream").extra_one_way_s = {
            replica: _CROSS_DOMAIN_S
            for replica, domain in domains_by_replica.items()
            if domain != kernel.settings.failure_domain
        }
    world.publish_instances()
    for kernel in world.kernels_by_id.values():
        await kernel.start()
    while not all(kernel.ready() for kernel in world.kernels_by_id.values()):
        await asyncio.sleep(0.01)
    await asyncio.sleep(_SETTLE_S)
    return world


class _Run:
    """Sends a load to a world and collects the figures."""

    def __init__(
        self, world: world_lib.World, trace: Trace, load: Load, seed: int
    ):
        self._seed = seed
        self._world = world
        self._trace = trace
        self._load = load
        self._tasks: set[asyncio.Task] = set()
        self._latencies_ms: list[float] = []
        self._failed = 0
        self._waiting_samples = 0
        self._busy_samples = 0

    async def run(self) -> RunFigures:
        """Sends the load and returns the figures."""
        load = self._load
        sources = [self._sample_slots()]
        paying = _CAPACITY_PER_S * load.paying_share / _SERVICES
        sources.append(self._send_queries("all", paying, 1, load.run_s))
        if load.overload:
            lower = _CAPACITY_PER_S * (load.overload - load.paying_share)
            sources.append(self._send_lower_class(1, lower / 2, 2))
            sources.append(self._send_lower_class(2, lower / 2, 3))
        if load.burst:
            sources.append(self._send_burst())
        if load.two_views:
            sources.append(self._split_views())
        await asyncio.gather(*sources)
        while self._tasks:
            await asyncio.sleep(0.01)
        return self._figures()

    async def _arrivals(self, rate_per_s: float, seed: int, duration_s: float):
        """Yields a random generator at each arrival of a Poisson process."""
        rng = random.Random(self._seed * 100 + seed)
        loop = asyncio.get_running_loop()
        arrival_s = loop.time()
        end_s = arrival_s + duration_s
        while arrival_s < end_s:
            arrival_s += rng.expovariate(rate_per_s)
            await asyncio.sleep(arrival_s - loop.time())
            yield rng

    async def _send_queries(
        self,
        target: str | None,
        rate_per_s: float,
        seed: int,
        duration_s: float,
        deadline_ms: float | None = None,
    ) -> None:
        names = list(self._world.kernels_by_id)
        async for rng in self._arrivals(rate_per_s, seed, duration_s):
            chosen_target = target or f"svc-{rng.randrange(_SERVICES)}"
            query = self._query(rng.choice(names), chosen_target, deadline_ms)
            task = asyncio.create_task(query)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_lower_class(
        self, rank: int, rate_per_s: float, seed: int
    ) -> None:
        kernels = list(self._world.kernels_by_id.values())
        replicas = list(self._world.replicas_by_id)
        number = _LOWER_ATTEMPT_OFFSET * (1 + rank)
        duration_s = self._load.run_s
        async for rng in self._arrivals(rate_per_s, seed, duration_s):
            kernel, replica = rng.choice(kernels), rng.choice(replicas)
            number += 1
            dispatcher = kernel.plugin("dispatch").dispatcher_for(replica)
            kernel.plugin("peers").send(
                dispatcher,
                messages.SubRequest(
                    attempt=number,
                    request=f"l{number}",
                    service=replica.rpartition("-")[0],
                    replica=replica,
                    shards=("s",),
                    index_version=1,
                    rank=rank,
                    remaining_ms=_LOWER_DEADLINE_MS,
                    hedge=False,
                    query=b"{}",
                ),
            )

    async def _query(
        self, instance: str, target: str, deadline_ms: float | None
    ) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await self._world.query(
            instance,
            "paying",
            target,
            deadline_ms or _PAYING_DEADLINE_MS,
            1.0,
        )
        if deadline_ms:
            return
        if answer.is_err():
            self._failed += 1
            self._latencies_ms.append(_PAYING_DEADLINE_MS)
        else:
            self._latencies_ms.append((loop.time() - started_s) * 1000)

    async def _send_burst(self) -> None:
        """Sends paying queries at twice the capacity for 0.3 s."""
        await asyncio.sleep(0.2)
        await self._send_queries(
            None,
            2 * _CAPACITY_PER_S,
            4,
            duration_s=0.3,
            deadline_ms=_BURST_DEADLINE_MS,
        )

    async def _split_views(self) -> None:
        """Makes every second instance suspect the other dispatchers.

        These are the dispatchers that the first instance had at the start.
        """
        kernels = list(self._world.kernels_by_id.values())
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._load.run_s
        owners = {
            kernels[0].plugin("dispatch").dispatcher_for(replica)
            for replica in self._world.replicas_by_id
        }
        while loop.time() < end_s:
            # The platform's instance list sets their state to live each second.
            for kernel in kernels[::2]:
                view = kernel.plugin("membership").view
                for name in owners - {kernel.settings.instance_id}:
                    view.set_state(name, view_lib.SUSPECT)
            await asyncio.sleep(0.05)

    async def _sample_slots(self) -> None:
        """Samples the slots in use at replicas with waiting requests."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._load.run_s
        while loop.time() < end_s:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            replica_ids = {
                dispatcher.replica.id
                for dispatcher in self._trace.dispatchers
                if dispatcher.waiting
            }
            for replica_id in replica_ids:
                replica = self._world.replicas_by_id[replica_id]
                self._waiting_samples += 1
                self._busy_samples += replica.running

    def _figures(self) -> RunFigures:
        replicas = self._world.replicas_by_id.values()
        kernels = self._world.kernels_by_id.values()
        return RunFigures(
            latencies_ms=tuple(self._latencies_ms),
            failed=self._failed,
            waiting_samples=self._waiting_samples,
            busy_samples=self._busy_samples,
            peak_connections=max(
                replica.peak_connections / replica.connections_limit
                for replica in replicas
            ),
            wasted_s=sum(
                kernel.metrics.counter_value("wasted_slot_seconds")
                for kernel in kernels
            ),
            busy_s=sum(replica.busy_s for replica in replicas),
            inversions=self._trace.inversions(),
            refusals=sum(len(items) for items in self._trace.refusals.values()),
        )


def measure(
    mode: Mode, load: Load, seeds: tuple[int, ...] = _SEEDS[:1]
) -> RunFigures:
    """Returns the figures of one load in one mode."""

    async def scenario(seed: int) -> RunFigures:
        with _recording() as trace:
            world = await _start_world(mode, seed)
            return await _Run(world, trace, load, seed).run()

    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        return sum(
            (virtual.run(scenario(seed)) for seed in seeds), RunFigures()
        )
    finally:
        structlog.reset_defaults()


_PREEMPTION = Mode("preemption")
_NO_PREEMPTION = Mode("no_preemption", preemption=False)
_DIRECT = Mode("direct", dispatch="direct")
_MODES = (_PREEMPTION, _NO_PREEMPTION, _DIRECT)


def _bound(mode: Mode, comparison: str, limit: float) -> figures.Bound | None:
    """Returns a bound, or None for the baseline of direct calls."""
    if mode is _DIRECT:
        return None
    return figures.Bound(comparison, limit)


def _overload_rows(
    mode: Mode, overload: float, paying_alone_by_seed: dict[int, RunFigures]
) -> list[figures.Row]:
    seeds = _SEEDS if mode is _PREEMPTION else _SEEDS[:1]
    paying_alone = sum(
        (paying_alone_by_seed[seed] for seed in seeds), RunFigures()
    )
    totals = measure(mode, Load(overload), seeds)
    name = f"overload_{overload:g}x.{mode.name}"
    # The target applies to the default setting, which has preemption on.
    p99_bound = None
    if mode is _PREEMPTION:
        p99_bound = figures.Bound("<=", 1.1)
    return [
        figures.Row(
            f"{name}.paying_p99_ratio",
            totals.percentile_ms(0.99) / paying_alone.percentile_ms(0.99),
            "ratio",
            p99_bound,
        ),
        figures.Row(f"{name}.paying_p99", totals.percentile_ms(0.99), "ms"),
        figures.Row(
            f"{name}.paying_failed",
            totals.failed,
            "count",
            _bound(mode, "==", 0),
        ),
        figures.Row(
            f"{name}.slot_use_while_waiting",
            totals.slot_use,
            "share",
            _bound(mode, ">=", 0.97),
        ),
        figures.Row(
            f"{name}.peak_connections",
            totals.peak_connections,
            "of limit",
            _bound(mode, "<=", 1.0),
        ),
        figures.Row(
            f"{name}.wasted_by_preemption",
            totals.wasted_s / totals.busy_s,
            "of work",
        ),
    ]


def _burst_rows(mode: Mode) -> list[figures.Row]:
    load = Load(2.0, burst=True, run_s=_SHORT_RUN_S)
    totals = measure(mode, load)
    name = f"paying_burst.{mode.name}"
    return [
        # Without refusals the next row would hold for any scheduling order.
        figures.Row(
            f"{name}.paying_refused",
            totals.refusals,
            "count",
            figures.Bound(">=", 100),
        ),
        figures.Row(
            f"{name}.priority_inversions",
            totals.inversions,
            "count",
            _bound(mode, "==", 0),
        ),
    ]


def _views_rows() -> list[figures.Row]:
    load = Load(2.0, two_views=True, run_s=_SHORT_RUN_S)
    totals = measure(_PREEMPTION, load)
    return [
        figures.Row(
            "two_views.peak_connections",
            totals.peak_connections,
            "of limit",
            figures.Bound("<=", 1.0),
        ),
        figures.Row("two_views.paying_p99", totals.percentile_ms(0.99), "ms"),
        figures.Row(
            "two_views.paying_failed",
            totals.failed,
            "count",
            figures.Bound("==", 0),
        ),
    ]


@figures.benchmarks.register("dispatch")
def dispatch() -> list[figures.Row]:
    """Compares one dispatcher per replica with direct calls."""
    rows = []
    paying_alone = {
        mode.dispatch: {seed: measure(mode, Load(), (seed,)) for seed in _SEEDS}
        for mode in (_PREEMPTION, _DIRECT)
    }
    for name, by_seed in paying_alone.items():
        p99_ms = sum(by_seed.values(), RunFigures()).percentile_ms(0.99)
        rows.append(figures.Row(f"paying_alone.{name}.p99", p99_ms, "ms"))
    for overload in (2.0, 3.0):
        for mode in _MODES:
            rows += _overload_rows(mode, overload, paying_alone[mode.dispatch])
    for mode in _MODES:
        rows += _burst_rows(mode)
    rows += _views_rows()
    idle = Load(paying_share=0.02, run_s=_IDLE_RUN_S)
    # Most queries wait for a replica in another failure domain, to which a
    # direct call takes as long. The median would hide the latency that a
    # dispatcher adds to the other queries, so the means are compared.
    added_latency_ms = measure(_PREEMPTION, idle).mean_ms
    added_latency_ms -= measure(_DIRECT, idle).mean_ms
    rows.append(figures.Row("extra_hop_at_no_load", added_latency_ms, "ms"))
    return rows
