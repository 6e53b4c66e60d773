"""Chooses by rendezvous hashing which hosts watch which."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash

MONITOR_COUNT = 3
_SPARE_MONITORS = 16


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts in the order of their rendezvous hashes with a key."""
    return sorted(hosts, key=lambda host: _score(key, host))


def _score(key: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())


@dataclass(kw_only=True)
class MonitorPlan:
    """Tells a host which others it watches.

    Each host is watched by the first few live hosts of its own rendezvous
    order, so the number of watchers of a host does not grow with the fleet.

    :param host: name of this host.
    """

    host: str
    _hosts: frozenset[str] = frozenset()
    _ahead: dict[str, list[str]] = field(default_factory=dict)
    _order: dict[str, list[str]] = field(default_factory=dict)

    def set_hosts(self, hosts: Collection[str]) -> None:
        """Take the hosts of the configuration."""
        names = frozenset(hosts) | {self.host}
        if names == self._hosts:
            return
        self._hosts = names
        self._ahead = {}
        self._order = {}
        for target in names - {self.host}:
            self._place(target)

    def _place(self, target: str) -> None:
        """Note the hosts that come before this one in a target's order."""
        own = _score(target, self.host)
        scores = [(_score(target, name), name) for name in self._hosts - {target}]
        ahead = sorted(item for item in scores if item[0] < own)
        if len(ahead) < MONITOR_COUNT + _SPARE_MONITORS:
            self._ahead[target] = [name for _, name in ahead]
            first = sorted(scores)[: MONITOR_COUNT + _SPARE_MONITORS]
            self._order[target] = [name for _, name in first]

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
        order = self._order.get(target, [])
        names = [name for name in order if name in live and name != self.host]
        return names[:MONITOR_COUNT]
