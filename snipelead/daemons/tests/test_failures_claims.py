from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from snipelead.daemons.tests.fleet_case import FleetTestCase

pytestmark = pytest.mark.processes

LONG_ORDER = '/orders?ms=2000'


class AtMostOnceTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.start_fleet(services=['stock', 'stock', None])
        self.first, self.second, self.third = self.fleet.nodes

    def test_resend_to_another_node_during_and_after_first_request(self):
        with ThreadPoolExecutor() as pool:
            first_request = pool.submit(
                self.send_order, self.first, 'k', 'r1', LONG_ORDER
            )
            self.wait_for_run('k')
            concurrent_response = self.send_order(
                self.second, 'k', 'r2', LONG_ORDER
            )
            self.assertEqual(409, concurrent_response.status_code)
            self.assertEqual(200, first_request.result().status_code)
        for node in self.fleet.nodes:
            later_response = self.send_order(node, 'k', 'r3', LONG_ORDER)
            self.assertEqual(409, later_response.status_code)
        [run] = self.find_runs('k')
        self.assertEqual('r1', run.request_id)

    def test_resend_after_caller_node_was_killed(self):
        with ThreadPoolExecutor() as pool:
            first_request = pool.submit(
                self.send_order, self.third, 'k', 'r1', LONG_ORDER
            )
            self.wait_for_run('k')
            self.third.kill()
            self.assertIsInstance(
                first_request.exception(), httpx.TransportError
            )
        for node in (self.first, self.second):
            resent_response = self.send_order(node, 'k', 'r2', LONG_ORDER)
            self.assertEqual(409, resent_response.status_code)
            self.assertNotEqual(
                'no', resent_response.headers['X-Snipelead-Ran']
            )
        self.third.start()
        self.wait_until_serving(self.third)
        last_response = self.send_order(self.third, 'k', 'r3', LONG_ORDER)
        self.assertEqual(409, last_response.status_code)
        self.assertEqual(1, len(self.find_runs('k')))

    def test_resend_after_target_node_and_leader_were_killed(self):
        with ThreadPoolExecutor() as pool:
            first_request = pool.submit(
                self.send_order, self.third, 'k', 'r1', LONG_ORDER
            )
            self.wait_for_run('k')
            [run] = self.find_runs('k')
            index = [t and t.name for t in self.fleet.targets].index(
                run.target
            )
            self.fleet.nodes[index].kill()
            self.fleet.controls[self.wait_for_leader()].kill()
            first_response = first_request.result()
            self.assertNotEqual(
                'no', first_response.headers['X-Snipelead-Ran']
            )
        self.wait_until_serving(self.third)
        for _ in range(3):
            self.send_order(self.third, 'k', 'r2', LONG_ORDER)
        self.assertEqual(1, len(self.find_runs('k')))
