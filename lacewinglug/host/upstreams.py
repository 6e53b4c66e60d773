"""Connections to runners, and how each runner has done."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry, Service
from lacewinglug.wire.pool import ConnectionCounts, ConnectionPool

CONNECTION_SHARE = 0.8
"""Part of a runner's connections that all hosts together may open."""
FEWEST_CONNECTIONS = 2
"""Connections that a host may open to each runner in any case."""


@dataclass(kw_only=True)
class Upstreams:
    """Owns the pools and samples of all runners.

    :param now_s: returns monotonic seconds.
    :param hosts: returns how many hosts may be alive.
    """

    now_s: Callable[[], float]
    hosts: Callable[[], int]
    _pools: dict[str, ConnectionPool] = field(default_factory=dict)
    _health: dict[str, RunnerHealth] = field(default_factory=dict)

    def pool(self, entry: RunnerEntry, service: Service) -> ConnectionPool:
        """Return the pool of a runner, sized to this host's part."""
        most = int(service.max_connections * CONNECTION_SHARE / self.hosts())
        pool = self._pools.get(entry.instance)
        if pool is None or pool.address != entry.address:
            pool = ConnectionPool(
                address=entry.address,
                max_connections=FEWEST_CONNECTIONS,
                now_s=self.now_s,
            )
            self._pools[entry.instance] = pool
        pool.max_connections = max(FEWEST_CONNECTIONS, most)
        return pool

    def count_connections(self, instance: str) -> ConnectionCounts:
        """Return how many connections to a runner there are."""
        pool = self._pools.get(instance)
        return ConnectionCounts() if pool is None else pool.connection_counts

    def health(self, instance: str) -> RunnerHealth:
        """Return the samples of a runner."""
        found = self._health.get(instance)
        if found is None:
            found = RunnerHealth()
            self._health[instance] = found
        return found

    def close_stale(self) -> None:
        """End idle connections that are too old to be used again."""
        for pool in self._pools.values():
            pool.close_stale()

    def forget_gone(self, kept: Iterable[str]) -> None:
        """Drop what is known of runners that have left."""
        names = set(kept)
        for instance in [item for item in self._pools if item not in names]:
            self._pools.pop(instance).close()
        for instance in [item for item in self._health if item not in names]:
            if self._health[instance].outstanding == 0:
                del self._health[instance]
