"""Client side of an HTTP/1.1 connection; h11 does the framing."""

import asyncio
from collections.abc import Callable, Sequence

import h11

from lacewinglug.memory.budget import (
    CONNECTION_BYTES,
    Account,
    EvictionReason,
    MemoryBudget,
    OverBudgetError,
)
from lacewinglug.wire.delivery import (
    LONG_REQUEST_BYTES,
    DeliveryWatch,
    read_ack_state,
)
from lacewinglug.wire.messages import (
    Headers,
    Response,
    ResponseHead,
    first_header,
)
from lacewinglug.wire.sockets import (
    UPSTREAM_TCP_TIMEOUTS,
    count_unacknowledged_bytes,
    discard_unsent,
    set_transport_timeouts,
)
from lacewinglug.wire.turns import LoopTurn

MAX_READ_BUFFER_BYTES = 65_536
"""Buffered response bytes from which reading from the socket pauses."""
PIECE_BYTES = 65_536
"""Size of the pieces in which a long request is written, in bytes, so that the send
buffer holds no copy of it."""
MIN_RESERVED_BYTES = 1_048_576
"""Memory that is reserved for a large response of unknown length, in bytes; doubles
when it is used up."""
MAX_RESPONSE_HEAD_BYTES = 32_768
"""Maximum size of a response head, in bytes; twice the limit for clients' requests."""
MAX_CHUNK_BYTES = 4_096
"""Maximum size of a body chunk that is handed on at once, in bytes, so that work on it
takes a short time whatever its content."""


_STATUSES = range(100, 600)
"""Status codes of HTTP; any other one is malformed (RFC 9110, section 15)."""


