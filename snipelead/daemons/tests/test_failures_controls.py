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

RELEASES = 20
KILL_AFTER = 8


class LeaderFailureTest(FleetTestCase):
    def test_killed_leader_loses_nothing_accepted(self):
        fleet = self.start_fleet(services=['stock'])
        accepted = {}
        for number in range(2, RELEASES):
            if number == KILL_AFTER:
                leader = self.wait_leader()
                with ThreadPoolExecutor() as pool:
                    pending = pool.submit(
                        self.submit_until_definite,
                        range(3),
                        number,
                        f'note-{number}',
                    )
                    fleet.controls[leader].kill()
                    outcome = pending.result()
            else:
                outcome = self.submit_until_definite(
                    range(3), number, f'note-{number}'
                )
            self.assertEqual((number, 200), (number, outcome[0]))
            accepted[number] = outcome[1]['held']
        fleet.controls[leader].restart()
        fleet.wait_ready()
        for control in range(3):
            self.wait_certified(control, RELEASES - 1)
            self.assertEqual(
                {1: 'first'} | {n: f'note-{n}' for n in accepted},
                self.accepted_notes(control),
            )
        for number, held in accepted.items():
            resent = self.submit_until_definite(
                range(3), number, f'note-{number}'
            )
            self.assertEqual((200, held), (resent[0], resent[1]['held']))
        self.wait_in_force(RELEASES - 1)

    def test_frozen_leader_neither_accepts_nor_certifies_the_past(self):
        fleet = self.start_fleet(services=['stock', 'stock'])
        old = self.wait_leader()
        others = [c for c in range(3) if c != old]
        witness = fleet.nodes[0]
        witness.kill()
        fleet.settings_of(witness, controls=(fleet.peers[old],))
        fleet.controls[old].freeze()
        self.wait_leader(among=others)
        outcome = self.submit_until_definite(others, 2, 'new-leader')
        self.assertEqual(200, outcome[0])
        witness.start()
        with ThreadPoolExecutor() as pool:
            stale = pool.submit(self.submit, old, 2, 'old-leader')
            fleet.controls[old].thaw()
            self.assertNotEqual(200, stale.result()[0])
        status = wait_for(
            lambda: (s := self.node_status(witness))['ready'] and s,
            'restarted node ready',
        )
        self.assertEqual(2, status['release'])
        refused = self.submit_until_definite([old], 2, 'old-leader')
        self.assertEqual(409, refused[0])
        for control in range(3):
            self.wait_certified(control, 2)
            self.assertEqual(
                {1: 'first', 2: 'new-leader'}, self.accepted_notes(control)
            )


class CutOffLeaderTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.make_fleet(services=['stock', 'stock'])
        self.thread = self.start_relays()
        self.relays = {}
        for viewer, control in enumerate(self.fleet.controls):
            peers = [
                self.relay_to(viewer, seen)
                for seen in range(len(self.fleet.peers))
            ]
            self.fleet.settings_of(control, peers=tuple(peers))
        self.fleet.start()
        self.begin_service()
        self.old = self.wait_leader()
        self.others = [c for c in range(3) if c != self.old]

    def relay_to(self, viewer, seen):
        """Return a control as another one reaches it, by a relay."""
        peer = self.fleet.peers[seen]
        if seen == viewer:
            return peer
        relay = self.thread.add(peer.address)
        self.relays[viewer, seen] = relay
        return msgspec.structs.replace(peer, address=relay.address)

    def cut_off(self, cut):
        """Cut the old leader off from the other controls, or heal it."""
        links = [r for pair, r in self.relays.items() if self.old in pair]
        for relay in links:
            relay.refusing = cut
        self.thread.silence(links)

    def accept_elsewhere(self):
        self.wait_leader(among=self.others)
        outcome = self.submit_until_definite(self.others, 2, 'majority')
        self.assertEqual(200, outcome[0])

    def test_cannot_accept_or_certify(self):
        self.cut_off(True)
        status, _ = self.submit(self.old, 2, 'cut-off')
        self.assertEqual(503, status)
        self.accept_elsewhere()
        listed = self.read_releases(self.old)
        self.assertEqual(
            (False, 1), (listed['certified'], listed['current']['number'])
        )
        self.cut_off(False)
        self.wait_certified(self.old, 2)
        self.assertEqual(
            {1: 'first', 2: 'majority'}, self.accepted_notes(self.old)
        )

    def test_gives_no_floor_to_a_restarted_node(self):
        node = self.fleet.nodes[0]
        self.cut_off(True)
        self.accept_elsewhere()
        node.kill()
        control = self.fleet.controls[self.old]
        joined = len(read_events(control, NODE_JOINED))
        self.fleet.settings_of(node, controls=(self.fleet.peers[self.old],))
        node.start()
        wait_for(
            lambda: len(read_events(control, NODE_JOINED)) > joined,
            'the node polls the control that is cut off',
        )
        self.cut_off(False)
        wait_for(lambda: self.node_status(node)['ready'], 'node ready')
        floors = read_events(node, FLOOR_CERTIFIED)
        self.assertEqual(2, floors[-1]['release'])


