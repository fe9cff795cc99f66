"""The mirror of a listing, and the pace of its calls."""

import asyncio
import random

import result

from mallowloft.routes import following
from tests.support import virtual


class _Listener:
    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    def changed(self, key: str, value: bytes) -> None:
        self.value_by_key[key] = value

    def removed(self, key: str) -> None:
        del self.value_by_key[key]


def _batch(revision: int, *items: tuple[str, int, bytes | None]):
    return following.Batch(
        tuple(following.Item(*item) for item in items), revision
    )


class TestMirror:
    """Items never go back, and removals wait after an outage."""

    def test_replayed_changes_do_not_go_back(self):
        # A later page was newer than the changes that are replayed after it.
        listener = _Listener()
        mirror = following.Mirror(listener)
        mirror.replace(_batch(5, ("a", 8, b"new")), 0.0)
        mirror.update(_batch(8, ("a", 6, b"old"), ("a", 7, None)), 0.0)
        assert listener.value_by_key == {"a": b"new"}

    def test_missing_items_are_removed(self):
        listener = _Listener()
        mirror = following.Mirror(listener)
        mirror.replace(_batch(5, ("a", 1, b"x"), ("b", 2, b"y")), 0.0)
        mirror.replace(_batch(9, ("b", 2, b"y")), 1.0)
        assert listener.value_by_key == {"b": b"y"}

    def test_removals_wait_after_an_outage(self):
        listener = _Listener()
        mirror = following.Mirror(listener)
        mirror.replace(_batch(5, ("a", 1, b"x"), ("b", 2, b"y")), 0.0)
        mirror.source_returned(10.0)
        mirror.replace(_batch(9), 10.0)
        assert set(listener.value_by_key) == {"a", "b"}
        mirror.update(_batch(11, ("a", 11, b"z")), 11.0)
        mirror.release(12.0)
        assert set(listener.value_by_key) == {"a", "b"}
        # Under the bound of 3 s for work at a replica that is gone.
        mirror.release(12.4)
        assert listener.value_by_key == {"a": b"z"}


class _Client:
    """A source with a change at every moment."""

    def __init__(self) -> None:
        self.revision = 1

    async def read(self):
        return result.Ok(_batch(self.revision))

    async def watch(self, after: int, wait_s: float):
        del wait_s
        self.revision = after + 1
        return result.Ok(_batch(self.revision, ("a", self.revision, b"")))


class TestPace:
    """Calls grow more slowly than the fleet."""

    def _calls_in_a_minute(self, instances: int) -> int:
        async def main() -> int:
            follower = following.Follower(
                _Client(), _Listener(), random.Random(1), 3.0
            )
            follower.share(instances)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(60.0)
            task.cancel()
            return follower.calls

        return virtual.run(main())

    def test_changes_of_a_moment_cost_one_call(self):
        assert self._calls_in_a_minute(7) <= 151

    def test_large_fleets_call_less_often(self):
        assert self._calls_in_a_minute(60) < self._calls_in_a_minute(7) / 2
