"""Runs an entry process."""

import asyncio
import logging

import aiohttp

from lacewinglug.backing.log import HttpLogClient
from lacewinglug.clock import Clock
from lacewinglug.connections import make_connector
from lacewinglug.control import EntryHello
from lacewinglug.entry.app import EntryApp
from lacewinglug.entry.authentication import Authenticator
from lacewinglug.entry.burn import BurnReporter
from lacewinglug.entry.call_wiring import (
    APPEND_TIMEOUT_S,
    CallComponents,
    build_call_components,
)
from lacewinglug.entry.dispatch import Dispatcher
from lacewinglug.entry.gate import RequestLimiter
from lacewinglug.entry.intake import HandlerContext
from lacewinglug.entry.link import StewardConnection
from lacewinglug.entry.prompts import PromptHandler
from lacewinglug.entry.server import cancel_tasks, serve_http
from lacewinglug.entry.shutdown import EntryShutdown
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.report.recorder import OutcomeRecorder
from lacewinglug.requests.prompts import PromptRelay
from lacewinglug.requests.streams import StreamMonitor, StreamTimeouts
from lacewinglug.settings import Settings
from lacewinglug.upstream.client import RunnerClient

logger = logging.getLogger(__name__)


async def run_entry(
    *,
    settings: Settings,
    incarnation: str,
    clock: Clock,
    metrics: Metrics,
    stop_requested: asyncio.Event,
) -> None:
    """Serve callers until the process is asked to stop.

    :param settings: settings of the host.
    :param incarnation: id of this run of the process.
    :param clock: source of time.
    :param metrics: counters.
    :param stop_requested: starts the graceful shutdown when set.
    """
    async with (
        aiohttp.ClientSession(connector=make_connector()) as session,
        aiohttp.ClientSession(connector=make_connector(reuse=False)) as fresh_session,
    ):
        app, calls = build_entry(
            settings=settings,
            incarnation=incarnation,
            clock=clock,
            metrics=metrics,
            session=session,
            fresh_session=fresh_session,
        )
        limiter = RequestLimiter(
            app=app.make_asgi_app(), context=app.context, settings=settings.entry
        )
        shutdown = EntryShutdown(
            settings=settings,
            view=app.view,
            context=app.context,
            limiter=limiter,
            watch=app.prompt_handler.watch,
            clock=clock,
            metrics=metrics,
            stop_requested=stop_requested,
        )
        reporter = BurnReporter(
            host=settings.host.name,
            incarnation=incarnation,
            recorder=app.context.recorder,
            log=HttpLogClient(session=session, base_url=settings.platform.log_url),
            clock=clock,
            metrics=metrics,
        )
        tasks = [
            asyncio.create_task(reporter.run()),
            asyncio.create_task(calls.run()),
            asyncio.create_task(_make_steward_connection(app, incarnation).run()),
            asyncio.create_task(app.prompt_handler.watch.run()),
        ]
        logger.info("entry started", extra={"port": settings.entry.port})
        try:
            await serve_http(limiter, settings, shutdown)
        finally:
            await cancel_tasks(tasks)
            await calls.close()
            await reporter.flush()
    logger.info("entry stopped")


def build_entry(
    *,
    settings: Settings,
    incarnation: str,
    clock: Clock,
    metrics: Metrics,
    session: aiohttp.ClientSession,
    fresh_session: aiohttp.ClientSession,
) -> tuple[EntryApp, CallComponents]:
    """Build the components of an entry."""
    view = EntryView(availability_zone=settings.host.availability_zone)
    ids = IdFactory(host=settings.host.name, incarnation=incarnation)
    client = RunnerClient(session=session, fresh_session=fresh_session)
    dispatcher = Dispatcher(
        view=view, clock=clock, metrics=metrics, entry=settings.host.name
    )
    recorder = OutcomeRecorder(host=settings.host.name, get_fleet=lambda: view.fleet)
    context = HandlerContext(
        view=view,
        ids=ids,
        recorder=recorder,
        clock=clock,
        metrics=metrics,
        authenticator=Authenticator(view=view, admin_key=settings.admin.key),
    )
    relay = PromptRelay(
        dispatcher=dispatcher, client=client, view=view, clock=clock, metrics=metrics
    )
    watch = StreamMonitor(
        view=view,
        timeouts=StreamTimeouts(caller_stall_s=settings.entry.caller_stall_timeout_s),
        clock=clock,
        metrics=metrics,
    )
    calls = build_call_components(
        settings=settings,
        ids=ids,
        context=context,
        dispatcher=dispatcher,
        client=client,
        log=HttpLogClient(
            session=session,
            base_url=settings.platform.log_url,
            append_timeout_s=APPEND_TIMEOUT_S,
        ),
        session=fresh_session,
    )
    app = EntryApp(
        settings=settings,
        view=view,
        context=context,
        prompt_handler=PromptHandler(context=context, relay=relay, watch=watch),
        call_handler=calls.handler,
    )
    return app, calls


def _make_steward_connection(app: EntryApp, incarnation: str) -> StewardConnection:
    """Return the connection to the local steward."""
    settings = app.settings

    def make_hello() -> EntryHello:
        return EntryHello(
            host=settings.host.name,
            incarnation=incarnation,
            revision=app.view.revision,
            running=app.context.running_requests,
            leaving=app.context.leaving,
        )

    return StewardConnection(
        address=f"tcp://{settings.host.address}:{settings.steward.control_port}",
        view=app.view,
        make_hello=make_hello,
    )
