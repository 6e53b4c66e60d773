"""Tests of calls while real processes are killed, paused or disconnected."""

import asyncio
import random
import signal
from collections import Counter

import aiohttp
import pytest

from lacewinglug.connections import make_connector
from lacewinglug.standin.relay import TcpRelay
from tests.entry.call_stage import HOSTS, RUNNER, SERVICE, CallScenario, deploy

pytestmark = pytest.mark.processes
CALL_TIMEOUT_S = 120.0
"""Time after which a caller gives up, longer than any timeout of an entry."""


@pytest.fixture(scope="module")
def deployed(tmp_path_factory):
    deployment, service_port, relay_port = deploy(tmp_path_factory.mktemp("calls"))
    with deployment:
        yield deployment, service_port, relay_port
        deployment.processes.pop(RUNNER).kill()


@pytest.fixture
async def scenario(deployed):
    deployment, service_port, relay_port = deployed
    relay = TcpRelay(port=relay_port, target_port=service_port)
    await relay.start()
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(
        connector=make_connector(), timeout=timeout
    ) as session:
        scenario = CallScenario(
            deployment=deployment,
            session=session,
            relay=relay,
            service_port=service_port,
        )
        await scenario.wait_ready()
        yield scenario
        await scenario.check_journal()
        await scenario.set_faults()
        await scenario.set_faults("platform")
    await relay.stop()


async def kill_and_restart(scenario, host):
    scenario.kill(host)
    scenario.deployment.start_entry(host)
    await scenario.wait_ready(host)


async def test_kill_between_mint_and_send(scenario):
    key = await scenario.mint("entry-1")
    scenario.kill("entry-1")
    assert await scenario.call("entry-2", key) == "outcome_unknown"
    scenario.deployment.start_entry("entry-1")
    await scenario.wait_ready("entry-1")
    assert await scenario.call("entry-1", key) == "outcome_unknown"
    assert (await scenario.run_counts())[key] == 0


@pytest.mark.parametrize("own", [False, True])
async def test_kill_between_send_and_reply(scenario, own):
    key = "order-killed" if own else await scenario.mint("entry-1")
    # Longer than any scheduling pause, so that no reply arrives before the kill.
    await scenario.set_faults(late_replies=1, late_s=30.0)
    first = asyncio.create_task(scenario.call("entry-1", key))
    await scenario.wait_until_run(key)
    for host in HOSTS:
        await kill_and_restart(scenario, host)
    assert await first in ("connection_lost", "outcome_unknown")
    for host in HOSTS:
        assert await scenario.call(host, key) == "outcome_unknown"
    assert (await scenario.run_counts())[key] == 1


async def test_result_survives_a_restart_of_the_key_owner(scenario):
    key = await scenario.mint("entry-1")
    assert await scenario.call("entry-1", key) == "answered"
    await asyncio.sleep(1.5)
    await kill_and_restart(scenario, "entry-1")
    for host in HOSTS:
        assert await scenario.call(host, key) == "answered"


async def test_pause_of_the_owner_longer_than_every_timeout(scenario):
    key = await scenario.mint("entry-1")
    await scenario.set_faults(late_replies=1, late_s=1.0)
    first = asyncio.create_task(scenario.call("entry-1", key))
    await scenario.wait_until_run(key)
    scenario.deployment.send_signal("entry-1.entry", signal.SIGSTOP)
    assert await scenario.call("entry-2", key) == "outcome_unknown"
    await asyncio.sleep(2.0)
    scenario.deployment.send_signal("entry-1.entry", signal.SIGCONT)
    outcome = await first
    assert outcome in ("answered", "outcome_unknown")
    await scenario.wait_ready()
    assert [await scenario.call(host, key) for host in HOSTS] == [outcome] * 2


