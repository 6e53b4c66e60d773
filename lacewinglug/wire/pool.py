"""Connection pools, one for each incarnation of an upstream."""

import asyncio
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.memory.budget import MemoryBudget
from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.wire.client import ClientConnection, UpstreamError, open_connection
from lacewinglug.wire.messages import Headers, first_header

logger = logging.getLogger(__name__)

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection is not reused if the upstream announces no
keep-alive timeout, in s."""
IDLE_TIMEOUT_FRACTION = 0.8
"""Fraction of the announced keep-alive timeout during which an idle connection is
reused; the rest allows for the network delay of the next request."""
_KEEP_ALIVE = re.compile(rb"timeout=(\d+)")


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionCounts:
    """Number of connections in a pool.

    :param open: all connections, idle or in use.
    :param idle: connections available for a request.
    """

    open: int = 0
    idle: int = 0


@dataclass(kw_only=True)
class ConnectionPool:
    """Pool of connections to one upstream.

    :param address: ``IP:PORT`` of the upstream.
    :param max_connections: maximum number of open connections.
    :param now_s: returns monotonic time in s.
    :param budget: memory budget of the host, None for none.
    :param connection_limit: bound on the connections to all upstreams together, None
        for none.
    """

    address: str
    max_connections: int
    now_s: Callable[[], float]
    budget: MemoryBudget | None = None
    connection_limit: ConnectionLimit | None = None
    _idle_connections: list[ClientConnection] = field(default_factory=list)
    _open_count: int = 0

    @property
    def connection_counts(self) -> ConnectionCounts:
        """Number of open and idle connections."""
        return ConnectionCounts(open=self._open_count, idle=len(self._idle_connections))

    async def acquire(self, *, timeout_s: float) -> ClientConnection:
        """Return an idle or new connection that is ready for a request.

        :raises UpstreamError: the pool is exhausted or connecting failed; nothing was
            sent.
        """
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable and not self._is_stale(connection):
                return connection
            self._close_connection(connection)
        if self._open_count >= self.max_connections:
            raise UpstreamError("connection pool is exhausted", sent=False)
        limit = self.connection_limit
        if limit is not None and not limit.try_open():
            raise UpstreamError("too many connections to upstreams", sent=False)
        self._open_count += 1
        try:
            connection = await open_connection(
                self.address, timeout_s=timeout_s, budget=self.budget
            )
        except BaseException:
            self._count_end()
            raise
        return connection

    async def refuses_connections(self, *, timeout_s: float) -> bool:
        """Return whether no process listens at the address of the upstream.

        A connection that is opened to find out is kept for the next request.
        """
        try:
            connection = await self.acquire(timeout_s=timeout_s)
        except UpstreamError as error:
            return error.refused
        if connection.idle_since_s is None:
            connection.idle_since_s = self.now_s()
        self._idle_connections.append(connection)
        return False

    def release(self, connection: ClientConnection, headers: Headers) -> None:
        """Return a connection to the pool after a complete response.

        :param headers: headers of the response.
        """
        timeout = _KEEP_ALIVE.search(first_header(headers, b"keep-alive") or b"")
        if timeout is not None:
            connection.keep_alive_timeout_s = float(timeout.group(1))
        closing = b"close" in (first_header(headers, b"connection") or b"").lower()
        if connection.finish_request(now_s=self.now_s()) and not closing:
            self._idle_connections.append(connection)
        else:
            self._close_connection(connection)

    def abort(self, connection: ClientConnection) -> None:
        """Abort a connection whose request has not completed."""
        connection.abort()
        self._count_end()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._close_connection(self._idle_connections.pop())

    def close_stale(self) -> None:
        """Close the connections that have been idle for too long."""
        kept = []
        for connection in self._idle_connections:
            if connection.is_usable and not self._is_stale(connection):
                kept.append(connection)
            else:
                self._close_connection(connection)
        self._idle_connections = kept

    def _close_connection(self, connection: ClientConnection) -> None:
        connection.close()
        self._count_end()

    def _count_end(self) -> None:
        self._open_count -= 1
        if self.connection_limit is not None:
            self.connection_limit.close()

    def _is_stale(self, connection: ClientConnection) -> bool:
        announced_s = connection.keep_alive_timeout_s
        max_idle_s = (
            DEFAULT_IDLE_TIMEOUT_S
            if announced_s is None
            else announced_s * IDLE_TIMEOUT_FRACTION
        )
        idle_since_s = connection.idle_since_s
        return idle_since_s is not None and self.now_s() - idle_since_s > max_idle_s


def loop_time_s() -> float:
    """Return the running event loop's monotonic time in s."""
    return asyncio.get_running_loop().time()
