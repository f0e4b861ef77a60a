from specs.rollout_completion import RolloutCompletion
from specs.tests.base import ModelTestCase

NO_WORSE = 'no version that got worse after the promotion is completed'
MECHANISMS = (
    'requires_responses',
    'requires_each_route',
    'counts_after_promotion',
)


class RolloutCompletionTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(RolloutCompletion(), 1_021)

    def test_each_mechanism_is_needed(self):
        for name in MECHANISMS:
            self.assert_violates(RolloutCompletion(**{name: False}), NO_WORSE)
