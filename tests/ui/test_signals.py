"""A process that leaves gracefully is not killed by a repeated signal."""

import subprocess
import sys

import pytest

# The object's end comes after the interpreter has put default actions back.
SCRIPT = """
import asyncio, os, signal
from lacewinglug.ui.signals import call_on_stop_signal, ignore_stop_signals

class SignalsAtEnd:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGTERM):
        kill(pid, number)

last = SignalsAtEnd()

async def main():
    call_on_stop_signal(lambda: None)

asyncio.run(main())
{after}
"""


@pytest.mark.parametrize(("after", "status"), [("ignore_stop_signals()", 0), ("", -15)])
def test_signal_while_the_interpreter_ends(after, status):
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(after=after)], check=False
    )
    assert done.returncode == status
