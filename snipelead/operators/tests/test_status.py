from msgspec.structs import replace
from testtools import TestCase

from snipelead.messages import FleetReply
from snipelead.operators.status import make_fleet_report
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.testing.fakes import make_node_status

RELEASE = EMPTY_RELEASE.release_id


class FleetReportTest(TestCase):
    def test_node_is_counted_for_the_control_with_its_newest_status(self):
        before = make_node_status('n1', RELEASE)
        after = replace(before, sequence=before.sequence + 1)
        replies = [
            FleetReply('c1', 'z1', RELEASE, nodes=(before,)),
            FleetReply('c2', 'z2', RELEASE, nodes=(after,)),
        ]
        report = make_fleet_report((), replies)
        self.assertEqual([0, 1], [c.nodes for c in report.controls])
        self.assertEqual((after,), report.nodes)
