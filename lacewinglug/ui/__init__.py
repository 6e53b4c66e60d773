"""The operators' command line."""

from importlib import import_module

import click

from lacewinglug import __version__
from lacewinglug.ui.errors import UserErrorGroup

# Module below this package that holds each command.
_COMMAND_MODULES = {
    "check": "check",
    "diff": "publish",
    "publish": "publish",
    "status": "status",
    "drain": "drain",
    "replace": "drain",
    "withdraw": "drain",
    "load": "load",
    "report": "report",
    "host": "host",
    "host-status": "host_status",
    "explain": "explain",
    "completion": "completion",
}


class LazyGroup(UserErrorGroup):
    """Imports a command when it is used, so that other programs stay small."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        return list(_COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by name."""
        module_name = _COMMAND_MODULES.get(cmd_name)
        if module_name is None:
            return None
        module = import_module(f"lacewinglug.ui.{module_name}")
        command: click.Command = getattr(module, cmd_name.replace("-", "_"))
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """Operate a fleet by publishing checked configurations."""
