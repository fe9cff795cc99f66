"""Outcomes of requests that were not run, and placement of gathered ones."""

import asyncio
import dataclasses
import math
import random

import msgspec
import pytest

from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach
from mallowloft.routes.placement import connections
from mallowloft.routes.placement import gatherers
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SHARDS = 10
_NOT_RUN = ((replicas_lib.NAMES.not_run, b"1"),)
_LOADED = (*_NOT_RUN, (replicas_lib.NAMES.load, b"2,12,2"))


class _BusyPool:
    """Connections that never become idle, so that requests wait."""

    max_connections = 1
    open_count = 1
    failing = False
    address = "busy:1"
    received_s = -math.inf
    acknowledged = None

    def submit(self, exchange: http1.Exchange) -> None:
        """Leaves the request waiting."""

    def round_trip_s(self) -> None:
        """Returns no round trip."""


def _gather(prepare, **fields):
    """Returns an answer gathered from prepared replicas, and its duration."""

    async def main():
        rng = random.Random(1)
        replicas = [
            replicas_lib.Replica(
                f"{shard}-{domain}", f"s{shard}", domain, rng, lambda rng: 0.01
            )
            for shard in range(_SHARDS)
            for domain in ("d1", "d2")
        ]
        instance = replicas_lib.Instance("d1", replicas, rng)
        prepare(replicas, instance)
        route = replicas_lib.route(
            shards=tuple(f"s{shard}" for shard in range(_SHARDS)),
            min_coverage=0.9,
            **fields,
        )
        context = instance.create_request_context(route)
        answer = await instance.serve(route)
        return answer, asyncio.get_running_loop().time(), context

    return virtual.run(main())


def _reject(replica, headers) -> None:
    replica.status = lambda now_s: 503
    replica.headers = lambda now_s: headers


def _retry_after_s(answer: model.Answer) -> float:
    return float(dict(answer.headers)[b"retry-after"])


class TestNotRun:
    """Guards against 502 and 504 for requests that no replica has run."""

    def test_rejection_by_all_replicas_is_a_refusal(self):
        def prepare(replicas, instance):
            for replica in replicas:
                _reject(replica, _LOADED)

        answer, _, context = _gather(prepare)
        assert (answer.status, answer.reason) == (503, "not_run")
        # The median of an attempt, and six more for the reported queue.
        median_s = context.latency.median_s
        assert _retry_after_s(answer) == pytest.approx(7 * median_s, abs=1e-3)

    def test_one_failed_attempt_may_have_run(self):
        def prepare(replicas, instance):
            for replica in replicas:
                _reject(replica, _NOT_RUN if replica.id != "3-d1" else ())

        answer, _, _ = _gather(prepare)
        assert answer.status == 502

    @pytest.mark.parametrize("written", [False, True])
    def test_requests_that_wait_for_a_connection_are_refused_at_the_deadline(
        self, written
    ):
        def prepare(replicas, instance):
            for entry in instance.directory.used_entries() or [
                instance.directory.entry(replica.id) for replica in replicas
            ]:
                if not written or entry.replica.service != "s1":
                    entry.pool = _BusyPool()
            for replica in replicas:
                replica.unresponsive = lambda now_s: True

        answer, ended_s, _ = _gather(prepare)
        assert ended_s == pytest.approx(0.4, abs=0.01)
        assert answer.status == (504 if written else 503)


class TestOutOfReach:
    """Guards against waiting for parts when too few can still arrive."""

    @pytest.mark.parametrize("failing,ended_s", [(1, 0.3), (2, 0.05)])
    def test_request_ends_once_too_few_shards_are_left(self, failing, ended_s):
        def prepare(replicas, instance):
            for replica in replicas:
                if int(replica.id[0]) < failing:
                    replica.status = lambda now_s: 500
                else:
                    replica.work_s = lambda rng: 0.25

        answer, now_s, _ = _gather(prepare, timeout_s=1.0, objective_s=0.9)
        assert answer.status == (200 if failing == 1 else 502)
        assert now_s <= ended_s


