from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import CONTROL_TIMINGS
from snipelead.controls.tests.mesh import NODE_TIMINGS
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import STABLE_WINDOW_S
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import FreshnessRequest
from snipelead.releases.document import Release
from snipelead.releases.document import Service
from snipelead.testing.source import FakeSource


def make_release(number):
    return Release(number, {'stock': Service('stock')})


async def start_controls(mesh):
    """Start a control per zone with release 1; return their sources."""
    sources = [FakeSource() for _ in mesh.peers]
    for index, source in enumerate(sources):
        source.publish(make_release(1))
        await mesh.start_control(index, source, timings=CONTROL_TIMINGS)
    return sources


class StaleControlTest(TestCase):
    def test_node_switches_from_a_partitioned_control(self):
        """A partitioned control still replies to nodes, with old releases.

        Nodes that stay with it would never receive the newer release, so
        they must switch to another control within the stable window.
        """

        async def main():
            async with open_mesh(('own', 'other')) as mesh:
                isolated, healthy = FakeSource(), FakeSource()
                # The node starts before the controls, so its first polls
                # fail, as when all processes start at the same time.
                node = await mesh.start_node(0, 'own')
                await trio.sleep(1)
                await mesh.start_control(0, isolated, timings=CONTROL_TIMINGS)
                await mesh.start_control(1, healthy, timings=CONTROL_TIMINGS)
                for source in (isolated, healthy):
                    source.publish(make_release(1))
                await wait_until(lambda: node.number == 1)
                await trio.sleep(8)
                isolated.certification_succeeds = False
                healthy.publish(make_release(2))
                with trio.fail_after(STABLE_WINDOW_S):
                    await wait_until(lambda: node.number == 2)

        run_mesh(main)

    def test_node_leaves_a_stale_control_for_one_that_failed_before(self):
        """Earlier failures of a control must not outrank its being current."""

        async def main():
            late = {}
            for seed in range(10):
                delay_s = await self.measure_switch_s(seed)
                if delay_s > STABLE_WINDOW_S:
                    late[seed] = delay_s
            self.assertEqual({}, late)

        run_mesh(main)

    async def measure_switch_s(self, seed):
        """Return when a node got a release that its control cannot get."""
        async with open_mesh(
            ('own', 'other'), seed=seed, handshakes=True
        ) as mesh:
            isolated, healthy = await start_controls(mesh)
            node = await mesh.start_node(0, 'own', timings=NODE_TIMINGS)
            await wait_until(lambda: node.number == 1)
            # The zone of the node is cut off, then connected again.
            mesh.network.cut(node.address, mesh.peers[1].address)
            isolated.certification_succeeds = False
            await trio.sleep(12)
            mesh.network.heal()
            isolated.certification_succeeds = True
            await trio.sleep(2)
            # Now only its control is cut off from the majority.
            isolated.certification_succeeds = False
            healthy.publish(make_release(2))
            isolated_at = trio.current_time()
            await wait_until(lambda: node.number == 2)
            return trio.current_time() - isolated_at


class ChangingTargetsTest(TestCase):
    def test_changes_of_a_target_do_not_hide_a_silent_control(self):
        """Each change began the poll anew, and with it its time limit."""

        async def main():
            # Calls go over connections that stay open during the cut.
            async with open_mesh(('own', 'other')) as mesh:
                sources = await start_controls(mesh)
                node = await mesh.start_node(0, 'own', timings=NODE_TIMINGS)
                await wait_until(lambda: node.number == 1)
                node.announce()
                await trio.sleep(2)
                mesh.network.cut(node.address, mesh.peers[0].address)
                for source in sources:
                    source.publish(make_release(2))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(change_target, node)
                    with trio.fail_after(STABLE_WINDOW_S):
                        await wait_until(lambda: node.number == 2)
                    nursery.cancel_scope.cancel()

        async def change_target(node):
            while True:
                await trio.sleep(1)
                node.local_targets.set_relative_service_time(
                    't-n0', trio.current_time()
                )

        run_mesh(main)


class RestartedControlTest(TestCase):
    def test_control_is_possibly_stale_until_it_has_certified(self):
        """A control that restarts during a cut must not pass as current."""

        async def main():
            async with open_mesh(('own', 'other')) as mesh:
                isolated, healthy = FakeSource(), FakeSource()
                isolated.publish(make_release(1))
                isolated.certification_succeeds = False
                healthy.publish(make_release(2))
                await mesh.start_control(1, healthy, timings=CONTROL_TIMINGS)
                node = await mesh.start_node(0, 'own', timings=NODE_TIMINGS)
                await wait_until(lambda: node.number == 2)
                await mesh.start_control(0, isolated, timings=CONTROL_TIMINGS)
                link = node.client.links.links[0]
                request = FreshnessRequest()
                reply = await link.calls.call(request, STABLE_WINDOW_S)
                self.assertTrue(reply.possibly_stale)
                isolated.certification_succeeds = True
                await trio.sleep(1)
                reply = await link.calls.call(request, STABLE_WINDOW_S)
                self.assertFalse(reply.possibly_stale)

        run_mesh(main)


class ReturnAfterCutTest(TestCase):
    def test_node_is_current_soon_after_a_cut_of_any_length(self):
        """Backoff during a long cut must not delay the return from it."""

        async def main():
            late = {}
            for quarters in range(4, 80):
                cut_s = quarters / 4
                returned_s = await self.measure_return_s(cut_s)
                if returned_s > STABLE_WINDOW_S:
                    late[cut_s] = returned_s
            self.assertEqual({}, late)

        run_mesh(main)

    async def measure_return_s(self, cut_s):
        """Return how long after a cut a node received a new release."""
        async with open_mesh(
            ('own', 'other'), seed=cut_s, handshakes=True
        ) as mesh:
            sources = await start_controls(mesh)
            node = await mesh.start_node(0, 'own', timings=NODE_TIMINGS)
            await wait_until(lambda: node.number == 1)
            for peer in mesh.peers:
                mesh.network.cut(node.address, peer.address)
            for source in sources:
                source.publish(make_release(2))
            await trio.sleep(cut_s)
            mesh.network.heal()
            healed_at = trio.current_time()
            await wait_until(lambda: node.number == 2)
            return trio.current_time() - healed_at

    def test_controls_exchange_targets_soon_after_a_cut_of_any_length(self):
        """As above, for the exchange of targets between controls."""

        async def main():
            late = {}
            for quarters in range(4, 80):
                cut_s = quarters / 4
                returned_s = await self.measure_exchange_s(cut_s)
                if returned_s > STABLE_WINDOW_S:
                    late[cut_s] = returned_s
            self.assertEqual({}, late)

        run_mesh(main)

    async def measure_exchange_s(self, cut_s):
        """Return how long after a cut a control got a new target."""
        async with open_mesh(
            ('own', 'other'), seed=cut_s, handshakes=True
        ) as mesh:
            controls = [
                await mesh.start_control(
                    index, FakeSource(), timings=CONTROL_TIMINGS
                )
                for index in range(2)
            ]
            node = await mesh.start_node(0, 'own', timings=NODE_TIMINGS)
            mesh.network.cut(*(peer.address for peer in mesh.peers))
            node.announce()
            await trio.sleep(cut_s)
            mesh.network.heal()
            healed_at = trio.current_time()
            known = controls[1].service.directory.merged.entries
            await wait_until(lambda: 't-n0' in known)
            return trio.current_time() - healed_at
