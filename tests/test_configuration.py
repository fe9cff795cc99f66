"""Tests validation, distribution and monotonicity of the configuration."""

import asyncio
import copy
import random
from typing import Any

import pytest

from mallowloft import messages
from mallowloft.configuration import acceptance
from mallowloft.configuration import model
from mallowloft.configuration import platform as platform_lib
from mallowloft.configuration import store as store_lib
from tests.support import faults
from tests.support import world as world_lib


def _document(path: str, revision: int, value: Any) -> messages.Document:
    return messages.Document(path, revision, value)


def _offer(store: store_lib.Store, *documents: messages.Document) -> None:
    store.merge(platform_lib.group_by_subtree(documents, acceptance.subtree_of))


def _service(*replicas: str, index: str = "main") -> dict[str, Any]:
    return {
        "index": index,
        "replicas": [
            {"id": name, "url": f"http://{name}", "failure_domain": "d1"}
            for name in replicas
        ],
    }


def _store(world: world_lib.World, instance: str) -> store_lib.Store:
    return world.kernels_by_id[instance].plugin("configuration").store


def _all_hold(world: world_lib.World, names: list[str], revision: int) -> bool:
    return all(
        _store(world, name).current.revision >= revision for name in names
    )


async def _wait_until_applied(
    world: world_lib.World, limit_s: float, names: list[str] | None = None
) -> None:
    """Waits until instances, by default all, have the newest revision."""
    names = names or list(world.kernels_by_id)
    await faults.until(lambda: _all_hold(world, names, world.revision), limit_s)


def _coverage(world: world_lib.World, instance: str) -> float:
    """Returns an instance's value of the setting that `_change` publishes."""
    queries = _store(world, instance).current.queries_by_team
    return queries["hunters"].min_coverage


def _push(
    world: world_lib.World,
    sender: str,
    receiver: str,
    document: messages.Document,
    relay_to: tuple[str, ...] = (),
) -> None:
    """Sends a document like a peer that has accepted it."""
    subtree = messages.ConfigSubtree(
        acceptance.subtree_of(document.path), document.revision, (document,)
    )
    push = messages.ConfigSubtrees((subtree,), relay_to)
    world.kernels_by_id[sender].plugin("peers").send(receiver, push)


def _watchers(world: world_lib.World, domain: str | None = None) -> list[str]:
    return [
        name
        for name, kernel in world.kernels_by_id.items()
        if kernel.plugin("configuration").dump()["watching"]
        and domain in (None, kernel.settings.failure_domain)
    ]


async def _start(count: int, seed: int = 1) -> world_lib.World:
    world = world_lib.World(seed)
    world.publish({"/operator/fleet": {}})
    world.publish_team("hunters", "paying", min_coverage=0.1)
    await world.start(faults.domains(count))
    await asyncio.sleep(0.5)
    return world


def _change(world: world_lib.World, value: float) -> int:
    return world.publish({"/teams/hunters/query": {"min_coverage": value}})


def _ignore_ping_digests(world: world_lib.World) -> None:
    """Leaves only pushes and periodic digests to distribute changes."""
    for kernel in world.kernels_by_id.values():
        kernel.plugin("configuration").compare_digest = lambda *_: None


class _RevisionMonitor:
    """Records each decrease of an accepted revision."""

    def __init__(self, world: world_lib.World) -> None:
        self.decreases: list[str] = []
        for name in world.kernels_by_id:
            self.observe(world, name)

    def observe(self, world: world_lib.World, instance: str) -> None:
        """Starts to monitor the store of an instance."""
        store = _store(world, instance)
        held = dict(store.revision_by_subtree)

        def check(snapshot: model.Snapshot) -> None:
            del snapshot
            current = store.revision_by_subtree
            for subtree, revision in held.items():
                if current.get(subtree, 0) < revision:
                    self.decreases.append(f"{instance} {subtree}")
            held.update(current)

        store.subscribe(check)


