"""Creates the tasks of a steward process from its settings and runs them."""

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
from lacewinglug.steward.hosts import HostListReader
from lacewinglug.steward.known_hosts import KnownHosts
from lacewinglug.steward.order_setup import make_order_manager
from lacewinglug.steward.orders import OrderManager
from lacewinglug.steward.peers import PeerProtocol
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
    """Run a steward until cancelled.

    :param settings: settings of the host.
    :param incarnation: identifier of this run of the process.
    :param clock: source of time.
    :param metrics: metric counters.
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
    """Creates and runs the tasks of a steward.

    :param settings: settings of the host.
    :param incarnation: identifier of this run of the process.
    :param clock: source of time.
    :param metrics: metric counters.
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
        self.peer_protocol = PeerProtocol(host=self.host, replica=self.replica)
        self.log = HttpLogClient(session=self.session, base_url=platform.log_url)
        self.host_list_client = HttpHostListClient(
            session=self.session, base_url=platform.host_list_url
        )
        self.poller = RunnerPoller(
            client=RunnerClient(session=self.session),
            state=self.state,
            clock=self.clock,
            interval_s=self.settings.steward.poll_interval_s,
            metrics=self.metrics,
        )
        self.host_list_reader = HostListReader(
            host=self.host,
            client=self.host_list_client,
            live_hosts=self.peer_protocol.table.live_hosts,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.server = self._make_server()

    async def run(self) -> None:
        """Run all tasks; start appending and sending orders after the port is bound."""
        port = self.settings.steward.control_port
        known_hosts = self._make_known_hosts()
        snapshot_keeper = self._make_snapshot_keeper()
        burn_folder = BurnFolder(
            log=self.log,
            holds_tenure=snapshot_keeper.holds_tenure,
            clock=self.clock,
            metrics=self.metrics,
        )
        order_manager = self._make_order_manager(known_hosts)
        self.server.bind()
        self.replica.listeners.append(self.server.notify_config_changed)
        logger.info("steward started", extra={"port": port})
        async with asyncio.TaskGroup() as group:
            group.create_task(self._make_tail().run())
            group.create_task(self.poller.run())
            group.create_task(self.server.run())
            group.create_task(self.host_list_reader.run())
            group.create_task(known_hosts.run())
            await self.server.control_port_bound.wait()
            group.create_task(snapshot_keeper.run())
            group.create_task(burn_folder.run())
            group.create_task(order_manager.run())

    def _make_server(self) -> ControlServer:
        address = self.settings.host.address
        return ControlServer(
            host=self.host,
            endpoint=f"tcp://{address}:{self.settings.steward.control_port}",
            peer_protocol=self.peer_protocol,
            poller=self.poller,
            get_listed_as_leaving=lambda: self.host_list_reader.leaving_upstreams,
            clock=self.clock,
            metrics=self.metrics,
        )

    def _make_tail(self) -> LogTail:
        return LogTail(
            log=self.log,
            replica=self.replica,
            clock=self.clock,
            wait_s=self.settings.steward.log_wait_s,
            on_records=self.server.queue_records_for_peers,
            metrics=self.metrics,
        )

    def _make_snapshot_keeper(self) -> SnapshotWriter:
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
            client=self.host_list_client,
            clock=self.clock,
            metrics=self.metrics,
        )

    def _make_order_manager(self, known_hosts: KnownHosts) -> OrderManager:
        return make_order_manager(
            settings=self.settings,
            incarnation=self.incarnation,
            state=self.state,
            log=self.log,
            known_hosts=known_hosts.current_knowledge,
            reports=self.poller.recent_reports,
            clock=self.clock,
            metrics=self.metrics,
            order_session=self.order_session,
            rng=random.Random(self.incarnation),
            role_source=self._make_role_source(),
        )

    def _make_role_source(self) -> RoleSource:
        if not self.settings.steward.plan_roles:
            return DeclaredRoles()
        return PlannedRoleSource(
            state=self.state, fresh_reports=self.poller.recent_reports
        )
