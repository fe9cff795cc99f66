"""Limit of the requests that one instance runs at once for a team."""

from collections.abc import Iterator
import contextlib


class InFlight:
    """Requests in flight by team."""

    def __init__(self) -> None:
        self._count_by_team: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Number of requests in flight of all teams."""
        return sum(self._count_by_team.values())

    def dump(self) -> dict[str, int]:
        """Returns the number of requests in flight by team."""
        return dict(self._count_by_team)

    @contextlib.contextmanager
    def enter(self, team: str, limit: int) -> Iterator[bool]:
        """Counts a request while the context lasts.

        Args:
            team: Team of the request.
            limit: Requests that the team may have in flight.

        Yields:
            False if the limit is reached; the request is then not counted.
        """
        count = self._count_by_team.get(team, 0)
        if count >= limit:
            yield False
            return
        self._count_by_team[team] = count + 1
        try:
            yield True
        finally:
            self._leave(team)

    def _leave(self, team: str) -> None:
        remaining = self._count_by_team[team] - 1
        if remaining:
            self._count_by_team[team] = remaining
        else:
            del self._count_by_team[team]
