"""Plays seeds of the soak by hand: ``python -m tests.soak --first 1 --seeds 50``."""

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click

from tests.soak.play import Calm, Unplanned, play
from tests.soak.report import Summary, summarize

MOST_HOSTS = 200
"""Most hosts of a run; each of them is a process."""


@click.command()
@click.option(
    "--first",
    default=1,
    show_default=True,
    type=click.IntRange(min=1),
    help="First seed.",
)
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(min=1),
    help="Number of seeds.",
)
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for logs.")
@click.option("--calm", is_flag=True, help="Planned work only, on sound runners.")
@click.option(
    "--hosts",
    type=click.IntRange(2, MOST_HOSTS),
    help="Hosts of a calm run.  [default: 8]",
)
def main(
    first: int, seeds: int, keep: Path | None, calm: bool, hosts: int | None
) -> None:
    """Play seeds one after the other and print what each has broken."""
    if hosts is not None and not calm:
        raise click.UsageError("--hosts needs --calm; other runs have three hosts.")
    run = Calm(hosts=hosts or Calm.hosts) if calm else Unplanned()
    keep = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    click.echo(f"logs are in {keep}")
    broken, total = 0, Summary()
    for seed in range(first, first + seeds):
        folder = keep / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            evidence, found = play(seed, folder, run=run)
        except (asyncio.CancelledError, KeyboardInterrupt):
            click.echo(f"seed {seed}: ended before its end; {seed - first} seeds done")
            sys.exit(1)
        if calm:
            summary = summarize(evidence)
            total.add(summary)
            click.echo(f"seed {seed}: {len(found)} broken; {summary}")
        else:
            ends = Counter(str(item.status) for item in evidence.sent)
            faults = ", ".join(fault.name for fault in evidence.faults)
            click.echo(f"seed {seed}: {len(found)} broken; {dict(ends)}; {faults}")
        for line in found[:10]:
            click.echo(f"  {line}")
        broken += bool(found)
    if calm:
        click.echo(f"all: {total}")
    click.echo(f"{seeds} seeds, {broken} with a broken promise")
    sys.exit(1 if broken else 0)


main()
