from testtools import TestCase
import trio

from snipelead.cli.fleet import describe_fleet
from snipelead.operators.status import make_fleet_report
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import Held
from snipelead.testing.fleet import FakeService
from snipelead.testing.fleet import make_node_status

NEWEST = Held(2, 'digest-2')
OLD = EMPTY_RELEASE.held


class DescribeFleetTest(TestCase):
    def describe(self, nodes, certified=True, **options):
        service = FakeService(NEWEST, nodes, **options)
        service.certified = certified
        replies = trio.run(service.fleet)
        report = make_fleet_report(service.settings.peers, replies)
        return list(describe_fleet(report))

    def check(self, verdict, confirmed, nodes, **options):
        lines = self.describe(nodes, **options)
        self.assertEqual(f'current release: 2, {verdict}', lines[0])
        self.assertEqual(f'confirmed by {confirmed} live nodes', lines[1])

    def test_in_force(self):
        nodes = [make_node_status(f'n{i}', NEWEST) for i in range(2)]
        self.check('in force', '2 of 2', nodes)
        self.check('in force', '0 of 0', [])

    def test_silent_node_that_had_confirmed_changes_nothing(self):
        nodes = [
            make_node_status('n0', NEWEST),
            make_node_status('n1', NEWEST, live=False),
        ]
        self.check('in force', '1 of 1', nodes)

    def test_silent_node_that_had_not_confirmed(self):
        nodes = [
            make_node_status('n0', NEWEST),
            make_node_status('n1', OLD, live=False),
        ]
        self.check('in force on reachable nodes', '1 of 1', nodes)

    def test_lagging_node(self):
        nodes = [make_node_status('n0', NEWEST), make_node_status('n1', OLD)]
        self.check('spreading', '1 of 2', nodes)

    def test_unknown_without_proof_or_with_controls_missing(self):
        nodes = [make_node_status('n0', NEWEST)]
        self.check('unknown', '1 of 1', nodes, certified=False)
        self.check('unknown', '1 of 1', nodes, unreachable=('c2',))
        self.check('unknown', '1 of 1', nodes, warming=True)

    def test_controls_that_are_missing_are_named(self):
        lines = self.describe([], unreachable=('c2',), warming=True)
        self.assertIn('control c2: cannot be reached', lines)
        self.assertIn('control c1: has just started', lines)
