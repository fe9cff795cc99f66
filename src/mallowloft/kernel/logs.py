"""Structured logs: one line of key=value pairs for each event.

Lines go to standard output. A reader that falls behind costs lines, which are
counted, and never makes the process wait.
"""

import asyncio
import atexit
import collections
import logging
import os
import select
import sys

import structlog

# Lines of one loop turn and a little later are written with one call.
_FLUSH_S = 0.02
# A pipe takes at least this much whenever it is reported writable.
_CHUNK_BYTES = 4096
_MAX_BACKLOG_BYTES = 1 << 20


class LineWriter:
    """Writes lines to a descriptor when that does not block."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._writable = select.poll()
        self._writable.register(descriptor, select.POLLOUT)
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def write(self, text: str) -> None:
        """Takes a line, or drops it if too much is waiting."""
        line = text.encode("utf-8", "backslashreplace")
        if self._backlog_bytes + len(line) > _MAX_BACKLOG_BYTES:
            self.dropped += 1
            return
        self._backlog.append(line)
        self._backlog_bytes += len(line)

    def flush(self) -> None:
        """Writes soon, or at once where no loop runs."""
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.drain()
        else:
            self._timer = loop.call_later(_FLUSH_S, self._flush)

    def drain(self) -> None:
        """Writes what the reader takes now."""
        while self._backlog and self._writable.poll(0):
            chunk = b""
            while self._backlog and len(chunk) < _CHUNK_BYTES:
                chunk += self._backlog.popleft()
            self._backlog_bytes -= len(chunk)
            part = chunk[:_CHUNK_BYTES]
            try:
                written = os.write(self._descriptor, part)
            except OSError:
                # Nobody reads any more: nothing can be reported either.
                self.dropped += 1
                return
            rest = chunk[written:]
            if rest:
                self._backlog.appendleft(rest)
                self._backlog_bytes += len(rest)

    def _flush(self) -> None:
        self._timer = None
        self.drain()
        if self._backlog:
            self.flush()


_writers: list[LineWriter] = []


def dropped_lines() -> int:
    """Returns how many lines the reader was too slow for."""
    return sum(writer.dropped for writer in _writers)


def _standard_output() -> LineWriter:
    writer = LineWriter(sys.stdout.fileno())
    atexit.register(writer.drain)
    _writers.append(writer)
    return writer


class _LibraryHandler(logging.Handler):
    """Writes what libraries log in the format of all other lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
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
        level: Name of the lowest level that is written, in lower case.
        instance: Identifier that every line carries.
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
        logger_factory=structlog.PrintLoggerFactory(_standard_output()),
        cache_logger_on_first_use=True,
    )
    root = logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(max(logging.WARNING, logging.getLevelName(level.upper())))
    structlog.contextvars.bind_contextvars(instance=instance)


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """Returns the logger of one component."""
    return structlog.get_logger(component=name)
