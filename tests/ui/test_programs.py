"""Tests of what the long-running programs share."""

import os
import signal
import subprocess
import sys

PROGRAM = """
import asyncio, os, signal
from lacewinglug.ui.programs import run_until_signal

async def wait():
    print("ready", flush=True)
    await asyncio.sleep(60)

asyncio.run(run_until_signal(wait()))
os.kill(os.getpid(), signal.SIGTERM)
print("ended", flush=True)
"""


def test_signal_after_the_loop_has_closed_does_not_kill():
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout.readline() == "ready\n"
        os.kill(process.pid, signal.SIGTERM)
        assert process.stdout.readline() == "ended\n"
    assert process.returncode == 0
