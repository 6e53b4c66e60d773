"""Tests of prompts over real sockets: faults, slow and disconnecting callers."""

import asyncio

import aiohttp
import msgspec
import pytest

from lacewinglug.config.objects import RequestKind
from lacewinglug.requests.streams import StreamTimeouts
from lacewinglug.standin.relay import TcpRelay
from tests.entry.local import (
    PROMPTS,
    free_port,
    local_entry,
    run_local,
    serve_standin,
    set_status,
    wait_for,
)
from tests.streams import judge_answer

PROMPT = "which bay is free"


async def read_answer(response, max_tokens=5):
    assert response.status == 200
    lines = (await response.read()).splitlines()
    return judge_answer(PROMPT, max_tokens, lines)


async def test_answer_is_whole():
    async with local_entry() as entry:
        async with entry.prompt() as response:
            assert await read_answer(response) == ("answered", [])
        assert entry.limiter.active_requests == entry.app.context.running_requests == 0


async def test_caller_that_leaves_cancels_the_prompt_at_the_engine():
    async with local_entry(names=("a",)) as entry:
        async with entry.prompt(max_tokens=5000) as response:
            await response.content.readline()
        await wait_for(lambda: entry.engines["a"].cancelled)
        await wait_for(lambda: entry.limiter.active_requests == 0)
        assert entry.engines["a"].running == 0
        assert entry.metrics.counts["prompts.caller_left"] == 1


async def test_caller_that_leaves_before_the_first_token_cancels_too():
    async with local_entry(names=("a",), token_interval_s=60.0) as entry:
        sending = asyncio.create_task(entry.prompt().__aenter__())
        await wait_for(lambda: entry.engines["a"].running == 1)
        sending.cancel()
        await wait_for(lambda: entry.engines["a"].cancelled)
        await wait_for(lambda: entry.limiter.active_requests == 0)


async def test_draining_engine_transfers_its_kv_cache_without_a_gap():
    async with local_entry() as entry:
        async with entry.prompt(max_tokens=200) as response:
            first = await response.content.readline()
            source = next(n for n, item in entry.engines.items() if item.running)
            set_status(entry.app.view, entry.engines, **{source: "draining"})
            lines = [first, *(await response.read()).splitlines()]
        assert judge_answer(PROMPT, 200, lines) == ("answered", [])
        target = entry.engines["b" if source == "a" else "a"]
        assert len(target.prompts) == len(target.imported) == 1


@pytest.mark.parametrize("fault", ["cut", "silence"])
async def test_broken_connection_to_an_engine_leaves_no_gap(fault):
    bounds = StreamTimeouts(caller_stall_s=30.0, next_line_s=0.5)
    async with local_entry() as base:
        relays = {}
        for name, item in base.app.view.fleet.runners.items():
            target_port = int(item.url.rpartition(":")[2])
            relays[name] = TcpRelay(port=free_port(), target_port=target_port)
            await relays[name].start()
        ports = {name: relay.port for name, relay in relays.items()}
        async with run_local(ports, bounds=bounds) as entry:
            async with entry.prompt(max_tokens=200) as response:
                first = await response.content.readline()
                for relay in relays.values():
                    if fault == "cut":
                        relay.cut_open_connections()
                    else:
                        relay.silence_open_connections()
                lines = [first, *(await response.read()).splitlines()]
            assert judge_answer(PROMPT, 200, lines) == ("answered", [])
            assert entry.metrics.counts["prompts.broken_streams"] == 1
            assert sum(relay.accepted for relay in relays.values()) == 2
        for relay in relays.values():
            await relay.stop()


async def test_deadline_ends_a_stream_with_a_typed_line():
    kind = RequestKind(timeout_s=1.0)
    async with (
        local_entry(kind=kind, token_interval_s=0.2) as entry,
        entry.prompt(max_tokens=30) as response,
    ):
        outcome, problems = await read_answer(response, max_tokens=30)
    assert (outcome, problems) == ("failed_while_running", [])


