"""Invariant checks and figures, computed from the record of a scenario.

A check returns a description of each violation.
"""

from collections.abc import Callable

from mallowloft.kernel import registry
from mallowloft.submissions import model as submissions_model
from tests.scenarios import record as record_lib

_MAX_DRAIN_DELAY_S = 2.0
_MAX_PROPAGATION_S = 1.0
_MAX_PROPAGATION_WITH_FAULT_S = 3.0
# Callers and instances start their timers at different times, so an answer may
# arrive this long after the deadline.
_DEADLINE_TOLERANCE_S = 0.05

Check = Callable[[record_lib.Record], list[str]]
Figure = Callable[[record_lib.Record], float]

checks: registry.Registry[Check] = registry.Registry("invariant")
figures: registry.Registry[Figure] = registry.Registry("figure")


@checks.register("one-snapshot")
def _one_snapshot(record: record_lib.Record) -> list[str]:
    """All results of an answer come from its index version."""
    violations = []
    for query, answer in record.answers():
        for shard, result in answer.results.items():
            version = record_lib.parse_result(result)[2]
            if version != answer.index_version:
                violations.append(
                    f"{query.marker}: {shard} has version {version}, but the"
                    f" answer states {answer.index_version}"
                )
    return violations


@checks.register("true-coverage")
def _true_coverage(record: record_lib.Record) -> list[str]:
    """Covered and lacking shards match the version's shard map."""
    finished = {
        (event.replica, event.version, shard)
        for event in record.journal
        if event.kind == "query_finished"
        for shard in event.shards
    }
    violations = []
    for query, answer in record.answers():
        shard_map = record.shard_maps[answer.index_version]
        covered = set(answer.results)
        lacking = set(answer.lacking)
        if covered & lacking:
            violations.append(
                f"{query.marker}: shards both covered and lacking"
            )
        if covered | lacking != set(shard_map):
            violations.append(
                f"{query.marker}: shards differ from the shard map"
            )
        for shard, result in answer.results.items():
            replica, name, version, _ = record_lib.parse_result(result)
            if name != shard.name or replica not in shard_map.get(shard, ()):
                violations.append(
                    f"{query.marker}: {shard} has a result of another shard"
                    f" or from a wrong replica, {replica}"
                )
            if (replica, version, name) not in finished:
                violations.append(
                    f"{query.marker}: {shard} is covered, but was not finished"
                )
    return violations


@checks.register("own-answer")
def _own_answer(record: record_lib.Record) -> list[str]:
    """Callers receive only results of their own query."""
    violations = []
    for query, answer in record.answers():
        for result in answer.results.values():
            echo = record_lib.parse_result(result)[3]
            if echo.get("marker") != query.marker:
                violations.append(
                    f"{query.marker}: got a result of query {echo}"
                )
    return violations


@checks.register("at-most-once")
def _at_most_once(record: record_lib.Record) -> list[str]:
    """No submission is started twice, even if its caller used several keys."""
    return [
        f"{marker}: started {runs} times"
        for marker, runs in record.runs_by_marker().items()
        if runs > 1
    ]


@checks.register("true-refusals")
def _true_refusals(record: record_lib.Record) -> list[str]:
    """A submission reported as not run is never started, even later."""
    runs = record.runs_by_marker()
    return [
        f"{submission.marker}: reported as not run, but was started"
        for submission in record.submissions
        if isinstance(submission.outcome, submissions_model.NotRun)
        and runs.get(submission.marker, 0)
    ]


@checks.register("true-done")
def _true_done(record: record_lib.Record) -> list[str]:
    """A submission reported as done was started."""
    runs = record.runs_by_marker()
    return [
        f"{submission.marker}: reported as done, but was never started"
        for submission in record.submissions
        if isinstance(submission.outcome, submissions_model.Done)
        and not runs.get(submission.marker, 0)
    ]


@checks.register("leaving")
def _leaving(record: record_lib.Record) -> list[str]:
    """A draining replica gets no new work 2 s after it signals the drain."""
    violations = []
    for event in record.journal:
        drain_started_s = record.drain_started_s.get(event.replica)
        arrived = event.kind.endswith(("_started", "_refused"))
        if drain_started_s is None or not arrived:
            continue
        if event.time_s > drain_started_s + _MAX_DRAIN_DELAY_S:
            violations.append(
                f"{event.replica}: got work"
                f" {event.time_s - drain_started_s:.2f} s"
                " after it signalled the drain"
            )
    return violations


@checks.register("graceful-stop")
def _graceful_stop(record: record_lib.Record) -> list[str]:
    """A stopping instance answers all queries sent before the stop."""
    violations = []
    for query in record.queries:
        stop_started_s = record.stop_started_s.get(query.instance)
        if stop_started_s is None or query.sent_s >= stop_started_s:
            continue
        if query.answered_s is None:
            violations.append(
                f"{query.marker}: not answered by a stopping instance"
            )
    return violations


