from specs.checking import replay
from specs.log_agreement import LogAgreement
from specs.tests.base import ModelTestCase

# In each of two terms the leader crashed before it replicated its entry.
DIVERGED_LOGS = (
    'voter 0 starts an election in term 1',
    'voter 1 replies to '
    'VoteRequest(term=1, candidate=0, last_term=0, length=0)',
    'voter 0 leads term 1',
    'voter 0 appends',
    'voter 0 crashes',
    'voter 1 starts an election in term 2',
    'voter 2 replies to '
    'VoteRequest(term=2, candidate=1, last_term=0, length=0)',
    'voter 1 leads term 2',
    'voter 1 appends',
    'voter 1 crashes',
)


class LogAgreementTest(ModelTestCase):
    def test_holds_with_two_entries(self):
        self.assert_holds(LogAgreement(max_term=2, max_entries=2), 39_557)

    def test_holds_through_three_terms(self):
        self.assert_holds(LogAgreement(max_term=3), 98_191)

    def test_holds_after_diverged_logs(self):
        model = LogAgreement(max_term=4)
        start_state = replay(model, DIVERGED_LOGS)
        self.assert_holds(model, 7_090, start_state=start_state)

    def test_violated_without_durable_vote(self):
        labels = self.assert_violates(
            LogAgreement(durable_vote=False), 'one leader per term'
        )
        self.assertIn('voter 0 crashes', labels)

    def test_violated_by_counting_acks_of_earlier_terms(self):
        model = LogAgreement(max_term=4, commits_only_own_term=False)
        labels = self.assert_violates(
            model,
            'leaders hold committed entries',
            start_state=replay(model, DIVERGED_LOGS),
        )
        self.assertIn('voter 0 commits up to 1', labels)

    def test_violated_by_candidate_with_outdated_log(self):
        self.assert_violates(
            LogAgreement(vote_checks_log=False),
            'leaders hold committed entries',
        )