@pytest.mark.parametrize("fault", ["silent", "cut", "late", "lost", "swapped"])
async def test_reply_that_never_comes_leaves_the_outcome_unknown(scenario, fault):
    keys = [await scenario.mint("entry-1") for _ in range(2)]
    match fault:
        case "swapped":
            await scenario.set_faults(swap_replies=1)
        case "lost":
            await scenario.set_faults(lose_replies=2)
        case _:
            await scenario.set_faults(late_replies=2, late_s=4.0)
    sends = [
        asyncio.create_task(scenario.call(host, key))
        for host, key in zip(HOSTS, keys, strict=True)
    ]
    for key in keys:
        await scenario.wait_until_run(key)
    if fault == "silent":
        scenario.relay.silence_open_connections()
    if fault == "cut":
        scenario.relay.cut_open_connections()
    assert await asyncio.gather(*sends) == ["outcome_unknown"] * 2
    await scenario.set_faults()
    assert await scenario.call("entry-1", await scenario.mint("entry-1")) == "answered"


async def test_two_entries_that_get_an_own_key_at_once_run_it_once(scenario):
    keys = [f"order-{number}" for number in range(40)]
    outcomes = await asyncio.gather(
        *(scenario.call(host, key) for key in keys for host in HOSTS)
    )
    assert set(outcomes) == {"answered"}
    runs = await scenario.run_counts()
    assert {key: runs[key] for key in keys} == dict.fromkeys(keys, 1)


async def test_log_outage_refuses_new_own_keys_and_nothing_else(scenario):
    assert await scenario.call("entry-1", "order-early") == "answered"
    minted = await scenario.mint("entry-1")
    await scenario.set_faults("platform", refuse=True)
    for host in HOSTS:
        assert await scenario.call(host, "order-early") == "answered"
        assert await scenario.call(host, minted) == "answered"
        assert await scenario.call(host, "order-late") == "not_run"
    assert (await scenario.run_counts())["order-late"] == 0


async def test_caller_library_retries_at_another_entry(scenario):
    client = scenario.caller("entry-1")
    await client.fetch_addresses()
    # Longer than any scheduling pause, so that no reply arrives before the kill.
    await scenario.set_faults(late_replies=1, late_s=30.0)
    runs = sum((await scenario.run_counts()).values())
    first = asyncio.create_task(
        client.run_call(SERVICE, "unlock", "bay of the library")
    )

    async def is_run():
        return sum((await scenario.run_counts()).values()) > runs

    await scenario.wait_until(is_run)
    owner = client.addresses[0]
    [host] = [name for name in HOSTS if scenario.deployment.entry_url(name) == owner]
    await kill_and_restart(scenario, host)
    failure = (await first).failure()
    assert (failure.outcome, failure.repeat_with) == ("outcome_unknown", "")
    reply = await client.run_call(SERVICE, "unlock", "bay of the library")
    assert reply.unwrap().result == "done /unlock bay of the library"


async def test_idempotent_call_needs_no_key(scenario):
    client = scenario.caller("entry-1")
    reply = (await client.send_call(SERVICE, "bays", "")).unwrap()
    assert reply.result.startswith("done /bays")


async def test_keys_run_at_most_once_under_faults(scenario):
    rng = random.Random(5)
    await scenario.set_faults(
        late_replies=10, late_s=4.0, lose_replies=10, swap_replies=6
    )

    async def send_repeatedly(number):
        key = f"seeded-{number}"
        if number % 2:
            try:
                key = await scenario.mint(rng.choice(HOSTS))
            except aiohttp.ClientError:
                return
        for _ in range(3):
            await scenario.call(rng.choice(HOSTS), key, f"bay {number}")
            await asyncio.sleep(rng.uniform(0.0, 0.5))

    async def inject_faults():
        await asyncio.sleep(1.0)
        scenario.kill("entry-1")
        scenario.deployment.start_entry("entry-1")
        await asyncio.sleep(1.0)
        scenario.relay.silence_open_connections()

    async with asyncio.TaskGroup() as group:
        group.create_task(inject_faults())
        for number in range(200):
            group.create_task(send_repeatedly(number))
            await asyncio.sleep(0.01)
    answered = [key for key, told in scenario.outcomes.items() if "answered" in told]
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
async def test_journal_check_detects_violations(monkeypatch, told, runs):
    async def fake_runs(_):
        return Counter({"key": runs})

    monkeypatch.setattr(CallScenario, "run_counts", fake_runs)
    scenario = CallScenario(
        deployment=None,
        session=None,
        relay=None,
        service_port=0,
        outcomes={"key": told},
    )
    with pytest.raises(AssertionError):
        await scenario.check_journal()
