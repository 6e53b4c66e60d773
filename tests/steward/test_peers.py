"""Tests of the protocol between stewards, over a simulated network on virtual time."""

import pytest

from harness.fabric import make_network
from lacewinglug.authority.state import ControlState
from lacewinglug.membership import detector
from tests.authority.writers import Writers, copy_state


def states_seen_by_others(network, host):
    """Return the states that other running stewards have for a host."""
    return {
        node.peer_protocol.table.statuses[host].state
        for name, node in network.nodes.items()
        if name != host and not node.down and host in node.peer_protocol.table.statuses
    }


@pytest.fixture
def network():
    network = make_network(8)
    network.run(10.0)
    assert all(
        len(node.peer_protocol.table.live_hosts()) == 8
        for node in network.nodes.values()
    )
    return network


def test_killed_host_is_suspected_by_all_and_live_again_after_a_restart(network):
    killed = network.nodes["entry-3"]
    killed.down = True
    network.run(10.0)
    assert states_seen_by_others(network, "entry-3") == {"suspect"}
    del network.nodes["entry-3"]
    network.add_node("entry-3", ControlState(), phase_s=0.5)
    network.run(10.0)
    assert states_seen_by_others(network, "entry-3") == {"live"}
    assert network.nodes["entry-3"].state.revision == 1


def test_resumed_host_refutes_the_suspicion_and_suspects_nobody(network):
    network.nodes["entry-3"].down = True
    network.run(10.0)
    network.nodes["entry-3"].down = False
    network.run(5.0)
    assert states_seen_by_others(network, "entry-3") == {"live"}
    assert len(network.nodes["entry-3"].peer_protocol.table.live_hosts()) == 8


def monitors(network, host):
    return [
        name
        for name, node in network.nodes.items()
        if host in node.peer_protocol.detector.monitored
    ]


def test_host_with_one_broken_path_is_not_suspected(network):
    monitor = monitors(network, "entry-3")[0]
    network.blocked_paths |= {(monitor, "entry-3"), ("entry-3", monitor)}
    for _ in range(400):
        network.run(0.05)
        assert states_seen_by_others(network, "entry-3") == {"live"}


def test_host_with_one_broken_path_is_suspected_without_probe_requests(
    network, monkeypatch
):
    """Show that the test above passes only because others are asked to probe."""
    monkeypatch.setattr(detector, "INDIRECT_PROBE_AFTER_S", 1e9)
    monitor = monitors(network, "entry-3")[0]
    network.blocked_paths |= {(monitor, "entry-3"), ("entry-3", monitor)}
    seen = set()
    for _ in range(400):
        network.run(0.05)
        seen |= states_seen_by_others(network, "entry-3")
    assert "suspect" in seen


def test_isolated_host_suspects_nobody_and_is_suspected(network):
    others = set(network.nodes) - {"entry-3"}
    network.blocked_paths |= {("entry-3", name) for name in others}
    network.blocked_paths |= {(name, "entry-3") for name in others}
    network.run(15.0)
    assert states_seen_by_others(network, "entry-3") == {"suspect"}
    assert len(network.nodes["entry-3"].peer_protocol.table.live_hosts()) == 8
    network.blocked_paths.clear()
    network.run(8.0)
    assert states_seen_by_others(network, "entry-3") == {"live"}


def encode_publication(state, region):
    """Return an encoded publication that follows a state."""
    writers = Writers(views={"a": copy_state(state)})
    writers.publish("a", region)
    return writers.records[0].data


def test_revision_reaches_stewards_whose_log_tail_is_stuck(network):
    nodes = list(network.nodes.values())
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    network.append(encode_publication(nodes[0].state, "mtl"))
    network.run(2.0)
    assert {node.state.revision for node in nodes} == {2}


def test_revision_too_large_to_forward_is_requested(network, monkeypatch):
    monkeypatch.setattr("lacewinglug.steward.peers._MAX_FORWARD_BYTES", 10)
    nodes = list(network.nodes.values())
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    network.append(encode_publication(nodes[0].state, "mtl"))
    network.run(10.0)
    assert {node.state.revision for node in nodes} == {2}


def test_steward_that_starts_while_the_log_is_down_adopts_the_highest_revision(network):
    nodes = list(network.nodes.values())
    up_to_date = nodes[0]
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    network.append(encode_publication(up_to_date.state, "mtl"))
    network.run(2.0)
    del network.nodes["entry-8"]
    network.add_node("entry-8", ControlState(), phase_s=0.1)
    network.run(3.0)
    assert network.nodes["entry-8"].state.revision == 2


def test_older_state_from_a_peer_is_ignored(network):
    nodes = list(network.nodes.values())
    old = copy_state(nodes[0].state)
    network.append(encode_publication(nodes[0].state, "mtl"))
    network.run(2.0)
    assert not nodes[1].peer_protocol.replica.adopt_newer(old)
    old.next_offset = 99
    assert not nodes[1].peer_protocol.replica.adopt_newer(old)
    assert nodes[1].state.revision == 2


def test_leaving_upstream_is_known_to_all_stewards_within_the_target(network):
    node = network.nodes["entry-2"]
    urgent = node.update_own_status(leaving=("assistant-1",))
    actions = node.peer_protocol.gossip_changes(now_s=network.now_s, urgent=urgent)
    network.execute_actions("entry-2", actions)
    network.run(3.0)
    for item in network.nodes.values():
        assert item.peer_protocol.table.leaving_upstreams() == {"assistant-1"}


def test_records_of_a_different_history_are_rejected(network):
    nodes = list(network.nodes.values())
    other = nodes[1].state
    other.last_digest = "another record"
    for node in nodes[1:]:
        node.tail_delay_s = 600.0
    network.append(encode_publication(nodes[0].state, "mtl"))
    network.run(2.0)
    assert (other.revision, nodes[1].peer_protocol.replica.conflict_count > 0) == (
        1,
        True,
    )
    assert {node.state.revision for node in nodes[2:]} == {2}
