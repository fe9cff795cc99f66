"""A local copy of a source that is restored from an older copy of itself."""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies
import result

from mallowloft.routes import following
from mallowloft.routes import mirror as mirror_lib
from tests.support import virtual

_CONFIGURATION = "configuration"
# A replica reports each 1.2 s; its entry ends after three missing reports.
_LEASE_S = 3.6


def _order_of(value: bytes) -> tuple[int, ...]:
    return (json.loads(value)["number"],)


def _value(number: int, state: str = "ready") -> bytes:
    return json.dumps({"number": number, "state": state}).encode()


class _Listener:
    """Keeps the values, and every change in order."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, bytes] = {}
        self.history: list[tuple[str, bytes | None]] = []

    def changed(self, key: str, value: bytes, replaces_any: bool) -> None:
        self.values_by_key[key] = value
        self.history.append((key, value))

    def removed(self, key: str) -> None:
        del self.values_by_key[key]
        self.history.append((key, None))

    def order_of(self, key: str, value: bytes) -> tuple[int, ...]:
        return _order_of(value)


class _FaultyListener(_Listener):
    """Raises errors for the items of one key."""

    def __init__(self, key: str) -> None:
        super().__init__()
        self._key = key

    def changed(self, key: str, value: bytes, replaces_any: bool) -> None:
        self._raise_for(key)
        super().changed(key, value, replaces_any)

    def removed(self, key: str) -> None:
        self._raise_for(key)
        super().removed(key)

    def order_of(self, key: str, value: bytes) -> tuple[int, ...]:
        self._raise_for(key)
        return super().order_of(key, value)

    def _raise_for(self, key: str) -> None:
        if key == self._key:
            raise ValueError(key)


def _batch(era: int, revision: int, *items) -> mirror_lib.Batch:
    return mirror_lib.Batch(
        tuple(
            mirror_lib.Item(key, item_revision, value, era)
            for key, item_revision, value in items
        ),
        revision,
        era,
    )


class TestFaultyItem:
    """An error in the handling of one item does not affect the others."""

    def _mirror(self) -> tuple[mirror_lib.Mirror, _Listener]:
        listener = _FaultyListener("odd")
        mirror = mirror_lib.Mirror(listener)
        mirror.replace(
            _batch(
                0,
                100,
                ("a", 90, _value(1)),
                ("odd", 95, b"odd"),
                ("b", 100, _value(1)),
            ),
            0.0,
        )
        return mirror, listener

    def test_items_after_it_in_a_listing(self):
        _, listener = self._mirror()
        assert set(listener.values_by_key) == {"a", "b"}

    def test_listing_of_a_restored_source(self):
        # Guards against a follower whose every call fails after a restore.
        mirror, listener = self._mirror()
        items = (("odd", 95, b"odd"), ("a", 99, _value(2)))
        mirror.replace(_batch(1, 99, *items), 1.0)
        mirror.apply_due(9.0)
        assert listener.values_by_key == {"a": _value(2)}

    def test_removal_of_it_and_of_another(self):
        mirror, listener = self._mirror()
        mirror.update(_batch(0, 102, ("odd", 101, None), ("a", 102, None)), 9.0)
        assert set(listener.values_by_key) == {"b"}
        assert mirror.removal_count == 2

    def test_value_that_cannot_be_applied_ends_the_use_of_the_last_one(self):
        class Listener(_Listener):
            def changed(self, key, value, replaces_any):
                super().changed(key, json.loads(value), replaces_any)

            def order_of(self, key, value):
                return ()

        listener = Listener()
        mirror = mirror_lib.Mirror(listener)
        mirror.replace(_batch(0, 1, ("a", 1, _value(1))), 0.0)
        mirror.update(_batch(0, 2, ("a", 2, b"odd")), 1.0)
        assert listener.values_by_key == {}


class TestRestore:
    """What is known stays until its writer has written again."""

    def _mirror(self, *items) -> tuple[mirror_lib.Mirror, _Listener]:
        listener = _Listener()
        mirror = mirror_lib.Mirror(listener)
        mirror.replace(_batch(0, 100, *items), 0.0)
        return mirror, listener

    def test_older_configuration_of_the_copy_is_ignored(self):
        mirror, listener = self._mirror((_CONFIGURATION, 100, _value(7)))
        assert mirror.replace(
            _batch(1, 86, (_CONFIGURATION, 80, _value(5))), 1.0
        )
        assert listener.values_by_key == {_CONFIGURATION: _value(7)}
        assert mirror.kept_items == 1

    def test_revision_that_is_given_out_again_is_a_change(self):
        mirror, listener = self._mirror((_CONFIGURATION, 100, _value(7)))
        mirror.replace(_batch(1, 86, (_CONFIGURATION, 80, _value(5))), 1.0)
        mirror.update(_batch(1, 88, (_CONFIGURATION, 88, _value(8))), 1.1)
        assert listener.values_by_key == {_CONFIGURATION: _value(8)}

    def test_change_that_was_written_before_the_first_listing(self):
        mirror, listener = self._mirror((_CONFIGURATION, 100, _value(7)))
        mirror.replace(_batch(1, 140, (_CONFIGURATION, 99, _value(8))), 1.0)
        assert listener.values_by_key == {_CONFIGURATION: _value(8)}

    def test_repeated_older_versions_are_skipped(self):
        # The operator writes version 6 and then 7 again. A request must not be
        # handled by version 6 in between.
        mirror, listener = self._mirror((_CONFIGURATION, 100, _value(7)))
        mirror.replace(_batch(1, 86, (_CONFIGURATION, 80, _value(5))), 1.0)
        mirror.update(_batch(1, 87, (_CONFIGURATION, 87, _value(6))), 1.1)
        mirror.apply_due(1.5)
        mirror.update(_batch(1, 88, (_CONFIGURATION, 88, _value(7))), 1.6)
        mirror.apply_due(9.0)
        assert [value for _, value in listener.history] == [_value(7)] * 2

    def test_lower_version_that_stays_is_applied(self):
        mirror, listener = self._mirror((_CONFIGURATION, 100, _value(7)))
        mirror.replace(_batch(1, 86, (_CONFIGURATION, 80, _value(5))), 1.0)
        mirror.update(_batch(1, 87, (_CONFIGURATION, 87, _value(6))), 1.1)
        assert mirror.next_due_s is not None
        # Below the bound of 3 s within which a change must take effect.
        mirror.apply_due(2.2)
        assert listener.values_by_key == {_CONFIGURATION: _value(6)}

    def test_draining_stays_although_the_copy_is_ready(self):
        mirror, listener = self._mirror(("a", 90, _value(2, "draining")))
        mirror.replace(_batch(1, 86, ("a", 60, _value(1))), 1.0)
        assert listener.values_by_key == {"a": _value(2, "draining")}
        # Unless the replica itself says otherwise later.
        mirror.update(_batch(1, 87, ("a", 87, _value(3))), 2.0)
        assert listener.values_by_key == {"a": _value(3)}

    def test_entry_that_the_copy_lacks_is_kept_for_a_while(self):
        mirror, listener = self._mirror(
            ("new", 99, _value(1)), ("gone", 98, _value(1))
        )
        mirror.replace(_batch(1, 86), 1.0)
        assert set(listener.values_by_key) == {"new", "gone"}
        mirror.update(_batch(1, 87, ("new", 87, _value(2))), 2.0)
        mirror.apply_due(3.4)
        assert set(listener.values_by_key) == {"new"}

    def test_removed_entry_of_the_copy_stays_removed(self):
        mirror, listener = self._mirror(("a", 90, _value(1)))
        mirror.update(_batch(0, 101, ("a", 101, None)), 0.5)
        mirror.replace(_batch(1, 95, ("a", 90, _value(1))), 1.0)
        mirror.apply_due(5.0)
        assert listener.values_by_key == {}
        # Its lease ends in the restored source, too.
        mirror.update(_batch(1, 97, ("a", 97, None)), 5.0)
        mirror.apply_due(20.0)
        assert listener.values_by_key == {}

    def test_removed_entry_whose_writer_lives_comes_back(self):
        mirror, listener = self._mirror(("a", 90, _value(1)))
        mirror.update(_batch(0, 101, ("a", 101, None)), 0.5)
        mirror.replace(_batch(1, 95, ("a", 90, _value(1))), 1.0)
        mirror.update(_batch(1, 97, ("a", 97, _value(2))), 1.5)
        assert set(listener.values_by_key) == {"a"}

    def test_second_restore_is_compared_with_what_is_known(self):
        mirror, listener = self._mirror((_CONFIGURATION, 100, _value(7)))
        mirror.replace(_batch(1, 86, (_CONFIGURATION, 80, _value(5))), 1.0)
        mirror.replace(_batch(2, 84, (_CONFIGURATION, 80, _value(5))), 2.0)
        assert listener.values_by_key == {_CONFIGURATION: _value(7)}
        mirror.update(_batch(2, 85, (_CONFIGURATION, 85, _value(9))), 3.0)
        assert listener.values_by_key == {_CONFIGURATION: _value(9)}

    def test_other_instances_must_list_again(self):
        mirror, _ = self._mirror(("a", 90, _value(1)))
        mirror.update(_batch(0, 101, ("a", 101, None)), 0.5)
        assert mirror.removals_after(101, 0) is not None
        mirror.replace(_batch(1, 95), 1.0)
        assert mirror.removals_after(95, 0) is None


class _Source:
    """A source that is restored from copies of itself."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.events: list[tuple[str, int, bytes | None]] = []
        self._copies = [(1, {}, [])]

    def write(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = (self.revision, value)
        self.events.append((key, self.revision, value))

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append((key, self.revision, None))

    def copy(self) -> None:
        self._copies.append(
            (self.revision, dict(self.items), list(self.events))
        )

    def restore(self) -> None:
        revision, items, events = self._copies[-1]
        self.era += 1
        self.revision = revision
        self.items, self.events = dict(items), list(events)

    async def read(self):
        # An answer may be as old as its way back takes.
        answer = _batch(
            self.era,
            self.revision,
            *((key, *item) for key, item in self.items.items()),
        )
        await asyncio.sleep(0.05)
        return result.Ok(answer)

    async def watch(self, after: tuple[int, int], wait_s: float):
        era, revision = after
        if era != self.era or revision > self.revision:
            return result.Err(following.CallError.HISTORY_LOST)
        changes = [item for item in self.events if item[1] > revision]
        answer = _batch(self.era, self.revision, *changes)
        await asyncio.sleep(0.05 if changes else min(wait_s, 0.2))
        return result.Ok(answer)


class _Writers:
    """An operator and two replicas, which repeat lost writes."""

    def __init__(self, source: _Source, listener: _Listener) -> None:
        self._source = source
        self._listener = listener
        self._number = 1
        self._last_by_key: dict[str, bytes] = {}
        # Number of changes that the listener knew when a writer ended.
        self.changes_at_end: dict[str, int] = {}
        self.drained: set[str] = set()

    def publish(self) -> None:
        self._number += 1
        self._write(_CONFIGURATION, _value(self._number))

    def report(self, key: str) -> None:
        if key in self.drained:
            return
        self._number += 1
        self._write(key, _value(self._number))

    def drain(self, key: str) -> None:
        if key in self.drained:
            return
        self.drained.add(key)
        self._number += 1
        self._write(key, _value(self._number, "draining"))

    def end(self, key: str) -> None:
        self.drained.add(key)
        self._last_by_key.pop(key, None)
        self._source.remove(key)
        self.changes_at_end.setdefault(key, len(self._listener.history))

    def repeat(self) -> None:
        """Writes again what the source has lost."""
        for key, value in self._last_by_key.items():
            if self._source.items.get(key, (0, b""))[1] != value:
                self._source.write(key, value)

    def end_leases(self) -> None:
        """Removes the items of writers that have ended."""
        for key in set(self._source.items) - set(self._last_by_key):
            self._source.remove(key)

    def restore(self) -> None:
        """Restores the source, in which the leases of dead writers end."""
        self._source.restore()
        asyncio.get_running_loop().call_later(_LEASE_S, self.end_leases)

    def _write(self, key: str, value: bytes) -> None:
        self._last_by_key[key] = value
        self._source.write(key, value)


_ACTIONS = {
    "publish": lambda source, writers: writers.publish(),
    "report a": lambda source, writers: writers.report("a"),
    "report b": lambda source, writers: writers.report("b"),
    "drain a": lambda source, writers: writers.drain("a"),
    "end a": lambda source, writers: writers.end("a"),
    "end b": lambda source, writers: writers.end("b"),
    "copy": lambda source, writers: source.copy(),
    "restore": lambda source, writers: writers.restore(),
    "repeat": lambda source, writers: writers.repeat(),
}


class TestAnyOrder:
    """Any order of writes, copies, restores and calls."""

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(sorted(_ACTIONS)),
                # Some changes are seen one by one, others together.
                strategies.sampled_from([0.0, 0.1, 0.6]),
            ),
            min_size=10,
            max_size=30,
        )
    )
    def test_converges_and_never_goes_back(self, actions):
        source = _Source()
        listener = _Listener()
        writers = _Writers(source, listener)

        async def main() -> mirror_lib.Mirror:
            follower = following.Follower(
                source, listener, random.Random(1), 0.5
            )
            task = asyncio.create_task(follower.run())
            for name, pause_s in actions:
                _ACTIONS[name](source, writers)
                await asyncio.sleep(pause_s)
            writers.repeat()
            await asyncio.sleep(30.0)
            task.cancel()
            return follower.mirror

        virtual.run(main())
        versions = [
            _order_of(value)
            for key, value in listener.history
            if key == _CONFIGURATION and value is not None
        ]
        assert versions == sorted(versions)
        for key in ("a", "b"):
            states = [
                "gone" if value is None else json.loads(value)["state"]
                for changed, value in listener.history
                if changed == key
            ]
            if "draining" in states:
                after = states[states.index("draining") :]
                assert "ready" not in after
        for key, count in writers.changes_at_end.items():
            values = [
                value
                for changed, value in listener.history[count:]
                if changed == key
            ]
            # Once such a removal is known, nothing may follow.
            assert None not in values[:-1]
        assert listener.values_by_key == {
            key: value for key, (_, value) in source.items.items()
        }
