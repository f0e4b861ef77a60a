from testtools import TestCase
import trio

from snipelead.callers.tests.fakes import wait_until
from snipelead.http.connection import listen
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.reachability import PeerFailure
from snipelead.nodes.reachability import ReachabilityMonitor
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


class ReachabilityMonitorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = TargetDirectory()
        self.reachability = ReachabilityMonitor(self.directory, 'a')
        self.addresses = find_free_addresses(3)
        self.entries = [
            make_entry(f't{i}', address)
            for i, address in enumerate(self.addresses)
        ]

    def run_with_nursery(self, test):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    self.reachability.nursery = nursery
                    for entry in self.entries:
                        self.directory.merge(entry)
                    await test()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_unreachable_node_recovers_when_it_accepts_connections(self):
        async def test():
            first = self.entries[0]
            self.reachability.report_failure(first, PeerFailure.REFUSED)
            self.assertTrue(self.reachability.is_unreachable(first.address))
            self.assertFalse(
                self.reachability.is_unreachable(self.addresses[1])
            )
            with listen(first.address):
                await wait_until(
                    lambda: not self.reachability.is_unreachable(first.address)
                )

        self.run_with_nursery(test)

    def test_missing_response_causes_probes_of_the_zone(self):
        async def test():
            with listen(self.addresses[2]):
                self.reachability.report_failure(
                    self.entries[0], PeerFailure.NO_RESPONSE
                )
                await wait_until(
                    lambda: self.reachability.is_unreachable(self.addresses[1])
                )
                self.assertFalse(
                    self.reachability.is_unreachable(self.addresses[2])
                )

        self.run_with_nursery(test)

    def test_refused_connection_causes_no_probes_of_the_zone(self):
        async def test():
            self.reachability.report_failure(
                self.entries[0], PeerFailure.REFUSED
            )
            self.assertEqual({self.addresses[0]}, self.reachability.probing)

        self.run_with_nursery(test)

    def test_missing_response_in_own_zone_causes_no_other_probes(self):
        self.entries = [
            make_entry(f't{i}', address, 'a')
            for i, address in enumerate(self.addresses)
        ]

        async def test():
            self.reachability.report_failure(
                self.entries[0], PeerFailure.NO_RESPONSE
            )
            self.assertEqual({self.addresses[0]}, self.reachability.probing)

        self.run_with_nursery(test)

    def test_gone_node_is_not_probed_for_ever(self):
        async def test():
            self.reachability.report_failure(
                self.entries[0], PeerFailure.NO_RESPONSE
            )
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
            await wait_until(lambda: not self.reachability.probing)
            self.assertEqual({}, self.reachability.unreachable_since)

        self.run_with_nursery(test)

    def test_unreachable_nodes_are_not_chosen(self):
        async def test():
            balancer = Balancer(
                'a',
                self.directory,
                0.1,
                seed=1,
                reachability=self.reachability,
            )
            self.reachability.report_failure(
                self.entries[0], PeerFailure.REFUSED
            )
            chosen = {
                balancer.choose('stock').entry.target_id for _ in range(100)
            }
            self.assertEqual({'t1', 't2'}, chosen)

        self.run_with_nursery(test)

    def test_targets_of_a_recovered_node_are_usable_at_once(self):
        """Failures during a partition must not keep them ejected after it."""

        async def test():
            balancer = Balancer(
                'a',
                self.directory,
                0.1,
                seed=1,
                reachability=self.reachability,
            )
            first = self.entries[0]
            observation = balancer.get_observations('stock')[0]
            now = trio.current_time()
            for _ in range(20):
                observation.record_failure(now)
            self.assertEqual(1, observation.failures.consecutive_ejections)
            self.reachability.report_failure(first, PeerFailure.NO_RESPONSE)
            with listen(first.address):
                await wait_until(
                    lambda: not self.reachability.is_unreachable(first.address)
                )
            self.assertTrue(observation.is_usable(trio.current_time()))

        self.run_with_nursery(test)
