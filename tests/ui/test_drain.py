"""Tests of taking hosts out of service and back."""

import pytest

from harness.deployment import Deployment


@pytest.fixture
def deployment(tmp_path):
    with Deployment(example="volt-trottoir", folder=tmp_path) as deployment:
        deployment.start_platform()
        deployment.publish()
        yield deployment


def test_host_comes_back_after_withdrawal_on_its_machine_or_a_new_one(deployment):
    replace = ("replace", "entry-1", "--yes", "--machine")
    assert deployment.run_command(*replace, "m1").returncode == 0
    refused = deployment.run_command(*replace, "m1")
    assert refused.returncode == 2
    assert "drain --undo" in refused.stderr
    for machine in ("m1", "m2"):
        assert deployment.run_command("withdraw", "entry-1", "--yes").returncode == 0
        refused = deployment.run_command("drain", "entry-1", "--undo")
        assert refused.returncode == 2
        assert "lacewinglug replace" in refused.stderr
        assert deployment.run_command(*replace, machine).returncode == 0
        assert deployment.run_command("drain", "entry-1", "--undo").returncode == 0
