"""Where callers lose answers, from the log lines of all instances.

Each `request_ended` line stands for `one_in` requests. The lines are grouped by
the time at which the requests ended.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime

from mallowloft import explain

_EVENT = "request_ended"
_ANSWERED = "answered"
_PARTLY = "answered_partly"
_BAR_WIDTH = 20
# Reasons that are listed for each window, the most frequent ones first.
_MAX_REASONS = 4


@dataclasses.dataclass
class Window:
    """The requests that ended in one window.

    Attributes:
        started: Start of the window.
        requests: Estimated number of requests.
        late: Answers that were decided after the time at which they had to
            leave to meet the objective.
        failed_by_outcome: Requests without an answer, by outcome.
        missing_by_reason: Parts that answers lack, by reason.
        hedges: Hedges of these requests.
        denied: Extra attempts that the allowance denied.
    """

    started: datetime.datetime
    requests: int = 0
    late: int = 0
    failed_by_outcome: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    missing_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    hedges: int = 0
    denied: int = 0

    @property
    def failed(self) -> int:
        """Estimated number of requests without an answer."""
        return self.failed_by_outcome.total()

    @property
    def missing(self) -> int:
        """Estimated number of missing parts."""
        return self.missing_by_reason.total()

    def add(self, fields: dict[str, str]) -> None:
        """Adds the requests for which a log line stands."""
        count = _integer(fields, "one_in") or 1
        outcome = fields.get("outcome", "")
        self.requests += count
        self.hedges += count * _integer(fields, "hedges")
        self.denied += count * _integer(fields, "denied")
        if outcome not in (_ANSWERED, _PARTLY):
            self.failed_by_outcome[outcome] += count
            return
        if _number(fields, "elapsed_ms") > _number(fields, "answer_by_ms"):
            self.late += count
        reasons = _reasons(fields)
        unknown = _integer(fields, "missing") - sum(reasons.values())
        if unknown > 0:
            # A hub gathered the answer; its own line has the reasons.
            reasons["at_hub"] = unknown
        for reason, number in reasons.items():
            self.missing_by_reason[reason] += count * number


def _number(fields: dict[str, str], name: str) -> float:
    try:
        return float(fields.get(name, ""))
    except ValueError:
        return 0.0


def _integer(fields: dict[str, str], name: str) -> int:
    return int(_number(fields, name))


def _reasons(fields: dict[str, str]) -> dict[str, int]:
    """Returns the numbers of missing parts by reason."""
    numbers: dict[str, int] = {}
    for item in fields.get("reasons", "").split(","):
        reason, _, number = item.rpartition(":")
        if reason and number.isdigit():
            numbers[reason] = int(number)
    return numbers


def windows(texts: Iterable[str], seconds: float) -> list[Window]:
    """Returns the windows in which requests ended, in order of time.

    Args:
        texts: Log lines of any number of instances.
        seconds: Length of a window.
    """
    found: dict[int, Window] = {}
    for line in map(explain.parse, texts):
        if line is None or line.event != _EVENT:
            continue
        number = int(line.time.timestamp() // seconds)
        window = found.get(number)
        if window is None:
            started = datetime.datetime.fromtimestamp(
                number * seconds, datetime.UTC
            )
            window = found[number] = Window(started)
        window.add(line.fields)
    return [found[number] for number in sorted(found)]


def _list_counts(counts: collections.Counter[str]) -> str:
    return " ".join(
        f"{name}:{count}" for name, count in counts.most_common(_MAX_REASONS)
    )


def table(rows: Iterable[Window]) -> Iterator[str]:
    """Yields the lines of a table with a bar of the undisturbed answers."""
    yield (
        f"{'time':12} {'requests':>8} {'late':>6} {'failed':>6} {'missing':>7}"
        f" {'hedges':>6} {'denied':>6} {'in time':{_BAR_WIDTH}} causes"
    )
    for row in rows:
        share = 1.0 - (row.late + row.failed) / max(1, row.requests)
        bar = "#" * round(_BAR_WIDTH * max(0.0, share))
        causes = " ".join(
            filter(
                None,
                (
                    _list_counts(row.failed_by_outcome),
                    _list_counts(row.missing_by_reason),
                ),
            )
        )
        yield (
            f"{row.started:%H:%M:%S.%f}"[:12] + f" {row.requests:8}"
            f" {row.late:6} {row.failed:6} {row.missing:7} {row.hedges:6}"
            f" {row.denied:6} {bar:{_BAR_WIDTH}} {causes}"
        )
