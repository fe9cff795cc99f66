"""The local copy of a listing, and the rate of calls of its source."""

import asyncio
import random

import result

from mallowloft.routes import following
from mallowloft.routes import mirror as mirror_lib
from tests.support import virtual


class _Listener:
    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}

    def changed(self, key: str, value: bytes, replaces_any: bool) -> None:
        self.values_by_key[key] = value

    def removed(self, key: str) -> None:
        del self.values_by_key[key]

    def order_of(self, key: str, value: bytes) -> tuple[int, ...]:
        return ()


def _batch(revision: int, *items: tuple[str, int, bytes | None]):
    return mirror_lib.Batch(
        tuple(mirror_lib.Item(*item) for item in items), revision
    )


class TestMirror:
    """Items never return to older values; outages delay removals."""

    def test_replayed_changes_do_not_restore_older_values(self):
        # The page with the item was read after the changes that are replayed.
        listener = _Listener()
        mirror = mirror_lib.Mirror(listener)
        mirror.replace(_batch(5, ("a", 8, b"new")), 0.0)
        mirror.update(_batch(8, ("a", 6, b"old"), ("a", 7, None)), 0.0)
        assert listener.values_by_key == {"a": b"new"}

    def test_missing_items_are_removed(self):
        listener = _Listener()
        mirror = mirror_lib.Mirror(listener)
        mirror.replace(_batch(5, ("a", 1, b"x"), ("b", 2, b"y")), 0.0)
        mirror.replace(_batch(9, ("b", 2, b"y")), 1.0)
        assert listener.values_by_key == {"b": b"y"}

    def test_removals_are_delayed_after_an_outage(self):
        listener = _Listener()
        mirror = mirror_lib.Mirror(listener)
        mirror.replace(_batch(5, ("a", 1, b"x"), ("b", 2, b"y")), 0.0)
        mirror.hold_removals(10.0)
        mirror.replace(_batch(9), 10.0)
        assert set(listener.values_by_key) == {"a", "b"}
        mirror.update(_batch(11, ("a", 11, b"z")), 11.0)
        mirror.apply_due(12.0)
        assert set(listener.values_by_key) == {"a", "b"}
        # Below the bound of 3 s within which a removed replica must get no
        # more work.
        mirror.apply_due(12.4)
        assert listener.values_by_key == {"a": b"z"}


class TestRemovalsAfter:
    """Other instances get every removal that was applied."""

    def _mirror(self) -> mirror_lib.Mirror:
        mirror = mirror_lib.Mirror(_Listener())
        mirror.replace(_batch(5, ("a", 1, b"x"), ("b", 2, b"y")), 0.0)
        return mirror

    def test_returns_removals_after_a_revision(self):
        mirror = self._mirror()
        mirror.update(_batch(6, ("a", 6, None)), 1.0)
        (removal,) = mirror.removals_after(5, -1)
        assert (removal.key, removal.revision) == ("a", 6)
        assert mirror.removals_after(6, removal.number) == []

    def test_delayed_removals_keep_their_revision(self):
        # Guards against instances that ignore a delayed removal because it
        # seems older than the item.
        mirror = self._mirror()
        mirror.hold_removals(1.0)
        mirror.update(_batch(6, ("a", 6, None)), 1.0)
        assert mirror.removals_after(6, 0) == []
        mirror.apply_due(4.0)
        (removal,) = mirror.removals_after(6, 0)
        assert removal.revision == 6

    def test_removals_before_the_first_listing_are_unknown(self):
        assert self._mirror().removals_after(4, -1) is None

    def test_discarded_removals_are_unknown(self, monkeypatch):
        monkeypatch.setattr(mirror_lib, "_MAX_STORED_REMOVALS", 1)
        mirror = self._mirror()
        mirror.update(_batch(7, ("a", 6, None), ("b", 7, None)), 1.0)
        assert mirror.removals_after(5, 0) is None
        assert mirror.removals_after(5, -1) is None
        assert len(mirror.removals_after(7, 1)) == 1


class _Client:
    """A source whose every call returns a change at once."""

    def __init__(self) -> None:
        self.revision = 1

    async def read(self):
        return result.Ok(_batch(self.revision))

    async def watch(self, after: tuple[int, int], wait_s: float):
        del wait_s
        self.revision = after[1] + 1
        return result.Ok(_batch(self.revision, ("a", self.revision, b"")))


class TestCallRate:
    """The total number of calls grows more slowly than the fleet."""

    def _calls_in_a_minute(self, instances: int) -> int:
        async def main() -> int:
            follower = following.Follower(
                _Client(), _Listener(), random.Random(1), 3.0
            )
            follower.set_callers(instances)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(60.0)
            task.cancel()
            return follower.calls

        return virtual.run(main())

    def test_one_call_fetches_a_burst_of_changes(self):
        assert self._calls_in_a_minute(7) <= 151

    def test_large_fleets_call_less_often(self):
        assert self._calls_in_a_minute(60) < self._calls_in_a_minute(7) / 2

    def test_backlog_is_fetched_without_pauses(self):
        # Guards against instances of a large fleet that stay seconds behind
        # after an outage because the size of each answer is limited.
        class Backlog(_Client):
            async def watch(self, after: tuple[int, int], wait_s: float):
                last = min(1_000, after[1] + 50)
                if last == after[1]:
                    await asyncio.sleep(wait_s)
                items = [
                    ("a", item, b"") for item in range(after[1] + 1, last + 1)
                ]
                return result.Ok(_batch(last, *items))

        async def main() -> int:
            follower = following.Follower(
                Backlog(), _Listener(), random.Random(1), 3.0
            )
            follower.set_callers(60)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(2.0)
            task.cancel()
            return follower.revision

        assert virtual.run(main()) == 1_000
