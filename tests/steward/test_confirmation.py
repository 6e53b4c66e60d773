"""Tests for confirming a tenure from a log that expired, rewound or is down."""

import pytest

from lacewinglug.authority.domains import OrderDomain
from lacewinglug.authority.tenures import Claimant
from lacewinglug.backing.log import CONTROL_STREAM
from lacewinglug.metrics import Metrics
from lacewinglug.standin.memory_log import MemoryLog
from lacewinglug.steward.tenures import DomainTenure, TenureManager
from tests.authority.writers import Writers


def make_manager():
    writers, log = Writers(), MemoryLog()
    offset = writers.claim("a", "x")
    writers.read("a")
    log.stream(CONTROL_STREAM).append(writers.records[0].data)
    manager = TenureManager(
        claimant=Claimant(host="a", incarnation="1", machine="a-m0"),
        state=writers.view("a"),
        log=log,
        ids=None,
        known_hosts=None,
        clock=None,
        backoff=None,
        metrics=Metrics(),
    )
    manager.domains["x"] = DomainTenure(
        domain=OrderDomain(name="x", exclusive=True),
        runners=[],
        ranked_hosts=["a"],
        chart_state="held",
    )
    return manager, log, offset


def rewind(log):
    log.streams.clear()


def expire(log):
    log.stream(CONTROL_STREAM).append(b"{}")
    log.stream(CONTROL_STREAM).trim(2)


def take_down(log):
    log.down = True


@pytest.mark.parametrize("fault", [rewind, expire, take_down])
async def test_tenure_is_not_confirmed_by_a_faulty_log(fault):
    manager, log, offset = make_manager()
    assert await manager.confirm("x", offset)
    fault(log)
    assert not await manager.confirm("x", offset)
