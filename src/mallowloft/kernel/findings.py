"""Faults that are collected with their place and reported together."""

from collections.abc import Iterator
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Only for annotations: it takes more memory than the rest of the kernel.
    import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault.

    Attributes:
        place: Where the fault is: a path, field or flag.
        message: What is wrong, for the person who has to mend it.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class Findings:
    """The faults found in one input."""

    def __init__(self) -> None:
        self._items: list[Finding] = []

    def __iter__(self) -> Iterator[Finding]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self._items)

    @property
    def ok(self) -> bool:
        """Whether nothing was found."""
        return not self._items

    def add(self, place: str, message: str) -> None:
        """Records one fault."""
        self._items.append(Finding(place, message))

    def add_validation_error(
        self, prefix: str, error: "pydantic.ValidationError"
    ) -> None:
        """Records every fault of a pydantic error.

        Args:
            prefix: Place of the validated value; the fault's own location is
                appended with dots.
            error: The error raised by pydantic.
        """
        for item in error.errors(include_url=False, include_input=False):
            location = ".".join(str(part) for part in item["loc"])
            place = f"{prefix}.{location}" if location else prefix
            self.add(place, item["msg"])

    def as_list(self) -> list[dict[str, str]]:
        """Returns the faults as JSON-ready objects."""
        return [dataclasses.asdict(item) for item in self._items]
