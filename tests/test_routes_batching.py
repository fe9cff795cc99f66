"""Attempts that collectors send: plans, replies, load and faults."""

import asyncio
import dataclasses
import math
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from mallowloft.routes import batching
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import health as health_lib
from mallowloft.routes import merge
from mallowloft.routes import model
from tests.support import collectors as collectors_lib
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SHARDS = 50
_QUERIES_PER_S = 30.0
_DURATION_S = 10.0
_WARM_UP_S = 1.0
_OBJECTIVE_S = 0.092
_TOP_RECORDS = 5
# Both directions of the caller's link, and writing of the answer.
_CALLER_NETWORK_S = 0.003
_EXTRA_SHARE = 0.2

_bodies = strategies.lists(
    strategies.binary(min_size=merge.RECORD_BYTES, max_size=64), max_size=8
)


class TestMerge:
    """Merging parts in any order and in any groups gives the same records."""

    @hypothesis.given(
        strategies.lists(_bodies, max_size=6),
        strategies.integers(1, 12),
        strategies.randoms(use_true_random=False),
    )
    def test_groups_do_not_change_the_records(self, groups, count, rng):
        bodies = [body for group in groups for body in group]
        merged = [merge.greatest(group, count) for group in groups]
        rng.shuffle(merged)
        assert merge.greatest(merged, count) == merge.greatest(bodies, count)

    @hypothesis.given(_bodies, strategies.integers(1, 12))
    def test_a_single_group_may_be_merged_again(self, bodies, count):
        merged = merge.greatest(bodies, count)
        assert merge.greatest([merged], count) == merged


def _entry(domain: str, remote: bool) -> directory_lib.ReplicaEntry:
    replica = model.Replica("r", "s", "h", 1, domain)
    return directory_lib.ReplicaEntry(
        replica, None, health_lib.ReplicaHealth(), remote
    )


def _choices(local: int, remote: int) -> list[batching.Choice]:
    return [
        batching.Choice(f"s{number}", _entry("d1", remote=False))
        for number in range(local)
    ] + [
        batching.Choice(f"t{number}", _entry(f"d{2 + number % 2}", remote=True))
        for number in range(remote)
    ]


class TestPlan:
    """First attempts are direct or in a batch, each exactly once."""

    def _choose(self, available: int):
        entries = [_entry("x", remote=True) for _ in range(available)]
        return lambda domain, count: entries[:count]

    @hypothesis.given(
        strategies.integers(0, 400),
        strategies.integers(0, 400),
        strategies.integers(0, 8),
        strategies.integers(0, 5),
    )
    def test_each_attempt_is_planned_once(
        self, local, remote, collect_above, available
    ):
        choices = _choices(local, remote)
        plan = batching.plan(choices, collect_above, self._choose(available))
        planned = list(plan.direct)
        for _, members in plan.batches:
            assert members
            planned += members
        assert sorted(item.service for item in planned) == sorted(
            item.service for item in choices
        )
        for _, members in plan.batches:
            domains = {item.entry.replica.failure_domain for item in members}
            assert len(domains) == 1

    def test_few_remote_shards_and_all_local_ones_are_direct(self):
        choices = _choices(50, 4)
        plan = batching.plan(choices, 2, self._choose(4))
        assert plan.batches == ()
        assert len(plan.direct) == 54

    def test_remote_shards_of_each_domain_are_one_batch(self):
        plan = batching.plan(_choices(20, 30), 2, self._choose(4))
        assert [len(members) for _, members in plan.batches] == [15, 15]

    def test_without_collectors_all_are_direct(self):
        plan = batching.plan(_choices(20, 30), 2, self._choose(0))
        assert plan.batches == ()

    def test_batches_of_many_shards_grow_with_the_square_root(self):
        plan = batching.plan(_choices(1000, 900), 2, self._choose(1000))
        sizes = [len(members) for _, members in plan.batches]
        assert max(sizes) <= 44
        assert len(sizes) <= 46


_REPLIES = strategies.lists(
    strategies.builds(
        batching.Reply,
        strategies.just((0, 3)),
        strategies.just((b"a", b"b")),
        strategies.just((10, 20)),
        strategies.just((0, 1)),
        strategies.binary(max_size=300),
        strategies.just((batching.FailedAttempt(1, "broken"),)),
    ),
    max_size=4,
)


