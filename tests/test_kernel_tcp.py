"""What the kernel measures of a TCP connection."""

import socket
import struct

import pytest

from mallowloft.kernel import tcp


class _Transport:
    """A transport whose socket has a given `struct tcp_info`."""

    family = socket.AF_INET

    def __init__(
        self, segments: int, smoothed_us: int, size: int = 152
    ) -> None:
        info = bytearray(152)
        struct.pack_into("=I", info, 24, segments)
        struct.pack_into("=I", info, 68, smoothed_us)
        self._info = bytes(info[:size])

    def get_extra_info(self, name: str) -> "_Transport":
        """Returns the socket."""
        assert name == "socket"
        return self

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Returns what the kernel measures."""
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        return self._info[:size]


class TestAcknowledged:
    """Guards against taking an unknown state for an acknowledgement."""

    @pytest.mark.parametrize(
        ("segments", "acknowledged"), [(0, True), (1, False), (9, False)]
    )
    def test_segments_without_acknowledgement(self, segments, acknowledged):
        transport = _Transport(segments, 200)
        assert tcp.is_acknowledged(transport) is acknowledged
        assert tcp.round_trip_s(transport) == 0.0002

    @pytest.mark.parametrize("size", [0, 8, 71])
    def test_short_information_says_nothing(self, size):
        transport = _Transport(0, 200, size)
        assert tcp.is_acknowledged(transport) is None
        assert tcp.round_trip_s(transport) is None

    def test_connection_without_a_sample_says_nothing(self):
        assert tcp.is_acknowledged(_Transport(0, 0)) is None

    def test_option_that_is_not_supported_says_nothing(self, monkeypatch):
        def refuse(*args: int) -> bytes:
            raise OSError

        transport = _Transport(0, 200)
        monkeypatch.setattr(transport, "getsockopt", refuse)
        assert tcp.is_acknowledged(transport) is None