async def test_waiting_caller_gets_heartbeats():
    bounds = StreamTimeouts(caller_stall_s=10.0, heartbeat_interval_s=0.2)
    async with (
        local_entry(token_interval_s=1.0, bounds=bounds) as entry,
        entry.prompt(max_tokens=1) as response,
    ):
        lines = (await response.read()).splitlines()
    assert lines.count(b'{"type":"heartbeat"}') >= 2
    assert judge_answer(PROMPT, 1, lines) == ("answered", [])


async def test_slow_caller_frees_the_engine_and_reads_a_typed_end():
    bounds = StreamTimeouts(caller_stall_s=0.5)
    body = msgspec.json.encode({"prompt": PROMPT, "max_tokens": 100_000})
    async with local_entry(names=("a",), token_interval_s=0.0, bounds=bounds) as entry:
        port = int(entry.url.rpartition(":")[2])
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        head = f"POST {PROMPTS} HTTP/1.1\r\nHost: e\r\nX-Caller: volt"
        head += f"\r\nContent-Length: {len(body)}"
        writer.write(f"{head}\r\n\r\n".encode() + body)
        await wait_for(lambda: entry.engines["a"].cancelled, timeout_s=60.0)
        await wait_for(lambda: entry.limiter.active_requests == 0)
        assert entry.metrics.counts["prompts.interrupted.slow_caller"] == 1
        content = await reader.read(-1)
        writer.close()
    assert b"the caller took too long" in content


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"max_tokens": 0}, "max_tokens"),
        ({"max_tokens": 10**9}, "max_tokens"),
        ({"prompt": ""}, "prompt"),
        ({"prompt": 7}, "prompt"),
        ({"kind": "x" * 101}, "kind"),
    ],
)
async def test_invalid_prompts_are_refused_as_not_run(changes, words):
    async with local_entry() as entry:
        async with entry.prompt(**changes) as response:
            body = await response.json()
        assert response.status == 400
        assert body["outcome"] == "not_run"
        assert words in body["reason"]
        assert not any(engine.prompts for engine in entry.engines.values())


@pytest.mark.parametrize("body", [b"", b"not JSON", b"[" * 100_000, b"\xff\xfe"])
async def test_malformed_bodies_are_refused_as_not_run(body):
    async with (
        local_entry() as entry,
        entry.session.post(
            entry.url + PROMPTS, data=body, headers={"X-Caller": "volt"}
        ) as response,
    ):
        assert response.status == 400
        assert (await response.json())["outcome"] == "not_run"


@pytest.mark.parametrize(
    "content",
    [
        b"not JSON\n",
        b'{"type":"token"}\n',
        b"[" * 100_000,
        b"x" * 200_000,
        b'{"type":"token","request_id":"other","index":0,"text":"x"}\n' * 100,
        b"",
    ],
)
async def test_malformed_streams_of_an_engine_are_not_passed_on(content):
    async def answer(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": content})

    async with (
        serve_standin(answer) as port,
        run_local({"bad": port}, kind=RequestKind(timeout_s=1.0)) as entry,
        entry.prompt() as response,
    ):
        body = msgspec.json.decode(await response.read())
        assert body["outcome"] == "failed_while_running"
        await wait_for(lambda: entry.limiter.active_requests == 0)


async def test_engine_that_refuses_leaves_the_prompt_not_run():
    async with local_entry(names=("a",)) as entry:
        entry.engines["a"].switch.faults.refuse = True
        async with entry.prompt() as response:
            assert response.status == 503
            assert (await response.json())["outcome"] == "not_run"
            assert "Retry-After" in response.headers


async def test_connection_of_a_stream_serves_the_next_request():
    async with local_entry() as entry, aiohttp.ClientSession() as session:
        entry.session = session
        for _ in range(3):
            async with entry.prompt() as response:
                assert await read_answer(response) == ("answered", [])
        assert len(session.connector._conns) == 1
