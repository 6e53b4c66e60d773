"""Runs an entry from its settings."""

import asyncio
import contextlib
import logging

import aiohttp
import uvicorn

from lacewinglug.clock import Clock
from lacewinglug.connections import make_connector
from lacewinglug.control import EntryHello
from lacewinglug.entry.app import EntryApp
from lacewinglug.entry.calls import CallHandler
from lacewinglug.entry.connection import MAX_HEADER_BYTES, CallerProtocol
from lacewinglug.entry.dispatch import Dispatcher
from lacewinglug.entry.gate import Gate
from lacewinglug.entry.intake import Intake
from lacewinglug.entry.link import StewardLink
from lacewinglug.entry.prompts import PromptHandler
from lacewinglug.entry.shutdown import EntryShutdown
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.report.recorder import OutcomeRecorder
from lacewinglug.requests.calls import CallRunner
from lacewinglug.requests.keys import KeyLedger
from lacewinglug.requests.prompts import PromptRelay
from lacewinglug.requests.streams import StreamBounds, StreamWatch
from lacewinglug.settings import Settings
from lacewinglug.upstream.client import RunnerClient

CLOSE_TIMEOUT_S = 5

logger = logging.getLogger(__name__)


class _Server(uvicorn.Server):
    """HTTP server that leaves the signals to the program."""

    def capture_signals(self) -> contextlib.AbstractContextManager[None]:  # type: ignore[override]
        """Install no signal handlers."""
        return contextlib.nullcontext()


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
    :param incarnation: name of this run of the process.
    :param clock: source of time.
    :param metrics: counters.
    :param stop_requested: starts the graceful shutdown when set.
    """
    async with aiohttp.ClientSession(connector=make_connector()) as session:
        app = _build_app(
            settings=settings,
            incarnation=incarnation,
            clock=clock,
            metrics=metrics,
            session=session,
        )
        gate = Gate(app=app.app(), intake=app.intake, settings=settings.entry)
        shutdown = EntryShutdown(
            settings=settings,
            view=app.view,
            intake=app.intake,
            gate=gate,
            watch=app.prompts.watch,
            clock=clock,
            metrics=metrics,
            stop_requested=stop_requested,
        )
        tasks = [
            asyncio.create_task(_make_link(app, incarnation).run()),
            asyncio.create_task(app.prompts.watch.run()),
        ]
        logger.info("entry started", extra={"port": settings.entry.port})
        try:
            await _serve(gate, settings, shutdown)
        finally:
            await _cancel(tasks)
    logger.info("entry stopped")


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


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
    dispatcher = Dispatcher(view=view, clock=clock, metrics=metrics)
    intake = Intake(
        view=view, ids=ids, recorder=OutcomeRecorder(), clock=clock, metrics=metrics
    )
    relay = PromptRelay(
        dispatcher=dispatcher, client=client, view=view, clock=clock, metrics=metrics
    )
    watch = StreamWatch(
        view=view,
        bounds=StreamBounds(caller_s=settings.entry.caller_stall_timeout_s),
        clock=clock,
        metrics=metrics,
    )
    calls = CallRunner(
        dispatcher=dispatcher, client=client, ledger=ledger, metrics=metrics
    )
    return EntryApp(
        settings=settings,
        view=view,
        intake=intake,
        prompts=PromptHandler(intake=intake, relay=relay, watch=watch),
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


async def _serve(gate: Gate, settings: Settings, shutdown: EntryShutdown) -> None:
    """Run the HTTP server until the shutdown is complete."""
    config = uvicorn.Config(
        gate,
        host=settings.host.address,
        port=settings.entry.port,
        http=CallerProtocol,
        ws="none",
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
    )
    server = _Server(config)
    serving = asyncio.create_task(server.serve())
    leaving = asyncio.create_task(shutdown.run())
    await asyncio.wait((serving, leaving), return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    await _cancel([leaving])
    await serving
