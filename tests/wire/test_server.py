"""Tests that the server handles only complete and unambiguous requests."""

import asyncio
import time

import pytest

from lacewinglug.wire.messages import Response, end_to_end_headers
from lacewinglug.wire.server import ClientLimits, ConnectionRegistry, EndReason
from tests.turns import MAX_TURN_CPU_S, measure_longest_turn
from tests.wire.memory import MemoryTransport

POST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
IDLE_S = 0.3
LONG_HEAD = b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + 99 * b"x" + b"\r\n\r\n"


class Server:
    """Server on loopback that records requests and responds with a function."""

    def __init__(self, responder=None, **limits):
        self.requests = []
        self.cancelled = asyncio.Event()
        self.responder = responder or self.respond
        self.ends = asyncio.Queue()
        self.registry = ConnectionRegistry(
            handler=self.handle,
            limits=lambda: ClientLimits(**limits),
            on_end=lambda *end: self.ends.put_nowait(end),
        )

    async def respond(self, exchange):
        await exchange.respond(Response(status=200, body=b"done"))

    async def handle(self, request, exchange):
        self.requests.append(request)
        try:
            await self.responder(exchange)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.registry.make_connection, "127.0.0.1", 0
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, data):
        """Send data and return everything up to the end of the connection."""
        reader, writer = await self.open()
        writer.write(data)
        return await reader.read()


def status(data):
    return int(data.split(b" ", 2)[1])


@pytest.mark.parametrize(
    "data",
    [
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: two\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost : a\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    ],
)
async def test_ambiguous_framing_is_rejected(data):
    async with Server() as server:
        response = await server.exchange(data)
        assert status(response) == 400
        assert server.requests == []


async def test_chunked_body_and_pipelined_requests():
    chunked = (
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"
    )
    async with Server() as server:
        reader, writer = await server.open()
        writer.write(chunked + POST)
        for _ in range(2):
            head = await reader.readuntil(b"\r\n\r\n")
            assert status(head) == 200
            assert await reader.readexactly(4) == b"done"
        assert [request.body for request in server.requests] == [b"hi", b"hi"]
        writer.close()


async def test_oversized_requests_are_rejected():
    async with Server(max_header_bytes=200, max_body_bytes=10) as server:
        long_head = b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 500
        assert status(await server.exchange(long_head)) == 431
        long_body = POST.replace(b": 2", b": 11") + b"x" * 9
        assert status(await server.exchange(long_body)) == 413
        assert server.requests == []


# Regression test: the connection was closed with unread data, so that it was reset and
# the client lost the refusal.
@pytest.mark.parametrize("size", [150_000, 2_000_000])
async def test_a_client_that_is_still_sending_can_read_its_refusal(size):
    async with Server(max_body_bytes=100_000) as server:
        for _ in range(5):
            reader, writer = await server.open()
            writer.write(POST.replace(b": 2", b": %d" % size) + b"x" * (size - 2))
            assert status(await reader.read()) == 413
            writer.close()
        assert server.requests == []


async def test_a_rejected_client_that_sends_without_end_is_disconnected():
    async with Server(max_body_bytes=10) as server, asyncio.timeout(30):
        _, writer = await server.open()
        writer.write(POST.replace(b": 2", b": 999999999"))
        while server.ends.empty():
            writer.write(b"x" * 1000)
            await asyncio.sleep(0.05)
        assert server.ends.get_nowait() == (EndReason.REJECTED, None)
        writer.close()


async def test_timeouts_of_slow_headers_and_idle_connections():
    async with Server(header_timeout_s=0.1, idle_timeout_s=0.1) as server:
        assert status(await server.exchange(b"GET /a HT")) == 408
        assert await server.exchange(b"") == b""


async def test_a_kept_connection_follows_a_raised_idle_limit():
    """Regression test: it was closed at the limit of the time when it was made, under
    clients that rely on the new one."""
    limits = {"idle_timeout_s": 0.3}
    async with Server() as server:
        server.registry.limits = lambda: ClientLimits(**limits)
        reader, writer = await server.open()
        for _ in range(2):
            writer.write(POST)
            assert status(await reader.readuntil(b"\r\n\r\n")) == 200
            await reader.readexactly(4)
            limits["idle_timeout_s"] = 15.0
            await asyncio.sleep(0.6)
        assert not reader.at_eof()
        writer.close()


