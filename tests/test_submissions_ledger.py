"""The ledger of keys: transitions, lifetime, limits and closing."""

import itertools

import pytest

from mallowloft import messages
from mallowloft.submissions import keys
from mallowloft.submissions import ledger as ledger_lib
from mallowloft.submissions import model

_SIGNER = keys.KeySigner("i1", "d1", 7, bytes(32))
_DIGEST = model.digest("hunters", "shop", "s0", b"1")
_OTHER_DIGEST = model.digest("hunters", "shop", "s0", b"2")
_LIFETIME_S = 900.0
_STATES = ledger_lib.State
_STATUSES = ledger_lib.LookupStatus

# Transitions that lead from RESERVED to each state.
_TRANSITIONS_TO = {
    _STATES.RESERVED: (),
    _STATES.SENT: (_STATES.SENT,),
    _STATES.DONE: (_STATES.SENT, _STATES.DONE),
    _STATES.NOT_RUN: (_STATES.NOT_RUN,),
    _STATES.UNKNOWN: (_STATES.SENT, _STATES.UNKNOWN),
}
_LEGAL_TRANSITIONS = {
    (_STATES.RESERVED, _STATES.SENT),
    (_STATES.RESERVED, _STATES.NOT_RUN),
    (_STATES.SENT, _STATES.RESERVED),
    (_STATES.SENT, _STATES.DONE),
    (_STATES.SENT, _STATES.NOT_RUN),
    (_STATES.SENT, _STATES.UNKNOWN),
    (_STATES.UNKNOWN, _STATES.DONE),
    (_STATES.UNKNOWN, _STATES.NOT_RUN),
}


def _ledger(**options) -> ledger_lib.Ledger:
    return ledger_lib.Ledger(_LIFETIME_S, **options)


def _issue(
    ledger: ledger_lib.Ledger, now_s: float = 0.0, team: str = "hunters"
) -> keys.ParsedKey:
    sequence = ledger.issue(team, 1, now_s)[0]
    return keys.parse(_SIGNER.issue(team, sequence, now_s)).unwrap()


def _status(ledger, parsed, digest=_DIGEST, now_s=0.0):
    return ledger.look_up(parsed.key, digest, now_s)[0]


class TestTransitions:
    """Guards against second runs and changes of final outcomes."""

    def test_illegal_transitions_are_rejected(self):
        for state, target in itertools.product(_TRANSITIONS_TO, _STATES):
            ledger = _ledger()
            record = ledger.reserve(_issue(ledger), _DIGEST, 0.0)
            for step in _TRANSITIONS_TO[state]:
                ledger.transition(record, step)
            if (state, target) in _LEGAL_TRANSITIONS:
                ledger.transition(record, target)
                assert record.state is target
                continue
            with pytest.raises(ledger_lib.IllegalTransitionError):
                ledger.transition(record, target)
            assert record.state is state

    def test_key_is_reserved_only_once(self):
        ledger = _ledger()
        parsed = _issue(ledger)
        record = ledger.reserve(parsed, _DIGEST, 0.0)
        assert _status(ledger, parsed) is _STATUSES.RUNNING
        with pytest.raises(ledger_lib.IllegalTransitionError):
            ledger.reserve(parsed, _DIGEST, 0.0)
        ledger.transition(record, _STATES.SENT)
        ledger.transition(record, _STATES.DONE, reply=b"ok")
        assert _status(ledger, parsed) is _STATUSES.FINAL
        with pytest.raises(ledger_lib.IllegalTransitionError):
            ledger.reserve(parsed, _DIGEST, 0.0)

    def test_voided_key_never_runs(self):
        ledger = _ledger()
        parsed = _issue(ledger)
        ledger.void(parsed, _DIGEST, "no slot", 0.0)
        assert _status(ledger, parsed) is _STATUSES.FINAL
        with pytest.raises(ledger_lib.IllegalTransitionError):
            ledger.reserve(parsed, _DIGEST, 0.0)

    def test_other_digest_is_a_mismatch_in_every_state(self):
        for path in _TRANSITIONS_TO.values():
            ledger = _ledger()
            parsed = _issue(ledger)
            record = ledger.reserve(parsed, _DIGEST, 0.0)
            for step in path:
                ledger.transition(record, step)
            status = _status(ledger, parsed, _OTHER_DIGEST)
            assert status is _STATUSES.MISMATCH


