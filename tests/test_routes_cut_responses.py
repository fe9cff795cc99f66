"""Responses of other instances that are cut off."""

import asyncio
import random

import pytest

from mallowloft.routes import batching
from mallowloft.routes import delegation
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import reach as reach_lib
from mallowloft.upstream import http1
from tests.support import replicas as replicas_lib
from tests.support import responses
from tests.support import virtual

_DELAY_S = 0.0003
_INTERIM = responses.Message(100)
_ENDINGS = pytest.mark.parametrize(
    "reset", [False, True], ids=["closed", "reset"]
)
_FRAMINGS = pytest.mark.parametrize("framing", ["length", "chunked", "eof"])


class _CutPool:
    """Connections to an instance whose response is cut off."""

    max_connections = 8
    open_count = 1
    failing = False
    address = "instance:1"

    def __init__(self, data: bytes, reset: bool) -> None:
        self._data = data
        self._reset = reset

    def submit(self, exchange: http1.Exchange) -> None:
        """Sends a request; the data arrives in two segments."""
        half = len(self._data) // 2
        segments = [self._data[:half], self._data[half:]]
        asyncio.get_running_loop().call_later(
            _DELAY_S, responses.receive, exchange, segments, self._reset
        )

    def round_trip_s(self) -> float:
        """Returns the round-trip time to the instance."""
        return 2 * _DELAY_S

    def close(self, reason: str = "") -> None:
        """Does nothing."""

    keep_open = stop_keeping_open = abort = close


def _entry(pool: object, name: str) -> directory_lib.ReplicaEntry:
    return directory_lib.ReplicaEntry(
        model.Replica(name, "s", "h", 1, "d1", 8),
        pool,
        health_lib.ReplicaHealth(),
        remote=False,
    )


class TestHubs:
    """The answer of a hub is passed on as a whole or not at all."""

    async def _forward(self, pool: _CutPool) -> model.Answer:
        """Returns the answer of an instance without links to replicas."""
        replica = replicas_lib.Replica(
            "r", "s", "d1", random.Random(1), lambda rng: 0.01
        )
        instance = replicas_lib.Instance("d1", [replica], random.Random(1))
        instance.directory.entry("r").draining = True
        hubs = hubs_lib.Hubs("i", "d1", 0.0)
        entry = _entry(pool, "f1")
        hubs.forwarders = lambda now_s: [entry]
        route = replicas_lib.route(targets=(model.Target("s", 1.0),))
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

    @_ENDINGS
    @_FRAMINGS
    def test_cut_at_every_byte(self, framing, reset):
        whole = model.Answer(200, ((b"server-stamp", b"s1"),), b"whole")
        wire = (
            _INTERIM.wire
            + responses.Message(
                body=delegation.encode_answer(whole, False),
                framing=framing,
                chunk_sizes=(20,),
            ).wire
        )
        for size in range(len(wire) + 1):
            pool = _CutPool(wire[:size], reset)
            answer = virtual.run(self._forward(pool))
            if size == len(wire) and not (framing == "eof" and reset):
                assert answer.body == b"whole"
                continue
            assert answer.status == 502, size
            assert b"server-stamp" not in dict(answer.headers)


class _Listener:
    """Notes the outcomes of a batch."""

    def __init__(self) -> None:
        self.groups: list[batching.Group] = []
        self.failed: list[str] = []

    def on_group(self, group: batching.Group) -> None:
        self.groups.append(group)

    def on_batch_failed(self, attempts, may_have_run: bool) -> None:
        assert may_have_run
        self.failed += [attempt.service for attempt in attempts]


class TestCollectors:
    """Only whole replies of a collector give parts; the rest has failed."""

    async def _collect(self, pool: _CutPool) -> _Listener:
        listener = _Listener()
        services = ("s0", "s1", "s2")
        batch = batching.Batch(
            _entry(pool, "collector"),
            [
                batching.Choice(service, _entry(pool, f"r-{service}"))
                for service in services
            ],
            1.0,
            asyncio.get_running_loop().time() + 1.0,
            listener,
            lambda *arguments: None,
            reach_lib.DomainReachability(),
            batching.Overheads(),
            lambda *arguments: None,
        )
        batch.send(
            model.Request(b"1", b"GET", b"/", (), b""),
            replicas_lib.route(shards=services),
            0.1,
            0.01,
        )
        await asyncio.sleep(1.0)
        return listener

    @_ENDINGS
    @_FRAMINGS
    def test_cut_at_every_byte(self, framing, reset):
        replies = [
            batching.encode_reply(
                batching.Reply(
                    positions,
                    tuple(b"stamp%d" % number for number in positions),
                    (10,) * len(positions),
                    (0,) * len(positions),
                    b"%d" % positions[0] * 16,
                    (),
                )
            )
            for positions in ((0, 2), (1,))
        ]
        wire = (
            _INTERIM.wire
            + responses.Message(
                body=b"".join(replies),
                framing=framing,
                chunk_sizes=(len(replies[0]),),
            ).wire
        )
        for size in range(len(wire) + 1):
            listener = virtual.run(self._collect(_CutPool(wire[:size], reset)))
            served = [group.services for group in listener.groups]
            assert served in ([], [("s0", "s2")], [("s0", "s2"), ("s1",)])
            records = [group.records for group in listener.groups]
            assert records == [b"0" * 16, b"1" * 16][: len(served)]
            done = {service for group in served for service in group}
            assert set(listener.failed) == {"s0", "s1", "s2"} - done
        assert len(listener.groups) == 2
