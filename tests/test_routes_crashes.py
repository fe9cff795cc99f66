"""Requests under which replicas end."""

import asyncio
import itertools
import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from mallowloft.routes import crashes as crashes_lib
from mallowloft.routes import fleet as fleet_lib
from mallowloft.routes import model
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SETTLED_S = 1.5


def _crash(registry, request: str, replica: str, at_s: float) -> None:
    registry.record_crash(request, replica, at_s - 0.1, at_s)


def _crash_in_turn(registry, request: str, count: int, from_s=1.0) -> None:
    """Records crashes of `count` replicas, one each second."""
    for number in range(count):
        _crash(registry, request, f"r{number}", from_s + number)


def _exchange(sender, receiver, now_s: float) -> None:
    """Tells another instance what one knows."""
    report = fleet_lib.Report(
        "i", crash_digest=sender.digest(now_s), crashes=sender.traces(now_s)
    )
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(report), type=fleet_lib.Report
    )
    receiver.apply(decoded.crashes, now_s)


class TestBlame:
    """A request is refused if it explains the end of several replicas."""

    def test_refused_after_three_crashes(self):
        registry = crashes_lib.CrashRegistry()
        _crash_in_turn(registry, "bad", 2)
        assert not registry.refused_for_s("bad", 2.0 + _SETTLED_S)
        _crash(registry, "bad", "r9", 3.0)
        assert registry.refused_for_s("bad", 3.0 + _SETTLED_S) > 0.0

    def test_same_replica_counts_once(self):
        registry = crashes_lib.CrashRegistry()
        for at_s in (1.0, 2.0, 3.0):
            _crash(registry, "bad", "r1", at_s)
        assert not registry.refused_for_s("bad", 3.0 + _SETTLED_S)

    def test_success_ends_all_doubts(self):
        registry = crashes_lib.CrashRegistry()
        _crash_in_turn(registry, "good", 3)
        registry.record_success("good", 4.0)
        assert not registry.refused_for_s("good", 9.0)
        # A crash that another instance tells of later does not count either.
        registry.apply((crashes_lib.Trace("good", "r8", 0.1, 6.0),), 9.0)
        assert registry.is_empty

    def test_replicas_that_fail_together_blame_no_request(self):
        registry = crashes_lib.CrashRegistry()
        for number in range(20):
            _crash(registry, "a", f"r{number}", 1.0)
            _crash(registry, "b", f"r{number}", 1.0)
        _crash(registry, "a", "r20", 1.05)
        for request in ("a", "b"):
            assert not registry.refused_for_s(request, 1.0 + _SETTLED_S)

    def test_request_beside_a_crashing_one_is_not_refused(self):
        registry = crashes_lib.CrashRegistry()
        _crash_in_turn(registry, "bad", 5)
        for number in (0, 2, 3):
            _crash(registry, "good", f"r{number}", 1.0 + number)
        assert registry.refused_for_s("bad", 5.0 + _SETTLED_S)
        assert not registry.refused_for_s("good", 5.0 + _SETTLED_S)

    def test_request_beside_two_crashing_ones_is_not_refused(self):
        registry = crashes_lib.CrashRegistry()
        for request, first in (("bad1", 0), ("bad2", 10)):
            for number in range(first, first + 4):
                _crash(registry, request, f"r{number}", 1.0 + number)
        for number in (0, 1, 10, 11):
            _crash(registry, "good", f"r{number}", 1.0 + number)
        now_s = 20.0
        assert registry.refused_for_s("bad1", now_s)
        assert registry.refused_for_s("bad2", now_s)
        assert not registry.refused_for_s("good", now_s)

    def test_requests_that_always_crash_together_are_refused_after_more(self):
        registry = crashes_lib.CrashRegistry()
        for request in ("a", "b"):
            _crash_in_turn(registry, request, 3)
        for request in ("a", "b"):
            assert not registry.refused_for_s(request, 9.0)
        for request in ("a", "b"):
            _crash(registry, request, "r3", 10.0)
        for request in ("a", "b"):
            assert registry.refused_for_s(request, 10.0 + _SETTLED_S)

    def test_refusal_ends(self):
        registry = crashes_lib.CrashRegistry()
        _crash_in_turn(registry, "bad", 4)
        wait_s = registry.refused_for_s("bad", 10.0)
        assert registry.refused_for_s("bad", 10.0 + wait_s - 0.1)
        assert not registry.refused_for_s("bad", 10.0 + wait_s + 0.1)

    def test_memory_is_bounded_and_keeps_the_worst_request(self):
        registry = crashes_lib.CrashRegistry()
        _crash_in_turn(registry, "bad", 5)
        for number in range(2000):
            _crash(registry, f"g{number}", f"s{number}", 10.0)
            registry.record_success(f"g{number}", 10.5)
        assert len(registry.traces(11.0)) <= 500
        assert registry.refused_for_s("bad", 12.0)
        for number in range(2000):
            _crash(registry, f"g{number}", f"s{number}", 11.0)
        assert len(registry.traces(11.0)) <= 500
        assert registry.refused_for_s("bad", 13.0)


