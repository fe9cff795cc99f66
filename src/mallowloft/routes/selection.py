"""Which replica of a service gets an attempt.

Answers shards of two or three replicas of which some pause, are slow, fail or
are silent, and failure domains between which a round trip costs a good part of
a short objective.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
import random

from mallowloft.routes import directory as directory_lib

# Costs in usual durations of a request.
_REMOTE_COST = 0.4
_UNCONNECTED_COST = 0.4
_NOT_HOME_COST = 2.0
_LOAD_COST = 0.5
_UNREACHABLE_COST = 60.0
# Keeps instances from choosing alike between equal replicas.
_NOISE = 0.05


class Selector:
    """Chooses the replica with the lowest expected duration."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        entries: Iterable[directory_lib.Entry],
        now_s: float,
        tried: Collection[directory_lib.Entry] = (),
        sound: bool = False,
    ) -> directory_lib.Entry | None:
        """Returns the replica to try next, None if there is none.

        Args:
            entries: Replicas of the service.
            now_s: Current time.
            tried: Replicas that the request went to before.
            sound: Whether only replicas without a known fault are wanted.
        """
        best = None
        best_cost = math.inf
        for entry in entries:
            if entry in tried or entry.draining:
                continue
            cost = self._cost(entry, now_s, sound)
            if cost < best_cost:
                best, best_cost = entry, cost
        return best

    def _cost(
        self, entry: directory_lib.Entry, now_s: float, sound: bool
    ) -> float:
        """Returns the expected duration; infinite for one not wanted."""
        health = entry.health
        faults = health.fault_cost(now_s)
        if entry.pool.failing:
            faults += _UNREACHABLE_COST
        if faults and sound:
            return math.inf
        cost = faults + health.slowness(now_s) + self._rng.random() * _NOISE
        load = health.in_flight + health.waiting
        if load:
            cost += _LOAD_COST * load / entry.replica.slots
        if entry.remote:
            cost += _REMOTE_COST
        if not entry.home:
            cost += _NOT_HOME_COST
        if not entry.pool.open_count:
            cost += _UNCONNECTED_COST
        return cost + health.caution_cost(now_s)
