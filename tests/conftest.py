"""Pytest hooks that run async tests and deselect known failures."""

import inspect
import logging
import pathlib

import pytest
import structlog

from tests.support import virtual

# Scenarios would log thousands of lines. Failing tests print the violations
# that they found instead.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    cache_logger_on_first_use=False,
)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Runs an async test on a virtual event loop of its own.

    If the test uses the fixture `run_async`, the value of this fixture runs
    the test instead.
    """
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    run = pyfuncitem.funcargs.get("run_async", virtual.run)
    run(pyfuncitem.obj(**{n: pyfuncitem.funcargs[n] for n in names}))
    return True


_KNOWN_FAILURES_PATH = (
    pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
)


def _known_failures() -> list[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists as `node:`."""
    lines = _KNOWN_FAILURES_PATH.read_text().splitlines()
    return [
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("node:")
    ]


def pytest_addoption(parser):
    parser.addoption(
        "--run-known-red",
        action="store_true",
        help="also run the tests that KNOWN-RED.txt lists",
    )


def pytest_collection_modifyitems(config, items):
    if config.getoption("--run-known-red"):
        return
    node_ids = set(_known_failures())
    deselected = [item for item in items if item.nodeid in node_ids]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in node_ids]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter, config):
    if not config.getoption("--run-known-red"):
        for node_id in _known_failures():
            terminalreporter.write_line(f"KNOWN-RED, passed over: {node_id}")
