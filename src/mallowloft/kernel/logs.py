"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog


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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    root = logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(max(logging.WARNING, logging.getLevelName(level.upper())))
    structlog.contextvars.bind_contextvars(instance=instance)


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """Returns the logger of one component."""
    return structlog.get_logger(component=name)
