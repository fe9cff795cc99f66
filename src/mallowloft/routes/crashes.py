"""Requests that crash replicas, and are refused until long after.

The load it answers: a request that ends each replica that runs it, and that its
caller repeats at any instance. Without a memory of it, every repeat ends
another replica, and soon no other request of the service is served.

A request is blamed only after several replicas have ended under it, without a
success in between, and only if no other request explains these crashes. All
instances tell each other by way of the seeds which requests were cut off, and
each one draws the same conclusions.

A gathered request, or a failure domain that goes down, cuts off hundreds of
requests at hundreds of replicas. What is known of a request that is refused, or
that has ended replicas one after the other, takes precedence over these, in
memory and in messages.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools
import math

import msgspec
import xxhash

from mallowloft.kernel import logs
from mallowloft.routes import blame
from mallowloft.routes import message_types
from mallowloft.routes import model

_log = logs.get_logger("crashes")

# By this time after a crash, other instances have told of the requests that it
# cut off there.
_SETTLE_S = 1.0
# A crash is forgotten after this time. A request that is refused because of it
# is then tried again.
_RETENTION_S = 600.0
# A success is remembered for this long, so that crashes before it that others
# still tell of do not count.
_SUCCESS_RETENTION_S = 60.0
# Limits on what is kept and on what is passed on in one message.
_MAX_RUNS = 2000
_MAX_RUNS_AFTER_DROP = 1500
_MAX_TOLD_RUNS = 300
# Instances that know of more crashes than this compare only the evidence. Who
# is told as much as fits in a message then does so, too.
_MAX_COMPARED_RUNS = 240
_MAX_TOLD_EVIDENCE = 120
_MAX_TOLD_NOTICED = 180
_MAX_NOTICED = 1000
_MAX_SUCCESSES = 200
# Crashes of one request that are kept and passed on before others.
_MAX_EVIDENCE = 6
# Crashes within this time of each other are about equally recent.
_RECENT_S = 10.0
# Judging many crashes takes milliseconds, so it is not done more often.
_JUDGEMENT_INTERVAL_S = 0.2


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
class _Suspect:
    """What the crashes say of a request.

    Attributes:
        is_refused: Whether the request explains crashes.
        crashes: Number of its crashes that no refused request explains; all
            if it is refused.
        sequence: How many of its crashes followed one another. More than
            are ever needed count as that many.
        last_ended_s: Loop time of its last crash.
        evidence: Replicas whose crashes show this.
    """

    is_refused: bool
    crashes: int
    sequence: int
    last_ended_s: float
    evidence: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Judgement:
    """What the crashes that are known say.

    Attributes:
        judged_s: Loop time at which it was made.
        until_s: Loop time from which further crashes count.
        causes: The requests that explain crashes.
    """

    judged_s: float
    until_s: float
    causes: frozenset[str]


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


class CrashRegistry:
    """The requests that were cut off when replicas ended.

    The caller passes the current loop time in seconds.

    Attributes:
        on_crash: Called if this instance has noticed another crash.
        noticed: Number of runs that this instance has seen cut off and that
            it tells each seed.
    """

    def __init__(self) -> None:
        self._runs_by_request: dict[str, dict[str, blame.Run]] = {}
        self._run_count = 0
        # When requests that had been cut off succeeded last.
        self._succeeded_s_by_request: dict[str, float] = {}
        # Request and replica of the last of these runs.
        self._noticed: collections.deque[tuple[str, str]] = collections.deque(
            maxlen=_MAX_NOTICED
        )
        self.noticed = 0
        self._refused: set[str] = set()
        self._oldest_s = math.inf
        self._judgement: _Judgement | None = None
        # As of a judgement, those that matter most first.
        self._suspects_by_request: dict[str, _Suspect] = {}
        self._foremost_by_replica: dict[str, str] = {}
        self._assessed: _Judgement | None = None
        self._is_changed = False
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
        run = blame.Run(started_s, ended_s)
        if not self._add_run(request, replica, run, ended_s):
            return
        self._noticed.append((request, replica))
        self.noticed += 1
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
        if self.count_crashes(request) < blame.MIN_CRASHES:
            return 0.0
        self._forget_old(now_s)
        if request not in self._judge(now_s).causes:
            self._refused.discard(request)
            return 0.0
        runs = self._runs_by_request[request]
        if request not in self._refused:
            self._refused.add(request)
            _log.warning(
                "request_blamed",
                fingerprint=request,
                replicas=",".join(list(runs)[-blame.MIN_CRASHES :]),
                crashes=len(runs),
            )
        # Enough crashes must be forgotten that too few are left.
        ends_s = sorted(run.ended_s for run in runs.values())
        return ends_s[-blame.MIN_CRASHES] + _RETENTION_S - now_s

    def traces(
        self,
        now_s: float,
        told: int | None = None,
        heard: Iterable[Trace] = (),
    ) -> tuple[Trace, ...]:
        """Returns what to tell another instance.

        If it is too much for a message, the evidence of refused requests comes
        first, then what this instance has noticed since and what explains the
        crashes that the other one tells of, then the evidence of the requests
        with the longest sequences of crashes.

        Args:
            now_s: Current loop time.
            told: How many of the runs that this instance has noticed are known
                to the other; None if it does not need them one by one.
            heard: What the other one has told.
        """
        self._forget_old(now_s)
        if self._run_count <= _MAX_COMPARED_RUNS:
            keys = self._list_runs()
        else:
            foremost, others = self._rank_suspects(now_s)
            refused = {
                request: suspect
                for request, suspect in foremost.items()
                if suspect.is_refused
            }
            keys = itertools.chain(
                self._list_evidence(refused),
                () if told is None else self._list_noticed(told),
                self._list_explanations(heard),
                self._list_evidence(foremost),
                self._list_refused(now_s),
                self._list_evidence(others),
            )
        crashes = []
        for request, replica in dict.fromkeys(keys):
            run = self._runs_by_request.get(request, {}).get(replica)
            if run is None:
                continue
            crashes.append(
                Trace(
                    request,
                    replica,
                    min(message_types.MAX_SECONDS, run.ended_s - run.started_s),
                    max(0.0, now_s - run.ended_s),
                )
            )
            if len(crashes) == _MAX_TOLD_RUNS:
                break
        successes = [
            Trace(request, "", 0.0, max(0.0, now_s - succeeded_s))
            for request, succeeded_s in self._succeeded_s_by_request.items()
        ]
        return tuple(crashes + successes)

    def told_after(self, told: int) -> int:
        """Returns how many noticed runs are known after `traces` is told.

        Args:
            told: How many were known before.
        """
        if self._run_count <= _MAX_COMPARED_RUNS:
            return self.noticed
        return min(self.noticed, self._kept_from(told) + _MAX_TOLD_NOTICED)

    def digest(self, now_s: float) -> str:
        """Returns a digest of what is known; empty if there is nothing.

        It is equal on instances that know of the same crashes and successes.
        If these are too many for a message, only the evidence that comes first
        in each message counts.
        """
        if self._run_count <= _MAX_COMPARED_RUNS:
            items = [
                f"{request} {replica}" for request, replica in self._list_runs()
            ]
        else:
            foremost, _ = self._rank_suspects(now_s)
            items = [
                _describe(request, suspect)
                for request, suspect in foremost.items()
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
                run = blame.Run(ended_s - item.lasted_s, ended_s)
                self._add_run(item.request, item.replica, run, now_s)
            elif not item.replica and item.age_s < _SUCCESS_RETENTION_S:
                self._add_success(item.request, ended_s)

    def _list_runs(self) -> Iterator[tuple[str, str]]:
        """Yields all runs, those of the requests with most crashes first."""
        for request, runs in sorted(
            self._runs_by_request.items(),
            key=lambda item: len(item[1]),
            reverse=True,
        ):
            for replica in runs:
                yield request, replica

    def _kept_from(self, told: int) -> int:
        return max(told, self.noticed - len(self._noticed))

    def _list_noticed(self, told: int) -> Iterator[tuple[str, str]]:
        """Returns the first noticed runs that another instance lacks."""
        skipped = self._kept_from(told) - (self.noticed - len(self._noticed))
        return itertools.islice(
            self._noticed, skipped, skipped + _MAX_TOLD_NOTICED
        )

    def _add_run(
        self, request: str, replica: str, run: blame.Run, now_s: float
    ) -> bool:
        """Adds a run; returns whether it was not known."""
        succeeded_s = self._succeeded_s_by_request.get(request, -math.inf)
        if run.ended_s <= succeeded_s:
            return False
        runs = self._runs_by_request.setdefault(request, {})
        if replica in runs:
            return False
        runs[replica] = run
        self._run_count += 1
        self._oldest_s = min(self._oldest_s, run.ended_s)
        self._is_changed = True
        if self._run_count > _MAX_RUNS:
            self._drop_excess(now_s)
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
        runs = self._runs_by_request.get(request, {})
        left = {
            replica: run
            for replica, run in runs.items()
            if run.ended_s > succeeded_s
        }
        if len(left) == len(runs):
            return
        if not left:
            self._log_forgotten(request, len(runs), "success")
        self._set_runs(request, left)
        self._is_changed = True
        judgement = self._judgement
        if judgement is not None and request in judgement.causes:
            self._judgement = dataclasses.replace(
                judgement, causes=judgement.causes - {request}
            )

    def _set_runs(self, request: str, runs: dict[str, blame.Run]) -> None:
        """Replaces the runs of a request by some of them."""
        known = self._runs_by_request.pop(request, {})
        self._run_count -= len(known) - len(runs)
        if runs:
            self._runs_by_request[request] = runs

    def _log_forgotten(self, request: str, crashes: int, reason: str) -> None:
        if crashes >= blame.MIN_CRASHES:
            _log.info(
                "crashes_forgotten",
                fingerprint=request,
                crashes=crashes,
                reason=reason,
            )

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - _SUCCESS_RETENTION_S
        self._succeeded_s_by_request = {
            request: succeeded_s
            for request, succeeded_s in self._succeeded_s_by_request.items()
            if succeeded_s > oldest_s
        }
        oldest_s = now_s - _RETENTION_S
        if self._oldest_s > oldest_s:
            return
        for request, runs in list(self._runs_by_request.items()):
            left = {
                replica: run
                for replica, run in runs.items()
                if run.ended_s > oldest_s
            }
            if len(left) < len(runs):
                self._set_runs(request, left)
        self._oldest_s = min(
            (
                run.ended_s
                for runs in self._runs_by_request.values()
                for run in runs.values()
            ),
            default=math.inf,
        )
        self._refused &= self._runs_by_request.keys()
        self._judgement = None

    def _judge(self, now_s: float) -> _Judgement:
        judgement = self._judgement
        if judgement is not None:
            due_s = judgement.judged_s + _JUDGEMENT_INTERVAL_S
            if not self._is_changed:
                due_s = max(due_s, judgement.until_s)
            if judgement.judged_s <= now_s < due_s:
                return judgement
        settled_s = now_s - _SETTLE_S
        until_s = min(
            (
                run.ended_s + _SETTLE_S
                for runs in self._runs_by_request.values()
                for run in runs.values()
                if run.ended_s > settled_s
            ),
            default=math.inf,
        )
        self._judgement = _Judgement(
            now_s,
            until_s,
            frozenset(blame.find_causes(self._runs_by_request, settled_s)),
        )
        self._is_changed = False
        return self._judgement

    def _assess(self, now_s: float) -> dict[str, _Suspect]:
        """Returns all requests, those that matter most first."""
        judgement = self._judge(now_s)
        if judgement is self._assessed:
            return self._suspects_by_request
        explained = {
            replica
            for request in judgement.causes
            for replica in self._runs_by_request.get(request, ())
        }
        self._foremost_by_replica = {
            replica: request
            for request, runs in sorted(
                self._runs_by_request.items(),
                key=lambda item: (len(item[1]), item[0]),
            )
            for replica in runs
        }
        suspects = {}
        for request, runs in self._runs_by_request.items():
            is_refused = request in judgement.causes
            if not is_refused:
                runs = {
                    replica: run
                    for replica, run in runs.items()
                    if replica not in explained
                }
            sequence = blame.select_sequence(runs)
            sequence = sequence[-blame.MAX_AMBIGUOUS_SEQUENCE :]
            evidence = dict.fromkeys((*sequence, *sorted(runs)))
            suspects[request] = _Suspect(
                is_refused,
                len(runs),
                len(sequence),
                max((run.ended_s for run in runs.values()), default=-math.inf),
                tuple(itertools.islice(evidence, _MAX_EVIDENCE)),
            )
        # All instances must rank alike, so the times are not considered.
        self._suspects_by_request = dict(
            sorted(
                suspects.items(),
                key=lambda item: (
                    not item[1].is_refused,
                    -item[1].sequence,
                    -len(item[1].evidence),
                    item[0],
                ),
            )
        )
        self._assessed = judgement
        return self._suspects_by_request

    def _rank_suspects(
        self, now_s: float
    ) -> tuple[dict[str, _Suspect], dict[str, _Suspect]]:
        """Returns the requests whose evidence comes first, and the others."""
        foremost: dict[str, _Suspect] = {}
        others: dict[str, _Suspect] = {}
        count = 0
        for request, suspect in self._assess(now_s).items():
            count += len(suspect.evidence)
            group = foremost if count <= _MAX_TOLD_EVIDENCE else others
            group[request] = suspect
        return foremost, others

    def _list_explanations(
        self, traces: Iterable[Trace]
    ) -> Iterator[tuple[str, str]]:
        """Yields the runs that may explain crashes."""
        for item in traces:
            request = self._foremost_by_replica.get(item.replica)
            if request is not None and request != item.request:
                yield request, item.replica

    def _list_refused(self, now_s: float) -> Iterator[tuple[str, str]]:
        """Yields all runs of the requests that are refused."""
        for request in sorted(self._judge(now_s).causes):
            for replica in self._runs_by_request.get(request, ()):
                yield request, replica

    def _list_evidence(
        self, suspects_by_request: Mapping[str, _Suspect]
    ) -> Iterator[tuple[str, str]]:
        """Yields the runs that are evidence against some requests.

        Each one is followed by what may explain it, the run of the request
        that most replicas ended under. Without it, a harmless request would
        seem to have ended the replica.
        """
        for request, suspect in suspects_by_request.items():
            for replica in suspect.evidence:
                yield request, replica
                yield self._foremost_by_replica[replica], replica

    def _drop_excess(self, now_s: float) -> None:
        """Forgets the crashes that matter least, because there are too many.

        First, only the evidence is kept, then the requests with the longest
        sequences of crashes, and of these the last ones.
        """
        self._forget_old(now_s)
        self._judgement = None
        suspects = self._assess(now_s)
        kept: dict[str, dict[str, blame.Run]] = {}
        for request, replica in self._list_evidence(suspects):
            run = self._runs_by_request[request][replica]
            kept.setdefault(request, {})[replica] = run
        for request in suspects:
            self._set_runs(request, kept.get(request, {}))
        for request in sorted(
            self._runs_by_request,
            key=lambda request: (
                suspects[request].is_refused,
                suspects[request].sequence,
                suspects[request].last_ended_s // _RECENT_S,
                suspects[request].crashes,
            ),
        ):
            if self._run_count <= _MAX_RUNS_AFTER_DROP:
                break
            if suspects[request].sequence > 1:
                crashes = self.count_crashes(request)
                self._log_forgotten(request, crashes, "memory_full")
            self._set_runs(request, {})
        self._judgement = None


def _describe(request: str, suspect: _Suspect) -> str:
    """Returns what instances that know the same of a request have in common.

    Which crashes are the evidence may differ once there are enough.
    """
    count = len(suspect.evidence)
    names = suspect.evidence if count < _MAX_EVIDENCE else ()
    facts = (suspect.is_refused, suspect.sequence, count)
    return " ".join((request, *map(str, facts), *names))
