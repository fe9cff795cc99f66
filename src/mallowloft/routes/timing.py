"""Times at which answers must leave this instance to meet an objective.

The objective of a route counts from the moment at which the caller starts to
connect until it has the answer. Gathered requests with short objectives leave
only a few replies' time for the parts: callers are milliseconds away and mostly
open a new connection, and a large answer takes milliseconds on a small link. If
a replica pauses or is slow, the answer is sent without its part at the last
moment that still meets the objective.
"""

import dataclasses

from mallowloft.kernel import quantile
from mallowloft.routes import model

# Tolerance for what is not measured, such as the caller's own processing. It is
# this time plus this share of the objective.
_MARGIN_S = 0.001
_MARGIN_SHARE = 0.02
# A longer round trip is attributed to congestion of the caller's connection,
# which must not use up the objective.
_MAX_ROUND_TRIP_SHARE = 0.2
# A link that needs longer for an answer cannot meet the objective, so parts are
# not given up for it.
_MAX_TRANSFER_SHARE = 0.2
# Quantile of the measured delays that the answers allow for.
_DELAY_QUANTILE = 0.9
# Assumed until delays have been measured.
_INITIAL_MERGE_MS = 1.5
_INITIAL_WRITE_MS = 1.0
# Longer measured delays would leave too little time for the parts.
_MAX_DELAY_SHARE = 0.1
# Estimate of the size of a gathered answer until one has been sent.
_HEAD_BYTES = 200
_SIGNATURE_BYTES = 30
_RECORD_BYTES = 16
_SIZE_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class CallerPath:
    """Network path of one request of a caller.

    Attributes:
        round_trip_s: Round-trip time of the caller's connection.
        reused: Whether the connection has carried an earlier request.
    """

    round_trip_s: float
    reused: bool

    @property
    def setup_s(self) -> float:
        """Time that the caller spent on opening a connection."""
        return 0.0 if self.reused else self.round_trip_s


class ResponseDelays:
    """Measured delays of this instance from a decision to the sent answer.

    They grow with the load of the processor, which instances share with other
    programs.
    """

    def __init__(self) -> None:
        self._merge = quantile.QuantileEstimator(
            _DELAY_QUANTILE, _INITIAL_MERGE_MS
        )
        self._write = quantile.QuantileEstimator(
            _DELAY_QUANTILE, _INITIAL_WRITE_MS
        )

    def record_merge(self, duration_s: float) -> None:
        """Records the time from a partial answer's due time to its merge."""
        self._merge.record(duration_s * 1000)

    def record_write(self, duration_s: float) -> None:
        """Records the time from a decided answer until it was written."""
        self._write.record(duration_s * 1000)

    def merge_s(self, objective_s: float) -> float:
        """Returns the time to reserve for merging a partial answer."""
        return min(
            self._merge.estimate_ms() / 1000, _MAX_DELAY_SHARE * objective_s
        )

    def write_s(self, objective_s: float) -> float:
        """Returns the time to reserve for writing an answer."""
        return min(
            self._write.estimate_ms() / 1000, _MAX_DELAY_SHARE * objective_s
        )

    def dump(self) -> dict[str, float]:
        """Returns the estimates in milliseconds."""
        return {
            "merge_ms": round(self._merge.estimate_ms(), 2),
            "write_ms": round(self._write.estimate_ms(), 2),
        }


class AnswerSize:
    """Estimate of the size of the gathered answers of one route."""

    def __init__(self, route: model.Route) -> None:
        self._max_transfer_s = _MAX_TRANSFER_SHARE * route.objective_s
        self.bytes = float(
            _HEAD_BYTES
            + _SIGNATURE_BYTES * len(route.shards)
            + _RECORD_BYTES * route.top_records
        )

    def record(self, answer: model.Answer) -> None:
        """Records the size of an answer that was sent."""
        size = _HEAD_BYTES + len(answer.body)
        size += sum(len(name) + len(value) for name, value in answer.headers)
        self.bytes += _SIZE_WEIGHT * (size - self.bytes)

    def transfer_s(self, link_mbps: float) -> float:
        """Returns the time that an answer occupies a link; 0 if unknown."""
        if not link_mbps:
            return 0.0
        return min(self.bytes * 8 / (link_mbps * 1e6), self._max_transfer_s)


def answer_by(
    objective_s: float,
    started_s: float,
    waited_s: float,
    round_trip_s: float,
    transfer_s: float,
    needed_s: float,
) -> float:
    """Returns the loop time by which an answer must be written.

    An answer that is written later misses the objective, which makes it worth
    a fraction of an answer in time, while a few missing parts cost little. If
    too little of the objective is left on arrival, the answer is late in any
    case, and the whole objective applies again.

    Args:
        objective_s: Latency objective of the route.
        started_s: Loop time at which the request arrived.
        waited_s: How long the caller had waited when it sent the request.
        round_trip_s: Round-trip time of the caller's connection.
        transfer_s: Time that the answer occupies this instance's link.
        needed_s: Time that the request needs at least.
    """
    round_trip_s = min(round_trip_s, _MAX_ROUND_TRIP_SHARE * objective_s)
    usable_s = (
        objective_s
        - round_trip_s
        - transfer_s
        - _MARGIN_S
        - _MARGIN_SHARE * objective_s
    )
    remaining_s = usable_s - waited_s
    return started_s + (remaining_s if remaining_s > needed_s else usable_s)
