"""Hostile callers for tests of the limits on what callers may use."""

from dataclasses import dataclass
import errno
import os
from pathlib import Path
import selectors
import socket
import time

import httpx
from testtools.content import text_content

from snipelead.http.connection import split_address
from snipelead.testing.processes import wait_for

__all__ = [
    'HostileCallers',
    'ProcessUsage',
    'Script',
    'check_answered',
    'check_withstands',
    'limit_descriptors',
]

# Callers have done what they can if none of them has made progress for this
# time.
QUIET_S = 1.5
MAX_RUN_S = 60.0
# A process is idle if it uses less than this share of a processor in a time.
IDLE_CHECK_S = 0.5
MAX_IDLE_SHARE = 0.2
SEND_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 5.0
# How long an ordinary caller tries, and the timeout of each of its requests.
ANSWER_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 5.0
# Limit of descriptors of the process, and the highest number that it may use.
DESCRIPTOR_LIMIT = 256
MAX_DESCRIPTORS = 250
# Resident memory may rise this far above that of the process at rest.
MAX_GROWTH_MIB = 40
_BYTES_PER_KIB = 1024


@dataclass(frozen=True)
class Script:
    """What each hostile connection does.

    Parameters
    ----------
    start : bytes
        First bytes that are sent.
    unit : bytes
        Bytes that follow again and again.
    max_bytes : int
        Number of bytes after which the connection sends nothing more. It
        stays open and never reads.
    connections : int
        Number of connections.
    reconnects : int
        How often a connection is opened again after the peer closed it.
    """

    start: bytes
    unit: bytes
    max_bytes: int
    connections: int
    reconnects: int = 2


class _HostileConnection:
    def __init__(self, address, script):
        self.address = split_address(address)
        self.script = script
        self.reconnects_left = script.reconnects
        count = max(1, SEND_BYTES // max(1, len(script.unit)))
        self.block = script.unit * count
        self.sock = None
        self.open()

    def open(self):
        self.sent_bytes = 0
        self.sock = socket.create_connection(
            self.address, timeout=CONNECT_TIMEOUT_S
        )
        self.sock.setblocking(False)

    @property
    def is_done(self):
        return self.sock is None or self.sent_bytes >= self.script.max_bytes

    def next_bytes(self):
        start = self.script.start
        if self.sent_bytes < len(start):
            return start[self.sent_bytes :]
        offset = (self.sent_bytes - len(start)) % len(self.script.unit)
        left = self.script.max_bytes - self.sent_bytes
        return self.block[offset : offset + left]

    def send(self):
        """Send what the socket takes; return whether anything was sent."""
        try:
            sent = self.sock.send(self.next_bytes())
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno not in (errno.EPIPE, errno.ECONNRESET):
                raise
            self.close()
            return self.reopen()
        self.sent_bytes += sent
        return True

    def reopen(self):
        if not self.reconnects_left:
            return False
        self.reconnects_left -= 1
        try:
            self.open()
        except OSError:
            self.sock = None
            return False
        return True

    def close(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class HostileCallers:
    """Callers that follow a script; a context manager that ends them.

    Parameters
    ----------
    address : Address
        Address to connect to.
    script : Script
        What each connection does.
    """

    def __init__(self, address, script):
        self.address = address
        self.script = script
        self.connections = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for connection in self.connections:
            connection.close()

    def run(self):
        """Follow the script until nothing more can be sent."""
        for _ in range(self.script.connections):
            try:
                connection = _HostileConnection(self.address, self.script)
            except OSError:
                continue
            self.connections.append(connection)
        started_at = last_progress_at = time.monotonic()
        while time.monotonic() - last_progress_at < QUIET_S:
            if self._send_all():
                last_progress_at = time.monotonic()
            if all(c.is_done for c in self.connections):
                return
            if last_progress_at - started_at > MAX_RUN_S:
                return

    def _send_all(self):
        with selectors.DefaultSelector() as selector:
            for connection in self.connections:
                if not connection.is_done:
                    selector.register(
                        connection.sock, selectors.EVENT_WRITE, connection
                    )
            progress = [
                key.data.send() for key, _ in selector.select(timeout=0.1)
            ]
        return any(progress)


@dataclass(frozen=True)
class ProcessUsage:
    """Memory and descriptors that a process uses.

    Parameters
    ----------
    resident_mib, peak_mib : float
        Resident memory now and at its highest, in MiB.
    descriptors : int
        Number of open descriptors.
    """

    resident_mib: float
    peak_mib: float
    descriptors: int

    @staticmethod
    def is_idle(pid):
        """Return whether a process uses hardly any processor time.

        Parameters
        ----------
        pid : int
            Id of the process.
        """
        used_s = -_read_processor_time(pid)
        time.sleep(IDLE_CHECK_S)
        used_s += _read_processor_time(pid)
        return used_s < MAX_IDLE_SHARE * IDLE_CHECK_S

    @classmethod
    def read(cls, pid):
        """Return the usage of a process.

        Parameters
        ----------
        pid : int
            Id of the process.
        """
        process = Path('/proc') / str(pid)
        fields = dict(
            line.split(':', 1)
            for line in (process / 'status').read_text().splitlines()
        )
        resident_kib, peak_kib = (
            int(fields[name].split()[0]) for name in ('VmRSS', 'VmHWM')
        )
        descriptors = sum(1 for _ in (process / 'fd').iterdir())
        return cls(
            resident_kib / _BYTES_PER_KIB,
            peak_kib / _BYTES_PER_KIB,
            descriptors,
        )


def _read_processor_time(pid):
    fields = (Path('/proc') / str(pid) / 'stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf('SC_CLK_TCK')


def limit_descriptors(process):
    """Let a process run with a low limit of descriptors.

    Parameters
    ----------
    process : Process
        Process that has not been started.
    """
    make_command = process.command
    script = 'ulimit -n "$0" && exec "$@"'
    process.command = lambda path: (
        *('sh', '-c', script, str(DESCRIPTOR_LIMIT)),
        *make_command(path),
    )


def _is_answered(address, path, statuses):
    url = f'http://{address}{path}'
    with httpx.Client(timeout=REQUEST_TIMEOUT_S, trust_env=False) as client:
        return client.get(url).status_code in statuses


def check_answered(address, path, statuses=(200,)):
    """Check that a request on a new connection is answered.

    Parameters
    ----------
    address : Address
        Address to connect to.
    path : str
        Path of the request.
    statuses : tuple of int
        Expected statuses.
    """
    wait_for(
        lambda: _is_answered(address, path, statuses),
        f'a request for {path} is answered',
        ANSWER_TIMEOUT_S,
    )


def check_withstands(test, process, address, script, check):
    """Check a process while hostile callers hold their connections.

    Parameters
    ----------
    test : TestCase
        Test that makes the check.
    process : Process
        Process under test.
    address : Address
        Address that the hostile callers connect to.
    script : Script
        What they do.
    check : callable
        Checks that an ordinary request is answered.
    """
    pid = process.popen.pid
    rest = ProcessUsage.read(pid)

    def check_usage():
        process.check_running()
        usage = ProcessUsage.read(pid)
        test.addDetail('usage', text_content(f'{rest}\n{usage}\n'))
        test.assertLess(usage.peak_mib, rest.resident_mib + MAX_GROWTH_MIB)
        test.assertLessEqual(usage.descriptors, MAX_DESCRIPTORS)

    with HostileCallers(address, script) as callers:
        callers.run()
        wait_for(
            lambda: ProcessUsage.is_idle(pid),
            f'{process.name} has read what was sent',
        )
        check_usage()
        check()
    check()
    check_usage()
