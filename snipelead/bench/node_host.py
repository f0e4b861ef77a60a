"""Process that runs many nodes' clients as tasks, for the bench.

It reads commands, one a line, from its standard input and writes reports
as lines of JSON to its standard output. The nodes are whole clients of the
controls, without the call path.
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
from snipelead.rpc.grpc import open_transport
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Peer
from snipelead.targets.local import LocalTargets
from snipelead.testing.relay import Relay
from snipelead.types import Address
from snipelead.types import TargetState

__all__ = ['Command', 'HostOptions', 'HostReport', 'ReportKind', 'run_host']

SERVICES_CALLED = 3


class Command(Enum):
    """What the host is told."""

    RESTART = 'restart'
    PAUSE = 'pause'
    RESUME = 'resume'
    STATS = 'stats'
    QUIT = 'quit'


class ReportKind(Enum):
    """What the host tells."""

    READY = 'ready'
    SWAPPED = 'swapped'
    STATS = 'stats'


class HostOptions(Struct, frozen=True):
    """What a host runs.

    Parameters
    ----------
    first, count : int
        Index of the first node and number of nodes.
    control : Address
        The control.
    hold_ms : int
        How long polls may be held.
    wire : bool
        Whether to count bytes on the wire, by a TCP relay.
    """

    first: int
    count: int
    control: Address
    hold_ms: int = 5_000
    wire: bool = False


class HostReport(Struct, frozen=True, omit_defaults=True):
    """One report.

    Parameters
    ----------
    kind : ReportKind
        What happened.
    node : int
        Index of the node.
    release : int
        Release that the node swapped to.
    at_ns : int
        When, on the machine's monotonic clock.
    payload_bytes, wire_bytes : int
        Bytes of all nodes since the start, both ways.
    cpu_s : float
        Processor time of the host.
    """

    kind: ReportKind
    node: int = -1
    release: int = 0
    at_ns: int = 0
    payload_bytes: int = 0
    wire_bytes: int = 0
    cpu_s: float = 0.0


class HostedNode:
    """One node.

    Parameters
    ----------
    index : int
        Index of the node.
    options : HostOptions
        Options of the host.
    transport : Transport
        Transport of the node.
    control : Address
        Where the node reaches the control.
    report : callable
        Takes a :class:`HostReport`.
    """

    def __init__(self, index, options, transport, control, report: Callable):
        self.index = index
        self.transport = transport
        self.report = report
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
        self.scope = trio.CancelScope()
        self.forget()

    def forget(self):
        """Start a new life without any state."""
        self.holder = ReleaseHolder()
        self.holder.observers.append(self._swapped)
        self.directory = TargetDirectory()
        self.local = LocalTargets(
            self.settings.node_id, 'a', self.settings.address
        )
        self.local.announce(
            f'target-{self.index}',
            f'service-{self.index}',
            self.settings.address,
            20,
            130,
            TargetState.SERVING,
        )
        for step in range(SERVICES_CALLED):
            self.directory.subscribe(f'service-{self.index + step}')
        self.client = SyncClient(
            self.settings,
            self.transport,
            self.holder,
            self.directory,
            self.local,
        )

    async def run(self):
        """Keep in step until stopped."""
        self.scope = trio.CancelScope()
        with self.scope:
            await self.client.run()

    async def watch_ready(self):
        """Report when the node may serve."""
        while not self.holder.ready:
            await self.holder.wait_changed()
        self._tell(ReportKind.READY)

    def _swapped(self, release):
        self._tell(ReportKind.SWAPPED, release.number)

    def _tell(self, kind, release=0):
        self.report(HostReport(kind, self.index, release, time.monotonic_ns()))


class Host:
    """Nodes of this process and the commands to them."""

    def __init__(self, options, nursery):
        self.options = options
        self.nursery = nursery
        self.nodes = []
        self.relay = None

    async def start(self):
        """Start the relay if asked to, and make the nodes."""
        control = self.options.control
        if self.options.wire:
            self.relay = Relay(control)
            control = await self.nursery.start(self.relay.run)
        last = self.options.first + self.options.count
        for index in range(self.options.first, last):
            self.nodes.append(
                HostedNode(
                    index, self.options, GrpcTransport(), control, write
                )
            )

    def obey(self, command):
        """Carry out a command."""
        match command:
            case Command.RESTART:
                self.pause()
                for node in self.nodes:
                    node.forget()
                self.resume()
            case Command.PAUSE:
                self.pause()
            case Command.RESUME:
                self.resume()
            case Command.STATS:
                write(self.stats())
            case Command.QUIT:
                self.nursery.cancel_scope.cancel()

    def pause(self):
        """Stop the clients; releases are kept."""
        for node in self.nodes:
            node.scope.cancel()

    def resume(self):
        """Start the clients."""
        for node in self.nodes:
            self.nursery.start_soon(node.run)
            self.nursery.start_soon(node.watch_ready)

    def stats(self):
        """Return bytes and processor time."""
        stats = [node.transport.stats for node in self.nodes]
        return HostReport(
            ReportKind.STATS,
            payload_bytes=sum(s.sent_bytes + s.received_bytes for s in stats),
            wire_bytes=self.relay.carried_bytes if self.relay else 0,
            cpu_s=time.process_time(),
        )


def write(report):
    """Write a report to the standard output."""
    sys.stdout.buffer.write(msgspec.json.encode(report) + b'\n')
    sys.stdout.buffer.flush()


async def run_host(options):
    """Run nodes until told to quit.

    Parameters
    ----------
    options : HostOptions
        What to run.
    """
    configure_logs(level='error')
    stdin = trio.lowlevel.FdStream(0)
    async with open_transport(), trio.open_nursery() as nursery:
        host = Host(options, nursery)
        await host.start()
        write(host.stats())
        pending = b''
        async for chunk in stdin:
            *lines, pending = (pending + chunk).split(b'\n')
            for line in lines:
                host.obey(Command(line.decode()))
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(run_host, msgspec.json.decode(sys.argv[1], type=HostOptions))
