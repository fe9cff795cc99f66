"""Replica selection and replica health."""

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


class _Harness:
    """A selector with the health and versions of one service's replicas."""

    def __init__(self, **domain_by_replica: str) -> None:
        self.snapshot = _snapshot(**domain_by_replica)
        self.health = selection.ReplicaStatistics()
        self.health.update_services(self.snapshot)
        self.versions = pinning.VersionReports()
        self.selector = selection.Selector(
            "d1", self.health, self.versions, random.Random(1)
        )

    def chosen_replicas(self, now_s: float = 0.0, count: int = 50) -> set[str]:
        return {
            self.selector.choose(
                self.snapshot, 1, 0, list(self.snapshot.replicas_by_id), now_s
            )
            for _ in range(count)
        }

    def record_successes(
        self, replica: str, service_ms: float, count: int = 10
    ) -> None:
        for _ in range(count):
            self.health.record_success(replica, service_ms, service_ms, 0.0)


class TestSelection:
    """A sub-request goes to the replica expected to answer soonest."""

    def test_prefers_own_failure_domain(self):
        assert _Harness(a="d1", b="d2", c="d3").chosen_replicas() == {"a"}

    def test_leaves_own_domain_if_its_queue_is_long(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("a", 3.0)
        harness.health.record_queue_delay("a", 0, 50.0, 0.0)
        assert harness.chosen_replicas() == {"b"}

    def test_chooses_the_shorter_of_two_queues(self):
        harness = _Harness(a="d2", b="d2")
        harness.health.record_queue_delay("a", 0, 2.0, 0.0)
        harness.health.record_queue_delay("b", 0, 1.0, 0.0)
        assert harness.chosen_replicas() == {"b"}

    def test_compares_two_random_replicas_only(self):
        # If the best of all replicas were chosen, all instances would choose
        # the same one.
        harness = _Harness(a="d2", b="d2", c="d2")
        for delay_ms, replica in enumerate("abc"):
            harness.health.record_queue_delay(replica, 0, float(delay_ms), 0.0)
        assert harness.chosen_replicas() == {"a", "b"}

    def test_ignores_an_old_queue_delay(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("a", 3.0)
        harness.health.record_queue_delay("a", 0, 50.0, 0.0)
        assert harness.chosen_replicas(now_s=5.0) == {"a"}

    def test_avoids_a_replica_that_lacks_the_version(self):
        harness = _Harness(a="d1", b="d2")
        harness.versions.observe("a", 1, False, 0.0)
        assert harness.chosen_replicas() == {"b"}

    def test_avoids_a_leaving_replica(self):
        harness = _Harness(a="d1", b="d2")
        replicas = dict(harness.snapshot.replicas_by_id)
        replicas["a"] = dataclasses.replace(replicas["a"], leaving=True)
        harness.snapshot = dataclasses.replace(
            harness.snapshot, replicas_by_id=replicas
        )
        assert harness.chosen_replicas() == {"b"}

    def test_uses_an_avoided_replica_if_no_other_is_left(self):
        harness = _Harness(a="d1", b="d2")
        for replica in "ab":
            harness.health.record_failure(replica, _FAILED, 0.0)
            harness.health.record_failure(replica, _FAILED, 0.0)
        harness.health.record_failure("a", _FAILED, 0.0)
        assert harness.chosen_replicas() == {"b"}


class TestHealth:
    """Faulty replicas are avoided until a probe succeeds."""

    def test_avoids_a_replica_after_repeated_failures(self):
        harness = _Harness(a="d1", b="d2")
        harness.health.record_failure("a", _FAILED, 0.0)
        assert harness.chosen_replicas(now_s=0.2) == {"a"}
        harness.health.record_failure("a", _FAILED, 0.2)
        assert harness.chosen_replicas(now_s=60.0) == {"b"}
        assert harness.health.has_avoided_replica(["svc"])

    def test_a_refusal_is_not_a_fault(self):
        harness = _Harness(a="d1", b="d2")
        for outcome in selection.REFUSALS:
            for _ in range(5):
                harness.health.record_failure("a", outcome, 0.0)
        assert harness.chosen_replicas() == {"a"}

    def test_avoids_a_replica_slower_than_its_sibling(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("a", 3.0)
        harness.record_successes("b", 3.0)
        harness.record_successes("a", 30.0, count=3)
        assert harness.chosen_replicas() == {"b"}

    def test_equally_slow_replicas_are_not_avoided(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("b", 30.0)
        harness.record_successes("a", 30.0)
        assert harness.chosen_replicas() == {"a"}

    def test_avoids_a_replica_after_two_overtaken_attempts(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("b", 3.0)
        harness.record_successes("a", 3.0)
        harness.health.record_late_attempt("a", 20.0, 0.0, decisive=False)
        assert harness.chosen_replicas() == {"a"}
        harness.health.record_late_attempt("a", 20.0, 0.0, decisive=False)
        assert harness.chosen_replicas() == {"b"}

    def test_a_delay_due_to_load_is_not_a_fault(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("a", 3.0)
        harness.record_successes("b", 3.0)
        for replica in "ab":
            harness.health.record_queue_delay(replica, 0, 50.0, 0.0)
        for _ in range(5):
            harness.health.record_late_attempt("a", 90.0, 0.0, decisive=True)
        assert not harness.health.is_avoided("a", 0.0)

    def test_a_queue_is_not_due_to_load_if_a_sibling_has_a_short_one(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("b", 3.0)
        assert harness.health.is_delay_due_to_load("a", 0, 30.0, 0.0)
        harness.health.record_queue_delay("b", 0, 0.0, 0.0)
        assert not harness.health.is_delay_due_to_load("a", 0, 30.0, 0.0)
        assert harness.health.is_delay_due_to_load("a", 0, 2.0, 0.0)

    def test_a_refusing_replica_has_no_free_slot(self):
        # An overloaded dispatcher occasionally reports an empty queue.
        harness = _Harness(a="d1", b="d2")
        harness.health.record_queue_delay("a", 0, 0.0, 0.0)
        assert harness.health.has_free_slot("a", 0, 0.05)
        harness.health.record_refusal("a", 0.0)
        assert not harness.health.has_free_slot("a", 0, 0.05)

    def test_a_reported_queue_delay_decreases_with_time(self):
        # Without the decrease, reports up to 0.5 s old prevented hedges to
        # replicas whose queue was already empty.
        harness = _Harness(a="d1", b="d2")
        harness.health.record_queue_delay("a", 0, 10.0, 0.0)
        delay_ms = harness.health.queue_delay_ms("a", 0, 0.004)
        assert delay_ms == pytest.approx(6.0)
        assert harness.health.queue_delay_ms("a", 0, 0.02) == 0

    def test_an_overload_is_not_a_fault_and_postpones_probes(self):
        # Guards against healthy replicas being avoided and then probed during
        # an overload.
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("a", 3.0)
        harness.record_successes("b", 3.0)
        harness.health.record_refusal("b", 0.0)
        for _ in range(3):
            assert not harness.health.record_late_attempt("a", 100.0, 0.1, True)
        assert harness.health.record_late_attempt("a", 100.0, 1.1, True)
        harness.health.record_refusal("b", 3.5)
        assert not harness.health.is_probe_due("a", 4.0)
        harness.health.record_queue_delay("b", 0, 500.0, 4.55)
        assert not harness.health.is_probe_due("a", 4.6)
        assert harness.health.is_probe_due("a", 5.2)

    def test_several_new_faults_are_a_fault_burst(self):
        harness = _Harness(a="d1", b="d2", c="d3")
        for replica in "abc":
            assert not harness.health.has_fault_burst(0.0)
            harness.health.record_failure(replica, _FAILED, 0.0)
            harness.health.record_failure(replica, _FAILED, 0.0)
        assert harness.health.has_fault_burst(1.0)
        assert not harness.health.has_fault_burst(10.0)

    def test_only_a_fast_probe_ends_the_avoidance(self):
        harness = _Harness(a="d1", b="d2")
        harness.record_successes("b", 3.0)
        harness.record_successes("a", 3.0)
        harness.health.record_late_attempt("a", 20.0, 0.0, decisive=True)
        assert harness.health.is_probe_due("a", 3.0)
        harness.health.record_probe("a", 3.0)
        assert not harness.health.is_probe_due("a", 3.5)
        assert not harness.health.record_probe_success("a", 30.0, 2.5)
        assert harness.chosen_replicas(now_s=2.5) == {"b"}
        assert harness.health.record_probe_success("a", 3.0, 9.0)
        assert harness.chosen_replicas(now_s=9.0) == {"a"}
        assert not harness.health.has_avoided_replica(["svc"])


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
    """Sub-requests of a dispatcher that is gone are resent to the next one."""

    def _run(self, update_view):
        async def scenario():
            world = index_lib.build(services=1, shards=1, replicas=1)
            await world.start({"i1": "d1", "i2": "d1", "i3": "d2"})
            view = world.kernels_by_id["i3"].plugin("membership").view
            dispatcher = view.dispatcher_for("svc-0-a", "d1")
            world.kill(dispatcher)
            asked = asyncio.create_task(world.ask("i3", target="svc-0"))
            await asyncio.sleep(0.05)
            update_view(world, view, dispatcher)
            return (await asked)[1].unwrap()

        return virtual.run(scenario())

    def test_resends_when_the_view_drops_the_dispatcher(self):
        def update_view(world, view, dispatcher):
            world.instance_list = dataclasses.replace(
                world.instance_list,
                instances=tuple(
                    item
                    for item in world.instance_list.instances
                    if item.id != dispatcher
                ),
            )
            view.remove(dispatcher)

        answer = self._run(update_view)
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

    def test_does_not_resend_attempts_of_a_leaving_dispatcher(self):
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

    def test_reports_expected_and_received_messages_to_membership(self):
        # Membership must know that a dispatcher is live even if the dispatcher
        # only answers sub-requests.
        async def scenario():
            world = index_lib.build(services=1, shards=1, replicas=1)
            await world.start({"i1": "d1", "i2": "d2"})
            membership = world.kernels_by_id["i2"].plugin("membership")
            calls = []
            membership.monitor = lambda *args: calls.append(("monitor", *args))
            membership.record_message = lambda *args: calls.append(
                ("record_message", *args)
            )
            await world.ask("i2", target="svc-0")
            member = membership.view.members_by_id["i1"]
            return calls, member.incarnation

        calls, incarnation = virtual.run(scenario())
        assert calls[0] == ("monitor", "i1")
        assert ("record_message", "i1", incarnation) in calls


class TestLeavingReplica:
    """A replica that any instance knows to be leaving gets no new attempt."""

    def test_skips_a_replica_that_dispatchers_report_as_leaving(self):
        # The configuration may mark the replica as leaving later or never.
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