@checks.register("answered-in-time")
def _answered_in_time(record: record_lib.Record) -> list[str]:
    """Instances without faults answer all queries by the deadline."""
    violations = []
    for query in record.queries:
        if query.instance in record.faulty_instances | set(
            record.stop_started_s
        ):
            continue
        latest_s = query.deadline_s + _DEADLINE_TOLERANCE_S
        if query.answered_s is None or query.answered_s > latest_s:
            violations.append(f"{query.marker}: no answer by the deadline")
    return violations


@checks.register("configuration-never-reverts")
def _configuration_never_reverts(record: record_lib.Record) -> list[str]:
    """The revision of a subtree never decreases at an instance."""
    violations = []
    highest: dict[tuple[str, int, str], int] = {}
    for item in record.applied_revisions:
        key = (item.instance, item.incarnation, item.subtree)
        if item.revision < highest.get(key, 0):
            violations.append(
                f"{item.instance}: {item.subtree} reverted from {highest[key]}"
                f" to {item.revision}"
            )
        highest[key] = item.revision
    return violations


def _late_instances(record: record_lib.Record, limit_s: float) -> list[str]:
    violations = []
    for publication in record.publications:
        due_s = publication.at_s + limit_s
        if not publication.valid or due_s > record.ended_s:
            continue
        in_time = {
            item.instance
            for item in record.applied_revisions
            if item.subtree == publication.subtree
            and item.revision >= publication.revision
            and item.at_s <= due_s
        }
        healthy = record.instances - record.faulty_instances
        late = healthy - set(record.stop_started_s) - in_time
        if late:
            violations.append(
                f"revision {publication.revision} of {publication.subtree} is"
                f" not applied at {sorted(late)} after {limit_s:g} s"
            )
    return violations


@checks.register("configuration-within-1s")
def _configuration_within_1s(record: record_lib.Record) -> list[str]:
    """Instances without faults apply each change within 1 s."""
    return _late_instances(record, _MAX_PROPAGATION_S)


@checks.register("configuration-within-3s")
def _configuration_within_3s(record: record_lib.Record) -> list[str]:
    """Instances without faults apply each change within 3 s.

    The limit is for scenarios in which watchers of the configuration fail.
    """
    return _late_instances(record, _MAX_PROPAGATION_WITH_FAULT_S)


@checks.register("faulty-subtree-rejected")
def _faulty_subtree_rejected(record: record_lib.Record) -> list[str]:
    """No instance applies an invalid revision."""
    invalid = {
        (item.subtree, item.revision)
        for item in record.publications
        if not item.valid
    }
    return [
        f"{item.instance}: invalid revision {item.revision} of {item.subtree}"
        for item in record.applied_revisions
        if (item.subtree, item.revision) in invalid
    ]


def _coverages(queries: list[record_lib.QueryRecord]) -> list[float]:
    return [
        query.answer.coverage if query.answer is not None else 0.0
        for query in queries
    ]


@figures.register("coverage")
def _coverage(record: record_lib.Record) -> float:
    """Mean coverage of all queries to instances without faults."""
    coverages = _coverages(
        [
            query
            for query in record.queries
            if query.instance not in record.faulty_instances
        ]
    )
    return sum(coverages) / len(coverages)


@figures.register("coverage-at-end")
def _coverage_at_end(record: record_lib.Record) -> float:
    """Lowest coverage of the last ten queries to each instance."""
    lowest = 1.0
    stopped_or_dead = set(record.stop_started_s) | record.dead_instances
    for instance in record.instances - stopped_or_dead:
        last = [item for item in record.queries if item.instance == instance]
        lowest = min([lowest, *_coverages(last[-10:])])
    return lowest


@figures.register("unknown-share")
def _unknown_share(record: record_lib.Record) -> float:
    """Share of submissions with an outcome unknown to the caller."""
    unknown = sum(
        submission.outcome is None
        or isinstance(submission.outcome, submissions_model.Unknown)
        for submission in record.submissions
    )
    return unknown / len(record.submissions)


@figures.register("done-share")
def _done_share(record: record_lib.Record) -> float:
    """Share of submissions that were reported as done."""
    done = sum(
        isinstance(submission.outcome, submissions_model.Done)
        for submission in record.submissions
    )
    return done / len(record.submissions)


@figures.register("versions-answered")
def _versions_answered(record: record_lib.Record) -> float:
    """Number of different index versions in answers."""
    return len({answer.index_version for _, answer in record.answers()})


@figures.register("queries")
def _queries(record: record_lib.Record) -> float:
    """Number of queries."""
    return len(record.queries)
