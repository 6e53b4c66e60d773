"""Follows configuration and runners in the store, and registers this host."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from lacewinglug.errors import PlatformError
from lacewinglug.host.fleet import FleetView
from lacewinglug.host.hosts import HostTable
from lacewinglug.host.model import RunnerEntry
from lacewinglug.host.peers import PeerLink, decode_identity, encode_identity
from lacewinglug.host.routes import RouteTable
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
CONFIGURATION_WAIT_S = 2.0
"""Longest wait of the store for a new configuration, in s; a connection that has
gone silent is found after this and the store's timeout, which together are
shorter than the four seconds after which the rules bind a host again."""
HOSTS_EVERY_S = 15.0
"""Time between reads of the registered hosts, in s; beats find new ones sooner."""
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
    """

    store: StoreClient
    routes: RouteTable
    fleet: FleetView
    hosts: HostTable
    peers: PeerLink
    now_s: Callable[[], float]
    on_failure: Callable[[str], None] = lambda _: None
    _unreadable: frozenset[str] = frozenset()

    async def follow_configuration(self) -> None:
        """Apply each new configuration, until cancelled."""
        retry_s = FIRST_RETRY_S
        end_offset: int | None = None
        while True:
            try:
                if end_offset is None or await self._configuration_changed(end_offset):
                    end_offset = await self._read_configuration()
                retry_s = FIRST_RETRY_S
            except StoreError as error:
                self._note_failure("configuration", error)
                # After an outage the newest record is read whatever was missed.
                end_offset = None
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, LONGEST_RETRY_S)

    async def follow_runners(self) -> None:
        """Read the runners again and again, until cancelled."""
        while True:
            started_s = self.now_s()
            try:
                await self.read_runners()
            except StoreError as error:
                self._note_failure("runners", error)
                self.fleet.note_unavailable(now_s=self.now_s())
            passed_s = self.now_s() - started_s
            await asyncio.sleep(max(FIRST_RETRY_S, RUNNERS_EVERY_S - passed_s))

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
                await asyncio.sleep(HOSTS_EVERY_S)
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

    async def read_runners(self) -> None:
        """Read the runners once.

        :raises StoreError: the store did not answer.
        """
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
        self.fleet.update(entries, now_s=self.now_s())

    async def _configuration_changed(self, end_offset: int) -> bool:
        return await self.store.wait_for_records(
            CONFIGURATION_TOPIC, from_offset=end_offset, wait_s=CONFIGURATION_WAIT_S
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
