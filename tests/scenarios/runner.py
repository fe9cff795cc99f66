"""Runs a scenario on virtual time and records what happens."""

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

_SETTLE_S = 5.0
_GRACE_S = 5.0
_CLIENT_MARGIN_S = 0.2
_SENDS_PER_SUBMISSION = 6
_REPEAT_DELAY_S = 0.3
_VERSION_SPREAD_S = 0.1

ActionFunction = Callable[["Run", language.Action], Awaitable[None]]

actions: registry.Registry[ActionFunction] = registry.Registry("action")


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: language.Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.world = world_lib.World(seed=scenario.seed)
        self.record = record_lib.Record()
        self.version = 0
        self.alive = list(scenario.domains_by_instance)
        self._tasks: set[asyncio.Task] = set()
        self._failures: list[BaseException] = []
        self._recorded: set[tuple[str, int, str, int]] = set()

    async def execute(self) -> record_lib.Record:
        """Runs every action, lets the fleet settle and returns the record."""
        self._set_up()
        for instance, domain in self.scenario.domains_by_instance.items():
            await self.start_instance(instance, domain)
        await self._wait_ready()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for action in self.scenario.actions:
            await asyncio.sleep(began_s + action.at_s - loop.time())
            self.spawn(actions.by_name[action.name](self, action))
        while self._tasks:
            await asyncio.wait(self._tasks)
        if self._failures:
            raise self._failures[0]
        await asyncio.sleep(_SETTLE_S)
        for replica in self.world.replicas_by_id.values():
            self.record.journal.extend(replica.journal)
        self.record.ended_s = loop.time()
        return self.record

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Runs a coroutine beside the scenario; a failure ends the run."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    async def start_instance(self, instance: str, domain: str) -> None:
        """Starts an instance and records its configuration."""
        await self.world.start_instance(instance, domain)
        self.record.dead_instances.discard(instance)
        self.record.instances.add(instance)
        kernel = self.world.kernels_by_id[instance]
        store = kernel.plugin("configuration").store
        store.subscribe(lambda _: self._note_in_force(instance))
        self._note_in_force(instance)

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
        """Publishes the index with the shard maps of versions."""
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
        """Records which replicas hold which shard in a version."""
        self.record.shard_maps[version] = {
            gather_model.Shard(service, shard): tuple(replicas)
            for service, by_shard in self._shards(version).items()
            for shard, replicas in by_shard.items()
        }

    def _set_up(self) -> None:
        domains = sorted(set(self.scenario.domains_by_instance.values()))
        names = []
        offset = 0
        for services in self.scenario.services:
            for name in services.names:
                replicas = {
                    f"{name}-{'abcdef'[copy]}": domains[
                        (offset + copy) % len(domains)
                    ]
                    for copy in range(services.replicas)
                }
                self.world.publish_service(name, replicas)
                names.append(name)
                offset += 1
        self.publish({"/operator/groups/all": {"services": names}})
        for team, priority in self.scenario.classes_by_team.items():
            self.world.publish_team(team, priority)
        self.version = 1
        self.add_shard_map(1)
        self.publish_versions([1])

    def _shards(self, version: int) -> dict[str, dict[str, list[str]]]:
        """Returns the shard map of a version; each one splits differently."""
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

    def _note_in_force(self, instance: str) -> None:
        kernel = self.world.kernels_by_id[instance]
        store = kernel.plugin("configuration").store
        now_s = asyncio.get_running_loop().time()
        for subtree, revision in store.revision_by_subtree.items():
            key = (instance, kernel.incarnation, subtree, revision)
            if key not in self._recorded:
                self._recorded.add(key)
                self.record.in_force.append(
                    record_lib.InForce(
                        now_s, instance, kernel.incarnation, subtree, revision
                    )
                )

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.append(task.exception())


async def _query(run: Run, team: str, target: str, deadline_s: float) -> None:
    now_s = asyncio.get_running_loop().time()
    query = record_lib.QueryRecord(
        marker=f"m{run.rng.getrandbits(48):012x}",
        instance=run.rng.choice(run.alive),
        team=team,
        sent_s=now_s,
        deadline_s=now_s + deadline_s,
    )
    run.record.queries.append(query)
    try:
        async with asyncio.timeout(deadline_s + _CLIENT_MARGIN_S):
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


async def _issue(run: Run, team: str) -> str | None:
    """Takes a key at some instance, None if none answers."""
    instance = run.rng.choice(run.alive)
    service = run.world.kernels_by_id[instance].plugin("submissions")

    async def issue() -> str:
        return service.issue(team, 1)[0]

    try:
        async with asyncio.timeout(_CLIENT_MARGIN_S):
            return await run.world.run_at(instance, issue())
    except TimeoutError:
        return None


