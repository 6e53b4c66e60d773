"""TCP socket options that detect unresponsive peers."""

import asyncio
import fcntl
import logging
import socket
import struct
import termios
from dataclasses import dataclass

logger = logging.getLogger(__name__)

MS_PER_S = 1000
_INT = struct.Struct("i")
_ABORT_ON_CLOSE = struct.pack("ii", 1, 0)
_TCP_STATE_BYTES = 1
"""Size of the state, which is the first field of Linux's ``struct tcp_info``."""
_LEFT_STATES = frozenset((7, 8))
"""``TCP_CLOSE`` and ``TCP_CLOSE_WAIT`` of ``include/net/tcp_states.h``."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TcpTimeouts:
    """Time after which the kernel closes a connection to an unresponsive peer.

    :param keepalive_idle_s: idle time before the first keep-alive probe, in s.
    :param keepalive_interval_s: time between keep-alive probes, in s.
    :param keepalive_probe_count: unanswered probes after which the connection is
        closed.
    :param user_timeout_s: time that sent data may stay unacknowledged, in s.
    """

    keepalive_idle_s: int = 5
    keepalive_interval_s: int = 2
    keepalive_probe_count: int = 3
    user_timeout_s: int = 10


CLIENT_TCP_TIMEOUTS = TcpTimeouts(
    keepalive_idle_s=2,
    keepalive_interval_s=1,
    keepalive_probe_count=2,
    user_timeout_s=3,
)
"""Detects an unresponsive client in about the time that clients wait themselves."""
UPSTREAM_TCP_TIMEOUTS = TcpTimeouts(
    keepalive_idle_s=1,
    keepalive_interval_s=1,
    keepalive_probe_count=3,
    user_timeout_s=3,
)
"""Closes connections to dead upstreams. The machine of a live one may acknowledge
nothing for a second or two; a request that may run elsewhere does not wait so long."""


def set_tcp_timeouts(
    connection: socket.socket, *, timeouts: TcpTimeouts | None = None
) -> None:
    """Make the kernel close a connection whose peer no longer acknowledges data.

    :param connection: a TCP socket.
    :param timeouts: timeouts, by default those of the class.
    """
    chosen = timeouts or TcpTimeouts()
    tcp = socket.IPPROTO_TCP
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, chosen.keepalive_idle_s),
        (tcp, socket.TCP_KEEPINTVL, chosen.keepalive_interval_s),
        (tcp, socket.TCP_KEEPCNT, chosen.keepalive_probe_count),
        (tcp, socket.TCP_USER_TIMEOUT, chosen.user_timeout_s * MS_PER_S),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)


def set_transport_timeouts(
    transport: asyncio.BaseTransport, timeouts: TcpTimeouts
) -> None:
    """Set the TCP timeouts of a transport's socket."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    try:
        set_tcp_timeouts(connection, timeouts=timeouts)
    except OSError as error:
        logger.warning("cannot set TCP timeouts of a connection: %s", error)


def discard_unsent(transport: asyncio.BaseTransport, *, user_timeout_s: float) -> None:
    """Make the kernel drop unacknowledged data of a transport when it closes.

    :param user_timeout_s: time that sent data may stay unacknowledged, in s.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_ON_CLOSE)
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(user_timeout_s * MS_PER_S),
        )
    except OSError as error:
        logger.warning("cannot limit the delivery of a connection: %s", error)


def count_unread_bytes(connection: socket.socket) -> int | None:
    """Return how much received data is yet to be read, None if not known."""
    return _read_int(connection, termios.FIONREAD)


def count_unacknowledged_bytes(connection: socket.socket) -> int | None:
    """Return how much written data the peer's kernel lacks, None if not known."""
    return _read_int(connection, termios.TIOCOUTQ)


def has_peer_left(connection: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection.

    The event loop sees neither while it does not read from the connection.

    :returns: False also where the kernel does not tell.
    """
    try:
        state = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_STATE_BYTES
        )
    except OSError:
        return False
    return bool(state) and state[0] in _LEFT_STATES


def _read_int(connection: socket.socket, request: int) -> int | None:
    try:
        data = fcntl.ioctl(connection.fileno(), request, bytes(_INT.size))
    except (OSError, ValueError):
        return None
    (value,) = _INT.unpack(data)
    return int(value)
