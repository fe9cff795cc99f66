"""Structured logs: one line of key=value pairs for each event.

Lines go to standard output. If the output is a pipe whose reader falls behind,
lines are dropped and counted approximately, so that logging does not block the
process.
"""

import asyncio
import atexit
import collections
import logging
import os
import select
import sys

import structlog

# Lines that are logged within this time are written together.
_FLUSH_DELAY_S = 0.02
# A pipe that is reported writable accepts at least this much without blocking.
_MAX_WRITE_BYTES = 4096
_MAX_BACKLOG_BYTES = 1 << 20


class LineWriter:
    """Writes log text to a file descriptor; does not block on a pipe."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def write(self, text: str) -> None:
        """Adds text to the backlog, or drops it if the backlog is full."""
        line = text.encode("utf-8", "backslashreplace")
        if self._backlog_bytes + len(line) > _MAX_BACKLOG_BYTES:
            self.dropped += 1
            return
        self._backlog.append(line)
        self._backlog_bytes += len(line)

    def flush(self) -> None:
        """Schedules a write; writes at once if no event loop is running."""
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.write_pending()
        else:
            self._timer = loop.call_later(_FLUSH_DELAY_S, self._on_flush_timer)

    def write_pending(self) -> None:
        """Writes as much of the backlog as is possible without blocking."""
        while self._backlog and self._poll.poll(0):
            chunk = b""
            while self._backlog and len(chunk) < _MAX_WRITE_BYTES:
                chunk += self._backlog.popleft()
            self._backlog_bytes -= len(chunk)
            part = chunk[:_MAX_WRITE_BYTES]
            try:
                written = os.write(self._descriptor, part)
            except OSError:
                # The error cannot be logged, because logs go to the same
                # output.
                self.dropped += 1
                return
            rest = chunk[written:]
            if rest:
                self._backlog.appendleft(rest)
                self._backlog_bytes += len(rest)

    def _on_flush_timer(self) -> None:
        self._timer = None
        self.write_pending()
        if self._backlog:
            self.flush()


_writers: list[LineWriter] = []


def dropped_lines() -> int:
    """Returns about how many lines were dropped.

    The text and the line end of a line may count separately, and a failed write
    of several lines counts once.
    """
    return sum(writer.dropped for writer in _writers)


def write_pending() -> None:
    """Writes the lines that wait for the reader of standard output."""
    for writer in _writers:
        writer.write_pending()


def _create_stdout_writer() -> LineWriter:
    writer = LineWriter(sys.stdout.fileno())
    atexit.register(writer.write_pending)
    _writers.append(writer)
    return writer


class _LibraryHandler(logging.Handler):
    """Writes the log records of libraries in the format of this module."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one log record."""
        structlog.get_logger(component="library").log(
            record.levelno,
            "library_message",
            logger=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info,
        )


def configure(level: str, instance: str) -> None:
    """Configures logging of the process.

    Args:
        level: Name of the lowest level that is logged, in lower case.
            Records of libraries below `warning` are never logged.
        instance: Instance id, which is added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "instance", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(_create_stdout_writer()),
        cache_logger_on_first_use=True,
    )
    root = logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(max(logging.WARNING, logging.getLevelName(level.upper())))
    structlog.contextvars.bind_contextvars(instance=instance)


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Returns the logger of one component."""
    return structlog.get_logger(component=name)
