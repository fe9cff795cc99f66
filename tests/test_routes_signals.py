"""Replicas that state that they leave, or that ask for a pause."""

import asyncio
import math
import random

import pytest

from mallowloft.routes import model
from mallowloft.routes import replica_signals
from mallowloft.routes import selection
from mallowloft.upstream import http1
from tests.support import collectors as collectors_lib
from tests.support import replicas as replicas_lib
from tests.support import virtual

_NAMES = replicas_lib.NAMES
_LEAVING = ((_NAMES.leaving, b"1"),)


def _refusal(pause: bytes) -> model.Headers:
    return ((_NAMES.not_run, b"1"), (_NAMES.retry_after, pause))


class TestPauseValues:
    """A pause is kept as stated; malformed values are none."""

    @pytest.mark.parametrize(
        ("value", "pause_s"),
        [
            (b"0", 0.0),
            (b"2", 2.0),
            (b" 1.25 ", 1.25),
            (b".5", 0.5),
            (b"86400000", 86_400_000.0),
            (b"9" * 400, 1e9),
        ],
    )
    def test_seconds_are_kept(self, value, pause_s):
        assert replica_signals.parse_decimal(value) == pause_s

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b".",
            b"-1",
            b"+1",
            b"1e3",
            b"1_0",
            b"nan",
            b"inf",
            b"soon",
            b"\xb2",
            b"Fri, 04 Dec 2026 08:00:00 GMT",
        ],
    )
    def test_other_values_are_malformed(self, value):
        assert replica_signals.parse_decimal(value) is None


class TestPauses:
    """Nothing is sent in a pause; instances return one by one."""

    def test_no_request_until_the_exact_end(self):
        for seed in range(50):
            signals = replica_signals.ReplicaSignals()
            signals.record_pause(1.5, 10.0, random.Random(seed))
            assert not signals.admits(11.49, 0)
            assert signals.admits(12.0, 0)

    def test_shorter_pause_does_not_end_a_longer_one(self):
        signals = replica_signals.ReplicaSignals()
        rng = random.Random(1)
        signals.record_pause(5.0, 10.0, rng)
        signals.record_pause(0.1, 10.5, rng)
        assert not signals.admits(14.9, 0)

    def test_first_request_after_a_pause_is_alone(self):
        signals = replica_signals.ReplicaSignals()
        signals.record_pause(1.0, 10.0, random.Random(1))
        assert signals.admits(12.0, 0)
        assert not signals.admits(12.0, 1)
        signals.record_reply()
        assert signals.admits(12.0, 5)

    def test_instances_return_at_different_times(self):
        # Guards against all instances sending at once to a replica whose queue
        # has just become shorter.
        returns_s = []
        for seed in range(100):
            signals = replica_signals.ReplicaSignals()
            signals.record_pause(2.0, 0.0, random.Random(seed))
            returns_s.append(signals.pause_left_s(0.0))
        returns_s.sort()
        assert returns_s[0] >= 2.0
        assert returns_s[-1] <= 2.5
        most = max(
            sum(start <= at_s < start + 0.05 for at_s in returns_s)
            for start in returns_s
        )
        assert most <= 20


def _service(count: int, work_s: float = 0.01, **fields: object):
    return [
        replicas_lib.Replica(
            f"r{number}",
            "s0",
            replicas_lib.DOMAINS[number % 3],
            random.Random(number),
            lambda rng: work_s,
            **fields,
        )
        for number in range(count)
    ]


def _instance(replicas) -> replicas_lib.Instance:
    return replicas_lib.Instance("d1", replicas, random.Random(1))


def _single_route() -> model.Route:
    return replicas_lib.route(targets=(model.Target("s0", 1.0),))


