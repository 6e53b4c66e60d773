"""Generates the pages of all charts: ``python -m lacewinglug.charts docs/charts``."""

from pathlib import Path

import click

from lacewinglug.charts import CHART_NAMES, load_chart
from lacewinglug.charts.drawing import write_pages


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
def main(folder: Path) -> None:
    """Write the pages of all charts to FOLDER."""
    for path in write_pages([load_chart(name) for name in CHART_NAMES], folder):
        click.echo(str(path))


if __name__ == "__main__":
    main()
