"""Processor time and memory of other processes."""

import os
from pathlib import Path

__all__ = ['read_cpu_s', 'read_rss_mb']

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Positions after the parenthesised name in /proc/PID/stat.
_UTIME, _STIME = 11, 12


def read_cpu_s(pid):
    """Return user and system time of a process in seconds."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    return ticks / _TICKS_PER_S


def read_rss_mb(pid):
    """Return the resident memory of a process in megabytes (1e6 bytes)."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6
