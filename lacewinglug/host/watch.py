"""Tracks the configuration, runners and hosts in the store, and registers this host.

One or two hosts of each region read the store and share the result with the others. A
host that has received no shared view recently reads the store directly.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lacewinglug.clock import read_boot_time_s
from lacewinglug.decoding import RecordDecoder
from lacewinglug.errors import PlatformError
from lacewinglug.host.fleet import FleetView
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.peers import PeerProtocol, decode_identity, encode_identity
from lacewinglug.host.positions import FIRST_ERA, StorePosition
from lacewinglug.host.routes import RouteTable
from lacewinglug.host.sharing import ReplicatedRunners, ViewUpdate
from lacewinglug.platform.records import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    RUNNERS_TOPIC,
    RecordError,
    decode_configuration,
    decode_runner,
)
from lacewinglug.platform.store import StoreClient, StoreError

logger = logging.getLogger(__name__)

HOSTS_TOPIC = "keyed.hosts"
"""Keyed topic in which each host registers itself on startup."""
RUNNER_POLL_INTERVAL_S = 0.8
"""Interval between reads of the runners, in seconds: a third of the shortest time
after which a draining runner may no longer receive requests."""
RUNNER_EXPIRY_HEARTBEATS = 3
"""Number of heartbeat intervals of silence after which the store removes the entry of a
runner; specified by the platform."""
SHARED_VIEW_TIMEOUT_S = 1.2
"""Maximum age of the last shared view before a host reads the store itself, in
seconds: one and a half polling intervals, and half of the shortest time after which a
draining runner may no longer receive requests."""
CONFIGURATION_LONG_POLL_S = 2.0
"""Maximum time that the store holds a read for a new configuration, in seconds. A dead
connection is detected after this time plus the store client's timeout, together less
than the four seconds after which the platform's rules apply to a host again."""
HOST_POLL_INTERVAL_S = 15.0
"""Interval between reads of the registered hosts, in seconds; heartbeats usually
discover new hosts sooner."""
SHARED_VIEW_HOST_POLL_INTERVAL_S = 60.0
"""The same interval while shared views arrive, in seconds. It equals the time after
which silent hosts are removed, because from then on heartbeats alone would not find
the hosts of a partitioned region again."""
MAX_REGISTRATION_DELAY_S = 2.0
"""Maximum delay until a host registers again after the store was restored, in seconds;
heartbeats discover hosts meanwhile."""
INITIAL_RETRY_DELAY_S = 0.25
"""Delay before the first retry of a failed store call, in seconds; doubles."""
MAX_RETRY_DELAY_S = 1.0
"""Maximum delay between retries, in seconds. The end of a store outage must be detected
within about a second to meet the deadline for applying a new configuration."""


