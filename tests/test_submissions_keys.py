"""Issuing, reading and authenticating idempotency keys."""

import msgspec

from mallowloft.submissions import keys

_SECRET = bytes(range(32))


def _ring(incarnation: int = 7, secret: bytes = _SECRET) -> keys.KeyRing:
    return keys.KeyRing("i1", "d1", incarnation, secret)


def _parsed(text: str) -> keys.ParsedKey:
    return keys.parse(text).unwrap()


def _altered(parsed: keys.ParsedKey, **fields) -> str:
    """Returns a key with other content and the old authentication."""
    changed = msgspec.structs.replace(parsed.key, **fields)
    return keys._encode_text(msgspec.msgpack.encode(changed), parsed.mac)


class TestIssuing:
    """A key names its issuer, team, number and time."""

    def test_names_what_it_is_bound_to(self):
        key = _parsed(_ring().issue("hunters", 3, 12.5)).key
        assert key == keys.Key("i1", "d1", 7, "hunters", 3, 12_500)
        assert key.issuer == ("i1", 7)

    def test_short_secret_is_refused(self):
        # Guards against a ring whose keys could be guessed.
        try:
            _ring(secret=b"short")
        except ValueError:
            return
        raise AssertionError("a short secret was accepted")


class TestAuthentication:
    """Guards against keys that a caller made up or changed."""

    def test_own_key_is_accepted(self):
        ring = _ring()
        assert ring.is_authentic(_parsed(ring.issue("hunters", 1, 0.0)))

    def test_every_changed_field_is_refused(self):
        ring = _ring()
        parsed = _parsed(ring.issue("hunters", 1, 0.0))
        changes = {
            "failure_domain": "d2",
            "team": "others",
            "sequence": 2,
            "issued_ms": 900_000,
        }
        for field, value in changes.items():
            text = _altered(parsed, **{field: value})
            assert not ring.is_authentic(_parsed(text)), field

    def test_key_of_another_incarnation_is_refused(self):
        # The same secret must not be enough: records are gone on a restart.
        text = _ring(incarnation=7).issue("hunters", 1, 0.0)
        assert not _ring(incarnation=8).is_authentic(_parsed(text))

    def test_key_under_another_secret_is_refused(self):
        text = _ring(secret=bytes(32)).issue("hunters", 1, 0.0)
        assert not _ring().is_authentic(_parsed(text))


class TestReading:
    """Guards against texts that are not keys, or not the only text of one."""

    def test_malformed_texts_are_refused(self):
        text = _ring().issue("hunters", 1, 0.0)
        malformed = [
            "",
            "mk1.",
            text[:-8],
            text + "A",
            text + "=",
            text.replace("mk1.", "mk2."),
            "mk1." + "A" * 200,
            _ring().issue("t" * 2000, 1, 0.0),
            "mk1.\u00e9",
        ]
        for item in malformed:
            assert keys.parse(item).is_err(), item

    def test_no_second_text_for_one_key(self):
        # A final ledger finds keys by text; a second text for a key that ran
        # would be answered as never run.
        for number in range(1, 200):
            text = _ring().issue("hunters", number, 0.0)
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
