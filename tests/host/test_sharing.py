"""Hosts that are told changes have the entries of the host that reads them."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.model import Stage
from lacewinglug.host.sharing import MOST_CHANGES, SharedEntries, ViewUpdate
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
def test_a_host_that_hears_all_updates_is_equal(reads):
    reader, follower = SharedEntries(), SharedEntries()
    for entries in reads:
        assert follower.apply(reader.replace(entries))
        assert sorted_entries(follower) == sorted_entries(reader)


@given(READS, st.data())
def test_a_host_never_believes_to_be_equal_when_it_is_not(reads, data):
    reader, follower = SharedEntries(), SharedEntries()
    for entries in reads:
        update = reader.replace(entries)
        if data.draw(st.booleans(), label="heard"):
            equal = follower.apply(update)
            assert equal == (sorted_entries(follower) == sorted_entries(reader))


def test_a_missed_change_shows_at_the_next_update():
    reader, follower = SharedEntries(), SharedEntries()
    follower.apply(reader.replace([make_runner("a")]))
    reader.replace([make_runner("a"), make_runner("b")])
    assert not follower.apply(reader.replace([make_runner("a"), make_runner("b")]))


def test_time_to_get_warm_is_no_change():
    reader = SharedEntries()
    reader.replace([replace(make_runner("a"), cold_s=3.0)])
    update = reader.replace([replace(make_runner("a"), cold_s=2.0)])
    assert update.changed == ()


def test_many_changes_are_left_out_of_one_datagram():
    reader = SharedEntries()
    names = [f"runner-{number}" for number in range(MOST_CHANGES + 1)]
    update = reader.replace([make_runner(name) for name in names])
    assert update == ViewUpdate(digest=update.digest)