@dataclass(kw_only=True)
class StoreWatcher:
    """Keeps the host's view of the store current and registers the host there.

    :param store: client of the store.
    :param routes: receives new configurations.
    :param fleet: receives the runners.
    :param hosts: receives the registered hosts.
    :param peers: sends a heartbeat to newly discovered hosts.
    :param now_s: returns monotonic time in seconds.
    :param heartbeat_s: interval at which runners write their entries, in seconds.
    :param boot_time_s: returns seconds since boot, including time while suspended.
    :param send_view_update: sends an update of the view to the hosts of the region.
    :param on_failure: called with the kind of data (``configuration``, ``runners`` or
        ``hosts``) that a failed store call was for.
    :param on_configuration_read: called after each read of the configuration.
    :param store_reachable: whether the last read of the runners succeeded.
    """

    store: StoreClient
    routes: RouteTable
    fleet: FleetView
    hosts: HostTable
    peers: PeerProtocol
    now_s: Callable[[], float]
    heartbeat_s: float
    boot_time_s: Callable[[], float] = read_boot_time_s
    send_view_update: Callable[[ViewUpdate], None] = lambda _: None
    on_failure: Callable[[str], None] = lambda _: None
    on_configuration_read: Callable[[], None] = lambda: None
    store_reachable: bool = False
    _is_leaving: bool = False
    _runner_records: RecordDecoder[RunnerEntry] = field(
        default_factory=lambda: RecordDecoder(what="runner", decode=decode_runner)
    )
    _host_records: RecordDecoder[HostIdentity] = field(
        default_factory=lambda: RecordDecoder(
            what="host", decode=lambda _key, data: decode_identity(data)
        )
    )
    _shared_entries: ReplicatedRunners = field(default_factory=ReplicatedRunners)
    _last_read_boot_s: float = float("-inf")
    _shared_view_read_s: float = float("-inf")
    _era: int = FIRST_ERA
    _configuration_end: StorePosition | None = None
    _peer_configuration_end: StorePosition | None = None
    _shared_entries_differ: bool = False
    _uses_shared_view: bool | None = None
    _runner_wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    _hosts_wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    _configuration_wakeup: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def source(self) -> str:
        """Source of the view of runners: ``store``, ``hosts`` or ``none``."""
        match self._uses_shared_view:
            case None:
                return "none"
            case uses_shared_view:
                return "hosts" if uses_shared_view else "store"

    def apply_shared_view(self, update: ViewUpdate) -> None:
        """Apply a view update that another host of the region read from the store."""
        read_s = self.now_s() - update.age_s
        self._shared_view_read_s = max(self._shared_view_read_s, read_s)
        self.record_era(update.era)
        self._record_peer_end(update.configuration_end)
        self.routes.record_known_version(update.configuration_version)
        if self._configuration_is_outdated():
            self._configuration_wakeup.set()
        if self.fleet.read_at_s is None or read_s < self.fleet.read_at_s:
            return
        if self._shared_entries.apply(update):
            self.fleet.update(
                self._shared_entries.entries, now_s=read_s, grace_s=update.grace_s
            )
        else:
            self._shared_entries_differ = True
            self._runner_wakeup.set()

    @property
    def era(self) -> int:
        """Latest era of the store that this host knows; each restoration begins one."""
        return self._era

    def record_era(self, era: int) -> None:
        """Record the era of the store in a response to this host or to another one."""
        if era <= self._era:
            return
        if self.fleet.is_loaded:
            logger.warning(
                "store was restored from a copy",
                extra={
                    "era": era,
                    "previous_era": self._era,
                    "configuration_end": str(self._configuration_end),
                },
            )
            expiry_s = RUNNER_EXPIRY_HEARTBEATS * self.heartbeat_s
            self.fleet.mark_store_restored(
                now_s=self.now_s(),
                rewrite_s=self.heartbeat_s + RUNNER_POLL_INTERVAL_S,
                expiry_s=expiry_s + RUNNER_POLL_INTERVAL_S,
            )
        self._era = era
        self._configuration_wakeup.set()
        self._hosts_wakeup.set()

    def _record_peer_end(self, end: StorePosition | None) -> None:
        """Record the end of the configuration topic reported by a reader.

        If two readers report different positions, the later one counts.
        """
        known = self._peer_configuration_end
        self._peer_configuration_end = (
            end if end is None or known is None else max(known, end)
        )

    async def follow_configuration(self) -> None:
        """Read and apply each new configuration, until cancelled."""
        retry_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                if await self._wait_for_new_configuration():
                    reported_era = self._era
                    reported_end = self._peer_configuration_end
                    self._configuration_end = await self._read_configuration()
                    self._drop_wrong_reports(reported_era, reported_end)
                    self._share_view(self._shared_entries.summary())
                retry_s = INITIAL_RETRY_DELAY_S
            except StoreError as error:
                self._report_failure("configuration", error)
                # After an outage read the newest record, whatever was missed.
                self._configuration_end = None
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_DELAY_S)

    async def follow_runners(self) -> None:
        """Keep the view of runners current, until cancelled."""
        while True:
            started_s = self.now_s()
            uses_shared_view = self._has_shared_view(started_s)
            self._log_source_change(uses_shared_view)
            if not uses_shared_view or self._shared_entries_differ:
                try:
                    self._share_view(await self.read_runners())
                except StoreError as error:
                    self.store_reachable = False
                    self._report_failure("runners", error)
                    self.fleet.mark_store_unavailable(now_s=self.now_s())
            await self._wait_for_runners(started_s)

    def _log_source_change(self, uses_shared_view: bool) -> None:
        """Log a change of the source of the view between the store and other hosts."""
        if uses_shared_view is not self._uses_shared_view:
            source = "hosts of the region" if uses_shared_view else "store"
            logger.info(
                "source of the view of runners changed", extra={"source": source}
            )
            self._uses_shared_view = uses_shared_view

    async def _wait_for_runners(self, started_s: float) -> None:
        """Wait until the view of runners has to be refreshed."""
        now_s = self.now_s()
        if self._has_shared_view(now_s):
            pause_s = self._shared_view_read_s + SHARED_VIEW_TIMEOUT_S - now_s
        else:
            pause_s = started_s + RUNNER_POLL_INTERVAL_S - now_s
        self._runner_wakeup.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(INITIAL_RETRY_DELAY_S, pause_s)):
                await self._runner_wakeup.wait()

    def _has_shared_view(self, now_s: float) -> bool:
        """Return whether this host can rely on recently shared views of other hosts."""
        if (
            not self.fleet.is_loaded
            or now_s - self._shared_view_read_s >= SHARED_VIEW_TIMEOUT_S
        ):
            return False
        return not (self.store_reachable and self.hosts.is_store_reader(now_s=now_s))

    def _configuration_is_outdated(self) -> bool:
        """Return whether the store may have a later configuration than the last read.

        It may after it was restored, and if another host has reported a later end of
        the topic.
        """
        end = self._configuration_end
        if end is None or end.era < self._era:
            return True
        reported = self._peer_configuration_end
        return reported is not None and reported > end

    def _drop_wrong_reports(self, era: int, end: StorePosition | None) -> None:
        """Drop what other hosts reported and the store contradicts.

        Otherwise the store would be read again without end.

        :param era: latest era that was known before the store was read.
        :param end: end of the configuration topic that was reported before.
        """
        read = self._configuration_end
        if read is None or (read.era >= era and (end is None or end <= read)):
            return
        logger.warning(
            "dropping a report that the store contradicts",
            extra={"era": read.era, "reported_era": era, "reported_end": str(end)},
        )
        if self._era == era:
            self._era = read.era
        self._peer_configuration_end = None

    def _share_view(self, update: ViewUpdate) -> None:
        """Send the update to the hosts of the region if this host is its reader."""
        now_s = self.now_s()
        if self.fleet.is_loaded and self.hosts.is_store_reader(now_s=now_s):
            # Boot time counts a suspension during the read, which makes the result old.
            age_s = self.boot_time_s() - self._last_read_boot_s
            self.send_view_update(
                replace(
                    update,
                    age_s=age_s,
                    grace_s=self.fleet.grace_left_s(now_s),
                    era=self._era,
                    configuration_end=self._configuration_end,
                    configuration_version=self.routes.version,
                )
            )

    async def follow_hosts(self) -> None:
        """Register this host, then read the registered hosts periodically.

        A registration, or the removal of one, may be lost when the store is restored,
        so it is written again.
        """
        registered_era: int | None = None
        retry_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                self._hosts_wakeup.clear()
                if registered_era is None or registered_era < self._era:
                    registered_era = await self._register()
                await self._read_hosts()
                retry_s = INITIAL_RETRY_DELAY_S
                await self._wait_for_hosts()
            except StoreError as error:
                self._report_failure("hosts", error)
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_DELAY_S)

    async def _wait_for_hosts(self) -> None:
        """Wait until the hosts have to be read or this one to be registered again."""
        uses_shared_view = self._has_shared_view(self.now_s())
        interval_s = (
            SHARED_VIEW_HOST_POLL_INTERVAL_S
            if uses_shared_view
            else HOST_POLL_INTERVAL_S
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self._hosts_wakeup.wait()
            # Many hosts notice a restoration at the same time.
            await asyncio.sleep(random.uniform(0.0, MAX_REGISTRATION_DELAY_S))

    async def unregister(self) -> None:
        """Remove this host's registration; log it if the store call fails."""
        self._is_leaving = True
        try:
            await self._register()
        except PlatformError as error:
            logger.warning("removing the host registration failed: %s", error)

    async def read_runners(self) -> ViewUpdate:
        """Read the runners from the store once; return the changes.

        :raises StoreError: the store call failed.
        """
        started_s, started_boot_s = self.now_s(), self.boot_time_s()
        snapshot = await self.store.read_newest(RUNNERS_TOPIC)
        entries = self._runner_records.decode_all(snapshot.values)
        self.fleet.update(entries, now_s=started_s)
        self._last_read_boot_s = started_boot_s
        self.store_reachable = True
        self._shared_entries_differ = False
        return self._shared_entries.replace(entries)

    async def _wait_for_new_configuration(self) -> bool:
        """Wait for a limited time; return whether the configuration has to be read."""
        self._configuration_wakeup.clear()
        end = self._configuration_end
        if end is None or self._configuration_is_outdated():
            return True
        if self._peer_configuration_end is not None and self._has_shared_view(
            self.now_s()
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SHARED_VIEW_TIMEOUT_S):
                    await self._configuration_wakeup.wait()
            return self._configuration_is_outdated()
        return await self._wait_for_records(end)

    async def _wait_for_records(self, end: StorePosition) -> bool:
        """Wait until the store has a new configuration or another source tells of one.

        A read that waits while the store is restored would go on to wait until the
        topic has grown beyond the position of before.
        """
        read = asyncio.ensure_future(
            self.store.wait_for_records(
                CONFIGURATION_TOPIC, start=end, wait_s=CONFIGURATION_LONG_POLL_S
            )
        )
        wakeup = asyncio.ensure_future(self._configuration_wakeup.wait())
        try:
            await asyncio.wait((read, wakeup), return_when=asyncio.FIRST_COMPLETED)
            return read.result() if read.done() else self._configuration_is_outdated()
        finally:
            read.cancel()
            wakeup.cancel()
            # The read has to release its connection before the next one begins.
            await asyncio.gather(read, wakeup, return_exceptions=True)

    async def _read_configuration(self) -> StorePosition:
        snapshot = await self.store.read_newest(CONFIGURATION_TOPIC)
        data = snapshot.values.get(CONFIGURATION_KEY)
        if data is not None:
            try:
                configuration = decode_configuration(data)
            except RecordError as error:
                logger.error("configuration not applied: %s", error)
            else:
                self.routes.apply(configuration, now_s=self.now_s())
                self._log_older_version(configuration.version)
        self.on_configuration_read()
        return snapshot.end

    def _log_older_version(self, version: int) -> None:
        """Log a version of the store that is older than the one in force."""
        if version < self.routes.version:
            logger.warning(
                "store has an older configuration; keeping the one in force",
                extra={
                    "version": self.routes.version,
                    "store_version": version,
                    "era": self._era,
                },
            )

    async def _register(self) -> int:
        """Register this host, or remove its registration if it leaves.

        :return: era of the store in which this was written.
        """
        own = self.hosts.own
        value = b"" if self._is_leaving else encode_identity(own)
        return await self.store.put(HOSTS_TOPIC, key=own.name, value=value)

    async def _read_hosts(self) -> None:
        snapshot = await self.store.read_newest(HOSTS_TOPIC)
        for identity in self._host_records.decode_all(snapshot.values):
            if not self.hosts.add(identity):
                continue
            if not self.peers.relaying:
                self.peers.send_heartbeat_to(identity.ip)

    def _report_failure(self, what: str, error: StoreError) -> None:
        self.on_failure(what)
        logger.info("store call failed", extra={"what": what, "reason": str(error)})
