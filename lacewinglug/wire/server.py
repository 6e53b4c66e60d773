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

from lacewinglug.memory.budget import (
    CONNECTION_BYTES,
    LARGE_MESSAGE_BYTES,
    RETRY_AFTER_S,
    EvictionReason,
    MemoryBudget,
    OverBudgetError,
)
from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.memory.turns import FramingTurns, RequestTurns
from lacewinglug.wire.chunks import ChunkDecoder, MalformedChunksError
from lacewinglug.wire.messages import Headers, Request, Response, header_values
from lacewinglug.wire.sockets import (
    CLIENT_TCP_TIMEOUTS,
    count_unread_bytes,
    has_peer_left,
    set_transport_timeouts,
)
from lacewinglug.wire.turns import LoopTurn

logger = logging.getLogger(__name__)

MAX_READ_BUFFER_BYTES = 131_072
"""Buffered bytes that were not decoded yet from which reading from the socket pauses.
Ordinary bodies are read at once: with 64 KB, 300 of 100 KB were read side by side and
reached the runners together, and 130 of them could not connect to one."""
PIECE_BYTES = 65_536
"""Size of the pieces in which a long response is written, in bytes, so that the send
buffer holds no copy of it."""
RECEIVE_BUFFER_BYTES = 65_536
"""Size of the kernel's receive buffer of a connection, in bytes. What it holds while
reading pauses counts as held memory."""
UNPACED_CHUNKS = 4_096
"""Chunks of a body that are decoded without taking turns with other bodies."""
DEPARTURE_CHECK_INTERVAL_S = 0.25
"""Interval of checking whether a client has left while reading is paused, in s."""
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
    EVICTED = "evicted"
    HOST_STOPS = "host_stops"