class LostDiskTest(FleetTestCase):
    def lose_disk(self, control):
        process = self.fleet.controls[control]
        process.kill()
        shutil.rmtree(process.settings.data_dir)

    def test_repaired_disk_then_loss_of_a_second_control(self):
        fleet = self.start_fleet(services=['stock'])
        for number in (2, 3):
            outcome = self.submit_until_definite(
                range(3), number, f'note-{number}'
            )
            self.assertEqual(200, outcome[0])
        before = set(self.newest_voters())
        lost = self.wait_leader()
        self.lose_disk(lost)
        fleet.controls[lost].start()
        name = fleet.peers[lost].control_id

        def is_voter_again():
            new = set(self.newest_voters()) - before
            return any(voter.startswith(f'{name}#') for voter in new)

        wait_for(is_voter_again, f'{name} votes as a new member')
        self.wait_certified(lost, 3)
        second = (lost + 1) % 3
        fleet.controls[second].kill()
        left = [c for c in range(3) if c != second]
        outcome = self.submit_until_definite(left, 4, 'note-4')
        self.assertEqual(200, outcome[0])
        for control in left:
            self.wait_certified(control, 4)
            self.assertEqual(
                {1: 'first', 2: 'note-2', 3: 'note-3', 4: 'note-4'},
                self.accepted_notes(control),
            )
        self.wait_in_force(4)

    def test_empty_control_makes_no_majority_with_a_lagging_one(self):
        fleet = self.start_fleet(services=['stock'])
        # Control 2 does not know release 2, control 1 will be away.
        fleet.controls[2].kill()
        outcome = self.submit_until_definite([0, 1], 2, 'note-2')
        self.assertEqual(200, outcome[0])
        self.lose_disk(0)
        fleet.controls[1].kill()
        fleet.controls[2].start()
        fleet.controls[0].start()
        fleet.wait_ready_of([fleet.controls[0], fleet.controls[2]])
        for control in (0, 2):
            status, _ = self.submit(control, 2, 'rival')
            self.assertEqual(503, status)
            self.assertFalse(self.read_releases(control)['certified'])
        fleet.controls[1].start()
        for control in range(3):
            self.wait_certified(control, 2)
            self.assertEqual(
                {1: 'first', 2: 'note-2'}, self.accepted_notes(control)
            )
        self.assertEqual(409, self.submit_until_definite([2], 2, 'rival')[0])


class RaceTest(FleetTestCase):
    def test_equal_numbers_through_two_controls_have_one_winner(self):
        self.start_fleet(services=['stock'])
        with ThreadPoolExecutor() as pool:
            for number in range(2, 8):
                answers = {
                    note: pool.submit(
                        self.submit_until_definite, [control], number, note
                    )
                    for control, note in (
                        (0, f'a-{number}'),
                        (1, f'b-{number}'),
                    )
                }
                answers = {n: a.result() for n, a in answers.items()}
                statuses = sorted(s for s, _ in answers.values())
                self.assertEqual([200, 409], statuses)
                [winner] = [n for n, (s, _) in answers.items() if s == 200]
                [(_, refusal)] = [a for a in answers.values() if a[0] == 409]
                self.assertIn(winner, refusal['details'].values())
                for control in range(3):
                    self.wait_certified(control, number)
                    notes = self.accepted_notes(control)
                    self.assertEqual(winner, notes[number])
