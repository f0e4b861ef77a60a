"""Test harness: controls and nodes on an in-memory network."""

from contextlib import asynccontextmanager
import random

import trio

from snipelead.controls.client import SyncClient
from snipelead.controls.service import ControlService
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import NodeTimings
from snipelead.settings.schema import Peer
from snipelead.targets.local import LocalTargets
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.simulation import run_simulated
from snipelead.testing.source import FakeSource
from snipelead.types import ControlRole
from snipelead.types import Incarnation
from snipelead.types import TargetState

POLL_INTERVAL_S = 0.01
# Timings and bounds of deployments that state such bounds: a node counts as in
# touch again this long after the last fault.
CONTROL_TIMINGS = ControlTimings(exchange_hold_ms=1_200, exchange_miss_ms=600)
NODE_TIMINGS = NodeTimings(hold_ms=1_200, miss_ms=600)
STABLE_WINDOW_S = 3.0
TIME_LIMIT_S = 1_000


def run_mesh(main, seed=0):
    """Run a test in virtual time, with a limit on the virtual time."""

    async def run():
        with trio.fail_after(TIME_LIMIT_S):
            await main()

    run_simulated(run, seed)


async def wait_until(condition):
    """Poll a condition until it holds."""
    while not condition():
        await trio.sleep(POLL_INTERVAL_S)


def make_peers(zones, roles=()):
    """Return the peer settings of one control per zone."""
    roles = roles or [ControlRole.VOTER] * len(zones)
    return tuple(
        Peer(
            control_id=f'c{index}',
            zone=zone,
            address=f'127.0.0.1:{7000 + index}',
            role=role,
        )
        for index, (zone, role) in enumerate(zip(zones, roles, strict=True))
    )


class Control:
    """A running control of the mesh."""

    def __init__(self, mesh, peer, source, **overrides):
        self.address = peer.address
        self.source = source
        self.settings = ControlSettings(
            control_id=peer.control_id,
            zone=peer.zone,
            address=peer.address,
            operator_address=peer.address,
            data_dir='unused',
            peers=mesh.peers,
            role=peer.role,
            **overrides,
        )
        self.transport = mesh.network.transport(peer.address)
        self.service = ControlService(
            self.settings, source, self.transport, random.Random(mesh.seed)
        )
        self.scope = trio.CancelScope()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        handlers = self.source.handlers() | self.service.handlers()
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.source.run)
                await nursery.start(
                    self.transport.serve, self.address, handlers
                )
                await nursery.start(self.service.run)
                task_status.started()


class Node:
    """A running node of the mesh that records the releases it applied."""

    def __init__(self, mesh, index, zone, incarnation=1, **overrides):
        self.address = f'127.0.0.1:{10000 + index}'
        self.settings = NodeSettings(
            node_id=f'n{index}',
            zone=zone,
            caller_address=self.address,
            address=self.address,
            admin_address=self.address,
            controls=mesh.peers,
            **overrides,
        )
        self.holder = ReleaseHolder()
        self.applied_numbers = []
        self.holder.observers.append(
            lambda release: self.applied_numbers.append(release.number)
        )
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(f'n{index}', zone, self.address)
        self.local_targets.incarnation = Incarnation(incarnation)
        self.transport = mesh.network.transport(self.address)
        self.client = SyncClient(
            self.settings,
            self.transport,
            self.holder,
            self.directory,
            self.local_targets,
            random.Random(f'{mesh.seed}-{index}'),
        )
        self.scope = trio.CancelScope()

    @property
    def number(self):
        return self.holder.current.number

    def announce(self, service='service-0', state=TargetState.SERVING):
        self.local_targets.announce(
            f't-{self.settings.node_id}', service, self.address, 20, 130, state
        )

    def target_ids(self, service='service-0'):
        return {e.target_id for e in self.directory.get_targets(service)}

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        with self.scope:
            await self.client.run(task_status=task_status)


class Mesh:
    """Network, controls and nodes of one test."""

    def __init__(self, nursery, peers, seed=1, **network):
        self.nursery = nursery
        self.peers = peers
        self.seed = seed
        self.network = MemoryNetwork(seed, **network)

    async def start_control(self, index=0, source=None, **overrides):
        overrides.setdefault('timings', ControlTimings())
        control = Control(
            self, self.peers[index], source or FakeSource(), **overrides
        )
        await self.nursery.start(control.run)
        return control

    async def start_node(self, index=0, zone='a', incarnation=1, **overrides):
        node = Node(self, index, zone, incarnation, **overrides)
        await self.nursery.start(node.run)
        return node


@asynccontextmanager
async def open_mesh(zones=('a',), roles=(), seed=1, **network):
    """Yield a mesh and cancel all of its tasks on exit."""
    async with trio.open_nursery() as nursery:
        yield Mesh(nursery, make_peers(zones, roles), seed, **network)
        nursery.cancel_scope.cancel()
