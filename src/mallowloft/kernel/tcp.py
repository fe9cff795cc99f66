"""What the kernel measures of a TCP connection."""

import asyncio
import socket
import struct

# Offsets in `struct tcp_info` of Linux, which only grows at its end; both
# values are in microseconds. The smoothed round-trip time includes delayed
# acknowledgements, the shortest one does not, but older kernels lack it.
_SMOOTHED_OFFSET = 68
_SHORTEST_OFFSET = 148
_INFO_BYTES = 152


def round_trip_s(transport: asyncio.BaseTransport) -> float | None:
    """Returns the round-trip time of a connection, None if it is unknown."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.family == socket.AF_UNIX:
        return None
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
    except OSError:
        return None
    for offset in (_SHORTEST_OFFSET, _SMOOTHED_OFFSET):
        if len(info) >= offset + 4:
            (microseconds,) = struct.unpack_from("=I", info, offset)
            # Without a sample the kernel reports 0 or all bits set.
            if 0 < microseconds < 0xFFFFFFFF:
                return microseconds / 1e6
    return None
