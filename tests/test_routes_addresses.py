"""Replicas that are listed with the address of another one."""

import asyncio
import dataclasses

import pytest

from mallowloft.routes import model
from tests.support import memory_replicas

_REPLICA = model.Replica("s0-0", "s0", "h", 1, "d1", started=5)


@pytest.fixture(autouse=True)
def run_async():
    return asyncio.run


def _network(*replicas: model.Replica) -> memory_replicas.Network:
    network = memory_replicas.create_network()
    for replica in replicas:
        network.directory.put(replica)
    return network


def _later(number: int, **fields: object) -> model.Replica:
    return dataclasses.replace(
        _REPLICA, id=f"s0-{number}", started=5 + number, **fields
    )


class TestSharedAddress:
    """Only the latest start at an address is used while it is listed."""

    async def test_replica_returns_when_the_later_one_is_removed(self):
        # Guards against a live replica that stays hidden because another entry
        # named its address for a while.
        directory = _network(_REPLICA, _later(1)).directory
        assert directory.entry("s0-0").draining
        directory.remove("s0-1", "delisted")
        assert not directory.entry("s0-0").draining
        assert directory.entry("s0-0").in_subset

    async def test_only_the_latest_of_the_others_returns(self):
        directory = _network(_REPLICA, _later(1), _later(2)).directory
        directory.remove("s0-2", "delisted")
        assert directory.entry("s0-0").draining
        assert not directory.entry("s0-1").draining
        directory.remove("s0-1", "delisted")
        assert not directory.entry("s0-0").draining

    async def test_draining_replica_stays_draining(self):
        replica = dataclasses.replace(_REPLICA, draining=True)
        directory = _network(replica, _later(1)).directory
        directory.remove("s0-1", "delisted")
        assert directory.entry("s0-0").draining

    async def test_removal_of_the_earlier_one_changes_nothing(self):
        directory = _network(_REPLICA, _later(1)).directory
        directory.remove("s0-0", "delisted")
        assert not directory.entry("s0-1").draining
        directory.remove("s0-1", "delisted")
        directory.put(_REPLICA)
        assert not directory.entry("s0-0").draining