def _forward(pool, **fields) -> model.Answer:
    """Returns the answer to a request that is passed on to one forwarder."""

    async def main():
        instance = replicas_lib.Instance("d1", [], random.Random(1))
        hubs = hubs_lib.Hubs("i", "d1", 0.0)
        entry = directory_lib.ReplicaEntry(
            model.Replica("f", "hubs", "h", 1, "d1", 8),
            pool,
            health_lib.ReplicaHealth(),
            remote=False,
        )
        hubs.forwarders = lambda now_s: [entry]
        route = replicas_lib.route(targets=(model.Target("s", 1.0),), **fields)
        task = delegation.ForwardedRequest(
            instance,
            instance.create_request_context(route),
            hubs,
            limits.RouteLatency(route.objective_s),
            0.0,
            ["s"],
            1,
        )
        task.start()
        return await task.done

    return virtual.run(main())


class _FailingPool(_BusyPool):
    """Connections to an instance whose program fails."""

    def submit(self, exchange: http1.Exchange) -> None:
        """Answers with an internal error."""
        exchange.connection = self
        loop = asyncio.get_running_loop()
        loop.call_soon(exchange.set_outcome, http1.Response(500, (), b""))


class _AnsweringPool(_BusyPool):
    """Connections to an instance that gives an answer."""

    def __init__(self, answer: model.Answer) -> None:
        super().__init__()
        self._body = delegation.encode_answer(answer, False)

    def submit(self, exchange: http1.Exchange) -> None:
        """Answers at once."""
        exchange.connection = self
        loop = asyncio.get_running_loop()
        loop.call_soon(
            exchange.set_outcome, http1.Response(200, (), self._body)
        )


class TestPassedOn:
    """Guards against wrong promises about requests that were passed on."""

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refusal_of_a_replica_is_no_promise(self, status):
        # An instance of an earlier build passes on such replies.
        reply = model.Answer(status, ((b"x-signature", b"s"),), b"reply")
        answer = _forward(_AnsweringPool(reply), idempotent=False)
        assert (answer.status, answer.headers) == (502, ())
        assert answer.body != reply.body
        assert _forward(_AnsweringPool(reply)).status == status

    def test_refusal_of_the_other_instance_is_a_promise(self):
        refusal = model.refusal("no_replica", 0.5)
        answer = _forward(_AnsweringPool(refusal), idempotent=False)
        assert (answer.status, answer.reason) == (503, "no_replica")

    def test_request_that_no_instance_got_is_refused(self):
        answer = _forward(_BusyPool(), idempotent=False)
        assert (answer.status, answer.reason) == (503, "hubs_not_reached")

    def test_request_at_a_failing_instance_may_have_run(self):
        assert _forward(_FailingPool(), idempotent=False).status == 502


class _CountedPool:
    """Connections of one instance to one replica, without a network."""

    connecting_count = 0
    renewing = False
    received_s = opened_s = -math.inf

    def __init__(self, host, port, max_connections, *others) -> None:
        del others
        self.address = f"{host}:{port}"
        self.max_connections = max_connections
        self.open_count = 0
        self.failing = False

    def open(self, count: int) -> None:
        """Opens connections as requests that wait would."""
        if not self.failing and (self.open_count or self.may_connect()):
            self.open_count = max(
                self.open_count, min(count, self.max_connections)
            )

    def close_idle(self) -> None:
        """Closes all connections."""
        self.open_count = 0

    def renew(self) -> None:
        """Opens a connection."""
        self.open_count = max(1, self.open_count)

    def keep_open(self) -> None:
        """Opens a connection."""
        self.open(1)

    def stop_keeping_open(self) -> None:
        """Does nothing."""


_FLEET_SHARDS = tuple(f"s{shard}" for shard in range(8))


def _open_fleet(instances, small_links, limit):
    """Returns the directories of a fleet that shares a limit."""
    directories = []
    for number in range(instances):
        name = f"i{number}"
        is_small = number < small_links
        directory = directory_lib.Directory(
            name,
            f"d{number % 3}",
            lambda event: None,
            reach.DomainReachability(),
            _CountedPool,
        )
        on_demand = _FLEET_SHARDS if is_small else ()
        directory.set_services(
            _FLEET_SHARDS,
            dict.fromkeys(_FLEET_SHARDS, limit),
            _FLEET_SHARDS,
            on_demand,
        )
        for service in _FLEET_SHARDS:
            for domain in range(3):
                directory.put(
                    model.Replica(
                        f"{service}-{domain}", service, "h", 1, f"d{domain}"
                    )
                )
        population = connections.Population(
            instances, small_links, is_small, connections.draw(name)
        )
        # The hubs give these divisors for instances with and without them.
        divisor = float(instances)
        if small_links:
            large = instances - small_links
            divisor = instances / 0.2 if is_small else large / 0.8
        directory.divide_limits(instances, divisor, population)
        directories.append(directory)
    return directories


