"""Slopes of real processes: processor time and memory read from the system."""

import asyncio
import contextlib
import socket
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import uvicorn

from bench.capacity.slopes import Slope, fit_slope
from bench.procfs import cpu_s, resident_mb
from harness.deployment import Deployment
from lacewinglug.caller import CallerClient
from lacewinglug.requests.prompts import PromptBody
from lacewinglug.standin.engine import EngineStandin

HOST = "entry-1"
RUNNERS = ["assistant-1", "assistant-2"]
TOKEN_SIZES = (10, 40, 160)
STREAM_SIZES = (50, 100, 200)
POLLED_SIZES = (20, 60, 120)
_PROMPTS = 150
_AT_ONCE = 10
_STREAM_TOKENS = 1600
_SETTLE_S = 2.0
_POLL_PERIOD_S = 8.0
_STREAM_SLOTS = 250


def measure() -> list[Slope]:
    """Return the slopes of the entry and the steward."""
    return [_measure_tokens(), _measure_streams(), _measure_polls()]


@contextlib.contextmanager
def _deployment(*engine_options: str) -> Iterator[Deployment]:
    """Start one host with two engines and wait until it serves."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(example="volt-trottoir", folder=Path(folder)) as deployment,
    ):
        deployment.start_platform()
        deployment.start_runners(RUNNERS, *engine_options)
        deployment.start_hosts([HOST])
        deployment.wait_url(f"{HOST}.entry", f"{deployment.entry_url(HOST)}/v1/status")
        deployment.publish()
        time.sleep(_SETTLE_S)
        yield deployment


def _caller(deployment: Deployment, session: aiohttp.ClientSession) -> CallerClient:
    return CallerClient(
        session=session,
        entry_url=deployment.entry_url(HOST),
        organisation="volt-trottoir",
        region="mtl",
    )


def _measure_tokens() -> Slope:
    """Measure the entry's processor time a prompt against its tokens."""
    values = []
    with _deployment("--token-interval-s", "0.001") as deployment:
        pid = deployment.processes[f"{HOST}.entry"].pid
        asyncio.run(_send_prompts(deployment, TOKEN_SIZES[0]))
        for tokens in TOKEN_SIZES:
            before_s = cpu_s(pid)
            asyncio.run(_send_prompts(deployment, tokens))
            values.append((cpu_s(pid) - before_s) / _PROMPTS)
    return fit_slope("prompt.cpu_s", per="token", sizes=TOKEN_SIZES, values=values)


async def _send_prompts(deployment: Deployment, tokens: int) -> None:
    limit = asyncio.Semaphore(_AT_ONCE)
    async with aiohttp.ClientSession() as session:
        caller = _caller(deployment, session)

        async def send(number: int) -> None:
            body = PromptBody(prompt=f"prompt {number}", max_tokens=tokens)
            async with limit:
                received = [
                    text async for text in caller.send_prompt("assistant", body)
                ]
            assert len(received) == tokens

        await asyncio.gather(*(send(number) for number in range(_PROMPTS)))


def _measure_streams() -> Slope:
    """Measure the entry's resident memory against its open streams."""
    values = []
    options = ("--slots", str(_STREAM_SLOTS), "--token-interval-s", "0.5")
    for streams in STREAM_SIZES:
        with _deployment(*options) as deployment:
            pid = deployment.processes[f"{HOST}.entry"].pid
            values.append(asyncio.run(_hold_streams(deployment, pid, streams)))
    return fit_slope("entry.memory_mb", per="stream", sizes=STREAM_SIZES, values=values)


async def _hold_streams(deployment: Deployment, pid: int, streams: int) -> float:
    """Return the entry's memory while streams are open."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = _caller(deployment, session)

        async def hold(number: int) -> None:
            body = PromptBody(
                prompt=f"prompt {number}", max_tokens=_STREAM_TOKENS, kind="note"
            )
            async for _ in caller.send_prompt("assistant", body):
                pass

        tasks = [asyncio.create_task(hold(number)) for number in range(streams)]
        await asyncio.sleep(2 * _SETTLE_S)
        assert not any(task.done() for task in tasks)
        memory_mb = resident_mb(pid)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return memory_mb


def _measure_polls() -> Slope:
    """Measure the steward's processor time a second against runners polled."""
    values = []
    for runners in POLLED_SIZES:
        with (
            tempfile.TemporaryDirectory() as folder,
            Deployment(example="volt-trottoir", folder=Path(folder)) as deployment,
            _serve_engines(runners) as ports,
        ):
            _write_runners(deployment, ports)
            deployment.start_platform()
            deployment.start_steward(HOST)
            deployment.publish()
            time.sleep(_SETTLE_S)
            pid = deployment.processes[f"{HOST}.steward"].pid
            before_s = cpu_s(pid)
            time.sleep(_POLL_PERIOD_S)
            values.append((cpu_s(pid) - before_s) / _POLL_PERIOD_S)
    return fit_slope(
        "steward.cpu_ratio", per="runner polled", sizes=POLLED_SIZES, values=values
    )


def _write_runners(deployment: Deployment, ports: list[int]) -> None:
    """Replace the runners of a deployment by many of one service."""
    tables = [
        f"[runners.polled-{index}]\n"
        'service = "assistant"\navailability_zone = "mtl-a"\n'
        f'url = "http://127.0.0.1:{port}"\ninitial_role = "mixed"\n'
        for index, port in enumerate(ports)
    ]
    (deployment.config_folder / "runners.toml").write_text("\n".join(tables))


@contextlib.contextmanager
def _serve_engines(count: int) -> Iterator[list[int]]:
    """Serve a stand-in of an engine on many ports, in a thread."""
    sockets = [_listen() for _ in range(count)]
    config = uvicorn.Config(EngineStandin().app(), log_level="warning", lifespan="off")
    server = uvicorn.Server(config)
    thread = threading.Thread(target=server.run, kwargs={"sockets": sockets})
    thread.start()
    try:
        yield [item.getsockname()[1] for item in sockets]
    finally:
        server.should_exit = True
        thread.join()
        for item in sockets:
            item.close()


def _listen() -> socket.socket:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener
