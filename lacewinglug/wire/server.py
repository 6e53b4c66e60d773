"""Server side of an HTTP/1.1 connection; h11 does the framing."""

import asyncio
import contextlib
import http
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import h11

from lacewinglug.wire.messages import Headers, Request, Response, header_values
from lacewinglug.wire.sockets import (
    CLIENT_TCP_TIMEOUTS,
    count_unread_bytes,
    set_transport_timeouts,
)
from lacewinglug.wire.turns import LoopTurn

logger = logging.getLogger(__name__)

MAX_READ_BUFFER_BYTES = 262_144
"""Buffered bytes of pipelined requests above which reading from the socket pauses."""
DISCARD_TIMEOUT_S = 2.0
"""Time for which data of a rejected request is discarded before its connection is
closed, in s; several round trips, in which clients read the response and close."""


@dataclass(kw_only=True, slots=True)
class ClientLimits:
    """Size limits and timeouts for client requests.

    :param max_header_bytes: maximum size of a request head, in bytes.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :param header_timeout_s: time in which the complete request head must arrive after
        its first byte, in s.
    :param idle_timeout_s: time without received data after which a connection is
        closed, in s.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange(Protocol):
    """Interface through which a handler responds to one request."""

    @property
    def response_not_started(self) -> bool:
        """Whether no part of a response was sent, so that any can follow."""

    async def respond(self, response: Response) -> None:
        """Send a complete response."""

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response of unknown length."""

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body and wait while the send buffer is full."""

    async def finish(self) -> None:
        """Finish the body."""

    def abort(self) -> None:
        """Abort the connection so that the client sees a truncated response."""


Handler = Callable[[Request, Exchange], Awaitable[None]]


class EndReason(Enum):
    """Why a client connection ended."""

    CLIENT_CLOSED = "client_closed"
    CLIENT_RESET = "client_reset"
    CLIENT_SILENT = "client_silent"
    IDLE = "idle"
    LAST_RESPONSE = "last_response"
    REJECTED = "rejected"
    CUT = "cut"
    INTERNAL_ERROR = "internal_error"
    HOST_STOPS = "host_stops"


class RequestRejectedError(Exception):
    """A request is invalid and is rejected before it reaches the handler.

    :param status: status code of the error response.
    :param reason: what is wrong and how to correct it.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(kw_only=True)
class ConnectionRegistry:
    """Open client connections of a listener.

    :param handler: called once for each request.
    :param limits: returns the current limits, which apply to a connection from its next
        request on; a longer idle timeout applies immediately.
    :param close_after_response: whether connections are closed after their next
        response.
    :param on_end: called when a connection has ended, with its last request if that
        was received whole and its response is incomplete.
    :param connections: open connections.
    :param tasks: tasks that serve them; they may outlive their connection briefly.
    """

    handler: Handler
    limits: Callable[[], ClientLimits]
    close_after_response: bool = False
    on_end: Callable[[EndReason, Request | None], None] = lambda _reason, _request: None
    connections: set["ServerConnection"] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def make_connection(self) -> "ServerConnection":
        """Create the protocol of a new connection."""
        return ServerConnection(registry=self)

    @property
    def active_request_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for item in self.connections if item.has_active_request)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for item in list(self.connections):
            if not item.has_active_request and not item.has_unread_input:
                item.close(EndReason.HOST_STOPS)

    def abort_all(self) -> None:
        """Abort all connections."""
        for item in list(self.connections):
            item.abort(EndReason.HOST_STOPS)


