"""After a start of all hosts, engines are asked once for what they keep."""

import asyncio

from tests.host.hosting import running_host
from tests.platform.scene import Scene, make_settings
from tests.platform.standin import RunnerStandin


def kept_tokens(process):
    account = process.state.engines.get("e-1")
    return (
        0 if account is None else sum(part.tokens for part in account.residency.parts)
    )


async def open_scene():
    engine = RunnerStandin("e-1", "llm", stage="decode")
    engine.kept = [("a1", 2000), ("b2", 1000)]
    return await Scene().open(engine), engine


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
            running_host(scene.settings) as a,
            running_host(second) as b,
        ):
            while not (kept_tokens(a) == kept_tokens(b) == 3000):
                await asyncio.sleep(0.02)
        assert engine.lists == 1
    finally:
        scene.close()


async def test_a_host_that_starts_among_others_is_told_by_one():
    scene, engine = await open_scene()
    second = make_second(scene)
    try:
        async with asyncio.timeout(40), running_host(scene.settings) as a:
            while not a._cache_learner.done:
                await asyncio.sleep(0.02)
            async with running_host(second) as b:
                while kept_tokens(b) != 3000 or not b._cache_learner.done:
                    await asyncio.sleep(0.02)
        assert engine.lists == 1
    finally:
        scene.close()


async def test_the_first_start_asks_nobody():
    scene, engine = await open_scene()
    try:
        settings = scene.settings | {"Bootstrap": True}
        async with asyncio.timeout(40), running_host(settings) as process:
            while not process._cache_learner.done or not process.ready:
                await asyncio.sleep(0.02)
        assert engine.lists == 0
    finally:
        scene.close()
