"""Whole nodes that cannot prove that they hold the newest release."""

from msgspec.structs import replace
import trio

from snipelead.platform.tests.crash_case import CrashTestCase
from snipelead.platform.tests.crash_case import RELEASE
from snipelead.releases.document import Route

STALE = (503, 'SL3034')
MISSING = '/missing/1'


class OutdatedNodeTest(CrashTestCase):
    async def send(self, path):
        outcome = await self.send_request(self.nodes[0], path)
        return (outcome.status, outcome.code)

    def cut_off(self):
        self.network.isolate(
            self.nodes[0].rpc_address, [peer.address for peer in self.peers]
        )

    def test_node_in_touch_answers_404(self):
        async def scenario(nursery):
            for _ in range(3):
                self.assertEqual((404, 'SL3003'), await self.send(MISSING))

        self.run_scenario(scenario)

    def test_node_that_is_cut_off_serves_and_denies_nothing(self):
        """Guards against 404 for what a newer release may contain."""

        async def scenario(nursery):
            status, _ = await self.send('/reads/1')
            self.assertEqual(200, status)
            for _ in range(2):
                self.cut_off()
                self.assertEqual(STALE, await self.send(MISSING))
                status, _ = await self.send('/reads/1')
                self.assertEqual(200, status)
                self.network.heal()
                await trio.sleep(5.0)
                self.assertEqual((404, 'SL3003'), await self.send(MISSING))

        self.run_scenario(scenario)

    def test_route_that_was_just_accepted_is_served(self):
        """Guards against 404 from a node that has not been told yet."""

        async def scenario(nursery):
            route = Route('missing', 'stock', '/missing/', repeatable=True)
            release = replace(
                RELEASE, number=3, routes=RELEASE.routes | {'missing': route}
            )
            for control in self.controls:
                control.source.publish(release)
            status, _ = await self.send(MISSING)
            self.assertEqual(200, status)

        self.run_scenario(scenario)
