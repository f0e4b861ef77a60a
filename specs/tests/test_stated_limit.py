from specs.stated_limit import StatedLimit
from specs.tests.base import ModelTestCase

NOT_BEYOND = 'no request of a node that was told goes beyond the limit'
NOT_INHERITED = 'no limit passes to the next incarnation'


class StatedLimitTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(StatedLimit(), 37_316)

    def test_violated_by_restart_of_the_enforcing_node(self):
        labels = self.assert_violates(
            StatedLimit(tells_back=False), NOT_BEYOND
        )
        self.assertIn('the node beside the target restarts', labels)

    def test_violated_by_late_response_without_a_limit(self):
        self.assert_violates(StatedLimit(orders_responses=False), NOT_BEYOND)

    def test_violated_by_limit_of_an_earlier_incarnation(self):
        self.assert_violates(
            StatedLimit(binds_to_incarnation=False), NOT_INHERITED
        )
