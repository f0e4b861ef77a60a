from specs.checking import replay
from specs.log_agreement import LogAgreement
from specs.tests.base import ModelTestCase

# Two terms, each of which left an entry on its leader alone.
SPLIT_TAILS = (
    '0 campaigns in term 1',
    '1 answers VoteRequest(term=1, candidate=0, last_term=0, length=0)',
    '0 leads term 1',
    '0 appends',
    '0 crashes',
    '1 campaigns in term 2',
    '2 answers VoteRequest(term=2, candidate=1, last_term=0, length=0)',
    '1 leads term 2',
    '1 appends',
    '1 crashes',
)


class LogAgreementTest(ModelTestCase):
    def test_holds_with_two_entries(self):
        self.assert_holds(LogAgreement(max_term=2, max_entries=2), 39_557)

    def test_holds_through_three_terms(self):
        self.assert_holds(LogAgreement(max_term=3), 98_191)

    def test_holds_after_split_tails(self):
        model = LogAgreement(max_term=4)
        start = replay(model, SPLIT_TAILS)
        self.assert_holds(model, 7_090, start=start)

    def test_vote_must_be_durable(self):
        labels = self.assert_violates(
            LogAgreement(durable_vote=False), 'one leader per term'
        )
        self.assertIn('0 crashes', labels)

    def test_old_entries_are_not_committed_by_counting(self):
        model = LogAgreement(max_term=4, current_term_rule=False)
        labels = self.assert_violates(
            model,
            'committed entries never vanish',
            start=replay(model, SPLIT_TAILS),
        )
        self.assertIn('0 commits 1', labels)

    def test_candidate_must_be_up_to_date(self):
        self.assert_violates(
            LogAgreement(up_to_date_check=False),
            'committed entries never vanish',
        )
