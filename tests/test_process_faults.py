"""Tests load on real processes during SIGKILL, SIGSTOP and SIGTERM."""

import asyncio
import contextvars
import dataclasses
import random
import signal

import aiohttp
import pytest

from standins import demo
from standins import fleet as fleet_lib

_SEED = 5
_CALLERS = 12
_LOAD_DURATION_S = 4.0
_DEADLINE_MS = 500
_CLIENT_TIMEOUT_S = 2.0
_MAX_ATTEMPTS = 8
_RETRY_DELAY_S = 0.3
_SERVICE = "checker-01"
_HEADERS = {"Authorization": f"Bearer {demo.TOKEN}"}
_OUTCOMES = ("done", "not_run", "unknown")
# Whether the request of the current task uses a kept-alive connection.
_reused = contextvars.ContextVar("reused", default=False)


@dataclasses.dataclass
class _Record:
    """Outcomes that callers observed.

    Attributes:
        outcome_by_marker: Last outcome of each submission, None if no
            instance answered.
        queries: Number of queries with results.
        mixed_versions: Number of answers with rows of another version than the
            stated one.
        aborted: Requests aborted by an instance that was not killed or frozen.
    """

    outcome_by_marker: dict[str, str | None] = dataclasses.field(
        default_factory=dict
    )
    queries: int = 0
    mixed_versions: int = 0
    aborted: list[str] = dataclasses.field(default_factory=list)


async def _record_reuse(session, context, parameters) -> None:
    del session, context, parameters
    _reused.set(True)


