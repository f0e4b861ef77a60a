from testtools import TestCase

from snipelead.nodes import forwarding
from snipelead.nodes import peer_service
from snipelead.nodes import target_limiters
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.targets import sender


class TimeoutOrderTest(TestCase):
    """At-most-once delivery depends on the order of these timeouts."""

    def test_attempts_outlive_connections_and_deadlines(self):
        self.assertLess(
            peer_service.IDLE_TIMEOUT_S, target_limiters.ATTEMPT_RETENTION_S
        )
        self.assertLess(
            MAX_DEADLINE_MS / 1_000, target_limiters.ATTEMPT_RETENTION_S
        )

    def test_senders_close_idle_connections_first(self):
        self.assertLess(forwarding.IDLE_TIMEOUT_S, peer_service.IDLE_TIMEOUT_S)
        self.assertLess(sender.IDLE_TIMEOUT_S, 5.0)
