from specs.node_floor import NodeFloor
from specs.tests.base import ModelTestCase

NO_ROLLBACK = 'no node rolls back'


class NodeFloorTest(ModelTestCase):
    def test_holds_with_a_certified_floor(self):
        self.assert_holds(NodeFloor(max_restarts=1), 47_584)

    def test_holds_with_fallback_of_an_isolated_zone(self):
        model = NodeFloor(zone_fallback=True, max_failovers=0)
        self.assert_holds(model, 109_952)

    def test_violated_by_stale_updates(self):
        self.assert_violates(NodeFloor(drops_stale_updates=False), NO_ROLLBACK)

    def test_violated_by_an_uncertified_floor(self):
        self.assert_violates(NodeFloor(certified_floor=False), NO_ROLLBACK)

    def test_violated_by_a_floor_for_an_earlier_incarnation(self):
        self.assert_violates(
            NodeFloor(reply_checks_incarnation=False), NO_ROLLBACK
        )

    def test_violated_by_fallback_without_durable_publication(self):
        labels = self.assert_violates(
            NodeFloor(
                zone_fallback=True, max_failovers=0, durable_publication=False
            ),
            NO_ROLLBACK,
        )
        self.assertIn("the zone's control restarts", labels)

    def test_violated_by_fallback_after_a_failover(self):
        # Known limitation: a node gets a release from the control of another
        # zone, which becomes unreachable before the control of the own zone
        # has learned of that release.
        labels = self.assert_violates(
            NodeFloor(zone_fallback=True, max_control_restarts=0),
            NO_ROLLBACK,
        )
        self.assertIn('the zone is isolated', labels)
