"""A replica whose failures after the work have the status of a refusal."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig import cases  # noqa: E402
from rig import deployment  # noqa: E402

_REPLICAS = 7
# One replica of seven fails this share of its requests.
_FAILING_SHARE = 0.4
_STABLE_S = 4.0
_WARM_UP = 10
_REQUESTS = 100
_PROMISES = (408, 421, 429, 503)


async def _play(site, record, trouble: bool) -> bool:
    for number in range(_REPLICAS):
        zone = deployment.ZONES[number % len(deployment.ZONES)]
        await site.add_replica(f"i-{number}", "order-line", zone)
    site.publish(
        3,
        [deployment.route("orders", "order-line", kind="non_idempotent")],
    )
    for instance in site.instances:
        await instance.wait_until_ready()
    record.event("all instances are ready")
    await asyncio.sleep(_STABLE_S + 1)
    for _ in range(_WARM_UP):
        for instance in site.instances:
            await site.ask(instance, "POST", "/orders/1", record)
    used = collections.Counter(run.server for run in site.runs)
    if trouble:
        faulty = site.replicas[used.most_common(1)[0][0]]
        faulty.failing_share = _FAILING_SHARE
        faulty.failure_status = 503
        record.event(f"{faulty.id} fails {_FAILING_SHARE} of its requests")
    answers: dict[int, int] = {}
    untrue = 0
    for _ in range(_REQUESTS):
        for instance in site.instances:
            status, _, _ = await site.ask(instance, "POST", "/orders/1", record)
            answers[status] = answers.get(status, 0) + 1
            if status in _PROMISES:
                untrue += site.runs[-1].request_id == site.last_id
    record.event(
        f"answers by status: {answers}; {untrue} of these said that the request"
        " had not run, and a replica had run it"
    )
    return untrue == 0


cases.run(__file__, 3, _play)
