from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.releases.document import Release
from snipelead.releases.document import Service
from snipelead.settings.schema import ControlTimings
from snipelead.testing.source import FakeSource

# Nodes must have recovered from a network partition after this time.
STABLE_WINDOW_S = 3.0


def make_release(number):
    return Release(number, {'stock': Service('stock')})


class StaleControlTest(TestCase):
    def test_node_switches_from_a_partitioned_control(self):
        """A partitioned control still replies to nodes, with old releases.

        Nodes that stay with it would never receive the newer release, so
        they must switch to another control within the stable window.
        """

        async def main():
            async with open_mesh(('own', 'other')) as mesh:
                isolated, healthy = FakeSource(), FakeSource()
                timings = ControlTimings(
                    exchange_hold_ms=1_200, exchange_miss_ms=600
                )
                # The node starts before the controls, so its first polls
                # fail, as when all processes start at the same time.
                node = await mesh.start_node(0, 'own')
                await trio.sleep(1)
                await mesh.start_control(0, isolated, timings=timings)
                await mesh.start_control(1, healthy, timings=timings)
                for source in (isolated, healthy):
                    source.publish(make_release(1))
                await wait_until(lambda: node.number == 1)
                await trio.sleep(8)
                isolated.certification_succeeds = False
                healthy.publish(make_release(2))
                with trio.fail_after(STABLE_WINDOW_S):
                    await wait_until(lambda: node.number == 2)

        run_mesh(main)
