from specs.read_barrier import ReadBarrier
from specs.tests.base import ModelTestCase

READS_CURRENT = 'certified reads are current'


class ReadBarrierTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(ReadBarrier(), 43_576)

    def test_violated_without_a_majority(self):
        labels = self.assert_violates(
            ReadBarrier(requires_majority=False), READS_CURRENT
        )
        self.assertIn('voter 1 commits up to 2', labels)

    def test_violated_by_replies_before_the_request(self):
        self.assert_violates(
            ReadBarrier(ignores_earlier_replies=False), READS_CURRENT
        )

    def test_violated_without_a_committed_entry_of_the_term(self):
        self.assert_violates(
            ReadBarrier(requires_entry_of_term=False), READS_CURRENT
        )
