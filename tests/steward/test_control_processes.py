"""Tests of configuration and membership while real processes fail."""

import json
import shutil
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest

from harness.deployment import Deployment

HOSTS = ["entry-1", "entry-2", "entry-3"]
pytestmark = pytest.mark.processes


def wait_for(condition, failure):
    for _ in range(600):
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise AssertionError(failure)


def fetch_json(url, *, method="GET", body=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.load(response)


def fetch_status(deployment, host):
    return fetch_json(f"{deployment.entry_url(host)}/v1/status")


def fetch_host_state(deployment, viewer, host):
    hosts = fetch_status(deployment, viewer)["hosts"]
    return {item["host"]: item["state"] for item in hosts}.get(host)


def serves_revision(deployment, host, revision):
    return fetch_status(deployment, host)["revision"] == revision


def set_faults(deployment, **faults):
    fetch_json(f"{deployment.platform_url}/faults", method="PUT", body=faults)


def count_records(deployment):
    url = f"{deployment.platform_url}/streams/control/records?offset=0"
    return len(fetch_json(url)["records"])


def kill_process(deployment, name):
    process = deployment.processes.pop(name)
    process.kill()
    process.wait()


@pytest.fixture
def platform(tmp_path):
    with Deployment(example="volt-trottoir", folder=tmp_path) as deployment:
        deployment.start_platform()
        yield deployment


@pytest.fixture
def serving_platform(platform):
    platform.start_hosts(HOSTS)
    platform.publish()
    for host in HOSTS:
        wait_for(
            lambda host=host: serves_revision(platform, host, 1),
            "revision 1 is not in force",
        )
    for host in HOSTS:
        wait_for(
            lambda host=host: fetch_host_state(platform, "entry-1", host) == "live",
            f"{host} is not live",
        )
    return platform


def start_publisher(deployment, folder, *options):
    return subprocess.Popen(
        [
            str(Path(sys.executable).parent / "lacewinglug"),
            "publish",
            str(folder),
            "--log-url",
            deployment.platform_url,
            *options,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("appended", [True, False], ids=["after", "before"])
def test_publish_is_idempotent_when_the_publisher_is_killed_around_its_append(
    platform, appended
):
    options = ["--publish-id", "release-7", "--operator", "ada"]
    if appended:
        set_faults(platform, lose_replies=1)
    else:
        set_faults(platform, silent=True)
    publisher = start_publisher(platform, platform.config_folder, *options)
    if appended:
        wait_for(lambda: count_records(platform) == 1, "no record was appended")
    else:
        time.sleep(1.0)
    publisher.send_signal(signal.SIGKILL)
    publisher.communicate()
    set_faults(platform)
    for _ in range(2):
        done = start_publisher(platform, platform.config_folder, *options)
        output, _ = done.communicate()
        assert (done.returncode, output) == (0, "accepted as revision 1\n")
    assert count_records(platform) == 1
    kill_process(platform, "platform")


def test_concurrent_publish_on_the_same_base_fails_for_one_operator(platform, tmp_path):
    other = tmp_path / "other"
    shutil.copytree(platform.config_folder, other)
    (other / "models.toml").write_text(
        (other / "models.toml").read_text()
        + "\n[models.extra]\nkv_bytes_per_token = 9\n"
    )
    runs = [
        start_publisher(platform, folder, "--base", "0", "--operator", name)
        for folder, name in ((platform.config_folder, "ada"), (other, "bo"))
    ]
    results = [(run, *run.communicate()) for run in runs]
    assert sorted(run.returncode for run, _, _ in results) == [0, 3]
    winner = next(
        name
        for name, (run, _, _) in zip(("ada", "bo"), results, strict=True)
        if run.returncode == 0
    )
    loser = next(item for item in results if item[0].returncode == 3)
    assert f"revision 1 by '{winner}' came first" in loser[2]


def test_paused_steward_is_suspected_and_live_again_after_it_resumes(serving_platform):
    serving_platform.send_signal("entry-2.steward", signal.SIGSTOP)
    wait_for(
        lambda: fetch_host_state(serving_platform, "entry-1", "entry-2") == "suspect",
        "the paused host is not suspected",
    )
    assert fetch_host_state(serving_platform, "entry-1", "entry-3") == "live"
    serving_platform.send_signal("entry-2.steward", signal.SIGCONT)
    wait_for(
        lambda: fetch_host_state(serving_platform, "entry-1", "entry-2") == "live",
        "the resumed host is not live again",
    )


def test_host_that_starts_while_the_log_is_down_gets_the_revision_from_peers(
    serving_platform,
):
    kill_process(serving_platform, "platform")
    for name in ("entry-2.entry", "entry-2.steward"):
        kill_process(serving_platform, name)
    serving_platform.start_steward("entry-2")
    serving_platform.start_entry("entry-2")
    wait_for(
        lambda: serves_revision(serving_platform, "entry-2", 1),
        "entry-2 got no revision from its peers",
    )


def test_second_steward_of_a_host_exits_with_a_remedy_in_its_log(platform):
    for name in ("first", "second"):
        platform.start_steward("entry-1")
        platform.processes[name] = platform.processes.pop("entry-1.steward")
        wait_for(
            lambda: platform.read_log("entry-1.steward"), "the steward logged nothing"
        )
    assert platform.processes["second"].wait(timeout=30) == 2
    log = platform.read_log("entry-1.steward")
    assert "stop the steward that runs on this host" in log
    assert "Traceback" not in log


def test_host_without_log_and_peers_rejects_prompts_as_not_run(platform):
    kill_process(platform, "platform")
    platform.start_hosts(["entry-1"])
    url = f"{platform.entry_url('entry-1')}/v1/status"
    platform.wait_url("entry-1.entry", url)
    prompt = f"{platform.entry_url('entry-1')}/v1/services/assistant/prompts"
    with pytest.raises(urllib.error.HTTPError) as caught:
        fetch_json(prompt, method="POST", body={"prompt": "which bay", "max_tokens": 1})
    assert caught.value.code == 503
    body = caught.value.read().decode()
    assert "no configuration yet" in body
    assert "not_run" in body


def test_log_that_restarts_empty_reverts_nothing(serving_platform):
    kill_process(serving_platform, "platform")
    serving_platform.start_platform()
    serving_platform.publish()
    log = "log lost records"
    wait_for(
        lambda: log in serving_platform.read_log("entry-1.steward"),
        "the steward did not log the loss",
    )
    wait_for(
        lambda: fetch_status(serving_platform, "entry-1")["halted"],
        "the status does not report the halt",
    )
    assert "halted: the log lost" in serving_platform.run_command("status").stdout
    for host in HOSTS:
        assert serves_revision(serving_platform, host, 1)
    kill_process(serving_platform, "entry-3.steward")
    serving_platform.start_steward("entry-3")
    time.sleep(2.0)
    assert serves_revision(serving_platform, "entry-3", 1)
