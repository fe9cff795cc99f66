"""Plug-in that runs queries over many shards."""

import asyncio
import itertools
from typing import Any

import result

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.configuration import model as config_model
from mallowloft.gather import model
from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry

_RETRY_AFTER_MS = 100.0


class _Run:
    """One query over one pinned index version."""

    def __init__(
        self,
        service: "GatherService",
        query: model.Query,
        version: config_model.IndexVersion,
    ) -> None:
        self._service = service
        self._query = query
        self._version = version
        self._untried_by_shard: dict[model.Shard, list[str]] = {}
        self._shards_by_attempt: dict[int, tuple[model.Shard, ...]] = {}
        self._finished = asyncio.Event()
        self.results: dict[model.Shard, bytes] = {}
        self.lacking: dict[model.Shard, str] = {}
        self.sent = 0
        self.retries = 0
        for name in query.snapshot.services_of(query.target):
            for shard, replicas in version.shards.get(name, {}).items():
                self._untried_by_shard[model.Shard(name, shard)] = list(
                    replicas
                )

    async def run(self, end_s: float) -> None:
        """Queries every shard until all are settled or time is up."""
        self._end_s = end_s
        self._send(list(self._untried_by_shard))
        remaining_s = end_s - self._service.kernel.clock.now()
        try:
            await asyncio.wait_for(self._finished.wait(), remaining_s)
        except TimeoutError:
            for shard in self._untried_by_shard:
                if shard not in self.results:
                    self.lacking.setdefault(shard, "deadline")
        finally:
            for attempt in self._shards_by_attempt:
                self._service.forget(attempt)

    def _send(self, shards: list[model.Shard]) -> None:
        kernel = self._service.kernel
        by_replica: dict[tuple[str, str], list[model.Shard]] = {}
        for shard in shards:
            untried = self._untried_by_shard[shard]
            if not untried:
                self.lacking.setdefault(shard, "no replica left")
                continue
            replica = untried.pop(kernel.rng.randrange(len(untried)))
            by_replica.setdefault((shard.service, replica), []).append(shard)
        remaining_ms = (self._end_s - kernel.clock.now()) * 1000
        for (service, replica), wanted in by_replica.items():
            attempt = self._service.next_attempt(self)
            self._shards_by_attempt[attempt] = tuple(wanted)
            self.sent += 1
            message = messages.SubRequest(
                attempt=attempt,
                request=self._query.request,
                service=service,
                replica=replica,
                shards=tuple(shard.shard for shard in wanted),
                index_version=self._version.version,
                rank=self._query.rank,
                remaining_ms=remaining_ms,
                hedge=False,
                query=self._query.body,
            )
            if not self._service.send(self._query.snapshot, message):
                self._retry(attempt, "no dispatcher")
        self._settle()

    def on_reply(self, reply: messages.SubReply) -> None:
        """Takes the results of one attempt."""
        shards = self._shards_by_attempt.get(reply.attempt)
        if shards is None:
            return
        if (
            reply.outcome is messages.Outcome.OK
            and reply.index_version == self._version.version
        ):
            del self._shards_by_attempt[reply.attempt]
            for shard in shards:
                if shard.shard in reply.results:
                    self.results[shard] = reply.results[shard.shard]
                else:
                    self.lacking[shard] = "not in the replica's answer"
            self._settle()
        else:
            self._retry(reply.attempt, reply.outcome.value)

    def _retry(self, attempt: int, reason: str) -> None:
        shards = self._shards_by_attempt.pop(attempt)
        again = []
        for shard in shards:
            if self._untried_by_shard[shard]:
                again.append(shard)
            else:
                self.lacking[shard] = reason
        if again:
            self.retries += 1
            self._send(again)
        self._settle()

    def _settle(self) -> None:
        if len(self.results) + len(self.lacking) == len(self._untried_by_shard):
            self._finished.set()


@registry.plugins.register("gather")
class GatherService:
    """Runs queries over many shards."""

    requires = ("peers", "configuration", "membership")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self.kernel = kernel
        self._attempts = itertools.count(1)
        self._runs_by_attempt: dict[int, _Run] = {}

    async def start(self) -> None:
        """Registers message handlers."""
        self.kernel.plugin("peers").on(messages.SubReply, self._on_reply)

    async def stop(self, grace_s: float) -> None:
        """Waits for running queries."""
        end_s = self.kernel.clock.now() + grace_s
        while self._runs_by_attempt and self.kernel.clock.now() < end_s:
            await asyncio.sleep(0.01)

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of attempts in flight."""
        return {"attempts_in_flight": len(self._runs_by_attempt)}

    async def run(
        self, query: model.Query
    ) -> result.Result[model.Answer, model.Refusal]:
        """Answers a query from one index version."""
        started_s = self.kernel.clock.now()
        services = query.snapshot.services_of(query.target)
        index_name = query.snapshot.services_by_name[services[0]].index
        index = query.snapshot.indexes_by_name.get(index_name)
        if index is None:
            return result.Err(
                model.Refusal(
                    "no_index",
                    f"index {index_name!r} is not published",
                    _RETRY_AFTER_MS,
                )
            )
        version = max(index.versions, key=lambda item: item.version)
        run = _Run(self, query, version)
        await run.run(started_s + query.deadline_ms / 1000)
        answer = model.Answer(
            request=query.request,
            index_version=version.version,
            results=run.results,
            lacking=run.lacking,
            attempts=model.Attempts(run.sent, 0, run.retries),
            config_revision=query.snapshot.revision,
            elapsed_ms=(self.kernel.clock.now() - started_s) * 1000,
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

    def next_attempt(self, run: _Run) -> int:
        """Returns a new attempt number whose reply goes to the run."""
        attempt = next(self._attempts)
        self._runs_by_attempt[attempt] = run
        return attempt

    def forget(self, attempt: int) -> None:
        """Drops an attempt; a later reply is ignored."""
        self._runs_by_attempt.pop(attempt, None)

    def send(
        self, snapshot: config_model.Snapshot, message: messages.SubRequest
    ) -> bool:
        """Sends a sub-request to the replica's dispatcher."""
        replica = snapshot.replicas_by_id.get(message.replica)
        if replica is None:
            return False
        dispatcher = self.kernel.plugin("dispatch").receiver_for(replica.id)
        if dispatcher is None:
            return False
        return self.kernel.plugin("peers").send(dispatcher, message)

    def _on_reply(
        self, sender: peers_lib.Sender, reply: messages.SubReply
    ) -> None:
        del sender
        run = self._runs_by_attempt.pop(reply.attempt, None)
        if run is not None:
            run.on_reply(reply)
