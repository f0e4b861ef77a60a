from specs.release_race import ReleaseRace
from specs.tests.base import ModelTestCase

ONE_ACCEPTED = 'at most one accepted note per number'
REPLIES_AGREE = 'all replies to a note agree'
REPLIES_MATCH_LOG = 'every reply matches the log'


class ReleaseRaceTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ReleaseRace(max_log=5), 9_096)

    def test_violated_if_resend_is_identified_by_number(self):
        self.assert_violates(
            ReleaseRace(identifies_by_note=False), ONE_ACCEPTED
        )

    def test_violated_if_only_the_leader_holds_outcomes(self):
        labels = self.assert_violates(
            ReleaseRace(derives_outcome_from_log=False), REPLIES_AGREE
        )
        self.assertTrue(any('is elected' in label for label in labels))

    def test_violated_if_refusals_are_not_recorded(self):
        self.assert_violates(
            ReleaseRace(records_refusals=False), REPLIES_MATCH_LOG
        )

    def test_violated_by_refusal_before_commit(self):
        labels = self.assert_violates(
            ReleaseRace(replies_after_commit=False), REPLIES_MATCH_LOG
        )
        self.assertIn('a leader with 0 uncommitted entries is elected', labels)
