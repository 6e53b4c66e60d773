"""Runs an entry from its settings."""

import asyncio
import contextlib
import logging

import aiohttp
import uvicorn

from lacewinglug.clock import Clock
from lacewinglug.control import EntryHello
from lacewinglug.entry.app import EntryApp
from lacewinglug.entry.authentication import Authenticator
from lacewinglug.entry.call_wiring import APPEND_TIMEOUT_S, CallParts, build_calls
from lacewinglug.entry.dispatch import Dispatcher
from lacewinglug.entry.intake import Intake
from lacewinglug.entry.link import StewardLink
from lacewinglug.entry.prompts import PromptHandler
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.platform.log import HttpLogClient
from lacewinglug.report.recorder import OutcomeRecorder
from lacewinglug.requests.prompts import PromptRelay
from lacewinglug.settings import Settings
from lacewinglug.upstream.client import RunnerClient

logger = logging.getLogger(__name__)


async def run_entry(
    *, settings: Settings, incarnation: str, clock: Clock, metrics: Metrics
) -> None:
    """Serve callers until the process is asked to stop.

    :param settings: settings of the host.
    :param incarnation: name of this run of the process.
    :param clock: source of time.
    :param metrics: counters.
    """
    connector = aiohttp.TCPConnector(limit=0)
    fresh_connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        aiohttp.ClientSession(connector=fresh_connector) as fresh_session,
    ):
        app, calls = _build_app(
            settings=settings,
            incarnation=incarnation,
            clock=clock,
            metrics=metrics,
            session=session,
            fresh_session=fresh_session,
        )
        calls_task = asyncio.create_task(calls.run())
        link_task = asyncio.create_task(_make_link(app, incarnation).run())
        logger.info("entry started", extra={"port": settings.entry.port})
        try:
            await _serve(app)
        finally:
            for task in (link_task, calls_task):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            await calls.close()
    logger.info("entry stopped")


def _build_app(
    *,
    settings: Settings,
    incarnation: str,
    clock: Clock,
    metrics: Metrics,
    session: aiohttp.ClientSession,
    fresh_session: aiohttp.ClientSession,
) -> tuple[EntryApp, CallParts]:
    """Put the parts of an entry together."""
    view = EntryView(availability_zone=settings.host.availability_zone)
    ids = IdFactory(host=settings.host.name, incarnation=incarnation)
    client = RunnerClient(session=session, fresh_session=fresh_session)
    dispatcher = Dispatcher(view=view, clock=clock, metrics=metrics)
    intake = Intake(
        view=view,
        ids=ids,
        recorder=OutcomeRecorder(),
        clock=clock,
        metrics=metrics,
        authenticator=Authenticator(view=view, admin_key=settings.admin.key),
    )
    relay = PromptRelay(dispatcher=dispatcher, client=client, metrics=metrics)
    calls = build_calls(
        settings=settings,
        ids=ids,
        intake=intake,
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
        intake=intake,
        prompts=PromptHandler(intake=intake, relay=relay),
        calls=calls.handler,
    )
    return app, calls


def _make_link(app: EntryApp, incarnation: str) -> StewardLink:
    """Return the link to the local steward."""
    settings = app.settings

    def make_hello() -> EntryHello:
        return EntryHello(
            host=settings.host.name,
            incarnation=incarnation,
            revision=app.view.revision,
            running=app.intake.running,
            leaving=app.intake.leaving,
        )

    return StewardLink(
        address=f"tcp://{settings.host.address}:{settings.steward.control_port}",
        view=app.view,
        make_hello=make_hello,
    )


async def _serve(app: EntryApp) -> None:
    """Run the HTTP server until a signal stops it."""
    settings = app.settings
    config = uvicorn.Config(
        app.app(),
        host=settings.host.address,
        port=settings.entry.port,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=int(settings.entry.drain_deadline_s),
    )
    await uvicorn.Server(config).serve()
