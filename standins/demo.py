"""Starts a small fleet, sends queries and a submission, prints the answers."""

import argparse
import asyncio
import signal
import sys
import time
from typing import Any

import psutil

from mallowloft import client as client_lib
from standins import fleet as fleet_lib
from standins import ports as ports_lib

FAILURE_DOMAINS = ("fukuoka-a", "fukuoka-b", "kumamoto-a")
SERVICES = tuple(f"checker-{number:02}" for number in range(1, 7))
TOKEN = "demo-token"
_RUN_TIMEOUT_S = 45.0
# Instances that have just started may not know each other yet. Their first
# answers can be incomplete, so the query is repeated.
_MAX_QUERY_ATTEMPTS = 20
_RETRY_DELAY_S = 0.2


def replica_specs(
    reserved: ports_lib.ReservedPorts,
) -> list[fleet_lib.ReplicaSpec]:
    """Returns two replicas of each service in different failure domains."""
    ports = iter(reserved.reserve(2 * len(SERVICES)))
    specs = []
    for number, service in enumerate(SERVICES):
        for copy in range(2):
            domain = FAILURE_DOMAINS[(number + copy) % 3]
            specs.append(
                fleet_lib.ReplicaSpec(
                    f"{service}-{'ab'[copy]}", service, domain, next(ports)
                )
            )
    return specs


def configuration_documents(
    specs: list[fleet_lib.ReplicaSpec],
) -> dict[str, object]:
    """Returns the configuration documents of the demo by path."""
    values: dict[str, object] = {
        "/operator/fleet": {"classes": ["paying", "standard", "background"]},
        "/operator/groups/checker": {"services": list(SERVICES)},
        "/operator/teams/hunters": fleet_lib.team_document(TOKEN, "paying"),
        "/teams/hunters/query": {"default_deadline_ms": 500},
    }
    shards = {}
    for service in SERVICES:
        replicas = [spec for spec in specs if spec.service == service]
        values[f"/operator/services/{service}"] = {
            "index": "clues",
            "replicas": [
                {
                    "id": spec.id,
                    "url": spec.url,
                    "failure_domain": spec.failure_domain,
                    "slots": spec.slots,
                    "connections": spec.connections,
                }
                for spec in replicas
            ],
        }
        ids = [spec.id for spec in replicas]
        shards[service] = {f"{service}-s{number}": ids for number in range(2)}
    values["/operator/indexes/clues"] = {
        "versions": [{"version": 1, "shards": shards}]
    }
    return values


async def _post(
    client: client_lib.Client, url: str, body: Any, key: str = ""
) -> client_lib.Answer:
    headers = {"Idempotency-Key": key} if key else {}
    outcome = await client.call("POST", url, body, headers)
    if outcome.is_err():
        raise RuntimeError(outcome.unwrap_err().reason)
    return outcome.unwrap()


async def _query(
    client: client_lib.Client, instance: fleet_lib.Instance
) -> bool:
    """Repeats a query until its answer is complete; prints every answer.

    Returns:
        Whether an answer was complete within `_MAX_QUERY_ATTEMPTS` queries.
    """
    for _ in range(_MAX_QUERY_ATTEMPTS):
        answer = await _post(
            client, instance.url + "/v1/query/checker", {"query": {"hint": 7}}
        )
        body = answer.body
        if "coverage" not in body:
            print(f"{instance.id}  status {answer.status}  {body}")
        else:
            shards = len(body["covered"]) + len(body["lacking"])
            print(
                f"{instance.id}  {instance.failure_domain:<10}"
                f"  coverage {body['coverage']:.3f}"
                f" ({len(body['covered'])} of {shards} shards)"
                f"  version {body['index_version']}"
                f"  {body['attempts']['sent']} sub-requests"
                f"  {body['elapsed_ms']:.1f} ms"
            )
            if body["complete"]:
                return True
        await asyncio.sleep(_RETRY_DELAY_S)
    return False


async def _submit(client: client_lib.Client, fleet: fleet_lib.Fleet) -> bool:
    """Sends a submission to two instances with the same idempotency key.

    Returns:
        Whether the upstreams ran it exactly once and both replies are equal.
    """
    first, *_, last = fleet.instances_by_id.values()
    issued = await _post(client, first.url + "/v1/keys", {})
    if issued.status != 200:
        print(f"no key was issued: status {issued.status}  {dict(issued.body)}")
        return False
    key = issued.body["keys"][0]
    print(f"key    {key}")
    body = {"shard": f"{SERVICES[0]}-s0", "body": {"solved": 7}}
    answers = []
    for instance in (first, last):
        answer = await _post(
            client,
            f"{instance.url}/v1/submissions/{SERVICES[0]}",
            # Only the first call declares itself as the first send.
            {**body, "first_send": not answers},
            key,
        )
        answers.append(answer.body)
        print(
            f"submission at {instance.id}: {answer.body.get('outcome')}"
            f"  {answer.body.get('reply', answer.body.get('error'))}"
        )
    runs = 0
    for replica in fleet.replicas_by_id.values():
        journal = (await fleet.journal(replica.id))["journal"]
        runs += sum(item["event"] == "submit_started" for item in journal)
    print(f"runs at the upstreams: {runs}")
    same = answers[0].get("reply") == answers[1].get("reply")
    return runs == 1 and same


async def _run(fleet: fleet_lib.Fleet, started_s: float) -> bool:
    specs = replica_specs(fleet.ports)
    print("starting stand-ins and 6 instances in 3 failure domains", flush=True)
    await fleet.start_platform()
    await fleet.start_upstreams(specs)
    await fleet.publish(configuration_documents(specs))
    starts = []
    for number in range(6):
        domain = FAILURE_DOMAINS[number % 3]
        starts.append(fleet.start_instance(f"entry-{number}", domain))
    await asyncio.gather(*starts)
    print(f"ready after {time.monotonic() - started_s:.1f} s", flush=True)
    async with client_lib.Client(TOKEN) as client:
        complete = [
            await _query(client, instance)
            for instance in fleet.instances_by_id.values()
        ]
        return await _submit(client, fleet) and all(complete)


async def _keep(fleet: fleet_lib.Fleet) -> None:
    """Prints the addresses of the instances and waits for a signal."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    urls = [instance.url for instance in fleet.instances_by_id.values()]
    first = next(iter(fleet.instances_by_id.values()))
    print("running until Ctrl-C; in another terminal:")
    print(f"export MALLOWLOFT_URL={','.join(urls)}")
    print(f"export MALLOWLOFT_TOKEN={TOKEN}")
    print(f"export MALLOWLOFT_OPERATOR_URL={first.operator_url}", flush=True)
    await stop.wait()


async def _demo(keep: bool) -> bool:
    started_s = time.monotonic()
    async with fleet_lib.Fleet() as fleet:
        async with asyncio.timeout(_RUN_TIMEOUT_S):
            succeeded = await _run(fleet, started_s)
        if keep:
            await _keep(fleet)
        print("stopping", flush=True)
    pids = fleet.started_pids
    remaining_pids = [pid for pid in pids if psutil.pid_exists(pid)]
    remaining_pids += [
        child.pid for child in psutil.Process().children(recursive=True)
    ]
    print(f"processes started: {len(pids)}, left: {len(remaining_pids)}")
    print(f"ended after {time.monotonic() - started_s:.1f} s")
    return succeeded and not remaining_pids


def main() -> int:
    """Starts a small fleet, sends queries and a submission, and stops it."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the fleet running until a signal arrives",
    )
    succeeded = asyncio.run(_demo(parser.parse_args().keep))
    print("demo succeeded" if succeeded else "demo failed")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
