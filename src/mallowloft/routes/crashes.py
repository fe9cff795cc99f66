"""Requests that crash replicas, and are refused until long after.

The load it answers: a request that ends each replica that runs it, and that its
caller repeats at any instance. Without a memory of it, every repeat ends
another replica, and soon no other request of the service is served.

A replica that ends cuts off all requests that it runs, most of which are
harmless. So a request is blamed only after several replicas have ended under
it, without a success in between, and only if no other request was cut off by
the same crashes and more. All instances tell each other by way of the seeds
which requests were cut off, and each one draws the same conclusions.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

import msgspec
import xxhash

from mallowloft.kernel import logs
from mallowloft.routes import message_types
from mallowloft.routes import model

_log = logs.get_logger("crashes")

# Replicas that must have ended under a request, and how many of these crashes
# must have followed one another. Replicas that fail together for a reason of
# their own cut off the same requests at the same time.
_MIN_CRASHES = 3
_MIN_SEQUENCE = 2
# Requests that are always cut off together are all refused after more crashes.
_MAX_AMBIGUOUS_SEQUENCE = 4
# By this time after a crash, other instances have told of the requests that it
# cut off there.
_SETTLE_S = 1.0
# A crash is forgotten after this time. A request that is refused because of it
# is then tried again.
_RETENTION_S = 600.0
# A success is remembered for this long, so that crashes before it that others
# still tell of do not count.
_SUCCESS_RETENTION_S = 60.0
# Limits on what is kept and passed on in one message.
_MAX_RUNS = 300
_MAX_SUCCESSES = 200


class Trace(msgspec.Struct, frozen=True, array_like=True):
    """How a run of a request ended.

    Attributes:
        request: Fingerprint of the request.
        replica: Name of the start of the replica that ended; empty if the run
            succeeded.
        lasted_s: Time from the start of the attempt to the end of the replica.
        age_s: How long ago the run ended.
    """

    request: message_types.Name
    replica: message_types.Name
    lasted_s: message_types.Seconds
    age_s: message_types.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A run of a request that the end of its replica cut off."""

    started_s: float
    ended_s: float


def fingerprint(request: model.Request) -> str:
    """Returns what a request and its repeats have in common.

    Other headers than the host may differ with each attempt of a caller.
    """
    host = next(
        (value for name, value in request.headers if name == b"host"), b""
    )
    digest = xxhash.xxh3_64()
    for item in (request.method, host, request.target, request.body):
        digest.update(b"%d:" % len(item))
        digest.update(item)
    return digest.hexdigest()


def _count_sequence(runs: Iterable[_Run]) -> int:
    """Returns the largest number of runs of which none overlap."""
    count = 0
    ended_s = -math.inf
    for run in sorted(runs, key=lambda run: run.ended_s):
        if run.started_s >= ended_s:
            count += 1
            ended_s = run.ended_s
    return count


