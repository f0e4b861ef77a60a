from specs.restarted_gate import RestartedGate
from specs.tests.base import ModelTestCase

NOTHING_LATE = 'nothing begins after leaving was acknowledged'


class RestartedGateTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(RestartedGate(), 1_024)

    def test_late_report_must_not_be_believed_after_a_restart(self):
        labels = self.assert_violates(RestartedGate(asks=False), NOTHING_LATE)
        self.assertIn('the node restarts', labels)

    def test_late_answer_must_not_undo_leaving(self):
        self.assert_violates(RestartedGate(leaving_stays=False), NOTHING_LATE)

    def test_reports_must_be_ordered(self):
        self.assert_violates(RestartedGate(orders_reports=False), NOTHING_LATE)
