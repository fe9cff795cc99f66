"""Configuration of the test run."""

import inspect
import logging

import pytest
import structlog

from tests.support import virtual

# Scenarios write thousands of lines; a failing test prints its violations.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    cache_logger_on_first_use=False,
)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Runs an async test to its end on a virtual loop of its own.

    A fixture `run_async` replaces the virtual loop.
    """
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    run = pyfuncitem.funcargs.get("run_async", virtual.run)
    run(pyfuncitem.obj(**{n: pyfuncitem.funcargs[n] for n in names}))
    return True
