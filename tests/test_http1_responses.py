"""What HTTP/1.1 client connections take for a whole response."""

from collections.abc import Callable
from collections.abc import Sequence

import hypothesis
from hypothesis import strategies
import pytest

from mallowloft.kernel import turns as turns_lib
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
    exchange = http1.Exchange(
        b"GET / HTTP/1.1\r\n\r\n",
        lambda _, outcome: outcomes.append(outcome),
        responses.ID_NAME,
        responses.ID,
        has_body=not head_only,
        on_data=on_data,
    )
    responses.receive(exchange, segments, reset)
    (outcome,) = outcomes
    return outcome


def _as_whole(response: http1.Response) -> responses.Whole:
    headers = tuple((name, value.strip()) for name, value in response.headers)
    return responses.Whole(response.status, headers, response.body)


def _split(data: bytes, positions: Sequence[int]) -> list[bytes]:
    bounds = sorted({0, len(data), *(at % (len(data) + 1) for at in positions)})
    return [
        data[start:end]
        for start, end in zip(bounds, bounds[1:], strict=False)
        if end > start
    ]


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


class TestContradictoryResponses:
    """A response whose end is ambiguous is malformed."""

    @pytest.mark.parametrize(
        "headers",
        [
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Content-Length: 3, 3\r\n",
            b"Content-Length:\r\n",
            b"Content-Length: +3\r\n",
            b"Content-Length: 3\r\n 0\r\n",
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            b"Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Transfer-Encoding: chunked, chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
            b"Transfer-Encoding: gzip\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Transfer-Encoding:\r\n chunked\r\n",
            b"Content-Length: 3\n",
            b"Content-Length : 3\r\n",
            b"X: a\r\n b\r\nContent-Length: 3\r\n",
            b"X: a\r\x00b\r\nContent-Length: 3\r\n",
            b"X\r\nContent-Length: 3\r\n",
            b"X-Request-Id: r1\r\nX-Request-Id: r0\r\nContent-Length: 3\r\n",
            b"X-Request-Id: r0\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n",
        ],
        ids=repr,
    )
    @pytest.mark.parametrize("head_only", [False, True], ids=["GET", "HEAD"])
    def test_headers_contradict_each_other(self, headers, head_only):
        data = b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n3\r\nabc\r\n0\r\n\r\n"
        outcome = _receive([data], reset=False, head_only=head_only)
        assert outcome is http1.FailureReason.MALFORMED

    @pytest.mark.parametrize(
        "data",
        [
            b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\n\nwhole",
            b"HTTP/1.1 204 -\r\nContent-Length: 3\r\n\r\nabc",
            b"HTTP/1.1 204 -\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 101 -\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        ],
        ids=repr,
    )
    @pytest.mark.parametrize("head_only", [False, True], ids=["GET", "HEAD"])
    def test_start_line_contradicts_the_framing(self, data, head_only):
        outcome = _receive([data], reset=False, head_only=head_only)
        assert outcome is http1.FailureReason.MALFORMED

    @pytest.mark.parametrize(
        "status", [b"100", b"102", b"103", b"150", b"199"], ids=repr
    )
    @pytest.mark.parametrize(
        "header",
        [b"Content-Length: 19", b"Transfer-Encoding: chunked"],
        ids=repr,
    )
    def test_interim_response_with_a_body_hides_no_response(
        self, status, header
    ):
        data = (
            b"HTTP/1.1 "
            + status
            + b" -\r\n"
            + header
            + b"\r\n\r\nHTTP/1.1 500 -\r\n\r\n\r\n"
            + _LENGTH.wire
        )
        outcome = _receive([data], reset=False)
        assert outcome is http1.FailureReason.MALFORMED


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


_NAMES = strategies.sampled_from(
    [b"server-stamp", b"x-other", b"connection", b"keep-alive", b"date"]
)
_VALUES = strategies.sampled_from(
    [b"", b"a", b"s1", b"close", b"keep-alive", b"timeout=5", b"HTTP/1.1 200 -"]
)
_FIELDS = strategies.lists(strategies.tuples(_NAMES, _VALUES), max_size=3)
# A server does not go on after a response that announces the close.
_SKIPPED_FIELDS = _FIELDS.filter(
    lambda fields: all(name != b"connection" for name, _ in fields)
)
_BODIES = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.sampled_from(
        [b"\r\n\r\n", b"0\r\n\r\n", _LENGTH.wire, _NO_CONTENT.wire, b"\n\n"]
    ),
)


