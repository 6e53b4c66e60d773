"""ZeroMQ connections from a steward to other stewards."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import zmq
import zmq.asyncio

from lacewinglug.metrics import Metrics

_SEND_QUEUE_LIMIT = 32


@dataclass(kw_only=True, slots=True)
class _PeerConnection:
    """A socket and the task that receives from it."""

    socket: zmq.asyncio.Socket
    receiver: asyncio.Task[None]


@dataclass(kw_only=True)
class PeerSockets:
    """Manages one outgoing connection to each peer that messages are sent to.

    :param find_endpoint: returns the ZeroMQ endpoint of a host, None when unknown.
    :param on_message: called with the bytes of each message that a peer sends back.
    :param metrics: metric counters.
    """

    find_endpoint: Callable[[str], str | None]
    on_message: Callable[[bytes], Awaitable[None]]
    metrics: Metrics
    _connections: dict[str, _PeerConnection] = field(default_factory=dict)

    def __contains__(self, host: object) -> bool:
        """Return whether there is a connection to a host."""
        return host in self._connections

    async def send(self, host: str, data: bytes) -> None:
        """Send a message to a host; drop it if the send queue is full."""
        connection = self._connections.get(host) or self._connect(host)
        if connection is None:
            self.metrics.count("peers.unknown_hosts")
            return
        try:
            await connection.socket.send(data, flags=zmq.NOBLOCK)
            self.metrics.count("peers.sent_bytes", len(data))
        except zmq.Again:
            self.metrics.count("peers.dropped_messages")

    def reconnect(self, host: str) -> None:
        """Close the connection to a host and open a new one."""
        self.disconnect(host)
        self.metrics.count("peers.renewed_connections")
        self._connect(host)

    def disconnect(self, host: str) -> None:
        """Close the connection to a host."""
        connection = self._connections.pop(host, None)
        if connection is not None:
            connection.receiver.cancel()
            connection.socket.close(linger=0)

    def disconnect_others(self, hosts: set[str]) -> None:
        """Close the connections to all hosts but the given ones."""
        for name in set(self._connections) - hosts:
            self.disconnect(name)

    def close(self) -> None:
        """Close all connections."""
        self.disconnect_others(set())

    def _connect(self, host: str) -> _PeerConnection | None:
        endpoint = self.find_endpoint(host)
        if endpoint is None:
            return None
        socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = _SEND_QUEUE_LIMIT
        socket.connect(endpoint)
        receiver = asyncio.create_task(self._receive(socket))
        connection = _PeerConnection(socket=socket, receiver=receiver)
        self._connections[host] = connection
        return connection

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await self.on_message(await socket.recv())
