"""Scripted upstream on loopback, and helpers to connect to it."""

import asyncio
import contextlib
import socket
import struct

from lacewinglug.wire.client import open_connection

NO_LINGER = struct.pack("ii", 1, 0)
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
