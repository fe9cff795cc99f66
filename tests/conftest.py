"""Configuration of the test run."""

import inspect
import logging
import pathlib

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


_KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def _known_red() -> list[str]:
    """Returns the tests that KNOWN-RED.txt lists by their node."""
    lines = _KNOWN_RED.read_text().splitlines()
    return [
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("node:")
    ]


def pytest_addoption(parser):
    parser.addoption(
        "--run-known-red",
        action="store_true",
        help="run the tests that KNOWN-RED.txt lists as well",
    )


def pytest_collection_modifyitems(config, items):
    if config.getoption("--run-known-red"):
        return
    nodes = set(_known_red())
    passed_over = [item for item in items if item.nodeid in nodes]
    if passed_over:
        items[:] = [item for item in items if item.nodeid not in nodes]
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(terminalreporter, config):
    if not config.getoption("--run-known-red"):
        for node in _known_red():
            terminalreporter.write_line(f"KNOWN-RED, passed over: {node}")
