"""What the long-running programs share: settings, logs and signals."""

import asyncio
import contextlib
import os
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import click

from lacewinglug.errors import UserError
from lacewinglug.ids import make_incarnation
from lacewinglug.logging import ProcessIdentity, configure_logging
from lacewinglug.metrics import Metrics, make_metrics
from lacewinglug.settings import Settings
from lacewinglug.ui.signals import call_on_stop_signal, ignore_stop_signals

settings_option = click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    help="TOML file with the settings of this host.",
)
set_option = click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="SECTION.FIELD=VALUE",
    help="Set one field; may be given several times.",
)

Program = Callable[[Settings, str, Metrics], Coroutine[Any, Any, None]]


def run_program(
    *,
    program: str,
    settings_path: Path | None,
    overrides: tuple[str, ...],
    run: Program,
) -> None:
    """Load settings, configure logs and metrics, and run until a signal.

    :param program: name of the program in logs and metrics.
    :param settings_path: settings file.
    :param overrides: options of the form ``section.field=value``.
    :param run: the process as a function.
    """
    try:
        settings = Settings.load(
            path=settings_path, environment=os.environ, overrides=overrides
        )
    except UserError as error:
        click.echo(f"lacewinglug-{program}: {error}", err=True)
        sys.exit(error.exit_code)
    incarnation = make_incarnation()
    configure_logging(
        identity=ProcessIdentity(
            program=program, host=settings.host.name, incarnation=incarnation
        ),
        as_json=settings.logging.format == "json",
        level=settings.logging.level,
    )
    metrics = make_metrics(
        statsd_host=settings.metrics.statsd_host,
        statsd_port=settings.metrics.statsd_port,
        program=program,
    )
    try:
        asyncio.run(run(settings, incarnation, metrics))
    except UserError as error:
        click.echo(f"lacewinglug-{program}: {error}", err=True)
        sys.exit(error.exit_code)
    finally:
        ignore_stop_signals()


async def run_until_signal(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine until it ends or SIGTERM or SIGINT cancels it."""
    task = asyncio.ensure_future(coroutine)
    call_on_stop_signal(task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task