class RequestRejectedError(Exception):
    """A request is invalid and is rejected before it reaches the handler.

    :param status: status code of the error response.
    :param reason: what is wrong and how to correct it.
    :param retry_after_s: ``Retry-After`` in s, None where a retry does not help.
    """

    def __init__(
        self, status: int, reason: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    def to_response(self) -> Response:
        """Return the error response."""
        headers: Headers = ()
        if self.retry_after_s is not None:
            headers = ((b"Retry-After", b"%.2f" % self.retry_after_s),)
        body = f"{self.reason}\n".encode()
        return Response(status=self.status, headers=headers, body=body, close=True)


_UNLIMITED_BYTES = 2**62


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
    :param budget: memory budget to which the connections charge what they hold.
    :param connection_limit: bound on the number of connections, None for none.
    :param framing_turns: shared by the connections with much framing work.
    :param request_turns: shared by the connections with requests that were sent ahead.
    :param connections: open connections.
    :param tasks: tasks that serve them; they may outlive their connection briefly.
    """

    handler: Handler
    limits: Callable[[], ClientLimits]
    close_after_response: bool = False
    on_end: Callable[[EndReason, Request | None], None] = lambda _reason, _request: None
    budget: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(limit_bytes=_UNLIMITED_BYTES)
    )
    connection_limit: ConnectionLimit | None = None
    framing_turns: FramingTurns = field(default_factory=FramingTurns)
    request_turns: RequestTurns = field(default_factory=RequestTurns)
    connections: set["ServerConnection"] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def make_connection(self) -> "ServerConnection":
        """Create the protocol of a new connection."""
        return ServerConnection(registry=self)

    def admit(self, connection: "ServerConnection") -> bool:
        """Count a new connection; return whether there is room for it.

        At the limit, another one is closed for it, if there is one that waits for a
        request.
        """
        limit = self.connection_limit
        if limit is not None:
            if limit.is_reached:
                victim = self._find_victim()
                if victim is None:
                    limit.note_refusal()
                    return False
                limit.note_refusal()
                victim.evict(EvictionReason.CONNECTION_LIMIT)
            limit.open()
        self.connections.add(connection)
        return True

    def _find_victim(self) -> "ServerConnection | None":
        candidates = (
            (order, id(item), item)
            for item in self.connections
            if (order := item.closing_order()) is not None
        )
        found = min(candidates, default=None)
        return None if found is None else found[2]

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


_read_buffer = memoryview(bytearray(MAX_READ_BUFFER_BYTES))
"""Receives the data of all connections, which take it at once."""


class ServerConnection(asyncio.BufferedProtocol):
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
        self._last_input_s = self._request_started_s
        self._request_active = False
        self._unanswered: Request | None = None
        self._method = b""
        self._end_reason: EndReason | None = None
        self._is_lost = False
        self._awaits_turn = False
        self._departure_timer: asyncio.TimerHandle | None = None
        self._buffered_bytes = 0
        self._reading_paused = False
        self._discarding = False
        self._account = registry.budget.open_account(self)
        self._decoder: ChunkDecoder | None = None
        self._evicted: EvictionReason | None = None
        self._is_counted = False
        self._input_bytes = 0
        self._response_bytes = 0
        self._output_bytes = 0

    def closing_order(self) -> tuple[int, float] | None:
        """Return the order in which connections are closed for others.

        Those whose request was refused, or whose next request was sent ahead and waits
        for its turn, come first, then idle ones, each time the oldest one first, then
        the incomplete request from which nothing has arrived for longest.

        :returns: None if it may not be closed, as a request is being handled.
        """
        if self._transport is None or self._transport.is_closing():
            return None
        if self._discarding or self._evicted is not None or self._awaits_turn:
            return (0, self._request_started_s)
        if self._unanswered is not None:
            return None
        if not self._request_active:
            return (1, self._request_started_s)
        return (2, self._last_input_s)

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
        if not self._registry.admit(self):
            self.abort(EndReason.EVICTED)
            return
        self._is_counted = self._registry.connection_limit is not None
        self._account.hold(CONNECTION_BYTES)
        set_transport_timeouts(transport, CLIENT_TCP_TIMEOUTS)
        self._task = self._loop.create_task(self._serve_requests())
        self._registry.tasks.add(self._task)
        self._task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        """Break the cycle of the connection and its task.

        The frames of a cancelled task hold a request and its response, which would
        stay in memory until the garbage collector runs.
        """
        self._registry.tasks.discard(task)
        self._task = None
        # A cancelled task keeps its exception, whose traceback has those frames, until
        # somebody asks for it.
        with contextlib.suppress(asyncio.CancelledError):
            task.exception()
        if self._is_lost:
            self._release()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next data."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take data out of the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer data from the client; pause reading above the limit."""
        if self._discarding or self._evicted is not None:
            return
        self._last_input_s = self._loop.time()
        if not self._request_active:
            self._request_active = True
            self._request_started_s = self._last_input_s
            self._account.forget_progress()
            self._apply_limits()
        self._turn.begin()
        if self._decoder is None:
            self._feed(data)
        else:
            self._decoder.feed(data)
        size = len(data)
        self._buffered_bytes += size
        self._input_bytes += size
        self._account.moved_bytes += size
        if self._buffered_bytes >= MAX_READ_BUFFER_BYTES:
            self._pause_reading()
        self._charge()
        if self._registry.budget.is_exceeded and not self._reading_paused:
            self._pause_reading()
            self._charge()
        self._input_event.set()

    def eof_received(self) -> bool:
        """Close the connection when the client closes its side."""
        self._note_end(EndReason.CLIENT_CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection, report its end and cancel its handler."""
        self._registry.connections.discard(self)
        self._uncount()
        self._note_end(
            EndReason.CLIENT_RESET
            if isinstance(exc, ConnectionError)
            else EndReason.CLIENT_SILENT
        )
        assert self._end_reason is not None
        self._registry.on_end(self._end_reason, self._unanswered)
        self._writable.set()
        self._is_lost = True
        if self._task is None:
            self._release()
        else:
            self._task.cancel()

    def _release(self) -> None:
        """Let go of what was received, once the connection and its task have ended."""
        self._account.close()
        self._registry.budget.forget_paused(self._resume_reading)
        if self._departure_timer is not None:
            self._departure_timer.cancel()
            self._departure_timer = None
        self._decoder = None
        self._unanswered = None

    def pause_writing(self) -> None:
        """Suspend the handler while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the handler."""
        self._writable.set()
        self.measure()

    def measure(self) -> None:
        """Charge what the client has yet to read."""
        if self._transport is None or self._transport.is_closing():
            return
        output_bytes = self._transport.get_write_buffer_size()
        if output_bytes != self._output_bytes:
            self._account.moved_bytes += max(0, self._output_bytes - output_bytes)
            self._output_bytes = output_bytes
            self._charge()

    def eviction_reason(self) -> EvictionReason | None:
        """Return why the connection may be evicted, None if it may not."""
        transport = self._transport
        if self._evicted is not None or transport is None or transport.is_closing():
            return None
        if self._output_bytes and not self._writable.is_set():
            return EvictionReason.UNREAD_RESPONSE
        if self._discarding or not self._request_active:
            return None
        # A request that was handed on may have run already.
        return EvictionReason.SLOW_UPLOAD if self._unanswered is None else None

    def evict(self, reason: EvictionReason) -> None:
        """Refuse a request that was not handed on, or close the connection."""
        self._evicted = reason
        match reason:
            case EvictionReason.SLOW_UPLOAD | EvictionReason.NO_ROOM:
                self._input_event.set()
            case EvictionReason.UNREAD_RESPONSE | EvictionReason.CONNECTION_LIMIT:
                self._uncount()
                self.abort(EndReason.EVICTED)

    def _uncount(self) -> None:
        limit = self._registry.connection_limit
        if self._is_counted and limit is not None:
            self._is_counted = False
            limit.close()

    def _charge(self) -> None:
        held_bytes = CONNECTION_BYTES + self._input_bytes + self._output_bytes
        held_bytes += self._response_bytes
        if self._reading_paused:
            held_bytes += RECEIVE_BUFFER_BYTES
        self._account.hold(held_bytes)

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
            if self._departure_timer is None:
                self._schedule_departure_check()

    def _schedule_departure_check(self) -> None:
        self._departure_timer = self._loop.call_later(
            DEPARTURE_CHECK_INTERVAL_S, self._check_departure
        )

    def _check_departure(self) -> None:
        """Close the connection if its client has left while reading is paused."""
        self._departure_timer = None
        transport = self._transport
        if not self._reading_paused or transport is None or transport.is_closing():
            return
        connection = transport.get_extra_info("socket")
        if connection is not None and has_peer_left(connection):
            self.abort(EndReason.CLIENT_CLOSED)
        else:
            self._schedule_departure_check()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None:
            budget = self._registry.budget
            if budget.is_exceeded and not self._discarding:
                budget.call_when_relieved(self._resume_reading)
                return
            self._reading_paused = False
            self._transport.resume_reading()
            self._charge()

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
            if len(response.body) <= PIECE_BYTES:
                self._send(h11.Data(data=bytes(response.body)))
            else:
                await self._send_in_pieces(response.body)
        self._send(h11.EndOfMessage())
        await self._writable.wait()

    async def _send_in_pieces(self, body: bytes | bytearray) -> None:
        """Send a long body as fast as the client takes it."""
        self._response_bytes = len(body)
        self._charge()
        view = memoryview(body)
        try:
            for start in range(0, len(body), PIECE_BYTES):
                await self._writable.wait()
                await self._turn.check()
                piece = bytes(view[start : start + PIECE_BYTES])
                self._send(h11.Data(data=piece))
                self._account.moved_bytes += PIECE_BYTES
        finally:
            self._response_bytes = 0
            self._charge()

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
            if self._output_bytes or self._transport.get_write_buffer_size():
                self.measure()
        if isinstance(event, h11.EndOfMessage):
            self._unanswered = None

    def _note_end(self, reason: EndReason) -> None:
        """Keep the first reason why the connection ends."""
        self._end_reason = self._end_reason or reason

    async def _serve_requests(self) -> None:
        try:
            while await self._serve_request():
                if self._request_active:
                    await self._wait_for_turn()
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("closing a client connection after an internal error")
            await self._respond_to_error()
        finally:
            self.close()

    async def _wait_for_turn(self) -> None:
        """Let others run before the next request, which has already begun to arrive."""
        self._awaits_turn = True
        try:
            await self._registry.request_turns.wait()
        finally:
            self._awaits_turn = False

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
        # The exception keeps alive what was read of the request until it is gone.
        rejection: Response | None = None
        try:
            request = await self._read_request()
        except RequestRejectedError as error:
            rejection = error.to_response()
        if rejection is not None:
            await self._send_rejection(rejection)
            self._note_end(
                EndReason.REJECTED if self._evicted is None else EndReason.EVICTED
            )
            self._forget_request()
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
        self._input_bytes = remaining
        self._request_started_s = self._loop.time()
        if self._account.reserved_bytes:
            self._account.set_reserved(0)
        self._charge()
        self._resume_reading()
        return True

    def _forget_request(self) -> None:
        """Free what was received of a request that was rejected."""
        self._discarding = True
        self._decoder = None
        self._h11 = _make_h11_connection(self._limits)
        self._buffered_bytes = 0
        self._input_bytes = 0
        self._account.set_reserved(0)
        self._charge()

    async def _send_rejection(self, response: Response) -> None:
        if not self.response_not_started:
            self.abort()
            return
        logger.info(
            "request rejected before routing",
            extra={"status": response.status, "reason": response.body.decode().strip()},
        )
        with contextlib.suppress(h11.LocalProtocolError):
            await self.respond(response)

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
        self._resume_reading()
        # The task is cancelled when the client has closed the connection.
        await asyncio.sleep(DISCARD_TIMEOUT_S)

    async def _read_request(self) -> Request | None:
        head = await self._next_event(self._header_timeout_s, timeout_status=408)
        if not isinstance(head, h11.Request):
            return None
        self._method = bytes(head.method)
        headers = tuple(head.headers.raw_items())
        length = _check_framing(headers)
        if length is not None and length > self._limits.max_body_bytes:
            raise RequestRejectedError(413, "the body is too long; send less")
        expects_continue = self._h11.they_are_waiting_for_100_continue
        if length is None:
            self._begin_chunks(head)
        elif length > LARGE_MESSAGE_BYTES:
            await self._reserve(length)
        if expects_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        if length is None:
            body = await self._read_chunks()
        else:
            body = await self._read_sized_body()
        if body is None:
            return None
        return Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=headers,
            # A long body is not copied.
            body=bytes(body) if len(body) <= PIECE_BYTES else body,
            received_s=self._request_started_s,
        )

    async def _reserve(self, body_bytes: int) -> None:
        """Reserve memory for a large body, and read no further until there is some.

        :raises RequestRejectedError: there is none in time.
        """
        try:
            await self._account.reserve(CONNECTION_BYTES + body_bytes)
        except OverBudgetError:
            self._registry.budget.note_eviction(EvictionReason.NO_ROOM)
            self._evicted = EvictionReason.NO_ROOM
        self._check_eviction()

    def _check_eviction(self) -> None:
        """Reject a request that lost its memory to others.

        :raises RequestRejectedError: it did.
        """
        if self._evicted is not None:
            raise RequestRejectedError(
                503,
                "not run: this host has no memory for the request; try again later",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _read_sized_body(self) -> bytearray | None:
        """Return a body of announced length, None if the connection has ended."""
        body = bytearray()
        while True:
            event = await self._next_event(self._body_timeout_s, timeout_status=408)
            match event:
                case h11.Data(data=data):
                    body += data
                    self._buffered_bytes = 0
                case h11.EndOfMessage():
                    return body
                case _:
                    return None

    def _begin_chunks(self, head: h11.Request) -> None:
        """Decode the body of a request apart from h11, whose cost by chunk is high.

        h11 goes on with the same request without a body.
        """
        decoder = ChunkDecoder(max_line_bytes=self._limits.max_header_bytes)
        decoder.feed(self._h11.trailing_data[0])
        self._h11 = _make_h11_connection(self._limits)
        kept = [(b"Host", b"-")]
        kept += [item for item in head.headers.raw_items() if _is_connection(item)]
        stand_in = h11.Request(
            method=head.method,
            target=head.target,
            headers=kept,
            http_version=head.http_version,
        )
        lines = b"".join(b"%b: %b\r\n" % item for item in stand_in.headers.raw_items())
        self._h11.receive_data(
            b"%b %b HTTP/%b\r\n%b\r\n"
            % (stand_in.method, stand_in.target, stand_in.http_version, lines)
        )
        while not isinstance(self._h11.next_event(), h11.EndOfMessage):
            pass
        self._decoder = decoder

    async def _read_chunks(self) -> bytearray | None:
        """Return the body that the decoder decodes, None if the connection has ended.

        :raises RequestRejectedError: the body is malformed, too long or late, or has
            lost its memory to others.
        """
        decoder = self._decoder
        assert decoder is not None
        took_s = 0.0
        while not decoder.is_complete:
            if decoder.chunk_count > UNPACED_CHUNKS:
                await self._registry.framing_turns.wait(took_s)
            await self._turn.check()
            self._check_eviction()
            self._input_event.clear()
            started_s = self._loop.time()
            try:
                goes_on = decoder.decode_slice()
            except MalformedChunksError as error:
                raise RequestRejectedError(400, str(error)) from None
            took_s = self._loop.time() - started_s
            body_bytes = len(decoder.body)
            self._buffered_bytes = decoder.buffered_bytes
            self._input_bytes = body_bytes + decoder.buffered_bytes
            self._charge()
            if body_bytes > self._limits.max_body_bytes:
                raise RequestRejectedError(413, "the body is too long; send less")
            if body_bytes > LARGE_MESSAGE_BYTES and not self._account.reserved_bytes:
                await self._reserve(self._limits.max_body_bytes)
            if not (goes_on or decoder.is_complete):
                self._resume_reading()
                await self._wait_for_input(self._body_timeout_s, timeout_status=408)
        self._decoder = None
        rest = decoder.take_rest()
        if rest:
            self._feed(rest)
        return decoder.body

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
            self._check_eviction()
            self._input_event.clear()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRejectedError(
                    error.error_status_hint, str(error)
                ) from None
            if event is not h11.NEED_DATA:
                return event
            self._resume_reading()
            if not await self._wait_for_input(timeout_s, timeout_status=timeout_status):
                return None

    async def _wait_for_input(
        self, timeout_s: Callable[[], float], *, timeout_status: int
    ) -> bool:
        """Wait for more data; return False if the connection was idle for too long.

        :raises RequestRejectedError: a started request timed out.
        """
        was_active = self._request_active
        try:
            async with asyncio.timeout(timeout_s()):
                await self._input_event.wait()
        except TimeoutError:
            if not was_active and not self._request_active:
                # The limit may have been raised, or a request come, in the meantime.
                return timeout_s() > 0.0 or self.has_unread_input
            if was_active:
                reason = "the request did not arrive in time; send it again"
                raise RequestRejectedError(timeout_status, reason) from None
        return True


def _make_h11_connection(limits: ClientLimits) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)


def _is_connection(header: tuple[bytes, bytes]) -> bool:
    return header[0].lower() == b"connection"


def _check_framing(headers: Headers) -> int | None:
    """Reject headers that two parsers could frame differently (request smuggling).

    :returns: length of the body, None if it comes in chunks.
    :raises RequestRejectedError: the framing is ambiguous.
    """
    codings = header_values(headers, b"transfer-encoding")
    lengths = header_values(headers, b"content-length")
    if codings and lengths:
        raise RequestRejectedError(400, "send a length or a transfer coding, not both")
    if len(lengths) > 1:
        raise RequestRejectedError(400, "send one Content-Length")
    if codings:
        return None
    # h11 accepts only digits, and equal numbers in a list.
    return int(lengths[0].partition(b",")[0]) if lengths else 0


def _make_response_head(
    status: int, headers: list[tuple[bytes, bytes]]
) -> h11.Response:
    try:
        reason = http.HTTPStatus(status).phrase.encode()
    except ValueError:
        reason = b""
    return h11.Response(status_code=status, headers=headers, reason=reason)
