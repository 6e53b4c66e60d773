"""Server side of an HTTP/1.1 connection, with h11 for the framing."""

import asyncio
import contextlib
import http
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import h11

from lacewinglug.wire.messages import Headers, Request, Response, header_values
from lacewinglug.wire.sockets import CLIENT_BOUNDS, bound_transport

logger = logging.getLogger(__name__)

READ_AHEAD_BYTES = 262_144
"""Bytes kept of requests that follow the current one before reading pauses."""


@dataclass(kw_only=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    :param header_bytes: most bytes of a request head.
    :param body_bytes: most bytes of a body.
    :param header_timeout_s: longest time from the first byte to the whole head.
    :param idle_timeout_s: longest time without a byte, in s.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange(Protocol):
    """The answer to one request, as the handler writes it."""

    async def respond(self, response: Response) -> None:
        """Send a whole response."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response of unknown length."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body and wait while the client does not read."""

    async def finish(self) -> None:
        """End the body."""

    def abort(self) -> None:
        """End the connection so that the answer does not look complete."""


Handler = Callable[[Request, Exchange], Awaitable[None]]


class BadRequestError(Exception):
    """A request that is answered without being passed on.

    :param status: status of the answer.
    :param reason: what is wrong, with the remedy.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(kw_only=True)
class ConnectionRegistry:
    """Owns the open client connections of a listener.

    :param handler: called once for each request.
    :param limits: returns the limits in force.
    :param closing: whether every answer ends its connection.
    """

    handler: Handler
    limits: Callable[[], ClientLimits]
    closing: bool = False
    connections: set["ServerConnection"] = field(default_factory=set)

    def make_connection(self) -> "ServerConnection":
        """Return the protocol object of a new connection."""
        return ServerConnection(registry=self)

    @property
    def busy(self) -> int:
        """Number of connections with a request that has begun."""
        return sum(1 for item in self.connections if item.busy)

    def close_idle(self) -> None:
        """End the connections on which no request has begun."""
        for item in list(self.connections):
            if not item.busy:
                item.close()


class ServerConnection(asyncio.Protocol):
    """Reads requests of one client and hands them to the handler in turn.

    :param registry: listener that it belongs to.
    """

    def __init__(self, *, registry: ConnectionRegistry) -> None:
        self._registry = registry
        self._limits = registry.limits()
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._loop = asyncio.get_running_loop()
        self._first_byte_s = 0.0
        self._in_request = False
        self._unread_bytes = 0
        self._paused = False

    @property
    def busy(self) -> bool:
        """Whether a request has begun and is not answered yet."""
        return self._in_request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        bound_transport(transport, CLIENT_BOUNDS)
        self._registry.connections.add(self)
        self._task = self._loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Take bytes of the client."""
        if not self._in_request:
            self._in_request = True
            self._first_byte_s = self._loop.time()
        self._feed(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_AHEAD_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._arrived.set()

    def eof_received(self) -> bool:
        """Treat the end of the client's side as its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for the client."""
        self._registry.connections.discard(self)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold the handler while the client does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the handler go on."""
        self._writable.set()

    def close(self) -> None:
        """End the connection after what has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def respond(self, response: Response) -> None:
        """Send a whole response."""
        headers = [*response.headers, (b"Content-Length", b"%d" % len(response.body))]
        closing = response.close or self._registry.closing
        if closing:
            headers.append((b"Connection", b"close"))
        self._send(_head(response.status, headers))
        if response.body:
            self._send(h11.Data(data=response.body))
        self._send(h11.EndOfMessage())
        await self._writable.wait()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response of unknown length."""
        closing = ((b"Connection", b"close"),) if self._registry.closing else ()
        self._send(_head(status, [*headers, *closing]))

    async def write(self, data: bytes) -> None:
        """Send a part of the body and wait while the client does not read."""
        self._send(h11.Data(data=data))
        await self._writable.wait()

    async def finish(self) -> None:
        """End the body."""
        self._send(h11.EndOfMessage())
        await self._writable.wait()

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            logger.info("client sent bytes after its last request: %s", error)
            self.close()

    def _send(self, event: h11.Event) -> None:
        data = self._h11.send(event)
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("a client connection ended by an internal error")
            self.abort()
        finally:
            self.close()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await self._read_request()
        except BadRequestError as error:
            await self._reject(error)
            return False
        if request is None:
            return False
        await self._registry.handler(request, self)
        return self._start_next()

    def _start_next(self) -> bool:
        ours, theirs = self._h11.our_state, self._h11.their_state
        if ours is not h11.DONE or theirs is not h11.DONE:
            if ours not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
                self.abort()
            return False
        self._h11.start_next_cycle()
        left = len(self._h11.trailing_data[0])
        self._in_request = left > 0
        self._unread_bytes = left
        self._first_byte_s = self._loop.time()
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return True

    async def _reject(self, error: BadRequestError) -> None:
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        logger.info(
            "request rejected before routing",
            extra={"status": error.status, "reason": error.reason},
        )
        body = f"{error.reason}\n".encode()
        with contextlib.suppress(h11.LocalProtocolError):
            await self.respond(Response(status=error.status, body=body, close=True))

    async def _read_request(self) -> Request | None:
        head = await self._next_event(self._head_wait_s, timeout_status=408)
        if not isinstance(head, h11.Request):
            return None
        _check_framing(tuple(head.headers.raw_items()))
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while True:
            event = await self._next_event(self._body_wait_s, timeout_status=408)
            match event:
                case h11.Data(data=data):
                    body += data
                    self._unread_bytes = 0
                    if len(body) > self._limits.body_bytes:
                        raise BadRequestError(413, "the body is too long; send less")
                case h11.EndOfMessage():
                    break
                case _:
                    return None
        return Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(head.headers.raw_items()),
            body=bytes(body),
            received_s=self._first_byte_s,
        )

    def _head_wait_s(self) -> float:
        limits = self._limits
        if not self._in_request:
            return limits.idle_timeout_s
        passed_s = self._loop.time() - self._first_byte_s
        return limits.header_timeout_s - passed_s

    def _body_wait_s(self) -> float:
        return self._limits.idle_timeout_s

    async def _next_event(
        self, wait_s: Callable[[], float], *, timeout_status: int
    ) -> h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA] | None:
        """Return the next event, None where the connection was idle too long."""
        while True:
            self._arrived.clear()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            if self._paused and self._transport is not None:
                self._paused = False
                self._transport.resume_reading()
            began = self._in_request
            try:
                async with asyncio.timeout(wait_s()):
                    await self._arrived.wait()
            except TimeoutError:
                if not began and not self._in_request:
                    return None
                if began:
                    reason = "the request did not arrive in time; send it again"
                    raise BadRequestError(timeout_status, reason) from None


def _check_framing(headers: Headers) -> None:
    """Reject heads that two parsers could read differently.

    :raises BadRequestError: the framing is ambiguous.
    """
    codings = header_values(headers, b"transfer-encoding")
    lengths = header_values(headers, b"content-length")
    if codings and lengths:
        raise BadRequestError(400, "send a length or a transfer coding, not both")
    if len(lengths) > 1:
        raise BadRequestError(400, "send one Content-Length")


def _head(status: int, headers: list[tuple[bytes, bytes]]) -> h11.Response:
    try:
        reason = http.HTTPStatus(status).phrase.encode()
    except ValueError:
        reason = b""
    return h11.Response(status_code=status, headers=headers, reason=reason)
