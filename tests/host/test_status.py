"""The status report of a host."""

import msgspec

from lacewinglug.host.status import HostReport
from tests.host.test_relay import make_app_runner, running_scene


async def test_report_contains_view_runners_and_budgets():
    async with running_scene(make_app_runner()) as scene:
        await scene.send_request("/unlock/7")
        address = scene.process.metrics_address
        answer = await scene.send_request_to(address, "/status", "GET")
        report = msgspec.json.decode(answer.body, type=HostReport)
    assert (report.host, report.ready, report.leaving) == ("edge-1", True, False)
    assert report.configuration_version == 1
    assert (report.view_source, report.fencing_number) == ("store", None)
    assert report.view_age_s is not None
    [runner] = report.runners
    assert (runner.runner, runner.connections, runner.idle_connections) == (
        "app-1",
        1,
        1,
    )
    assert runner.failure_share == 0.0
    assert [budget.service for budget in report.budgets] == ["app"]
