"""The command that shows a host's report."""

import json

import msgspec
import pytest
from click.testing import CliRunner

from lacewinglug.host.hosts import PeerStatus
from lacewinglug.host.status import HostReport, RetryBudgetStatus, RunnerStatus
from lacewinglug.ui import main
from lacewinglug.ui.common import Answer
from lacewinglug.ui.host_status import describe_report

REPORT = HostReport(
    host="edge-1",
    ready=True,
    leaving=False,
    requests=3,
    configuration_version=7,
    view_age_s=0.42,
    view_source="hosts",
    fencing_number=12,
    peers=[
        PeerStatus(host="edge-2", zone="mtl-b", state="serving", heard_age_s=0.2),
        PeerStatus(host="edge-3", zone="qc-a", state="silent", heard_age_s=None),
    ],
    runners=[
        RunnerStatus(
            runner="runner-0",
            service="assistant",
            zone="mtl-a",
            stage="prefill",
            draining=False,
            in_use=2.5,
            failure_share=0.0,
            blocked_for_s=0.0,
            connections=3,
            idle_connections=1,
        ),
        RunnerStatus(
            runner="runner-1",
            service="locker-app",
            zone="mtl-b",
            stage="",
            draining=True,
            in_use=0.0,
            failure_share=0.21,
            blocked_for_s=0.5,
            connections=0,
            idle_connections=0,
        ),
        RunnerStatus(
            runner="runner-2",
            service="locker-app",
            zone="mtl-b",
            stage="",
            draining=True,
            in_use=1.0,
            failure_share=0.0,
            blocked_for_s=0.0,
            connections=1,
            idle_connections=0,
            leaving_source="response",
            leaving_age_s=1.25,
        ),
        RunnerStatus(
            runner="runner-3",
            service="locker-app",
            zone="mtl-b",
            stage="",
            draining=False,
            in_use=6.0,
            failure_share=0.2,
            blocked_for_s=0.0,
            connections=2,
            idle_connections=2,
            push_back_s=4.5,
        ),
    ],
    budgets=[RetryBudgetStatus(service="assistant", left=16.2)],
    quarantined_parts=["12454e439e7b6f71"],
)


def test_a_report_is_shown_in_lines(snapshot):
    assert "\n".join(describe_report(REPORT)) == snapshot


@pytest.mark.parametrize("body", [b"# HELP lacewinglug_hosts", b'{"host": 1}'])
def test_another_answer_names_the_remedy(monkeypatch, body):
    async def fetch(url, *, remedy):
        return Answer(status=200, body=body)

    monkeypatch.setattr("lacewinglug.ui.host_status.fetch", fetch)
    done = CliRunner().invoke(main, ["host-status", "10.0.0.7:9464"])
    assert done.exit_code == 2
    assert "give the metrics address of a host" in done.output


def test_json_holds_all_fields(monkeypatch):
    async def fetch(url, *, remedy):
        assert url == "http://10.0.0.7:9464/status"
        return Answer(status=200, body=msgspec.json.encode(REPORT))

    monkeypatch.setattr("lacewinglug.ui.host_status.fetch", fetch)
    done = CliRunner().invoke(main, ["host-status", "10.0.0.7:9464", "--json"])
    assert json.loads(done.output)["budgets"] == [
        {"service": "assistant", "left": 16.2}
    ]


def test_a_silent_address_names_the_remedy():
    done = CliRunner().invoke(main, ["host-status", "127.0.0.1:1"])
    assert done.exit_code == 4
    assert "give the host's metrics address" in done.output
