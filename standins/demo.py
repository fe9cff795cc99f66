"""Starts a small fleet, runs queries through it and prints the answers."""

import asyncio
import json
import sys

from standins import fleet as fleet_lib
from standins import serving

FAILURE_DOMAINS = ("fukuoka-a", "fukuoka-b", "kumamoto-a")
_SERVICES = tuple(f"checker-{number:02}" for number in range(1, 7))
TOKEN = "demo-token"


def replica_specs() -> list[fleet_lib.ReplicaSpec]:
    """Returns two replicas of each service on free ports."""
    ports = iter(serving.free_ports(2 * len(_SERVICES)))
    specs = []
    for number, service in enumerate(_SERVICES):
        for copy in range(2):
            domain = FAILURE_DOMAINS[(number + copy) % 3]
            specs.append(
                fleet_lib.ReplicaSpec(
                    f"{service}-{'ab'[copy]}", service, domain, next(ports)
                )
            )
    return specs


def documents(specs: list[fleet_lib.ReplicaSpec]) -> dict[str, object]:
    """Returns the configuration of the demo."""
    values: dict[str, object] = {
        "/operator/fleet": {"classes": ["paying", "standard", "background"]},
        "/operator/groups/checker": {"services": list(_SERVICES)},
        "/operator/teams/hunters": fleet_lib.team_document(TOKEN, "paying"),
        "/teams/hunters/query": {"default_deadline_ms": 500},
    }
    shards = {}
    for service in _SERVICES:
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


async def _demo() -> None:
    async with fleet_lib.Fleet() as fleet:
        specs = replica_specs()
        await fleet.start_platform()
        await fleet.start_upstreams(specs)
        await fleet.publish(documents(specs))
        starts = []
        for number in range(6):
            domain = FAILURE_DOMAINS[number % 3]
            starts.append(fleet.start_instance(f"entry-{number}", domain))
        await asyncio.gather(*starts)
        for instance in fleet.instances_by_id.values():
            answer = await fleet.post(
                instance.url + "/v1/query/checker",
                {"query": {"hint": 7}},
                {"Authorization": f"Bearer {TOKEN}"},
            )
            answer.pop("results", None)
            answer.pop("covered", None)
            print(instance.id, json.dumps(answer))


def main() -> int:
    """Runs the demo."""
    asyncio.run(_demo())
    return 0


if __name__ == "__main__":
    sys.exit(main())
