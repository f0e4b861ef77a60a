import pytest

from snipelead.daemons.tests.fleet_case import FleetTestCase
from snipelead.testing.processes import wait_for

pytestmark = pytest.mark.processes


class NodeFailureTest(FleetTestCase):
    def test_killed_node_restarts_with_the_newest_release(self):
        fleet = self.start_fleet(services=['stock', 'stock'])
        node = fleet.nodes[0]
        for number in range(2, 6):
            node.kill()
            outcome = self.submit_until_decided(
                range(3), number, f'note-{number}'
            )
            self.assertEqual(200, outcome[0])
            node.start()
            status = wait_for(
                lambda: (s := self.read_node_status(node))['ready'] and s,
                'restarted node ready',
            )
            self.assertEqual(number, status['release'])
        self.wait_until_serving(node)

    def test_nodes_serve_without_controls_and_converge_afterwards(self):
        fleet = self.start_fleet(services=['stock', 'stock'])
        for control in fleet.controls:
            control.kill()
        for node in fleet.nodes:
            for _ in range(10):
                response = self.call(node, '/levels')
                self.assertEqual(200, response.status_code)
            refused = self.send_order(node, 'k1', 'r1')
            self.assertEqual(503, refused.status_code)
            self.assertEqual('no', refused.headers['X-Snipelead-Ran'])
            self.assertIn('Retry-After', refused.headers)
        self.assertEqual([], self.find_runs('k1'))
        for control in fleet.controls:
            control.start()
        outcome = self.submit_until_decided(range(3), 2, 'note-2')
        self.assertEqual(200, outcome[0])
        self.wait_for_release(2)
        wait_for(
            lambda: self.send_order(fleet.nodes[0], 'k1', 'r2').is_success,
            'order accepted once the controls are back',
        )
        self.assertEqual(1, len(self.find_runs('k1')))
