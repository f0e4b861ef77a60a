from testtools import TestCase
import trio

from snipelead.callers.tests.fakes import until
from snipelead.http.connection import listen
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.reach import Loss
from snipelead.nodes.reach import PeerReach
from snipelead.routing.balancer import Balancer
from snipelead.types import TargetState
from snipelead.utils.ports import find_free_addresses

TIMEOUT_S = 20.0


def make_entry(name, address, zone='b'):
    return TargetEntry(
        name,
        f'n-{name}',
        zone,
        'stock',
        address,
        1,
        1,
        TargetState.SERVING,
        10,
    )


class PeerReachTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = TargetDirectory()
        self.reach = PeerReach(self.directory, 'a')
        self.addresses = find_free_addresses(3)
        self.entries = [
            make_entry(f't{i}', address)
            for i, address in enumerate(self.addresses)
        ]

    def run_reach(self, test):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    self.reach.nursery = nursery
                    for entry in self.entries:
                        self.directory.merge(entry)
                    await test()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_lost_node_is_left_out_until_it_takes_connections(self):
        async def test():
            first = self.entries[0]
            self.reach.report(first, Loss.REFUSED)
            self.assertTrue(self.reach.is_lost(first.address))
            self.assertFalse(self.reach.is_lost(self.addresses[1]))
            with listen(first.address):
                await until(lambda: not self.reach.is_lost(first.address))

        self.run_reach(test)

    def test_silence_of_one_node_makes_look_at_its_zone(self):
        async def test():
            with listen(self.addresses[2]):
                self.reach.report(self.entries[0], Loss.SILENT)
                await until(lambda: self.reach.is_lost(self.addresses[1]))
                self.assertFalse(self.reach.is_lost(self.addresses[2]))

        self.run_reach(test)

    def test_refusal_says_nothing_of_the_zone(self):
        async def test():
            self.reach.report(self.entries[0], Loss.REFUSED)
            self.assertEqual({self.addresses[0]}, self.reach.looking)

        self.run_reach(test)

    def test_silence_in_the_own_zone_says_nothing_of_others(self):
        self.entries = [
            make_entry(f't{i}', address, 'a')
            for i, address in enumerate(self.addresses)
        ]

        async def test():
            self.reach.report(self.entries[0], Loss.SILENT)
            self.assertEqual({self.addresses[0]}, self.reach.looking)

        self.run_reach(test)

    def test_node_that_is_gone_is_not_looked_at_for_ever(self):
        async def test():
            self.reach.report(self.entries[0], Loss.SILENT)
            for entry in self.entries:
                self.directory.merge(
                    TargetEntry(
                        entry.target_id,
                        entry.node_id,
                        entry.zone,
                        entry.service,
                        entry.address,
                        1,
                        2,
                        TargetState.GONE,
                    )
                )
            await until(lambda: not self.reach.looking)
            self.assertEqual({}, self.reach.lost)

        self.run_reach(test)

    def test_lost_nodes_are_not_chosen(self):
        async def test():
            balancer = Balancer(
                'a', self.directory, 0.1, seed=1, reach=self.reach
            )
            self.reach.report(self.entries[0], Loss.REFUSED)
            chosen = {
                balancer.choose('stock').entry.target_id for _ in range(100)
            }
            self.assertEqual({'t1', 't2'}, chosen)

        self.run_reach(test)

    def test_targets_of_a_node_that_is_back_are_used_at_once(self):
        """After a cut they must not stay ejected for the failures in it."""

        async def test():
            balancer = Balancer(
                'a', self.directory, 0.1, seed=1, reach=self.reach
            )
            first = self.entries[0]
            observation = balancer.observations_of('stock')[0]
            now = trio.current_time()
            for _ in range(20):
                observation.record_failure(now)
            self.assertEqual(1, observation.consecutive_ejections)
            self.reach.report(first, Loss.SILENT)
            with listen(first.address):
                await until(lambda: not self.reach.is_lost(first.address))
            self.assertTrue(observation.is_usable(trio.current_time()))

        self.run_reach(test)
