"""Tests that every invariant check detects a violation."""

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


def _shard_result(replica="r1", shard="s1", version=1, marker="m1") -> bytes:
    return json.dumps(
        [f"{replica}/{shard}@{version}", {"marker": marker}]
    ).encode()


def _valid_record() -> record_lib.Record:
    """Returns a record without violations of any invariant."""
    answer = gather_model.Answer(
        request_id="q1",
        index_version=1,
        results={_SHARD: _shard_result()},
        lacking={_OTHER_SHARD: "deadline"},
        attempts=gather_model.AttemptCounts(),
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
        applied_revisions=[
            record_lib.AppliedRevision(1.5, "i1", 1, "/teams/team", 5)
        ],
        shard_maps={1: {_SHARD: ("r1",), _OTHER_SHARD: ("r1",)}},
        drain_started_s={"r2": 1.0},
        stop_started_s={"i2": 1.0},
        instances={"i1", "i2"},
        ended_s=10.0,
    )


def _with_answer(record: record_lib.Record, **changes) -> None:
    query = record.queries[0]
    query.answer = dataclasses.replace(query.answer, **changes)


def _result_of_another_version(record):
    _with_answer(record, results={_SHARD: _shard_result(version=2)})


def _shard_neither_covered_nor_lacking(record):
    _with_answer(record, lacking={})


def _shard_covered_and_lacking(record):
    _with_answer(record, lacking={_SHARD: "x", _OTHER_SHARD: "x"})


def _result_of_wrong_replica(record):
    _with_answer(record, results={_SHARD: _shard_result(replica="r9")})


def _covered_but_not_finished(record):
    record.journal = record.journal[1:]


def _answer_to_another_query(record):
    _with_answer(record, results={_SHARD: _shard_result(marker="m2")})


def _started_twice(record):
    record.journal.append(record.journal[1])


def _started_but_reported_as_not_run(record):
    record.submissions[0].outcomes.append(
        submissions_model.NotRun("refused", 0.0)
    )


def _reported_as_done_but_not_started(record):
    record.journal = record.journal[:1]


def _work_after_drain(record):
    record.journal.append(upstreams.Event("query_started", 3.5, "r2", "q"))


def _unanswered_at_stop(record):
    record.queries.append(record_lib.QueryRecord("m2", "i2", "team", 0.9, 2.0))


def _unanswered(record):
    record.queries[0].answered_s = None


def _revision_reverted(record):
    record.applied_revisions.append(
        record_lib.AppliedRevision(2.0, "i1", 1, "/teams/team", 4)
    )


def _applied_after_1s(record):
    record.applied_revisions = [
        record_lib.AppliedRevision(2.5, "i1", 1, "/teams/team", 5)
    ]


def _applied_after_3s(record):
    record.applied_revisions = [
        record_lib.AppliedRevision(4.5, "i1", 1, "/teams/team", 5)
    ]


def _invalid_revision_applied(record):
    record.applied_revisions.append(
        record_lib.AppliedRevision(2.0, "i1", 1, "/teams/other", 6)
    )


class TestChecks:
    """Guards against invariant checks that never find a violation."""

    @pytest.mark.parametrize("name", sorted(checks.checks.by_name))
    def test_valid_record_has_no_violations(self, name):
        assert checks.checks.by_name[name](_valid_record()) == []

    @pytest.mark.parametrize(
        ("name", "breach"),
        [
            ("one-snapshot", _result_of_another_version),
            ("true-coverage", _shard_neither_covered_nor_lacking),
            ("true-coverage", _shard_covered_and_lacking),
            ("true-coverage", _result_of_wrong_replica),
            ("true-coverage", _covered_but_not_finished),
            ("own-answer", _answer_to_another_query),
            ("at-most-once", _started_twice),
            ("true-refusals", _started_but_reported_as_not_run),
            ("true-done", _reported_as_done_but_not_started),
            ("leaving", _work_after_drain),
            ("graceful-stop", _unanswered_at_stop),
            ("answered-in-time", _unanswered),
            ("configuration-never-reverts", _revision_reverted),
            ("configuration-within-1s", _applied_after_1s),
            ("configuration-within-3s", _applied_after_3s),
            ("faulty-subtree-rejected", _invalid_revision_applied),
        ],
    )
    def test_breach_is_found(self, name, breach):
        record = _valid_record()
        breach(record)
        assert checks.checks.by_name[name](record)

    def test_every_check_has_a_breach(self):
        marks = type(self).test_breach_is_found.pytestmark
        breached = {item[0] for item in marks[0].args[1]}
        assert breached == set(checks.checks.by_name)
