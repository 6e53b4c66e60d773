"""Calls with real processes that are killed, paused and cut off."""

import asyncio
import random
import signal
from collections import Counter

import aiohttp
import pytest

from lacewinglug.standin.relay import TcpRelay
from tests.entry.call_stage import HOSTS, RUNNER, SERVICE, CallStage, deploy

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def deployed(tmp_path_factory):
    deployment, service_port, relay_port = deploy(tmp_path_factory.mktemp("calls"))
    with deployment:
        yield deployment, service_port, relay_port
        deployment.processes.pop(RUNNER).kill()


@pytest.fixture
async def stage(deployed):
    deployment, service_port, relay_port = deployed
    relay = TcpRelay(port=relay_port, target_port=service_port)
    await relay.start()
    timeout = aiohttp.ClientTimeout(total=20.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        stage = CallStage(
            deployment=deployment,
            session=session,
            relay=relay,
            service_port=service_port,
        )
        await stage.wait_ready()
        yield stage
        await stage.judge()
        await stage.set_faults()
        await stage.set_faults("platform")
    await relay.stop()


async def kill_and_restart(stage, host):
    stage.kill(host)
    stage.deployment.start_entry(host)
    await stage.wait_ready(host)


async def test_kill_between_mint_and_send(stage):
    key = await stage.mint("entry-1")
    stage.kill("entry-1")
    assert await stage.call("entry-2", key) == "outcome_unknown"
    stage.deployment.start_entry("entry-1")
    await stage.wait_ready("entry-1")
    assert await stage.call("entry-1", key) == "outcome_unknown"
    assert (await stage.runs())[key] == 0


@pytest.mark.parametrize("own", [False, True])
async def test_kill_between_send_and_reply(stage, own):
    key = "order-killed" if own else await stage.mint("entry-1")
    # Longer than any pause of this machine, so that no reply comes before the kill.
    await stage.set_faults(late_replies=1, late_s=30.0)
    first = asyncio.create_task(stage.call("entry-1", key))
    await stage.wait_run(key)
    for host in HOSTS:
        await kill_and_restart(stage, host)
    assert await first in ("connection_lost", "outcome_unknown")
    for host in HOSTS:
        assert await stage.call(host, key) == "outcome_unknown"
    assert (await stage.runs())[key] == 1


async def test_answer_outlives_the_owner(stage):
    key = await stage.mint("entry-1")
    assert await stage.call("entry-1", key) == "answered"
    await asyncio.sleep(1.5)
    await kill_and_restart(stage, "entry-1")
    for host in HOSTS:
        assert await stage.call(host, key) == "answered"


async def test_pause_of_the_owner_longer_than_every_timeout(stage):
    key = await stage.mint("entry-1")
    await stage.set_faults(late_replies=1, late_s=1.0)
    first = asyncio.create_task(stage.call("entry-1", key))
    await stage.wait_run(key)
    stage.deployment.send_signal("entry-1.entry", signal.SIGSTOP)
    assert await stage.call("entry-2", key) == "outcome_unknown"
    await asyncio.sleep(2.0)
    stage.deployment.send_signal("entry-1.entry", signal.SIGCONT)
    outcome = await first
    assert outcome in ("answered", "outcome_unknown")
    await stage.wait_ready()
    assert [await stage.call(host, key) for host in HOSTS] == [outcome] * 2


@pytest.mark.parametrize("fault", ["silent", "cut", "late", "lost", "swapped"])
async def test_reply_that_never_comes_leaves_the_outcome_unknown(stage, fault):
    keys = [await stage.mint("entry-1") for _ in range(2)]
    match fault:
        case "swapped":
            await stage.set_faults(swap_replies=1)
        case "lost":
            await stage.set_faults(lose_replies=2)
        case _:
            await stage.set_faults(late_replies=2, late_s=4.0)
    sends = [
        asyncio.create_task(stage.call(host, key))
        for host, key in zip(HOSTS, keys, strict=True)
    ]
    for key in keys:
        await stage.wait_run(key)
    if fault == "silent":
        stage.relay.silence_open_connections()
    if fault == "cut":
        stage.relay.cut_open_connections()
    assert await asyncio.gather(*sends) == ["outcome_unknown"] * 2
    await stage.set_faults()
    assert await stage.call("entry-1", await stage.mint("entry-1")) == "answered"


async def test_two_entries_that_get_an_own_key_at_once_run_it_once(stage):
    keys = [f"order-{number}" for number in range(40)]
    outcomes = await asyncio.gather(
        *(stage.call(host, key) for key in keys for host in HOSTS)
    )
    assert set(outcomes) == {"answered"}
    runs = await stage.runs()
    assert {key: runs[key] for key in keys} == dict.fromkeys(keys, 1)


async def test_log_outage_refuses_new_own_keys_and_nothing_else(stage):
    assert await stage.call("entry-1", "order-early") == "answered"
    minted = await stage.mint("entry-1")
    await stage.set_faults("platform", refuse=True)
    for host in HOSTS:
        assert await stage.call(host, "order-early") == "answered"
        assert await stage.call(host, minted) == "answered"
        assert await stage.call(host, "order-late") == "not_run"
    assert (await stage.runs())["order-late"] == 0


async def test_caller_library_repeats_at_another_entry(stage):
    client = stage.caller("entry-1")
    await client.fetch_addresses()
    # Longer than any pause of this machine, so that no reply comes before the kill.
    await stage.set_faults(late_replies=1, late_s=30.0)
    runs = sum((await stage.runs()).values())
    first = asyncio.create_task(
        client.run_call(SERVICE, "unlock", "bay of the library")
    )

    async def is_run():
        return sum((await stage.runs()).values()) > runs

    await stage.wait_until(is_run)
    owner = client.addresses[0]
    [host] = [name for name in HOSTS if stage.deployment.entry_url(name) == owner]
    await kill_and_restart(stage, host)
    failure = (await first).failure()
    assert (failure.outcome, failure.repeat_with) == ("outcome_unknown", "")
    reply = await client.run_call(SERVICE, "unlock", "bay of the library")
    assert reply.unwrap().result == "done /unlock bay of the library"


async def test_idempotent_call_needs_no_key(stage):
    client = stage.caller("entry-1")
    reply = (await client.send_call(SERVICE, "bays", "")).unwrap()
    assert reply.result.startswith("done /bays")


async def test_hundreds_of_calls_under_faults(stage):
    rng = random.Random(5)
    await stage.set_faults(late_replies=10, late_s=4.0, lose_replies=10, swap_replies=6)

    async def story(number):
        key = f"seeded-{number}"
        if number % 2:
            try:
                key = await stage.mint(rng.choice(HOSTS))
            except aiohttp.ClientError:
                return
        for _ in range(3):
            await stage.call(rng.choice(HOSTS), key, f"bay {number}")
            await asyncio.sleep(rng.uniform(0.0, 0.5))

    async def disturb():
        await asyncio.sleep(1.0)
        stage.kill("entry-1")
        stage.deployment.start_entry("entry-1")
        await asyncio.sleep(1.0)
        stage.relay.silence_open_connections()

    async with asyncio.TaskGroup() as group:
        group.create_task(disturb())
        for number in range(200):
            group.create_task(story(number))
            await asyncio.sleep(0.01)
    answered = [key for key, told in stage.told.items() if "answered" in told]
    assert len(answered) > 100


@pytest.mark.parametrize(
    ("told", "runs"),
    [
        (["answered"], 0),
        (["answered"], 2),
        (["outcome_unknown"], 2),
        (["not_run"], 1),
        (["outcome_unknown", "not_run"], 1),
    ],
)
async def test_judge_of_the_journal_finds_a_broken_promise(monkeypatch, told, runs):
    async def fake_runs(_):
        return Counter({"key": runs})

    monkeypatch.setattr(CallStage, "runs", fake_runs)
    stage = CallStage(
        deployment=None, session=None, relay=None, service_port=0, told={"key": told}
    )
    with pytest.raises(AssertionError):
        await stage.judge()
