"""The command ``lacewinglug host``."""

import asyncio
import logging
import signal
from pathlib import Path

import click

from lacewinglug.host.logs import start_logging
from lacewinglug.host.process import HostProcess, run_host
from lacewinglug.ids import make_incarnation
from lacewinglug.logging import ProcessIdentity
from lacewinglug.memory.allocator import return_freed_memory
from lacewinglug.platform.settings import find_settings_path, load_settings
from lacewinglug.ui.signals import call_on_signals, ignore_stop_signals

logger = logging.getLogger(__name__)


@click.command(epilog="Example: lacewinglug host --check --settings local.json")
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    help="Settings file of this host; found by the environment where not given.",
)
@click.option("--check", is_flag=True, help="Check the settings file and end.")
@click.option(
    "--metrics-port",
    type=click.IntRange(1, 65535),
    default=9464,
    show_default=True,
    help="Port of this host that serves metrics as text.",
)
@click.option(
    "--log-level",
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
    default="INFO",
    show_default=True,
)
def host(
    settings_path: Path | None, check: bool, metrics_port: int, log_level: str
) -> None:
    """Serve clients, readiness and directory on this host."""
    path = settings_path or find_settings_path()
    settings = load_settings(path)
    if check:
        click.echo(f"{path}: settings of host {settings.name} are complete")
        return
    identity = ProcessIdentity(
        program="host", host=settings.name, incarnation=make_incarnation()
    )
    return_freed_memory()
    listener = start_logging(identity, level=log_level)
    try:
        asyncio.run(
            run_host(
                settings=settings,
                metrics_port=metrics_port,
                settings_path=path,
                watch_signals=_watch_signals,
            )
        )
    finally:
        ignore_stop_signals()
        listener.stop()


def _watch_signals(process: HostProcess) -> None:
    call_on_signals(process.stop_requested.set, (signal.SIGTERM, signal.SIGINT))
    call_on_signals(process.reload_requested.set, (signal.SIGHUP,))
