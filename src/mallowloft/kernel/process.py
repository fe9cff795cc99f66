"""Runs one instance until a signal stops it."""

import asyncio
from collections.abc import Callable
import os
import signal
import sys
from typing import NoReturn

import msgspec

from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import memory

_log = logs.get_logger("process")

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def encode_state(kernel: lifecycle.Kernel) -> bytes:
    """Returns an instance's state as JSON.

    Plug-ins may return any values. Numbers that JSON cannot represent, such as
    infinity, become null; values of types that msgspec cannot encode become
    strings.
    """
    return msgspec.json.encode(kernel.dump(), enc_hook=str)


def _log_state(kernel: lifecycle.Kernel) -> None:
    _log.info("state_dump", state=encode_state(kernel).decode())


async def run(
    kernel: lifecycle.Kernel, on_sighup: Callable[[], None] | None = None
) -> None:
    """Starts the plug-ins of an instance; stops them on SIGTERM or SIGINT.

    If SIGTERM or SIGINT arrives during the start, the stop begins after the
    start has finished; its time limit counts from the signal. SIGUSR1 logs the
    state of the instance.

    Args:
        kernel: The instance, whose plug-ins have been constructed.
        on_sighup: Function to call on SIGHUP.
    """
    memory.return_large_blocks()
    loop = asyncio.get_running_loop()
    stop_requested: asyncio.Future[float] = loop.create_future()

    def request_stop() -> None:
        if not stop_requested.done():
            stop_requested.set_result(loop.time())

    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, request_stop)
    loop.add_signal_handler(signal.SIGUSR1, _log_state, kernel)
    if on_sighup is not None:
        loop.add_signal_handler(signal.SIGHUP, on_sighup)
    await kernel.start()
    requested_s = await stop_requested
    elapsed_s = loop.time() - requested_s
    await kernel.stop(max(0.0, kernel.settings.stop_grace_s - elapsed_s))
    # The event loop restores the default actions when it is closed, with which
    # a further signal would end the process with another status.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (*_STOP_SIGNALS, signal.SIGHUP, signal.SIGUSR1)
    )


def exit_at_once(status: int) -> NoReturn:
    """Ends the process without the interpreter's cleanup.

    After a stop, nothing is left to clean up but objects in memory, which takes
    up to a second on a busy machine. Pending log lines are written.
    """
    logs.write_pending()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
