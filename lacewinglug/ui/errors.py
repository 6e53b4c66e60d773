"""Turns errors into a line and an exit status."""

import sys
from typing import Any

import click

from lacewinglug.errors import PlatformError, UserError

EXIT_USER_ERROR = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4


class UserErrorGroup(click.Group):
    """A command group that prints user errors as lines, without a traceback."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command, turning errors into an exit status."""
        try:
            return super().invoke(ctx)
        except UserError as error:
            click.echo(f"lacewinglug: {error}", err=True)
            sys.exit(error.exit_code)
        except PlatformError as error:
            click.echo(f"lacewinglug: {error}", err=True)
            sys.exit(EXIT_UNAVAILABLE)
