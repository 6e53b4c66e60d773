"""The command that checks a configuration."""

from dataclasses import fields
from pathlib import Path

import click

from lacewinglug.config.loading import load_config
from lacewinglug.config.objects import Fleet
from lacewinglug.ui.common import echo_json, json_option
from lacewinglug.ui.errors import EXIT_USER_ERROR


@click.command(epilog="Example: lacewinglug check examples/volt-trottoir")
@click.argument("folder", type=click.Path(exists=True, path_type=Path))
@json_option
@click.pass_context
def check(ctx: click.Context, folder: Path, as_json: bool) -> None:
    """Check the configuration in FOLDER as one and list every problem."""
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
