"""Puts together the parts of an entry that answer calls."""

import asyncio
import contextlib
import secrets
from dataclasses import dataclass

import aiohttp

from lacewinglug.backing.log import LogClient
from lacewinglug.entry.calls import CallHandler
from lacewinglug.entry.dispatch import Dispatcher
from lacewinglug.entry.intake import Intake
from lacewinglug.entry.peers import HttpPeerClient, ViewDirectory
from lacewinglug.errors import PlatformError
from lacewinglug.ids import IdFactory
from lacewinglug.requests.calls import CallSender
from lacewinglug.requests.intent_claims import KeyClaims
from lacewinglug.requests.keyed_calls import KeyedCallHandler
from lacewinglug.requests.keys import KeyMinter
from lacewinglug.requests.ledger import CallCache
from lacewinglug.requests.outcome_archive import OutcomeArchive
from lacewinglug.settings import Settings
from lacewinglug.upstream.client import CallTransport

APPEND_TIMEOUT_S = 2.0
_SECRET_BYTES = 32
_FLEET_APPENDS_PER_S = 80.0


@dataclass(kw_only=True)
class CallParts:
    """The parts of an entry that answer calls, and their background work.

    :param handler: HTTP handlers.
    :param keyed: answers calls that may not be repeated.
    :param directory: the entry hosts of the fleet.
    :param outcome_interval_s: time between two appends of results, in seconds.
    """

    handler: CallHandler
    keyed: KeyedCallHandler
    directory: ViewDirectory
    outcome_interval_s: float

    async def run(self) -> None:
        """Read claimed keys and append results until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.keyed.claims.run(self.directory.own_shards))
            group.create_task(self.keyed.archive.run(self._interval_s))

    async def close(self) -> None:
        """Append the results that still wait, where the log answers."""
        with contextlib.suppress(PlatformError):
            await self.keyed.archive.flush()

    def _interval_s(self) -> float:
        """Return the time between two appends, longer in a large fleet."""
        fleet_interval_s = self.directory.host_count() / _FLEET_APPENDS_PER_S
        return max(self.outcome_interval_s, fleet_interval_s)


def build_calls(
    *,
    settings: Settings,
    ids: IdFactory,
    intake: Intake,
    dispatcher: Dispatcher,
    client: CallTransport,
    log: LogClient,
    session: aiohttp.ClientSession,
) -> CallParts:
    """Put the parts together.

    :param settings: settings of the host.
    :param ids: names this process.
    :param intake: what the handlers share.
    :param dispatcher: places calls on runners.
    :param client: client of the runners.
    :param log: the platform's log.
    :param session: HTTP client session that opens a connection for each request.
    """
    calls = settings.calls
    clock = intake.clock
    metrics = intake.metrics
    directory = ViewDirectory(view=intake.view, host=settings.host.name)
    runner = CallSender(
        dispatcher=dispatcher, client=client, clock=clock, metrics=metrics
    )
    keyed = KeyedCallHandler(
        minter=KeyMinter(
            host=ids.host,
            incarnation=ids.incarnation,
            secret=secrets.token_bytes(_SECRET_BYTES),
            window_size=calls.key_window,
        ),
        cache=CallCache(
            max_results=calls.max_results, max_bytes=calls.max_result_bytes
        ),
        runner=runner,
        claims=KeyClaims(
            log=log,
            ids=ids,
            clock=clock,
            metrics=metrics,
            append_interval_s=calls.intent_interval_s,
            retention_s=calls.own_key_window_s,
            max_keys=calls.max_own_keys,
        ),
        archive=OutcomeArchive(log=log, ids=ids, clock=clock, metrics=metrics),
        peers=HttpPeerClient(
            session=session,
            view=intake.view,
            admin_key=settings.admin.key,
            clock=clock,
        ),
        directory=directory,
        clock=clock,
        metrics=metrics,
    )
    return CallParts(
        handler=CallHandler(intake=intake, keyed=keyed, runner=runner),
        keyed=keyed,
        directory=directory,
        outcome_interval_s=calls.outcome_interval_s,
    )
