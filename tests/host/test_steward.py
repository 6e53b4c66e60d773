"""Stage change orders of one host, and detection of services that cannot stream."""

import asyncio
import contextlib
import math
from dataclasses import replace
from types import SimpleNamespace

from lacewinglug.host.fleet import FleetView
from lacewinglug.host.model import Stage
from lacewinglug.host.steward import ORDER_SETTLE_S, StageController
from lacewinglug.wire.messages import Response
from tests.host.hosting import running_host
from tests.host.samples import make_configuration, make_engine
from tests.platform.scene import HostTestbed
from tests.platform.standin import FakeRunner


@contextlib.asynccontextmanager
async def planning_host(monkeypatch, engines):
    """Run a host that plans without delays; yield the scene."""
    for name in ("STARTUP_DELAY_S", "PLAN_CONFIRMATION_DELAY_S", "PLAN_INTERVAL_S"):
        monkeypatch.setattr(f"lacewinglug.host.steward.{name}", 0.05)
    monkeypatch.setattr("lacewinglug.host.tenure.CLAIM_MARGIN_S", 0.0)
    scene = await HostTestbed().open(*engines)
    scene.settings["Bounds"]["LeaseMs"] = 50
    try:
        async with asyncio.timeout(40), running_host(scene.settings):
            yield scene
    finally:
        scene.close()


async def test_an_unbalanced_fleet_gets_orders_with_a_fencing_number(monkeypatch):
    engines = [FakeRunner(f"e-{number}", "llm", stage="decode") for number in range(4)]
    async with planning_host(monkeypatch, engines) as scene:
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


async def test_remaining_prefill_engines_get_a_decode_order_after_startup(monkeypatch):
    """A wait that began again at each host restart kept a service from recovering.

    Its decode engines had shut down before all hosts were killed.
    """
    engines = [FakeRunner(f"e-{number}", "llm", stage="prefill") for number in range(3)]
    async with planning_host(monkeypatch, engines):
        while not any(engine.orders for engine in engines):
            await asyncio.sleep(0.02)
    [order] = [order for engine in engines for order in engine.orders]
    assert order["Stage"] == "decode"


class BusyEngine(FakeRunner):
    """An engine that turns requests for its report away as long as it is busy."""

    busy = True
    report_count = 0

    async def handle(self, request, exchange):
        if request.target == b"/-/report":
            self.report_count += 1
            if self.busy:
                headers = ((b"Retry-After", b"1.5"),)
                await exchange.respond(Response(status=503, headers=headers))
                return
        await super().handle(request, exchange)


async def test_an_engine_that_asks_for_a_pause_gets_no_order_in_it_but_right_after(
    monkeypatch,
):
    """Guards against reports that are requested in the pause, and against a withheld
    one that counts as an order without a response, which blocks further ones for 15 s.
    """
    engines = [BusyEngine(f"e-{number}", "llm", stage="decode") for number in range(4)]
    async with planning_host(monkeypatch, engines):
        while not any(engine.report_count for engine in engines):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.7)
        assert max(engine.report_count for engine in engines) == 1
        for engine in engines:
            engine.busy = False
        async with asyncio.timeout(ORDER_SETTLE_S / 2):
            while sum(len(engine.orders) for engine in engines) < 2:
                await asyncio.sleep(0.02)


class ControllerScene:
    """A stage controller and its view of the engines of the service ``llm``."""

    def __init__(self):
        self.view = FleetView()
        routes = SimpleNamespace(configuration=make_configuration(1))
        self.now_s = 0.0
        state = SimpleNamespace(
            fleet=self.view, routes=routes, now_s=lambda: self.now_s
        )
        self.controller = StageController(
            state=state,
            tenure_manager=None,
            is_planner=lambda: False,
            announce_stage_change=lambda instance: None,
        )

    def observe(self, *entries, at_s):
        self.now_s = at_s
        self.view.update(entries, now_s=at_s)
        self.controller.record_streaming_engines()

    @property
    def without_streaming_engine_s(self):
        return self.controller.without_streaming_engine_s("llm", now_s=self.now_s)


def test_drained_engines_are_not_waited_for():
    """Waiting for engines drained during an outage kept a service from recovering."""
    scene = ControllerScene()
    prefill = make_engine("r", stage=Stage.PREFILL)
    scene.observe(prefill, make_engine("a"), make_engine("b"), at_s=0.0)
    scene.observe(prefill, replace(make_engine("a"), draining=True), at_s=2.0)
    assert scene.without_streaming_engine_s == 2.0, "b is silent and may come back"
    scene = ControllerScene()
    scene.observe(prefill, make_engine("a"), at_s=0.0)
    scene.observe(prefill, replace(make_engine("a"), draining=True), at_s=2.0)
    assert scene.without_streaming_engine_s == math.inf
    scene.observe(prefill, at_s=4.0)
    assert scene.without_streaming_engine_s == math.inf


def test_a_new_planner_does_not_restart_the_wait():
    """Every host records the engines, whether or not it plans."""
    scene = ControllerScene()
    prefill = make_engine("r", stage=Stage.PREFILL)
    scene.observe(prefill, make_engine("a"), at_s=0.0)
    for at_s in (2.0, 4.0, 16.0):
        scene.observe(prefill, at_s=at_s)
    assert scene.without_streaming_engine_s == 16.0


def test_engines_without_stages_count_as_running_streams():
    scene = ControllerScene()
    scene.view.update([make_engine("a", stage=Stage.NONE)], now_s=0.0)
    assert scene.controller.record_streaming_engines()
    scene.view.update([make_engine("a", stage=Stage.PREFILL)], now_s=1.0)
    assert not scene.controller.record_streaming_engines()
