"""Runs a scenario on virtual time and records it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import random

from mallowloft.configuration import acceptance
from mallowloft.gather import model as gather_model
from mallowloft.kernel import registry
from mallowloft.submissions import model as submissions_model
from tests.scenarios import language
from tests.scenarios import record as record_lib
from tests.support import virtual
from tests.support import world as world_lib

_RECOVERY_S = 5.0
_STOP_GRACE_S = 5.0
_CALLER_TIMEOUT_MARGIN_S = 0.2
_MAX_ATTEMPTS = 6
_RETRY_DELAY_S = 0.3
_MAX_LOAD_DELAY_S = 0.1

ActionFunction = Callable[["Run", language.Action], Awaitable[None]]

actions: registry.Registry[ActionFunction] = registry.Registry("action")


class Run:
    """A run of a scenario.

    Attributes:
        version: Newest index version.
        in_rotation: Instances that callers may choose. Only gracefully stopped
            instances are removed.
    """

    def __init__(self, scenario: language.Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.world = world_lib.World(seed=scenario.seed)
        self.record = record_lib.Record()
        self.version = 0
        self.in_rotation = list(scenario.domains_by_instance)
        self._tasks: set[asyncio.Task] = set()
        self._failures: list[BaseException] = []
        self._recorded_keys: set[tuple[str, int, str, int]] = set()

    async def execute(self) -> record_lib.Record:
        """Runs all actions, waits for recovery and returns the record."""
        self._set_up()
        for instance, domain in self.scenario.domains_by_instance.items():
            await self.start_instance(instance, domain)
        await self._wait_ready()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for action in self.scenario.actions:
            await asyncio.sleep(started_s + action.at_s - loop.time())
            self.spawn(actions.by_name[action.name](self, action))
        while self._tasks:
            await asyncio.wait(self._tasks)
        if self._failures:
            raise self._failures[0]
        await asyncio.sleep(_RECOVERY_S)
        for replica in self.world.replicas_by_id.values():
            self.record.journal.extend(replica.journal)
        self.record.ended_s = loop.time()
        return self.record

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Starts a task. The run waits for it and fails if the task fails."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def start_instance(self, instance: str, domain: str) -> None:
        """Starts an instance and records the revisions that it applies."""
        await self.world.start_instance(instance, domain)
        self.record.dead_instances.discard(instance)
        self.record.instances.add(instance)
        kernel = self.world.kernels_by_id[instance]
        store = kernel.plugin("configuration").store
        store.subscribe(lambda _: self._record_applied_revisions(instance))
        self._record_applied_revisions(instance)

    def publish(self, values_by_path: dict, valid: bool = True) -> None:
        """Publishes documents and records the change."""
        revision = self.world.publish(values_by_path)
        now_s = asyncio.get_running_loop().time()
        for path in values_by_path:
            self.record.publications.append(
                record_lib.Publication(
                    now_s, acceptance.subtree_of(path), revision, valid
                )
            )

    def publish_versions(self, versions: list[int]) -> None:
        """Publishes the index with the shard maps of the given versions."""
        self.publish(
            {
                "/operator/indexes/main": {
                    "versions": [
                        {"version": version, "shards": self._shards(version)}
                        for version in versions
                    ]
                }
            }
        )

    def add_shard_map(self, version: int) -> None:
        """Records the shard map of a version."""
        self.record.shard_maps[version] = {
            gather_model.Shard(service, shard): tuple(replicas)
            for service, by_shard in self._shards(version).items()
            for shard, replicas in by_shard.items()
        }

    def _set_up(self) -> None:
        domains = sorted(set(self.scenario.domains_by_instance.values()))
        names = []
        domain_offset = 0
        for services in self.scenario.services:
            for name in services.names:
                replicas = {
                    f"{name}-{'abcdef'[copy]}": domains[
                        (domain_offset + copy) % len(domains)
                    ]
                    for copy in range(services.replicas)
                }
                self.world.publish_service(name, replicas)
                names.append(name)
                domain_offset += 1
        self.publish({"/operator/groups/all": {"services": names}})
        for team, priority in self.scenario.priorities_by_team.items():
            self.world.publish_team(team, priority)
        self.version = 1
        self.add_shard_map(1)
        self.publish_versions([1])

    def _shards(self, version: int) -> dict[str, dict[str, list[str]]]:
        """Returns the shard map of a version.

        Successive versions have different numbers of shards.
        """
        shards = {}
        for services in self.scenario.services:
            count = services.shards + version % 2
            for name in services.names:
                replicas = [
                    replica
                    for replica in self.world.replicas_by_id
                    if replica.rpartition("-")[0] == name
                ]
                shards[name] = {
                    f"{name}-{number}of{count}": replicas
                    for number in range(count)
                }
        return shards

    async def _wait_ready(self) -> None:
        kernels = self.world.kernels_by_id.values()
        async with asyncio.timeout(30):
            while not all(kernel.ready() for kernel in kernels):
                await asyncio.sleep(0.01)

    def _record_applied_revisions(self, instance: str) -> None:
        kernel = self.world.kernels_by_id[instance]
        store = kernel.plugin("configuration").store
        now_s = asyncio.get_running_loop().time()
        for subtree, revision in store.revision_by_subtree.items():
            key = (instance, kernel.incarnation, subtree, revision)
            if key not in self._recorded_keys:
                self._recorded_keys.add(key)
                self.record.applied_revisions.append(
                    record_lib.AppliedRevision(
                        now_s, instance, kernel.incarnation, subtree, revision
                    )
                )

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.append(task.exception())


async def _query(run: Run, team: str, target: str, deadline_s: float) -> None:
    now_s = asyncio.get_running_loop().time()
    query = record_lib.QueryRecord(
        marker=f"m{run.rng.getrandbits(48):012x}",
        instance=run.rng.choice(run.in_rotation),
        team=team,
        sent_s=now_s,
        deadline_s=now_s + deadline_s,
    )
    run.record.queries.append(query)
    try:
        async with asyncio.timeout(deadline_s + _CALLER_TIMEOUT_MARGIN_S):
            outcome = await run.world.query(
                query.instance,
                team,
                target,
                deadline_ms=deadline_s * 1000,
                body=json.dumps({"marker": query.marker}).encode(),
            )
    except TimeoutError:
        return
    query.answered_s = asyncio.get_running_loop().time()
    if outcome.is_ok():
        query.answer = outcome.unwrap()
    else:
        query.refusal = outcome.unwrap_err()
        query.answer = query.refusal.answer


async def _issue_key(run: Run, team: str) -> str | None:
    """Returns a key from a random instance, None if it does not answer."""
    instance = run.rng.choice(run.in_rotation)
    service = run.world.kernels_by_id[instance].plugin("submissions")

    async def issue() -> str:
        return service.issue(team, 1)[0]

    try:
        async with asyncio.timeout(_CALLER_TIMEOUT_MARGIN_S):
            return await run.world.run_at(instance, issue())
    except TimeoutError:
        return None


async def _send_submission(
    run: Run,
    submission: record_lib.SubmissionRecord,
    key: str,
    team: str,
    service: str,
    deadline_s: float,
    first_send: bool,
) -> submissions_model.Outcome | None:
    instance = run.rng.choice(run.in_rotation)
    submission.instances.append(instance)
    plugin = run.world.kernels_by_id[instance].plugin("submissions")
    shards = run.record.shard_maps[run.version]
    shard = next(item.name for item in shards if item.service == service)
    message = submissions_model.Submission(
        request_id=submission.marker,
        team=team,
        key=key,
        service=service,
        shard=shard,
        body=json.dumps({"marker": submission.marker}).encode(),
        rank=0,
        deadline_ms=deadline_s * 1000,
        first_send=first_send,
    )
    outcome = None
    try:
        async with asyncio.timeout(deadline_s + _CALLER_TIMEOUT_MARGIN_S):
            outcome = await run.world.run_at(instance, plugin.submit(message))
    except TimeoutError:
        pass
    submission.outcomes.append(outcome)
    return outcome


async def _submit(run: Run, team: str, service: str, deadline_s: float) -> None:
    """Sends a submission and retries it, as callers are supposed to.

    Retries use the same key while the outcome is unknown. A new key is used
    only after a reply that the submission was not run with the old key.
    """
    submission = record_lib.SubmissionRecord(f"m{run.rng.getrandbits(48):012x}")
    key = None
    first_send = True
    for _ in range(_MAX_ATTEMPTS):
        if key is None:
            key = await _issue_key(run, team)
            first_send = True
        if key is None:
            continue
        if submission not in run.record.submissions:
            run.record.submissions.append(submission)
        outcome = await _send_submission(
            run, submission, key, team, service, deadline_s, first_send
        )
        first_send = False
        if isinstance(outcome, submissions_model.Done):
            return
        if isinstance(outcome, submissions_model.NotRun):
            key = None
        await asyncio.sleep(_RETRY_DELAY_S)


async def _generate_arrivals(run: Run, action: language.Action, start) -> None:
    end_s = asyncio.get_running_loop().time() + action.options["for"]
    while asyncio.get_running_loop().time() < end_s:
        run.spawn(start())
        await asyncio.sleep(run.rng.expovariate(action.options["rate"]))


@actions.register("queries")
async def _queries(run: Run, action: language.Action) -> None:
    team, target = action.names
    deadline_s = action.options.get("deadline", 1.0)
    await _generate_arrivals(
        run, action, lambda: _query(run, team, target, deadline_s)
    )


@actions.register("submissions")
async def _submissions(run: Run, action: language.Action) -> None:
    team, service = action.names
    deadline_s = action.options.get("deadline", 1.0)
    await _generate_arrivals(
        run, action, lambda: _submit(run, team, service, deadline_s)
    )


@actions.register("kill")
async def _kill(run: Run, action: language.Action) -> None:
    for instance in action.names:
        run.world.kill(instance)
        run.record.dead_instances.add(instance)
        run.record.faulty_instances.add(instance)
    if "for" in action.options:
        await asyncio.sleep(action.options["for"])
        for instance in action.names:
            domain = run.scenario.domains_by_instance[instance]
            await run.start_instance(instance, domain)


@actions.register("freeze")
async def _freeze(run: Run, action: language.Action) -> None:
    for instance in action.names:
        run.world.freeze(instance)
        run.record.faulty_instances.add(instance)
    await asyncio.sleep(action.options["for"])
    for instance in action.names:
        run.world.thaw(instance)


@actions.register("cut")
async def _cut(run: Run, action: language.Action) -> None:
    cut = frozenset(action.names)
    run.world.network.partitions.add(cut)
    await asyncio.sleep(action.options["for"])
    run.world.network.partitions.discard(cut)


@actions.register("isolate")
async def _isolate(run: Run, action: language.Action) -> None:
    """Partitions a failure domain from the others and the platform."""
    (domain,) = action.names
    domains = run.scenario.domains_by_instance
    isolated = {name for name in domains if domains[name] == domain}
    partitions = {
        frozenset((domain, other)) for other in set(domains.values()) - {domain}
    }
    run.record.faulty_instances |= isolated
    run.world.network.partitions |= partitions
    run.world.platform_cut |= isolated
    await asyncio.sleep(action.options["for"])
    run.world.network.partitions -= partitions
    run.world.platform_cut -= isolated


@actions.register("platform-down")
async def _platform_down(run: Run, action: language.Action) -> None:
    run.world.platform_down = True
    await asyncio.sleep(action.options["for"])
    run.world.platform_down = False


@actions.register("platform-stale")
async def _platform_stale(run: Run, action: language.Action) -> None:
    """Makes the platform return an older state.

    The number argument is how many revisions the state lags behind.
    """
    revisions_back = int(action.numbers[0])
    run.world.stale_revision = run.world.revision - revisions_back
    await asyncio.sleep(action.options["for"])
    run.world.stale_revision = None


@actions.register("stop")
async def _stop(run: Run, action: language.Action) -> None:
    """Stops an instance gracefully, as a rolling restart does."""
    (instance,) = action.names
    run.in_rotation.remove(instance)
    kernel = run.world.kernels_by_id[instance]
    run.record.stop_started_s[instance] = asyncio.get_running_loop().time()
    await run.world.run_at(instance, kernel.stop(_STOP_GRACE_S))


@actions.register("restart")
async def _restart(run: Run, action: language.Action) -> None:
    """Stops an instance gracefully and starts a new process for it."""
    await _stop(run, action)
    (instance,) = action.names
    domain = run.scenario.domains_by_instance[instance]
    await run.start_instance(instance, domain)
    kernel = run.world.kernels_by_id[instance]
    while not kernel.ready():
        await asyncio.sleep(0.01)
    run.in_rotation.append(instance)


@actions.register("drain")
async def _drain(run: Run, action: language.Action) -> None:
    for replica in action.names:
        run.world.replicas_by_id[replica].draining = True
        run.record.drain_started_s[replica] = asyncio.get_running_loop().time()


@actions.register("slow")
async def _slow(run: Run, action: language.Action) -> None:
    (replica,) = action.names
    run.world.replicas_by_id[replica].slow_factor = action.numbers[0]
    if "for" in action.options:
        await asyncio.sleep(action.options["for"])
        run.world.replicas_by_id[replica].slow_factor = 1.0


def _set_flag(attribute: str) -> ActionFunction:
    """Returns an action that sets a flag of replicas.

    The option `for` limits the time for which the flag is set.
    """

    async def apply(run: Run, action: language.Action) -> None:
        for name in action.names:
            setattr(run.world.replicas_by_id[name], attribute, True)
        if "for" in action.options:
            await asyncio.sleep(action.options["for"])
            for name in action.names:
                setattr(run.world.replicas_by_id[name], attribute, False)

    return apply


actions.register("stall")(_set_flag("frozen"))
actions.register("fail-fast")(_set_flag("failing"))
actions.register("lose")(_set_flag("unreachable"))


@actions.register("duplicate")
async def _duplicate(run: Run, action: language.Action) -> None:
    run.world.network.duplicate_share = action.numbers[0]


@actions.register("jitter")
async def _jitter(run: Run, action: language.Action) -> None:
    run.world.network.jitter_s = action.numbers[0]


@actions.register("flips")
async def _flips(run: Run, action: language.Action) -> None:
    """Publishes new index versions with other shard maps at a fixed rate.

    Replicas load a version at different times and unload older ones later.
    """
    end_s = asyncio.get_running_loop().time() + action.options["for"]
    while asyncio.get_running_loop().time() < end_s:
        run.version += 1
        version = run.version
        run.add_shard_map(version)
        run.publish_versions([version - 1, version])
        for replica in run.world.replicas_by_id.values():
            run.spawn(_load_version(run, replica, version))
        await asyncio.sleep(1 / action.options["rate"])


async def _load_version(run: Run, replica, version: int) -> None:
    await asyncio.sleep(run.rng.random() * _MAX_LOAD_DELAY_S)
    replica.versions = (*replica.versions, version)
    await asyncio.sleep(2 * _MAX_LOAD_DELAY_S)
    replica.versions = tuple(
        item for item in replica.versions if item >= version
    )


@actions.register("publish-team")
async def _publish_team(run: Run, action: language.Action) -> None:
    """Changes the default deadline in the subtree of a team.

    The number argument is the new deadline in milliseconds.
    """
    (team,) = action.names
    run.publish(
        {f"/teams/{team}/query": {"default_deadline_ms": action.numbers[0]}}
    )


@actions.register("publish-faulty-team")
async def _publish_faulty_team(run: Run, action: language.Action) -> None:
    (team,) = action.names
    run.publish(
        {f"/teams/{team}/query": {"default_deadline_ms": -1, "nonsense": 1}},
        valid=False,
    )


def run(scenario: language.Scenario) -> record_lib.Record:
    """Runs a scenario on a new virtual loop."""
    return virtual.run(Run(scenario).execute())