# Guards against refusing requests on kept connections by limits of a former version.
@pytest.mark.parametrize(
    ("limit", "before", "data"),
    [
        ("max_body_bytes", 1, POST),
        ("max_header_bytes", 60, LONG_HEAD),
    ],
    ids=["body", "header"],
)
@pytest.mark.parametrize("while_idle", [True, False])
async def test_a_kept_connection_follows_a_raised_size_limit(
    limit, before, data, while_idle
):
    limits = {limit: before}

    async def respond(exchange):
        if not while_idle:
            limits[limit] = 1000
        await exchange.respond(Response(status=200, body=b"done"))

    async with Server(respond) as server:
        server.registry.limits = lambda: ClientLimits(**limits)
        reader, writer = await server.open()
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        assert status(await reader.readuntil(b"done")) == 200
        limits[limit] = 1000
        writer.write(data[:-1])
        await asyncio.sleep(0.05)
        writer.write(data[-1:])
        assert status(await reader.readuntil(b"done")) == 200
        writer.close()


# Guards against losing what a client sends ahead when the limits change.
async def test_a_changed_header_limit_keeps_a_request_that_was_sent_ahead():
    limits = {"max_header_bytes": 500}

    async def respond(exchange):
        limits["max_header_bytes"] += 100
        await exchange.respond(Response(status=200, body=b"done"))

    async with Server(respond) as server:
        server.registry.limits = lambda: ClientLimits(**limits)
        reader, writer = await server.open()
        writer.write(POST + LONG_HEAD + POST)
        for _ in range(3):
            assert status(await reader.readuntil(b"done")) == 200
        writer.close()
    assert [item.method for item in server.requests] == [b"POST", b"GET", b"POST"]


async def test_a_lowered_idle_limit_holds_after_the_next_response():
    limits = {"idle_timeout_s": 1.0}
    async with Server() as server:
        server.registry.limits = lambda: ClientLimits(**limits)
        reader, writer = await server.open()
        await asyncio.sleep(0.1)
        limits["idle_timeout_s"] = 0.2
        await asyncio.sleep(0.4)
        writer.write(POST)
        assert status(await reader.readuntil(b"\r\n\r\n")) == 200
        started_s = asyncio.get_running_loop().time()
        assert await reader.read() == b"done"
        assert asyncio.get_running_loop().time() - started_s < 0.9
        writer.close()


async def test_handler_is_cancelled_when_the_client_disconnects():
    async def wait(_exchange):
        await asyncio.sleep(60)

    async with Server(wait) as server:
        _, writer = await server.open()
        writer.write(POST)
        while not server.requests:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(30):
            await server.cancelled.wait()


async def test_aborted_response_is_truncated():
    async def cut(exchange):
        await exchange.start_response(200, ())
        await exchange.write(b"part")
        await asyncio.sleep(0.05)
        exchange.abort()

    async with Server(cut) as server:
        reader, writer = await server.open()
        writer.write(POST)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"\r\n0\r\n\r\n")


async def test_a_response_to_head_has_no_body_and_keeps_the_connection():
    """Regression test: a refusal of a HEAD request was aborted, as it has a body."""
    head = POST.replace(b"POST", b"HEAD").replace(b": 2\r\n\r\nhi", b": 0\r\n\r\n")
    async with Server() as server, asyncio.timeout(30):
        reader, writer = await server.open()
        for _ in range(2):
            writer.write(head)
            response = await reader.readuntil(b"\r\n\r\n")
            assert status(response) == 200
            assert b"Content-Length: 4" in response
        writer.write(POST)
        assert status(await reader.readuntil(b"\r\n\r\n")) == 200
        assert await reader.readexactly(4) == b"done"


async def test_closing_server_closes_connections_after_the_response():
    async with Server() as server:
        server.registry.close_after_response = True
        response = await server.exchange(POST)
        assert b"connection: close" in response.lower()


