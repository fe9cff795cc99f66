"""Limit on the number of requests that a team has in flight."""

from collections.abc import Iterator
import contextlib


class InFlightLimiter:
    """Counts the requests in flight of each team in this instance."""

    def __init__(self) -> None:
        self._count_by_team: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Total number of requests in flight."""
        return sum(self._count_by_team.values())

    def dump(self) -> dict[str, int]:
        """Returns the number of requests in flight by team."""
        return dict(self._count_by_team)

    @contextlib.contextmanager
    def admit(self, team: str, limit: int) -> Iterator[bool]:
        """Counts a request as in flight while the context is active.

        Args:
            team: Team of the request.
            limit: Maximum number of requests in flight of the team.

        Yields:
            True if the request is admitted; False if the team is at its limit,
            and the request is not counted.
        """
        count = self._count_by_team.get(team, 0)
        if count >= limit:
            yield False
            return
        self._count_by_team[team] = count + 1
        try:
            yield True
        finally:
            self._release(team)

    def _release(self, team: str) -> None:
        remaining = self._count_by_team[team] - 1
        if remaining:
            self._count_by_team[team] = remaining
        else:
            del self._count_by_team[team]
