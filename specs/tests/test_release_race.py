from specs.release_race import ReleaseRace
from specs.tests.base import ModelTestCase

ONE_WINNER = 'one winner for each number'
SAME = 'every answer to a note is the same'
TRUE = 'every answer is true'


class ReleaseRaceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ReleaseRace(max_log=5), 9_096)

    def test_resend_must_be_recognised_by_note(self):
        self.assert_violates(ReleaseRace(outcome_by_note=False), ONE_WINNER)

    def test_outcome_must_outlive_the_leader(self):
        labels = self.assert_violates(ReleaseRace(outcome_in_log=False), SAME)
        self.assertTrue(any('a leader that' in label for label in labels))

    def test_refusal_must_be_kept(self):
        self.assert_violates(ReleaseRace(refusals_in_log=False), TRUE)

    def test_refusal_must_wait_for_commit(self):
        labels = self.assert_violates(
            ReleaseRace(answers_after_commit=False), TRUE
        )
        self.assertIn('a leader that holds 0 of them', labels)
