"""Replica health and replica selection for sub-requests."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import random

from mallowloft import messages
from mallowloft.configuration import model as config_model
from mallowloft.gather import pinning

# Queue delays older than this are ignored. Calls take a few milliseconds, so a
# queue fills and drains well within this time.
_QUEUE_DELAY_MAX_AGE_S = 0.5
# Smoothing factors of the moving averages of the service time. A replica is
# compared with its own long-term mean while its siblings have too few samples.
# Siblings often have few samples, because an instance prefers the replica in
# its own failure domain.
_SHORT_TERM_WEIGHT = 0.2
_LONG_TERM_WEIGHT = 0.02
# A refused attempt is retried only if an untried replica of the shard has
# recently reported a queue delay of at most this fraction of its service time.
# During an overload no replica has such a short queue.
_FREE_SLOT_DELAY_RATIO = 0.25
_FREE_SLOT_MAX_AGE_S = 0.1
# Assumed service time of a replica that has not answered yet.
_DEFAULT_SERVICE_MS = 3.0
_MIN_SAMPLES = 5
# A replica is avoided if its mean service time exceeds this multiple of the
# fastest sibling's mean, or of its own long-term mean while no sibling has
# enough samples. Healthy replicas stay well below it, and stragglers that
# noticeably delay queries are above it.
_SLOW_FACTOR = 3.0
# A fault burst means that this many replicas were marked as faulty within the
# window. Nothing but tests asks for it at present.
_FAULT_BURST_COUNT = 3
_FAULT_BURST_WINDOW_S = 3.0
# A replica is considered overloaded for this long after a refusal.
_REFUSAL_WINDOW_S = 1.0
# A probe is a single sample, so its limit is stricter than _SLOW_FACTOR. When a
# replica is ten times slower than normal, one call in 70 still takes less than
# three times the normal mean.
_PROBE_SLOW_FACTOR = 2.0
# One overtaken attempt may be chance, because 5% of attempts exceed the p95.
# Two in a row without a fast answer in between are treated as a fault.
_MIN_LATE_ATTEMPTS = 2
# A replica is avoided for this long after a single failure. If it fails twice
# in a row, is unreachable or is draining, it is avoided until a probe succeeds.
_SINGLE_FAILURE_AVOID_S = 0.1
# Probes are extra sub-requests. With 8 instances and one straggler per service,
# intervals of 0.25 s to 2 s added 2.7% sub-requests for probes at
# 100 queries/s.
_PROBE_INTERVAL_MIN_S = 2.0
_PROBE_INTERVAL_MAX_S = 8.0
# If a replica becomes faulty again within this time after its readmission, its
# probe interval continues from the last value instead of the minimum.
_REPEATED_FAULT_WINDOW_S = 10.0

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
class _ReplicaStats:
    """Statistics of one replica, from this instance's own attempts.

    Attributes:
        service_ms: Short-term mean of the service time.
        long_term_ms: Long-term mean of the service time.
        samples: Successful attempts in the short-term mean.
        overhead_ms: Mean latency beyond the service time.
        failures: Consecutive failures.
        late_count: Attempts that were overtaken or had not ended in time since
            the last fast answer.
        avoided: Whether the replica is avoided until a probe or another attempt
            succeeds with a service time that is not slow.
        avoid_until_s: End of the avoidance after a single failure.
        next_probe_s: When the next probe is due.
        probe_interval_s: Time from the next probe to the one after it.
        readmitted_s: When a successful attempt or probe last ended the
            avoidance.
        refused_s: When an attempt was last refused.
        delays_by_rank: Last reported queue delay in milliseconds and the time
            of the report, by rank of the priority class.
    """

    service_ms: float = 0.0
    long_term_ms: float = 0.0
    samples: int = 0
    overhead_ms: float = 0.0
    failures: int = 0
    late_count: int = 0
    avoided: bool = False
    avoid_until_s: float = 0.0
    next_probe_s: float = 0.0
    probe_interval_s: float = _PROBE_INTERVAL_MIN_S
    readmitted_s: float = float("-inf")
    refused_s: float = float("-inf")
    delays_by_rank: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


class ReplicaStatistics:
    """Latency, queue delay and faults of replicas as this instance sees them.

    A replica is faulty if it fails repeatedly, is unreachable or draining, is
    several times slower than its siblings (the other replicas of its service),
    or if its attempts are overtaken or do not end in time. It is avoided until
    a probe or another attempt succeeds with a service time that is not slow.
    """

    def __init__(self) -> None:
        self._stats_by_replica: dict[str, _ReplicaStats] = {}
        self._service_replicas_by_replica: dict[str, tuple[str, ...]] = {}
        self._avoided_by_service: dict[str, set[str]] = {}
        self._service_by_replica: dict[str, str] = {}
        self._avoided_times_s: collections.deque[float] = collections.deque(
            maxlen=_FAULT_BURST_COUNT
        )

    def update_services(self, snapshot: config_model.Snapshot) -> None:
        """Updates the replicas of all services and drops removed ones."""
        self._service_replicas_by_replica = {}
        self._service_by_replica = {}
        for name, service in snapshot.services_by_name.items():
            ids = tuple(replica.id for replica in service.replicas)
            for replica in ids:
                self._service_replicas_by_replica[replica] = ids
                self._service_by_replica[replica] = name
        for replica in (
            self._stats_by_replica.keys()
            - self._service_replicas_by_replica.keys()
        ):
            del self._stats_by_replica[replica]
        by_service: dict[str, set[str]] = {}
        for replica, stats in self._stats_by_replica.items():
            if stats.avoided:
                name = self._service_by_replica[replica]
                by_service.setdefault(name, set()).add(replica)
        self._avoided_by_service = by_service

    def is_avoided(self, replica: str, now_s: float) -> bool:
        """Whether a replica gets no attempts while others are available."""
        stats = self._stats_by_replica.get(replica)
        if stats is None:
            return False
        return stats.avoided or now_s < stats.avoid_until_s

    def was_recently_avoided(self, replica: str, now_s: float) -> bool:
        """Whether a replica is avoided, or was until recently."""
        stats = self._stats_by_replica.get(replica)
        if stats is None:
            return False
        return (
            stats.avoided
            or now_s - stats.readmitted_s < _REPEATED_FAULT_WINDOW_S
        )

    def has_fault_burst(self, now_s: float) -> bool:
        """Whether several replicas have recently been marked as faulty."""
        times_s = self._avoided_times_s
        return (
            len(times_s) == _FAULT_BURST_COUNT
            and now_s - times_s[0] < _FAULT_BURST_WINDOW_S
        )

    def record_refusal(self, replica: str, now_s: float) -> None:
        """Records a refusal by a replica or its dispatcher."""
        self._stats_of(replica).refused_s = now_s

    def refused_recently(self, replica: str, now_s: float) -> bool:
        """Whether a replica or its dispatcher refused recently."""
        stats = self._stats_by_replica.get(replica)
        return stats is not None and now_s - stats.refused_s < _REFUSAL_WINDOW_S

    def has_refusing_sibling(self, replica: str, now_s: float) -> bool:
        """Whether a sibling of a replica refused recently.

        The service is then overloaded. A late attempt is no evidence of a
        fault, and an extra sub-request would only add to the overload.
        """
        return any(
            sibling != replica and self.refused_recently(sibling, now_s)
            for sibling in self._service_replicas_by_replica.get(replica, ())
        )

    def has_avoided_replica(self, services: Iterable[str]) -> bool:
        """Whether any replica of the services is avoided as faulty."""
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
        """Returns the mean service time, or a default without samples."""
        stats = self._stats_by_replica.get(replica)
        if stats is None or not stats.samples:
            return _DEFAULT_SERVICE_MS
        return stats.service_ms

    def queue_delay_ms(
        self, replica: str, rank: int, now_s: float
    ) -> float | None:
        """Returns the estimated queue delay, None without a recent report."""
        stats = self._stats_by_replica.get(replica)
        if stats is None:
            return None
        delay = stats.delays_by_rank.get(rank)
        if delay is None or now_s - delay[1] > _QUEUE_DELAY_MAX_AGE_S:
            return None
        # The queue has drained since the report. New work in the queue is
        # reported by the next reply.
        return max(0.0, delay[0] - (now_s - delay[1]) * 1000)

    def queue_is_long(self, replica: str, rank: int, now_s: float) -> bool:
        """Whether the queue delay exceeds the mean service time."""
        delay_ms = self.queue_delay_ms(replica, rank, now_s)
        return delay_ms is not None and delay_ms > self.service_ms(replica)

    def fault_order(self, replica: str) -> tuple[int, float]:
        """Returns a sort key that puts slow replicas before failing ones."""
        stats = self._stats_by_replica.get(replica)
        if stats is None:
            return (0, _DEFAULT_SERVICE_MS)
        return (stats.failures, stats.service_ms)

    def has_free_slot(self, replica: str, rank: int, now_s: float) -> bool:
        """Whether a recent report shows that a replica has a free slot."""
        stats = self._stats_by_replica.get(replica)
        delay = stats.delays_by_rank.get(rank) if stats else None
        if delay is None or now_s - delay[1] > _FREE_SLOT_MAX_AGE_S:
            return False
        if self.refused_recently(replica, now_s):
            return False
        return delay[0] <= _FREE_SLOT_DELAY_RATIO * self.service_ms(replica)

    def has_long_queue_due_to_load(
        self, replica: str, rank: int, now_s: float
    ) -> bool:
        """Whether a replica has a long queue because of load, not a fault.

        A long queue is attributed to load unless a sibling is known to have a
        short one. A sibling without a recent report counts as having a long
        queue.
        """
        return self.queue_is_long(
            replica, rank, now_s
        ) and not self._sibling_has_short_queue(replica, rank, now_s)

    def is_delay_due_to_load(
        self, replica: str, rank: int, delay_ms: float, now_s: float
    ) -> bool:
        """Whether load, not a fault, causes an announced queue delay.

        If the delay is longer than one call while a sibling is known to have a
        short queue, the replica is at fault because its calls take too long.
        """
        long = delay_ms > self._reference_ms(replica)
        return not (
            long and self._sibling_has_short_queue(replica, rank, now_s)
        )

    def _sibling_has_short_queue(
        self, replica: str, rank: int, now_s: float
    ) -> bool:
        return any(
            self.queue_delay_ms(sibling, rank, now_s) is not None
            and not self.queue_is_long(sibling, rank, now_s)
            for sibling in self._service_replicas_by_replica.get(replica, ())
            if sibling != replica
        )

    def record_queue_delay(
        self, replica: str, rank: int, delay_ms: float, now_s: float
    ) -> None:
        """Records the queue delay that a reply reports."""
        self._stats_of(replica).delays_by_rank[rank] = (delay_ms, now_s)

    def record_success(
        self, replica: str, service_ms: float, latency_ms: float, now_s: float
    ) -> bool:
        """Records a successful attempt.

        Returns:
            Whether the replica has just been marked as faulty or readmitted.
        """
        stats = self._stats_of(replica)
        if stats.avoided:
            return self.record_probe_success(replica, service_ms, now_s)
        stats.failures = 0
        if service_ms <= 2 * self._reference_ms(replica):
            stats.late_count = 0
        weight = max(_SHORT_TERM_WEIGHT, 1 / (stats.samples + 1))
        overhead_ms = max(0.0, latency_ms - service_ms)
        stats.samples += 1
        stats.service_ms += weight * (service_ms - stats.service_ms)
        long_term_weight = max(_LONG_TERM_WEIGHT, 1 / stats.samples)
        stats.long_term_ms += long_term_weight * (
            service_ms - stats.long_term_ms
        )
        stats.overhead_ms += weight * (overhead_ms - stats.overhead_ms)
        if self._is_slow(replica, stats.service_ms):
            return self._avoid(replica, now_s)
        return False

    def record_late_attempt(
        self, replica: str, elapsed_ms: float, now_s: float, decisive: bool
    ) -> bool:
        """Records an attempt that was overtaken or has not ended in time.

        Args:
            replica: The replica that was asked.
            elapsed_ms: Time since the attempt was sent.
            now_s: Current time.
            decisive: Whether this attempt alone is evidence of a fault, because
                many attempts of the query are late or because this one is
                several times too late.

        Returns:
            Whether the replica has just been marked as faulty.
        """
        stats = self._stats_of(replica)
        if self.has_refusing_sibling(replica, now_s) or any(
            self.has_long_queue_due_to_load(replica, rank, now_s)
            for rank in stats.delays_by_rank
        ):
            # Otherwise instances would avoid healthy replicas during an
            # overload, which overloads the other replicas further.
            return False
        elapsed_ms -= stats.overhead_ms
        if elapsed_ms < 2 * self._reference_ms(replica):
            return False
        stats.late_count += 1
        decisive = decisive or self.was_recently_avoided(replica, now_s)
        if stats.late_count < _MIN_LATE_ATTEMPTS and not decisive:
            return False
        if not self._has_healthy_sibling(replica, now_s):
            return False
        return self._avoid(replica, now_s)

    def record_failure(
        self, replica: str, outcome: messages.Outcome, now_s: float
    ) -> bool:
        """Records an attempt that did not succeed.

        Returns:
            Whether the replica has just been marked as faulty.
        """
        if outcome not in _FAILURES:
            return False
        stats = self._stats_of(replica)
        stats.failures += 1
        stats.avoid_until_s = now_s + _SINGLE_FAILURE_AVOID_S
        if stats.failures < 2 and outcome is messages.Outcome.FAILED:
            return False
        return self._avoid(replica, now_s)

    def is_probe_due(self, replica: str, now_s: float) -> bool:
        """Whether an avoided replica should be probed now."""
        stats = self._stats_by_replica.get(replica)
        if stats is None or not stats.avoided or now_s < stats.next_probe_s:
            return False
        return not self.has_refusing_sibling(replica, now_s) and not any(
            self.queue_is_long(sibling, rank, now_s)
            for sibling in self._service_replicas_by_replica.get(replica, ())
            if sibling != replica and sibling in self._stats_by_replica
            for rank in self._stats_by_replica[sibling].delays_by_rank
        )

    def record_probe(self, replica: str, now_s: float) -> None:
        """Records that a probe was sent and doubles the probe interval."""
        stats = self._stats_of(replica)
        stats.next_probe_s = now_s + stats.probe_interval_s
        stats.probe_interval_s = min(
            2 * stats.probe_interval_s, _PROBE_INTERVAL_MAX_S
        )

    def record_probe_success(
        self, replica: str, service_ms: float, now_s: float
    ) -> bool:
        """Records a successful probe.

        Returns:
            Whether the replica is no longer avoided.
        """
        stats = self._stats_of(replica)
        slow = service_ms > _PROBE_SLOW_FACTOR * self._reference_ms(replica)
        if not stats.avoided or slow:
            return False
        stats.avoided = False
        stats.avoid_until_s = 0.0
        stats.failures = 0
        stats.late_count = 0
        stats.samples = 1
        stats.service_ms = service_ms
        stats.readmitted_s = now_s
        service = self._service_by_replica.get(replica, "")
        avoided = self._avoided_by_service.get(service, set())
        avoided.discard(replica)
        if not avoided:
            self._avoided_by_service.pop(service, None)
        return True

    def _stats_of(self, replica: str) -> _ReplicaStats:
        stats = self._stats_by_replica.get(replica)
        if stats is None:
            stats = self._stats_by_replica[replica] = _ReplicaStats()
        return stats

    def _avoid(self, replica: str, now_s: float) -> bool:
        stats = self._stats_of(replica)
        if stats.avoided:
            return False
        if now_s - stats.readmitted_s > _REPEATED_FAULT_WINDOW_S:
            stats.probe_interval_s = _PROBE_INTERVAL_MIN_S
        stats.avoided = True
        self._avoided_times_s.append(now_s)
        stats.next_probe_s = now_s + stats.probe_interval_s
        service = self._service_by_replica.get(replica, "")
        self._avoided_by_service.setdefault(service, set()).add(replica)
        return True

    def _has_healthy_sibling(self, replica: str, now_s: float) -> bool:
        return any(
            sibling != replica and not self.is_avoided(sibling, now_s)
            for sibling in self._service_replicas_by_replica.get(replica, ())
        )

    def _reference_ms(self, replica: str) -> float:
        """Returns the mean service time that a replica is compared with.

        This is the mean of the fastest healthy sibling. If no sibling has
        enough samples, the replica's own long-term mean is returned, or
        infinity if the replica has too few samples as well.
        """
        fastest_ms = float("inf")
        for sibling in self._service_replicas_by_replica.get(replica, ()):
            stats = self._stats_by_replica.get(sibling)
            if sibling == replica or stats is None or stats.avoided:
                continue
            if stats.samples >= _MIN_SAMPLES:
                fastest_ms = min(fastest_ms, stats.service_ms)
        own = self._stats_by_replica.get(replica)
        if fastest_ms < float("inf") or own is None:
            return fastest_ms
        return own.long_term_ms if own.samples >= _MIN_SAMPLES else fastest_ms

    def _is_slow(self, replica: str, service_ms: float) -> bool:
        return service_ms > _SLOW_FACTOR * self._reference_ms(replica)


class Selector:
    """Chooses replicas by failure domain, faults, versions and queue delay."""

    def __init__(
        self,
        failure_domain: str,
        health: ReplicaStatistics,
        versions: pinning.VersionReports,
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._health = health
        self._versions = versions
        self._rng = rng

    def eligible(
        self,
        snapshot: config_model.Snapshot,
        version: int,
        candidates: Iterable[str],
        now_s: float,
    ) -> list[str]:
        """Returns the candidates that may serve a version.

        Replicas that are leaving, avoided or known not to serve it are left
        out.
        """
        return [
            replica
            for replica in candidates
            if not snapshot.replicas_by_id[replica].leaving
            and not self._health.is_avoided(replica, now_s)
            and not self._versions.is_known_not_to_serve(
                replica, version, now_s
            )
        ]

    def without_long_queue(
        self, candidates: Iterable[str], rank: int, now_s: float
    ) -> list[str]:
        """Returns the candidates without a long queue."""
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

        The replicas of this instance's failure domain are preferred unless
        their queues are long. Of more than two replicas, two random ones are
        compared by queue delay, so that instances do not all choose the same.

        Args:
            snapshot: Configuration of the query.
            version: Pinned index version.
            rank: Rank of the query's priority class.
            candidates: Replicas that hold the shard, at least one.
            now_s: Current time.
            chosen: Replicas already chosen for other shards of the same batch.
                They are preferred, because shards on the same replica share a
                sub-request.
        """
        if len(candidates) == 1:
            return candidates[0]
        eligible = self.eligible(snapshot, version, candidates, now_s)
        if not eligible:
            return self._choose_fallback(version, candidates, now_s)
        own = [
            replica
            for replica in eligible
            if snapshot.replicas_by_id[replica].failure_domain
            == self._failure_domain
        ]
        pool = self.without_long_queue(own, rank, now_s) or eligible
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

    def _choose_fallback(
        self, version: int, candidates: list[str], now_s: float
    ) -> str:
        serving = [
            replica
            for replica in candidates
            if not self._versions.is_known_not_to_serve(replica, version, now_s)
        ]
        return min(serving or candidates, key=self._health.fault_order)
