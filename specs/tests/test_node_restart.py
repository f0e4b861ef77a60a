from specs.node_restart import NodeRestart
from specs.tests.base import ModelTestCase

NO_LATE_START = 'no request starts after leaving is acknowledged'


class NodeRestartTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(NodeRestart(), 2_761)

    def test_violated_by_late_heartbeat_after_restart(self):
        labels = self.assert_violates(
            NodeRestart(confirms_after_restart=False), NO_LATE_START
        )
        self.assertIn('the node restarts', labels)

    def test_violated_by_late_probe_reply(self):
        self.assert_violates(
            NodeRestart(leaving_is_final=False), NO_LATE_START
        )

    def test_violated_by_forgotten_withdrawal(self):
        labels = self.assert_violates(
            NodeRestart(keeps_early_withdrawal=False), NO_LATE_START
        )
        self.assertNotIn('the node restarts', labels)

    def test_violated_by_counting_heartbeats(self):
        self.assert_violates(
            NodeRestart(counts_no_heartbeats=False), NO_LATE_START
        )

    def test_violated_by_older_heartbeats(self):
        self.assert_violates(
            NodeRestart(drops_older_heartbeats=False), NO_LATE_START
        )
