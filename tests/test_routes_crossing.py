"""When and how much first attempts leave the failure domain."""

import random
import statistics
import types

import pytest

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import selection
from mallowloft.routes.crossing import share as share_lib
from mallowloft.upstream import traffic as traffic_lib
from tests.support import domains as domains_lib

_SETTLED = 12  # Samples of 0.25 s: 3 s.


class TestShareController:
    """Steps are bounded and have hysteresis."""

    def _step(self, controller, here_ms=10.0, there_ms=10.0, **inputs):
        return controller.step(
            share_lib.Inputs(here_ms, there_ms, **inputs), 0.0
        )

    def _controller(self, share=0.0, moved=True):
        controller = share_lib.ShareController(0.0)
        controller.share = share
        controller._moved = moved
        return controller

    @pytest.mark.parametrize(
        ("here_ms", "change"),
        [(50, 0.1), (12.5, 0.02), (11.5, 0.0), (10.5, -0.02), (2, -0.2)],
    )
    def test_steps_follow_the_advantage(self, here_ms, change):
        # Guards against full steps near the thresholds, which oscillate.
        controller = self._controller(0.5)
        self._step(controller, here_ms)
        assert controller.share == pytest.approx(0.5 + change)

    @pytest.mark.parametrize(
        ("inputs", "reason"),
        [
            ({"waiting_per_slot": 0.5}, share_lib.Reason.WAITING),
            ({"rejected_share": 0.1}, share_lib.Reason.REJECTED),
            ({"reachable": False}, share_lib.Reason.CUT_OFF),
        ],
    )
    def test_share_falls_for_the_callers_there(self, inputs, reason):
        # Guards against taking slots that the other domain's callers need.
        controller = self._controller(0.5)
        assert self._step(controller, 100, **inputs) is reason
        assert controller.share < 0.5

    def test_share_is_held_while_few_wait_there(self):
        controller = self._controller(0.5)
        assert self._step(controller, 100, waiting_per_slot=0.2) is None

    def test_only_the_first_step_may_be_large(self):
        controller = self._controller(moved=False)
        self._step(controller, 30)
        assert controller.share == pytest.approx(0.3)
        self._step(controller, 30)
        assert controller.share == pytest.approx(0.4)

    def test_few_observations_do_not_raise_the_share(self):
        # Guards against crossing because of one slow reply.
        assert self._step(self._controller(), 100, weight=1.0) is None

    def test_domain_that_returns_starts_with_a_regular_step(self):
        controller = self._controller(0.8, moved=False)
        assert controller.cut_off()
        assert controller.share == 0.0
        self._step(controller, 100)
        assert controller.share == pytest.approx(0.1)


class TestChoosers:
    """Many instances with delayed and unequal views share two domains."""

    def _run(self, choosers, load, seconds=9.0, prepare=None, **options):
        model = domains_lib.Domains(
            choosers, delay_s=0.2, unequal=0.2, **options
        )
        model.run(2.0)
        model.load.update(load)
        if prepare is not None:
            prepare(model)
        model.sampled.clear()
        model.crossed.clear()
        model.run(seconds)
        return model

    @pytest.mark.parametrize("choosers", [10, 100])
    @pytest.mark.parametrize("load", [{"a": 1.2}, {"a": 1.5, "b": 0.1}])
    def test_share_converges(self, choosers, load):
        # Guards against instances that all move between the domains together.
        model = self._run(choosers, load)
        settled = model.sampled[_SETTLED:]
        assert max(settled) - min(settled) <= 0.15
        assert statistics.mean(settled) > 0.08
        assert model.overfull == 0

    @pytest.mark.parametrize("choosers", [10, 100])
    def test_attempts_stay_at_usual_load(self, choosers):
        # Guards against paying for traffic that gains nothing.
        model = self._run(choosers, {"a": 0.1, "b": 0.1}, 4.0)
        assert model.crossed[selection.SHARE] == 0
        assert max(model.shares()) == 0.0
        assert statistics.mean(model.sampled) < 0.01

    def test_usual_load_is_served_as_fast_as_by_constant_cost(self):
        # Guards against a latency that the share makes worse.
        model = self._run(10, {"a": 0.3, "b": 0.3}, 3.0)
        before = domains_lib.Domains(10, delay_s=0.2, unequal=0.2)
        for chooser in before.choosers["a"] + before.choosers["b"]:
            chooser.selector.crossing = None
        before.run(5.0)
        assert statistics.mean(model.durations) <= 1.03 * statistics.mean(
            before.durations
        )

    def test_loss_of_half_of_the_replicas(self):
        def lose(model):
            for shard in range(0, model.shards, 2):
                model.replicas[shard, "a"].failed = True

        model = self._run(10, {"a": 0.6}, 4.0, prepare=lose)
        assert model.crossed[selection.NO_LOCAL] > 0
        assert 0.35 < statistics.mean(model.sampled[_SETTLED:]) < 0.6

    def test_busy_domain_gets_little(self):
        # Guards against moving an overload to a domain that is busy itself.
        model = self._run(100, {"a": 1.2, "b": 0.95}, 6.0)
        assert statistics.mean(model.sampled[_SETTLED:]) < 0.1

    def test_prices(self):
        free = self._run(10, {"a": 1.2}, 3.0, price=0.0)
        assert free.crossed[selection.SHARE] > 0
        dear = self._run(10, {"a": 1.2}, 3.0, price=1000.0)
        assert dear.crossed[selection.SHARE] == 0
        assert dear.crossed[selection.LOCAL_FAULT] == 0

    def test_domain_that_is_cut_off_gets_nothing_at_once(self):
        model = self._run(10, {"a": 1.2}, 3.0)
        assert max(model.shares()) > 0.0
        for chooser in model.choosers["a"]:
            chooser.unreachable.add("b")
        model.crossed.clear()
        model.run(1.0)
        assert set(model.crossed) == {""}
        assert max(model.shares()) == 0.0


