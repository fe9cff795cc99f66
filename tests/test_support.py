"""Tests of the virtual event loop and the ports that other tests use."""

import asyncio
import socket

import pytest

from standins import ports as ports_lib
from tests.support import virtual


class TestVirtualLoop:
    """The callbacks of a frozen process run only after it is thawed."""

    def test_waiting_advances_the_virtual_time(self):
        async def scenario():
            await asyncio.sleep(3600)
            return asyncio.get_running_loop().time()

        assert virtual.run(scenario()) == 3600

    def test_callbacks_of_a_frozen_process_run_after_thawing(self):
        async def record_times(times):
            loop = asyncio.get_running_loop()
            for _ in range(3):
                await asyncio.sleep(1)
                times.append(loop.time())

        async def scenario():
            loop = asyncio.get_running_loop()
            times: list[float] = []
            task = loop.create_task(
                record_times(times), context=virtual.context_of("i1")
            )
            await asyncio.sleep(1.5)
            loop.freeze("i1")
            await asyncio.sleep(8.5)
            assert times == [1]
            loop.thaw("i1")
            await task
            return times

        assert virtual.run(scenario()) == [1, 10, 11]


class TestReservedPorts:
    """Ports for servers of other processes are not given out twice."""

    def test_two_reservations_have_no_port_in_common(self):
        with ports_lib.ReservedPorts() as one, ports_lib.ReservedPorts() as two:
            ports = one.reserve(100) + two.reserve(100)
        assert len(set(ports)) == 200

    def test_a_server_that_reuses_addresses_can_listen_repeatedly(self):
        with ports_lib.ReservedPorts() as reserved:
            (port,) = reserved.reserve(1)
            for _ in range(2):
                with socket.create_server(("127.0.0.1", port)):
                    caller = socket.create_connection(("127.0.0.1", port))
                    caller.close()

    def test_other_sockets_do_not_get_the_port(self):
        with ports_lib.ReservedPorts() as reserved, socket.socket() as other:
            (port,) = reserved.reserve(1)
            with pytest.raises(OSError, match="in use"):
                other.bind(("127.0.0.1", port))
