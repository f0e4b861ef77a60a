from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from snipelead.callers.exceptions import AnswerLostError
from snipelead.daemons.tests.fleet_case import FleetTestCase
from snipelead.testing.processes import wait_for
from snipelead.testing.relay import RelayThread

pytestmark = pytest.mark.processes

# Much longer than it takes to notice a silent connection.
LONG_MS = 30_000


class SilentLinkTest(FleetTestCase):
    def test_node_leaves_a_silent_link_to_its_control(self):
        fleet = self.make_fleet(services=['stock'])
        with RelayThread() as thread:
            relays = [thread.add(peer.address) for peer in fleet.peers]
            seen = tuple(
                msgspec.structs.replace(peer, address=relay.address)
                for peer, relay in zip(fleet.peers, relays, strict=True)
            )
            fleet.settings_of(fleet.nodes[0], controls=seen)
            fleet.start()
            self.begin_service()
            accepted = sum(relay.accepted for relay in relays)
            thread.silence(relays)
            outcome = self.submit_until_definite(range(3), 2, 'note-2')
            self.assertEqual(200, outcome[0])
            self.wait_in_force(2)
            self.assertGreater(sum(r.accepted for r in relays), accepted)

    def test_node_leaves_a_silent_link_to_another_node(self):
        fleet = self.make_fleet(services=['stock', None])
        owner, caller = fleet.nodes
        with RelayThread() as thread:
            relay = thread.add(owner.settings.address)
            fleet.settings_of(owner, advertised_address=relay.address)
            fleet.start()
            self.begin_service()
            for _ in range(5):
                self.assertEqual(200, self.call(caller, '/levels').status_code)
            accepted = relay.accepted
            self.assertGreater(accepted, 0)
            with ThreadPoolExecutor() as pool:
                pending = pool.submit(
                    self.order, caller, 'k', 'r1', '/orders?ms=4000', LONG_MS
                )
                self.wait_run('k')
                thread.silence([relay])
                answer = pending.result()
            # Noticed by the silence and not by the deadline.
            self.assertEqual(
                AnswerLostError.code, answer.headers['X-Snipelead-Code']
            )
            self.assertNotEqual('no', answer.headers['X-Snipelead-Ran'])
            wait_for(
                lambda: self.call(caller, '/levels').status_code == 200,
                'calls over a fresh connection',
            )
            self.assertGreater(relay.accepted, accepted)
            thread.silence([relay])
            idle = self.order(caller, 'k2', 'r2', '/orders', LONG_MS)
            if idle.headers.get('X-Snipelead-Ran') == 'no':
                self.assertEqual([], self.runs_of('k2'))
            for key in ('k', 'k2'):
                self.order(caller, key, 'r3', '/orders', 4_000)
                self.order(owner, key, 'r4', '/orders', 4_000)
                self.assertLessEqual(len(self.runs_of(key)), 1)
            self.assertEqual(1, len(self.runs_of('k')))
