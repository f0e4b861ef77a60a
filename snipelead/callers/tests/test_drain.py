from msgspec.structs import replace
from testtools import ExpectedException
import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.http.exceptions import ConnectFailedError
from snipelead.types import TargetState


class DrainTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = FakeNode('n1')
        self.other = FakeNode('n2', zone='b')

    async def send_request(self, path='/orders/1'):
        caller = await Caller.open(self.node.path.caller_address)
        await caller.send(path, 'POST')
        return caller

    async def stop(self, path):
        await path.finish_local_work()
        await path.drain()

    def test_request_in_flight_is_completed(self):
        async def test(nursery):
            release = self.node.target.hold = trio.Event()
            caller = await self.send_request()
            await wait_until(lambda: self.node.target.running == 1)
            nursery.start_soon(self.node.path.drain)
            await wait_until(lambda: self.node.path.limiters.stopping)
            release.set()
            response, body = await caller.receive()
            self.assertEqual((200, b'/orders/1'), (response.status, body))
            self.assertFalse(response.keep_alive)
            await wait_until(lambda: self.node.path.scope.cancelled_caught)

        self.run_nodes(test, self.node)

    def test_idle_connection_may_send_one_more_request(self):
        async def test(nursery):
            caller = await Caller.open(self.node.path.caller_address)
            await caller.call('/reads/1')
            nursery.start_soon(self.node.path.drain)
            await wait_until(lambda: self.node.path.limiters.stopping)
            response, _ = await caller.call('/reads/2')
            self.assertEqual(200, response.status)
            self.assertFalse(response.keep_alive)

        self.run_nodes(test, self.node, self.other)

    def test_new_connections_are_refused(self):
        async def test(nursery):
            await self.node.path.drain()
            with ExpectedException(ConnectFailedError):
                await Caller.open(self.node.path.caller_address)

        self.run_nodes(test, self.node)

    def test_forwarded_requests_are_rejected(self):
        async def test(nursery):
            release = self.node.target.hold = trio.Event()
            await self.send_request()
            await wait_until(lambda: self.node.target.running == 1)
            # The peer already has a connection to the draining node.
            self.other.announce(TargetState.LEAVING)
            self.other.directory.merge(self.other.entry)
            caller = await Caller.open(self.other.path.caller_address)
            self.node.target.hold = None
            await caller.call('/reads/1')
            nursery.start_soon(self.node.path.drain)
            await wait_until(lambda: self.node.path.limiters.stopping)
            reply = await caller.call('/orders/2', 'POST')
            self.assertEqual('no', parse_error_response(reply)[1])
            self.assertNotIn('/orders/2', self.node.target.runs)
            release.set()

        self.run_nodes(test, self.node, self.other)

    def test_requests_exceeding_the_grace_period_are_cancelled(self):
        async def test(nursery):
            self.node.target.hold = trio.Event()
            await self.send_request()
            await wait_until(lambda: self.node.target.running == 1)
            await self.node.path.drain()
            self.assertTrue(self.node.path.scope.cancel_called)

        self.node = FakeNode('n1', grace_ms=50)
        self.run_nodes(test, self.node)

    def test_calls_of_running_work_are_served_during_a_stop(self):
        """A stopping node refused the calls that its target still made."""

        async def test(nursery):
            release = self.node.target.hold = trio.Event()
            await self.send_request()
            await wait_until(lambda: self.node.target.running == 1)
            path = self.node.path
            self.node.announce(TargetState.LEAVING)
            self.node.directory.merge(self.node.entry)
            nursery.start_soon(self.stop, path)
            await wait_until(lambda: path.limiters.stopping)
            caller = await Caller.open(path.caller_address)
            response, _ = await caller.call('/reads/2', X_Deadline_Ms=1_000)
            self.assertEqual(200, response.status)
            self.assertEqual(['/reads/2'], self.other.target.runs)
            release.set()
            await wait_until(lambda: path.scope.cancelled_caught)

        self.run_nodes(test, self.node, self.other)

    def test_stopping_node_refuses_requests_it_cannot_finish(self):
        async def test(nursery):
            self.node.target.hold = trio.Event()
            await self.send_request()
            await wait_until(lambda: self.node.target.running == 1)
            nursery.start_soon(self.stop, self.node.path)
            await wait_until(lambda: self.node.path.limiters.stopping)
            caller = await Caller.open(self.node.path.caller_address)
            reply = await caller.call('/reads/2', X_Deadline_Ms=60_000)
            code, ran, _ = parse_error_response(reply)
            self.assertEqual(('SL3018', 'no'), (code, ran))
            self.assertNotIn('/reads/2', self.node.target.runs)
            self.node.target.hold.set()

        self.run_nodes(test, self.node)

    def test_node_without_target_serves_until_callers_have_left(self):
        """Callers found no connection at a node removed with its target."""

        async def test(nursery):
            path = self.node.path
            self.node.local_targets.change_state(
                self.node.target_id, TargetState.GONE
            )
            self.node.directory.merge(
                replace(
                    self.node_entry, state=TargetState.GONE, sequence=10_000
                )
            )
            caller = await Caller.open(path.caller_address)
            await caller.call('/reads/1')
            nursery.start_soon(self.stop, path)
            for _ in range(5):
                caller = await Caller.open(path.caller_address)
                response, _ = await caller.call(
                    '/reads/2', X_Deadline_Ms=1_000
                )
                self.assertEqual(200, response.status)
                await trio.sleep(0.1)
            await wait_until(lambda: path.scope.cancelled_caught)

        async def keep_entry(nursery):
            self.node_entry = self.node.entry
            await test(nursery)

        self.run_nodes(keep_entry, self.node, self.other)
