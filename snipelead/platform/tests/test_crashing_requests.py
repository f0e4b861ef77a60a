"""Requests that crash the targets that run them, on the virtual clock."""

from itertools import count

import trio

from snipelead.platform.tests.crash_case import CrashTestCase
from snipelead.platform.tests.crash_case import STABLE_WINDOW_S

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
