"""A small installation whose configuration adds and removes routes."""

import asyncio
import contextlib
import dataclasses
import pathlib
import time

import rig

# `big_config` adds as many routes at most in the small site files.
ROUTES_ADDED = 350
_ZONES = ("hall-a", "hall-b")
# The service of the steady load, and the one of the routes that come and go.
_DESK = "desk"
_NOTES = "notes"
_CONNECTIONS = 100
_REQUESTERS = 16


@dataclasses.dataclass(slots=True)
class Sent:
    """A request on a kept connection.

    Attributes:
        kept: Whether its connection had carried a request before.
        ended_s: When its answer or the end of its connection came.
        status: Status of the complete answer, 0 if there was none.
    """

    id: str
    entry: str
    sent_s: float
    kept: bool
    ended_s: float | None = None
    status: int = 0


class Installation:
    """Two entries, a store and two services of three sound replicas each.

    Attributes:
        requests: The requests of the steady load.
    """

    def __init__(
        self,
        record: rig.Record,
        folder: pathlib.Path,
        entries: list[rig.Entry],
        work_s: float,
        timeout_ms: int = 2000,
    ) -> None:
        self._record = record
        self._folder = folder
        self.entries = entries
        self._work_s = work_s
        self._timeout_ms = timeout_ms
        self.store = rig.Store()
        self.replicas: list[rig.Replica] = []
        self.requests: list[Sent] = []
        self._version = 0
        self._tasks: list[asyncio.Task] = []
        self._added: list[str] = []

    async def start(self) -> None:
        """Starts everything, and waits until the entries are ready."""
        await self.store.start()
        for number in range(6):
            service = (_DESK, _NOTES)[number % 2]
            zone = _ZONES[number // 2 % 2]
            replica = rig.Replica(f"i-{number}", service, zone)
            if service == _DESK:
                replica.work_s = self._work_s
            await replica.start()
            self.replicas.append(replica)
            self.store.put(f"servers/{replica.id}", replica.entry())
        self._publish([])
        for number, zone in enumerate(_ZONES):
            entry = rig.Entry(f"front-{number + 1}", zone, self._folder)
            self.entries.append(entry)
        for entry in self.entries:
            entry.write_settings(self.store, self.entries, list(_ZONES))
            await entry.start()
        for entry in self.entries:
            await entry.wait_ready()
            self._tasks.append(asyncio.create_task(entry.watch_memory()))

    def _publish(self, names: list[str]) -> None:
        self._version += 1
        routes = [
            rig.route("base", _DESK, timeoutMs=self._timeout_ms),
            *(rig.route(name, _NOTES) for name in names),
        ]
        self.store.put(
            "op/config",
            rig.configuration(
                self._version,
                routes,
                {_DESK: _CONNECTIONS, _NOTES: _CONNECTIONS},
            ),
        )

    def load(self, clients: int, pause_s: float) -> None:
        """Starts the steady load: clients that keep their connections."""
        for entry in self.entries:
            for _ in range(clients):
                self._tasks.append(
                    asyncio.create_task(self._request_steadily(entry, pause_s))
                )

    async def _request_steadily(self, entry: rig.Entry, pause_s: float) -> None:
        client = rig.Client(entry.ports["front"])
        kept = False
        while True:
            sent = Sent(rig.new_id(), entry.name, time.monotonic(), kept)
            self.requests.append(sent)
            try:
                sent.status, headers, _ = await client.send(
                    "/base/a", sent.id, deadline_ms=8000
                )
                kept = headers.get("connection", "").lower() != "close"
            except (OSError, asyncio.IncompleteReadError):
                kept = False
                if not entry.alive:
                    sent.ended_s = time.monotonic()
                    return
            sent.ended_s = time.monotonic()
            await asyncio.sleep(pause_s)

    async def grow(self, generation: int, changes_names: bool) -> None:
        """Adds 350 routes, sends one request on each, and drops older ones.

        Args:
            generation: Number of the change.
            changes_names: Whether the added routes are new ones. If not, the
                same routes are added and removed each time.
        """
        suffix = generation if changes_names else generation % 2
        names = [f"r{suffix}x{number}" for number in range(ROUTES_ADDED)]
        # Those of the change before stay, so that none is removed in use.
        self._publish(names + self._added)
        self._added = names
        await asyncio.gather(
            *(self._use(entry, names) for entry in self.entries)
        )
        memory = ",".join(f"{item.memory_mb():.0f}" for item in self.entries)
        self._record.write(
            f"version {self._version}: {ROUTES_ADDED} routes added;"
            f" the entries hold {memory} MB"
        )

    async def _use(self, entry: rig.Entry, names: list[str]) -> None:
        probe = rig.Client(entry.ports["front"])
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            status = 404
            while status == 404:
                status, _, _ = await probe.send(f"/{names[0]}/a", rig.new_id())
                await asyncio.sleep(0.01)
            probe.close()
            await asyncio.gather(
                *(
                    self._use_some(entry, names[start::_REQUESTERS])
                    for start in range(_REQUESTERS)
                )
            )

    async def _use_some(self, entry: rig.Entry, names: list[str]) -> None:
        client = rig.Client(entry.ports["front"])
        try:
            for name in names:
                await client.send(f"/{name}/a", rig.new_id())
        finally:
            client.close()

    def record_requests(self) -> None:
        """Writes what became of the requests of the steady load."""
        run = {item for replica in self.replicas for item, _ in replica.run}
        for sent in self.requests:
            took = (
                f"{sent.ended_s - sent.sent_s:.3f} s"
                if sent.ended_s is not None
                else "unanswered"
            )
            self._record.write(
                f"request {sent.id} at {sent.entry}"
                f" kept={int(sent.kept)} run={int(sent.id in run)}"
                f" status={sent.status} {took}"
            )

    def stop(self) -> None:
        """Stops the load, the replicas and the store."""
        for task in self._tasks:
            task.cancel()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
