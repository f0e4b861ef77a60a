"""Manages the processes that run the nodes of the distribution benchmark."""

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
SOURCE_ROOT = Path(__file__).resolve().parents[2]


class FleetHosts:
    """Starts host processes and collects their reports.

    A context manager that stops the processes.

    Parameters
    ----------
    options : DistributionOptions
        Numbers of nodes and host processes.
    control : Address
        Address of the control.

    Attributes
    ----------
    nodes : int
        Number of nodes on all hosts.
    """

    def __init__(self, options, control):
        self.options = options
        self.control = control
        self.nodes = options.nodes
        self.processes = []
        self._swap_times_ns = {}
        self._ready_times_ns = {}
        self._stats = []
        self._report_received = trio.Event()

    async def __aenter__(self):
        self._nursery_manager = trio.open_nursery()
        self._nursery = await self._nursery_manager.__aenter__()
        host_count = min(self.options.hosts, self.nodes)
        first_index = 0
        for index in range(host_count):
            count = (self.nodes - first_index) // (host_count - index)
            await self._start(
                HostOptions(
                    first_index, count, self.control, wire=self.options.wire
                )
            )
            first_index += count
        await self._wait_until(lambda: len(self._stats) == host_count)
        return self

    async def __aexit__(self, *exc_info):
        self._nursery.cancel_scope.cancel()
        await self._nursery_manager.__aexit__(*exc_info)

    async def pause(self):
        """Stop the sync clients of all nodes."""
        await self._send_command(Command.PAUSE)

    async def resume(self):
        """Start the sync clients of all nodes again."""
        self._ready_times_ns = {}
        await self._send_command(Command.RESUME)

    async def restart(self):
        """Restart all nodes without state."""
        self._ready_times_ns = {}
        await self._send_command(Command.RESTART)

    async def stats(self):
        """Return the traffic and CPU time summed over all hosts."""
        self._stats = []
        await self._send_command(Command.STATS)
        await self._wait_until(lambda: len(self._stats) == len(self.processes))
        return HostReport(
            ReportKind.STATS,
            payload_bytes=sum(s.payload_bytes for s in self._stats),
            wire_bytes=sum(s.wire_bytes for s in self._stats),
            cpu_s=sum(s.cpu_s for s in self._stats),
        )

    async def wait_swapped(self, number):
        """Wait until all nodes have a release; return the swap times in ns."""
        swap_times_ns = self._swap_times_ns.setdefault(number, {})
        await self._wait_until(lambda: len(swap_times_ns) == self.nodes)
        return list(swap_times_ns.values())

    async def wait_ready(self):
        """Wait until all nodes are ready; return the times in ns."""
        await self._wait_until(lambda: len(self._ready_times_ns) == self.nodes)
        return list(self._ready_times_ns.values())

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
                env=os.environ | {'PYTHONPATH': str(SOURCE_ROOT)},
            )
        )
        self.processes.append(process)
        self._nursery.start_soon(self._read, process)

    async def _read(self, process):
        incomplete_line = b''
        async for chunk in process.stdout:
            *lines, incomplete_line = (incomplete_line + chunk).split(b'\n')
            for line in lines:
                self._record_report(msgspec.json.decode(line, type=HostReport))
            self._report_received.set()
            self._report_received = trio.Event()

    def _record_report(self, report):
        match report.kind:
            case ReportKind.SWAPPED:
                swap_times_ns = self._swap_times_ns.setdefault(
                    report.release, {}
                )
                swap_times_ns[report.node] = report.at_ns
            case ReportKind.READY:
                self._ready_times_ns[report.node] = report.at_ns
            case ReportKind.STATS:
                self._stats.append(report)

    async def _send_command(self, command):
        for process in self.processes:
            await process.stdin.send_all(f'{command.value}\n'.encode())

    async def _wait_until(self, condition):
        with trio.fail_after(TIMEOUT_S):
            while not condition():
                await self._report_received.wait()
