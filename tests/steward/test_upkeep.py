"""Tests for snapshots and for watching the host list."""

from dataclasses import dataclass

import pytest

from lacewinglug.authority.reading import catch_up, read_state
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.hosts import HostList
from lacewinglug.backing.log import CONTROL_STREAM
from lacewinglug.errors import PlatformError
from lacewinglug.ids import IdFactory
from lacewinglug.membership.neighbours import rank_hosts
from lacewinglug.metrics import Metrics
from lacewinglug.standin.memory_log import MemoryLog
from lacewinglug.steward.hosts import READER_COUNT, HostListReader
from lacewinglug.steward.upkeep import UPKEEP_DOMAIN, SnapshotWriter
from tests.authority.writers import Writers

HOSTS = [f"h{index}" for index in range(8)]
FIRST, SECOND = rank_hosts(UPKEEP_DOMAIN, HOSTS)[:2]


@dataclass
class FakeClock:
    time_s: float = 0.0

    def now_s(self):
        return self.time_s


def make_writer(log, clock, host, live):
    return SnapshotWriter(
        host=host,
        incarnation="1",
        machine=f"{host}-m",
        state=ControlState(),
        log=log,
        live_hosts=lambda: live,
        max_interval_s=3600.0,
        clock=clock,
        metrics=Metrics(),
        ids=IdFactory(host=f"{host}-upkeep", incarnation="1"),
    )


async def run_writers(writers, clock, duration_s):
    for _ in range(int(duration_s / 2)):
        clock.time_s += 2.0
        for writer in writers:
            if not writer.log.down:
                await catch_up(writer.log, writer.state)
            await writer.step()


@pytest.fixture
def world():
    log, clock, live = MemoryLog(), FakeClock(), set(HOSTS)
    writers = Writers()
    writers.publish("a", "mtl")
    log.stream(CONTROL_STREAM).append(writers.records[0].data)
    return log, clock, live, [make_writer(log, clock, host, live) for host in HOSTS]


async def test_one_host_appends_a_snapshot_per_interval(world):
    log, clock, _, writers = world
    await run_writers(writers, clock, 100)
    assert log.appends == 2
    await run_writers(writers, clock, 3600)
    assert log.appends == 3
    log.stream(CONTROL_STREAM).trim(2)
    state = await read_state(log)
    assert (state.revision, state.tenures[UPKEEP_DOMAIN].host) == (1, FIRST)


async def test_next_host_takes_over_after_an_outage(world):
    log, clock, live, writers = world
    await run_writers(writers, clock, 20)
    live.discard(FIRST)
    others = [writer for writer in writers if writer.host != FIRST]
    log.down = True
    await run_writers(others, clock, 4000)
    log.down = False
    await run_writers(others, clock, 100)
    state = await read_state(log)
    assert state.tenures[UPKEEP_DOMAIN].host == SECOND
    await run_writers(others, clock, 3700)
    assert (await read_state(log)).snapshot_offset == log.appends


class FakeHostList:
    hosts = {"assistant-1": "leaving", "assistant-2": "live"}
    failing = False
    reads = 0

    async def fetch(self):
        self.reads += 1
        if self.failing:
            raise PlatformError("down")
        return HostList(hosts=dict(self.hosts))


async def test_few_hosts_read_the_list_and_keep_it_in_an_outage():
    client = FakeHostList()
    watchers = [
        HostListReader(
            host=host,
            client=client,
            live_hosts=lambda: HOSTS,
            clock=FakeClock(),
            metrics=Metrics(),
        )
        for host in HOSTS
    ]
    for _ in range(2):
        for watcher in watchers:
            await watcher.read_once()
        leaving = [watcher.leaving_upstreams for watcher in watchers]
        assert leaving.count(frozenset({"assistant-1"})) == READER_COUNT
        client.failing = True
    assert client.reads == 2 * READER_COUNT