class TestReplyReader:
    """Replies are read from a stream that is cut anywhere."""

    @hypothesis.given(_REPLIES, strategies.integers(1, 50))
    def test_replies_are_complete(self, replies, chunk):
        stream = b"".join(batching.encode_reply(item) for item in replies)
        reader = batching.ReplyReader()
        read = []
        for start in range(0, len(stream), chunk):
            read += reader.feed(stream[start : start + chunk])
        assert read == replies

    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_only_raise_the_documented_error(self, data):
        try:
            list(batching.ReplyReader().feed(data))
            batching.call_decoder.decode(data)
        except msgspec.MsgspecError:
            pass

    @pytest.mark.parametrize("left_s", [-1.0, 1e9, math.inf, math.nan])
    def test_times_out_of_bounds_are_refused(self, left_s):
        call = batching.Call(
            "r", "d", b"", b"", b"", (), b"", left_s, 0.1, ((0, "i"),)
        )
        with pytest.raises(msgspec.MsgspecError):
            batching.call_decoder.decode(msgspec.msgpack.encode(call))

    def test_length_beyond_the_limit_is_refused(self):
        with pytest.raises(msgspec.MsgspecError):
            list(batching.ReplyReader().feed(b"\xff\xff\xff\xff"))


def _sample_work_s(rng: random.Random) -> float:
    value = 0.0112 * rng.lognormvariate(-0.06, 0.35)
    return value * 5 if rng.random() < 0.01 else value


def _replicas(rng: random.Random) -> list[replicas_lib.Replica]:
    """Returns two replicas of each shard, in two of three failure domains."""
    return [
        replicas_lib.Replica(
            id=f"{shard}-{number}",
            service=f"s{shard}",
            domain=replicas_lib.DOMAINS[(shard + number) % 3],
            rng=rng,
            work_s=_sample_work_s,
            pause_s=0.1,
            pause_every_s=2.4,
            body=bytes([shard]) * 16 + bytes([shard + 100]) * 16,
        )
        for shard in range(_SHARDS)
        for number in range(2)
    ]


@dataclasses.dataclass
class _Result:
    """Answers that callers got, and what collectors and replicas did."""

    credits: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    wrong: int = 0
    extra_share: float = 0.0
    batches: int = 0
    open_attempts: int = 0

    @property
    def credit(self) -> float:
        """Mean of the squared coverage, which counts as 0 for late answers."""
        return sum(self.credits) / len(self.credits)


def _is_exact(answer: model.Answer) -> bool:
    """Whether signatures, missing shards and records agree."""
    headers = dict(answer.headers)
    signatures = headers[replicas_lib.NAMES.signatures].split(b", ")
    shards = [int(item.partition(b"-")[0]) for item in signatures]
    if len(set(shards)) != len(shards):
        return False
    if len(shards) + answer.missing != _SHARDS:
        return False
    records = sorted(
        bytes([value]) * 16
        for shard in shards
        for value in (shard, shard + 100)
    )
    return answer.body == b"".join(records[::-1][:_TOP_RECORDS])


def _route() -> model.Route:
    return replicas_lib.route(
        objective_s=_OBJECTIVE_S,
        shards=tuple(f"s{shard}" for shard in range(_SHARDS)),
        top_records=_TOP_RECORDS,
        min_coverage=0.75,
    )


def _run_load(
    with_collectors: bool = True,
    inject_fault=lambda pools: None,
    left_early: bool = False,
) -> _Result:
    """Simulates load on six instances in three failure domains."""
    rng = random.Random(5)
    replicas = _replicas(rng)
    route = _route()
    result = _Result()

    async def query(instance: replicas_lib.Instance) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        task = asyncio.ensure_future(instance.serve(route))
        if left_early:
            await asyncio.sleep(0.005)
            task.cancel()
            return
        answer = await task
        if started_s < _WARM_UP_S:
            return
        elapsed_s = loop.time() - started_s + _CALLER_NETWORK_S
        result.failed += answer.status != 200
        if answer.status == 200:
            result.wrong += not _is_exact(answer)
        coverage = 1 - answer.missing / _SHARDS
        in_time = answer.status == 200 and elapsed_s <= _OBJECTIVE_S
        result.credits.append(coverage**2 if in_time else 0.0)

    async def main() -> None:
        instances = [
            replicas_lib.Instance(
                replicas_lib.DOMAINS[number % 3], replicas, rng
            )
            for number in range(6)
        ]
        table = model.Table(1, (route,), {})
        pools = [collectors_lib.Pool(item, table) for item in instances]
        if with_collectors:
            collectors_lib.connect(instances, pools)
        inject_fault(pools)
        loop = asyncio.get_running_loop()
        queries = []
        while loop.time() < _DURATION_S:
            queries.append(asyncio.create_task(query(rng.choice(instances))))
            await asyncio.sleep(rng.expovariate(_QUERIES_PER_S))
        await asyncio.gather(*queries)
        await asyncio.sleep(1.0)
        first_attempts = len(queries) * _SHARDS
        arrivals = sum(item.arrivals for item in replicas)
        result.extra_share = arrivals / first_attempts - 1
        result.batches = sum(pool.calls for pool in pools)
        result.open_attempts = sum(
            entry.health.in_flight
            for instance in instances
            for shard in route.shards
            for entry in instance.directory.entries(shard)
        )

    virtual.run(main())
    return result