@pytest.fixture
def second_team_document():
    """Registers a second document type in the subtree of each team."""
    pattern = r"/teams/[^/]+/second"
    acceptance.document_types.by_name[pattern] = model.TeamQuery
    yield "/teams/hunters/second"
    del acceptance.document_types.by_name[pattern]


class TestStore:
    """Partial and whole results lead to the content of the service."""

    def test_partial_result_keeps_unchanged_documents(
        self, second_team_document
    ):
        store = store_lib.Store()
        _offer(
            store,
            _document("/teams/hunters/query", 1, {"min_coverage": 0.5}),
            _document(second_team_document, 2, {}),
        )
        _offer(store, _document(second_team_document, 3, {"prefer": "time"}))
        assert store.current.queries_by_team["hunters"].min_coverage == 0.5
        (subtree,) = store.subtrees(["/teams/hunters"])
        assert [item.revision for item in subtree.documents] == [1, 3]

    def test_repair_uses_documents_of_the_rejected_update(
        self, second_team_document
    ):
        """Guards against losing valid documents of a rejected subtree."""
        store = store_lib.Store()
        _offer(store, _document("/teams/hunters/query", 1, {}))
        _offer(
            store,
            _document("/teams/hunters/query", 2, {"min_coverage": 0.7}),
            _document(second_team_document, 2, {"min_coverage": 7}),
        )
        assert store.current.queries_by_team["hunters"].min_coverage == 0.0
        assert store.rejections_by_subtree["/teams/hunters"].revision == 2
        _offer(store, _document(second_team_document, 3, {}))
        assert store.current.queries_by_team["hunters"].min_coverage == 0.7
        assert not store.rejections_by_subtree

    def test_state_is_independent_of_order_and_grouping(
        self, second_team_document
    ):
        rng = random.Random(3)
        paths = ["/teams/hunters/query", second_team_document]
        paths += [f"/operator/services/s{n}" for n in range(4)]
        documents = []
        for revision in range(1, 40):
            path = rng.choice(paths)
            value: Any = None
            if rng.random() < 0.8 and path.startswith("/teams"):
                value = {"min_coverage": rng.choice([0.1, 0.2, 3])}
            elif rng.random() < 0.8:
                value = _service(f"r{rng.randrange(6)}", "x" + path[-2:])
            documents.append(_document(path, revision, value))
        newest = {document.path: document for document in documents}
        whole = store_lib.Store()
        _offer(whole, *newest.values())
        for _ in range(20):
            store = store_lib.Store()
            shuffled = list(newest.values())
            rng.shuffle(shuffled)
            while shuffled:
                count = rng.randrange(1, 4)
                _offer(store, *shuffled[:count])
                del shuffled[:count]
            assert store.digest == whole.digest
            assert store.current == whole.current

    def test_incremental_snapshot_equals_a_fresh_one(self):
        """Covers replicas that move between services and repeated ids."""
        rng = random.Random(4)
        store = store_lib.Store()
        for revision in range(1, 150):
            name = f"/operator/services/s{rng.randrange(5)}"
            ids = rng.sample([f"r{n}" for n in range(12)], rng.randrange(1, 4))
            value = None if rng.random() < 0.2 else _service(*ids)
            _offer(store, _document(name, revision, value))
            fresh = store_lib.Store()
            fresh.merge(store.subtrees(store.revision_by_subtree))
            assert fresh.current == store.current
            assert fresh.digest == store.digest

    def test_older_revision_is_ignored(self):
        store = store_lib.Store()
        _offer(store, _document("/operator/fleet", 5, {"min_share": 0.1}))
        digest = store.digest
        _offer(store, _document("/operator/fleet", 4, {"min_share": 0.9}))
        assert store.current.fleet.min_share == 0.1
        assert store.digest == digest

    def test_deleted_document_is_not_restored_by_an_older_revision(self):
        store = store_lib.Store()
        path = "/operator/services/a"
        _offer(store, _document(path, 1, _service("r1")))
        _offer(store, _document(path, 2, None))
        _offer(store, _document(path, 1, _service("r1")))
        assert not store.current.services_by_name
        assert not store.current.replicas_by_id
        assert store.current.revision == 2

    def test_reused_revision_is_resolved_independently_of_order(self):
        """A service restored from a backup assigns revisions a second time."""
        offers = [
            _document("/operator/fleet", 5, {"min_share": share})
            for share in (0.1, 0.2)
        ]
        digests = set()
        for order in (offers, offers[::-1]):
            store = store_lib.Store()
            for document in order:
                _offer(store, document)
            digests.add(store.digest)
        assert len(digests) == 1

    def test_document_of_another_subtree_is_ignored(self):
        """Guards against a message that changes documents of other subtrees."""
        store = store_lib.Store()
        foreign = _document("/operator/fleet", 9, {"min_share": 0.9})
        store.merge([messages.ConfigSubtree("/teams/a", 9, (foreign,))])
        assert store.current.fleet.min_share == model.Fleet().min_share

    def test_failing_listener_does_not_stop_the_others(self):
        store = store_lib.Store()
        seen = []
        store.subscribe(lambda snapshot: 1 / 0)
        store.subscribe(lambda snapshot: seen.append(snapshot.revision))
        _offer(store, _document("/operator/fleet", 5, {}))
        assert seen == [5]


