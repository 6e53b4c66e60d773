"""Assembles the components of a host process and runs them."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lacewinglug.duties.service import DutyService
from lacewinglug.errors import UserError
from lacewinglug.host.caches import CacheDiscovery
from lacewinglug.host.context import HostState
from lacewinglug.host.dispatch import Dispatcher
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.listeners import Listener
from lacewinglug.host.model import HostSettings
from lacewinglug.host.peers import AdvertisedState, PeerProtocol
from lacewinglug.host.reporting import HostMetrics, RequestReporter
from lacewinglug.host.residency import format_part
from lacewinglug.host.shutdown import ShutdownSchedule
from lacewinglug.host.status import (
    STATUS_TARGET,
    HostReport,
    list_retry_budgets,
    list_runners,
)
from lacewinglug.host.steward import StageController
from lacewinglug.host.tenure import TenureManager
from lacewinglug.host.watch import StoreWatcher
from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.memory.limits import MIN_CONNECTIONS
from lacewinglug.platform.calls import (
    decode_resolve_query,
    encode_addresses,
    is_readiness_check,
)
from lacewinglug.platform.settings import load_settings
from lacewinglug.platform.store import StoreClient
from lacewinglug.scaling.controller import create_controller
from lacewinglug.wire.messages import Request, Response
from lacewinglug.wire.server import ClientLimits, EndReason, Exchange, Handler

logger = logging.getLogger(__name__)

DIRECTORY_TTL_S = 1.5
"""Cache lifetime of directory responses, in s. Some clients keep them three times
as long; a host that shuts down accepts connections for about that time."""
MAX_INTERNAL_BODY_BYTES = 16_384
"""Maximum size of a request body at the readiness check, the directory and the metrics,
which need none, in bytes."""
INTERNAL_RECEIVE_BUFFER_BYTES = 8_192
"""Size of the kernel's receive buffer of a connection there, in bytes."""
INTERNAL_BACKLOG = 128
"""Connections to each of them that may wait to be accepted."""
MAINTENANCE_INTERVAL_S = 1.0
"""Interval of closing stale connections and updating gauges, in s."""
SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval of checking the settings file for changes, in s."""
STAGE_CHANGE_HOLD_S = 4.5
"""Time for which an engine that another host ordered to change its stage gets no
work, in s: a typical change takes three seconds, the rest covers the age of the view
of runners."""
MIN_RESTART_DELAY_S = 0.1
"""Delay before a task that failed unexpectedly runs again, in s; doubles each time.
The first ones are much shorter than the silence after which a host gets no clients."""
MAX_RESTART_DELAY_S = 1.0
"""Maximum of that delay, in s; it bounds the log lines of a task that fails always."""
RESTART_DELAY_RESET_S = 10.0
"""Time for which a task has to run before the delay is the minimum again, in s."""
SHUTDOWN_POLL_INTERVAL_S = 0.05
"""Interval of checking whether all connections are closed on shutdown, in s."""


@dataclass(kw_only=True)
class HostProcess:
    """Owns the tasks and listeners of a host.

    :param settings: settings of the host.
    :param metrics_port: port of the metrics endpoint, 0 for any free port.
    :param settings_path: path of the settings file, which is watched for changes.
    :param stop_requested: set to start a graceful shutdown.
    :param reload_requested: set to reload the settings file.
    :param shutting_down: whether the host is shutting down.
    """

    settings: HostSettings
    metrics_port: int = 0
    settings_path: Path | None = None
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    reload_requested: asyncio.Event = field(default_factory=asyncio.Event)
    shutting_down: bool = False

    def __post_init__(self) -> None:
        settings = self.settings
        self._metrics = HostMetrics()
        self.state = HostState(
            settings=settings,
            now_s=asyncio.get_running_loop().time,
            count_hosts=lambda: self.host_table.count(),
            announce_work=lambda work: self._peers.queue_work(work),
            metrics=self._metrics,
            other_hosts_serve=lambda: bool(
                self.host_table.serving_peers(now_s=self.state.now_s())
            ),
        )
        own = HostIdentity(
            name=settings.name,
            incarnation=round(time.time() * 1000),
            ip=settings.ip,
            peer_port=settings.peer_port,
            zone=settings.zone,
            client_address=settings.client_address,
        )
        self.host_table = HostTable(own=own, geography=self.state.geography)
        self._peers = PeerProtocol(
            table=self.host_table,
            on_work=self._on_engine_work,
            advertised_state=lambda: AdvertisedState(
                ready=self.ready,
                leaving=self.shutting_down,
                knows_cache_contents=self._cache_learner.done,
                store_reachable=self._store_watch.store_reachable,
            ),
            on_stage_change=self._on_stage_change,
            own_stream_counts=self.state.count_own_streams,
            on_streams=self._on_stream_counts,
            on_new_host=lambda host: self._cache_learner.send_to_new_host(host),
            on_view_update=lambda update: self._store_watch.apply_shared_view(update),
            take_unshared_speeds=self.state.engines.take_unshared_speeds,
            on_speed=lambda speed: self.state.engines.add_shared_speed(
                speed, now_s=self.state.now_s()
            ),
            suspects=lambda: self.state.quarantine.reports(now_s=self.state.now_s()),
            on_suspect=lambda report: self.state.quarantine.apply_report(
                report, now_s=self.state.now_s()
            ),
            on_proven=lambda part: self.state.quarantine.apply_proven(
                part, now_s=self.state.now_s()
            ),
            on_duty_datagram=self._on_duty_datagram,
        )
        quarantine = self.state.quarantine
        quarantine.on_suspect = self._peers.queue_suspect
        quarantine.on_proven = self._peers.queue_proven
        self._store = store = StoreClient(address=settings.store_address)
        self._store_watch = StoreWatcher(
            store=store,
            routes=self.state.routes,
            fleet=self.state.fleet,
            hosts=self.host_table,
            peers=self._peers,
            now_s=self.state.now_s,
            heartbeat_s=settings.heartbeat_s,
            send_view_update=self._peers.send_view_update,
            on_failure=lambda what: self._metrics.store_failures.labels(what).inc(),
            on_configuration_read=self._metrics.configuration_reads.inc,
        )
        store.on_era = self._store_watch.record_era
        self._cache_learner = CacheDiscovery(
            state=self.state,
            table=self.host_table,
            send_parts=self._peers.send_cached_parts,
        )
        tenure_manager = TenureManager(
            store=store,
            host=settings.name,
            ip=settings.ip,
            incarnation=own.incarnation,
            lease_s=settings.lease_s,
            now_s=self.state.now_s,
            sleep=asyncio.sleep,
        )
        if settings.duties is not None:
            self.state.duties = DutyService(
                settings=settings.duties,
                table=self.host_table,
                tenure_manager=tenure_manager,
                store=store,
                is_ready=lambda: self.ready,
                send=self._peers.send_datagram,
                now_s=self.state.now_s,
                registry=self._metrics.registry,
            )
        self._scaling = create_controller(self.state, registry=self._metrics.registry)
        self._steward = StageController(
            state=self.state,
            tenure_manager=tenure_manager,
            is_planner=self._is_planner,
            announce_stage_change=self._peers.announce_stage_change,
        )
        self._reporter = RequestReporter(metrics=self._metrics)
        self._dispatcher = Dispatcher(state=self.state, reporter=self._reporter)
        self._client_listener = Listener(
            name="clients",
            address=settings.client_address,
            handler=self._dispatcher.handle,
            limits=self._client_limits,
            on_end=self._record_connection_end,
            budget=self.state.budget,
            connection_limit=self.state.client_limit,
            backlog=settings.machine.client_backlog,
        )
        self._internal_listeners = [
            self._make_internal_listener(
                "readiness", settings.ready_address, self._handle_readiness
            ),
            self._make_internal_listener(
                "directory",
                settings.directory_address,
                self._handle_directory,
                max_connections=settings.machine.max_directory_connections,
            ),
            self._make_internal_listener(
                "metrics", f"{settings.ip}:{self.metrics_port}", self._handle_metrics
            ),
        ]

    def _make_internal_listener(
        self,
        name: str,
        address: str,
        handler: Handler,
        *,
        max_connections: int = MIN_CONNECTIONS,
    ) -> Listener:
        return Listener(
            name=name,
            address=address,
            handler=handler,
            limits=lambda: ClientLimits(max_body_bytes=MAX_INTERNAL_BODY_BYTES),
            budget=self.state.budget,
            connection_limit=ConnectionLimit(kind=name, max_count=max_connections),
            backlog=INTERNAL_BACKLOG,
            receive_buffer_bytes=INTERNAL_RECEIVE_BUFFER_BYTES,
        )

    @property
    def metrics_address(self) -> str:
        """Address of the metrics endpoint."""
        return self._internal_listeners[-1].bound_address

    @property
    def ready(self) -> bool:
        """Whether this host can serve clients."""
        state = self.state
        configured = state.routes.configuration is not None
        return configured and state.fleet.is_loaded and not self.shutting_down

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully.

        :raises UserError: an address is not available.
        """
        await self._peers.open()
        for listener in (*self._internal_listeners, self._client_listener):
            await listener.open()
        for seed in self.settings.seeds:
            self._peers.send_heartbeat_to(seed.rpartition(":")[0])
        tasks = [
            asyncio.create_task(self._keep_running(name, job))
            for name, job in (
                ("configuration", self._store_watch.follow_configuration),
                ("runners", self._store_watch.follow_runners),
                ("hosts", self._store_watch.follow_hosts),
                ("heartbeats", self._peers.send_heartbeats),
                ("work", self._peers.send_work_batches),
                ("bundles", self._peers.send_bundles),
                ("stages", self._steward.run),
                ("maintenance", self._run_maintenance),
                ("settings", self._watch_settings),
                ("caches", self._cache_learner.run),
                *(self.state.duties.jobs() if self.state.duties else ()),
                *([("scaling", self._scaling.run)] if self._scaling else ()),
            )
        ]
        logger.info("host started", extra={"address": self.settings.client_address})
        try:
            await self.stop_requested.wait()
            await self._shut_down()
        finally:
            await self._release(tasks)

    async def _release(self, jobs: Iterable[asyncio.Task[None]]) -> None:
        """End all tasks, then close all connections.

        A task that outlives the event loop fails when it closes its connection. Those
        that requests left behind, such as the release of a KV cache, get the rest of
        the grace period.

        :param jobs: tasks that never end by themselves.
        """
        listeners = (*self._internal_listeners, self._client_listener)
        handlers = {task for item in listeners for task in item.registry.tasks}
        for job in jobs:
            job.cancel()
        for listener in listeners:
            listener.close()
        await asyncio.gather(*jobs, *handlers, return_exceptions=True)
        left_behind = self.state.background_tasks
        schedule = self.state.shutdown
        if left_behind and schedule is not None:
            left_s = schedule.exit_by_s - self.state.now_s()
            await asyncio.wait(left_behind, timeout=max(0.0, left_s))
        for task in left_behind:
            task.cancel()
        await asyncio.gather(*left_behind, return_exceptions=True)
        if self.state.duties is not None:
            self.state.duties.close()
        self.state.upstreams.close()
        self._store.close()
        self._peers.close()

    async def _keep_running(
        self, name: str, job: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a job to its end, again after an unexpected error.

        The requests in progress do not depend on any one of the jobs.
        """
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_s = self.state.now_s()
            try:
                await job()
            except Exception as error:
                now_s = self.state.now_s()
                self._reporter.record_internal_error(
                    error, what=name, request_id="", now_s=now_s
                )
                if now_s - started_s > RESTART_DELAY_RESET_S:
                    delay_s = MIN_RESTART_DELAY_S
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
            else:
                return

    async def _shut_down(self) -> None:
        """Announce the shutdown, finish requests in progress and stop."""
        schedule = ShutdownSchedule.begin(
            now_s=self.state.now_s(),
            grace_s=self.settings.shutdown_grace_s,
            address_ttl_s=self._directory_ttl_s,
        )
        self.shutting_down = True
        self._dispatcher.begin_shutdown(schedule)
        leaving = asyncio.create_task(
            self._keep_running("leaving", self._announce_leaving)
        )
        logger.info(
            "host leaves",
            extra={"requests": self._client_listener.registry.active_request_count},
        )
        registry = self._client_listener.registry
        registry.close_after_response = True
        unregister = asyncio.create_task(self._store_watch.unregister())
        await asyncio.sleep(schedule.accept_until_s - self.state.now_s())
        self._client_listener.stop_accepting()
        registry.close_idle()
        while registry.connections and self.state.now_s() < schedule.flush_by_s:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
            registry.close_idle()
        unregister.cancel()
        leaving.cancel()
        for listener in self._internal_listeners:
            listener.stop_accepting()
        logger.info("host stopped", extra={"requests": registry.active_request_count})

    async def _announce_leaving(self) -> None:
        self._peers.send_heartbeat(to_all_hosts=True)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now_s = self.state.now_s()
            self.state.upstreams.close_stale()
            self.state.remove_departed_runners()
            metrics = self._metrics
            metrics.set_pacing(self.state.upstreams.pacer.limits(now_s=now_s))
            metrics.configuration_version.set(self.state.routes.version)
            metrics.store_era.set(self._store_watch.era)
            metrics.quarantined_parts.set(
                len(self.state.quarantine.quarantined_parts())
            )
            metrics.view_age_s.set(self.state.fleet.age_s(now_s))
            budget = self.state.budget
            metrics.memory_charged_bytes.set(budget.charged_bytes)
            metrics.memory_limit_bytes.set(budget.limit_bytes)
            metrics.memory_waiting.set(budget.waiting_count)
            limits = [self.state.client_limit, self.state.upstream_limit]
            limits += [
                item.connection_limit
                for item in self._internal_listeners
                if item.connection_limit is not None
            ]
            for limit in limits:
                metrics.connections.labels(limit.kind).set(limit.count)
                metrics.connection_limits.labels(limit.kind).set(limit.max_count)
            metrics.serving_hosts.set(
                len(self.host_table.serving_peers(now_s=now_s)) + self.ready
            )

    async def _watch_settings(self) -> None:
        """Reload the settings file when it changes or a reload is requested."""
        last_seen = self._stat_settings()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                    await self.reload_requested.wait()
            current = self._stat_settings()
            if not self.reload_requested.is_set() and current == last_seen:
                continue
            self.reload_requested.clear()
            last_seen = current
            self._reload()

    def _reload(self) -> None:
        if self.settings_path is None:
            return
        try:
            settings = load_settings(self.settings_path)
        except UserError as error:
            logger.error("settings not reloaded; keeping the previous ones: %s", error)
            return
        for seed in settings.seeds:
            self._peers.send_heartbeat_to(seed.rpartition(":")[0])
        logger.info("settings reloaded", extra={"seeds": list(settings.seeds)})

    def _stat_settings(self) -> tuple[int, int]:
        if self.settings_path is None:
            return (0, 0)
        try:
            found = self.settings_path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    def _on_engine_work(self, work: EngineWork) -> None:
        self.state.engines.record_work(work, now_s=self.state.now_s())

    def _on_stream_counts(self, host: str, counts: dict[str, int]) -> None:
        self.state.engines.record_remote_streams(host, counts, now_s=self.state.now_s())

    def _on_stage_change(self, instance: str) -> None:
        until_s = self.state.now_s() + STAGE_CHANGE_HOLD_S
        self.state.engines.mark_stage_change(instance, until_s=until_s)

    def _on_duty_datagram(self, data: bytes) -> None:
        if self.state.duties is not None:
            self.state.duties.handle_datagram(data)

    def _is_planner(self) -> bool:
        """Return whether this host plans.

        It is the first by name of the serving hosts, or the one with the duties.
        """
        if self.state.duties is not None:
            return self.state.duties.is_planner()
        serving = self.host_table.serving_peers(now_s=self.state.now_s())
        return self.ready and all(host.name > self.settings.name for host in serving)

    def _record_connection_end(
        self, reason: EndReason, unanswered: Request | None
    ) -> None:
        self._reporter.record_connection_end(
            reason, unanswered, now_s=self.state.now_s()
        )

    def _client_limits(self) -> ClientLimits:
        configuration = self.state.routes.configuration
        if configuration is None or configuration.limits is None:
            return ClientLimits()
        limits = configuration.limits
        return ClientLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _handle_readiness(self, request: Request, exchange: Exchange) -> None:
        if not is_readiness_check(request):
            await exchange.respond(Response(status=404))
            return
        await exchange.respond(Response(status=200 if self.ready else 503))

    async def _handle_directory(self, request: Request, exchange: Exchange) -> None:
        query = decode_resolve_query(request)
        if query is None:
            await exchange.respond(Response(status=404))
            return
        addresses = self.host_table.addresses_for_client(
            zone=query.zone,
            region=query.region,
            own_ready=self.ready,
            now_s=self.state.now_s(),
        )
        response = encode_addresses(addresses, ttl_s=self._directory_ttl_s)
        await exchange.respond(response)

    @property
    def _directory_ttl_s(self) -> float:
        return min(DIRECTORY_TTL_S, self.settings.directory_ttl_s)

    def build_report(self) -> HostReport:
        """Return the status report of this host."""
        state = self.state
        now_s = state.now_s()
        return HostReport(
            host=self.settings.name,
            ready=self.ready,
            leaving=self.shutting_down,
            requests=self._client_listener.registry.active_request_count,
            configuration_version=state.routes.version,
            view_age_s=state.fleet.age_s(now_s) if state.fleet.is_loaded else None,
            view_source=self._store_watch.source,
            fencing_number=self._steward.tenure_manager.fencing_number,
            peers=self.host_table.peer_statuses(now_s=now_s),
            runners=list_runners(state, now_s=now_s),
            budgets=list_retry_budgets(state, now_s=now_s),
            quarantined_parts=[
                format_part(key) for key in state.quarantine.quarantined_parts()
            ],
        )

    async def _handle_metrics(self, request: Request, exchange: Exchange) -> None:
        if request.target == STATUS_TARGET:
            body = msgspec.json.encode(self.build_report())
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
    """Run a host until a stop is requested.

    :param settings: settings of the host.
    :param metrics_port: port of the metrics endpoint.
    :param settings_path: path of the settings file.
    :param watch_signals: installs signal handlers that set the host's events.
    """
    process = HostProcess(
        settings=settings, metrics_port=metrics_port, settings_path=settings_path
    )
    watch_signals(process)
    await process.run()