def _freeze(pools) -> None:
    loop = asyncio.get_running_loop()
    loop.call_at(4.0, setattr, pools[0], "frozen", True)
    loop.call_at(8.0, setattr, pools[0], "frozen", False)


def _kill_repeatedly(pools) -> None:
    loop = asyncio.get_running_loop()
    for number in range(40):
        loop.call_at(3.0 + 0.1 * number, pools[number % 2].reset)


def _stop(pools) -> None:
    loop = asyncio.get_running_loop()
    loop.call_at(4.0, setattr, pools[1].kernel, "stopping", True)


def _change_route(pools) -> None:
    other = replicas_lib.route(name="r", objective_s=1.0)

    def change() -> None:
        pools[2].instance.table = model.Table(2, (other,), {})

    asyncio.get_running_loop().call_at(4.0, change)


class TestBatchesUnderLoad:
    """A third of the shards has no replica in the sender's failure domain."""

    def test_answers_are_as_good_as_with_direct_attempts(self):
        direct = _run_load(with_collectors=False)
        batched = _run_load()
        assert direct.batches == 0
        assert batched.batches > 300
        assert batched.failed == batched.wrong == 0
        assert batched.credit >= 0.985
        assert batched.credit >= direct.credit - 0.005
        assert batched.extra_share <= _EXTRA_SHARE

    @pytest.mark.parametrize(
        "inject_fault",
        [
            pytest.param(_freeze, id="frozen"),
            pytest.param(_kill_repeatedly, id="killed"),
            pytest.param(_stop, id="stopping"),
            pytest.param(_change_route, id="other-route"),
        ],
    )
    def test_faulty_collectors_cost_little(self, inject_fault):
        result = _run_load(inject_fault=inject_fault)
        assert result.failed == result.wrong == 0
        assert result.credit >= 0.95
        assert result.extra_share <= _EXTRA_SHARE

    def test_refused_batches_are_sent_directly_before_extras_are_allowed(self):
        # Guards against hubs that return too few parts because a collector has
        # another version of the route: attempts that replace refused ones are
        # not extra.
        class _NoExtras:
            allowed_from_s = math.inf

            def allows_extra(self) -> bool:
                return False

        route = _route()

        async def main() -> model.Answer:
            rng = random.Random(5)
            replicas = _replicas(rng)
            instances = [
                replicas_lib.Instance(domain, replicas, rng)
                for domain in replicas_lib.DOMAINS
            ]
            table = model.Table(2, (replicas_lib.route(),), {})
            pools = [collectors_lib.Pool(item, table) for item in instances]
            collectors_lib.connect(instances, pools)
            task = gathering.ScatterGather(
                instances[0],
                instances[0].create_request_context(route),
                extra_guard=_NoExtras(),
            )
            task.start()
            answer = await task.done
            assert sum(pool.calls for pool in pools) == 2
            return answer

        answer = virtual.run(main())
        assert answer.status == 200
        assert answer.missing <= 3

    def test_parts_from_collectors_are_no_sign_of_own_links(self):
        route = replicas_lib.route(
            objective_s=_OBJECTIVE_S,
            shards=("s0", "s1", "s2"),
            top_records=1,
            min_coverage=1.0,
        )

        async def main() -> None:
            rng = random.Random(5)
            replicas = [
                replicas_lib.Replica(shard, shard, "d2", rng, lambda rng: 0.01)
                for shard in route.shards
            ]
            instances = [
                replicas_lib.Instance(domain, replicas, rng)
                for domain in ("d1", "d2")
            ]
            table = model.Table(1, (route,), {})
            pools = [collectors_lib.Pool(item, table) for item in instances]
            collectors_lib.connect(instances, pools)
            links = instances[0].directory.reach
            for at_s in range(6):
                links.direct_failed("d2", float(at_s))
            links.succeeded("d2")
            answer = await instances[0].serve(route)
            assert (answer.status, pools[1].calls) == (200, 1)
            assert links.links_lost
            assert not links.unreachable_domains()

        virtual.run(main())

    def test_no_attempt_stays_open_after_callers_have_left(self):
        result = _run_load(left_early=True)
        assert result.batches > 300
        assert result.open_attempts == 0
