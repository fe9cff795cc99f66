"""Errors in an input, collected with their place and reported together."""

from collections.abc import Iterator
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Imported only for annotations, because pydantic takes more memory than the
    # rest of the kernel.
    import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in an input.

    Attributes:
        place: Path, field or flag that has the error.
        message: Description of the error for the person who corrects it.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class Findings:
    """The errors found in one input."""

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
        """Whether no error was found."""
        return not self._items

    def add(self, place: str, message: str) -> None:
        """Adds an error."""
        self._items.append(Finding(place, message))

    def add_validation_error(
        self, prefix: str, error: "pydantic.ValidationError"
    ) -> None:
        """Adds every error that pydantic reports.

        Args:
            prefix: Place of the validated value. The location of each error
                within this value is appended, separated by dots.
            error: The error raised by pydantic.
        """
        for item in error.errors(include_url=False, include_input=False):
            location = ".".join(str(part) for part in item["loc"])
            place = f"{prefix}.{location}" if location else prefix
            self.add(place, item["msg"])

    def as_list(self) -> list[dict[str, str]]:
        """Returns the errors as dictionaries for encoding as JSON."""
        return [dataclasses.asdict(item) for item in self._items]
