"""Tests that a crowd at one listener of a host does not shut out others' callers.

The clients of a crowd stay connected and do not complete their request.
"""

import pytest

from tests.memory.crowds import Sending, crowd_of, make_head
from tests.memory.host_process import running_host_process
from tests.memory.test_repeated_crowds import CLIENT_LIMITS, LIMITS, LISTENERS
from tests.platform.standin import FakeRunner

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

CLIENTS = 120
MAX_DESCRIPTORS = 256
MESSAGES = {
    "nothing": b"",
    "head": b"GET / HTTP/1.1\r\n",
    "body": make_head(length=2_000) + bytes(1_999),
}


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("message", MESSAGES)
async def test_requests_that_stop_short_shut_nobody_out(tmp_path, message, listener):
    """Guards against bounds on connections that listeners share."""
    async with running_host_process(
        tmp_path,
        FakeRunner("app-1", "app"),
        limits=LIMITS | {"MaxFds": MAX_DESCRIPTORS},
        client_limits=CLIENT_LIMITS,
    ) as host:
        sending = Sending(data=memoryview(MESSAGES[message]))
        with crowd_of(host, address=host.address_of(listener)) as crowd:
            await crowd.send_until_stalled([sending] * CLIENTS)
            await host.check_all_listeners()
        await host.check_all_listeners()
        host.record()
        print(f"peak: {host.peak.descriptors} fds")
        assert host.peak.descriptors <= MAX_DESCRIPTORS
