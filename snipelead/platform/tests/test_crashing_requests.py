"""Requests that crash the targets that run them, on the virtual clock."""

from itertools import count

import trio

from snipelead.controls.tests.mesh import make_peers
from snipelead.emulator.platform_target import Misbehaviour
from snipelead.platform.tests.crash_case import CrashTestCase
from snipelead.platform.tests.crash_case import STABLE_WINDOW_S
from snipelead.quarantine.ledger import Verdict

CRASHING = '/reads/crash'


def is_innocent(path):
    return 'crash' not in path


class CrashingRequestTest(CrashTestCase):
    def setUp(self):
        super().setUp()
        numbers = count(1)
        self.next_path = lambda: f'/reads/{next(numbers)}'

    async def send_innocents(self, per_s=40.0, for_s=20.0):
        await self.send_steadily(self.next_path, per_s, for_s)

    async def send_copies(self, per_s=2.0, for_s=15.0):
        await self.send_steadily(lambda: CRASHING, per_s, for_s)

    def test_request_that_crashed_three_targets_is_sent_to_more(self):
        # Each copy was sent to the next target like a new request.
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            await trio.sleep(2.0)
            await self.send_copies()
            await trio.sleep(3.0)

        self.run_scenario(scenario)
        self.check_bound(CRASHING)

    def test_crashing_request_with_a_body_is_sent_to_more(self):
        # A copy has the same body, another attempt id and another framing.
        self.crashing_paths.add('/orders/crash')

        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            for number in range(40):
                node = self.nodes[number % len(self.nodes)]
                nursery.start_soon(
                    self.send_request, node, '/orders/crash', 'POST', b'order'
                )
                await trio.sleep(0.4)

        self.run_scenario(scenario)
        self.check_bound('/orders/crash')

    def test_copies_at_the_same_moment_are_sent_to_more(self):
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            for _ in range(8):
                for number in range(10):
                    node = self.nodes[number % len(self.nodes)]
                    nursery.start_soon(self.send_request, node, CRASHING)
                await trio.sleep(2.0)

        self.run_scenario(scenario)
        self.check_bound(CRASHING)

    def test_restarted_controls_and_nodes_send_it_to_more(self):
        # What one process knew of crashes was lost with it.
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            await self.send_copies(for_s=5.0)
            await trio.sleep(STABLE_WINDOW_S)
            await self.restart_controls(nursery)
            await trio.sleep(STABLE_WINDOW_S)
            for node in self.nodes:
                await node.restart(nursery)
                await trio.sleep(0.5)
            await trio.sleep(STABLE_WINDOW_S)
            await self.send_copies(for_s=10.0)

        self.run_scenario(scenario)
        self.check_bound(CRASHING)

    def test_few_targets_crash_until_the_quarantine(self):
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            await trio.sleep(2.0)
            await self.send_copies()
            await trio.sleep(3.0)

        self.run_scenario(scenario)
        self.assertLessEqual(len(self.crashes), 4)
        refused = [
            o
            for o in self.outcomes
            if o.path == CRASHING and o.code == 'SL3027'
        ]
        self.assertGreater(len(refused), 20)
        for outcome in refused:
            self.assertEqual(503, outcome.status)
            self.assertLess(outcome.ended_at - outcome.sent_at, 0.1)

    def test_other_requests_are_served_beside_a_crashing_one(self):
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            await trio.sleep(2.0)
            await self.send_copies()
            await trio.sleep(3.0)

        self.run_scenario(scenario)
        statuses = self.count_statuses(is_innocent)
        self.assertGreater(statuses[200], 0.97 * statuses.total())

    def test_popular_request_is_not_refused_when_targets_crash(self):
        # It is running at all crashes, and none is caused by it.
        async def scenario(nursery):
            nursery.start_soon(
                self.send_steadily, lambda: '/reads/popular', 60.0, 20.0
            )
            await trio.sleep(2.0)
            await self.send_copies()
            await trio.sleep(3.0)

        self.run_scenario(scenario)
        popular = [o for o in self.outcomes if o.path == '/reads/popular']
        self.assertNotIn('SL3027', {o.code for o in popular})
        served = sum(o.status == 200 for o in popular)
        self.assertGreater(served, 0.97 * len(popular))

    def test_targets_that_fail_by_themselves_quarantine_nothing(self):
        # Three of them end at the same moment, again and again.
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            nursery.start_soon(
                self.send_steadily, lambda: '/reads/popular', 20.0, 20.0
            )
            for _ in range(4):
                await trio.sleep(4.0)
                for node in self.nodes[:3]:
                    if node.target is not None:
                        node.target.cancel_scope.cancel()

        self.run_scenario(scenario)
        self.assertNotIn('SL3027', {o.code for o in self.outcomes})

    def test_several_crashing_requests_are_each_held_back(self):
        paths = [f'/reads/crash{n}' for n in range(4)]
        self.crashing_paths.update(paths)

        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            for number in range(60):
                nursery.start_soon(
                    self.send_request,
                    self.nodes[number % len(self.nodes)],
                    paths[number % len(paths)],
                )
                await trio.sleep(0.3)

        self.run_scenario(scenario)
        for path in paths:
            self.check_bound(path)

    def test_restarted_node_refuses_a_request_in_quarantine(self):
        async def scenario(nursery):
            await self.send_copies(for_s=5.0)
            await trio.sleep(STABLE_WINDOW_S)
            await self.nodes[0].restart(nursery)
            await trio.sleep(STABLE_WINDOW_S)
            outcome = await self.send_request(self.nodes[0], CRASHING)
            self.assertEqual('SL3027', outcome.code)

        self.run_scenario(scenario)

    def test_request_is_sent_again_once_its_quarantine_is_lifted(self):
        async def scenario(nursery):
            await self.send_copies(for_s=5.0)
            await trio.sleep(STABLE_WINDOW_S)
            self.crashing_paths.clear()
            for fingerprint in list(self.controls[0].service.ledger.records):
                self.controls[0].service.ledger.lift(fingerprint)
            await trio.sleep(1.0)
            for node in self.nodes:
                outcome = await self.send_request(node, CRASHING)
                self.assertEqual(200, outcome.status)

        self.run_scenario(scenario)

    def test_reset_connections_are_no_crash(self):
        async def scenario(nursery):
            for number in range(40):
                node = self.nodes[number % len(self.nodes)]
                if node.target is not None:
                    node.target.next_misbehaviours = [Misbehaviour.RESET]
                nursery.start_soon(self.send_request, node, '/reads/same')
                await trio.sleep(0.3)
            for node in self.nodes:
                self.assertEqual(0, node.daemon.call_path.ledger.version)

        self.run_scenario(scenario)

    def test_same_path_with_another_body_is_another_request(self):
        self.crashing_paths.add('/orders/crash')

        async def scenario(nursery):
            for number in range(6):
                await self.send_request(
                    self.nodes[number % 5], '/orders/crash', 'POST', b'bad'
                )
            self.crashing_paths.clear()
            await trio.sleep(4.0)
            bad, good = [
                await self.send_request(
                    self.nodes[0], '/orders/crash', 'POST', body
                )
                for body in (b'bad', b'good')
            ]
            self.assertEqual('SL3027', bad.code)
            self.assertEqual(200, good.status)

        self.run_scenario(scenario)

    def test_unsafe_request_is_refused_truthfully(self):
        # A refusal that promises that it has not run is given only if so.
        self.crashing_paths.add('/orders/crash')

        async def scenario(nursery):
            for number in range(30):
                node = self.nodes[number % len(self.nodes)]
                outcome = await self.send_request(
                    node, '/orders/crash', 'POST', b'order'
                )
                arrivals = [
                    a for a in self.arrivals if a.at >= outcome.sent_at
                ]
                if outcome.status == 503:
                    self.assertEqual([], arrivals)
                await trio.sleep(0.5)

        self.run_scenario(scenario)
        self.check_bound('/orders/crash')

    def test_target_that_ended_idle_is_withdrawn_with_the_first_request(self):
        # Others went on choosing it until its lease ended.
        async def scenario(nursery):
            node = self.nodes[0]
            node.target.cancel_scope.cancel()
            await trio.sleep(0.2)
            for number in range(5):
                await self.send_request(node, f'/reads/{number}')
            self.assertEqual({}, node.daemon.local_targets.targets)
            await trio.sleep(4.0)
            self.assertNotEqual({}, node.daemon.local_targets.targets)

        self.run_scenario(scenario)
        self.assertEqual({200}, {o.status for o in self.outcomes})

    def test_node_that_was_cut_off_refuses_it_once_it_is_back(self):
        async def scenario(nursery):
            node = self.nodes[0]
            self.network.isolate(
                node.rpc_address, [peer.address for peer in self.peers]
            )
            for number in range(8):
                await self.send_request(self.nodes[1 + number % 4], CRASHING)
                await trio.sleep(0.5)
            self.network.heal()
            await trio.sleep(STABLE_WINDOW_S)
            outcome = await self.send_request(node, CRASHING)
            self.assertEqual('SL3027', outcome.code)

        self.run_scenario(scenario)
        self.check_bound(CRASHING)

    def test_restarts_of_nodes_are_no_crashes(self):
        async def scenario(nursery):
            nursery.start_soon(self.send_innocents)
            for node in self.nodes:
                await node.restart(nursery)
                await trio.sleep(1.0)
            for node in self.nodes:
                self.assertEqual(0, node.daemon.ledger.version)

        self.run_scenario(scenario)

    def test_copies_that_wait_in_queues_are_not_sent(self):
        # Each target runs one request at a time.
        async def scenario(nursery):
            for node in self.nodes:
                node.target.slots = 1
            nursery.start_soon(self.send_innocents)
            for _ in range(6):
                for node in self.nodes:
                    for _ in range(3):
                        nursery.start_soon(self.send_request, node, CRASHING)
                await trio.sleep(2.0)

        self.run_scenario(scenario)
        self.check_bound(CRASHING)

    def test_restarted_control_is_told_of_a_quarantine_again(self):
        # Nodes poll no other control, to which they would tell everything.
        self.peers = make_peers(['a'])

        async def scenario(nursery):
            await self.send_copies(for_s=5.0)
            await trio.sleep(STABLE_WINDOW_S)
            await self.restart_controls(nursery)
            await trio.sleep(STABLE_WINDOW_S)
            await self.nodes[0].restart(nursery)
            await trio.sleep(STABLE_WINDOW_S)
            ledgers = [control.service.ledger for control in self.controls]
            for ledger in (*ledgers, self.nodes[0].daemon.ledger):
                counts = ledger.count_verdicts()
                self.assertEqual(1, counts[Verdict.QUARANTINED])

        self.run_scenario(scenario)

    def test_one_copy_crashes_two_targets_at_most(self):
        # The route allows three attempts.
        async def scenario(nursery):
            await self.send_request(self.nodes[0], CRASHING)
            await trio.sleep(2.0)

        self.run_scenario(scenario)
        self.assertEqual(2, len(self.crashes))
