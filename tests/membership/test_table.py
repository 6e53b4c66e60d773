"""Tests of how statuses of hosts are merged."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinglug.control import HostStatus, pack_status, unpack_status
from lacewinglug.membership.neighbours import MONITOR_COUNT, MonitorPlan
from lacewinglug.membership.table import HostTable


def status(version, state="live", host="b", **fields):
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
    status, st.integers(1, 3), st.sampled_from(["live", "suspect", "leaving"])
)


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STATUSES, min_size=1), st.randoms(use_true_random=False))
def test_any_order_of_arrival_gives_the_same_state(statuses, rng):
    results = []
    for _ in range(2):
        table = HostTable(host="a")
        for item in statuses:
            table.merge(item, source="c")
        results.append(table.statuses["b"])
        rng.shuffle(statuses)
    assert results[0] == results[1]


def test_host_refutes_a_suspicion_and_an_earlier_run():
    table = HostTable(host="b")
    table.update_own(
        incarnation="2", revision=1, running=0, state="live", leaving_upstreams=()
    )
    table.merge(status(9, "suspect"), source="c")
    own = table.own
    assert (own.version, own.state, own.incarnation) == (10, "live", "2")


@pytest.mark.parametrize("state", ["suspect", "leaving"])
def test_upstreams_named_by_a_host_that_is_gone_do_not_count(state):
    table = HostTable(host="a")
    named = {"leaving_upstreams": ("assistant-1",)}
    table.merge(status(1, **named), source="b")
    assert table.leaving_upstreams() == {"assistant-1"}
    table.merge(status(2, state, **named), source="b")
    assert table.leaving_upstreams() == set()


def test_changes_for_a_neighbour_are_bounded_and_complete():
    table = HostTable(host="a")
    table.add_neighbour("n")
    for index in range(100):
        table.merge(status(1, host=f"h{index}"), source="x")
    batches = [table.take_changes("n") for _ in range(6)]
    assert max(map(len, batches)) <= 25
    names = {item.host for batch in batches for item in batch}
    assert names == {"a"} | {f"h{index}" for index in range(100)}


@pytest.mark.parametrize("count", [2, 8, 64])
def test_every_host_is_watched_by_a_constant_number(count):
    hosts = [f"h{index}" for index in range(count)]
    watchers = dict.fromkeys(hosts, 0)
    for host in hosts:
        plan = MonitorPlan(host=host)
        plan.set_hosts(hosts)
        for target in plan.targets(set(hosts)):
            watchers[target] += 1
    assert set(watchers.values()) == {min(MONITOR_COUNT, count - 1)}


def test_status_survives_its_compact_form():
    item = status(3, "leaving", leaving_upstreams=("x",))
    assert unpack_status(pack_status(item)) == item
