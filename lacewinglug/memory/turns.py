"""Shares processor time between the framing of messages and all other work."""

import asyncio


class FramingTurns:
    """Lets connections with much framing work take turns.

    Between two slices of work of all such connections together, other tasks get at
    least as much time as the slice took.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self, took_s: float) -> None:
        """Wait for the next turn.

        :param took_s: how long the last slice of this connection took, in s.
        """
        async with self._lock:
            await asyncio.sleep(took_s)


class RequestTurns:
    """Lets connections with requests that were sent ahead take turns.

    Such requests are already there and often need no waiting, so their connection would
    otherwise keep the event loop until it has handled all of them. Of all connections
    together, one request is handled in a turn of the event loop.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn, in the order of the calls."""
        async with self._lock:
            await asyncio.sleep(0)
