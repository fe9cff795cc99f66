"""What a replica and a caller get for the bytes of a caller's connection."""

import asyncio
import logging

import hypothesis
from hypothesis import strategies
import pytest

from tests.support import wire

_HOST = b"Host: a.example"
_OFFER = (
    b"Connection: Upgrade, HTTP2-Settings",
    b"Upgrade: h2c",
    b"HTTP2-Settings: AAMAAABkAAQAAP__",
)
_TEXT = (
    b"POST /stolen HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: text\r\n"
    b"Content-Length: 8\r\n\r\nsolved=9"
)
_BODY = b"solved=7"
_LENGTH = b"Content-Length: 8"
_CHUNKED = b"Transfer-Encoding: chunked"
_CHUNKS = b"5\r\nsolve\r\n3\r\nd=7\r\n0\r\n\r\n"


@pytest.fixture(autouse=True)
def _no_log(caplog):
    caplog.set_level(logging.CRITICAL, "uvicorn.error")


def _request(
    *lines: bytes,
    start: bytes = b"POST /a HTTP/1.1",
    request_id: bytes = b"1",
    body: bytes = b"",
) -> bytes:
    lines = (start, _HOST, b"X-Request-Id: " + request_id, *lines)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


_NEXT = _request(start=b"GET /next? HTTP/1.1", request_id=b"next")


def _send(
    data: bytes, cut: int | None = None, work: int = 0, pause: int = 0
) -> tuple[list[wire.Message], list[tuple[int, bytes]], bool]:
    """Returns what replicas got, the answers, and whether all was closed."""
    pieces = [data]
    if cut is not None:
        pieces = [data[at : at + cut] for at in range(0, len(data), cut)]
    outcome = asyncio.run(_run(pieces, work, pause))
    forwarded = [wire.read(item) for item in outcome.forwarded]
    return forwarded, wire.read_answers(outcome.answered, []), outcome.closed


async def _run(pieces: list[bytes], work: int, pause: int) -> wire.Outcome:
    return await wire.Connection(work).send(pieces, pause)


class TestUpgrade:
    """An offer to upgrade is ignored; the request is served as it is."""

    @pytest.mark.parametrize("cut", [None, 1, 7])
    @pytest.mark.parametrize(
        ("framing", "sent", "body"),
        [
            ((_LENGTH,), _BODY, _BODY),
            ((b"Content-Length: %d" % len(_TEXT),), _TEXT, _TEXT),
            ((_CHUNKED,), _CHUNKS, _BODY),
            ((), b"", b""),
        ],
    )
    def test_offer_takes_no_body_away(self, framing, sent, body, cut):
        data = _request(*_OFFER, *framing, body=sent) + _NEXT
        forwarded, answers, closed = _send(data, cut)
        assert [(item.target, item.body) for item in forwarded] == [
            (b"/a", body),
            (b"/next?", b""),
        ]
        assert [status for status, _ in answers] == [200, 200]
        assert not closed

    def test_offer_is_not_forwarded(self):
        ((message,), _, _) = _send(_request(*_OFFER, _LENGTH, body=_BODY))
        names = {name for name, _ in message.headers}
        assert not names & {b"connection", b"upgrade", b"http2-settings"}

    def test_tunnel_is_not_implemented(self):
        data = _request(start=b"CONNECT a.example:80 HTTP/1.1") + _NEXT
        assert _send(data) == ([], [(501, b"")], True)


class TestTarget:
    """Path and query reach the replica as they were sent, or not at all."""

    @pytest.mark.parametrize(
        ("sent", "target"),
        [
            (b"/a?", b"/a?"),
            (b"/a??b?", b"/a??b?"),
            (b"//a/%2F?x=%20", b"//a/%2F?x=%20"),
            (b"http://a.example/a?", b"/a?"),
        ],
    )
    def test_is_unchanged(self, sent, target):
        ((message,), _, _) = _send(_request(start=b"GET %s HTTP/1.1" % sent))
        assert message.target == target

    @pytest.mark.parametrize(
        "target",
        [
            b"/a#b",
            b"/a?b#c",
            b"http://b.example/a",
            b"http://a.example",
            b"http://a.example?b/c",
            b"https://a.example/a",
            b"http://u@a.example/a",
        ],
    )
    def test_of_another_meaning_is_refused(self, target):
        data = _request(start=b"GET %s HTTP/1.1" % target) + _NEXT
        assert _send(data) == ([], [(400, b"")], True)


