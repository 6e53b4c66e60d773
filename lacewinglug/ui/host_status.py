"""The command ``lacewinglug host-status``."""

import click
import msgspec

from lacewinglug.errors import UserError
from lacewinglug.host.hosts import PeerStatus
from lacewinglug.host.status import STATUS_TARGET, HostReport, RunnerStatus
from lacewinglug.ui.common import echo_json, fetch, json_option, run_async


@click.command(
    "host-status", epilog="Example: lacewinglug host-status 10.0.0.7:9464 --json"
)
@click.argument("address", metavar="IP:PORT")
@json_option
def host_status(address: str, as_json: bool) -> None:
    """Show what the host with the metrics address IP:PORT believes and holds."""
    url = f"http://{address}{STATUS_TARGET.decode()}"
    answer = run_async(fetch(url, remedy="give the host's metrics address"))
    try:
        report = msgspec.json.decode(answer.body, type=HostReport)
    except msgspec.DecodeError:
        raise UserError(
            f"{url} answers something else; give the metrics address of a host"
        ) from None
    if as_json:
        echo_json(report)
        return
    for line in describe_report(report):
        click.echo(line)


def describe_report(report: HostReport) -> list[str]:
    """Return the lines that show a report."""
    state = "leaving" if report.leaving else "ready" if report.ready else "not ready"
    view = "none yet"
    if report.view_age_s is not None:
        view = f"{report.view_age_s:.1f} s old, from {report.view_source}"
    tenure = "none"
    if report.fencing_number is not None:
        tenure = f"fencing number {report.fencing_number}"
    return [
        f"host {report.host}: {state}, {report.requests} requests in progress",
        f"configuration {report.configuration_version}",
        f"view of runners {view}",
        f"tenure {tenure}",
        "",
        "hosts",
        *[_describe_peer(peer) for peer in report.peers],
        "",
        "runners",
        *[_describe_runner(runner) for runner in report.runners],
        "",
        "repeats left",
        *[f"  {budget.service:<20} {budget.left:.1f}" for budget in report.budgets],
        "",
        "quarantined prompt parts",
        *[f"  {part}" for part in report.quarantined_parts],
    ]


def _describe_peer(peer: PeerStatus) -> str:
    heard = "never heard"
    if peer.heard_age_s is not None:
        heard = f"heard {peer.heard_age_s:.1f} s ago"
    return f"  {peer.host:<20} {peer.zone:<14} {peer.state:<10} {heard}"


def _describe_runner(runner: RunnerStatus) -> str:
    text = (
        f"  {runner.runner:<20} {runner.service:<14} {runner.zone:<14} "
        f"{runner.stage or '-':<8} in use {runner.in_use:<5.1f} "
        f"failing {runner.failure_share:<4.0%} "
        f"connections {runner.connections} ({runner.idle_connections} idle)"
    )
    if runner.draining:
        text += " draining"
    if runner.leaving_source:
        text += f" by {runner.leaving_source} {runner.leaving_age_s:.1f} s ago"
    if runner.blocked_for_s > 0:
        text += f" blocked for {runner.blocked_for_s:.1f} s"
    if runner.push_back_s > 0:
        text += f" asked for a pause of {runner.push_back_s:.1f} s more"
    return text