class TestRequests:
    """Requests go where they are wanted, or are refused at once."""

    def _run(self, replicas, main):
        async def run():
            return await main(_instance(replicas))

        return virtual.run(run())

    def test_paused_replica_gets_nothing_and_has_no_fault(self):
        paused, other = _service(2)
        paused.status = lambda now_s: 503 if now_s < 1.0 else 200
        paused.headers = lambda now_s: _refusal(b"2.5") if now_s < 1.0 else ()

        async def main(instance):
            answers = []
            for _ in range(40):
                answers.append(await instance.serve(_single_route()))
                await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            entry = instance.directory.entry("r0")
            assert not entry.health.ejected(now_s)
            assert instance.directory.suspects() == []
            return answers

        answers = self._run([paused, other], main)
        assert {answer.status for answer in answers} == {200}
        # Replica r0 is in the instance's failure domain and is asked first.
        assert paused.arrivals == 1

    def test_all_paused_is_refused_with_the_shortest_wait(self):
        replicas = _service(2)
        for replica, pause in zip(replicas, (b"3", b"1.5"), strict=True):
            replica.status = lambda now_s: 503
            replica.headers = lambda now_s, pause=pause: _refusal(pause)

        async def main(instance):
            first = await instance.serve(_single_route())
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            second = await instance.serve(_single_route())
            return first, second, loop.time() - started_s

        first, second, elapsed_s = self._run(replicas, main)
        assert (first.status, second.status) == (503, 503)
        assert second.reason == "replicas_paused"
        assert elapsed_s == 0.0
        assert [replica.arrivals for replica in replicas] == [1, 1]
        for answer in (first, second):
            wait_s = float(dict(answer.headers)[b"retry-after"])
            assert 1.4 <= wait_s <= 2.0

    def test_leaving_replica_gets_no_further_request(self):
        leaving, other = _service(2)
        leaving.headers = lambda now_s: _LEAVING

        async def main(instance):
            return [await instance.serve(_single_route()) for _ in range(20)]

        answers = self._run([leaving, other], main)
        assert {answer.status for answer in answers} == {200}
        assert (leaving.arrivals, other.arrivals) == (1, 19)

    def test_leaving_replicas_serve_for_a_while_if_there_is_no_other(self):
        replicas = _service(2)
        for replica in replicas:
            replica.headers = lambda now_s: _LEAVING

        async def main(instance):
            for entry in instance.directory.entries("s0"):
                entry._leaving_grace_s = 1.0
            answers = []
            for _ in range(30):
                answers.append(await instance.serve(_single_route()))
                await asyncio.sleep(0.1)
            return answers

        answers = self._run(replicas, main)
        statuses = [answer.status for answer in answers]
        assert statuses[:5] == [200] * 5
        assert statuses[-10:] == [503] * 10

    def test_gathered_request_without_enough_shards_is_refused(self):
        replicas = []
        for shard in range(10):
            for replica in _service(2):
                replica.id = f"s{shard}-{replica.id}"
                replica.service = f"s{shard}"
                if shard < 5:
                    replica.status = lambda now_s: 503
                    replica.headers = lambda now_s: _refusal(b"2")
                replicas.append(replica)
        route = replicas_lib.route(
            shards=tuple(f"s{number}" for number in range(10)),
            top_records=3,
            min_coverage=0.8,
        )

        async def main(instance):
            await instance.serve(route)
            arrivals = sum(replica.arrivals for replica in replicas)
            answer = await instance.serve(route)
            return answer, arrivals

        answer, arrivals = self._run(replicas, main)
        assert (answer.status, answer.reason) == (503, "replicas_paused")
        assert 1.9 <= float(dict(answer.headers)[b"retry-after"]) <= 2.5
        assert sum(replica.arrivals for replica in replicas) == arrivals


