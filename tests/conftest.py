"""Configuration of the test run."""

import logging

import structlog

# Scenarios write thousands of lines; a failing test prints its violations.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    cache_logger_on_first_use=False,
)
