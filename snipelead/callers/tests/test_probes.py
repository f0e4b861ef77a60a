from unittest import mock

import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import wait_until
from snipelead.types import TargetState

EJECTION_S = 0.05
PAUSE_S = 0.05
DEADLINE_MS = 100


class ProbeTest(CallPathTestCase):
    """A target is used again, however the probe after an ejection ends.

    The probe was ended by a response, a failure or a refusal only. After one
    that had reached its deadline, or whose caller had left, callers got 503
    until the node was restarted.
    """

    def setUp(self):
        super().setUp()
        for name, value in (
            ('ejection.BASE_EJECTION_S', EJECTION_S),
            ('ejection.UNANSWERED_PROBE_PAUSE_S', PAUSE_S),
        ):
            self.enterContext(mock.patch(f'snipelead.routing.{name}', value))

    def run_with_both_paths(self, test):
        """Run a test whose only target is local, then one hop away."""
        for is_local in (True, False):
            self.near, self.far = FakeNode('n1'), FakeNode('n2')
            self.node = self.near if is_local else self.far
            other = self.far if is_local else self.near

            async def main(nursery, other=other):
                other.announce(TargetState.LEAVING)
                self.near.directory.merge(other.entry)
                await self.eject()
                await test(nursery)

            self.run_nodes(main, self.near, self.far)

    @property
    def observation(self):
        observations = self.near.path.balancer.get_observations('stock')
        return next(
            o for o in observations if o.entry.target_id == self.node.target_id
        )

    async def call(self, **fields):
        caller = await Caller.open(self.near.path.caller_address)
        response, _ = await caller.call('/reads/1', **fields)
        return response.status

    async def eject(self):
        async def reset(connection, request, body):
            connection.abort()

        target = self.node.target
        echo, target.respond = target.respond, reset
        for _ in range(3):
            self.assertEqual(502, await self.call())
        self.assertIsNotNone(self.observation.ejection)
        target.respond = echo
        target.hold = trio.Event()

    async def check_served(self):
        """Check that the target, which responds at once, is used again."""
        self.node.target.hold.set()
        statuses = []
        while 200 not in statuses:
            statuses.append(await self.call())
            await trio.sleep(0.01)
        self.assertEqual(0, self.observation.in_flight)

    def test_probe_reaches_its_deadline(self):
        async def test(nursery):
            await trio.sleep(EJECTION_S)
            status = await self.call(X_Deadline_Ms=DEADLINE_MS)
            self.assertEqual(504, status)
            await self.check_served()

        self.run_with_both_paths(test)

    def test_caller_of_the_probe_leaves(self):
        async def test(nursery):
            await trio.sleep(EJECTION_S)
            caller = await Caller.open(self.near.path.caller_address)
            await caller.send('/reads/1')
            await wait_until(lambda: self.node.target.running)
            caller.connection.close()
            await wait_until(lambda: not self.observation.in_flight)
            await self.check_served()

        self.run_with_both_paths(test)

    def test_probe_is_lost(self):
        async def test(nursery):
            await trio.sleep(EJECTION_S)
            self.node.target.hold.set()
            with mock.patch.object(
                self.node.target, 'respond', self.end_connection
            ):
                self.assertEqual(502, await self.call())
            await self.check_served()

        self.run_with_both_paths(test)

    @staticmethod
    async def end_connection(connection, request, body):
        connection.abort()
