"""Answers use a single index version and report their coverage correctly."""

import asyncio
import itertools

import pytest

from mallowloft import messages
from mallowloft.configuration import model as config_model
from mallowloft.gather import merge as merge_lib
from mallowloft.gather import model
from mallowloft.gather import pinning
from tests.support import index as index_lib

_SHARD_ONE = model.Shard("svc", "one")
_SHARD_TWO = model.Shard("svc", "two")


_each_reply_fault = pytest.mark.parametrize(
    "fault", ["truncating", "garbling", "foreign", "misversioned"]
)


def _reply(**fields) -> messages.SubReply:
    values = {
        "attempt": 1,
        "replica": "a",
        "outcome": messages.Outcome.OK,
        "index_version": 7,
        "results": {"one": b"[1]", "two": b"[2]"},
        "versions": (),
        "queue_delay_ms": 0.0,
        "service_ms": 0.0,
        "retry_after_ms": 0.0,
    }
    return messages.SubReply(**{**values, **fields})


def _index(**replicas_by_version) -> config_model.Index:
    return config_model.Index(
        tuple(
            config_model.IndexVersion(int(name[1:]), {"svc": {"s": replicas}})
            for name, replicas in replicas_by_version.items()
        )
    )


async def _start() -> index_lib.IndexWorld:
    world = index_lib.build()
    await world.start({"i1": "d1", "i2": "d2", "i3": "d3"})
    return world


async def _start_with_two_versions() -> index_lib.IndexWorld:
    world = await _start()
    world.set_map(2, world._maps_by_version[1])
    world.publish_index(1, 2)
    await asyncio.sleep(0.1)
    return world


_INDEX_WITH_TWO_VERSIONS = _index(v1=["a"], v2=["a"])


class TestMerge:
    """Only valid, requested rows of the pinned version cover a shard."""

    def test_covers_the_rows_of_the_pinned_version(self):
        merge = merge_lib.Merge(7, [_SHARD_ONE, _SHARD_TWO])
        assert merge.accept(_reply(), [_SHARD_ONE, _SHARD_TWO]) == []
        assert merge.results == {_SHARD_ONE: b"[1]", _SHARD_TWO: b"[2]"}
        assert merge.settled

    def test_ignores_a_reply_for_another_version(self):
        merge = merge_lib.Merge(7, [_SHARD_ONE, _SHARD_TWO])
        unanswered = merge.accept(
            _reply(index_version=6), [_SHARD_ONE, _SHARD_TWO]
        )
        assert unanswered == [_SHARD_ONE, _SHARD_TWO]
        assert not merge.results

    def test_ignores_a_reply_with_rows_that_were_not_requested(self):
        merge = merge_lib.Merge(7, [_SHARD_ONE, _SHARD_TWO])
        assert merge.accept(_reply(), [_SHARD_ONE]) == [_SHARD_ONE]
        assert not merge.results

    @pytest.mark.parametrize(
        "results", [{"one": b"[1]"}, {"one": b"[1]", "two": b"[2"}]
    )
    def test_does_not_cover_a_missing_or_unparsable_row(self, results):
        merge = merge_lib.Merge(7, [_SHARD_ONE, _SHARD_TWO])
        assert merge.accept(
            _reply(results=results), [_SHARD_ONE, _SHARD_TWO]
        ) == [_SHARD_TWO]
        assert merge.results == {_SHARD_ONE: b"[1]"}

    def test_a_shard_is_never_both_covered_and_lacking(self):
        merge = merge_lib.Merge(7, [_SHARD_ONE, _SHARD_TWO])
        merge.accept(_reply(results={"one": b"[1]"}), [_SHARD_ONE])
        merge.give_up(_SHARD_ONE, "failed")
        merge.give_up(_SHARD_TWO, "failed")
        merge.accept(_reply(results={"two": b"[2]"}), [_SHARD_TWO])
        assert merge.results.keys() == {_SHARD_ONE}
        assert merge.lacking.keys() == {_SHARD_TWO}


