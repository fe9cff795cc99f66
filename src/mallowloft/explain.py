"""The story of one request, from the logs of all instances."""

from collections.abc import Iterable
import dataclasses
import datetime
import re

# Events that change what an instance believes; the newest of each kind before
# the request are part of its story.
_CONTEXT_EVENTS = frozenset(
    (
        "fleet_changed",
        "history_lost",
        "instance_started",
        "instance_stopping",
        "process_was_paused",
        "reach_changed",
        "replica_draining",
        "replica_listed",
        "replica_misdirected",
        "replica_removed",
        "routes_changed",
        "settings_reloaded",
        "source_lost",
        "source_regained",
    )
)
# Those of replicas belong to the story only if the request names the replica.
_REPLICA_EVENTS = frozenset(
    event for event in _CONTEXT_EVENTS if event.startswith("replica_")
)
_CONTEXT_S = 30.0
_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log."""

    text: str
    fields: dict[str, str]

    @property
    def instance(self) -> str:
        """The instance that wrote it."""
        return self.fields.get("instance", "")

    @property
    def event(self) -> str:
        """Its event."""
        return self.fields.get("event", "")

    @property
    def time(self) -> datetime.datetime:
        """When it was written."""
        return datetime.datetime.fromisoformat(self.fields["timestamp"])


def parse(text: str) -> Line | None:
    """Returns a log line, None for other text.

    What stands before the timestamp, as log collectors add it, is passed over.
    """
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {
        name: value.strip('"') for name, value in _FIELD.findall(text[start:])
    }
    line = Line(text[start:].rstrip("\n"), fields)
    try:
        _ = line.time
    except ValueError:
        return None
    return line


def _is_context(line: Line, subject: Line) -> bool:
    if line.instance != subject.instance or line.event not in _CONTEXT_EVENTS:
        return False
    if line.event in _REPLICA_EVENTS:
        named = subject.fields.get("replicas", "") + subject.fields.get(
            "lacking", ""
        )
        if line.fields.get("replica", "-") not in named:
            return False
    age_s = (subject.time - line.time).total_seconds()
    return 0 <= age_s <= _CONTEXT_S


def story(request: str, texts: Iterable[str]) -> list[str]:
    """Returns the lines that explain a request, in order of time.

    Args:
        request: Id of the request.
        texts: Lines of the logs of any number of instances.
    """
    lines = [line for line in map(parse, texts) if line is not None]
    subjects = [line for line in lines if line.fields.get("request") == request]
    context: dict[tuple[str, str, str], Line] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if any(_is_context(line, subject) for subject in subjects):
            replica = line.fields.get("replica", "")
            context[(line.instance, line.event, replica)] = line
    chosen = [*subjects, *context.values()] if subjects else []
    return [line.text for line in sorted(chosen, key=lambda line: line.time)]
