"""Decides to how many replicas of a service this instance may be connected.

A replica accepts fewer connections than there are instances and resets those
above its limit. One connection of each instance to each replica is then too
many. Each instance is therefore connected to only some replicas of a service.
"""

import dataclasses
import math
import random

# Instances choose replicas by hashing, so some replicas get more connections
# than the average. This many standard deviations must fit below the limit: at
# 270 replicas, less than one is expected above it.
_DEVIATIONS = 3.0
# Steps in which the part of the instances with a connection is found.
_PART_STEPS = 50
# Part of the limit for instances with large links, which gather answers.
_LARGE_LINKS_PART = 0.8


def draw(instance: str) -> float:
    """Returns the number from 0 to 1 that is fixed for an instance."""
    return random.Random(f"{instance} connections").random()


@dataclasses.dataclass(frozen=True, slots=True)
class Population:
    """The instances that share the replicas' limits, as this one sees them.

    Attributes:
        instances: Number of instances of the fleet.
        small_links: How many of them have small links.
        has_gatherers: Whether gatherers serve this instance, because its link
            is small.
        draw: Number from 0 to 1 that is fixed for this instance. It is the same
            for all services, because a gathered request needs most shards.
    """

    instances: int
    small_links: int
    has_gatherers: bool
    draw: float

    def share(self, limit: int, is_shard: bool, max_per_replica: int) -> float:
        """Returns this instance's part of the connections of one replica.

        Instances with small links share what those with large links, which
        hold a whole number of connections, leave over.

        Args:
            limit: Connections that the replica accepts.
            is_shard: Whether the replica holds a shard.
            max_per_replica: Largest number of connections of one instance.
        """
        large_links = self.instances - self.small_links
        if not is_shard or not self.small_links or large_links <= 0:
            return limit / max(1, self.instances)
        share = min(max_per_replica, _LARGE_LINKS_PART * limit / large_links)
        if not self.has_gatherers:
            return share
        used = large_links * (int(share) if share >= 1 else share)
        return (limit - used) / self.small_links

    def max_connected(
        self, share: float, replicas: int, is_shard: bool
    ) -> float:
        """Returns to how many replicas of a service to be connected.

        Args:
            share: This instance's part of the connections of one replica.
            replicas: Number of usable replicas of the service.
            is_shard: Whether the service holds a shard.
        """
        if share >= 1:
            return math.inf
        members = self._count_members(is_shard)
        for count in range(replicas, 0, -1):
            if _fits(count / replicas, members, share):
                return count
        # Without gatherers there is no other way to the replicas.
        if not self.has_gatherers:
            return 1
        return int(
            any(
                _fits(step / _PART_STEPS / replicas, members, share)
                for step in range(_PART_STEPS, 0, -1)
                if self.draw < step / _PART_STEPS
            )
        )

    def _count_members(self, is_shard: bool) -> int:
        """Returns the number of instances with the same share."""
        large_links = self.instances - self.small_links
        if not is_shard or not self.small_links or large_links <= 0:
            return max(1, self.instances)
        return self.small_links if self.has_gatherers else large_links


def _fits(part: float, members: int, share: float) -> bool:
    """Whether a replica accepts connections of a part of the instances."""
    deviation = math.sqrt(members * part * (1 - part))
    return members * part + _DEVIATIONS * deviation <= share * members
