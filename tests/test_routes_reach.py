"""Failure domains out of reach, and callers that are left to others."""

import random

import pytest

from mallowloft.routes import reach
from tests.support import replicas as replicas_lib
from tests.support import virtual


def _fail(domains: reach.DomainReach, name: str, count: int) -> None:
    for number in range(count):
        domains.failed(name, 0.05 * number)


class TestDomainReach:
    """Only a failure domain without any success is lost."""

    def test_lost_after_failures_for_a_while(self):
        domains = reach.DomainReach()
        # All replicas may pause together for a tenth of a second.
        _fail(domains, "d2", 4)
        assert not domains.lost()
        _fail(domains, "d2", 10)
        assert domains.lost() == {"d2"}

    def test_silence_without_requests_is_no_evidence(self):
        # An instance may get no request for half a second after one that met
        # several slow replicas.
        domains = reach.DomainReach()
        for _ in range(20):
            domains.failed("d2", 1.0)
        assert not domains.lost()

    def test_any_success_brings_it_back(self):
        domains = reach.DomainReach()
        _fail(domains, "d2", 10)
        domains.succeeded("d2")
        assert not domains.lost()

    def test_a_few_failures_are_those_of_replicas(self):
        domains = reach.DomainReach()
        domains.failed("d2", 0.0)
        domains.failed("d2", 9.0)
        assert not domains.lost()


class TestIsolated:
    """Callers are left to others only if those can do better."""

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
            instance.directory.use(route.shards, {})
            return reach.isolated([route], instance.directory, "d1", lost)

        return virtual.run(main())

    def test_cut_off_from_all_others(self):
        assert self._isolated(2, {"d2", "d3"})

    @pytest.mark.parametrize("lost", [set(), {"d2"}, {"d1"}])
    def test_one_other_domain_is_enough(self, lost):
        assert not self._isolated(2, lost)

    def test_shards_with_a_replica_here_need_no_other_domain(self):
        assert not self._isolated(3, {"d2", "d3"})