async def _send(
    run: Run,
    submission: record_lib.SubmissionRecord,
    key: str,
    team: str,
    service: str,
    deadline_s: float,
    first_send: bool,
) -> submissions_model.Outcome | None:
    instance = run.rng.choice(run.alive)
    submission.instances.append(instance)
    plugin = run.world.kernels_by_id[instance].plugin("submissions")
    shards = run.record.shard_maps[run.version]
    shard = next(item.shard for item in shards if item.service == service)
    message = submissions_model.Submission(
        request=submission.marker,
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
        async with asyncio.timeout(deadline_s + _CLIENT_MARGIN_S):
            outcome = await run.world.run_at(instance, plugin.submit(message))
    except TimeoutError:
        pass
    submission.outcomes.append(outcome)
    return outcome


async def _submit(run: Run, team: str, service: str, deadline_s: float) -> None:
    """Behaves as a careful caller.

    It repeats a key while the outcome is unknown, and takes a new key only
    after a refusal that says that the old one was not run.
    """
    submission = record_lib.SubmissionRecord(f"m{run.rng.getrandbits(48):012x}")
    key = None
    first_send = True
    for _ in range(_SENDS_PER_SUBMISSION):
        if key is None:
            key = await _issue(run, team)
            first_send = True
        if key is None:
            continue
        if submission not in run.record.submissions:
            run.record.submissions.append(submission)
        outcome = await _send(
            run, submission, key, team, service, deadline_s, first_send
        )
        first_send = False
        if isinstance(outcome, submissions_model.Done):
            return
        if isinstance(outcome, submissions_model.NotRun):
            key = None
        await asyncio.sleep(_REPEAT_DELAY_S)


async def _arrivals(run: Run, action: language.Action, start) -> None:
    end_s = asyncio.get_running_loop().time() + action.options["for"]
    while asyncio.get_running_loop().time() < end_s:
        run.spawn(start())
        await asyncio.sleep(run.rng.expovariate(action.options["rate"]))


@actions.register("queries")
async def _queries(run: Run, action: language.Action) -> None:
    team, target = action.names
    deadline_s = action.options.get("deadline", 1.0)
    await _arrivals(run, action, lambda: _query(run, team, target, deadline_s))


@actions.register("submissions")
async def _submissions(run: Run, action: language.Action) -> None:
    team, service = action.names
    deadline_s = action.options.get("deadline", 1.0)
    await _arrivals(
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
    run.world.network.cuts.add(cut)
    await asyncio.sleep(action.options["for"])
    run.world.network.cuts.discard(cut)


@actions.register("isolate")
async def _isolate(run: Run, action: language.Action) -> None:
    """Cuts a failure domain off from the others and from the platform."""
    (domain,) = action.names
    domains = run.scenario.domains_by_instance
    inside = {name for name in domains if domains[name] == domain}
    cuts = {
        frozenset((domain, other)) for other in set(domains.values()) - {domain}
    }
    run.record.faulty_instances |= inside
    run.world.network.cuts |= cuts
    run.world.platform_cut |= inside
    await asyncio.sleep(action.options["for"])
    run.world.network.cuts -= cuts
    run.world.platform_cut -= inside


@actions.register("platform-down")
async def _platform_down(run: Run, action: language.Action) -> None:
    run.world.platform_down = True
    await asyncio.sleep(action.options["for"])
    run.world.platform_down = False


@actions.register("platform-stale")
async def _platform_stale(run: Run, action: language.Action) -> None:
    """Shows an old state; the first number is how many revisions back."""
    back = int(action.numbers[0])
    run.world.stale_revision = run.world.revision - back
    await asyncio.sleep(action.options["for"])
    run.world.stale_revision = None


@actions.register("stop")
async def _stop(run: Run, action: language.Action) -> None:
    """Stops an instance gracefully, as a rolling restart does."""
    (instance,) = action.names
    run.alive.remove(instance)
    kernel = run.world.kernels_by_id[instance]
    run.record.stopped_s[instance] = asyncio.get_running_loop().time()
    await run.world.run_at(instance, kernel.stop(_GRACE_S))


@actions.register("restart")
async def _restart(run: Run, action: language.Action) -> None:
    """Stops an instance gracefully and starts its successor."""
    await _stop(run, action)
    (instance,) = action.names
    domain = run.scenario.domains_by_instance[instance]
    await run.start_instance(instance, domain)
    kernel = run.world.kernels_by_id[instance]
    while not kernel.ready():
        await asyncio.sleep(0.01)
    run.alive.append(instance)


@actions.register("drain")
async def _drain(run: Run, action: language.Action) -> None:
    for replica in action.names:
        run.world.replicas_by_id[replica].draining = True
        run.record.drained_s[replica] = asyncio.get_running_loop().time()


@actions.register("slow")
async def _slow(run: Run, action: language.Action) -> None:
    (replica,) = action.names
    run.world.replicas_by_id[replica].slow_factor = action.numbers[0]
    if "for" in action.options:
        await asyncio.sleep(action.options["for"])
        run.world.replicas_by_id[replica].slow_factor = 1.0


def _set_for(attribute: str) -> ActionFunction:
    """Returns an action that sets a flag of replicas for a time."""

    async def apply(run: Run, action: language.Action) -> None:
        for name in action.names:
            setattr(run.world.replicas_by_id[name], attribute, True)
        if "for" in action.options:
            await asyncio.sleep(action.options["for"])
            for name in action.names:
                setattr(run.world.replicas_by_id[name], attribute, False)

    return apply


actions.register("stall")(_set_for("frozen"))
actions.register("fail-fast")(_set_for("failing"))
actions.register("lose")(_set_for("unreachable"))


@actions.register("duplicate")
async def _duplicate(run: Run, action: language.Action) -> None:
    run.world.network.duplicate_share = action.numbers[0]


@actions.register("jitter")
async def _jitter(run: Run, action: language.Action) -> None:
    run.world.network.jitter_s = action.numbers[0]


@actions.register("flips")
async def _flips(run: Run, action: language.Action) -> None:
    """Publishes new versions with other shard maps, without pause.

    Replicas load a version at different times and drop old ones late.
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
    await asyncio.sleep(run.rng.random() * _VERSION_SPREAD_S)
    replica.versions = (*replica.versions, version)
    await asyncio.sleep(2 * _VERSION_SPREAD_S)
    replica.versions = tuple(
        item for item in replica.versions if item >= version
    )


@actions.register("publish-team")
async def _publish_team(run: Run, action: language.Action) -> None:
    """Changes a team's own subtree; the number is its new deadline."""
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
