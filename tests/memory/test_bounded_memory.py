"""Tests that no crowd of clients takes a host's memory or descriptors.

The suite runs them one at a time, apart from all others. They check neither times nor
how many of the crowd are served.
"""

import pytest

from lacewinglug.wire.messages import Response
from tests.memory.crowds import (
    PIECE_BYTES,
    SMALL_BUFFER_BYTES,
    Sending,
    crowd_of,
    make_chunked_body,
    make_head,
)
from tests.memory.host_process import running_host_process
from tests.platform.standin import FakeRunner

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

BODY_BYTES = 4_194_304
MEMORY_MB = 100
MAX_MEMORY_BYTES = MEMORY_MB * 1_000_000
MAX_DESCRIPTORS = 256
LIMITS = {
    "CpuShare": 1.0,
    "Cores": 1.0,
    "MemoryMb": MEMORY_MB,
    "MaxFds": MAX_DESCRIPTORS,
    "LinkMbps": 1000,
}
CLIENT_LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 30_000,
    "IdleTimeoutMs": 60_000,
}
STOPPING = 36
COMPLETE = 4
"""Of 40 clients, most stop just short of the end of their request."""
FINE_CHUNK_BYTES = 8
FINE_COUNT = 150
FAR_OVER_LIMIT_BYTES = 20 * BODY_BYTES


class LargeAnswerRunner(FakeRunner):
    """Runner whose answers are as long as the longest request."""

    def make_response(self, request, status, **fields):
        response = super().make_response(request, status, **fields)
        return Response(status=status, headers=response.headers, body=b"y" * BODY_BYTES)


@pytest.fixture
async def host(tmp_path, request):
    runner = getattr(request, "param", FakeRunner)("app-1", "app")
    async with running_host_process(
        tmp_path, runner, limits=LIMITS, client_limits=CLIENT_LIMITS
    ) as running:
        yield running


async def check(host):
    """Check that the host is within its bounds and answers an ordinary request."""
    assert host.lives
    response = await host.send_ordinary_request()
    host.record()
    print(f"peak: {host.peak.memory_bytes / 1e6:.0f} MB, {host.peak.descriptors} fds")
    assert host.lives
    assert host.peak.memory_bytes <= MAX_MEMORY_BYTES
    assert host.peak.descriptors <= MAX_DESCRIPTORS
    assert response.status == 200


async def gather_crowd(host, *sendings, receive_buffer_bytes=None):
    """Check the host while a crowd is connected."""
    with crowd_of(host) as crowd:
        await crowd.send(sendings, receive_buffer_bytes=receive_buffer_bytes)
        await check(host)


def make_crowd(whole, *, cut_bytes, **fields):
    """Return a crowd of which most stop short of the end by some bytes."""
    complete = Sending(data=memoryview(whole), **fields)
    stopping = Sending(data=memoryview(whole)[:-cut_bytes], **fields)
    return [stopping] * STOPPING + [complete] * COMPLETE


@pytest.mark.parametrize("piece_bytes", [BODY_BYTES, PIECE_BYTES])
async def test_large_bodies_that_stop_short_of_their_end(host, piece_bytes):
    """Guards against bodies that are held until their clients go on."""
    whole = make_head(length=BODY_BYTES) + bytes(BODY_BYTES)
    await gather_crowd(host, *make_crowd(whole, cut_bytes=1, piece_bytes=piece_bytes))


async def test_large_chunks_that_stop_short_of_their_end(host):
    """Guards against bodies of unknown length that are held without a bound."""
    body = make_chunked_body(body_bytes=BODY_BYTES, chunk_bytes=PIECE_BYTES)
    await gather_crowd(host, *make_crowd(make_head() + body, cut_bytes=3))


async def test_very_small_chunks_that_stop_short_of_their_end(host):
    """Guards against framing that holds much data, or keeps the process busy."""
    body = make_chunked_body(
        body_bytes=BODY_BYTES, chunk_bytes=FINE_CHUNK_BYTES, ends=False
    )
    sending = Sending(data=memoryview(make_head() + body))
    await gather_crowd(host, *[sending] * FINE_COUNT)


async def test_bodies_far_over_the_limit_as_announced(host):
    """Guards against reading a body whose announced length is over the limit."""
    data = make_head(length=FAR_OVER_LIMIT_BYTES) + bytes(2 * BODY_BYTES)
    sending = Sending(data=memoryview(data), piece_bytes=PIECE_BYTES)
    await gather_crowd(host, *[sending] * (STOPPING + COMPLETE))


async def test_bodies_far_over_the_limit_without_a_length(host):
    """Guards against holding what exceeds the limit of a body in chunks."""
    body = make_chunked_body(body_bytes=4 * BODY_BYTES, chunk_bytes=PIECE_BYTES)
    sending = Sending(data=memoryview(make_head() + body), piece_bytes=PIECE_BYTES)
    await gather_crowd(host, *[sending] * (STOPPING + COMPLETE))


async def test_heads_without_end(host):
    """Guards against heads that are buffered beyond their limit."""
    data = make_head(length=0)[:-2] + b"X-Filler: abcdefgh\r\n" * 50_000
    sending = Sending(data=memoryview(data))
    await gather_crowd(host, *[sending] * FINE_COUNT)


async def test_idle_connections(host):
    """Guards against connections that take all descriptors."""
    await gather_crowd(host, *[Sending(data=memoryview(b""))] * (2 * MAX_DESCRIPTORS))


@pytest.mark.parametrize("host", [LargeAnswerRunner], indirect=True)
async def test_large_responses_that_nobody_reads(host):
    """Guards against responses that are held until their clients read them."""
    sending = Sending(data=memoryview(make_head(length=0)))
    await gather_crowd(
        host,
        *[sending] * (STOPPING + COMPLETE),
        receive_buffer_bytes=SMALL_BUFFER_BYTES,
    )


@pytest.mark.parametrize("chunk_bytes", [None, PIECE_BYTES, FINE_CHUNK_BYTES])
async def test_a_single_request_of_the_largest_size_is_answered(host, chunk_bytes):
    """Guards against limits that refuse what clients may send."""
    if chunk_bytes is None:
        data = make_head(length=BODY_BYTES) + bytes(BODY_BYTES)
    else:
        data = make_head() + make_chunked_body(
            body_bytes=BODY_BYTES, chunk_bytes=chunk_bytes
        )
    response = await host.send_whole(data)
    assert response.status == 200
    await check(host)
