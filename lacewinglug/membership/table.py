"""The status of every host, merged from gossip between hosts."""

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from lacewinglug.control import HostStatus

MAX_CHANGES_PER_MESSAGE = 24
REFRESHES_PER_MESSAGE = 1
_STATE_PRECEDENCE = {"live": 0, "suspect": 1, "leaving": 2}


@dataclass(kw_only=True)
class HostTable:
    """The newest status of each host, and the updates pending for each neighbour.

    A status replaces another one of the same host if its version is higher, or if
    the version is the same and its state has the higher precedence. Only the host
    itself increments its version, which allows it to refute a suspicion.

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
    def own_status(self) -> HostStatus:
        """The status of this host."""
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
        """Update the status of this host; return whether to send it immediately."""
        own = self.own_status
        new = msgspec.structs.replace(
            own,
            incarnation=incarnation,
            revision=revision,
            running=running,
            state=state,
            leaving_upstreams=leaving_upstreams,
        )
        is_urgent = (own.state, own.leaving_upstreams) != (state, leaving_upstreams)
        is_renewed = (own.incarnation, own.revision) != (incarnation, revision)
        if is_urgent or is_renewed:
            new = msgspec.structs.replace(new, version=own.version + 1)
            self._mark_pending(self.host)
        self.statuses[self.host] = new
        return is_urgent

    def merge(self, status: HostStatus, *, source: str) -> bool:
        """Merge a status that was received from a neighbour.

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
        """Refute a status of this host that does not match its own."""
        own = self.own_status
        same = (status.incarnation, status.state) == (own.incarnation, own.state)
        if status.version < own.version or (status.version == own.version and same):
            return False
        self.statuses[self.host] = msgspec.structs.replace(
            own, version=status.version + 1
        )
        self._mark_pending(self.host)
        return True

    def mark_suspect(self, host: str) -> bool:
        """Mark a live host as suspect; return whether its state changed."""
        known = self.statuses.get(host)
        if known is None or known.state != "live":
            return False
        self.statuses[host] = msgspec.structs.replace(known, state="suspect")
        self._mark_pending(host)
        return True

    def live_hosts(self) -> set[str]:
        """Return the hosts whose state is live."""
        return {
            name for name, status in self.statuses.items() if status.state == "live"
        }

    def leaving_upstreams(self) -> set[str]:
        """Return hosts and runners that this or a live host reports as leaving."""
        return {
            name
            for host, status in self.statuses.items()
            if status.state == "live" or host == self.host
            for name in status.leaving_upstreams
        }

    def retain_hosts(self, hosts: Collection[str]) -> None:
        """Delete all hosts except the given ones and this host."""
        for name in set(self.statuses) - set(hosts) - {self.host}:
            del self.statuses[name]
            for pending in self._pending.values():
                pending.pop(name, None)

    def set_neighbours(self, neighbours: Collection[str]) -> None:
        """Set the neighbours to update; a new one is sent all statuses."""
        for name in set(self._pending) - set(neighbours):
            del self._pending[name]
        for name in neighbours:
            self.add_neighbour(name)

    def add_neighbour(self, name: str) -> None:
        """Add a neighbour, with all statuses pending, unless it is known."""
        if name not in self._pending:
            self._pending[name] = dict.fromkeys(self.statuses)

    def take_changes(self, neighbour: str) -> list[HostStatus]:
        """Return the statuses to send to a neighbour, this host's own first.

        If the neighbour is not known to be live, its own status is included so
        that it can refute it. Statuses are also resent in rotation, to make up for
        lost messages.
        """
        self.add_neighbour(neighbour)
        pending = self._pending[neighbour]
        names = dict.fromkeys([self.host])
        known = self.statuses.get(neighbour)
        if known is not None and known.state != "live":
            names[neighbour] = None
        while pending and len(names) < MAX_CHANGES_PER_MESSAGE:
            name = next(reversed(pending))
            del pending[name]
            names[name] = None
        names.update(dict.fromkeys(self._next_refreshes()))
        return [self.statuses[name] for name in names if name in self.statuses]

    def _next_refreshes(self) -> list[str]:
        order = list(self.statuses)
        start = self._refresh_index
        self._refresh_index = (start + REFRESHES_PER_MESSAGE) % len(order)
        return [
            order[(start + step) % len(order)] for step in range(REFRESHES_PER_MESSAGE)
        ]

    def _mark_pending(self, host: str) -> None:
        for name, pending in self._pending.items():
            if name != host:
                pending.pop(host, None)
                pending[host] = None


def _precedence(status: HostStatus) -> tuple[int, int]:
    return status.version, _STATE_PRECEDENCE.get(status.state, 0)
