"""Plug-in that counts the instances of the fleet through a few known ones.

Instances share limits: a replica's connections, and extra attempts at a
service. Each takes its part by the number of instances, which nobody publishes.
Every instance reports to the seeds, which answer with how many reported; no
instance keeps a connection to all others.
"""

import asyncio
from collections.abc import Callable
from typing import Any
import urllib.parse

import msgspec

from mallowloft.callers import server as server_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.upstream import http1

_log = logs.get("fleet")

_PATH = "/v1/fleet"
# Today's fleets have 7 or 8 instances.
_DEFAULT_INSTANCES = 8
_FIRST_REPORT_S = 0.5
_REPORT_S = 2.0
# Seeds answer at most so many reports a second in large fleets.
_REPORTS_PER_S = 50.0
_CALL_TIMEOUT_S = 0.5
# Instances that are cut off for seconds go on using their part of the limits.
_REMEMBER_S = 30.0


class _Count(msgspec.Struct):
    instances: int


class Census:
    """Instances that reported lately, and the largest count lately heard."""

    def __init__(self) -> None:
        self._reported_s: dict[str, float] = {}
        self._heard: list[tuple[float, int]] = []

    def report(self, instance: str, now_s: float) -> int:
        """Notes a report and returns the number of instances."""
        self._reported_s[instance] = now_s
        oldest_s = now_s - _REMEMBER_S
        if len(self._reported_s) > 1:
            self._reported_s = {
                name: reported_s
                for name, reported_s in self._reported_s.items()
                if reported_s > oldest_s
            }
        return len(self._reported_s)

    def hear(self, instances: int, now_s: float) -> None:
        """Notes a seed's answer."""
        oldest_s = now_s - _REMEMBER_S
        self._heard = [
            (heard_s, count)
            for heard_s, count in self._heard
            if heard_s > oldest_s and count > instances
        ]
        self._heard.append((now_s, instances))

    @property
    def instances(self) -> int:
        """Number of instances, an assumption before the first answer."""
        if not self._heard:
            return _DEFAULT_INSTANCES
        return max(count for _, count in self._heard)


@registry.plugins.register("fleet")
class FleetService:
    """Reports to the seeds and answers reports."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._census = Census()
        self._pools_by_seed: dict[str, http1.Pool] = {}
        self._listeners: list[Callable[[int], None]] = []
        self._task: asyncio.Task | None = None
        settings = kernel.settings
        self._server: server_lib.Server | None = None
        if settings.fleet_port:
            self._server = server_lib.Server(
                self._app, settings.host, settings.fleet_port, {}
            )
        kernel.metrics.gauge("fleet_instances", lambda: self.instances)

    @property
    def instances(self) -> int:
        """Number of instances of the fleet."""
        return self._census.instances

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Adds a listener that is called with each new number."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Starts to answer reports and to report."""
        if self._server is not None:
            await self._server.start()
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stops reporting."""
        self._task.cancel()
        for pool in self._pools_by_seed.values():
            pool.abort()
        if self._server is not None:
            await self._server.stop(min(grace_s, _CALL_TIMEOUT_S))

    def ready(self) -> bool:
        """Always ready; a fleet without seeds works on an assumption."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of instances and the seeds."""
        return {
            "instances": self.instances,
            "seeds": self._kernel.settings.seeds,
        }

    async def _run(self) -> None:
        delay_s = _FIRST_REPORT_S
        while True:
            await asyncio.sleep(delay_s * self._kernel.rng.uniform(0.8, 1.2))
            before = self.instances
            for seed in self._seeds():
                await self._report(seed)
            if self.instances != before:
                _log.info(
                    "fleet_changed", instances=self.instances, before=before
                )
                for listener in self._listeners:
                    listener(self.instances)
            delay_s = max(_REPORT_S, self.instances / _REPORTS_PER_S)

    def _seeds(self) -> list[str]:
        return [
            item.strip()
            for item in self._kernel.settings.seeds.split(",")
            if item.strip()
        ]

    async def _report(self, seed: str) -> None:
        pool = self._pools_by_seed.get(seed)
        if pool is None:
            host, _, port = seed.rpartition(":")
            pool = http1.Pool(host.strip("[]"), int(port), 1)
            self._pools_by_seed[seed] = pool
        instance = urllib.parse.quote(self._kernel.settings.instance_id)
        response = await http1.get(
            pool, f"{_PATH}?instance={instance}", seed, _CALL_TIMEOUT_S
        )
        if isinstance(response, http1.Ending) or response.status != 200:
            return
        try:
            count = msgspec.json.decode(response.body, type=_Count)
        except msgspec.MsgspecError as error:
            _log.warning("fleet_report_failed", seed=seed, reason=str(error))
            return
        now_s = asyncio.get_running_loop().time()
        self._census.hear(count.instances, now_s)

    async def _app(self, scope, receive, send) -> None:
        del receive
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin1"))
        status, body = 404, b"{}"
        if scope["path"] == _PATH and "instance" in query:
            count = self._census.report(
                query["instance"][0], asyncio.get_running_loop().time()
            )
            status, body = 200, msgspec.json.encode(_Count(count))
        headers = [(b"content-length", b"%d" % len(body))]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})
