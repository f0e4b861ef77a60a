from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from snipelead.daemons.tests.fleet_case import FleetTestCase

pytestmark = pytest.mark.processes

LONG_ORDER = '/orders?ms=2000'


class OnceTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.start_fleet(services=['stock', 'stock', None])
        self.first, self.second, self.third = self.fleet.nodes

    def test_resend_to_another_node_during_and_after_the_first(self):
        with ThreadPoolExecutor() as pool:
            first = pool.submit(self.order, self.first, 'k', 'r1', LONG_ORDER)
            self.wait_run('k')
            during = self.order(self.second, 'k', 'r2', LONG_ORDER)
            self.assertEqual(409, during.status_code)
            self.assertEqual(200, first.result().status_code)
        for node in self.fleet.nodes:
            after = self.order(node, 'k', 'r3', LONG_ORDER)
            self.assertEqual(409, after.status_code)
        [run] = self.runs_of('k')
        self.assertEqual('r1', run.request_id)

    def test_resend_after_the_first_node_was_killed(self):
        with ThreadPoolExecutor() as pool:
            first = pool.submit(self.order, self.third, 'k', 'r1', LONG_ORDER)
            self.wait_run('k')
            self.third.kill()
            self.assertIsInstance(first.exception(), httpx.TransportError)
        for node in (self.first, self.second):
            resent = self.order(node, 'k', 'r2', LONG_ORDER)
            self.assertEqual(409, resent.status_code)
            self.assertNotEqual('no', resent.headers['X-Snipelead-Ran'])
        self.third.start()
        self.wait_served(self.third)
        again = self.order(self.third, 'k', 'r3', LONG_ORDER)
        self.assertEqual(409, again.status_code)
        self.assertEqual(1, len(self.runs_of('k')))

    def test_resend_after_the_target_node_and_a_leader_were_killed(self):
        with ThreadPoolExecutor() as pool:
            first = pool.submit(self.order, self.third, 'k', 'r1', LONG_ORDER)
            self.wait_run('k')
            [run] = self.runs_of('k')
            position = [t and t.name for t in self.fleet.targets].index(
                run.target
            )
            self.fleet.nodes[position].kill()
            self.fleet.controls[self.wait_leader()].kill()
            answer = first.result()
            self.assertNotEqual('no', answer.headers['X-Snipelead-Ran'])
        self.wait_served(self.third)
        for _ in range(3):
            self.order(self.third, 'k', 'r2', LONG_ORDER)
        self.assertEqual(1, len(self.runs_of('k')))
