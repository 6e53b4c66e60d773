"""The commands that take hosts and runners out of service and back."""

import click

from lacewinglug.authority.records import AnyRecord, DrainChanged, HostWithdrawn
from lacewinglug.config.objects import Fleet
from lacewinglug.config.publishing import append_record, read_state
from lacewinglug.errors import UserError
from lacewinglug.ids import IdFactory, make_incarnation
from lacewinglug.platform.log import LogClient
from lacewinglug.ui.common import log_option, operator_option, run_with_log

target_argument = click.argument("target")


def _make_record_id() -> str:
    return IdFactory(host="operator", incarnation=make_incarnation()).make()


def _append(log_url: str, target: str, record: AnyRecord) -> None:
    """Append a record about a host or runner of the configuration."""

    async def run(log: LogClient) -> None:
        state = await read_state(log)
        _check_target(state.fleet, target)
        await append_record(log, record)

    run_with_log(log_url, run)


def _check_target(fleet: Fleet, target: str) -> None:
    if target not in fleet.hosts and target not in fleet.runners:
        raise UserError(
            f"no host or runner is called {target!r}; "
            "see lacewinglug status for the names"
        )


@click.command(epilog="Example: lacewinglug drain assistant-1")
@target_argument
@log_option
@operator_option
@click.option("--undo", is_flag=True, help="Take it back into service.")
def drain(target: str, log_url: str, operator: str, undo: bool) -> None:
    """Give the host or runner TARGET no new work."""
    record = DrainChanged(
        record_id=_make_record_id(),
        target=target,
        draining=not undo,
        operator=operator,
    )
    _append(log_url, target, record)
    click.echo(f"{target}: {'back in service' if undo else 'draining'}")


@click.command(epilog="Example: lacewinglug replace entry-3")
@target_argument
@log_option
@operator_option
def replace(target: str, log_url: str, operator: str) -> None:
    """Take TARGET back into service after its machine was replaced."""
    record = DrainChanged(
        record_id=_make_record_id(), target=target, draining=False, operator=operator
    )
    _append(log_url, target, record)
    click.echo(f"{target}: replaced and in service")


@click.command(epilog="Example: lacewinglug withdraw entry-3 --yes")
@target_argument
@log_option
@operator_option
@click.confirmation_option(
    prompt="Is the machine off, so that none of its orders can still arrive?"
)
def withdraw(target: str, log_url: str, operator: str) -> None:
    """Declare TARGET gone for good; its tenures may be taken over."""
    record = HostWithdrawn(
        record_id=_make_record_id(), target=target, operator=operator
    )
    _append(log_url, target, record)
    click.echo(f"{target}: withdrawn")
