"""Tests of the graceful shutdown of an entry."""

import asyncio
import contextlib

import aiohttp
import pytest

from lacewinglug.clock import SystemClock
from lacewinglug.entry import server
from lacewinglug.entry.gate import RequestLimiter
from lacewinglug.entry.shutdown import EntryShutdown
from tests.entry.local import local_entry, wait_for
from tests.streams import judge_answer

PROMPT = "which bay is free"
FAST_SHUTDOWN = ["entry.address_ttl_s=0.3", "entry.leave_notice_s=0.1"]
NOTICE_S = 0.4
"""Time for which a fast shutdown accepts requests."""
SLOW_TOKEN_INTERVAL_S = 0.1
"""Interval at which a long answer does not end while the phases are checked."""


class HeldClock(SystemClock):
    """Clock that stands still between its steps.

    :param time_s: time that it shows.
    """

    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        return self.time_s


async def fetch_addresses(entry):
    async with entry.session.get(f"{entry.url}/v1/entries") as response:
        return (await response.json())["addresses"]


def request_stop(entry, order):
    match order:
        case "signal":
            entry.stop_requested.set()
        case "drain":
            entry.set_config(draining=["entry-1"])
        case "withdraw":
            entry.set_config(withdrawn=["entry-1"])


@pytest.mark.parametrize("order", ["signal", "drain", "withdraw"])
async def test_shutdown_completes_streams_and_refuses_new_requests(order):
    async with local_entry(
        overrides=FAST_SHUTDOWN, token_interval_s=SLOW_TOKEN_INTERVAL_S
    ) as entry:
        entry.shutdown.clock = clock = HeldClock()
        assert len(await fetch_addresses(entry)) == 2
        async with entry.prompt(max_tokens=200) as running:
            await running.content.readline()
            request_stop(entry, order)
            await wait_for(lambda: entry.app.context.leaving)
            clock.time_s = 0.99 * NOTICE_S
            other, *_ = await fetch_addresses(entry)
            assert other != entry.url
            async with entry.prompt(max_tokens=1) as kept:
                lines = (await kept.read()).splitlines()
                assert judge_answer(PROMPT, 1, lines) == ("answered", [])
            assert not entry.limiter.refuses_new_requests
            clock.time_s = NOTICE_S
            await wait_for(lambda: entry.limiter.refuses_new_requests)
            async with entry.prompt() as refused:
                assert refused.status == 503
                body = await refused.json()
                assert body["outcome"] == "not_run"
                assert other in body["remedy"]
                assert refused.headers["X-Entry-Addresses"] == other
            assert not entry.serving.done()
            for engine in entry.engines.values():
                engine.token_interval_s = 0.0
            first = b'{"type":"token","index":0,"text":"a412133f "}'
            lines = [first, *(await running.read()).splitlines()]
            assert judge_answer(PROMPT, 200, lines) == ("answered", [])
        await entry.serving
        with pytest.raises(aiohttp.ClientConnectorError):
            await fetch_addresses(entry)


async def test_streams_end_with_a_typed_line_at_the_deadline():
    overrides = [*FAST_SHUTDOWN, "entry.drain_deadline_s=0.6"]
    async with local_entry(overrides=overrides) as entry:
        async with entry.prompt(max_tokens=5000) as running:
            entry.stop_requested.set()
            lines = (await running.read()).splitlines()
        await entry.serving
        assert entry.shutdown.phase.value == "stopped"
    assert judge_answer(PROMPT, 5000, lines) == ("failed_while_running", [])
    assert b"deadline of its shutdown" in lines[-1]


async def test_undone_drain_does_not_bring_a_leaving_host_back():
    async with local_entry(overrides=FAST_SHUTDOWN) as entry:
        entry.set_config(draining=["entry-1"])
        await wait_for(lambda: entry.app.context.leaving)
        entry.set_config(draining=[])
        async with asyncio.timeout(30.0):
            await entry.serving


async def test_answer_check_detects_a_shutdown_that_does_not_wait(monkeypatch):
    async def give_up_waiting(self, condition):
        while not self.stop_requested.is_set():
            await asyncio.sleep(0.01)

    monkeypatch.setattr(EntryShutdown, "_wait_until", give_up_waiting)
    monkeypatch.setattr(EntryShutdown, "_end_requests", asyncio.Event().wait)
    monkeypatch.setattr(RequestLimiter, "active_requests", 0)
    monkeypatch.setattr(server, "CLOSE_TIMEOUT_S", 1)
    async with local_entry(overrides=FAST_SHUTDOWN) as entry:
        async with entry.prompt(max_tokens=5000) as running:
            entry.stop_requested.set()
            lines = []
            with contextlib.suppress(aiohttp.ClientError):
                async for line in running.content:
                    lines.append(line)
        await entry.serving
    _, problems = judge_answer(PROMPT, 5000, lines)
    assert problems == ["neither an end nor a failure"]
