"""Runs a case: records what happens and sets the exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import time
import traceback

from rig import deployment as deployment_lib

BROKEN = 1
HELD = 0
_COULD_NOT_RUN = 2
_LIMIT_S = 110.0


class Record:
    """Lines of the file record.txt beside a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._started_s = time.monotonic()

    def since(self, at_s: float) -> float:
        """Returns the time from the start of the case to a moment."""
        return at_s - self._started_s

    def line(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(text)

    def event(self, text: str) -> None:
        """Adds a line with the present time and prints it."""
        text = f"{self.since(time.monotonic()):8.3f} s  {text}"
        print(text, flush=True)
        self.line(text)

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def run(
    file: str,
    instances: int,
    play: Callable[[deployment_lib.Deployment, Record, bool], Awaitable[bool]],
) -> None:
    """Plays a case and ends the process with the exit status of the case.

    Args:
        file: The case's source file.
        instances: Number of instances.
        play: Plays the case, with or without the disruption, and returns
            whether the rule held.
    """
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> bool:
        site = deployment_lib.Deployment(instances)
        try:
            await site.start()
            async with asyncio.timeout(_LIMIT_S):
                return await play(site, record, trouble)
        finally:
            for run in site.runs:
                record.line(
                    f"{record.since(run.at_s):8.3f} s  {run.server} of service"
                    f" {run.service} runs {run.method} {run.target}"
                    f" id {run.request_id}"
                )
            site.stop()

    try:
        held = asyncio.run(main())
        record.event("the rule held" if held else "the rule was broken")
        status = HELD if held else BROKEN
    except Exception:  # noqa: BLE001
        record.event(traceback.format_exc())
        status = _COULD_NOT_RUN
    record.write()
    sys.exit(status)
