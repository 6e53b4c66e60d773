"""Clocks handed to the processes, so that tests can run on virtual time."""

import asyncio
import time
from typing import Protocol


def read_boot_time_s() -> float:
    """Return seconds since the host booted, time asleep included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """Source of time for one process."""

    def now_s(self) -> float:
        """Return monotonic seconds."""
        ...

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, for reports only."""
        ...

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task for ``delay_s`` seconds."""
        ...


class SystemClock:
    """The clock of the operating system."""

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)
