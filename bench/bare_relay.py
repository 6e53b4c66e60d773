"""A bare relay by starlette and aiohttp, the baseline of the relay's cost.

It passes the bytes of one engine on: no checks, no limits, no resuming.
"""

import sys
from collections.abc import AsyncIterator

import aiohttp
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route


def make_app(engine_url: str) -> Starlette:
    """Return the application of a relay to one engine."""
    sessions: list[aiohttp.ClientSession] = []

    async def handle(request: Request) -> Response:
        if not sessions:
            connector = aiohttp.TCPConnector(limit=0)
            sessions.append(aiohttp.ClientSession(connector=connector))
        body = await request.body()
        response = await sessions[0].post(f"{engine_url}/generate", data=body)

        async def relay() -> AsyncIterator[bytes]:
            async with response:
                async for data in response.content.iter_any():
                    yield data

        return StreamingResponse(relay(), media_type="application/x-ndjson")

    return Starlette(routes=[Route("/generate", handle, methods=["POST"])])


if __name__ == "__main__":
    port, url = sys.argv[1:]
    uvicorn.run(make_app(url), port=int(port), log_level="warning", access_log=False)