class ServerConnection(asyncio.Protocol):
    """Connection from a client; calls the handler for each request in order.

    :param registry: connections of the listener that accepted this one.
    """

    def __init__(self, *, registry: ConnectionRegistry) -> None:
        self._registry = registry
        self._limits = registry.limits()
        self._h11 = _make_h11_connection(self._limits)
        self._turn = LoopTurn()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._input_event = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._loop = asyncio.get_running_loop()
        self._request_started_s = self._loop.time()
        self._request_active = False
        self._unanswered: Request | None = None
        self._method = b""
        self._end_reason: EndReason | None = None
        self._buffered_bytes = 0
        self._reading_paused = False
        self._discarding = False

    @property
    def has_active_request(self) -> bool:
        """Whether a request has started to arrive and its response is incomplete."""
        return self._request_active

    @property
    def has_unread_input(self) -> bool:
        """Whether data has arrived that the event loop is yet to read.

        Closing the connection would reset it, and lose a request that has arrived.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        connection = transport.get_extra_info("socket")
        return connection is not None and bool(count_unread_bytes(connection))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start serving requests."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_transport_timeouts(transport, CLIENT_TCP_TIMEOUTS)
        self._registry.connections.add(self)
        self._task = self._loop.create_task(self._serve_requests())
        self._registry.tasks.add(self._task)
        self._task.add_done_callback(self._registry.tasks.discard)

    def data_received(self, data: bytes) -> None:
        """Buffer data from the client; pause reading above the limit."""
        if self._discarding:
            return
        if not self._request_active:
            self._request_active = True
            self._request_started_s = self._loop.time()
            self._apply_limits()
        self._turn.begin()
        self._feed(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_READ_BUFFER_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._input_event.set()

    def eof_received(self) -> bool:
        """Close the connection when the client closes its side."""
        self._note_end(EndReason.CLIENT_CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection, report its end and cancel its handler."""
        self._registry.connections.discard(self)
        self._note_end(
            EndReason.CLIENT_RESET
            if isinstance(exc, ConnectionError)
            else EndReason.CLIENT_SILENT
        )
        assert self._end_reason is not None
        self._registry.on_end(self._end_reason, self._unanswered)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Suspend the handler while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the handler."""
        self._writable.set()

    def close(self, reason: EndReason = EndReason.LAST_RESPONSE) -> None:
        """Close the connection after flushing written data."""
        self._note_end(reason)
        if self._transport is not None:
            self._transport.close()

    def abort(self, reason: EndReason = EndReason.CUT) -> None:
        """Close the connection immediately."""
        self._note_end(reason)
        if self._transport is not None:
            self._transport.abort()

    @property
    def response_not_started(self) -> bool:
        """Whether no part of a response was sent, so that any can follow."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    async def respond(self, response: Response) -> None:
        """Send a complete response."""
        headers = [*response.headers, (b"Content-Length", b"%d" % len(response.body))]
        closing = response.close or self._registry.close_after_response
        if closing:
            headers.append((b"Connection", b"close"))
        self._send(_make_response_head(response.status, headers))
        if response.body and self._method != b"HEAD":
            self._send(h11.Data(data=response.body))
        self._send(h11.EndOfMessage())
        await self._writable.wait()

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response of unknown length."""
        closing = (
            ((b"Connection", b"close"),) if self._registry.close_after_response else ()
        )
        self._send(_make_response_head(status, [*headers, *closing]))

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body and wait while the send buffer is full."""
        self._send(h11.Data(data=data))
        await self._writable.wait()

    async def finish(self) -> None:
        """Finish the body."""
        self._send(h11.EndOfMessage())
        await self._writable.wait()

    def _apply_limits(self) -> None:
        """Apply the current limits to the next request, or to one that begins."""
        limits = self._registry.limits()
        if limits.max_header_bytes != self._limits.max_header_bytes:
            # h11 does not let the limit of a connection change.
            received, _ = self._h11.trailing_data
            self._h11 = _make_h11_connection(limits)
            if received:
                self._h11.receive_data(received)
        self._limits = limits

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            logger.info("client sent data after its last request: %s", error)
            self.close()

    def _send(self, event: h11.Event) -> None:
        data = self._h11.send(event)
        if self._transport is None or self._transport.is_closing():
            return
        if data:
            self._transport.write(data)
        if isinstance(event, h11.EndOfMessage):
            self._unanswered = None

    def _note_end(self, reason: EndReason) -> None:
        """Keep the first reason why the connection ends."""
        self._end_reason = self._end_reason or reason

    async def _serve_requests(self) -> None:
        try:
            while await self._serve_request():
                pass
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("closing a client connection after an internal error")
            await self._respond_to_error()
        finally:
            self.close()

    async def _respond_to_error(self) -> None:
        """End the connection, with a response to the request if none has begun."""
        self._note_end(EndReason.INTERNAL_ERROR)
        if self.response_not_started:
            body = b"internal error; see the log\n"
            await self.respond(Response(status=500, body=body, close=True))
        else:
            self.abort()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another one may follow."""
        self._turn.begin()
        try:
            request = await self._read_request()
        except RequestRejectedError as error:
            await self._send_rejection(error)
            self._note_end(EndReason.REJECTED)
            await self._discard_input()
            return False
        if request is None:
            self._note_end(EndReason.IDLE)
            return False
        self._unanswered = request
        await self._registry.handler(request, self)
        return self._prepare_next_request()

    def _prepare_next_request(self) -> bool:
        ours, theirs = self._h11.our_state, self._h11.their_state
        if ours is not h11.DONE or theirs is not h11.DONE:
            if ours not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
                self.abort()
            return False
        self._h11.start_next_cycle()
        self._method = b""
        self._apply_limits()
        remaining = len(self._h11.trailing_data[0])
        self._request_active = remaining > 0
        self._buffered_bytes = remaining
        self._request_started_s = self._loop.time()
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return True

    async def _send_rejection(self, error: RequestRejectedError) -> None:
        if not self.response_not_started:
            self.abort()
            return
        logger.info(
            "request rejected before routing",
            extra={"status": error.status, "reason": error.reason},
        )
        body = f"{error.reason}\n".encode()
        with contextlib.suppress(h11.LocalProtocolError):
            await self.respond(Response(status=error.status, body=body, close=True))

    async def _discard_input(self) -> None:
        """Discard for a while what the client still sends after its last response.

        Closing a connection that has unread data resets it, and a client that is still
        sending would lose the response.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not transport.can_write_eof():
            return
        self._discarding = True
        transport.write_eof()
        if self._reading_paused:
            self._reading_paused = False
            transport.resume_reading()
        # The task is cancelled when the client has closed the connection.
        await asyncio.sleep(DISCARD_TIMEOUT_S)

    async def _read_request(self) -> Request | None:
        head = await self._next_event(self._header_timeout_s, timeout_status=408)
        if not isinstance(head, h11.Request):
            return None
        self._method = bytes(head.method)
        _check_framing(tuple(head.headers.raw_items()))
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while True:
            event = await self._next_event(self._body_timeout_s, timeout_status=408)
            match event:
                case h11.Data(data=data):
                    body += data
                    self._buffered_bytes = 0
                    if len(body) > self._limits.max_body_bytes:
                        raise RequestRejectedError(
                            413, "the body is too long; send less"
                        )
                case h11.EndOfMessage():
                    break
                case _:
                    return None
        return Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(head.headers.raw_items()),
            body=bytes(body),
            received_s=self._request_started_s,
        )

    def _header_timeout_s(self) -> float:
        elapsed_s = self._loop.time() - self._request_started_s
        if self._request_active:
            return self._limits.header_timeout_s - elapsed_s
        # Clients may rely on the limit of before as well as on the current one.
        idle_timeout_s = max(
            self._limits.idle_timeout_s, self._registry.limits().idle_timeout_s
        )
        return idle_timeout_s - elapsed_s

    def _body_timeout_s(self) -> float:
        return self._limits.idle_timeout_s

    async def _next_event(
        self, timeout_s: Callable[[], float], *, timeout_status: int
    ) -> h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA] | None:
        """Return the next event, None if the connection was idle for too long.

        :raises RequestRejectedError: the data is malformed, or a started request timed
            out.
        """
        while True:
            await self._turn.check()
            self._input_event.clear()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRejectedError(
                    error.error_status_hint, str(error)
                ) from None
            if event is not h11.NEED_DATA:
                return event
            if self._reading_paused and self._transport is not None:
                self._reading_paused = False
                self._transport.resume_reading()
            was_active = self._request_active
            try:
                async with asyncio.timeout(timeout_s()):
                    await self._input_event.wait()
            except TimeoutError:
                if not was_active and not self._request_active:
                    if timeout_s() > 0.0 or self.has_unread_input:
                        # The limit was raised, or a request came, in the meantime.
                        continue
                    return None
                if was_active:
                    reason = "the request did not arrive in time; send it again"
                    raise RequestRejectedError(timeout_status, reason) from None


def _make_h11_connection(limits: ClientLimits) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)


def _check_framing(headers: Headers) -> None:
    """Reject headers that two parsers could frame differently (request smuggling).

    :raises RequestRejectedError: the framing is ambiguous.
    """
    codings = header_values(headers, b"transfer-encoding")
    lengths = header_values(headers, b"content-length")
    if codings and lengths:
        raise RequestRejectedError(400, "send a length or a transfer coding, not both")
    if len(lengths) > 1:
        raise RequestRejectedError(400, "send one Content-Length")


def _make_response_head(
    status: int, headers: list[tuple[bytes, bytes]]
) -> h11.Response:
    try:
        reason = http.HTTPStatus(status).phrase.encode()
    except ValueError:
        reason = b""
    return h11.Response(status_code=status, headers=headers, reason=reason)