class TestDistribution:
    """A change is applied at all reachable instances within 1 s."""

    @pytest.mark.parametrize(("count", "seed"), [(9, 1), (120, 2)])
    async def test_change_reaches_all_instances(self, count, seed):
        world = await _start(count, seed)
        for value in (0.2, 0.3):
            _change(world, value)
            await _wait_until_applied(world, 0.1)
            for name in world.kernels_by_id:
                assert _coverage(world, name) == value

    @pytest.mark.parametrize(("muted", "limit_s"), [(False, 0.35), (True, 3.0)])
    async def test_lost_pushes_are_recovered(self, muted, limit_s):
        """Guards against an instance that stays outdated after lost pushes."""
        world = await _start(30)
        if muted:
            _ignore_ping_digests(world)
        cut_off_instance = faults.others(world, *_watchers(world))[0]
        faults.cut(
            world, cut_off_instance, *faults.others(world, cut_off_instance)
        )
        revision = _change(world, 0.4)
        await asyncio.sleep(0.1)
        assert not _all_hold(world, [cut_off_instance], revision)
        world.network.partitions.clear()
        await _wait_until_applied(world, limit_s, [cut_off_instance])

    async def test_killed_watchers_are_replaced(self):
        world = await _start(30)
        killed = _watchers(world, "d1")
        assert len(killed) == 2
        for name in killed:
            world.kill(name)
        _change(world, 0.5)
        rest = faults.others(world, *killed)
        await _wait_until_applied(world, 3.0, rest)
        await asyncio.sleep(1.0)
        assert len(set(_watchers(world, "d1")) - set(killed)) == 2
        # The new watchers call the service themselves: their domain follows
        # the service even when it is cut off from the other domains.
        faults.cut(world, "d1", "d2", "d3")
        _change(world, 0.6)
        await _wait_until_applied(world, 1.0, rest)

    async def test_domain_without_service_is_updated_by_other_domains(self):
        """Watchers of the other domains push changes to the domain."""
        world = await _start(30)
        _ignore_ping_digests(world)
        cut_off = [n for n, d in faults.domains(30).items() if d == "d1"]
        world.platform_cut.update(cut_off)
        await asyncio.sleep(0.1)
        _change(world, 0.5)
        await _wait_until_applied(world, 1.0)

    async def test_cut_off_instances_stay_ready_and_catch_up(self):
        world = await _start(18)
        cut_off = [n for n, d in faults.domains(18).items() if d == "d1"]
        faults.cut(world, "d1", "d2", "d3")
        world.platform_cut.update(cut_off)
        old = world.revision
        revision = _change(world, 0.5)
        await asyncio.sleep(5)
        assert _all_hold(world, faults.others(world, *cut_off), revision)
        for name in cut_off:
            assert world.kernels_by_id[name].ready()
            assert _store(world, name).current.revision == old
        world.network.partitions.clear()
        await _wait_until_applied(world, 2.0, cut_off)

    async def test_receiver_validates_pushed_documents(self):
        world = await _start(6)
        bad = _document("/teams/hunters/query", 99, {"min_coverage": 9})
        _push(world, "i0", "i3", bad, ("i2", "i5"))
        await asyncio.sleep(1)
        for name in world.kernels_by_id:
            held = _store(world, name).revision_by_subtree
            assert held["/teams/hunters"] < 99
        for name in ("i2", "i5"):
            # An instance does not forward documents that it rejects.
            assert not _store(world, name).rejections_by_subtree


