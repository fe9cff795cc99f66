"""Encrypted transport between instances, over loopback sockets."""

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
    entries = [
        f"{peer.replace('all', '*')}={key.decode()}"
        for peer, key in public_by_peer.items()
    ]
    return {
        "peer_secret_key": secret.decode(),
        "peer_public_keys": ",".join(entries),
    }


async def _received_senders(
    sender: peers_lib.ZeroMqPeers,
    receiver: peers_lib.ZeroMqPeers,
    timeout_s: float,
) -> list[str]:
    """Sends messages until one arrives or the timeout expires.

    Returns:
        The senders of the received messages.
    """
    senders: list[str] = []
    receiver.add_handler(
        messages.Leaving, lambda origin, _: senders.append(origin.instance)
    )
    for transport in (sender, receiver):
        await transport.start()
    sender.connect("i2", receiver.address)
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not senders and loop.time() < deadline_s:
        sender.send("i2", _MESSAGE)
        await asyncio.sleep(0.02)
    for transport in (sender, receiver):
        await transport.stop(0)
    return senders


class TestKeys:
    """Only messages of instances with a configured key are accepted."""

    def test_sender_with_the_shared_key_is_accepted(self):
        public, secret = zmq.curve_keypair()
        settings = _keys(secret, all=public)
        senders = asyncio.run(
            _received_senders(
                _peers("i1", **settings), _peers("i2", **settings), 20
            )
        )
        assert "i1" in senders

    def test_sender_with_its_own_key_is_accepted(self):
        public_1, secret_1 = zmq.curve_keypair()
        public_2, secret_2 = zmq.curve_keypair()
        fleet = {"i1": public_1, "i2": public_2}
        senders = asyncio.run(
            _received_senders(
                _peers("i1", **_keys(secret_1, **fleet)),
                _peers("i2", **_keys(secret_2, **fleet)),
                20,
            )
        )
        assert "i1" in senders

    def test_sender_with_unknown_key_is_refused(self):
        # Guards against a receiver that encrypts but does not authenticate.
        public, secret = zmq.curve_keypair()
        _, unknown_secret = zmq.curve_keypair()
        senders = asyncio.run(
            _received_senders(
                _peers("i1", **_keys(unknown_secret, all=public)),
                _peers("i2", **_keys(secret, all=public)),
                0.5,
            )
        )
        assert senders == []

    def test_sender_without_key_is_refused(self):
        public, secret = zmq.curve_keypair()
        senders = asyncio.run(
            _received_senders(
                _peers("i1"), _peers("i2", **_keys(secret, all=public)), 0.5
            )
        )
        assert senders == []

    def test_nothing_is_sent_to_a_peer_without_configured_key(self):
        # Guards against unencrypted messages to a peer without a known key.
        public, secret = zmq.curve_keypair()

        async def scenario():
            sender = _peers("i1", **_keys(secret, i3=public))
            receiver = _peers("i2")
            return await _received_senders(sender, receiver, 0.3)

        assert asyncio.run(scenario()) == []

    def test_transport_works_without_keys(self):
        senders = asyncio.run(_received_senders(_peers("i1"), _peers("i2"), 20))
        assert "i1" in senders
