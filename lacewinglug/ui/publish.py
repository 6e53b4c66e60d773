"""The commands that compare and publish configurations."""

from dataclasses import fields
from pathlib import Path

import click

from lacewinglug.authority.state import Publication
from lacewinglug.backing.log import LogClient
from lacewinglug.config.changes import FleetChange, diff_fleets
from lacewinglug.config.objects import Fleet
from lacewinglug.config.publishing import PublishResult, publish_fleet, read_state
from lacewinglug.errors import UserError
from lacewinglug.ids import IdFactory, make_incarnation
from lacewinglug.ui.common import (
    echo_json,
    json_option,
    log_option,
    operator_option,
    read_config,
    run_with_log,
)
from lacewinglug.ui.errors import EXIT_REFUSED, EXIT_UNAVAILABLE

folder_argument = click.argument("folder", type=click.Path(exists=True, path_type=Path))


@click.command(epilog="Example: lacewinglug diff examples/volt-trottoir")
@folder_argument
@log_option
@json_option
def diff(folder: Path, log_url: str, as_json: bool) -> None:
    """Show what publishing FOLDER would change."""
    fleet = read_config(folder)

    async def compare(log: LogClient) -> FleetChange:
        return diff_fleets((await read_state(log)).fleet, fleet)

    change = run_with_log(log_url, compare)
    if as_json:
        echo_json(change)
        return
    for line in _describe_change(change):
        click.echo(line)


@click.command(epilog="Example: lacewinglug publish examples/volt-trottoir")
@folder_argument
@log_option
@operator_option
@click.option("--base", type=int, help="Revision that the change is based on.")
@click.option("--publish-id", help="Settle an earlier publish with the same id.")
@json_option
def publish(
    folder: Path,
    log_url: str,
    operator: str,
    base: int | None,
    publish_id: str | None,
    as_json: bool,
) -> None:
    """Check FOLDER and publish it as the next revision."""
    fleet = read_config(folder)
    ids = IdFactory(host="operator", incarnation=make_incarnation())
    record_id = publish_id or ids.make()

    async def run(log: LogClient) -> PublishResult:
        return await publish_fleet(
            log, fleet, record_id=record_id, publisher=operator, base_revision=base
        )

    result = run_with_log(log_url, run)
    if as_json:
        echo_json(result)
    _report(result, as_json)


def _report(result: PublishResult, as_json: bool) -> None:
    """Print the verdict, or raise it as an error."""
    if result.unchanged:
        if not as_json:
            click.echo("nothing to publish: no object differs")
        return
    publication = result.publication
    if publication is None:
        raise UserError(
            "outcome unknown; run publish again with "
            f"--publish-id {result.record_id} --base {result.base_revision}",
            exit_code=EXIT_UNAVAILABLE,
        )
    if not publication.accepted:
        raise UserError(_describe_refusal(publication), exit_code=EXIT_REFUSED)
    if result.differs:
        raise UserError(
            f"{result.record_id} was accepted as revision {publication.revision} "
            "with another configuration; run diff, then publish with a new id",
            exit_code=EXIT_REFUSED,
        )
    if not as_json:
        click.echo(f"accepted as revision {publication.revision}")


def _describe_refusal(publication: Publication) -> str:
    """Return why a publication was refused and what to do."""
    match publication.refusal:
        case "raced":
            return (
                f"refused: revision {publication.revision} by "
                f"{publication.publisher!r} came first; run diff, then publish "
                "again on top of it"
            )
        case "unknown_base":
            return (
                f"refused: the newest revision is {publication.revision}; publish "
                "again with --base of a revision that exists"
            )
        case "digest":
            return (
                "refused: the change does not give the checked configuration; "
                f"publish again on top of revision {publication.revision}"
            )
        case _:
            return "refused: the record reached the log too late; publish again"


def _describe_change(change: FleetChange) -> list[str]:
    """Return one line for each object that changes."""
    lines = []
    for field in fields(Fleet):
        for name in getattr(change.upserts, field.name):
            lines.append(f"+ {field.name}.{name}")
        for name in change.removals.get(field.name, ()):
            lines.append(f"- {field.name}.{name}")
    return lines or ["no object differs"]
