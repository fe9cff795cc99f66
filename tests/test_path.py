"""End-to-end path of a query from the caller to the replicas."""

from tests.support import virtual
from tests.support import world as world_lib


def _world() -> world_lib.World:
    world = world_lib.World()
    for number in range(4):
        name = f"svc-{number}"
        world.publish_service(name, {f"{name}-a": "d1", f"{name}-b": "d2"})
    world.publish(
        {
            "/operator/groups/all": {
                "services": [f"svc-{number}" for number in range(4)]
            }
        }
    )
    shards = {
        f"svc-{number}": {f"s{number}": [f"svc-{number}-a", f"svc-{number}-b"]}
        for number in range(4)
    }
    world.publish(
        {
            "/operator/indexes/main": {
                "versions": [{"version": 1, "shards": shards}]
            }
        }
    )
    world.publish_team("hunters", "paying")
    return world


class TestQueryPath:
    """A query over several services returns results of every shard."""

    def test_results_of_every_shard_are_returned(self):
        async def scenario():
            world = _world()
            await world.start({"i1": "d1", "i2": "d2", "i3": "d1"})
            return [
                (await world.query(name, "hunters", "all")).unwrap()
                for name in world.kernels_by_id
            ]

        for answer in virtual.run(scenario()):
            assert answer.index_version == 1
            assert not answer.lacking
            assert len(answer.results) == 4
