"""The addresses on which a host listens."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from lacewinglug.errors import UserError
from lacewinglug.wire.server import ClientLimits, ConnectionRegistry, Handler

logger = logging.getLogger(__name__)

BACKLOG = 512
"""Connections that may wait to be accepted; a burst of all clients at once."""


@dataclass(kw_only=True)
class Listener:
    """Owns one listening address and its connections.

    :param name: what it is for, in logs.
    :param address: ``IP:PORT``.
    :param handler: answers requests.
    :param limits: returns the limits in force.
    """

    name: str
    address: str
    handler: Handler
    limits: Callable[[], ClientLimits] = ClientLimits
    registry: ConnectionRegistry = field(init=False)
    _server: asyncio.Server | None = None

    def __post_init__(self) -> None:
        self.registry = ConnectionRegistry(handler=self.handler, limits=self.limits)

    async def open(self) -> None:
        """Begin to listen.

        :raises UserError: the address cannot be used.
        """
        host, _, port = self.address.rpartition(":")
        try:
            self._server = await asyncio.get_running_loop().create_server(
                self.registry.make_connection, host, int(port), backlog=BACKLOG
            )
        except (OSError, ValueError) as error:
            raise UserError(
                f"cannot listen on {self.address} for {self.name} ({error}); "
                "choose a free address of this host"
            ) from None

    @property
    def bound_address(self) -> str:
        """Address that is listened on, with the port that was found free."""
        if self._server is None:
            return self.address
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and end all connections."""
        self.stop_accepting()
        for connection in list(self.registry.connections):
            connection.abort()

    def stop_accepting(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
