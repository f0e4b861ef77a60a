from specs.quarantine import Quarantine
from specs.tests.base import ModelTestCase

NOT_LATE = 'no copy is sent once all processes have been in touch'


class QuarantineTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(Quarantine(), 20_852)

    def test_violated_without_merging(self):
        self.assert_violates(Quarantine(merges=False), NOT_LATE)

    def test_violated_if_a_restarted_control_is_not_told_again(self):
        labels = self.assert_violates(
            Quarantine(reports_again=False), NOT_LATE
        )
        self.assertTrue(any('control' in label for label in labels))

    def test_violated_if_a_process_restarts_with_untold_evidence(self):
        self.assert_violates(Quarantine(told_before_restart=False), NOT_LATE)

    def test_violated_without_exchange_between_controls(self):
        self.assert_violates(Quarantine(exchanges=False), NOT_LATE)
