"""Tests that requests which are sent ahead in number leave a host to other callers.

The clients of a crowd send many requests without waiting for the responses. The tests
check that an ordinary request is answered while requests of the crowd still wait; they
check no times.
"""

from dataclasses import dataclass

import pytest

from tests.memory.crowds import (
    PIECE_BYTES,
    SMALL_BUFFER_BYTES,
    Sending,
    crowd_of,
    make_calls_ahead,
)
from tests.memory.host_process import ORDINARY_PATHS, running_host_process
from tests.memory.test_repeated_crowds import (
    CLIENT_LIMITS,
    LIMITS,
    MAX_DESCRIPTORS,
    MAX_MEMORY_BYTES,
)
from tests.platform.standin import FakeRunner

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

CLIENTS = 20


@dataclass(frozen=True, kw_only=True)
class Calls:
    """Calls that each client of a crowd sends ahead.

    :param listener: where it sends them.
    :param count: their number.
    """

    listener: str
    path: str
    method: str = "GET"
    count: int = 1_500

    def sending(self):
        """Return what each client sends."""
        data = make_calls_ahead(self.count, path=self.path, method=self.method)
        return Sending(data=memoryview(data), piece_bytes=PIECE_BYTES)


CALLS = {
    "served": Calls(listener="Frontend", path="/status/1", method="POST"),
    "unrouted": Calls(listener="Frontend", path="/none", method="POST"),
    "readiness": Calls(listener="Ready", path=ORDINARY_PATHS["Ready"]),
    "directory": Calls(listener="Directory", path=ORDINARY_PATHS["Directory"]),
    "metrics": Calls(listener="Metrics", path=ORDINARY_PATHS["Metrics"], count=150),
}


@pytest.fixture
async def host(tmp_path):
    async with running_host_process(
        tmp_path, FakeRunner("app-1", "app"), limits=LIMITS, client_limits=CLIENT_LIMITS
    ) as running:
        yield running


def check_bounds(host):
    """Check that the host lives and is within its bounds."""
    host.record()
    print(f"peak: {host.peak.memory_bytes / 1e6:.0f} MB, {host.peak.descriptors} fds")
    assert host.lives
    assert host.peak.memory_bytes <= MAX_MEMORY_BYTES
    assert host.peak.descriptors <= MAX_DESCRIPTORS


@pytest.mark.parametrize("calls", CALLS.values(), ids=CALLS)
async def test_others_are_answered_while_calls_wait(host, calls):
    """Guards against connections that leave no turn to others."""
    with crowd_of(host, address=host.address_of(calls.listener)) as crowd:
        await crowd.send_until_stalled([calls.sending()] * CLIENTS)
        async with crowd.counting_responses() as responses:
            await host.check_all_listeners()
            sent = CLIENTS * calls.count
            print(f"{responses.count} of {sent} answered")
            assert responses.count < sent
    check_bounds(host)


@pytest.mark.parametrize("calls", CALLS.values(), ids=CALLS)
async def test_calls_whose_responses_are_not_read(host, calls):
    """Guards against responses that are held until their clients read them."""
    for _ in range(2):
        with crowd_of(host, address=host.address_of(calls.listener)) as crowd:
            await crowd.send_until_stalled(
                [calls.sending()] * CLIENTS,
                receive_buffer_bytes=SMALL_BUFFER_BYTES,
            )
            await host.check_all_listeners()
    await host.check_all_listeners()
    check_bounds(host)
