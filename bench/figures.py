"""Rows of the benchmark table and the registry of benchmarks."""

from collections.abc import Callable
import dataclasses
import operator

from mallowloft.kernel import registry

_COMPARISONS = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}


@dataclasses.dataclass(frozen=True)
class Bound:
    """A limit from a documented target, or a precondition of another row.

    It does not come from results of earlier runs.
    """

    comparison: str
    limit: float

    def holds(self, value: float) -> bool:
        """Returns whether a value is within the bound."""
        return _COMPARISONS[self.comparison](value, self.limit)

    def __str__(self) -> str:
        return f"{self.comparison} {self.limit:g}"


@dataclasses.dataclass(frozen=True)
class Row:
    """One figure; a row without a bound is a baseline or informational."""

    name: str
    value: float
    unit: str
    bound: Bound | None = None

    @property
    def verdict(self) -> str:
        """`ok` or `BROKEN`, or `-` for a row without a bound."""
        if self.bound is None:
            return "-"
        return "ok" if self.bound.holds(self.value) else "BROKEN"


# The benchmarks by name. Each is a function without arguments that returns
# rows.
benchmarks: registry.Registry[Callable[[], list[Row]]] = registry.Registry(
    "benchmark"
)
