"""What HTTP/1.1 client connections take for a whole response."""

from collections.abc import Callable
from collections.abc import Sequence
import types

import pytest

from mallowloft.upstream import http1
from tests.support import responses

_ID_FIELD = (responses.ID_NAME, responses.ID)
_STALE_FIELD = (responses.ID_NAME, responses.STALE_ID)
_STAMP = (b"server-stamp", b"s1")
_INTERIM = responses.Message(100)
_HINTS = responses.Message(103, ((b"link", b"x"),))
_STALE = responses.Message(headers=(_STALE_FIELD,), body=b"of another")
_STALE_CHUNKED = responses.Message(
    headers=(_STALE_FIELD,), body=b"of another", framing="chunked"
)
_LENGTH = responses.Message(headers=(_ID_FIELD, _STAMP), body=b"0123456789abcd")
_CHUNKED = responses.Message(
    headers=(_STAMP, _ID_FIELD),
    body=b"0123456789abcd",
    framing="chunked",
    chunk_sizes=(1, 10),
    extension=b";a=b",
    trailers=((b"x-sum", b"1"), (b"server-stamp", b"other")),
)
_EOF = responses.Message(
    headers=(_ID_FIELD, _STAMP), body=b"abcdef", framing="eof"
)
_NO_CONTENT = responses.Message(204, (_ID_FIELD, _STAMP))
_NOT_MODIFIED = responses.Message(304, (_ID_FIELD, _STAMP))
_FAILURE = responses.Message(500, (_ID_FIELD, _STAMP), b"failed")


class _Pool:
    """The part of a pool that a connection uses, without an event loop."""

    address = "server"

    def __init__(self) -> None:
        self.released: list[http1.Connection] = []

    def now(self) -> float:
        return 0.0

    def count_bytes(self, purpose: str, direction: str, size: int) -> None:
        pass

    def on_event(self, event: str) -> None:
        pass

    def release(self, connection: http1.Connection) -> None:
        self.released.append(connection)


def _receive(
    segments: Sequence[bytes],
    reset: bool,
    head_only: bool = False,
    on_data: Callable[[bytes], None] | None = None,
) -> http1.Response | http1.FailureReason:
    """Returns the outcome of a request whose server sends this and closes.

    Args:
        segments: The data as it arrives.
        reset: Whether the connection is reset instead of closed in order.
        head_only: Whether the request is a HEAD request.
        on_data: Gets the body as it arrives.
    """
    outcomes: list[http1.Response | http1.FailureReason] = []
    connection = http1.Connection(_Pool())
    connection.connection_made(
        types.SimpleNamespace(
            get_extra_info=lambda name: None,
            write=lambda data: None,
            abort=lambda: None,
            close=lambda: None,
        )
    )
    connection.send(
        http1.Exchange(
            b"GET / HTTP/1.1\r\n\r\n",
            lambda _, outcome: outcomes.append(outcome),
            responses.ID_NAME,
            responses.ID,
            has_body=not head_only,
            on_data=on_data,
        )
    )
    for segment in segments:
        if not connection.closed:
            connection.data_received(segment)
    if not connection.closed:
        if not reset:
            connection.eof_received()
        connection.connection_lost(ConnectionResetError() if reset else None)
    assert http1.Connection._buffered_bytes == 0
    (outcome,) = outcomes
    return outcome


def _as_whole(response: http1.Response) -> responses.Whole:
    headers = tuple((name, value.strip()) for name, value in response.headers)
    return responses.Whole(response.status, headers, response.body)


class TestCutResponses:
    """A response that was cut off is never taken for a whole one."""

    @pytest.mark.parametrize("bytewise", [False, True])
    @pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("head_only", [False, True], ids=["GET", "HEAD"])
    @pytest.mark.parametrize(
        "messages",
        [
            (_LENGTH,),
            (_CHUNKED,),
            (_EOF,),
            (_NO_CONTENT,),
            (_NOT_MODIFIED,),
            (_FAILURE,),
            (_INTERIM, _LENGTH),
            (_INTERIM, _HINTS, _EOF),
            (_HINTS, _CHUNKED),
            (_INTERIM, _NO_CONTENT),
            (_STALE, _LENGTH),
            (_STALE_CHUNKED, _INTERIM, _EOF),
            (_STALE, _STALE, _CHUNKED),
        ],
        ids=str,
    )
    def test_cut_at_every_byte(self, messages, head_only, reset, bytewise):
        *skipped, last = messages
        before = b"".join(message.wire for message in skipped)
        wire = before + (last.head if head_only else last.wire)
        is_whole_from = len(wire)
        if last.framing == "eof" and last.has_body and not head_only:
            is_whole_from = (
                len(wire) + 1 if reset else len(before) + len(last.head)
            )
        for size in range(len(wire) + 1):
            sent = wire[:size]
            segments = [sent]
            if bytewise:
                segments = [sent[at : at + 1] for at in range(size)]
            outcome = _receive(segments, reset, head_only)
            if size < is_whole_from:
                assert outcome is http1.FailureReason.BROKEN, sent
                continue
            body = b"" if head_only or not last.has_body else last.body
            if last.framing == "eof":
                body = body[: size - len(before) - len(last.head)]
            assert _as_whole(outcome) == responses.Whole(
                last.status, last.all_headers, body
            )


class TestTrailers:
    """Fields after the body do not change the response."""

    @pytest.mark.parametrize(
        "trailer",
        [
            (b"server-stamp", b"other"),
            (b"not-executed", b"1"),
            _STALE_FIELD,
            (b"transfer-encoding", b"chunked"),
        ],
        ids=repr,
    )
    @pytest.mark.parametrize("head_only", [False, True], ids=["GET", "HEAD"])
    def test_trailers_are_no_headers(self, trailer, head_only):
        message = responses.Message(
            headers=(_ID_FIELD, _STAMP),
            body=b"whole",
            framing="chunked",
            trailers=(trailer,),
        )
        outcome = _receive([message.wire], reset=False, head_only=head_only)
        assert outcome.headers == message.all_headers
        assert outcome.body == (b"" if head_only else b"whole")