class TestLifetime:
    """Guards against running a key whose record may have been removed."""

    def test_expired_key_never_runs(self):
        ledger = _ledger()
        parsed = _issue(ledger, now_s=100.0)
        late_s = 100.0 + _LIFETIME_S
        assert _status(ledger, parsed, now_s=late_s - 1) is _STATUSES.FRESH
        assert _status(ledger, parsed, now_s=late_s) is _STATUSES.EXPIRED
        with pytest.raises(ledger_lib.IllegalTransitionError):
            ledger.reserve(parsed, _DIGEST, late_s)

    def test_outcome_is_kept_until_the_key_expires(self):
        ledger = _ledger()
        parsed = _issue(ledger)
        record = ledger.reserve(parsed, _DIGEST, 0.0)
        ledger.transition(record, _STATES.SENT)
        ledger.transition(record, _STATES.DONE, reply=b"ok")
        ledger.purge(_LIFETIME_S - 1)
        assert _status(ledger, parsed, now_s=_LIFETIME_S - 1) is (
            _STATUSES.FINAL
        )
        ledger.purge(_LIFETIME_S)
        assert _status(ledger, parsed, now_s=_LIFETIME_S) is (_STATUSES.EXPIRED)
        assert ledger.count_by_state() == {}

    def test_running_record_is_kept_after_its_key_expires(self):
        ledger = _ledger()
        parsed = _issue(ledger)
        record = ledger.reserve(parsed, _DIGEST, 0.0)
        ledger.transition(record, _STATES.SENT)
        ledger.purge(_LIFETIME_S * 2)
        assert _status(ledger, parsed, now_s=_LIFETIME_S * 2) is (
            _STATUSES.RUNNING
        )
        ledger.transition(record, _STATES.DONE)
        ledger.purge(_LIFETIME_S * 2)
        assert ledger.count_by_state() == {}


class TestLimits:
    """Guards against unlimited memory use and one team using all keys."""

    def test_number_of_live_keys_is_limited(self):
        ledger = _ledger(max_live_keys=8)
        teams = [f"team-{number}" for number in range(8)]
        issued = [len(ledger.issue(team, 2, 0.0)) for team in teams]
        assert issued == [2, 2, 2, 2, 0, 0, 0, 0]
        assert ledger.issue("team-7", 2, _LIFETIME_S) == [9, 10]

    def test_one_team_cannot_use_all_keys(self):
        ledger = _ledger(max_live_keys=8)
        assert len(ledger.issue("hunters", 100, 0.0)) == 2
        assert ledger.issue("hunters", 1, 1.0) == []
        assert len(ledger.issue("others", 1, 1.0)) == 1

    def test_key_with_evicted_reply_is_unknown_and_never_runs(self):
        ledger = _ledger(max_reply_bytes=10)
        parsed = [_issue(ledger) for _ in range(3)]
        for item in parsed:
            record = ledger.reserve(item, _DIGEST, 0.0)
            ledger.transition(record, _STATES.SENT)
            ledger.transition(record, _STATES.DONE, reply=b"12345")
        records = [ledger.look_up(p.key, _DIGEST, 0.0)[1] for p in parsed]
        states = [record.entry().state for record in records]
        assert states == [
            messages.SubmitState.UNKNOWN,
            messages.SubmitState.DONE,
            messages.SubmitState.DONE,
        ]
        assert _status(ledger, parsed[0]) is _STATUSES.FINAL


class TestClosing:
    """Guards against runs and changed outcomes after the handover."""

    def test_nothing_runs_or_changes_after_closing(self):
        ledger = _ledger()
        parsed = [_issue(ledger) for _ in range(4)]
        records = [ledger.reserve(p, _DIGEST, 0.0) for p in parsed[:3]]
        ledger.transition(records[1], _STATES.SENT)
        ledger.transition(records[2], _STATES.SENT)
        ledger.transition(records[2], _STATES.DONE, reply=b"ok")
        ledger.close()
        assert [entry.state for entry in ledger.entries()] == [
            messages.SubmitState.NOT_RUN,
            messages.SubmitState.UNKNOWN,
            messages.SubmitState.DONE,
        ]
        assert ledger.issue("hunters", 1, 0.0) == []
        with pytest.raises(ledger_lib.IllegalTransitionError):
            ledger.reserve(parsed[3], _DIGEST, 0.0)
        with pytest.raises(ledger_lib.IllegalTransitionError):
            ledger.transition(records[1], _STATES.DONE)

    def test_open_ledger_is_not_handed_over(self):
        with pytest.raises(ledger_lib.IllegalTransitionError):
            list(_ledger().entries())
