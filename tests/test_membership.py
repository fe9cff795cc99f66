"""Tests membership, failover, partitions and pauses on virtual time."""

import asyncio
import json
import random

import pytest

from mallowloft import messages
from mallowloft.membership import prober as prober_lib
from mallowloft.membership import service as service_lib
from mallowloft.membership import spread
from mallowloft.membership import view as view_lib
from tests.support import faults
from tests.support import world as world_lib


def _view(world: world_lib.World, instance: str) -> view_lib.View:
    return world.kernels_by_id[instance].plugin("membership").view


def _all_live(world: world_lib.World) -> bool:
    names = set(world.kernels_by_id)
    return all(set(_view(world, name).live()) >= names for name in names)


def _removed_everywhere(
    world: world_lib.World, name: str, *other_killed: str
) -> bool:
    """Whether no surviving instance considers an instance live."""
    return not any(
        name in _view(world, other).live()
        for other in faults.others(world, name, *other_killed)
    )


def _world(seed: int = 1) -> world_lib.World:
    world = world_lib.World(seed)
    world.publish({"/operator/fleet": {}})
    return world


async def _start(count: int, seed: int = 1, domains: int = 3):
    world = _world(seed)
    await world.start(faults.domains(count, domains))
    await faults.until(lambda: _all_live(world), 2.0)
    return world


class TestView:
    """Guards against cached dispatchers that differ from a new computation."""

    def test_cached_dispatcher_is_updated_by_every_change(self):
        rng = random.Random(5)
        view = view_lib.View()
        replicas = [(f"r{n}", f"d{n % 4 + 1}") for n in range(60)]
        states = (view_lib.LIVE, view_lib.SUSPECT, view_lib.LEAVING)
        for _ in range(400):
            number = rng.randrange(9)
            name, domain = f"i{number}", f"d{number % 3 + 1}"
            if rng.random() < 0.1:
                view.remove(name)
            else:
                view.update(
                    view_lib.Member(name, domain, "", 1, rng.choice(states))
                )
            fresh = view_lib.View()
            for member in view.members_by_id.values():
                fresh.update(member)
            for replica, failure_domain in replicas:
                assert view.dispatcher_for(
                    replica, failure_domain
                ) == fresh.dispatcher_for(replica, failure_domain)

    def test_batch_notifies_listeners_once(self):
        view = view_lib.View()
        calls = []
        view.subscribe(lambda: calls.append(1))
        with view.batch():
            for name in "abc":
                view.update(view_lib.Member(name, "d1", "", 0, view_lib.LIVE))
        assert len(calls) == 1


class TestRelayGroups:
    """Guards against receivers that are missed or addressed twice."""

    @pytest.mark.parametrize("count", [0, 1, 32, 33, 214, 859])
    def test_groups_cover_each_receiver_once(self, count):
        receivers = [f"i{n}" for n in range(count)]
        groups = spread.relay_groups(receivers, random.Random(1))
        reached = [
            name for relay, others in groups for name in (relay, *others)
        ]
        assert sorted(reached) == sorted(receivers)
        if count > spread.MAX_DIRECT_RECEIVERS:
            assert len(groups) ** 2 <= count


class TestProber:
    """The deadline of a member starts with the first unanswered ping."""

    def _prober(self) -> prober_lib.Prober:
        view = view_lib.View()
        for name in ("a", "b"):
            view.update(view_lib.Member(name, "d1", "", 1, view_lib.LIVE))
        prober = prober_lib.Prober(view, "a", "d1", random.Random(1))
        assert prober.record_ping("b", 1.0)
        return prober

    def test_repeated_pings_do_not_extend_the_deadline(self):
        prober = self._prober()
        assert not prober.record_ping("b", 1.2)
        assert prober.pop_silent(1.24) == []
        assert prober.pop_silent(1.26) == ["b"]

    def test_overdue_heartbeats_shorten_the_deadline(self):
        """Guards against failover that is delayed by missing heartbeats.

        The time since the last heartbeat was due counts towards the timeout.
        """
        prober = self._prober()
        prober.record_message("b", 1.0)
        assert prober.overdue_targets(1.1) == []
        assert prober.overdue_targets(1.15) == ["b"]
        assert prober.record_ping("b", 1.15)
        assert prober.pop_silent(1.34) == []
        assert prober.pop_silent(1.36) == ["b"]

    def test_any_message_clears_the_deadline(self):
        prober = self._prober()
        prober.record_message("b", 1.1)
        assert prober.pop_silent(2.0) == []

    def test_reset_drops_pings_from_before_a_pause(self):
        prober = self._prober()
        prober.reset()
        assert prober.pop_silent(9.0) == []


