"""Watches the platform's host list on behalf of all stewards."""

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

from lacewinglug.backing.hosts import HostListClient
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.membership.neighbours import rank_hosts
from lacewinglug.metrics import Metrics

WATCH_INTERVAL_S = 1.0
WATCHER_COUNT = 3
_RANK_KEY = "host-list"

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class HostListWatcher:
    """Reads the host list while this host is among the few that do.

    What was read last stays valid while the platform is down.

    :param host: name of this host.
    :param client: client of the host list.
    :param live_hosts: returns the hosts that are live.
    :param clock: source of time.
    :param metrics: counters.
    """

    host: str
    client: HostListClient
    live_hosts: Callable[[], Collection[str]]
    clock: Clock
    metrics: Metrics
    leaving: frozenset[str] = frozenset()
    listed: frozenset[str] | None = None
    _failed: bool = False

    async def run(self) -> None:
        """Read the list, over and over, until cancelled."""
        while True:
            await self.read_once()
            await self.clock.sleep(WATCH_INTERVAL_S)

    async def read_once(self) -> None:
        """Read the list if this host is to read it."""
        if not self.is_watcher():
            self.leaving = frozenset()
            self.listed = None
            return
        try:
            hosts = (await self.client.fetch()).hosts
        except PlatformError as error:
            self.metrics.count("host_list.read_failures")
            if not self._failed:
                logger.warning("host list unreachable", extra={"reason": str(error)})
            self._failed = True
            return
        self._failed = False
        self.listed = frozenset(hosts)
        self.leaving = frozenset(
            name for name, state in hosts.items() if state == "leaving"
        )

    def is_watcher(self) -> bool:
        """Return whether this host is one of the few that read the list."""
        candidates = {*self.live_hosts(), self.host}
        return self.host in rank_hosts(_RANK_KEY, candidates)[:WATCHER_COUNT]
