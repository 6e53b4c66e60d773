"""The command that shows the state of the fleet."""

import click
import msgspec

from lacewinglug.entry.app import StatusReply
from lacewinglug.entry.authentication import AUTHORIZATION_HEADER
from lacewinglug.errors import UserError
from lacewinglug.ui.common import (
    admin_key_option,
    echo_json,
    entry_option,
    fetch,
    json_option,
    run_async,
)


@click.command(epilog="Example: lacewinglug status --entry http://127.0.0.1:8700")
@entry_option
@admin_key_option
@json_option
def status(entry: str, admin_key: str, as_json: bool) -> None:
    """Show hosts, runners and order domains as one entry host sees them."""
    reply = run_async(_fetch(entry, admin_key))
    if as_json:
        echo_json(reply)
        return
    for line in _describe(reply):
        click.echo(line)


async def _fetch(entry: str, admin_key: str) -> StatusReply:
    headers = {AUTHORIZATION_HEADER: f"Bearer {admin_key}"} if admin_key else {}
    answer = await fetch(
        f"{entry}/v1/status", remedy="try another entry host", headers=headers
    )
    if answer.status == 401:
        raise UserError(f"{entry} wants the admin key; give it by --admin-key")
    return msgspec.json.decode(answer.body, type=StatusReply)


def _describe(reply: StatusReply) -> list[str]:
    """Return the lines of the status report."""
    lines = [f"revision {reply.revision} at {reply.host}"]
    if reply.halted:
        lines.append(f"halted: {reply.halted}")
    lines += ["", "hosts"]
    for host in sorted(reply.hosts, key=lambda item: item.host):
        drain = _drain_state(host.host, reply)
        lines.append(
            f"  {host.host:<20} {host.state:<8} revision {host.revision:<5} "
            f"running {host.running:<5} {drain}".rstrip()
        )
    lines += ["", "runners"]
    for item in sorted(reply.runners, key=lambda status: status.runner):
        report = item.report
        drain = _drain_state(item.runner, reply)
        lines.append(
            f"  {item.runner:<20} {report.role or '-':<10} {report.state:<9} "
            f"running {report.running}/{report.slots} queued {report.queued} "
            f"{drain}".rstrip()
        )
    lines += ["", "order domains"]
    for domain, holder in sorted(reply.holders.items()):
        lines.append(f"  {domain:<20} {holder}")
    return lines


def _drain_state(name: str, reply: StatusReply) -> str:
    if name in reply.withdrawn:
        return "withdrawn"
    if name in reply.draining:
        return "draining"
    if name in reply.leaving:
        return "leaving"
    return ""
