"""Scenarios with faults; every file beside this one in `scenarios/`."""

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
    """The invariants hold over what each scenario records."""

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
        for bound in scenario.expectations:
            value = checks.figures.by_name[bound.figure](record)
            print(f"seed {scenario.seed}: {bound.figure} {value:.4g}")
            if not _COMPARISONS[bound.comparison](value, bound.limit):
                violations.append(
                    f"{bound.figure} is {value:.4g},"
                    f" expected {bound.comparison} {bound.limit:g}"
                )
        assert not violations, "\n".join(
            [f"{path.name}, seed {scenario.seed}", *violations]
        )


class TestLanguage:
    """A faulty scenario is reported with its line and column."""

    def test_syntax_error_has_its_place(self):
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
