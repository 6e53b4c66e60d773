"""Constructs the components of an entry that handle calls."""

import asyncio
import contextlib
import secrets
from dataclasses import dataclass

import aiohttp

from lacewinglug.backing.log import LogClient
from lacewinglug.entry.calls import CallHandler
from lacewinglug.entry.dispatch import Dispatcher
from lacewinglug.entry.intake import HandlerContext
from lacewinglug.entry.peers import HttpPeerClient, ViewPeerDirectory
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
_MAX_FLEET_APPENDS_PER_S = 80.0


@dataclass(kw_only=True)
class CallComponents:
    """Components that handle calls, with their background tasks.

    :param handler: HTTP handlers.
    :param keyed_calls: runs calls that are not idempotent.
    :param directory: entry hosts of the fleet.
    :param outcome_interval_s: minimum interval between appends of results, in seconds.
    """

    handler: CallHandler
    keyed_calls: KeyedCallHandler
    directory: ViewPeerDirectory
    outcome_interval_s: float

    async def run(self) -> None:
        """Read key claims and append results until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.keyed_calls.claims.run(self.directory.own_shards))
            group.create_task(self.keyed_calls.archive.run(self._append_interval_s))

    async def close(self) -> None:
        """Append the pending results if the log is available."""
        with contextlib.suppress(PlatformError):
            await self.keyed_calls.archive.flush()

    def _append_interval_s(self) -> float:
        """Return the append interval, which bounds the append rate of the fleet."""
        fleet_interval_s = self.directory.host_count() / _MAX_FLEET_APPENDS_PER_S
        return max(self.outcome_interval_s, fleet_interval_s)


def build_call_components(
    *,
    settings: Settings,
    ids: IdFactory,
    context: HandlerContext,
    dispatcher: Dispatcher,
    client: CallTransport,
    log: LogClient,
    session: aiohttp.ClientSession,
) -> CallComponents:
    """Build the components.

    :param settings: settings of the host.
    :param ids: identifies this host and process.
    :param context: state that the request handlers share.
    :param dispatcher: places calls on runners.
    :param client: client of the runners.
    :param log: client of the platform log.
    :param session: HTTP client session that opens a connection for each request.
    """
    calls = settings.calls
    clock = context.clock
    metrics = context.metrics
    directory = ViewPeerDirectory(view=context.view, host=settings.host.name)
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
            view=context.view,
            admin_key=settings.admin.key,
            clock=clock,
        ),
        directory=directory,
        clock=clock,
        metrics=metrics,
    )
    return CallComponents(
        handler=CallHandler(context=context, keyed_calls=keyed, call_runner=runner),
        keyed_calls=keyed,
        directory=directory,
        outcome_interval_s=calls.outcome_interval_s,
    )
