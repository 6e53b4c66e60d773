"""The command ``lacewinglug explain``."""

import sys
from collections.abc import Iterator
from pathlib import Path

import click

from lacewinglug.errors import UserError
from lacewinglug.report.explain import find_request, tell_story


@click.command(
    epilog="Example: lacewinglug explain 9c41d07be2a35f68 edge-1.log edge-2.log"
)
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.Path(path_type=Path))
def explain(request_id: str, logs: tuple[Path, ...]) -> None:
    """Print what happened to a request, from logs or standard input."""
    ends = find_request(_read_lines(logs), request_id)
    if not ends:
        raise UserError(
            f"no log line tells of request {request_id}; give the logs of all hosts "
            "of that time, and see whether lines were left out (metric "
            "lacewinglug_log_lines_left_out)",
            exit_code=1,
        )
    for end in ends:
        for line in tell_story(end):
            click.echo(line)


def _read_lines(logs: tuple[Path, ...]) -> Iterator[str]:
    if not logs:
        yield from sys.stdin
    for path in logs:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise UserError(
                f"log {path} cannot be read ({error.strerror}); name a readable file"
            ) from None