class TestUnsentAttempts:
    """Attempts that reach no replica do not count towards the route's limit."""

    @pytest.mark.parametrize("idempotent", [True, False])
    @pytest.mark.parametrize("gathered", [True, False])
    def test_next_replica_is_asked(self, gathered, idempotent):
        # Guards against requests that fail although they may be sent to the
        # replica that is left when connections to the others fail.
        replicas = _service(3)
        if gathered:
            route = replicas_lib.route(shards=("s0",), top_records=5)
        else:
            route = replicas_lib.route(
                targets=(model.Target("s0", 1.0),),
                idempotent=idempotent,
                max_attempts=1,
            )

        def fail(exchange):
            exchange.set_outcome(http1.FailureReason.UNSENT)

        async def main():
            instance = _instance(replicas)
            for name in ("r0", "r1"):
                instance.directory.entry(name).pool.submit = fail
            return await instance.serve(route)

        assert virtual.run(main()).status == 200
        assert [replica.arrivals for replica in replicas] == [0, 0, 1]


class TestDirectory:
    """What a replica asked for outlives its entry, but not its start."""

    def _replica(self, started: int = 5, **fields: object) -> model.Replica:
        return model.Replica(
            **{
                "id": "i1",
                "service": "s0",
                "host": "127.0.0.1",
                "port": 1,
                "failure_domain": "d1",
                "started": started,
                **fields,
            }
        )

    def _run(self, main):
        async def run():
            main(_instance(_service(1)).directory)

        virtual.run(run())

    def _put(self, directory, replica: model.Replica) -> None:
        directory._open_pool = lambda *args: replicas_lib.Pool(
            _service(1)[0], True, replicas_lib.Link()
        )
        directory.put(replica)

    def test_signals_are_kept_when_a_replica_is_listed_again(self):
        def main(directory):
            self._put(directory, self._replica())
            directory.mark_leaving(["i1"])
            directory.entry("i1").signals.record_pause(
                9.0, 0.0, random.Random(1)
            )
            directory.remove("i1", "delisted")
            assert directory.leaving_ids == set()
            self._put(directory, self._replica())
            assert directory.leaving_ids == {"i1"}
            assert not directory.entry("i1").signals.admits(8.0, 0)
            self._put(directory, self._replica(started=6))
            assert directory.leaving_ids == set()
            assert directory.entry("i1").admits(0.0)

        self._run(main)

    @pytest.mark.parametrize("newer_first", [True, False])
    def test_later_start_at_an_address_is_used(self, newer_first):
        older = self._replica(1, id="old", service="s1")
        newer = self._replica(2, id="new", service="s2")

        def main(directory):
            for replica in (newer, older) if newer_first else (older, newer):
                self._put(directory, replica)
            assert directory.entry("new").stays
            assert not directory.entry("old").stays

        self._run(main)

    def test_usable_time_of_leaving_and_paused_replicas(self):
        def main(directory):
            self._put(directory, self._replica())
            entry = directory.entry("i1")
            assert entry.usable_in_s(0.0) == 0.0
            entry.signals.record_pause(2.0, 0.0, random.Random(1))
            assert 2.0 <= entry.usable_in_s(0.0) <= 2.5
            directory.mark_leaving(["i1"])
            assert math.isinf(entry.usable_in_s(1.0))

        self._run(main)

    def test_replica_is_tried_after_its_pause(self):
        # Guards against a returned replica that gets nothing any more because
        # the estimate of the one that served meanwhile happens to be low.
        def main(directory):
            self._put(directory, self._replica(service="s1"))
            other = {"id": "i2", "port": 2, "failure_domain": "d2"}
            self._put(directory, self._replica(service="s1", **other))
            returned, other = directory.entry("i1"), directory.entry("i2")
            for number in range(3):
                other.health.record_start(number, 1.2, 0.02)
                other.health.record_reply(number, 1.2, 0.004)
            returned.signals.record_pause(1.0, 0.0, random.Random(1))
            selector = selection.Selector(random.Random(1))
            choices = {
                now_s: selector.choose((returned, other), now_s)
                for now_s in (0.5, 1.3)
            }
            assert choices == {0.5: other, 1.3: returned}

        self._run(main)


_SHARDS = 12


