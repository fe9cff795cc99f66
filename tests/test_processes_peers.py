"""Encrypted transport between instances, over sockets of the loopback."""

import asyncio
from typing import Any

import zmq

from mallowloft import messages
from mallowloft import peers as peers_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import settings as settings_lib

_MESSAGE = messages.Leaving("")


def _peers(instance: str, **settings: Any) -> peers_lib.ZeroMqPeers:
    return peers_lib.ZeroMqPeers(
        lifecycle.Kernel(
            settings_lib.Settings(
                instance_id=instance,
                failure_domain="d1",
                peer_port=0,
                **settings,
            )
        )
    )


def _keys(secret: bytes, **public_by_peer: bytes) -> dict[str, str]:
    items = [
        f"{peer.replace('all', '*')}={key.decode()}"
        for peer, key in public_by_peer.items()
    ]
    return {
        "peer_secret_key": secret.decode(),
        "peer_public_keys": ",".join(items),
    }


async def _received(
    sender: peers_lib.ZeroMqPeers,
    receiver: peers_lib.ZeroMqPeers,
    wait_s: float,
) -> list[str]:
    """Sends until a message arrives; returns the senders of messages."""
    seen: list[str] = []
    receiver.on(
        messages.Leaving, lambda origin, _: seen.append(origin.instance)
    )
    for item in (sender, receiver):
        await item.start()
    sender.connect("i2", receiver.address)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + wait_s
    while not seen and loop.time() < end_s:
        sender.send("i2", _MESSAGE)
        await asyncio.sleep(0.02)
    for item in (sender, receiver):
        await item.stop(0)
    return seen


class TestKeys:
    """Only instances with a key of the fleet are listened to."""

    def test_fleet_key(self):
        public, secret = zmq.curve_keypair()
        settings = _keys(secret, all=public)
        seen = asyncio.run(
            _received(_peers("i1", **settings), _peers("i2", **settings), 20)
        )
        assert "i1" in seen

    def test_key_of_each_instance(self):
        public_1, secret_1 = zmq.curve_keypair()
        public_2, secret_2 = zmq.curve_keypair()
        fleet = {"i1": public_1, "i2": public_2}
        seen = asyncio.run(
            _received(
                _peers("i1", **_keys(secret_1, **fleet)),
                _peers("i2", **_keys(secret_2, **fleet)),
                20,
            )
        )
        assert "i1" in seen

    def test_stranger_with_a_key_of_its_own_is_refused(self):
        # Guards against a receiver that encrypts but accepts any sender.
        public, secret = zmq.curve_keypair()
        _, stranger = zmq.curve_keypair()
        seen = asyncio.run(
            _received(
                _peers("i1", **_keys(stranger, all=public)),
                _peers("i2", **_keys(secret, all=public)),
                0.5,
            )
        )
        assert seen == []

    def test_sender_without_key_is_refused(self):
        public, secret = zmq.curve_keypair()
        seen = asyncio.run(
            _received(
                _peers("i1"), _peers("i2", **_keys(secret, all=public)), 0.5
            )
        )
        assert seen == []

    def test_peer_without_known_key_gets_nothing(self):
        # Guards against plain text to a peer whose key is not configured.
        public, secret = zmq.curve_keypair()

        async def scenario():
            sender = _peers("i1", **_keys(secret, i3=public))
            receiver = _peers("i2")
            return await _received(sender, receiver, 0.3)

        assert asyncio.run(scenario()) == []

    def test_without_keys_the_transport_works(self):
        seen = asyncio.run(_received(_peers("i1"), _peers("i2"), 20))
        assert "i1" in seen
