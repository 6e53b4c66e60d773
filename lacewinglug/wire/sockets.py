"""Socket options that find connections which have gone silent."""

import asyncio
import logging
import socket
from dataclasses import dataclass

logger = logging.getLogger(__name__)

MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class SilenceBounds:
    """How long the kernel lets a TCP connection be silent.

    :param probe_idle_s: idle time before the first keep-alive probe, in s.
    :param probe_interval_s: time between probes, in s.
    :param probe_count: unanswered probes that end the connection.
    :param unacknowledged_s: longest that sent bytes may wait, in s.
    """

    probe_idle_s: int = 5
    probe_interval_s: int = 2
    probe_count: int = 3
    unacknowledged_s: int = 10


CLIENT_BOUNDS = SilenceBounds(
    probe_idle_s=2, probe_interval_s=1, probe_count=2, unacknowledged_s=3
)
"""Finds a client that has gone silent, in about the time that clients wait."""
UPSTREAM_BOUNDS = SilenceBounds(
    probe_idle_s=1, probe_interval_s=1, probe_count=2, unacknowledged_s=1
)
"""Finds an upstream that has gone silent while another can still answer in time;
a second is longer than three repeats of a lost packet."""


def bound_silence(
    connection: socket.socket, *, bounds: SilenceBounds | None = None
) -> None:
    """Let the kernel drop a connection whose far end no longer acknowledges.

    :param connection: a TCP socket.
    :param bounds: how long it may be silent.
    """
    chosen = bounds or SilenceBounds()
    tcp = socket.IPPROTO_TCP
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, chosen.probe_idle_s),
        (tcp, socket.TCP_KEEPINTVL, chosen.probe_interval_s),
        (tcp, socket.TCP_KEEPCNT, chosen.probe_count),
        (tcp, socket.TCP_USER_TIMEOUT, chosen.unacknowledged_s * MS_PER_S),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)


def bound_transport(transport: asyncio.BaseTransport, bounds: SilenceBounds) -> None:
    """Bound the silence of a transport's connection."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    try:
        bound_silence(connection, bounds=bounds)
    except OSError as error:
        logger.warning("the silence of a connection is not bounded: %s", error)
