"""A replica that starts again under its id counts as cold at once."""

import asyncio

import pytest

from mallowloft.routes import model
from tests.support import memory_replicas
from tests.support import replicas as replicas_lib

_PER_S = 5.0
_COLD_S = 12.0
_BOUND = 1.5 * _PER_S + 5.0
_KEEP_ALIVE = b"keep-alive: timeout=30\r\n"
_ROUTE = replicas_lib.route(
    targets=(model.Target("s0", 1.0),), timeout_s=0.3, objective_s=0.2
)


def _create_network(replicas: int) -> memory_replicas.Network:
    """Returns an instance that lists replicas which are not cold."""
    cold_starts = {"s0": model.ColdStart(_COLD_S, _PER_S)}
    network = memory_replicas.create_network(cold_starts)
    network.directory.update_cold(1)
    for number in range(replicas):
        entry = network.put(f"s0-{number}")
        network.headers_by_port[entry.replica.port] = _KEEP_ALIVE
    return network


async def _serve(network: memory_replicas.Network, duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + duration_s
    while loop.time() < until_s:
        network.request(_ROUTE)
        await asyncio.sleep(0.01)


def _most_in_a_second(
    network: memory_replicas.Network, port: int, from_s: float
) -> int:
    times_s = [
        arrival.at_s
        for arrival in network.arrivals
        if arrival.port == port and arrival.at_s >= from_s
    ]
    return max(
        (
            sum(at_s <= other_s < at_s + 1.0 for other_s in times_s)
            for at_s in times_s
        ),
        default=0,
    )


class TestRestart:
    """From its first connection on, it gets what a cold replica tolerates."""

    @pytest.mark.parametrize("down_s", [0.05, 0.4, 3.0])
    @pytest.mark.parametrize("replicas", [1, 2])
    async def test_requests_in_any_second_stay_within_the_bound(
        self, replicas, down_s
    ):
        # Guards against full load until the list shows the new start.
        loop = asyncio.get_running_loop()
        network = _create_network(replicas)
        await _serve(network, 20.0)
        port = network.port("s0-0")
        assert _most_in_a_second(network, port, 15.0) > _BOUND
        network.stop(port)
        await _serve(network, down_s)
        restarted_s = loop.time()
        network.restart(port)
        await _serve(network, 1.0)
        network.put("s0-0", started=2, cold_s=_COLD_S - 1.0)
        most = _most_in_a_second(network, port, restarted_s)
        assert most <= _BOUND
        assert most or replicas > 1
        assert network.directory.entry("s0-0").signals.limited_while_cold(
            loop.time()
        )

    async def test_connection_that_was_idle_shows_the_end(self):
        # Guards against a restart between two requests of this instance.
        network = _create_network(4)
        loop = asyncio.get_running_loop()
        await _serve(network, 20.0)
        await asyncio.sleep(1.0)
        entry = next(
            entry
            for entry in network.directory.entries("s0")
            if entry.pool.open_count and not entry.in_subset
        )
        network.stop(entry.replica.port)
        await asyncio.sleep(0.05)
        network.restart(entry.replica.port)
        restarted_s = loop.time()
        await _serve(network, 3.0)
        most = _most_in_a_second(network, entry.replica.port, restarted_s)
        assert 1 <= most <= _BOUND

    async def test_closed_connections_are_no_restart(self):
        network = _create_network(2)
        await _serve(network, 20.0)
        await asyncio.sleep(1.0)
        for entry in network.directory.entries("s0"):
            network.cut(entry.replica.port)
        await _serve(network, 1.0)
        for entry in network.directory.entries("s0"):
            assert not entry.signals.limited_while_cold(
                asyncio.get_running_loop().time()
            )

    async def test_it_says_for_how_long_it_is_cold(self):
        network = _create_network(1)
        loop = asyncio.get_running_loop()
        await _serve(network, 1.0)
        entry = network.directory.entry("s0-0")
        network.stop(entry.replica.port)
        await _serve(network, 0.5)
        network.headers_by_port[entry.replica.port] = b"x-cold-ms: 700\r\n"
        network.restart(entry.replica.port)
        before = len(network.arrivals)
        for _ in range(300):
            if len(network.arrivals) > before:
                break
            await _serve(network, 0.01)
        await asyncio.sleep(memory_replicas.REPLY_S + 0.01)
        assert entry.signals.limited_while_cold(loop.time())
        assert not entry.signals.limited_while_cold(loop.time() + 0.8)
