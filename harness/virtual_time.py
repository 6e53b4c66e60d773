"""Event loop on virtual time that jumps to the next timer, for seeded scenarios."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")
_MAX_DURATION_S = 3600.0
WALL_START_S = 1_750_000_000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by the timeout of each wait instead of blocking.

    :param io_wait_s: real time to wait for data on sockets before that, in seconds.
    """

    def __init__(self, *, io_wait_s: float = 0.0) -> None:
        super().__init__()
        self.now_s = 0.0
        self._io_wait_s = io_wait_s

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready events; if there are none, advance time by the timeout."""
        events = super().select(0 if timeout == 0 else self._io_wait_s)
        if events:
            return events
        if timeout is None:
            raise RuntimeError(
                "deadlock: all tasks are waiting and no timer is scheduled"
            )
        self.now_s += max(0.0, timeout)
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time.

    :param io_wait_s: real time to wait for data on sockets before virtual time
        advances, in seconds.
    """

    def __init__(self, *, io_wait_s: float = 0.0) -> None:
        self._time_selector = _VirtualTimeSelector(io_wait_s=io_wait_s)
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._time_selector.now_s


class VirtualClock:
    """Clock that reads the time of the running virtual-time event loop."""

    def now_s(self) -> float:
        """Return the virtual time, in seconds."""
        return asyncio.get_running_loop().time()

    def wall_s(self) -> float:
        """Return the virtual wall-clock time, in seconds from a fixed start date."""
        return WALL_START_S + self.now_s()

    async def sleep(self, delay_s: float) -> None:
        """Suspend the task in virtual time."""
        await asyncio.sleep(delay_s)


def run_virtual(
    coroutine: Coroutine[Any, Any, ResultT], *, io_wait_s: float = 0.0
) -> ResultT:
    """Run a coroutine to completion on virtual time.

    :param io_wait_s: real time to wait for data on sockets before virtual time
        advances, in seconds; needed only if the coroutine uses sockets.
    :raises TimeoutError: it does not complete within one virtual hour.
    """
    loop = VirtualTimeLoop(io_wait_s=io_wait_s)
    try:
        return loop.run_until_complete(asyncio.wait_for(coroutine, _MAX_DURATION_S))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
