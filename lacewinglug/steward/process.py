"""Runs a steward from its settings."""

import asyncio
import logging
import random
from dataclasses import dataclass, field

import aiohttp

from lacewinglug.authority.state import ControlState
from lacewinglug.backing.hosts import HttpHostListClient
from lacewinglug.backing.log import HttpLogClient
from lacewinglug.clock import Clock
from lacewinglug.connections import make_connector
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.settings import Settings
from lacewinglug.steward.burn_fold import BurnFolder
from lacewinglug.steward.hosts import HostListWatcher
from lacewinglug.steward.known_hosts import KnownHosts
from lacewinglug.steward.order_setup import make_order_manager
from lacewinglug.steward.orders import OrderManager
from lacewinglug.steward.peers import PeerExchange
from lacewinglug.steward.planned_roles import PlannedRoleSource
from lacewinglug.steward.poller import RunnerPoller
from lacewinglug.steward.replica import Replica
from lacewinglug.steward.role_source import DeclaredRoles, RoleSource
from lacewinglug.steward.server import ControlServer
from lacewinglug.steward.tail import LogTail
from lacewinglug.steward.upkeep import SnapshotWriter
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
    async with (
        aiohttp.ClientSession(connector=make_connector()) as session,
        make_order_session() as order_session,
    ):
        steward = _Steward(
            settings=settings,
            incarnation=incarnation,
            clock=clock,
            metrics=metrics,
            session=session,
            order_session=order_session,
        )
        await steward.run()


@dataclass(kw_only=True)
class _Steward:
    """Puts the tasks of a steward together.

    :param settings: settings of the host.
    :param incarnation: name of this run of the process.
    :param clock: source of time.
    :param metrics: counters.
    :param session: HTTP client session.
    :param order_session: HTTP client session for orders to engines.
    """

    settings: Settings
    incarnation: str
    clock: Clock
    metrics: Metrics
    session: aiohttp.ClientSession
    order_session: aiohttp.ClientSession
    state: ControlState = field(default_factory=ControlState)

    def __post_init__(self) -> None:
        platform = self.settings.platform
        self.host = self.settings.host.name
        self.replica = Replica(state=self.state)
        self.exchange = PeerExchange(host=self.host, replica=self.replica)
        self.log = HttpLogClient(session=self.session, base_url=platform.log_url)
        self.host_list = HttpHostListClient(
            session=self.session, base_url=platform.host_list_url
        )
        self.poller = RunnerPoller(
            client=RunnerClient(session=self.session),
            state=self.state,
            clock=self.clock,
            interval_s=self.settings.steward.poll_interval_s,
            metrics=self.metrics,
        )
        self.watcher = HostListWatcher(
            host=self.host,
            client=self.host_list,
            live_hosts=self.exchange.table.live,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.server = self._make_server()

    async def run(self) -> None:
        """Run all tasks; appends and orders begin once the control port is bound."""
        port = self.settings.steward.control_port
        known_hosts = self._make_known_hosts()
        keeper = self._make_keeper()
        folder = BurnFolder(
            log=self.log,
            holds_tenure=keeper.holds_tenure,
            clock=self.clock,
            metrics=self.metrics,
        )
        manager = self._make_manager(known_hosts)
        self.server.bind()
        self.replica.listeners.append(self.server.notify_config)
        logger.info("steward started", extra={"port": port})
        async with asyncio.TaskGroup() as group:
            group.create_task(self._make_tail().run())
            group.create_task(self.poller.run())
            group.create_task(self.server.run())
            group.create_task(self.watcher.run())
            group.create_task(known_hosts.run())
            await self.server.bound.wait()
            group.create_task(keeper.run())
            group.create_task(folder.run())
            group.create_task(manager.run())

    def _make_server(self) -> ControlServer:
        address = self.settings.host.address
        return ControlServer(
            host=self.host,
            endpoint=f"tcp://{address}:{self.settings.steward.control_port}",
            exchange=self.exchange,
            poller=self.poller,
            listed_leaving=lambda: self.watcher.leaving,
            clock=self.clock,
            metrics=self.metrics,
        )

    def _make_tail(self) -> LogTail:
        return LogTail(
            log=self.log,
            replica=self.replica,
            clock=self.clock,
            wait_s=self.settings.steward.log_wait_s,
            on_records=self.server.hand_on,
            metrics=self.metrics,
        )

    def _make_keeper(self) -> SnapshotWriter:
        return SnapshotWriter(
            host=self.host,
            incarnation=self.incarnation,
            machine=self.settings.host.machine_name,
            state=self.state,
            log=self.log,
            live_hosts=self.server.live_hosts,
            max_interval_s=self.settings.steward.snapshot_interval_s,
            clock=self.clock,
            metrics=self.metrics,
            ids=IdFactory(host=f"{self.host}-upkeep", incarnation=self.incarnation),
        )

    def _make_known_hosts(self) -> KnownHosts:
        return KnownHosts(
            host=self.host,
            state=self.state,
            live_hosts=self.server.live_hosts,
            client=self.host_list,
            clock=self.clock,
            metrics=self.metrics,
        )

    def _make_manager(self, known_hosts: KnownHosts) -> OrderManager:
        return make_order_manager(
            settings=self.settings,
            incarnation=self.incarnation,
            state=self.state,
            log=self.log,
            known_hosts=known_hosts.knowledge,
            reports=self.poller.fresh,
            clock=self.clock,
            metrics=self.metrics,
            order_session=self.order_session,
            rng=random.Random(self.incarnation),
            role_source=self._make_role_source(),
        )

    def _make_role_source(self) -> RoleSource:
        if not self.settings.steward.plan_roles:
            return DeclaredRoles()
        return PlannedRoleSource(state=self.state, fresh_reports=self.poller.fresh)
