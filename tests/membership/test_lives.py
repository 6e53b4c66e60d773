"""Tests of the host lifecycle."""

import pytest

from lacewinglug.authority.state import ControlState
from lacewinglug.config.objects import Fleet
from lacewinglug.membership.lives import HostLifecycles
from lacewinglug.membership.table import HostTable
from tests.membership.test_table import make_status

HOST = "b"


class Cluster:
    """A host with its entries in the replayed state and in the gossip table."""

    def __init__(self):
        self.state = ControlState(fleet=Fleet(hosts={HOST: None}))
        self.table = HostTable(host="a")
        self.lifecycles = HostLifecycles()
        self.version = 0

    def receive_status(self, state):
        self.version += 1
        self.table.merge(make_status(self.version, state), source="c")

    def drain(self):
        self.state.draining.add(HOST)

    def end_drain(self):
        self.state.draining.discard(HOST)

    def withdraw(self):
        self.state.withdrawn.add(HOST)

    def replace(self):
        self.state.withdrawn.discard(HOST)

    def report_leaving(self):
        other = make_status(1, host="c", leaving_upstreams=(HOST,))
        self.table.merge(other, source="c")


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ("nothing", "unknown"),
        ("live suspect live", "live suspect live"),
        ("live leaving suspect", "live leaving suspect"),
        ("live drain suspect end_drain", "live draining draining suspect"),
        ("live withdraw live replace", "live withdrawn withdrawn live"),
        ("live drain withdraw end_drain", "live draining withdrawn withdrawn"),
        ("live report_leaving live", "live leaving leaving"),
    ],
)
def test_lifecycle_follows_log_and_gossip(steps, expected):
    cluster = Cluster()
    seen = []
    for step in steps.split():
        match step:
            case "live" | "suspect" | "leaving":
                cluster.receive_status(step)
            case "nothing":
                pass
            case _:
                getattr(cluster, step)()
        cluster.lifecycles.update(cluster.state, cluster.table)
        seen.append(cluster.lifecycles.hosts[HOST].chart_state)
    assert seen == expected.split()
