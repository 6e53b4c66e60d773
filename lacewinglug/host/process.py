"""Assembles and runs the program of a host."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lacewinglug.errors import UserError
from lacewinglug.host.caches import CacheLearner
from lacewinglug.host.context import HostState
from lacewinglug.host.dispatch import Dispatcher
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.listeners import Listener
from lacewinglug.host.model import HostSettings
from lacewinglug.host.peers import OwnState, PeerLink
from lacewinglug.host.reporting import HostMetrics, Reporter
from lacewinglug.host.status import (
    STATUS_TARGET,
    HostReport,
    list_budgets,
    list_runners,
)
from lacewinglug.host.steward import StageSteward
from lacewinglug.host.tenure import TenureKeeper
from lacewinglug.host.watch import StoreWatch
from lacewinglug.platform.calls import (
    decode_resolve_query,
    encode_addresses,
    is_readiness_check,
)
from lacewinglug.platform.settings import load_settings
from lacewinglug.platform.store import StoreClient
from lacewinglug.wire.messages import Request, Response
from lacewinglug.wire.server import ClientLimits, Exchange

logger = logging.getLogger(__name__)

DIRECTORY_TTL_S = 1.5
"""Time that clients keep an answer of the directory, in s; some keep it three
times as long, which is when a leaving host stops to accept."""
ACCEPT_SHARE = 0.55
"""Share of the grace time in which a leaving host takes new connections."""
FINISH_SHARE = 0.95
"""Share of the grace time after which a leaving host ends in any case."""
TIDY_EVERY_S = 1.0
"""Time between rounds that end stale connections, in s."""
SETTINGS_EVERY_S = 2.0
"""Time between looks at the settings file, in s."""
SWITCHING_NOTICE_S = 4.5
"""Time for which an engine that another host ordered to change gets no work, in
s: the usual change of three seconds and the age of the view of runners."""
DRAIN_LOOK_S = 0.05
"""Time between looks whether a leaving host is idle, in s."""


@dataclass(kw_only=True)
class HostProcess:
    """Owns the tasks and listeners of a host.

    :param settings: settings of the host.
    :param metrics_port: port of the metrics, 0 for a free one.
    :param settings_path: file that they come from, looked at again and again.
    :param stop_requested: set when the process is to leave.
    :param reload_requested: set when the settings file is to be read.
    """

    settings: HostSettings
    metrics_port: int = 0
    settings_path: Path | None = None
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    reload_requested: asyncio.Event = field(default_factory=asyncio.Event)
    leaving: bool = False

    def __post_init__(self) -> None:
        settings = self.settings
        self._metrics = HostMetrics()
        self.state = HostState(
            settings=settings,
            now_s=asyncio.get_running_loop().time,
            hosts=lambda: self.table.count(),
            tell_work=lambda work: self._peers.tell_work(work),
            metrics=self._metrics,
        )
        own = HostIdentity(
            name=settings.name,
            incarnation=round(time.time() * 1000),
            ip=settings.ip,
            peer_port=settings.peer_port,
            zone=settings.zone,
            client_address=settings.client_address,
        )
        self.table = HostTable(own=own, geography=self.state.geography)
        self._peers = PeerLink(
            table=self.table,
            on_work=self._take_work,
            own_state=lambda: OwnState(
                ready=self.ready,
                leaving=self.leaving,
                knows_caches=self._caches.done,
                reads_store=self._watch.reads_store,
            ),
            on_switching=self._take_switching,
            own_streams=self.state.own_streams,
            on_streams=self._take_streams,
            on_new_host=lambda host: self._caches.welcome(host),
            on_view=lambda update: self._watch.take_view(update),
        )
        store = StoreClient(address=settings.store_address)
        self._watch = StoreWatch(
            store=store,
            routes=self.state.routes,
            fleet=self.state.fleet,
            hosts=self.table,
            peers=self._peers,
            now_s=self.state.now_s,
            tell=self._peers.tell_view,
            on_failure=lambda what: self._metrics.store_failures.labels(what).inc(),
        )
        self._caches = CacheLearner(
            state=self.state, table=self.table, tell=self._peers.tell_all_work
        )
        self._steward = StageSteward(
            state=self.state,
            keeper=TenureKeeper(
                store=store,
                host=settings.name,
                ip=settings.ip,
                incarnation=own.incarnation,
                lease_s=settings.lease_s,
                now_s=self.state.now_s,
                sleep=asyncio.sleep,
            ),
            is_planner=self._is_planner,
            tell_switching=self._peers.tell_switching,
        )
        dispatcher = Dispatcher(
            state=self.state, reporter=Reporter(metrics=self._metrics)
        )
        self._clients = Listener(
            name="clients",
            address=settings.client_address,
            handler=dispatcher.handle,
            limits=self._client_limits,
        )
        self._others = [
            Listener(
                name="readiness",
                address=settings.ready_address,
                handler=self._answer_ready,
            ),
            Listener(
                name="directory",
                address=settings.directory_address,
                handler=self._answer_directory,
            ),
            Listener(
                name="metrics",
                address=f"{settings.ip}:{self.metrics_port}",
                handler=self._answer_metrics,
            ),
        ]

    @property
    def metrics_address(self) -> str:
        """Address of the metrics."""
        return self._others[-1].bound_address

    @property
    def ready(self) -> bool:
        """Whether clients may be sent to this host."""
        state = self.state
        configured = state.routes.configuration is not None
        return configured and state.fleet.known and not self.leaving

    async def run(self) -> None:
        """Serve until asked to stop, then leave gracefully.

        :raises UserError: an address cannot be used.
        """
        await self._peers.open()
        for listener in (*self._others, self._clients):
            await listener.open()
        for seed in self.settings.seeds:
            self._peers.greet(seed.rpartition(":")[0])
        tasks = [
            asyncio.create_task(job())
            for job in (
                self._watch.follow_configuration,
                self._watch.follow_runners,
                self._watch.follow_hosts,
                self._peers.send_beats,
                self._peers.send_batches,
                self._steward.run,
                self._tidy,
                self._follow_settings,
            )
        ]
        logger.info("host started", extra={"address": self.settings.client_address})
        learning = asyncio.create_task(self._caches.run())
        stopping = asyncio.create_task(self.stop_requested.wait())
        try:
            done, _ = await asyncio.wait(
                [stopping, *tasks], return_when=asyncio.FIRST_COMPLETED
            )
            for task in done - {stopping}:
                task.result()
            await self._leave()
        finally:
            for task in (stopping, learning, *tasks, *self.state.background):
                task.cancel()
            for listener in (*self._others, self._clients):
                listener.close()
            self._peers.close()

    async def _leave(self) -> None:
        """Send clients elsewhere, finish what runs, and end."""
        started_s = self.state.now_s()
        grace_s = self.settings.grace_s
        self.leaving = True
        self._peers.beat(urgent=True)
        logger.info(
            "host leaves",
            extra={"requests": self._clients.registry.active_request_count},
        )
        registry = self._clients.registry
        registry.close_after_response = True
        unregister = asyncio.create_task(self._watch.unregister())
        await asyncio.sleep(grace_s * ACCEPT_SHARE)
        self._clients.stop_accepting()
        end_s = started_s + grace_s * FINISH_SHARE
        registry.close_idle()
        while registry.connections and self.state.now_s() < end_s:
            await asyncio.sleep(DRAIN_LOOK_S)
            registry.close_idle()
        unregister.cancel()
        for listener in self._others:
            listener.stop_accepting()
        logger.info("host ended", extra={"requests": registry.active_request_count})

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_EVERY_S)
            now_s = self.state.now_s()
            self.state.upstreams.close_stale()
            self.state.forget_gone()
            metrics = self._metrics
            metrics.configuration_version.set(self.state.routes.version)
            metrics.view_age_s.set(self.state.fleet.age_s(now_s))
            metrics.hosts.set(len(self.table.serving(now_s=now_s)) + self.ready)

    async def _follow_settings(self) -> None:
        """Take the settings that may change while the host runs."""
        seen = self._settings_stamp()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_EVERY_S):
                    await self.reload_requested.wait()
            stamp = self._settings_stamp()
            if not self.reload_requested.is_set() and stamp == seen:
                continue
            self.reload_requested.clear()
            seen = stamp
            self._reload()

    def _reload(self) -> None:
        if self.settings_path is None:
            return
        try:
            settings = load_settings(self.settings_path)
        except UserError as error:
            logger.error("settings not reloaded: %s", error)
            return
        for seed in settings.seeds:
            self._peers.greet(seed.rpartition(":")[0])
        logger.info("settings reloaded", extra={"seeds": list(settings.seeds)})

    def _settings_stamp(self) -> tuple[int, int]:
        if self.settings_path is None:
            return (0, 0)
        try:
            found = self.settings_path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    def _take_work(self, work: EngineWork) -> None:
        self.state.engines.note_work(work, now_s=self.state.now_s())

    def _take_streams(self, host: str, counts: dict[str, int]) -> None:
        self.state.engines.note_streams(host, counts, now_s=self.state.now_s())

    def _take_switching(self, instance: str) -> None:
        until_s = self.state.now_s() + SWITCHING_NOTICE_S
        self.state.engines.note_switching(instance, until_s=until_s)

    def _is_planner(self) -> bool:
        """Return whether this host is the first by name of those that serve."""
        serving = self.table.serving(now_s=self.state.now_s())
        return self.ready and all(host.name > self.settings.name for host in serving)

    def _client_limits(self) -> ClientLimits:
        configuration = self.state.routes.configuration
        if configuration is None or configuration.limits is None:
            return ClientLimits()
        limits = configuration.limits
        return ClientLimits(
            max_header_bytes=limits.header_bytes,
            max_body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _answer_ready(self, request: Request, exchange: Exchange) -> None:
        if not is_readiness_check(request):
            await exchange.respond(Response(status=404))
            return
        await exchange.respond(Response(status=200 if self.ready else 503))

    async def _answer_directory(self, request: Request, exchange: Exchange) -> None:
        query = decode_resolve_query(request)
        if query is None:
            await exchange.respond(Response(status=404))
            return
        addresses = self.table.addresses(
            zone=query.zone,
            region=query.region,
            own_serves=self.ready,
            now_s=self.state.now_s(),
        )
        ttl_s = min(DIRECTORY_TTL_S, self.settings.directory_ttl_s)
        await exchange.respond(encode_addresses(addresses, ttl_s=ttl_s))

    def report(self) -> HostReport:
        """Return what this host believes and holds now."""
        state = self.state
        now_s = state.now_s()
        return HostReport(
            host=self.settings.name,
            ready=self.ready,
            leaving=self.leaving,
            requests=self._clients.registry.active_request_count,
            configuration_version=state.routes.version,
            view_age_s=state.fleet.age_s(now_s) if state.fleet.known else None,
            view_source=self._watch.source,
            fencing_number=self._steward.keeper.fencing_number,
            peers=self.table.sights(now_s=now_s),
            runners=list_runners(state, now_s=now_s),
            budgets=list_budgets(state, now_s=now_s),
        )

    async def _answer_metrics(self, request: Request, exchange: Exchange) -> None:
        if request.target == STATUS_TARGET:
            body = msgspec.json.encode(self.report())
            headers = ((b"Content-Type", b"application/json"),)
            await exchange.respond(Response(status=200, headers=headers, body=body))
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        body = self._metrics.render()
        await exchange.respond(Response(status=200, headers=headers, body=body))


async def run_host(
    *,
    settings: HostSettings,
    metrics_port: int,
    settings_path: Path | None,
    watch_signals: Callable[[HostProcess], Awaitable[None] | None],
) -> None:
    """Run a host until it is asked to stop.

    :param settings: settings of the host.
    :param metrics_port: port of the metrics.
    :param settings_path: file that they come from.
    :param watch_signals: connects signals of the process to the host's events.
    """
    process = HostProcess(
        settings=settings, metrics_port=metrics_port, settings_path=settings_path
    )
    watch_signals(process)
    await process.run()
