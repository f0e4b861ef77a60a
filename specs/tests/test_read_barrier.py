from specs.read_barrier import ReadBarrier
from specs.tests.base import ModelTestCase

CURRENT = 'what is certified is current'


class ReadBarrierTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ReadBarrier(), 43_576)

    def test_own_belief_is_not_enough(self):
        labels = self.assert_violates(
            ReadBarrier(needs_majority=False), CURRENT
        )
        self.assertIn('1 commits 2', labels)

    def test_earlier_answers_must_not_count(self):
        self.assert_violates(
            ReadBarrier(round_follows_question=False), CURRENT
        )

    def test_entry_of_the_term_must_be_committed(self):
        self.assert_violates(ReadBarrier(needs_entry_of_term=False), CURRENT)
