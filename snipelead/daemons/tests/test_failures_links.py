from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from snipelead.callers.exceptions import ResponseLostError
from snipelead.daemons.tests.fleet_case import FleetTestCase
from snipelead.testing.processes import wait_for
from snipelead.testing.relay import RelayThread

pytestmark = pytest.mark.processes

# Much longer than the time to detect a silent connection.
LONG_DEADLINE_MS = 30_000


class SilentConnectionTest(FleetTestCase):
    def test_node_replaces_a_silent_connection_to_its_control(self):
        fleet = self.make_fleet(services=['stock'])
        with RelayThread() as relay_thread:
            relays = [relay_thread.add(peer.address) for peer in fleet.peers]
            relayed_peers = tuple(
                msgspec.structs.replace(peer, address=relay.address)
                for peer, relay in zip(fleet.peers, relays, strict=True)
            )
            fleet.replace_settings(fleet.nodes[0], controls=relayed_peers)
            fleet.start()
            self.deploy_first_release()
            accepted_count = sum(relay.accepted_count for relay in relays)
            relay_thread.stall_connections(relays)
            outcome = self.submit_until_decided(range(3), 2, 'note-2')
            self.assertEqual(200, outcome[0])
            self.wait_for_release(2)
            self.assertGreater(
                sum(r.accepted_count for r in relays), accepted_count
            )

    def test_node_replaces_a_silent_connection_to_another_node(self):
        fleet = self.make_fleet(services=['stock', None])
        target_node, caller_node = fleet.nodes
        with RelayThread() as relay_thread:
            relay = relay_thread.add(target_node.settings.address)
            fleet.replace_settings(
                target_node, advertised_address=relay.address
            )
            fleet.start()
            self.deploy_first_release()
            for _ in range(5):
                self.assertEqual(
                    200, self.call(caller_node, '/levels').status_code
                )
            accepted_count = relay.accepted_count
            self.assertGreater(accepted_count, 0)
            with ThreadPoolExecutor() as pool:
                pending = pool.submit(
                    self.send_order,
                    caller_node,
                    'k',
                    'r1',
                    '/orders?ms=4000',
                    LONG_DEADLINE_MS,
                )
                self.wait_for_run('k')
                relay_thread.stall_connections([relay])
                lost_response = pending.result()
            # The stall was detected before the deadline expired.
            self.assertEqual(
                ResponseLostError.code,
                lost_response.headers['X-Snipelead-Code'],
            )
            self.assertNotEqual('no', lost_response.headers['X-Snipelead-Ran'])
            wait_for(
                lambda: self.call(caller_node, '/levels').status_code == 200,
                'calls over a new connection',
            )
            self.assertGreater(relay.accepted_count, accepted_count)
            relay_thread.stall_connections([relay])
            response = self.send_order(
                caller_node, 'k2', 'r2', '/orders', LONG_DEADLINE_MS
            )
            if response.headers.get('X-Snipelead-Ran') == 'no':
                self.assertEqual([], self.find_runs('k2'))
            for key in ('k', 'k2'):
                self.send_order(caller_node, key, 'r3', '/orders', 4_000)
                self.send_order(target_node, key, 'r4', '/orders', 4_000)
                self.assertLessEqual(len(self.find_runs(key)), 1)
            self.assertEqual(1, len(self.find_runs('k')))
