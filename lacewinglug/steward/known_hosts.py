"""What a steward knows of the hosts when it decides on tenures."""

from dataclasses import dataclass

import msgspec

from lacewinglug.authority.tenures import HostKnowledge
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.membership.neighbours import HostTable
from lacewinglug.metrics import Metrics
from lacewinglug.platform.hosts import HostListClient

LIST_INTERVAL_S = 5.0
LIST_LIFETIME_S = 30.0


@dataclass(kw_only=True)
class KnownHosts:
    """Owns the last read of the platform's host list.

    :param host: name of this host.
    :param table: status of the hosts.
    :param client: client of the host list.
    :param clock: source of time.
    :param metrics: counters.
    """

    host: str
    table: HostTable
    client: HostListClient
    clock: Clock
    metrics: Metrics
    _listed: frozenset[str] | None = None
    _listed_at_s: float = 0.0

    async def run(self) -> None:
        """Read the list, over and over, until cancelled."""
        while True:
            try:
                hosts = (await self.client.fetch()).hosts
            except (PlatformError, msgspec.MsgspecError):
                self.metrics.count("hosts.list_failures")
            else:
                self._listed = frozenset(hosts)
                self._listed_at_s = self.clock.now_s()
            await self.clock.sleep(LIST_INTERVAL_S)

    def knowledge(self) -> HostKnowledge:
        """Return the live hosts and the list, None for one that is too old."""
        now_s = self.clock.now_s()
        live = {
            item.host
            for item in self.table.statuses(now_s=now_s)
            if item.state == "live"
        }
        is_fresh = now_s - self._listed_at_s <= LIST_LIFETIME_S
        return HostKnowledge(
            live=frozenset(live | {self.host}),
            listed=self._listed if is_fresh else None,
        )
