"""The commands that take hosts and runners out of service and back."""

from collections.abc import Callable

import click

from lacewinglug.authority.records import (
    AnyRecord,
    DrainChanged,
    HostReplaced,
    HostWithdrawn,
)
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import LogClient
from lacewinglug.config.objects import Fleet
from lacewinglug.config.publishing import append_record, read_state
from lacewinglug.errors import UserError
from lacewinglug.ids import IdFactory, make_incarnation
from lacewinglug.ui.common import log_option, operator_option, run_with_log

target_argument = click.argument("target")


def _make_record_id() -> str:
    return IdFactory(host="operator", incarnation=make_incarnation()).make()


def _append(
    log_url: str, target: str, make_record: Callable[[ControlState], AnyRecord]
) -> None:
    """Append a record about a host or runner of the configuration."""

    async def run(log: LogClient) -> None:
        state = await read_state(log)
        _check_target(state.fleet, target)
        await append_record(log, make_record(state))

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

    def make_record(state: ControlState) -> AnyRecord:
        if target in state.withdrawn:
            raise UserError(
                f"{target!r} is withdrawn; lacewinglug replace takes its name "
                "back into service, on the same machine or a new one"
            )
        return DrainChanged(
            record_id=_make_record_id(),
            as_of=state.next_offset,
            target=target,
            draining=not undo,
            operator=operator,
        )

    _append(log_url, target, make_record)
    click.echo(f"{target}: {'back in service' if undo else 'draining'}")


@click.command(epilog="Example: lacewinglug replace entry-3 --machine rack4-17 --yes")
@target_argument
@click.option(
    "--machine",
    required=True,
    help="The new machine, as host.machine in its settings (by default its address).",
)
@log_option
@operator_option
@click.confirmation_option(
    prompt="Is the old machine off, so that none of its orders can still arrive?"
)
def replace(target: str, machine: str, log_url: str, operator: str) -> None:
    """Give the name TARGET to a new machine and take it into service.

    The tenures of the old machine end, and it cannot claim any again.
    """

    def make_record(state: ControlState) -> AnyRecord:
        is_withdrawn = target in state.withdrawn
        if state.machines.get(target) == machine and not is_withdrawn:
            raise UserError(
                f"{target!r} is on machine {machine!r} already; to end a drain, "
                "run lacewinglug drain --undo"
            )
        return HostReplaced(
            record_id=_make_record_id(),
            as_of=state.next_offset,
            target=target,
            machine=machine,
            operator=operator,
        )

    _append(log_url, target, make_record)
    click.echo(f"{target}: on machine {machine}, in service")


@click.command(epilog="Example: lacewinglug withdraw entry-3 --yes")
@target_argument
@log_option
@operator_option
@click.confirmation_option(
    prompt="Is the machine off, so that none of its orders can still arrive?"
)
def withdraw(target: str, log_url: str, operator: str) -> None:
    """Declare TARGET gone for good; its tenures may be taken over."""

    def make_record(state: ControlState) -> AnyRecord:
        return HostWithdrawn(
            record_id=_make_record_id(),
            as_of=state.next_offset,
            target=target,
            operator=operator,
        )

    _append(log_url, target, make_record)
    click.echo(f"{target}: withdrawn")
