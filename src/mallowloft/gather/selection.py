"""Choice of the replica that is asked for a shard."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import random

from mallowloft import messages
from mallowloft.configuration import model as config_model
from mallowloft.gather import pinning

# An older report of a queue delay says nothing: queues of calls of a few
# milliseconds are filled and drained well within this time.
_DELAY_MAX_AGE_S = 0.5
_SERVICE_WEIGHT = 0.2
# Weight in the long-term mean, which a replica is compared with while its
# siblings have not been asked: an entry asks the replica of its own failure
# domain only.
_USUAL_WEIGHT = 0.02
# A refused attempt is sent elsewhere only if a queue was this short, as a
# share of the service time, this recently: at an overload no queue is.
_ROOM_SHARE = 0.25
_ROOM_MAX_AGE_S = 0.1
# Expected service time of a replica that has not answered yet.
_DEFAULT_SERVICE_MS = 3.0
_MIN_SAMPLES = 5
# A healthy replica's mean stays well under this multiple of its siblings'
# mean; stragglers that hurt a query are slower still.
_SLOW_FACTOR = 3.0
# This many replicas avoided within this time mean that a fault is being
# learnt: late attempts may then use saved tokens.
_LEARNING_COUNT = 3
_LEARNING_S = 3.0
# A replica that refused this recently is taken to be overloaded.
_REFUSAL_S = 1.0
# A probe is one value only, so it is compared more strictly: one in 70 calls
# of a replica that is ten times slower takes under three times the mean.
_PROBE_FACTOR = 2.0
# One lost race is chance (5% of attempts pass the p95), two in a row without
# an answer in between are not.
_LOST_RACES = 2
# A lone failure is avoided this long, several in a row until a probe succeeds.
_LONE_FAILURE_S = 0.1
# Probes are extra sub-requests: with 8 entries and one straggler per service,
# intervals of 0.25 s to 2 s spent 2.7% of 100 queries/s on probes.
_PROBE_FIRST_S = 2.0
_PROBE_MAX_S = 8.0
# A replica that fails again within this time after it was back keeps the
# probe interval it had reached.
_RELAPSE_S = 10.0

_FAILURES = frozenset(
    {
        messages.Outcome.FAILED,
        messages.Outcome.UNREACHABLE,
        messages.Outcome.DRAINING,
    }
)
REFUSALS = frozenset(
    {
        messages.Outcome.REFUSED,
        messages.Outcome.SHED,
        messages.Outcome.EXPIRED,
        messages.Outcome.CANCELLED,
    }
)


@dataclasses.dataclass(slots=True)
class _State:
    """What this entry knows of one replica from its own attempts."""

    service_ms: float = 0.0
    usual_ms: float = 0.0
    samples: int = 0
    overhead_ms: float = 0.0
    failures: int = 0
    lost_races: int = 0
    avoided: bool = False
    avoid_until_s: float = 0.0
    probe_s: float = 0.0
    probe_interval_s: float = _PROBE_FIRST_S
    back_s: float = float("-inf")
    refused_s: float = float("-inf")
    delays_by_rank: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


class ReplicaHealth:
    """Latency, queue delay and faults of replicas as this entry sees them.

    A replica at fault is avoided until a probe finds it sound: it fails
    repeatedly, or is several times slower than its siblings.
    """

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        self._siblings: dict[str, tuple[str, ...]] = {}
        self._avoided_by_service: dict[str, set[str]] = {}
        self._service_of: dict[str, str] = {}
        self._avoided_s: collections.deque[float] = collections.deque(
            maxlen=_LEARNING_COUNT
        )

    def update_services(self, snapshot: config_model.Snapshot) -> None:
        """Takes the replicas of all services and forgets removed ones."""
        self._siblings = {}
        self._service_of = {}
        for name, service in snapshot.services_by_name.items():
            ids = tuple(replica.id for replica in service.replicas)
            for replica in ids:
                self._siblings[replica] = ids
                self._service_of[replica] = name
        for replica in self._states.keys() - self._siblings.keys():
            del self._states[replica]
        by_service: dict[str, set[str]] = {}
        for replica, state in self._states.items():
            if state.avoided:
                name = self._service_of[replica]
                by_service.setdefault(name, set()).add(replica)
        self._avoided_by_service = by_service

    def avoided(self, replica: str, now_s: float) -> bool:
        """Whether a replica is to get no attempt while others can."""
        state = self._states.get(replica)
        if state is None:
            return False
        return state.avoided or now_s < state.avoid_until_s

    def doubtful(self, replica: str, now_s: float) -> bool:
        """Whether a replica is avoided, or was until recently."""
        state = self._states.get(replica)
        if state is None:
            return False
        return state.avoided or now_s - state.back_s < _RELAPSE_S

    def learning(self, now_s: float) -> bool:
        """Whether several replicas have just been found at fault."""
        times_s = self._avoided_s
        return (
            len(times_s) == _LEARNING_COUNT and now_s - times_s[0] < _LEARNING_S
        )

    def refused(self, replica: str, now_s: float) -> None:
        """Records that a replica's dispatcher or the replica refused."""
        self._state(replica).refused_s = now_s

    def refused_lately(self, replica: str, now_s: float) -> bool:
        """Whether a replica's dispatcher or the replica refused recently."""
        state = self._states.get(replica)
        return state is not None and now_s - state.refused_s < _REFUSAL_S

    def is_overloaded(self, replica: str, now_s: float) -> bool:
        """Whether a sibling refused recently.

        A replica that is late or avoided then is no evidence of a fault, and
        an extra sub-request would only add to the overload.
        """
        return any(
            sibling != replica and self.refused_lately(sibling, now_s)
            for sibling in self._siblings.get(replica, ())
        )

    def at_fault(self, services: Iterable[str]) -> bool:
        """Whether a replica of the services is known to be at fault."""
        by_service = self._avoided_by_service
        return bool(by_service) and any(name in by_service for name in services)

    def avoided_replicas(self) -> list[str]:
        """Returns the replicas that are avoided until a probe succeeds."""
        return sorted(
            replica
            for avoided in self._avoided_by_service.values()
            for replica in avoided
        )

    def service_ms(self, replica: str) -> float:
        """Returns the expected service time."""
        state = self._states.get(replica)
        if state is None or not state.samples:
            return _DEFAULT_SERVICE_MS
        return state.service_ms

    def queue_delay_ms(
        self, replica: str, rank: int, now_s: float
    ) -> float | None:
        """Returns the last reported queue delay, None if none is recent."""
        state = self._states.get(replica)
        if state is None:
            return None
        delay = state.delays_by_rank.get(rank)
        if delay is None or now_s - delay[1] > _DELAY_MAX_AGE_S:
            return None
        # A queue is drained as time passes; new work shows in the next reply.
        return max(0.0, delay[0] - (now_s - delay[1]) * 1000)

    def queue_is_long(self, replica: str, rank: int, now_s: float) -> bool:
        """Whether an attempt would wait longer than it would run."""
        delay_ms = self.queue_delay_ms(replica, rank, now_s)
        return delay_ms is not None and delay_ms > self.service_ms(replica)

    def badness(self, replica: str) -> tuple[int, float]:
        """Orders replicas at fault: slow ones go before failing ones."""
        state = self._states.get(replica)
        if state is None:
            return (0, _DEFAULT_SERVICE_MS)
        return (state.failures, state.service_ms)

    def has_room(self, replica: str, rank: int, now_s: float) -> bool:
        """Whether a replica has just been reported to have a free slot."""
        state = self._states.get(replica)
        delay = state.delays_by_rank.get(rank) if state else None
        if delay is None or now_s - delay[1] > _ROOM_MAX_AGE_S:
            return False
        if self.refused_lately(replica, now_s):
            return False
        return delay[0] <= _ROOM_SHARE * self.service_ms(replica)

    def is_crowded(self, replica: str, rank: int, now_s: float) -> bool:
        """Whether load, not the replica, explains a long queue.

        That is so unless a sibling is known to have a short queue. An unknown
        queue counts as long.
        """
        return self.queue_is_long(
            replica, rank, now_s
        ) and not self._has_short_sibling(replica, rank, now_s)

    def load_explains(
        self, replica: str, rank: int, delay_ms: float, now_s: float
    ) -> bool:
        """Whether load explains a queue delay that a dispatcher announces.

        A queue longer than one call while a sibling's is known to be short
        comes from the replica: its calls take too long.
        """
        long = delay_ms > self._reference_ms(replica)
        return not (long and self._has_short_sibling(replica, rank, now_s))

    def _has_short_sibling(self, replica: str, rank: int, now_s: float) -> bool:
        return any(
            self.queue_delay_ms(sibling, rank, now_s) is not None
            and not self.queue_is_long(sibling, rank, now_s)
            for sibling in self._siblings.get(replica, ())
            if sibling != replica
        )

    def report_queue(
        self, replica: str, rank: int, delay_ms: float, now_s: float
    ) -> None:
        """Records a reported queue delay."""
        self._state(replica).delays_by_rank[rank] = (delay_ms, now_s)

    def answered(
        self, replica: str, service_ms: float, latency_ms: float, now_s: float
    ) -> bool:
        """Records a successful attempt.

        Returns:
            True if the replica is avoided from now on, or no longer.
        """
        state = self._state(replica)
        if state.avoided:
            return self.probe_answered(replica, service_ms, now_s)
        state.failures = 0
        if service_ms <= 2 * self._reference_ms(replica):
            state.lost_races = 0
        weight = max(_SERVICE_WEIGHT, 1 / (state.samples + 1))
        overhead_ms = max(0.0, latency_ms - service_ms)
        state.samples += 1
        state.service_ms += weight * (service_ms - state.service_ms)
        weight_usual = max(_USUAL_WEIGHT, 1 / state.samples)
        state.usual_ms += weight_usual * (service_ms - state.usual_ms)
        state.overhead_ms += weight * (overhead_ms - state.overhead_ms)
        if self._is_slow(replica, state.service_ms):
            return self._avoid(replica, now_s)
        return False

    def lost_race(
        self, replica: str, elapsed_ms: float, now_s: float, decisive: bool
    ) -> bool:
        """Records an attempt that a later one overtook, or that ran out.

        Args:
            replica: The replica that was asked.
            elapsed_ms: Time since it was asked.
            now_s: Current time.
            decisive: Whether one such attempt is no chance: many attempts of
                the query are late, or this one is several times too late.

        Returns:
            True if the replica is avoided from now on.
        """
        state = self._state(replica)
        if self.is_overloaded(replica, now_s) or any(
            self.is_crowded(replica, rank, now_s)
            for rank in state.delays_by_rank
        ):
            # Without this rule an overload made entries avoid sound replicas,
            # which overloaded the others more.
            return False
        elapsed_ms -= state.overhead_ms
        if elapsed_ms < 2 * self._reference_ms(replica):
            return False
        state.lost_races += 1
        decisive = decisive or self.doubtful(replica, now_s)
        if state.lost_races < _LOST_RACES and not decisive:
            return False
        if not self._has_sound_sibling(replica, now_s):
            return False
        return self._avoid(replica, now_s)

    def failed(
        self, replica: str, outcome: messages.Outcome, now_s: float
    ) -> bool:
        """Records a failed attempt; True if the replica is avoided now."""
        if outcome not in _FAILURES:
            return False
        state = self._state(replica)
        state.failures += 1
        state.avoid_until_s = now_s + _LONE_FAILURE_S
        if state.failures < 2 and outcome is messages.Outcome.FAILED:
            return False
        return self._avoid(replica, now_s)

    def probe_due(self, replica: str, now_s: float) -> bool:
        """Whether an avoided replica should be probed."""
        state = self._states.get(replica)
        if state is None or not state.avoided or now_s < state.probe_s:
            return False
        return not self.is_overloaded(replica, now_s) and not any(
            self.queue_is_long(sibling, rank, now_s)
            for sibling in self._siblings.get(replica, ())
            if sibling != replica and sibling in self._states
            for rank in self._states[sibling].delays_by_rank
        )

    def probe_sent(self, replica: str, now_s: float) -> None:
        """Records a probe; the next one is twice as far away."""
        state = self._state(replica)
        state.probe_s = now_s + state.probe_interval_s
        state.probe_interval_s = min(2 * state.probe_interval_s, _PROBE_MAX_S)

    def probe_answered(
        self, replica: str, service_ms: float, now_s: float
    ) -> bool:
        """Records a successful probe; True if the replica is back."""
        state = self._state(replica)
        slow = service_ms > _PROBE_FACTOR * self._reference_ms(replica)
        if not state.avoided or slow:
            return False
        state.avoided = False
        state.avoid_until_s = 0.0
        state.failures = 0
        state.lost_races = 0
        state.samples = 1
        state.service_ms = service_ms
        state.back_s = now_s
        service = self._service_of.get(replica, "")
        avoided = self._avoided_by_service.get(service, set())
        avoided.discard(replica)
        if not avoided:
            self._avoided_by_service.pop(service, None)
        return True

    def _state(self, replica: str) -> _State:
        state = self._states.get(replica)
        if state is None:
            state = self._states[replica] = _State()
        return state

    def _avoid(self, replica: str, now_s: float) -> bool:
        state = self._state(replica)
        if state.avoided:
            return False
        if now_s - state.back_s > _RELAPSE_S:
            state.probe_interval_s = _PROBE_FIRST_S
        state.avoided = True
        self._avoided_s.append(now_s)
        state.probe_s = now_s + state.probe_interval_s
        service = self._service_of.get(replica, "")
        self._avoided_by_service.setdefault(service, set()).add(replica)
        return True

    def _has_sound_sibling(self, replica: str, now_s: float) -> bool:
        return any(
            sibling != replica and not self.avoided(sibling, now_s)
            for sibling in self._siblings.get(replica, ())
        )

    def _reference_ms(self, replica: str) -> float:
        """Returns the service time of the fastest sound sibling.

        If no sibling has been asked often enough, the replica's own long-term
        mean.
        """
        fastest_ms = float("inf")
        for sibling in self._siblings.get(replica, ()):
            state = self._states.get(sibling)
            if sibling == replica or state is None or state.avoided:
                continue
            if state.samples >= _MIN_SAMPLES:
                fastest_ms = min(fastest_ms, state.service_ms)
        own = self._states.get(replica)
        if fastest_ms < float("inf") or own is None:
            return fastest_ms
        return own.usual_ms if own.samples >= _MIN_SAMPLES else fastest_ms

    def _is_slow(self, replica: str, service_ms: float) -> bool:
        return service_ms > _SLOW_FACTOR * self._reference_ms(replica)


