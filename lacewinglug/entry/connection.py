"""Caller connections: TCP and header timeouts, and typed protocol errors."""

import asyncio
import socket
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11
import msgspec
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from lacewinglug.entry.responses import bad_request
from lacewinglug.requests.outcomes import NotRun, failure_body
from lacewinglug.wire.sockets import TcpTimeouts, set_tcp_timeouts

MAX_HEADER_BYTES = 32768
HEADER_TIMEOUT_S = 10.0
UNACKNOWLEDGED_TIMEOUT_S = 30
ABORT_DELAY_S = 10.0
DISCARD_TIMEOUT_S = 2.0
SEND_BUFFER_BYTES = 65536
WRITE_BUFFER_BYTES = 32768
CONNECTION_KEY = "connection"


@dataclass(kw_only=True)
class CallerConnection:
    """Connection that a request arrived on.

    :param transport: the transport.
    :param flow: flow control of the transport.
    """

    transport: asyncio.Transport
    flow: FlowControl

    @property
    def is_blocked(self) -> bool:
        """Whether the write buffer is full because the caller does not read."""
        return self.flow.write_paused

    def resume_writing(self) -> None:
        """Allow one more line to be written beyond the full buffer."""
        self.flow.resume_writing()

    def close(self) -> None:
        """Close after sending buffered data; abort if the caller does not read it."""
        self.transport.close()
        asyncio.get_running_loop().call_later(ABORT_DELAY_S, self.transport.abort)


class CallerProtocol(H11Protocol):
    """HTTP/1.1 protocol with timeouts for unacknowledged data and slow headers."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set the timeouts and buffer sizes of a new connection."""
        super().connection_made(transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_tcp_timeouts(
                connection,
                timeouts=TcpTimeouts(user_timeout_s=UNACKNOWLEDGED_TIMEOUT_S),
            )
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.app_state: dict[str, Any] = {
            **self.app_state,
            CONNECTION_KEY: CallerConnection(transport=transport, flow=self.flow),
        }
        self._discard_timer: asyncio.TimerHandle | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers of the closed connection."""
        self._stop_header_timer()
        if self._discard_timer is not None:
            self._discard_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; the timer runs until headers are complete."""
        if self._discard_timer is not None:
            return
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._stop_header_timer()
        elif self._header_timer is None:
            self._start_header_timer()

    def send_400_response(self, msg: str) -> None:
        """Respond to data that is not HTTP, or to headers that are too large."""
        reason = f"it is not HTTP/1.1, or its headers are over {MAX_HEADER_BYTES} bytes"
        self._send_refusal(bad_request(reason))

    def _send_refusal(self, refusal: NotRun) -> None:
        """Respond directly on the connection, before a request exists."""
        body = msgspec.json.encode(failure_body(refusal))
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        events = (
            h11.Response(status_code=refusal.status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            for event in events:
                self.transport.write(self.conn.send(event) or b"")
        self.transport.write_eof()
        self._discard_timer = self.loop.call_later(
            DISCARD_TIMEOUT_S, self.transport.close
        )

    def _refuse_slow_headers(self) -> None:
        refusal = NotRun(
            reason="the request's headers did not arrive in time",
            remedy="send the whole request at once",
            status=HTTPStatus.REQUEST_TIMEOUT,
        )
        self._send_refusal(refusal)

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._refuse_slow_headers
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
