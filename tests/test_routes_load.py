"""What callers get under the load that the policies answer."""

import asyncio
import dataclasses
import random

import pytest

from mallowloft.routes import model
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SHARDS = 20
_INSTANCES = 7
_QUERIES_PER_S = 45
_SECONDS = 12.0
# The first moments, in which nothing is known of any replica.
_WARM_S = 1.0
_OBJECTIVE_S = {"long": 0.092, "short": 0.044}
_WORK_S = {"long": 0.0112, "short": 0.00375}
# A caller's link, both ways, and the writing of the answer.
_CALLER_S = 0.003
# The users' bound for extra attempts: a share and an allowance in 10 s.
_EXTRA_SHARE = 0.2
_EXTRA_SLACK = 54


@dataclasses.dataclass
class _Played:
    """What callers got, and what the replicas were asked."""

    elapsed_s: list[float]
    credits: list[float]
    failed: int
    extra_share: float

    @property
    def credit(self) -> float:
        """Mean credit: in time, times the square of the coverage."""
        return sum(self.credits) / len(self.credits)


def _work(mean_s: float):
    def draw(rng: random.Random) -> float:
        value = mean_s * rng.lognormvariate(-0.06, 0.35)
        return value * 5 if rng.random() < 0.01 else value

    return draw


def _replicas(kind: str, rng: random.Random) -> list[replicas_lib.Replica]:
    return [
        replicas_lib.Replica(
            id=f"{shard}-{number}",
            service=f"s{shard}",
            domain=replicas_lib.DOMAINS[(shard + number) % 3],
            rng=rng,
            work_s=_work(_WORK_S[kind]),
            pause_s=0.1,
            pause_every_s=2.4,
        )
        for shard in range(_SHARDS)
        for number in range(2)
    ]


def _route(kind: str) -> model.Route:
    return replicas_lib.route(
        name=kind,
        objective_s=_OBJECTIVE_S[kind],
        shards=tuple(f"s{shard}" for shard in range(_SHARDS)),
        top_records=5,
        min_coverage=0.75,
    )


def _play(kind: str, spoil=lambda replicas, rng: None) -> _Played:
    """Plays one load against instances that share nothing."""
    rng = random.Random(11)
    replicas = _replicas(kind, rng)
    spoil(replicas, rng)
    route = _route(kind)
    played = _Played([], [], 0, 0.0)

    async def query(instance: replicas_lib.Instance) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await instance.serve(route)
        if started_s < _WARM_S:
            return
        elapsed_s = loop.time() - started_s + _CALLER_S
        played.elapsed_s.append(elapsed_s)
        coverage = 1 - answer.missing / _SHARDS
        in_time = answer.status == 200 and elapsed_s <= route.objective_s
        played.failed += answer.status != 200
        played.credits.append(coverage**2 if in_time else 0.0)

    async def main() -> None:
        instances = [
            replicas_lib.Instance(
                replicas_lib.DOMAINS[number % 3], replicas, rng
            )
            for number in range(_INSTANCES)
        ]
        queries = []
        loop = asyncio.get_running_loop()
        while loop.time() < _SECONDS:
            queries.append(asyncio.create_task(query(rng.choice(instances))))
            await asyncio.sleep(rng.expovariate(_QUERIES_PER_S))
        await asyncio.gather(*queries)
        count = len(queries)
        extra = sum(item.arrivals for item in replicas) - count * _SHARDS
        played.extra_share = extra / (count * _SHARDS)

    virtual.run(main())
    return played


def _slow(factor: float, share: float):
    def spoil(replicas, rng) -> None:
        for replica in rng.sample(replicas, int(share * len(replicas))):
            replica.slow = lambda now_s: factor if 3 < now_s < 9 else 1.0

    return spoil


def _dark(share: float):
    def spoil(replicas, rng) -> None:
        # One replica of a shard at most: without any there is nothing to gain.
        chosen = rng.sample(replicas[::2], int(share * len(replicas)))
        for replica in chosen:
            replica.dark = lambda now_s: 4 < now_s < 9

    return spoil


def _failing(share: float):
    def spoil(replicas, rng) -> None:
        for replica in rng.sample(replicas[::2], int(share * len(replicas))):
            replica.status = lambda now_s: 500 if 3 < now_s < 9 else 200

    return spoil


class TestGatheredLoad:
    """Every shard's replicas pause 100 ms each 2.4 s."""

    @pytest.mark.parametrize("kind", ["long", "short"])
    def test_pauses_alone(self, kind):
        played = _play(kind)
        assert played.failed == 0
        assert played.credit >= 0.985
        assert played.extra_share <= _EXTRA_SHARE

    @pytest.mark.parametrize("kind", ["long", "short"])
    @pytest.mark.parametrize(
        "spoil",
        [
            pytest.param(_slow(9.0, 0.15), id="slow"),
            pytest.param(_dark(0.15), id="dark"),
            pytest.param(_failing(0.15), id="failing"),
        ],
    )
    def test_pauses_and_faults(self, kind, spoil):
        played = _play(kind, spoil)
        assert played.failed == 0
        assert played.credit >= 0.95
        assert played.extra_share <= _EXTRA_SHARE
