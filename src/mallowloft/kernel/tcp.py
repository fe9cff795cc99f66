"""What the kernel measures of a TCP connection."""

import asyncio
import socket
import struct

# Offsets in `struct tcp_info` of Linux, which only grows at its end. Round-trip
# times are in microseconds. The smoothed one includes delayed acknowledgements,
# the shortest one does not, but older kernels lack it.
_UNACKNOWLEDGED_OFFSET = 24
_SMOOTHED_OFFSET = 68
_ACKNOWLEDGED_OFFSET = 120
_SHORTEST_OFFSET = 148
_INFO_BYTES = 152


def round_trip_s(transport: asyncio.BaseTransport) -> float | None:
    """Returns the round-trip time of a connection, None if it is unknown."""
    info = _read_info(transport)
    for offset in (_SHORTEST_OFFSET, _SMOOTHED_OFFSET):
        if len(info) >= offset + 4:
            (microseconds,) = struct.unpack_from("=I", info, offset)
            # Without a sample the kernel reports 0 or all bits set.
            if 0 < microseconds < 0xFFFFFFFF:
                return microseconds / 1e6
    return None


def is_acknowledged(transport: asyncio.BaseTransport) -> bool | None:
    """Returns whether the other host has acknowledged all data.

    Returns:
        Whether it has acknowledged all segments that were sent; None if it is
        unknown.
    """
    info = _read_info(transport)
    if len(info) < _SMOOTHED_OFFSET + 4:
        return None
    (smoothed_us,) = struct.unpack_from("=I", info, _SMOOTHED_OFFSET)
    if not smoothed_us:
        return None
    (segments,) = struct.unpack_from("=I", info, _UNACKNOWLEDGED_OFFSET)
    return segments == 0


def acknowledged_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Returns how much the other host has acknowledged, None if unknown."""
    info = _read_info(transport)
    if len(info) < _ACKNOWLEDGED_OFFSET + 8:
        return None
    (size,) = struct.unpack_from("=Q", info, _ACKNOWLEDGED_OFFSET)
    return size


def _read_info(transport: asyncio.BaseTransport) -> bytes:
    """Returns the kernel's `struct tcp_info`, empty if it is unknown."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.family == socket.AF_UNIX:
        return b""
    try:
        return connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
    except OSError:
        return b""
