"""Compares processor time per sub-request with that of a bare HTTP client.

One instance, the coordinator, has no replicas in its failure domain. A second
instance dispatches for all replicas. A bare aiohttp client in a process of its
own sends the same calls to the same replicas. The figures have no bounds,
because they depend on the machine; their ratios depend on it less.
"""

import argparse
import asyncio
import json
import statistics
import sys
import time

import aiohttp
import psutil

from mallowloft import client as client_lib
from standins import fleet as fleet_lib

_CONCURRENCY = 8
_WARM_UP_QUERIES = 50
_IDLE_WINDOW_S = 3.0
_TOKEN = "cost-token"
_QUERY = {"hint": 7}


def _specs(ports: list[int]) -> list[fleet_lib.ReplicaSpec]:
    return [
        fleet_lib.ReplicaSpec(
            f"r{number:02}", f"svc-{number:02}", "work", port, 16, 256, 0.0
        )
        for number, port in enumerate(ports)
    ]


def _documents(specs: list[fleet_lib.ReplicaSpec]) -> dict[str, object]:
    services = {
        f"/operator/services/{spec.service}": {
            "index": "main",
            "replicas": [
                {
                    "id": spec.id,
                    "url": spec.url,
                    "failure_domain": spec.failure_domain,
                    "slots": spec.slots,
                    "connections": spec.connections,
                }
            ],
        }
        for spec in specs
    }
    shards = {spec.service: {"s0": [spec.id]} for spec in specs}
    return {
        **services,
        "/operator/indexes/main": {
            "versions": [{"version": 1, "shards": shards}]
        },
        "/operator/groups/all": {"services": [spec.service for spec in specs]},
        "/operator/teams/load": fleet_lib.team_document(_TOKEN, "paying"),
    }


async def _closed_loop(count: int, make_call) -> None:
    """Makes `count` calls, with up to `_CONCURRENCY` of them in flight."""
    remaining = iter(range(count))

    async def worker() -> None:
        for _ in remaining:
            await make_call()

    await asyncio.gather(*(worker() for _ in range(_CONCURRENCY)))


async def _measure_bare_client(urls: list[str], queries: int) -> float:
    """Returns the processor time per call of a bare client, in us."""
    body = {
        "index_version": 1,
        "shards": ["s0"],
        "query": _QUERY,
        "deadline_ms": 10_000.0,
    }
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def call(url: str) -> None:
            async with session.post(
                url + "/v1/query", json={**body, "request": url}
            ) as response:
                json.loads(await response.read())

        async def query() -> None:
            await asyncio.gather(*(call(url) for url in urls))

        await _closed_loop(_WARM_UP_QUERIES, query)
        started_s = time.process_time()
        await _closed_loop(queries, query)
        used_s = time.process_time() - started_s
    return used_s * 1e6 / (queries * len(urls))


async def _run_bare_client(
    specs: list[fleet_lib.ReplicaSpec], queries: int
) -> float:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.cost",
        f"--queries={queries}",
        "--bare",
        *(spec.url for spec in specs),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return float(output)


def _cpu_s(instance: fleet_lib.Instance) -> float:
    times = psutil.Process(instance.process.pid).cpu_times()
    return times.user + times.system


async def _send_queries(
    client: client_lib.Client, coordinator: fleet_lib.Instance, queries: int
) -> int:
    """Sends queries and returns the number of sub-requests."""
    sub_requests = 0

    async def query() -> None:
        nonlocal sub_requests
        outcome = await client.call(
            "POST",
            coordinator.url + "/v1/query/all",
            {"query": _QUERY, "deadline_ms": 10_000},
        )
        body = outcome.unwrap().body
        if body.get("complete") is not True:
            raise RuntimeError(f"incomplete answer: {body}")
        sub_requests += body["attempts"]["sent"]

    await _closed_loop(queries, query)
    return sub_requests


async def _warm_up(
    client: client_lib.Client, coordinator: fleet_lib.Instance
) -> None:
    """Sends rounds of queries until all answers of a round are complete.

    Answers are incomplete until the instances have discovered each other.
    """
    async with asyncio.timeout(30):
        while True:
            try:
                await _send_queries(client, coordinator, _WARM_UP_QUERIES)
                return
            except RuntimeError:
                await asyncio.sleep(0.5)


async def _measure(queries: int, rounds: int, fan_out: int) -> None:
    async with fleet_lib.Fleet() as fleet:
        specs = _specs(fleet.ports.reserve(fan_out))
        await fleet.start_platform()
        await fleet.start_upstreams(specs)
        await fleet.publish(_documents(specs))
        for spec in specs:
            await fleet.set_replica(spec.id, service_ms=0.5)
        coordinator = await fleet.start_instance(
            "entry", "front", log_level="error"
        )
        dispatcher = await fleet.start_instance(
            "dispatcher", "work", log_level="error"
        )
        instances = (coordinator, dispatcher)
        async with client_lib.Client(_TOKEN) as client:
            await _warm_up(client, coordinator)
            await _print_idle(instances)
            costs_us: dict[str, list[float]] = {"bare": []}
            costs_us |= {instance.id: [] for instance in instances}
            for _ in range(rounds):
                costs_us["bare"].append(await _run_bare_client(specs, queries))
                before = [_cpu_s(instance) for instance in instances]
                sub_requests = await _send_queries(client, coordinator, queries)
                for instance, before_s in zip(instances, before, strict=True):
                    used_s = _cpu_s(instance) - before_s
                    costs_us[instance.id].append(used_s * 1e6 / sub_requests)
        print(
            f"{rounds} rounds of {queries} queries with {fan_out} sub-requests,"
            f" {_CONCURRENCY} at a time; the coordinator's figure includes HTTP"
            " with the callers"
        )
        _print_costs(costs_us)
        _print_memory(instances)


async def _print_idle(instances) -> None:
    before = [_cpu_s(instance) for instance in instances]
    await asyncio.sleep(_IDLE_WINDOW_S)
    for instance, before_s in zip(instances, before, strict=True):
        share = (_cpu_s(instance) - before_s) / _IDLE_WINDOW_S
        print(f"{instance.id:12} idle: {share:.1%} of a core")


def _print_costs(costs_us: dict[str, list[float]]) -> None:
    for name, values in costs_us.items():
        ratios = [
            value / bare
            for value, bare in zip(values, costs_us["bare"], strict=True)
        ]
        print(
            f"{name:12} {statistics.median(values):8.1f} us per sub-request"
            f"  ratio to bare {statistics.median(ratios):.2f}"
            f"  (rounds: {', '.join(f'{item:.2f}' for item in ratios)})"
        )


def _print_memory(instances) -> None:
    for instance in instances:
        memory = psutil.Process(instance.process.pid).memory_info().rss
        print(f"{instance.id:12} resident memory {memory / 1e6:.1f} MB")


def main() -> int:
    """Prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=500)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--fan-out", type=int, default=20, help="sub-requests of a query"
    )
    parser.add_argument("--bare", nargs="+", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.bare:
        print(
            asyncio.run(_measure_bare_client(arguments.bare, arguments.queries))
        )
    else:
        asyncio.run(
            _measure(arguments.queries, arguments.rounds, arguments.fan_out)
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
