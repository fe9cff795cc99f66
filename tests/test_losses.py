"""The table of lost answers and parts, from log lines."""

from mallowloft import cli
from mallowloft import losses

_LINE = (
    "timestamp=2026-12-03T10:00:{seconds}Z level=info instance=i1"
    " event=request_ended component=routes request=r outcome={outcome}"
    " status=200 one_in={one_in} elapsed_ms={elapsed_ms} missing={missing}"
    " answer_by_ms=60.0 hedges=2 denied=1 reasons={reasons}"
)


def _line(seconds: str, outcome: str, **fields: object) -> str:
    values = {
        "one_in": 1,
        "elapsed_ms": 40.0,
        "missing": 0,
        "reasons": "",
        **fields,
    }
    return _LINE.format(seconds=seconds, outcome=outcome, **values)


class TestWindows:
    """Each line counts for the requests that it stands for."""

    def test_requests_and_reasons_by_time(self):
        first, second = losses.windows(
            [
                _line("03.500000", "no_replica"),
                _line("00.100000", "answered", one_in=50),
                _line(
                    "01.900000",
                    "answered_partly",
                    one_in=5,
                    elapsed_ms=61.0,
                    missing=4,
                    reasons="late_1:2,broken:1",
                ),
                "Traceback (most recent call last):",
            ],
            2.0,
        )
        assert (first.requests, first.late, first.failed) == (55, 5, 0)
        assert first.missing_by_reason == {
            "late_1": 10,
            "broken": 5,
            "at_hub": 5,
        }
        assert (first.hedges, first.denied) == (110, 55)
        assert (second.requests, second.failed) == (1, 1)
        assert second.failed_by_outcome == {"no_replica": 1}
        assert (second.started - first.started).total_seconds() == 2.0

    def test_lines_of_hubs_are_not_counted_again(self):
        line = _line("00.100000", "answered").replace(
            "event=request_ended", "event=hub_request_ended"
        )
        assert losses.windows([line], 2.0) == []


class TestCommand:
    """`mallowloft losses` prints the table."""

    def test_prints_a_line_for_each_window(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text(
            "\n".join(
                [
                    _line("00.100000", "answered"),
                    _line("02.100000", "parts_late"),
                ]
            )
        )
        assert cli.main(["losses", str(path)]) == 0
        head, first, second = capsys.readouterr().out.splitlines()
        assert head.split()[:3] == ["time", "requests", "late"]
        assert "#" * 20 in first
        assert "#" not in second
        assert "parts_late:1" in second

    def test_no_requests_and_faulty_arguments(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("nothing\n")
        assert cli.main(["losses", str(path)]) == 1
        assert cli.main(["losses", str(tmp_path / "none")]) == 2
        assert cli.main(["losses", "--window", "0", str(path)]) == 2
        assert "--window" in capsys.readouterr().err