class TestHeaders:
    """Headers that parsers may read differently do not change a request."""

    @pytest.mark.parametrize(
        ("line", "status"),
        [
            (b"Host: a.example", 400),
            (b"Transfer-Encoding: gzip, chunked", 501),
            (b"Transfer-Encoding: ,chunked", 501),
            (b"Transfer-Encoding: identity\r\n" + _CHUNKED, 501),
            (_CHUNKED + b"\r\n" + _LENGTH, 400),
            (_LENGTH + b"\r\n" + _LENGTH, 400),
        ],
    )
    def test_of_two_meanings_are_refused(self, line, status):
        data = _request(line, body=_CHUNKS)
        assert _send(data) == ([], [(status, b"")], True)

    @pytest.mark.parametrize(
        ("version", "line"),
        [(b"HTTP/2.0", b""), (b"HTTP/0.9", b""), (b"HTTP/1.0", _CHUNKED)],
    )
    def test_of_another_version_are_refused(self, version, line):
        lines = [line] if line else []
        data = _request(*lines, start=b"GET /a " + version, body=_CHUNKS)
        assert _send(data) == ([], [(400, b"")], True)

    def test_trailers_do_not_become_headers(self):
        body = _CHUNKS[:-2] + b"X-Request-Id: 2\r\nX-Extra: 3\r\n\r\n"
        ((message,), answers, _) = _send(_request(_CHUNKED, body=body))
        assert message.values(b"x-request-id") == [b"1"]
        assert not message.values(b"x-extra")
        assert answers == [(200, b"answer to 1")]

    def test_connection_cannot_remove_id_and_host(self):
        line = b"Connection: X-Request-Id, Host, X-Extra"
        ((message,), _, _) = _send(_request(line, b"X-Extra: 3"))
        assert message.values(b"x-request-id") == [b"1"]
        assert message.values(b"host") == [b"a.example"]
        assert not message.values(b"x-extra")

    def test_two_ids_are_refused(self):
        data = _request(b"X-Request-Id: 2") + _NEXT
        (forwarded, answers, _) = _send(data)
        assert [item.target for item in forwarded] == [b"/next?"]
        assert answers == [(400, b"repeated_id"), (200, b"answer to next")]


class TestPipelines:
    """Answers come in the order of the requests."""

    @pytest.mark.parametrize("work", [0, 3])
    @pytest.mark.parametrize(
        "faulty",
        [
            b"nonsense\r\n\r\n",
            _request(b"Host: b.example"),
            _request(_CHUNKED, body=b"3\r\nabcd"),
        ],
    )
    def test_error_does_not_precede_earlier_answers(self, faulty, work):
        forwarded, answers, closed = _send(_NEXT + faulty + _NEXT, work=work)
        assert [item.target for item in forwarded] == [b"/next?"]
        assert answers == [(200, b"answer to next"), (400, b"")]
        assert closed

    def test_acknowledgement_does_not_split_an_answer(self):
        data = _request(b"Expect: 100-continue", _LENGTH, body=_BODY)
        for pause in range(8):
            _, answers, _ = _send(_NEXT + data, len(_NEXT), 6, pause)
            assert answers == [
                (200, b"answer to next"),
                (200, b"answer to 1"),
            ]

    def test_request_ends_when_its_caller_leaves(self):
        # `Connection.send` fails if a request does not end.
        async def main():
            ended = []

            async def serve(scope, receive, send):
                while (await receive())["type"] != "http.disconnect":
                    pass
                ended.append(scope["path"])

            await wire.Connection(app=serve).send([_NEXT + _NEXT])
            assert ended == ["/next"]

        asyncio.run(main())


