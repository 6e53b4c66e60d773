"""Tests that each engine is queried once for its cached parts when all hosts start."""

import asyncio

from tests.host.hosting import running_host
from tests.platform.scene import HostTestbed, make_settings
from tests.platform.standin import FakeRunner


def cached_tokens(process):
    tracked = process.state.engines.get("e-1")
    return (
        0
        if tracked is None
        else sum(part.tokens for part in tracked.prefix_cache.parts)
    )


async def open_scene_with_engine():
    engine = FakeRunner("e-1", "llm", stage="decode")
    engine.cached_parts = [("a1", 2000), ("b2", 1000)]
    return await HostTestbed().open(engine), engine


def make_second_settings(scene):
    ip = scene.settings["Ip"].rpartition(".")[0] + ".252"
    settings = make_settings(ip, scene.store.address, name="edge-2")
    settings["InternalPorts"] = scene.settings["InternalPorts"]
    return settings


async def test_each_engine_is_queried_once_when_all_hosts_restart():
    scene, engine = await open_scene_with_engine()
    second = make_second_settings(scene)
    try:
        async with (
            asyncio.timeout(40),
            running_host(scene.settings) as a,
            running_host(second) as b,
        ):
            while not (cached_tokens(a) == cached_tokens(b) == 3000):
                await asyncio.sleep(0.02)
        assert engine.cache_list_count == 1
    finally:
        scene.close()


async def test_a_host_that_joins_gets_the_cached_parts_from_one_host():
    scene, engine = await open_scene_with_engine()
    second = make_second_settings(scene)
    try:
        async with asyncio.timeout(40), running_host(scene.settings) as a:
            while not a._cache_learner.done:
                await asyncio.sleep(0.02)
            async with running_host(second) as b:
                while cached_tokens(b) != 3000 or not b._cache_learner.done:
                    await asyncio.sleep(0.02)
        assert engine.cache_list_count == 1
    finally:
        scene.close()


async def test_no_engine_is_queried_at_the_first_start():
    scene, engine = await open_scene_with_engine()
    try:
        settings = scene.settings | {"Bootstrap": True}
        async with asyncio.timeout(40), running_host(settings) as process:
            while not process._cache_learner.done or not process.ready:
                await asyncio.sleep(0.02)
        assert engine.cache_list_count == 0
    finally:
        scene.close()
