"""Plug-in that runs non-idempotent requests at most once."""

from typing import Any

from mallowloft.kernel import lifecycle
from mallowloft.kernel import registry
from mallowloft.submissions import model


@registry.plugins.register("submissions")
class SubmissionService:
    """Issues idempotency keys and runs each at most once."""

    requires = ("peers", "configuration", "membership", "dispatch")

    def __init__(self, kernel: lifecycle.Kernel) -> None:
        self._kernel = kernel

    async def start(self) -> None:
        """Registers message handlers."""

    async def stop(self, grace_s: float) -> None:
        """Finishes submissions in flight."""
        del grace_s

    def ready(self) -> bool:
        """Always ready."""
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the number of records by state."""
        return {}

    def issue(self, team: str, count: int) -> list[str]:
        """Returns new keys for a team."""
        raise NotImplementedError

    async def submit(self, submission: model.Submission) -> model.Outcome:
        """Runs a submission, or returns the outcome it already has."""
        raise NotImplementedError
