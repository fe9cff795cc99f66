"""The story of a request from logs."""

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


class TestStory:
    """The request's lines and what its instance believed before."""

    def test_order_and_context(self):
        # Other collectors' prefixes and another order of files.
        texts = [f"  4.2 front-1 {line}\n" for line in reversed(_LINES)]
        found = [explain.parse(line) for line in explain.story("abc", texts)]
        assert [line.event for line in found] == [
            "routes_changed",
            "replica_removed",
            "request_ended",
        ]
        assert found[0].fields["version"] == "4"
        assert found[1].fields["replica"] == "r-1"

    def test_unknown_request_has_none(self):
        assert explain.story("nobody", _LINES) == []


class TestCommand:
    """`mallowloft explain` prints it."""

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
