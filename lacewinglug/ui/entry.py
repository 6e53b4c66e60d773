"""The program ``lacewinglug-entry``."""

import asyncio
from pathlib import Path

import click

from lacewinglug.clock import SystemClock
from lacewinglug.entry.process import run_entry
from lacewinglug.metrics import Metrics
from lacewinglug.settings import Settings
from lacewinglug.ui.programs import (
    run_program,
    set_option,
    settings_option,
)
from lacewinglug.ui.signals import call_on_stop_signal


@click.command(epilog="Example: lacewinglug-entry --settings entry-1.toml")
@settings_option
@set_option
def main(settings_path: Path | None, overrides: tuple[str, ...]) -> None:
    """Serve callers on this host."""
    run_program(
        program="entry", settings_path=settings_path, overrides=overrides, run=_run
    )


async def _run(settings: Settings, incarnation: str, metrics: Metrics) -> None:
    stop_requested = asyncio.Event()
    call_on_stop_signal(stop_requested.set)
    await run_entry(
        settings=settings,
        incarnation=incarnation,
        clock=SystemClock(),
        metrics=metrics,
        stop_requested=stop_requested,
    )
