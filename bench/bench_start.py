"""Time from the start of an instance's process to its first complete answer.

Instances run as processes with a stand-in store and replicas, all on one
machine. The times depend on the machine, so they have no bounds. A phase is the
median over several starts; with several instances, all start at once.
"""

import asyncio
import os
import pathlib
import statistics
import sys
import tempfile

from bench import figures
from standins import ports as ports_lib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(_ROOT / "platform" / "tests"))
sys.path.append(str(_ROOT / "platform"))

import deployment  # noqa: E402

_SHARDS = 20
_STARTS = 5
_POLL_S = 0.002
_TIMEOUT_S = 30.0
# The processes on one machine share its processors, so more instances at once
# would measure the machine.
_FLEETS = (1, 6)
_PHASES = ("listening", "ready", "answered")


class _Instance:
    """One instance's process, and when it reached each phase."""

    def __init__(
        self,
        site,
        folder: pathlib.Path,
        number: int,
        seeds: str,
        ports: tuple[int, int, int, int],
    ) -> None:
        self.ports = ports
        self._path = folder / f"front-{number}.toml"
        self._path.write_text(
            deployment.SETTINGS_FILE.format(
                name=f"front-{number}",
                seeds=seeds,
                caller_port=ports[0],
                ready_port=ports[1],
                fleet_port=ports[2],
                link_mbps=1000.0,
                store_address=site.store.address,
            )
        )

    async def measure(self) -> list[float]:
        """Starts the process; returns milliseconds until each phase."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform",
            "entry",
            stdout=asyncio.subprocess.DEVNULL,
            cwd=_ROOT,
            env={
                "PATH": os.environ["PATH"],
                "MALLOWLOFT_CONFIG": str(self._path),
                "MALLOWLOFT_METRICS_PORT": str(self.ports[3]),
            },
        )
        try:
            times_ms = []
            for port, path, is_reached in (
                (self.ports[0], "/", bool),
                (
                    self.ports[1],
                    "/mallowloft/readiness",
                    lambda head: b" 200 " in head,
                ),
                (
                    self.ports[0],
                    "/a/x",
                    lambda head: b"missing-parts: 0" in head.lower(),
                ),
            ):
                async with asyncio.timeout(_TIMEOUT_S):
                    while not is_reached(await _get(port, path) or b""):
                        await asyncio.sleep(_POLL_S)
                times_ms.append((loop.time() - started_s) * 1000)
            return times_ms
        finally:
            process.kill()
            await process.wait()


async def _get(port: int, path: str) -> bytes | None:
    """Returns the head of an answer, None if there is none."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\n"
            "Deadline-Ms: 800\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return None
    return head


async def _measure_fleet(count: int) -> list[figures.Row]:
    with tempfile.TemporaryDirectory() as folder:
        site = deployment.Site(pathlib.Path(folder))
        ports = ports_lib.ReservedPorts()
        await site.store.start()
        try:
            await site.add_shards(_SHARDS)
            site.publish(1, deployment.gathered_route(_SHARDS))
            groups = [ports.reserve(4) for _ in range(count)]
            seeds = ",".join(f'"127.0.0.1:{group[2]}"' for group in groups[:3])
            instances = [
                _Instance(site, pathlib.Path(folder), number, seeds, group)
                for number, group in enumerate(groups)
            ]
            measured = []
            for _ in range(_STARTS):
                measured += await asyncio.gather(
                    *(instance.measure() for instance in instances)
                )
        finally:
            for replica in site.replicas_by_id.values():
                await replica.stop()
            await site.store.stop()
            ports.release()
    return [
        figures.Row(
            f"{count}_instances.{phase}", statistics.median(values), "ms"
        )
        for phase, values in zip(
            _PHASES, zip(*measured, strict=True), strict=True
        )
    ]


@figures.benchmarks.register("start")
def start() -> list[figures.Row]:
    """Returns the times of the phases for one and for several instances."""
    return [
        row for count in _FLEETS for row in asyncio.run(_measure_fleet(count))
    ]
