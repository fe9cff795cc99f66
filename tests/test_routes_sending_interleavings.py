"""Any order of changes and events of connections, against a model."""

import asyncio
import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from mallowloft.routes import model
from tests.support import memory_replicas
from tests.support import replicas as replicas_lib
from tests.support import virtual

_NAMES = tuple(
    f"{service}-{key}" for service in memory_replicas.SERVICES for key in "ab"
)
_TARGETS = (model.Target("s0", 1.0),)
_KINDS = (
    replicas_lib.route(
        targets=_TARGETS, timeout_s=4.0, max_attempts=1, home_regions=("here",)
    ),
    replicas_lib.route(
        name="once",
        targets=_TARGETS,
        timeout_s=0.1,
        idempotent=False,
        home_regions=("here",),
    ),
    replicas_lib.route(
        name="g",
        shards=memory_replicas.SERVICES,
        timeout_s=1.0,
        objective_s=0.5,
    ),
)
_LIMIT_PER_S = 5.0


class _Oracle:
    """What the replicas of one instance may get, kept beside its own state."""

    def __init__(self, network: memory_replicas.Network) -> None:
        self._network = network
        self._directory = network.directory
        self._starts: collections.Counter[str] = collections.Counter()
        self._draining: set[int] = set()
        self._domain_by_port: dict[int, str] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._paused_until_s: dict[int, float] = {}
        self._limited_from_s: dict[int, float] = {}
        self._ends_by_id: dict[bytes, tuple[model.Route, float]] = {}
        self._left: set[bytes] = set()
        self._service_by_route: dict[str, str] = {}
        self._service_by_port: dict[int, str] = {}
        self.violations: list[str] = []
        network.on_arrival = self._check

    def list(self, name: str, domain: str = "d1", **fields: object) -> None:
        port = self._network.port(name, self._starts[name])
        self._domain_by_port[port] = domain
        self._service_by_port[port] = name.partition("-")[0]
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
        elif action == "move":
            route = (_KINDS[0], _KINDS[1])[kind % 2]
            self._service_by_route[route.name] = name.partition("-")[0]
            self._network.instance.changed_routes[route.name] = (
                dataclasses.replace(
                    route,
                    targets=(
                        model.Target(self._service_by_route[route.name], 1.0),
                    ),
                )
            )
        elif action == "lose":
            for number in range(6):
                self._directory.reach.failed(
                    ("d1", "d2", "d3")[kind],
                    asyncio.get_running_loop().time() + 0.1 * number,
                )
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
        self._paused_until_s[port] = asyncio.get_running_loop().time() + 0.2
        self._network.instance.sender.record_signals(entry, False, 0.2)

    def _limit(self, entry, port: int) -> None:
        if entry.signals.limit is None:
            self._limited_from_s[port] = asyncio.get_running_loop().time()
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
            "moved": not route.shards
            and self._service_by_port[port]
            != self._service_by_route.get(route.name, "s0"),
            "caller left": arrival.request_id in self._left,
            "too much time": arrival.left_s > end_s - now_s + 0.0011,
            "late": now_s >= end_s,
        }
        self.violations += [
            f"{reason}: {arrival}" for reason, true in reasons.items() if true
        ]


class TestInterleavings:
    """No change comes too late for what waits, and nothing is forgotten."""

    # The last request that may run once is in flight at its deadline.
    @hypothesis.example(
        [
            ("drain", "s0-a", 0, 0.03),
            ("drain", "s1-a", 0, None),
            ("restart", "s0-b", 0, None),
            ("limit", "s0-a", 0, 0.002),
            ("list", "s0-a", 0, 0.03),
            ("request", "s0-a", 1, 0.03),
            ("request", "s0-a", 0, 0.002),
            ("request", "s0-a", 0, None),
        ]
    )
    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["request"] * 6
                    + ["drain", "remove", "restart", "list", "pause"] * 2
                    + ["limit", "leave", "cut", "evacuate", "give_up"]
                    + ["move", "lose"]
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
            network = memory_replicas.create_network()
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
