"""The virtual loop, on which the other proofs rest."""

import asyncio

from tests.support import virtual


class TestVirtualLoop:
    """A frozen instance acts on nothing until it is thawed."""

    def test_time_passes_without_waiting(self):
        async def scenario():
            await asyncio.sleep(3600)
            return asyncio.get_running_loop().time()

        assert virtual.run(scenario()) == 3600

    def test_frozen_instance_wakes_late(self):
        async def ticks(times):
            loop = asyncio.get_running_loop()
            for _ in range(3):
                await asyncio.sleep(1)
                times.append(loop.time())

        async def scenario():
            loop = asyncio.get_running_loop()
            times: list[float] = []
            task = loop.create_task(
                ticks(times), context=virtual.context_of("i1")
            )
            await asyncio.sleep(1.5)
            loop.freeze("i1")
            await asyncio.sleep(8.5)
            assert times == [1]
            loop.thaw("i1")
            await task
            return times

        assert virtual.run(scenario()) == [1, 10, 11]
