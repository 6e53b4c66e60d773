"""Tests that crowds which come and go leave nothing behind in a host.

Each crowd comes several times, one after another, at one listener. The tests check
neither times nor how many of the crowd are served.
"""

import contextlib
from dataclasses import dataclass, field

import pytest

from tests.memory.crowds import (
    PIECE_BYTES,
    SMALL_BUFFER_BYTES,
    Sending,
    crowd_of,
    make_calls_ahead,
    make_chunked_body,
    make_head,
)
from tests.memory.host_process import running_host_process
from tests.platform.standin import FakeRunner

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

WAVES = 8
CLIENTS = 60
MEMORY_MB = 100
MAX_MEMORY_BYTES = MEMORY_MB * 1_000_000
MAX_DESCRIPTORS = 1_024
LIMITS = {
    "CpuShare": 1.0,
    "Cores": 1.0,
    "MemoryMb": MEMORY_MB,
    "MaxFds": MAX_DESCRIPTORS,
    "LinkMbps": 1000,
}
BODY_BYTES = 4_194_304
CLIENT_LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 30_000,
    "IdleTimeoutMs": 60_000,
}
LISTENERS = ["Frontend", "Ready", "Directory", "Metrics"]
SMALL_BODY_BYTES = 250_000
FINE_CHUNK_BYTES = 8
CALL_BODY_BYTES = 20_000
CALLS = 200


@dataclass(frozen=True, kw_only=True)
class Kind:
    """What the clients of a crowd send.

    :param messages: what each of them sends in turn; the first client the first one.
    """

    messages: list[bytes] = field(repr=False)

    def sendings(self):
        """Return what each client sends."""
        return [
            Sending(
                data=memoryview(self.messages[number % len(self.messages)]),
                piece_bytes=PIECE_BYTES,
            )
            for number in range(CLIENTS)
        ]


def make_kinds():
    """Return the crowds by name."""
    small = make_head(length=SMALL_BODY_BYTES) + bytes(SMALL_BODY_BYTES - 1)
    large = make_head(length=BODY_BYTES) + bytes(BODY_BYTES - 1)
    chunks = make_head() + make_chunked_body(
        body_bytes=BODY_BYTES, chunk_bytes=PIECE_BYTES, ends=False
    )
    fine_chunks = make_head() + make_chunked_body(
        body_bytes=SMALL_BODY_BYTES, chunk_bytes=FINE_CHUNK_BYTES, ends=False
    )
    calls = make_calls_ahead(CALLS, body=bytes(CALL_BODY_BYTES))
    return {
        "bodies": Kind(messages=[small]),
        "large_bodies": Kind(messages=[large]),
        "chunks": Kind(messages=[chunks]),
        "fine_chunks": Kind(messages=[fine_chunks]),
        "calls_ahead": Kind(messages=[calls]),
        "calls_ahead_and_bodies": Kind(messages=[calls, small]),
    }


KINDS = make_kinds()


@contextlib.asynccontextmanager
async def running_host(path):
    async with running_host_process(
        path, FakeRunner("app-1", "app"), limits=LIMITS, client_limits=CLIENT_LIMITS
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


async def send_wave(host, kind, listener):
    """Send a crowd, which leaves when the host takes no more from it."""
    with crowd_of(host, address=host.address_of(listener)) as crowd:
        await crowd.send_until_stalled(
            kind.sendings(), receive_buffer_bytes=SMALL_BUFFER_BYTES
        )


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("kind", KINDS)
async def test_a_crowd_that_comes_again_and_again(tmp_path, kind, listener):
    """Guards against memory of connections that have ended."""
    async with running_host(tmp_path) as host:
        for _ in range(WAVES):
            await send_wave(host, KINDS[kind], listener)
        await check(host)


async def test_different_crowds_one_after_another(tmp_path):
    """Guards against memory that one kind of crowd leaves to the next one."""
    async with running_host(tmp_path) as host:
        for _ in range(2):
            for kind in KINDS.values():
                await send_wave(host, kind, "Frontend")
        await check(host)


async def test_crowds_at_one_listener_after_another(tmp_path):
    """Guards against memory that is counted by listener."""
    async with running_host(tmp_path) as host:
        for _ in range(2):
            for listener in LISTENERS:
                await send_wave(host, KINDS["calls_ahead_and_bodies"], listener)
        await check(host)
