"""Configuration of the test run."""

import structlog

# Scenarios write thousands of lines; a failing test prints its violations.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(100),
    cache_logger_on_first_use=False,
)
