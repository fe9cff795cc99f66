"""Plug-in that runs queries over many shards."""

import asyncio
from collections.abc import Iterable
import itertools
from typing import Any

import result

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import model as config_model
from mallowloft.gather import model
from mallowloft.gather import pinning
from mallowloft.gather import run as run_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry

_log = logs.get("gather")

_RETRY_AFTER_MS = 100.0
# Merging and answering take time after the last reply: the answer leaves this
# share of the deadline early, at most 10 ms.
_MARGIN_SHARE = 0.05
_MARGIN_MAX_S = 0.010
# A flip that is seen by no reply yet costs one restart; more than three mean
# that versions change faster than the query runs.
_MAX_RESTARTS = 3

_NUMBER_BITS = 56


@registry.plugins.register("gather")
class GatherService:
    """Runs queries over many shards."""

    requires = ("peers", "configuration", "membership")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self.kernel = kernel
        self.versions = pinning.VersionReports()
        # A random start: a reply to an attempt of an earlier incarnation must
        # not match one of this incarnation.
        self._numbers = itertools.count(kernel.rng.getrandbits(_NUMBER_BITS))
        self._runs_by_attempt: dict[int, tuple[run_lib.Run, str]] = {}
        self._queries_running = 0

    async def start(self) -> None:
        """Registers message handlers."""
        self.kernel.plugin("peers").on(messages.SubReply, self._on_reply)

    async def stop(self, grace_s: float) -> None:
        """Waits for running queries."""
        end_s = self.now() + grace_s
        while self._queries_running and self.now() < end_s:
            await asyncio.sleep(0.01)

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of queries and attempts in flight."""
        return {
            "queries_running": self._queries_running,
            "attempts_in_flight": len(self._runs_by_attempt),
        }

    async def run(
        self, query: model.Query
    ) -> result.Result[model.Answer, model.Refusal]:
        """Answers a query from one index version."""
        self._queries_running += 1
        try:
            return await self._run(query)
        finally:
            self._queries_running -= 1

    async def _run(
        self, query: model.Query
    ) -> result.Result[model.Answer, model.Refusal]:
        started_s = self.now()
        deadline_s = query.deadline_ms / 1000
        margin_s = min(_MARGIN_MAX_S, deadline_s * _MARGIN_SHARE)
        end_s = started_s + deadline_s - margin_s
        name, index = _index_of(query)
        if index is None:
            return result.Err(
                model.Refusal(
                    "no_index",
                    f"index {name!r} is not published",
                    _RETRY_AFTER_MS,
                )
            )
        runs: list[run_lib.Run] = []
        services = query.snapshot.services_of(query.target)
        while not runs or runs[-1].version_lost:
            tried = {run.version for run in runs}
            version = self.versions.choose(
                name, index, services, self.now(), tried
            )
            if version is None:
                break
            run = run_lib.Run(
                self, query, index, version, end_s, frozenset(tried)
            )
            runs.append(run)
            await run.execute()
        # A restart may gain less than what the first run already had. Only
        # whole runs are compared, so that no answer mixes versions.
        best = max(runs, key=lambda run: (len(run.merge.results), run.version))
        if len(runs) > 1:
            self.kernel.metrics.count("query_restarts", len(runs) - 1)
            _log.info(
                "query_restarted",
                request=query.request,
                versions=[run.version for run in runs],
                answered=best.version,
            )
        return self._conclude(query, runs, best, started_s)

    def _conclude(
        self,
        query: model.Query,
        runs: list[run_lib.Run],
        best: run_lib.Run,
        started_s: float,
    ) -> result.Result[model.Answer, model.Refusal]:
        answer = model.Answer(
            request=query.request,
            index_version=best.version,
            results=best.merge.results,
            lacking=best.merge.lacking,
            attempts=model.Attempts(
                sent=sum(run.sent for run in runs),
                retries=sum(run.retries for run in runs),
            ),
            config_revision=query.snapshot.revision,
            elapsed_ms=(self.now() - started_s) * 1000,
        )
        if answer.coverage < query.min_coverage:
            return result.Err(
                model.Refusal(
                    "coverage_too_low",
                    f"coverage {answer.coverage:.3f} is below"
                    f" {query.min_coverage:.3f}",
                    _RETRY_AFTER_MS,
                    answer,
                )
            )
        return result.Ok(answer)

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self.kernel.clock.now()

    def choose(
        self, run: run_lib.Run, shard: model.Shard, candidates: list[str]
    ) -> str:
        """Returns the replica to ask for a shard."""
        del shard
        now_s = self.now()
        able = [
            replica
            for replica in candidates
            if not self.versions.lacks(replica, run.version, now_s)
        ]
        return self.kernel.rng.choice(able or candidates)

    def dispatcher_for(self, run: run_lib.Run, replica: str) -> str | None:
        """Returns the instance that dispatches for a replica."""
        del run
        return self.kernel.plugin("dispatch").receiver_for(replica)

    def post(
        self,
        run: run_lib.Run,
        service: str,
        replica: str,
        dispatcher: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> run_lib.Attempt | None:
        """Sends a sub-request under a new attempt number."""
        number = next(self._numbers)
        now_s = self.now()
        sent = self.kernel.plugin("peers").send(
            dispatcher,
            messages.SubRequest(
                attempt=number,
                request=run.query.request,
                service=service,
                replica=replica,
                shards=tuple(shard.shard for shard in shards),
                index_version=run.version,
                rank=run.query.rank,
                remaining_ms=(run.end_s - now_s) * 1000,
                hedge=hedge,
                query=run.query.body,
            ),
        )
        if not sent:
            return None
        self._runs_by_attempt[number] = (run, replica)
        return run_lib.Attempt(
            number, service, replica, dispatcher, shards, now_s
        )

    def may_restart(self, run: run_lib.Run) -> bool:
        """Whether another version may serve every shard in time.

        A restart needs about as long as the run took to find out that its
        version cannot be served.
        """
        now_s = self.now()
        if len(run.tried_versions) > _MAX_RESTARTS:
            return False
        if run.end_s - now_s < now_s - run.started_s:
            return False
        _, index = _index_of(run.query)
        services = run.query.snapshot.services_of(run.query.target)
        return index is not None and self.versions.serves_all(
            index, services, now_s, run.tried_versions
        )

    def cancel(self, attempts: Iterable[run_lib.Attempt]) -> None:
        """Forgets attempts and cancels them at their dispatchers."""
        numbers_by_dispatcher: dict[str, list[int]] = {}
        for attempt in attempts:
            if self._runs_by_attempt.pop(attempt.number, None) is not None:
                numbers = numbers_by_dispatcher.setdefault(
                    attempt.dispatcher, []
                )
                numbers.append(attempt.number)
        peers = self.kernel.plugin("peers")
        for dispatcher, numbers in numbers_by_dispatcher.items():
            peers.send(dispatcher, messages.Cancel(tuple(numbers)))

    def _on_reply(
        self, sender: peers_lib.Sender, reply: messages.SubReply
    ) -> None:
        del sender
        self._learn_versions(reply)
        run, replica = self._runs_by_attempt.get(reply.attempt, (None, ""))
        if run is None or replica != reply.replica:
            self.kernel.metrics.count("sub_replies_unmatched")
            return
        del self._runs_by_attempt[reply.attempt]
        if reply.outcome is messages.Outcome.WRONG_VERSION:
            self.versions.observe(reply.replica, run.version, False, self.now())
        run.on_reply(reply.attempt, reply)

    def _learn_versions(self, reply: messages.SubReply) -> None:
        if reply.versions:
            self.versions.report(reply.replica, reply.versions, self.now())
        if reply.outcome is messages.Outcome.OK:
            self.versions.observe(
                reply.replica, reply.index_version, True, self.now()
            )


def _index_of(
    query: model.Query,
) -> tuple[str, config_model.Index | None]:
    services = query.snapshot.services_of(query.target)
    name = query.snapshot.services_by_name[services[0]].index
    return name, query.snapshot.indexes_by_name.get(name)
