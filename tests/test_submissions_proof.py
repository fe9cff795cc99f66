"""Randomized tests that submissions run at most once under faults.

Callers retry submissions at other instances while instances are killed,
restarted, frozen, partitioned and stopped, and messages are lost, duplicated
and reordered. Every answer is compared with the journals of the upstreams.
"""

import collections
import itertools

import pytest

from mallowloft.kernel import logs
from tests.support import repeats

_SEEDS_PER_FAULT = 10
_SUBMISSIONS = 16
_PAIRS = list(itertools.combinations_with_replacement(repeats.FAULTS, 2))


@pytest.fixture(autouse=True)
def _quiet():
    logs.configure("critical", "test")


@pytest.fixture(scope="module", name="runs")
def _runs():
    with repeats.workers() as runs:
        yield runs


def _check(runs, seeds_and_faults) -> collections.Counter[str]:
    """Runs seeds with faults and returns the counts of outcomes."""
    outcomes: collections.Counter[str] = collections.Counter()
    seeds_and_faults = list(seeds_and_faults)
    started = runs.start(seeds_and_faults, _SUBMISSIONS)
    for (seed, faults), future in zip(seeds_and_faults, started, strict=True):
        report = future.result()
        assert not report.violations, (seed, faults, report.violations)
        outcomes += report.outcomes
    return outcomes


class TestAtMostOnce:
    """Guards against second runs and false answers."""

    @pytest.mark.parametrize("fault", repeats.FAULTS)
    def test_one_fault(self, runs, fault):
        outcomes = _check(
            runs, ((seed, (fault,)) for seed in range(_SEEDS_PER_FAULT))
        )
        # Without answers, the check for false answers would be meaningless.
        assert outcomes["Done"] > 0.8 * _SEEDS_PER_FAULT * _SUBMISSIONS

    @pytest.mark.parametrize("part", range(4))
    def test_two_faults(self, runs, part):
        pairs = _PAIRS[part::4]
        outcomes = _check(runs, enumerate(pairs, start=1000 * (part + 1)))
        assert outcomes["Done"] > 0.8 * len(pairs) * _SUBMISSIONS


class TestReproducibility:
    """Guards against failing seeds that cannot be reproduced."""

    def test_same_seed_gives_the_same_report(self):
        first, second = (repeats.run(7, ("freeze", "loss")) for _ in range(2))
        assert first == second
