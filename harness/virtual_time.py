"""An event loop whose clock jumps to the next timer, for seeded scenarios."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")
_LIMIT_S = 3600.0
WALL_START_S = 1_750_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the time of a wait passes at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return events that are ready, or let the whole wait pass."""
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError("every task waits for ever")
        self.now_s += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jumping.now_s


class VirtualClock:
    """The clock of the running virtual loop."""

    def now_s(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()

    def wall_s(self) -> float:
        """Return virtual seconds since a fixed date."""
        return WALL_START_S + self.now_s()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task in virtual time."""
        await asyncio.sleep(delay_s)


def run_virtual(coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on virtual time.

    :raises TimeoutError: it does not end within a virtual hour.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(asyncio.wait_for(coroutine, _LIMIT_S))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
