"""Requests that a stopping instance accepts late are cut off.

An instance gets SIGTERM. Its clients keep using their open connections, with
requests that take some seconds.
"""

import asyncio
import pathlib
import signal
import sys
import time

import lab as lab_lib

_FOLDER = pathlib.Path(__file__).resolve().parent
_GRACE_S = 6.0
_STABLE_S = 4.0
_DEADLINE_MS = 6000
# A request that was sent no later than this after SIGTERM, and at which the
# replica still works in the last sixth of the grace period, does not count.
_EXCUSED_UNTIL_S = 3.0
_EXCUSED_WORK_S = _GRACE_S * 5 / 6
# When requests are sent, relative to SIGTERM.
_SEND_S = (0.5, 1.5, 2.4, 3.2, 3.4, 3.6, 3.8)
_LONG_S = 2.5
_SHORT_S = 0.16


class _Replica(lab_lib.Replica):
    """Works longer on requests to /export/long-..."""

    async def work(self, run, message, reader):
        self.work_s = _LONG_S if "/long-" in run.target else _SHORT_S
        return await super().work(run, message, reader)


async def _case(lab: lab_lib.Lab) -> bool:
    record = lab.record
    for number in range(3):
        await lab.add_replica(_Replica(f"i-{number}", "order-line", "z1"))
    lab.store.put(
        "op/config",
        lab_lib.configuration(
            11,
            [
                lab_lib.route(
                    "export",
                    service="order-line",
                    kind="non_idempotent",
                    timeoutMs=_DEADLINE_MS,
                    latencyGoalMs=600,
                )
            ],
            [{"name": "order-line", "maxConnections": 96}],
        ),
    )
    await lab.start_instances(["z1", "z1"])
    instance = lab.instances[0]
    clients = [lab_lib.Client(instance) for _ in _SEND_S]
    for number, client in enumerate(clients):
        await client.connect()
        client.send("POST", f"/export/short-{number}", f"a{number}", 6000, b"x")
        answer = await client.answer(7)
        if isinstance(answer, str) or " 200" not in answer.first:
            raise RuntimeError(f"no answer before the stop: {answer}")
    await asyncio.sleep(_STABLE_S + 0.5)
    start_s = time.monotonic()
    if lab_lib.TROUBLE:
        instance.process.send_signal(signal.SIGTERM)
        record.add(f"SIGTERM to {instance.name}")
    results = await asyncio.gather(
        _stop(lab, instance, start_s),
        *(
            _request(lab, client, number, start_s)
            for number, client in enumerate(clients)
        ),
    )
    return not any(results[1:])


async def _stop(lab, instance, start_s: float) -> bool:
    """Ends the process like the platform does, after the grace period."""
    if not lab_lib.TROUBLE:
        return False
    try:
        async with asyncio.timeout(start_s + _GRACE_S - time.monotonic()):
            await instance.process.wait()
    except TimeoutError:
        instance.process.kill()
        lab.record.add(f"SIGKILL to {instance.name}")
    await instance.process.wait()
    lab.record.add(f"{instance.name} ended {time.monotonic() - start_s:.2f} s")
    return False


async def _request(lab, client, number: int, start_s: float) -> bool:
    """Sends one request; returns whether its end breaks the rule."""
    record, request_id = lab.record, f"b{number}"
    await asyncio.sleep(start_s + _SEND_S[number] - time.monotonic())
    if client.reader.at_eof():
        record.add(f"{request_id}: the connection was closed before it")
        return False
    sent_s = time.monotonic()
    client.send(
        "POST", f"/export/long-{number}", request_id, _DEADLINE_MS, b"x"
    )
    answer = await client.answer(_DEADLINE_MS / 1000 + 1)
    ended_s = time.monotonic()
    runs = [
        run
        for replica in lab.replicas.values()
        for run in replica.runs
        if run.request_id == request_id
    ]
    text = answer if isinstance(answer, str) else answer.first
    record.add(
        f"{request_id}: sent {sent_s - start_s:.2f} s after SIGTERM, runs"
        f" {len(runs)}, ended {ended_s - start_s:.2f} s after it: {text}"
    )
    if not isinstance(answer, str) or not runs:
        return False
    within_limit = ended_s - sent_s < _DEADLINE_MS / 1000
    counted = ended_s - start_s < _GRACE_S + 1
    excused = (
        sent_s - start_s <= _EXCUSED_UNTIL_S
        and runs[-1].ended_s - start_s >= _EXCUSED_WORK_S
    )
    lost = within_limit and counted and not excused
    if lost:
        record.add(f"{request_id}: LOST")
    return lost


if __name__ == "__main__":
    sys.exit(lab_lib.run_case(_FOLDER, ("z1",), _case))
