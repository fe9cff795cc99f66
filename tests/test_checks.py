"""Every invariant check finds a deliberate breach."""

import dataclasses
import json

import pytest

from mallowloft.gather import model as gather_model
from mallowloft.submissions import model as submissions_model
from tests.scenarios import checks
from tests.scenarios import record as record_lib
from tests.support import upstreams

_SHARD = gather_model.Shard("svc", "s1")
_OTHER_SHARD = gather_model.Shard("svc", "s2")


def _result(replica="r1", shard="s1", version=1, marker="m1") -> bytes:
    return json.dumps(
        [f"{replica}/{shard}@{version}", {"marker": marker}]
    ).encode()


def _sound_record() -> record_lib.Record:
    """Returns a record in which every invariant holds."""
    answer = gather_model.Answer(
        request="q1",
        index_version=1,
        results={_SHARD: _result()},
        lacking={_OTHER_SHARD: "deadline"},
        attempts=gather_model.Attempts(),
        config_revision=1,
        elapsed_ms=1.0,
    )
    return record_lib.Record(
        queries=[
            record_lib.QueryRecord(
                "m1", "i1", "team", 1.0, 2.0, answer, answered_s=1.5
            )
        ],
        submissions=[
            record_lib.SubmissionRecord(
                "s1", ["i1"], [submissions_model.Done(b"{}")]
            )
        ],
        journal=[
            upstreams.Event("query_finished", 1.2, "r1", "q", 1, ("s1",)),
            upstreams.Event(
                "submit_started", 1.2, "r1", "s", body=b'{"marker": "s1"}'
            ),
        ],
        publications=[
            record_lib.Publication(1.0, "/teams/team", 5, True),
            record_lib.Publication(1.0, "/teams/other", 6, False),
        ],
        in_force=[record_lib.InForce(1.5, "i1", 1, "/teams/team", 5)],
        shard_maps={1: {_SHARD: ("r1",), _OTHER_SHARD: ("r1",)}},
        drained_s={"r2": 1.0},
        stopped_s={"i2": 1.0},
        instances={"i1", "i2"},
        ended_s=10.0,
    )


def _with_answer(record: record_lib.Record, **changes) -> None:
    query = record.queries[0]
    query.answer = dataclasses.replace(query.answer, **changes)


def _mixed_versions(record):
    _with_answer(record, results={_SHARD: _result(version=2)})


def _shard_missing(record):
    _with_answer(record, lacking={})


def _shard_twice(record):
    _with_answer(record, lacking={_SHARD: "x", _OTHER_SHARD: "x"})


def _wrong_replica(record):
    _with_answer(record, results={_SHARD: _result(replica="r9")})


def _never_finished(record):
    record.journal = record.journal[1:]


def _foreign_answer(record):
    _with_answer(record, results={_SHARD: _result(marker="m2")})


def _run_twice(record):
    record.journal.append(record.journal[1])


def _false_not_run(record):
    record.submissions[0].outcomes.append(
        submissions_model.NotRun("refused", 0.0)
    )


def _false_done(record):
    record.journal = record.journal[:1]


def _work_after_drain(record):
    record.journal.append(upstreams.Event("query_started", 3.5, "r2", "q"))


def _cut_off_by_stop(record):
    record.queries.append(record_lib.QueryRecord("m2", "i2", "team", 0.9, 2.0))


def _unanswered(record):
    record.queries[0].answered_s = None


def _reverted(record):
    record.in_force.append(record_lib.InForce(2.0, "i1", 1, "/teams/team", 4))


def _late(record):
    record.in_force = [record_lib.InForce(2.5, "i1", 1, "/teams/team", 5)]


def _very_late(record):
    record.in_force = [record_lib.InForce(4.5, "i1", 1, "/teams/team", 5)]


def _faulty_accepted(record):
    record.in_force.append(record_lib.InForce(2.0, "i1", 1, "/teams/other", 6))


class TestChecks:
    """A check that cannot fail would prove nothing."""

    @pytest.mark.parametrize("name", sorted(checks.checks.by_name))
    def test_sound_record_has_no_violation(self, name):
        assert checks.checks.by_name[name](_sound_record()) == []

    @pytest.mark.parametrize(
        ("name", "breach"),
        [
            ("one-snapshot", _mixed_versions),
            ("true-coverage", _shard_missing),
            ("true-coverage", _shard_twice),
            ("true-coverage", _wrong_replica),
            ("true-coverage", _never_finished),
            ("own-answer", _foreign_answer),
            ("at-most-once", _run_twice),
            ("true-refusals", _false_not_run),
            ("true-done", _false_done),
            ("leaving", _work_after_drain),
            ("graceful-stop", _cut_off_by_stop),
            ("answered-in-time", _unanswered),
            ("configuration-never-reverts", _reverted),
            ("configuration-within-1s", _late),
            ("configuration-within-3s", _very_late),
            ("faulty-subtree-rejected", _faulty_accepted),
        ],
    )
    def test_breach_is_found(self, name, breach):
        record = _sound_record()
        breach(record)
        assert checks.checks.by_name[name](record)

    def test_every_check_has_a_breach(self):
        marks = type(self).test_breach_is_found.pytestmark
        breached = {item[0] for item in marks[0].args[1]}
        assert breached == set(checks.checks.by_name)
