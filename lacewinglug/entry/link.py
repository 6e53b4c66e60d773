"""Connection of an entry to its local steward."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import zmq
import zmq.asyncio

from lacewinglug.control import (
    ConfigView,
    EntryHello,
    StatusView,
    decode_message,
    encode_message,
)
from lacewinglug.entry.view import EntryView

HELLO_INTERVAL_S = 0.5
_KEEPALIVE_INTERVAL_MS = 1000
_KEEPALIVE_TIMEOUT_MS = 3000

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class StewardConnection:
    """Sends heartbeats to the steward and applies its messages to the view.

    :param address: ZeroMQ endpoint of the steward.
    :param view: updated from the messages of the steward.
    :param make_hello: returns the next heartbeat message.
    """

    address: str
    view: EntryView
    make_hello: Callable[[], EntryHello]

    async def run(self) -> None:
        """Send heartbeats and receive views until cancelled."""
        context = zmq.asyncio.Context.instance()
        socket = context.socket(zmq.DEALER)
        socket.linger = 0
        socket.heartbeat_ivl = _KEEPALIVE_INTERVAL_MS
        socket.heartbeat_timeout = _KEEPALIVE_TIMEOUT_MS
        socket.connect(self.address)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_hellos(socket))
                group.create_task(self._receive(socket))
        finally:
            socket.close()

    async def _send_hellos(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await socket.send(encode_message(self.make_hello()))
            await asyncio.sleep(HELLO_INTERVAL_S)

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            match decode_message(await socket.recv()):
                case ConfigView() as view:
                    previous_revision = self.view.revision
                    if (
                        self.view.update_config(view)
                        and view.revision != previous_revision
                    ):
                        logger.info(
                            "applied a new configuration",
                            extra={"revision": view.revision},
                        )
                case StatusView() as view:
                    self.view.update_status(view)
                case _:
                    logger.warning("ignored an unexpected message from the steward")
