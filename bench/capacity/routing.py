"""Slopes of a routing decision and of a load poll."""

import asyncio
import time

import aiohttp
import msgspec

from bench.capacity.slopes import Slope, fit_slope
from lacewinglug.routing.policy import RoutingPolicy, RunnerInfo
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import EngineRates
from lacewinglug.upstream.client import RunnerClient
from lacewinglug.upstream.messages import LoadReport

RUNNER_SIZES = (6, 130, 1300)
SUBSET_SIZES = (1, 8, 32)
_DECISIONS = 500
_RESPONSE_HEAD = (
    "HTTP/1.1 200 OK\r\ndate: Fri, 04 Dec 2026 00:00:00 GMT\r\nserver: uvicorn\r\n"
    "content-length: {length}\r\ncontent-type: application/json\r\n\r\n"
)


def measure() -> list[Slope]:
    """Return the slopes of decisions and polls."""
    return [
        fit_slope(
            "decision.cpu_s",
            per="runner of the service",
            sizes=RUNNER_SIZES,
            values=[_decision_cpu_s(size) for size in RUNNER_SIZES],
        ),
        fit_slope(
            "poll.bytes",
            per="runner polled",
            sizes=SUBSET_SIZES,
            values=[asyncio.run(_poll_bytes(size)) for size in SUBSET_SIZES],
        ),
    ]


def _decision_cpu_s(runners: int) -> float:
    """Return the processor time of one routing decision."""
    rates = EngineRates(
        prefill_tokens_per_s=12000.0, decode_tokens_per_s=1600.0, slots=32
    )
    policy = RoutingPolicy(entry="host-0")
    policy.update_runners(
        [
            RunnerInfo(
                name=f"runner-{index}",
                rates={"mixed": rates},
                serving_modes={"mixed": "mixed"},
                default_role="mixed",
            )
            for index in range(runners)
        ]
    )
    for index in range(runners):
        policy.update_report(f"runner-{index}", LoadReport(role="mixed"), sampled_s=0.0)
    started_s = time.process_time()
    for number in range(_DECISIONS):
        policy.decide(_profile(number), now_s=1.0 + number * 0.01)
    return (time.process_time() - started_s) / _DECISIONS


def _profile(number: int) -> RequestProfile:
    return RequestProfile(
        request_id=f"r.{number}",
        service="service-0",
        kind="chat",
        organisation=f"organisation-{number % 30}",
        weight=1.0,
        deadline_s=1000.0,
        idempotent=True,
        prompt_tokens=500,
        output_tokens=100,
    )


async def _poll_bytes(runners: int) -> float:
    """Return the bytes of HTTP that one poll of a number of runners takes."""
    total = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal total
        while head := await reader.readuntil(b"\r\n\r\n"):
            body = msgspec.json.encode(LoadReport(role="mixed", version="model-1"))
            reply = _RESPONSE_HEAD.format(length=len(body)).encode() + body
            total += len(head) + len(reply)
            writer.write(reply)

    server = await asyncio.start_server(_ignore_end(serve), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        client = RunnerClient(session=session)
        for _ in range(runners):
            await client.fetch_load(f"http://127.0.0.1:{port}")
    server.close()
    return float(total)


def _ignore_end(handler):  # type: ignore[no-untyped-def]
    """Return a handler that ends quietly when its client has left."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handler(reader, writer)
        except asyncio.IncompleteReadError:
            writer.close()

    return handle
