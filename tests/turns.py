"""Measures for how long a task keeps the event loop to itself."""

import asyncio
import gc
import time

MAX_TURN_CPU_S = 0.1
"""Processor time between two turns of the event loop; a fifth of the half second that
an overdue answer may take."""


async def measure_longest_turn(work):
    """Return the result of a coroutine and the longest turn of the loop meanwhile.

    Processor time is counted, so that a busy machine does not matter.

    :returns: the result, or the exception that was raised, and the turn in s.
    """
    task = asyncio.ensure_future(work)
    longest_s = 0.0
    gc.collect()
    gc.disable()
    try:
        last_s = time.process_time()
        while not task.done():
            await asyncio.sleep(0)
            now_s = time.process_time()
            longest_s = max(longest_s, now_s - last_s)
            last_s = now_s
    finally:
        gc.enable()
    return task.exception() or task.result(), longest_s
