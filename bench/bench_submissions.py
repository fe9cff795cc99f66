"""Submissions under faults: wrong answers, unknown outcomes, messages."""

import collections
from concurrent import futures
import sys

from bench import figures
from tests.support import repeats

_SEEDS = 20
_SUBMISSIONS = 60
# Faults of the issuer, for which the declaration of a first send matters.
_UNDECLARED = ("kill", "restart", "freeze", "cut_instance")
_NONE = figures.Bound("==", 0)
_UNKNOWN = figures.Bound("<=", 0.01)
_WRONG = {
    "double_runs": ("double run",),
    "false_not_run": ("false not-run",),
    "false_done": ("false done", "wrong reply"),
}


_Started = list[futures.Future[repeats.Report]]


def _start(
    runs: repeats.Runs, faults: tuple[str, ...], **options: float
) -> _Started:
    seeds_and_faults = [(seed, faults) for seed in range(_SEEDS)]
    return runs.start(seeds_and_faults, _SUBMISSIONS, **options)


def _reports(started: _Started) -> list[repeats.Report]:
    return [future.result() for future in started]


def _unknown_share(reports: list[repeats.Report]) -> float:
    total = sum(report.submissions for report in reports)
    return sum(report.unknown for report in reports) / total


@figures.benchmarks.register("submissions")
def submissions() -> list[figures.Row]:
    """Returns wrong answers, shares of unknown outcomes and messages.

    A submission counts as unknown when its caller, which repeats it for
    `repeats.REPEAT_S`, is left without a known outcome. The share is over all
    submissions of runs of which each has one fault. Callers of the bounded
    row declare their first sends, as the callers' interface asks them to.
    """
    with repeats.workers() as runs:
        started = _start(runs, ())
        started_by_fault = {
            name: _start(runs, (name,), declared_share=1.0)
            for name in repeats.FAULTS
        }
        started_undeclared = {
            name: _start(runs, (name,), declared_share=0.0)
            for name in _UNDECLARED
        }
        quiet = _reports(started)
        by_fault = {
            name: _reports(started)
            for name, started in started_by_fault.items()
        }
        undeclared = {
            name: _reports(started)
            for name, started in started_undeclared.items()
        }
    rows = _wrong(quiet, *by_fault.values(), *undeclared.values())
    every = [report for reports in by_fault.values() for report in reports]
    rows.append(
        figures.Row(
            "unknown_share_single_faults",
            _unknown_share(every),
            "share",
            _UNKNOWN,
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
    messages = sum(report.messages for report in quiet)
    total = sum(report.submissions for report in quiet)
    rows.append(
        figures.Row("messages_per_submission", messages / total, "messages")
    )
    return rows


def _wrong(*groups: list[repeats.Report]) -> list[figures.Row]:
    """Returns the rows of wrong answers over all runs."""
    found: collections.Counter[str] = collections.Counter()
    for reports in groups:
        for report in reports:
            found += report.breaches
    unexpected = set(found) - {
        kind for kinds in _WRONG.values() for kind in kinds
    }
    if unexpected:
        print(f"unexpected: {sorted(unexpected)}", file=sys.stderr)
    return [
        figures.Row(name, sum(found[kind] for kind in kinds), "count", _NONE)
        for name, kinds in _WRONG.items()
    ]
