"""Tests of the log tail on a log that is down, expires, restarts or lags behind."""

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


def append_missing(log, records):
    stream = log.stream(CONTROL_STREAM)
    for record in records[stream.next_offset :]:
        stream.append(record.data)


def publish_regions(writers, *regions):
    for region in regions:
        writers.publish("a", region)
        writers.read("a")


@pytest.fixture
def published_log():
    writers, log = Writers(), MemoryLog()
    publish_regions(writers, "mtl", "qc")
    append_missing(log, writers.records)
    return writers, log


async def read_repeatedly(tail, count=6):
    for _ in range(count):
        await tail.read_once()


async def test_tail_continues_after_an_outage_of_the_log(published_log):
    writers, log = published_log
    tail, state = make_tail(log)
    await read_repeatedly(tail)
    log.down = True
    await read_repeatedly(tail)
    assert (state.revision, tail.reachable) == (2, False)
    publish_regions(writers, "sher")
    append_missing(log, writers.records)
    log.down = False
    await read_repeatedly(tail)
    assert (state.revision, tail.reachable, state.halted) == (3, True, "")


async def restart_log(log, records):
    """Restart the log from offset 0 with the given records."""
    log.streams.clear()
    append_missing(log, records)


@pytest.mark.parametrize("regions", [(), ("x",), ("x", "y", "z")])
async def test_log_that_restarts_at_offset_zero_halts_the_replica_and_reverts_nothing(
    published_log, regions
):
    writers, log = published_log
    tail, state = make_tail(log)
    await read_repeatedly(tail)
    log.down = True
    await tail.read_once()
    log.down = False
    other_writers = Writers()
    publish_regions(other_writers, *regions)
    await restart_log(log, other_writers.records)
    await read_repeatedly(tail)
    assert (state.revision, set(state.fleet.regions)) == (2, {"mtl", "qc"})
    assert "lost or changed" in state.halted
    assert not tail.replica.apply([StoredRecord(offset=2, data=b"{}")])
    publish_regions(writers, "sher")
    await restart_log(log, writers.records)
    await read_repeatedly(tail)
    assert (state.revision, state.halted) == (3, "")


async def test_rewound_log_is_applied_without_the_check_of_the_last_record(
    published_log, monkeypatch
):
    """Show that the test above passes only because of that check."""
    monkeypatch.setattr(reading, "is_last_record", lambda *_: True)
    _, log = published_log
    tail, state = make_tail(log)
    await read_repeatedly(tail)
    log.down = True
    await tail.read_once()
    log.down = False
    other_writers = Writers()
    publish_regions(other_writers, "x", "y", "z")
    await restart_log(log, other_writers.records)
    await read_repeatedly(tail)
    assert (state.next_offset, state.halted) == (3, "")


async def test_gap_in_the_records_halts_the_replica(published_log):
    _, log = published_log
    tail, state = make_tail(log)
    await read_repeatedly(tail)

    async def read_with_gap(stream, offset, *, wait_s):
        reply = await MemoryLog.read(log, stream, offset, wait_s=wait_s)
        record_after_gap = StoredRecord(offset=offset + 1, data=b"{}")
        return type(reply)(
            records=[record_after_gap], next_offset=offset + 2, end_offset=9
        )

    log.read = read_with_gap
    await tail.read_once()
    assert "lost or changed" in state.halted


async def test_expired_records_are_replaced_by_a_snapshot(published_log):
    writers, log = published_log
    tail, state = make_tail(log)
    await read_repeatedly(tail)
    older_state = copy_state(writers.view("a"))
    publish_regions(writers, "sher")
    writers.snapshot("a")
    writers.views["a"] = older_state
    writers.snapshot("a")
    append_missing(log, writers.records)
    log.stream(CONTROL_STREAM).trim(3)
    await read_repeatedly(tail)
    assert (state.revision, state.next_offset) == (3, 5)
    new_tail, new_state = make_tail(log)
    await read_repeatedly(new_tail)
    assert new_state == state


async def test_expired_records_without_a_snapshot_leave_the_configuration_in_force(
    published_log,
):
    writers, log = published_log
    tail, state = make_tail(log)
    await read_repeatedly(tail)
    publish_regions(writers, "sher", "x")
    append_missing(log, writers.records)
    log.stream(CONTROL_STREAM).trim(3)
    await read_repeatedly(tail)
    assert (state.revision, tail.metrics.counts["log.read_failures"]) == (2, 6)


async def test_tail_waits_for_a_log_that_is_behind_records_from_peers(published_log):
    writers, log = published_log
    tail, state = make_tail(log)
    log.hidden = 1
    await read_repeatedly(tail)
    tail.replica.apply(writers.records)
    await read_repeatedly(tail)
    assert (state.revision, state.halted) == (2, "")
    publish_regions(writers, "sher")
    append_missing(log, writers.records)
    log.hidden = 0
    await read_repeatedly(tail)
    assert (state.revision, state.halted) == (3, "")
