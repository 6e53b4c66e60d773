"""Tests of streams while real processes are killed, paused or restarted."""

import asyncio
import signal

import aiohttp
import msgspec
import pytest

from harness.deployment import Deployment
from lacewinglug.caller import CallerClient
from lacewinglug.clock import SystemClock
from lacewinglug.connections import make_connector
from lacewinglug.entry.app import StatusReply
from lacewinglug.load.driver import LoadDriver
from lacewinglug.load.plan import KindPlan, LoadPlan, plan_arrivals
from lacewinglug.requests.answers import PromptBody
from lacewinglug.standin.engine import expected_token

pytestmark = pytest.mark.processes
ENGINES = ["assistant-1", "assistant-2", "assistant-3"]
PROMPT = "which bay is free"


async def wait_until(condition):
    """Wait for an asynchronous condition."""
    for _ in range(600):
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise AssertionError("timed out waiting for the condition")


class CheckingCaller(CallerClient):
    """A caller that compares every token with the expected one."""

    async def send_prompt(self, service, body):
        index = 0
        async for text in super().send_prompt(service, body):
            assert text == expected_token(body.prompt, index)
            index += 1
            yield text
        assert index == body.max_tokens


class Fleet:
    """A running deployment with a caller."""

    def __init__(self, deployment, session):
        self.deployment = deployment
        self.session = session
        self.caller = CheckingCaller(
            session=session,
            entry_url=deployment.entry_url("entry-1"),
            organisation="volt-trottoir",
            region="mtl",
        )

    async def fetch_json(self, url):
        async with self.session.get(url) as response:
            return await response.read()

    async def journal(self, engine):
        url = self.deployment.fleet.runners[engine].url
        return msgspec.json.decode(await self.fetch_json(f"{url}/journal"))

    async def is_serving(self, host):
        """Return whether a host sees all running hosts live and all engines ready."""
        url = f"{self.deployment.entry_url(host)}/v1/status"
        try:
            status = msgspec.json.decode(await self.fetch_json(url), type=StatusReply)
        except aiohttp.ClientError:
            return False
        live = {item.host for item in status.hosts if item.state == "live"}
        ready = {
            item.runner
            for item in status.runners
            if item.report.state == "ready" and item.report.role
        }
        return live >= self.running_hosts() and ready >= set(ENGINES)

    def running_hosts(self):
        return {
            name.removesuffix(".entry")
            for name in self.deployment.processes
            if name.endswith(".entry")
        }

    async def start(self, hosts):
        """Start the deployment and wait until all hosts serve."""
        self.deployment.start_platform()
        self.deployment.start_runners(ENGINES)
        self.deployment.start_hosts(hosts)
        self.deployment.publish()
        for host in hosts:
            await wait_until(lambda host=host: self.is_serving(host))

    async def start_prompt(self, max_tokens):
        """Start a prompt; return the remaining tokens and the engine that runs it."""
        body = PromptBody(prompt=PROMPT, max_tokens=max_tokens, kind="note")
        texts = self.caller.send_prompt("assistant", body)
        first = await anext(texts)
        assert first == expected_token(PROMPT, 0)
        busy = []
        for engine in ENGINES:
            url = self.deployment.fleet.runners[engine].url
            if msgspec.json.decode(await self.fetch_json(f"{url}/load"))["running"]:
                busy.append(engine)
        return texts, busy[0]


@pytest.fixture
async def fleet(tmp_path):
    settings = "address_ttl_s = 0.5\nleave_notice_s = 2.5\n"
    deployment = Deployment(
        example="volt-trottoir", folder=tmp_path, entry_settings=settings
    )
    connector = make_connector()
    with deployment:
        async with aiohttp.ClientSession(connector=connector) as session:
            yield Fleet(deployment, session)


async def collect_texts(texts):
    return [text async for text in texts]


async def test_streams_outlive_engines_and_fail_explicitly_with_their_entry(fleet):
    await fleet.start(["entry-1", "entry-2"])
    await fleet.caller.fetch_addresses()

    # An engine is killed: another engine continues the answer.
    texts, engine = await fleet.start_prompt(200)
    fleet.deployment.send_signal(engine, signal.SIGKILL)
    assert len(await collect_texts(texts)) == 199
    fleet.deployment.processes.pop(engine).wait()
    fleet.deployment.start_runners([engine])

    # An engine is paused beyond all timeouts: another engine continues the answer.
    texts, engine = await fleet.start_prompt(400)
    fleet.deployment.send_signal(engine, signal.SIGSTOP)
    assert len(await collect_texts(texts)) == 399
    fleet.deployment.send_signal(engine, signal.SIGCONT)
    paused = engine

    async def paused_engine_cancelled():
        journal = await fleet.journal(paused)
        return len(journal["cancelled"]) == 1

    await wait_until(paused_engine_cancelled)

    # The caller disconnects: the engine cancels the prompt.
    texts, engine = await fleet.start_prompt(5000)
    cancelled = len((await fleet.journal(engine))["cancelled"])
    await texts.aclose()

    async def engine_cancelled():
        journal = await fleet.journal(engine)
        return len(journal["cancelled"]) == cancelled + 1

    await wait_until(engine_cancelled)

    # The entry is killed: the answer fails, and the next prompt uses another entry.
    texts, _ = await fleet.start_prompt(2000)
    used = fleet.caller.addresses[0]
    host = next(
        name
        for name in ("entry-1", "entry-2")
        if fleet.deployment.entry_url(name) == used
    )
    fleet.deployment.send_signal(f"{host}.entry", signal.SIGKILL)
    with pytest.raises(aiohttp.ClientError):
        await collect_texts(texts)
    body = PromptBody(prompt=PROMPT, max_tokens=5, kind="kiosk")
    assert len(await collect_texts(fleet.caller.send_prompt("assistant", body))) == 5


async def test_rolling_restart_under_load_fails_no_stream(fleet):
    hosts = list(fleet.deployment.fleet.hosts)
    await fleet.start(hosts)
    kinds = [
        KindPlan(
            service="assistant",
            kind="note",
            prompt_tokens=20,
            output_tokens=60,
            long_ratio=0.2,
            long_factor=5.0,
        )
    ]
    plan = LoadPlan(
        duration_s=3600.0,
        rate_per_s=10.0,
        organisation="volt-trottoir",
        region="mtl",
        kinds=kinds,
    )
    restarting = asyncio.create_task(restart_in_turn(fleet, hosts))

    def arrivals_until_restarted():
        for arrival in plan_arrivals(plan, seed=1):
            if restarting.done():
                return
            yield arrival

    driver = LoadDriver(
        caller=fleet.caller, clock=SystemClock(), on_progress=lambda count: None
    )
    results = await driver.run(arrivals_until_restarted())
    assert await restarting == [0] * len(hosts)
    assert {item.outcome for item in results} == {"answered"}
    assert len(results) > 50
    journals = [await fleet.journal(engine) for engine in ENGINES]
    assert sum(len(journal["cancelled"]) for journal in journals) == 0


async def restart_in_turn(fleet, hosts):
    """Restart half of the entries at a time; return the exit statuses."""
    statuses = []
    for index in (0, 1):
        group = hosts[index::2]
        stops = [
            asyncio.to_thread(fleet.deployment.stop, f"{host}.entry") for host in group
        ]
        statuses += await asyncio.gather(*stops)
        for host in group:
            fleet.deployment.start_entry(host)
        for host in hosts:
            await wait_until(lambda host=host: fleet.is_serving(host))
    return statuses
