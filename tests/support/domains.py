"""Queues of two failure domains, whose load many choosers share.

Each shard has one replica in each domain. The choosers use the real selection;
time is that of the events.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import types

from mallowloft.kernel import metrics as metrics_lib
from mallowloft.routes import directory as directory_lib
from mallowloft.routes import health as health_lib
from mallowloft.routes import limits
from mallowloft.routes import model
from mallowloft.routes import selection
from mallowloft.routes.crossing import crossing as crossing_lib

SERVICE_S = 0.01
ROUND_TRIP_S = 0.001
SLOTS = 2
_QUEUE = 12
_BYTES = 600


@dataclasses.dataclass
class _Replica:
    """A replica with its slots and queue; it is gone if it has failed."""

    running: int = 0
    failed: bool = False
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class Chooser:
    """One instance that sees only its own attempts."""

    def __init__(self, domain, shards, seed, price, delay_s, speed):
        self.domain = domain
        self.delay_s = delay_s
        self.speed = speed
        self.unreachable: set[str] = set()
        rng = random.Random(seed)
        self.crossing = crossing_lib.Crossing(
            domain,
            price,
            lambda: self.unreachable,
            rng,
            metrics_lib.Metrics(),
        )
        services = [f"s{shard}" for shard in range(shards)]
        self.crossing.set_groups(dict.fromkeys(services, "r"), services)
        self.selector = selection.Selector(rng, crossing=self.crossing)
        self.latency = limits.RouteLatency(0.1)
        pool = types.SimpleNamespace(
            open_count=1, failing=False, round_trip_s=lambda: ROUND_TRIP_S
        )
        self.entries = [
            {
                name: directory_lib.ReplicaEntry(
                    model.Replica(
                        f"{service}-{name}", service, "h", 1, name, SLOTS
                    ),
                    pool,
                    health_lib.ReplicaHealth(),
                    name != domain,
                )
                for name in ("a", "b")
            }
            for service in services
        ]

    @property
    def share(self) -> float:
        """The current share of the only group."""
        return max(self.crossing.shares().values(), default=0.0)


class Domains:
    """The model.

    Attributes:
        crossed: Numbers of first attempts by reason.
        sampled: Crossing share of the attempts of domain `a` in each 0.25 s.
        overfull: Attempts that crossed by share to a replica that their chooser
            knew to be full.
    """

    def __init__(
        self, choosers, shards=20, price=0.2, delay_s=0.05, seed=1, unequal=0.0
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.shards = shards
        self.choosers = {
            domain: [
                Chooser(
                    domain,
                    shards,
                    f"{seed}{domain}{number}",
                    price,
                    self.rng.uniform(0.0, delay_s),
                    1.0 + self.rng.uniform(-unequal, unequal),
                )
                for number in range(choosers)
            ]
            for domain in ("a", "b")
        }
        self.replicas = {
            (shard, domain): _Replica()
            for shard in range(shards)
            for domain in ("a", "b")
        }
        # Load of each domain as a share of the capacity of its replicas.
        self.load = {"a": 0.3, "b": 0.3}
        self.crossed: collections.Counter[str] = collections.Counter()
        self.sampled: list[float] = []
        self.durations: list[float] = []
        self.overfull = 0
        self._events: list[tuple] = []
        self._order = itertools.count()
        for domain in ("a", "b"):
            self._schedule(0.0, self._arrive, domain)

    def shares(self) -> list[float]:
        """Returns the shares of the choosers of domain `a`."""
        return [chooser.share for chooser in self.choosers["a"]]

    def run(self, duration_s: float) -> None:
        """Runs the model and samples how much crosses."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            sample_end_s = min(end_s, self.now_s + 0.25)
            before = self.crossed.copy()
            while self._events and self._events[0][0] <= sample_end_s:
                self.now_s, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
            self.now_s = sample_end_s
            new = self.crossed - before
            total = sum(new.values())
            self.sampled.append(1 - new[""] / total if total else 0.0)

    def _schedule(self, delay_s, call, *arguments) -> None:
        heapq.heappush(
            self._events,
            (self.now_s + delay_s, next(self._order), call, arguments),
        )

    def _arrive(self, domain) -> None:
        rate = self.load[domain] * self.shards * SLOTS / SERVICE_S
        self._schedule(self.rng.expovariate(rate), self._arrive, domain)
        chooser = self.rng.choice(self.choosers[domain])
        shard = self.rng.randrange(self.shards)
        entry = chooser.selector.choose(
            chooser.entries[shard].values(),
            self.now_s,
            latency=chooser.latency,
            first_rank=0,
        )
        reason = chooser.selector.reason
        if domain == "a":
            self.crossed[reason] += 1
        load = entry.health.foreign_load + entry.health.in_flight
        fresh = self.now_s - entry.health.load_stated_s <= 1.0
        if reason == selection.SHARE and fresh and load >= SLOTS:
            self.overfull += 1
        attempt = (object(), chooser, entry, self.now_s)
        entry.health.record_start(attempt, self.now_s, chooser.latency.median_s)
        delay_s = ROUND_TRIP_S / 2 if entry.remote else 0.0
        replica = self.replicas[shard, entry.replica.failure_domain]
        self._schedule(delay_s, self._receive, replica, attempt)

    def _receive(self, replica, attempt) -> None:
        if replica.failed or len(replica.queue) >= _QUEUE:
            self._reply(replica, attempt, rejected=True)
        elif replica.running < SLOTS:
            self._serve(replica, attempt)
        else:
            replica.queue.append(attempt)

    def _serve(self, replica, attempt) -> None:
        replica.running += 1
        service_s = SERVICE_S * self.rng.uniform(0.5, 1.5)
        self._schedule(
            service_s * attempt[1].speed, self._complete, replica, attempt
        )

    def _complete(self, replica, attempt) -> None:
        replica.running -= 1
        self._reply(replica, attempt, rejected=False)
        if replica.queue:
            self._serve(replica, replica.queue.popleft())

    def _reply(self, replica, attempt, rejected) -> None:
        """Delivers a reply."""
        delay_s = ROUND_TRIP_S / 2 if attempt[2].remote else 0.0
        load = (replica.running, len(replica.queue))
        self._schedule(delay_s, self._end, attempt, load, rejected)

    def _end(self, attempt, load, rejected) -> None:
        """Ends an attempt; what it shows of the load is seen later."""
        _, chooser, entry, started_s = attempt
        duration_s = self.now_s - started_s
        if rejected:
            entry.health.record_failure(attempt, self.now_s)
        else:
            self.durations.append(duration_s)
            chooser.latency.record(duration_s)
            entry.health.record_reply(attempt, self.now_s, duration_s)
        self._schedule(
            chooser.delay_s,
            self._observe,
            attempt,
            load,
            None if rejected else duration_s,
        )

    def _observe(self, attempt, load, duration_s) -> None:
        _, chooser, entry, _ = attempt
        entry.health.record_load(*load, self.now_s)
        if duration_s is None:
            chooser.crossing.record_rejection(entry, self.now_s)
        else:
            chooser.crossing.record(
                entry, chooser.latency, duration_s, _BYTES, self.now_s
            )
