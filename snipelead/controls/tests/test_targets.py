from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource
from snipelead.types import TargetState


async def _start_all(mesh, zones, nodes_per_zone=1, release=None):
    """Start a control and nodes with targets in each zone.

    Returns when each node knows all targets.
    """
    source = FakeSource(release or make_release())
    controls = [await mesh.start_control(i, source) for i in range(len(zones))]
    nodes = []
    for zone in zones:
        for _ in range(nodes_per_zone):
            node = await mesh.start_node(len(nodes), zone)
            node.directory.subscribe('service-0')
            node.announce()
            nodes.append(node)
    all_target_ids = {f't-n{index}' for index in range(len(nodes))}
    for node in nodes:
        await wait_until(lambda node=node: node.target_ids() == all_target_ids)
    return controls, nodes


def _states(node):
    return {entry.state for entry in node.directory.get_targets('service-0')}


class TargetsTest(TestCase):
    def test_targets_of_all_zones_reach_subscribers_soon(self):
        async def run():
            async with open_mesh(('a', 'b', 'c')) as mesh:
                started_at = trio.current_time()
                await _start_all(mesh, ('a', 'b', 'c'), 2)
                self.assertLess(trio.current_time() - started_at, 2)

        run_mesh(run)

    def test_change_of_state_propagates_immediately(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                _, nodes = await _start_all(mesh, ('a', 'b'))
                await trio.sleep(1)
                started_at = trio.current_time()
                nodes[0].announce(state=TargetState.LEAVING)
                await wait_until(
                    lambda: TargetState.LEAVING in _states(nodes[1])
                )
                self.assertLess(trio.current_time() - started_at, 0.1)

        run_mesh(run)

    def test_successive_changes_are_sent_in_batches(self):
        async def run():
            async with open_mesh() as mesh:
                _, nodes = await _start_all(mesh, ('a',), 2)
                await trio.sleep(1)
                calls = nodes[1].transport.stats.calls
                started_at = trio.current_time()
                for index in range(100):
                    nodes[0].announce(f'service-{index % 2}')
                    await trio.sleep(0.01)
                nodes[0].announce(state=TargetState.LEAVING)
                await wait_until(
                    lambda: TargetState.LEAVING in _states(nodes[1])
                )
                self.assertLess(trio.current_time() - started_at, 2)
                calls = nodes[1].transport.stats.calls - calls
                self.assertLess(calls, 6)

        run_mesh(run)

    def test_targets_of_other_services_are_not_sent(self):
        async def run():
            async with open_mesh() as mesh:
                _, nodes = await _start_all(mesh, ('a',), 2)
                nodes[0].local_targets.announce(
                    'other', 'service-1', nodes[0].address, 1, 1, 'serving'
                )
                await trio.sleep(1)
                self.assertEqual(set(), nodes[1].target_ids('service-1'))
                nodes[1].directory.subscribe('service-1')
                await wait_until(
                    lambda: nodes[1].target_ids('service-1') == {'other'}
                )

        run_mesh(run)

    def test_target_withdrawn_by_its_node_is_removed(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                _, nodes = await _start_all(mesh, ('a', 'b'))
                nodes[0].local_targets.change_state('t-n0', TargetState.GONE)
                await wait_until(lambda: nodes[1].target_ids() == {'t-n1'})
                nodes[0].announce()
                await wait_until(
                    lambda: nodes[1].target_ids() == {'t-n0', 't-n1'}
                )

        run_mesh(run)

    def test_targets_of_a_leaving_node_are_removed(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                controls, nodes = await _start_all(mesh, ('a', 'b'))
                await trio.sleep(1)
                started_at = trio.current_time()
                self.assertTrue(await nodes[0].client.leave())
                await wait_until(lambda: nodes[1].target_ids() == {'t-n1'})
                self.assertLess(trio.current_time() - started_at, 0.1)
                status = await controls[1].service.fleet_status()
                self.assertEqual(1, status.total)
                self.assertEqual((), status.unreachable_nodes)

        run_mesh(run)

    def test_leaving_is_acknowledged_without_delay(self):
        async def run():
            async with open_mesh() as mesh:
                await mesh.start_control()
                node = await mesh.start_node()
                await wait_until(lambda: node.holder.ready)
                await trio.sleep(1)
                started_at = trio.current_time()
                self.assertTrue(await node.client.leave())
                self.assertLess(trio.current_time() - started_at, 0.1)

        run_mesh(run)

    def test_leaving_is_acknowledged_during_a_retry_delay(self):
        async def run():
            async with open_mesh() as mesh:
                control = await mesh.start_control()
                control.service.snapshot_limiter.admit = lambda node_id: 9_000
                control.source.publish(make_release())
                node = await mesh.start_node()
                await trio.sleep(5)
                self.assertFalse(node.holder.ready)
                started_at = trio.current_time()
                self.assertTrue(await node.client.leave())
                self.assertLess(trio.current_time() - started_at, 0.1)

        run_mesh(run)

    def test_targets_of_a_stopped_node_expire_with_its_lease(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                _, nodes = await _start_all(mesh, ('a', 'b'))
                started_at = trio.current_time()
                nodes[0].scope.cancel()
                await wait_until(lambda: nodes[1].target_ids() == {'t-n1'})
                waited_s = trio.current_time() - started_at
                self.assertLess(waited_s, 13)

        run_mesh(run)

    def test_target_of_a_returning_node_is_restored(self):
        async def run():
            async with open_mesh(('a', 'a')) as mesh:
                controls, nodes = await _start_all(mesh, ('a',), 2)
                all_target_ids = {'t-n0', 't-n1'}
                for control in controls:
                    mesh.network.cut(nodes[0].address, control.address)
                await wait_until(lambda: nodes[1].target_ids() == {'t-n1'})
                mesh.network.heal()
                await wait_until(
                    lambda: nodes[1].target_ids() == all_target_ids
                )

        run_mesh(run)

    def test_restarted_control_does_not_empty_directories(self):
        async def run():
            async with open_mesh() as mesh:
                (control,), nodes = await _start_all(mesh, ('a',), 3)
                all_target_ids = {'t-n0', 't-n1', 't-n2'}
                incomplete_views = []
                await trio.sleep(20)

                async def watch(node):
                    while True:
                        await node.directory.wait_changed()
                        if node.target_ids() != all_target_ids:
                            incomplete_views.append(node.target_ids())

                for node in nodes:
                    mesh.nursery.start_soon(watch, node)
                control.scope.cancel()
                await trio.sleep(3)
                control = await mesh.start_control(0, control.source)
                await trio.sleep(30)
                self.assertFalse(control.service.warming)
                self.assertEqual([], incomplete_views)

        run_mesh(run)

    def test_node_lost_during_control_restart_is_removed_when_warm(self):
        async def run():
            async with open_mesh() as mesh:
                (control,), nodes = await _start_all(mesh, ('a',), 2)
                control.scope.cancel()
                nodes[0].scope.cancel()
                await trio.sleep(1)
                await mesh.start_control(0, control.source)
                await wait_until(lambda: nodes[1].target_ids() == {'t-n1'})

        run_mesh(run)

    def test_partitioned_zone_keeps_working(self):
        async def run():
            zones = ('a', 'b', 'c')
            async with open_mesh(zones) as mesh:
                controls, nodes = await _start_all(mesh, zones, 2)
                await trio.sleep(15)
                inside = [controls[0].address]
                inside += [node.address for node in nodes[:2]]
                outside = [c.address for c in controls[1:]]
                outside += [node.address for node in nodes[2:]]
                for address in inside:
                    mesh.network.isolate(address, outside)
                await trio.sleep(60)
                all_target_ids = {f't-n{index}' for index in range(6)}
                # Both sides of the partition keep the targets of the other
                # side and still receive changes of their own side.
                self.assertEqual(all_target_ids, nodes[0].target_ids())
                self.assertEqual(all_target_ids, nodes[5].target_ids())
                nodes[0].local_targets.change_state('t-n0', TargetState.GONE)
                await wait_until(
                    lambda: nodes[1].target_ids() == all_target_ids - {'t-n0'}
                )
                self.assertEqual(all_target_ids, nodes[5].target_ids())
                mesh.network.heal()
                await wait_until(
                    lambda: nodes[5].target_ids() == all_target_ids - {'t-n0'}
                )

        run_mesh(run)

    def test_entries_of_an_unreachable_zone_expire(self):
        async def run():
            async with open_mesh(('a', 'b')) as mesh:
                controls, nodes = await _start_all(mesh, ('a', 'b'))
                for process in (controls[0], nodes[0]):
                    process.scope.cancel()
                await trio.sleep(590)
                self.assertEqual({'t-n0', 't-n1'}, nodes[1].target_ids())
                await wait_until(lambda: nodes[1].target_ids() == {'t-n1'})

        run_mesh(run)

    def test_leaving_node_that_switched_controls_is_removed(self):
        async def run():
            async with open_mesh(('a', 'a')) as mesh:
                source = FakeSource(make_release())
                controls = [
                    await mesh.start_control(i, source) for i in (0, 1)
                ]
                nodes = [await mesh.start_node(i) for i in range(4)]
                for node in nodes:
                    node.directory.subscribe('service-0')
                    node.announce()
                await trio.sleep(15)
                controls[0].scope.cancel()
                await trio.sleep(20)
                # The entries of the stopped control still list the target
                # that now leaves.
                await nodes[0].client.leave()
                others = {'t-n1', 't-n2', 't-n3'}
                await wait_until(
                    lambda: all(n.target_ids() == others for n in nodes[1:])
                )

        run_mesh(run)

    def test_node_recovers_after_its_clock_was_set_back(self):
        async def run():
            async with open_mesh() as mesh:
                _, nodes = await _start_all(mesh, ('a',), 2)
                nodes[0].scope.cancel()
                again = await mesh.start_node(0, incarnation=0)
                again.announce(state=TargetState.STARTING)
                await wait_until(
                    lambda: TargetState.STARTING in _states(nodes[1])
                )
                self.assertEqual(2, again.local_targets.incarnation)

        run_mesh(run)
