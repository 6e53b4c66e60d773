"""Runs a steward from its settings."""

import asyncio
import logging
import random

import aiohttp

from lacewinglug.authority.state import ControlState
from lacewinglug.clock import Clock
from lacewinglug.connections import make_connector
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.platform.hosts import HttpHostListClient
from lacewinglug.platform.log import HttpLogClient
from lacewinglug.settings import Settings
from lacewinglug.steward.burn_fold import BurnFolder
from lacewinglug.steward.hosts import HostListWatcher
from lacewinglug.steward.known_hosts import KnownHosts
from lacewinglug.steward.order_setup import make_order_manager
from lacewinglug.steward.peers import PeerExchange
from lacewinglug.steward.planned_roles import PlannedRoleSource
from lacewinglug.steward.poller import RunnerPoller
from lacewinglug.steward.replica import Replica
from lacewinglug.steward.role_source import DeclaredRoles
from lacewinglug.steward.server import ControlServer
from lacewinglug.steward.tail import LogTail
from lacewinglug.steward.upkeep import SnapshotKeeper
from lacewinglug.upstream.client import RunnerClient
from lacewinglug.upstream.orders import make_order_session

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
    host = settings.host.name
    state = ControlState()
    replica = Replica(state=state)
    async with (
        aiohttp.ClientSession(connector=make_connector()) as session,
        make_order_session() as order_session,
    ):
        log = HttpLogClient(session=session, base_url=settings.platform.log_url)
        poller = RunnerPoller(
            client=RunnerClient(session=session),
            state=state,
            clock=clock,
            interval_s=settings.steward.poll_interval_s,
            metrics=metrics,
        )
        exchange = PeerExchange(host=host, replica=replica)
        host_list = HttpHostListClient(
            session=session, base_url=settings.platform.host_list_url
        )
        watcher = HostListWatcher(
            host=host,
            client=host_list,
            live_hosts=exchange.table.live,
            clock=clock,
            metrics=metrics,
        )
        server = ControlServer(
            host=host,
            endpoint=f"tcp://{settings.host.address}:{settings.steward.control_port}",
            exchange=exchange,
            poller=poller,
            listed_leaving=lambda: watcher.leaving,
            clock=clock,
            metrics=metrics,
        )
        server.bind()
        replica.listeners.append(server.notify_config)
        tail = LogTail(
            log=log,
            replica=replica,
            clock=clock,
            wait_s=settings.steward.log_wait_s,
            on_records=server.hand_on,
            metrics=metrics,
        )
        keeper = SnapshotKeeper(
            host=host,
            incarnation=incarnation,
            machine=settings.host.machine_name,
            state=state,
            log=log,
            live_hosts=server.live_hosts,
            interval_s=settings.steward.snapshot_interval_s,
            clock=clock,
            metrics=metrics,
            ids=IdFactory(host=f"{host}-upkeep", incarnation=incarnation),
        )
        folder = BurnFolder(
            log=log, is_holder=keeper.holds_tenure, clock=clock, metrics=metrics
        )
        known_hosts = KnownHosts(
            host=host,
            state=state,
            live_hosts=server.live_hosts,
            client=host_list,
            clock=clock,
            metrics=metrics,
        )
        manager = make_order_manager(
            settings=settings,
            incarnation=incarnation,
            state=state,
            log=log,
            known_hosts=known_hosts.knowledge,
            reports=poller.latest,
            clock=clock,
            metrics=metrics,
            order_session=order_session,
            rng=random.Random(incarnation),
            roles=(
                PlannedRoleSource(state=state, fresh_reports=poller.fresh)
                if settings.steward.plan_roles
                else DeclaredRoles()
            ),
        )
        logger.info("steward started", extra={"port": settings.steward.control_port})
        async with asyncio.TaskGroup() as group:
            group.create_task(tail.run())
            group.create_task(poller.run())
            group.create_task(server.run())
            group.create_task(watcher.run())
            group.create_task(known_hosts.run())
            await server.bound.wait()
            group.create_task(keeper.run())
            group.create_task(folder.run())
            group.create_task(manager.run())
