"""Crowds of clients that hold as much of a host as they can."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass

from tests.platform.scene import encode_request

SEND_TIME_S = 5.0
"""Time in which a crowd sends; what the host has not read by then is not sent."""
STALL_S = 0.5
"""Time without progress after which a crowd sends no more."""
PIECE_BYTES = 65_536
READ_BYTES = 65_536
STATUS_LINE_START = b"HTTP/1.1 "
SMALL_BUFFER_BYTES = 4_096
"""Receive buffer of a client that does not read, so that its kernel holds little."""
DEADLINE = {"X-Lacewinglug-Deadline-Ms": 30_000}


@dataclass(frozen=True, kw_only=True)
class Sending:
    """What one client of a crowd sends; its connection stays open afterwards.

    :param data: everything that it sends.
    :param piece_bytes: size of the pieces, between which it lets others run.
    """

    data: memoryview
    piece_bytes: int = 1_048_576


def make_head(*, length=None):
    """Return the head of a plain call with a body that follows.

    :param length: length that the head announces, None for chunks.
    """
    framing = {"Transfer-Encoding": "chunked"}
    if length is not None:
        framing = {"Content-Length": length}
    return encode_request("/status/1", body=b"", headers=DEADLINE | framing)


def make_chunked_body(*, body_bytes, chunk_bytes, ends=True):
    """Return a body in equal chunks.

    :param ends: whether the last chunk follows.
    """
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (body_bytes // chunk_bytes) + (b"0\r\n\r\n" if ends else b"")


def make_calls_ahead(count, *, path="/status/1", method="POST", body=b"", **headers):
    """Return equal requests that a client sends one after another without waiting.

    They lack the headers that the system expects of its callers.
    """
    framing = {"Content-Length": len(body)} if body else {}
    lines = "".join(f"{key}: {value}\r\n" for key, value in (headers | framing).items())
    head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{lines}\r\n"
    return (head.encode() + body) * count


@dataclass(kw_only=True)
class ResponseCount:
    """Counts the responses that the clients of a crowd receive.

    :param count: responses so far.
    """

    count: int = 0

    async def read(self, connection):
        """Read responses until the end of the connection."""
        loop = asyncio.get_running_loop()
        tail = b""
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(connection, READ_BYTES):
                data = tail + data
                self.count += data.count(STATUS_LINE_START)
                tail = data[-len(STATUS_LINE_START) + 1 :]


class Crowd:
    """Clients whose connections stay open until the end of a test.

    :param address: host and port that they connect to.
    """

    def __init__(self, address):
        self._address = address
        self._sockets = []
        self._sent_bytes = 0

    async def send(self, sendings, *, receive_buffer_bytes=None):
        """Connect a client for each sending, and send all of them at once."""
        tasks = [
            asyncio.create_task(self._send_one(item, receive_buffer_bytes))
            for item in sendings
        ]
        try:
            await asyncio.wait(tasks, timeout=SEND_TIME_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def send_until_stalled(self, sendings, *, receive_buffer_bytes=None):
        """Send as above, until the host has taken nothing more for a while."""
        sending = asyncio.create_task(
            self.send(sendings, receive_buffer_bytes=receive_buffer_bytes)
        )
        sent_bytes = -1
        while not sending.done() and sent_bytes != self._sent_bytes:
            sent_bytes = self._sent_bytes
            await asyncio.wait([sending], timeout=STALL_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def counting_responses(self):
        """Return the responses, which all clients read until the end of the context."""
        responses = ResponseCount()
        tasks = [
            asyncio.create_task(responses.read(connection))
            for connection in self._sockets
        ]
        try:
            yield responses
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        """Close all connections."""
        for item in self._sockets:
            item.close()
        self._sockets.clear()

    async def _send_one(self, sending, receive_buffer_bytes):
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        if receive_buffer_bytes is not None:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._sockets.append(connection)
        # The host may refuse a client, or close its connection.
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, self._address)
            for start in range(0, len(sending.data), sending.piece_bytes):
                end = start + sending.piece_bytes
                await loop.sock_sendall(connection, sending.data[start:end])
                self._sent_bytes += sending.piece_bytes
                await asyncio.sleep(0)


@contextlib.contextmanager
def crowd_of(host, *, address=None):
    """Return a crowd that is closed at the end of the context.

    :param host: the host that it connects to.
    :param address: host and port of one of its listeners, that for clients if None.
    """
    crowd = Crowd(host.client_address if address is None else address)
    try:
        yield crowd
    finally:
        crowd.close()
