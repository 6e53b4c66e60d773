"""Connection pools and health of all runners."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lacewinglug.host.health import RunnerHealth
from lacewinglug.host.model import RunnerEntry, Service
from lacewinglug.memory.budget import MemoryBudget
from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.pacing.pacer import RunnerPacer
from lacewinglug.wire.pool import ConnectionCounts, ConnectionPool

USABLE_CONNECTION_FRACTION = 0.8
"""Fraction of a runner's connection limit that all hosts together may use."""
MIN_CONNECTIONS = 2
"""Connections that a host may always open to each runner."""


@dataclass(kw_only=True)
class Upstreams:
    """Connection pools and health of all runners, by instance.

    :param now_s: returns the monotonic time, in seconds.
    :param host_count: returns the number of hosts that may be alive.
    :param pacer: paces runners that have just started or recovered.
    :param budget: memory budget of the host, None for none.
    :param connection_limit: bound on the connections to all runners together, None for
        none.
    """

    now_s: Callable[[], float]
    host_count: Callable[[], int]
    pacer: RunnerPacer = field(default_factory=RunnerPacer)
    budget: MemoryBudget | None = None
    connection_limit: ConnectionLimit | None = None
    _pools: dict[str, ConnectionPool] = field(default_factory=dict)
    _health: dict[str, RunnerHealth] = field(default_factory=dict)

    def pool(self, entry: RunnerEntry, service: Service) -> ConnectionPool:
        """Return the pool of a runner, limited to this host's share of connections."""
        host_limit = int(
            service.max_connections * USABLE_CONNECTION_FRACTION / self.host_count()
        )
        pool = self._pools.get(entry.instance)
        if pool is None or pool.address != entry.address:
            pool = ConnectionPool(
                address=entry.address,
                max_connections=MIN_CONNECTIONS,
                now_s=self.now_s,
                budget=self.budget,
                connection_limit=self.connection_limit,
            )
            self._pools[entry.instance] = pool
        pool.max_connections = max(MIN_CONNECTIONS, host_limit)
        return pool

    def count_connections(self, instance: str) -> ConnectionCounts:
        """Return the number of connections to a runner."""
        pool = self._pools.get(instance)
        return ConnectionCounts() if pool is None else pool.connection_counts

    def health(self, instance: str) -> RunnerHealth:
        """Return the health of a runner."""
        found = self._health.get(instance)
        if found is None:
            found = RunnerHealth(
                on_interruption=lambda until_s, now_s: self.pacer.interrupt(
                    instance, until_s=until_s, now_s=now_s
                )
            )
            self._health[instance] = found
        return found

    def close_stale(self) -> None:
        """Close idle connections that are too old to be reused."""
        for pool in self._pools.values():
            pool.close_stale()

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def remove_departed(self, remaining: Iterable[str]) -> None:
        """Remove all runners but the given instances.

        The health of a runner stays while requests to it are outstanding, and until
        the pause that it asked for is over.
        """
        names = set(remaining)
        now_s = self.now_s()
        for instance in [item for item in self._pools if item not in names]:
            self._pools.pop(instance).close()
        for instance in [item for item in self._health if item not in names]:
            health = self._health[instance]
            if health.outstanding == 0 and not health.is_pushing_back(now_s):
                del self._health[instance]
