"""Replicas that state how many requests they accept from all instances."""

import asyncio
import bisect
import dataclasses
import random

import msgspec
import pytest

from mallowloft.routes import fleet as fleet_lib
from mallowloft.routes import model
from mallowloft.routes import rate_limits
from tests.support import collectors as collectors_lib
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
    """

    limit = b""
    limited_s = (0.0, float("inf"))

    def __post_init__(self) -> None:
        super().__post_init__()
        self.headers = self._limit_headers

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
        instance.directory.divide_limits(self._count, self._count)
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

    def test_refusal_is_immediate_and_names_when_a_permit_is_due(self):
        replicas = _replicas("s0")
        for replica in replicas:
            replica.limit = b"2"
        route = replicas_lib.route(targets=(model.Target("s0", 1.0),))

        async def main():
            fleet = _Fleet(2, replicas, 1)
            loop = asyncio.get_running_loop()
            instance = fleet.instances[0]
            answers = await fleet.serve(route, 20.0, 5.0)
            started_s = loop.time()
            while (answer := await instance.serve(route)).status == 200:
                started_s = loop.time()
            assert loop.time() == started_s
            wait_s = float(dict(answer.headers)[b"retry-after"])
            await asyncio.sleep(wait_s + 0.001)
            retried = await instance.serve(route)
            await fleet.serve(route, 20.0, 12.0)
            return answers, answer, retried

        answers, answer, retried = virtual.run(main())
        assert {item.status for item in answers} == {200, 503}
        assert (answer.status, answer.reason) == (503, "replicas_paused")
        assert retried.status == 200
        for replica in replicas:
            assert replica.most_in_window(_STABLE_S, 99.0) <= replica.allowed
            # Permits of both instances are used.
            assert len(replica.arrived_s) >= 0.7 * 2 * 12

    def test_restarted_instances_stay_within_the_limit(self):
        shards = _shards()
        limited = shards["s0"][0]
        limited.limit = b"14"

        async def main():
            replicas = [item for shard in shards.values() for item in shard]
            fleet = _Fleet(8, replicas, 2)
            for number in range(16):
                until_s = 6.0 + number * 0.5
                await fleet.serve(_gathered_route(), 45.0, until_s)
                fleet.restart(number % 8)

        virtual.run(main())
        assert limited.most_in_window(_STABLE_S, 99.0) <= limited.allowed

    def test_replica_is_used_again_once_it_states_no_limit(self):
        replicas = _replicas("s0", 1)
        replicas[0].limit = b"1"
        replicas[0].limited_s = (1.0, 8.0)
        route = replicas_lib.route(targets=(model.Target("s0", 1.0),))

        async def main():
            fleet = _Fleet(4, replicas, 1)
            limited = await fleet.serve(route, 20.0, 8.0)
            await fleet.serve(route, 20.0, 16.0)
            return limited, await fleet.serve(route, 20.0, 20.0)

        limited, later = virtual.run(main())
        assert {answer.status for answer in limited} == {200, 503}
        assert {answer.status for answer in later} == {200}

    def test_reply_older_than_the_limit_does_not_end_it(self):
        async def main():
            fleet = _Fleet(1, _replicas("s0"), 1)
            directory = fleet.instances[0].directory
            entry = directory.entry("s0-0")
            directory.record_limit(entry, 3.0)
            directory.end_limit(entry, -0.1)
            assert entry.signals.limit is not None
            directory.end_limit(entry, 0.1)
            assert entry.signals.limit is None

        virtual.run(main())


class TestRateLimit:
    """Permits are an equal part of the rate and do not accumulate."""

    def test_instances_that_were_idle_do_not_send_at_once(self):
        # Guards against permits that accumulate while a fleet is idle.
        fleet, per_s = 200, 10.0
        rng = random.Random(1)
        limits = [
            rate_limits.RateLimit(per_s, fleet, rng.random(), 0.0)
            for _ in range(fleet)
        ]
        sent = 0
        for step in range(int(_WINDOW_S / 0.01)):
            now_s = 500.0 + step * 0.01
            for limit in limits:
                if not limit.wait_s(now_s):
                    limit.take(now_s)
                    sent += 1
        assert sent <= _EXCESS_FACTOR * per_s * _WINDOW_S + _EXCESS_REQUESTS

    def test_permit_is_due_when_the_wait_says_so(self):
        limit = rate_limits.RateLimit(0.0, 8, 0.9, 3.0)
        wait_s = limit.wait_s(3.0)
        assert limit.wait_s(3.0 + wait_s) == 0.0
        limit.take(3.0 + wait_s)
        assert limit.wait_s(3.0 + wait_s) > 0.0

    def test_new_rate_applies_at_once(self):
        limit = rate_limits.RateLimit(0.5, 8, 1.0, 0.0)
        assert limit.wait_s(0.0) == pytest.approx(16.0)
        limit.update(80.0, 8, 0.0)
        assert limit.wait_s(0.0) <= 0.1


class TestStatements:
    """Instances hear of limits from each other, and the newest counts."""

    def _statement(self, per_s: float | None, age_s: float):
        return rate_limits.Statement("s0-0", per_s, age_s)

    def test_seed_returns_the_newest_statement_until_it_is_old(self):
        registry = rate_limits.StatementRegistry()
        registry.record([self._statement(5.0, 0.5)], 10.0)
        registry.record([self._statement(None, 3.0)], 10.0)
        assert registry.statements(11.0) == (self._statement(5.0, 1.5),)
        registry.record([self._statement(None, 0.0)], 11.0)
        assert registry.statements(11.0) == (self._statement(None, 0.0),)
        registry.record([], 100.0)
        assert registry.statements(100.0) == ()

    def test_seed_returns_no_more_than_a_message_may_hold(self):
        registry = rate_limits.StatementRegistry()
        for number in range(1000):
            item = rate_limits.Statement(f"r{number}", 1.0, 0.0)
            registry.record([item], number / 1000)
        listed = registry.statements(1.0)
        assert len(listed) == 200
        assert listed[0].replica == "r999"

    def test_instance_that_asked_nothing_knows_limit_and_end(self):
        async def main():
            fleet = _Fleet(2, _replicas("s0"), 1)
            first, second = (item.directory for item in fleet.instances)
            signals = second.entry("s0-0").signals
            first.record_limit(first.entry("s0-0"), 3.0)
            limited = first.limit_statements()
            await asyncio.sleep(1.0)
            second.apply_statements(
                [msgspec.structs.replace(limited[0], age_s=1.0)]
            )
            assert signals.limit.per_s == 3.0
            first.end_limit(first.entry("s0-0"), 1.0)
            second.apply_statements(first.limit_statements())
            assert signals.limit is None
            # An older statement does not restore the limit.
            second.apply_statements([self._statement(3.0, 0.5)])
            assert signals.limit is None

        virtual.run(main())

    def test_reports_carry_statements(self):
        registry = fleet_lib.InstanceRegistry()
        report = fleet_lib.Report("a", limits=(self._statement(3.0, 0.0),))
        registry.record_report(report, 1.0)
        summary = registry.record_report(fleet_lib.Report("b"), 2.0)
        assert summary.limits == (self._statement(3.0, 1.0),)


class TestBatches:
    """Collectors apply the limit and pass it on."""

    def test_collectors_stay_within_the_limit_and_tell_the_senders(self):
        shards = _shards()
        for replicas in shards.values():
            # All in d2, so that the instances of d1 and d3 use collectors.
            for replica in replicas:
                replica.domain = "d2"
        limited = shards["s0"][0]
        limited.limit = b"8"
        route = dataclasses.replace(_gathered_route(), objective_s=0.3)

        async def main():
            replicas = [item for shard in shards.values() for item in shard]
            fleet = _Fleet(6, replicas, 1)
            table = model.Table(1, (route,), {})
            pools = [
                collectors_lib.Pool(item, table) for item in fleet.instances
            ]
            collectors_lib.connect(fleet.instances, pools)
            answers = await fleet.serve(route, 45.0, 20.0)
            assert sum(pool.calls for pool in pools) > 100
            return answers, [
                item.directory.entry(limited.id).signals.limit
                for item in fleet.instances
            ]

        answers, known = virtual.run(main())
        assert limited.most_in_window(_STABLE_S, 99.0) <= limited.allowed
        assert all(limit is not None for limit in known)
        assert {answer.status for answer in answers} == {200}
        assert sum(answer.missing for answer in answers) <= 0.02 * len(answers)
