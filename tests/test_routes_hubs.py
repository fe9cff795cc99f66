"""Choice of hubs, and division of limits in fleets with hubs."""

import asyncio
import random

import pytest

from mallowloft.routes import fleet as fleet_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import relaying
from mallowloft.routes import warming
from tests.support import replicas as replicas_lib
from tests.support import virtual

_HUBS_ABOVE = 20
_SMALL_MBPS = 8.75
_LARGE_MBPS = 70.0


def _members(
    small: int, large: int, domains=("d1", "d2", "d3")
) -> list[hubs_lib.Hub]:
    """Returns the instances of all failure domains.

    Args:
        small: Number of instances with small links in each domain.
        large: Number of instances with large links in each domain.
        domains: The failure domains.
    """
    return [
        hubs_lib.Hub(f"{kind}-{domain}-{number}", "127.0.0.1:1", domain, mbps)
        for domain in domains
        for kind, count, mbps in (
            ("small", small, _SMALL_MBPS),
            ("large", large, _LARGE_MBPS),
        )
        for number in range(count)
    ]


def _holders(hubs, role: str) -> list[hubs_lib.Hub]:
    return [hub for hub in hubs if role in hub.roles]


class TestChooseHubs:
    """Roles are held by a few instances, preferably with large links."""

    def test_small_fleets_have_neither_readers_nor_gatherers(self):
        hubs = hubs_lib.choose_hubs(_members(2, 1), _HUBS_ABOVE)
        assert _holders(hubs, hubs_lib.READER) == []
        assert _holders(hubs, hubs_lib.GATHERER) == []

    def test_small_fleets_have_collectors_in_each_failure_domain(self):
        hubs = hubs_lib.choose_hubs(_members(0, 2), _HUBS_ABOVE)
        collectors = _holders(hubs, hubs_lib.COLLECTOR)
        domains = [hub.failure_domain for hub in collectors]
        assert domains == ["d1", "d1", "d2", "d2", "d3", "d3"]

    def test_small_fleets_in_one_failure_domain_have_only_forwarders(self):
        hubs = hubs_lib.choose_hubs(_members(0, 7, ("d1",)), _HUBS_ABOVE)
        assert [hub.roles for hub in hubs] == [(hubs_lib.FORWARDER,)] * 4

    def test_a_single_instance_has_no_hubs(self):
        assert hubs_lib.choose_hubs(_members(0, 1, ("d1",)), _HUBS_ABOVE) == ()

    def test_each_failure_domain_has_forwarders(self):
        for members, count in ((_members(0, 2), 2), (_members(50, 10), 5)):
            hubs = hubs_lib.choose_hubs(members, _HUBS_ABOVE)
            forwarders = _holders(hubs, hubs_lib.FORWARDER)
            domains = [hub.failure_domain for hub in forwarders]
            assert domains == sorted(["d1", "d2", "d3"] * count)

    @pytest.mark.parametrize(
        "role", [hubs_lib.READER, hubs_lib.GATHERER, hubs_lib.COLLECTOR]
    )
    def test_large_links_are_preferred(self, role):
        hubs = hubs_lib.choose_hubs(_members(18, 2), _HUBS_ABOVE)
        holders = _holders(hubs, role)
        assert len(holders) == 6
        assert {hub.link_mbps for hub in holders} == {_LARGE_MBPS}

    def test_a_failure_domain_without_large_links_has_hubs_too(self):
        members = _members(18, 2, ("d1",)) + _members(18, 0, ("d2",))
        hubs = hubs_lib.choose_hubs(members, _HUBS_ABOVE)
        for role in (hubs_lib.READER, hubs_lib.GATHERER):
            domains = [hub.failure_domain for hub in _holders(hubs, role)]
            assert domains == ["d1", "d1", "d2", "d2"]

    def test_readers_do_not_grow_with_the_fleet(self):
        for size in (20, 60, 300):
            hubs = hubs_lib.choose_hubs(_members(0, size), _HUBS_ABOVE)
            assert len(_holders(hubs, hubs_lib.READER)) == 6

    def test_gatherers_and_collectors_grow_with_the_failure_domain(self):
        counts = []
        for size in (20, 60, 215):
            hubs = hubs_lib.choose_hubs(
                _members(size - 18, 18, ("d1", "d2")), _HUBS_ABOVE
            )
            counts.append(len(_holders(hubs, hubs_lib.GATHERER)) // 2)
            assert len(_holders(hubs, hubs_lib.COLLECTOR)) // 2 >= counts[-1]
        assert counts == [2, 5, 18]

    def test_choice_is_independent_of_order(self):
        members = _members(18, 6)
        assert hubs_lib.choose_hubs(
            members, _HUBS_ABOVE
        ) == hubs_lib.choose_hubs(members[::-1], _HUBS_ABOVE)

    @pytest.mark.parametrize(
        "address", ["", "x", "127.0.0.1", "127.0.0.1:", ":1", "h:0", "h:70000"]
    )
    def test_malformed_addresses_are_recognized(self, address):
        assert hubs_lib.split_address(address) is None

    def test_address_is_split(self):
        assert hubs_lib.split_address("[::1]:80") == ("::1", 80)


def _hubs(instance: str, mbps: float, members) -> hubs_lib.Hubs:
    hubs = hubs_lib.Hubs(instance, "d1", mbps)
    largest_mbps = max(member.link_mbps for member in members)
    small = sum(
        hubs_lib.has_small_link(member.link_mbps, largest_mbps)
        for member in members
    )
    hubs.update(hubs_lib.choose_hubs(members, _HUBS_ABOVE), small)
    return hubs


class TestHubs:
    """Hubs gather answers for instances with small links."""

    def _route(self, shards: int = 90):
        return replicas_lib.route(
            shards=tuple(f"s{number}" for number in range(shards))
        )

    def _run_in_loop(self, test) -> None:
        async def main() -> None:
            test()

        asyncio.run(main())

    def test_only_instances_with_small_links_use_hubs(self):
        def test():
            members = _members(18, 2)
            small = _hubs("small-d1-0", _SMALL_MBPS, members)
            large = _hubs("large-d1-0", _LARGE_MBPS, members)
            assert small.should_gather(self._route())
            assert not small.is_reader
            assert not large.should_gather(self._route())
            assert large.is_reader
            # A small link transfers two parts in time.
            assert not small.should_gather(self._route(2))
            small.close()
            large.close()

        self._run_in_loop(test)

    def test_no_instance_uses_hubs_if_links_are_equal(self):
        def test():
            members = _members(0, 20)
            for member in members:
                hubs = _hubs(member.instance, _LARGE_MBPS, members)
                assert not hubs.should_gather(self._route())
                assert hubs.shard_limit_divisor(len(members)) == len(members)
                hubs.close()

        self._run_in_loop(test)

    def test_parts_of_all_instances_stay_within_the_limit(self):
        def test():
            members = _members(18, 2)
            parts = 0.0
            for member in members:
                hubs = _hubs(member.instance, member.link_mbps, members)
                parts += 1 / hubs.shard_limit_divisor(len(members))
                hubs.close()
            assert parts <= 1.0

        self._run_in_loop(test)


class TestForwarders:
    """Forwarders stay known although a seed has just restarted."""

    def _run(self, main) -> None:
        async def run():
            hubs = hubs_lib.Hubs("small-d1-0", "d1", _SMALL_MBPS)
            members = _members(2, 0)
            hubs.update(hubs_lib.choose_hubs(members, _HUBS_ABOVE), 0)
            await main(hubs, members)
            hubs.close()

        virtual.run(run())

    def _ids(self, hubs) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        return {entry.replica.id for entry in hubs.forwarders(now_s)}

    def test_forwarders_missing_in_a_list_are_kept_for_a_while(self):
        async def main(hubs, members):
            before = self._ids(hubs)
            assert len(before) == 5
            hubs.update((), 0)
            assert self._ids(hubs) == before
            await asyncio.sleep(20.0)
            assert self._ids(hubs) == set()

        self._run(main)

    def test_forwarder_that_is_named_again_keeps_its_connections(self):
        async def main(hubs, members):
            now_s = asyncio.get_running_loop().time()
            before = hubs.forwarders(now_s)
            hubs.update((), 0)
            hubs.update(hubs_lib.choose_hubs(members, _HUBS_ABOVE), 0)
            assert hubs.forwarders(now_s) == before

        self._run(main)

    def test_forwarder_with_another_address_replaces_the_earlier_one(self):
        async def main(hubs, members):
            hubs.update((), 0)
            moved = [
                hubs_lib.Hub(item.instance, "127.0.0.1:2", "d1", 1.0)
                for item in members
            ]
            named = hubs_lib.choose_hubs(moved, _HUBS_ABOVE)
            hubs.update(named, 0)
            now_s = asyncio.get_running_loop().time()
            ports = {
                entry.replica.port
                for entry in hubs.forwarders(now_s)
                if entry.replica.id in {hub.instance for hub in named}
            }
            assert ports == {2}

        self._run(main)


class TestHubsInSummary:
    """Seeds return hubs once they have reports of the whole fleet."""

    def _report(self, member: hubs_lib.Hub, wants_hubs: bool = False):
        return fleet_lib.Report(
            member.instance,
            (),
            member.address,
            member.failure_domain,
            member.link_mbps,
            wants_hubs,
        )

    def _registry(
        self, start_s: float, rounds: int
    ) -> fleet_lib.InstanceRegistry:
        registry = fleet_lib.InstanceRegistry("d1")
        for number in range(rounds):
            for member in _members(18, 2):
                registry.record_report(
                    self._report(member), start_s + 2.0 * number
                )
        return registry

    def test_new_seeds_return_neither_hubs_nor_a_count(self):
        # Guards against a seed that has just started and returns a count of
        # one: the reporting instance would use the limits of the whole fleet.
        registry = fleet_lib.InstanceRegistry("d1")
        member = _members(1, 0)[0]
        summary = registry.record_report(self._report(member), 5.0)
        assert summary.instances == 0
        assert summary.hubs is None

    def test_hubs_are_returned_soon_after_a_fleet_restart(self):
        # Guards against seconds without hubs after a restart of the whole
        # fleet, in which every instance gathers by itself.
        registry = fleet_lib.InstanceRegistry("d1")
        same_domain = _members(1, 0)[0]
        for number, member in enumerate(_members(18, 2)):
            registry.record_report(self._report(member), 1.0 + 0.01 * number)
        summary = registry.record_report(self._report(same_domain), 2.0)
        assert len(_holders(summary.hubs, hubs_lib.GATHERER)) == 6

    def test_a_restarted_seed_waits_for_reports_of_all_instances(self):
        # Guards against hubs chosen among the first few instances that report.
        registry = fleet_lib.InstanceRegistry("d1")
        for number, member in enumerate(_members(18, 2)):
            report = self._report(member, True)
            summary = registry.record_report(report, 1.0 + 0.1 * number)
            assert summary.hubs is None

    def test_hubs_are_returned_in_the_same_domain_or_on_request(self):
        registry = self._registry(0.0, 3)
        same_domain, _, other_domain = (
            _members(1, 0)[number] for number in range(3)
        )
        summary = registry.record_report(self._report(same_domain), 4.1)
        assert len(_holders(summary.hubs, hubs_lib.READER)) == 6
        # Four forwarders in each failure domain, of which two are readers.
        assert len(summary.hubs) == 12
        assert summary.small_links == 54
        assert summary.hub_digest
        assert (
            registry.record_report(self._report(other_domain), 4.1).hubs is None
        )
        assert (
            len(
                registry.record_report(
                    self._report(other_domain, True), 4.1
                ).hubs
            )
            == 12
        )

    def test_instances_without_recent_reports_are_no_hubs(self):
        registry = self._registry(0.0, 3)
        for member in _members(18, 1):
            summary = registry.record_report(self._report(member, True), 12.0)
        large = {
            hub.instance for hub in summary.hubs if hub.link_mbps == _LARGE_MBPS
        }
        assert large == {"large-d1-0", "large-d2-0", "large-d3-0"}


class _Fleet:
    """A fleet as seen by an instance that starts."""

    def __init__(
        self, hubs: hubs_lib.Hubs, seeds_answered: bool, hubs_known: bool
    ) -> None:
        self.hubs = hubs
        self.seeds_answered = seeds_answered
        self.hubs_known = hubs_known


class TestStart:
    """Instances that start together do not all read the source."""

    def _may_call(
        self,
        since_start_s: float,
        first_start: bool,
        members=(),
        instance: str = "small-d1-0",
        seeds_answered: bool = True,
        hubs_known: bool = True,
    ) -> bool:
        async def main() -> bool:
            hubs = hubs_lib.Hubs(instance, "d1", _SMALL_MBPS)
            hubs.update(hubs_lib.choose_hubs(members, _HUBS_ABOVE), 0)
            fleet = _Fleet(hubs, seeds_answered, hubs_known)
            may_call = relaying.may_call_source(
                since_start_s, first_start, fleet
            )
            hubs.close()
            return may_call

        return asyncio.run(main())

    def test_first_start_waits_for_the_readers(self):
        for since_start_s, expected in (
            (0.0, False),
            (2.0, False),
            (4.5, True),
        ):
            assert expected == self._may_call(
                since_start_s, True, seeds_answered=False, hubs_known=False
            )

    def test_readers_read_the_source_at_once(self):
        members = _members(18, 2)
        assert self._may_call(0.0, True, members, "large-d1-0")
        assert not self._may_call(0.0, True, members, "small-d1-0")

    def test_small_fleet_reads_the_source_once_this_is_known(self):
        assert self._may_call(0.0, True, _members(0, 2))

    def test_restarted_instance_waits_for_the_seeds_only(self):
        assert not self._may_call(
            0.03, False, seeds_answered=False, hubs_known=False
        )
        assert self._may_call(
            0.1, False, seeds_answered=False, hubs_known=False
        )

    def test_restart_of_the_whole_fleet_does_not_wait_for_seeds_to_warm_up(
        self,
    ):
        assert self._may_call(0.03, False, hubs_known=False)

    def test_restarted_instance_of_a_large_fleet_asks_a_reader_first(self):
        assert not self._may_call(0.03, False, _members(18, 2))


class _WarmedPool:
    def __init__(self) -> None:
        self.kept_open = False

    def keep_open(self) -> None:
        self.kept_open = True

    def stop_keeping_open(self) -> None:
        self.kept_open = False


class TestWarming:
    """Connections ahead of requests are opened at a limited rate.

    Guards against a fleet that, after a restart of all instances, connects to
    each replica from each instance at once.
    """

    _REPLICAS = 174

    def _opened(self, times_s: list[float], known_after_s: float) -> list[int]:
        """Returns the number of opened pools at given times."""

        async def main() -> list[int]:
            loop = asyncio.get_running_loop()
            warmer = warming.Warmer(random.Random(1))
            pools = [_WarmedPool() for _ in range(self._REPLICAS)]
            for pool in pools:
                warmer.keep_open(pool)
            loop.call_at(known_after_s, warmer.set_hubs_known)
            opened = []
            for time_s in times_s:
                await asyncio.sleep(time_s - loop.time())
                opened.append(sum(pool.kept_open for pool in pools))
            return opened

        return virtual.run(main())

    def test_few_before_the_hubs_are_known(self):
        opened = self._opened([1.01, 2.5], 1.5)
        assert 15 <= opened[0] <= 25
        assert opened[1] == self._REPLICAS

    def test_withdrawn_pools_are_not_opened(self):
        async def main() -> list[bool]:
            warmer = warming.Warmer(random.Random(1))
            pools = [_WarmedPool() for _ in range(10)]
            for pool in pools:
                warmer.keep_open(pool)
            for pool in pools[::2]:
                warmer.stop_keeping_open(pool)
            await asyncio.sleep(2.0)
            return [pool.kept_open for pool in pools]

        assert virtual.run(main()) == [False, True] * 5
