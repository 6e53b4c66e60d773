"""Bounds that the kernel and the pools set on quiet TCP connections."""

import socket

import aiohttp

from lacewinglug.wire.sockets import set_tcp_timeouts

POOL_IDLE_S = 2.0


def make_connector(*, limit: int = 0, reuse: bool = True) -> aiohttp.TCPConnector:
    """Return a pool that hands out no connection that has been quiet for long.

    :param limit: connections at the same time, 0 for no limit.
    :param reuse: whether a connection may carry more than one request.
    """
    if not reuse:
        return aiohttp.TCPConnector(
            limit=limit, force_close=True, socket_factory=_make_socket
        )
    return aiohttp.TCPConnector(
        limit=limit, keepalive_timeout=POOL_IDLE_S, socket_factory=_make_socket
    )


def _make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    connection = socket.socket(family=family, type=kind, proto=protocol)
    set_tcp_timeouts(connection)
    return connection
