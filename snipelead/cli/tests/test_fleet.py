from testtools import TestCase
import trio

from snipelead.cli.fleet import describe_fleet
from snipelead.operators.status import make_fleet_report
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import ReleaseId
from snipelead.testing.fakes import FakeService
from snipelead.testing.fakes import make_node_status

NEWEST_RELEASE = ReleaseId(2, 'digest-2')
OLD_RELEASE = EMPTY_RELEASE.release_id


class DescribeFleetTest(TestCase):
    def describe(self, nodes, certified=True, **options):
        service = FakeService(NEWEST_RELEASE, nodes, **options)
        service.certified = certified
        replies = trio.run(service.collect_fleet_replies)
        report = make_fleet_report(service.settings.peers, replies)
        return list(describe_fleet(report))

    def check(self, state, confirmed, nodes, **options):
        lines = self.describe(nodes, **options)
        self.assertEqual(f'current release: 2, {state}', lines[0])
        self.assertEqual(f'confirmed by {confirmed} live nodes', lines[1])

    def test_in_force_if_all_live_nodes_confirmed(self):
        nodes = [make_node_status(f'n{i}', NEWEST_RELEASE) for i in range(2)]
        self.check('in force', '2 of 2', nodes)
        self.check('in force', '0 of 0', [])

    def test_silent_node_that_confirmed_does_not_change_the_state(self):
        nodes = [
            make_node_status('n0', NEWEST_RELEASE),
            make_node_status('n1', NEWEST_RELEASE, live=False),
        ]
        self.check('in force', '1 of 1', nodes)

    def test_silent_node_that_did_not_confirm_limits_the_state(self):
        nodes = [
            make_node_status('n0', NEWEST_RELEASE),
            make_node_status('n1', OLD_RELEASE, live=False),
        ]
        self.check('in force on reachable nodes', '1 of 1', nodes)

    def test_lagging_node_means_that_the_release_spreads(self):
        nodes = [
            make_node_status('n0', NEWEST_RELEASE),
            make_node_status('n1', OLD_RELEASE),
        ]
        self.check('spreading', '1 of 2', nodes)

    def test_unknown_if_uncertified_or_if_controls_are_missing(self):
        nodes = [make_node_status('n0', NEWEST_RELEASE)]
        self.check('unknown', '1 of 1', nodes, certified=False)
        self.check('unknown', '1 of 1', nodes, unreachable=('c2',))
        self.check('unknown', '1 of 1', nodes, warming=True)

    def test_missing_controls_are_listed(self):
        lines = self.describe([], unreachable=('c2',), warming=True)
        self.assertIn('control c2: unreachable', lines)
        self.assertIn('control c1: started recently', lines)
