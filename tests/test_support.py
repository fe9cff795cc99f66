"""Tests of the virtual event loop that other tests run on."""

import asyncio

from tests.support import virtual


class TestVirtualLoop:
    """The callbacks of a frozen process run only after it is thawed."""

    def test_waiting_advances_the_virtual_time(self):
        async def scenario():
            await asyncio.sleep(3600)
            return asyncio.get_running_loop().time()

        assert virtual.run(scenario()) == 3600

    def test_callbacks_of_a_frozen_process_run_after_thawing(self):
        async def record_times(times):
            loop = asyncio.get_running_loop()
            for _ in range(3):
                await asyncio.sleep(1)
                times.append(loop.time())

        async def scenario():
            loop = asyncio.get_running_loop()
            times: list[float] = []
            task = loop.create_task(
                record_times(times), context=virtual.context_of("i1")
            )
            await asyncio.sleep(1.5)
            loop.freeze("i1")
            await asyncio.sleep(8.5)
            assert times == [1]
            loop.thaw("i1")
            await task
            return times

        assert virtual.run(scenario()) == [1, 10, 11]
