"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog


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
    structlog.contextvars.bind_contextvars(instance=instance)


def get(name: str) -> structlog.typing.FilteringBoundLogger:
    """Returns the logger of one component."""
    return structlog.get_logger(component=name)
