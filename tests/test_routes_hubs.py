"""Which instances are hubs, and how limits are divided with them."""

import asyncio

from mallowloft.routes import fleet as fleet_lib
from mallowloft.routes import hubs as hubs_lib
from tests.support import replicas as replicas_lib

_ABOVE = 20
_SMALL_MBPS = 8.75
_LARGE_MBPS = 70.0


def _members(
    small: int, large: int, domains=("d1", "d2", "d3")
) -> list[hubs_lib.Hub]:
    """Returns so many instances of each failure domain."""
    return [
        hubs_lib.Hub(f"{kind}-{domain}-{number}", "127.0.0.1:1", domain, mbps)
        for domain in domains
        for kind, count, mbps in (
            ("small", small, _SMALL_MBPS),
            ("large", large, _LARGE_MBPS),
        )
        for number in range(count)
    ]


class TestChoice:
    """A few instances of each failure domain, those with large links."""

    def test_small_fleets_have_none(self):
        assert hubs_lib.choose(_members(2, 1), _ABOVE) == ()

    def test_large_links_come_first(self):
        hubs = hubs_lib.choose(_members(18, 2), _ABOVE)
        assert len(hubs) == 6
        assert {hub.link_mbps for hub in hubs} == {_LARGE_MBPS}

    def test_a_failure_domain_without_large_links_has_hubs_too(self):
        members = _members(18, 2, ("d1",)) + _members(18, 0, ("d2",))
        domains = [
            hub.failure_domain for hub in hubs_lib.choose(members, _ABOVE)
        ]
        assert domains == ["d1", "d1", "d2", "d2"]

    def test_few_of_many_large_links(self):
        assert len(hubs_lib.choose(_members(0, 20), _ABOVE)) == 12

    def test_seeds_choose_alike_in_any_order(self):
        members = _members(18, 6)
        assert hubs_lib.choose(members, _ABOVE) == hubs_lib.choose(
            members[::-1], _ABOVE
        )


def _hubs(instance: str, mbps: float, members) -> hubs_lib.Hubs:
    hubs = hubs_lib.Hubs(instance, "d1", mbps)
    largest_mbps = max(member.link_mbps for member in members)
    small = sum(
        hubs_lib.has_small_link(member.link_mbps, largest_mbps)
        for member in members
    )
    hubs.use(hubs_lib.choose(members, _ABOVE), small)
    return hubs


class TestUse:
    """Instances with small links leave gathering to hubs."""

    def _route(self, shards: int = 90):
        return replicas_lib.route(
            shards=tuple(f"s{number}" for number in range(shards))
        )

    def _run(self, test) -> None:
        async def main() -> None:
            test()

        asyncio.run(main())

    def test_small_links_only(self):
        def test():
            members = _members(18, 2)
            small = _hubs("small-d1-0", _SMALL_MBPS, members)
            large = _hubs("large-d1-0", _LARGE_MBPS, members)
            assert small.gather_for(self._route())
            assert not small.is_hub
            assert not large.gather_for(self._route())
            assert large.is_hub
            # Two parts pass a small link in time.
            assert not small.gather_for(self._route(2))
            small.close()
            large.close()

        self._run(test)

    def test_nobody_where_links_are_alike(self):
        def test():
            members = _members(0, 20)
            for member in members:
                hubs = _hubs(member.instance, _LARGE_MBPS, members)
                assert not hubs.gather_for(self._route())
                assert hubs.sharers(len(members)) == len(members)
                hubs.close()

        self._run(test)

    def test_parts_of_all_instances_are_no_more_than_the_whole(self):
        def test():
            members = _members(18, 2)
            parts = 0.0
            for member in members:
                hubs = _hubs(member.instance, member.link_mbps, members)
                parts += 1 / hubs.sharers(len(members))
                hubs.close()
            assert parts <= 1.0

        self._run(test)


class TestCensusOfHubs:
    """Seeds name hubs once they know the fleet."""

    def _report(self, member: hubs_lib.Hub, wants: bool = False):
        return fleet_lib.Report(
            member.instance,
            (),
            member.address,
            member.failure_domain,
            member.link_mbps,
            wants,
        )

    def _census(self, start_s: float, rounds: int) -> fleet_lib.Census:
        census = fleet_lib.Census("d1")
        for number in range(rounds):
            for member in _members(18, 2):
                census.report(self._report(member), start_s + 2.0 * number)
        return census

    def test_young_seeds_name_none_and_count_no_less_than_is_usual(self):
        # Guards against a seed that just started: one that reports to it
        # first would take the limits of the whole fleet.
        census = fleet_lib.Census("d1")
        member = _members(1, 0)[0]
        summary = census.report(self._report(member), 5.0)
        assert summary.instances == 8
        assert summary.hubs is None

    def test_named_soon_after_the_whole_fleet_has_started(self):
        # Guards against seconds in which each instance gathers by itself
        # after a loss of all.
        census = fleet_lib.Census("d1")
        near = _members(1, 0)[0]
        for number, member in enumerate(_members(18, 2)):
            census.report(self._report(member), 1.0 + 0.02 * number)
        assert len(census.report(self._report(near), 2.3).hubs) == 6

    def test_named_to_the_own_failure_domain_and_to_those_who_ask(self):
        census = self._census(0.0, 3)
        near, _, far = (_members(1, 0)[number] for number in range(3))
        summary = census.report(self._report(near), 4.1)
        assert len(summary.hubs) == 6
        assert summary.small_links == 54
        assert census.report(self._report(far), 4.1).hubs is None
        assert len(census.report(self._report(far, True), 4.1).hubs) == 6

    def test_instances_that_are_gone_are_no_hubs(self):
        census = self._census(0.0, 3)
        for member in _members(18, 1):
            summary = census.report(self._report(member, True), 12.0)
        large = {
            hub.instance for hub in summary.hubs if hub.link_mbps == _LARGE_MBPS
        }
        assert large == {"large-d1-0", "large-d2-0", "large-d3-0"}
