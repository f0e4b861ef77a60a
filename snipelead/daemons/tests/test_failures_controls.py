from concurrent.futures import ThreadPoolExecutor
import shutil

import msgspec
import pytest

from snipelead.controls.events import FLOOR_CERTIFIED
from snipelead.controls.events import NODE_JOINED
from snipelead.daemons.tests.fleet_case import FleetTestCase
from snipelead.daemons.tests.fleet_case import read_events
from snipelead.testing.processes import wait_for

pytestmark = pytest.mark.processes

RELEASE_NUMBER_END = 20
KILL_AT_RELEASE = 8


class LeaderFailureTest(FleetTestCase):
    def test_killed_leader_loses_no_accepted_release(self):
        fleet = self.start_fleet(services=['stock'])
        accepted = {}
        for number in range(2, RELEASE_NUMBER_END):
            if number == KILL_AT_RELEASE:
                leader = self.wait_for_leader()
                with ThreadPoolExecutor() as pool:
                    pending = pool.submit(
                        self.submit_until_decided,
                        range(3),
                        number,
                        f'note-{number}',
                    )
                    fleet.controls[leader].kill()
                    outcome = pending.result()
            else:
                outcome = self.submit_until_decided(
                    range(3), number, f'note-{number}'
                )
            self.assertEqual((number, 200), (number, outcome[0]))
            accepted[number] = outcome[1]['held']
        fleet.controls[leader].restart()
        fleet.wait_until_ready()
        for control in range(3):
            self.wait_for_certified(control, RELEASE_NUMBER_END - 1)
            self.assertEqual(
                {1: 'first'} | {n: f'note-{n}' for n in accepted},
                self.read_accepted_notes(control),
            )
        for number, held in accepted.items():
            resent = self.submit_until_decided(
                range(3), number, f'note-{number}'
            )
            self.assertEqual((200, held), (resent[0], resent[1]['held']))
        self.wait_for_release(RELEASE_NUMBER_END - 1)

    def test_frozen_leader_neither_accepts_nor_certifies_old_release(self):
        fleet = self.start_fleet(services=['stock', 'stock'])
        old_leader = self.wait_for_leader()
        others = [c for c in range(3) if c != old_leader]
        restarted_node = fleet.nodes[0]
        restarted_node.kill()
        fleet.replace_settings(
            restarted_node, controls=(fleet.peers[old_leader],)
        )
        fleet.controls[old_leader].freeze()
        self.wait_for_leader(controls=others)
        outcome = self.submit_until_decided(others, 2, 'new-leader')
        self.assertEqual(200, outcome[0])
        restarted_node.start()
        with ThreadPoolExecutor() as pool:
            stale = pool.submit(self.submit, old_leader, 2, 'old-leader')
            fleet.controls[old_leader].thaw()
            self.assertNotEqual(200, stale.result()[0])
        status = wait_for(
            lambda: (
                (s := self.read_node_status(restarted_node))['ready'] and s
            ),
            'restarted node ready',
        )
        self.assertEqual(2, status['release'])
        refused = self.submit_until_decided([old_leader], 2, 'old-leader')
        self.assertEqual(409, refused[0])
        for control in range(3):
            self.wait_for_certified(control, 2)
            self.assertEqual(
                {1: 'first', 2: 'new-leader'},
                self.read_accepted_notes(control),
            )


class PartitionedLeaderTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.make_fleet(services=['stock', 'stock'])
        self.relay_thread = self.start_relay_thread()
        self.relays = {}
        for source_index, control in enumerate(self.fleet.controls):
            peers = [
                self.make_relayed_peer(source_index, peer_index)
                for peer_index in range(len(self.fleet.peers))
            ]
            self.fleet.replace_settings(control, peers=tuple(peers))
        self.fleet.start()
        self.deploy_first_release()
        self.old_leader = self.wait_for_leader()
        self.others = [c for c in range(3) if c != self.old_leader]

    def make_relayed_peer(self, source_index, peer_index):
        """Return a control as another control reaches it, through a relay."""
        peer = self.fleet.peers[peer_index]
        if peer_index == source_index:
            return peer
        relay = self.relay_thread.add(peer.address)
        self.relays[source_index, peer_index] = relay
        return msgspec.structs.replace(peer, address=relay.address)

    def set_partitioned(self, partitioned):
        """Partition the old leader from the other controls or reconnect it."""
        relays = [
            r for pair, r in self.relays.items() if self.old_leader in pair
        ]
        for relay in relays:
            relay.stalls_new_connections = partitioned
        self.relay_thread.stall_connections(relays)

    def accept_release_by_majority(self):
        self.wait_for_leader(controls=self.others)
        outcome = self.submit_until_decided(self.others, 2, 'majority')
        self.assertEqual(200, outcome[0])

    def test_cannot_accept_or_certify(self):
        self.set_partitioned(True)
        status, _ = self.submit(self.old_leader, 2, 'partitioned')
        self.assertEqual(503, status)
        self.accept_release_by_majority()
        listed = self.read_releases(self.old_leader)
        self.assertEqual(
            (False, 1), (listed['certified'], listed['current']['number'])
        )
        self.set_partitioned(False)
        self.wait_for_certified(self.old_leader, 2)
        self.assertEqual(
            {1: 'first', 2: 'majority'},
            self.read_accepted_notes(self.old_leader),
        )

    def test_certifies_no_old_release_for_a_restarted_node(self):
        node = self.fleet.nodes[0]
        self.set_partitioned(True)
        self.accept_release_by_majority()
        node.kill()
        control = self.fleet.controls[self.old_leader]
        joined = len(read_events(control, NODE_JOINED))
        self.fleet.replace_settings(
            node, controls=(self.fleet.peers[self.old_leader],)
        )
        node.start()
        wait_for(
            lambda: len(read_events(control, NODE_JOINED)) > joined,
            'node polls the partitioned control',
        )
        self.set_partitioned(False)
        wait_for(lambda: self.read_node_status(node)['ready'], 'node ready')
        floors = read_events(node, FLOOR_CERTIFIED)
        self.assertEqual(2, floors[-1]['release'])


