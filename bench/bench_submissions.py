"""Submissions under faults: wrong answers, unknown outcomes, messages."""

import collections
from concurrent import futures
import sys

from bench import figures
from tests.support import repeats

_SEEDS = 20
_SUBMISSIONS = 60
# Faults of the instance that issued the key. Their results depend on whether
# callers declare the first send of a submission as such.
_ISSUER_FAULTS = ("kill", "restart", "freeze", "cut_instance")
_ZERO_BOUND = figures.Bound("==", 0)
_UNKNOWN_SHARE_BOUND = figures.Bound("<=", 0.01)
_KINDS_BY_ROW = {
    "double_runs": ("double run",),
    "false_not_run": ("false not-run",),
    "false_done": ("false done", "wrong reply"),
}


_Futures = list[futures.Future[repeats.Report]]


def _start(
    runs: repeats.Runs, faults: tuple[str, ...], **options: float
) -> _Futures:
    seeds_and_faults = [(seed, faults) for seed in range(_SEEDS)]
    return runs.start(seeds_and_faults, _SUBMISSIONS, **options)


def _reports(started_futures: _Futures) -> list[repeats.Report]:
    return [future.result() for future in started_futures]


def _unknown_share(reports: list[repeats.Report]) -> float:
    total = sum(report.submissions for report in reports)
    return sum(report.unknown for report in reports) / total


@figures.benchmarks.register("submissions")
def submissions() -> list[figures.Row]:
    """Returns wrong answers, shares of unknown outcomes and messages.

    A submission counts as unknown if its caller still has no known outcome
    after repeating it for `repeats.REPEAT_S`. In the row
    unknown_share_single_faults, the share covers all submissions of the runs
    with a single fault in which callers declare their first sends, as the
    callers' interface asks them to do.
    """
    with repeats.workers() as runs:
        started_futures = _start(runs, ())
        started_by_fault = {
            name: _start(runs, (name,), declared_share=1.0)
            for name in repeats.FAULTS
        }
        started_undeclared = {
            name: _start(runs, (name,), declared_share=0.0)
            for name in _ISSUER_FAULTS
        }
        without_faults = _reports(started_futures)
        by_fault = {
            name: _reports(started_futures)
            for name, started_futures in started_by_fault.items()
        }
        undeclared = {
            name: _reports(started_futures)
            for name, started_futures in started_undeclared.items()
        }
    rows = _wrong_answer_rows(
        without_faults, *by_fault.values(), *undeclared.values()
    )
    with_faults = [
        report for reports in by_fault.values() for report in reports
    ]
    rows.append(
        figures.Row(
            "unknown_share_single_faults",
            _unknown_share(with_faults),
            "share",
            _UNKNOWN_SHARE_BOUND,
        )
    )
    rows += [
        figures.Row(f"unknown_share.{name}", _unknown_share(reports), "share")
        for name, reports in by_fault.items()
    ]
    rows += [
        figures.Row(
            f"unknown_share_undeclared.{name}", _unknown_share(reports), "share"
        )
        for name, reports in undeclared.items()
    ]
    messages = sum(report.messages for report in without_faults)
    total = sum(report.submissions for report in without_faults)
    rows.append(
        figures.Row("messages_per_submission", messages / total, "messages")
    )
    return rows


def _wrong_answer_rows(*groups: list[repeats.Report]) -> list[figures.Row]:
    """Returns the rows of wrong answers over all runs."""
    counts_by_kind: collections.Counter[str] = collections.Counter()
    for reports in groups:
        for report in reports:
            counts_by_kind += report.violations
    unexpected = set(counts_by_kind) - {
        kind for kinds in _KINDS_BY_ROW.values() for kind in kinds
    }
    if unexpected:
        print(
            f"unexpected kinds of violation: {sorted(unexpected)}",
            file=sys.stderr,
        )
    return [
        figures.Row(
            name,
            sum(counts_by_kind[kind] for kind in kinds),
            "count",
            _ZERO_BOUND,
        )
        for name, kinds in _KINDS_BY_ROW.items()
    ]
