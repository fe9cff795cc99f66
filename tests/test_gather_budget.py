"""Hedges, retries and deadlines."""

import asyncio
import random

import pytest

from mallowloft import messages
from mallowloft.gather import budget as budget_lib
from mallowloft.gather import hedging
from mallowloft.gather import model
from mallowloft.kernel import quantile as quantile_lib
from tests.support import index as index_lib
from tests.support import virtual


class TestBudget:
    """Extra sub-requests are limited to a share of the first ones."""

    def _spend(self, budget, fault, queries=200, wanted=10):
        spent = 0
        for _ in range(queries):
            budget.refill(50, 0.05 if fault else 0.02, 0.02)
            spent += sum(budget.take_hedge(fault) for _ in range(wanted))
        return spent / (queries * 50)

    def test_hedges_stay_within_their_share(self):
        assert (
            0.01 < self._spend(budget_lib.ExtraRequestBudget(), False) <= 0.02
        )

    def test_a_fault_raises_the_share(self):
        assert 0.04 < self._spend(budget_lib.ExtraRequestBudget(), True) <= 0.05

    def test_hedges_without_a_fault_stay_within_the_baseline_share(self):
        budget = budget_lib.ExtraRequestBudget()
        spent = 0
        for _ in range(200):
            budget.refill(50, 0.05, 0.02)
            spent += sum(budget.take_hedge(False) for _ in range(10))
        assert spent <= 0.02 * 200 * 50

    def test_a_fault_can_use_saved_tokens(self):
        budget = budget_lib.ExtraRequestBudget()
        self._spend(budget, False)
        assert sum(budget.take_hedge(True) for _ in range(100)) >= 25

    def test_saved_tokens_are_bounded(self):
        budget = budget_lib.ExtraRequestBudget()
        for _ in range(10_000):
            budget.refill(50, 0.05, 0.02)
        assert sum(budget.take_hedge(True) for _ in range(1000)) <= 100

    def test_retries_overdraw_up_to_a_limit_and_block_hedges(self):
        budget = budget_lib.ExtraRequestBudget()
        self._spend(budget, False)
        assert 100 <= sum(budget.take_retry() for _ in range(1000)) <= 300
        budget.refill(50, 0.05, 0.02)
        assert not budget.take_hedge(True)


class TestQuantile:
    """The hedge delay follows the p95 of a shard."""

    def _record_samples(self, quantile, rng, count, scale=1.0):
        values = [
            scale * 3 * rng.lognormvariate(-0.125, 0.5) for _ in range(count)
        ]
        for value in values:
            quantile.record(value)
        return sorted(values)[int(0.95 * count)]

    def test_is_near_the_p95(self):
        quantile = quantile_lib.QuantileEstimator(0.95)
        p95 = self._record_samples(quantile, random.Random(3), 2000)
        assert 0.8 * p95 < quantile.estimate_ms() < 1.25 * p95

    def test_is_near_the_p95_after_few_samples(self):
        quantile = quantile_lib.QuantileEstimator(0.95)
        quantile.record(60.0)
        self._record_samples(quantile, random.Random(3), 25)
        assert 4 < quantile.estimate_ms() < 12

    def test_follows_a_slower_shard(self):
        quantile = quantile_lib.QuantileEstimator(0.95)
        rng = random.Random(3)
        self._record_samples(quantile, rng, 1000)
        p95 = self._record_samples(quantile, rng, 1000, scale=4)
        assert 0.75 * p95 < quantile.estimate_ms() < 1.25 * p95

    def test_unknown_shards_are_not_hedged_early(self):
        delays = hedging.HedgeDelays()
        assert delays.delay_ms([model.Shard("svc", "s")]) >= 20


async def _warm_up(world, instance="i1", count=60, **options):
    """Runs queries so that an instance has estimates and saved tokens."""
    for _ in range(count):
        await world.ask(instance, **options)
        await asyncio.sleep(0.02)


def _world(instances=("d1", "d2", "d3"), **options):
    world = index_lib.build(**options)
    started = world.start(
        {f"i{number}": domain for number, domain in enumerate(instances, 1)}
    )
    return world, started


