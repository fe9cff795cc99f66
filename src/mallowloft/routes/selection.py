"""Which replica of a service gets an attempt.

Answers shards of two or three replicas of which some pause, are slow, fail or
are silent, and failure domains between which a round trip costs a good part of
a short objective.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random

from mallowloft.routes import directory as directory_lib

# Costs in usual durations of a request.
_REMOTE_COST = 0.25
_UNCONNECTED_COST = 0.4
_COLD_COST = 0.6
_NOT_HOME_COST = 2.0
_IN_FLIGHT_COST = 0.5
_WAITING_COST = 0.5
_WARNED_COST = 3.0
_STALLED_COST = 10.0
_EJECTED_COST = 30.0
_UNREACHABLE_COST = 60.0
# Keeps instances from choosing alike between equal replicas.
_NOISE = 0.05


class Selector:
    """Chooses the replica with the lowest expected duration."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
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
        best_cost = 0.0
        for entry in entries:
            if entry in tried or entry.draining:
                continue
            if sound and not self._is_sound(entry, now_s):
                continue
            cost = self._cost(entry, now_s)
            if best is None or cost < best_cost:
                best, best_cost = entry, cost
        return best

    def _is_sound(self, entry: directory_lib.Entry, now_s: float) -> bool:
        health = entry.health
        return not (
            entry.pool.failing or health.stalled(now_s) or health.ejected(now_s)
        )

    def _cost(self, entry: directory_lib.Entry, now_s: float) -> float:
        health = entry.health
        slots = entry.replica.slots
        cost = health.slowness(now_s) + self._rng.random() * _NOISE
        cost += _IN_FLIGHT_COST * health.in_flight / slots
        cost += _WAITING_COST * health.waiting / slots
        if entry.replica.failure_domain != self._failure_domain:
            cost += _REMOTE_COST
        if entry.pool.failing:
            cost += _UNREACHABLE_COST
        elif not entry.pool.open_count:
            cost += _UNCONNECTED_COST
        if not entry.home:
            cost += _NOT_HOME_COST
        if health.cold(now_s):
            cost += _COLD_COST
        if health.warned(now_s):
            cost += _WARNED_COST
        if health.stalled(now_s):
            cost += _STALLED_COST
        if health.ejected(now_s):
            cost += _EJECTED_COST
        return cost