class LostDataDirTest(FleetTestCase):
    def delete_data_dir(self, control):
        process = self.fleet.controls[control]
        process.kill()
        shutil.rmtree(process.settings.data_dir)

    def test_replaced_data_dir_then_loss_of_a_second_control(self):
        fleet = self.start_fleet(services=['stock'])
        for number in (2, 3):
            outcome = self.submit_until_decided(
                range(3), number, f'note-{number}'
            )
            self.assertEqual(200, outcome[0])
        before = set(self.read_newest_voters())
        lost = self.wait_for_leader()
        self.delete_data_dir(lost)
        fleet.controls[lost].start()
        name = fleet.peers[lost].control_id

        def is_voter_again():
            added = set(self.read_newest_voters()) - before
            return any(voter.startswith(f'{name}#') for voter in added)

        wait_for(is_voter_again, f'{name} votes as a new member')
        self.wait_for_certified(lost, 3)
        killed = (lost + 1) % 3
        fleet.controls[killed].kill()
        remaining = [c for c in range(3) if c != killed]
        outcome = self.submit_until_decided(remaining, 4, 'note-4')
        self.assertEqual(200, outcome[0])
        for control in remaining:
            self.wait_for_certified(control, 4)
            self.assertEqual(
                {1: 'first', 2: 'note-2', 3: 'note-3', 4: 'note-4'},
                self.read_accepted_notes(control),
            )
        self.wait_for_release(4)

    def test_empty_control_and_lagging_control_form_no_majority(self):
        fleet = self.start_fleet(services=['stock'])
        # Control 2 misses release 2; control 1, which has it, is then killed.
        fleet.controls[2].kill()
        outcome = self.submit_until_decided([0, 1], 2, 'note-2')
        self.assertEqual(200, outcome[0])
        self.delete_data_dir(0)
        fleet.controls[1].kill()
        fleet.controls[2].start()
        fleet.controls[0].start()
        fleet.wait_until_processes_ready(
            [fleet.controls[0], fleet.controls[2]]
        )
        for control in (0, 2):
            status, _ = self.submit(control, 2, 'rival')
            self.assertEqual(503, status)
            self.assertFalse(self.read_releases(control)['certified'])
        fleet.controls[1].start()
        for control in range(3):
            self.wait_for_certified(control, 2)
            self.assertEqual(
                {1: 'first', 2: 'note-2'}, self.read_accepted_notes(control)
            )
        self.assertEqual(409, self.submit_until_decided([2], 2, 'rival')[0])


class ConcurrentSubmissionTest(FleetTestCase):
    def test_one_of_two_notes_with_equal_number_is_accepted(self):
        self.start_fleet(services=['stock'])
        with ThreadPoolExecutor() as pool:
            for number in range(2, 8):
                outcomes = {
                    note: pool.submit(
                        self.submit_until_decided, [control], number, note
                    )
                    for control, note in (
                        (0, f'a-{number}'),
                        (1, f'b-{number}'),
                    )
                }
                outcomes = {n: o.result() for n, o in outcomes.items()}
                statuses = sorted(s for s, _ in outcomes.values())
                self.assertEqual([200, 409], statuses)
                [winner] = [n for n, (s, _) in outcomes.items() if s == 200]
                [(_, refusal)] = [o for o in outcomes.values() if o[0] == 409]
                self.assertIn(winner, refusal['details'].values())
                for control in range(3):
                    self.wait_for_certified(control, number)
                    notes = self.read_accepted_notes(control)
                    self.assertEqual(winner, notes[number])
