"""Tests of the tail on a log that fails, expires, rewinds and lags."""

import pytest

from lacewinglug.authority import reading
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import CONTROL_STREAM, StoredRecord
from lacewinglug.metrics import Metrics
from lacewinglug.standin.memory_log import MemoryLog
from lacewinglug.steward.replica import Replica
from lacewinglug.steward.tail import LogTail
from tests.authority.writers import Writers, copy_state


def make_tail(log):
    tail = LogTail(
        log=log,
        replica=Replica(state=ControlState()),
        clock=None,
        wait_s=0.0,
        metrics=Metrics(),
    )
    return tail, tail.replica.state


def fill(log, records):
    stream = log.stream(CONTROL_STREAM)
    for record in records[stream.next_offset :]:
        stream.append(record.data)


def publish_regions(writers, *regions):
    for region in regions:
        writers.publish("a", region)
        writers.read("a")


@pytest.fixture
def world():
    writers, log = Writers(), MemoryLog()
    publish_regions(writers, "mtl", "qc")
    fill(log, writers.records)
    return writers, log


async def read_until_quiet(tail, count=6):
    for _ in range(count):
        await tail.read_once()


async def test_follows_the_log_over_an_outage(world):
    writers, log = world
    tail, state = make_tail(log)
    await read_until_quiet(tail)
    log.down = True
    await read_until_quiet(tail)
    assert (state.revision, tail.reachable) == (2, False)
    publish_regions(writers, "sher")
    fill(log, writers.records)
    log.down = False
    await read_until_quiet(tail)
    assert (state.revision, tail.reachable, state.halted) == (3, True, "")


async def rewind(log, records):
    """Let the log restart from offset 0 with other records."""
    log.streams.clear()
    fill(log, records)


@pytest.mark.parametrize("regions", [(), ("x",), ("x", "y", "z")])
async def test_log_whose_offsets_restart_halts_and_never_reverts(world, regions):
    writers, log = world
    tail, state = make_tail(log)
    await read_until_quiet(tail)
    log.down = True
    await tail.read_once()
    log.down = False
    other = Writers()
    publish_regions(other, *regions)
    await rewind(log, other.records)
    await read_until_quiet(tail)
    assert (state.revision, set(state.fleet.regions)) == (2, {"mtl", "qc"})
    assert "lost or changed" in state.halted
    assert not tail.replica.apply([StoredRecord(offset=2, data=b"{}")])
    publish_regions(writers, "sher")
    await rewind(log, writers.records)
    await read_until_quiet(tail)
    assert (state.revision, state.halted) == (3, "")


async def test_without_the_check_of_the_last_record_a_rewound_log_is_applied(
    world, monkeypatch
):
    """Shows that the check is what the test above relies on."""
    monkeypatch.setattr(reading, "is_last_record", lambda *_: True)
    _, log = world
    tail, state = make_tail(log)
    await read_until_quiet(tail)
    log.down = True
    await tail.read_once()
    log.down = False
    other = Writers()
    publish_regions(other, "x", "y", "z")
    await rewind(log, other.records)
    await read_until_quiet(tail)
    assert (state.next_offset, state.halted) == (3, "")


async def test_gap_in_the_records_halts(world):
    _, log = world
    tail, state = make_tail(log)
    await read_until_quiet(tail)

    async def read_with_gap(stream, offset, *, wait_s):
        reply = await MemoryLog.read(log, stream, offset, wait_s=wait_s)
        moved = StoredRecord(offset=offset + 1, data=b"{}")
        return type(reply)(records=[moved], next_offset=offset + 2, end_offset=9)

    log.read = read_with_gap
    await tail.read_once()
    assert "lost or changed" in state.halted


async def test_expired_records_are_met_by_a_snapshot(world):
    writers, log = world
    tail, state = make_tail(log)
    await read_until_quiet(tail)
    late = copy_state(writers.view("a"))
    publish_regions(writers, "sher")
    writers.snapshot("a")
    writers.views["a"] = late
    writers.snapshot("a")
    fill(log, writers.records)
    log.stream(CONTROL_STREAM).trim(3)
    await read_until_quiet(tail)
    assert (state.revision, state.next_offset) == (3, 5)
    fresh, fresh_state = make_tail(log)
    await read_until_quiet(fresh)
    assert fresh_state == state


async def test_expired_records_without_a_snapshot_keep_what_is_in_force(world):
    writers, log = world
    tail, state = make_tail(log)
    await read_until_quiet(tail)
    publish_regions(writers, "sher", "x")
    fill(log, writers.records)
    log.stream(CONTROL_STREAM).trim(3)
    await read_until_quiet(tail)
    assert (state.revision, tail.metrics.counts["log.read_failures"]) == (2, 6)


async def test_log_that_ends_before_what_peers_handed_on_is_waited_for(world):
    writers, log = world
    tail, state = make_tail(log)
    log.hidden = 1
    await read_until_quiet(tail)
    tail.replica.apply(writers.records)
    await read_until_quiet(tail)
    assert (state.revision, state.halted) == (2, "")
    publish_regions(writers, "sher")
    fill(log, writers.records)
    log.hidden = 0
    await read_until_quiet(tail)
    assert (state.revision, state.halted) == (3, "")
