"""Orders are given by one host, after a report, and not again in doubt."""

import asyncio
import contextlib
import math
from dataclasses import replace
from types import SimpleNamespace

from lacewinglug.host.fleet import FleetView
from lacewinglug.host.model import Stage
from lacewinglug.host.steward import StageSteward
from tests.host.hosting import hosting
from tests.host.samples import make_configuration, make_engine
from tests.platform.scene import HostTestbed
from tests.platform.standin import FakeRunner


@contextlib.asynccontextmanager
async def planning(monkeypatch, engines):
    """Run a host that plans without waits; yield the scene."""
    for name in ("SETTLE_S", "STABLE_S", "PLAN_EVERY_S"):
        monkeypatch.setattr(f"lacewinglug.host.steward.{name}", 0.05)
    monkeypatch.setattr("lacewinglug.host.tenure.CLAIM_MARGIN_S", 0.0)
    scene = await HostTestbed().open(*engines)
    scene.settings["Bounds"]["LeaseMs"] = 50
    try:
        async with asyncio.timeout(40), hosting(scene.settings):
            yield scene
    finally:
        scene.close()


async def test_a_fleet_far_from_its_plan_gets_fenced_orders(monkeypatch):
    engines = [FakeRunner(f"e-{number}", "llm", stage="decode") for number in range(4)]
    async with planning(monkeypatch, engines) as scene:
        while sum(len(engine.orders) for engine in engines) < 2:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
    orders = [order for engine in engines for order in engine.orders]
    assert [len(engine.orders) for engine in engines].count(1) == 2
    assert {order["Stage"] for order in orders} == {"prefill"}
    assert {order["FencingToken"] for order in orders} == {1}
    assert {order["Precondition"] for order in orders} == {0}
    assert {order["Holder"] for order in orders} == {"edge-1"}
    assert len(scene.store.topics["claims"]) == 1


async def test_the_last_readers_take_streams_at_once_after_a_start(monkeypatch):
    """fresh-be97 of skibus-pladser: the others had left before all hosts were killed.

    A wait that began anew at each start kept the service from all recovery.
    """
    readers = [FakeRunner(f"e-{number}", "llm", stage="prefill") for number in range(3)]
    async with planning(monkeypatch, readers):
        while not any(engine.orders for engine in readers):
            await asyncio.sleep(0.02)
    [order] = [order for engine in readers for order in engine.orders]
    assert order["Stage"] == "decode"


class Fleet:
    """A steward of the service ``llm`` and the view that it reads."""

    def __init__(self):
        self.view = FleetView()
        routes = SimpleNamespace(configuration=make_configuration(1))
        self.now_s = 0.0
        state = SimpleNamespace(
            fleet=self.view, routes=routes, now_s=lambda: self.now_s
        )
        self.steward = StageSteward(
            state=state,
            keeper=None,
            is_planner=lambda: False,
            tell_switching=lambda instance: None,
        )

    def see(self, *entries, at_s):
        self.now_s = at_s
        self.view.update(entries, now_s=at_s)
        self.steward.note_runners()

    @property
    def without_runner_s(self):
        return self.steward.without_runner_s("llm", now_s=self.now_s)


def test_engines_that_were_taken_away_are_not_waited_for():
    """fresh-be97: three engines that ran streams were emptied in an outage."""
    fleet = Fleet()
    reader = make_engine("r", stage=Stage.PREFILL)
    fleet.see(reader, make_engine("a"), make_engine("b"), at_s=0.0)
    fleet.see(reader, replace(make_engine("a"), draining=True), at_s=2.0)
    assert fleet.without_runner_s == 2.0, "b is silent and may come back"
    fleet = Fleet()
    fleet.see(reader, make_engine("a"), at_s=0.0)
    fleet.see(reader, replace(make_engine("a"), draining=True), at_s=2.0)
    assert fleet.without_runner_s == math.inf
    fleet.see(reader, at_s=4.0)
    assert fleet.without_runner_s == math.inf


def test_a_host_that_plans_after_another_does_not_count_the_wait_anew():
    """Every host notes the engines, whether or not it plans."""
    fleet = Fleet()
    reader = make_engine("r", stage=Stage.PREFILL)
    fleet.see(reader, make_engine("a"), at_s=0.0)
    for at_s in (2.0, 4.0, 16.0):
        fleet.see(reader, at_s=at_s)
    assert fleet.without_runner_s == 16.0


def test_engines_without_stages_stream():
    fleet = Fleet()
    fleet.view.update([make_engine("a", stage=Stage.NONE)], now_s=0.0)
    assert fleet.steward.note_runners()
    fleet.view.update([make_engine("a", stage=Stage.PREFILL)], now_s=1.0)
    assert not fleet.steward.note_runners()
