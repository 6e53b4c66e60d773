"""What a steward knows of the hosts when it decides on tenures."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

import msgspec

from lacewinglug.authority.state import ControlState
from lacewinglug.authority.tenures import HostView
from lacewinglug.backing.hosts import HostListClient
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.metrics import Metrics

LIST_INTERVAL_S = 5.0
LIST_LIFETIME_S = 30.0


@dataclass(kw_only=True)
class KnownHosts:
    """Owns the last read of the platform's host list.

    The list is read only while the holder of an exclusive tenure is not live,
    since nothing else depends on whether a host is missing from it.

    :param host: name of this host.
    :param state: the replayed state.
    :param live_hosts: returns the hosts that are live.
    :param client: client of the host list.
    :param clock: source of time.
    :param metrics: counters.
    """

    host: str
    state: ControlState
    live_hosts: Callable[[], Collection[str]]
    client: HostListClient
    clock: Clock
    metrics: Metrics
    _listed: frozenset[str] | None = None
    _listed_at_s: float = 0.0

    async def run(self) -> None:
        """Read the list, over and over, until cancelled."""
        while True:
            if self.needs_list():
                await self._read_list()
            await self.clock.sleep(LIST_INTERVAL_S)

    def needs_list(self) -> bool:
        """Return whether the holder of an exclusive tenure is not live."""
        live = self.live_hosts()
        return any(
            tenure.exclusive and tenure.host not in live
            for tenure in self.state.tenures.values()
        )

    async def _read_list(self) -> None:
        try:
            hosts = (await self.client.fetch()).hosts
        except (PlatformError, msgspec.MsgspecError):
            self.metrics.count("hosts.list_failures")
            return
        self._listed = frozenset(hosts)
        self._listed_at_s = self.clock.now_s()

    def knowledge(self) -> HostView:
        """Return the live hosts and the list, None for one that is too old."""
        now_s = self.clock.now_s()
        is_fresh = now_s - self._listed_at_s <= LIST_LIFETIME_S
        return HostView(
            live=frozenset({*self.live_hosts(), self.host}),
            listed=self._listed if is_fresh else None,
        )