class _Callers:
    """Callers that retry their submissions at random instances."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.record = _Record()
        self.faulty: set[str] = set()
        self.started_s = asyncio.get_running_loop().time()
        self._fleet = fleet
        self._rng = random.Random(_SEED)
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_record_reuse)
        trace.freeze()
        fleet.session.trace_configs.append(trace)

    async def run(self) -> None:
        """Sends submissions and queries for the duration of the load."""
        end_s = asyncio.get_running_loop().time() + _LOAD_DURATION_S
        await asyncio.gather(
            *(self._caller(number, end_s) for number in range(_CALLERS))
        )

    async def _caller(self, number: int, end_s: float) -> None:
        sent = 0
        while asyncio.get_running_loop().time() < end_s:
            sent += 1
            await self._submit(f"c{number}-{sent}")
            await self._query()

    async def _post(self, path: str, body, headers=None):
        instance = self._rng.choice(list(self._fleet.instances_by_id.values()))
        _reused.set(False)
        if instance.id in self.faulty:
            # A load balancer needs some time to detect the fault. After that,
            # callers avoid the instance.
            await asyncio.sleep(0.05)
        try:
            async with self._fleet.session.post(
                instance.url + path,
                json=body,
                headers={**_HEADERS, **(headers or {})},
                timeout=aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S),
            ) as response:
                return await response.json()
        except aiohttp.ClientConnectorError:
            return None
        except (TimeoutError, aiohttp.ClientError) as error:
            if instance.id not in self.faulty:
                now_s = asyncio.get_running_loop().time()
                self.record.aborted.append(
                    f"{instance.id}{path}: {error!r}"
                    f" at {now_s - self.started_s:.2f} s,"
                    f" on a kept-alive connection: {_reused.get()}"
                )
            return None

    async def _query(self) -> None:
        answer = await self._post(
            "/v1/query/checker",
            {"query": {}, "deadline_ms": _DEADLINE_MS},
        )
        if answer is None or "results" not in answer:
            return
        self.record.queries += 1
        rows = [
            row
            for by_shard in answer["results"].values()
            for rows in by_shard.values()
            for row in rows
        ]
        suffix = f"@{answer['index_version']}"
        self.record.mixed_versions += any(
            not row.endswith(suffix) for row in rows
        )

    async def _submit(self, marker: str) -> None:
        key = None
        for attempt in range(_MAX_ATTEMPTS):
            if key is None:
                keys = await self._post("/v1/keys", {})
                if keys is None or "keys" not in keys:
                    continue
                key, first = keys["keys"][0], True
            answer = await self._post(
                f"/v1/submissions/{_SERVICE}",
                {
                    "shard": f"{_SERVICE}-s0",
                    "body": {"marker": marker},
                    "deadline_ms": _DEADLINE_MS,
                    "first_send": first,
                },
                {"Idempotency-Key": key},
            )
            first = False
            outcome = answer and answer.get("outcome")
            self.record.outcome_by_marker[marker] = outcome
            if outcome == "done":
                return
            if outcome == "not_run":
                key = None
            if attempt < _MAX_ATTEMPTS - 1:
                await asyncio.sleep(_RETRY_DELAY_S)


async def _kill(fleet, callers) -> None:
    callers.faulty.add("entry-1")
    fleet.signal("entry-1", signal.SIGKILL)
    await asyncio.sleep(1.0)
    await fleet.start_instance("entry-1", "fukuoka-b")
    callers.faulty.discard("entry-1")


async def _freeze(fleet, callers) -> None:
    callers.faulty.add("entry-2")
    fleet.signal("entry-2", signal.SIGSTOP)
    await asyncio.sleep(1.5)
    fleet.signal("entry-2", signal.SIGCONT)


async def _terminate(fleet, callers) -> None:
    del callers
    instance = fleet.instances_by_id["entry-3"]
    fleet.signal("entry-3", signal.SIGTERM)
    await asyncio.wait_for(instance.process.wait(), 30)
    assert instance.process.returncode == 0


async def _freeze_and_kill(fleet, callers) -> None:
    await asyncio.gather(_freeze(fleet, callers), _kill(fleet, callers))


async def _run_with_faults(*faults) -> tuple[_Record, dict[str, int]]:
    """Runs callers while faults are injected one after another.

    Returns:
        What the callers observed, and how often each submission was started.
    """
    async with fleet_lib.Fleet() as fleet:
        specs = demo.replica_specs(fleet.ports)
        await fleet.start_platform()
        await fleet.start_upstreams(specs)
        await fleet.publish(demo.configuration_documents(specs))
        await asyncio.gather(
            *(
                fleet.start_instance(f"entry-{number}", domain)
                for number, domain in enumerate(demo.FAILURE_DOMAINS * 2)
            )
        )
        callers = _Callers(fleet)
        load = asyncio.create_task(callers.run())
        await asyncio.sleep(0.5)
        for fault in faults:
            await fault(fleet, callers)
        await load
        starts: dict[str, int] = {}
        for spec in specs:
            journal = (await fleet.journal(spec.id))["journal"]
            for event in journal:
                if event["event"] == "submit_started":
                    marker = event["body"]["marker"]
                    starts[marker] = starts.get(marker, 0) + 1
        return callers.record, starts


class TestProcessFaults:
    """Guards against submissions that run twice, and false outcomes."""

    @pytest.mark.parametrize(
        "faults",
        [
            pytest.param((_kill,), id="kill"),
            pytest.param((_freeze,), id="freeze"),
            pytest.param((_terminate,), id="terminate"),
            pytest.param((_freeze_and_kill,), id="freeze-and-kill"),
        ],
    )
    def test_submissions_run_at_most_once_and_queries_are_not_mixed(
        self, faults
    ):
        record, starts = asyncio.run(_run_with_faults(*faults))
        outcomes = record.outcome_by_marker
        counts = {
            name: sum(value == name for value in outcomes.values())
            for name in _OUTCOMES
        }
        print(f"queries {record.queries}, submissions {counts}")
        started_twice = {name for name, count in starts.items() if count > 1}
        refused = {name for name in outcomes if outcomes[name] == "not_run"}
        done = {name for name in outcomes if outcomes[name] == "done"}
        assert not started_twice
        assert not refused & set(starts)
        assert done <= set(starts)
        assert counts["done"] > 0
        assert record.queries > 0
        assert record.mixed_versions == 0
        assert record.aborted == []


async def _misused_keys() -> list[tuple[int, dict]]:
    """Sends a malformed key, a valid key, and the same key with another body.

    Returns:
        Status and body of each response.
    """
    async with fleet_lib.Fleet() as fleet:
        specs = demo.replica_specs(fleet.ports)
        await fleet.start_platform()
        await fleet.start_upstreams(specs)
        await fleet.publish(demo.configuration_documents(specs))
        coordinator = await fleet.start_instance(
            "entry-0", demo.FAILURE_DOMAINS[0]
        )
        keys = await fleet.post(coordinator.url + "/v1/keys", {}, _HEADERS)
        (key,) = keys["keys"]
        answers = []
        for sent_key, body in (("garbled", 1), (key, 1), (key, 2)):
            async with fleet.session.post(
                f"{coordinator.url}/v1/submissions/{_SERVICE}",
                json={"shard": f"{_SERVICE}-s0", "body": body},
                headers={**_HEADERS, "Idempotency-Key": sent_key},
            ) as response:
                answers.append((response.status, await response.json()))
        return answers


class TestMisusedKeys:
    """A malformed key or a key of another submission is a caller's error."""

    def test_findings_name_the_header_and_nothing_runs(self):
        """Guards against a response 500 if the key belongs to another body."""
        malformed, done, reused = asyncio.run(_misused_keys())
        assert (done[0], done[1]["outcome"]) == (200, "done")
        for status, body in (malformed, reused):
            assert status == 422
            assert body["this_copy_ran"] is False
            assert body["findings"][0]["place"] == "header.Idempotency-Key"
