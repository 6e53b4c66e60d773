"""Tests that a connection that has ended leaves nothing to the garbage collector.

The collector may run long after a crowd of clients has left, and what it has yet to
free is in no account.
"""

import asyncio
import gc
import weakref

import pytest

from lacewinglug.memory.budget import MemoryBudget
from lacewinglug.wire.client import open_connection
from lacewinglug.wire.delivery import LONG_REQUEST_BYTES
from lacewinglug.wire.messages import Response
from lacewinglug.wire.server import ConnectionRegistry
from tests.wire.test_server import Server

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
INCOMPLETE = HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(100_000)
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n10000\r\n" + bytes(50_000)
COMPLETE = HEAD + b"Content-Length: 50000\r\n\r\n" + bytes(50_000)


@pytest.fixture(autouse=True)
def no_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


async def answer_never(exchange):
    """Wait as for a runner that does not answer, with a limit on the time."""
    limit = asyncio.timeout(60.0)
    async with limit:
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    "data", [b"", INCOMPLETE, CHUNKS, COMPLETE, COMPLETE + COMPLETE]
)
async def test_a_client_that_leaves_is_forgotten(data):
    """Guards against cycles through the account or the cancelled task."""
    async with Server(answer_never) as server:
        server.registry.budget = MemoryBudget(limit_bytes=10_000_000)
        _, writer = await server.open()
        writer.write(data)
        await wait_until(lambda: server.registry.connections)
        found = weakref.ref(next(iter(server.registry.connections)))
        await wait_until(lambda: found()._input_bytes >= min(1, len(data)))
        await asyncio.sleep(0.05)
        assert server.registry.budget.charged_bytes
        writer.transport.abort()
        await asyncio.wait_for(server.ends.get(), timeout=60)
        await wait_until(lambda: not server.registry.tasks)
        assert server.registry.budget.charged_bytes == 0
        assert found() is None


async def test_a_client_that_leaves_while_memory_is_short_is_forgotten():
    """Guards against connections that wait to be read and have ended."""
    async with Server(answer_never) as server:
        budget = server.registry.budget = MemoryBudget(limit_bytes=10_000_000)
        _, writer = await server.open()
        writer.write(INCOMPLETE)
        await wait_until(lambda: server.registry.connections)
        found = weakref.ref(next(iter(server.registry.connections)))
        # Others hold the whole budget, and go on to do so.
        budget.charged_bytes += budget.limit_bytes
        await wait_until(lambda: found()._reading_paused)
        writer.transport.abort()
        await asyncio.wait_for(server.ends.get(), timeout=60)
        await wait_until(lambda: not server.registry.tasks)
        assert found() is None


async def test_a_client_whose_responses_are_complete_is_forgotten():
    """Guards against cycles that only the end of the task leaves."""
    async with Server() as server:
        reader, writer = await server.open()
        writer.write(HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
        await wait_until(lambda: server.registry.connections)
        found = weakref.ref(next(iter(server.registry.connections)))
        await reader.read()
        writer.close()
        await wait_until(lambda: not server.registry.tasks)
        await wait_until(lambda: not server.registry.connections)
        assert found() is None


async def test_an_upstream_connection_with_a_long_request_is_forgotten():
    """Guards against a cycle through the watch of the delivery."""

    async def respond(_request, exchange):
        await exchange.respond(Response(status=200))

    registry = ConnectionRegistry(handler=respond, limits=Server().registry.limits)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(registry.make_connection, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await open_connection(f"127.0.0.1:{port}", timeout_s=60.0)
    connection.send_request(
        method=b"POST",
        target=b"/a",
        headers=((b"Host", b"a"),),
        body=bytes(2 * LONG_REQUEST_BYTES),
    )
    await connection.read_response(max_body_bytes=1_000)
    connection.abort()
    found = weakref.ref(connection)
    del connection
    for _ in range(3):
        await asyncio.sleep(0.01)
    assert found() is None
    server.close()
