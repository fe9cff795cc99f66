"""Replicas are chosen by domain, faults, versions and queue delay."""

import asyncio
import dataclasses
import random

import pytest

from mallowloft import messages
from mallowloft.configuration import model as config_model
from mallowloft.gather import pinning
from mallowloft.gather import selection
from mallowloft.membership import view as view_lib
from tests.support import index as index_lib
from tests.support import virtual

_FAILED = messages.Outcome.FAILED


def _snapshot(**domain_by_replica: str) -> config_model.Snapshot:
    replicas = tuple(
        config_model.Replica(name, f"http://{name}", domain)
        for name, domain in domain_by_replica.items()
    )
    return config_model.Snapshot(
        services_by_name={"svc": config_model.Service("main", replicas)},
        replicas_by_id={replica.id: replica for replica in replicas},
    )


class _Choice:
    """A selector with its estimates for replicas of one service."""

    def __init__(self, **domain_by_replica: str) -> None:
        self.snapshot = _snapshot(**domain_by_replica)
        self.health = selection.ReplicaHealth()
        self.health.update_services(self.snapshot)
        self.versions = pinning.VersionReports()
        self.selector = selection.Selector(
            "d1", self.health, self.versions, random.Random(1)
        )

    def chosen(self, now_s: float = 0.0, count: int = 50) -> set[str]:
        return {
            self.selector.choose(
                self.snapshot, 1, 0, list(self.snapshot.replicas_by_id), now_s
            )
            for _ in range(count)
        }

    def answer(self, replica: str, service_ms: float, count: int = 10) -> None:
        for _ in range(count):
            self.health.answered(replica, service_ms, service_ms, 0.0)


