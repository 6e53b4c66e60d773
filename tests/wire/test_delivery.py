"""Upstreams that do not read are waited for; dead ones are found in time."""

import asyncio
import fcntl
import socket

import pytest

from lacewinglug.wire import delivery
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.delivery import LONG_REQUEST_BYTES
from lacewinglug.wire.sockets import MS_PER_S, UPSTREAM_TCP_TIMEOUTS
from tests.wire.upstream import (
    FrozenUpstream,
    PausingUpstream,
    SilentUpstream,
    connect,
    send_request,
)

LONG_BODY = b"x" * 1_000_000
"""Body that exceeds the receive window of an upstream that does not read."""
READ_PAUSE_S = 1.5
"""Time for which a sound upstream may be silent."""
LONG_READ_PAUSE_S = 3.5
"""Time in which the kernel probes a closed window several times."""
FREEZE_S = 1.3
"""Time for which the machine of a sound upstream may acknowledge nothing."""
MAX_DETECTION_S = 4.0
"""Time in which the connection to a dead upstream ends. Requests that another one can
run do not wait for it; see ``tests/host/test_relay.py``."""
MAX_IDLE_DETECTION_S = 3.5
"""The same while a response is awaited: keep-alive probes find it."""
MAX_PROBING_S = 5.0
"""The same if it dies while it does not read: only the probes of its window find it."""
TEST_TIMEOUT_S = 20.0


async def exchange(upstream, body):
    """Send a request and return its response."""
    connection = await connect(upstream)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await upstream.accepted.wait()
            send_request(connection, body=body)
            response = await connection.read_response(max_body_bytes=100)
            assert connection.finish_request(now_s=1.0)
            return response
    finally:
        connection.abort()


async def measure_detection_s(upstream, body):
    """Return how long after the death of an upstream a request to it fails, in s."""
    with pytest.raises(UpstreamError) as caught:
        await exchange(upstream, body)
    assert caught.value.sent
    return asyncio.get_running_loop().time() - upstream.died_s


# Guards against dropping a sound upstream because its receive window is closed.
@pytest.mark.parametrize("pause_s", [READ_PAUSE_S, LONG_READ_PAUSE_S])
async def test_an_upstream_that_stops_reading_for_a_while_gets_the_whole_body(pause_s):
    async with PausingUpstream(pause_s=pause_s) as upstream:
        response = await exchange(upstream, LONG_BODY)
    assert (response.status, response.body) == (200, b"ok")


# Guards against the same where the kernel does not tell about acknowledgements.
async def test_an_upstream_that_stops_reading_is_waited_for_without_kernel_data(
    monkeypatch,
):
    def fail(*_):
        raise OSError("not supported")

    monkeypatch.setattr(delivery, "read_ack_state", lambda _: None)
    monkeypatch.setattr(fcntl, "ioctl", fail)
    async with PausingUpstream(pause_s=READ_PAUSE_S) as upstream:
        connection = await connect(upstream)
        send_request(connection, body=LONG_BODY)
        response = await connection.read_response(max_body_bytes=100)
        assert connection.finish_request(now_s=1.0)
        assert read_user_timeout_s(connection) == UPSTREAM_TCP_TIMEOUTS.user_timeout_s
        connection.abort()
    assert (response.status, response.body) == (200, b"ok")


# Guards against dropping a sound upstream whose machine was frozen for a second.
@pytest.mark.parametrize("waits_s", [None, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("body", [b"hi", LONG_BODY], ids=len)
async def test_an_upstream_whose_machine_freezes_for_a_while_responds(waits_s, body):
    async with FrozenUpstream(frozen_s=FREEZE_S, waits_s=waits_s) as upstream:
        response = await exchange(upstream, body)
    assert (response.status, response.body) == (200, b"ok")


async def test_a_request_is_undelivered_until_its_machine_acknowledges_it():
    async with FrozenUpstream(frozen_s=FREEZE_S) as upstream:
        connection = await connect(upstream)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await upstream.accepted.wait()
            send_request(connection, body=b"hi")
            await asyncio.sleep(FREEZE_S / 2)
            assert connection.is_undelivered
            await connection.read_response(max_body_bytes=100)
        assert not connection.is_undelivered
        connection.abort()


# Guards against finding dead machines later for the sake of those that do not read.
@pytest.mark.parametrize(
    "body", [b"hi", b"x" * (LONG_REQUEST_BYTES // 2), LONG_BODY], ids=len
)
async def test_a_machine_that_dies_before_the_request_is_found(body):
    async with PausingUpstream(dies="connected") as upstream:
        assert await measure_detection_s(upstream, body) < MAX_DETECTION_S


async def test_a_machine_that_dies_while_it_does_not_read_is_found():
    async with PausingUpstream(pause_s=0.5, dies="closed") as upstream:
        assert await measure_detection_s(upstream, LONG_BODY) < MAX_PROBING_S


# Guards against keeping the long timeout while a response is awaited.
async def test_a_machine_that_dies_after_a_long_request_is_found_by_keepalive():
    async with PausingUpstream(dies="body") as upstream:
        assert await measure_detection_s(upstream, LONG_BODY) < MAX_IDLE_DETECTION_S


def read_user_timeout_s(connection):
    """Return the user timeout of a connection's socket, in s."""
    sock = connection._transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) / MS_PER_S


async def test_the_timeouts_of_a_connection_are_restored_after_a_long_request():
    async with PausingUpstream() as upstream:
        connection = await connect(upstream)
        send_request(connection, body=LONG_BODY)
        assert read_user_timeout_s(connection) == delivery.DELIVERY_TIMEOUT_S
        await connection.read_response(max_body_bytes=100)
        assert connection.finish_request(now_s=1.0)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while (
                read_user_timeout_s(connection) != UPSTREAM_TCP_TIMEOUTS.user_timeout_s
            ):
                await asyncio.sleep(0.01)
        connection.abort()


# Guards against dropping a sound upstream while its response is awaited: with a user
# timeout the kernel closes a connection after one unanswered keep-alive probe.
async def test_an_upstream_that_is_silent_for_a_second_before_it_responds_is_kept():
    async with SilentUpstream(from_s=0.5, to_s=1.5, respond_s=3.0) as upstream:
        response = await exchange(upstream, b"hi")
    assert (response.status, response.body) == (200, b"ok")


# Guards against dropping a sound upstream before the third retransmission of a request
# reaches it, 1.4 s after the first.
async def test_an_upstream_that_is_silent_for_a_second_gets_the_request():
    async with SilentUpstream(from_s=0.0, to_s=1.0, respond_s=1.0) as upstream:
        response = await exchange(upstream, b"hi")
    assert (response.status, response.body) == (200, b"ok")