class TestPinning:
    """The newest version that every shard can serve now is chosen."""

    def _choose(
        self, reports, index=_INDEX_WITH_TWO_VERSIONS, now_s=0.0, **options
    ):
        chosen = reports.choose("main", index, ["svc"], now_s, **options)
        return chosen.version if chosen else None

    def test_chooses_the_newest_version_without_reports(self):
        reports = pinning.VersionReports()
        assert self._choose(reports) == 2

    def test_avoids_a_version_that_a_shard_cannot_serve(self):
        reports = pinning.VersionReports()
        reports.report("a", (1,), 0.0)
        assert self._choose(reports) == 1

    def test_one_serving_replica_per_shard_suffices(self):
        reports = pinning.VersionReports()
        reports.report("a", (1,), 0.0)
        index = _index(v1=["a", "b"], v2=["a", "b"])
        assert self._choose(reports, index) == 2

    def test_a_rejection_takes_precedence_over_a_later_stale_report(self):
        reports = pinning.VersionReports()
        reports.observe("a", 2, False, 0.0)
        reports.report("a", (1, 2), 0.1)
        assert self._choose(reports, now_s=0.1) == 1

    def test_a_served_version_ends_a_rejection(self):
        reports = pinning.VersionReports()
        reports.observe("a", 2, False, 0.0)
        reports.observe("a", 2, True, 0.1)
        assert self._choose(reports, now_s=0.1) == 2

    def test_an_answer_takes_precedence_over_a_stale_report(self):
        reports = pinning.VersionReports()
        reports.report("a", (1,), 0.0)
        reports.observe("a", 2, True, 0.0)
        reports.report("a", (1,), 0.1)
        assert self._choose(reports, now_s=0.1) == 2

    def test_reports_and_rejections_expire(self):
        reports = pinning.VersionReports()
        reports.report("a", (1,), 0.0)
        reports.observe("a", 2, False, 0.0)
        assert self._choose(reports, now_s=5.0) == 2

    def test_retries_a_version_at_growing_intervals_despite_stale_reports(self):
        reports = pinning.VersionReports()
        index = _index(v1=["a"], v2=["a"])
        tried_s = []
        for step in range(1000):
            now_s = step / 100
            reports.report("a", (1,), now_s)
            if self._choose(reports, index, now_s) == 2:
                tried_s.append(now_s)
        gaps_s = [b - a for a, b in itertools.pairwise([0.0, *tried_s])]
        assert gaps_s[0] == pytest.approx(pinning.LOADING_RETRY_MIN_S)
        assert all(b > a - 0.015 for a, b in itertools.pairwise(gaps_s))
        assert gaps_s[-1] == pytest.approx(pinning.PROBE_INTERVAL_S)

    def test_a_rejection_of_a_version_being_loaded_expires_quickly(self):
        # Queries still used the old version 225 ms after a version switch,
        # when every replica already served the new one.
        reports = pinning.VersionReports()
        reports.report("a", (2,), 0.0)
        for version in (1, 3):
            reports.observe("a", version, False, 0.0)
        assert reports.is_known_not_to_serve("a", 3, 0.1)
        assert not reports.is_known_not_to_serve("a", 3, 0.15)
        assert reports.is_known_not_to_serve("a", 1, 1.9)
        reports.observe("a", 3, False, 2.0)
        assert reports.is_known_not_to_serve("a", 3, 2.4)
        assert not reports.is_known_not_to_serve("a", 3, 2.6)

    def test_restarts_on_a_version_that_is_only_missing_in_reports(
        self,
    ):
        # Queries ended with lacking shards although every replica had loaded
        # the new version since its last report.
        reports = pinning.VersionReports()
        index = _index(v1=["a"], v2=["a"])
        reports.report("a", (1,), 0.0)
        assert self._choose(reports, index) == 1
        assert reports.has_complete_version(index, ["svc"], 0.0, {1})
        reports.observe("a", 2, False, 0.0)
        assert not reports.has_complete_version(index, ["svc"], 0.05, {1})

    def test_chooses_the_version_with_fewest_unserved_shards(self):
        reports = pinning.VersionReports()
        reports.report("a", (1,), 0.0)
        reports.report("b", (), 0.0)
        shards = {"svc": {"s": ["a"], "t": ["b"]}}
        index = config_model.Index(
            tuple(config_model.IndexVersion(n, shards) for n in (1, 2))
        )
        assert self._choose(reports, index) == 1

    def test_names_the_shards_of_an_unmapped_service(self):
        index = config_model.Index(
            (
                config_model.IndexVersion(1, {"svc": {"s": ["a"]}}),
                config_model.IndexVersion(2, {"other": {"t": ["b"]}}),
            )
        )
        mapped, unmapped = pinning.shards_of(
            index, index.versions[1], ["svc", "other", "new"]
        )
        assert mapped == {model.Shard("other", "t"): ("b",)}
        assert unmapped == [model.Shard("svc", "s"), model.Shard("new", "*")]


