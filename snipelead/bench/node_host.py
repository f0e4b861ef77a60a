"""Host process that runs the sync clients of many nodes as tasks.

It reads commands from standard input, one per line, and writes reports to
standard output as lines of JSON. The nodes have complete sync clients but no
call path.
"""

from collections.abc import Callable
from enum import Enum
import sys
import time

import msgspec
from msgspec import Struct
import trio

from snipelead.controls.client import SyncClient
from snipelead.logs import configure_logs
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.rpc.grpc import GrpcTransport
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Peer
from snipelead.targets.local import LocalTargets
from snipelead.testing.relay import Relay
from snipelead.types import Address
from snipelead.types import TargetState

__all__ = ['Command', 'HostOptions', 'HostReport', 'ReportKind', 'run_host']

SUBSCRIBED_SERVICES = 3


class Command(Enum):
    """Command to a host."""

    RESTART = 'restart'
    PAUSE = 'pause'
    RESUME = 'resume'
    STATS = 'stats'
    QUIT = 'quit'


class ReportKind(Enum):
    """Kind of a report from a host."""

    READY = 'ready'
    SWAPPED = 'swapped'
    STATS = 'stats'


class HostOptions(Struct, frozen=True):
    """Options of a host.

    Parameters
    ----------
    first, count : int
        Index of the first node and number of nodes.
    control : Address
        Address of the control.
    hold_ms : int
        Longest time that the control may hold a poll, in milliseconds.
    wire : bool
        Whether to count bytes on the wire with a TCP relay.
    """

    first: int
    count: int
    control: Address
    hold_ms: int = 5_000
    wire: bool = False


class HostReport(Struct, frozen=True, omit_defaults=True):
    """Report from a host.

    Parameters
    ----------
    kind : ReportKind
        Kind of the report.
    node : int
        Index of the node.
    release : int
        Number of the release that the node swapped to.
    at_ns : int
        Time of the event on the monotonic clock of the machine, in
        nanoseconds.
    payload_bytes, wire_bytes : int
        Bytes of all nodes since the start, in both directions.
    cpu_s : float
        CPU time of the host, in seconds.
    """

    kind: ReportKind
    node: int = -1
    release: int = 0
    at_ns: int = 0
    payload_bytes: int = 0
    wire_bytes: int = 0
    cpu_s: float = 0.0


class HostedNode:
    """Node without a call path.

    Parameters
    ----------
    index : int
        Index of the node.
    options : HostOptions
        Options of the host.
    transport : Transport
        Transport of the node.
    control : Address
        Address at which the node reaches the control.
    on_report : callable
        Called with each :class:`HostReport`.
    """

    def __init__(
        self, index, options, transport, control, on_report: Callable
    ):
        self.index = index
        self.transport = transport
        self.on_report = on_report
        address = Address(f'127.0.0.1:{20_000 + index}')
        self.settings = NodeSettings(
            node_id=f'node-{index}',
            zone='a',
            caller_address=address,
            address=address,
            admin_address=address,
            controls=(Peer(control_id='c0', zone='a', address=control),),
        )
        self.settings = msgspec.structs.replace(
            self.settings,
            timings=msgspec.structs.replace(
                self.settings.timings, hold_ms=options.hold_ms
            ),
        )
        self.cancel_scope = trio.CancelScope()
        self.reset()

    def reset(self):
        """Discard all state, as a restart without state does."""
        self.holder = ReleaseHolder()
        self.holder.observers.append(self._report_swap)
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(
            self.settings.node_id, 'a', self.settings.address
        )
        self.local_targets.announce(
            f'target-{self.index}',
            f'service-{self.index}',
            self.settings.address,
            20,
            130,
            TargetState.SERVING,
        )
        for offset in range(SUBSCRIBED_SERVICES):
            self.directory.subscribe(f'service-{self.index + offset}')
        self.client = SyncClient(
            self.settings,
            self.transport,
            self.holder,
            self.directory,
            self.local_targets,
        )

    async def run(self):
        """Run the sync client until cancelled."""
        self.cancel_scope = trio.CancelScope()
        with self.cancel_scope:
            await self.client.run()

    async def report_ready(self):
        """Send a report once the node is ready."""
        while not self.holder.ready:
            await self.holder.wait_changed()
        self._report(ReportKind.READY)

    def _report_swap(self, release):
        self._report(ReportKind.SWAPPED, release.number)

    def _report(self, kind, release=0):
        self.on_report(
            HostReport(kind, self.index, release, time.monotonic_ns())
        )


class Host:
    """Runs the nodes of this process and executes commands."""

    def __init__(self, options, nursery):
        self.options = options
        self.nursery = nursery
        self.nodes = []
        self.relay = None

    async def start(self):
        """Create the nodes, and start the relay if bytes are counted."""
        control = self.options.control
        if self.options.wire:
            self.relay = Relay(control)
            control = await self.nursery.start(self.relay.run)
        end = self.options.first + self.options.count
        for index in range(self.options.first, end):
            self.nodes.append(
                HostedNode(
                    index, self.options, GrpcTransport(), control, write_report
                )
            )

    def execute(self, command):
        """Execute a command."""
        match command:
            case Command.RESTART:
                self.pause()
                for node in self.nodes:
                    node.reset()
                self.resume()
            case Command.PAUSE:
                self.pause()
            case Command.RESUME:
                self.resume()
            case Command.STATS:
                write_report(self.stats())
            case Command.QUIT:
                self.nursery.cancel_scope.cancel()

    def pause(self):
        """Stop the sync clients; nodes keep their releases."""
        for node in self.nodes:
            node.cancel_scope.cancel()

    def resume(self):
        """Start the sync clients."""
        for node in self.nodes:
            self.nursery.start_soon(node.run)
            self.nursery.start_soon(node.report_ready)

    def stats(self):
        """Return a report of traffic and CPU time."""
        stats = [node.transport.stats for node in self.nodes]
        return HostReport(
            ReportKind.STATS,
            payload_bytes=sum(s.sent_bytes + s.received_bytes for s in stats),
            wire_bytes=self.relay.relayed_bytes if self.relay else 0,
            cpu_s=time.process_time(),
        )


def write_report(report):
    """Write a report to standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(report) + b'\n')
    sys.stdout.buffer.flush()


async def run_host(options):
    """Run a host until it is told to quit.

    Parameters
    ----------
    options : HostOptions
        Nodes to run and control to connect to.
    """
    configure_logs(level='error')
    stdin = trio.lowlevel.FdStream(0)
    async with open_grpc_transport(), trio.open_nursery() as nursery:
        host = Host(options, nursery)
        await host.start()
        write_report(host.stats())
        incomplete_line = b''
        async for chunk in stdin:
            *lines, incomplete_line = (incomplete_line + chunk).split(b'\n')
            for line in lines:
                host.execute(Command(line.decode()))
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(run_host, msgspec.json.decode(sys.argv[1], type=HostOptions))
