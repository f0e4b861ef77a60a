from specs.control_choice import ControlChoice
from specs.tests.base import ModelTestCase

SERVED = 'a calm node is served by a current control'


class ControlChoiceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ControlChoice(), 5_050)

    def test_violated_if_failures_outrank_staleness(self):
        labels = self.assert_violates(ControlChoice(asks_others=False), SERVED)
        self.assertIn('a poll of control 1 fails', labels)

    def test_violated_by_attempts_that_grow_with_each_failure(self):
        self.assert_violates(ControlChoice(bounded_attempts=False), SERVED)
