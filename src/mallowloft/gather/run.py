"""One query over one pinned index version."""

import asyncio
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from mallowloft import messages
from mallowloft.configuration import model as config_model
from mallowloft.gather import merge as merge_lib
from mallowloft.gather import model
from mallowloft.gather import pinning


@dataclasses.dataclass(slots=True)
class Attempt:
    """A sub-request in flight.

    Attributes:
        shards: Shards asked for.
        sent_s: When it was sent.
    """

    number: int
    service: str
    replica: str
    dispatcher: str
    shards: tuple[model.Shard, ...]
    sent_s: float


class Entry(Protocol):
    """What a run uses of the instance that accepted the query."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def choose(
        self, run: "Run", shard: model.Shard, candidates: list[str]
    ) -> str:
        """Returns the replica to ask for a shard."""

    def dispatcher_for(self, run: "Run", replica: str) -> str | None:
        """Returns the instance that dispatches for a replica."""

    def post(
        self,
        run: "Run",
        service: str,
        replica: str,
        dispatcher: str,
        shards: tuple[model.Shard, ...],
        hedge: bool,
    ) -> Attempt | None:
        """Sends a sub-request under a new attempt number."""

    def may_restart(self, run: "Run") -> bool:
        """Whether another version may serve every shard in time."""

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Forgets attempts and cancels them at their dispatchers."""


class Run:
    """Gathers the shards of one query from one index version.

    Attributes:
        merge: What has been gathered.
        tried_versions: Versions that runs of the query have been pinned to,
            with this one.
        version_lost: Whether a shard cannot be served in this version.
        sent: Sub-requests sent.
        retries: Those sent because an earlier one had failed.
    """

    def __init__(
        self,
        entry: Entry,
        query: model.Query,
        index: config_model.Index,
        version: config_model.IndexVersion,
        end_s: float,
        tried_versions: frozenset[int] = frozenset(),
    ) -> None:
        self.query = query
        self.version = version.version
        self.tried_versions = tried_versions | {version.version}
        self.started_s = entry.now()
        self.end_s = end_s
        self.version_lost = False
        self.sent = 0
        self.retries = 0
        self._entry = entry
        self._finished = asyncio.Event()
        self._attempts_by_number: dict[int, Attempt] = {}
        services = query.snapshot.services_of(query.target)
        mapped, unmapped = pinning.shards_of(index, version, services)
        self.merge = merge_lib.Merge(self.version, [*mapped, *unmapped])
        self._untried = {
            shard: [
                replica
                for replica in dict.fromkeys(replicas)
                if replica in query.snapshot.replicas_by_id
            ]
            for shard, replicas in mapped.items()
        }
        self._in_flight = dict.fromkeys(mapped, 0)
        self._denied: set[model.Shard] = set()
        for shard in unmapped:
            self.merge.give_up(shard, merge_lib.Lack.NO_SHARD_MAP)

    async def execute(self) -> None:
        """Queries every shard until all are settled or time is up."""
        try:
            self._send(list(self._untried), hedge=False)
            self._settle()
            await self._wait()
        finally:
            self._entry.cancel(self._attempts_by_number.values())
            self._attempts_by_number.clear()
        for shard in self.merge.open_shards:
            self.merge.give_up(shard, merge_lib.Lack.DEADLINE)

    async def _wait(self) -> None:
        remaining_s = self.end_s - self._entry.now()
        try:
            await asyncio.wait_for(self._finished.wait(), remaining_s)
        except TimeoutError:
            return

    def on_reply(self, number: int, reply: messages.SubReply) -> None:
        """Takes the end of one attempt; unknown numbers are dropped."""
        attempt = self._attempts_by_number.pop(number, None)
        if attempt is None:
            return
        for shard in attempt.shards:
            self._in_flight[shard] -= 1
        if reply.outcome is messages.Outcome.OK:
            missing = self.merge.accept(reply, attempt.shards)
            self._retry(missing, merge_lib.Lack.INVALID_ROWS)
        else:
            if reply.outcome is messages.Outcome.WRONG_VERSION:
                self._denied.update(attempt.shards)
            self._retry(attempt.shards, reply.outcome.value)
        self._settle()

    def _send(self, shards: Iterable[model.Shard], hedge: bool) -> int:
        """Sends shards to untried replicas, one sub-request per replica."""
        by_replica: dict[tuple[str, str], list[model.Shard]] = {}
        for shard in shards:
            untried = self._untried[shard]
            if not untried:
                self._fail(shard, merge_lib.Lack.NO_REPLICA)
                continue
            replica = self._entry.choose(self, shard, untried)
            untried.remove(replica)
            by_replica.setdefault((shard.service, replica), []).append(shard)
        count = 0
        for (service, replica), wanted in by_replica.items():
            count += self._post(service, replica, wanted, hedge)
        return count

    def _post(
        self,
        service: str,
        replica: str,
        shards: list[model.Shard],
        hedge: bool,
    ) -> int:
        dispatcher = self._entry.dispatcher_for(self, replica)
        attempt = None
        if dispatcher is not None:
            attempt = self._entry.post(
                self, service, replica, dispatcher, tuple(shards), hedge
            )
        if attempt is None:
            return self._retry(shards, merge_lib.Lack.NO_DISPATCHER)
        self.sent += 1
        self._attempts_by_number[attempt.number] = attempt
        for shard in shards:
            self._in_flight[shard] += 1
        return 1

    def _retry(self, shards: Iterable[model.Shard], reason: str) -> int:
        """Sends open shards without an attempt in flight elsewhere."""
        again = []
        for shard in shards:
            if not self.merge.is_open(shard) or self._in_flight[shard]:
                continue
            if self._untried[shard]:
                again.append(shard)
            else:
                self._fail(shard, reason)
        count = self._send(again, hedge=False)
        self.retries += count
        return count

    def _fail(self, shard: model.Shard, reason: str) -> None:
        if shard in self._denied:
            # Stops the run: what the other shards still answer would not be
            # used after a restart.
            self.version_lost = self.version_lost or self._entry.may_restart(
                self
            )
            reason = messages.Outcome.WRONG_VERSION.value
        self.merge.give_up(shard, reason)

    def _settle(self) -> None:
        if self.merge.settled or self.version_lost:
            self._finished.set()
