"""Orders over HTTP to the engine stand-in, and what its streams see of them."""

import asyncio
import socket

import aiohttp
import msgspec
import pytest
import uvicorn

from harness.journals import find_order_violations
from lacewinglug.requests.outcomes import FailureBody
from lacewinglug.standin.engine import EngineStandin
from lacewinglug.upstream.client import RunnerClient, RunnerError
from lacewinglug.upstream.messages import (
    EndLine,
    EngineOrder,
    EngineTarget,
    GenerateRequest,
)
from lacewinglug.upstream.orders import HttpEngineClient, make_order_session

MIXED = EngineTarget(role="mixed", version="v1")
DRAINED = msgspec.structs.replace(MIXED, accepts_work=False)
DECODE = EngineTarget(role="decode", version="v1")


def make_order(number, target):
    return EngineOrder(
        fencing_number=number, order_id=f"o{number}", sender="h.1", target=target
    )


@pytest.fixture
async def engine():
    """Yield an engine that listens, its URL and a client of its orders."""
    standin = EngineStandin(target=MIXED, change_s=0.2, token_interval_s=0.02)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    config = uvicorn.Config(standin.app(), log_level="warning", lifespan="off")
    server = uvicorn.Server(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    async with make_order_session() as session:
        yield standin, url, HttpEngineClient(session=session)
    server.should_exit = True
    await task


async def wait_for_state(client, url, wanted):
    for _ in range(500):
        if (await client.fetch_state(url)).state == wanted:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"the engine did not become {wanted}")


async def test_drained_engine_finishes_streams_and_refuses_new_ones(engine):
    standin, url, client = engine
    async with aiohttp.ClientSession() as session:
        runner = RunnerClient(session=session)
        prompt = GenerateRequest(request_id="r1", prompt="a b", max_tokens=20)
        stream = runner.generate(url, prompt)
        lines = list(await anext(stream))
        assert (await client.give_order(url, make_order(1, DRAINED))).accepted
        assert (await runner.fetch_load(url)).state == "draining"
        body = msgspec.json.encode(prompt)
        async with session.post(f"{url}/generate", data=body) as response:
            refusal = msgspec.json.decode(await response.read(), type=FailureBody)
        assert (response.status, refusal.outcome) == (503, "not_run")
        lines += [line async for batch in stream for line in batch]
        assert lines[-1] == EndLine(request_id="r1", tokens=20)
        assert len(lines) == 21
    assert (await client.fetch_state(url)).running == 0
    await client.give_order(url, make_order(2, DECODE))
    await wait_for_state(client, url, "ready")
    assert standin.control.target.role == "decode"
    assert find_order_violations(standin.control.journal) == []


async def test_old_numbers_are_refused_and_copies_ignored(engine):
    standin, url, client = engine
    assert (await client.give_order(url, make_order(5, None))).accepted
    old = await client.give_order(url, make_order(4, DRAINED))
    assert (old.accepted, old.fencing_number) == (False, 5)
    for _ in range(2):
        assert (await client.give_order(url, make_order(6, DRAINED))).accepted
    kinds = [event.kind for event in standin.control.journal]
    assert kinds == ["accepted", "refused", "accepted", "repeated"]


async def test_lost_reply_says_that_the_order_may_have_arrived(engine):
    standin, url, client = engine
    standin.switch.faults.refuse = True
    with pytest.raises(RunnerError) as caught:
        await client.give_order(url, make_order(1, DRAINED))
    assert caught.value.sent
    with pytest.raises(RunnerError) as caught:
        await client.give_order("http://127.0.0.1:1", make_order(1, DRAINED))
    assert not caught.value.sent


@pytest.mark.parametrize(
    "orders",
    [
        [(2, DRAINED), (1, MIXED)],
        [(1, DECODE), (2, MIXED)],
    ],
    ids=["old number accepted", "order during a change"],
)
async def test_checker_sees_conflicting_orders(engine, orders):
    standin, url, client = engine
    standin.control.checks_fencing = False
    for number, target in orders:
        await client.give_order(url, make_order(number, target))
    assert find_order_violations(standin.control.journal)
