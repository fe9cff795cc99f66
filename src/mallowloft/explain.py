"""Selection of the log lines, from all instances, that explain a request."""

from collections.abc import Iterable
import dataclasses
import datetime
import re

# Events that can explain how an instance handled a request. For each instance,
# event and replica, the newest line within `_CONTEXT_WINDOW_S` before any log
# line of the request is included.
_CONTEXT_EVENTS = frozenset(
    (
        "domain_evacuated",
        "domain_returned",
        "domain_returns",
        "fleet_changed",
        "history_lost",
        "instance_started",
        "instance_stopping",
        "process_was_paused",
        "reach_changed",
        "replica_draining",
        "replica_leaving",
        "replica_listed",
        "replica_misdirected",
        "replica_paused",
        "replica_removed",
        "replica_returned",
        "replica_superseded",
        "routes_changed",
        "settings_reloaded",
        "source_lost",
        "source_regained",
        "source_went_back",
    )
)
# Events of a replica are included only if its id occurs in the `replicas` or
# `lacking` field of a log line of the request, also as part of a longer id.
_REPLICA_EVENTS = frozenset(
    event for event in _CONTEXT_EVENTS if event.startswith("replica_")
)
_CONTEXT_WINDOW_S = 30.0
_FIELD_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A parsed log line."""

    text: str
    fields: dict[str, str]

    @property
    def instance(self) -> str:
        """Id of the instance that wrote the line."""
        return self.fields.get("instance", "")

    @property
    def event(self) -> str:
        """Name of the logged event."""
        return self.fields.get("event", "")

    @property
    def time(self) -> datetime.datetime:
        """Time at which the line was written."""
        return datetime.datetime.fromisoformat(self.fields["timestamp"])


def parse(text: str) -> Line | None:
    """Parses a log line; returns None for any other text.

    Text before the timestamp, such as a prefix from a log collector, is
    ignored.
    """
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {
        name: value.strip('"')
        for name, value in _FIELD_PATTERN.findall(text[start:])
    }
    line = Line(text[start:].rstrip("\n"), fields)
    try:
        _ = line.time
    except ValueError:
        return None
    return line


def _is_context(line: Line, request_line: Line) -> bool:
    if (
        line.instance != request_line.instance
        or line.event not in _CONTEXT_EVENTS
    ):
        return False
    if line.event in _REPLICA_EVENTS:
        named = request_line.fields.get(
            "replicas", ""
        ) + request_line.fields.get("lacking", "")
        if line.fields.get("replica", "-") not in named:
            return False
    age_s = (request_line.time - line.time).total_seconds()
    return 0 <= age_s <= _CONTEXT_WINDOW_S


def relevant_lines(request_id: str, texts: Iterable[str]) -> list[str]:
    """Returns the log lines that explain a request, in chronological order.

    These are the lines of the request and, for each instance that logged it,
    the newest line of each context event and replica within 30 seconds before
    one of those lines.

    Args:
        request_id: Id of the request.
        texts: Log lines of any number of instances.
    """
    lines = [line for line in map(parse, texts) if line is not None]
    request_lines = [
        line for line in lines if line.fields.get("request") == request_id
    ]
    context: dict[tuple[str, str, str], Line] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if any(
            _is_context(line, request_line) for request_line in request_lines
        ):
            replica = line.fields.get("replica", "")
            context[(line.instance, line.event, replica)] = line
    selected = [*request_lines, *context.values()] if request_lines else []
    return [line.text for line in sorted(selected, key=lambda line: line.time)]
