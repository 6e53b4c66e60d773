"""Tests for folding the burn stream."""

import pytest

from harness.manual_clock import ManualClock
from lacewinglug.metrics import Metrics
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.reading import BurnReader
from lacewinglug.report.windows import (
    BURN_STREAM,
    FOLD_S,
    FOLD_STREAM,
    WINDOW_S,
    BurnWindow,
    ObjectiveTally,
    WindowKey,
    encode_burn_record,
)
from lacewinglug.standin.memory_log import MemoryLog
from lacewinglug.steward.burn_fold import RETAINED_HOURS, BurnFolder

HOUR = 500_000


@pytest.fixture
def log():
    return MemoryLog()


def append_minutes(log, hour, *, host="entry-1", count=60):
    for minute in range(count):
        key = WindowKey(host=host, incarnation="a", index=hour * 60 + minute)
        tally = ObjectiveTally(objective="unlock", total=10, good=9)
        window = BurnWindow(key=key, tallies=(tally,))
        log.stream(BURN_STREAM).append(encode_burn_record(window))


def make_folder(log, clock):
    return BurnFolder(
        log=log, holds_tenure=lambda: True, clock=clock, metrics=Metrics()
    )


async def read_totals(log):
    reader = BurnReader(log=log, ledger=BurnLedger())
    await reader.catch_up()
    minutes = reader.ledger.minutes().get("unlock", {})
    return sum(count.total for count in minutes.values()), reader


async def test_fold_replaces_expired_windows(log):
    append_minutes(log, HOUR)
    append_minutes(log, HOUR, host="entry-2")
    clock = ManualClock(time_s=(HOUR + 1) * FOLD_S + WINDOW_S)
    reader = BurnReader(log=log, ledger=BurnLedger())
    folder = make_folder(log, clock)
    reader.ledger = folder._ledger
    await folder.fold_once(reader)
    await folder.fold_once(reader)
    assert log.stream(FOLD_STREAM).next_offset == 1
    assert (await read_totals(log))[0] == 1200
    log.stream(BURN_STREAM).trim(120)
    total, reader = await read_totals(log)
    assert total == 1200
    assert reader.expired


async def test_folds_of_two_processes_count_windows_once(log):
    append_minutes(log, HOUR)
    clock = ManualClock(time_s=(HOUR + 1) * FOLD_S)
    for _ in range(2):
        folder = make_folder(log, clock)
        await folder.fold_once(BurnReader(log=log, ledger=folder._ledger))
    assert (await read_totals(log))[0] == 600


async def test_only_retained_hours_are_folded(log):
    for hour in range(HOUR, HOUR + 6):
        append_minutes(log, hour, count=2)
    clock = ManualClock(time_s=(HOUR + 6) * FOLD_S)
    folder = make_folder(log, clock)
    await folder.fold_once(BurnReader(log=log, ledger=folder._ledger))
    assert log.stream(FOLD_STREAM).next_offset == RETAINED_HOURS
    assert (await read_totals(log))[0] == 120
