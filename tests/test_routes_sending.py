"""What waits for a connection is decided again when it is sent."""

import asyncio
import collections
import dataclasses
import random

import pytest

from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import rate_limits
from mallowloft.routes.cold import limit as cold_limit
from mallowloft.upstream import http1
from tests.support import collectors as collectors_lib
from tests.support import memory_replicas
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SERVICES = memory_replicas.SERVICES
_COLD_STARTS = {service: model.ColdStart(12.0, 0.001) for service in _SERVICES}
_SINGLE = replicas_lib.route(
    targets=(model.Target("s0", 1.0),),
    timeout_s=4.0,
    objective_s=4.0,
    max_attempts=1,
    home_regions=("here",),
)
_ONCE = replicas_lib.route(
    name="once",
    targets=(model.Target("s0", 1.0),),
    timeout_s=4.0,
    max_attempts=1,
    idempotent=False,
    home_regions=("here",),
)
_GATHERED = replicas_lib.route(
    name="g",
    shards=("s0",),
    min_coverage=1.0,
    timeout_s=4.0,
    objective_s=4.0,
    max_attempts=1,
    home_regions=("here",),
)
_ROUTES = (_SINGLE, _ONCE, _GATHERED)


@pytest.fixture
def no_tokens(monkeypatch):
    """Fails the test if an attempt takes a token for an extra attempt."""

    def withdraw(self, min_tokens: float) -> bool:
        raise AssertionError(f"token taken down to {min_tokens}")

    monkeypatch.setattr(limits.ExtraAttemptBucket, "_withdraw", withdraw)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class _Changes:
    """Reasons for which a replica may not get a request that waits for it."""

    def __init__(self, network: memory_replicas.Network) -> None:
        self._network = network
        self._directory = network.directory
        self._sender = network.instance.sender

    def drains(self, entry: directory_lib.ReplicaEntry) -> None:
        self._network.put(entry.replica.id, draining=True)

    def leaves(self, entry: directory_lib.ReplicaEntry) -> None:
        self._directory.remove(entry.replica.id, "delisted")

    def starts_again(self, entry: directory_lib.ReplicaEntry) -> None:
        self._network.put(entry.replica.id, started=2, draining=True)

    def is_superseded(self, entry: directory_lib.ReplicaEntry) -> None:
        replica = entry.replica
        self._directory.put(
            model.Replica(
                "s1-new", "s1", replica.host, replica.port, "d1", started=9
            )
        )

    def is_misdirected(self, entry: directory_lib.ReplicaEntry) -> None:
        self._sender._mark_misdirected(entry)

    def is_about_to_end(self, entry: directory_lib.ReplicaEntry) -> None:
        self._sender.record_signals(entry, True, None)

    def wants_a_pause(self, entry: directory_lib.ReplicaEntry) -> None:
        self._sender.record_signals(entry, False, 30.0)

    def states_a_limit(self, entry: directory_lib.ReplicaEntry) -> None:
        self._directory.divide_limits(1e4, 1e4)
        self._directory.record_limit(entry, 1.0)

    def turns_cold(self, entry: directory_lib.ReplicaEntry) -> None:
        self._network.put(entry.replica.id, cold_s=12.0)

    def is_evacuated(self, entry: directory_lib.ReplicaEntry) -> None:
        del entry
        self._directory.set_evacuated(frozenset(("d1",)), 7)

    def leaves_its_home(self, entry: directory_lib.ReplicaEntry) -> None:
        self._network.put(entry.replica.id, domain="d3")


_CHANGES = sorted(name for name in vars(_Changes) if not name.startswith("_"))


