"""Tests for the replication of runner entries between hosts."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.model import Stage
from lacewinglug.host.sharing import (
    MAX_CHANGES_PER_DATAGRAM,
    ReplicatedRunners,
    ViewUpdate,
)
from tests.host.samples import make_runner

NAMES = [f"runner-{number}" for number in range(6)]
ENTRIES = st.builds(
    lambda entry, draining, stage: replace(entry, draining=draining, stage=stage),
    st.sampled_from([make_runner(name) for name in NAMES]),
    st.booleans(),
    st.sampled_from(list(Stage)),
)
READS = st.lists(
    st.lists(ENTRIES, max_size=6, unique_by=lambda entry: entry.instance), max_size=8
)


def sorted_entries(shared):
    return sorted(shared.entries, key=lambda entry: entry.instance)


@given(READS)
def test_a_host_that_gets_all_updates_has_equal_entries(reads):
    reader, follower = ReplicatedRunners(), ReplicatedRunners()
    for entries in reads:
        assert follower.apply(reader.replace(entries))
        assert sorted_entries(follower) == sorted_entries(reader)


@given(READS, st.data())
def test_apply_reports_equal_entries_only_if_they_are_equal(reads, data):
    reader, follower = ReplicatedRunners(), ReplicatedRunners()
    for entries in reads:
        update = reader.replace(entries)
        if data.draw(st.booleans(), label="received"):
            equal = follower.apply(update)
            assert equal == (sorted_entries(follower) == sorted_entries(reader))


def test_a_missed_update_is_detected_at_the_next_one():
    reader, follower = ReplicatedRunners(), ReplicatedRunners()
    follower.apply(reader.replace([make_runner("a")]))
    reader.replace([make_runner("a"), make_runner("b")])
    assert not follower.apply(reader.replace([make_runner("a"), make_runner("b")]))


def test_a_shorter_warm_up_time_is_not_a_change():
    reader = ReplicatedRunners()
    reader.replace([replace(make_runner("a"), cold_s=3.0)])
    update = reader.replace([replace(make_runner("a"), cold_s=2.0)])
    assert update.changed == ()


def test_too_many_changes_are_replaced_by_the_digest():
    reader = ReplicatedRunners()
    names = [f"runner-{number}" for number in range(MAX_CHANGES_PER_DATAGRAM + 1)]
    update = reader.replace([make_runner(name) for name in names])
    assert update == ViewUpdate(digest=update.digest)
