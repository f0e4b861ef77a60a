from testtools import TestCase

from snipelead.nodes import forwarding
from snipelead.nodes import gates
from snipelead.nodes import peer_service
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.targets import sender


class PeerLimitsTest(TestCase):
    """Constants whose order the guarantees rest on."""

    def test_attempts_outlive_connections_and_deadlines(self):
        self.assertLess(peer_service.IDLE_S, gates.RETENTION_S)
        self.assertLess(MAX_DEADLINE_MS / 1_000, gates.RETENTION_S)

    def test_senders_close_idle_connections_first(self):
        self.assertLess(forwarding.IDLE_S, peer_service.IDLE_S)
        self.assertLess(sender.IDLE_S, 5.0)
