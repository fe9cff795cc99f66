"""Decides whether a request may be written to its replica.

A request may wait for a connection after its replica was chosen. Meanwhile the
replica may drain, leave, ask for a pause or state a rate limit, its failure
domain may be evacuated, and the deadline may pass. The same check therefore
applies when the request is written, on every path to a replica. A request that
may not be written ends as unsent, and its sender chooses again.
"""

from collections.abc import Callable
import math

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import rate_limits
from mallowloft.routes.cold import limit as cold_limit


class _Permit:
    """A permit that was taken from a limit, if there is one.

    Its limit no longer grants it once it has lapsed or the rate has fallen.
    """

    __slots__ = ("_generation", "_limit", "_taken_s", "_valid_s")

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        self._limit: object = None
        self._generation = 0
        self._taken_s = -math.inf

    def is_valid(
        self, limit: rate_limits.RateLimit | cold_limit.ColdLimit, now_s: float
    ) -> bool:
        return (
            self._limit is limit
            and self._generation == limit.generation
            and now_s - self._taken_s <= self._valid_s
        )

    def take(
        self, limit: rate_limits.RateLimit | cold_limit.ColdLimit, now_s: float
    ) -> None:
        limit.take(now_s)
        self._limit = limit
        self._generation = limit.generation
        self._taken_s = now_s


class SendCheck:
    """Whether one request may be written to one replica.

    The caller passes the current loop time in seconds.
    """

    __slots__ = (
        "_allows",
        "_cold_permit",
        "_end_s",
        "_entry",
        "_limit_permit",
        "_takes_permits",
        "_was_leaving",
    )

    def __init__(
        self,
        entry: directory_lib.ReplicaEntry,
        end_s: float,
        allows: Callable[[directory_lib.ReplicaEntry], bool] | None = None,
        takes_permits: bool = True,
    ) -> None:
        """Creates the check of a request for which a replica was chosen.

        Args:
            entry: The replica.
            end_s: Loop time after which no reply is needed.
            allows: Whether the request's route allows the replica; None if it
                allows every one.
            takes_permits: Whether the request takes permits of a replica with
                a rate limit; otherwise it may not be sent to such a replica.
        """
        self._entry = entry
        self._end_s = end_s
        self._allows = allows
        self._takes_permits = takes_permits
        # A replica that leaves is chosen only if no other one can serve.
        self._was_leaving = entry.signals.leaving
        self._cold_permit = _Permit(cold_limit.MAX_WAIT_S)
        self._limit_permit = _Permit(rate_limits.LAPSE_S)

    def may_send(self, now_s: float) -> bool:
        """Whether the request may be written now.

        Permits that it needs and does not hold are taken.
        """
        entry = self._entry
        if now_s >= self._end_s or not entry.accepts(now_s):
            return False
        if entry.signals.leaving and not self._was_leaving:
            return False
        if self._allows is not None and not self._allows(entry):
            return False
        return self._hold_permits(now_s)

    def _hold_permits(self, now_s: float) -> bool:
        """Takes the permits that the request lacks, or none of them."""
        signals = self._entry.signals
        needed = []
        if signals.limited_while_cold(now_s):
            needed.append((self._cold_permit, signals.cold))
        if signals.limit is not None:
            needed.append((self._limit_permit, signals.limit))
        if needed and not self._takes_permits:
            return False
        lacking = [
            (permit, limit)
            for permit, limit in needed
            if not permit.is_valid(limit, now_s)
        ]
        if any(limit.wait_s(now_s) for _, limit in lacking):
            return False
        for permit, limit in lacking:
            permit.take(limit, now_s)
        return True