class TestMonotonicRevisions:
    """Accepted revisions never decrease."""

    @pytest.mark.parametrize("fault", ["stale", "outage", "restored"])
    async def test_rolling_restart_keeps_accepted_revisions(self, fault):
        world = await _start(9)
        old_documents = copy.copy(world.documents_by_path)
        old_revision = world.revision
        revision = _change(world, 0.5)
        await _wait_until_applied(world, 1.0)
        if fault == "stale":
            world.stale_revision = old_revision
        elif fault == "outage":
            world.platform_down = True
        else:
            world.documents_by_path = old_documents
            world.revision = old_revision
        monitor = _RevisionMonitor(world)
        # Without the list a restarted instance finds peers by its settings.
        peers = "i0@d1=tcp://i0,i1@d2=tcp://i1" if fault == "outage" else ""
        for name, domain in faults.domains(9).items():
            world.kill(name)
            kernel = world.kernel(name, domain, peers=peers)
            await world.run_at(name, kernel.start())
            await faults.until(kernel.ready, 5.0)
            assert _all_hold(world, [name], revision)
            monitor.observe(world, name)
        assert monitor.decreases == []

    async def test_changes_of_a_restored_service_are_applied(self):
        """Guards against ignored changes below the previous revision."""
        world = await _start(6)
        old_documents = copy.copy(world.documents_by_path)
        old_revision = world.revision
        for value in (0.5, 0.6, 0.7):
            _change(world, value)
        names = list(world.kernels_by_id)
        await _wait_until_applied(world, 1.0)
        world.documents_by_path = old_documents
        world.revision = old_revision
        await asyncio.sleep(35)
        world.publish_team("late", "paying")
        await faults.until(
            lambda: all(
                "late" in _store(world, name).current.teams_by_name
                for name in names
            ),
            1.0,
        )
        assert {_coverage(world, name) for name in names} == {0.7}

    async def test_late_and_duplicated_messages_keep_revisions(self):
        world = await _start(12)
        world.network.duplicate_share = 0.5
        world.network.jitter_s = 0.3
        monitor = _RevisionMonitor(world)
        for number in range(20):
            _change(world, number / 20)
            await asyncio.sleep(0.05)
        await _wait_until_applied(world, 2.0)
        assert monitor.decreases == []

    async def test_partition_with_changes_on_one_side_converges(self):
        world = await _start(9)
        monitor = _RevisionMonitor(world)
        cut_off = [n for n, d in faults.domains(9).items() if d == "d1"]
        for _ in range(3):
            faults.cut(world, "d1", "d2", "d3")
            world.platform_cut.update(cut_off)
            _change(world, world.rng.random())
            await asyncio.sleep(2)
            world.network.partitions.clear()
            world.platform_cut.clear()
            await _wait_until_applied(world, 5.0)
        assert len({_store(world, n).digest for n in world.kernels_by_id}) == 1
        assert monitor.decreases == []


