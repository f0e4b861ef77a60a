from specs.node_floor import NodeFloor
from specs.tests.base import ModelTestCase

NO_STEP_BACK = 'no node steps back'


class NodeFloorTest(ModelTestCase):
    def test_holds_with_a_certified_floor(self):
        self.assert_holds(NodeFloor(max_lives=1), 47_584)

    def test_holds_when_a_cut_off_zone_falls_back(self):
        model = NodeFloor(zone_fallback=True, max_failovers=0)
        self.assert_holds(model, 109_952)

    def test_numbers_must_be_compared(self):
        self.assert_violates(NodeFloor(compares_numbers=False), NO_STEP_BACK)

    def test_floor_must_be_certified(self):
        self.assert_violates(NodeFloor(certified_floor=False), NO_STEP_BACK)

    def test_floor_must_answer_an_own_question(self):
        self.assert_violates(NodeFloor(answer_names_life=False), NO_STEP_BACK)

    def test_publication_must_be_durable_for_the_fallback(self):
        labels = self.assert_violates(
            NodeFloor(
                zone_fallback=True, max_failovers=0, durable_publication=False
            ),
            NO_STEP_BACK,
        )
        self.assertIn("the zone's control restarts", labels)

    def test_fallback_is_open_after_a_failover(self):
        # Left open: a node takes a release from another zone, whose control
        # then gets out of reach before the own control has learned of it.
        labels = self.assert_violates(
            NodeFloor(zone_fallback=True, max_control_restarts=0),
            NO_STEP_BACK,
        )
        self.assertIn('the zone is cut off', labels)
