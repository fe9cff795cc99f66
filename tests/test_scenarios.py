"""Runs all scenario files in `scenarios/` and tests the scenario language."""

import operator
import pathlib

import pytest

from tests.scenarios import checks
from tests.scenarios import language
from tests.scenarios import runner

_FOLDER = pathlib.Path(__file__).parent / "scenarios"
_COMPARISONS = {">=": operator.ge, "<=": operator.le, "==": operator.eq}


def _parse(text: str):
    return language.parse(
        text,
        tuple(runner.actions.by_name),
        tuple(checks.checks.by_name),
        tuple(checks.figures.by_name),
    )


class TestScenarios:
    """The record of each scenario fulfils its invariants and bounds."""

    @pytest.mark.parametrize(
        "path",
        sorted(_FOLDER.glob("*.scenario")),
        ids=lambda path: path.stem,
    )
    def test_invariants_hold(self, path: pathlib.Path):
        scenario = _parse(path.read_text()).unwrap()
        record = runner.run(scenario)
        violations = []
        for check in scenario.checks:
            found = checks.checks.by_name[check.name](record)
            violations += [f"{check.name}: {item}" for item in found[:3]]
        for expectation in scenario.expectations:
            value = checks.figures.by_name[expectation.figure](record)
            print(f"seed {scenario.seed}: {expectation.figure} {value:.4g}")
            if not _COMPARISONS[expectation.comparison](
                value, expectation.limit
            ):
                violations.append(
                    f"{expectation.figure} is {value:.4g},"
                    f" expected {expectation.comparison} {expectation.limit:g}"
                )
        assert not violations, "\n".join(
            [f"{path.name}, seed {scenario.seed}", *violations]
        )


class TestLanguage:
    """Errors in a scenario are reported with line and column."""

    def test_syntax_error_is_reported_with_its_position(self):
        findings = _parse("seed 1\nat soon kill i1\n").unwrap_err()
        assert str(findings) == "line 2, column 4: syntax error"

    def test_all_unknown_names_are_reported(self):
        text = (
            "seed 1\nat 1s explode i1\ncheck one-snapshot luck\n"
            "expect joy >= 1\n"
        )
        findings = _parse(text).unwrap_err()
        assert [item.place for item in findings] == [
            "line 2, column 7",
            "line 3, column 20",
            "line 4, column 8",
        ]
