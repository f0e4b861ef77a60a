"""Nodes and emulated targets as tasks of one process."""

import msgspec
import trio

from snipelead.bench.claims import MemoryClaims
from snipelead.callers.call_path import CallPath
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

# Time until a change of a target reaches the directories of other nodes.
PROPAGATION_DELAY_S = 0.05


class ClusterNode:
    """One node with its local target.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    target : EmulatedTarget
        Local target of the node.
    cluster : CallCluster
        Cluster that provides the release, claims, policy and network.

    Attributes
    ----------
    call_path : CallPath or None
        Call path while the node runs, else None.
    """

    def __init__(self, settings, target, cluster):
        self.settings = settings
        self.target = target
        self.cluster = cluster
        self.relay = Relay(settings.address)
        self.local_targets = None
        self.call_path = None
        self.cancel_scope = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run the node until it is killed."""
        settings = self.settings
        self.holder = ReleaseHolder()
        self.holder.replace(self.cluster.release)
        self.holder.ready = True
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(
            settings.node_id, settings.zone, settings.address
        )
        self.call_path = self.cluster.make_call_path(self)
        with trio.CancelScope() as self.cancel_scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.call_path.run)
                nursery.start_soon(self._publish)
                self.cluster.fill_directory(self)
                self._announce()
                task_status.started()
        self.call_path = None

    def kill(self):
        """Stop the node immediately, as if its process had been killed."""
        self.cancel_scope.cancel()

    def _announce(self):
        settings = self.target.settings
        self.local_targets.announce(
            settings.target_id,
            settings.service,
            self.target.bound_address,
            settings.slots,
            settings.connections,
            TargetState.SERVING,
        )

    async def _publish(self):
        while True:
            for entry in self.local_targets.entries():
                self.cluster.publish(self, entry)
            await self.local_targets.wait_changed()

    def entry_seen_by(self, entry, observer):
        """Return an entry with the address that another node uses.

        Nodes of other zones use the address of the relay.
        """
        if observer.settings.zone == self.settings.zone:
            return entry
        if not self.cluster.relayed:
            return entry
        return msgspec.structs.replace(entry, address=self.relay.address)


class CallCluster:
    """Nodes, targets and claims of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Services, targets and limits.
    seed : int
        Seed of the targets and call paths.
    policy : BenchPolicy
        Policy of each call path.
    relayed : bool
        Whether zones are connected through relays, so that a zone can be
        partitioned.
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
            await self.wait_propagated()
            task_status.started()

    async def add(self, service, number, **changes):
        """Start a target and its local node."""
        name = f'{service}-{number}'
        zones = self.deployment.zones
        caller_address, address, admin_address = find_free_addresses(3)
        settings = NodeSettings(
            node_id=NodeId(f'node-{name}'),
            zone=zones[number % len(zones)],
            caller_address=caller_address,
            address=address,
            admin_address=admin_address,
            controls=(),
            limits=NodeLimits(
                retry_ratio=self.policy.retry_ratio,
                policy=self.policy.choice,
            ),
        )
        target = EmulatedTarget(
            self._make_target_settings(service, name, admin_address, changes),
            announce=False,
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
        """Restart a killed node."""
        await self.nursery.start(node.run)

    async def wait_propagated(self):
        """Wait until all directories have received earlier changes."""
        await trio.sleep(4 * PROPAGATION_DELAY_S)

    def caller_addresses(self):
        """Return the caller addresses of all nodes."""
        return [node.settings.caller_address for node in self.nodes]

    def partition(self, zone):
        """Partition a zone from the others without closing connections."""
        for node in self.nodes:
            if node.settings.zone == zone:
                node.relay.stalls_new_connections = True
                node.relay.stall_connections()

    def runs(self):
        """Return the logged runs of all targets."""
        return [run for target in self.targets for run in target.run_log.runs]

    def make_call_path(self, node):
        """Return a new call path for a node."""
        return CallPath(
            node.settings,
            node.holder,
            node.directory,
            node.local_targets,
            self.claims,
            NodeMetrics(),
            self.seed,
        )

    def publish(self, owner, entry):
        """Propagate an entry to all nodes after a delay."""
        self.entries[entry.target_id] = (owner, entry)
        self.nursery.start_soon(self._publish_later, owner, entry)

    def fill_directory(self, node):
        """Fill the directory of a starting node with all known entries."""
        for owner, entry in self.entries.values():
            node.directory.merge(owner.entry_seen_by(entry, node))

    async def _publish_later(self, owner, entry):
        await trio.sleep(PROPAGATION_DELAY_S)
        for node in self.nodes:
            if node.call_path is not None:
                node.directory.merge(owner.entry_seen_by(entry, node))

    def _make_target_settings(self, service, name, admin_address, changes):
        values = {
            'target_id': TargetId(name),
            'service': service,
            'address': Address('127.0.0.1:0'),
            'node_admin_address': admin_address,
            'slots': self.deployment.slots,
            'connections': self.deployment.connections,
            'service_time_ms': self.deployment.service_time_ms,
            'seed': self.seed * 1_000 + len(self.targets),
        }
        return TargetSettings(**(values | changes))
