"""Reads processor time, memory and network bytes of a process."""

import os
from pathlib import Path

_KB_PER_MB = 1024.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_TICKS_FIELD = 11


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) / _KB_PER_MB
    raise RuntimeError(f"no resident memory of process {pid}")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(") ")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_USER_TICKS_FIELD + 1])
    return ticks / _TICKS_PER_S
