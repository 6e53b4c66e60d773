"""Scripted upstream on loopback, and helpers to connect to it."""

import asyncio
import contextlib
import ctypes
import socket
import struct

from lacewinglug.wire.client import open_connection

NO_LINGER = struct.pack("ii", 1, 0)
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
"""The socket filter ``BPF_RET | BPF_K`` of 0, which drops each packet."""
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
HEAD = b"HTTP/1.1 200 OK\r\n"


class ScriptedUpstream:
    """Upstream that responds to each request with the next item of a script.

    :param script: response data for each request, in order.
    :param after: handling of the connection after the script: ``keep``, ``close`` or
        ``reset``.
    """

    def __init__(self, *script, after="keep"):
        self.script = list(script)
        self.after = after
        self.received = b""
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        while self.script:
            data = await reader.read(65_536)
            if not data:
                break
            self.received += data
            writer.write(self.script.pop(0))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        if self.after == "close":
            writer.close()
        elif self.after == "reset":
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()


class PausingUpstream:
    """Upstream that does not read after the first part of a request.

    :param pause_s: time until it reads on and responds, in s.
    :param dies: when its machine dies: as soon as it is ``connected``, while its
        receive window is ``closed``, or after it has read the ``body``; None if never.
    """

    def __init__(self, *, pause_s=0.0, dies=None):
        self._pause_s = pause_s
        self._dies = dies
        self._writers = []
        self.accepted = asyncio.Event()
        self.died_s = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        if self._dies == "connected":
            self._die(writer)
            self.accepted.set()
            return
        self.accepted.set()
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        writer.transport.pause_reading()
        await asyncio.sleep(self._pause_s)
        if self._dies == "closed":
            self._die(writer)
            return
        writer.transport.resume_reading()
        await reader.readexactly(size)
        if self._dies == "body":
            self._die(writer)
            return
        writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")

    def _die(self, writer):
        drop_packets(writer.get_extra_info("socket"))
        self.died_s = asyncio.get_running_loop().time()


class FrozenUpstream(PausingUpstream):
    """Upstream whose machine acknowledges nothing for a while, and then responds.

    :param frozen_s: how long.
    :param waits_s: time from the arrival of the request until then, in s; None to
        freeze the machine before it.
    """

    def __init__(self, *, frozen_s, waits_s=None):
        super().__init__()
        self._frozen_s = frozen_s
        self._waits_s = waits_s

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        sock = writer.get_extra_info("socket")
        if self._waits_s is None:
            drop_packets(sock)
            loop = asyncio.get_running_loop()
            loop.call_later(self._frozen_s, keep_packets, sock)
            self.accepted.set()
            await reader.readuntil(b"\r\n\r\n")
        else:
            self.accepted.set()
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(self._waits_s)
            drop_packets(sock)
            await asyncio.sleep(self._frozen_s)
            keep_packets(sock)
        writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")


class SilentUpstream:
    """Upstream whose machine gets no packets for a while, and which then responds.

    :param from_s: when that begins, in s after the connection was accepted.
    :param to_s: when it ends.
    :param respond_s: when the upstream responds.
    """

    def __init__(self, *, from_s, to_s, respond_s):
        self._from_s = from_s
        self._to_s = to_s
        self._respond_s = respond_s
        self._writers = []
        self.accepted = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        sock = writer.get_extra_info("socket")
        if self._from_s == 0.0:
            drop_packets(sock)
        self.accepted.set()
        if self._from_s > 0.0:
            await asyncio.sleep(self._from_s)
            drop_packets(sock)
        await asyncio.sleep(self._to_s - self._from_s)
        keep_packets(sock)
        await asyncio.sleep(self._respond_s - self._to_s)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")


def drop_packets(sock):
    """Let the kernel drop all packets to a socket, as if its machine was dead."""
    code = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def keep_packets(sock):
    """End the effect of :func:`drop_packets`."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


async def connect(upstream):
    """Open a client connection to the upstream."""
    return await open_connection(upstream.address, timeout_s=5.0)


def send_request(connection, *, body=b"", method=b"POST"):
    """Send a request on a client connection."""
    connection.send_request(
        method=method,
        target=b"/a?b=c",
        headers=((b"Host", b"a.example"),),
        body=body,
    )
