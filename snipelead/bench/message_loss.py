"""Convergence time over links with message loss, in virtual time."""

from functools import partial
import random

import trio

from snipelead.bench.fleet_hosts import CONTROL_ID
from snipelead.controls.client import SyncClient
from snipelead.controls.service import ControlService
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Peer
from snipelead.targets.local import LocalTargets
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.simulation import run_simulated
from snipelead.testing.source import FakeSource
from snipelead.types import Address

__all__ = ['run_with_message_loss']

LOSS_RATE = 0.01
CHANGE_COUNT = 20
CONTROL_ADDRESS = Address('127.0.0.1:7000')


class _FleetWithMessageLoss:
    def __init__(self, options, nursery, seed):
        self.options = options
        self.nursery = nursery
        self.network = MemoryNetwork(seed, 0.0005, 0.002, LOSS_RATE)
        self.source = FakeSource(make_release(services=options.services))
        self.peers = (
            Peer(control_id=CONTROL_ID, zone='a', address=CONTROL_ADDRESS),
        )
        self.holders = []
        self.delays_s = []
        self.accepted_at = 0.0

    async def start(self):
        settings = ControlSettings(
            control_id=CONTROL_ID,
            zone='a',
            address=CONTROL_ADDRESS,
            operator_address=CONTROL_ADDRESS,
            data_dir='unused',
            peers=self.peers,
            preference=self.options.preference,
        )
        transport = self.network.transport(CONTROL_ADDRESS)
        service = ControlService(settings, self.source, transport)
        await self.nursery.start(
            transport.serve, CONTROL_ADDRESS, service.handlers()
        )
        await self.nursery.start(service.run)
        for index in range(self.options.nodes):
            await self._start_node(index)
        while not all(holder.ready for holder in self.holders):
            await trio.sleep(0.1)

    async def _start_node(self, index):
        address = Address(f'127.0.0.1:{20_000 + index}')
        settings = NodeSettings(
            node_id=f'node-{index}',
            zone='a',
            caller_address=address,
            address=address,
            admin_address=address,
            controls=self.peers,
        )
        holder = ReleaseHolder()
        self.holders.append(holder)
        client = SyncClient(
            settings,
            self.network.transport(address),
            holder,
            TargetDirectory(),
            LocalTargets(settings.node_id, 'a', address),
            random.Random(index),
        )
        await self.nursery.start(client.run)

    async def change(self):
        """Accept a change and wait until all nodes have swapped to it."""
        release = change_route(self.source.current)
        self.source.publish(release)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for holder in self.holders:
                nursery.start_soon(
                    self._measure_convergence, holder, release, started_at
                )

    async def _measure_convergence(self, holder, release, started_at):
        while holder.current.number < release.number:
            await holder.wait_changed()
        self.delays_s.append(trio.current_time() - started_at)


async def _run(options, seed):
    async with trio.open_nursery() as nursery:
        fleet = _FleetWithMessageLoss(options, nursery, seed)
        await fleet.start()
        for _ in range(CHANGE_COUNT):
            await fleet.change()
        nursery.cancel_scope.cancel()
    return fleet.delays_s


def run_with_message_loss(options, seed=1):
    """Return the convergence time of each change on each node.

    Parameters
    ----------
    options : DistributionOptions
        Number of nodes and services, and preference.
    seed : int
        Seed of the message losses.

    Returns
    -------
    list of float
        Convergence times in seconds of virtual time.
    """
    return run_simulated(partial(_run, options, seed), seed)
