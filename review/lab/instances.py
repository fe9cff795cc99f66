"""Starts instances with the command of the deploy file."""

import asyncio
import os
import pathlib
import random
import signal
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "{zone}"
region = "r1"
seeds = [{seeds}]
bootstrap = {bootstrap}
heartbeatIntervalMs = 1200
[zones]
{zones}
[listen]
front = "{host}:8104"
ready = "{host}:8108"
control = "{host}:8106"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 4000
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
revertSlackMs = 250
outerBoundMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 56
recoveryS = 12
[platform]
address = "{store}"
form = "read"
readsPerS = 2000
historyS = 20
"""


def random_network() -> str:
    """Returns the first three parts of loopback addresses for one run."""
    rng = random.SystemRandom()
    return f"127.{rng.randint(2, 250)}.{rng.randint(1, 250)}"


class Instance:
    """One instance, at a loopback address of its own."""

    def __init__(self, name: str, zone: str, host: str, folder) -> None:
        self.name, self.zone, self.host = name, zone, host
        self.front = (host, 8104)
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def write_settings(
        self, seeds, zones, store: str, bootstrap: bool = False
    ) -> None:
        """Writes the settings file."""
        self.settings_path.write_text(
            _SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                bootstrap=str(bootstrap).lower(),
                zones="\n".join(f'{zone} = "r1"' for zone in zones),
                store=store,
            )
        )

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "MALLOWLOFT_CONFIG": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Asks for the readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, 8108)
                writer.write(
                    b"GET /mallowloft/readiness HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                head = await reader.read(15)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in head

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the instance is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
