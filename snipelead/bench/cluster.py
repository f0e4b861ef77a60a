"""Nodes and stand-in targets as tasks of one process."""

import msgspec
import trio

from snipelead.bench.claims import MemoryClaims
from snipelead.callers.path import CallPath
from snipelead.emulator.target import EmulatedTarget
from snipelead.metrics import NodeMetrics
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.settings.schema import NodeLimits
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import TargetSettings
from snipelead.targets.local import LocalTargets
from snipelead.testing.relay import Relay
from snipelead.types import Address
from snipelead.types import NodeId
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.utils.ports import find_free_addresses

__all__ = ['CallCluster', 'ClusterNode']

# Time that a change of a target takes to reach the other nodes.
DIRECTORY_DELAY_S = 0.05


class ClusterNode:
    """One node with the target beside it.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    target : EmulatedTarget
        The target beside it.
    cluster : CallCluster
        Owner; gives the release, claims, policy and links.

    Attributes
    ----------
    path : CallPath or None
        The call path while the node runs.
    """

    def __init__(self, settings, target, cluster):
        self.settings = settings
        self.target = target
        self.cluster = cluster
        self.relay = Relay(settings.address)
        self.local = None
        self.path = None
        self.scope = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run one life of the node, until it is killed."""
        settings = self.settings
        self.holder = ReleaseHolder()
        self.holder.swap(self.cluster.release)
        self.holder.ready = True
        self.directory = TargetDirectory()
        self.local = LocalTargets(
            settings.node_id, settings.zone, settings.address
        )
        self.path = self.cluster.make_path(self)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.path.run)
                nursery.start_soon(self._publish)
                self.cluster.fill(self)
                self._announce()
                task_status.started()
        self.path = None

    def kill(self):
        """End this life at once, as if the process was killed."""
        self.scope.cancel()

    def _announce(self):
        settings = self.target.settings
        self.local.announce(
            settings.target_id,
            settings.service,
            self.target.bound_address,
            settings.slots,
            settings.connections,
            TargetState.SERVING,
        )

    async def _publish(self):
        while True:
            for entry in self.local.entries():
                self.cluster.publish(self, entry)
            await self.local.wait_changed()

    def entry_for(self, entry, viewer):
        """Return an entry as a node of some zone sees it."""
        if viewer.settings.zone == self.settings.zone:
            return entry
        if not self.cluster.relayed:
            return entry
        return msgspec.structs.replace(entry, address=self.relay.address)


class CallCluster:
    """Nodes, targets and claims of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Sizes.
    seed : int
        Seed of the targets.
    policy : BenchPolicy
        Policy of each call path.
    relayed : bool
        Whether zones reach each other through relays, so that they can be
        cut off.
    """

    def __init__(self, deployment, seed, policy, relayed=False):
        self.deployment = deployment
        self.seed = seed
        self.policy = policy
        self.relayed = relayed
        self.release = deployment.make_release()
        self.claims = MemoryClaims()
        self.nodes = []
        self.targets = []
        self.entries = {}

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run all targets and nodes until cancelled."""
        async with trio.open_nursery() as self.nursery:
            for service, count in self.deployment.services.items():
                for number in range(count):
                    await self.add(service, number)
            await self.settle()
            task_status.started()

    async def add(self, service, number, **changes):
        """Add a target with its node and start both."""
        name = f'{service}-{number}'
        zones = self.deployment.zones
        caller, address, admin = find_free_addresses(3)
        settings = NodeSettings(
            node_id=NodeId(f'node-{name}'),
            zone=zones[number % len(zones)],
            caller_address=caller,
            address=address,
            admin_address=admin,
            controls=(),
            limits=NodeLimits(retry_ratio=self.policy.retry_ratio),
        )
        target = EmulatedTarget(
            self._make_target_settings(service, name, admin, changes),
            announces=False,
        )
        await self.nursery.start(target.run)
        node = ClusterNode(settings, target, self)
        if self.relayed:
            await self.nursery.start(node.relay.run)
        self.targets.append(target)
        self.nodes.append(node)
        await self.nursery.start(node.run)
        return node

    async def restart(self, node):
        """Start a killed node again."""
        await self.nursery.start(node.run)

    async def settle(self):
        """Wait until what is known now has reached all nodes."""
        await trio.sleep(4 * DIRECTORY_DELAY_S)

    def caller_addresses(self):
        """Return the addresses that callers may use."""
        return [node.settings.caller_address for node in self.nodes]

    def cut_off(self, zone):
        """Cut a zone off from the others without a word."""
        for node in self.nodes:
            if node.settings.zone == zone:
                node.relay.refusing = True
                node.relay.silence()

    def runs(self):
        """Return the runs of all targets."""
        return [r for target in self.targets for r in target.run_log.runs]

    def make_path(self, node):
        """Make the call path of a node."""
        return CallPath(
            node.settings,
            node.holder,
            node.directory,
            node.local,
            self.claims,
            NodeMetrics(),
            self.policy.choice,
            self.seed,
        )

    def publish(self, source, entry):
        """Tell the other nodes of a target, after a delay."""
        self.entries[entry.target_id] = (source, entry)
        self.nursery.start_soon(self._publish_later, source, entry)

    def fill(self, node):
        """Give a node that starts the directory as it is."""
        for source, entry in self.entries.values():
            node.directory.merge(source.entry_for(entry, node))

    async def _publish_later(self, source, entry):
        await trio.sleep(DIRECTORY_DELAY_S)
        for node in self.nodes:
            if node.path is not None:
                node.directory.merge(source.entry_for(entry, node))

    def _make_target_settings(self, service, name, admin, changes):
        values = {
            'target_id': TargetId(name),
            'service': service,
            'address': Address('127.0.0.1:0'),
            'node_admin_address': admin,
            'slots': self.deployment.slots,
            'connections': self.deployment.connections,
            'service_time_ms': self.deployment.service_time_ms,
            'seed': self.seed * 1_000 + len(self.targets),
        }
        return TargetSettings(**(values | changes))