class TestListedInstances:
    """The list may be outdated and contain failed instances."""

    async def test_unresponsive_listed_instance_is_not_a_dispatcher(self):
        world = _world()
        world.kernel("ghost", "d1")
        await world.start(faults.domains(6))
        await asyncio.sleep(1.0)
        for name in faults.others(world, "ghost"):
            view = _view(world, name)
            assert view.state_of("ghost") == view_lib.LISTED
            chosen = {view.dispatcher_for(f"r{n}", "d1") for n in range(99)}
            assert chosen == {"i0", "i3"}

    async def test_first_pings_lost_while_connections_open_are_repeated(self):
        """Guards against live instances that stay listed.

        Pings sent before a connection is open are lost.
        """
        world = _world()
        faults.cut(world, "d1", "d2", "d3")
        asyncio.get_running_loop().call_later(
            0.16, world.network.partitions.clear
        )
        await world.start(faults.domains(30))
        assert _all_live(world)

    async def test_unlisted_silent_instance_is_removed(self):
        """Guards against memory growth; 570 instances are replaced per day."""
        world = await _start(8)
        world.kill("i4")
        world.kill("i5")
        del world.kernels_by_id["i4"]
        world.publish_instances()
        await asyncio.sleep(65)
        for name in faults.others(world, "i4", "i5"):
            members = _view(world, name).members_by_id
            assert "i4" not in members
            assert members["i5"].state == view_lib.SUSPECT

    async def test_members_are_discovered_through_peers_during_platform_outage(
        self,
    ):
        world = await _start(8)
        world.platform_down = True
        kernel = world.kernel("new", "d1", peers="i1@d2=tcp://i1")
        await kernel.start()
        await faults.until(lambda: _all_live(world), 1.0)


class TestDump:
    """The state dump for operators is valid JSON."""

    async def test_dump_is_valid_json_for_every_member_state(self):
        world = _world()
        world.kernel("ghost", "d1")
        await world.start(faults.domains(6))
        world.kill("i4")
        await asyncio.sleep(1)
        world.publish({"/teams/a/query": {"min_coverage": 9}})
        await asyncio.sleep(1)
        dump = world.kernels_by_id["i0"].dump()
        text = json.dumps(dump, allow_nan=False)
        assert "min_coverage" in text
        members = dump["plugins"]["membership"]["members"]
        assert members["ghost"]["state"] == view_lib.LISTED
        assert members["i4"]["state"] == view_lib.SUSPECT