class TestSelector:
    """Hedges, retries and shards without a local replica are not limited."""

    def _chooser(self):
        model = domains_lib.Domains(1)
        chooser = model.choosers["a"][0]
        return chooser, chooser.entries[0]["a"], chooser.entries[0]["b"]

    def _choose(self, chooser, first=True, tried=()):
        entry = chooser.selector.choose(
            chooser.entries[0].values(),
            1.0,
            tried,
            latency=chooser.latency,
            first_rank=0 if first else None,
        )
        return entry, chooser.selector.reason

    def _fill(self, entry):
        entry.health.record_load(2, 10, 1.0)

    def test_first_attempt_stays_without_a_share(self):
        chooser, local, remote = self._chooser()
        self._fill(local)
        assert self._choose(chooser) == (local, "")
        assert self._choose(chooser, first=False)[0] is remote
        assert self._choose(chooser, first=False, tried=[local])[0] is remote

    @pytest.mark.parametrize("fault", ["draining", "ejected", "failing"])
    def test_shard_without_usable_replica_crosses(self, fault):
        chooser, local, remote = self._chooser()
        if fault == "ejected":
            local.health.record_failure(object(), 1.0)
        elif fault == "draining":
            local.draining = True
        else:
            local.pool = types.SimpleNamespace(failing=True, open_count=0)
        assert self._choose(chooser) == (remote, selection.NO_LOCAL)

    def test_replica_that_pauses_is_avoided(self):
        # Guards against late answers while a single replica pauses.
        chooser, local, remote = self._chooser()
        local.health.record_start("late", 0.0, 0.01)
        assert self._choose(chooser) == (remote, selection.LOCAL_FAULT)

    def test_queue_needs_a_free_slot_elsewhere(self):
        # Guards against rejected attempts that all fill the other domain.
        chooser, local, remote = self._chooser()
        self._fill(local)
        local.health.record_failure(object(), 1.0)
        assert self._choose(chooser) == (remote, selection.NO_LOCAL)
        remote.health.record_load(2, 0, 1.0)
        assert self._choose(chooser) == (local, "")

    def test_urgent_rank_crosses_first(self):
        # Guards against a less urgent class that uses up the share.
        chooser, _, remote = self._chooser()
        crossing = chooser.crossing
        crossing.allows(remote, 0, 0.0)
        group = next(iter(crossing._groups.values()))
        controller = group.controller_by_domain["b"]
        controller.share = 0.5
        controller._due_s = 1e9
        allowed = {0: 0, 1: 0}
        for _ in range(500):
            for rank in allowed:
                crossing.count_first("s0", rank, 1.0)
                allowed[rank] += crossing.allows(remote, rank, 1.0)
        assert allowed[0] > 450
        assert allowed[1] < 50


class TestCost:
    """The cost follows the measured round trip and the price of the bytes."""

    def _record(self, chooser, entry, count=30):
        for _ in range(count):
            chooser.crossing.record(entry, chooser.latency, 0.011, 1000, 1.0)
            chooser.latency.record(0.01)

    def test_round_trip_and_price(self):
        chooser = domains_lib.Domains(1, price=2.0).choosers["a"][0]
        remote = chooser.entries[0]["b"]
        cost = chooser.crossing.cost_medians(remote, chooser.latency)
        assert cost == pytest.approx(selection._REMOTE_COST)
        self._record(chooser, remote)
        cost = chooser.crossing.cost_medians(remote, chooser.latency)
        assert cost == pytest.approx((1.0 + 2.0) / 10.0, rel=0.1)

    def test_domain_that_is_not_measured_is_not_avoided(self):
        # Guards against an instance without local replicas that prefers the
        # domain that it happened to measure first.
        chooser = domains_lib.Domains(1).choosers["a"][0]
        remote = chooser.entries[0]["b"]
        self._record(chooser, remote)
        other = types.SimpleNamespace(
            replica=types.SimpleNamespace(failure_domain="c")
        )
        costs = {
            chooser.crossing.cost_medians(entry, chooser.latency)
            for entry in (remote, other)
        }
        assert len(costs) == 1


class TestVisibility:
    """The state and the metrics show shares and their inputs."""

    def test_dump_and_gauge(self):
        model = domains_lib.Domains(10)
        model.run(1.0)
        model.load.update(a=1.5, b=0.1)
        model.run(2.0)
        crossing = max(
            model.choosers["a"], key=lambda chooser: chooser.share
        ).crossing
        state = crossing.dump()["groups"]["r"]["b"]
        assert state["share"] > 0.0
        assert state["here_ms"] > state["there_ms"]
        metrics = metrics_lib.Metrics()
        metrics.gauge_family(
            "crossing_share", ("here", "there"), crossing.shares
        )
        text = metrics.render().decode()
        assert 'mallowloft_crossing_share{here="a",there="b"}' in text

    def test_bytes_are_counted_by_reason(self):
        metrics = metrics_lib.Metrics()
        traffic = traffic_lib.Traffic(metrics, "a")
        count = traffic.crossing_counter("b", selection.HEDGE)
        count(traffic_lib.SENT, random.Random(1).randrange(5, 9))
        labels = {"here": "a", "there": "b", "reason": "hedge"}
        assert metrics.counter_value(
            "crossing_bytes", direction="sent", **labels
        )
