"""A small installation with replicas that send bytes after complete answers."""

import asyncio
from collections.abc import Callable
import dataclasses
import pathlib
import random
import time

import rig

_SERVICE = "desk"
_ZONES = ("hall-a", "hall-b")
_REPLICAS = 5
# `garble` (extra late) of the site files: 0.6 of the replicas, 0.03 of their
# answers, for 5 s.
_FAULTY = 3
_SHARE = 0.03
_TROUBLE_S = 5.0
_CLIENTS = 12
_PAUSE_S = 0.02
# stableWindowMs, after which the machines are in touch.
_TOUCH_S = 4.5


def refuse(replica: "FaultyReplica", request_id: str) -> bytes:
    """Returns a refusal that does not say of which request."""
    del replica, request_id
    return rig.response(503, b"", {"Not-Executed": "1"})


class FaultyReplica(rig.Replica):
    """Sends bytes after some complete answers, when the next is expected.

    Attributes:
        faulty: Whether it does so now.
        sent_late: Ids of the requests after whose answers it sent bytes.
    """

    def __init__(
        self, number: int, late: Callable[["FaultyReplica", str], bytes]
    ) -> None:
        super().__init__(f"i-{number}", _SERVICE, _ZONES[number % 2])
        self.work_s = 0.01
        self.faulty = False
        self.sent_late: list[str] = []
        self._late = late
        self._due: dict[object, bytes] = {}
        self._random = random.Random(number)

    async def answer(self, writer, first, headers, body) -> None:
        """Runs a request; sends what is due before its answer."""
        late = self._due.pop(writer, None)
        if late is not None:
            writer.write(late)
            await writer.drain()
        await super().answer(writer, first, headers, body)
        if self.faulty and self._random.random() < _SHARE:
            request_id = headers["attempt-id"]
            self.sent_late.append(request_id)
            self._due[writer] = self._late(self, request_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a client got for a request; status 0 if there was no answer."""

    request_id: str
    status: int
    stamp: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What clients and replicas saw.

    Attributes:
        answers: What the clients got.
        replicas_by_id: For each request, the replicas that ran it.
    """

    answers: list[Answer]
    replicas_by_id: dict[str, list[str]]


async def play(
    record: rig.Record,
    folder: pathlib.Path,
    entries: list[rig.Entry],
    late: Callable[[FaultyReplica, str], bytes],
    method: str,
    kind: str,
    max_attempts: int = 2,
) -> Outcome:
    """Plays a steady load while some replicas are faulty.

    Args:
        record: Gets what was sent, answered and run.
        folder: Temporary folder.
        entries: Gets the entries that are started.
        late: Returns the bytes that a replica sends after an answer.
        method: Method of the requests.
        kind: Kind of their route.
        max_attempts: To how many replicas a request may be sent.
    """
    store = rig.Store()
    await store.start()
    replicas = [FaultyReplica(number, late) for number in range(_REPLICAS)]
    for replica in replicas:
        await replica.start()
        store.put(f"servers/{replica.id}", replica.entry())
    routes = [rig.route("base", _SERVICE, kind=kind, maxAttempts=max_attempts)]
    store.put("op/config", rig.configuration(1, routes, {_SERVICE: 100}))
    for number, zone in enumerate(_ZONES):
        entries.append(rig.Entry(f"front-{number + 1}", zone, folder))
    for entry in entries:
        entry.write_settings(store, entries, list(_ZONES))
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(_TOUCH_S)

    answers: list[Answer] = []
    end_s = time.monotonic() + _TROUBLE_S + 1.0

    async def request_steadily(entry: rig.Entry) -> None:
        client = rig.Client(entry.ports["front"])
        body = b"one body" if method == "POST" else b""
        while time.monotonic() < end_s:
            request_id = rig.new_id()
            status, stamp, size = 0, "", 0
            try:
                status, headers, content = await client.send(
                    "/base/a", request_id, method=method, body=body
                )
                stamp, size = headers.get("server-stamp", ""), len(content)
            except (OSError, asyncio.IncompleteReadError) as error:
                record.write(f"request {request_id}: {error!r}")
            answers.append(Answer(request_id, status, stamp, size))
            await asyncio.sleep(_PAUSE_S)
        client.close()

    clients = [
        asyncio.create_task(request_steadily(entry))
        for entry in entries
        for _ in range(_CLIENTS)
    ]
    for replica in replicas[:_FAULTY]:
        replica.faulty = rig.troubled()
    await asyncio.sleep(_TROUBLE_S)
    for replica in replicas:
        replica.faulty = False
    await asyncio.gather(*clients)
    replicas_by_id: dict[str, list[str]] = {}
    for replica in replicas:
        for request_id, _ in replica.run:
            replicas_by_id.setdefault(request_id, []).append(replica.id)
        record.write(
            f"{replica.id}: {len(replica.run)} run, bytes sent after the"
            f" answers to {','.join(replica.sent_late) or 'none'}"
        )
        replica.stop()
    store.stop()
    for answer in answers:
        record.write(
            f"request {answer.request_id}: status {answer.status},"
            f" signature {answer.stamp or 'none'}, {answer.size} bytes, run by"
            f" {','.join(replicas_by_id.get(answer.request_id, ['none']))}"
        )
    return Outcome(answers, replicas_by_id)
