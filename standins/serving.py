"""Runs an ASGI application on a port of the loopback interface."""

import asyncio
import contextlib

import uvicorn


class Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers; the caller does."""
        yield


async def start(app, port: int) -> tuple[Server, asyncio.Task]:
    """Starts a server and returns once the port accepts connections.

    It also returns if the server has ended before. If the port is in use, the
    task raises SystemExit, which ends the event loop.

    Returns:
        The server and the task that runs it.
    """
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
