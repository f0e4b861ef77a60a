from specs.node_restart import NodeRestart
from specs.tests.base import ModelTestCase

NO_LATE_START = 'no request starts after leaving is acknowledged'


class NodeRestartTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(NodeRestart(), 1_024)

    def test_violated_by_late_heartbeat_after_restart(self):
        labels = self.assert_violates(
            NodeRestart(confirms_after_restart=False), NO_LATE_START
        )
        self.assertIn('the node restarts', labels)

    def test_violated_by_late_probe_reply(self):
        self.assert_violates(
            NodeRestart(leaving_is_final=False), NO_LATE_START
        )

    def test_violated_by_older_heartbeats(self):
        self.assert_violates(
            NodeRestart(drops_older_heartbeats=False), NO_LATE_START
        )
