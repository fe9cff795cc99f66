"""Answers never mix versions or misstate their coverage under faults."""

import asyncio
import collections
import random

from tests.support import index as index_lib
from tests.support import virtual

_QUERIES = 10_000
_SERVICES = 2
_REPLICAS = 3
_SEED = 5
_FAULT_PROBABILITY = 0.15
_FAULTS = (
    "slow",
    "failing",
    "unreachable",
    "truncating",
    "garbling",
    "foreign",
    "misversioned",
    "losing",
    "lagging",
)


class _Chaos:
    """Continuously changes versions, shard maps, and faults of replicas."""

    def __init__(self, world: index_lib.IndexWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._version = 1
        self._replicas_by_service = {
            f"svc-{number}": [f"svc-{number}-{item}" for item in "abc"]
            for number in range(_SERVICES)
        }

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.02, 0.1))
            await self._switch_version()
            self._change_faults()

    async def _switch_version(self) -> None:
        """Publishes a repartitioned version that replicas load one by one."""
        world = self._world
        old = self._version
        self._version += 1
        world.set_map(
            self._version,
            index_lib.repartition(self._rng, self._replicas_by_service),
        )
        published = False
        replicas = sorted(world.replicas_by_id)
        self._rng.shuffle(replicas)
        for position, replica in enumerate(replicas):
            if position == self._rng.randrange(len(replicas)):
                world.publish_index(old, self._version)
                published = True
            versions = (old, self._version)
            if self._rng.random() < 0.2:
                # The replica drops the old version at once.
                versions = (self._version,)
            world.serve(versions, replica)
            await asyncio.sleep(self._rng.uniform(0.0, 0.02))
        if not published:
            world.publish_index(old, self._version)

    def _change_faults(self) -> None:
        """Ends the faults of all replicas and sets new ones at random."""
        holdings = self._world.holdings
        for replica, fake in self._world.replicas_by_id.items():
            fault = ""
            if self._rng.random() < _FAULT_PROBABILITY:
                fault = self._rng.choice(_FAULTS)
            fake.slow_factor = 8.0 if fault == "slow" else 1.0
            fake.failing = fault == "failing"
            fake.unreachable = fault == "unreachable"
            for kind in ("truncating", "garbling", "foreign", "misversioned"):
                faulty = getattr(holdings, kind)
                faulty.discard(replica)
                if fault == kind:
                    faulty.add(replica)
            # The replica loses one of the shards that the shard map assigns
            # to it.
            held = holdings.shards.get((replica, self._version))
            if held and fault == "losing":
                held.discard(min(held))
            holdings.delay_s[replica] = 0.03 if fault == "lagging" else 0.0


class TestAnswersUnderFaults:
    """Answers are compared with the rows that replicas recorded as sent.

    `IndexWorld.ask` checks that every answer uses one version, that a replica
    sent each of its rows for this query, and that no shard is both covered and
    lacking.
    """

    def _run(self, count):
        async def scenario():
            world = index_lib.build(
                _SEED, services=_SERVICES, replicas=_REPLICAS
            )
            await world.start({f"i{n}": f"d{n % 3 + 1}" for n in range(3)})
            world.network.duplicate_share = 0.2
            world.network.jitter_s = 0.004
            rng = random.Random(_SEED)
            chaos = asyncio.create_task(_Chaos(world, rng).run())
            tasks = []
            for _ in range(count):
                await asyncio.sleep(0.002)
                options = {
                    "deadline_ms": rng.choice([30.0, 150.0, 500.0]),
                    "prefer": rng.choice(["time", "coverage"]),
                    "min_coverage": rng.choice([0.0, 0.0, 0.9]),
                    "target": rng.choice(["all", "svc-0", "svc-1"]),
                }
                instance = f"i{rng.randrange(3)}"
                tasks.append(
                    asyncio.create_task(world.ask(instance, **options))
                )
            outcomes = [await task for task in tasks]
            chaos.cancel()
            in_flight = [
                kernel.plugin("gather").dump()["attempts_in_flight"]
                for kernel in world.kernels_by_id.values()
            ]
            return world, outcomes, in_flight

        return virtual.run(scenario())

    def test_ten_thousand_queries_during_version_switches_and_faults(self):
        world, outcomes, in_flight = self._run(_QUERIES)
        assert len(outcomes) == _QUERIES
        answers = [
            outcome.unwrap() for _, outcome in outcomes if outcome.is_ok()
        ]
        kinds = collections.Counter(
            "complete" if answer.coverage == 1 else "partial"
            for answer in answers
        )
        print(kinds, "of", len(outcomes))
        # Faults must have occurred but must not have stopped the service.
        assert kinds["complete"] > 0.5 * _QUERIES
        assert kinds["partial"] > 0.01 * _QUERIES
        assert len({answer.index_version for answer in answers}) > 50
        restarts = sum(
            kernel.metrics.counter_value("query_restarts")
            for kernel in world.kernels_by_id.values()
        )
        assert restarts > 50
        assert not any(in_flight)
