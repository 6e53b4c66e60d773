"""The relay disturbs a path as it is told."""

import asyncio
import contextlib

from lacewinglug.standin.relay import PathState, TcpRelay
from tests.platform.scene import free_ports

SHORT_S = 0.3


@contextlib.asynccontextmanager
async def echo_path():
    """Yield a relay to an echoing server, and the bytes that this received."""
    received = bytearray()

    async def echo(reader, writer):
        while data := await reader.read(100):
            received.extend(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    (port,) = free_ports("127.0.0.1", 1)
    target = server.sockets[0].getsockname()[1]
    relay = TcpRelay(port=port, target_port=target)
    await relay.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield relay, received, reader, writer
    finally:
        writer.close()
        await relay.stop()
        server.close()


async def read_soon(reader):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SHORT_S):
            return await reader.read(100)
    return None


async def test_an_open_path_passes_bytes_both_ways():
    async with echo_path() as (_, _, reader, writer):
        writer.write(b"hi")
        assert await reader.read(100) == b"hi"


async def test_no_answer_comes_back_one_way():
    async with echo_path() as (relay, received, reader, writer):
        relay.state = PathState.ONE_WAY
        writer.write(b"hi")
        while bytes(received) != b"hi":
            await asyncio.sleep(0.01)
        assert await read_soon(reader) is None


async def test_a_silent_path_swallows_all():
    async with echo_path() as (relay, received, reader, writer):
        relay.state = PathState.SILENT
        writer.write(b"hi")
        assert await read_soon(reader) is None
        assert bytes(received) == b""


async def test_a_slow_path_holds_bytes_up_and_loses_none():
    async with echo_path() as (relay, _, reader, writer):
        relay.delay_s = SHORT_S
        writer.write(b"hi")
        assert await read_soon(reader) is None
        assert await reader.read(100) == b"hi"


async def test_a_cut_ends_connections():
    async with echo_path() as (relay, _, reader, _):
        await asyncio.sleep(0.05)
        relay.cut_open_connections()
        assert await reader.read(100) == b""