class TestSnapshot:
    """Each answer uses one version while replicas serve different versions."""

    async def test_restarts_on_the_version_that_all_shards_serve(self):
        world = await _start_with_two_versions()
        world.serve((1, 2), "svc-0-a", "svc-0-b", "svc-1-a", "svc-1-b")
        answers = [await world.answer("i1") for _ in range(3)]
        assert [answer.index_version for answer in answers] == [1, 1, 1]
        assert all(answer.coverage == 1 for answer in answers)
        # Only the first query restarts; the others use the recorded rejections.
        assert answers[0].attempts.sent > answers[1].attempts.sent

    async def test_detects_a_version_switch(self):
        world = await _start_with_two_versions()
        versions = []
        for step in range(100):
            if step == 10:
                world.serve((1, 2))
            versions.append((await world.answer("i1")).index_version)
            await asyncio.sleep(0.05)
        assert set(versions[:10]) == {1}
        assert set(versions[-50:]) == {2}

    async def test_reports_lacking_shards_if_no_version_is_complete(self):
        world = await _start_with_two_versions()
        world.serve((2,), "svc-0-a", "svc-0-b")
        # A restart ends a run before every shard has replied, so it takes
        # several queries to record all rejections.
        for _ in range(4):
            answer = await world.answer("i1")
        assert answer.index_version == 1
        assert {shard.service for shard in answer.lacking} == {"svc-0"}
        assert set(answer.lacking.values()) == {"wrong_version"}
        assert {shard.service for shard in answer.results} == {"svc-1", "svc-2"}

    async def test_uses_the_better_run_if_a_restart_gathers_less(self):
        world = await _start_with_two_versions()
        world.serve((1,), "svc-0-a", "svc-0-b")
        world.serve((2,), *(f"svc-{n}-{r}" for n in (1, 2) for r in "ab"))
        # The rejection by svc-0 arrives after the other services have answered.
        world.holdings.delay_s = {"svc-0-a": 0.05, "svc-0-b": 0.05}
        answer = await world.answer("i1")
        assert answer.index_version == 2
        assert len(answer.results) == 4
        assert {shard.service for shard in answer.lacking} == {"svc-0"}

    async def test_reports_a_service_without_a_shard_map_as_lacking(self):
        world = await _start()
        shards = dict(world._maps_by_version[1])
        del shards["svc-2"]
        world.set_map(1, shards)
        world.publish_index(1)
        await asyncio.sleep(0.1)
        answer = await world.answer("i1")
        assert answer.lacking == {model.Shard("svc-2", "*"): "no_shard_map"}

    @_each_reply_fault
    async def test_covers_the_shard_from_another_replica(self, fault):
        world = await _start()
        getattr(world.holdings, fault).update({"svc-0-a", "svc-1-a"})
        answers = [await world.answer(name) for name in ("i1", "i2", "i3")]
        assert all(answer.coverage == 1 for answer in answers)
        assert sum(answer.attempts.retries for answer in answers) > 0

    @_each_reply_fault
    async def test_reports_the_shard_as_lacking_without_another_replica(
        self, fault
    ):
        world = await _start()
        getattr(world.holdings, fault).update({"svc-0-a", "svc-0-b"})
        answer = await world.answer("i1")
        assert {shard.service for shard in answer.lacking} == {"svc-0"}
        assert set(answer.lacking.values()) == {"invalid_rows"}


class TestMatching:
    """A reply ends only the attempt that it names."""

    async def test_drops_duplicate_and_unmatched_replies(self):
        world = index_lib.build()
        await world.start({"i1": "d1", "i2": "d2", "i3": "d3"})
        world.network.duplicate_share = 1.0
        world.network.jitter_s = 0.02
        kernel = world.kernels_by_id["i1"]
        gather = kernel.plugin("gather")
        asked = [
            asyncio.create_task(world.ask("i1", deadline_ms=300.0))
            for _ in range(50)
        ]
        await asyncio.sleep(0.001)
        for number in range(100):
            for replica in ("svc-0-a", "nobody"):
                reply = _reply(attempt=number, replica=replica, index_version=1)
                world.kernels_by_id["i2"].plugin("peers").send("i1", reply)
        outcomes = await asyncio.gather(*asked)
        await asyncio.sleep(1)
        assert all(outcome.is_ok() for _, outcome in outcomes)
        assert gather.dump()["attempts_in_flight"] == 0

    async def test_drops_a_reply_that_names_another_replica(self):
        world = index_lib.build(services=1, shards=1)
        for replica in world.replicas_by_id.values():
            replica.slow_factor = 10.0
        await world.start({"i1": "d1"})
        gather = world.kernels_by_id["i1"].plugin("gather")
        asked = asyncio.create_task(world.ask("i1", target="svc-0"))
        await asyncio.sleep(0.002)
        (number,) = gather._in_flight
        reply = _reply(
            attempt=number,
            replica="svc-9-a",
            index_version=1,
            results={"s0": b"[]"},
        )
        world.kernels_by_id["i1"].plugin("peers").send("i1", reply)
        assert (await asked)[1].unwrap().coverage == 1

    async def test_attempt_numbers_differ_between_incarnations(self):
        world = index_lib.build(services=1, shards=1)
        numbers = []
        for _ in range(2):
            kernel = world.kernel("i1", "d1")
            gather = kernel.plugin("gather")
            numbers.append(next(gather._attempt_numbers))
        first, second = numbers
        assert abs(first - second) > 1_000_000
