"""Tests of what stewards tell one another, over a fabric on virtual time."""

import pytest

from harness.fabric import make_fabric
from lacewinglug.authority.state import ControlState
from lacewinglug.membership import detector
from tests.authority.writers import Writers, copy_state


def views(fabric, host):
    """Return how the other running nodes see a host."""
    return {
        node.exchange.table.statuses[host].state
        for name, node in fabric.nodes.items()
        if name != host and not node.down and host in node.exchange.table.statuses
    }


@pytest.fixture
def fabric():
    fabric = make_fabric(8)
    fabric.run(10.0)
    assert all(len(n.exchange.table.live_hosts()) == 8 for n in fabric.nodes.values())
    return fabric


def test_killed_host_is_suspected_everywhere_and_comes_back(fabric):
    dead = fabric.nodes["entry-3"]
    dead.down = True
    fabric.run(10.0)
    assert views(fabric, "entry-3") == {"suspect"}
    del fabric.nodes["entry-3"]
    fabric.add_node("entry-3", ControlState(), phase_s=0.5)
    fabric.run(10.0)
    assert views(fabric, "entry-3") == {"live"}
    assert fabric.nodes["entry-3"].state.revision == 1


def test_paused_host_that_wakes_refutes_the_suspicion_and_suspects_nobody(fabric):
    fabric.nodes["entry-3"].down = True
    fabric.run(10.0)
    fabric.nodes["entry-3"].down = False
    fabric.run(5.0)
    assert views(fabric, "entry-3") == {"live"}
    assert len(fabric.nodes["entry-3"].exchange.table.live_hosts()) == 8


def watchers(fabric, host):
    return [
        name
        for name, node in fabric.nodes.items()
        if host in node.exchange.detector.monitored
    ]


def test_one_broken_path_does_not_make_a_suspect(fabric):
    watcher = watchers(fabric, "entry-3")[0]
    fabric.blocked |= {(watcher, "entry-3"), ("entry-3", watcher)}
    for _ in range(400):
        fabric.run(0.05)
        assert views(fabric, "entry-3") == {"live"}


def test_without_asking_others_a_broken_path_makes_a_suspect(fabric, monkeypatch):
    """Shows that the question to others is what the test above relies on."""
    monkeypatch.setattr(detector, "INDIRECT_PROBE_AFTER_S", 1e9)
    watcher = watchers(fabric, "entry-3")[0]
    fabric.blocked |= {(watcher, "entry-3"), ("entry-3", watcher)}
    seen = set()
    for _ in range(400):
        fabric.run(0.05)
        seen |= views(fabric, "entry-3")
    assert "suspect" in seen


def test_isolated_host_suspects_nobody_and_is_suspected(fabric):
    others = set(fabric.nodes) - {"entry-3"}
    fabric.blocked |= {("entry-3", name) for name in others}
    fabric.blocked |= {(name, "entry-3") for name in others}
    fabric.run(15.0)
    assert views(fabric, "entry-3") == {"suspect"}
    assert len(fabric.nodes["entry-3"].exchange.table.live_hosts()) == 8
    fabric.blocked.clear()
    fabric.run(8.0)
    assert views(fabric, "entry-3") == {"live"}


def publish_from(state, region):
    """Return a publication on top of a state."""
    writers = Writers(views={"a": copy_state(state)})
    writers.publish("a", region)
    return writers.records[0].data


def test_revision_reaches_nodes_whose_tail_is_stuck(fabric):
    nodes = list(fabric.nodes.values())
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    fabric.append(publish_from(nodes[0].state, "mtl"))
    fabric.run(2.0)
    assert {node.state.revision for node in nodes} == {2}


def test_revision_too_large_to_hand_on_is_asked_for(fabric, monkeypatch):
    monkeypatch.setattr("lacewinglug.steward.peers._HAND_ON_BYTES", 10)
    nodes = list(fabric.nodes.values())
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    fabric.append(publish_from(nodes[0].state, "mtl"))
    fabric.run(10.0)
    assert {node.state.revision for node in nodes} == {2}


def test_steward_that_starts_while_the_log_is_down_takes_the_highest_revision(fabric):
    nodes = list(fabric.nodes.values())
    ahead = nodes[0]
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    fabric.append(publish_from(ahead.state, "mtl"))
    fabric.run(2.0)
    del fabric.nodes["entry-8"]
    fabric.add_node("entry-8", ControlState(), phase_s=0.1)
    fabric.run(3.0)
    assert fabric.nodes["entry-8"].state.revision == 2


def test_peer_that_offers_an_older_state_is_ignored(fabric):
    nodes = list(fabric.nodes.values())
    old = copy_state(nodes[0].state)
    fabric.append(publish_from(nodes[0].state, "mtl"))
    fabric.run(2.0)
    assert not nodes[1].exchange.replica.adopt(old)
    old.next_offset = 99
    assert not nodes[1].exchange.replica.adopt(old)
    assert nodes[1].state.revision == 2


def test_leaving_upstream_is_known_everywhere_within_the_target(fabric):
    node = fabric.nodes["entry-2"]
    urgent = node.report(leaving=("assistant-1",))
    actions = node.exchange.spread(now_s=fabric.now_s, urgent=urgent)
    fabric.perform("entry-2", actions)
    fabric.run(3.0)
    for item in fabric.nodes.values():
        assert item.exchange.table.leaving_upstreams() == {"assistant-1"}


def test_records_of_another_history_are_refused(fabric):
    nodes = list(fabric.nodes.values())
    other = nodes[1].state
    other.last_digest = "another record"
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    fabric.append(publish_from(nodes[0].state, "mtl"))
    fabric.run(2.0)
    assert (other.revision, nodes[1].exchange.replica.conflicts > 0) == (1, True)
    assert {node.state.revision for node in nodes[2:]} == {2}
