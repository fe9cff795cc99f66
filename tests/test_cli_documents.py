"""The operations page names everything that operators meet."""

import dataclasses
import pathlib
import re

from mallowloft.kernel import settings as settings_lib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_METRIC = re.compile(
    r"\.(?:count|gauge|observe_ms|latency)\(\s*\"([a-z_]+)\"", re.DOTALL
)
_EVENT = re.compile(
    r"_log\.(?:debug|info|warning|error|exception)\(\s*\"([a-z_]+)\"",
    re.DOTALL,
)
_ROUTE = re.compile(r"\"(/(?:v1|livez|readyz|metrics)[a-z0-9/]*)")


def _named(pattern: re.Pattern, directory: str = "") -> set[str]:
    """Returns what the source names."""
    source = _ROOT / "src" / "mallowloft" / directory
    paths = [*source.rglob("*.py"), *(_ROOT / "platform").rglob("*.py")]
    texts = [path.read_text() for path in paths]
    return {name for text in texts for name in pattern.findall(text)}


def _missing(names: set[str]) -> set[str]:
    """Returns the names that the page does not have as a word."""
    page = (_ROOT / "docs" / "OPERATIONS.md").read_text()
    return {
        name
        for name in names
        if not re.search(rf"(?<![a-z_]){re.escape(name)}(?![a-z_])", page)
    }


class TestOperationsPage:
    """Guards against settings, metrics and events nobody can look up."""

    def test_settings(self):
        fields = dataclasses.fields(settings_lib.Settings)
        assert _missing({field.name for field in fields}) == set()

    def test_metrics(self):
        names = _named(_METRIC)
        assert "caller_queries" in names
        assert _missing(names) == set()

    def test_log_events(self):
        names = _named(_EVENT)
        assert "query_answered" in names
        assert _missing(names) == set()

    def test_endpoints(self):
        names = _named(_ROUTE, "callers")
        assert "/v1/keys" in names
        assert _missing(names) == set()
