"""Seeded random runs on a network that loses, duplicates and reorders."""

from functools import partial
import random

from testtools import TestCase
import trio

from snipelead.controls.fleet import FleetState
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.releases.checks import check_release
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource
from snipelead.types import TargetState

SEEDS = range(12)
STEPS = 60
NODES = 6
ZONES = ('a', 'b', 'c')


class RandomRun:
    """One run: random events, with invariants checked at each new release."""

    def __init__(self, mesh, seed):
        self.mesh = mesh
        self.random = random.Random(seed)
        self.newest = make_release()
        self.sources = [FakeSource(self.newest) for _ in ZONES]
        self.controls = []
        self.nodes = {}
        self.highest_numbers = dict.fromkeys(range(NODES), 0)
        self.node_starts = 0
        self.uncertified_starts = 0

    async def start(self):
        for index, source in enumerate(self.sources):
            self.controls.append(await self.mesh.start_control(index, source))
        for index in range(NODES):
            await self.start_node(index)

    async def start_node(self, index):
        self.node_starts += 1
        zone = ZONES[index % len(ZONES)]
        node = await self.mesh.start_node(index, zone, self.node_starts)
        node.holder.observers.append(check_release)
        node.directory.subscribe('service-0')
        node.announce()
        self.nodes[index] = node
        self.mesh.nursery.start_soon(self.watch, index, node)

    async def watch(self, index, node):
        """Assert that a ready node never returns to an older release.

        A node that restarts without a certified floor is exempt at its
        start, since no reachable control may hold the release that it ran
        before.
        """
        while not node.holder.ready:
            await trio.sleep(0.01)
        if node.client.floor is None:
            self.uncertified_starts += 1
            self.highest_numbers[index] = 0
        while self.nodes[index] is node:
            if node.number < self.highest_numbers[index]:
                raise AssertionError(
                    f'node {index} went back from release'
                    f' {self.highest_numbers[index]}'
                    f' to {node.number}'
                )
            self.highest_numbers[index] = node.number
            await node.holder.wait_changed()

    async def step(self):
        await trio.sleep(self.random.uniform(0, 1.5))
        action = self.random.choice(
            (
                self.publish,
                self.publish,
                self.catch_up,
                self.cut,
                self.heal,
                self.restart_node,
                self.restart_control,
                self.change_target,
            )
        )
        await action()

    async def publish(self):
        """Publish releases at the first source only; the others lag behind."""
        for _ in range(self.random.choice((1, 1, 30))):
            self.newest = change_route(
                self.newest, self.random.randrange(len(ZONES))
            )
            self.sources[0].publish(self.newest)
        for source in self.sources[1:]:
            source.certification_succeeds = False

    async def catch_up(self):
        source = self.random.choice(self.sources)
        source.publish(self.newest)
        source.certification_succeeds = True

    async def cut(self):
        node = self.random.choice(list(self.nodes.values()))
        control = self.random.choice(self.controls)
        self.mesh.network.cut(node.address, control.address)

    async def heal(self):
        self.mesh.network.heal()

    async def restart_node(self):
        index = self.random.randrange(NODES)
        self.nodes[index].scope.cancel()
        await self.start_node(index)

    async def restart_control(self):
        index = self.random.randrange(len(ZONES))
        self.controls[index].scope.cancel()
        await trio.sleep(self.random.uniform(0, 2))
        source = self.sources[index]
        self.controls[index] = await self.mesh.start_control(index, source)

    async def change_target(self):
        node = self.random.choice(list(self.nodes.values()))
        node.announce(
            state=self.random.choice(
                (TargetState.SERVING, TargetState.LEAVING)
            )
        )

    async def recover(self):
        """End all faults and wait until the fleet has converged."""
        self.mesh.network.heal()
        for source in self.sources:
            source.publish(self.newest)
            source.certification_succeeds = True
        nodes = self.nodes.values()
        all_target_ids = {f't-n{index}' for index in range(NODES)}
        await wait_until(
            lambda: all(
                n.holder.ready
                and n.number == self.newest.number
                and n.target_ids() == all_target_ids
                for n in nodes
            )
        )
        status = None
        while status is None or status.state is not FleetState.IN_FORCE:
            await trio.sleep(1)
            status = await self.controls[0].service.fleet_status()
        return status


class RandomRunTest(TestCase):
    def test_invariants_hold_and_all_converge(self):
        for seed in SEEDS:
            run_mesh(partial(self.run_seed, seed), seed)

    async def run_seed(self, seed):
        network = {
            'min_delay_s': 0.0005,
            'max_delay_s': 0.2,
            'loss_probability': 0.02,
            'duplication_probability': 0.1,
        }
        async with open_mesh(ZONES, seed=seed, **network) as mesh:
            run = RandomRun(mesh, seed)
            await run.start()
            for _ in range(STEPS):
                await run.step()
            status = await run.recover()
            self.assertEqual(NODES, status.total, f'seed {seed}')
            self.assertLess(run.uncertified_starts, run.node_starts / 2)
