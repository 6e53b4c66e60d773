"""Runs a host in the event loop of a test."""

import asyncio
import contextlib
import json

from lacewinglug.host.process import HostProcess
from lacewinglug.platform.settings import decode_settings


@contextlib.asynccontextmanager
async def running_host(settings):
    """Run a host with the given settings; cancel it on exit.

    The attribute ``ended`` of the process is the task that runs it.
    """
    process = HostProcess(settings=decode_settings(json.dumps(settings).encode()))
    process.ended = task = asyncio.create_task(process.run())
    try:
        yield process
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
