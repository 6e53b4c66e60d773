"""The procedures of the operators' pages, run as written."""

import time

import msgspec
import pytest

from harness.deployment import Deployment
from lacewinglug.entry.app import StatusReply
from tests.golden.session import SessionTranscript

HOSTS = ["entry-1", "entry-2"]
RUNNERS = ["assistant-1", "locker-app-1"]
ADDED = "assistant-2"
VERSION = """
[versions.amp-8b-2]
model = "amp-8b"
weight_key = "amp-8b/2"
weight_bytes = 16000000000
follows = "amp-8b-1"
"""


class Operator:
    """Runs commands against a deployment and writes them down."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.folder = str(deployment.config_folder)
        self.transcript = SessionTranscript()

    def run(self, *arguments):
        done = self.deployment.run_command(*arguments)
        shown = " ".join(arguments).replace(self.folder, "CONFIG")
        output = (done.stdout + done.stderr).replace(self.folder, "CONFIG")
        self.transcript.note(f"lacewinglug {shown}", f"{output}exit {done.returncode}")

    def edit(self, file, old, new):
        path = self.deployment.config_folder / file
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, new, 1) if old else text + new)

    def status(self):
        done = self.deployment.run_command("status", "--json")
        return msgspec.json.decode(done.stdout, type=StatusReply)

    def wait(self, condition):
        for _ in range(300):
            if condition(self.status()):
                return
            time.sleep(0.1)
        raise AssertionError("the condition did not come true")


def runs(runner, **wanted):
    """Return a condition on the load report of a runner."""

    def condition(status):
        reports = {item.runner: item.report for item in status.runners}
        report = reports.get(runner)
        return report is not None and all(
            getattr(report, name) == value for name, value in wanted.items()
        )

    return condition


@pytest.fixture
def operator(tmp_path):
    with Deployment(example="volt-trottoir", folder=tmp_path) as deployment:
        operator = Operator(deployment)
        path = deployment.config_folder / "runners.toml"
        operator.all_runners = path.read_text()
        tables = operator.all_runners.split("\n\n")
        kept = [t for t in tables if any(f"[runners.{n}]" in t for n in RUNNERS)]
        path.write_text("\n\n".join(kept))
        deployment.start_platform()
        deployment.start_runners(RUNNERS)
        deployment.start_hosts(HOSTS)
        deployment.publish()
        deployment.wait_serving(HOSTS, RUNNERS)
        yield operator


def test_add_runner_change_version_drain_roll_back_report(operator, snapshot):
    deployment = operator.deployment
    tables = operator.all_runners.split("\n\n")
    operator.edit("runners.toml", "", "\n\n" + next(t for t in tables if ADDED in t))
    operator.run("check", operator.folder)
    operator.run("diff", operator.folder)
    operator.run("publish", operator.folder, "--base", "1")
    deployment.start_runners([ADDED])
    operator.wait(runs(ADDED, state="ready", role="mixed"))
    operator.edit("models.toml", "", VERSION)
    operator.edit("services.toml", '"amp-8b-1"', '"amp-8b-2"')
    operator.run("diff", operator.folder)
    operator.run("publish", operator.folder, "--base", "1")
    operator.run("publish", operator.folder, "--base", "2")
    for runner in ("assistant-1", ADDED):
        operator.wait(runs(runner, state="ready", version="amp-8b-2"))
    operator.edit("services.toml", '"amp-8b-2"', '"amp-8b-1"')
    operator.run("publish", operator.folder, "--base", "3")
    operator.wait(runs(ADDED, state="ready", version="amp-8b-1"))
    operator.run("drain", ADDED)
    operator.wait(lambda status: ADDED in status.draining)
    operator.run("drain", ADDED, "--undo")
    operator.run("withdraw", ADDED, "--yes")
    operator.wait(lambda status: ADDED in status.withdrawn)
    operator.run("drain", ADDED, "--undo")
    operator.run("report", "burn")
    assert str(operator.transcript) == snapshot
