"""A small deployment: a store, replicas and instances, and its record."""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import tempfile

import client
import instances as instances_lib
import replica as replica_lib
import store as store_lib

HOST = "a.example"
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def with_trouble() -> bool:
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE") != "0"


def route(name: str, **fields: object) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutMs": 2000,
        "latencyGoalMs": 400,
        "maxAttempts": 2,
        "priority": 1,
        **fields,
    }


class Deployment:
    """The stand-ins and the instances of one run.

    Attributes:
        rng: Source of all random choices but the addresses.
        runs: What the replicas ran.
        attempts: What the clients sent, by id.
        lines: The record.
    """

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.network = instances_lib.random_network()
        self.store = store_lib.Store()
        self.links: dict[tuple[str, str], replica_lib.Link] = {}
        self.runs: list[replica_lib.Run] = []
        self.attempts: dict[str, client.Attempt] = {}
        self.instances: list[instances_lib.Instance] = []
        self.replicas: dict[str, replica_lib.Replica] = {}
        self.lines: list[str] = []
        self._count = 0
        self._version = 0
        self._started_s = 0.0

    def now(self) -> float:
        """Returns the event loop's time."""
        return asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Adds a line with the time to the record."""
        self.lines.append(f"{self.now() - self._started_s:8.3f} {text}")

    def add_instances(self, zones: tuple[str, ...]) -> None:
        """Adds one instance for each zone that is named."""
        for number, zone in enumerate(zones, 1):
            self.instances.append(
                instances_lib.Instance(
                    f"front-{number}",
                    zone,
                    f"{self.network}.{number}",
                    self.folder,
                )
            )

    async def add_replica(
        self, service: str, zone: str, **options: object
    ) -> replica_lib.Replica:
        """Starts a replica that registers itself."""
        number = len(self.replicas) + 1
        replica = replica_lib.Replica(
            f"i-{number:04x}",
            service,
            zone,
            self.runs,
            self.rng,
            self.links,
            **options,
        )
        names = [instance.name for instance in self.instances]
        await replica.start(f"{self.network}.200", names)
        self.replicas[replica.id] = replica
        self.store.put(f"servers/{replica.id}", replica.entry())
        return replica

    def publish(self, routes: list[dict], max_connections: int = 100) -> int:
        """Writes a configuration and returns its version."""
        self._version += self.rng.randint(1, 5)
        services = sorted(
            {item["service"] for item in routes if "service" in item}
            | {shard for item in routes for shard in item.get("fanout", ())}
        )
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": [
                    {"name": name, "maxConnections": max_connections}
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16_384,
                    "maxBodyBytes": 262_144,
                    "headerTimeoutMs": 5_000,
                    "idleTimeoutMs": 15_000,
                },
            },
        )
        return self._version

    async def start(self) -> None:
        """Starts the instances and waits until they are ready."""
        zones = sorted({instance.zone for instance in self.instances})
        seeds = [f"{item.host}:8106" for item in self.instances[:3]]
        self._started_s = self.now()
        for instance in self.instances:
            view = await self.store.open_view(
                instance.name, f"{self.network}.201"
            )
            view.translate = self._translation(instance.name)
            instance.write_settings(
                seeds, zones, f"{self.network}.201:{view.port}"
            )
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()
        # The number of instances is known to all of them by then.
        await asyncio.sleep(1.5)
        self._started_s = self.now()

    def _translation(self, name: str):
        def translate(address: str) -> str:
            replica = self.replicas[address.removeprefix("replica:")]
            return f"{self.network}.200:{replica.port_by_instance[name]}"

        return translate

    def new_attempt(
        self,
        instance: instances_lib.Instance,
        route_name: str,
        limit_s: float,
        method: str = "GET",
        body: bytes = b"",
        reused: bool = False,
    ) -> client.Attempt:
        """Returns an attempt with an id of its own."""
        self._count += 1
        attempt = client.Attempt(
            f"a{self._count:08x}",
            instance.name,
            route_name,
            method,
            f"/{route_name}/{self._count:x}",
            client.digest(body),
            self.now(),
            limit_s,
            reused,
        )
        self.attempts[attempt.id] = attempt
        return attempt

    async def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for instance in self.instances:
            with contextlib.suppress(ProcessLookupError):
                await instance.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, folder: pathlib.Path, samples: int = 400) -> None:
        """Writes what was sent, answered and run into `record.txt`.

        Args:
            folder: Folder of the case.
            samples: How many attempts are listed at most; the last ones are.
        """
        runs_by_id: dict[str, list[replica_lib.Run]] = {}
        for run in self.runs:
            runs_by_id.setdefault(run.request_id, []).append(run)
        lines = list(self.lines)
        lines.append(
            f"{len(self.attempts)} attempts sent, {len(self.runs)} runs; the "
            f"last {samples} attempts:"
        )
        for attempt in list(self.attempts.values())[-samples:]:
            runs = ", ".join(
                f"{run.replica} at {run.at_s - self._started_s:.3f} "
                f"({run.outcome})"
                for run in runs_by_id.get(attempt.id, [])
            )
            lines.append(
                f"{attempt.sent_s - self._started_s:8.3f} {attempt.id} "
                f"{attempt.method} {attempt.path} to {attempt.instance}: "
                f"{attempt.outcome or 'open'} {attempt.status or ''} at "
                f"{attempt.ended_s - self._started_s:.3f}; run by: "
                f"{runs or 'none'}"
            )
        (folder / "record.txt").write_text("\n".join(lines) + "\n")


def run_case(main, folder: pathlib.Path, limit_s: float = 115.0) -> int:
    """Runs a case and returns its exit status.

    Args:
        main: Coroutine function of a deployment that returns whether the rule
            was broken.
        folder: Folder of the case.
        limit_s: Time limit of the run.
    """

    async def run() -> int:
        deployment = Deployment()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel
            )
        status = EXIT_NOT_RUN
        try:
            async with asyncio.timeout(limit_s):
                broken = await main(deployment)
            status = EXIT_BROKEN if broken else EXIT_HELD
        except (OSError, TimeoutError) as error:
            deployment.note(f"the case could not run: {error!r}")
        finally:
            await deployment.stop()
            deployment.write_record(folder)
        return status

    return asyncio.run(run())