def _sum(world, name, **labels):
    return sum(
        kernel.metrics.counter_value(name, **labels)
        for kernel in world.kernels_by_id.values()
    )


class TestHedging:
    """A late attempt is hedged by a second one on another replica."""

    def _fault(self, set_fault, count=40, **options):
        async def scenario():
            world, started = _world(services=10, shards=1)
            await started
            await _warm_up(world)
            for number in range(10):
                set_fault(world.replicas_by_id[f"svc-{number}-a"])
            answers = []
            for _ in range(count):
                _, outcome = await world.ask("i1", **options)
                answers.append(outcome.unwrap())
                await asyncio.sleep(0.02)
            return world, answers

        return virtual.run(scenario())

    @pytest.mark.parametrize(
        ("attribute", "value"),
        [("slow_factor", 10.0), ("frozen", True), ("failing", True)],
    )
    def test_a_straggler_does_not_delay_answers(self, attribute, value):
        _, answers = self._fault(
            lambda replica: setattr(replica, attribute, value)
        )
        assert all(answer.coverage == 1 for answer in answers)
        elapsed = sorted(answer.elapsed_ms for answer in answers)
        assert elapsed[int(0.9 * len(elapsed))] < 25
        assert elapsed[-1] < 100

    def test_traffic_leaves_a_straggler_and_returns_after_recovery(self):
        async def scenario():
            world, started = _world(services=1, shards=1)
            await started
            await _warm_up(world, target="svc-0")
            straggler = world.replicas_by_id["svc-0-a"]
            counts = []
            for factor in (10.0, 10.0, 1.0, 1.0):
                straggler.slow_factor = factor
                before = straggler.count("query_started")
                await _warm_up(world, count=600, target="svc-0")
                counts.append(straggler.count("query_started") - before)
            return counts

        _, fault, _, recovered = virtual.run(scenario())
        assert fault < 30
        assert recovered > 500

    def test_the_overtaken_attempt_is_cancelled(self):
        async def scenario():
            world, started = _world(services=1, shards=1)
            await started
            await _warm_up(world, target="svc-0")
            straggler = world.replicas_by_id["svc-0-a"]
            straggler.frozen = True
            answer = (await world.ask("i1", target="svc-0"))[1].unwrap()
            await asyncio.sleep(0.01)
            gather = world.kernels_by_id["i1"].plugin("gather")
            return answer, straggler.count("query_cancelled"), gather.dump()

        answer, cancelled, dump = virtual.run(scenario())
        assert answer.attempts.hedges == 1
        assert cancelled == 1
        assert dump["attempts_in_flight"] == 0

    def test_nothing_is_hedged_if_hedging_is_disabled(self):
        async def scenario():
            world = index_lib.build(services=5, shards=1)
            build_kernel = world.kernel
            world.kernel = lambda name, domain: build_kernel(
                name, domain, hedging=False
            )
            await world.start({"i1": "d1"})
            await _warm_up(world, count=200)
            return _sum(world, "sub_request_hedges")

        assert virtual.run(scenario()) == 0

    def test_a_queued_attempt_is_not_hedged_before_its_announced_delay(self):
        async def scenario(announced):
            world, started = _world(services=1, shards=1)
            await started
            await _warm_up(world, target="svc-0")
            for replica in world.replicas_by_id.values():
                replica.slow_factor = 25.0
            gather = world.kernels_by_id["i1"].plugin("gather")
            gather.budget.refill(1000, 1.0, 1.0)
            asked = asyncio.create_task(world.ask("i1", target="svc-0"))
            await asyncio.sleep(0.002)
            if announced:
                world.kernels_by_id["i2"].plugin("peers").send(
                    "i1", messages.SubQueued(tuple(gather._in_flight), 500.0)
                )
            return (await asked)[1].unwrap().attempts.hedges

        assert virtual.run(scenario(False)) == 1
        assert virtual.run(scenario(True)) == 0

    def test_a_query_that_met_a_fault_may_use_saved_tokens_until_it_ends(self):
        # Guards against attempts that become late after the first ones have
        # been hedged and then wait for three times their p95.
        async def scenario():
            world, started = _world(services=10, shards=1)
            await started
            await _warm_up(world)
            gather = world.kernels_by_id["i1"].plugin("gather")
            gather.budget.refill(1000, 1.0, 0.0)
            gather.budget._baseline_tokens = 0.0
            for number in range(10):
                world.replicas_by_id[f"svc-{number}-a"].frozen = True
                quantile = gather.delays._quantiles[
                    model.Shard(f"svc-{number}", "s0")
                ]
                quantile._value_ms = 8.0 if number < 5 else 12.0
            return (await world.ask("i1"))[1].unwrap()

        answer = virtual.run(scenario())
        assert answer.coverage == 1
        assert answer.elapsed_ms < 24

    def test_an_attempt_is_hedged_when_its_replica_becomes_avoided(self):
        # Otherwise each running query of the instance would wait for its own
        # p95 to pass.
        async def scenario():
            world, started = _world(services=1, shards=1)
            await started
            await _warm_up(world, target="svc-0")
            world.replicas_by_id["svc-0-a"].frozen = True
            gather = world.kernels_by_id["i1"].plugin("gather")
            gather.budget.refill(1000, 1.0, 1.0)
            quantile = gather.delays._quantiles[model.Shard("svc-0", "s0")]
            quantile._value_ms = 100.0
            asked = asyncio.create_task(world.ask("i1", target="svc-0"))
            await asyncio.sleep(0.005)
            newly_avoided = gather.health.record_failure(
                "svc-0-a", messages.Outcome.UNREACHABLE, gather.now()
            )
            gather._report_fault("svc-0-a", newly_avoided, "unreachable")
            return (await asked)[1].unwrap()

        answer = virtual.run(scenario())
        assert answer.attempts.hedges == 1
        assert answer.elapsed_ms < 30

    @pytest.mark.parametrize("refusing", ["svc-0-a", "svc-0-b"])
    def test_lateness_alone_causes_no_hedge_after_a_refusal(self, refusing):
        # During an overload, hedges went to siblings whose last report was old.
        # Attempts on a replica that is found faulty are still hedged, after
        # three times the p95.
        async def scenario():
            world, started = _world(services=1, shards=1)
            await started
            await _warm_up(world, target="svc-0")
            world.replicas_by_id["svc-0-a"].slow_factor = 25.0
            gather = world.kernels_by_id["i1"].plugin("gather")
            gather.budget.refill(1000, 1.0, 1.0)
            gather.health.record_refusal(refusing, gather.now())
            return (await world.ask("i1", target="svc-0"))[1].unwrap()

        answer = virtual.run(scenario())
        assert answer.attempts.hedges == (refusing == "svc-0-a")
        assert answer.elapsed_ms > 20

    def test_no_hedge_goes_to_a_replica_with_a_long_queue(self):
        async def scenario(delay_ms):
            world, started = _world(services=1, shards=1)
            await started
            await _warm_up(world, target="svc-0")
            world.replicas_by_id["svc-0-a"].slow_factor = 25.0
            gather = world.kernels_by_id["i1"].plugin("gather")
            gather.budget.refill(1000, 1.0, 1.0)
            gather.health.record_queue_delay(
                "svc-0-b", 0, delay_ms, asyncio.get_running_loop().time()
            )
            return (await world.ask("i1", target="svc-0"))[1].unwrap().attempts

        assert virtual.run(scenario(0.0)).hedges == 1
        assert virtual.run(scenario(1000.0)).hedges == 0


