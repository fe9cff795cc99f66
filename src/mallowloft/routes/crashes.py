"""Recognition of requests that are repeated."""

import xxhash

from mallowloft.routes import model


def fingerprint(request: model.Request) -> str:
    """Returns what a request and its repeats have in common.

    Other headers than the host may differ with each attempt of a caller.
    """
    host = next(
        (value for name, value in request.headers if name == b"host"), b""
    )
    digest = xxhash.xxh3_64()
    for item in (request.method, host, request.target, request.body):
        digest.update(b"%d:" % len(item))
        digest.update(item)
    return digest.hexdigest()
