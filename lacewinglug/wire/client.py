"""Client side of an HTTP/1.1 connection, with h11 for the framing."""

import asyncio
from collections.abc import Sequence

import h11

from lacewinglug.wire.messages import Headers, Response, ResponseHead
from lacewinglug.wire.sockets import UPSTREAM_BOUNDS, bound_transport

READ_AHEAD_BYTES = 262_144
"""Bytes kept of an answer before reading pauses."""
MAX_HEAD_BYTES = 32_768
"""Longest head of an answer, twice what clients may send."""


class UpstreamError(Exception):
    """An exchange with an upstream did not come to a good end.

    :param sent: whether a byte of the request was handed to the kernel.
    :param reason: what was seen, as a short word for logs and counters.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class ClientConnection(asyncio.Protocol):
    """Owns one connection to an upstream and runs one exchange at a time."""

    def __init__(self) -> None:
        self._h11 = _new_state()
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._lost = False
        self._broken: str | None = None
        self._unread_bytes = 0
        self._paused = False
        self._exchange = False
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        bound_transport(transport, UPSTREAM_BOUNDS)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the upstream."""
        if not self._exchange:
            # Nothing was asked, so the bytes belong to no request.
            self._broken = "unasked bytes"
            self.abort()
            return
        self._feed(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_AHEAD_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._arrived.set()

    def eof_received(self) -> bool:
        """Take the orderly end of the upstream's bytes."""
        self._feed(b"")
        self._arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._lost = True
        if exc is not None:
            self._broken = self._broken or "reset"
        self._arrived.set()

    @property
    def usable(self) -> bool:
        """Whether another exchange may begin."""
        return not self._lost and self._broken is None and not self._closing

    @property
    def _closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """End the connection."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once, so that the upstream stops its work."""
        if self._transport is not None:
            self._transport.abort()

    def send_request(
        self, *, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request.

        :raises UpstreamError: the connection had ended before.
        """
        if not self.usable or self._transport is None:
            raise UpstreamError(self._broken or "closed while idle", sent=False)
        framing: Sequence[tuple[bytes, bytes]] = ()
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framing = ((b"Content-Length", b"%d" % len(body)),)
        request = h11.Request(
            method=method, target=target, headers=[*headers, *framing]
        )
        self._exchange = True
        parts = [self._h11.send(request) or b""]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        self._transport.write(b"".join(parts))

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer.

        :raises UpstreamError: the answer is not readable or does not come.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    headers = tuple(event.headers.raw_items())
                    return ResponseHead(status=event.status_code, headers=headers)
                case _:
                    raise UpstreamError("no answer", sent=True)

    async def read_body(self) -> bytes | None:
        """Return the next part of the body, None at its proper end.

        :raises UpstreamError: the body is cut or not readable.
        """
        event = await self._next_event()
        match event:
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                return None
            case _:
                raise UpstreamError("the answer was cut", sent=True)

    async def read_whole(self, *, most_bytes: int) -> Response:
        """Return a whole answer.

        :raises UpstreamError: it is cut, not readable or too long.
        """
        head = await self.read_head()
        body = bytearray()
        while (part := await self.read_body()) is not None:
            body += part
            if len(body) > most_bytes:
                raise UpstreamError("the answer is too long", sent=True)
        return Response(status=head.status, headers=head.headers, body=bytes(body))

    def end_exchange(self, *, now_s: float) -> bool:
        """End an exchange whose answer is whole; return whether another may follow.

        A connection with unsent request bytes or surplus answer bytes is closed.
        """
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        surplus = bool(self._h11.trailing_data[0])
        unsent = (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )
        if not (done and self.usable) or surplus or unsent:
            self.abort() if unsent else self.close()
            return False
        self._h11.start_next_cycle()
        self._exchange = False
        self._unread_bytes = 0
        self.idle_since_s = now_s
        return True

    def skip_stray_answer(self, *, method: bytes, target: bytes) -> bool:
        """Step over an answer to an earlier request, once it was read whole.

        The answer to the present request is expected behind it.

        :return: whether reading may go on.
        """
        state = self._h11
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            return False
        state.start_next_cycle()
        # The request is on its way; the framing state alone is set up again.
        state.send(h11.Request(method=method, target=target, headers=[(b"Host", b"-")]))
        state.send(h11.EndOfMessage())
        return True

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError):
            self._broken = self._broken or "unreadable bytes"

    async def _next_event(self) -> h11.Event | type[h11.PAUSED] | None:
        while True:
            self._arrived.clear()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError:
                self._broken = self._broken or "unreadable answer"
                raise UpstreamError(self._broken, sent=True) from None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise UpstreamError("closed", sent=True)
            if event is not h11.NEED_DATA:
                self._note_read()
                assert isinstance(event, h11.Event)
                return event
            self._note_read()
            if self._lost:
                raise UpstreamError(self._broken or "closed", sent=True)
            await self._arrived.wait()

    def _note_read(self) -> None:
        self._unread_bytes = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()


def _new_state() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


async def open_connection(address: str, *, timeout_s: float) -> ClientConnection:
    """Connect to an upstream.

    :param address: ``IP:PORT``.
    :param timeout_s: longest time to connect, in s.
    :raises UpstreamError: it cannot be reached.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                ClientConnection, host, int(port)
            )
    except TimeoutError:
        raise UpstreamError("connect timeout", sent=False) from None
    except (OSError, ValueError) as error:
        raise UpstreamError(f"connect failed: {error}", sent=False) from None
    return connection
