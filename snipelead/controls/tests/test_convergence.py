from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.testing.releases import change_route
from snipelead.testing.releases import make_release
from snipelead.testing.source import FakeSource
from snipelead.types import Preference

# Default batching window with the preference for bytes.
WINDOW_S = 0.5


class FakeMetrics:
    def __init__(self):
        self.observed = []

    def observe_convergence(self, preference, seconds):
        self.observed.append((preference, seconds))


class ConvergenceTest(TestCase):
    def run_mesh(self, scenario, **overrides):
        """Run a scenario on a mesh with one control and two ready nodes."""

        async def run():
            async with open_mesh() as mesh:
                source = FakeSource(make_release())
                control = await mesh.start_control(0, source, **overrides)
                control.service.convergence.metrics = self.metrics
                nodes = [await mesh.start_node(i) for i in (0, 1)]
                for node in nodes:
                    await wait_until(lambda node=node: node.holder.ready)
                await trio.sleep(1)
                await scenario(mesh, source, nodes)

        self.metrics = FakeMetrics()
        run_mesh(run)
        return self.metrics.observed

    def test_each_node_is_recorded_once_per_release(self):
        async def publish_twice(mesh, source, nodes):
            for _ in range(2):
                source.publish(change_route(source.current))
                await trio.sleep(20)

        observed = self.run_mesh(publish_twice)
        self.assertEqual(4, len(observed))
        for preference, seconds in observed:
            self.assertEqual('convergence', preference)
            self.assertTrue(0 < seconds < WINDOW_S, seconds)

    def test_time_includes_the_batching_window(self):
        async def publish(mesh, source, nodes):
            source.publish(change_route(source.current))
            await trio.sleep(20)

        observed = self.run_mesh(publish, preference=Preference.BYTES)
        self.assertEqual(2, len(observed))
        for preference, seconds in observed:
            self.assertEqual('bytes', preference)
            self.assertTrue(seconds > WINDOW_S, seconds)

    def test_node_that_joins_later_is_not_recorded(self):
        async def join(mesh, source, nodes):
            source.publish(change_route(source.current))
            await trio.sleep(20)
            newcomer = await mesh.start_node(2)
            await wait_until(lambda: newcomer.number == source.current.number)
            await trio.sleep(20)

        self.assertEqual(2, len(self.run_mesh(join)))
