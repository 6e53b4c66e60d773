"""The operators' command line."""

import click

from lacewinglug import __version__
from lacewinglug.ui.check import check
from lacewinglug.ui.common import UserErrorGroup
from lacewinglug.ui.completion import completion
from lacewinglug.ui.drain import drain, replace, withdraw
from lacewinglug.ui.load import load
from lacewinglug.ui.publish import diff, publish
from lacewinglug.ui.report import report
from lacewinglug.ui.status import status


@click.group(cls=UserErrorGroup)
@click.version_option(__version__)
def main() -> None:
    """Operate a fleet by publishing checked configurations."""


for command in (
    check,
    diff,
    publish,
    status,
    drain,
    replace,
    withdraw,
    load,
    report,
    completion,
):
    main.add_command(command)
