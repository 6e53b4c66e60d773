"""Pools of connections to upstreams, one pool for each incarnation of one."""

import asyncio
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.wire.client import ClientConnection, UpstreamError, open_connection
from lacewinglug.wire.messages import Headers, first_header

logger = logging.getLogger(__name__)

DEFAULT_IDLE_S = 4.0
"""Idle time after which a connection is not used again, in s, where the upstream
states none."""
IDLE_MARGIN = 0.8
"""Share of the stated idle time that is used; the rest covers the way there."""
_KEEP_ALIVE = re.compile(rb"timeout=(\d+)")


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionCounts:
    """How many connections there are.

    :param open: all connections.
    :param idle: those that wait for a request.
    """

    open: int = 0
    idle: int = 0


@dataclass(kw_only=True)
class ConnectionPool:
    """Owns the connections to one upstream.

    :param address: ``IP:PORT`` of the upstream.
    :param most: most connections at the same time.
    :param now_s: returns monotonic seconds.
    """

    address: str
    most: int
    now_s: Callable[[], float]
    _idle: list[ClientConnection] = field(default_factory=list)
    _open: int = 0

    @property
    def counts(self) -> ConnectionCounts:
        """Connections of the pool, those in an exchange included."""
        return ConnectionCounts(open=self._open, idle=len(self._idle))

    async def acquire(self, *, timeout_s: float) -> ClientConnection:
        """Return a connection on which an exchange may begin.

        :raises UpstreamError: none can be had; nothing was sent.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and not self._is_stale(connection):
                return connection
            self._discard(connection)
        if self._open >= self.most:
            raise UpstreamError("all connections are in use", sent=False)
        self._open += 1
        try:
            connection = await open_connection(self.address, timeout_s=timeout_s)
        except BaseException:
            self._open -= 1
            raise
        return connection

    def release(self, connection: ClientConnection, headers: Headers) -> None:
        """Take a connection back after an answer that was read whole.

        :param headers: headers of that answer.
        """
        stated = _KEEP_ALIVE.search(first_header(headers, b"keep-alive") or b"")
        if stated is not None:
            connection.keep_alive_s = float(stated.group(1))
        closing = b"close" in (first_header(headers, b"connection") or b"").lower()
        if connection.end_exchange(now_s=self.now_s()) and not closing:
            self._idle.append(connection)
        else:
            self._discard(connection)

    def drop(self, connection: ClientConnection) -> None:
        """End a connection in the middle of an exchange."""
        connection.abort()
        self._open -= 1

    def close(self) -> None:
        """End the idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    def close_stale(self) -> None:
        """End the connections that have been idle too long."""
        kept = []
        for connection in self._idle:
            if connection.usable and not self._is_stale(connection):
                kept.append(connection)
            else:
                self._discard(connection)
        self._idle = kept

    def _discard(self, connection: ClientConnection) -> None:
        connection.close()
        self._open -= 1

    def _is_stale(self, connection: ClientConnection) -> bool:
        stated_s = connection.keep_alive_s
        longest_s = DEFAULT_IDLE_S if stated_s is None else stated_s * IDLE_MARGIN
        return self.now_s() - connection.idle_since_s > longest_s


def loop_time_s() -> float:
    """Return the monotonic time of the running loop, in s."""
    return asyncio.get_running_loop().time()
