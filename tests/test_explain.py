"""Selection of the log lines that explain a request."""

from mallowloft import cli
from mallowloft import explain

_LINES = [
    "timestamp=2026-12-03T10:00:00.000000Z level=info instance=i1"
    " event=routes_changed component=routes version=3",
    "timestamp=2026-12-03T10:00:01.000000Z level=info instance=i1"
    " event=routes_changed component=routes version=4",
    "timestamp=2026-12-03T10:00:02.000000Z level=info instance=i2"
    " event=reach_changed component=routes lost=d2 isolated=true",
    "timestamp=2026-12-03T10:00:03.000000Z level=info instance=i1"
    " event=replica_removed component=directory replica=r-1 reason=delisted",
    "timestamp=2026-12-03T10:00:03.100000Z level=info instance=i1"
    " event=replica_removed component=directory replica=r-9 reason=delisted",
    "timestamp=2026-12-03T10:00:04.000000Z level=info instance=i1"
    " event=request_ended component=routes request=abc outcome=replica_failed"
    " status=502 replicas=r-1,r-2 last=broken",
    "timestamp=2026-12-03T10:00:04.500000Z level=info instance=i1"
    " event=request_ended component=routes request=other outcome=answered",
    "Traceback (most recent call last):",
]


class TestRelevantLines:
    """The lines of the request and preceding events of its instance."""

    def test_order_and_context(self):
        # Lines have a prefix from a log collector and are not in order of time.
        texts = [f"  4.2 front-1 {line}\n" for line in reversed(_LINES)]
        lines = [
            explain.parse(line) for line in explain.relevant_lines("abc", texts)
        ]
        assert [line.event for line in lines] == [
            "routes_changed",
            "replica_removed",
            "request_ended",
        ]
        assert lines[0].fields["version"] == "4"
        assert lines[1].fields["replica"] == "r-1"

    def test_unknown_request_has_no_lines(self):
        assert explain.relevant_lines("nobody", _LINES) == []


class TestCommand:
    """`mallowloft explain` prints the selected lines."""

    def test_prints_the_lines(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(_LINES))
        assert cli.main(["explain", "abc", str(path)]) == 0
        assert "status=502" in capsys.readouterr().out

    def test_unknown_request_and_file(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(_LINES))
        assert cli.main(["explain", "nobody", str(path)]) == 1
        assert cli.main(["explain", "abc", str(tmp_path / "none")]) == 2
        assert "none" in capsys.readouterr().err