# Guards against a reset in place of an answer to a request that had arrived.
async def test_a_stopping_server_answers_a_request_that_it_has_yet_to_read():
    async with Server() as server:
        reader, writer = await server.open()
        writer.write(POST)
        assert status(await reader.readuntil(b"done")) == 200
        server.registry.close_after_response = True
        writer.get_extra_info("socket")._sock.send(POST)
        server.registry.close_idle()
        response = await reader.read()
        writer.close()
    assert status(response) == 200
    assert b"connection: close" in response.lower()
    assert response.endswith(b"done")


# Guards against the same at the idle limit of a busy host, which reads late.
async def test_a_request_that_has_arrived_at_the_idle_limit_is_answered():
    async with Server(idle_timeout_s=IDLE_S) as server:
        reader, writer = await server.open()
        client = writer.get_extra_info("socket")._sock
        loop = asyncio.get_running_loop()
        # The event loop is busy until after the limit, and when it looks again, the
        # request arrives together with the end of the limit.
        loop.call_later(IDLE_S - 0.1, time.sleep, 0.3)
        loop.call_later(IDLE_S + 0.1, client.send, POST)
        response = await reader.read()
        writer.close()
    assert status(response) == 200
    assert response.endswith(b"done")


async def test_handler_error_is_answered_and_closes_only_its_connection():
    """Regression test: the connection was aborted without an answer."""
    async with Server(_fail) as server:
        response = await server.exchange(POST)
        assert status(response) == 500
        assert b"connection: close" in response.lower()
        server.responder = server.respond
        reader, writer = await server.open()
        writer.write(POST)
        assert status(await reader.readuntil(b"\r\n\r\n")) == 200


async def _wait_until_cancelled(_exchange):
    await asyncio.sleep(600)


async def _cut(exchange):
    await exchange.start_response(200, ())
    exchange.abort()


async def _fail(_exchange):
    raise ValueError("planted")


async def _fail_late(exchange):
    await exchange.start_response(200, ())
    raise ValueError("planted")


@pytest.mark.parametrize(
    ("responder", "client_leaves", "reason"),
    [
        (_wait_until_cancelled, True, EndReason.CLIENT_CLOSED),
        (_cut, False, EndReason.CUT),
        (_fail_late, False, EndReason.INTERNAL_ERROR),
    ],
)
async def test_the_reason_of_an_unanswered_request_is_reported(
    responder, client_leaves, reason
):
    async with Server(responder) as server, asyncio.timeout(30):
        _, writer = await server.open()
        writer.write(POST)
        while not server.requests:
            await asyncio.sleep(0.01)
        if client_leaves:
            writer.close()
        assert await server.ends.get() == (reason, server.requests[0])


async def test_the_end_of_a_connection_without_an_open_request_is_reported():
    async with Server(idle_timeout_s=0.1) as server, asyncio.timeout(30):
        await server.exchange(POST)
        assert await server.ends.get() == (EndReason.IDLE, None)
        await server.exchange(POST.replace(b"Host", b"Connection: close\r\nHost"))
        assert await server.ends.get() == (EndReason.LAST_RESPONSE, None)
        await server.exchange(POST.replace(b"Host", b"Host : "))
        assert await server.ends.get() == (EndReason.REJECTED, None)


def test_end_to_end_headers_removes_connection_headers():
    headers = (
        (b"Host", b"a"),
        (b"Connection", b"X-Once, X-Own, Host"),
        (b"X-Once", b"1"),
        (b"X-Own", b"2"),
        (b"TE", b"trailers"),
        (b"Content-Length", b"3"),
        (b"X-Set", b"4"),
        (b"Accept", b"*/*"),
    )
    kept = end_to_end_headers(
        headers, protected=frozenset({b"x-own"}), excluded={b"x-set"}
    )
    assert kept == ((b"Host", b"a"), (b"X-Own", b"2"), (b"Accept", b"*/*"))


# Guards against a client that stops a host with a body in small pieces.
async def test_a_body_in_small_pieces_leaves_other_tasks_running():
    async def answer(request, exchange):
        await exchange.respond(Response(status=200, body=b"%d" % len(request.body)))

    registry = ConnectionRegistry(handler=answer, limits=ClientLimits)
    transport = MemoryTransport(registry.make_connection())

    async def exchange():
        transport.receive(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n",
        )
        while not transport.written.endswith(b"40000"):
            await asyncio.sleep(0)

    _, turn_s = await measure_longest_turn(exchange())
    assert turn_s < MAX_TURN_CPU_S