def _count_by_replica(directories) -> dict[str, int]:
    entries = [item for one in directories for item in one.used_entries()]
    counts = dict.fromkeys((entry.replica.id for entry in entries), 0)
    for entry in entries:
        counts[entry.replica.id] += entry.pool.open_count
    return counts


class TestConnections:
    """Guards against more connections than a replica accepts.

    98 instances had one connection to each of the replicas, which accept 84.
    """

    def _run(self, test) -> None:
        async def main() -> None:
            test()

        virtual.run(main())

    @pytest.mark.parametrize(
        "instances,small_links,limit,failing",
        [
            (98, 49, 84, "s1-0"),
            (98, 70, 84, ""),
            (98, 0, 84, "s1-0"),
            (63, 0, 54, "s1-0"),
            (63, 30, 54, "s1-0"),
        ],
    )
    def test_all_instances_together_stay_within_the_limit(
        self, instances, small_links, limit, failing
    ):
        def test():
            rng = random.Random(3)
            fleet = _open_fleet(instances, small_links, limit)
            for failing_id in ("", failing):
                for directory in fleet:
                    entries = directory.used_entries()
                    for entry in entries:
                        if entry.replica.id == failing_id:
                            entry.pool.failing = True
                            entry.pool.open_count = 0
                    # All gather themselves, and hedge at all replicas.
                    rng.shuffle(entries)
                    for entry in entries:
                        entry.pool.open(8)
                assert max(_count_by_replica(fleet).values()) <= limit
            served = sum(
                any(entry.connectable for entry in directory.entries(service))
                for directory in fleet
                for service in _FLEET_SHARDS
            )
            # Instances without an allotment have gatherers.
            assert served >= (0.7 if small_links else 1.0) * len(fleet) * len(
                _FLEET_SHARDS
            )

        self._run(test)

    def test_instances_with_one_connection_per_shard_use_gatherers(self):
        # Guards against late answers: such an instance cannot hedge.
        def test():
            fleet = _open_fleet(98, 49, 84)
            assert not any(item.may_hedge("s1") for item in fleet[:49])
            assert all(item.may_hedge("s1") for item in fleet[49:])
            assert all(item.may_hedge("s1") for item in _open_fleet(63, 0, 54))

        self._run(test)

    def test_without_a_known_fleet_all_replicas_may_be_connected(self):
        def test():
            (directory,) = _open_fleet(1, 0, 54)
            directory.divide_limits(200.0, 200.0)
            assert not directory.allotments()
            assert all(item.connectable for item in directory.used_entries())

        self._run(test)

    def test_connections_beyond_the_allotment_are_closed_once_it_is_known(self):
        # Guards against the connections that an instance opens at its start,
        # while it assumes a small fleet.
        def test():
            directory, *_ = _open_fleet(63, 0, 54)
            directory.divide_limits(8.0, 8.0)
            for entry in directory.used_entries():
                entry.pool.open(8)
            population = connections.Population(63, 0, False, 0.5)
            directory.divide_limits(63.0, 63.0, population)
            for service in _FLEET_SHARDS:
                entries = directory.entries(service)
                assert sum(bool(item.pool.open_count) for item in entries) == 2

        self._run(test)

    def test_few_connections_are_tried_after_a_cut(self):
        # Guards against connections of all instances to all replicas at once.
        def test():
            fleet = _open_fleet(98, 98, 84)
            for directory in fleet:
                directory.reconnect()
            counts = _count_by_replica(fleet)
            assert sum(counts.values()) <= 98 * 3 * 3
            assert max(counts.values()) <= 84

        self._run(test)


def _overloaded() -> http1.Response:
    reason = gatherers.OVERLOADED.encode()
    return http1.Response(503, ((b"retry-after", b"0.100"),), reason)


