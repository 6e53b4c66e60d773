"""Tests of the chart of a host's life."""

import pytest

from lacewinglug.authority.state import ControlState
from lacewinglug.config.objects import Fleet
from lacewinglug.membership.lives import HostLives
from lacewinglug.membership.table import HostTable
from tests.membership.test_table import status

HOST = "b"


class World:
    """A host and the facts that are known of it."""

    def __init__(self):
        self.state = ControlState(fleet=Fleet(hosts={HOST: None}))
        self.table = HostTable(host="a")
        self.lives = HostLives()
        self.version = 0

    def hear(self, state):
        self.version += 1
        self.table.merge(status(self.version, state), source="c")

    def drain(self):
        self.state.draining.add(HOST)

    def end_drain(self):
        self.state.draining.discard(HOST)

    def withdraw(self):
        self.state.withdrawn.add(HOST)

    def replace(self):
        self.state.withdrawn.discard(HOST)

    def list_leaving(self):
        other = status(1, host="c", leaving_upstreams=(HOST,))
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
        ("live list_leaving live", "live leaving leaving"),
    ],
)
def test_life_follows_the_facts(steps, expected):
    world = World()
    seen = []
    for step in steps.split():
        match step:
            case "live" | "suspect" | "leaving":
                world.hear(step)
            case "nothing":
                pass
            case _:
                getattr(world, step)()
        world.lives.update(world.state, world.table)
        seen.append(world.lives.lives[HOST].chart_state)
    assert seen == expected.split()
