"""HTTP/1.1 protocol of connections from callers and other instances.

Only whole requests reach the application, unchanged and in the order in which
they were sent, each after the response to the one before it was written. A
message that cannot be read as one request is answered with status 400 or 501;
the connection is then closed.

What a client sends ahead is not parsed and, beyond one read, left to the
operating system. `kernel.connections` has the limits on what a connection may
hold.
"""

import asyncio
import dataclasses
import socket
from typing import Any

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from mallowloft.kernel import connections as connections_lib
from mallowloft.kernel import tcp

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_BAD_REQUEST = 400
_STATUS_TIMEOUT = 408
_STATUS_HEAD_TOO_LARGE = 431
_STATUS_NOT_IMPLEMENTED = 501
_STATUS_UNAVAILABLE = 503
# When a client may try again that was refused for lack of room.
_RETRY_AFTER = b"retry-after: 0.3\r\n"
# Method, version and separators of the first line of a request.
_FIRST_LINE_REST_BYTES = 64
# What the parsed form of a header takes besides its name and value.
_HEADER_COST_BYTES = 160
# Receives the data of all connections; each read is processed at once.
_read_buffer = memoryview(bytearray(connections_lib.FREE_BYTES))

_VERSIONS = ("1.0", "1.1")
_SLASH = ord("/")
_LINE_END = b"\r\n"
# End of a line and an empty line.
_EMPTY_LINE = b"\n\r\n"
_CHECKED_HEADERS = frozenset((b"expect", b"host", b"transfer-encoding"))
# Keys in the `extensions` of the ASGI scope: the `Connection` of the request,
# and its path and query in the bytes that were sent.
CONNECTION_EXTENSION = "mallowloft.connection"
TARGET_EXTENSION = "mallowloft.target"

