"""The command that checks a configuration, or a version of the platform's."""

from dataclasses import fields
from pathlib import Path

import click

from lacewinglug.config.loading import load_config
from lacewinglug.config.objects import Fleet
from lacewinglug.errors import UserError
from lacewinglug.ui.common import echo_json, json_option
from lacewinglug.ui.errors import EXIT_USER_ERROR
from lacewinglug.ui.platform_check import check_platform_file


@click.command(
    epilog="Example: lacewinglug check examples/volt-trottoir, or "
    "lacewinglug check next.json --against now.json"
)
@click.argument("folder", type=click.Path(exists=True, path_type=Path), metavar="PATH")
@click.option(
    "--against",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="File with the platform's version in force, to list the differences from.",
)
@json_option
@click.pass_context
def check(
    ctx: click.Context, folder: Path, against: Path | None, as_json: bool
) -> None:
    """Check the configuration in the folder PATH as one and list every problem.

    If PATH is a file, check it as a version of the platform's configuration; the exit
    status is 1 if it has errors.
    """
    if folder.is_file():
        ctx.exit(check_platform_file(folder, against=against, as_json=as_json))
    if against is not None:
        raise UserError("--against needs a file of the platform's configuration")
    checked = load_config(folder)
    if as_json:
        echo_json({"ok": checked.fleet is not None, "problems": checked.problems})
    elif checked.fleet is None:
        for problem in checked.problems:
            click.echo(str(problem), err=True)
        click.echo(f"{len(checked.problems)} problem(s)", err=True)
    else:
        click.echo(f"{folder}: no problem found, {_summary(checked.fleet)}")
    if checked.fleet is None:
        ctx.exit(EXIT_USER_ERROR)


def _summary(fleet: Fleet) -> str:
    """Return how many objects of each kind there are."""
    counts = ((field.name, len(getattr(fleet, field.name))) for field in fields(Fleet))
    return ", ".join(f"{count} {name}" for name, count in counts if count)
