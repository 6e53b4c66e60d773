"""Cost of relaying streams, as a ratio to a bare relay of the same bytes."""

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

import aiohttp
import msgspec

from bench.figures import Figure, Target
from bench.procfs import resident_mb
from harness.deployment import Deployment
from lacewinglug.requests.answers import PromptBody
from lacewinglug.upstream.messages import GenerateRequest, LoadReport

RATIO_TARGET = 1.5
_ENGINE = "assistant-1"
_ENGINES = ["assistant-1", "assistant-2"]
_HOST = "entry-1"
_BARE_PORT = 90
_STREAMS = 640
_CONCURRENCY = 16
_FEW_TOKENS = 1
_MANY_TOKENS = 41
_ROUNDS = 3
_OPEN_STREAMS = 400
_FEWEST_OPEN_STREAMS = 100
_OPEN_TOKENS = 4
_IDLE_S = 2.0
_US_PER_S = 1e6
_NS_PER_S = 1e9
_KB_PER_MB = 1024.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Processor time of a relay.

    :param request_us: for one request without its tokens, in microseconds.
    :param token_us: for one token, in microseconds.
    """

    request_us: float
    token_us: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """A process that relays streams.

    :param pid: its process id.
    :param url: where prompts are posted.
    :param make_body: returns the body of a prompt of so many tokens.
    """

    pid: int
    url: str
    make_body: Callable[[int], bytes]


def run() -> list[Figure]:
    """Measure processor time per request and token, and memory per stream."""
    return [*_measure_cost(), *_measure_memory()]


def _measure_cost() -> list[Figure]:
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(example="volt-trottoir", folder=Path(folder)) as deployment,
    ):
        entry = _start(
            deployment, [_ENGINE], "--token-interval-s", "0.005", "--slots", "64"
        )
        port = deployment.base_port + _BARE_PORT
        engine_url = deployment.fleet.runners[_ENGINE].url
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.bare_relay", str(port), engine_url]
        )
        bare = Relay(
            pid=process.pid,
            url=f"http://127.0.0.1:{port}/generate",
            make_body=_bare_body,
        )
        try:
            asyncio.run(_wait_ready(bare))
            pairs = [
                (asyncio.run(_measure(entry)), asyncio.run(_measure(bare)))
                for _ in range(_ROUNDS)
            ]
        finally:
            process.terminate()
            process.wait()
    return _cost_figures(pairs)


def _cost_figures(pairs: list[tuple[Cost, Cost]]) -> list[Figure]:
    figures = []
    for name in ("request_us", "token_us"):
        entry_us = [getattr(entry, name) for entry, _ in pairs]
        bare_us = [getattr(bare, name) for _, bare in pairs]
        ratios = [left / right for left, right in zip(entry_us, bare_us, strict=True)]
        figures += [
            _figure(name, "lacewinglug", statistics.median(entry_us)),
            _figure(name, "bare_relay", statistics.median(bare_us)),
            _figure(
                name.replace("us", "ratio"),
                "lacewinglug",
                statistics.median(ratios),
                target=Target(limit=RATIO_TARGET, direction="at_most"),
            ),
        ]
    return figures


def _figure(
    name: str, subject: str, value: float, *, target: Target | None = None
) -> Figure:
    return Figure(
        scenario="relay",
        name=name,
        subject=subject,
        value=value,
        target=target,
        deterministic=False,
    )


def _start(deployment: Deployment, engines: list[str], *options: str) -> Relay:
    """Start one entry before engines and return it when it answers."""
    deployment.start_platform()
    deployment.start_runners(engines, *options)
    deployment.start_hosts([_HOST])
    deployment.publish()
    relay = Relay(
        pid=deployment.processes[f"{_HOST}.entry"].pid,
        url=f"{deployment.entry_url(_HOST)}/v1/services/assistant/prompts",
        make_body=_entry_body,
    )
    urls = [deployment.fleet.runners[name].url for name in engines]
    asyncio.run(_wait_roles(urls))
    asyncio.run(_wait_ready(relay))
    return relay


async def _wait_roles(urls: list[str]) -> None:
    """Wait until the engines have taken up their roles, so that none refuses."""
    async with _session() as session:
        for url in urls:
            role = ""
            while not role:
                await asyncio.sleep(0.2)
                async with session.get(f"{url}/load") as response:
                    report = msgspec.json.decode(await response.read(), type=LoadReport)
                role = report.role if report.state == "ready" else ""


def _entry_body(tokens: int) -> bytes:
    body = PromptBody(prompt="which bay is free", max_tokens=tokens, kind="note")
    return msgspec.json.encode(body)


def _bare_body(tokens: int) -> bytes:
    request = GenerateRequest(
        request_id="entry-1.000000000000.1",
        prompt="which bay is free",
        max_tokens=tokens,
    )
    return msgspec.json.encode(request)


async def _wait_ready(relay: Relay) -> None:
    """Wait until a relay answers several prompts in a row."""
    answered = 0
    async with _session() as session:
        while answered < 5:
            try:
                await _send(session, relay, 1)
                answered += 1
            except aiohttp.ClientError:
                answered = 0
                await asyncio.sleep(0.2)


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=2.0),
        headers={"X-Caller": "volt-trottoir"},
    )


async def _send(session: aiohttp.ClientSession, relay: Relay, tokens: int) -> None:
    async with session.post(relay.url, data=relay.make_body(tokens)) as response:
        lines = (await response.read()).splitlines()
    if response.status != HTTPStatus.OK or len(lines) != tokens + 1:
        raise aiohttp.ClientPayloadError(f"{response.status}: {lines[-1:]!r}")


async def _measure(relay: Relay) -> Cost:
    """Return the cost of a relay from prompts of few and of many tokens."""
    started_s = _processor_s(relay.pid)
    await asyncio.sleep(_IDLE_S)
    idle_share = (_processor_s(relay.pid) - started_s) / _IDLE_S
    few_s = await _measure_streams(relay, _FEW_TOKENS, idle_share)
    many_s = await _measure_streams(relay, _MANY_TOKENS, idle_share)
    token_s = (many_s - few_s) / (_MANY_TOKENS - _FEW_TOKENS)
    request_s = few_s - _FEW_TOKENS * token_s
    return Cost(request_us=request_s * _US_PER_S, token_us=token_s * _US_PER_S)


async def _measure_streams(relay: Relay, tokens: int, idle_share: float) -> float:
    """Return the processor time of one stream, above that of an idle process."""
    started_s, clock_s = _processor_s(relay.pid), time.monotonic()
    async with _session() as session:

        async def send_in_turn() -> None:
            for _ in range(_STREAMS // _CONCURRENCY):
                await _send(session, relay, tokens)

        await asyncio.gather(*(send_in_turn() for _ in range(_CONCURRENCY)))
    idle_s = idle_share * (time.monotonic() - clock_s)
    return (_processor_s(relay.pid) - started_s - idle_s) / _STREAMS


def _processor_s(pid: int) -> float:
    """Return the processor time of a process's main thread, in seconds."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / _NS_PER_S


