"""Answers to callers of instances with small links, with and without hubs."""

import asyncio
import collections
import dataclasses
import math
import random

import msgspec
import pytest

from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import gathering
from mallowloft.routes import health as health_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib
from tests.support import virtual

_SHARDS = 90
# Load of a large deployment: 19.3 long queries per second, parts of 400 bytes
# with another 400 bytes of headers, and the bandwidths of the simulated links.
_QUERIES_PER_S = 19.3
_PART_BYTES = 800
_SMALL_MBPS = 8.75
_LARGE_MBPS = 70.0
_OBJECTIVE_S = 0.095
_CALLER_DELAY_S = 0.003
_HOP_DELAY_S = 0.0003
_DURATION_S = 12.0
_WARM_UP_S = 1.0


class _HubCall:
    """One call of a simulated hub; the connection of its exchange."""

    def __init__(self) -> None:
        self.task: gathering.ScatterGather | None = None
        self.is_open = True
        self.allowed_from_s = math.inf

    def allows_extra(self) -> bool:
        """Whether the hub may send hedges and retries."""
        now_s = asyncio.get_running_loop().time()
        return self.is_open and now_s >= self.allowed_from_s

    def close(self, reason: str) -> None:
        """Closes the connection; the hub cancels its work a hop later."""
        del reason
        asyncio.get_running_loop().call_later(_HOP_DELAY_S, self._on_closed)

    def _on_closed(self) -> None:
        self.is_open = False
        if self.task is not None:
            self.task.cancel()


class _HubPool:
    """A connection pool whose hub is simulated.

    Attributes:
        frozen: Whether the hub neither reads nor answers.
        ack_delay_s: Additional delay of acknowledgements.
    """

    max_connections = 8
    open_count = 1
    failing = False

    def __init__(self, hub: replicas_lib.Instance, route: model.Route) -> None:
        self.address = "hub:1"
        self.frozen = False
        self.ack_delay_s = 0.0
        self._hub = hub
        self._route = route

    def submit(self, exchange: http1.Exchange) -> None:
        """Passes a request on to the hub."""
        exchange.connection = _HubCall()
        body = exchange.wire.partition(b"\r\n\r\n")[2]
        call = delegation.call_decoder.decode(body)
        loop = asyncio.get_running_loop()
        loop.call_later(
            _HOP_DELAY_S, lambda: loop.create_task(self._serve(exchange, call))
        )

    async def _serve(self, exchange, call: delegation.Call) -> None:
        if self.frozen or exchange.done:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.ack_delay_s, setattr, exchange, "interim_received", True
        )
        hub_call = exchange.connection
        hub_call.allowed_from_s = (
            loop.time() + delegation.ack_timeout_s(self._route) + 0.003
        )
        request_context = dataclasses.replace(
            self._hub.create_request_context(self._route, call.id),
            answer_by_s=asyncio.get_running_loop().time() + call.answer_in_s,
        )
        task = gathering.ScatterGather(
            self._hub, request_context, call.previous_attempts, hub_call
        )
        hub_call.task = task
        task.start()
        await asyncio.wait([task.done])
        if self.frozen or task.done.cancelled():
            return
        answer = task.done.result()
        response = http1.Response(
            200, (), delegation.encode_answer(answer, False)
        )
        loop.call_later(_HOP_DELAY_S, exchange.set_outcome, response)

    def round_trip_s(self) -> float:
        """Returns the round-trip time to the hub."""
        return 2 * _HOP_DELAY_S

    def close(self, reason: str = "") -> None:
        """Does nothing."""

    keep_open = stop_keeping_open = abort = close


def _sample_work_s(rng: random.Random) -> float:
    value = 0.0112 * rng.lognormvariate(-0.06, 0.35)
    return value * 5 if rng.random() < 0.01 else value


def _replicas(rng: random.Random) -> list[replicas_lib.Replica]:
    return [
        replicas_lib.Replica(
            id=f"{shard}-{domain}",
            service=f"s{shard}",
            domain=domain,
            rng=rng,
            work_s=_sample_work_s,
            pause_s=0.1,
            pause_every_s=2.4,
        )
        for shard in range(_SHARDS)
        for domain in replicas_lib.DOMAINS
    ]


