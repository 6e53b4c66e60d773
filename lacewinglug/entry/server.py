"""Runs the HTTP server of an entry until the shutdown is complete."""

import asyncio
import contextlib
import logging
from collections.abc import Collection
from typing import Any

import uvicorn

from lacewinglug.entry.connection import MAX_HEADER_BYTES, CallerProtocol
from lacewinglug.entry.gate import RequestLimiter
from lacewinglug.entry.shutdown import EntryShutdown
from lacewinglug.settings import Settings

KEEP_ALIVE_S = 5
CLOSE_TIMEOUT_S = 5


class _Server(uvicorn.Server):
    """HTTP server that installs no signal handlers; the process handles signals."""

    def capture_signals(  # type: ignore[override]
        self,
    ) -> contextlib.AbstractContextManager[None]:
        """Return a context that leaves the signal handlers unchanged."""
        return contextlib.nullcontext()


async def serve_http(
    limiter: RequestLimiter, settings: Settings, shutdown: EntryShutdown
) -> None:
    """Serve until the shutdown is complete or the server fails.

    :param limiter: the ASGI application.
    :param settings: settings of the host.
    :param shutdown: runs until the server may close.
    """
    config = uvicorn.Config(
        limiter,
        host=settings.host.address,
        port=settings.entry.port,
        http=CallerProtocol,
        ws="none",
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
        log_config=None,
        log_level=logging.ERROR,
        access_log=False,
        lifespan="off",
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
    )
    server = _Server(config)
    serving = asyncio.create_task(server.serve())
    leaving = asyncio.create_task(shutdown.run())
    try:
        await asyncio.wait((serving, leaving), return_when=asyncio.FIRST_COMPLETED)
        server.should_exit = True
        await serving
    finally:
        await cancel_tasks([leaving, serving])


async def cancel_tasks(tasks: Collection["asyncio.Task[Any]"]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
