"""Runs one instance until it is told to stop."""

import asyncio
from collections.abc import Callable
import signal

import msgspec

from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs

_log = logs.get("process")


def encode_state(kernel: lifecycle.Kernel) -> bytes:
    """Returns an instance's state as JSON.

    Plug-ins dump what they hold: numbers that JSON lacks become null, other
    types become strings.
    """
    return msgspec.json.encode(kernel.dump(), enc_hook=str)


def _log_state(kernel: lifecycle.Kernel) -> None:
    _log.info("state_dump", state=encode_state(kernel).decode())


async def run(
    kernel: lifecycle.Kernel, on_hangup: Callable[[], None] | None = None
) -> None:
    """Starts the kernel's plug-ins and stops them after SIGTERM or SIGINT.

    Args:
        kernel: The instance; its plug-ins are built.
        on_hangup: Called on SIGHUP.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, _log_state, kernel)
    if on_hangup is not None:
        loop.add_signal_handler(signal.SIGHUP, on_hangup)
    await kernel.start()
    await stop.wait()
    await kernel.stop(kernel.settings.stop_grace_s)
