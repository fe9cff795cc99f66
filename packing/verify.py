"""Checks the packed program: one process, no file written, every command.

The program runs with an empty environment, in an empty directory, without a
Python in its path. Evidence comes from the process table and from /proc.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import re
import shutil
import sys
import tempfile

import psutil

from mallowloft import client as client_lib
from standins import demo
from standins import fleet as fleet_lib

_SAMPLE_S = 0.005
# What the C library and its loader map; all else must come from the file.
_SYSTEM_FILE = re.compile(
    r".*/(ld-linux[^/]*|lib(c|m|dl|rt|pthread|util)\.so[^/]*)"
)

_CHANGES_FILES = re.compile(
    r" (creat|mkdir|rename|unlink|symlink|link)\w*\("
    r"|O_(WRONLY|RDWR|CREAT|TRUNC|APPEND|TMPFILE)"
)


class _Report:
    """Checks and their results."""

    def __init__(self) -> None:
        self.failed = 0

    def check(self, name: str, holds: bool, detail: object = "") -> None:
        """Prints one check."""
        self.failed += not holds
        print(f"{'ok    ' if holds else 'FAILED'} {name}  {detail}", flush=True)


async def _watch(pid: int, children: set[str]) -> None:
    """Collects the children of a process until cancelled."""
    process = psutil.Process(pid)
    with contextlib.suppress(psutil.NoSuchProcess):
        while True:
            for child in process.children(recursive=True):
                children.add(f"{child.pid} {child.name()}")
            await asyncio.sleep(_SAMPLE_S)


def _check_process(report: _Report, pid: int, binary: pathlib.Path) -> None:
    """Checks what the kernel knows of a running instance."""
    process = psutil.Process(pid)
    report.check("the image is the file", process.exe() == str(binary))
    times = process.cpu_times()
    waited = times.children_user + times.children_system
    # Faults of children that ended are added to their parent.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
    child_faults = int(fields.rsplit(")", 1)[1].split()[8])
    report.check(
        "no child has ended",
        waited == 0 and child_faults == 0,
        f"child time {waited} s, child page faults {child_faults}",
    )
    mapped = {
        item.path
        for item in process.memory_maps()
        if item.path.startswith("/") and not item.path.startswith("/memfd:")
    }
    foreign = {
        path
        for path in mapped - {str(binary)}
        if not _SYSTEM_FILE.fullmatch(path)
    }
    report.check("no other file is mapped", not foreign, sorted(foreign))
    opened = [item.path for item in process.open_files()]
    foreign = [
        path
        for path in opened
        if path != str(binary) and not path.startswith("/memfd:")
    ]
    report.check("no other file is open", not foreign, foreign)
    memory_mb = process.memory_info().rss / 1e6
    print(
        f"       resident memory {memory_mb:.0f} MB, "
        f"{process.num_threads()} threads"
    )


async def _command(
    binary: pathlib.Path, directory: str, *arguments: str
) -> tuple[int, str, set[str]]:
    """Runs a subcommand with an empty environment."""
    process = await asyncio.create_subprocess_exec(
        str(binary),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=directory,
        env={},
    )
    children: set[str] = set()
    watching = asyncio.create_task(_watch(process.pid, children))
    async with asyncio.timeout(30):
        output, _ = await process.communicate()
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    return process.returncode, output.decode(), children


async def _check_commands(
    report: _Report,
    binary: pathlib.Path,
    directory: str,
    fleet: fleet_lib.Fleet,
    documents_path: str,
) -> None:
    """Runs every subcommand once."""
    (instance,) = fleet.instances_by_id.values()
    caller = (f"--url={instance.url}", f"--token={demo.TOKEN}")
    service = demo.SERVICES[0]
    commands = {
        "version": ("version",),
        "check": ("check", documents_path),
        "query": ("query", "checker", '{"hint": 7}', *caller),
        "submit": ("submit", service, f"{service}-s0", "{}", *caller),
        "dump": ("dump", f"--url={instance.operator_url}"),
    }
    for name, arguments in commands.items():
        status, output, children = await _command(binary, directory, *arguments)
        last = output.strip().splitlines()[-1:] if status else ""
        report.check(f"{name} exits with 0", status == 0, last)
        report.check(f"{name} starts no process", not children, children)
    status, *_ = await _command(binary, directory, "entry")
    report.check("entry without settings exits with 2", status == 2)


async def _start(
    fleet: fleet_lib.Fleet, documents: dict[str, object], specs
) -> fleet_lib.Instance:
    await fleet.start_platform()
    await fleet.start_upstreams(specs)
    await fleet.publish(documents)
    return await fleet.start_instance("entry-0", "fukuoka-a")


async def _query(report: _Report, instance: fleet_lib.Instance) -> None:
    async with client_lib.Client(demo.TOKEN) as client:
        called = await client.call(
            "POST", instance.url + "/v1/query/checker", {"query": 1}
        )
    answer = called.unwrap()
    report.check("answers a query", answer.body.get("complete") is True)


async def _verify(
    report: _Report, binary: pathlib.Path, directory: pathlib.Path
) -> None:
    """Runs an instance and every subcommand."""
    empty = directory / "empty"
    command = ("/usr/bin/env", "-i", "-C", str(empty), str(binary))
    specs = demo.replica_specs()
    documents = demo.documents(specs)
    documents_path = directory / "documents.json"
    documents_path.write_text(json.dumps(documents))
    async with fleet_lib.Fleet(command=command) as fleet:
        instance = await _start(fleet, documents, specs)
        children: set[str] = set()
        pid = instance.process.pid
        watching = asyncio.create_task(_watch(pid, children))
        await _query(report, instance)
        await _check_commands(
            report, binary, str(empty), fleet, str(documents_path)
        )
        _check_process(report, pid, binary)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        report.check("no child was seen", not children, children)
    report.check("ends with 0 on SIGTERM", instance.process.returncode == 0)


async def _trace(
    report: _Report, binary: pathlib.Path, directory: pathlib.Path
) -> None:
    """Runs an instance under strace, which sees every system call."""
    tracer = shutil.which("strace")
    if tracer is None:
        print("       strace is not installed: system calls were not checked")
        return
    output = directory / "trace"
    calls = "trace=process,openat,open,creat,mkdir,rename,unlink,symlink,link"
    specs = demo.replica_specs()
    command = (tracer, "-f", "-s", "200", "-e", calls, "-o", str(output))
    async with fleet_lib.Fleet(command=(*command, str(binary))) as fleet:
        instance = await _start(fleet, demo.documents(specs), specs)
        await _query(report, instance)
        for child in psutil.Process(instance.process.pid).children():
            child.terminate()
        await instance.process.wait()
    lines = output.read_text().splitlines()
    images = [line for line in lines if " execve(" in line]
    report.check("one image is executed", len(images) == 1, len(images))
    started = [
        line
        for line in lines
        if re.search(r" (v?fork|clone3?)\(", line)
        and "CLONE_THREAD" not in line
    ]
    report.check("no process is started", not started, started)
    changed = [line for line in lines if _CHANGES_FILES.search(line)]
    report.check("no file is opened for writing", not changed, changed[:5])
    print(f"       {len(lines)} system calls were looked at")


def main() -> int:
    """Checks the file named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", type=pathlib.Path)
    binary = parser.parse_args().binary.resolve()
    report = _Report()
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        empty = directory / "empty"
        empty.mkdir()
        asyncio.run(_verify(report, binary, directory))
        left = os.listdir(empty)
        report.check("no file in its directory", not left, left)
        asyncio.run(_trace(report, binary, directory))
    failed = report.failed
    print("build check passed" if not failed else f"{failed} check(s) failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
