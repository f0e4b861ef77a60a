"""Guards against callers that exhaust memory or descriptors of a process."""

import pytest

from snipelead.daemons.tests.fleet_case import FleetTestCase
from snipelead.settings.schema import NodeLimits
from snipelead.testing.untrusted_callers import check_answered
from snipelead.testing.untrusted_callers import check_withstands
from snipelead.testing.untrusted_callers import limit_descriptors
from snipelead.testing.untrusted_callers import ProcessUsage
from snipelead.testing.untrusted_callers import Script

pytestmark = pytest.mark.processes

MIB = 1024 * 1024
VM_MEMORY_MIB = 200
BODY_BYTES = 64 * MIB
LOWERED_LIMITS = {
    'body_bytes': BODY_BYTES,
    'buffer_bytes': 8 * MIB,
    'connection_buffer_bytes': MIB // 4,
    'head_timeout_ms': 3_000,
    'response_timeout_ms': 3_000,
}

SHORT_FIELD = b'a:\r\n'
POST_HEAD = (
    b'POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
    % (60 * MIB)
)
GET_HEAD = b'GET /levels/1?bytes=60000 HTTP/1.1\r\nHost: x\r\n'

OVERSIZED_HEADS = Script(GET_HEAD, SHORT_FIELD, MIB, 300)
# Below the limit of 64 KiB, so that the head is neither refused nor complete.
ENDLESS_HEADS = Script(GET_HEAD, SHORT_FIELD, 48 * 1024, 300)
EMPTY_LINES = Script(b'', b'\r\n', 4 * MIB, 300)
SHORT_EMPTY_LINES = Script(b'', b'\r\n', 32 * 1024, 300)
# About 50 responses fill the buffers of the sockets.
PIPELINED = Script(b'', GET_HEAD + b'\r\n', 4 * MIB, 40)
UNSENT_BODIES = Script(POST_HEAD, b'x', len(POST_HEAD), 300)
SLOW_BODIES = Script(POST_HEAD, b'x', 512 * 1024, 300)


class LargeBodyTest(FleetTestCase):
    """A single request within the limits must be served in calm conditions."""

    def test_largest_body(self):
        limits = NodeLimits(body_bytes=BODY_BYTES)
        self.make_fleet(controls=1, services=('stock',))
        self.fleet.replace_settings(self.fleet.nodes[0], limits=limits)
        self.fleet.start()
        self.deploy_first_release()
        url = self.fleet.caller_urls()[0] + '/orders/1'
        response = self.client.post(url, content=bytes(BODY_BYTES))
        self.assertEqual(200, response.status_code)
        usage = ProcessUsage.read(self.fleet.nodes[0].popen.pid)
        self.assertLess(usage.peak_mib, VM_MEMORY_MIB)


class UntrustedCallersTest(FleetTestCase):
    """A node grew from 65 to 372 MB and refused ordinary requests."""

    def setUp(self):
        super().setUp()
        self.make_fleet(controls=1, services=('stock',))
        self.node, self.control = self.fleet.nodes[0], self.fleet.controls[0]
        self.fleet.replace_settings(
            self.node, limits=NodeLimits(**LOWERED_LIMITS)
        )
        for process in (self.node, self.control):
            limit_descriptors(process)
        self.fleet.start()
        self.deploy_first_release()
        self.check_served()

    def check_served(self):
        check_answered(self.node.settings.caller_address, '/levels/1')

    def check_callers(self, script):
        address = self.node.settings.caller_address
        check_withstands(self, self.node, address, script, self.check_served)

    def test_heads_over_the_limit(self):
        self.check_callers(OVERSIZED_HEADS)

    def test_heads_without_end(self):
        self.check_callers(ENDLESS_HEADS)

    def test_empty_lines_without_end(self):
        self.check_callers(EMPTY_LINES)

    def test_connections_with_a_few_empty_lines(self):
        self.check_callers(SHORT_EMPTY_LINES)

    def test_pipelined_requests_whose_responses_are_not_read(self):
        self.check_callers(PIPELINED)

    def test_bodies_that_are_not_sent(self):
        self.check_callers(UNSENT_BODIES)

    def test_bodies_that_are_sent_in_part(self):
        self.check_callers(SLOW_BODIES)

    # Other addresses

    def check_peer_address(self, script):
        address = self.node.settings.address
        check_withstands(self, self.node, address, script, self.check_served)

    def test_heads_without_end_at_the_address_for_nodes(self):
        self.check_peer_address(ENDLESS_HEADS)

    def test_empty_lines_at_the_address_for_nodes(self):
        self.check_peer_address(SHORT_EMPTY_LINES)

    def check_admin_address(self, script):
        address = self.node.settings.admin_address

        def check():
            check_answered(address, '/v1/status')
            self.check_served()

        check_withstands(self, self.node, address, script, check)

    def test_heads_without_end_at_the_admin_address(self):
        self.check_admin_address(ENDLESS_HEADS)

    def test_bodies_at_the_admin_address(self):
        self.check_admin_address(SLOW_BODIES)

    def check_operator_address(self, script):
        address = self.control.settings.operator_address

        def check():
            check_answered(address, '/v1/releases')

        check_withstands(self, self.control, address, script, check)

    def test_heads_without_end_at_the_operator_address(self):
        self.check_operator_address(ENDLESS_HEADS)

    def test_bodies_at_the_operator_address(self):
        self.check_operator_address(SLOW_BODIES)
