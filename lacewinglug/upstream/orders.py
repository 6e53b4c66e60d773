"""HTTP client of engines, for orders."""

import socket
import struct
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
import msgspec

from lacewinglug.upstream.client import RunnerError, fetch_body
from lacewinglug.upstream.messages import EngineOrder, EngineState, OrderReply

READ_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
_ACCEPTED = 200
_REFUSED = 409
_ABORT_ON_CLOSE = struct.pack("ii", 1, 0)
_MS_PER_S = 1000


class EngineClient(Protocol):
    """Reads engines and gives them orders."""

    async def fetch_state(self, url: str) -> EngineState:
        """Return what an engine runs now.

        :raises RunnerError: the engine does not answer as its protocol says.
        """
        ...

    async def give_order(self, url: str, order: EngineOrder) -> OrderReply:
        """Send an order once and return the engine's answer.

        :raises RunnerError: no answer came; ``sent`` says whether the engine may
            have the order.
        """
        ...


def make_order_session() -> aiohttp.ClientSession:
    """Return a session whose every request has a connection of its own.

    The connection is reset when it is closed, so bytes of an order that timed
    out do not stay in the kernel's send buffer.
    """
    connector = aiohttp.TCPConnector(force_close=True, socket_factory=_make_socket)
    return aiohttp.ClientSession(connector=connector)


def _make_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol, _, _ = address
    connection = socket.socket(family=family, type=kind, proto=protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_ON_CLOSE)
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(ORDER_TIMEOUT_S * _MS_PER_S),
    )
    return connection


@dataclass(kw_only=True)
class HttpEngineClient:
    """Engines over HTTP.

    :param session: HTTP client session, made by :func:`make_order_session`.
    """

    session: aiohttp.ClientSession

    async def fetch_state(self, url: str) -> EngineState:
        """Return what an engine runs now."""
        body = await self._request("GET", f"{url}/state", None, READ_TIMEOUT_S)
        return _decode(body, EngineState)

    async def give_order(self, url: str, order: EngineOrder) -> OrderReply:
        """Send an order once and return the engine's answer."""
        data = msgspec.json.encode(order)
        body = await self._request("POST", f"{url}/orders", data, ORDER_TIMEOUT_S)
        return _decode(body, OrderReply)

    async def _request(
        self, method: str, url: str, data: bytes | None, timeout_s: float
    ) -> bytes:
        return await fetch_body(
            self.session,
            method,
            url,
            data=data,
            timeout_s=timeout_s,
            statuses=(_ACCEPTED, _REFUSED),
        )


def _decode(body: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RunnerError(f"answer not understood: {error}", sent=True) from None
