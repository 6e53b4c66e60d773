"""Signals of the operating system, handed to the running loop."""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


def call_on_stop_signal(callback: Callable[[], object]) -> None:
    """Call back in the running loop on each SIGTERM or SIGINT."""
    call_on_signals(callback, (signal.SIGTERM, signal.SIGINT))


def call_on_signals(
    callback: Callable[[], object], numbers: tuple[signal.Signals, ...]
) -> None:
    """Call back in the running loop on each of some signals.

    Unlike the loop's own handlers, this one stays when the loop closes, so that
    a repeated signal does not kill a process that is about to exit.
    """
    loop = asyncio.get_running_loop()

    def handle_signal(_number: int, _frame: FrameType | None) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    for number in numbers:
        signal.signal(number, handle_signal)


def ignore_stop_signals() -> None:
    """Ignore SIGTERM and SIGINT from now on, as nothing is left to stop.

    The interpreter puts default actions back while it ends, and a repeated signal
    would then kill a process that leaves gracefully. Ignored ones stay ignored.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
