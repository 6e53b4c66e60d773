"""Bounds the time for which one connection keeps the event loop to itself."""

import asyncio

MAX_TURN_S = 0.005
"""Time after which a connection with more input lets other tasks run, in s; well below
the times that clients and health checks notice."""


class LoopTurn:
    """Time that a connection has spent on its input since other tasks last ran.

    Input that is already there is read without waiting, so nothing else makes the
    event loop turn to its other tasks and timers.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._ends_s = 0.0

    def begin(self) -> None:
        """Begin a turn; the event loop has just called the connection."""
        self._ends_s = self._loop.time() + MAX_TURN_S

    async def check(self) -> None:
        """Let other tasks run if the turn is over."""
        if self._loop.time() >= self._ends_s:
            await asyncio.sleep(0)
            self.begin()
