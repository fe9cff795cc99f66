"""Idempotency keys: text form, issuing and authentication."""

import base64
import binascii
import dataclasses
import hashlib
import hmac

import msgspec
import result

_PREFIX = "mk1."
_MAC_BYTES = 16
_MIN_SECRET_BYTES = 32
_MAX_TEXT_LENGTH = 1024


class Key(msgspec.Struct, frozen=True, array_like=True):
    """Content of a key.

    Attributes:
        instance: Instance that issued the key.
        failure_domain: Failure domain of that instance. After a planned stop,
            the final ledger is looked for at live instances of this domain, or
            of all domains if this one has none.
        incarnation: Incarnation of that instance; no other incarnation runs
            the submission that the key belongs to.
        team: Team the key is bound to.
        sequence: Number of the key within the incarnation; serves as nonce.
        issued_ms: Issue time on the issuer's clock.
    """

    instance: str
    failure_domain: str
    incarnation: int
    team: str
    sequence: int
    issued_ms: int

    @property
    def issuer(self) -> tuple[str, int]:
        """Instance and incarnation that issued the key."""
        return (self.instance, self.incarnation)


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedKey:
    """A key parsed from its text, not authenticated yet."""

    text: str
    key: Key
    payload: bytes
    mac: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Key)


def _encode_text(payload: bytes, mac: bytes) -> str:
    encoded = base64.urlsafe_b64encode(payload + mac)
    return _PREFIX + encoded.decode().rstrip("=")


def parse(text: str) -> result.Result[ParsedKey, str]:
    """Parses the text of a key without authenticating it.

    Returns:
        The key, or the reason why the text is not a key.
    """
    if not text.startswith(_PREFIX) or len(text) > _MAX_TEXT_LENGTH:
        return result.Err("not a key issued by this system")
    encoded = text.removeprefix(_PREFIX)
    padding = "=" * (-len(encoded) % 4)
    try:
        raw = base64.b64decode(encoded + padding, b"-_", validate=True)
        payload, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
        key = _decoder.decode(payload)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return result.Err("malformed key")
    # The last base64 character has unused bits, so several texts could decode
    # to one key. Final ledgers look outcomes up by text, so only one is valid.
    if _encode_text(payload, mac) != text:
        return result.Err("malformed key")
    return result.Ok(ParsedKey(text, key, payload, mac))


class KeySigner:
    """Issues and authenticates the keys of one incarnation."""

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        incarnation: int,
        secret: bytes,
    ) -> None:
        if len(secret) < _MIN_SECRET_BYTES:
            raise ValueError("secret is too short")
        self._instance = instance
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._secret = secret

    def issue(self, team: str, sequence: int, now_s: float) -> str:
        """Returns the text of a new key."""
        key = Key(
            self._instance,
            self._failure_domain,
            self._incarnation,
            team,
            sequence,
            int(now_s * 1000),
        )
        payload = _encoder.encode(key)
        return _encode_text(payload, self._mac(payload))

    def is_authentic(self, parsed: ParsedKey) -> bool:
        """Whether this incarnation issued the key."""
        if parsed.key.issuer != (self._instance, self._incarnation):
            return False
        return hmac.compare_digest(parsed.mac, self._mac(parsed.payload))

    def _mac(self, payload: bytes) -> bytes:
        digest = hmac.new(self._secret, payload, hashlib.sha256).digest()
        return digest[:_MAC_BYTES]
