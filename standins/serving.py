"""Runs an ASGI application on a port of the loopback interface."""

import asyncio
import contextlib
import socket

import uvicorn


class Server(uvicorn.Server):
    """A server without signal handlers of its own."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leaves signals to the process."""
        yield


def free_ports(count: int) -> list[int]:
    """Returns ports that were free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


async def start(app, port: int) -> tuple[Server, asyncio.Task]:
    """Starts serving and returns once the port accepts connections."""
    server = Server(
        uvicorn.Config(
            app,
            host="127.0.0.1",
            port=port,
            log_config=None,
            access_log=False,
            lifespan="off",
        )
    )
    task = asyncio.create_task(server.serve())
    while not server.started and not task.done():
        await asyncio.sleep(0.005)
    return server, task
