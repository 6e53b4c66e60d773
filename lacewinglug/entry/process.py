"""Runs an entry from its settings."""

import asyncio
import contextlib
import logging

import aiohttp
import uvicorn

from lacewinglug.clock import Clock
from lacewinglug.control import EntryHello
from lacewinglug.entry.app import EntryApp
from lacewinglug.entry.calls import CallHandler
from lacewinglug.entry.dispatch import Dispatcher
from lacewinglug.entry.intake import Intake
from lacewinglug.entry.link import StewardLink
from lacewinglug.entry.prompts import PromptHandler
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.report.recorder import OutcomeRecorder
from lacewinglug.requests.calls import CallRunner
from lacewinglug.requests.keys import KeyLedger
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
    async with aiohttp.ClientSession(connector=connector) as session:
        app = _build_app(
            settings=settings,
            incarnation=incarnation,
            clock=clock,
            metrics=metrics,
            session=session,
        )
        link_task = asyncio.create_task(_make_link(app, incarnation).run())
        logger.info("entry started", extra={"port": settings.entry.port})
        try:
            await _serve(app)
        finally:
            link_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await link_task
    logger.info("entry stopped")


def _build_app(
    *,
    settings: Settings,
    incarnation: str,
    clock: Clock,
    metrics: Metrics,
    session: aiohttp.ClientSession,
) -> EntryApp:
    """Put the parts of an entry together."""
    view = EntryView(availability_zone=settings.host.availability_zone)
    ids = IdFactory(host=settings.host.name, incarnation=incarnation)
    ledger = KeyLedger(ids=ids)
    client = RunnerClient(session=session)
    dispatcher = Dispatcher(
        view=view, clock=clock, metrics=metrics, entry=settings.host.name
    )
    intake = Intake(
        view=view, ids=ids, recorder=OutcomeRecorder(), clock=clock, metrics=metrics
    )
    relay = PromptRelay(dispatcher=dispatcher, client=client, metrics=metrics)
    calls = CallRunner(
        dispatcher=dispatcher, client=client, ledger=ledger, metrics=metrics
    )
    return EntryApp(
        settings=settings,
        view=view,
        intake=intake,
        prompts=PromptHandler(intake=intake, relay=relay),
        calls=CallHandler(intake=intake, calls=calls, ledger=ledger),
    )


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
