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
