"""Helpers shared by the commands."""

import asyncio
import getpass
import os
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, TypeVar

import aiohttp
import click
import msgspec

from lacewinglug.backing.log import HttpLogClient, LogClient
from lacewinglug.config.loading import load_config
from lacewinglug.config.objects import Fleet
from lacewinglug.errors import UserError
from lacewinglug.ui.errors import EXIT_UNAVAILABLE

ResultT = TypeVar("ResultT")
_FETCH_TIMEOUT_S = 5.0
"""Longest wait for a program's answer to a command, in s."""


log_option = click.option(
    "--log-url",
    envvar="LACEWINGLUG_LOG_URL",
    required=True,
    help="Base URL of the log service (or LACEWINGLUG_LOG_URL).",
)
entry_option = click.option(
    "--entry",
    envvar="LACEWINGLUG_ENTRY_URL",
    required=True,
    help="Base URL of any entry host (or LACEWINGLUG_ENTRY_URL).",
)
admin_key_option = click.option(
    "--admin-key",
    envvar="LACEWINGLUG_ADMIN_KEY",
    default="",
    help="Key of the settings' section admin (or LACEWINGLUG_ADMIN_KEY).",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
operator_option = click.option(
    "--operator",
    default=lambda: os.environ.get("LACEWINGLUG_OPERATOR") or getpass.getuser(),
    help="Name written into the log (or LACEWINGLUG_OPERATOR).",
)


def read_config(folder: Path) -> Fleet:
    """Return the checked configuration of a folder, or raise its problems."""
    checked = load_config(folder)
    if checked.fleet is None:
        lines = "\n".join(str(problem) for problem in checked.problems)
        count = len(checked.problems)
        raise UserError(f"{count} problem(s), nothing published\n{lines}")
    return checked.fleet


def run_with_log(
    log_url: str, action: Callable[[LogClient], Awaitable[ResultT]]
) -> ResultT:
    """Run an action with a client of the log."""

    async def run() -> ResultT:
        async with aiohttp.ClientSession() as session:
            return await action(HttpLogClient(session=session, base_url=log_url))

    return asyncio.run(run())


def run_async(coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end."""
    return asyncio.run(coroutine)


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A whole HTTP answer.

    :param status: status code.
    :param body: body.
    """

    status: int
    body: bytes


async def fetch(
    url: str, *, remedy: str, headers: Mapping[str, str] = MappingProxyType({})
) -> Answer:
    """Return the answer to a GET request.

    :param remedy: what to do where nothing answers.
    :raises UserError: nothing answers.
    """
    timeout = aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, headers=headers) as response,
        ):
            return Answer(status=response.status, body=await response.read())
    except (aiohttp.ClientError, TimeoutError) as error:
        raise UserError(
            f"{url} does not answer ({error!r}); {remedy}",
            exit_code=EXIT_UNAVAILABLE,
        ) from None


def echo_json(message: object) -> None:
    """Print a message as indented JSON."""
    encoded = msgspec.json.encode(message)
    click.echo(msgspec.json.format(encoded, indent=2).decode())
