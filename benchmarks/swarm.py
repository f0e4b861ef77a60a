"""Many nodes as tasks of one process, against controls that are processes."""

from contextlib import asynccontextmanager
import time

import httpx
import msgspec
import trio
import yaml

from snipelead.controls.client import SyncClient
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.rpc.grpc import open_transport
from snipelead.settings.schema import NodeSettings
from snipelead.targets.local import LocalTargets
from snipelead.types import Address
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState

__all__ = ['SERVICE', 'Swarm', 'SwarmNode', 'open_swarm']

SERVICE = ServiceName('service-0')
UNUSED_ADDRESS = Address('127.0.0.1:1')
CONVERGENCE_LIMIT_S = 120.0
# A little above the longest time between two polls of a node.
QUIET_S = 6.0
QUIET_LIMIT_S = 180.0
POLL_S = 0.5
SUBMIT_TIMEOUT_S = 30.0


class SwarmNode:
    """What a node keeps for control, without its call path.

    Parameters
    ----------
    number : int
        Position in the swarm.
    peers : tuple of Peer
        Controls as the node reaches them.
    transport : Transport
        Shared by the swarm; each node has channels of its own.
    """

    def __init__(self, number, peers, transport):
        own = peers[number % len(peers)]
        name = NodeId(f'swarm-{number}')
        settings = NodeSettings(
            node_id=name,
            zone=own.zone,
            caller_address=UNUSED_ADDRESS,
            address=UNUSED_ADDRESS,
            admin_address=UNUSED_ADDRESS,
            controls=peers,
        )
        self.holder = ReleaseHolder()
        self.directory = TargetDirectory()
        self.local = LocalTargets(name, own.zone, settings.address)
        self.client = SyncClient(
            settings, transport, self.holder, self.directory, self.local
        )

    @property
    def standing(self):
        """Directory that was told last, and whether by the first control."""
        links = self.client.links
        first = links.links[0]
        at_home = links.choose() is first and first.proven
        return self.directory.epoch, self.directory.version, at_home

    def announce(self, state=TargetState.SERVING):
        """Announce the target beside the node."""
        self.local.announce(
            TargetId(f'target-{self.local.node_id}'),
            SERVICE,
            UNUSED_ADDRESS,
            20,
            130,
            state,
        )


class Swarm:
    """Nodes in step with the controls of a fleet.

    Parameters
    ----------
    fleet : Fleet
        Controls that run as processes.
    nodes : list of SwarmNode
        The nodes.
    """

    def __init__(self, fleet, nodes):
        self.fleet = fleet
        self.nodes = nodes
        self.number = 0
        self.client = httpx.AsyncClient(
            timeout=SUBMIT_TIMEOUT_S, trust_env=False
        )

    async def submit(self, changes):
        """Submit the next release; returns when it is accepted."""
        number = self.number + 1
        note = {
            'release': number,
            'note': f'note-{number}',
            'changes': changes,
        }
        address = self.fleet.operator_addresses()[0]
        while True:
            response = await self.client.post(
                f'http://{address}/v1/releases', content=yaml.safe_dump(note)
            )
            if response.is_success:
                self.number = number
                return
            await trio.sleep(0.1)

    async def converge(self):
        """Wait until every node runs the newest release, and is ready."""
        await self._wait(
            lambda node: (
                node.holder.ready and node.holder.current.number >= self.number
            )
        )

    async def wait_targets(self, count):
        """Wait until every subscribed node knows some number of targets."""
        await self._wait(
            lambda node: len(node.directory.targets(SERVICE)) >= count
        )

    async def wait_quiet(self):
        """Wait until nodes neither move nor are told of targets any more.

        A node that failed to reach the control that it prefers returns to
        it 15 to 45 s later and is told of all its targets again, as are all
        nodes of a control that becomes warm.
        """
        with trio.fail_after(QUIET_LIMIT_S):
            while await self.is_warming():
                await trio.sleep(POLL_S)
            while True:
                before = [node.standing for node in self.nodes]
                await trio.sleep(QUIET_S)
                after = [node.standing for node in self.nodes]
                if before == after and all(at_home for *_, at_home in after):
                    return

    async def is_warming(self):
        """Tell whether a control may still learn of nodes, or is silent."""
        address = self.fleet.operator_addresses()[0]
        response = await self.client.get(f'http://{address}/v1/fleet')
        status = response.raise_for_status().json()
        return status['warming_controls'] or status['unreachable_controls']

    async def _wait(self, condition):
        with trio.fail_after(CONVERGENCE_LIMIT_S):
            for node in self.nodes:
                while not condition(node):
                    await trio.sleep(0.002)

    async def time_change(self, changes):
        """Submit a change; returns seconds from acceptance to all nodes."""
        await self.submit(changes)
        accepted_at = time.monotonic()
        await self.converge()
        return time.monotonic() - accepted_at


@asynccontextmanager
async def open_swarm(fleet, count, addresses=None):
    """Run nodes against a fleet's controls.

    Parameters
    ----------
    fleet : Fleet
        Its controls are running.
    count : int
        Number of nodes.
    addresses : sequence of Address or None
        Addresses of the controls, when not those of the fleet.
    """
    peers = fleet.peers
    if addresses is not None:
        peers = tuple(
            msgspec.structs.replace(peer, address=address)
            for peer, address in zip(peers, addresses, strict=True)
        )
    async with open_transport() as transport:
        nodes = [SwarmNode(n, peers, transport) for n in range(count)]
        swarm = Swarm(fleet, nodes)
        async with swarm.client, trio.open_nursery() as nursery:
            for node in nodes:
                await nursery.start(node.client.run)
            yield swarm
            nursery.cancel_scope.cancel()
