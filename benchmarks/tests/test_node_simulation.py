"""Simulated nodes on an in-memory network in virtual time."""

from testtools import TestCase
import trio

from benchmarks.node_simulation import NodeSimulation
from benchmarks.node_simulation import SERVICE
from benchmarks.node_simulation import SimulatedNode
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until

NODES = 4
IDLE_PERIOD_S = 15.0
LEASE_S = 12.0
MIN_RETURN_DELAY_S = 15.0
# Long enough for several failures in a row.
CUT_S = 20.0


class MemoryNodeSimulation(NodeSimulation):
    """Simulation that reads from the controls whether they are warm."""

    def __init__(self, controls, nodes, network):
        super().__init__(None, nodes)
        self.controls = controls
        self.network = network

    async def cut_from_preferred_control(self, nodes):
        """Cut nodes off from the control that they prefer, for a while."""
        epochs = [node.directory.epoch for node in nodes]
        for node in nodes:
            link = node.client.links.links[0]
            self.network.cut(link.polls.source, link.peer.address)
        await trio.sleep(CUT_S)
        for node, epoch in zip(nodes, epochs, strict=True):
            await wait_until(
                lambda node=node, epoch=epoch: node.directory.epoch != epoch
            )
        self.network.heal()

    async def is_warming(self):
        return any(control.service.warming for control in self.controls)

    def directories(self):
        return [(n.directory.epoch, n.directory.version) for n in self.nodes]


async def start_simulation(mesh):
    """Start two controls, and nodes that know the targets of each other."""
    controls = [await mesh.start_control(index) for index in range(2)]
    nodes = []
    for number in range(NODES):
        transport = mesh.network.transport(f'127.0.0.1:{9000 + number}')
        nodes.append(SimulatedNode(number, mesh.peers, transport))
        await mesh.nursery.start(nodes[-1].client.run)
        nodes[-1].directory.subscribe(SERVICE)
        nodes[-1].announce()
    simulation = MemoryNodeSimulation(controls, nodes, mesh.network)
    await simulation.wait_targets(NODES)
    return simulation


class WaitSteadyTest(TestCase):
    def check_steady(self, prepare):
        """Check that no directory changes after the wait.

        Returns
        -------
        float
            Virtual time of the end of the wait.
        """
        end_times_s = []

        async def main():
            async with open_mesh(('a', 'b')) as mesh:
                simulation = await start_simulation(mesh)
                await prepare(simulation)
                await simulation.wait_steady()
                end_times_s.append(trio.current_time())
                before = simulation.directories()
                await trio.sleep(IDLE_PERIOD_S)
                self.assertEqual(before, simulation.directories())

        run_mesh(main)
        return end_times_s[0]

    def test_waits_until_controls_are_warm(self):
        async def prepare(simulation):
            pass

        self.assertGreater(self.check_steady(prepare), LEASE_S)

    def test_waits_until_nodes_return_to_the_preferred_control(self):
        async def prepare(simulation):
            await simulation.cut_from_preferred_control(simulation.nodes)
            self.simulation = simulation

        end_time_s = self.check_steady(prepare)
        self.assertGreater(end_time_s, CUT_S)
        epochs = {
            control.address: control.service.directory.merged.epoch
            for control in self.simulation.controls
        }
        for node in self.simulation.nodes:
            preferred = node.client.links.links[0].peer.address
            self.assertEqual(epochs[preferred], node.directory.epoch)

    def test_waits_until_nodes_return_to_a_recovered_control(
        self,
    ):
        async def prepare(simulation):
            first, other = simulation.controls
            epoch = other.service.directory.merged.epoch
            first.source.certification_succeeds = False
            await wait_until(
                lambda: (
                    {epoch} == {n.directory.epoch for n in simulation.nodes}
                )
            )
            first.source.certification_succeeds = True

        end_time_s = self.check_steady(prepare)
        self.assertGreater(end_time_s, MIN_RETURN_DELAY_S)

    def test_returning_node_receives_its_targets_again(self):
        async def main():
            async with open_mesh(('a', 'b')) as mesh:
                simulation = await start_simulation(mesh)
                await simulation.wait_steady()
                node = simulation.nodes[0]
                epoch = node.directory.epoch
                await simulation.cut_from_preferred_control([node])
                await wait_until(lambda: node.directory.epoch == epoch)
                self.assertEqual(
                    NODES, len(node.directory.get_targets(SERVICE))
                )

        run_mesh(main)
