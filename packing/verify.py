"""Checks that the packed program runs as one process and writes no file.

An instance and all subcommands except `explain` run with an empty environment,
in an empty directory and without a Python in the path. The checks read the
process table and /proc. If strace is installed, it records system calls of a
second instance, which inherits the environment.
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

_SAMPLE_INTERVAL_S = 0.005
# Files of the C library and its loader, which may be mapped. All other mapped
# files must come from the packed file.
_SYSTEM_FILE = re.compile(
    r".*/(ld-linux[^/]*|lib(c|m|dl|rt|pthread|util)\.so[^/]*)"
)

_FILE_CHANGE = re.compile(
    r" (creat|mkdir|rename|unlink|symlink|link)\w*\("
    r"|O_(WRONLY|RDWR|CREAT|TRUNC|APPEND|TMPFILE)"
)


class _Report:
    """Prints the results of checks and counts the failed ones."""

    def __init__(self) -> None:
        self.failed = 0

    def check(self, name: str, passed: bool, detail: object = "") -> None:
        """Prints the result of one check."""
        self.failed += not passed
        print(
            f"{'ok    ' if passed else 'FAILED'} {name}  {detail}", flush=True
        )


async def _record_children(pid: int, children: set[str]) -> None:
    """Records children of a process until it ends or the task is cancelled.

    Samples every `_SAMPLE_INTERVAL_S`, so it may miss children that end sooner.
    """
    process = psutil.Process(pid)
    with contextlib.suppress(psutil.NoSuchProcess):
        while True:
            for child in process.children(recursive=True):
                children.add(f"{child.pid} {child.name()}")
            await asyncio.sleep(_SAMPLE_INTERVAL_S)


def _check_process(report: _Report, pid: int, binary: pathlib.Path) -> None:
    """Checks what /proc says about a running instance."""
    process = psutil.Process(pid)
    report.check(
        "the process image is the packed file", process.exe() == str(binary)
    )
    times = process.cpu_times()
    child_time_s = times.children_user + times.children_system
    # Field 11 (cminflt) counts the page faults of children that have ended.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
    child_faults = int(fields.rsplit(")", 1)[1].split()[8])
    report.check(
        "no child process was started and reaped",
        child_time_s == 0 and child_faults == 0,
        f"child time {child_time_s} s, child page faults {child_faults}",
    )
    mapped = {
        item.path
        for item in process.memory_maps()
        if item.path.startswith("/") and not item.path.startswith("/memfd:")
    }
    unexpected = {
        path
        for path in mapped - {str(binary)}
        if not _SYSTEM_FILE.fullmatch(path)
    }
    report.check("no other file is mapped", not unexpected, sorted(unexpected))
    opened = [item.path for item in process.open_files()]
    unexpected = [
        path
        for path in opened
        if path != str(binary) and not path.startswith("/memfd:")
    ]
    report.check("no other file is open", not unexpected, unexpected)
    memory_mb = process.memory_info().rss / 1e6
    print(
        f"       resident memory {memory_mb:.0f} MB, "
        f"{process.num_threads()} threads"
    )


async def _run_command(
    binary: pathlib.Path, directory: str, *arguments: str
) -> tuple[int, str, set[str]]:
    """Runs a subcommand with an empty environment.

    Returns:
        The exit status, the output and the child processes that were seen.
    """
    process = await asyncio.create_subprocess_exec(
        str(binary),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=directory,
        env={},
    )
    children: set[str] = set()
    recording = asyncio.create_task(_record_children(process.pid, children))
    async with asyncio.timeout(30):
        output, _ = await process.communicate()
    recording.cancel()
    await asyncio.gather(recording, return_exceptions=True)
    return process.returncode, output.decode(), children


async def _check_commands(
    report: _Report,
    binary: pathlib.Path,
    directory: str,
    fleet: fleet_lib.Fleet,
    documents_path: str,
) -> None:
    """Runs each subcommand except `explain` once."""
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
        status, output, children = await _run_command(
            binary, directory, *arguments
        )
        last_lines = output.strip().splitlines()[-1:] if status else ""
        report.check(f"{name} exits with 0", status == 0, last_lines)
        report.check(f"{name} starts no process", not children, children)
    status, *_ = await _run_command(binary, directory, "entry")
    report.check("entry without settings exits with 2", status == 2)


async def _start_instance(
    fleet: fleet_lib.Fleet, documents: dict[str, object], specs
) -> fleet_lib.Instance:
    await fleet.start_platform()
    await fleet.start_upstreams(specs)
    await fleet.publish(documents)
    return await fleet.start_instance("entry-0", "fukuoka-a")


async def _check_query(report: _Report, instance: fleet_lib.Instance) -> None:
    async with client_lib.Client(demo.TOKEN) as client:
        called = await client.call(
            "POST", instance.url + "/v1/query/checker", {"query": 1}
        )
    answer = called.unwrap()
    report.check("answers a query", answer.body.get("complete") is True)


async def _check_program(
    report: _Report, binary: pathlib.Path, directory: pathlib.Path
) -> None:
    """Checks a running instance and the subcommands except `explain`."""
    empty = directory / "empty"
    command = ("/usr/bin/env", "-i", "-C", str(empty), str(binary))
    documents_path = directory / "documents.json"
    async with fleet_lib.Fleet(command=command) as fleet:
        specs = demo.replica_specs(fleet.ports)
        documents = demo.configuration_documents(specs)
        documents_path.write_text(json.dumps(documents))
        instance = await _start_instance(fleet, documents, specs)
        children: set[str] = set()
        pid = instance.process.pid
        recording = asyncio.create_task(_record_children(pid, children))
        await _check_query(report, instance)
        await _check_commands(
            report, binary, str(empty), fleet, str(documents_path)
        )
        _check_process(report, pid, binary)
        recording.cancel()
        await asyncio.gather(recording, return_exceptions=True)
        report.check("no child was seen", not children, children)
    report.check("ends with 0 on SIGTERM", instance.process.returncode == 0)


async def _check_system_calls(
    report: _Report, binary: pathlib.Path, directory: pathlib.Path
) -> None:
    """Checks the system calls of an instance that runs under strace."""
    strace = shutil.which("strace")
    if strace is None:
        print("       strace is not installed: system calls were not checked")
        return
    output = directory / "trace"
    calls = "trace=process,openat,open,creat,mkdir,rename,unlink,symlink,link"
    command = (strace, "-f", "-s", "200", "-e", calls, "-o", str(output))
    async with fleet_lib.Fleet(command=(*command, str(binary))) as fleet:
        specs = demo.replica_specs(fleet.ports)
        instance = await _start_instance(
            fleet, demo.configuration_documents(specs), specs
        )
        await _check_query(report, instance)
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
    changed = [line for line in lines if _FILE_CHANGE.search(line)]
    report.check(
        "no recorded call opens a file for writing, creates, renames or"
        " removes one",
        not changed,
        changed[:5],
    )
    print(f"       {len(lines)} lines of the trace were checked")


def main() -> int:
    """Checks the file given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", type=pathlib.Path)
    binary = parser.parse_args().binary.resolve()
    report = _Report()
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        empty = directory / "empty"
        empty.mkdir()
        asyncio.run(_check_program(report, binary, directory))
        created_files = os.listdir(empty)
        report.check(
            "no file in its directory", not created_files, created_files
        )
        asyncio.run(_check_system_calls(report, binary, directory))
    failed = report.failed
    print("build check passed" if not failed else f"{failed} check(s) failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
