"""The operations page names all settings, metrics, events and endpoints."""

import dataclasses
import pathlib
import re

from mallowloft.kernel import settings as settings_lib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_METRIC_PATTERN = re.compile(
    r"\.(?:count|gauge|observe_ms|latency)\(\s*\"([a-z_]+)\"", re.DOTALL
)
_EVENT_PATTERN = re.compile(
    r"_log\.(?:debug|info|warning|error|exception)\(\s*\"([a-z_]+)\"",
    re.DOTALL,
)
_ENDPOINT_PATTERN = re.compile(r"\"(/(?:v1|livez|readyz|metrics)[a-z0-9/]*)")


def _names_in_source(pattern: re.Pattern, directory: str = "") -> set[str]:
    """Returns the names that a pattern finds in the source files."""
    source = _ROOT / "src" / "mallowloft" / directory
    paths = [*source.rglob("*.py"), *(_ROOT / "platform").rglob("*.py")]
    texts = [path.read_text() for path in paths]
    return {name for text in texts for name in pattern.findall(text)}


def _undocumented(names: set[str]) -> set[str]:
    """Returns the names that the page does not contain as whole words."""
    page = (_ROOT / "docs" / "OPERATIONS.md").read_text()
    return {
        name
        for name in names
        if not re.search(rf"(?<![a-z_]){re.escape(name)}(?![a-z_])", page)
    }


class TestOperationsPage:
    """Guards against names that operators cannot look up."""

    def test_settings(self):
        fields = dataclasses.fields(settings_lib.Settings)
        assert _undocumented({field.name for field in fields}) == set()

    def test_metrics(self):
        names = _names_in_source(_METRIC_PATTERN)
        assert "caller_queries" in names
        assert _undocumented(names) == set()

    def test_log_events(self):
        names = _names_in_source(_EVENT_PATTERN)
        assert "query_answered" in names
        assert _undocumented(names) == set()

    def test_endpoints(self):
        names = _names_in_source(_ENDPOINT_PATTERN, "callers")
        assert "/v1/keys" in names
        assert _undocumented(names) == set()
