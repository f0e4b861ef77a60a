from specs.at_most_once import AtMostOnce
from specs.tests.base import ModelTestCase

RUNS_AT_MOST_ONCE = 'runs at most once'
NOT_RUN_HOLDS = 'answer "not run" stays true'


class AtMostOnceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(AtMostOnce(), 91_088)

    def test_holds_with_three_incarnations(self):
        self.assert_holds(
            AtMostOnce(max_attempts=1, max_incarnations=3), 18_264
        )

    def test_violated_without_claims(self):
        self.assert_violates(
            AtMostOnce(requires_claim=False), RUNS_AT_MOST_ONCE
        )

    def test_violated_if_claim_of_unknown_outcome_is_released(self):
        self.assert_violates(
            AtMostOnce(keeps_claim_of_unknown_outcome=False), RUNS_AT_MOST_ONCE
        )

    def test_violated_if_fence_ignores_incarnation(self):
        labels = self.assert_violates(
            AtMostOnce(fence_checks_incarnation=False), NOT_RUN_HOLDS
        )
        self.assertIn("the target's node restarts", labels)

    def test_violated_if_attempt_ignores_incarnation(self):
        labels = self.assert_violates(
            AtMostOnce(attempt_checks_incarnation=False), NOT_RUN_HOLDS
        )
        self.assertIn("the target's node restarts", labels)

    def test_violated_by_retry_without_fence(self):
        self.assert_violates(
            AtMostOnce(retry_requires_fence=False), RUNS_AT_MOST_ONCE
        )

    def test_violated_by_late_claim_after_release(self):
        self.assert_violates(
            AtMostOnce(released_claim_is_final=False),
            'a released claim does not hold the key',
        )
