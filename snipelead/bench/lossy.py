"""Convergence over links that lose messages, in virtual time."""

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

__all__ = ['run_lossy']

LOSS = 0.01
CHANGES = 20
CONTROL = Address('127.0.0.1:7000')


class _LossyFleet:
    def __init__(self, options, nursery, seed):
        self.options = options
        self.nursery = nursery
        self.network = MemoryNetwork(seed, 0.0005, 0.002, LOSS)
        self.source = FakeSource(make_release(services=options.services))
        self.peers = (Peer(control_id=CONTROL_ID, zone='a', address=CONTROL),)
        self.holders = []
        self.delays_s = []
        self.accepted_at = 0.0

    async def start(self):
        settings = ControlSettings(
            control_id=CONTROL_ID,
            zone='a',
            address=CONTROL,
            operator_address=CONTROL,
            data_dir='unused',
            peers=self.peers,
            preference=self.options.preference,
        )
        transport = self.network.transport(CONTROL)
        service = ControlService(settings, self.source, transport)
        await self.nursery.start(transport.serve, CONTROL, service.handlers())
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
        """Accept a change and wait until it is in force everywhere."""
        release = change_route(self.source.current)
        self.source.publish(release)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for holder in self.holders:
                nursery.start_soon(self._wait, holder, release, began)

    async def _wait(self, holder, release, began):
        while holder.current.number < release.number:
            await holder.wait_changed()
        self.delays_s.append(trio.current_time() - began)


async def _run(options, seed):
    async with trio.open_nursery() as nursery:
        fleet = _LossyFleet(options, nursery, seed)
        await fleet.start()
        for _ in range(CHANGES):
            await fleet.change()
        nursery.cancel_scope.cancel()
    return fleet.delays_s


def run_lossy(options, seed=1):
    """Return the convergence time of each change on each node.

    Parameters
    ----------
    options : DistributionOptions
        Fleet size and preference.
    seed : int
        Seed of losses.

    Returns
    -------
    list of float
        Seconds of virtual time.
    """
    return run_simulated(partial(_run, options, seed), seed)
