"""Instances of a failure domain that is cut off from all others."""

import asyncio
import types

import pytest

from mallowloft.routes import hubs as hubs_lib
from mallowloft.routes import isolation
from mallowloft.upstream import http1
from tests.support import virtual

_CUT_DOMAIN = "d1"


def _hub(
    name: str, domain: str, role: str = hubs_lib.FORWARDER
) -> hubs_lib.Hub:
    return hubs_lib.Hub(name, f"{name}:1", domain, 10.0, (role,))


_FLEET = (_hub("a1", "d1"), _hub("a2", "d1"), _hub("b1", "d2"))


class _Instance:
    """The monitor of one instance; calls go to the monitors of the others."""

    def __init__(self, name: str, monitors_by_name: dict) -> None:
        hubs = hubs_lib.Hubs(name, _CUT_DOMAIN, 10.0)
        hubs.update(_FLEET, 0)
        kernel = types.SimpleNamespace(
            settings=types.SimpleNamespace(failure_domain=_CUT_DOMAIN),
            plugin=lambda _: types.SimpleNamespace(
                hubs=hubs, mount=lambda path, application: None
            ),
        )
        self.hubs = hubs
        self.monitor = isolation.IsolationMonitor(None, kernel, lambda: None)
        monitors_by_name[name] = self.monitor


@pytest.fixture
def cut_domain(monkeypatch):
    """Returns a function that runs a test in a domain cut off from `d2`."""
    # There is no network to connect to.
    monkeypatch.setattr(http1.Pool, "keep_open", lambda pool: None)

    def run(test) -> None:
        async def main():
            monitors_by_name = {}

            async def send(pool, method, target, host, timeout_s, **options):
                monitor = monitors_by_name.get(host.partition(":")[0])
                if monitor is None:
                    await asyncio.sleep(timeout_s)
                    return http1.FailureReason.BROKEN
                body = await monitor._find_state(verified=b"?" not in target)
                return types.SimpleNamespace(body=body)

            monkeypatch.setattr(
                isolation.http1,
                "send_request",
                lambda pool, method, target, *others, **options: send(
                    pool, method, target.encode(), *others, **options
                ),
            )
            await test(
                _Instance("a1", monitors_by_name),
                _Instance("a2", monitors_by_name),
                monitors_by_name,
            )

        virtual.run(main())

    return run


class TestForwarders:
    """A forwarder says that it is connected only if others answer it."""

    def test_quiet_forwarder_of_a_cut_domain_is_no_way_out(self, cut_domain):
        # Guards against an isolated hub that stays ready because a forwarder
        # without traffic has not noticed the cut yet.
        async def test(hub, forwarder, monitors_by_name):
            del monitors_by_name
            assert not forwarder.hubs.links_lost
            assert not await hub.monitor._find_linked_forwarder()

        cut_domain(test)

    def test_connected_forwarder_is_found(self, cut_domain):
        async def test(hub, forwarder, monitors_by_name):
            del forwarder
            monitors_by_name["b1"] = types.SimpleNamespace(
                _find_state=lambda verified: asyncio.sleep(0, b"connected")
            )
            assert await hub.monitor._find_linked_forwarder()

        cut_domain(test)


class TestReports:
    """A report of a hub ends the wait for the next check."""

    def test_gatherer_is_asked_if_a_seed_does_not_answer(self, cut_domain):
        # Guards against instances without traffic that notice a cut only
        # seconds later, while hubs have lost the source and tell them nothing.
        async def test(hub, other, monitors_by_name):
            del monitors_by_name
            hub.hubs.links_lost = True
            gatherer = _hub("a1", _CUT_DOMAIN, hubs_lib.GATHERER)
            other.hubs.update((gatherer, *_FLEET[1:]), 0)
            other.hubs.suspect_isolation()
            assert other.hubs.isolation_reported.is_set()
            assert await other.monitor._check_isolated_hub()
            hub.hubs.links_lost = False
            assert not await other.monitor._check_isolated_hub()

        cut_domain(test)

    def test_report_ends_the_wait(self, cut_domain):
        async def test(hub, other, monitors_by_name):
            del monitors_by_name
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            wait = asyncio.create_task(other.monitor._wait())
            await asyncio.sleep(0.01)
            entry = other.hubs.forwarders(loop.time())[0]
            assert not entry.remote
            other.hubs.record_isolated(entry)
            await wait
            assert loop.time() - started_s < 0.02
            del hub

        cut_domain(test)
