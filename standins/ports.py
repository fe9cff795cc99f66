"""Reserves TCP ports on the loopback interface."""

import socket


class ReservedPorts:
    """Ports that no other process gets until they are released.

    Each port stays bound by a socket that does not listen. A server that sets
    SO_REUSEADDR, as asyncio, uvicorn and ZeroMQ do, can nevertheless listen on
    it, any number of times in succession. Linux does not give a bound port to
    an outgoing connection or to a socket that binds port 0.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> "ReservedPorts":
        return self

    def __exit__(self, *exception: object) -> None:
        self.release()

    def reserve(self, count: int) -> list[int]:
        """Reserves ports, all different, and returns them."""
        ports = []
        for _ in range(count):
            reserving = socket.socket()
            self._sockets.append(reserving)
            reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserving.bind(("127.0.0.1", 0))
            ports.append(reserving.getsockname()[1])
        return ports

    def release(self) -> None:
        """Releases all ports."""
        for reserving in self._sockets:
            reserving.close()
        self._sockets.clear()