class TestRefusal:
    """A refusal ends the attempt at once and says when to try again."""

    def _refuse(self, replicas, **options):
        async def scenario():
            world, started = _world(services=2, shards=1)
            await started
            for replica in replicas:
                world.replicas_by_id[replica].max_queue = 0
            _, outcome = await world.ask("i1", **options)
            return world, outcome

        return virtual.run(scenario())

    def test_a_query_with_all_sub_requests_refused_is_refused_at_once(self):
        replicas = [f"svc-{n}-{r}" for n in range(2) for r in "ab"]
        world, outcome = self._refuse(replicas)
        refusal = outcome.unwrap_err()
        assert refusal.code == "overloaded"
        assert refusal.retry_after_ms > 0
        assert refusal.answer.elapsed_ms < 20
        assert _sum(world, "sub_request_retries") == 0

    def test_a_partly_refused_query_is_answered_with_its_coverage(self):
        _, outcome = self._refuse(["svc-0-a", "svc-0-b"])
        answer = outcome.unwrap()
        assert answer.coverage == 0.5
        assert answer.lacking == {model.Shard("svc-0", "s0"): "shed"}

    def test_retry_after_is_passed_on(self):
        async def scenario():
            world, started = _world(services=1, shards=1)
            await started
            for replica in world.replicas_by_id.values():
                replica.slow_factor = 25.0
            asked = asyncio.create_task(world.ask("i1", target="svc-0"))
            await asyncio.sleep(0.005)
            gather = world.kernels_by_id["i1"].plugin("gather")
            ((number, (_, attempt)),) = gather._in_flight.items()
            reply = messages.SubReply(
                attempt=number,
                replica=attempt.replica,
                outcome=messages.Outcome.REFUSED,
                index_version=0,
                results={},
                versions=(),
                queue_delay_ms=50.0,
                service_ms=0.0,
                retry_after_ms=777.0,
            )
            world.kernels_by_id["i1"].plugin("peers").send("i1", reply)
            return (await asked)[1].unwrap_err()

        assert virtual.run(scenario()).retry_after_ms == 777.0