class TestFaultySubtree:
    """An invalid change of one team affects only that change."""

    async def test_team_keeps_its_last_accepted_revision(self):
        world = await _start(9)
        world.publish_team("shop", "paying", min_coverage=0.1)
        names = list(world.kernels_by_id)
        await _wait_until_applied(world, 1.0)
        world.publish(
            {
                "/teams/hunters/query": {"min_coverage": 9},
                "/teams/shop/query": {"min_coverage": 0.6},
            }
        )
        await asyncio.sleep(1.0)
        for name in names:
            queries = _store(world, name).current.queries_by_team
            assert queries["shop"].min_coverage == 0.6
            assert _coverage(world, name) == 0.1
        # A restarted instance loads the last accepted revision from peers.
        kernel = await faults.restart(world, "i0")
        await faults.until(kernel.ready, 3.0)
        assert _coverage(world, "i0") == 0.1
        _change(world, 0.4)
        await faults.until(
            lambda: all(_coverage(world, name) == 0.4 for name in names), 1.0
        )


class TestConcurrentChanges:
    """Concurrent changes of operators converge on all instances."""

    async def test_watchers_with_different_changes_converge(self):
        world = await _start(12)
        names = list(world.kernels_by_id)
        domains = faults.domains(12)
        for number in range(6):
            lagging = f"d{number % 3 + 1}"
            cut = [n for n in names if domains[n] == lagging]
            _change(world, 0.01 * number)
            world.platform_cut.update(cut)
            _change(world, 0.5 + 0.01 * number)
            world.publish_team("shop", "paying", min_coverage=0.2)
            await asyncio.sleep(0.02)
            world.platform_cut.clear()
        await _wait_until_applied(world, 1.0)
        assert len({_store(world, name).digest for name in names}) == 1
        assert _coverage(world, "i0") == 0.55


class TestStartingInstance:
    """An instance starts with the highest reachable revision and few calls."""

    async def test_ready_only_after_loading_the_whole_configuration(self):
        world = await _start(9)
        for number in range(30):
            world.publish_team(f"t{number}", "paying", min_coverage=0.1)
        await _wait_until_applied(world, 1.0)
        world.stale_revision = 1
        # Jitter reorders answers and the content that follows them.
        world.network.jitter_s = 0.05
        await world.start_instance("new", "d1")
        kernel = world.kernels_by_id["new"]
        while not kernel.ready():
            await asyncio.sleep(0.002)
        assert len(_store(world, "new").current.teams_by_name) == 31

    async def test_starting_instance_that_is_no_watcher_does_not_read(self):
        world = await _start(30)
        cut_off_instance = faults.others(world, *_watchers(world))[0]
        before = dict(world.calls_by_name)
        kernel = await faults.restart(world, cut_off_instance)
        await faults.until(kernel.ready, 3.0)
        assert world.calls_by_name["read"] == before["read"]

    async def test_reads_the_service_when_no_peer_answers(self):
        world = await _start(6)
        faults.cut(world, "new", *faults.others(world))
        await world.start_instance("new", "d1")
        kernel = world.kernels_by_id["new"]
        await faults.until(kernel.ready, 5.0)
        assert _all_hold(world, ["new"], world.revision)

    async def test_not_ready_without_any_configuration(self):
        world = world_lib.World()
        world.platform_down = True
        await world.start_instance("new", "d1")
        kernel = world.kernels_by_id["new"]
        await asyncio.sleep(10)
        assert not kernel.ready()
        world.freeze("new")
        await asyncio.sleep(2)
        faults.resume(world, "new")
        await asyncio.sleep(5)
        assert not kernel.ready()
        world.platform_down = False
        world.publish({"/operator/fleet": {}})
        await faults.until(kernel.ready, 20.0)

    async def test_push_alone_does_not_make_an_instance_ready(self):
        """Guards against readiness with a partial configuration."""
        world = world_lib.World()
        world.platform_down = True
        for name, peer in (("a", "b"), ("b", "a")):
            kernel = world.kernel(name, "d1", peers=f"{peer}@d1=tcp://{peer}")
            await kernel.start()
        await asyncio.sleep(1)
        _push(world, "b", "a", _document("/operator/fleet", 3, {}))
        await asyncio.sleep(5)
        assert _all_hold(world, ["a"], 3)
        assert not any(k.ready() for k in world.kernels_by_id.values())


