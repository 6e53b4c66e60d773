"""Orders are given by one host, after a report, and not again in doubt."""

import asyncio
import contextlib

from tests.host.hosting import hosting
from tests.platform.scene import Scene
from tests.platform.standin import RunnerStandin


@contextlib.asynccontextmanager
async def planning(monkeypatch, engines):
    """Run a host that plans without waits; yield the scene."""
    for name in ("SETTLE_S", "STABLE_S", "PLAN_EVERY_S"):
        monkeypatch.setattr(f"lacewinglug.host.steward.{name}", 0.05)
    monkeypatch.setattr("lacewinglug.host.tenure.CLAIM_MARGIN_S", 0.0)
    scene = await Scene().open(*engines)
    scene.settings["Bounds"]["LeaseMs"] = 50
    try:
        async with asyncio.timeout(40), hosting(scene.settings):
            yield scene
    finally:
        scene.close()


async def test_a_fleet_far_from_its_plan_gets_fenced_orders(monkeypatch):
    engines = [
        RunnerStandin(f"e-{number}", "llm", stage="decode") for number in range(4)
    ]
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


async def test_the_last_readers_take_streams_when_the_others_are_gone(monkeypatch):
    monkeypatch.setattr("lacewinglug.host.stages.LOST_FOR_S", 0.5)
    readers = [
        RunnerStandin(f"e-{number}", "llm", stage="prefill") for number in range(3)
    ]
    async with planning(monkeypatch, readers):
        while not any(engine.orders for engine in readers):
            await asyncio.sleep(0.02)
    [order] = [order for engine in readers for order in engine.orders]
    assert order["Stage"] == "decode"
