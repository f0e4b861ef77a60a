"""CPU time and memory of other processes."""

import os
from pathlib import Path

__all__ = ['CpuTimer', 'read_cpu_s', 'read_rss_mb']

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Field positions after the parenthesised command name in /proc/PID/stat.
_UTIME_FIELD, _STIME_FIELD = 11, 12


def read_cpu_s(pid):
    """Return the user and system CPU time of a process in seconds."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
    return ticks / _TICKS_PER_S


def read_rss_mb(pid):
    """Return the resident memory of a process in megabytes (1e6 bytes)."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


class CpuTimer:
    """Measures the CPU time of several processes from a start on.

    Parameters
    ----------
    pids : sequence of int
        Process ids.
    """

    def __init__(self, pids):
        self.pids = pids
        self.start_times_s = []

    def start(self):
        """Start or restart the measurement."""
        self.start_times_s = self._read()

    def cpu_s(self):
        """Return the CPU time of each process since the start, in seconds."""
        return [
            end_s - start_s
            for end_s, start_s in zip(
                self._read(), self.start_times_s, strict=True
            )
        ]

    def _read(self):
        return [read_cpu_s(pid) for pid in self.pids]
