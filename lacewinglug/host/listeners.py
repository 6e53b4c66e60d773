"""Listening sockets of a host."""

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.errors import UserError
from lacewinglug.memory.budget import MemoryBudget
from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.memory.limits import ACCEPT_BATCH, MAX_BACKLOG
from lacewinglug.wire.messages import Request
from lacewinglug.wire.server import (
    RECEIVE_BUFFER_BYTES,
    ClientLimits,
    ConnectionRegistry,
    EndReason,
    Handler,
)

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class Listener:
    """A listening socket and its connections.

    :param name: purpose, for error messages.
    :param address: ``IP:PORT`` to listen on.
    :param handler: handles requests.
    :param limits: returns the current limits for clients.
    :param on_end: called when a connection has ended, with its last request if that
        was received whole and its response is incomplete.
    :param budget: memory budget of the host, None for none.
    :param connection_limit: bound on the number of connections, None for none.
    :param backlog: bound on the number of connections that wait to be accepted.
    :param receive_buffer_bytes: size of the kernel's receive buffer of a connection, in
        bytes.
    :param registry: open connections.
    """

    name: str
    address: str
    handler: Handler
    limits: Callable[[], ClientLimits] = ClientLimits
    on_end: Callable[[EndReason, Request | None], None] = lambda _reason, _request: None
    budget: MemoryBudget | None = None
    connection_limit: ConnectionLimit | None = None
    backlog: int = MAX_BACKLOG
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES
    registry: ConnectionRegistry = field(init=False)
    _server: asyncio.Server | None = None

    def __post_init__(self) -> None:
        self.registry = ConnectionRegistry(
            handler=self.handler,
            limits=self.limits,
            on_end=self.on_end,
            connection_limit=self.connection_limit,
        )
        if self.budget is not None:
            self.registry.budget = self.budget

    async def open(self) -> None:
        """Start listening.

        :raises UserError: the address is not available.
        """
        host, _, port = self.address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # The event loop switches Nagle's algorithm off only for an explicit protocol.
        listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Connections inherit the size.
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes
            )
            listening.bind((host, int(port)))
            # The event loop accepts as many connections at once as its backlog.
            self._server = await asyncio.get_running_loop().create_server(
                self.registry.make_connection, sock=listening, backlog=ACCEPT_BATCH
            )
            listening.listen(self.backlog)
        except (OSError, ValueError, OverflowError) as error:
            listening.close()
            raise UserError(
                f"cannot listen on {self.address} for {self.name} ({error}); "
                "choose a free address of this host"
            ) from None

    @property
    def bound_address(self) -> str:
        """Address with the actual port, which differs if port 0 was requested."""
        if self._server is None:
            return self.address
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_accepting()
        self.registry.abort_all()

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None
