"""Replicas that state how many requests they accept from all instances."""

import asyncio
import bisect
import random

import pytest

from mallowloft.routes import model
from tests.support import replicas as replicas_lib
from tests.support import virtual

_NAMES = replicas_lib.NAMES
# The users' bounds: from the first time after a replica stated its limit, it
# gets at most this factor of the limit in a window, and some requests more.
_STABLE_S = 4.0
_WINDOW_S = 4.0
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
_SHARDS = 10
_WORK_S = 0.01


class _Replica(replicas_lib.Replica):
    """A replica that states a rate limit for some time.

    Attributes:
        limit: The header's value; empty for none.
        limited_s: Loop times between which it states the limit.
        arrived_s: Loop times of its requests.
    """

    limit = b""
    limited_s = (0.0, float("inf"))

    def __post_init__(self) -> None:
        super().__post_init__()
        self.arrived_s: list[float] = []
        self.headers = self._limit_headers

    def receive(self, exchange, delay_s: float) -> None:
        self.arrived_s.append(asyncio.get_running_loop().time())
        super().receive(exchange, delay_s)

    def _limit_headers(self, now_s: float) -> model.Headers:
        start_s, end_s = self.limited_s
        if self.limit and start_s <= now_s < end_s:
            return ((_NAMES.rate_limit, self.limit),)
        return ()

    def most_in_window(self, start_s: float, end_s: float) -> int:
        """Returns the most requests in a window between two times."""
        arrived_s = [at_s for at_s in self.arrived_s if start_s <= at_s < end_s]
        return max(
            (
                bisect.bisect_right(arrived_s, at_s + _WINDOW_S) - number
                for number, at_s in enumerate(arrived_s)
            ),
            default=0,
        )

    @property
    def allowed(self) -> float:
        """Requests that the users allow in a window."""
        rate = float(self.limit)
        return _EXCESS_FACTOR * rate * _WINDOW_S + _EXCESS_REQUESTS


def _replicas(service: str, count: int = 2) -> list[_Replica]:
    return [
        _Replica(
            f"{service}-{number}",
            service,
            replicas_lib.DOMAINS[number],
            random.Random(number),
            lambda rng: _WORK_S,
        )
        for number in range(count)
    ]


def _shards() -> dict[str, list[_Replica]]:
    return {f"s{shard}": _replicas(f"s{shard}") for shard in range(_SHARDS)}


def _gathered_route(min_coverage: float = 0.8) -> model.Route:
    return replicas_lib.route(
        shards=tuple(f"s{shard}" for shard in range(_SHARDS)),
        top_records=3,
        min_coverage=min_coverage,
    )


class _Fleet:
    """Instances that serve callers at uneven rates."""

    def __init__(self, count: int, replicas: list[_Replica], seed: int) -> None:
        self.rng = random.Random(seed)
        self._replicas = replicas
        self._count = count
        self.instances = [self.start_instance(n) for n in range(count)]

    def start_instance(self, number: int) -> replicas_lib.Instance:
        """Returns an instance that knows nothing of the replicas."""
        instance = replicas_lib.Instance(
            replicas_lib.DOMAINS[number % 3],
            self._replicas,
            random.Random(self.rng.random()),
        )
        instance.directory.divide_connections(self._count, self._count)
        return instance

    def restart(self, number: int) -> None:
        """Replaces an instance by one that has just started."""
        self.instances[number] = self.start_instance(number)

    async def serve(
        self, route: model.Route, per_s: float, until_s: float
    ) -> list[model.Answer]:
        """Serves callers until a time and returns the answers.

        Args:
            route: The route of all requests.
            per_s: Requests per second at all instances together.
            until_s: Loop time of the last request.
        """
        loop = asyncio.get_running_loop()
        weights = [self.rng.uniform(0.3, 1.7) for _ in self.instances]
        tasks = []
        while loop.time() < until_s:
            (number,) = self.rng.choices(range(self._count), weights)
            instance = self.instances[number]
            tasks.append(asyncio.create_task(instance.serve(route)))
            await asyncio.sleep(self.rng.expovariate(per_s))
        return await asyncio.gather(*tasks)


class TestFleet:
    """All instances together stay within the limit and serve the rest."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        ("instances", "limit"), [(8, b"14"), (8, b"2.5"), (60, b"14")]
    )
    def test_limited_replica_of_a_shard_gets_no_more_than_its_limit(
        self, instances, limit, seed
    ):
        shards = _shards()
        limited = shards["s0"][0]
        limited.limit = limit

        async def main():
            replicas = [item for shard in shards.values() for item in shard]
            fleet = _Fleet(instances, replicas, seed)
            return await fleet.serve(_gathered_route(), 45.0, 20.0)

        answers = virtual.run(main())
        assert limited.most_in_window(_STABLE_S, 99.0) <= limited.allowed
        # The other replica of the shard serves what this one does not accept.
        assert {answer.status for answer in answers} == {200}
        assert sum(answer.missing for answer in answers) <= 0.02 * len(answers)
