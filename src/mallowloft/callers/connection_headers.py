"""Headers of HTTP/1.1 messages that concern one connection only."""

_NAMES = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def end_to_end(
    headers: tuple[tuple[bytes, bytes], ...],
    excluded: frozenset[bytes] = frozenset(),
    kept: frozenset[bytes] = frozenset(),
) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers that are forwarded.

    Hop-by-hop headers and those that `connection` names are left out, and so
    are `content-length`, which is set for each message that needs it, and
    `expect`, which is not forwarded.

    Args:
        headers: Headers with names in lower case.
        excluded: Names of further headers to leave out.
        kept: Names of headers to forward even if `connection` names them.
    """
    excluded_names = set(excluded)
    for name, value in headers:
        if name == b"connection":
            tokens = value.lower().split(b",")
            excluded_names.update(token.strip() for token in tokens)
            excluded_names -= kept
    return tuple(
        (name, value)
        for name, value in headers
        if name not in excluded_names and name not in _NAMES
    )
