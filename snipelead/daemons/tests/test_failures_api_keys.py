import time

import pytest

from snipelead.daemons.tests.fleet_case import FIRST_CHANGES
from snipelead.daemons.tests.fleet_case import FleetTestCase
from snipelead.settings.schema import Guarantees
from snipelead.testing.processes import wait_for

pytestmark = pytest.mark.processes

REVOCATION_MS = 3_000
KEY = 'k-3f71d0'


def make_changes(action, *keys):
    return [
        {
            'action': action,
            'customer': {'name': 'balts', 'api_keys': list(keys)},
        }
    ]


class ApiKeyFailureTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        fleet = self.make_fleet(services=['stock', 'stock'])
        for node in fleet.nodes:
            fleet.replace_settings(
                node, guarantees=Guarantees(revocation_ms=REVOCATION_MS)
            )
        fleet.start()
        setting = {'name': 'callers.authenticate', 'value': True}
        changes = [
            *FIRST_CHANGES,
            {'action': 'add', 'setting': setting},
            *make_changes('add', KEY, 'k-other'),
        ]
        self.submit_until_decided([0], 1, 'first', changes)
        for node in fleet.nodes:
            self.wait_for_status(node, 200)

    def get_status(self, node, key=KEY):
        return self.call(node, '/levels', X_Api_Key=key).status_code

    def wait_for_status(self, node, status, key=KEY):
        wait_for(
            lambda: self.get_status(node, key) == status,
            f'{status} at {node.name}',
        )

    def test_revoked_key_at_a_node_that_was_frozen(self):
        node = self.fleet.nodes[0]
        node.freeze()
        outcome = self.submit_until_decided(
            [1], 2, 'second', make_changes('change', 'k-other')
        )
        self.assertEqual(200, outcome[0])
        self.wait_for_status(self.fleet.nodes[1], 401)
        # The node is held until the bound has passed.
        time.sleep(REVOCATION_MS / 1_000)
        node.thaw()
        # The first answer after the thaw must be a refusal already.
        self.assertIn(self.get_status(node), (401, 503))
        self.wait_for_status(node, 401)
        self.wait_for_status(node, 200, 'k-other')
        for process in self.fleet.processes:
            self.assertNotIn(KEY, process.log_path.read_text())

    def test_nodes_without_controls_refuse_keys_and_recover(self):
        for control in self.fleet.controls:
            control.kill()
        for node in self.fleet.nodes:
            self.wait_for_status(node, 503)
        for control in self.fleet.controls:
            control.start()
        for node in self.fleet.nodes:
            self.wait_for_status(node, 200)