@dataclasses.dataclass
class _Outcome:
    """Result of a simulation.

    Attributes:
        scores: For each query the square of the coverage, 0 if it was late.
        failed: Number of failed queries.
        extra_share: Attempts beyond the first of each part, as a share of the
            first attempts.
        most_attempts: Largest number of attempts for one shard of a query.
    """

    scores: list[float]
    failed: int = 0
    extra_share: float = 0.0
    most_attempts: int = 0

    @property
    def mean_score(self) -> float:
        """Mean score of the queries."""
        return sum(self.scores) / len(self.scores)


def _simulate(
    monkeypatch, with_hubs: bool, freeze_s=(0.0, 0.0), ack_delay_s: float = 0.0
) -> _Outcome:
    """Simulates six instances with small links and a hub in each domain."""
    rng = random.Random(7)
    replicas = _replicas(rng)
    route = replicas_lib.route(
        objective_s=_OBJECTIVE_S,
        shards=tuple(f"s{shard}" for shard in range(_SHARDS)),
        top_records=20,
        min_coverage=0.95,
    )
    outcome = _Outcome([])

    def instance(domain: str, mbps: float) -> replicas_lib.Instance:
        link = replicas_lib.Link(mbps, _PART_BYTES)
        return replicas_lib.Instance(domain, replicas, rng, link)

    async def query(small, hubs, latency) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        if with_hubs:
            task = delegation.DelegatedRequest(
                small, small.create_request_context(route), hubs, latency
            )
            task.start()
            answer = await task.done
        else:
            answer = await small.serve(route)
        if started_s < _WARM_UP_S:
            return
        elapsed_s = loop.time() - started_s + _CALLER_DELAY_S
        in_time = answer.status == 200 and elapsed_s <= _OBJECTIVE_S
        coverage = 1 - answer.missing / _SHARDS
        outcome.failed += answer.status != 200
        outcome.scores.append(coverage**2 if in_time else 0.0)

    async def main() -> None:
        pools = {
            f"hub-{domain}": _HubPool(instance(domain, _LARGE_MBPS), route)
            for domain in replicas_lib.DOMAINS
        }
        for pool in pools.values():
            pool.ack_delay_s = ack_delay_s
        ids = iter(list(pools) * 6)
        monkeypatch.setattr(
            hubs_lib.http1, "Pool", lambda *args, **_: pools[next(ids)]
        )
        entries = []
        for number in range(6):
            domain = replicas_lib.DOMAINS[number % 3]
            hubs = hubs_lib.Hubs(f"small-{number}", domain, _SMALL_MBPS)
            hubs.update(
                [
                    hubs_lib.Hub(
                        name,
                        "hub:1",
                        name[4:],
                        _LARGE_MBPS,
                        (hubs_lib.GATHERER,),
                    )
                    for name in pools
                ],
                6,
            )
            latency = limits.RouteLatency(_OBJECTIVE_S)
            entries.append((instance(domain, _SMALL_MBPS), hubs, latency))
        loop = asyncio.get_running_loop()
        frozen = pools["hub-d1"]
        for at_s, value in zip(freeze_s, (True, False), strict=True):
            if at_s:
                loop.call_at(at_s, setattr, frozen, "frozen", value)
        queries = []
        while loop.time() < _DURATION_S:
            queries.append(asyncio.create_task(query(*rng.choice(entries))))
            await asyncio.sleep(rng.expovariate(_QUERIES_PER_S))
        await asyncio.gather(*queries)
        first_attempts = len(queries) * _SHARDS
        arrivals = sum(replica.arrivals for replica in replicas)
        outcome.extra_share = arrivals / first_attempts - 1
        attempts = collections.Counter(
            (exchange_id, replica.service)
            for replica in replicas
            for exchange_id in replica.request_ids
        )
        outcome.most_attempts = max(attempts.values())

    virtual.run(main())
    return outcome