# Sound parts of requests, and others.
_VERSIONS = (
    [b"HTTP/1.1"],
    [b"HTTP/1.0", b"HTTP/2.0", b"HTTP/0.9", b"HTTP/1.2", b"RTSP/1.0", b""],
)
_METHODS = (
    [b"GET", b"POST", b"PUT", b"HEAD", b"OPTIONS"],
    [b"CONNECT", b"PRI", b"SOURCE", b"get"],
)
_TARGETS = (
    [b"/a", b"/a?", b"/a/b?c=d", b"/none/a", b"//a", b"/%zz?%", b"/a??b"],
    [
        b"/a#b",
        b"/a?b#c",
        b"*",
        b"a.example:80",
        b"http://a.example/a?",
        b"HTTP://A.EXAMPLE/a",
        b"http://b.example/a",
        b"http://a.example",
        b"http://a.example?/a",
        b"http://u@a.example/a",
    ],
)
_LINES = (
    [
        *_OFFER,
        b"\r\n".join(_OFFER),
        b"Connection: upgrade\r\nUpgrade: websocket",
        b"Connection: keep-alive",
        b"Connection: X-Request-Id, host",
        b"Connection: content-length, transfer-encoding, X-Extra",
        b"Keep-Alive: timeout=5",
        b"Proxy-Connection: close",
        b"Expect: 100-continue",
        b"Expect: something",
        b"TE: trailers",
        b"Trailer: X-Extra",
        b"X-Extra: 1",
        b"X-Extra:",
        b"X-Extra: \t a\tb \t",
        b"X-Extra: \xff\x80",
        b"X-Deadline-Ms: 99999",
        b"X-Replica-Id: r-2",
    ],
    [
        b"Connection: close, upgrade\r\nUpgrade: h2c",
        b"Connection: close",
        b"X-Extra: a\r\n b",
        b"X-Extra: a\nX-Other: b",
        b"X-Extra: a\rX-Other: b",
        b"X-Extra: a\0b",
        b"X-Extra : a",
        b" X-Extra: a",
        b": a",
        b"X-Extra",
        b"Host: a.example",
        b"X-Request-Id: other",
    ],
)
_LENGTHS = (
    [b"%d", b"0%d", b"%d \t"],
    [
        b"+%d",
        b"-%d",
        b"%d, %d",
        b"%d %d",
        b"0x%d",
        b"%d;",
        b"1%d",
        b"",
        b"1844674407370955161%d",
        b"%d\r\nContent-Length: %d",
        b"%d\r\nTransfer-Encoding: chunked",
    ],
)
_ENCODINGS = (
    [b"chunked", b"Chunked"],
    [
        b"gzip, chunked",
        b"chunked, chunked",
        b"chunked, identity",
        b"identity",
        b"xchunked",
        b",chunked",
        b"chunked;a=b",
        b"",
        b"chunked\r\nTransfer-Encoding: chunked",
        b"identity\r\nTransfer-Encoding: chunked",
        b"chunked\r\nContent-Length: 8",
    ],
)
_EXTENSIONS = ([b"", b"", b";a", b";a=b"], [b';a="b;c"', b" ;a", b" ", b";a\0"])
_TRAILERS = (
    [b"", b"X-Extra: 1\r\n", b"X-Request-Id: trailer\r\n"],
    [
        b"Content-Length: 4\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: upgrade\r\nUpgrade: h2c\r\n",
        b"X-Extra: 1\r\n folded\r\n",
        b"X-Extra: 1\n",
    ],
)
_BODIES = [b"", _BODY, _TEXT, b"\0\r\n\r\n0\r\n\r\n", b"b" * 150]
_DAMAGE = [b"\r", b"\n", b"\0", b" ", b"\t", b":", b",", b"0", b"\r\n", b"\x80"]


@strategies.composite
def _messages(draw) -> bytes:
    """Draws a request of HTTP/1.1 or something similar."""
    # One odd part suffices to have a message refused.
    odd = draw(strategies.integers(0, 13))
    drawn = 0

    def choose(pool):
        nonlocal drawn
        drawn += 1
        return draw(strategies.sampled_from(pool[drawn == odd]))

    start = choose(_METHODS) + b" " + choose(_TARGETS) + b" "
    start += choose(_VERSIONS)
    request_id = b"id-%d" % draw(strategies.integers(0, 999))
    lines = [_HOST, b"X-Request-Id: " + request_id]
    lines += [choose(_LINES) for _ in range(draw(strategies.integers(0, 3)))]
    body = draw(strategies.sampled_from(_BODIES))
    framing = draw(strategies.sampled_from(["length", "chunks", "none"]))
    if framing == "length":
        value = choose(_LENGTHS).replace(b"%d", b"%d" % len(body))
        lines.append(b"Content-Length: " + value)
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: " + choose(_ENCODINGS))
        body = _encode_chunks(body, choose)
    else:
        body = b""
    lines = [start, *draw(strategies.permutations(lines))]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _encode_chunks(body: bytes, choose) -> bytes:
    half = len(body) // 2
    encoded = b""
    for chunk in (body[:half], body[half:]):
        if chunk:
            encoded += b"%x" % len(chunk) + choose(_EXTENSIONS) + b"\r\n"
            encoded += chunk + b"\r\n"
    encoded += b"0" + choose(_EXTENSIONS) + b"\r\n"
    return encoded + choose(_TRAILERS) + b"\r\n"


