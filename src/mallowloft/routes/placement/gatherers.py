"""Chooses gatherers by the load that they report.

A gatherer that admits no more requests refuses them before it has sent any
attempt. Its sender asks one other gatherer and then passes the refusal on: more
attempts would only add to the overload.
"""

from collections.abc import Sequence
import random

import msgspec

from mallowloft.routes import directory as directory_lib
from mallowloft.routes import message_types
from mallowloft.routes import model

OVERLOADED = "overloaded"
_STATUS_REFUSED = 503
# The load of a gatherer changes within about the duration of some requests.
_MAX_REPORT_AGE_S = 1.0
# Assumed utilization of a gatherer without a recent report: better than one
# that is known to be busy, worse than one that is known to have room.
_UNKNOWN_UTILIZATION = 0.5


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a gatherer.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests that wait to be admitted.
        limit: Number of requests that it runs at most; 0 if it has no limit.
    """

    running: message_types.Count = 0
    waiting: message_types.Count = 0
    limit: message_types.Count = 0


NO_LOAD = Load()


class LoadReports:
    """The loads that gatherers last reported to this instance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Utilization and the loop time of its report, by instance.
        self._reports_by_id: dict[str, tuple[float, float]] = {}

    def record(self, instance: str, load: Load, now_s: float) -> None:
        """Records the load that a gatherer stated in a reply."""
        self._reports_by_id = {
            known: report
            for known, report in self._reports_by_id.items()
            if now_s - report[1] < _MAX_REPORT_AGE_S
        }
        if load.limit:
            utilization = (load.running + load.waiting) / load.limit
            self._reports_by_id[instance] = (utilization, now_s)

    def utilization(self, instance: str, now_s: float) -> float | None:
        """Returns running and waiting requests per limit, None if unknown."""
        utilization, reported_s = self._reports_by_id.get(
            instance, (0.0, -_MAX_REPORT_AGE_S)
        )
        if now_s - reported_s >= _MAX_REPORT_AGE_S:
            return None
        return utilization

    def better_of_two(
        self, entries: Sequence[directory_lib.ReplicaEntry], now_s: float
    ) -> directory_lib.ReplicaEntry | None:
        """Returns the less loaded of two random gatherers.

        If all senders chose the least loaded one of all, it would get all
        requests until the next reports.

        Args:
            entries: Gatherers that may be asked.
            now_s: Current loop time.

        Returns:
            None if the loads of both are unknown.
        """
        if not self._reports_by_id or not entries:
            return None
        sampled = self._rng.sample(entries, min(2, len(entries)))
        known = [self.utilization(entry.replica.id, now_s) for entry in sampled]
        if all(utilization is None for utilization in known):
            return None
        return min(
            zip(known, sampled, strict=True),
            key=lambda item: (
                _UNKNOWN_UTILIZATION if item[0] is None else item[0]
            ),
        )[1]

    def dump(self, now_s: float) -> dict[str, float]:
        """Returns the known utilizations by instance."""
        return {
            instance: round(utilization, 3)
            for instance in self._reports_by_id
            if (utilization := self.utilization(instance, now_s)) is not None
        }


class OverloadRefusal:
    """What gatherers that are overloaded answered to one request.

    Attributes:
        answer: The last refusal, None if there is none.
    """

    def __init__(self) -> None:
        self.answer: model.Answer | None = None
        self._asked_other = False

    def record(self, answer: model.Answer) -> bool:
        """Records an answer; returns whether it refuses as overloaded."""
        if answer.status != _STATUS_REFUSED or answer.reason != OVERLOADED:
            return False
        self.answer = answer
        return True

    def take_other(self) -> bool:
        """Whether another gatherer may be asked after the refusal, once."""
        allowed = not self._asked_other
        self._asked_other = True
        return allowed