class TestBatches:
    """What replicas ask of a collector reaches the sender of the batch."""

    def _replicas(self) -> list[replicas_lib.Replica]:
        """Returns a replica in d2 and one in d3 for each shard."""
        return [
            replicas_lib.Replica(
                f"s{shard}-{domain}",
                f"s{shard}",
                domain,
                random.Random(shard),
                lambda rng: 0.01,
                body=bytes([shard]) * 16,
            )
            for shard in range(_SHARDS)
            for domain in ("d2", "d3")
        ]

    def _run(self, replicas, main):
        route = replicas_lib.route(
            objective_s=0.3,
            shards=tuple(f"s{number}" for number in range(_SHARDS)),
            top_records=3,
            min_coverage=0.5,
        )

        async def run():
            rng = random.Random(1)
            instances = [
                replicas_lib.Instance(domain, replicas, rng)
                for domain in replicas_lib.DOMAINS
            ]
            table = model.Table(1, (route,), {})
            pools = [collectors_lib.Pool(item, table) for item in instances]
            collectors_lib.connect(instances, pools)
            return await main(instances, route)

        return virtual.run(run())

    def test_leaving_replica_is_known_to_the_sender(self):
        replicas = self._replicas()
        leaving = [item for item in replicas if item.domain == "d2"]
        for replica in leaving:
            replica.headers = lambda now_s: _LEAVING

        async def main(instances, route):
            await instances[0].serve(route)
            marked = set(instances[0].directory.leaving_ids)
            asked = {item.id for item in leaving if item.arrivals}
            arrivals = sum(item.arrivals for item in leaving)
            answer = await instances[0].serve(route)
            assert (answer.status, answer.missing) == (200, 0)
            assert sum(item.arrivals for item in leaving) == arrivals
            return marked, asked

        marked, asked = self._run(replicas, main)
        assert marked == asked != set()

    def test_collector_does_not_ask_a_paused_replica(self):
        # The sender does not know of the pause yet.
        replicas = self._replicas()

        async def main(instances, route):
            sender, collector, _ = instances
            for number in range(_SHARDS):
                entry = collector.directory.entry(f"s{number}-d2")
                entry.signals.record_pause(9.0, 0.0, random.Random(1))
            for _ in range(3):
                answer = await sender.serve(route)
                assert (answer.status, answer.missing) == (200, 0)
                await asyncio.sleep(0.1)
            return [
                sender.extra_attempts(f"s{number}").tokens
                for number in range(_SHARDS)
            ]

        tokens = self._run(replicas, main)
        paused = [item for item in replicas if item.domain == "d2"]
        assert sum(item.arrivals for item in paused) == 0
        # No extra attempt was taken for the replacements.
        full = replicas_lib.Instance("d1", [], random.Random(1))._limit
        assert min(tokens) >= full.max_tokens / 2

    def test_collector_does_not_ask_a_replica_that_left(self):
        # The sender has just started and does not know that they leave.
        replicas = self._replicas()

        async def main(instances, route):
            sender, collector, _ = instances
            leaving = [f"s{number}-d2" for number in range(_SHARDS)]
            collector.directory.mark_leaving(leaving)
            await asyncio.sleep(1.0)
            answer = await sender.serve(route)
            assert (answer.status, answer.missing) == (200, 0)
            return sender.directory.leaving_ids

        known = self._run(replicas, main)
        leaving = [item for item in replicas if item.domain == "d2"]
        assert sum(item.arrivals for item in leaving) == 0
        assert known
        assert known <= {item.id for item in leaving}

    def test_pause_told_to_a_collector_ends_its_requests(self):
        replicas = self._replicas()
        paused = [item for item in replicas if item.domain == "d2"]
        for replica in paused:
            replica.status = lambda now_s: 503
            replica.headers = lambda now_s: _refusal(b"5")

        async def main(instances, route):
            for _ in range(10):
                answer = await instances[0].serve(route)
                assert answer.status == 200
                await asyncio.sleep(0.1)
            health = [
                instances[0].directory.entry(item.id).health for item in paused
            ]
            now_s = asyncio.get_running_loop().time()
            assert not any(item.ejected(now_s) for item in health)

        self._run(replicas, main)
        assert max(item.arrivals for item in paused) == 1