@strategies.composite
def _messages(
    draw, statuses, id_fields, any_fields=_FIELDS
) -> responses.Message:
    fields = tuple(draw(any_fields))
    return responses.Message(
        draw(strategies.sampled_from(statuses)),
        (*fields, *draw(strategies.sampled_from(id_fields))),
        draw(_BODIES),
        draw(strategies.sampled_from(["length", "chunked", "eof"])),
        tuple(draw(strategies.lists(strategies.integers(1, 9), max_size=3))),
        draw(strategies.sampled_from([b"", b";a", b";a=b", b';a="b";c'])),
        tuple(draw(any_fields)),
    )


_INTERIMS = _messages([100, 102, 103, 110], [()], _SKIPPED_FIELDS)
_STALES = _messages([200, 204, 500], [(_STALE_FIELD,)], _SKIPPED_FIELDS).filter(
    lambda message: message.framing != "eof"
)
_FINALS = _messages([200, 201, 204, 304, 404, 500, 503], [(), (_ID_FIELD,)])
_STREAMS = strategies.tuples(
    strategies.lists(strategies.one_of(_INTERIMS, _STALES), max_size=2),
    _FINALS,
    strategies.one_of(strategies.none(), _FINALS),
)
_POSITIONS = strategies.lists(strategies.integers(0, 2000), max_size=4)
_PIECES = strategies.sampled_from(
    [
        b"",
        b"\r",
        b"\n",
        b"\r\n",
        b"\r\n\r\n",
        b"\n\n",
        b" ",
        b"\t",
        b":",
        b";",
        b"0",
        b"9",
        b"\0",
        b"\x7f",
        b"\xff",
        b"HTTP/1.1 200 -\r\n",
        b"HTTP/1.0 200 -\r\n\r\n",
        b"\r\ncontent-length: 3",
        b"\r\ncontent-length: 0\r\n\r\n",
        b"\r\ntransfer-encoding: chunked",
        b"\r\ntransfer-encoding: gzip, chunked",
        b"\r\nx-request-id: r0",
        b"\r\nx-request-id: r1",
        b"\r\nconnection: upgrade\r\nupgrade: x",
    ]
)
_EDITS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2000), strategies.integers(0, 12), _PIECES
    ),
    max_size=3,
)


def _edit(data: bytes, edits: Sequence[tuple[int, int, bytes]]) -> bytes:
    for at, removed, piece in edits:
        at %= len(data) + 1
        data = data[:at] + piece + data[at + removed :]
    return data


CASES = strategies.tuples(
    _STREAMS,
    _EDITS,
    _POSITIONS,
    strategies.integers(0, 2000),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
)


def check_only_whole_responses_are_taken(case) -> None:
    """Compares what a connection delivers with the strict reader."""
    stream, edits, positions, size, is_cut, reset, head_only = case
    skipped, last, surplus = stream
    wire = b"".join(message.wire for message in (*skipped, last))
    if surplus is not None:
        wire += surplus.wire
    wire = _edit(wire, edits)
    if is_cut:
        wire = wire[: size % (len(wire) + 1)]
    expected = responses.read(wire, not reset, head_only)
    outcome = _receive(_split(wire, positions), reset, head_only)
    if isinstance(outcome, http1.Response):
        assert _as_whole(outcome) == expected
    if not edits:
        assert isinstance(outcome, http1.Response) == (expected is not None)
    if head_only:
        return
    streamed: list[bytes] = []
    again = _receive(_split(wire, positions), reset, on_data=streamed.append)
    assert isinstance(again, http1.Response) == isinstance(
        outcome, http1.Response
    )
    if isinstance(again, http1.Response) and again.status == 200:
        assert b"".join(streamed) == outcome.body


class TestAnyResponse:
    """A connection delivers what a strict reader reads, or a failure."""

    @hypothesis.settings(
        max_examples=500, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(CASES)
    def test_only_whole_responses_are_taken(self, case):
        check_only_whole_responses_are_taken(case)


@pytest.fixture(scope="class")
def small_steps():
    """Parses a few bytes at a time, and one step in an iteration."""
    with pytest.MonkeyPatch.context() as patch:
        limits = turns_lib.WorkLimits(
            step_bytes=7,
            immediate_work=0,
            work_per_iteration=1,
            work_per_turn=1,
        )
        patch.setattr(responses, "WORK_LIMITS", limits)
        yield


@pytest.mark.usefixtures("small_steps")
class TestCutResponsesInSteps(TestCutResponses):
    """The same if the rest of the data waits for later iterations."""


@pytest.mark.usefixtures("small_steps")
class TestAnyResponseInSteps:
    """The same if the rest of the data waits for later iterations."""

    @hypothesis.settings(
        max_examples=500, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(CASES)
    def test_only_whole_responses_are_taken(self, case):
        check_only_whole_responses_are_taken(case)
