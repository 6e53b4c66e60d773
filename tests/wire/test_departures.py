"""Tests that a client that leaves is noticed while its connection is not read."""

import asyncio

import pytest

from lacewinglug.wire.server import MAX_READ_BUFFER_BYTES, EndReason
from tests.wire.test_server import Server

REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
AHEAD = REQUEST * (2 * MAX_READ_BUFFER_BYTES // len(REQUEST))


@pytest.mark.parametrize("resets", [False, True])
async def test_a_client_that_leaves_with_requests_ahead_is_noticed(resets):
    """Guards against runners that go on with the requests of clients that are gone."""

    async def answer_never(exchange):
        await asyncio.Event().wait()

    async with Server(answer_never) as server:
        _, writer = await server.open()
        writer.write(AHEAD)
        while not any(item._reading_paused for item in server.registry.connections):
            await asyncio.sleep(0.01)
        if resets:
            writer.transport.abort()
        else:
            writer.transport.get_extra_info("socket").shutdown(1)
        async with asyncio.timeout(60):
            await server.cancelled.wait()
            reason, unanswered = await server.ends.get()
        assert reason is EndReason.CLIENT_CLOSED
        assert unanswered is not None
        writer.close()


async def test_a_client_that_stays_is_served_after_a_pause():
    """Guards against connections that are closed while reading is paused."""
    answered = asyncio.Event()

    async def answer_late(exchange):
        await answered.wait()
        await Server.respond(None, exchange)

    async with Server(answer_late) as server:
        reader, writer = await server.open()
        writer.write(AHEAD)
        while not server.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.6)
        answered.set()
        assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
        writer.close()
