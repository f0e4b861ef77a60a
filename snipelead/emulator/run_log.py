"""Log of the requests that an emulated target ran.

A line is written when a request starts, so that the record survives a
SIGKILL of the target, and a second line when the request ends without a
response.
"""

from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct

__all__ = ['Run', 'RunLog', 'RunOutcome', 'read_runs']

_encode = msgspec.json.encode


class RunOutcome(Enum):
    """How a run ended from the point of view of the target."""

    RAN = 'ran'
    CANCELLED = 'cancelled'
    DEADLINE = 'deadline'


class Run(Struct, omit_defaults=True):
    """One request that started to run.

    Parameters
    ----------
    run : int
        Sequence number of the run since the target started.
    target : TargetId
        Target that ran it.
    path : str
        Path and query string.
    key : str
        Idempotency key, empty if the request had none.
    request_id : str
        Value of the caller's ``X-Request-Id`` field.
    outcome : RunOutcome
        How the run ended.
    started_ns : int
        Start time in nanoseconds since the Unix epoch.
    """

    run: int
    target: str
    path: str = ''
    key: str = ''
    request_id: str = ''
    outcome: RunOutcome = RunOutcome.RAN
    started_ns: int = 0


class RunLog:
    """Keeps runs in memory and, given a path, in a file.

    Parameters
    ----------
    path : str or None
        File to append to; lines are not buffered.

    Attributes
    ----------
    runs : list of Run
        Runs since the target started.
    """

    def __init__(self, path=None):
        self.path = path
        self.runs = []
        self._file = None

    def __enter__(self):
        if self.path is not None:
            # Unbuffered, so that no line is lost when the process is killed.
            self._file = Path(self.path).open('ab', buffering=0)
        return self

    def __exit__(self, *exc_info):
        if self._file is not None:
            self._file.close()
            self._file = None

    def record_start(self, run):
        """Record that a request starts to run."""
        self.runs.append(run)
        self._write(run)

    def record_end(self, run, outcome):
        """Record how a run ended."""
        run.outcome = outcome
        if outcome is not RunOutcome.RAN:
            self._write(run)

    def _write(self, run):
        if self._file is not None:
            self._file.write(_encode(run) + b'\n')


def read_runs(path):
    """Read a run log.

    Parameters
    ----------
    path : str or Path
        File written by :class:`RunLog`; a missing file is read as empty.

    Returns
    -------
    list of Run
        One entry per request that ran, in order of start.
    """
    path = Path(path)
    if not path.exists():
        return []
    runs = {}
    # A last line without a newline is still being written and is skipped.
    complete_lines, _, _ = path.read_bytes().rpartition(b'\n')
    for line in complete_lines.splitlines():
        run = msgspec.json.decode(line, type=Run)
        # Run numbers start at 0 again when a target restarts.
        runs[(run.target, run.run, run.started_ns)] = run
    return list(runs.values())