class CrashRegistry:
    """The requests that were cut off when replicas ended.

    The caller passes the current loop time in seconds.

    Attributes:
        on_crash: Called if this instance has noticed another crash.
    """

    def __init__(self) -> None:
        self._runs_by_request: dict[str, dict[str, _Run]] = {}
        # When requests that had been cut off succeeded last.
        self._succeeded_s_by_request: dict[str, float] = {}
        self._refused: set[str] = set()
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def is_empty(self) -> bool:
        """Whether no request is known to have been cut off."""
        return not self._runs_by_request

    def record_crash(
        self, request: str, replica: str, started_s: float, ended_s: float
    ) -> None:
        """Records that a replica ended while it may have run a request.

        Args:
            request: Fingerprint of the request.
            replica: Name of the start of the replica.
            started_s: Loop time at which the attempt was started.
            ended_s: Loop time at which the connection was lost.
        """
        if self._add_run(request, replica, _Run(started_s, ended_s)):
            self.on_crash()

    def record_success(self, request: str, now_s: float) -> None:
        """Records that a replica has run a request with success."""
        if request in self._runs_by_request:
            self._add_success(request, now_s)

    def count_crashes(self, request: str) -> int:
        """Returns the number of replicas that ended under a request."""
        return len(self._runs_by_request.get(request, ()))

    def refused_for_s(self, request: str, now_s: float) -> float:
        """Returns for how long a request is refused, 0 if it is not."""
        if self.count_crashes(request) < _MIN_CRASHES:
            return 0.0
        self._forget_old(now_s)
        if request not in self._find_causes(now_s):
            self._refused.discard(request)
            return 0.0
        runs = self._runs_by_request[request]
        if request not in self._refused:
            self._refused.add(request)
            _log.warning(
                "request_blamed",
                fingerprint=request,
                replicas=",".join(list(runs)[-_MIN_CRASHES:]),
                crashes=len(runs),
            )
        # Enough crashes must be forgotten that too few are left.
        ends_s = sorted(run.ended_s for run in runs.values())
        return ends_s[-_MIN_CRASHES] + _RETENTION_S - now_s

    def traces(self, now_s: float) -> tuple[Trace, ...]:
        """Returns what to tell other instances.

        If it is too much for a message, the requests with the most crashes come
        first, because they explain those of the others.
        """
        self._forget_old(now_s)
        by_crashes = sorted(
            self._runs_by_request.items(),
            key=lambda item: len(item[1]),
            reverse=True,
        )
        crashes = [
            Trace(
                request,
                replica,
                min(message_types.MAX_SECONDS, run.ended_s - run.started_s),
                max(0.0, now_s - run.ended_s),
            )
            for request, runs in by_crashes
            for replica, run in runs.items()
        ]
        successes = [
            Trace(request, "", 0.0, max(0.0, now_s - succeeded_s))
            for request, succeeded_s in self._succeeded_s_by_request.items()
        ]
        return tuple(crashes[:_MAX_RUNS] + successes)

    def digest(self) -> str:
        """Returns a digest of what is known; empty if there is nothing.

        It is equal on instances that know of the same crashes and successes.
        """
        items = [
            f"{request} {replica}"
            for request, runs in self._runs_by_request.items()
            for replica in runs
        ]
        items += self._succeeded_s_by_request
        if not items:
            return ""
        return xxhash.xxh3_64_hexdigest("\n".join(sorted(items)).encode())

    def apply(self, traces: Iterable[Trace], now_s: float) -> None:
        """Records what other instances have told."""
        for item in traces:
            ended_s = now_s - item.age_s
            if item.replica and item.age_s < _RETENTION_S:
                run = _Run(ended_s - item.lasted_s, ended_s)
                self._add_run(item.request, item.replica, run)
            elif not item.replica and item.age_s < _SUCCESS_RETENTION_S:
                self._add_success(item.request, ended_s)

    def _add_run(self, request: str, replica: str, run: _Run) -> bool:
        """Adds a run; returns whether it was not known."""
        succeeded_s = self._succeeded_s_by_request.get(request, -math.inf)
        if run.ended_s <= succeeded_s:
            return False
        runs = self._runs_by_request.setdefault(request, {})
        if replica in runs:
            return False
        runs[replica] = run
        self._drop_excess(run.ended_s)
        return True

    def _add_success(self, request: str, succeeded_s: float) -> None:
        known_s = self._succeeded_s_by_request.get(request, -math.inf)
        succeeded_s = max(known_s, succeeded_s)
        # The newest are last.
        self._succeeded_s_by_request.pop(request, None)
        self._succeeded_s_by_request[request] = succeeded_s
        if len(self._succeeded_s_by_request) > _MAX_SUCCESSES:
            oldest = next(iter(self._succeeded_s_by_request))
            del self._succeeded_s_by_request[oldest]
        runs = self._runs_by_request.pop(request, {})
        left = {
            replica: run
            for replica, run in runs.items()
            if run.ended_s > succeeded_s
        }
        if left:
            self._runs_by_request[request] = left
        else:
            self._log_forgotten(request, runs, "success")

    def _log_forgotten(
        self, request: str, runs: Mapping[str, _Run], reason: str
    ) -> None:
        if len(runs) >= _MIN_CRASHES:
            _log.info(
                "crashes_forgotten",
                fingerprint=request,
                crashes=len(runs),
                reason=reason,
            )

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - _RETENTION_S
        for request, runs in list(self._runs_by_request.items()):
            for replica, run in list(runs.items()):
                if run.ended_s <= oldest_s:
                    del runs[replica]
            if not runs:
                del self._runs_by_request[request]
        self._succeeded_s_by_request = {
            request: succeeded_s
            for request, succeeded_s in self._succeeded_s_by_request.items()
            if succeeded_s > now_s - _SUCCESS_RETENTION_S
        }
        self._refused &= self._runs_by_request.keys()

    def _drop_excess(self, now_s: float) -> None:
        """Forgets the requests with the fewest crashes if there are many."""
        count = sum(map(len, self._runs_by_request.values()))
        if count <= _MAX_RUNS:
            return
        self._forget_old(now_s)
        by_crashes = sorted(
            self._runs_by_request.items(), key=lambda item: len(item[1])
        )
        for request, runs in by_crashes[:-1]:
            if count <= _MAX_RUNS:
                break
            del self._runs_by_request[request]
            count -= len(runs)
            self._log_forgotten(request, runs, "memory_full")

    def _find_causes(self, now_s: float) -> set[str]:
        """Returns the requests that explain the crashes.

        The request under which most replicas ended explains these crashes. The
        others are judged by the crashes that it does not explain.
        """
        settled_s = now_s - _SETTLE_S
        left_by_request = {
            request: {
                replica: run
                for replica, run in runs.items()
                if run.ended_s <= settled_s
            }
            for request, runs in self._runs_by_request.items()
        }
        causes: set[str] = set()
        while left_by_request:
            request = max(
                left_by_request, key=lambda item: len(left_by_request[item])
            )
            runs = left_by_request.pop(request)
            if len(runs) < _MIN_CRASHES:
                break
            sequence = _count_sequence(runs.values())
            if sequence < _MIN_SEQUENCE:
                continue
            rivals = [
                other
                for other, others_runs in left_by_request.items()
                if others_runs.keys() == runs.keys()
            ]
            if not rivals or sequence >= _MAX_AMBIGUOUS_SEQUENCE:
                causes.update((request, *rivals))
            for other in list(left_by_request):
                left_by_request[other] = {
                    replica: run
                    for replica, run in left_by_request[other].items()
                    if replica not in runs
                }
        return causes
