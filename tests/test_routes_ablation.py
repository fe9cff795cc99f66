"""Switches that switch mechanisms of routing off."""

import pathlib
import subprocess
import sys

from mallowloft.kernel import findings as findings_lib
from mallowloft.routes import ablation

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Switches replace functions for the whole process, so it is one of its own.
_SCRIPT = """
import logging, random, sys
import structlog
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)
from mallowloft.routes import ablation
from tests.support import replicas as replicas_lib
from tests.support import virtual

names = sys.argv[1].split(",")
ablation.switch_off(names)
rng = random.Random(1)
replicas = [
    replicas_lib.Replica(
        f"{shard}-{domain}", f"s{shard}", domain, rng, lambda rng: 0.01
    )
    for shard in range(12)
    for domain in ("d1", "d2")
]
route = replicas_lib.route(
    shards=tuple(f"s{shard}" for shard in range(12)),
    top_records=3,
    min_coverage=0.5,
)

async def main():
    instance = replicas_lib.Instance("d1", replicas, rng)
    return [(await instance.serve(route)).status for _ in range(5)]

assert virtual.run(main()) == [200] * 5
print(*ablation.Ablation.names)
"""


class TestSwitches:
    """Names are checked, and requests are still served."""

    def test_unknown_names_are_findings(self):
        findings = findings_lib.Findings()
        ablation.check(["hedges", "nothing"], "VARIABLE", findings)
        assert len(findings) == 1
        assert "'nothing'" in str(findings)
        assert "paced_connections" in str(findings)

    def test_requests_are_served_without_all_mechanisms(self):
        names = ",".join(ablation.switches.by_name)
        run = subprocess.run(
            [sys.executable, "-c", _SCRIPT, names],
            cwd=_ROOT,
            env={"PYTHONPATH": f"{_ROOT / 'src'}:{_ROOT}"},
            timeout=60,
            check=True,
            capture_output=True,
            text=True,
        )
        assert run.stdout.split() == names.split(",")