class TestSmallLinks:
    """Guards against late answers of instances with small links.

    Transferring all parts of one answer over a small link takes most of the
    objective.
    """

    def test_hubs_raise_the_score_of_answers_in_time(self, monkeypatch):
        without_hubs = _simulate(monkeypatch, with_hubs=False)
        with_hubs = _simulate(monkeypatch, with_hubs=True)
        assert with_hubs.failed == 0
        assert with_hubs.mean_score >= 0.95
        assert with_hubs.mean_score > without_hubs.mean_score + 0.1
        assert with_hubs.extra_share <= 0.2

    def test_frozen_hub_keeps_the_score_high(self, monkeypatch):
        outcome = _simulate(monkeypatch, with_hubs=True, freeze_s=(4.0, 8.0))
        assert outcome.mean_score >= 0.95
        assert outcome.extra_share <= 0.2

    @pytest.mark.parametrize("ack_delay_s", [0.0, 0.015, 0.021, 0.1])
    def test_late_acknowledgements_do_not_exceed_the_attempts_of_the_route(
        self, monkeypatch, ack_delay_s
    ):
        # Guards against hubs that run a request although its sender has asked
        # the next one, because their acknowledgement was late.
        outcome = _simulate(
            monkeypatch, with_hubs=True, ack_delay_s=ack_delay_s
        )
        assert outcome.most_attempts <= replicas_lib.route().max_attempts


class TestCall:
    """Calls between instances: digest of the route, malformed calls."""

    def test_digest_differs_between_different_routes(self):
        route = replicas_lib.route(shards=("s1", "s2"))
        same = replicas_lib.route(shards=("s1", "s2"))
        other = replicas_lib.route(shards=("s1", "s3"))
        assert model.digest(route) == model.digest(same)
        assert model.digest(route) != model.digest(other)

    def test_malformed_calls_are_refused(self):
        with pytest.raises(msgspec.MsgspecError):
            delegation.call_decoder.decode(b"x")


class _Forwarder:
    """A forwarder's connections, whose outcomes the test gives.

    Attributes:
        calls: The requests that it got.
    """

    max_connections = 8
    open_count = 1
    failing = False
    address = "forwarder:1"

    def __init__(
        self, outcome: http1.Response | http1.FailureReason | None
    ) -> None:
        """Creates connections.

        Args:
            outcome: Outcome of all requests; None for no response.
        """
        self._outcome = outcome
        self.calls: list[delegation.Call] = []

    def submit(self, exchange: http1.Exchange) -> None:
        """Ends a request with the outcome."""
        body = exchange.wire.partition(b"\r\n\r\n")[2]
        self.calls.append(delegation.call_decoder.decode(body))
        exchange.connection = self
        if self._outcome is not None:
            asyncio.get_running_loop().call_later(
                _HOP_DELAY_S, exchange.set_outcome, self._outcome
            )

    def round_trip_s(self) -> float:
        """Returns the round-trip time to the forwarder."""
        return 2 * _HOP_DELAY_S

    def close(self, reason: str = "") -> None:
        """Does nothing."""

    keep_open = stop_keeping_open = abort = close


_REFUSED = http1.Response(409, (), hubs_lib.LINKS_LOST)
_OVERLOADED = http1.Response(503, ((b"retry-after", b"0.25"),), b"overloaded")
_BROKEN = http1.FailureReason.BROKEN
_UNSENT = http1.FailureReason.UNSENT


def _create_entries(
    pools: list[_Forwarder],
) -> list[directory_lib.ReplicaEntry]:
    """Returns the entries of other instances, in the order of their pools."""
    return [
        directory_lib.ReplicaEntry(
            model.Replica(f"f{number}", "hubs", "h", 1, "d1", 8),
            pool,
            health_lib.ReplicaHealth(),
            remote=False,
        )
        for number, pool in enumerate(pools)
    ]


