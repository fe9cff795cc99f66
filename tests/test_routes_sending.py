"""What waits for a connection is decided again when it is sent."""

import asyncio
import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import homes
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.upstream import http1
from tests.support import collectors as collectors_lib
from tests.support import memory_replicas
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SERVICES = ("s0", "s1")
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


def _create_network(max_connections: int = 1) -> memory_replicas.Network:
    network = memory_replicas.Network(
        _SERVICES, max_connections, cold_starts=_COLD_STARTS
    )
    network.directory._leaving_grace_s = 10.0
    regions = {"d1": "here", "d2": "here", "d3": "there"}
    network.directory.homes = homes.HomePolicy(regions, "d1")
    return network


class TestChanges:
    """Requests that wait for a replica go elsewhere once it changes."""

    @pytest.mark.parametrize("route", _ROUTES, ids=lambda route: route.name)
    @pytest.mark.parametrize("change", _CHANGES)
    async def test_waiting_requests_leave_at_once_and_for_free(
        self, change, route, no_tokens
    ):
        # Guards against requests that wait for the next free connection of a
        # replica that may get none.
        network = _create_network()
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
        assert not network.directory.reach._streak_by_domain

    @pytest.mark.parametrize("change", _CHANGES)
    async def test_request_taken_from_the_queue_is_not_written(self, change):
        # Guards against a change between the end of one request and the next
        # iteration of the event loop, which writes the next one.
        network = _create_network()
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
        network = _create_network(max_connections=8)
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
        network = _create_network()
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


class TestTime:
    """Replicas get the time that is left, and nothing after the deadline."""

    async def test_deadline_is_that_of_the_moment_of_writing(self):
        # Guards against a replica that works on a request for as long as the
        # request has waited after its caller has given up.
        network = _create_network()
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
        network = _create_network()
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
        network = _create_network()
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

    async def test_withheld_parts_are_no_failure_of_their_replicas(
        self, no_tokens
    ):
        # Guards against replicas, and a whole failure domain, that count as
        # failing because a collector knows first that they drain.
        route, replicas = self._replicas()
        sender, collecting, _ = self._instances(route, replicas)
        for entry in collecting.directory._entries_by_id.values():
            entry.draining = entry.replica.failure_domain == "d2"
        assert (await sender.serve(route)).status == 200
        for entry in sender.directory._entries_by_id.values():
            assert not entry.health.ejected(_now_s())
        assert not sender.directory.reach._streak_by_domain


_NAMES = tuple(f"{service}-{key}" for service in _SERVICES for key in "ab")
_KINDS = (
    _SINGLE,
    replicas_lib.route(
        name="once",
        targets=_SINGLE.targets,
        timeout_s=0.1,
        idempotent=False,
        home_regions=("here",),
    ),
    replicas_lib.route(
        name="g", shards=_SERVICES, timeout_s=1.0, objective_s=0.5
    ),
)
_LIMIT_PER_S = 5.0


