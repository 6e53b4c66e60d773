"""Detects dead upstreams while a long request is on its way to them.

The kernel's user timeout also ends connections to live peers: it counts the time for
which a peer has no room for more data, which a peer has when its application does not
read. The peer's kernel still acknowledges the probes of its window, and a dead machine
acknowledges nothing, so this is what is checked here.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, replace

from lacewinglug.wire.sockets import (
    MS_PER_S,
    TcpTimeouts,
    count_unacknowledged_bytes,
    set_transport_timeouts,
)

LONG_REQUEST_BYTES = 16_384
"""Request size above which the receive window of an upstream may be too small."""
DELIVERY_TIMEOUT_S = 10
"""User timeout while a long request is on its way, in s. Longer than any silence of a
sound upstream, and all there is where the kernel does not tell about acknowledgements.
"""
ACK_TIMEOUT_S = 2.0
"""Time without an expected acknowledgement of a long request after which the upstream
counts as dead, in s. Several retransmissions fit into it."""
CHECK_INTERVAL_S = 0.1
"""Interval of checking for acknowledgements, in s; short against their timeout."""
MIN_UNANSWERED_PROBES = 3
"""Unanswered window probes after which a peer may be dead. A live one may leave two
unanswered: its kernel limits the rate of such answers, and one may be lost."""

_TCP_INFO = struct.Struct("=8B14I")
"""The first fields of Linux's ``struct tcp_info``, from ``include/uapi/linux/tcp.h``.
"""
_STATE = 0
_PROBES = 3
_UNACKED_PACKETS = 12
_LAST_DATA_SENT_MS = 17
_LAST_ACK_RECEIVED_MS = 20


@dataclass(frozen=True, kw_only=True, slots=True)
class AckState:
    """What the kernel knows about the acknowledgements of a connection.

    :param is_awaited: whether the peer's kernel owes an acknowledgement.
    :param age_s: time since the last one, in s.
    """

    is_awaited: bool
    age_s: float


class DeliveryWatch:
    """Watches the acknowledgements of a connection until all its data has arrived.

    :param transport: transport of the connection.
    :param timeouts: timeouts of the connection while no long request is on its way.
    :param on_dead: called if the peer acknowledges nothing in time.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        timeouts: TcpTimeouts,
        on_dead: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._timeouts = timeouts
        self._on_dead = on_dead
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._awaited_since_s: float | None = None

    def start(self) -> None:
        """Watch until the peer's kernel has all data, or until stopped."""
        if self._timer is None and self._socket is not None:
            longer = replace(self._timeouts, user_timeout_s=DELIVERY_TIMEOUT_S)
            set_transport_timeouts(self._transport, longer)
            self._awaited_since_s = None
            self._schedule_check()

    def stop(self) -> None:
        """Leave the rest to the timeouts of the kernel."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            set_transport_timeouts(self._transport, self._timeouts)

    def settle(self) -> None:
        """Stop after a complete response, unless data is known to be on its way."""
        connection = self._socket
        if connection is None or not count_unacknowledged_bytes(connection):
            self.stop()

    @property
    def _socket(self) -> socket.socket | None:
        found: socket.socket | None = self._transport.get_extra_info("socket")
        return found

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        connection = self._socket
        if connection is None or self._has_delivered(connection):
            self.stop()
            return
        self._schedule_check()
        state = read_ack_state(connection)
        now_s = self._loop.time()
        if state is None or not state.is_awaited:
            self._awaited_since_s = None
        elif self._awaited_since_s is None or now_s - state.age_s > (
            self._awaited_since_s
        ):
            self._awaited_since_s = now_s
        elif now_s - self._awaited_since_s >= ACK_TIMEOUT_S:
            self._on_dead()

    def _has_delivered(self, connection: socket.socket) -> bool:
        return (
            self._transport.get_write_buffer_size() == 0
            and count_unacknowledged_bytes(connection) == 0
        )


def read_ack_state(connection: socket.socket) -> AckState | None:
    """Return the state of the acknowledgements, None if not known."""
    try:
        data = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        return None
    if len(data) < _TCP_INFO.size:
        return None
    fields = _TCP_INFO.unpack(data)
    if not fields[_STATE]:
        # No connection is in state 0: nothing was filled in.
        return None
    sent_since = fields[_LAST_DATA_SENT_MS] < fields[_LAST_ACK_RECEIVED_MS]
    return AckState(
        is_awaited=(fields[_UNACKED_PACKETS] > 0 and sent_since)
        or fields[_PROBES] >= MIN_UNANSWERED_PROBES,
        age_s=fields[_LAST_ACK_RECEIVED_MS] / MS_PER_S,
    )
