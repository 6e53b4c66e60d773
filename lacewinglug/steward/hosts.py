"""Reads the platform's host list on behalf of all stewards."""

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

from lacewinglug.backing.hosts import HostListClient
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.membership.neighbours import rank_hosts
from lacewinglug.metrics import Metrics

HOST_LIST_READ_INTERVAL_S = 1.0
READER_COUNT = 3
_RANKING_KEY = "host-list"

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class HostListReader:
    """Reads the host list periodically while this host is one of the elected readers.

    The last list that was read stays valid while the platform is down.

    :param host: name of this host.
    :param client: client of the host list.
    :param live_hosts: returns the hosts that are live.
    :param clock: source of time.
    :param metrics: metric counters.
    :param leaving_upstreams: hosts and runners that the list marks as leaving.
    :param listed_upstreams: hosts and runners on the list, None while this host does
        not read it.
    """

    host: str
    client: HostListClient
    live_hosts: Callable[[], Collection[str]]
    clock: Clock
    metrics: Metrics
    leaving_upstreams: frozenset[str] = frozenset()
    listed_upstreams: frozenset[str] | None = None
    _last_read_failed: bool = False

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
        while True:
            await self.read_once()
            await self.clock.sleep(HOST_LIST_READ_INTERVAL_S)

    async def read_once(self) -> None:
        """Read the list if this host is one of the readers, and clear it otherwise."""
        if not self.is_reader():
            self.leaving_upstreams = frozenset()
            self.listed_upstreams = None
            return
        try:
            hosts = (await self.client.fetch()).hosts
        except PlatformError as error:
            self.metrics.count("host_list.read_failures")
            if not self._last_read_failed:
                logger.warning("host list unreachable", extra={"reason": str(error)})
            self._last_read_failed = True
            return
        self._last_read_failed = False
        self.listed_upstreams = frozenset(hosts)
        self.leaving_upstreams = frozenset(
            name for name, state in hosts.items() if state == "leaving"
        )

    def is_reader(self) -> bool:
        """Return whether this host is one of those elected to read the list."""
        candidates = {*self.live_hosts(), self.host}
        return self.host in rank_hosts(_RANKING_KEY, candidates)[:READER_COUNT]
