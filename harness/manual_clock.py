"""A clock that moves only when a test moves it."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

_SETTLE_ROUNDS = 12


@dataclass(kw_only=True)
class ManualClock:
    """Virtual time for code that sleeps through the clock handed to it.

    :param time_s: the time, in seconds.
    """

    time_s: float = 1000.0
    _sleepers: list[tuple[float, int, asyncio.Future[None]]] = field(
        default_factory=list
    )
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def now_s(self) -> float:
        """Return virtual seconds."""
        return self.time_s

    def wall_s(self) -> float:
        """Return virtual seconds."""
        return self.time_s

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task until the time was moved by ``delay_s`` seconds."""
        if delay_s <= 0:
            return
        wake = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._sleepers, (self.time_s + delay_s, next(self._numbers), wake)
        )
        await wake

    async def advance(self, duration_s: float) -> None:
        """Move the time, waking sleepers in the order of their times."""
        end_s = self.time_s + duration_s
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            self.time_s, _, wake = heapq.heappop(self._sleepers)
            if not wake.done():
                wake.set_result(None)
            await self._settle()
        self.time_s = end_s

    async def _settle(self) -> None:
        """Let every task run until it waits for something."""
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)
