"""Faults of whole instances: kill, restart, pause."""

import asyncio
from collections.abc import Callable

from mallowloft.kernel import clock as clock_lib
from mallowloft.kernel import lifecycle
from tests.support import world as world_lib


class PausableClock:
    """The loop's time, except while the instance is paused."""

    def __init__(self) -> None:
        self.paused_at_s: float | None = None

    def now(self) -> float:
        """Returns the loop's time or that of the pause's start."""
        if self.paused_at_s is not None:
            return self.paused_at_s
        return asyncio.get_running_loop().time()


async def kill(world: world_lib.World, instance: str) -> None:
    """Takes an instance off the network and ends its tasks."""
    world.kill(instance)
    await world.kernels_by_id[instance].stop(0)


async def restart(world: world_lib.World, instance: str) -> lifecycle.Kernel:
    """Kills an instance and starts its successor with the same id."""
    domain = world.kernels_by_id[instance].settings.failure_domain
    await kill(world, instance)
    kernel = world.kernel(instance, domain)
    await kernel.start()
    return kernel


def make_pausable(kernel: lifecycle.Kernel) -> None:
    """Gives a built kernel that is not yet started a clock that can stop."""
    kernel.clock = PausableClock()
    kernel.pauses = clock_lib.PauseDetector(kernel.clock)


def pause(world: world_lib.World, instance: str) -> None:
    """Freezes an instance: it sends nothing and its clock stands still.

    Its timers still fire, hence its decisions must come from its clock.
    """
    kernel = world.kernels_by_id[instance]
    kernel.clock.paused_at_s = asyncio.get_running_loop().time()
    world.network.hold(instance)
    world.platform_cut.add(instance)
    peers = kernel.plugin("peers")
    peers.send_unpaused, peers.send = peers.send, lambda *_: True


def resume(world: world_lib.World, instance: str) -> None:
    """Ends a pause; what was sent meanwhile arrives at once."""
    kernel = world.kernels_by_id[instance]
    kernel.clock.paused_at_s = None
    world.platform_cut.discard(instance)
    peers = kernel.plugin("peers")
    peers.send = peers.send_unpaused
    kernel.pauses.check()
    world.network.release(instance)


async def until(
    condition: Callable[[], bool], limit_s: float, step_s: float = 0.005
) -> float:
    """Waits for a condition and returns how long it took.

    Raises:
        AssertionError: The condition does not hold within the limit.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not condition():
        waited_s = loop.time() - start_s
        assert waited_s <= limit_s, f"not within {limit_s} s"
        await asyncio.sleep(step_s)
    return loop.time() - start_s
