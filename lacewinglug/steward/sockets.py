"""ZeroMQ connections from a steward to other stewards."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import zmq
import zmq.asyncio

from lacewinglug.metrics import Metrics

_QUEUE_LIMIT = 32


@dataclass(kw_only=True, slots=True)
class _Connection:
    """A connection and the task that receives from it."""

    socket: zmq.asyncio.Socket
    receiver: asyncio.Task[None]


@dataclass(kw_only=True)
class PeerSockets:
    """Owns one connection to each peer that this steward talks to.

    :param find_endpoint: returns the endpoint of a host, None when unknown.
    :param on_message: takes the bytes that a peer sent back.
    :param metrics: counters.
    """

    find_endpoint: Callable[[str], str | None]
    on_message: Callable[[bytes], Awaitable[None]]
    metrics: Metrics
    _connections: dict[str, _Connection] = field(default_factory=dict)

    def __contains__(self, host: object) -> bool:
        """Return whether a connection to a host is kept."""
        return host in self._connections

    async def send(self, host: str, data: bytes) -> None:
        """Send to a host; what cannot be queued is dropped."""
        connection = self._connections.get(host) or self._connect(host)
        if connection is None:
            self.metrics.count("peers.unknown_hosts")
            return
        try:
            await connection.socket.send(data, flags=zmq.NOBLOCK)
            self.metrics.count("peers.sent_bytes", len(data))
        except zmq.Again:
            self.metrics.count("peers.dropped_messages")

    def renew(self, host: str) -> None:
        """Replace the connection to a host."""
        self.drop(host)
        self.metrics.count("peers.renewed_connections")
        self._connect(host)

    def drop(self, host: str) -> None:
        """Close the connection to a host."""
        connection = self._connections.pop(host, None)
        if connection is not None:
            connection.receiver.cancel()
            connection.socket.close(linger=0)

    def keep_only(self, hosts: set[str]) -> None:
        """Close the connections to all other hosts."""
        for name in set(self._connections) - hosts:
            self.drop(name)

    def close(self) -> None:
        """Close every connection."""
        self.keep_only(set())

    def _connect(self, host: str) -> _Connection | None:
        endpoint = self.find_endpoint(host)
        if endpoint is None:
            return None
        socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = _QUEUE_LIMIT
        socket.connect(endpoint)
        receiver = asyncio.create_task(self._receive(socket))
        connection = _Connection(socket=socket, receiver=receiver)
        self._connections[host] = connection
        return connection

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await self.on_message(await socket.recv())
