"""Many simulated nodes in one process that poll the controls of a fleet.

A simulated node synchronizes releases and target directories as a node does,
but has no call path.
"""

from contextlib import asynccontextmanager
import time

import httpx
import msgspec
import trio
import yaml

from snipelead.controls.client import SyncClient
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.settings.schema import NodeSettings
from snipelead.targets.local import LocalTargets
from snipelead.types import Address
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState

__all__ = ['SERVICE', 'NodeSimulation', 'SimulatedNode', 'open_simulation']

SERVICE = ServiceName('service-0')
UNUSED_ADDRESS = Address('127.0.0.1:1')
CONVERGENCE_TIMEOUT_S = 120.0
# Just above the longest time between two polls of a node.
STEADY_PERIOD_S = 6.0
STEADY_TIMEOUT_S = 180.0
POLL_INTERVAL_S = 0.5
SUBMIT_TIMEOUT_S = 30.0


class SimulatedNode:
    """The part of a node that synchronizes with controls.

    Parameters
    ----------
    number : int
        Number of the node, which also selects its zone.
    peers : tuple of Peer
        Controls with the addresses at which the node reaches them.
    transport : Transport
        Transport shared by all nodes; each opens its own channels.
    """

    def __init__(self, number, peers, transport):
        zone_control = peers[number % len(peers)]
        node_id = NodeId(f'swarm-{number}')
        settings = NodeSettings(
            node_id=node_id,
            zone=zone_control.zone,
            caller_address=UNUSED_ADDRESS,
            address=UNUSED_ADDRESS,
            admin_address=UNUSED_ADDRESS,
            controls=peers,
        )
        self.holder = ReleaseHolder()
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(
            node_id, zone_control.zone, settings.address
        )
        self.client = SyncClient(
            settings,
            transport,
            self.holder,
            self.directory,
            self.local_targets,
        )

    @property
    def sync_state(self):
        """Epoch and version of the directory, and state of the preferred link.

        The last item is True if the node polls its preferred control and the
        last poll of that control succeeded.
        """
        links = self.client.links
        preferred = links.links[0]
        at_preferred_control = (
            links.choose() is preferred and preferred.responsive
        )
        return (
            self.directory.epoch,
            self.directory.version,
            at_preferred_control,
        )

    def announce(self, state=TargetState.SERVING):
        """Announce the target of this node in a state."""
        self.local_targets.announce(
            TargetId(f'target-{self.local_targets.node_id}'),
            SERVICE,
            UNUSED_ADDRESS,
            20,
            130,
            state,
        )


class NodeSimulation:
    """Simulated nodes that synchronize with the controls of a fleet.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose controls run as processes.
    nodes : list of SimulatedNode
        Simulated nodes.
    """

    def __init__(self, fleet, nodes):
        self.fleet = fleet
        self.nodes = nodes
        self.number = 0
        self.client = httpx.AsyncClient(
            timeout=SUBMIT_TIMEOUT_S, trust_env=False
        )

    async def submit(self, changes):
        """Submit the next release and retry until it is accepted."""
        number = self.number + 1
        note = {
            'release': number,
            'note': f'note-{number}',
            'changes': changes,
        }
        address = self.fleet.get_operator_addresses()[0]
        while True:
            response = await self.client.post(
                f'http://{address}/v1/releases', content=yaml.safe_dump(note)
            )
            if response.is_success:
                self.number = number
                return
            await trio.sleep(0.1)

    async def converge(self):
        """Wait until every node is ready and runs the newest release."""
        await self._wait_for_nodes(
            lambda node: (
                node.holder.ready and node.holder.current.number >= self.number
            )
        )

    async def wait_targets(self, count):
        """Wait until the directory of every node has a number of targets."""
        await self._wait_for_nodes(
            lambda node: len(node.directory.get_targets(SERVICE)) >= count
        )

    async def wait_steady(self):
        """Wait until nodes change neither their control nor their directory.

        A node that failed to reach its preferred control returns to it 15 to
        45 s later and then receives the full directory again. So do all
        nodes of a control that becomes warm.
        """
        with trio.fail_after(STEADY_TIMEOUT_S):
            while await self.is_warming():
                await trio.sleep(POLL_INTERVAL_S)
            while True:
                before = [node.sync_state for node in self.nodes]
                await trio.sleep(STEADY_PERIOD_S)
                after = [node.sync_state for node in self.nodes]
                if before == after and all(
                    at_preferred_control for *_, at_preferred_control in after
                ):
                    return

    async def is_warming(self):
        """Return whether any control is still warming up or unreachable."""
        address = self.fleet.get_operator_addresses()[0]
        response = await self.client.get(f'http://{address}/v1/fleet')
        status = response.raise_for_status().json()
        return status['warming_controls'] or status['unreachable_controls']

    async def _wait_for_nodes(self, condition):
        with trio.fail_after(CONVERGENCE_TIMEOUT_S):
            for node in self.nodes:
                while not condition(node):
                    await trio.sleep(0.002)

    async def time_change(self, changes):
        """Submit a change and return its convergence time in seconds.

        The time is counted from the acceptance of the release.
        """
        await self.submit(changes)
        acceptance_time_s = time.monotonic()
        await self.converge()
        return time.monotonic() - acceptance_time_s


@asynccontextmanager
async def open_simulation(fleet, count, addresses=None):
    """Run simulated nodes against the controls of a fleet.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose controls are running.
    count : int
        Number of nodes.
    addresses : sequence of Address or None
        Addresses at which the nodes reach the controls, None for those of the
        fleet.
    """
    peers = fleet.peers
    if addresses is not None:
        peers = tuple(
            msgspec.structs.replace(peer, address=address)
            for peer, address in zip(peers, addresses, strict=True)
        )
    async with open_grpc_transport() as transport:
        nodes = [SimulatedNode(n, peers, transport) for n in range(count)]
        simulation = NodeSimulation(fleet, nodes)
        async with simulation.client, trio.open_nursery() as nursery:
            for node in nodes:
                await nursery.start(node.client.run)
            yield simulation
            nursery.cancel_scope.cancel()
