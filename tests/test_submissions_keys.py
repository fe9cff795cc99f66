"""Issuing, parsing and authenticating idempotency keys."""

import msgspec

from mallowloft.submissions import keys

_SECRET = bytes(range(32))


def _signer(incarnation: int = 7, secret: bytes = _SECRET) -> keys.KeySigner:
    return keys.KeySigner("i1", "d1", incarnation, secret)


def _parsed(text: str) -> keys.ParsedKey:
    return keys.parse(text).unwrap()


def _altered(parsed: keys.ParsedKey, **fields) -> str:
    """Returns a key with changed content and the original MAC."""
    changed = msgspec.structs.replace(parsed.key, **fields)
    return keys._encode_text(msgspec.msgpack.encode(changed), parsed.mac)


class TestIssuing:
    """Guards against keys that lack a part of what they are bound to."""

    def test_key_contains_its_binding(self):
        key = _parsed(_signer().issue("hunters", 3, 12.5)).key
        assert key == keys.Key("i1", "d1", 7, "hunters", 3, 12_500)
        assert key.issuer == ("i1", 7)

    def test_short_secret_is_refused(self):
        # Guards against keys whose MAC can be guessed.
        try:
            _signer(secret=b"short")
        except ValueError:
            return
        raise AssertionError("a short secret was accepted")


class TestAuthentication:
    """Guards against keys that a caller forged or altered."""

    def test_own_key_is_accepted(self):
        signer = _signer()
        assert signer.is_authentic(_parsed(signer.issue("hunters", 1, 0.0)))

    def test_every_changed_field_is_refused(self):
        signer = _signer()
        parsed = _parsed(signer.issue("hunters", 1, 0.0))
        changes = {
            "failure_domain": "d2",
            "team": "others",
            "sequence": 2,
            "issued_ms": 900_000,
        }
        for field, value in changes.items():
            text = _altered(parsed, **{field: value})
            assert not signer.is_authentic(_parsed(text)), field

    def test_key_of_another_incarnation_is_refused(self):
        # The same secret must not suffice, as a restart loses all records.
        text = _signer(incarnation=7).issue("hunters", 1, 0.0)
        assert not _signer(incarnation=8).is_authentic(_parsed(text))

    def test_key_under_another_secret_is_refused(self):
        text = _signer(secret=bytes(32)).issue("hunters", 1, 0.0)
        assert not _signer().is_authentic(_parsed(text))


class TestParsing:
    """Guards against malformed texts and several texts for one key."""

    def test_malformed_texts_are_refused(self):
        text = _signer().issue("hunters", 1, 0.0)
        malformed = [
            "",
            "mk1.",
            text[:-8],
            text + "A",
            text + "=",
            text.replace("mk1.", "mk2."),
            "mk1." + "A" * 200,
            _signer().issue("t" * 2000, 1, 0.0),
            "mk1.\u00e9",
        ]
        for item in malformed:
            assert keys.parse(item).is_err(), item

    def test_key_has_only_one_text(self):
        # A final ledger looks keys up by text. A second text for a key that ran
        # would be answered as never run.
        for number in range(1, 200):
            text = _signer().issue("hunters", number, 0.0)
            alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
            alphabet += "0123456789-_"
            for last in alphabet:
                other = text[:-1] + last
                parsed = keys.parse(other)
                if other != text and parsed.is_ok():
                    raw = parsed.unwrap()
                    original = _parsed(text)
                    assert (raw.payload, raw.mac) != (
                        original.payload,
                        original.mac,
                    )
