"""Tests that connections take turns with the requests that clients send ahead."""

import asyncio

from lacewinglug.memory.descriptors import ConnectionLimit
from lacewinglug.wire.messages import Response
from lacewinglug.wire.server import ClientLimits, ConnectionRegistry
from tests.wire.memory import MemoryTransport

REQUEST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"
COUNT = 50


class Handled:
    """Handler that responds at once, and records the order of requests."""

    def __init__(self, **fields):
        self.targets = []
        self.registry = ConnectionRegistry(
            handler=self.handle, limits=ClientLimits, **fields
        )

    async def handle(self, request, exchange):
        self.targets.append(request.target)
        await exchange.respond(Response(status=200))

    def connect(self):
        return MemoryTransport(self.registry.make_connection())

    async def wait_for(self, count):
        while len(self.targets) < count:
            await asyncio.sleep(0)


async def test_one_request_is_handled_in_a_turn_of_the_event_loop():
    """Guards against connections that keep the event loop to themselves."""
    handled = Handled()
    for _ in range(3):
        handled.connect().receive((REQUEST % b"a") * COUNT)
    turns = 0
    while len(handled.targets) < 3 * COUNT:
        before = len(handled.targets)
        await asyncio.sleep(0)
        turns += 1
        # The first request of each connection has not waited.
        assert len(handled.targets) - before <= (3 if before == 0 else 1)


async def test_a_request_on_another_connection_goes_first():
    """Guards against callers that wait behind all requests that were sent ahead."""
    handled = Handled()
    for _ in range(3):
        handled.connect().receive((REQUEST % b"a") * COUNT)
    await handled.wait_for(10)
    handled.connect().receive(REQUEST % b"b")
    while b"/b" not in handled.targets:
        await asyncio.sleep(0)
    assert handled.targets.index(b"/b") < 20


async def test_the_connections_take_equal_parts():
    """Guards against connections that are served before others again and again."""
    handled = Handled()
    for name in (b"a", b"b", b"c"):
        handled.connect().receive((REQUEST % name) * COUNT)
    await handled.wait_for(30)
    for name in (b"/a", b"/b", b"/c"):
        assert 9 <= handled.targets[:30].count(name) <= 11


async def test_no_request_is_handled_after_its_client_has_left():
    """Guards against work for clients that are gone."""
    handled = Handled()
    transport = handled.connect()
    transport.receive((REQUEST % b"a") * COUNT)
    await handled.wait_for(5)
    transport.close()
    count = len(handled.targets)
    for _ in range(COUNT):
        await asyncio.sleep(0)
    assert len(handled.targets) == count


async def test_a_connection_with_requests_ahead_is_closed_for_a_new_one():
    """Guards against callers that are shut out while requests wait for their turn."""
    limit = ConnectionLimit(kind="clients", max_count=2)
    handled = Handled(connection_limit=limit)
    crowd = [handled.connect() for _ in range(2)]
    for transport in crowd:
        transport.receive((REQUEST % b"a") * COUNT)
    await handled.wait_for(5)
    handled.connect().receive(REQUEST % b"b")
    while b"/b" not in handled.targets:
        await asyncio.sleep(0)
    assert sum(transport.closed for transport in crowd) == 1