class TestCrowdedMemory:
    """Crashes of other requests do not displace what a refusal is based on."""

    @pytest.mark.parametrize(
        ("requests", "parts"), [(3, 100), (10, 30), (2000, 1), (500, 20)]
    )
    def test_refused_request_is_not_forgotten_when_others_are_cut_off(
        self, requests, parts
    ):
        registry, other = (crashes_lib.CrashRegistry() for _ in range(2))
        _crash_in_turn(registry, "bad", 3)
        assert registry.refused_for_s("bad", 5.0)
        for request in range(requests):
            for part in range(parts):
                _crash(registry, f"g{request}", f"s{request}-{part}", 6.0)
        assert registry.refused_for_s("bad", 8.0)
        _exchange(registry, other, 8.0)
        assert other.refused_for_s("bad", 9.0)


class TestManyCrashes:
    """What holds in any order of crashes, successes, reports and restarts."""

    @hypothesis.settings(
        max_examples=25,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(data=st.data())
    def test_request_that_was_never_served_is_refused_by_all_who_heard(
        self, data
    ):
        seed, *fleet = (crashes_lib.CrashRegistry() for _ in range(4))
        told: dict[int, int] = {}
        now_s = 0.0

        def report(number: int) -> None:
            """Reports to the seed as `FleetService` does within a second."""
            instance = fleet[number]
            for _ in range(4):
                before = told.get(number, 0)
                seed.apply(instance.traces(now_s, before), now_s)
                told[number] = instance.told_after(before)
                instance.apply(seed.traces(now_s), now_s)
                if told[number] == instance.noticed:
                    break

        steps = data.draw(
            st.lists(
                st.tuples(
                    st.sampled_from(("bad", "crowd", "crowd", "restart")),
                    st.integers(0, 2),
                    st.integers(1, 25),
                    st.integers(1, 60),
                ),
                max_size=8,
            )
        )
        steps += [("bad", number, 1, 1) for number in range(3)]
        for step, (event, number, requests, parts) in enumerate(steps):
            now_s += 2.0
            instance = fleet[number]
            if event == "bad":
                _crash(instance, "bad", f"b{step}", now_s)
            elif event == "crowd":
                for request, part in itertools.product(
                    range(requests), range(parts)
                ):
                    _crash(
                        instance, f"g{step}-{request}", f"{step}-{part}", now_s
                    )
            else:
                fleet[number] = crashes_lib.CrashRegistry()
                told.pop(number, None)
            report(number)
        for number in (0, 1, 2, 0, 1, 2):
            now_s += 1.0
            report(number)
        now_s += 1.0
        for instance in (seed, *fleet):
            assert instance.refused_for_s("bad", now_s)
        assert len(seed.traces(now_s)) <= 500
        fleet[0].record_success("bad", now_s)
        for number in (0, 1, 2):
            report(number)
            assert not fleet[number].refused_for_s("bad", now_s + 1.0)

    def test_reports_end_once_all_know_what_is_refused(self):
        seed, *fleet = (crashes_lib.CrashRegistry() for _ in range(4))
        told = [0] * len(fleet)
        for number, instance in enumerate(fleet):
            for request in range(40):
                for part in range(20):
                    _crash(instance, f"g{number}-{request}", f"{part}", 1.0)
            _crash(instance, "bad", f"b{number}", 2.0 + number)
        sizes = []
        for turn in range(30):
            now_s = 10.0 + turn
            if turn == 20:
                fleet.append(crashes_lib.CrashRegistry())
                told.append(0)
            for number, instance in enumerate(fleet):
                if told[number] == instance.noticed and instance.digest(
                    now_s
                ) == seed.digest(now_s):
                    continue
                sizes.append(len(instance.traces(now_s, told[number])))
                seed.apply(instance.traces(now_s, told[number]), now_s)
                told[number] = instance.told_after(told[number])
                instance.apply(seed.traces(now_s), now_s)
        assert max(sizes) <= 300
        digests = {instance.digest(50.0) for instance in (seed, *fleet)}
        assert len(digests) == 1
        for instance in (seed, *fleet):
            assert instance.refused_for_s("bad", 50.0)

    def test_harmless_request_beside_many_crashes_is_not_refused(self):
        registry = crashes_lib.CrashRegistry()
        for turn in range(12):
            for part in range(270):
                name = f"s{part}-{turn}"
                _crash(registry, f"bad{turn % 3}", name, 2.0 * turn)
                if part % 3 == 0:
                    _crash(registry, f"good{part % 20}", name, 2.0 * turn)
        now_s = 30.0
        refused = {
            name
            for name in (
                "bad0",
                "bad1",
                "bad2",
                *map("good{}".format, range(20)),
            )
            if registry.refused_for_s(name, now_s)
        }
        assert refused == {"bad0", "bad1", "bad2"}

    def test_reply_explains_what_another_instance_has_noticed(self):
        seed, instance = (crashes_lib.CrashRegistry() for _ in range(2))
        for number in range(900):
            _crash(seed, "bad", f"s{number}", 1.0 + number // 300)
        for number in (570, 580, 590, 870, 880, 890):
            _crash(instance, "good", f"s{number}", 1.0 + number // 300)
        now_s = 5.0
        assert instance.refused_for_s("good", now_s)
        told = instance.traces(now_s, 0)
        seed.apply(told, now_s)
        instance.apply(seed.traces(now_s, heard=told), now_s)
        assert instance.refused_for_s("bad", now_s + 1.0)
        assert not instance.refused_for_s("good", now_s + 1.0)


class TestExchange:
    """All instances draw the same conclusions."""

    def test_crashes_at_several_instances_add_up(self):
        seed = crashes_lib.CrashRegistry()
        fleet = [crashes_lib.CrashRegistry() for _ in range(3)]
        for number, instance in enumerate(fleet):
            _crash(instance, "bad", f"r{number}", 1.0 + number)
            _exchange(instance, seed, 4.0)
        started_later = crashes_lib.CrashRegistry()
        for instance in (*fleet, started_later):
            _exchange(seed, instance, 5.0)
            assert instance.refused_for_s("bad", 6.0)
            assert instance.digest(6.0) == seed.digest(6.0)

    def test_request_that_ends_thousands_of_replicas_fits_in_a_report(self):
        registry, other = (crashes_lib.CrashRegistry() for _ in range(2))
        for number in range(4000):
            _crash(registry, "bad", f"r{number}", 1.0 + number / 1000)
        assert len(registry.traces(6.0)) <= 500
        _exchange(registry, other, 6.0)
        assert other.refused_for_s("bad", 7.0)

    def test_restarted_seed_learns_again(self):
        instance, seed = (crashes_lib.CrashRegistry() for _ in range(2))
        _crash_in_turn(instance, "bad", 3)
        _exchange(instance, seed, 10.0)
        assert seed.refused_for_s("bad", 10.0)

    def test_success_is_told(self):
        first, second = (crashes_lib.CrashRegistry() for _ in range(2))
        _crash_in_turn(first, "good", 3)
        _exchange(first, second, 4.0)
        second.record_success("good", 5.0)
        _exchange(second, first, 6.0)
        assert not first.refused_for_s("good", 7.0)

    def test_builds_without_crashes_read_and_write_reports(self):
        class OldReport(msgspec.Struct, frozen=True, array_like=True):
            instance: str
            suspects: tuple[str, ...] = ()

        traces = (crashes_lib.Trace("bad", "r1", 0.1, 1.0),)
        encoded = msgspec.msgpack.encode(
            fleet_lib.Report("i", crash_digest="d", crashes=traces)
        )
        assert msgspec.msgpack.decode(encoded, type=OldReport).instance == "i"
        old = msgspec.msgpack.encode(OldReport("i"))
        report = msgspec.msgpack.decode(old, type=fleet_lib.Report)
        assert (report.crash_digest, report.crashes) == ("", ())


class TestFingerprint:
    """A fingerprint is the same for repeats and differs otherwise."""

    def _fingerprint(self, **fields: object) -> str:
        request = {
            "id": b"1",
            "method": b"GET",
            "target": b"/a",
            "headers": ((b"host", b"h"),),
            "body": b"",
            **fields,
        }
        return crashes_lib.fingerprint(model.Request(**request))

    def test_differs_by_content_only(self):
        same = self._fingerprint(
            id=b"2", headers=((b"x-trace", b"9"), (b"host", b"h"))
        )
        assert same == self._fingerprint()
        others = {
            self._fingerprint(method=b"POST"),
            self._fingerprint(target=b"/b"),
            self._fingerprint(headers=((b"host", b"i"),)),
            self._fingerprint(body=b"x"),
            self._fingerprint(target=b"/", body=b"a"),
        }
        assert len(others) == 5
        assert self._fingerprint() not in others


class _CrashedConnection:
    """The connection of an attempt that was cut off."""

    closed_by_server = True

    def close(self, reason: str) -> None:
        """Does nothing."""


class _Replica(replicas_lib.Replica):
    """A replica that ends while it runs a request, or at a time.

    Attributes:
        ends: Whether requests end it.
        ended: Whether it has ended.
    """

    ends = False
    ended = False

    def receive(self, exchange, delay_s: float) -> None:
        self.ended = self.ended or self.ends
        if not self.ended:
            super().receive(exchange, delay_s)
            return
        self.arrivals += 1
        exchange.connection = _CrashedConnection()
        asyncio.get_running_loop().call_later(
            delay_s, exchange.set_outcome, http1.FailureReason.BROKEN
        )


class _Pool(replicas_lib.Pool):
    def check_refusal(self, on_checked) -> None:
        """Reports whether the replica has ended."""
        asyncio.get_running_loop().call_later(
            2 * self._delay_s, lambda: on_checked(self._replica.ended)
        )


class _Instance(replicas_lib.Instance):
    def _open_pool(self, replica, domain: str) -> _Pool:
        return _Pool(replica, replica.domain == domain, self._link)


class TestGatheredCrashes:
    """A gathered request does not end both replicas of all shards."""

    _SHARDS = tuple(f"s{number}" for number in range(12))

    def _serve(self, ends) -> tuple[model.Answer, list[_Replica]]:
        async def main():
            rng = random.Random(3)
            replicas = [
                _Replica(
                    f"{shard}-{copy}", shard, f"d{copy}", rng, lambda rng: 0.01
                )
                for shard in self._SHARDS
                for copy in (1, 2)
            ]
            for replica in replicas:
                replica.ends = ends(replica)
            instance = _Instance("d1", replicas, rng)
            route = replicas_lib.route(
                shards=self._SHARDS, min_coverage=0.75, top_records=1
            )
            return await instance.serve(route), replicas

        return virtual.run(main())

    def test_most_retries_are_not_sent_if_no_replica_survives(self):
        answer, replicas = self._serve(lambda replica: True)
        assert answer.status == 502
        second = sum(replica.ended for replica in replicas) - len(self._SHARDS)
        assert second < 3

    def test_all_retries_are_sent_if_a_failure_domain_crashes(self):
        answer, _ = self._serve(lambda replica: replica.domain == "d1")
        assert (answer.status, answer.missing) == (200, 0)
