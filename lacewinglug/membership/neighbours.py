"""Chooses by rendezvous hashing which hosts watch which."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from functools import lru_cache

import xxhash

MONITOR_COUNT = 3
_CANDIDATE_COUNT = 20


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in the order of their rendezvous hashes with a key."""
    return sorted(hosts, key=lambda host: _score(key, host))


def _score(key: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())


@lru_cache(maxsize=1024)
def _candidates(target: str, hosts: frozenset[str]) -> tuple[str, ...]:
    """Return the first hosts of a target's order, which may watch it."""
    return tuple(rank_hosts(target, hosts - {target})[:_CANDIDATE_COUNT])


@dataclass(kw_only=True)
class MonitorPlan:
    """Tells a host which others it watches.

    Each host is watched by the first few live hosts of its own rendezvous
    order, so the number of watchers of a host does not grow with the fleet.

    :param host: name of this host.
    """

    host: str
    _hosts: frozenset[str] = frozenset()
    _ahead: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def set_hosts(self, hosts: Collection[str]) -> None:
        """Take the hosts of the configuration."""
        names = frozenset(hosts) | {self.host}
        if names == self._hosts:
            return
        self._hosts = names
        self._ahead = {}
        for target in sorted(names - {self.host}):
            order = _candidates(target, names)
            if self.host in order:
                self._ahead[target] = order[: order.index(self.host)]

    def targets(self, live: Collection[str]) -> list[str]:
        """Return the hosts that this host watches.

        :param live: hosts that are known to be live.
        """
        return [
            target
            for target, ahead in self._ahead.items()
            if sum(name in live for name in ahead) < MONITOR_COUNT
        ]

    def other_monitors(self, target: str, live: Collection[str]) -> list[str]:
        """Return live hosts that can confirm the silence of a target."""
        order = _candidates(target, self._hosts)
        names = [name for name in order if name in live and name != self.host]
        return names[:MONITOR_COUNT]
