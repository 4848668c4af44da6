"""Processor time and memory of a process, read from ``/proc``."""

import os
from pathlib import Path
from typing import NamedTuple

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024
MEGABYTE = 1_000_000
UTIME_FIELD = 11
STIME_FIELD = 12


class Usage(NamedTuple):
    """Processor time used so far in seconds, resident memory in megabytes."""

    cpu_seconds: float
    memory_mb: float


def usage_of(pid: int) -> Usage:
    """Return the usage of process ``pid``; raise OSError when it has ended."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(stat[UTIME_FIELD]) + int(stat[STIME_FIELD])
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    kilobytes = int(resident.split()[1])
    return Usage(ticks / TICKS_PER_SECOND, kilobytes * KILOBYTE / MEGABYTE)
