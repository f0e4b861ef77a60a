"""Processor time and memory of other processes."""

import os
from pathlib import Path

__all__ = ['ProcessorTimes', 'read_cpu_s', 'read_rss_mb']

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


class ProcessorTimes:
    """Processor time that several processes spend from a moment on.

    Parameters
    ----------
    pids : sequence of int
        Process ids.
    """

    def __init__(self, pids):
        self.pids = pids
        self.started_s = []

    def start(self):
        """Count from now on."""
        self.started_s = self._read()

    def spent_s(self):
        """Return the seconds spent by each process since the start."""
        return [
            now - started
            for now, started in zip(self._read(), self.started_s, strict=True)
        ]

    def _read(self):
        return [read_cpu_s(pid) for pid in self.pids]
