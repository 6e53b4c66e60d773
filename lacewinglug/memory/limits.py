"""Bounds on what a host holds, derived from the limits of its machine."""

from dataclasses import dataclass

DEFAULT_MEMORY_MB = 512.0
"""Memory of a machine whose settings do not state it, in MB."""
DEFAULT_DESCRIPTORS = 8_192
"""Descriptors of a machine whose settings do not state them."""
BUDGET_SHARE = 0.35
"""Share of a machine's memory for what is held for clients and runners."""
OWN_MEMORY_MB = 40.0
"""Memory of an idle host, in MB: the interpreter, the libraries and its own tables."""
ROOM_SHARE = 0.42
"""Share of the memory beyond an idle host that is for what is held for clients and
runners, and share that is for what the kernel holds of clients' data. The rest is for
memory that the allocator keeps. It decides on small machines."""
MIN_ROOM_SHARE = 0.25
"""Share of a machine's memory that counts as room beyond an idle host at least."""
GRANT_SHARE = 0.5
"""Share of the budget that large messages may reserve; the rest is for ordinary ones.
"""
UPSTREAM_DESCRIPTOR_SHARE = 0.35
"""Share of the descriptors for connections to runners."""
OWN_DESCRIPTORS = 24
"""Descriptors for listeners, the store, datagrams, files and the log."""
ACCEPT_BATCH = 32
"""Connections that are accepted in one turn of the event loop, before the first of them
can be closed again."""
INTERNAL_DESCRIPTOR_SHARE = 0.1
"""Share of the descriptors for connections to the readiness check, the directory and
the metrics."""
UNREAD_CONNECTION_BYTES = 131_072
"""Data of a client connection that the kernel holds before the process can read it, in
bytes; the process cannot bound it otherwise than by the number of connections."""
BACKLOG_SHARE = 0.25
"""Share of the client connections, by memory, that wait to be accepted."""
MAX_BACKLOG = 512
"""Bound on the connections that wait to be accepted; covers a burst in which all
clients connect at once."""
MIN_CONNECTIONS = 16
"""Connections of each kind that are always possible."""
_BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class MachineLimits:
    """Limits of the machine of a host.

    :param memory_mb: memory, in MB.
    :param descriptors: descriptors that the process may have open.
    """

    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def budget_bytes(self) -> int:
        """Bound on what is held for clients and runners, in bytes."""
        room_mb = max(self.memory_mb - OWN_MEMORY_MB, self.memory_mb * MIN_ROOM_SHARE)
        budget_mb = min(self.memory_mb * BUDGET_SHARE, room_mb * ROOM_SHARE)
        return int(budget_mb * _BYTES_PER_MB)

    @property
    def client_backlog(self) -> int:
        """Bound on the number of client connections that wait to be accepted."""
        return min(MAX_BACKLOG, int(self._unread_connections * BACKLOG_SHARE))

    @property
    def _unread_connections(self) -> int:
        """Number of client connections whose unread data there is memory for."""
        return self.budget_bytes // UNREAD_CONNECTION_BYTES

    @property
    def max_upstream_connections(self) -> int:
        """Bound on the number of connections to runners."""
        return max(MIN_CONNECTIONS, int(self.descriptors * UPSTREAM_DESCRIPTOR_SHARE))

    @property
    def max_internal_connections(self) -> int:
        """Bound on the number of connections to the internal listeners together."""
        return self.max_directory_connections + 2 * MIN_CONNECTIONS

    @property
    def max_directory_connections(self) -> int:
        """Bound on the number of connections to the directory.

        Those to the readiness check and to the metrics have bounds of their own, so
        that callers of the directory cannot shut them out.
        """
        internal = int(self.descriptors * INTERNAL_DESCRIPTOR_SHARE)
        return max(MIN_CONNECTIONS, internal - 2 * MIN_CONNECTIONS)

    @property
    def max_client_connections(self) -> int:
        """Bound on the number of connections of clients."""
        rest = self.descriptors - self.max_upstream_connections
        rest -= self.max_internal_connections
        by_memory = self._unread_connections - self.client_backlog
        return max(
            MIN_CONNECTIONS, min(rest - OWN_DESCRIPTORS - ACCEPT_BATCH, by_memory)
        )
