"""Rows of the benchmark table and the registry of what produces them."""

from collections.abc import Callable
import dataclasses
import operator

from mallowloft.kernel import registry

_COMPARISONS = {"<=": operator.le, ">=": operator.ge, "==": operator.eq}


@dataclasses.dataclass(frozen=True)
class Bound:
    """A limit that comes from a stated target, never from a measurement."""

    comparison: str
    limit: float

    def holds(self, value: float) -> bool:
        """Whether a value keeps the bound."""
        return _COMPARISONS[self.comparison](value, self.limit)

    def __str__(self) -> str:
        return f"{self.comparison} {self.limit:g}"


@dataclasses.dataclass(frozen=True)
class Row:
    """One figure; rows without a bound are baselines or information."""

    name: str
    value: float
    unit: str
    bound: Bound | None = None

    @property
    def verdict(self) -> str:
        """`ok`, `BROKEN`, or `-` without a bound."""
        if self.bound is None:
            return "-"
        return "ok" if self.bound.holds(self.value) else "BROKEN"


# Functions without arguments that return rows, by name of the benchmark.
benchmarks: registry.Registry[Callable[[], list[Row]]] = registry.Registry(
    "benchmark"
)