def _measure_memory() -> list[Figure]:
    """Measure an entry with many open streams that wait for slow engines."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(example="volt-trottoir", folder=Path(folder)) as deployment,
    ):
        engines = deployment.fleet.runners_of("assistant")
        options = ("--token-interval-s", "2.0", "--slots", str(_OPEN_STREAMS))
        entry = _start(deployment, engines, *options)
        return [asyncio.run(_open_streams(entry))]


async def _open_streams(relay: Relay) -> Figure:
    """Open streams, as many as admission takes, and return the memory of each."""
    async with _session() as session:
        before_mb = resident_mb(relay.pid)
        requests = [
            session.post(relay.url, data=relay.make_body(_OPEN_TOKENS))
            for _ in range(_OPEN_STREAMS)
        ]
        responses = await asyncio.gather(*requests)
        opened = [item for item in responses if item.status == HTTPStatus.OK]
        await asyncio.gather(*(item.content.readline() for item in opened))
        after_mb = resident_mb(relay.pid)
        for response in responses:
            response.close()
    if len(opened) < _FEWEST_OPEN_STREAMS:
        raise RuntimeError(f"only {len(opened)} streams were admitted")
    kb = (after_mb - before_mb) * _KB_PER_MB / len(opened)
    return _figure("memory_per_open_stream_kb", f"of_{len(opened)}", kb)
