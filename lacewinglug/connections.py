"""Bounds that the kernel and the pools set on quiet TCP connections."""

import socket

import aiohttp

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_S = 10
POOL_IDLE_S = 2.0
MS_PER_S = 1000


def bound_silence(
    connection: socket.socket, *, unacknowledged_s: int = UNACKNOWLEDGED_TIMEOUT_S
) -> None:
    """Let the kernel drop a connection whose far end no longer acknowledges.

    :param connection: a TCP socket.
    :param unacknowledged_s: longest time that sent bytes may wait, in seconds.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            unacknowledged_s * MS_PER_S,
        ),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)


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
    bound_silence(connection)
    return connection
