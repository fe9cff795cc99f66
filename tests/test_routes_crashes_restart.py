"""Evidence of crashing requests across the loss of most instances."""

import asyncio
import random
import types

import pytest

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import fleet as fleet_lib
from mallowloft.upstream import http1
from tests.support import virtual

_INSTANCES = 10
_SEEDS = 3
_DELAY_S = 0.001
_KILLED_S = 10.0
# A survivor reports to each seed at least this often.
_LONGEST_REPORT_INTERVAL_S = 2.4


class _Fleet:
    """Instances that report to seeds without a network.

    Attributes:
        services: The running instances by number; the first ones are seeds.
        taught_s: When restarted seeds got their first report of a survivor.
    """

    def __init__(self, monkeypatch) -> None:
        self.services: dict[int, fleet_lib.FleetService] = {}
        self.taught_s: dict[int, float] = {}
        self._survivors: set[str] = set()
        monkeypatch.setattr(fleet_lib.http1, "send_request", self._send)

    async def start(self, number: int) -> None:
        """Starts an instance without knowledge."""
        settings = types.SimpleNamespace(
            instance_id=f"i{number}",
            failure_domain="d1",
            hubs_above=20,
            link_mbps=0.0,
            host="h",
            fleet_port=0,
            seeds=",".join(f"h:{seed + 1}" for seed in range(_SEEDS)),
        )
        kernel = types.SimpleNamespace(
            settings=settings,
            metrics=metrics_lib.Metrics(),
            rng=random.Random(number),
            stopping=False,
        )
        self.services[number] = fleet_lib.FleetService(kernel)
        await self.services[number].start()

    async def kill(self, numbers) -> None:
        """Ends instances."""
        for number in numbers:
            await self.services.pop(number).stop(0.0)
        self._survivors = {f"i{number}" for number in self.services}

    def knows(self, number: int) -> bool:
        """Whether an instance knows that the request crashes replicas."""
        return self.services[number].crashes.count_crashes("bad") == 3

    async def _send(self, pool, method, target, seed, timeout_s, body, **_):
        del pool, method, target, timeout_s
        number = int(seed.rpartition(":")[2]) - 1
        await asyncio.sleep(_DELAY_S)
        if number not in self.services:
            return http1.FailureReason.UNSENT
        status, answer = self.services[number]._handle_report(body)
        report = fleet_lib._report_decoder.decode(body)
        if report.instance in self._survivors:
            now_s = asyncio.get_running_loop().time()
            self.taught_s.setdefault(number, now_s)
        await asyncio.sleep(_DELAY_S)
        return http1.Response(status, (), answer)


class TestKill:
    """Guards against crashes that are forgotten when instances restart.

    The request would end as many replicas again.
    """

    @pytest.mark.parametrize("down_s", [0.1, 3.0])
    @pytest.mark.parametrize("first_killed", [0, 1, 4])
    def test_evidence_survives_a_kill_of_most_instances(
        self, monkeypatch, first_killed, down_s
    ):
        killed = range(first_killed, first_killed + 6)

        async def main():
            loop = asyncio.get_running_loop()
            fleet = _Fleet(monkeypatch)
            for number in range(_INSTANCES):
                await fleet.start(number)
            await asyncio.sleep(5.0)
            for number in range(3):
                fleet.services[number].crashes.record_crash(
                    "bad", f"r{number}", loop.time() - 0.1, loop.time()
                )
            await asyncio.sleep(_KILLED_S - loop.time())
            assert all(map(fleet.knows, range(_INSTANCES)))
            await fleet.kill(killed)
            await asyncio.sleep(down_s)
            for number in killed:
                await fleet.start(number)
            restarted_s = loop.time()
            surviving_seeds = set(range(_SEEDS)) - set(killed)
            if surviving_seeds:
                # The first reports to all seeds are sent at once.
                await asyncio.sleep(4 * _DELAY_S)
                assert all(map(fleet.knows, killed))
            restarted_seeds = set(killed) & set(range(_SEEDS))
            fleet.taught_s.clear()
            while not restarted_seeds <= fleet.taught_s.keys():
                await asyncio.sleep(_DELAY_S)
            for seed in restarted_seeds:
                assert fleet.taught_s[seed] <= (
                    restarted_s + _LONGEST_REPORT_INTERVAL_S
                )
            # A survivor that did not notice the restart reports twice.
            await asyncio.sleep(4 * _DELAY_S)
            assert all(map(fleet.knows, restarted_seeds))
            await asyncio.sleep(_LONGEST_REPORT_INTERVAL_S)
            assert all(map(fleet.knows, range(_INSTANCES)))
            await fleet.kill(list(fleet.services))

        virtual.run(main())
