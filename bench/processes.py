"""Loads real processes with one scenario of each kind; reported, not gated."""

import tempfile
import threading
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bench.figures import Figure
from harness.deployment import EXAMPLES, Deployment, DeploymentError
from lacewinglug.load.summary import LoadSummary
from lacewinglug.standin.faults import Faults

HOSTS = ["entry-1", "entry-2"]
SEED = 1
_SLOWED_RUNNER = "assistant-1"
_SLOWED_DELAY_S = 1.0
_SLOWED_AFTER_S = 3.0
_SLOWED_FOR_S = 4.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """One load of real processes.

    :param name: name of the scenario.
    :param plan: file of the load plan.
    :param slows_runner: whether one engine is slow for a while.
    """

    name: str
    plan: str
    slows_runner: bool = False


SCENARIOS = (
    Scenario(name="processes_mix_shift", plan="mix-shift.toml"),
    Scenario(name="processes_crest", plan="crest.toml"),
    Scenario(name="processes_blocking", plan="blocking.toml"),
    Scenario(name="processes_slowed", plan="mix-shift.toml", slows_runner=True),
)


def run() -> list[Figure]:
    """Run every scenario on a deployment of its own."""
    return [figure for scenario in SCENARIOS for figure in _run_scenario(scenario)]


def _run_scenario(scenario: Scenario) -> list[Figure]:
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(example="volt-trottoir", folder=Path(folder)) as deployment,
    ):
        deployment.start_platform()
        deployment.start_runners()
        deployment.start_hosts(HOSTS)
        deployment.publish()
        deployment.wait_serving(HOSTS, list(deployment.fleet.runners))
        slowing = threading.Thread(target=_slow_runner, args=(deployment,))
        if scenario.slows_runner:
            slowing.start()
        summary = _send_load(deployment, scenario.plan)
        if scenario.slows_runner:
            slowing.join()
    return _figures(scenario.name, summary)


def _send_load(deployment: Deployment, plan: str) -> LoadSummary:
    path = str(EXAMPLES / "load" / plan)
    done = deployment.run_command("load", path, "--seed", str(SEED), "--json")
    if done.returncode != 0:
        raise DeploymentError(done.stderr)
    return msgspec.json.decode(done.stdout, type=LoadSummary)


def _slow_runner(deployment: Deployment) -> None:
    """Delay the answers of one engine for a while."""
    time.sleep(_SLOWED_AFTER_S)
    _set_delay(deployment, _SLOWED_DELAY_S)
    time.sleep(_SLOWED_FOR_S)
    _set_delay(deployment, 0.0)


def _set_delay(deployment: Deployment, delay_s: float) -> None:
    url = f"{deployment.fleet.runners[_SLOWED_RUNNER].url}/faults"
    data = msgspec.json.encode(Faults(delay_s=delay_s))
    request = urllib.request.Request(url, data=data, method="PUT")
    urllib.request.urlopen(request).close()


def _figures(scenario: str, summary: LoadSummary) -> list[Figure]:
    figures = []
    for kind in summary.kinds:
        answered = kind.outcomes.get("answered", 0) / sum(kind.outcomes.values())
        values = {"answered_share": answered, "p99_s": kind.latency_s.get("p99", 0.0)}
        figures += [
            Figure(
                scenario=scenario,
                name=name,
                subject=kind.kind,
                value=value,
                deterministic=False,
            )
            for name, value in values.items()
        ]
    return figures
