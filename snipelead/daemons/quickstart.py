"""Small deployment in a single process, for the quick start."""

from contextlib import asynccontextmanager
from tempfile import TemporaryDirectory

import trio

from snipelead.daemons.default_interfaces import make_control
from snipelead.daemons.default_interfaces import make_node
from snipelead.daemons.target import TargetDaemon
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import NodeTimings
from snipelead.settings.schema import Peer
from snipelead.settings.schema import TargetSettings
from snipelead.types import ControlId
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import ZoneName
from snipelead.utils.ports import find_free_addresses

__all__ = ['Deployment', 'open_deployment']

ZONES = (ZoneName('zone-a'), ZoneName('zone-b'))
# Short, because a control waits for this time after its start before it
# considers its view of the targets complete.
LEASE_MS = 1_500
HOLD_MS = 500
MISS_MS = 500
SERVICES = (ServiceName('contracts'), ServiceName('stock'))


class Deployment:
    """One control, and a node and target per availability zone and service.

    All processes listen on free loopback ports.

    Parameters
    ----------
    data_dir : str
        Data directory of the control.

    Attributes
    ----------
    peers : tuple of Peer
        The control as listed in the settings.
    controls : list of ControlDaemon
        Controls, started first.
    nodes : list of NodeDaemon
        Nodes, started after the controls.
    targets : list of TargetDaemon
        Emulated targets, started last.
    """

    def __init__(self, data_dir):
        self.data_dir = data_dir
        self.peers = self._make_peers()
        self.controls = []
        self.nodes = []
        self.targets = []

    def make_daemons(self, transport):
        """Create the daemons without starting them."""
        self.controls = [
            make_control(self._make_control_settings(), transport)
        ]
        for zone in ZONES:
            for service in SERVICES:
                node_settings, target_settings = (
                    self._make_node_and_target_settings(zone, service)
                )
                self.nodes.append(make_node(node_settings, transport))
                self.targets.append(TargetDaemon(target_settings))

    def get_operator_addresses(self):
        """Return the address of the operator interface of each control."""
        return [peer.operator_address for peer in self.peers]

    def count_runs(self, key):
        """Return how many runs the targets recorded for an idempotency key."""
        return sum(
            run.key == key
            for daemon in self.targets
            for run in daemon.target.run_log.runs
        )

    def _make_peers(self):
        address, operator_address = find_free_addresses(2)
        return (
            Peer(
                control_id=ControlId('control-a'),
                zone=ZONES[0],
                address=address,
                operator_address=operator_address,
            ),
        )

    def _make_control_settings(self):
        peer = self.peers[0]
        return ControlSettings(
            control_id=peer.control_id,
            zone=peer.zone,
            address=peer.address,
            operator_address=peer.operator_address,
            data_dir=self.data_dir,
            peers=self.peers,
            timings=ControlTimings(
                node_lease_ms=LEASE_MS, target_lease_ms=LEASE_MS
            ),
        )

    def _make_node_and_target_settings(self, zone, service):
        (
            caller_address,
            address,
            admin_address,
            target_address,
        ) = find_free_addresses(4)
        name = f'{service}-{zone}'
        node_settings = NodeSettings(
            node_id=NodeId(f'node-{name}'),
            zone=zone,
            caller_address=caller_address,
            address=address,
            admin_address=admin_address,
            controls=self.peers,
            timings=NodeTimings(hold_ms=HOLD_MS, miss_ms=MISS_MS),
        )
        target_settings = TargetSettings(
            target_id=TargetId(name),
            service=service,
            address=target_address,
            node_admin_address=admin_address,
        )
        return node_settings, target_settings


@asynccontextmanager
async def open_deployment():
    """Run a deployment as tasks and stop it gracefully on exit.

    The targets stop first, then the nodes, then the control. The data
    directory of the control is removed.

    Yields
    ------
    Deployment
    """
    with TemporaryDirectory(prefix='snipelead-') as data_dir:
        deployment = Deployment(data_dir)
        async with open_grpc_transport() as transport:
            deployment.make_daemons(transport)
            async with (
                _run_daemons(deployment.controls),
                _run_daemons(deployment.nodes),
                _run_daemons(deployment.targets),
            ):
                yield deployment


@asynccontextmanager
async def _run_daemons(daemons):
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        for daemon in daemons:
            await nursery.start(daemon.run, stop)
        yield
        stop.set()
