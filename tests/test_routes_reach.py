"""Detection of unreachable failure domains and of isolation."""

import itertools
import random

import pytest

from mallowloft.routes import reach
from mallowloft.upstream import http1
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

    def test_replica_that_is_asked_often_is_no_domain(self):
        domains = reach.DomainReachability()
        domains.count_by_domain = lambda: {"d2": 9}
        for step in range(100):
            domains.direct_failed("d2", 0.1 * step, "r1")
        assert not domains.unreachable_domains()
        assert not domains.links_lost

    def test_only_replica_of_a_domain_shows_its_loss(self):
        domains = reach.DomainReachability()
        domains.count_by_domain = lambda: {"d2": 1}
        for step in range(10):
            domains.direct_failed("d2", 0.05 * step, "r1")
        assert domains.unreachable_domains() == {"d2"}

    def _lost_s(self, domains: reach.DomainReachability, **fields) -> float:
        """Returns after how many seconds of failures a domain is lost."""
        for step in range(100):
            domains.failed("d2", 0.05 * step, **fields)
            if domains.unreachable_domains():
                return 0.05 * step
        return float("inf")

    def test_acknowledged_requests_are_lost_only_after_long_silence(self):
        # Guards against taking replicas that are slower than usual for lost.
        assert self._lost_s(reach.DomainReachability()) < 0.5
        domains = reach.DomainReachability()
        domains.failed("d2", 0.0)
        exchange = http1.Exchange(b"", lambda *_: None)
        assert domains.watch("d2", exchange, 0.0)
        assert not domains.watch(
            "d2", http1.Exchange(b"", lambda *_: None), 0.0
        )
        assert 1.0 < self._lost_s(domains, acknowledged=True) < 1.5

    def test_short_acknowledged_requests_never_show_a_loss(self):
        # Guards against attempts that are given up before the reply arrives.
        domains = reach.DomainReachability()
        assert self._lost_s(domains, acknowledged=True) == float("inf")

    def test_losses_that_data_refuted_make_the_next_one_later(self):
        domains = reach.DomainReachability()
        lost_after_s = []
        start_s = 0.0
        for _ in range(8):
            step = 0
            while not domains.unreachable_domains():
                step += 1
                domains.failed("d2", start_s + 0.05 * step)
            lost_after_s.append(0.05 * step)
            start_s += lost_after_s[-1]
            domains.succeeded("d2")
        assert lost_after_s[0] < 0.5
        assert lost_after_s[0] < lost_after_s[1] < min(lost_after_s[2:])
        assert min(lost_after_s[2:]) > 1.0
        assert max(lost_after_s) < 2.0

    def test_losses_long_ago_do_not_delay_the_next_one(self):
        domains = reach.DomainReachability()
        for _ in range(5):
            _fail(domains, "d2", 40)
            domains.succeeded("d2")
        for step in range(10):
            domains.failed("d2", 60.0 + 0.05 * step)
        assert domains.unreachable_domains() == {"d2"}

    def test_new_connections_without_data_rarely_make_a_domain_reachable(self):
        # Guards against changes at each check while connections are
        # established but no data passes.
        domains = reach.DomainReachability()
        states = []
        for step in range(2000):
            now_s = 0.01 * step
            if step % 5 == 0:
                domains.failed("d2", now_s)
            domains.connected("d2", now_s)
            states.append(bool(domains.unreachable_domains()))
        changes = sum(a != b for a, b in itertools.pairwise(states))
        assert 8 <= changes <= 14
        assert sum(states) > 1200

    def test_new_connection_makes_a_domain_reachable_soon(self):
        domains = reach.DomainReachability()
        _fail(domains, "d2", 10)
        domains.connected("d2", 0.5)
        assert domains.unreachable_domains() == {"d2"}
        domains.update(1.0)
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

    def test_one_slow_domain_does_not_mean_that_the_links_are_lost(self):
        domains = reach.DomainReachability()
        domains.count_by_domain = lambda: {"d1": 9, "d2": 9}
        for step in range(20):
            domains.direct_failed("d1", 0.05 * step)
        assert domains.unreachable_domains() == {"d1"}
        assert not domains.links_lost
        for step in range(20, 24):
            domains.direct_failed("d2", 0.05 * step)
        assert domains.links_lost

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
