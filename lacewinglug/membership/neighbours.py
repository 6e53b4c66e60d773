"""Assigns monitors to hosts by rendezvous hashing."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from functools import lru_cache

import xxhash

MONITORS_PER_HOST = 3
_CANDIDATES_PER_HOST = 20


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts, sorted by their rendezvous hashes for a key."""
    return sorted(hosts, key=lambda host: _rendezvous_hash(key, host))


def _rendezvous_hash(key: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())


@lru_cache(maxsize=1024)
def _candidates(target: str, hosts: frozenset[str]) -> tuple[str, ...]:
    """Return the first hosts in the ranking of a target, which may monitor it."""
    return tuple(rank_hosts(target, hosts - {target})[:_CANDIDATES_PER_HOST])


@dataclass(kw_only=True)
class MonitorAssignment:
    """The hosts that this host monitors.

    Each host is monitored by the first few live hosts in its own rendezvous
    ranking, so the number of monitors per host does not grow with the fleet.

    :param host: name of this host.
    """

    host: str
    _hosts: frozenset[str] = frozenset()
    _higher_ranked: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def set_hosts(self, hosts: Collection[str]) -> None:
        """Update the assignment to the hosts of the configuration."""
        names = frozenset(hosts) | {self.host}
        if names == self._hosts:
            return
        self._hosts = names
        self._higher_ranked = {}
        for target in sorted(names - {self.host}):
            ranking = _candidates(target, names)
            if self.host in ranking:
                self._higher_ranked[target] = ranking[: ranking.index(self.host)]

    def targets(self, live: Collection[str]) -> list[str]:
        """Return the hosts that this host monitors.

        :param live: hosts that are known to be live.
        """
        return [
            target
            for target, higher_ranked in self._higher_ranked.items()
            if sum(name in live for name in higher_ranked) < MONITORS_PER_HOST
        ]

    def indirect_probers(self, target: str, live: Collection[str]) -> list[str]:
        """Return other live hosts that can probe a target for this host."""
        ranking = _candidates(target, self._hosts)
        names = [name for name in ranking if name in live and name != self.host]
        return names[:MONITORS_PER_HOST]