class TestHubsWithoutLinks:
    """Requests that are passed on while most hubs have lost their links."""

    def _run(self, outcomes):
        """Returns the answer, the gatherers and the hubs after the request."""

        async def main():
            replica = replicas_lib.Replica(
                "r", "s", "d1", random.Random(1), lambda rng: 0.01
            )
            instance = replicas_lib.Instance("d1", [replica], random.Random(1))
            hubs = hubs_lib.Hubs("i", "d1", 0.0)
            gatherers = [_Forwarder(outcome) for outcome in outcomes]
            hubs.gathering_hubs = _create_entries(gatherers)
            route = replicas_lib.route(shards=("s",), min_coverage=1.0)
            task = delegation.DelegatedRequest(
                instance,
                instance.create_request_context(route),
                hubs,
                limits.RouteLatency(route.objective_s),
            )
            task._context.selector = _InOrder()
            task.start()
            return await task.done, gatherers, hubs

        return virtual.run(main())

    def test_gatherers_with_links_are_asked_after_several_without(self):
        answered = http1.Response(
            200,
            (),
            delegation.encode_answer(model.Answer(200, (), b"x"), False),
        )
        answer, _, hubs = self._run([_REFUSED, _REFUSED, _REFUSED, answered])
        assert answer.body == b"x"
        left = [entry.replica.id for entry in hubs.gatherers(0.5)]
        assert left == ["f3"]
        assert len(hubs.gatherers(2.0)) == 4

    def test_refusals_of_two_overloaded_hubs_reach_the_caller(self):
        # Gathering here would bypass the limits of the hubs.
        answer, gatherers, hubs = self._run([_OVERLOADED] * 3)
        assert (answer.status, answer.reason) == (503, "overloaded")
        assert dict(answer.headers)[b"retry-after"] == b"0.250"
        assert [len(item.calls) for item in gatherers] == [1, 1, 0]
        assert len(hubs.gatherers(0.5)) == 3

    def test_no_refusal_as_overloaded_after_a_hub_may_have_run_it(self):
        answer, _, _ = self._run([_BROKEN, _OVERLOADED])
        assert (answer.status, answer.reason) == (502, "overloaded")

    def test_answer_is_gathered_here_after_two_broken_hubs(self):
        _, gatherers, _ = self._run([_UNSENT, _UNSENT, _UNSENT])
        assert [len(item.calls) for item in gatherers] == [1, 1, 0]


class TestForwardedRequest:
    """Requests of an instance without links to replicas."""

    def _run(self, outcomes, **fields: object):
        """Returns the answer and the forwarders, asked in their order."""

        async def main():
            replica = replicas_lib.Replica(
                "r", "s", "d1", random.Random(1), lambda rng: 0.01
            )
            replica.unresponsive = lambda now_s: True
            instance = replicas_lib.Instance("d1", [replica], random.Random(1))
            instance.directory.entry("r").draining = True
            hubs = hubs_lib.Hubs("i", "d1", 0.0)
            forwarders = [_Forwarder(outcome) for outcome in outcomes]
            entries = _create_entries(forwarders)
            hubs.forwarders = lambda now_s: entries
            route = replicas_lib.route(
                targets=(model.Target("s", 1.0),), **fields
            )
            task = delegation.ForwardedRequest(
                instance,
                instance.create_request_context(route),
                hubs,
                limits.RouteLatency(route.objective_s),
                0.0,
                ["s"],
                1,
            )
            task._context.selector = _InOrder()
            task.start()
            return await task.done, forwarders

        return virtual.run(main())

    def test_next_forwarder_is_asked_after_a_refusal(self):
        answered = http1.Response(
            200,
            (),
            delegation.encode_answer(model.Answer(200, (), b"x"), False),
        )
        answer, forwarders = self._run([_REFUSED, _REFUSED, answered])
        assert (answer.status, answer.body) == (200, b"x")
        calls = [call for item in forwarders for call in item.calls]
        assert [call.unlinked for call in calls] == [1, 1, 1]
        assert [call.previous_attempts for call in calls] == [0, 0, 0]

    def test_refusal_by_all_says_that_the_request_was_not_run(self):
        answer, _ = self._run([_REFUSED, _REFUSED])
        assert answer.status == 503

    @pytest.mark.parametrize("outcome", [_BROKEN, None])
    def test_no_refusal_after_a_forwarder_may_have_run_the_request(
        self, outcome
    ):
        # Guards against "not run" for a request that a forwarder has got.
        answer, _ = self._run([outcome, _REFUSED])
        assert answer.status in (502, 504)

    def test_submission_goes_to_one_forwarder_that_may_have_run_it(self):
        answer, forwarders = self._run([_BROKEN, _BROKEN], idempotent=False)
        assert answer.status == 502
        assert [len(item.calls) for item in forwarders] == [1, 0]


class _InOrder:
    """Chooses the first entry that was not tried."""

    reason = ""

    def choose(
        self,
        entries,
        now_s,
        tried=(),
        healthy_only=False,
        latency=None,
        first_rank=None,
    ):
        """Returns the entry, None if there is none."""
        del now_s, healthy_only, latency, first_rank
        left = (
            item for item in entries if item not in tried and not item.draining
        )
        return next(left, None)