class TestChanges:
    """Requests that wait for a replica go elsewhere once it changes."""

    @pytest.mark.parametrize("route", _ROUTES, ids=lambda route: route.name)
    @pytest.mark.parametrize("change", _CHANGES)
    async def test_waiting_requests_leave_at_once_and_for_free(
        self, change, route, no_tokens
    ):
        # Guards against requests that wait for the next free connection of a
        # replica that may get none.
        network = memory_replicas.create_network(_COLD_STARTS)
        changing = network.put("s0-a")
        for _ in range(4):
            network.request(route)
        await asyncio.sleep(0.01)
        assert len(network.arrivals) == 1
        other = network.put("s0-b", "d2")
        getattr(_Changes(network), change)(changing)
        await asyncio.sleep(0.004)
        left = [arrival.port for arrival in network.arrivals]
        assert left == [changing.replica.port, other.replica.port]
        answers = [await task.done for task in network.tasks]
        assert {answer.status for answer in answers} == {200}
        ports = collections.Counter(item.port for item in network.arrivals)
        assert ports == {changing.replica.port: 1, other.replica.port: 3}
        assert not changing.health.ejected(_now_s())
        links = network.directory.reach._link_by_domain.values()
        assert not any(link.is_silent for link in links)

    @pytest.mark.parametrize("change", _CHANGES)
    async def test_request_taken_from_the_queue_is_not_written(self, change):
        # Guards against a change between the end of one request and the next
        # iteration of the event loop, which writes the next one.
        network = memory_replicas.create_network(_COLD_STARTS)
        changing = network.put("s0-a")
        for _ in range(2):
            network.request(_ONCE)
        await asyncio.sleep(0.01)
        (connection,) = changing.pool._open
        connection.data_received(memory_replicas.REPLY % b"")
        getattr(_Changes(network), change)(changing)
        await asyncio.sleep(1.0)
        if change == "is_about_to_end":
            # It is chosen again, since nothing else can serve.
            assert network.tasks[1].done.result().status == 200
            return
        assert len(network.arrivals) == 1
        assert network.tasks[1].done.result().status == 503
        assert not network.count_waiting()

    async def test_permits_are_not_used_together_after_a_wait(self):
        # Guards against a burst of requests whose permits have lapsed.
        network = memory_replicas.create_network(_COLD_STARTS, 8)
        entry = network.put("s0-a")
        network.headers_by_port[entry.replica.port] = b"x-rate-limit: 4\r\n"
        network.reply_s = 1.5
        for _ in range(8):
            network.request(_ONCE)
        await asyncio.sleep(0.1)
        network.directory.record_limit(entry, 4.0)
        for _ in range(70):
            network.request(_ONCE)
            await asyncio.sleep(0.02)
        assert network.count_waiting() >= 5
        await asyncio.sleep(0.1)
        assert 1 <= len(network.arrivals) - 8 <= 3

    async def test_lowered_limit_ends_permits_of_the_higher_one(self):
        network = memory_replicas.create_network(_COLD_STARTS)
        entry = network.put("s0-a")
        network.headers_by_port[entry.replica.port] = b"x-rate-limit: 1\r\n"
        network.directory.record_limit(entry, 100.0)
        await asyncio.sleep(0.2)
        for _ in range(12):
            network.request(_ONCE)
        await asyncio.sleep(0.01)
        network.directory.record_limit(entry, 1.0)
        await asyncio.sleep(1.0)
        assert len(network.arrivals) <= 3
        assert all(task.done.done() for task in network.tasks)


class TestConfiguration:
    """A request that waits follows its route."""

    def _start(self, route: model.Route, **changes: object):
        """Returns a network in which requests wait while a route changes."""
        network = memory_replicas.create_network(_COLD_STARTS)
        network.put("s0-a")
        network.put("s1-a")
        for _ in range(4):
            network.request(route)
        changed = dataclasses.replace(route, **changes) if changes else None
        network.instance.changed_routes[route.name] = changed
        network.directory.set_services(_SERVICES, dict.fromkeys(_SERVICES, 1))
        return network

    @pytest.mark.parametrize("route", [_SINGLE, _ONCE])
    async def test_request_goes_to_the_service_that_its_route_names(
        self, route, no_tokens
    ):
        network = self._start(route, targets=(model.Target("s1", 1.0),))
        answers = [await task.done for task in network.tasks]
        assert {answer.status for answer in answers} == {200}
        ports = collections.Counter(item.port for item in network.arrivals)
        assert ports == {network.port("s1-a"): 4}

    @pytest.mark.parametrize("route", [_SINGLE, _ONCE])
    @pytest.mark.parametrize("changes", [{}, {"home_regions": ("there",)}])
    async def test_request_is_refused_if_its_route_allows_no_replica(
        self, changes, route
    ):
        network = self._start(route, **changes)
        answers = [await task.done for task in network.tasks]
        assert {answer.status for answer in answers} == {503}
        assert not network.arrivals

    async def test_parts_stay_with_the_shards_of_one_version(self):
        network = self._start(_GATHERED, shards=("s1",))
        answers = [await task.done for task in network.tasks]
        assert {answer.status for answer in answers} == {200}
        ports = {item.port for item in network.arrivals}
        assert ports == {network.port("s0-a")}


