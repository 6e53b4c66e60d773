"""Provides the knowledge of hosts on which a steward bases tenure decisions."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

import msgspec

from lacewinglug.authority.state import ControlState
from lacewinglug.authority.tenures import HostView
from lacewinglug.backing.hosts import HostListClient
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.metrics import Metrics

HOST_LIST_READ_INTERVAL_S = 5.0
HOST_LIST_MAX_AGE_S = 30.0


@dataclass(kw_only=True)
class KnownHosts:
    """Combines the live hosts with the last read of the platform's host list.

    The list is read only while the holder of an exclusive tenure is not live, since
    nothing else depends on whether a host is missing from it.

    :param host: name of this host.
    :param state: the replayed state.
    :param live_hosts: returns the hosts that are live.
    :param client: client of the host list.
    :param clock: source of time.
    :param metrics: metric counters.
    """

    host: str
    state: ControlState
    live_hosts: Callable[[], Collection[str]]
    client: HostListClient
    clock: Clock
    metrics: Metrics
    _listed_hosts: frozenset[str] | None = None
    _list_read_at_s: float = 0.0

    async def run(self) -> None:
        """Read the list periodically, while it is needed, until cancelled."""
        while True:
            if self.needs_list():
                await self._read_list()
            await self.clock.sleep(HOST_LIST_READ_INTERVAL_S)

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
        self._listed_hosts = frozenset(hosts)
        self._list_read_at_s = self.clock.now_s()

    def current_knowledge(self) -> HostView:
        """Return the live and the listed hosts; the latter are None if too old."""
        now_s = self.clock.now_s()
        is_fresh = now_s - self._list_read_at_s <= HOST_LIST_MAX_AGE_S
        return HostView(
            live=frozenset({*self.live_hosts(), self.host}),
            listed=self._listed_hosts if is_fresh else None,
        )
