"""The scenario language: grammar and parser.

A scenario sets up a cluster, schedules actions, and names the invariants and
bounds that are checked in the record of the run:

    seed 7
    instances i1@d1 i2@d1 i3@d2
    services checker 4 replicas 2 shards 2
    team hunters paying
    at 0s queries hunters all rate 50 for 4s deadline 400ms
    at 1s kill i3
    check one-snapshot true-coverage
    expect coverage >= 0.99
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

import lark
import result

from mallowloft.kernel import findings as findings_lib

_GRAMMAR = r"""
start: (_NL | line)*
line: (seed | instances | services | team | action | check | expect) _NL

seed: "seed" INT
instances: "instances" member+
member: NAME "@" NAME
services: "services" NAME INT "replicas" INT "shards" INT
team: "team" NAME NAME
action: "at" time NAME argument*
check: "check" NAME+
expect: "expect" NAME COMPARISON NUMBER

?argument: option | value
option: (RATE time_or_number) | (FOR time) | (DEADLINE time) | (REPEAT INT)
?time_or_number: NUMBER -> number
?value: time | NAME -> name | NUMBER -> number
time: TIME

RATE.3: "rate"
FOR.3: "for"
DEADLINE.3: "deadline"
REPEAT.3: "repeat"
COMPARISON: ">=" | "<=" | "=="
TIME.4: /[0-9]+(\.[0-9]+)?(ms|s)(?![A-Za-z0-9_.-])/
NUMBER.2: /[0-9]+(\.[0-9]+)?(?![A-Za-z0-9_.-])/
INT.2: /[0-9]+(?![A-Za-z0-9_.-])/
NAME: /[A-Za-z][A-Za-z0-9_.-]*/
COMMENT: /#[^\n]*/
_NL: /(\r?\n[ \t]*)+/

%ignore /[ \t]+/
%ignore COMMENT
"""

_parser = lark.Lark(_GRAMMAR, parser="earley", propagate_positions=True)


@dataclasses.dataclass(frozen=True)
class Action:
    """A scheduled action.

    Attributes:
        place: Line and column, for error messages.
        at_s: Time in seconds since the start of the scenario.
        name: Name of the action.
        names: Positional arguments that are names.
        numbers: Positional arguments that are numbers or times in seconds.
        options: Values by option; times are in seconds.
    """

    place: str
    at_s: float
    name: str
    names: tuple[str, ...]
    numbers: tuple[float, ...]
    options: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Services:
    """A number of services with the same number of replicas and shards."""

    name: str
    count: int
    replicas: int
    shards: int

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the services, numbered from 1."""
        return tuple(
            f"{self.name}-{number}" for number in range(1, self.count + 1)
        )


@dataclasses.dataclass(frozen=True)
class Expectation:
    """A bound on a figure of the record."""

    place: str
    figure: str
    comparison: str
    limit: float


@dataclasses.dataclass(frozen=True)
class Check:
    """An invariant that is checked in the record."""

    place: str
    name: str


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A parsed scenario."""

    seed: int
    domains_by_instance: dict[str, str]
    services: tuple[Services, ...]
    priorities_by_team: dict[str, str]
    actions: tuple[Action, ...]
    checks: tuple[Check, ...]
    expectations: tuple[Expectation, ...]


def _place_of(token: lark.Token) -> str:
    return f"line {token.line}, column {token.column}"


def _parse_seconds(token: lark.Token) -> float:
    if token.endswith("ms"):
        return float(token[:-2]) / 1000
    return float(token[:-1])


class _Builder(lark.visitors.Interpreter):
    """Collects the parts of a scenario from the parse tree."""

    def __init__(self) -> None:
        super().__init__()
        self.seed_value = 1
        self.domains_by_instance: dict[str, str] = {}
        self.services_list: list[Services] = []
        self.priorities_by_team: dict[str, str] = {}
        self.actions: list[Action] = []
        self.checks: list[Check] = []
        self.expectations: list[Expectation] = []

    def seed(self, tree: lark.Tree) -> None:
        self.seed_value = int(tree.children[0])

    def member(self, tree: lark.Tree) -> None:
        instance, domain = tree.children
        self.domains_by_instance[str(instance)] = str(domain)

    def services(self, tree: lark.Tree) -> None:
        name, count, replicas, shards = tree.children
        self.services_list.append(
            Services(str(name), int(count), int(replicas), int(shards))
        )

    def team(self, tree: lark.Tree) -> None:
        name, priority = tree.children
        self.priorities_by_team[str(name)] = str(priority)

    def check(self, tree: lark.Tree) -> None:
        for token in tree.children:
            self.checks.append(Check(_place_of(token), str(token)))

    def expect(self, tree: lark.Tree) -> None:
        figure, comparison, limit = tree.children
        self.expectations.append(
            Expectation(
                _place_of(figure), str(figure), str(comparison), float(limit)
            )
        )

    def action(self, tree: lark.Tree) -> None:
        time, name, *arguments = tree.children
        names: list[str] = []
        numbers: list[float] = []
        options: dict[str, float] = {}
        for argument in arguments:
            if argument.data == "option":
                key, value = argument.children
                options[str(key)] = self._parse_number(value)
            elif argument.data == "name":
                names.append(str(argument.children[0]))
            else:
                numbers.append(self._parse_number(argument))
        self.actions.append(
            Action(
                _place_of(name),
                _parse_seconds(time.children[0]),
                str(name),
                tuple(names),
                tuple(numbers),
                options,
            )
        )

    @staticmethod
    def _parse_number(value: Any) -> float:
        if isinstance(value, lark.Tree):
            token = value.children[0]
            if value.data == "time":
                return _parse_seconds(token)
            return float(token)
        return float(value)


def parse(
    text: str,
    action_names: Sequence[str],
    check_names: Sequence[str],
    figure_names: Sequence[str],
) -> result.Result[Scenario, findings_lib.Findings]:
    """Parses a scenario.

    Args:
        text: Text of the scenario.
        action_names: Names of the supported actions.
        check_names: Names of the supported checks.
        figure_names: Names of the supported figures.

    Returns:
        The scenario, or all errors with their line and column.
    """
    findings = findings_lib.Findings()
    try:
        tree = _parser.parse(text.rstrip() + "\n")
    except lark.exceptions.UnexpectedInput as error:
        findings.add(
            f"line {error.line}, column {error.column}", "syntax error"
        )
        return result.Err(findings)
    builder = _Builder()
    builder.visit(tree)
    supported = (
        ("action", builder.actions, lambda item: item.name, action_names),
        ("invariant", builder.checks, lambda item: item.name, check_names),
        (
            "figure",
            builder.expectations,
            lambda item: item.figure,
            figure_names,
        ),
    )
    for kind, items, name_of, names in supported:
        for item in items:
            if name_of(item) not in names:
                findings.add(item.place, f"unknown {kind} {name_of(item)!r}")
    if not findings.ok:
        return result.Err(findings)
    return result.Ok(
        Scenario(
            builder.seed_value,
            builder.domains_by_instance,
            tuple(builder.services_list),
            builder.priorities_by_team,
            tuple(sorted(builder.actions, key=lambda item: item.at_s)),
            tuple(builder.checks),
            tuple(builder.expectations),
        )
    )
