"""Resident memory of the processes of one host."""

import tempfile
import time
from pathlib import Path

from bench.figures import Figure, Target
from bench.procfs import resident_mb
from harness.deployment import Deployment

STEWARD_MEMORY_TARGET_MB = 64.0
_SETTLE_S = 3.0


def run() -> list[Figure]:
    """Measure entry and steward, idle and with an example loaded."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(example="volt-trottoir", folder=Path(folder)) as deployment,
    ):
        deployment.start_platform()
        deployment.start_hosts(["entry-1"])
        url = f"{deployment.entry_url('entry-1')}/v1/status"
        deployment.wait_url("entry-1.entry", url)
        figures = _measure(deployment, "idle")
        deployment.publish()
        time.sleep(_SETTLE_S)
        return figures + _measure(deployment, "loaded")


def measure_idle_steward_mb() -> float:
    """Return the resident memory of a steward without a fleet, in megabytes."""
    idle = next(figure for figure in run() if figure.subject == "steward_idle")
    return idle.value


def _measure(deployment: Deployment, state: str) -> list[Figure]:
    return [
        Figure(
            scenario="memory",
            name="resident_mb",
            subject=f"{program}_{state}",
            value=resident_mb(deployment.processes[f"entry-1.{program}"].pid),
            target=(
                Target(limit=STEWARD_MEMORY_TARGET_MB, direction="at_most")
                if program == "steward"
                else None
            ),
            deterministic=False,
        )
        for program in ("steward", "entry")
    ]
