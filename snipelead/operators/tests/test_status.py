from msgspec.structs import replace
from testtools import TestCase

from snipelead.messages import FleetReply
from snipelead.operators.status import make_fleet_status
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.testing.fleet import make_node_status

HELD = EMPTY_RELEASE.held


class FleetStatusTest(TestCase):
    def test_node_that_moved_counts_for_its_newest_control(self):
        before = make_node_status('n1', HELD)
        after = replace(before, sequence=before.sequence + 1)
        replies = [
            FleetReply('c1', 'z1', HELD, nodes=(before,)),
            FleetReply('c2', 'z2', HELD, nodes=(after,)),
        ]
        status = make_fleet_status((), replies)
        self.assertEqual([0, 1], [c.nodes for c in status.controls])
        self.assertEqual((after,), status.nodes)
