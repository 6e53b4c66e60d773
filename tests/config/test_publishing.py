"""Tests of publishing on a log that races, loses replies, expires and fails."""

import pytest

from lacewinglug.authority.records import SnapshotTaken, encode_record
from lacewinglug.backing.log import CONTROL_STREAM
from lacewinglug.config import publishing
from lacewinglug.config.objects import Fleet, Region
from lacewinglug.config.publishing import publish_fleet, read_state
from lacewinglug.errors import LogUnavailableError, SnapshotMissingError, UserError
from lacewinglug.standin.memory_log import MemoryLog
from tests.authority.writers import copy_state


def fleet_with(*regions):
    return Fleet(regions={name: Region(one_way_delay_s=0.02) for name in regions})


def publish(log, *regions, record_id, publisher="ada", base=None):
    return publish_fleet(
        log,
        fleet_with(*regions),
        record_id=record_id,
        publisher=publisher,
        base_revision=base,
    )


async def test_loser_on_one_base_is_told_who_was_first():
    log = MemoryLog()
    first = await publish(log, "mtl", record_id="p1", base=0)
    second = await publish(log, "qc", record_id="p2", publisher="bo", base=0)
    assert first.publication.accepted
    assert not second.publication.accepted
    assert (second.publication.refusal, second.publication.publisher) == (
        "raced",
        "ada",
    )
    assert set((await read_state(log)).fleet.regions) == {"mtl"}


@pytest.mark.parametrize("fault", ["lose_before", "lose_after"])
async def test_lost_reply_is_settled_by_the_publish_id(fault):
    """Covers a publisher killed before and after its append as well."""
    log = MemoryLog()
    setattr(log, fault, 1)
    lost = await publish(log, "mtl", record_id="p1", base=0)
    assert (lost.publication is None) == (fault == "lose_before")
    settled = await publish(log, "mtl", record_id="p1", base=0)
    again = await publish(log, "mtl", record_id="p1", base=0)
    assert settled.publication == again.publication
    assert settled.publication.accepted
    assert ((await read_state(log)).revision, log.appends) == (1, 1)


async def test_delayed_first_append_does_not_take_effect_twice(monkeypatch):
    log = MemoryLog(lose_before=1)
    sent = []
    real = publishing.encode_record
    monkeypatch.setattr(
        publishing, "encode_record", lambda item: sent.append(real(item)) or sent[-1]
    )
    await publish(log, "mtl", record_id="p1")
    await publish(log, "mtl", record_id="p1")
    await log.append(CONTROL_STREAM, sent[0])
    assert (await read_state(log)).revision == 1


async def test_settling_with_another_configuration_is_told():
    log = MemoryLog(lose_after=1)
    await publish(log, "mtl", record_id="p1")
    result = await publish(log, "mtl", "qc", record_id="p1")
    assert result.publication.accepted
    assert result.differs


async def test_log_that_fails_after_the_append_leaves_the_outcome_unknown():
    class FailsAfterAppend(MemoryLog):
        async def append(self, stream, data):
            offset = await super().append(stream, data)
            self.down = True
            return offset

    log = FailsAfterAppend()
    result = await publish(log, "mtl", record_id="p1")
    assert (result.publication, result.record_id) == (None, "p1")
    log.down = False
    assert (await publish(log, "mtl", record_id="p1")).publication.accepted


async def test_log_that_is_down_publishes_nothing():
    log = MemoryLog(down=True)
    with pytest.raises(LogUnavailableError):
        await publish(log, "mtl", record_id="p1")
    assert log.appends == 0


async def take_snapshot(log, state):
    record = SnapshotTaken(
        record_id=f"s{log.appends}", as_of=state.next_offset, state=state
    )
    await log.append(CONTROL_STREAM, encode_record(record))


async def test_publishing_on_a_log_trimmed_to_just_after_the_snapshot():
    log = MemoryLog()
    await publish(log, "mtl", record_id="p1")
    old = await read_state(log)
    await publish(log, "mtl", "qc", record_id="p2")
    await take_snapshot(log, await read_state(log))
    log.stream(CONTROL_STREAM).trim(2)
    await take_snapshot(log, copy_state(old))
    state = await read_state(log)
    assert (state.revision, set(state.fleet.regions)) == (2, {"mtl", "qc"})
    result = await publish(log, "mtl", record_id="p3", base=1)
    assert (result.publication.refusal, result.publication.publisher) == (
        "raced",
        "ada",
    )


async def test_trimmed_log_without_a_usable_snapshot_is_refused_with_the_remedy():
    log = MemoryLog()
    await publish(log, "mtl", record_id="p1")
    await take_snapshot(log, await read_state(log))
    await publish(log, "mtl", "qc", record_id="p2")
    log.stream(CONTROL_STREAM).trim(2)
    with pytest.raises(SnapshotMissingError, match="configuration-and-hosts"):
        await read_state(log)


async def test_record_of_absurd_size_is_not_appended(monkeypatch):
    monkeypatch.setattr(publishing, "MAX_RECORD_BYTES", 100)
    log = MemoryLog()
    with pytest.raises(UserError, match="in parts"):
        await publish(log, "mtl", record_id="p1")
    assert log.appends == 0
