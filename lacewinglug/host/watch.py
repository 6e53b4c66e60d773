"""Follows configuration and runners in the store, and registers this host.

A few hosts of each region read the store and tell the others what they read. A host
that hears nothing new for a while reads by itself.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lacewinglug.clock import read_boot_time_s
from lacewinglug.errors import PlatformError
from lacewinglug.host.fleet import FleetView
from lacewinglug.host.hosts import HostTable
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.peers import PeerLink, decode_identity, encode_identity
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
"""Topic of our own in which each host registers once."""
RUNNERS_EVERY_S = 0.8
"""Time between reads of the runners, in s; a third of the shortest time after
which a leaving runner may get no request."""
HEARD_LIMIT_S = 1.2
"""Time after which a host that was told nothing reads the store by itself, in s; one
and a half reads of another host, and half of the shortest time after which a leaving
runner may get no request."""
CONFIGURATION_WAIT_S = 2.0
"""Longest wait of the store for a new configuration, in s; a connection that has
gone silent is found after this and the store's timeout, which together are
shorter than the four seconds after which the rules bind a host again."""
HOSTS_EVERY_S = 15.0
"""Time between reads of the registered hosts, in s; beats find new ones sooner."""
HOSTS_EVERY_TOLD_S = 60.0
"""That time at hosts that are told what others read, in s; as long as a silent host
is remembered, after which a parted region would not be found again."""
FIRST_RETRY_S = 0.25
"""Pause after a failed call to the store, in s; doubles."""
LONGEST_RETRY_S = 1.0
"""Bound of that pause, in s; the store's return must be seen within a second or
so for the bounds on configuration."""


@dataclass(kw_only=True)
class StoreWatch:
    """Owns the calls to the store.

    :param store: client of the store.
    :param routes: takes configurations.
    :param fleet: takes runners.
    :param hosts: takes registered hosts.
    :param peers: greets hosts that are new.
    :param now_s: returns monotonic seconds.
    :param boot_time_s: returns seconds that go on while the host is suspended.
    :param tell: tells the hosts of the region what was read.
    :param on_failure: called with what a failed call was for.
    :param reads_store: whether the store answered the last read of runners.
    """

    store: StoreClient
    routes: RouteTable
    fleet: FleetView
    hosts: HostTable
    peers: PeerLink
    now_s: Callable[[], float]
    boot_time_s: Callable[[], float] = read_boot_time_s
    tell: Callable[[ViewUpdate], None] = lambda _: None
    on_failure: Callable[[str], None] = lambda _: None
    reads_store: bool = False
    _unreadable: frozenset[str] = frozenset()
    _shared: ReplicatedRunners = field(default_factory=ReplicatedRunners)
    _asked_at_s: float = float("-inf")
    _heard_s: float = float("-inf")
    _offset: int | None = None
    _told_offset: int | None = None
    _differs: bool = False
    _told: bool | None = None
    _runner_news: asyncio.Event = field(default_factory=asyncio.Event)
    _configuration_news: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def source(self) -> str:
        """Where the view of runners comes from: ``store``, ``hosts`` or ``none``."""
        match self._told:
            case None:
                return "none"
            case told:
                return "hosts" if told else "store"

    def take_view(self, update: ViewUpdate) -> None:
        """Take what another host of the region has read."""
        read_s = self.now_s() - update.age_s
        self._heard_s = max(self._heard_s, read_s)
        self._note_offset(update.configuration_offset)
        if self._is_behind():
            self._configuration_news.set()
        if self.fleet.read_at_s is None or read_s < self.fleet.read_at_s:
            return
        if self._shared.apply(update):
            self.fleet.update(
                self._shared.entries, now_s=read_s, grace_s=update.grace_s
            )
        else:
            self._differs = True
            self._runner_news.set()

    def _note_offset(self, offset: int | None) -> None:
        """Note the end of the configuration's topic, as a reader tells it.

        Of two readers, the one that knows the later end is believed.
        """
        if offset is None or self._told_offset is None:
            self._told_offset = offset
        else:
            self._told_offset = max(self._told_offset, offset)

    async def follow_configuration(self) -> None:
        """Apply each new configuration, until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            try:
                if await self._configuration_changed():
                    self._offset = await self._read_configuration()
                    self._tell_view(self._shared.summary())
                retry_s = FIRST_RETRY_S
            except StoreError as error:
                self._note_failure("configuration", error)
                # After an outage the newest record is read whatever was missed.
                self._offset = None
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, LONGEST_RETRY_S)

    async def follow_runners(self) -> None:
        """Read the runners again and again, until cancelled."""
        while True:
            started_s = self.now_s()
            told = self._is_told(started_s)
            self._note_source(told)
            if not told or self._differs:
                try:
                    self._tell_view(await self.read_runners())
                except StoreError as error:
                    self.reads_store = False
                    self._note_failure("runners", error)
                    self.fleet.mark_store_unavailable(now_s=self.now_s())
            await self._wait_for_runners(started_s)

    def _note_source(self, told: bool) -> None:
        """Log whether the view comes from the store or from other hosts."""
        if told is not self._told:
            source = "hosts of the region" if told else "store"
            logger.info("source of the view changed", extra={"source": source})
            self._told = told

    async def _wait_for_runners(self, started_s: float) -> None:
        """Wait until the runners are to be looked at again."""
        now_s = self.now_s()
        if self._is_told(now_s):
            pause_s = self._heard_s + HEARD_LIMIT_S - now_s
        else:
            pause_s = started_s + RUNNERS_EVERY_S - now_s
        self._runner_news.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(FIRST_RETRY_S, pause_s)):
                await self._runner_news.wait()

    def _is_told(self, now_s: float) -> bool:
        """Return whether other hosts tell this one what they read."""
        if not self.fleet.is_loaded or now_s - self._heard_s >= HEARD_LIMIT_S:
            return False
        return not (self.reads_store and self.hosts.is_store_reader(now_s=now_s))

    def _is_behind(self) -> bool:
        """Return whether another host knows a later configuration."""
        if self._told_offset is None:
            return False
        return self._offset is None or self._told_offset > self._offset

    def _tell_view(self, update: ViewUpdate) -> None:
        """Tell the hosts of the region what was read, if this host is to do so."""
        now_s = self.now_s()
        if self.fleet.is_loaded and self.hosts.is_store_reader(now_s=now_s):
            # A host that was suspended during the read has an old answer.
            age_s = self.boot_time_s() - self._asked_at_s
            self.tell(
                replace(
                    update,
                    age_s=age_s,
                    grace_s=self.fleet.grace_left_s(now_s),
                    configuration_offset=self._offset,
                )
            )

    async def follow_hosts(self) -> None:
        """Register this host, then read the others now and then."""
        registered = False
        retry_s = FIRST_RETRY_S
        while True:
            try:
                if not registered:
                    await self._register()
                    registered = True
                await self._read_hosts()
                retry_s = FIRST_RETRY_S
                told = self._is_told(self.now_s())
                await asyncio.sleep(HOSTS_EVERY_TOLD_S if told else HOSTS_EVERY_S)
            except StoreError as error:
                self._note_failure("hosts", error)
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, LONGEST_RETRY_S)

    async def unregister(self) -> None:
        """Take this host out of the store, as far as it answers."""
        try:
            await self.store.put(HOSTS_TOPIC, key=self.hosts.own.name, value=b"")
        except PlatformError as error:
            logger.warning("host stays registered: %s", error)

    async def read_runners(self) -> ViewUpdate:
        """Read the runners once; return what has changed.

        :raises StoreError: the store did not answer.
        """
        started_s, asked_at_s = self.now_s(), self.boot_time_s()
        snapshot = await self.store.read_newest(RUNNERS_TOPIC)
        entries: list[RunnerEntry] = []
        unreadable = set()
        for instance, data in snapshot.values.items():
            try:
                entries.append(decode_runner(instance, data))
            except RecordError as error:
                unreadable.add(instance)
                if instance not in self._unreadable:
                    logger.warning("runner left out: %s", error)
        self._unreadable = frozenset(unreadable)
        self.fleet.update(entries, now_s=started_s)
        self._asked_at_s = asked_at_s
        self.reads_store = True
        self._differs = False
        return self._shared.replace(entries)

    async def _configuration_changed(self) -> bool:
        """Wait a while; return whether the configuration is to be read."""
        if self._offset is None:
            return True
        if self._told_offset is not None and self._is_told(self.now_s()):
            self._configuration_news.clear()
            if not self._is_behind():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARD_LIMIT_S):
                        await self._configuration_news.wait()
            return self._is_behind()
        return await self.store.wait_for_records(
            CONFIGURATION_TOPIC, from_offset=self._offset, wait_s=CONFIGURATION_WAIT_S
        )

    async def _read_configuration(self) -> int:
        snapshot = await self.store.read_newest(CONFIGURATION_TOPIC)
        data = snapshot.values.get(CONFIGURATION_KEY)
        if data is not None:
            try:
                configuration = decode_configuration(data)
            except RecordError as error:
                logger.error("configuration not applied: %s", error)
            else:
                self.routes.apply(configuration, now_s=self.now_s())
        return snapshot.end_offset

    async def _register(self) -> None:
        own = self.hosts.own
        await self.store.put(HOSTS_TOPIC, key=own.name, value=encode_identity(own))

    async def _read_hosts(self) -> None:
        snapshot = await self.store.read_newest(HOSTS_TOPIC)
        for data in snapshot.values.values():
            identity = decode_identity(data)
            if identity is not None and self.hosts.learn(identity):
                self.peers.greet(identity.ip)

    def _note_failure(self, what: str, error: StoreError) -> None:
        self.on_failure(what)
        logger.info("store call failed", extra={"what": what, "reason": str(error)})
