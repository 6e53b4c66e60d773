"""After a start of all hosts, engines are asked once for what they keep."""

import asyncio

from tests.host.hosting import hosting
from tests.platform.scene import HostTestbed, make_settings
from tests.platform.standin import FakeRunner


def kept_tokens(process):
    account = process.state.engines.get("e-1")
    return (
        0 if account is None else sum(part.tokens for part in account.residency.parts)
    )


async def open_scene():
    engine = FakeRunner("e-1", "llm", stage="decode")
    engine.cached_parts = [("a1", 2000), ("b2", 1000)]
    return await HostTestbed().open(engine), engine


def make_second(scene):
    ip = scene.settings["Ip"].rpartition(".")[0] + ".252"
    settings = make_settings(ip, scene.store.address, name="edge-2")
    settings["InternalPorts"] = scene.settings["InternalPorts"]
    return settings


async def test_hosts_that_all_start_anew_ask_each_engine_once():
    scene, engine = await open_scene()
    second = make_second(scene)
    try:
        async with (
            asyncio.timeout(40),
            hosting(scene.settings) as a,
            hosting(second) as b,
        ):
            while not (kept_tokens(a) == kept_tokens(b) == 3000):
                await asyncio.sleep(0.02)
        assert engine.cache_list_count == 1
    finally:
        scene.close()


async def test_a_host_that_starts_among_others_is_told_by_one():
    scene, engine = await open_scene()
    second = make_second(scene)
    try:
        async with asyncio.timeout(40), hosting(scene.settings) as a:
            while not a._caches.done:
                await asyncio.sleep(0.02)
            async with hosting(second) as b:
                while kept_tokens(b) != 3000 or not b._caches.done:
                    await asyncio.sleep(0.02)
        assert engine.cache_list_count == 1
    finally:
        scene.close()


async def test_the_first_start_asks_nobody():
    scene, engine = await open_scene()
    try:
        settings = scene.settings | {"Bootstrap": True}
        async with asyncio.timeout(40), hosting(settings) as process:
            while not process._caches.done or not process.ready:
                await asyncio.sleep(0.02)
        assert engine.cache_list_count == 0
    finally:
        scene.close()
