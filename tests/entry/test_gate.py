"""Tests of the request limits."""

import asyncio
import gc
import resource

import msgspec
import pytest

from lacewinglug.entry import connection
from tests.entry.local import PROMPTS, local_entry, wait_for

SLOW_TOKEN_INTERVAL_S = 60.0


async def send_raw(entry, data, *, rest=b""):
    """Send bytes on a new connection and return the whole response."""
    port = int(entry.url.rpartition(":")[2])
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if rest:
        await asyncio.sleep(0.05)
        writer.write(rest)
    content = await reader.read(-1)
    writer.close()
    return content


def parse(content):
    head, _, body = content.partition(b"\r\n\r\n")
    return int(head.split()[1]), msgspec.json.decode(body)


def make_head(*lines, path=PROMPTS):
    start = [f"POST {path} HTTP/1.1", "Host: e", "X-Caller: volt"]
    return "\r\n".join([*start, *lines, "", ""]).encode()


@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_oversized_body_gets_a_typed_refusal(framing):
    async with local_entry(overrides=["entry.max_body_bytes=2048"]) as entry:
        if framing == "length":
            head = make_head("Content-Length: 4000000")
            content = await send_raw(entry, head + b"x" * 4_000_000)
        else:
            head = make_head("Transfer-Encoding: chunked")
            content = await send_raw(
                entry, head + b"3d0900\r\n" + b"x" * 4_000_000 + b"\r\n0\r\n\r\n"
            )
        status, body = parse(content)
        assert status == 413
        assert body["outcome"] == "not_run"
        assert "2048" in body["remedy"]
        await wait_for(lambda: entry.limiter.active_requests == 0)


async def test_incomplete_body_times_out():
    async with local_entry(overrides=["entry.receive_timeout_s=0.2"]) as entry:
        content = await send_raw(entry, make_head("Content-Length: 10") + b"{")
        assert parse(content)[0] == 408
        assert parse(content)[1]["outcome"] == "not_run"
        await wait_for(lambda: entry.limiter.active_requests == 0)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"", 408),
        (b"POST / HTTP/1.1\r\nHost", 408),
        (b"\x00\x01\r\n\r\n", 400),
        (make_head("Connection: close", "X-Long: " + "x" * 100_000), 431),
        (make_head("X-Long: " + "x" * 1_000_000), 400),
    ],
)
async def test_headers_that_are_late_large_or_malformed(data, status, monkeypatch):
    monkeypatch.setattr(connection, "HEADER_TIMEOUT_S", 0.2)
    async with local_entry() as entry:
        found, body = parse(await send_raw(entry, data))
    assert found == status
    assert body["outcome"] == "not_run"
    assert body["remedy"]


@pytest.mark.parametrize(
    ("overrides", "status", "word"),
    [([], 429, "volt"), (["entry.max_concurrent_requests=8"], 503, "host")],
)
async def test_concurrent_requests_of_an_organisation_and_in_all(
    overrides, status, word
):
    async with local_entry(
        overrides=overrides, token_interval_s=SLOW_TOKEN_INTERVAL_S
    ) as entry:
        running = [asyncio.create_task(entry.prompt().__aenter__()) for _ in range(8)]
        await wait_for(lambda: entry.limiter.active_requests == 8)
        async with entry.prompt() as response:
            body = await response.json()
            assert response.status == status
            assert body["outcome"] == "not_run"
            assert word in body["reason"]
        for task in running:
            task.cancel()
        await wait_for(lambda: entry.limiter.active_requests == 0)
        for engine in entry.engines.values():
            engine.token_interval_s = 0.0
        async with entry.prompt() as response:
            assert response.status == 200


async def test_refused_and_malformed_requests_do_not_leak_memory():
    async def round_of_requests(entry):
        for _ in range(50):
            await send_raw(entry, make_head("Content-Length: 4096") + b"x" * 4096)
            await send_raw(entry, b"\x00\r\n\r\n")
            async with entry.prompt(max_tokens=0) as response:
                await response.read()
            async with entry.prompt(max_tokens=1) as response:
                await response.read()

    async with local_entry(
        token_interval_s=0.0, overrides=["entry.max_body_bytes=2048"]
    ) as entry:
        await round_of_requests(entry)
        gc.collect()
        objects = len(gc.get_objects())
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for _ in range(4):
            await round_of_requests(entry)
        gc.collect()
        # Each round makes 200 requests: a leak of one object per request exceeds 400.
        assert len(gc.get_objects()) - objects < 400
        growth_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - peak_kb
        assert growth_kb < 4096
        assert not entry.app.prompt_handler.watch.streams


async def test_entry_without_a_load_report_refuses_as_not_run():
    async with local_entry() as entry:
        known = dict(entry.app.view.runners)
        entry.app.view.runners.clear()
        async with entry.prompt() as response:
            body = await response.json()
        assert (response.status, body["outcome"]) == (503, "not_run")
        assert "load report" in body["reason"]
        assert not any(engine.prompts for engine in entry.engines.values())
        entry.app.view.runners.update(known)
        async with entry.prompt() as response:
            assert response.status == 200
