"""Tests of the host table, monitor assignment and status encoding."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinglug.control import HostStatus, pack_status, unpack_status
from lacewinglug.membership.neighbours import MONITORS_PER_HOST, MonitorAssignment
from lacewinglug.membership.table import HostTable


def make_status(version, state="live", host="b", **fields):
    return HostStatus(
        host=host,
        incarnation="1",
        revision=1,
        running=0,
        state=state,
        version=version,
        **fields,
    )


STATUSES = st.builds(
    make_status, st.integers(1, 3), st.sampled_from(["live", "suspect", "leaving"])
)


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STATUSES, min_size=1), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_the_order_of_arrival(statuses, rng):
    results = []
    for _ in range(2):
        table = HostTable(host="a")
        for item in statuses:
            table.merge(item, source="c")
        results.append(table.statuses["b"])
        rng.shuffle(statuses)
    assert results[0] == results[1]


def test_host_refutes_a_suspicion_of_an_earlier_incarnation():
    table = HostTable(host="b")
    table.update_own(
        incarnation="2", revision=1, running=0, state="live", leaving_upstreams=()
    )
    table.merge(make_status(9, "suspect"), source="c")
    own = table.own_status
    assert (own.version, own.state, own.incarnation) == (10, "live", "2")


@pytest.mark.parametrize("state", ["suspect", "leaving"])
def test_leaving_upstreams_reported_by_a_host_that_is_not_live_are_ignored(state):
    table = HostTable(host="a")
    fields = {"leaving_upstreams": ("assistant-1",)}
    table.merge(make_status(1, **fields), source="b")
    assert table.leaving_upstreams() == {"assistant-1"}
    table.merge(make_status(2, state, **fields), source="b")
    assert table.leaving_upstreams() == set()


def test_changes_for_a_neighbour_are_batched_and_complete():
    table = HostTable(host="a")
    table.add_neighbour("n")
    for index in range(100):
        table.merge(make_status(1, host=f"h{index}"), source="x")
    batches = [table.take_changes("n") for _ in range(6)]
    assert max(map(len, batches)) <= 25
    names = {item.host for batch in batches for item in batch}
    assert names == {"a"} | {f"h{index}" for index in range(100)}


@pytest.mark.parametrize("count", [2, 8, 64])
def test_every_host_has_a_constant_number_of_monitors(count):
    hosts = [f"h{index}" for index in range(count)]
    monitor_counts = dict.fromkeys(hosts, 0)
    for host in hosts:
        assignment = MonitorAssignment(host=host)
        assignment.set_hosts(hosts)
        for target in assignment.targets(set(hosts)):
            monitor_counts[target] += 1
    assert set(monitor_counts.values()) == {min(MONITORS_PER_HOST, count - 1)}


def test_status_round_trips_through_its_compact_form():
    item = make_status(3, "leaving", leaving_upstreams=("x",))
    assert unpack_status(pack_status(item)) == item
