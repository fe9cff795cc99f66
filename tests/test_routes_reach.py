"""Detection of unreachable failure domains and of isolation."""

import random

import pytest

from mallowloft.routes import reach
from tests.support import replicas as replicas_lib
from tests.support import virtual


def _fail(domains: reach.DomainReachability, name: str, count: int) -> None:
    for number in range(count):
        domains.failed(name, 0.05 * number)


class TestDomainReach:
    """A failure domain is unreachable only if no call to it succeeds."""

    def test_unreachable_after_failures_for_a_while(self):
        domains = reach.DomainReachability()
        # All replicas may pause at the same time for 0.1 s.
        _fail(domains, "d2", 4)
        assert not domains.unreachable_domains()
        _fail(domains, "d2", 10)
        assert domains.unreachable_domains() == {"d2"}

    def test_failures_at_one_time_are_not_enough(self):
        # Guards against counting the time without requests: an instance may get
        # no request for 0.5 s after one that several slow replicas delayed.
        domains = reach.DomainReachability()
        for _ in range(20):
            domains.failed("d2", 1.0)
        assert not domains.unreachable_domains()

    def test_one_success_makes_domain_reachable(self):
        domains = reach.DomainReachability()
        _fail(domains, "d2", 10)
        domains.succeeded("d2")
        assert not domains.unreachable_domains()

    def test_few_failures_are_not_enough(self):
        domains = reach.DomainReachability()
        domains.failed("d2", 0.0)
        domains.failed("d2", 9.0)
        assert not domains.unreachable_domains()


class TestDirectLinks:
    """Links are lost if no replica responds to this instance itself."""

    def _lose(self, domains: reach.DomainReachability) -> None:
        for number in range(10):
            domains.direct_failed(f"d{number % 3}", 0.05 * number)

    def test_lost_although_collectors_reach_the_replicas(self):
        domains = reach.DomainReachability()
        for number in range(10):
            domains.direct_failed("d2", 0.05 * number)
            domains.succeeded("d2")
        assert domains.links_lost
        assert not domains.unreachable_domains()

    def test_not_lost_after_one_reply_from_any_domain(self):
        domains = reach.DomainReachability()
        self._lose(domains)
        domains.direct_succeeded("d9")
        assert not domains.links_lost

    def test_instance_without_links_suspects_no_replica(self):
        replica = replicas_lib.Replica(
            "r", "s", "d1", random.Random(1), lambda rng: 0.01
        )

        async def main() -> None:
            instance = replicas_lib.Instance("d1", [replica], random.Random(1))
            directory = instance.directory
            directory.set_services(["s"], {})
            health = directory.entry("r").health
            for attempt in range(3):
                health.record_start(attempt, 0.0, 0.01)
                health.record_failure(attempt, 0.0)
            assert directory.suspects() == ["r"]
            self._lose(directory.reach)
            assert directory.suspects() == []

        virtual.run(main())

    def _run_with_two_services(self, main) -> None:
        async def run() -> None:
            rng = random.Random(1)
            replicas = [
                replicas_lib.Replica(name, name, "d1", rng, lambda rng: 0.01)
                for name in ("s1", "s2")
            ]
            directory = replicas_lib.Instance("d1", replicas, rng).directory
            directory.set_services(["s1", "s2"], {})
            main(directory)

        virtual.run(run())

    def _should_forward(self, directory, now_s: float, **fields) -> bool:
        route = replicas_lib.route(shards=("s1", "s2"), **fields)
        return reach.should_forward(route, route.shards, directory, now_s)

    def test_forwards_if_no_replica_of_one_service_is_connected(self):
        def main(directory) -> None:
            assert not self._should_forward(directory, 0.0)
            directory.entry("s1").pool.failing = True
            assert self._should_forward(directory, 0.0)
            # A replica that leaves is not missed.
            directory.entry("s1").draining = True
            assert not self._should_forward(directory, 0.0)

        self._run_with_two_services(main)

    def test_forwards_all_but_single_idempotent_trials_without_links(self):
        def main(directory) -> None:
            self._lose(directory.reach)
            assert self._should_forward(directory, 0.5)
            directory.reach.connected("d1", 1.0)
            assert self._should_forward(directory, 2.0, idempotent=False)
            assert not self._should_forward(directory, 2.0)
            assert self._should_forward(directory, 2.0)

        self._run_with_two_services(main)

    def test_no_trial_while_a_service_has_no_connected_replica(self):
        def main(directory) -> None:
            self._lose(directory.reach)
            directory.entry("s1").pool.failing = True
            assert self._should_forward(directory, 99.0)

        self._run_with_two_services(main)

    def test_closed_connections_are_no_evidence(self):
        domains = reach.DomainReachability()
        _fail(domains, "d2", 10)
        assert not domains.links_lost

    def test_new_connections_allow_single_trials_at_growing_intervals(self):
        domains = reach.DomainReachability()
        self._lose(domains)
        taken_s = []
        for step in range(2000):
            now_s = 1.0 + step * 0.01
            domains.connected("d1", now_s)
            if domains.take_trial(now_s):
                taken_s.append(now_s)
        assert domains.links_lost
        assert taken_s[0] < 1.6
        assert 4 <= len(taken_s) <= 8

    def test_links_that_never_connect_are_tried_rarely(self):
        domains = reach.DomainReachability()
        self._lose(domains)
        taken = sum(domains.take_trial(step * 0.1) for step in range(200))
        assert 3 <= taken <= 4


class TestIsolated:
    """An instance is isolated only if other domains serve callers better."""

    def _isolated(self, replicas_per_shard, lost) -> bool:
        route = replicas_lib.route(
            shards=tuple(f"s{number}" for number in range(10)),
            min_coverage=0.8,
        )
        rng = random.Random(1)

        async def main() -> bool:
            replicas = [
                replicas_lib.Replica(
                    f"{shard}-{copy}",
                    shard,
                    replicas_lib.DOMAINS[(number + copy) % 3],
                    rng,
                    lambda rng: 0.01,
                )
                for number, shard in enumerate(route.shards)
                for copy in range(replicas_per_shard)
            ]
            instance = replicas_lib.Instance("d1", replicas, rng)
            instance.directory.set_services(route.shards, {})
            return reach.isolated([route], instance.directory, "d1", lost, 0.0)

        return virtual.run(main())

    def test_isolated_from_all_other_domains(self):
        assert self._isolated(2, {"d2", "d3"})

    @pytest.mark.parametrize("lost", [set(), {"d2"}, {"d1"}])
    def test_not_isolated_with_one_reachable_domain(self, lost):
        assert not self._isolated(2, lost)

    def test_not_isolated_if_all_shards_are_local(self):
        assert not self._isolated(3, {"d2", "d3"})