class Selector:
    """Chooses replicas by domain, faults, versions and queue delay."""

    def __init__(
        self,
        failure_domain: str,
        health: ReplicaHealth,
        versions: pinning.VersionReports,
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._health = health
        self._versions = versions
        self._rng = rng

    def able(
        self,
        snapshot: config_model.Snapshot,
        version: int,
        candidates: Iterable[str],
        now_s: float,
    ) -> list[str]:
        """Returns the candidates without a known fault."""
        return [
            replica
            for replica in candidates
            if not snapshot.replicas_by_id[replica].leaving
            and not self._health.avoided(replica, now_s)
            and not self._versions.lacks(replica, version, now_s)
        ]

    def unhurried(
        self, candidates: Iterable[str], rank: int, now_s: float
    ) -> list[str]:
        """Returns the candidates that have no long queue."""
        return [
            replica
            for replica in candidates
            if not self._health.queue_is_long(replica, rank, now_s)
        ]

    def choose(
        self,
        snapshot: config_model.Snapshot,
        version: int,
        rank: int,
        candidates: list[str],
        now_s: float,
        chosen: Collection[str] = (),
    ) -> str:
        """Returns the replica to ask.

        Args:
            snapshot: Configuration of the query.
            version: Pinned index version.
            rank: Rank of the query's class.
            candidates: Replicas that hold the shard, at least one.
            now_s: Current time.
            chosen: Replicas that the same sending already asks; using them
                saves sub-requests.
        """
        if len(candidates) == 1:
            return candidates[0]
        able = self.able(snapshot, version, candidates, now_s)
        if not able:
            return self._least_bad(version, candidates, now_s)
        own = [
            replica
            for replica in able
            if snapshot.replicas_by_id[replica].failure_domain
            == self._failure_domain
        ]
        pool = self.unhurried(own, rank, now_s) or able
        for replica in pool:
            if replica in chosen:
                return replica
        if len(pool) > 2:
            pool = self._rng.sample(pool, 2)
        elif len(pool) == 2 and self._rng.random() < 0.5:
            pool = pool[::-1]
        return min(pool, key=lambda item: self._delay_ms(item, rank, now_s))

    def _delay_ms(self, replica: str, rank: int, now_s: float) -> float:
        return self._health.queue_delay_ms(replica, rank, now_s) or 0.0

    def _least_bad(
        self, version: int, candidates: list[str], now_s: float
    ) -> str:
        serving = [
            replica
            for replica in candidates
            if not self._versions.lacks(replica, version, now_s)
        ]
        return min(serving or candidates, key=self._health.badness)
