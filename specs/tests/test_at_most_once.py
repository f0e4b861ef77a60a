from specs.at_most_once import AtMostOnce
from specs.tests.base import ModelTestCase

RUNS_ONCE = 'runs at most once'
NOT_RUN = 'not run is true for good'


class AtMostOnceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(AtMostOnce(), 91_088)

    def test_holds_with_three_lives_of_the_gate(self):
        self.assert_holds(
            AtMostOnce(max_attempts=1, max_incarnations=3), 18_264
        )

    def test_claim_is_needed(self):
        self.assert_violates(AtMostOnce(claims=False), RUNS_ONCE)

    def test_claim_of_unknown_end_must_be_kept(self):
        self.assert_violates(
            AtMostOnce(keeps_claim_of_unknown_end=False), RUNS_ONCE
        )

    def test_fence_must_check_the_incarnation(self):
        labels = self.assert_violates(
            AtMostOnce(fence_checks_incarnation=False), NOT_RUN
        )
        self.assertIn('the gate restarts', labels)

    def test_attempt_must_name_the_incarnation(self):
        labels = self.assert_violates(
            AtMostOnce(attempt_names_incarnation=False), NOT_RUN
        )
        self.assertIn('the gate restarts', labels)

    def test_lost_connection_needs_a_fence(self):
        self.assert_violates(AtMostOnce(retry_needs_fence=False), RUNS_ONCE)

    def test_late_claim_must_not_hold_the_key(self):
        self.assert_violates(
            AtMostOnce(given_back_is_final=False),
            'a claim given back does not hold the key',
        )
