"""Plays seeds of the soak by hand: ``python -m tests.soak --first 1 --seeds 50``."""

import sys
import tempfile
from collections import Counter
from pathlib import Path

import click

from tests.soak.play import play


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for logs.")
def main(first: int, seeds: int, keep: Path | None) -> None:
    """Play seeds one after the other and print what each has broken."""
    broken = 0
    for seed in range(first, first + seeds):
        folder = (keep or Path(tempfile.mkdtemp())) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        evidence, found = play(seed, folder)
        ends = Counter(str(item.status) for item in evidence.sent)
        faults = ", ".join(fault.name for fault in evidence.faults)
        click.echo(f"seed {seed}: {len(found)} broken; {dict(ends)}; {faults}")
        for line in found[:10]:
            click.echo(f"  {line}")
        broken += bool(found)
    click.echo(f"{seeds} seeds, {broken} with a broken promise")
    sys.exit(1 if broken else 0)


main()
