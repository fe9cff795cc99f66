"""Command line."""

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import os
import signal
import sys

import mallowloft
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import registry
from mallowloft.kernel import settings as settings_lib

_EXIT_USAGE = 2

Command = Callable[[argparse.Namespace], int]

commands: registry.Registry[Command] = registry.Registry("command")


async def _run_instance(settings: settings_lib.Settings) -> None:
    kernel = lifecycle.Kernel(settings)
    kernel.build()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await kernel.start()
    await stop.wait()
    await kernel.stop(settings.stop_grace_s)


@commands.register("entry")
def _entry(arguments: argparse.Namespace) -> int:
    loaded = settings_lib.load(arguments, os.environ)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return _EXIT_USAGE
    settings = loaded.unwrap()
    logs.configure(settings.log_level, settings.instance_id)
    registry.load_plugins()
    asyncio.run(_run_instance(settings))
    return 0


@commands.register("version")
def _version(arguments: argparse.Namespace) -> int:
    del arguments
    print(mallowloft.__version__)
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mallowloft", description=mallowloft.__doc__
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    entry = subparsers.add_parser("entry", help="run an instance")
    settings_lib.add_arguments(entry)
    subparsers.add_parser("version", help="print the version")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a subcommand and returns the exit status."""
    arguments = _parser().parse_args(argv)
    return commands.by_name[arguments.command](arguments)