class TestServiceCalls:
    """Calls to the service depend on the number of failure domains."""

    @pytest.mark.parametrize("count", [9, 60])
    async def test_two_watchers_per_domain_call_the_service(self, count):
        world = await _start(count)
        await asyncio.sleep(1.0)
        assert len(_watchers(world)) == 6
        before = world.calls_by_name["watch"]
        for number in range(5):
            _change(world, 0.1 * number)
            await asyncio.sleep(0.3)
        assert world.calls_by_name["watch"] - before == 30

    async def test_few_instances_read_when_the_whole_fleet_starts(self):
        """Guards against simultaneous reads when all instances start."""
        world = world_lib.World(3)
        world.publish({"/operator/fleet": {}})
        await world.start(faults.domains(60))
        assert world.calls_by_name["read"] <= 6

    async def test_fleet_without_platform_backs_off(self):
        world = world_lib.World(3)
        world.platform_down = True
        for name, domain in faults.domains(30).items():
            await world.kernel(name, domain).start()
        await asyncio.sleep(30)
        late = [at for at in world.call_times_s if at > 20]
        # Calls per instance and second, including reads of the list.
        assert len(late) / 30 / 10 < 0.5


class TestPause:
    """A resumed instance validates its configuration before it is ready."""

    async def test_not_ready_before_the_missed_change_is_in_force(self):
        world = await _start(9)
        kernel = await faults.join_and_freeze(world, "p")
        # The push in the socket buffer may be lost as well.
        faults.cut(world, "p", *faults.others(world, "p"))
        revision = _change(world, 0.5)
        await asyncio.sleep(3.0)
        world.network.partitions.clear()
        faults.resume(world, "p")
        # Membership may take longer than the exchange that loads the change.
        configuration = kernel.plugin("configuration")
        assert not kernel.ready()
        assert not configuration.ready()
        while not configuration.ready():
            await asyncio.sleep(0.002)
        assert _all_hold(world, ["p"], revision)

    async def test_answer_from_before_the_pause_is_ignored(self):
        world = await _start(6)
        kernel = await faults.join_and_freeze(world, "p")
        configuration = kernel.plugin("configuration")
        await asyncio.sleep(3.0)
        faults.cut(world, "p", *faults.others(world, "p"))
        faults.resume(world, "p")
        world.platform_cut.add("p")
        await asyncio.sleep(0.1)
        stale = messages.ConfigDigest(
            0, configuration.store.digest, True, True, {}
        )
        kernel.plugin("peers").receive(
            messages.Envelope(
                messages.PROTOCOL_VERSION,
                "i0",
                world.kernels_by_id["i0"].incarnation,
                "tcp://i0",
                0,
                (stale,),
            )
        )
        await asyncio.sleep(1.0)
        assert not configuration.ready()
        await faults.until(configuration.ready, 2.0)

    async def test_watcher_continues_to_watch_after_a_pause(self):
        world = await asyncio.wait_for(_start(3), 5.0)
        kernel = world.kernels_by_id["i0"]
        platform = kernel.plugin("configuration").platform
        watch = platform.watch

        async def hang(after, timeout_s):
            # The connection was lost while the process was stopped.
            await asyncio.sleep(timeout_s)

        platform.watch = hang
        _change(world, 0.1)
        await asyncio.sleep(0.1)
        platform.watch = watch
        world.freeze("i0")
        await asyncio.sleep(3.0)
        faults.resume(world, "i0")
        await faults.until(kernel.ready, 3.0)
        for name in ("i1", "i2"):
            world.kill(name)
        world.publish({"/operator/fleet": {"min_share": 0.1}})
        await _wait_until_applied(world, 1.0, ["i0"])