class TestUnreachableDomain:
    """Requests do not wait for connections that deliver nothing."""

    async def test_waiting_requests_choose_again(self, no_tokens):
        network = memory_replicas.create_network(_COLD_STARTS)
        network.reply_s = 60.0
        silent = network.put("s0-a")
        for _ in range(4):
            network.request(_ONCE)
        await asyncio.sleep(0.01)
        network.reply_s = memory_replicas.REPLY_S
        other = network.put("s0-b", "d2")
        silent.health.record_failure(None, _now_s())
        for number in range(6):
            network.directory.reach.failed("d1", _now_s() + 0.1 * number)
        await asyncio.sleep(0.2)
        ports = collections.Counter(item.port for item in network.arrivals)
        assert ports == {silent.replica.port: 1, other.replica.port: 3}

    async def test_they_wait_on_if_there_is_no_other_replica(self):
        network = memory_replicas.create_network(_COLD_STARTS)
        network.put("s0-a")
        for _ in range(4):
            network.request(_ONCE)
        await asyncio.sleep(0.01)
        for number in range(6):
            network.directory.reach.failed("d1", _now_s() + 0.1 * number)
        answers = [await task.done for task in network.tasks]
        assert {answer.status for answer in answers} == {200}

    async def test_later_requests_are_not_returned(self):
        # Guards against a loss that acts on what waits at the next change.
        network = memory_replicas.create_network(_COLD_STARTS)
        entry = network.put("s0-a")
        for number in range(6):
            network.directory.reach.failed("d1", _now_s() + 0.1 * number)
        tasks = [network.request(_ONCE) for _ in range(4)]
        await asyncio.sleep(0.01)
        network.put("s0-a", slots=2)
        await asyncio.sleep(0.01)
        assert network.count_waiting() == 3
        assert not any(task.retries for task in tasks)
        answers = [await task.done for task in tasks]
        assert {answer.status for answer in answers} == {200}
        assert not entry.pool.failing


class TestTime:
    """Replicas get the time that is left, and nothing after the deadline."""

    async def test_deadline_is_that_of_the_moment_of_writing(self):
        # Guards against a replica that works on a request for as long as the
        # request has waited after its caller has given up.
        network = memory_replicas.create_network(_COLD_STARTS)
        network.put("s0-a")
        for _ in range(20):
            network.request(_ONCE)
        await asyncio.gather(*(task.done for task in network.tasks))
        assert len(network.arrivals) == 20
        for arrival in network.arrivals:
            assert arrival.left_s == pytest.approx(
                _ONCE.timeout_s - arrival.at_s, abs=0.0011
            )

    async def test_nothing_is_written_after_the_deadline(self):
        # A collector's attempts end a little after their time.
        network = memory_replicas.create_network(_COLD_STARTS)
        entry = network.put("s0-a")
        network.request(_ONCE)
        context = network.instance.create_request_context(_ONCE)
        outcomes = []
        network.instance.sender.start(
            entry,
            context.outgoing,
            0.02,
            context.latency,
            lambda _, outcome: outcomes.append(outcome),
        )
        await asyncio.sleep(1.0)
        assert len(network.arrivals) == 1
        assert outcomes == [model.Failure.UNSENT]

    async def test_caller_that_has_left_is_not_served(self):
        network = memory_replicas.create_network(_COLD_STARTS)
        entry = network.put("s0-a")
        network.request(_ONCE)
        leaving = [network.request(route) for route in _ROUTES]
        await asyncio.sleep(0.01)
        (connection,) = entry.pool._open
        connection.data_received(memory_replicas.REPLY % b"")
        for task in leaving:
            task.cancel()
        await asyncio.sleep(1.0)
        assert len(network.arrivals) == 1
        assert not network.count_waiting()

    def test_delegated_request_states_the_time_that_is_left(self):
        exchanges = []

        async def main():
            replica = replicas_lib.Replica(
                "r", "s", "d1", random.Random(1), lambda rng: 0.01
            )
            instance = replicas_lib.Instance("d1", [replica], random.Random(1))
            hub = collectors_lib.Pool(instance, model.Table(1, (), {})).entry()
            hub.pool.submit = exchanges.append
            hubs = hubs_lib.Hubs("i", "d1", 0.0)
            hubs.gathering_hubs = [hub]
            route = replicas_lib.route(shards=("s",), timeout_s=4.0)
            task = delegation.DelegatedRequest(
                instance,
                instance.create_request_context(route),
                hubs,
                limits.RouteLatency(4.0),
            )
            task._schedule_timer = lambda: None
            task.start()
            await asyncio.sleep(3.0)
            (exchange,) = exchanges
            assert exchange.may_send()
            body = exchange.wire.partition(b"\r\n\r\n")[2]
            assert delegation.call_decoder.decode(body).left_s <= 1.0
            await asyncio.sleep(1.5)
            assert not exchange.may_send()

        virtual.run(main())


