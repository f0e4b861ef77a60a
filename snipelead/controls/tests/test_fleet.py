from testtools import TestCase
import trio

from snipelead.controls.fleet import FleetState
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource


async def _start_pair(mesh):
    source = FakeSource(make_release())
    controls = [await mesh.start_control(i, source) for i in (0, 1)]
    nodes = [await mesh.start_node(i, 'ab'[i]) for i in (0, 1)]
    for node in nodes:
        await wait_until(lambda node=node: node.holder.ready)
    await trio.sleep(20)
    return source, controls, nodes


class FleetTest(TestCase):
    def test_in_force_when_all_confirmed(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                source, controls, _ = await _start_pair(mesh)
                source.publish(change_route(source.current))
                await trio.sleep(1)
                for control in controls:
                    status = await control.service.fleet_status()
                    self.assertIs(FleetState.IN_FORCE, status.state)
                    self.assertTrue(status.in_force)
                    self.assertEqual(2, status.release.number)
                    self.assertEqual((2, 2), (status.confirmed, status.total))

        run_mesh(run)

    def test_lagging_node_is_listed(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                source, controls, nodes = await _start_pair(mesh)
                for control in controls:
                    mesh.network.cut(nodes[1].address, control.address)
                source.publish(change_route(source.current))
                await trio.sleep(1)
                status = await controls[0].service.fleet_status()
                self.assertIs(FleetState.SPREADING, status.state)
                self.assertFalse(status.in_force)
                self.assertEqual(
                    ['n1'], [node.node_id for node in status.lagging]
                )

        run_mesh(run)

    def test_unreachable_node_is_listed_and_not_counted_as_live(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                source, controls, nodes = await _start_pair(mesh)
                nodes[1].scope.cancel()
                await trio.sleep(20)
                source.publish(change_route(source.current))
                await trio.sleep(1)
                status = await controls[0].service.fleet_status()
                self.assertIs(FleetState.IN_FORCE_ON_REACHABLE, status.state)
                self.assertEqual((1, 1), (status.confirmed, status.total))
                self.assertEqual(
                    ['n1'], [node.node_id for node in status.unreachable_nodes]
                )

        run_mesh(run)

    def test_unknown_when_a_control_does_not_reply(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                _, controls, _ = await _start_pair(mesh)
                mesh.network.cut(controls[0].address, controls[1].address)
                status = await controls[0].service.fleet_status()
                self.assertIs(FleetState.UNKNOWN, status.state)
                self.assertEqual(('c1',), status.unreachable_controls)

        run_mesh(run)

    def test_unknown_when_not_certified(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                source, controls, _ = await _start_pair(mesh)
                source.certification_succeeds = False
                status = await controls[0].service.fleet_status()
                self.assertIs(FleetState.UNKNOWN, status.state)
                self.assertFalse(status.certified)

        run_mesh(run)

    def test_unknown_while_a_control_is_warming(self):
        async def run():
            async with open_mesh() as mesh:
                source = FakeSource(make_release())
                control = await mesh.start_control(0, source)
                status = await control.service.fleet_status()
                self.assertIs(FleetState.UNKNOWN, status.state)
                self.assertEqual(('c0',), status.warming_controls)

        run_mesh(run)

    def test_newest_status_of_a_node_is_used(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                source, controls, nodes = await _start_pair(mesh)
                controls[0].scope.cancel()
                await trio.sleep(10)
                await mesh.start_control(0, source)
                source.publish(change_route(source.current))
                await trio.sleep(60)
                status = await controls[1].service.fleet_status()
                self.assertIs(FleetState.IN_FORCE, status.state)
                self.assertEqual(2, status.total)
                self.assertEqual(2, nodes[0].number)

        run_mesh(run)
