"""Tests the demo as a new user runs it."""

import subprocess
import sys
from pathlib import Path

DEMO = Path(__file__).parent.parent / "examples" / "demo.py"


def test_demo_answers_every_step():
    done = subprocess.run(
        [sys.executable, str(DEMO)], capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    assert "demo finished" in done.stdout
