"""The command that sends a planned load."""

import ipaddress
from pathlib import Path
from urllib.parse import urlsplit

import aiohttp
import click

from lacewinglug.caller import CallerClient
from lacewinglug.clock import SystemClock
from lacewinglug.connections import make_connector
from lacewinglug.errors import UserError
from lacewinglug.load.driver import LoadDriver
from lacewinglug.load.plan import LoadPlan, plan_arrivals, read_plan
from lacewinglug.load.summary import LoadSummary, format_table, summarise
from lacewinglug.ui.common import echo_json, entry_option, json_option, run_async
from lacewinglug.ui.errors import EXIT_UNAVAILABLE


@click.command(epilog="Example: lacewinglug load examples/load/mix-shift.toml --seed 1")
@click.argument("plan_path", type=click.Path(path_type=Path))
@entry_option
@click.option("--seed", default=1, show_default=True, help="Seed of the arrivals.")
@click.option("--remote", is_flag=True, help="Allow hosts other than loopback.")
@click.option(
    "--caller-key",
    envvar="LACEWINGLUG_CALLER_KEY",
    default="",
    help="Key of the plan's organisation (or LACEWINGLUG_CALLER_KEY).",
)
@json_option
def load(
    plan_path: Path,
    entry: str,
    seed: int,
    remote: bool,
    caller_key: str,
    as_json: bool,
) -> None:
    """Send the open-loop load of the TOML file PLAN_PATH and print a summary."""
    plan = read_plan(plan_path)
    if not remote and not _is_loopback(entry):
        raise UserError(f"{entry} is not a loopback address; add --remote to load it")
    summary = run_async(_run(plan, entry, seed, caller_key))
    if as_json:
        echo_json(summary)
        return
    for line in format_table(summary):
        click.echo(line)


def _is_loopback(url: str) -> bool:
    try:
        return ipaddress.ip_address(urlsplit(url).hostname or "").is_loopback
    except ValueError:
        return False


async def _run(plan: LoadPlan, entry: str, seed: int, caller_key: str) -> LoadSummary:
    clock = SystemClock()
    connector = make_connector()
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = CallerClient(
            session=session,
            entry_url=entry,
            organisation=plan.organisation,
            region=plan.region,
            key=caller_key,
        )
        try:
            await caller.fetch_addresses()
        except aiohttp.ClientError as error:
            raise UserError(
                f"{entry} does not answer ({error}); try another entry host",
                exit_code=EXIT_UNAVAILABLE,
            ) from None
        driver = LoadDriver(caller=caller, clock=clock, on_progress=_show_progress)
        started_s = clock.now_s()
        results = await driver.run(plan_arrivals(plan, seed=seed))
        duration_s = clock.now_s() - started_s
    return summarise(results, seed=seed, duration_s=duration_s)


def _show_progress(count: int) -> None:
    click.echo(f"{count} answers", err=True)
