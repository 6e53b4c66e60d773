"""Runs a steward from its settings."""

import asyncio
import logging

import aiohttp

from lacewinglug.authority.replay import ControlState
from lacewinglug.clock import Clock
from lacewinglug.connections import make_connector
from lacewinglug.membership.neighbours import HostTable
from lacewinglug.metrics import Metrics
from lacewinglug.platform.log import HttpLogClient
from lacewinglug.settings import Settings
from lacewinglug.steward.poller import RunnerPoller
from lacewinglug.steward.server import ControlServer
from lacewinglug.steward.tail import LogTail
from lacewinglug.upstream.client import RunnerClient

logger = logging.getLogger(__name__)


async def run_steward(
    *, settings: Settings, incarnation: str, clock: Clock, metrics: Metrics
) -> None:
    """Follow the log and inform the entry until cancelled.

    :param settings: settings of the host.
    :param incarnation: name of this run of the process.
    :param clock: source of time.
    :param metrics: counters.
    """
    state = ControlState()
    async with aiohttp.ClientSession(connector=make_connector()) as session:
        poller = RunnerPoller(
            client=RunnerClient(session=session),
            state=state,
            clock=clock,
            interval_s=settings.steward.poll_interval_s,
            metrics=metrics,
        )
        server = ControlServer(
            host=settings.host.name,
            incarnation=incarnation,
            endpoint=f"tcp://{settings.host.address}:{settings.steward.control_port}",
            state=state,
            poller=poller,
            table=HostTable(),
            clock=clock,
            metrics=metrics,
        )
        tail = LogTail(
            log=HttpLogClient(session=session, base_url=settings.platform.log_url),
            state=state,
            clock=clock,
            wait_s=settings.steward.log_wait_s,
            on_change=server.notify_config,
            metrics=metrics,
        )
        logger.info("steward started", extra={"port": settings.steward.control_port})
        async with asyncio.TaskGroup() as group:
            group.create_task(tail.run())
            group.create_task(poller.run())
            group.create_task(server.run())
