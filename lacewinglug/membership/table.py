"""The status of every host, merged from what hosts tell one another."""

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from lacewinglug.control import HostStatus

MAX_CHANGES = 24
REFRESH_COUNT = 1
_STATE_RANKS = {"live": 0, "suspect": 1, "leaving": 2}


@dataclass(kw_only=True)
class HostTable:
    """Owns the newest status of each host and what neighbours still lack.

    A status replaces another of the same host when its version is higher, or
    when its state is graver at the same version. Only the host itself raises
    its version, so it can refute a suspicion.

    :param host: name of this host.
    """

    host: str
    statuses: dict[str, HostStatus] = field(default_factory=dict)
    _pending: dict[str, dict[str, None]] = field(default_factory=dict)
    _refresh_index: int = 0

    def __post_init__(self) -> None:
        self.statuses[self.host] = HostStatus(
            host=self.host,
            incarnation="",
            version=1,
            revision=0,
            running=0,
            state="suspect",
        )

    @property
    def own(self) -> HostStatus:
        """Status of this host."""
        return self.statuses[self.host]

    def update_own(
        self,
        *,
        incarnation: str,
        revision: int,
        running: int,
        state: str,
        leaving_upstreams: tuple[str, ...],
    ) -> bool:
        """Note the status of this host; return whether neighbours need it now."""
        own = self.own
        new = msgspec.structs.replace(
            own,
            incarnation=incarnation,
            revision=revision,
            running=running,
            state=state,
            leaving_upstreams=leaving_upstreams,
        )
        urgent = (own.state, own.leaving_upstreams) != (state, leaving_upstreams)
        renewed = (own.incarnation, own.revision) != (incarnation, revision)
        if urgent or renewed:
            new = msgspec.structs.replace(new, version=own.version + 1)
            self._mark_pending(self.host)
        self.statuses[self.host] = new
        return urgent

    def merge(self, status: HostStatus, *, source: str) -> bool:
        """Take a status that a neighbour sent.

        :param status: the status.
        :param source: name of the neighbour.
        :returns: whether the state or the leaving upstreams changed.
        """
        if status.host == self.host:
            return self._refute(status)
        known = self.statuses.get(status.host)
        if known is not None and _precedence(status) <= _precedence(known):
            if _precedence(status) == _precedence(known):
                self._pending.get(source, {}).pop(status.host, None)
            return False
        self.statuses[status.host] = status
        self._mark_pending(status.host)
        self._pending.get(source, {}).pop(status.host, None)
        if known is None:
            return bool(status.leaving_upstreams)
        return (known.state, known.leaving_upstreams) != (
            status.state,
            status.leaving_upstreams,
        )

    def _refute(self, status: HostStatus) -> bool:
        """Overrule a status of this host that it did not give itself."""
        own = self.own
        same = (status.incarnation, status.state) == (own.incarnation, own.state)
        if status.version < own.version or (status.version == own.version and same):
            return False
        self.statuses[self.host] = msgspec.structs.replace(
            own, version=status.version + 1
        )
        self._mark_pending(self.host)
        return True

    def suspect(self, host: str) -> bool:
        """Note a confirmed silence; return whether the state changed."""
        known = self.statuses.get(host)
        if known is None or known.state != "live":
            return False
        self.statuses[host] = msgspec.structs.replace(known, state="suspect")
        self._mark_pending(host)
        return True

    def live(self) -> set[str]:
        """Return the hosts whose state is live."""
        return {
            name for name, status in self.statuses.items() if status.state == "live"
        }

    def leaving_upstreams(self) -> set[str]:
        """Return hosts and runners that a live host saw leaving."""
        return {
            name
            for host, status in self.statuses.items()
            if status.state == "live" or host == self.host
            for name in status.leaving_upstreams
        }

    def keep_only(self, hosts: Collection[str]) -> None:
        """Forget hosts that left the configuration."""
        for name in set(self.statuses) - set(hosts) - {self.host}:
            del self.statuses[name]
            for pending in self._pending.values():
                pending.pop(name, None)

    def set_neighbours(self, neighbours: Collection[str]) -> None:
        """Keep account for these neighbours; a new one lacks everything."""
        for name in set(self._pending) - set(neighbours):
            del self._pending[name]
        for name in neighbours:
            self.add_neighbour(name)

    def add_neighbour(self, name: str) -> None:
        """Keep account for a neighbour."""
        if name not in self._pending:
            self._pending[name] = dict.fromkeys(self.statuses)

    def take_changes(self, neighbour: str) -> list[HostStatus]:
        """Return what to send to a neighbour now, this host's status first.

        A few statuses that it has already are repeated in turn, which makes
        good what lost messages held.
        """
        self.add_neighbour(neighbour)
        pending = self._pending[neighbour]
        names = dict.fromkeys([self.host])
        known = self.statuses.get(neighbour)
        if known is not None and known.state != "live":
            names[neighbour] = None
        while pending and len(names) < MAX_CHANGES:
            name = next(reversed(pending))
            del pending[name]
            names[name] = None
        names.update(dict.fromkeys(self._next_refreshes()))
        return [self.statuses[name] for name in names if name in self.statuses]

    def _next_refreshes(self) -> list[str]:
        order = list(self.statuses)
        start = self._refresh_index
        self._refresh_index = (start + REFRESH_COUNT) % len(order)
        return [order[(start + step) % len(order)] for step in range(REFRESH_COUNT)]

    def _mark_pending(self, host: str) -> None:
        for name, pending in self._pending.items():
            if name != host:
                pending.pop(host, None)
                pending[host] = None


def _precedence(status: HostStatus) -> tuple[int, int]:
    return status.version, _STATE_RANKS.get(status.state, 0)