class TestSelection:
    """A sub-request goes where it is answered soonest."""

    def test_prefers_the_own_failure_domain(self):
        assert _Choice(a="d1", b="d2", c="d3").chosen() == {"a"}

    def test_leaves_the_own_domain_for_a_long_queue(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("a", 3.0)
        choice.health.report_queue("a", 0, 50.0, 0.0)
        assert choice.chosen() == {"b"}

    def test_takes_the_shorter_of_two_queues(self):
        choice = _Choice(a="d2", b="d2")
        choice.health.report_queue("a", 0, 2.0, 0.0)
        choice.health.report_queue("b", 0, 1.0, 0.0)
        assert choice.chosen() == {"b"}

    def test_compares_two_random_replicas_only(self):
        # The best of all would draw every entry to the same replica.
        choice = _Choice(a="d2", b="d2", c="d2")
        for delay_ms, replica in enumerate("abc"):
            choice.health.report_queue(replica, 0, float(delay_ms), 0.0)
        assert choice.chosen() == {"a", "b"}

    def test_forgets_an_old_queue_delay(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("a", 3.0)
        choice.health.report_queue("a", 0, 50.0, 0.0)
        assert choice.chosen(now_s=5.0) == {"a"}

    def test_avoids_a_replica_that_lacks_the_version(self):
        choice = _Choice(a="d1", b="d2")
        choice.versions.observe("a", 1, False, 0.0)
        assert choice.chosen() == {"b"}

    def test_avoids_a_leaving_replica(self):
        choice = _Choice(a="d1", b="d2")
        replicas = dict(choice.snapshot.replicas_by_id)
        replicas["a"] = dataclasses.replace(replicas["a"], leaving=True)
        choice.snapshot = dataclasses.replace(
            choice.snapshot, replicas_by_id=replicas
        )
        assert choice.chosen() == {"b"}

    def test_takes_an_avoided_replica_when_no_other_is_left(self):
        choice = _Choice(a="d1", b="d2")
        for replica in "ab":
            choice.health.failed(replica, _FAILED, 0.0)
            choice.health.failed(replica, _FAILED, 0.0)
        choice.health.failed("a", _FAILED, 0.0)
        assert choice.chosen() == {"b"}


class TestHealth:
    """Replicas at fault are avoided until a probe finds them sound."""

    def test_repeated_failures_are_avoided(self):
        choice = _Choice(a="d1", b="d2")
        choice.health.failed("a", _FAILED, 0.0)
        assert choice.chosen(now_s=0.2) == {"a"}
        choice.health.failed("a", _FAILED, 0.2)
        assert choice.chosen(now_s=60.0) == {"b"}
        assert choice.health.at_fault(["svc"])

    def test_a_refusal_is_no_fault(self):
        choice = _Choice(a="d1", b="d2")
        for outcome in selection.REFUSALS:
            for _ in range(5):
                choice.health.failed("a", outcome, 0.0)
        assert choice.chosen() == {"a"}

    def test_a_replica_slower_than_its_sibling_is_avoided(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("a", 3.0)
        choice.answer("b", 3.0)
        choice.answer("a", 30.0, count=3)
        assert choice.chosen() == {"b"}

    def test_equally_slow_replicas_are_not_avoided(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("b", 30.0)
        choice.answer("a", 30.0)
        assert choice.chosen() == {"a"}

    def test_one_lost_race_is_chance_two_are_not(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("b", 3.0)
        choice.answer("a", 3.0)
        choice.health.lost_race("a", 20.0, 0.0, decisive=False)
        assert choice.chosen() == {"a"}
        choice.health.lost_race("a", 20.0, 0.0, decisive=False)
        assert choice.chosen() == {"b"}

    def test_a_delay_that_load_explains_is_no_fault(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("a", 3.0)
        choice.answer("b", 3.0)
        for replica in "ab":
            choice.health.report_queue(replica, 0, 50.0, 0.0)
        for _ in range(5):
            choice.health.lost_race("a", 90.0, 0.0, decisive=True)
        assert not choice.health.avoided("a", 0.0)

    def test_an_announced_queue_beside_a_short_one_is_no_load(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("b", 3.0)
        assert choice.health.load_explains("a", 0, 30.0, 0.0)
        choice.health.report_queue("b", 0, 0.0, 0.0)
        assert not choice.health.load_explains("a", 0, 30.0, 0.0)
        assert choice.health.load_explains("a", 0, 2.0, 0.0)

    def test_a_replica_that_refuses_has_no_room(self):
        # An overloaded dispatcher reports an empty queue now and then.
        choice = _Choice(a="d1", b="d2")
        choice.health.report_queue("a", 0, 0.0, 0.0)
        assert choice.health.has_room("a", 0, 0.05)
        choice.health.refused("a", 0.0)
        assert not choice.health.has_room("a", 0, 0.05)

    def test_a_reported_queue_drains_with_time(self):
        # Reports of up to 0.5 s ago kept hedges from replicas without a queue.
        choice = _Choice(a="d1", b="d2")
        choice.health.report_queue("a", 0, 10.0, 0.0)
        delay_ms = choice.health.queue_delay_ms("a", 0, 0.004)
        assert delay_ms == pytest.approx(6.0)
        assert choice.health.queue_delay_ms("a", 0, 0.02) == 0

    def test_an_overload_is_no_evidence_and_no_time_for_probes(self):
        # Sound replicas were avoided in an overload and then probed.
        choice = _Choice(a="d1", b="d2")
        choice.answer("a", 3.0)
        choice.answer("b", 3.0)
        choice.health.refused("b", 0.0)
        for _ in range(3):
            assert not choice.health.lost_race("a", 100.0, 0.1, True)
        assert choice.health.lost_race("a", 100.0, 1.1, True)
        choice.health.refused("b", 3.5)
        assert not choice.health.probe_due("a", 4.0)
        choice.health.report_queue("b", 0, 500.0, 4.55)
        assert not choice.health.probe_due("a", 4.6)
        assert choice.health.probe_due("a", 5.2)

    def test_several_new_faults_are_being_learnt(self):
        choice = _Choice(a="d1", b="d2", c="d3")
        for replica in "abc":
            assert not choice.health.learning(0.0)
            choice.health.failed(replica, _FAILED, 0.0)
            choice.health.failed(replica, _FAILED, 0.0)
        assert choice.health.learning(1.0)
        assert not choice.health.learning(10.0)

    def test_a_slow_probe_keeps_it_avoided_a_sound_one_ends_it(self):
        choice = _Choice(a="d1", b="d2")
        choice.answer("b", 3.0)
        choice.answer("a", 3.0)
        choice.health.lost_race("a", 20.0, 0.0, decisive=True)
        assert choice.health.probe_due("a", 3.0)
        choice.health.probe_sent("a", 3.0)
        assert not choice.health.probe_due("a", 3.5)
        assert not choice.health.probe_answered("a", 30.0, 2.5)
        assert choice.chosen(now_s=2.5) == {"b"}
        assert choice.health.probe_answered("a", 3.0, 9.0)
        assert choice.chosen(now_s=9.0) == {"a"}
        assert not choice.health.at_fault(["svc"])


async def _world(**options) -> index_lib.IndexWorld:
    world = index_lib.build(**options)
    await world.start({"i1": "d1", "i2": "d2", "i3": "d3"})
    return world


class TestGrouping:
    """Shards on the same replica share a sub-request."""

    def test_sends_one_sub_request_per_service(self):
        async def scenario():
            world = await _world(services=2, shards=5)
            return (await world.ask("i3"))[1].unwrap()

        answer = virtual.run(scenario())
        assert len(answer.results) == 10
        assert answer.attempts.sent == 2


class TestDispatcherLoss:
    """Sub-requests of a dispatcher that is gone go to the next one."""

    def _run(self, lose):
        async def scenario():
            world = index_lib.build(services=1, shards=1, replicas=1)
            await world.start({"i1": "d1", "i2": "d1", "i3": "d2"})
            view = world.kernels_by_id["i3"].plugin("membership").view
            dispatcher = view.dispatcher_for("svc-0-a", "d1")
            world.kill(dispatcher)
            asked = asyncio.create_task(world.ask("i3", target="svc-0"))
            await asyncio.sleep(0.05)
            lose(world, view, dispatcher)
            return (await asked)[1].unwrap()

        return virtual.run(scenario())

    def test_resends_when_the_view_drops_the_dispatcher(self):
        def lose(world, view, dispatcher):
            world.instance_list = dataclasses.replace(
                world.instance_list,
                instances=tuple(
                    item
                    for item in world.instance_list.instances
                    if item.id != dispatcher
                ),
            )
            view.remove(dispatcher)

        answer = self._run(lose)
        assert answer.coverage == 1
        assert answer.elapsed_ms < 100

    def test_resends_when_the_view_suspects_the_dispatcher(self):
        answer = self._run(
            lambda world, view, dispatcher: view.set_state(
                dispatcher, view_lib.SUSPECT
            )
        )
        assert answer.coverage == 1
        assert answer.elapsed_ms < 100

    def test_resends_when_the_dispatcher_is_silent(self):
        answer = self._run(lambda world, view, dispatcher: None)
        assert answer.coverage == 1
        assert answer.elapsed_ms < 350

    def test_leaves_a_leaving_dispatcher_its_attempts(self):
        async def scenario():
            world = index_lib.build(services=1, shards=1, replicas=1)
            world.replicas_by_id["svc-0-a"].slow_factor = 20.0
            await world.start({"i1": "d1", "i2": "d1", "i3": "d2"})
            view = world.kernels_by_id["i3"].plugin("membership").view
            dispatcher = view.dispatcher_for("svc-0-a", "d1")
            asked = asyncio.create_task(world.ask("i3", target="svc-0"))
            await asyncio.sleep(0.01)
            view.set_state(dispatcher, view_lib.LEAVING)
            return (await asked)[1].unwrap()

        answer = virtual.run(scenario())
        assert answer.coverage == 1
        assert answer.attempts.sent == 1

    def test_reports_what_it_expects_and_hears_to_membership(self):
        # A dispatcher that only answers sub-requests was not known to live.
        async def scenario():
            world = index_lib.build(services=1, shards=1, replicas=1)
            await world.start({"i1": "d1", "i2": "d2"})
            membership = world.kernels_by_id["i2"].plugin("membership")
            calls = []
            membership.expect = lambda *args: calls.append(("expect", *args))
            membership.heard = lambda *args: calls.append(("heard", *args))
            await world.ask("i2", target="svc-0")
            member = membership.view.members_by_id["i1"]
            return calls, member.incarnation

        calls, incarnation = virtual.run(scenario())
        assert calls[0] == ("expect", "i1")
        assert ("heard", "i1", incarnation) in calls


class TestLeavingReplica:
    """A replica that any instance knows to leave gets no new attempt."""

    def test_skips_a_replica_that_the_dispatchers_announce(self):
        # The configuration may say so much later, or never.
        async def scenario():
            world = index_lib.build(services=1, shards=1)
            await world.start({"i1": "d1", "i2": "d2"})
            world.replicas_by_id["svc-0-a"].health_state = "draining"
            await asyncio.sleep(2.0)
            started = world.replicas_by_id["svc-0-a"].count("query_started")
            for _ in range(5):
                _, outcome = await world.ask("i1", target="svc-0")
                assert outcome.unwrap().attempts.sent == 1
            replica = world.replicas_by_id["svc-0-a"]
            return replica.count("query_started") - started

        assert virtual.run(scenario()) == 0