class UpstreamError(Exception):
    """A request to an upstream failed.

    :param reason: short description for logs and metrics.
    :param sent: whether any byte of the request may have been sent.
    :param refused: whether the upstream's machine refused the connection, so that no
        process listens there.
    """

    def __init__(self, reason: str, *, sent: bool, refused: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.refused = refused


_read_buffer = memoryview(bytearray(MAX_READ_BUFFER_BYTES))
"""Receives the data of all connections, which take it at once."""


class ClientConnection(asyncio.BufferedProtocol):
    """Connection to an upstream that carries one request at a time.

    :param budget: memory budget to which it charges what it holds, None for none.
    """

    def __init__(self, *, budget: MemoryBudget | None = None) -> None:
        self._account: Account | None = None
        if budget is not None:
            self._account = budget.open_account(self)
        self._unsent = memoryview(b"")
        self._writing_paused = False
        self._response_bytes = 0
        self._ended_during_request = False
        self._ends_with_connection = False
        self._h11 = _make_h11_connection()
        self._turn = LoopTurn()
        self._unread_body = memoryview(b"")
        self._transport: asyncio.Transport | None = None
        self._input_event = asyncio.Event()
        self._is_lost = False
        self._error: str | None = None
        self._buffered_bytes = 0
        self._reading_paused = False
        self._request_active = False
        self._delivery_watch: DeliveryWatch | None = None
        self.idle_since_s: float | None = None
        self.keep_alive_timeout_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP timeouts."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_transport_timeouts(transport, UPSTREAM_TCP_TIMEOUTS)
        self._charge()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next data."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take data out of the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer data from the upstream, or abort if no request is in progress."""
        if not self._request_active:
            # No request is in progress, so the data cannot be a response to one.
            self._error = "unsolicited data"
            self.abort()
            return
        self._turn.begin()
        self._feed(data)
        size = len(data)
        self._buffered_bytes += size
        if self._account is not None:
            self._account.moved_bytes += size
        if (
            self._buffered_bytes >= MAX_READ_BUFFER_BYTES
            and not self._reading_paused
            and self._transport is not None
        ):
            self._reading_paused = True
            self._transport.pause_reading()
            self._charge()
        self._input_event.set()

    def eof_received(self) -> bool:
        """Record that the upstream closed its side in an orderly way."""
        self._ended_during_request = self._is_request_incomplete
        self._feed(b"")
        self._input_event.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection and wake the reader."""
        self._stop_delivery_watch()
        # The watch refers to the connection; the cycle would keep its data in memory.
        self._delivery_watch = None
        self._unsent = memoryview(b"")
        if self._account is not None:
            self._account.close()
        self._is_lost = True
        if exc is not None:
            self._error = self._error or "reset"
        self._input_event.set()

    def pause_writing(self) -> None:
        """Write no more of a long request while the send buffer is full."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on with a long request."""
        self._writing_paused = False
        self._send_pieces()

    def eviction_reason(self) -> EvictionReason | None:
        """Return why the connection may be evicted, None if it may not.

        Of what an upstream sends, only a large response counts.
        """
        if self._is_closing or not self._response_bytes:
            return None
        return EvictionReason.SLOW_UPSTREAM

    def evict(self, reason: EvictionReason) -> None:
        """Give the response up."""
        self._error = self._error or "no memory for the response"
        self.abort()

    def measure(self) -> None:
        """Nothing changes without the connection's doing."""

    async def reserve(
        self, head: ResponseHead, received_bytes: int, *, max_bytes: int
    ) -> None:
        """Reserve memory for the rest of a large response, which is kept.

        :param received_bytes: size of what was received of its body.
        :param max_bytes: limit on the size of its body.
        :raises UpstreamError: there is none in time.
        """
        account = self._account
        self._response_bytes = received_bytes
        if account is None or received_bytes < account.reserved_bytes:
            return
        announced = first_header(head.headers, b"content-length") or b""
        wanted = max(MIN_RESERVED_BYTES, 2 * received_bytes)
        if announced.isdigit() and int(announced) >= received_bytes:
            wanted = int(announced)
        total_bytes = CONNECTION_BYTES + min(wanted, max_bytes)
        if total_bytes <= account.reserved_bytes:
            return
        try:
            await account.reserve(total_bytes)
        except OverBudgetError:
            self._error = self._error or "no memory for the response"
            raise UpstreamError(self._error, sent=True) from None

    def _charge(self) -> None:
        if self._account is not None:
            held_bytes = CONNECTION_BYTES + self._buffered_bytes
            if self._reading_paused:
                held_bytes += MAX_READ_BUFFER_BYTES
            self._account.hold(held_bytes)

    @property
    def is_usable(self) -> bool:
        """Whether the connection can carry another request."""
        return not self._is_lost and self._error is None and not self._is_closing

    @property
    def is_undelivered(self) -> bool:
        """Whether the upstream's machine owes an acknowledgement of the request."""
        if self._transport is None:
            return False
        connection = self._transport.get_extra_info("socket")
        if connection is None:
            return False
        state = read_ack_state(connection)
        if state is not None:
            return state.is_awaited
        # A long request may only be waiting for room in the receive window.
        return (
            not self._is_lost
            and self._delivery_watch is None
            and bool(count_unacknowledged_bytes(connection))
        )

    @property
    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection after flushing sent data."""
        self._stop_delivery_watch()
        if self._transport is not None:
            self._transport.close()

    def discard_unsent_on_abort(self, *, user_timeout_s: float) -> None:
        """Make the kernel drop data that is not acknowledged when the connection ends.

        Without it, the kernel goes on sending a request after an abort.

        :param user_timeout_s: time that sent data may stay unacknowledged before the
            kernel ends the connection, in s.
        """
        if self._transport is not None:
            discard_unsent(self._transport, user_timeout_s=user_timeout_s)

    def abort(self) -> None:
        """Close the connection immediately, so that the upstream stops its work."""
        self._stop_delivery_watch()
        if self._transport is not None:
            self._transport.abort()

    def send_request(
        self, *, method: bytes, target: bytes, headers: Headers, body: bytes | bytearray
    ) -> None:
        """Send a complete request.

        :raises UpstreamError: the connection was already closed.
        """
        if not self.is_usable or self._transport is None:
            raise UpstreamError(self._error or "closed while idle", sent=False)
        framing: Sequence[tuple[bytes, bytes]] = ()
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framing = ((b"Content-Length", b"%d" % len(body)),)
        request = h11.Request(
            method=method, target=target, headers=[*headers, *framing]
        )
        self._request_active = True
        self._turn.begin()
        parts = [self._h11.send(request) or b""]
        if len(body) > PIECE_BYTES:
            self._unsent = memoryview(body)
            self._watch_delivery(self._transport)
            self._send_pieces(parts[0])
            return
        if body:
            parts.append(self._h11.send(h11.Data(data=bytes(body))) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        data = b"".join(parts)
        if len(data) > LONG_REQUEST_BYTES:
            self._watch_delivery(self._transport)
        self._transport.write(data)

    def _send_pieces(self, head: bytes = b"") -> None:
        """Write a long request as far as the send buffer takes it.

        :param head: its head, which is written together with the first piece.
        """
        while self._unsent and not self._writing_paused and not self._is_closing:
            assert self._transport is not None
            piece, self._unsent = self._unsent[:PIECE_BYTES], self._unsent[PIECE_BYTES:]
            data = self._h11.send(h11.Data(data=bytes(piece))) or b""
            self._transport.write(head + data if head else data)
            head = b""
            if not self._unsent:
                self._h11.send(h11.EndOfMessage())

    async def read_head(
        self, *, on_head: Callable[[ResponseHead], None] | None = None
    ) -> ResponseHead:
        """Return the status and headers of the response.

        :param on_head: called with each head, those of interim responses included.
        :raises UpstreamError: the response is malformed or missing.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse() | h11.Response():
                    if event.status_code not in _STATUSES:
                        self._error = self._error or "malformed status"
                        raise UpstreamError("malformed status", sent=True)
                    head = ResponseHead(
                        status=event.status_code,
                        headers=tuple(event.headers.raw_items()),
                    )
                    if on_head is not None:
                        on_head(head)
                    if isinstance(event, h11.Response):
                        self._ends_with_connection = head.ends_with_connection
                        return head
                case _:
                    raise UpstreamError("no response", sent=True)

    async def read_body_chunk(self) -> bytes | None:
        """Return the next chunk of the body, None at the end of a complete body.

        A chunk that the upstream has sent may be returned in several pieces.

        :raises UpstreamError: the body is truncated or malformed.
        """
        if self._unread_body:
            await self._turn.check()
            return self._take_chunk()
        event = await self._next_event()
        match event:
            case h11.Data(data=data):
                self._unread_body = memoryview(data)
                return self._take_chunk()
            case h11.EndOfMessage():
                if self._ends_with_connection and self._ended_during_request:
                    # An upstream that has not read its request gave up.
                    raise UpstreamError("truncated response", sent=True)
                return None
            case _:
                raise UpstreamError("truncated response", sent=True)

    def _take_chunk(self) -> bytes:
        chunk = bytes(self._unread_body[:MAX_CHUNK_BYTES])
        self._unread_body = self._unread_body[MAX_CHUNK_BYTES:]
        return chunk

    async def read_response(
        self,
        *,
        max_body_bytes: int,
        on_head: Callable[[ResponseHead], None] | None = None,
    ) -> Response:
        """Return a complete response with its body.

        :param on_head: as in :meth:`read_head`.
        :raises UpstreamError: the response is truncated, malformed or too long.
        """
        head = await self.read_head(on_head=on_head)
        body = bytearray()
        while (part := await self.read_body_chunk()) is not None:
            body += part
            if len(body) > max_body_bytes:
                raise UpstreamError("response body is too long", sent=True)
        return Response(status=head.status, headers=head.headers, body=bytes(body))

    async def wait_for_input(self) -> None:
        """Wait until more of the response has arrived, or the connection has ended."""
        await self._input_event.wait()

    def finish_request(self, *, now_s: float) -> bool:
        """Finish a request after its complete response.

        Closes the connection if request data is still unsent or if data follows the
        response.

        :return: whether the connection can carry another request.
        """
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        surplus = bool(self._h11.trailing_data[0])
        unsent = self._has_unsent
        if not (done and self.is_usable) or surplus or unsent:
            self.abort() if unsent else self.close()
            return False
        self._h11.start_next_cycle()
        if self._delivery_watch is not None:
            self._delivery_watch.settle()
        self._request_active = False
        self._buffered_bytes = 0
        self._response_bytes = 0
        if self._account is not None and self._account.reserved_bytes:
            self._account.set_reserved(0)
        self.idle_since_s = now_s
        return True

    @property
    def _has_unsent(self) -> bool:
        """Whether a part of the request was not given to the kernel."""
        return bool(self._unsent) or (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    @property
    def _is_request_incomplete(self) -> bool:
        """Whether the upstream's machine lacks a part of the request."""
        if self._has_unsent:
            return True
        if self._transport is None:
            return False
        connection = self._transport.get_extra_info("socket")
        return connection is not None and bool(count_unacknowledged_bytes(connection))

    def skip_stale_response(self, *, method: bytes, target: bytes) -> bool:
        """Skip a fully read response that belongs to an earlier request.

        The response to the current request is expected after it.

        :return: whether the next response can be read.
        """
        state = self._h11
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            return False
        state.start_next_cycle()
        # The current request has already been sent; this only resets the state of h11.
        state.send(h11.Request(method=method, target=target, headers=[(b"Host", b"-")]))
        state.send(h11.EndOfMessage())
        return True

    def _watch_delivery(self, transport: asyncio.Transport) -> None:
        if self._delivery_watch is None:
            self._delivery_watch = DeliveryWatch(
                transport=transport,
                timeouts=UPSTREAM_TCP_TIMEOUTS,
                on_dead=self._abort_as_dead,
            )
        self._delivery_watch.start()

    def _stop_delivery_watch(self) -> None:
        if self._delivery_watch is not None:
            self._delivery_watch.stop()

    def _abort_as_dead(self) -> None:
        self._error = self._error or "request not acknowledged"
        self.abort()

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError):
            self._error = self._error or "unexpected data"

    async def _next_event(self) -> h11.Event | type[h11.PAUSED] | None:
        while True:
            await self._turn.check()
            self._input_event.clear()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError:
                self._error = self._error or "malformed response"
                raise UpstreamError(self._error, sent=True) from None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise UpstreamError("closed", sent=True)
            if event is not h11.NEED_DATA:
                self._resume_reading()
                assert isinstance(event, h11.Event)
                return event
            self._resume_reading()
            if self._is_lost:
                raise UpstreamError(self._error or "closed", sent=True)
            await self._input_event.wait()

    def _resume_reading(self) -> None:
        self._buffered_bytes = 0
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
            self._charge()


def _make_h11_connection() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)


async def open_connection(
    address: str, *, timeout_s: float, budget: MemoryBudget | None = None
) -> ClientConnection:
    """Connect to an upstream.

    :param address: ``IP:PORT``.
    :param timeout_s: connect timeout in s.
    :param budget: memory budget to which it charges what it holds, None for none.
    :raises UpstreamError: the connection failed.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(budget=budget), host, int(port)
            )
    except TimeoutError:
        raise UpstreamError("connect timeout", sent=False) from None
    except (OSError, ValueError) as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise UpstreamError(
            f"connect failed: {error}", sent=False, refused=refused
        ) from None
    return connection