class TestCollectors:
    """Batches, and what collectors pass on, are checked in the same way."""

    def _replicas(self) -> tuple[model.Route, list[replicas_lib.Replica]]:
        shards = tuple(f"s{number}" for number in range(6))
        rng = random.Random(1)
        replicas = [
            replicas_lib.Replica(
                f"{shard}-{domain}", shard, domain, rng, lambda rng: 0.005
            )
            for shard in shards
            for domain in ("d2", "d3")
        ]
        route = replicas_lib.route(
            shards=shards, min_coverage=1.0, max_attempts=1, timeout_s=1.0
        )
        return route, replicas

    def _instances(self, route, replicas):
        rng = random.Random(1)
        sender, collecting = (
            replicas_lib.Instance(domain, replicas, rng)
            for domain in ("d1", "d2")
        )
        pool = collectors_lib.Pool(collecting, model.Table(1, (route,), {}))
        collectors_lib.connect([sender], [pool])
        sender.collect_above = 0
        return sender, collecting, pool

    @pytest.mark.parametrize("change", ["drains", "wants_a_pause"])
    async def test_batch_that_waits_is_withdrawn(self, change, no_tokens):
        route, replicas = self._replicas()
        sender, _, pool = self._instances(route, replicas)
        waiting: list[http1.Exchange] = []
        pool.submit = waiting.append
        task = asyncio.ensure_future(sender.serve(route))
        await asyncio.sleep(0)
        batches = [item for item in waiting if item.may_send()]
        assert batches
        for entry in list(sender.directory._entries_by_id.values()):
            if entry.replica.failure_domain == "d2":
                if change == "drains":
                    entry.draining = True
                else:
                    sender.sender.record_signals(entry, False, 30.0)
        assert not any(item.may_send() for item in batches)
        assert (await task).status == 200
        assert sum(item.arrivals for item in replicas[::2]) == 0

    @pytest.mark.parametrize("change", ["drains", "turns_cold"])
    async def test_withheld_parts_are_no_failure_of_their_replicas(
        self, change, no_tokens
    ):
        # Guards against replicas, and a whole failure domain, that count as
        # failing because a collector knows first that they drain.
        route, replicas = self._replicas()
        sender, collecting, pool = self._instances(route, replicas)
        permits = rate_limits.RateLimit(1.0, 1e4, 0.9, 0.0)
        for entry in collecting.directory._entries_by_id.values():
            if entry.replica.failure_domain != "d2":
                continue
            if change == "drains":
                entry.draining = True
            else:
                entry.signals.cold = cold_limit.ColdLimit(1.0, permits, 12.0)
        assert (await sender.serve(route)).status == 200
        assert pool.calls == 1
        assert not any(item.arrivals for item in replicas[::2])
        for entry in sender.directory._entries_by_id.values():
            assert not entry.health.ejected(_now_s())
        links = sender.directory.reach._link_by_domain.values()
        assert not any(link.is_silent for link in links)
