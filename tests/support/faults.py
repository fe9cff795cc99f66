"""Faults of instances and of the network between them."""

import asyncio
from collections.abc import Callable

from mallowloft.kernel import lifecycle
from tests.support import virtual
from tests.support import world as world_lib


def domains(count: int, domains: int = 3) -> dict[str, str]:
    """Assigns instances to failure domains round-robin.

    Returns:
        The failure domain by instance id.
    """
    return {f"i{n}": f"d{n % domains + 1}" for n in range(count)}


def others(world: world_lib.World, *instances: str) -> list[str]:
    """Returns the ids of all instances except the given ones."""
    return [name for name in world.kernels_by_id if name not in instances]


def cut(world: world_lib.World, side: str, *other_sides: str) -> None:
    """Partitions an instance or failure domain from others."""
    world.network.partitions.update(
        frozenset((side, other)) for other in other_sides
    )


async def restart(world: world_lib.World, instance: str) -> lifecycle.Kernel:
    """Kills an instance and starts a new process with the same id."""
    domain = world.kernels_by_id[instance].settings.failure_domain
    world.kill(instance)
    await world.start_instance(instance, domain)
    return world.kernels_by_id[instance]


async def join_and_freeze(
    world: world_lib.World, instance: str
) -> lifecycle.Kernel:
    """Starts an instance in `d1` and freezes it as soon as it is ready."""
    await world.start_instance(instance, "d1")
    kernel = world.kernels_by_id[instance]
    await until(kernel.ready, 2.0)
    world.freeze(instance)
    return kernel


def resume(world: world_lib.World, instance: str) -> None:
    """Resumes a frozen instance, which detects the pause before it goes on."""
    kernel = world.kernels_by_id[instance]
    context = virtual.context_of(kernel.plugin("peers").process)
    context.run(kernel.pause_detector.check)
    world.thaw(instance)


async def until(
    condition: Callable[[], bool], limit_s: float, step_s: float = 0.005
) -> float:
    """Waits for a condition and returns the time waited in seconds.

    Raises:
        AssertionError: The condition is not true within the limit.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not condition():
        waited_s = loop.time() - start_s
        assert waited_s <= limit_s, f"condition is not true within {limit_s} s"
        await asyncio.sleep(step_s)
    return loop.time() - start_s