def _create_entries(pools) -> list[directory_lib.ReplicaEntry]:
    return [
        directory_lib.ReplicaEntry(
            model.Replica(f"g{number}", "hubs", "h", 1, "d1", 8),
            pool,
            health_lib.ReplicaHealth(),
            remote=False,
        )
        for number, pool in enumerate(pools)
    ]


class _Gatherer(_BusyPool):
    """Connections to a gatherer that gives one outcome.

    Attributes:
        calls: Number of requests that it got.
    """

    def __init__(self, outcome) -> None:
        self._outcome = outcome
        self.calls = 0

    def submit(self, exchange: http1.Exchange) -> None:
        """Ends a request with the outcome."""
        self.calls += 1
        exchange.connection = self
        loop = asyncio.get_running_loop()
        loop.call_later(0.001, exchange.set_outcome, self._outcome)

    def close(self, reason: str) -> None:
        """Does nothing."""


class _InOrder:
    """Chooses the first entry that was not tried."""

    def choose(self, entries, now_s, tried=(), healthy_only=False):
        """Returns the entry, None if there is none."""
        del now_s, healthy_only
        return next((item for item in entries if item not in tried), None)


class TestGatherers:
    """Guards against overload that spreads from one gatherer to all."""

    def _run(
        self, outcomes, left_s: float = 0.4
    ) -> tuple[model.Answer, int, int]:
        """Returns answer, calls of gatherers and arrivals at the replica."""

        async def main():
            rng = random.Random(1)
            replica = replicas_lib.Replica(
                "r", "s", "d1", rng, lambda rng: 0.01
            )
            instance = replicas_lib.Instance("d1", [replica], rng)
            instance.selector = _InOrder()
            pools = [_Gatherer(outcome) for outcome in outcomes]
            hubs = hubs_lib.Hubs("i", "d1", 0.0)
            hubs.gathering_hubs = _create_entries(pools)
            route = replicas_lib.route(shards=("s",), min_coverage=1.0)
            context = instance.create_request_context(route)
            task = delegation.DelegatedRequest(
                instance,
                dataclasses.replace(context, end_s=context.started_s + left_s),
                hubs,
                limits.RouteLatency(route.objective_s),
            )
            task.start()
            answer = await task.done
            return answer, sum(pool.calls for pool in pools), replica.arrivals

        return virtual.run(main())

    @pytest.mark.parametrize("count,calls", [(1, 1), (2, 2), (5, 2)])
    def test_refusal_is_passed_on_after_one_other_gatherer(self, count, calls):
        answer, called, arrivals = self._run([_overloaded()] * count)
        assert (answer.status, answer.reason) == (503, "overloaded")
        assert _retry_after_s(answer) == 0.1
        assert (called, arrivals) == (calls, 0)

    @pytest.mark.parametrize(
        "other,status",
        [
            (http1.FailureReason.UNSENT, 503),
            (http1.FailureReason.BROKEN, 502),
            (http1.Response(409, (), b"stopping"), 503),
        ],
    )
    def test_request_is_not_gathered_here_after_a_refusal(self, other, status):
        outcomes = [_overloaded(), other, _overloaded()]
        answer, called, arrivals = self._run(outcomes)
        assert (answer.status, called, arrivals) == (status, 2, 0)

    def test_nothing_is_sent_after_the_deadline(self):
        answer, called, arrivals = self._run([_overloaded()], left_s=0.0)
        assert (answer.status, called, arrivals) == (503, 0, 0)

    def test_less_loaded_gatherer_is_chosen_until_the_report_expires(self):
        reports = gatherers.LoadReports(random.Random(1))
        entries = _create_entries([_BusyPool(), _BusyPool()])
        reports.record("g0", gatherers.Load(10, 5, 10), 1.0)
        for _ in range(20):
            assert reports.better_of_two(entries, 1.9) is entries[1]
        assert reports.better_of_two(entries, 2.0) is None
        # A load without a limit says nothing.
        reports.record("g1", gatherers.Load(3), 2.5)
        assert reports.better_of_two(entries, 2.5) is None

    def test_builds_without_loads_are_understood(self):
        encoded = delegation.encode_answer(
            model.Answer(200), False, load=gatherers.Load(1, 2, 3)
        )
        fields = msgspec.msgpack.decode(encoded)
        assert fields[-1] == [1, 2, 3]
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(fields[:-1]), type=delegation.Gathered
        )
        assert decoded.load == gatherers.NO_LOAD
