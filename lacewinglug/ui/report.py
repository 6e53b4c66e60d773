"""The commands that report on the service."""

import time
from pathlib import Path

import click

from lacewinglug.backing.log import LogClient
from lacewinglug.config.publishing import read_state
from lacewinglug.errors import UserError
from lacewinglug.report.burn import BurnReport, make_report
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.page import format_report, make_page
from lacewinglug.report.reading import BurnReader
from lacewinglug.ui.common import echo_json, json_option, log_option, run_with_log


@click.group(epilog="Example: lacewinglug report burn")
def report() -> None:
    """Report on the service."""


@report.command(epilog="Example: lacewinglug report burn --html burn.html")
@log_option
@json_option
@click.option(
    "--html",
    "html_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write an HTML page with plots to this file.",
)
@click.option(
    "--at", "at_s", type=int, help="Time of the report, seconds since the Unix epoch."
)
def burn(log_url: str, as_json: bool, html_path: Path | None, at_s: int | None) -> None:
    """Show how fast each objective uses up its error budget, and who does it."""
    wanted_s = int(time.time()) if at_s is None else at_s

    async def read(log: LogClient) -> BurnReport:
        return await _read_report(log, wanted_s)

    result = run_with_log(log_url, read)
    if html_path is not None:
        _write_page(html_path, make_page(result))
    if as_json:
        echo_json(result)
        return
    for line in format_report(result):
        click.echo(line)


async def _read_report(log: LogClient, at_s: int) -> BurnReport:
    state = await read_state(log)
    reader = BurnReader(log=log, ledger=BurnLedger())
    await reader.catch_up()
    return make_report(
        reader.ledger, state.fleet.objectives, at_s=at_s, expired=reader.expired
    )


def _write_page(path: Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as error:
        raise UserError(
            f"cannot write {path}: {error.strerror}; choose another file"
        ) from None
    click.echo(f"wrote {path}", err=True)
