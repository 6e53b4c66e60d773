"""The program ``lacewinglug-steward``."""

from pathlib import Path

import click

from lacewinglug.clock import SystemClock
from lacewinglug.metrics import Metrics
from lacewinglug.settings import Settings
from lacewinglug.steward.process import run_steward
from lacewinglug.ui.programs import (
    run_program,
    run_until_signal,
    set_option,
    settings_option,
)


@click.command(epilog="Example: lacewinglug-steward --settings entry-1.toml")
@settings_option
@set_option
def main(settings_path: Path | None, overrides: tuple[str, ...]) -> None:
    """Control this host: follow the log, watch runners, inform the entry."""
    run_program(
        program="steward", settings_path=settings_path, overrides=overrides, run=_run
    )


async def _run(settings: Settings, incarnation: str, metrics: Metrics) -> None:
    await run_until_signal(
        run_steward(
            settings=settings,
            incarnation=incarnation,
            clock=SystemClock(),
            metrics=metrics,
        )
    )
