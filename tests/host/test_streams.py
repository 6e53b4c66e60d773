"""Streams without a length or chunks, whose responses end with their connection."""

import asyncio

import pytest

from tests.host.hosting import running_host
from tests.platform.scene import HostTestbed
from tests.platform.standin import FakeRunner

EVENTS = (b"id: 1\ndata: w1\n\n", b"id: 2\ndata: w2\n\n", b"id: 3\ndata: w3\n\n")


class UnframedEngine(FakeRunner):
    """Fake engine that sends a part of its stream without framing, then closes.

    :param sent: bytes of the body.
    """

    def __init__(self, instance, sent):
        super().__init__(instance, "llm", stage="decode")
        self.sent = sent

    async def stream(self, request, exchange):
        headers = self.response_headers(request)
        lines = b"".join(b"%s: %s\r\n" % item for item in headers)
        exchange._transport.write(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + self.sent)
        exchange.close()
        await asyncio.sleep(600)


async def send_to(*engines, path):
    """Send a prompt to a host with the given engines and return the response."""
    testbed = await HostTestbed().open(*engines)
    try:
        async with running_host(testbed.settings):
            await testbed.wait_until_ready()
            return await testbed.send_request(path)
    finally:
        testbed.close()


async def test_unframed_stream_is_complete():
    response = await send_to(UnframedEngine("e-1", b"".join(EVENTS)), path="/notes/x")
    assert (response.status, response.complete) == (200, True)
    assert response.body == b"".join(EVENTS)


# Guards against a broken stream that looks complete to the client.
@pytest.mark.parametrize("sent", [EVENTS[0] + EVENTS[1][:-2], EVENTS[0] + b"id: 2\nda"])
async def test_stream_that_ends_inside_an_event_is_cut(sent):
    response = await send_to(UnframedEngine("e-1", sent), path="/notes/x")
    assert response.status == 200
    assert not response.complete
    assert response.body == EVENTS[0]


# Guards against an engine that crashed before its first event and counts as done.
async def test_unframed_stream_without_an_event_is_not_complete():
    response = await send_to(UnframedEngine("e-1", b""), path="/notes/x")
    assert response.status == 502


async def test_stream_that_ends_inside_an_event_is_resumed():
    engines = (
        UnframedEngine("e-1", EVENTS[0] + EVENTS[1][:-1]),
        UnframedEngine("e-2", EVENTS[0] + EVENTS[1][:-1]),
    )
    for engine in engines:
        engine.stream = _make_resuming(engine)
    response = await send_to(*engines, path="/ask/x")
    assert (response.status, response.complete) == (200, True)
    assert response.body == b"".join(EVENTS)


def _make_resuming(engine):
    """Let an engine break off a new stream and complete a resumed one."""
    break_off = engine.stream

    async def stream(request, exchange):
        resumed = any(name.lower() == b"last-event-id" for name, _ in request.headers)
        if resumed:
            await FakeRunner.stream(engine, request, exchange)
        else:
            await break_off(request, exchange)

    return stream