@strategies.composite
def _streams(draw) -> bytes:
    """Draws what a caller sends on one connection."""
    messages = draw(strategies.lists(_messages(), min_size=1, max_size=4))
    data = b"".join(messages)
    positions = strategies.integers(0, len(data))
    if draw(strategies.integers(0, 3)) == 3:
        at = draw(positions)
        end = at + draw(strategies.integers(0, 2))
        data = data[:at] + draw(strategies.sampled_from(_DAMAGE)) + data[end:]
    if draw(strategies.integers(0, 9)) == 9:
        data = data[: draw(positions)]
    return data


def _cut(data: bytes, cuts: list[int] | None) -> list[bytes]:
    """Cuts data at some positions, at every byte if they are None."""
    if cuts is None:
        return [data[at : at + 1] for at in range(len(data))]
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    pieces = [
        data[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]
    return [piece for piece in pieces if piece]


_REFUSALS = [(400, b""), (501, b"")]
_NO_ROUTE = (404, b"no_route")
_REPEATED_ID = (400, b"repeated_id")
_TOO_LARGE = (413, b"body_too_large")
_EARLY_ANSWERS = [
    _NO_ROUTE,
    _REPEATED_ID,
    _TOO_LARGE,
    # To HEAD.
    (404, b""),
    (413, b""),
]


def _expected_answer(message: wire.Message) -> tuple[int, bytes]:
    ids = message.values(wire.NAMES.request_id)
    if message.target.startswith(wire.UNROUTED):
        answer = _NO_ROUTE
    elif len(ids) > 1:
        answer = _REPEATED_ID
    elif len(message.body) > wire.MAX_BODY_BYTES:
        answer = _TOO_LARGE
    else:
        answer = (200, b"answer to " + b"".join(ids))
    return (answer[0], b"") if message.method == b"HEAD" else answer


def check_stream(
    data: bytes, cuts: list[int] | None, work: int, pause: int
) -> None:
    """Fails if a replica or the caller gets anything that it should not."""
    messages = wire.read_all(data)
    outcome = asyncio.run(_run(_cut(data, cuts), work, pause))
    answers = wire.read_answers(
        outcome.answered, [message.method for message in messages]
    )
    expected = [_expected_answer(message) for message in messages]
    served = 0
    while served < min(len(answers), len(expected)):
        if answers[served] != expected[served]:
            break
        served += 1
    if served < len(answers):
        # Of a request that is not whole, the head may have been answered.
        (last,) = answers[served:]
        assert last in _EARLY_ANSWERS or (last in _REFUSALS and outcome.closed)
    if served < len(messages):
        assert any(item.may_be_refused for item in messages[: served + 1])
    elif messages and messages[-1].closes:
        assert outcome.closed
    forwarded = []
    for item in outcome.forwarded:
        message = wire.read(item)
        assert message is not None
        assert message.end == len(item)
        assert message.values(wire.NAMES.expected_replica) == [b"r-1"]
        assert message.values(wire.NAMES.deadline) == [b"250"]
        forwarded.append(message.forwarded())
    assert (
        forwarded
        == [
            message.forwarded()
            for message, (status, _) in zip(messages, expected, strict=True)
            if status == 200
        ][: len(forwarded)]
    )
    assert len(forwarded) == sum(
        status == 200 for status, _ in expected[:served]
    )


class TestAnyBytes:
    """Replicas get just what was sent, once and in order, or nothing."""

    @hypothesis.settings(
        max_examples=600, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        _streams(),
        strategies.none() | strategies.lists(strategies.integers(0, 2000)),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
    )
    def test_requests_are_neither_changed_nor_lost_nor_added(
        self, data, cuts, work, pause
    ):
        check_stream(data, cuts, work, pause)
