"""The processes that host the nodes of the bench."""

from functools import partial
import os
from pathlib import Path
import subprocess
import sys

import msgspec
import trio

from snipelead.bench.node_host import Command
from snipelead.bench.node_host import HostOptions
from snipelead.bench.node_host import HostReport
from snipelead.bench.node_host import ReportKind

__all__ = ['CONTROL_ID', 'TIMEOUT_S', 'FleetHosts']

CONTROL_ID = 'c0'
TIMEOUT_S = 120.0
ROOT = Path(__file__).resolve().parents[2]


class FleetHosts:
    """Starts hosts and gathers their reports; a context manager.

    Parameters
    ----------
    options : DistributionOptions
        Numbers of nodes and hosts.
    control : Address
        The control.

    Attributes
    ----------
    nodes : int
        Nodes of all hosts.
    """

    def __init__(self, options, control):
        self.options = options
        self.control = control
        self.nodes = options.nodes
        self.processes = []
        self._swapped = {}
        self._ready = {}
        self._stats = []
        self._news = trio.Event()

    async def __aenter__(self):
        self._manager = trio.open_nursery()
        self._nursery = await self._manager.__aenter__()
        hosts = min(self.options.hosts, self.nodes)
        first = 0
        for index in range(hosts):
            count = (self.nodes - first) // (hosts - index)
            await self._start(
                HostOptions(first, count, self.control, wire=self.options.wire)
            )
            first += count
        await self._wait(lambda: len(self._stats) == hosts)
        return self

    async def __aexit__(self, *exc_info):
        self._nursery.cancel_scope.cancel()
        await self._manager.__aexit__(*exc_info)

    async def pause(self):
        """Stop all nodes' clients."""
        await self._tell(Command.PAUSE)

    async def resume(self):
        """Start all nodes' clients again."""
        self._ready = {}
        await self._tell(Command.RESUME)

    async def restart(self):
        """Restart all nodes without state."""
        self._ready = {}
        await self._tell(Command.RESTART)

    async def stats(self):
        """Return the sums of bytes and processor time of all hosts."""
        self._stats = []
        await self._tell(Command.STATS)
        await self._wait(lambda: len(self._stats) == len(self.processes))
        return HostReport(
            ReportKind.STATS,
            payload_bytes=sum(s.payload_bytes for s in self._stats),
            wire_bytes=sum(s.wire_bytes for s in self._stats),
            cpu_s=sum(s.cpu_s for s in self._stats),
        )

    async def wait_swapped(self, number):
        """Return when each node swapped to a release, in nanoseconds."""
        times = self._swapped.setdefault(number, {})
        await self._wait(lambda: len(times) == self.nodes)
        return list(times.values())

    async def wait_ready(self):
        """Return when each node became ready, in nanoseconds."""
        await self._wait(lambda: len(self._ready) == self.nodes)
        return list(self._ready.values())

    async def _start(self, options):
        process = await self._nursery.start(
            partial(
                trio.run_process,
                [
                    sys.executable,
                    '-m',
                    'snipelead.bench.node_host',
                    msgspec.json.encode(options).decode(),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                check=False,
                env=os.environ | {'PYTHONPATH': str(ROOT)},
            )
        )
        self.processes.append(process)
        self._nursery.start_soon(self._read, process)

    async def _read(self, process):
        pending = b''
        async for chunk in process.stdout:
            *lines, pending = (pending + chunk).split(b'\n')
            for line in lines:
                self._take(msgspec.json.decode(line, type=HostReport))
            self._news.set()
            self._news = trio.Event()

    def _take(self, report):
        match report.kind:
            case ReportKind.SWAPPED:
                times = self._swapped.setdefault(report.release, {})
                times[report.node] = report.at_ns
            case ReportKind.READY:
                self._ready[report.node] = report.at_ns
            case ReportKind.STATS:
                self._stats.append(report)

    async def _tell(self, command):
        for process in self.processes:
            await process.stdin.send_all(f'{command.value}\n'.encode())

    async def _wait(self, condition):
        with trio.fail_after(TIMEOUT_S):
            while not condition():
                await self._news.wait()
