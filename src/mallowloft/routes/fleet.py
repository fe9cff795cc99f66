"""Plug-in through which instances learn of each other by way of the seeds.

Instances share limits: a replica's connections, and extra attempts at a
service. Each takes its part by the number of instances, which nobody publishes.
Besides, an instance of a large fleet meets a replica too seldom to learn by
itself that it is slow. Every instance reports to the seeds, which answer with
how many reported and which replicas several of them found to be slow; no
instance keeps a connection to all others.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

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


# A replica counts as suspect if so many instances say so: one may have a bad
# link of its own.
_MIN_REPORTERS = 2
_SUSPECT_S = 3.0
_MAX_BODY_BYTES = 1 << 16


class Report(msgspec.Struct, frozen=True):
    """What an instance says of itself and of replicas that fare badly."""

    instance: str
    suspects: tuple[str, ...] = ()


class Summary(msgspec.Struct, frozen=True):
    """What all instances together say."""

    instances: int
    suspects: tuple[str, ...] = ()


_report_decoder = msgspec.json.Decoder(Report)
_summary_decoder = msgspec.json.Decoder(Summary)


class Census:
    """Instances that reported lately, and the largest count lately heard."""

    def __init__(self) -> None:
        self._reports_by_instance: dict[str, tuple[float, Report]] = {}
        self._heard: list[tuple[float, int]] = []

    def report(self, report: Report, now_s: float) -> Summary:
        """Notes a report and returns what all say."""
        self._reports_by_instance[report.instance] = (now_s, report)
        self._reports_by_instance = {
            instance: (reported_s, known)
            for instance, (reported_s, known) in (
                self._reports_by_instance.items()
            )
            if reported_s > now_s - _REMEMBER_S
        }
        reporters = collections.Counter(
            suspect
            for reported_s, known in self._reports_by_instance.values()
            if reported_s > now_s - _SUSPECT_S
            for suspect in known.suspects
        )
        suspects = (
            suspect
            for suspect, count in reporters.items()
            if count >= _MIN_REPORTERS
        )
        return Summary(len(self._reports_by_instance), tuple(sorted(suspects)))

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


def _ignore(suspects: Iterable[str]) -> None:
    del suspects


async def _read(receive) -> bytes:
    """Returns the body of a request, cut off at the largest report."""
    body = b""
    more = True
    while more and len(body) < _MAX_BODY_BYTES:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


@registry.plugins.register("fleet")
class FleetService:
    """Reports to the seeds and answers reports."""

    requires: tuple[str, ...] = ()

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel
        self._census = Census()
        self._pools_by_seed: dict[str, http1.Pool] = {}
        self._listeners: list[Callable[[int], None]] = []
        # Set by the plug-in that calls replicas.
        self.find_suspects: Callable[[], Iterable[str]] = tuple
        self.warn_of: Callable[[Iterable[str]], None] = _ignore
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
            seeds = self._seeds()
            for seed in seeds:
                spread = self._kernel.rng.uniform(0.8, 1.2)
                await asyncio.sleep(delay_s * spread / len(seeds))
                await self._report(seed)
            if not seeds:
                await asyncio.sleep(_REPORT_S)
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
        report = Report(
            self._kernel.settings.instance_id, tuple(self.find_suspects())
        )
        response = await http1.call(
            pool,
            b"POST",
            _PATH,
            seed,
            _CALL_TIMEOUT_S,
            msgspec.json.encode(report),
        )
        if isinstance(response, http1.Ending) or response.status != 200:
            # Seeds may be gone for good; the others answer.
            _log.debug("fleet_report_failed", seed=seed, reason=str(response))
            return
        try:
            summary = _summary_decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            _log.warning("fleet_report_failed", seed=seed, reason=str(error))
            return
        self._take(summary)

    def _take(self, summary: Summary) -> None:
        before = self.instances
        now_s = asyncio.get_running_loop().time()
        self._census.hear(summary.instances, now_s)
        self.warn_of(summary.suspects)
        if self.instances == before:
            return
        _log.info("fleet_changed", instances=self.instances, before=before)
        for listener in self._listeners:
            listener(self.instances)

    async def _app(self, scope, receive, send) -> None:
        status, body = 404, b"{}"
        if scope["path"] == _PATH and scope["method"] == "POST":
            status, body = self._answer(await _read(receive))
        headers = [(b"content-length", b"%d" % len(body))]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _answer(self, body: bytes) -> tuple[int, bytes]:
        try:
            report = _report_decoder.decode(body)
        except msgspec.MsgspecError as error:
            return 400, msgspec.json.encode({"error": str(error)})
        now_s = asyncio.get_running_loop().time()
        summary = self._census.report(report, now_s)
        return 200, msgspec.json.encode(summary)
