"""How the end of an HTTP/1.1 response is found (RFC 9112, section 6.3)."""

from collections.abc import Collection
import re

_VERSIONS = ("1.0", "1.1")
_LENGTH = re.compile(rb"[0-9]+")

Headers = Collection[tuple[bytes, bytes]]


class FramingError(ValueError):
    """The head of a response contradicts itself."""


def check(version: str, status: int, headers: Headers) -> None:
    """Checks that a head states unambiguously where the response ends.

    HTTP parsers accept some heads of which another parser finds a different
    end, or whose body is still encoded when it has been read.

    Args:
        version: HTTP version, such as `1.1`.
        status: Status of the response.
        headers: Headers with names in lower case.

    Raises:
        FramingError: It does not.
    """
    if version not in _VERSIONS or not 100 <= status <= 599:
        raise FramingError(f"status {status} of HTTP/{version}")
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise FramingError("more than one length")
    if lengths and not _LENGTH.fullmatch(lengths[0].strip()):
        raise FramingError("length that is no number")
    if codings and codings[0].strip().lower() != b"chunked":
        raise FramingError("unknown transfer coding")
    if codings and version == "1.0":
        raise FramingError("transfer coding in HTTP/1.0")
    has_body = bool(codings) or any(int(length) for length in lengths)
    if has_body and (status < 200 or status == 204):
        raise FramingError(f"body with status {status}")


def has_length(headers: Headers) -> bool:
    """Whether the body has a length or chunks.

    Otherwise it ends with the connection.

    Args:
        headers: Headers with names in lower case.
    """
    return any(
        name in (b"content-length", b"transfer-encoding") for name, _ in headers
    )