_SERVING_PHASES = (connections_lib.Phase.SERVING, connections_lib.Phase.AHEAD)
# Why a connection was closed, by the status of its last response.
_END_REASONS = {
    _STATUS_TIMEOUT: "late",
    _STATUS_HEAD_TOO_LARGE: "head_too_large",
    _STATUS_UNAVAILABLE: "memory",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """The connection on which a request arrived.

    Attributes:
        transport: Transport of the connection.
        reused: Whether it has carried an earlier request.
    """

    transport: asyncio.BaseTransport
    reused: bool

    def round_trip_s(self) -> float | None:
        """Returns the round-trip time to the caller, None if unknown."""
        return tcp.round_trip_s(self.transport)


class _RequestError(Exception):
    """A message that is not a request which can be served.

    Attributes:
        status: Status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _Flow(flow_control.FlowControl):
    """Flow control of a connection.

    Attributes:
        holds_input: Whether received data waits, so that reading stays paused.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.holds_input = False

    def resume_reading(self) -> None:
        """Resumes reading unless received data waits."""
        if not self.holds_input:
            super().resume_reading()


class Protocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """HTTP/1.1 protocol of one connection.

    Offers to upgrade the connection are ignored. The parser cannot do that: it
    skips the body of a request with an offer and stops. Such a request is
    therefore parsed a second time, without the header `upgrade`.

    Attributes:
        charged_bytes: See `connections.Connection`, as for `phase`.
        phase: What the connection does.
    """

    # With more attributes in its dictionary, an instance would no longer share
    # the keys with others, and access to all attributes would be slower.
    __slots__ = (
        "_ahead",
        "_body_bytes",
        "_body_left",
        "_checked_headers",
        "_deadline_s",
        "_discarded_bytes",
        "_error_status",
        "_framing_bytes",
        "_group",
        "_has_carried_request",
        "_head_bytes",
        "_head_without_offer",
        "_held_body_bytes",
        "_in_body",
        "_in_head",
        "_limits",
        "_lingers",
        "_read_progress",
        "_skipped_bytes",
        "_started",
        "_unread_bytes",
        "_unread_since_s",
        "charged_bytes",
        "phase",
    )

    def __init__(
        self,
        *args: Any,
        group: connections_lib.ConnectionGroup,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._group = group
        self._limits = group.limits
        self.timeout_keep_alive = self._limits.idle_timeout_s
        self.charged_bytes = 0
        self.phase = connections_lib.Phase.RECEIVING
        self._has_carried_request = False
        # Whether a part of a head was read.
        self._in_head = False
        # Whether the head of a request was read, but not all of its body.
        self._in_body = False
        # Size of the present head so far, and of empty lines before it.
        self._head_bytes = 0
        self._skipped_bytes = 0
        # Rest of a body with a stated length; 0 for other bodies.
        self._body_left = 0
        # Size of the present body so far, with its framing, and without it; of
        # what the application holds of it, and of what was discarded.
        self._framing_bytes = 0
        self._body_bytes = 0
        self._held_body_bytes = 0
        self._discarded_bytes = 0
        # Received data that is parsed after the present response.
        self._ahead = b""
        # When the present head, body or wait ends at the latest.
        self._deadline_s: float | None = None
        # Size of the answer that the client has not read, what tells whether it
        # reads, and since when that has not changed.
        self._unread_bytes = 0
        self._read_progress: tuple[int, int | None] = (0, None)
        self._unread_since_s = 0.0
        self._checked_headers: list[tuple[bytes, bytes]] = []
        # Head of the present request, without its offer to upgrade.
        self._head_without_offer = b""
        # The last request that the application was given.
        self._started: httptools_impl.RequestResponseCycle | None = None
        # Status of the response to a message that cannot be served. What
        # follows it is discarded.
        self._error_status = 0
        # Whether data is discarded until the client closes the connection.
        self._lingers = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts waiting for a request; refuses if there is no room."""
        super().connection_made(transport)
        self.flow = _Flow(transport)
        # Writing pauses as soon as the client does not read all at once. With
        # 0, a TLS transport would pause for good.
        transport.set_write_buffer_limits(high=int(self.scheme == "https"))
        self._arm_idle_timeout()
        if not self._group.admit(self):
            self._group.budget.count_end("too_many")
            self._end_unserved()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the application, and drops what was sent ahead."""
        self._ahead = b""
        self._unset_keepalive_if_required()
        if self._is_serving():
            self._disconnect(self._started)
        super().connection_lost(exc)
        self._group.remove(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses data that was read into the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses data; refuses what is not a request."""
        if self._error_status or self._lingers:
            self._discard(len(data))
        elif self._ahead:
            # Was read before reading was paused.
            self._hold(self._ahead + data)
        else:
            self._read(data)

    def _read(self, data: bytes) -> None:
        try:
            self._feed(data)
        except _RequestError as error:
            self._refuse(error.status)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _RequestError):
                self._refuse(cause.status)
            else:
                self.logger.warning("Invalid HTTP request received.")
                self._refuse(_STATUS_BAD_REQUEST)

    def _feed(self, data: bytes) -> None:
        """Parses requests until one is to be served.

        Raises:
            _RequestError: The data is no request within the limits.
            httptools.HttpParserError: The data is not a request.
        """
        start = 0
        while start < len(data):
            if self._must_wait():
                self._hold(data[start:])
                return
            if not (self._in_head or self._in_body):
                start = self._skip_empty_lines(data, start)
                if start == len(data):
                    return
                self._begin_head()
            end = self._message_bound(data, start)
            if self._in_head:
                self._head_bytes += end - start
            elif not self._body_left:
                self._framing_bytes += end - start
            # At most one message ends with this piece.
            self._parse(data[start:end])
            start = end
            if self._in_head:
                self._check_head()
            elif self._in_body:
                self._check_body()
        if self._in_head:
            self._set_deadline(self._limits.head_timeout_s)
            if not self._charge():
                raise _RequestError(_STATUS_UNAVAILABLE)
        elif self._in_body:
            self._set_deadline(self._limits.body_timeout_s)

    def _must_wait(self) -> bool:
        """Whether the response to a whole request is incomplete or unsent."""
        if self._in_head or self._in_body:
            return False
        cycle = self.cycle
        return self.flow.write_paused or (
            cycle is not None and not cycle.response_complete
        )

    def _skip_empty_lines(self, data: bytes, start: int) -> int:
        """Returns the offset after empty lines, which may precede a request."""
        if data[start] not in _LINE_END:
            return start
        end = len(data) - len(data[start:].lstrip(_LINE_END))
        self._skipped_bytes += end - start
        if self._skipped_bytes > self._limits.max_head_bytes:
            raise _RequestError(_STATUS_HEAD_TOO_LARGE)
        return end

    def _begin_head(self) -> None:
        self._unset_keepalive_if_required()
        self._in_head = True
        self._head_bytes = self._skipped_bytes = 0
        self._body_left = self._body_bytes = self._framing_bytes = 0
        self._held_body_bytes = self._discarded_bytes = 0
        self._deadline_s = None
        self.url = b""
        self.headers = []
        if self.phase is not connections_lib.Phase.RECEIVING:
            self._group.move(self, connections_lib.Phase.RECEIVING)

    def _message_bound(self, data: bytes, start: int) -> int:
        """Returns the end of a part in which at most one message ends.

        A head, and a body in chunks, end with an empty line.
        """
        if self._body_left:
            return min(start + self._body_left, len(data))
        if start == 0 and data[0] in _LINE_END:
            # May complete a line end that the last read has cut.
            return data.index(b"\n") + 1 if b"\n" in data[:2] else 1
        # The line before an empty one may have been the end of the last part.
        at = data.find(_EMPTY_LINE, max(0, start - 1))
        return len(data) if at < 0 else at + len(_EMPTY_LINE)

    def _check_head(self) -> None:
        """Raises `_RequestError` if the present head is too large."""
        limit = self._limits.max_head_bytes
        first_line = len(self.url)
        rest = self._head_bytes - first_line - _FIRST_LINE_REST_BYTES
        if first_line > limit or rest > limit:
            raise _RequestError(_STATUS_HEAD_TOO_LARGE)

    def _check_body(self) -> None:
        """Raises `_RequestError` if the framing of a body is too large."""
        framing = self._framing_bytes - self._body_bytes
        if framing > self._limits.max_framing_bytes(self._body_bytes):
            raise _RequestError(_STATUS_BAD_REQUEST)

    def _hold(self, data: bytes) -> None:
        """Keeps data until the present response is sent; stops reading."""
        self._ahead = data
        if not self.flow.holds_input:
            self.flow.pause_reading()
            self.flow.holds_input = True
            self._group.budget.watch(self)
            if self.phase is connections_lib.Phase.SERVING:
                self._group.move(self, connections_lib.Phase.AHEAD)
        self._charge()

    def _read_held(self) -> None:
        """Parses what was sent ahead, if the next request may be served."""
        if not self.flow.holds_input or self._must_wait():
            return
        data, self._ahead = self._ahead, b""
        self.flow.holds_input = False
        self._read(data)
        self.flow.resume_reading()

    def _charge(self) -> bool:
        """Records what the connection holds; returns whether it may."""
        size = self._unread_bytes + len(self._ahead)
        # The application holds the parts of a body and joins them.
        size += 2 * self._held_body_bytes
        if self.flow.holds_input:
            size += connections_lib.FULL_BUFFER_BYTES
        if self.flow.write_paused:
            size += connections_lib.FULL_BUFFER_BYTES
        if self.headers is not None:
            size += self._head_bytes + _HEADER_COST_BYTES * len(self.headers)
        if size <= connections_lib.FREE_BYTES and not self.charged_bytes:
            return True
        return self._group.budget.charge(self, size)

    def _set_deadline(self, timeout_s: float) -> None:
        if self._deadline_s is None:
            self._deadline_s = self.loop.time() + timeout_s
            self._group.budget.watch(self)

    def _arm_idle_timeout(self) -> None:
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def timeout_keep_alive_handler(self) -> None:
        """Closes a connection without a request."""
        if not self.transport.is_closing() and not self.flow.write_paused:
            self._group.budget.count_end("idle")
            self.transport.close()

    def check(self, now_s: float) -> bool:
        """Ends the connection if it has exceeded a time limit."""
        if self.flow.write_paused:
            # The operating system takes more only when a large part of its
            # buffer is free, which takes long on a slow link.
            progress = (
                self.transport.get_write_buffer_size(),
                tcp.acknowledged_bytes(self.transport),
            )
            if progress != self._read_progress:
                self._read_progress = progress
                self._unread_bytes, _ = progress
                self._unread_since_s = now_s
                self._charge()
            elif now_s - self._unread_since_s >= self._limits.idle_timeout_s:
                self._abort("unread_answer")
                return False
        if self._deadline_s is not None and now_s >= self._deadline_s:
            self._deadline_s = None
            if self._lingers:
                self.transport.abort()
            else:
                self._refuse(_STATUS_TIMEOUT)
        return (
            self._deadline_s is not None
            or self.flow.write_paused
            or self.flow.holds_input
        )

    def paused_descriptor(self) -> int | None:
        """Returns the descriptor if the connection is open but not read."""
        if not self.flow.read_paused or self.transport.is_closing():
            return None
        connection = self.transport.get_extra_info("socket")
        return None if connection is None else connection.fileno()

    def client_left(self) -> None:
        """Ends the connection, because the client has closed its side."""
        self.transport.abort()

    def buffer_answers(self) -> None:
        """Lets the operating system take whole answers before the process ends.

        It goes on sending them to clients that read slowly. While the process
        runs, its small buffer bounds what clients that read nothing can hold.
        """
        connection = self.transport.get_extra_info("socket")
        if connection is not None and not self.transport.is_closing():
            connection.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_SNDBUF,
                connections_lib.STOP_BUFFER_BYTES,
            )

    def make_room(self) -> None:
        """Ends the connection, at once or with the present answer."""
        if self.phase is connections_lib.Phase.AHEAD:
            # The request after the present one gets the error.
            self._error_status = _STATUS_UNAVAILABLE
            self._ahead = b""
            self._group.move(self, connections_lib.Phase.SERVING)
            self._charge()
        elif self.phase is connections_lib.Phase.RECEIVING:
            self._end_unserved()
        else:
            self.transport.abort()
            self._end()

    def _abort(self, reason: str) -> None:
        self._group.budget.count_end(reason)
        self.transport.abort()
        self._end()

    def _end_unserved(self) -> None:
        """Refuses the present request for lack of room and closes."""
        self._error_status = _STATUS_UNAVAILABLE
        if self._in_body:
            self._disconnect(self.cycle)
        if not (self._in_body and self.cycle.response_started):
            self._write_error()
        self.transport.close()
        self._end()

    def _end(self) -> None:
        """Drops what a connection holds that is being closed."""
        self._ahead = b""
        self.headers = []
        self._head_bytes = self._held_body_bytes = self._unread_bytes = 0
        self.flow.holds_input = False
        self._group.move(self, connections_lib.Phase.ENDING)
        self._group.budget.charge(self, 0)

    def pause_writing(self) -> None:
        """Records that the client does not read all of an answer."""
        super().pause_writing()
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._unread_since_s = self.loop.time()
        self._group.budget.watch(self)
        if self.phase in _SERVING_PHASES:
            self._group.move(self, connections_lib.Phase.UNREAD)
        self._charge()

    def resume_writing(self) -> None:
        """Goes on with the next request after an answer has been sent."""
        super().resume_writing()
        self._unread_bytes = 0
        if self.transport.is_closing():
            return
        if self.phase is connections_lib.Phase.UNREAD:
            if self.cycle.response_complete:
                self._arm_idle_timeout()
                self._group.move(self, connections_lib.Phase.IDLE)
            elif self.flow.holds_input:
                self._group.move(self, connections_lib.Phase.AHEAD)
            else:
                self._group.move(self, connections_lib.Phase.SERVING)
        self._read_held()
        if self.charged_bytes:
            self._charge()

    def on_message_begin(self) -> None:
        """Creates the scope of a request."""
        super().on_message_begin()
        self._checked_headers = []
        self.scope["extensions"] = {
            CONNECTION_EXTENSION: Connection(
                self.transport, self._has_carried_request
            )
        }

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; ignores trailers, which follow the body."""
        if self._in_body:
            return
        name = name.lower()
        # The parser keeps white space that follows the value.
        header = (name, value.rstrip(b" \t"))
        if name in _CHECKED_HEADERS:
            self._checked_headers.append(header)
        elif name == b"content-length" and header[1].isdigit():
            self._body_left = int(header[1])
        self.headers.append(header)

    def on_headers_complete(self) -> None:
        """Gives the request to the application, or raises `_RequestError`.

        The acknowledgement that a request expects is sent at once. uvicorn
        sends it when the application starts to read the body, which on a busy
        event loop is some iterations later. Other instances take a late
        acknowledgement for a fault of this one.
        """
        self._check_head()
        if self._is_serving():
            # The parser takes something else for the end of a message.
            raise _RequestError(_STATUS_BAD_REQUEST)
        version = self.parser.get_http_version()
        if version not in _VERSIONS:
            raise _RequestError(_STATUS_BAD_REQUEST)
        if self.parser.should_upgrade():
            method = self.parser.get_method()
            if method == b"CONNECT":
                raise _RequestError(_STATUS_NOT_IMPLEMENTED)
            self._head_without_offer = self._encode_head(method, version)
            return
        checked = self._checked_headers
        if len(checked) != 1 or checked[0][0] != b"host":
            self._check_headers(version)
        if self.url[0] != _SLASH or b"#" in self.url:
            self._check_target()
        self.scope["extensions"][TARGET_EXTENSION] = self.url
        if not self._charge():
            raise _RequestError(_STATUS_UNAVAILABLE)
        super().on_headers_complete()
        self._in_head = False
        self._deadline_s = None
        self._in_body = True
        self._has_carried_request = True
        # Between two parts of the response to an earlier request, the
        # acknowledgement would be read as a part of it.
        cycle = self.cycle
        if cycle.waiting_for_100_continue and cycle is self._started:
            cycle.waiting_for_100_continue = False
            self.transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Passes a part of a body on; discards it after the response."""
        size = len(body)
        if self._body_left:
            self._body_left -= size
        self._body_bytes += size
        if self.cycle.response_complete:
            self._discarded_bytes += size
            if self._discarded_bytes > self._limits.max_discarded_bytes:
                raise _RequestError(_STATUS_BAD_REQUEST)
        else:
            self._held_body_bytes += size
            if not self._charge():
                raise _RequestError(_STATUS_UNAVAILABLE)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Completes the request, unless it will be parsed a second time."""
        if self._in_body:
            self._in_body = False
            self._body_left = 0
            self._deadline_s = None
            cycle = self.cycle
            if not cycle.response_complete:
                cycle.more_body = False
                cycle.message_event.set()
                self._group.move(self, connections_lib.Phase.SERVING)

    def on_response_complete(self) -> None:
        """Starts the next request, or sends the response to an error."""
        super().on_response_complete()
        if self.transport.is_closing():
            if self.flow.write_paused:
                self._group.move(self, connections_lib.Phase.UNREAD)
            return
        if self._error_status:
            if not self._is_serving():
                self._send_error()
            return
        self._head_bytes = self._held_body_bytes = 0
        self.headers = []
        if self.flow.write_paused:
            self._group.move(self, connections_lib.Phase.UNREAD)
        else:
            self._group.move(self, connections_lib.Phase.IDLE)
            self._read_held()
        if self.charged_bytes:
            self._charge()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: Any
    ) -> None:
        self._started = cycle
        super()._start_asgi_task(cycle, app)

    def _is_serving(self) -> bool:
        """Whether the application has a request without complete response."""
        started = self._started
        return started is not None and not (
            started.response_complete or started.disconnected
        )

    def _parse(self, data: bytes | memoryview) -> None:
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                (length,) = offer.args
            self.parser = httptools.HttpRequestParser(self)
            # As in uvicorn: data after a request that closes the connection is
            # ignored, not an error.
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            self.parser.feed_data(self._head_without_offer)
            data = memoryview(data)[length:]

    def _encode_head(self, method: bytes, version: str) -> bytes:
        """Returns the head of the present request without `upgrade`."""
        lines = [b"%s %s HTTP/%s" % (method, self.url, version.encode())]
        lines += [
            name + b": " + value
            for name, value in self.headers
            if name != b"upgrade"
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _check_headers(self, version: str) -> None:
        """Applies the headers that frame the request.

        Raises:
            _RequestError: Another parser might read the request differently,
                or its body has an encoding other than in chunks.
        """
        has_host = False
        for name, value in self._checked_headers:
            if name == b"host":
                if has_host:
                    raise _RequestError(_STATUS_BAD_REQUEST)
                has_host = True
            elif name == b"transfer-encoding":
                if version == "1.0":
                    raise _RequestError(_STATUS_BAD_REQUEST)
                if value.lower() != b"chunked":
                    raise _RequestError(_STATUS_NOT_IMPLEMENTED)
            elif value.lower() == b"100-continue":
                self.expect_100_continue = version != "1.0"

    def _check_target(self) -> None:
        """Reduces a target in absolute form to its path and query.

        Raises:
            _RequestError: The target has a fragment, names another origin than
                the request, or has no path.
        """
        if self.url == b"*":
            return
        host = next(
            (value for name, value in self._checked_headers if name == b"host"),
            None,
        )
        scheme, _, rest = self.url.partition(b"://")
        authority, slash, path = rest.partition(b"/")
        if (
            scheme.lower() != self.scheme.encode()
            or host is None
            or authority.lower() != host.lower()
            or not slash
            or b"#" in path
        ):
            raise _RequestError(_STATUS_BAD_REQUEST)
        self.url = b"/" + path

    def _refuse(self, status: int) -> None:
        """Answers the present message with an error and stops reading.

        The application gets no further part of its request.
        """
        self._group.budget.count_end(_END_REASONS.get(status, "malformed"))
        self._error_status = status
        self._deadline_s = None
        cycle = self.cycle
        if self._in_body:
            if cycle.response_started:
                self._disconnect(cycle)
                self._linger()
                return
            if cycle is not self._started:
                self.pipeline.popleft()
            self._disconnect(cycle)
        if not self._is_serving():
            self._send_error()

    def _disconnect(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        cycle.disconnected = True
        cycle.message_event.set()

    def _send_error(self) -> None:
        """Writes the response to an error and closes the connection."""
        if self.transport.is_closing() or self._lingers:
            return
        self._write_error()
        self._linger()

    def _write_error(self) -> None:
        lines = [httptools_impl.STATUS_LINE[self._error_status]]
        lines += [
            name + b": " + value + b"\r\n"
            for name, value in self.server_state.default_headers
        ]
        if self._error_status == _STATUS_UNAVAILABLE:
            lines.append(_RETRY_AFTER)
        lines.append(b"content-length: 0\r\nconnection: close\r\n\r\n")
        self.transport.write(b"".join(lines))

    def _linger(self) -> None:
        """Closes the connection once the client has read the response.

        What the client still sends is discarded for a short time: closing a
        connection with unread data resets it, and the client could miss the
        response.
        """
        self._lingers = True
        self._unset_keepalive_if_required()
        self._end()
        self._discarded_bytes = 0
        if not self.transport.can_write_eof():
            self.transport.close()
            return
        self.transport.write_eof()
        self._group.move(self, connections_lib.Phase.LINGERING)
        self._deadline_s = None
        self._set_deadline(self._limits.linger_s)
        self.flow.resume_reading()

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if (
            self._lingers
            and self._discarded_bytes > self._limits.max_discarded_bytes
        ):
            self.transport.abort()
