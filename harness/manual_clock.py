"""Clock that advances only when a test advances it."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

_YIELDS_PER_WAKEUP = 12


@dataclass(kw_only=True)
class ManualClock:
    """Virtual time for code that sleeps on an injected clock.

    :param time_s: the current time, in seconds.
    """

    time_s: float = 1000.0
    _timers: list[tuple[float, int, asyncio.Future[None]]] = field(default_factory=list)
    _sequence_numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def now_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.time_s

    def wall_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.time_s

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task until the time has advanced by ``delay_s`` seconds."""
        if delay_s <= 0:
            return
        wakeup = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._timers, (self.time_s + delay_s, next(self._sequence_numbers), wakeup)
        )
        await wakeup

    async def advance(self, duration_s: float) -> None:
        """Advance the time and wake sleeping tasks in the order of their deadlines."""
        end_s = self.time_s + duration_s
        await self._run_ready_tasks()
        while self._timers and self._timers[0][0] <= end_s:
            self.time_s, _, wakeup = heapq.heappop(self._timers)
            if not wakeup.done():
                wakeup.set_result(None)
            await self._run_ready_tasks()
        self.time_s = end_s

    async def _run_ready_tasks(self) -> None:
        """Yield repeatedly, so that ready tasks run until they wait for something."""
        for _ in range(_YIELDS_PER_WAKEUP):
            await asyncio.sleep(0)
