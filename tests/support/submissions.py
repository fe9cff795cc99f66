"""A world whose instances run submissions on the real plug-ins."""

import asyncio
from typing import Any

from mallowloft.submissions import model
from tests.support import virtual
from tests.support import world as world_lib


class SubmissionWorld(world_lib.World):
    """Instances that can be frozen, killed and stopped.

    Attributes:
        dead: Instances that were killed or have stopped.
    """

    def __init__(self, seed: int = 1, shards: int = 4, **options: Any) -> None:
        super().__init__(seed, **options)
        self.dead: set[str] = set()
        # No document changes after the start, and polls are a third of the
        # timers of a run.
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
        """Starts one instance and waits until it is ready or has died."""
        await self.start_instance(instance, domain)
        self.dead.discard(instance)
        kernel = self.kernels_by_id[instance]
        while not kernel.ready() and instance not in self.dead:
            await asyncio.sleep(0.01)

    def submissions(self, instance: str):
        """Returns the plug-in of an instance."""
        return self.kernels_by_id[instance].plugin("submissions")

    def running(self, instance: str) -> bool:
        """Whether an instance answers its callers now."""
        return instance not in self.dead and super().running(instance)

    def issue(self, instance: str, team: str = "hunters") -> str:
        """Returns one new key."""
        return self.submissions(instance).issue(team, 1)[0]

    def submission(self, key: str, **fields: Any) -> model.Submission:
        """Returns a submission with defaults for what is not given."""
        defaults = {
            "request": "q-1",
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

    def started(self, request: str) -> int:
        """Returns how often a request, by prefix, was started upstream."""
        return sum(
            event.kind == "submit_started" and event.request.startswith(request)
            for replica in self.replicas_by_id.values()
            for event in replica.journal
        )

    def kill(self, instance: str) -> None:
        super().kill(instance)
        self.dead.add(instance)

    async def stop(self, instance: str, grace_s: float = 5.0) -> None:
        """Stops an instance gracefully."""
        kernel = self.kernels_by_id[instance]
        await self.run_at(instance, kernel.stop(grace_s))
        self.dead.add(instance)

    def deliver(self, instance: str, sender, message) -> None:
        """Delivers a made-up message to an instance."""
        peers = self.kernels_by_id[instance].plugin("peers")
        asyncio.get_running_loop().call_soon(
            peers._handlers.deliver,
            sender,
            (message,),
            context=virtual.context_of(peers.process),
        )