class _Oracle:
    """What the replicas of one instance may get, kept beside its own state."""

    def __init__(self, network: memory_replicas.Network) -> None:
        self._network = network
        self._directory = network.directory
        self._changes = _Changes(network)
        self._starts: collections.Counter[str] = collections.Counter()
        self._draining: set[int] = set()
        self._domain_by_port: dict[int, str] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._paused_until_s: dict[int, float] = {}
        self._limited_from_s: dict[int, float] = {}
        self._ends_by_id: dict[bytes, tuple[model.Route, float]] = {}
        self._left: set[bytes] = set()
        self.violations: list[str] = []
        network.on_arrival = self._check

    def list(self, name: str, domain: str = "d1", **fields: object) -> None:
        port = self._network.port(name, self._starts[name])
        self._domain_by_port[port] = domain
        if fields.get("draining"):
            self._draining.add(port)
        else:
            self._draining.discard(port)
        self._network.put(name, domain, self._starts[name], **fields)

    def act(self, action: str, name: str, kind: int) -> None:
        """Applies a change of the world or starts requests."""
        port = self._network.port(name, self._starts[name])
        entry = self._directory.entry(name)
        if action == "request":
            for _ in range(5):
                self._request(_KINDS[kind])
        elif action == "restart":
            self._draining.add(port)
            self._starts[name] += 1
            self.list(name)
        elif action == "cut":
            self._network.cut(port)
        elif action == "evacuate":
            self._evacuated ^= {("d1", "d2", "d3")[kind]}
            self._directory.set_evacuated(self._evacuated, 7)
        elif action == "give_up":
            for task in self._network.tasks[-4:]:
                request = task._request_context.outgoing.request
                self._left.add(request.id)
                task.cancel()
        elif action in ("list", "drain"):
            domain = ("d1", "d2", "d3")[kind]
            self.list(name, domain, draining=action == "drain")
        elif entry is not None:
            getattr(self, "_" + action)(entry, port)

    def _remove(self, entry, port: int) -> None:
        self._draining.add(port)
        self._directory.remove(entry.replica.id, "delisted")

    def _pause(self, entry, port: int) -> None:
        self._paused_until_s[port] = _now_s() + 0.2
        self._network.instance.sender.record_signals(entry, False, 0.2)

    def _limit(self, entry, port: int) -> None:
        if entry.signals.limit is None:
            self._limited_from_s[port] = _now_s()
            header = b"x-rate-limit: %d\r\n" % _LIMIT_PER_S
            self._network.headers_by_port[port] = header
            self._directory.record_limit(entry, _LIMIT_PER_S)

    def _leave(self, entry, port: int) -> None:
        del port
        self._network.instance.sender.record_signals(entry, True, None)

    def _request(self, route: model.Route) -> None:
        loop = asyncio.get_running_loop()
        before = len(self._network.tasks)
        end_s = loop.time() + route.timeout_s
        create = self._network.instance.create_request_context

        def create_known(*arguments):
            context = create(*arguments)
            self._ends_by_id[context.outgoing.request.id] = (route, end_s)
            return context

        self._network.instance.create_request_context = create_known
        self._network.request(route)
        self._network.instance.create_request_context = create
        assert len(self._network.tasks) == before + 1

    def _check(self, arrival: memory_replicas.Arrival) -> None:
        port, now_s = arrival.port, arrival.at_s
        route, end_s = self._ends_by_id[arrival.request_id]
        domain = self._domain_by_port[port]
        limited_s = self._limited_from_s.get(port, now_s)
        since = [
            item
            for item in self._network.arrivals
            if item.port == port and item.at_s >= max(limited_s, now_s - 1.0)
        ]
        reasons = {
            "draining": port in self._draining,
            "evacuated": domain in self._evacuated,
            "paused": now_s < self._paused_until_s.get(port, 0.0),
            "limited": limited_s < now_s
            and len(since) > 2 + _LIMIT_PER_S * min(1.5, now_s - limited_s),
            "not at home": bool(route.home_regions) and domain == "d3",
            "caller left": arrival.request_id in self._left,
            "too much time": arrival.left_s > end_s - now_s + 0.0011,
            "late": now_s >= end_s,
        }
        self.violations += [
            f"{reason}: {arrival}" for reason, true in reasons.items() if true
        ]


class TestInterleavings:
    """No change comes too late for what waits, and nothing is forgotten."""

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["request"] * 6
                    + ["drain", "remove", "restart", "list", "pause"] * 2
                    + ["limit", "leave", "cut", "evacuate", "give_up"]
                ),
                strategies.sampled_from(_NAMES),
                strategies.integers(0, 2),
                # Some changes come in one iteration of the loop, others while
                # requests wait, are answered, or after that.
                strategies.sampled_from([None, None, 0.0, 0.002, 0.03, 0.3]),
            ),
            min_size=8,
            max_size=40,
        )
    )
    def test_nothing_is_written_that_may_not_be(self, actions):
        async def main():
            network = _create_network()
            oracle = _Oracle(network)
            for name in _NAMES:
                oracle.list(name)
            for action, name, kind, wait_s in actions:
                oracle.act(action, name, kind)
                if wait_s is not None:
                    await asyncio.sleep(wait_s)
            await asyncio.sleep(max(route.timeout_s for route in _KINDS) + 0.1)
            assert not oracle.violations
            assert all(task.done.done() for task in network.tasks)
            assert not network.count_waiting()
            sent = collections.Counter(
                item.request_id for item in network.arrivals
            )
            for task in network.tasks:
                request = task._request_context.outgoing.request
                once = not task._route.idempotent
                assert not once or sent[request.id] <= 1
                if not task.done.cancelled() and once:
                    refused = task.done.result().status == 503
                    assert not refused or not sent[request.id]

        virtual.run(main())
