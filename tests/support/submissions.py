"""A simulated world whose instances run submissions with real plug-ins."""

import asyncio
from typing import Any

from mallowloft.submissions import model
from tests.support import virtual
from tests.support import world as world_lib


class SubmissionWorld(world_lib.World):
    """Instances that can be frozen, killed and stopped.

    Attributes:
        stopped: Instances that were killed or have stopped.
    """

    def __init__(self, seed: int = 1, shards: int = 4, **options: Any) -> None:
        super().__init__(seed, **options)
        self.stopped: set[str] = set()
        # Polls account for a third of the timers of a run, so they are made
        # less often. Documents do not change after the start.
        self.watch_poll_s = 0.2
        replicas = {f"r{n}{side}": side for n in range(shards) for side in "ab"}
        self.publish_service("shop", replicas)
        self.shards = [f"s{n}" for n in range(shards)]
        by_shard = {f"s{n}": [f"r{n}a", f"r{n}b"] for n in range(shards)}
        versions = [{"version": 1, "shards": {"shop": by_shard}}]
        self.publish({"/operator/indexes/main": {"versions": versions}})
        self.publish_team("hunters", "paying")
        self.publish_team("others", "standard")

    async def add(self, instance: str, domain: str) -> None:
        """Starts one instance and waits until it is ready or has stopped."""
        await self.start_instance(instance, domain)
        self.stopped.discard(instance)
        kernel = self.kernels_by_id[instance]
        while not kernel.ready() and instance not in self.stopped:
            await asyncio.sleep(0.01)

    def submissions(self, instance: str):
        """Returns the submissions plug-in of an instance."""
        return self.kernels_by_id[instance].plugin("submissions")

    def running(self, instance: str) -> bool:
        """Whether an instance answers callers at present."""
        return instance not in self.stopped and super().running(instance)

    def issue(self, instance: str, team: str = "hunters") -> str:
        """Returns one new key."""
        return self.submissions(instance).issue(team, 1)[0]

    def submission(self, key: str, **fields: Any) -> model.Submission:
        """Returns a submission with defaults for omitted fields."""
        defaults = {
            "request_id": "q-1",
            "team": "hunters",
            "service": "shop",
            "shard": "s0",
            "body": b'"lamp"',
            "rank": 0,
            "deadline_ms": 1000.0,
            "first_send": False,
        }
        return model.Submission(key=key, **(defaults | fields))

    def send(self, instance: str, submission: model.Submission):
        """Sends a copy to an instance and returns the waiting task."""
        plugin = self.submissions(instance)
        return self.spawn(instance, plugin.submit(submission))

    def count_started(self, request: str) -> int:
        """Counts the upstream starts of requests with the given id prefix."""
        return sum(
            event.kind == "submit_started"
            and event.request_id.startswith(request)
            for replica in self.replicas_by_id.values()
            for event in replica.journal
        )

    def kill(self, instance: str) -> None:
        super().kill(instance)
        self.stopped.add(instance)

    async def stop(self, instance: str, grace_s: float = 5.0) -> None:
        """Stops an instance gracefully."""
        kernel = self.kernels_by_id[instance]
        await self.run_at(instance, kernel.stop(grace_s))
        self.stopped.add(instance)

    def deliver(self, instance: str, sender, message) -> None:
        """Delivers a message from any sender to an instance."""
        peers = self.kernels_by_id[instance].plugin("peers")
        asyncio.get_running_loop().call_soon(
            peers._handlers.deliver,
            sender,
            (message,),
            context=virtual.context_of(peers.process),
        )