class TestFailover:
    """Other instances take over from a killed one within 500 ms."""

    @pytest.mark.parametrize(
        ("count", "domains", "seed"), [(8, 4, 1), (8, 3, 2), (120, 3, 3)]
    )
    async def test_killed_instance_is_removed_from_every_view(
        self, count, domains, seed
    ):
        world = await _start(count, seed, domains)
        killed = list(world.kernels_by_id)[:: max(1, count // 4)]
        for killed_instance in killed:
            world.kill(killed_instance)
            other_killed = killed[: killed.index(killed_instance)]
            await faults.until(
                lambda removed=(killed_instance, *other_killed): (
                    _removed_everywhere(world, *removed)
                ),
                0.5,
            )

    async def test_members_that_fail_together_stay_suspect(self):
        """Guards against the failure of a rack being taken for a partition.

        The suspects would become live again with the next message from their
        failure domain.
        """
        world = await _start(72)
        killed = [n for n, d in faults.domains(72).items() if d == "d2"][:6]
        for killed_instance in killed:
            world.kill(killed_instance)

        def all_removed() -> bool:
            return all(
                _removed_everywhere(world, name, *killed) for name in killed
            )

        await faults.until(all_removed, 0.6)
        for _ in range(100):
            await asyncio.sleep(0.02)
            assert all_removed()

    async def test_failure_of_the_only_instance_of_a_domain_is_detected(self):
        """The instance has no neighbour in its own domain to monitor it."""
        world = _world()
        domains = {f"i{n}": "d1" for n in range(9)}
        domains |= {"alone": "d2", "x": "d3", "y": "d4", "z": "d5"}
        await world.start(domains)
        await asyncio.sleep(0.5)
        world.kill("alone")
        await faults.until(lambda: _removed_everywhere(world, "alone"), 0.5)
        chosen = _view(world, "i0").dispatcher_for("r", "d2")
        assert chosen in faults.others(world, "alone")

    async def test_unreachable_peer_with_outstanding_requests_becomes_suspect(
        self,
    ):
        """A broken link between domains is detected through its requests."""
        world = await _start(9)
        faults.cut(world, "i0", "i1")
        membership = world.kernels_by_id["i0"].plugin("membership")
        membership.monitor("i1")
        await faults.until(lambda: "i1" not in membership.view.live(), 0.5)
        assert all(
            "i1" in _view(world, name).live()
            for name in faults.others(world, "i0")
        )

    async def test_broken_link_affects_only_its_endpoints(self):
        """Guards against a member being removed because of one broken link."""
        world = await _start(9)
        faults.cut(world, "i0", "i3")
        for _ in range(300):
            await asyncio.sleep(0.01)
            for name in faults.others(world, "i0", "i3"):
                live = _view(world, name).live()
                assert {"i0", "i3"} <= set(live)
        assert "i3" not in _view(world, "i0").live()
        assert world.network.messages_by_type["Suspected"] > 0


class TestLeaving:
    """Leaving takes effect immediately and applies to one incarnation."""

    async def test_leaving_takes_effect_within_10_ms(self):
        world = await _start(9)
        kernel = world.kernels_by_id["i4"]
        kernel.plugin("submissions").successor = lambda: "i1"
        stopping = asyncio.create_task(kernel.stop(1.0))
        await faults.until(
            lambda: all(
                _view(world, name).state_of("i4") == view_lib.LEAVING
                for name in faults.others(world, "i4")
            ),
            0.01,
            0.001,
        )
        membership = world.kernels_by_id["i1"].plugin("membership")
        assert membership.successor_of("i4") == "i1"
        await stopping

    async def test_leaving_state_is_set_before_plug_ins_stop(self):
        world = await _start(6)
        kernel = world.kernels_by_id["i4"]
        states_at_stop = []

        async def stop(grace_s):
            membership = kernel.plugin("membership")
            states_at_stop.append(membership.view.state_of("i4"))

        kernel.plugin("submissions").stop = stop
        await kernel.stop(1.0)
        assert states_at_stop == [view_lib.LEAVING]

    async def test_restarted_instance_is_live_and_old_messages_are_ignored(
        self,
    ):
        world = await _start(9)
        old = world.kernels_by_id["i4"].incarnation
        await world.kernels_by_id["i4"].stop(0.1)
        kernel = await faults.restart(world, "i4")
        await faults.until(lambda: _all_live(world), 1.0)
        for name in faults.others(world, "i4"):
            membership = world.kernels_by_id[name].plugin("membership")
            membership.record_message("i4", old)
            member = membership.view.members_by_id["i4"]
            assert member.incarnation == kernel.incarnation
            assert member.state == view_lib.LIVE

    async def test_leaving_state_in_the_list_is_applied_and_reverted(self):
        world = await _start(9)
        world.publish_instances("i4")
        await faults.until(lambda: _removed_everywhere(world, "i4"), 1.5)
        world.publish_instances()
        await faults.until(lambda: _all_live(world), 1.5)


class TestPartition:
    """A partitioned domain becomes suspect and recovers automatically."""

    async def test_partitioned_domain_is_suspect_until_reconnected(self):
        world = await _start(45)
        faults.cut(world, "d1", "d2", "d3")
        partitioned = [n for n, d in faults.domains(45).items() if d == "d1"]
        rest = faults.others(world, *partitioned)
        await faults.until(
            lambda: all(
                set(_view(world, name).live()) == set(side)
                for side in (partitioned, rest)
                for name in side
            ),
            2.5,
        )
        await asyncio.sleep(2)
        world.network.partitions.clear()
        await faults.until(lambda: _all_live(world), 0.3)

    async def test_isolated_instance_rejoins(self):
        world = await _start(9)
        faults.cut(world, "i2", *faults.others(world, "i2"))
        await asyncio.sleep(65)
        assert _view(world, "i2").live() == ["i2"]
        world.network.partitions.clear()
        await faults.until(lambda: _all_live(world), 3.0)


class TestPause:
    """A resumed process discards all evidence from before the pause."""

    async def _freeze(self, count: int):
        world = _world()
        await world.start(faults.domains(count))
        kernel = await faults.join_and_freeze(world, "p")
        await asyncio.sleep(3.0)
        return world, kernel

    async def test_not_ready_until_a_peer_has_answered(self):
        world, kernel = await self._freeze(9)
        assert "p" not in _view(world, "i0").live()
        world.kill("i0")
        faults.resume(world, "p")
        assert not kernel.ready()
        await faults.until(kernel.ready, 1.0)
        assert "i0" not in _view(world, "p").live()
        rest = faults.others(world, "i0")
        assert set(_view(world, "p").live()) >= set(rest)
        await faults.until(
            lambda: all("p" in _view(world, name).live() for name in rest), 1.0
        )

    async def test_silence_during_a_pause_does_not_cause_suspicion(self):
        world, kernel = await self._freeze(9)
        faults.resume(world, "p")
        await asyncio.sleep(1.0)
        counted = kernel.metrics.counter_value(
            "member_transitions", state=view_lib.SUSPECT
        )
        assert counted == 0

    async def test_isolated_instance_is_ready_again_after_a_delay(self):
        world, kernel = await self._freeze(3)
        world.platform_down = True
        # An answer sent before the pause must not count.
        stale = messages.Pong(1, 0.0, bytes(16), True)
        world.kernels_by_id["i0"].plugin("peers").send("p", stale)
        await asyncio.sleep(0.01)
        faults.resume(world, "p")
        faults.cut(world, "p", *faults.others(world, "p"))
        waited_s = await faults.until(kernel.ready, 4.0)
        assert waited_s > 0.5


class TestCost:
    """Control traffic per instance is independent of the fleet size."""

    async def test_suspicion_is_broadcast_only_by_monitors(self):
        """Guards against messages that grow with the square of the fleet.

        This happens if every receiver of a report broadcasts it again.
        """
        world = await _start(60)
        world.network.messages_by_type.clear()
        world.kill("i4")
        await asyncio.sleep(1)
        # The two ring neighbours and the members whose round included i4.
        assert 1 <= world.network.messages_by_type["Suspected"] / 58 <= 8

    @pytest.mark.parametrize("count", [9, 45])
    async def test_list_reads_grow_with_failure_domains(self, count):
        world = await _start(count)
        before = world.calls_by_name["instances"]
        await asyncio.sleep(10)
        assert world.calls_by_name["instances"] - before == 60

    @pytest.mark.parametrize(("count", "limit"), [(6, 70), (60, 110)])
    async def test_message_rate_of_an_idle_instance_is_bounded(
        self, count, limit, monkeypatch
    ):
        """Guards against frequent messages.

        Each message wakes a process, which costs more than its content.
        """
        checks = []
        check = service_lib.MembershipService._check_deadlines
        monkeypatch.setattr(
            service_lib.MembershipService,
            "_check_deadlines",
            lambda *arguments: checks.append(check(*arguments)),
        )
        world = await _start(count)
        await asyncio.sleep(2)
        world.network.messages_by_type.clear()
        checks.clear()
        await asyncio.sleep(4)
        sent = sum(world.network.messages_by_type.values())
        assert 2 * sent / count / 4 <= limit
        # No timers are started for answered pings.
        assert not checks

    async def test_bytes_sent_per_instance_are_bounded(self):
        world = await _start(60)
        world.network.bytes_sent_by_instance.clear()
        await asyncio.sleep(4)
        assert max(world.network.bytes_sent_by_instance.values()) / 4 < 19_000
