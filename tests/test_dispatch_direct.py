"""Tests the baseline in which every instance calls replicas directly."""

import asyncio

from mallowloft import messages
from mallowloft.dispatch import direct
from tests.support import world as world_lib

OK = messages.Outcome.OK


async def _start(mode, instances=4, hedging=True, **options):
    world = world_lib.World()
    options.setdefault("service_s", lambda rng: 0.003)
    world.publish_service("svc", {"r1": "d1", "r2": "d2"}, **options)
    version = {"version": 1, "shards": {"svc": {"s1": ["r1", "r2"]}}}
    world.publish({"/operator/indexes/main": {"versions": [version]}})
    world.publish_team("team", "paying")
    domains = {
        f"i{number}": f"d{1 + number % 2}" for number in range(instances)
    }
    await world.start(domains, dispatch=mode, hedging=hedging)
    await asyncio.sleep(1.5)
    return world


class TestDirectMode:
    """The setting decides who calls a replica."""

    async def _sub_requests(self, mode):
        world = await _start(mode)
        for name in world.kernels_by_id:
            for _ in range(5):
                answer = await world.query(name, "team", "svc")
                assert answer.unwrap().coverage == 1.0
        return world.network.messages_by_type.get("SubRequest", 0)

    async def test_no_sub_request_leaves_the_instance(self):
        """Guards against a baseline that still uses dispatchers."""
        assert await self._sub_requests("direct") == 0

    async def test_dispatcher_mode_uses_the_dispatcher(self):
        """Guards against a setting that changes nothing."""
        assert await self._sub_requests("dispatcher") > 0

    async def test_connections_are_divided_among_instances(self):
        """Guards against a baseline that uses too many connections."""
        world = await _start("direct", instances=8)
        for _ in range(50):
            await asyncio.gather(
                *(
                    world.query(name, "team", "svc")
                    for name in world.kernels_by_id
                    for _ in range(4)
                )
            )
        replicas = world.replicas_by_id.values()
        peaks = [replica.peak_connections for replica in replicas]
        assert max(peaks) <= 25
        assert min(peaks) >= 8

    async def test_nothing_is_preempted(self):
        """Guards against preemption for slots that other instances use."""
        # Hedging is off, because it also cancels attempts.
        world = await _start("direct", hedging=False)
        world.publish_team("other", "background")
        for _ in range(100):
            await world.query("i0", "team", "svc")
        replicas = world.replicas_by_id.values()
        for replica in replicas:
            replica.service_s = lambda rng: 0.05
        low = [
            asyncio.create_task(world.query("i0", "other", "svc"))
            for _ in range(6)
        ]
        await asyncio.sleep(0.02)
        await world.query("i0", "team", "svc")
        await asyncio.gather(*low)
        assert sum(r.count("query_cancelled") for r in replicas) == 0


class TestLatencyLimit:
    """Latency above the lowest one indicates a queue at the replica."""

    def test_rises_while_latency_is_low(self):
        """Guards against a baseline that never uses its connections."""
        limit = direct.LatencyLimit(3)
        assert limit.value == 1
        for step in range(20):
            limit.on_success(0.003, step * 0.01)
        assert limit.value == 3

    def test_falls_when_latency_rises(self):
        """Guards against a baseline that fills the replica's queue."""
        limit = direct.LatencyLimit(8)
        for step in range(200):
            limit.on_success(0.003, step * 0.01)
        high = limit.value
        for step in range(10):
            limit.on_success(0.02, 10.0 + step)
        assert high == 8
        assert limit.value < 2

    def test_adapts_to_a_higher_lowest_latency(self):
        """Guards against one fast call that keeps the limit at one."""
        limit = direct.LatencyLimit(4)
        limit.on_success(0.001, 0.0)
        for step in range(3000):
            limit.on_success(0.004, 1.0 + step * 0.01)
        assert limit.value == 4