class TestDeadline:
    """Answers are sent before the deadline, earlier if waiting is useless."""

    def _frozen(self, replicas, **options):
        async def scenario():
            world, started = _world(services=4, shards=1)
            await started
            await _warm_up(world)
            for replica in replicas:
                world.replicas_by_id[replica].frozen = True
            return (await world.ask("i1", **options))[1]

        return virtual.run(scenario())

    _FROZEN_REPLICAS = ("svc-0-a", "svc-0-b")

    def test_coverage_is_preferred_until_shortly_before_the_deadline(self):
        outcome = self._frozen(self._FROZEN_REPLICAS, deadline_ms=400.0)
        answer = outcome.unwrap()
        assert 370 < answer.elapsed_ms <= 392
        assert answer.coverage == 0.75
        assert set(answer.lacking.values()) == {"deadline"}

    def test_time_is_preferred_once_every_replica_has_been_tried(self):
        answer = self._frozen(self._FROZEN_REPLICAS, prefer="time").unwrap()
        assert answer.elapsed_ms < 250
        assert answer.coverage == 0.75
        assert set(answer.lacking.values()) == {"straggler"}

    def test_time_is_not_preferred_below_the_minimum_coverage(self):
        outcome = self._frozen(
            self._FROZEN_REPLICAS,
            prefer="time",
            min_coverage=0.8,
            deadline_ms=400.0,
        )
        refusal = outcome.unwrap_err()
        assert refusal.code == "coverage_too_low"
        assert refusal.answer.coverage == 0.75
        assert refusal.answer.elapsed_ms > 370

    def test_the_query_ends_once_the_minimum_coverage_is_unreachable(self):
        async def scenario():
            world, started = _world(services=4, shards=1)
            await started
            for replica in ("svc-0-a", "svc-0-b"):
                world.replicas_by_id[replica].failing = True
            world.replicas_by_id["svc-1-a"].frozen = True
            world.replicas_by_id["svc-1-b"].frozen = True
            return (await world.ask("i1", min_coverage=1.0))[1]

        refusal = virtual.run(scenario()).unwrap_err()
        assert refusal.code == "coverage_too_low"
        assert refusal.answer.elapsed_ms < 100

    def test_unreachable_replicas_do_not_reduce_coverage(self):
        async def scenario():
            world, started = _world(services=10, shards=2)
            await started
            for number in range(10):
                name = f"svc-{number}-{'ab'[number % 2]}"
                world.replicas_by_id[name].unreachable = True
            return [(await world.ask("i1"))[1].unwrap() for _ in range(20)]

        answers = virtual.run(scenario())
        assert all(answer.coverage == 1 for answer in answers)
